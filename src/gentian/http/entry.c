#include "entry.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <ulfius.h>

#include "../log/counter.h"
#include "../log/histogram.h"
#include "../log/log.h"
#include "entries.h"
#include "kept.h"

enum
{
  ENTRY_MEMORY_BYTES = 64 * 1024, /* of a connection, for its headers */
  ENTRY_STACK_BYTES = 512 * 1024,
  ENTRY_IDLE_S = 75, /* longer than callers keep a connection by any tables seen (15 s) */
  ENTRY_BACKLOG = 1024,
  ENTRY_STREAM_BLOCK_BYTES = 64 * 1024,
  ENTRY_LINE_EXTRA = 4, /* separators and the end of a line of the head */
  ENTRY_STATUS_MISDIRECTED = 421,
  ENTRY_STOP_RETRY_MS = 20,                  /* another daemon can take it at once */
  ENTRY_RIGHT_MAX = GS_TICKET_TEXT_MAX + 16, /* of the name under which an answer is kept */
};

#define ENTRY_PASSED_KEY "Gentian-Passed-Key"
#define ENTRY_WAIT_US (100 * GS_US_PER_MS)
/** The reducer is told again after this that an attempt is late: beliefs may have changed. */
#define ENTRY_LATE_AGAIN_US (500 * GS_US_PER_MS)
/** Inactivity after which a large answer counts as broken off. */
#define ENTRY_STREAM_TIMEOUT_US (30 * GS_US_PER_S)

struct GsEntry
{
  GsEngine *engine;
  const GsDialect *dialect;
  GsKept *kept;
  struct _u_instance server;
  bool started;
  gint refusing; /* new requests are refused: the daemon is about to end */
  gint in_flight;
};

/* One request on its way through this daemon. */
typedef struct
{
  GsEntry *entry;
  const struct _u_request *request;
  struct _u_response *response;
  struct MHD_Connection *connection;
  GsWaiter waiter;
  GsRequestEvent event;
  char host[256];
  char right[ENTRY_RIGHT_MAX]; /* name under which the answer is kept; empty: not kept */
  int caller_fd;
  int64_t deadline_us;
  GsExchange *exchange; /* of the last attempt */
  uint64_t attempt;
  bool forwarded;
  char attempt_text[24]; /* number of the attempt, for its echo */
  GsCallerLimits limits;
  int64_t came_us;      /* when it had been read */
  bool attempted;       /* a first attempt has begun */
  int64_t told_late_us; /* when the reducer was told last that the attempt is late; 0: not yet */
  bool has_next;        /* the next attempt was granted while this one ran */
  GsEffect next;
} Passage;

/* A large answer that streams after the callback has returned. */
typedef struct
{
  GsEntry *entry;
  GsExchange *exchange;
  uint64_t attempt;
  uint32_t bytes; /* of the bodies of request and answer */
  bool broken;
} Stream;

/* The connection that this thread serves: each has a thread of its own. */
static _Thread_local struct MHD_Connection *own_connection;

static int
caller_socket (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  return info != NULL ? info->connect_fd : -1;
}

static const char *
header (const struct _u_request *request, const char *name)
{
  return u_map_get_case (request->map_header, name);
}

static void
answer_error (struct _u_response *response,
              unsigned int status,
              GsVerdict verdict,
              const char *reason)
{
  g_autofree char *body = g_strdup_printf ("{\"verdict\":\"%s\",\"reason\":\"%s\"}\n",
                                           gs_verdict_name (verdict), reason);

  gs_counter_add (verdict == GS_VERDICT_NOT_RUN ? GS_COUNTER_REJECTED_NOT_RUN
                                                : GS_COUNTER_REJECTED_MAY_HAVE_RUN,
                  1);
  u_map_put (response->map_header, "Gentian-Verdict", gs_verdict_name (verdict));
  u_map_put (response->map_header, "Content-Type", "application/json");
  ulfius_set_string_body_response (response, status, body);
}

static void
set_retry_after (struct _u_response *response, uint32_t after_ms)
{
  g_autofree char *seconds = g_strdup_printf ("%u.%03u", after_ms / 1000, after_ms % 1000);

  if (after_ms != 0)
    u_map_put (response->map_header, "Retry-After", seconds);
}

static void
refuse_unread (struct _u_response *response, unsigned int status, const char *reason)
{
  gs_log (GS_NOTICE_REQUEST_REFUSED, "status=%u reason=%s", status, reason);
  answer_error (response, status, GS_VERDICT_NOT_RUN, reason);
}

/* Text that a hop header signs: what another daemon may forward is bound to host, method and
 * target. */
static char *
hop_text (const char *host, const struct _u_request *request)
{
  return g_strdup_printf ("hop %s %s %s", host, request->http_verb, request->http_url);
}

/* RETURN VALUE: reason of a refusal, or NULL. */
static const char *
read_right (Passage *passage)
{
  const char *ticket = header (passage->request, "Gentian-Ticket");
  const char *key = header (passage->request, "Idempotency-Key");
  GsRight *right = &passage->event.right;

  if (ticket != NULL && key != NULL)
    return "ticket-and-key";
  if (ticket != NULL)
    {
      if (!gs_ticket_parse (passage->entry->engine, ticket, right))
        return "bad-ticket";
      g_snprintf (passage->right, sizeof passage->right, "ticket %s", ticket);
    }
  else if (key != NULL)
    {
      if (strlen (key) > GS_CLAIM_KEY_MAX)
        return "key-too-long";
      right->kind = GS_RIGHT_KEY;
      right->key = key;
      g_snprintf (passage->right, sizeof passage->right, "key %s %s", passage->host, key);
    }
  return NULL;
}

static const char *
read_hop (Passage *passage)
{
  const char *hop = header (passage->request, "Gentian-Hop");
  g_autofree char *text = NULL;

  if (hop == NULL)
    return NULL;
  text = hop_text (passage->host, passage->request);
  passage->event.hop
      = gs_signed (gs_engine_settings (passage->entry->engine)->fleet_key, text, hop);
  return passage->event.hop ? NULL : "bad-hop";
}

static const char *
read_timeout (Passage *passage)
{
  const char *timeout = header (passage->request, passage->entry->dialect->patience);
  guint64 value;

  if (timeout == NULL)
    return NULL;
  if (!g_ascii_string_to_unsigned (timeout, 10, 1, 3600000, &value, NULL))
    return "bad-timeout";
  passage->event.timeout_ms = (uint32_t)value;
  return NULL;
}

static void
read_host (const struct _u_request *request, char *out, size_t size)
{
  const char *host = header (request, "Host");
  char *port;

  g_strlcpy (out, host != NULL ? host : "", size);
  port = strchr (out, ':');
  if (port != NULL)
    *port = '\0';
}

static uint64_t
fingerprint (const struct _u_request *request)
{
  uint64_t hash = gs_hash_bytes (request->http_verb, strlen (request->http_verb), 1);

  hash = gs_hash_bytes (request->http_url, strlen (request->http_url), hash);
  if (request->binary_body_length > 0)
    hash = gs_hash_bytes (request->binary_body, request->binary_body_length, hash);
  return hash;
}

/* RETURN VALUE: whether the request's head is as short as the tables ask. */
static bool
head_fits (const Passage *passage)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (passage->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

  return passage->limits.max_header_bytes == 0 || info == NULL
         || info->header_size <= passage->limits.max_header_bytes;
}

static bool
body_fits (const Passage *passage)
{
  const char *length = header (passage->request, "Content-Length");
  uint32_t max = gs_engine_settings (passage->entry->engine)->max_body_bytes;

  if (passage->limits.max_body_bytes != 0)
    max = MIN (max, passage->limits.max_body_bytes);
  if (passage->request->binary_body_length > max)
    return false;
  return length == NULL
         || g_ascii_strtoull (length, NULL, 10) == passage->request->binary_body_length;
}

typedef struct
{
  const char *name;
  uint32_t count;
} HeaderCount;

static enum MHD_Result
count_header (void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
  HeaderCount *counted = data;

  (void)kind;
  (void)value;
  counted->count += g_ascii_strcasecmp (name, counted->name) == 0 ? 1 : 0;
  return MHD_YES;
}

/* Whether a header that tells requests apart stands in this one more than once. */
static bool
is_repeated (const Passage *passage, const char *name)
{
  HeaderCount counted = { .name = name };

  if (name != NULL)
    MHD_get_connection_values (passage->connection, MHD_HEADER_KIND, count_header, &counted);
  return counted.count > 1;
}

/* RETURN VALUE: reason of a refusal, or NULL. */
static const char *
read_request (Passage *passage)
{
  const char *reason;

  if (is_repeated (passage, "Host") || is_repeated (passage, passage->entry->dialect->request_id))
    return "repeated-header";

  read_host (passage->request, passage->host, sizeof passage->host);
  passage->event.host = passage->host;
  passage->event.path = passage->request->url_path;
  passage->event.request = passage->waiter.request;
  passage->event.fingerprint = fingerprint (passage->request);
  if (passage->entry->dialect->request_id != NULL)
    passage->event.label = header (passage->request, passage->entry->dialect->request_id);
  reason = read_right (passage);
  if (reason == NULL)
    reason = read_hop (passage);
  return reason != NULL ? reason : read_timeout (passage);
}

static bool
is_header (const char *name, const char *of_dialect)
{
  return of_dialect != NULL && g_ascii_strcasecmp (name, of_dialect) == 0;
}

static bool
is_passed_on (const GsDialect *dialect, const char *name, bool with_right)
{
  if (gs_header_is_hop (name) || g_ascii_strcasecmp (name, "Gentian-Hop") == 0
      || is_header (name, dialect->patience) || is_header (name, dialect->attempt)
      || is_header (name, dialect->deadline) || is_header (name, dialect->expected))
    return false;
  if (g_ascii_strcasecmp (name, "Gentian-Ticket") == 0)
    return with_right;
  return true;
}

/*
 * A key goes on to the upstream, but a home that gets a request without its right must not claim it
 * again: there the header travels under another name.
 */
static const char *
passed_name (const char *name, const GsAttemptEffect *attempt)
{
  if (attempt->forward && !attempt->with_right && g_ascii_strcasecmp (name, "Idempotency-Key") == 0)
    return ENTRY_PASSED_KEY;
  if (!attempt->forward && g_ascii_strcasecmp (name, ENTRY_PASSED_KEY) == 0)
    return "Idempotency-Key";
  return name;
}

static void
add_upstream_headers (Passage *passage, const GsAttemptEffect *attempt, GPtrArray *headers)
{
  const GsDialect *dialect = passage->entry->dialect;

  g_snprintf (passage->attempt_text, sizeof passage->attempt_text, "%" G_GUINT64_FORMAT,
              attempt->attempt);
  if (dialect->attempt != NULL)
    g_ptr_array_add (headers, g_strdup_printf ("%s: %s", dialect->attempt, passage->attempt_text));
  if (dialect->expected != NULL)
    g_ptr_array_add (headers, g_strdup_printf ("%s: %s", dialect->expected, attempt->target));
}

typedef struct
{
  const Passage *passage;
  const GsAttemptEffect *attempt;
  GPtrArray *headers;
} HeaderCopy;

/* Passes a header of the caller on, also the second of its name. */
static enum MHD_Result
copy_header (void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
  const HeaderCopy *copy = data;
  const char *passed = passed_name (name, copy->attempt);

  (void)kind;
  if (!is_passed_on (copy->passage->entry->dialect, name, copy->attempt->with_right))
    return MHD_YES;
  g_ptr_array_add (copy->headers, value != NULL && *value != '\0'
                                      ? g_strdup_printf ("%s: %s", passed, value)
                                      : g_strdup_printf ("%s;", passed));
  return MHD_YES;
}

static GPtrArray *
make_headers (Passage *passage, const GsAttemptEffect *attempt)
{
  const GsDialect *dialect = passage->entry->dialect;
  GPtrArray *headers = g_ptr_array_new_with_free_func (g_free);
  HeaderCopy copy = { .passage = passage, .attempt = attempt, .headers = headers };
  int64_t left_us = attempt->deadline_us - g_get_monotonic_time ();

  MHD_get_connection_values (passage->connection, MHD_HEADER_KIND, copy_header, &copy);
  g_ptr_array_add (headers, g_strdup ("Expect:"));
  g_ptr_array_add (headers,
                   g_strdup_printf ("%s: %" G_GINT64_FORMAT,
                                    attempt->forward ? dialect->patience : dialect->deadline,
                                    MAX (left_us / GS_US_PER_MS, 1)));
  if (attempt->forward)
    {
      char signature[GS_SIGNATURE_HEX + 1];
      g_autofree char *text = hop_text (passage->host, passage->request);
      gs_sign (gs_engine_settings (passage->entry->engine)->fleet_key, text, signature);
      g_ptr_array_add (headers, g_strdup_printf ("Gentian-Hop: %s", signature));
    }
  else
    add_upstream_headers (passage, attempt, headers);
  return headers;
}

/* Whether a success is the upstream's own: it bears its stamp, and nothing re-encoded its body. */
static bool
is_genuine (const GsDialect *dialect, const GsExchange *exchange)
{
  return gs_exchange_header (exchange, dialect->stamp) != NULL
         && gs_exchange_header (exchange, "Content-Encoding") == NULL;
}

/* The same for upstreams that speak a platform's dialect. */
static GsOutcome
judge_foreign_answer (const GsDialect *dialect, const GsExchange *exchange)
{
  long status = gs_exchange_status (exchange);

  if (status == ENTRY_STATUS_MISDIRECTED)
    return GS_OUTCOME_MISDIRECTED;
  if (gs_exchange_header (exchange, dialect->not_run) != NULL)
    return GS_OUTCOME_REFUSED;
  if (status >= 500)
    return GS_OUTCOME_ERROR;
  if (status < 300 && !is_genuine (dialect, exchange))
    return GS_OUTCOME_TRUNCATED;
  return GS_OUTCOME_OK;
}

/* What a whole answer means: a refusal that states it was not run, an error, or success. */
static GsOutcome
judge_answer (const GsExchange *exchange, bool forward, bool with_right)
{
  const char *verdict = gs_exchange_header (exchange, "Gentian-Verdict");

  if (verdict != NULL && strcmp (verdict, "not-run") == 0 && gs_exchange_status (exchange) == 503)
    return gs_exchange_header (exchange, "Gentian-Leaving") != NULL && !forward
               ? GS_OUTCOME_LEAVING
               : GS_OUTCOME_REFUSED;
  if (forward && !with_right && verdict != NULL && strcmp (verdict, "may-have-run") == 0)
    return GS_OUTCOME_UNCERTAIN; /* a right must not count as answered by it */
  if (gs_exchange_status (exchange) >= 500 && !forward)
    return GS_OUTCOME_ERROR;
  return GS_OUTCOME_OK;
}

static void
note_leaving (Passage *passage, const char *upstream)
{
  GsEvent event
      = { .kind = GS_EVENT_UPSTREAM_SIGN, .sign = { .leaving = true, .tell_peers = true } };

  if (passage->forwarded || gs_exchange_header (passage->exchange, "Gentian-Leaving") == NULL)
    return;
  g_strlcpy (event.sign.upstream, upstream, sizeof event.sign.upstream);
  gs_engine_post (passage->entry->engine, &event);
}

static void
add_to_array (const char *name, const char *value, void *data)
{
  g_ptr_array_add (data, g_strdup (name));
  g_ptr_array_add (data, g_strdup (value));
}

/* Keeps the answer for resends before the reducer learns that there is one. */
static void
keep_answer (Passage *passage, GsOutcome outcome)
{
  GsKeptAnswer answer = { .fingerprint = passage->event.fingerprint,
                          .status = gs_exchange_status (passage->exchange) };
  size_t length;
  const void *body = gs_exchange_body (passage->exchange, &length);

  if (passage->right[0] == '\0' || (outcome != GS_OUTCOME_OK && outcome != GS_OUTCOME_ERROR))
    return;
  answer.headers = g_ptr_array_new_with_free_func (g_free);
  gs_exchange_headers (passage->exchange, add_to_array, answer.headers);
  answer.body = g_bytes_new (body, length);
  gs_kept_put (passage->entry->kept, passage->right, &answer);
  gs_kept_answer_clear (&answer);
}

/* Reads what the answer tells of the upstream's load: running, waiting, slots. */
static void
read_load (const GsDialect *dialect, const GsExchange *exchange, GsAttemptEndEvent *end)
{
  const char *load = dialect->load != NULL ? gs_exchange_header (exchange, dialect->load) : NULL;
  unsigned int running;
  unsigned int waiting;

  if (load == NULL || sscanf (load, "%u,%u", &running, &waiting) != 2)
    return;
  end->has_load = true;
  end->running = (uint16_t)MIN (running, UINT16_MAX);
  end->waiting = (uint16_t)MIN (waiting, UINT16_MAX);
}

/* Bytes of the bodies of the request and of an answer of LENGTH, which may be unknown. */
static uint32_t
moved_bytes (const Passage *passage, int64_t length)
{
  return (uint32_t)MIN (passage->request->binary_body_length + (uint64_t)MAX (length, 0),
                        UINT32_MAX);
}

static void
post_attempt_end (Passage *passage, GsOutcome outcome)
{
  size_t length;
  GsEvent event = { .kind = GS_EVENT_ATTEMPT_END,
                    .attempt_end = { .attempt = passage->attempt,
                                     .outcome = outcome,
                                     .answer_us = gs_exchange_answer_us (passage->exchange) } };

  gs_exchange_body (passage->exchange, &length);
  event.attempt_end.bytes = moved_bytes (passage, (int64_t)length);
  read_load (passage->entry->dialect, passage->exchange, &event.attempt_end);
  gs_engine_post (passage->entry->engine, &event);
}

static GsOutcome
judge (const Passage *passage, const GsAttemptEffect *effect)
{
  if (passage->entry->dialect->verdicts || effect->forward)
    return judge_answer (passage->exchange, effect->forward, effect->with_right);
  return judge_foreign_answer (passage->entry->dialect, passage->exchange);
}

/* Sets what an answer has to name: the request or the attempt that it belongs to. */
static void
set_echo (const Passage *passage, const GsAttemptEffect *effect, GsExchangeOptions *options)
{
  const GsDialect *dialect = passage->entry->dialect;

  if (effect->forward)
    return;
  options->echo_header = dialect->attempt != NULL ? dialect->attempt : dialect->request_id;
  options->echo = dialect->attempt != NULL ? passage->attempt_text : passage->event.label;
}

/* An attempt is late. RETURN VALUE: true once another one was granted in its place. */
static bool
take_next (void *data)
{
  Passage *passage = data;
  GsEvent event = { .kind = GS_EVENT_ATTEMPT_LATE, .attempt_late = passage->attempt };
  int64_t now_us = g_get_monotonic_time ();

  if (now_us - passage->told_late_us >= ENTRY_LATE_AGAIN_US)
    {
      passage->told_late_us = now_us;
      gs_engine_post (passage->entry->engine, &event);
    }
  passage->has_next
      = passage->has_next
        || gs_engine_next (passage->entry->engine, &passage->waiter, 0, &passage->next);
  return passage->has_next;
}

/* Makes one attempt. RETURN VALUE: true when a large answer has begun. */
static bool
attempt (Passage *passage, const GsAttemptEffect *effect)
{
  g_autoptr (GPtrArray) headers = make_headers (passage, effect);
  GsExchangeOptions options = { .ipv4 = effect->ipv4,
                                .port = effect->port,
                                .method = passage->request->http_verb,
                                .target = passage->request->http_url,
                                .headers = headers,
                                .body = passage->request->binary_body,
                                .body_length = passage->request->binary_body_length,
                                .timeout_us = effect->timeout_us,
                                .caller_fd = passage->caller_fd };
  GsOutcome outcome;

  set_echo (passage, effect, &options);
  options.late_us = effect->late_us;
  options.late = take_next;
  options.late_data = passage;
  passage->told_late_us = 0;
  if (!passage->entry->dialect->verdicts)
    options.deadline_us = effect->deadline_us;
  g_clear_pointer (&passage->exchange, gs_exchange_free);
  gs_counter_add (effect->forward ? GS_COUNTER_FORWARDS : GS_COUNTER_ATTEMPTS, 1);
  if (!passage->attempted)
    gs_histogram_add (GS_HISTOGRAM_SLOT_WAIT, g_get_monotonic_time () - passage->came_us);
  passage->attempted = true;
  passage->attempt = effect->attempt;
  passage->forwarded = effect->forward;
  passage->exchange = gs_exchange_new (gs_engine_client (passage->entry->engine), &options);
  gs_exchange_run (passage->exchange);
  if (gs_exchange_answer_us (passage->exchange) > 0)
    gs_histogram_add (GS_HISTOGRAM_ATTEMPT, gs_exchange_answer_us (passage->exchange));
  if (gs_exchange_state (passage->exchange) == GS_EXCHANGE_LARGE
      && judge (passage, effect) == GS_OUTCOME_OK)
    return true;
  outcome = gs_exchange_outcome (passage->exchange);
  if (gs_exchange_state (passage->exchange) != GS_EXCHANGE_FAILED)
    {
      outcome = judge (passage, effect);
      note_leaving (passage, effect->target);
      if (effect->keep_answer)
        keep_answer (passage, outcome);
    }
  post_attempt_end (passage, outcome);
  return false;
}

/*
 * Spells NAME in another case, the next for each call's ROUND: header names have no case, the map
 * of a response does, so a header that may not be joined (Set-Cookie) can stand in it more than
 * once.
 */
static void
vary_case (char *name, unsigned int round)
{
  for (unsigned int i = 0; name[i] != '\0' && i < 32; i++)
    name[i] = (round >> i & 1) != 0 ? g_ascii_toupper (name[i]) : g_ascii_tolower (name[i]);
}

static void
add_again (struct _u_map *headers, const char *name, const char *value)
{
  g_autofree char *spelled = g_strdup (name);
  g_autofree char *joined = NULL;

  if (g_ascii_strcasecmp (name, "Set-Cookie") != 0)
    {
      joined = g_strdup_printf ("%s, %s", u_map_get_case (headers, name), value);
      u_map_remove_from_key_case (headers, name);
      u_map_put (headers, name, joined);
      return;
    }
  for (unsigned int round = 0; u_map_has_key (headers, spelled) && round < 1024; round++)
    vary_case (spelled, round);
  u_map_put (headers, spelled, value);
}

static void
add_to_response (const char *name, const char *value, void *data)
{
  if (g_ascii_strcasecmp (name, gs_dialect_own.attempt) == 0)
    return;
  if (u_map_has_key_case (data, name))
    add_again (data, name, value);
  else
    u_map_put (data, name, value);
}

/* ulfius takes no body without bytes, and leaves the status as it was. */
static void
set_body (struct _u_response *response, unsigned int status, const void *body, size_t length)
{
  if (length > 0)
    ulfius_set_binary_body_response (response, status, body, length);
  else
    ulfius_set_empty_body_response (response, status);
}

static void
pass_answer (Passage *passage)
{
  size_t length;
  const void *body = gs_exchange_body (passage->exchange, &length);

  gs_counter_add (GS_COUNTER_ANSWERS, 1);
  gs_exchange_headers (passage->exchange, add_to_response, passage->response->map_header);
  if (gs_exchange_status (passage->exchange) >= 500 && passage->entry->dialect->verdicts
      && !u_map_has_key_case (passage->response->map_header, "Gentian-Verdict"))
    u_map_put (passage->response->map_header, "Gentian-Verdict", gs_verdict_name (GS_VERDICT_RAN));
  set_body (passage->response, (unsigned int)gs_exchange_status (passage->exchange), body, length);
}

static void
pass_kept_answer (Passage *passage)
{
  GsKeptAnswer answer = { 0 };
  gsize length;
  const char *body;

  if (!gs_kept_get (passage->entry->kept, passage->right, &answer))
    {
      answer_error (passage->response, 409, GS_VERDICT_RAN, "answer-not-kept");
      return;
    }
  if (answer.fingerprint != passage->event.fingerprint)
    answer_error (passage->response, 422, GS_VERDICT_NOT_RUN, "right-used-for-another-request");
  else
    {
      for (guint i = 0; i + 1 < answer.headers->len; i += 2)
        add_to_response (g_ptr_array_index (answer.headers, i),
                         g_ptr_array_index (answer.headers, i + 1), passage->response->map_header);
      u_map_put (passage->response->map_header, "Gentian-Kept-Answer", "true");
      body = g_bytes_get_data (answer.body, &length);
      set_body (passage->response, (unsigned int)answer.status, body, length);
    }
  gs_kept_answer_clear (&answer);
}

static ssize_t
stream_read (void *data, uint64_t offset, char *out, size_t max)
{
  Stream *stream = data;
  ssize_t got = gs_exchange_read (stream->exchange, out, max);

  (void)offset;
  if (got > 0)
    return got;
  if (got == 0)
    return U_STREAM_END;
  stream->broken = true;
  return U_STREAM_ERROR;
}

static void
stream_free (void *data)
{
  Stream *stream = data;
  GsOutcome outcome = gs_exchange_outcome (stream->exchange);
  GsEvent event = { .kind = GS_EVENT_ATTEMPT_END,
                    .attempt_end = { .attempt = stream->attempt,
                                     .outcome = outcome,
                                     .answer_us = gs_exchange_answer_us (stream->exchange),
                                     .bytes = stream->bytes,
                                     .committed = true } };

  if (stream->broken)
    gs_counter_add (GS_COUNTER_ANSWERS_BROKEN, 1);
  else
    gs_counter_add (GS_COUNTER_ANSWERS, 1);
  gs_engine_post (stream->entry->engine, &event);
  gs_exchange_free (stream->exchange);
  g_free (stream);
}

/* Passes a large answer on piece by piece; it ends the passage. */
static void
pass_stream (Passage *passage)
{
  Stream *stream = g_new0 (Stream, 1);
  int64_t length = gs_exchange_length (passage->exchange);
  GsEvent began = { .kind = GS_EVENT_ATTEMPT_BEGAN, .attempt_began = passage->attempt };

  gs_engine_post (passage->entry->engine, &began);
  stream->entry = passage->entry;
  stream->exchange = g_steal_pointer (&passage->exchange);
  stream->attempt = passage->attempt;
  stream->bytes = moved_bytes (passage, length);
  gs_exchange_headers (stream->exchange, add_to_response, passage->response->map_header);
  ulfius_set_stream_response (passage->response,
                              (unsigned int)gs_exchange_status (stream->exchange), stream_read,
                              stream_free, length >= 0 ? (uint64_t)length : U_STREAM_SIZE_UNKNOWN,
                              ENTRY_STREAM_BLOCK_BYTES, stream);
}

static void
wait_in_line (Passage *passage)
{
  GsEvent left = { .kind = GS_EVENT_CALLER_LEFT, .caller_left = passage->waiter.request };

  if (gs_caller_left (passage->caller_fd))
    gs_engine_post (passage->entry->engine, &left);
}

/* Carries out the effects of the request until it is answered. */
static void
follow (Passage *passage)
{
  GsEffect effect;
  int64_t give_up_us = g_get_monotonic_time () + 3700 * GS_US_PER_S;

  while (g_get_monotonic_time () < give_up_us)
    {
      if (passage->has_next)
        {
          effect = passage->next;
          passage->has_next = false;
        }
      else if (!gs_engine_next (passage->entry->engine, &passage->waiter, ENTRY_WAIT_US, &effect))
        {
          wait_in_line (passage);
          if (gs_caller_left (passage->caller_fd))
            return;
          continue;
        }
      switch (effect.kind)
        {
        case GS_EFFECT_ATTEMPT:
          if (attempt (passage, &effect.attempt))
            {
              pass_stream (passage);
              return;
            }
          if (gs_exchange_outcome (passage->exchange) == GS_OUTCOME_CANCELLED)
            return;
          break;
        case GS_EFFECT_ANSWER:
          pass_answer (passage);
          return;
        case GS_EFFECT_KEPT_ANSWER:
          pass_kept_answer (passage);
          return;
        case GS_EFFECT_REJECT:
          answer_error (passage->response, effect.reject.status, effect.reject.verdict,
                        effect.reject.reason);
          set_retry_after (passage->response, effect.reject.retry_after_ms);
          return;
        default:
          break;
        }
    }
}

static void
close_when_stopping (GsEntry *entry, struct _u_response *response)
{
  if (gs_engine_stopping (entry->engine))
    u_map_put (response->map_header, "Connection", "close");
}

static int
handle_request (const struct _u_request *request, struct _u_response *response, void *data)
{
  GsEntry *entry = data;
  Passage passage = { .entry = entry, .request = request, .response = response };
  const char *reason;

  gs_counter_add (GS_COUNTER_REQUESTS, 1);
  passage.came_us = g_get_monotonic_time ();
  gs_engine_open (entry->engine, &passage.waiter);
  passage.connection = own_connection;
  passage.caller_fd = caller_socket (passage.connection);
  passage.limits = gs_engine_caller_limits (entry->engine);
  reason = read_request (&passage);
  if (reason != NULL)
    refuse_unread (response, 400, reason);
  else if (g_atomic_int_get (&entry->refusing))
    {
      refuse_unread (response, 503, "stopping");
      set_retry_after (response, ENTRY_STOP_RETRY_MS);
    }
  else if (!head_fits (&passage))
    refuse_unread (response, 431, "head-too-large");
  else if (!body_fits (&passage))
    refuse_unread (response, 413, "body-too-large");
  else
    {
      GsEvent event = { .kind = GS_EVENT_REQUEST, .request = passage.event };
      gs_engine_post (entry->engine, &event);
      follow (&passage);
    }
  close_when_stopping (entry, response);
  gs_histogram_add (GS_HISTOGRAM_REQUEST, g_get_monotonic_time () - passage.came_us);
  g_clear_pointer (&passage.exchange, gs_exchange_free);
  gs_engine_close (entry->engine, &passage.waiter);
  return U_CALLBACK_COMPLETE;
}

static int
handle_entries (const struct _u_request *request, struct _u_response *response, void *data)
{
  GsEntry *entry = data;

  if (!gs_entries_answer (entry->engine, request, response))
    answer_error (response, 503, GS_VERDICT_NOT_RUN, "no-tables");
  close_when_stopping (entry, response);
  return U_CALLBACK_COMPLETE;
}

/* A request counts as in flight from its first line until its answer has been sent. */
static void *
note_begun (void *data, const char *uri, struct MHD_Connection *connection)
{
  GsEntry *entry = data;

  own_connection = connection;
  g_atomic_int_inc (&entry->in_flight);
  return ulfius_uri_logger (&entry->server, uri);
}

static void
note_completed (void *data,
                struct MHD_Connection *connection,
                void **context,
                enum MHD_RequestTerminationCode code)
{
  GsEntry *entry = data;

  mhd_request_completed (&entry->server, connection, context, code);
  g_atomic_int_add (&entry->in_flight, -1);
}

static int
start_server (GsEntry *entry)
{
  const GsSettings *settings = gs_engine_settings (entry->engine);
  struct MHD_OptionItem options[]
      = { { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)note_completed, entry },
          { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)note_begun, entry },
          { MHD_OPTION_SOCK_ADDR, 0, entry->server.bind_address },
          { MHD_OPTION_CONNECTION_LIMIT, (intptr_t)settings->max_callers, NULL },
          { MHD_OPTION_CONNECTION_MEMORY_LIMIT, ENTRY_MEMORY_BYTES, NULL },
          { MHD_OPTION_CONNECTION_TIMEOUT, ENTRY_IDLE_S, NULL },
          { MHD_OPTION_THREAD_STACK_SIZE, ENTRY_STACK_BYTES, NULL },
          { MHD_OPTION_LISTEN_BACKLOG_SIZE, ENTRY_BACKLOG, NULL },
          { MHD_OPTION_END, 0, NULL } };

  return ulfius_start_framework_with_mhd_options (
      &entry->server,
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC | MHD_USE_POLL,
      options);
}

GsEntry *
gs_entry_new (const GsEntryOptions *entry_options, GError **error)
{
  GsEngine *engine = entry_options->engine;
  const GsSettings *settings = gs_engine_settings (engine);
  GsEntry *entry = g_new0 (GsEntry, 1);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)settings->entry_port),
                                 .sin_addr.s_addr = htonl (settings->address) };

  entry->engine = engine;
  entry->dialect = entry_options->dialect != NULL ? entry_options->dialect : &gs_dialect_own;
  entry->kept = gs_kept_new (settings->kept_answers_bytes);
  ulfius_init_instance (&entry->server, settings->entry_port, &address, NULL);
  entry->server.max_post_body_size = settings->max_body_bytes + 1;
  entry->server.check_utf8 = 0;
  entry->server.allowed_post_processor = U_POST_PROCESS_NONE;
  ulfius_add_endpoint_by_val (&entry->server, "GET", "/v1/entries", NULL, 0, handle_entries, entry);
  ulfius_set_default_endpoint (&entry->server, handle_request, entry);
  entry->started = start_server (entry) == U_OK;
  if (entry->started)
    return entry;
  g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "cannot listen for callers at port %u",
               settings->entry_port);
  gs_entry_free (entry);
  return NULL;
}

void
gs_entry_quiesce (GsEntry *entry)
{
  MHD_socket listener = MHD_quiesce_daemon (entry->server.mhd_daemon);

  if (listener != MHD_INVALID_SOCKET)
    shutdown (listener, SHUT_RDWR);
}

void
gs_entry_refuse (GsEntry *entry)
{
  g_atomic_int_set (&entry->refusing, 1);
}

uint32_t
gs_entry_in_flight (GsEntry *entry)
{
  return (uint32_t)g_atomic_int_get (&entry->in_flight);
}

void
gs_entry_free (GsEntry *entry)
{
  if (entry->started)
    ulfius_stop_framework (&entry->server);
  ulfius_clean_instance (&entry->server);
  gs_kept_free (entry->kept);
  g_free (entry);
}
