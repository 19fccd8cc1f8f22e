#include "entry.h"

#include <string.h>

#include "../log/counter.h"
#include "../log/histogram.h"
#include "../log/log.h"
#include "caller_server.h"
#include "proxy_request.h"
#include "request_head.h"

enum
{
  ENTRY_IDLE_S = 75,             /* above the longest idle timeout of callers in any tables, 15 s */
  ENTRY_FULL_RETRY_MIN_MS = 500, /* while every daemon is full */
  ENTRY_FULL_RETRY_MAX_MS = 1500,
  /* Requests are processed behind others while less than this part of max_answers_bytes is held. */
  ENTRY_OVERLAP_DIVISOR = 2,
};

struct GsEntry
{
  GsEngine *engine;
  GsProxyContext context;
  GsCallerServer *server;
  GQueue requests;     /* of EntryRequest, by their links: all that are in flight */
  bool refusing;       /* new requests are refused because the daemon is about to exit */
  uint32_t n_ended;    /* attempts that were ended for the daemon's exit */
  size_t bodies_bytes; /* of all requests in flight */
};

/* A request and the entry that it belongs to. */
typedef struct
{
  GsProxyRequest request;
  GsEntry *entry;
  GList link; /* in the entry's list of requests; its data is NULL if it is not listed */
} EntryRequest;

static GsEntry *
entry_of (GsProxyRequest *request)
{
  return ((EntryRequest *)(void *)request)->entry;
}

/* Names the attempt of the daemon that forwarded the request, which tells answers apart by it. */
static void
echo_attempt (GsProxyRequest *request)
{
  const char *name = request->context->header_names->attempt;
  const char *attempt = name != NULL ? gs_request_head_get (request, name) : NULL;

  if (attempt != NULL)
    gs_response_add_header (request->response, name, attempt);
}

/* Passes the answer on to the connection. */
static void
pass_answer (GsProxyRequest *request)
{
  echo_attempt (request);
  if (request->engine_id != 0)
    gs_histogram_record (GS_HISTOGRAM_REQUEST, g_get_monotonic_time () - request->received_us);
  gs_caller_request_respond (request->caller, g_steal_pointer (&request->response),
                             request->misframed);
}

static void
resume (GsProxyRequest *request)
{
  if (request->response != NULL)
    pass_answer (request);
  else if (request->caller_disconnected)
    gs_caller_request_abort (request->caller);
  else
    gs_caller_request_wake (request->caller);
}

/* Requests whose answer has been sent are no longer in flight. */
static void
remove_from_flight (EntryRequest *owned)
{
  if (owned->link.data == NULL)
    return;
  g_queue_unlink (&owned->entry->requests, &owned->link);
  owned->link.data = NULL;
}

static void
release_body (GsProxyRequest *request)
{
  entry_of (request)->bodies_bytes -= request->body->len;
  g_byte_array_unref (request->body);
  request->body = g_byte_array_new ();
}

/* Refuses a request that has been received in part. Its connection closes. */
static void
refuse_unread (EntryRequest *owned, const char *reason, uint32_t retry_after_ms)
{
  if (owned->request.answered)
    return;
  remove_from_flight (owned);
  release_body (&owned->request);
  owned->request.misframed = true;
  gs_proxy_request_refuse (&owned->request, 503, reason, retry_after_ms);
}

/* Time after which a caller that is refused because the entry is full may try again: at once, if
 * another daemon takes callers. */
static uint32_t
full_retry_after_ms (GsEntry *entry)
{
  bool elsewhere = gs_core_has_ready_peer (gs_engine_lock (entry->engine));

  gs_engine_unlock (entry->engine);
  return elsewhere
             ? GS_STOPPING_RETRY_AFTER_MS
             : (uint32_t)g_random_int_range (ENTRY_FULL_RETRY_MIN_MS, ENTRY_FULL_RETRY_MAX_MS);
}

/* Refuses a request whose body has not come yet, if it must be refused whatever that is. */
static void
refuse_body (GsProxyRequest *request)
{
  GsEntry *entry = entry_of (request);
  const char *length = gs_request_head_get (request, "Content-Length");
  bool has_body = (length != NULL && strcmp (length, "0") != 0)
                  || gs_request_head_get (request, "Transfer-Encoding") != NULL;

  if (has_body && entry->refusing)
    refuse_unread ((EntryRequest *)(void *)request, "stopping", GS_STOPPING_RETRY_AFTER_MS);
  else if (has_body && gs_caller_request_is_excess (request->caller))
    refuse_unread ((EntryRequest *)(void *)request, "callers-full", full_retry_after_ms (entry));
}

/* RETURN VALUE: whether the request's head is within the limit that the tables set. */
static bool
head_fits (const GsProxyRequest *request, const GsCallerLimits *limits)
{
  return limits->max_header_bytes == 0 || request->caller->head->bytes <= limits->max_header_bytes;
}

static bool
body_fits (const GsProxyRequest *request, const GsCallerLimits *limits)
{
  const char *length = gs_request_head_get (request, "Content-Length");
  uint32_t max = gs_engine_settings (request->context->engine)->max_body_bytes;

  if (limits->max_body_bytes != 0)
    max = MIN (max, limits->max_body_bytes);
  if (request->body->len > max)
    return false;
  return length == NULL || g_ascii_strtoull (length, NULL, 10) == request->body->len;
}

/* Appends to the body, up to one byte above the limit: body_fits then detects the excess. Refuses
 * the request if the bodies of all would become too large together. */
static void
append_body (GsProxyRequest *request, const char *bytes, size_t length)
{
  GsEntry *entry = entry_of (request);
  const GsSettings *settings = gs_engine_settings (entry->engine);
  size_t max = (size_t)settings->max_body_bytes + 1;
  size_t added = MIN (length, max - MIN (max, request->body->len));

  if (entry->bodies_bytes + added > settings->max_bodies_bytes)
    {
      refuse_unread ((EntryRequest *)(void *)request, "bodies-too-large",
                     full_retry_after_ms (entry));
      return;
    }
  entry->bodies_bytes += added;
  g_byte_array_append (request->body, (const guint8 *)bytes, (guint)added);
}

/* The caller's timeout also counted while earlier requests of its connection kept this one. */
static void
shorten_timeout (GsProxyRequest *request)
{
  int64_t waited_ms = (g_get_monotonic_time () - request->received_us) / GS_US_PER_MS;
  GsRequestEvent *event = &request->event;

  if (event->timeout_ms > 0 && waited_ms > 0)
    event->timeout_ms = (uint32_t)MAX ((int64_t)event->timeout_ms - waited_ms, 1);
}

static void
handle_proxied (GsProxyRequest *request)
{
  GsEntry *entry = entry_of (request);
  GsCallerLimits limits = gs_engine_caller_limits (entry->engine);
  const char *reason;

  gs_counter_add (GS_COUNTER_REQUESTS, 1);
  gs_proxy_request_open (request);
  reason = gs_request_head_parse (request);
  shorten_timeout (request);
  if (reason != NULL)
    gs_proxy_request_refuse (request, 400, reason, 0);
  else if (entry->refusing)
    gs_proxy_request_refuse (request, 503, "stopping", GS_STOPPING_RETRY_AFTER_MS);
  else if (gs_caller_request_is_excess (request->caller))
    gs_proxy_request_refuse (request, 503, "callers-full", full_retry_after_ms (entry));
  else if (!head_fits (request, &limits))
    gs_proxy_request_refuse (request, 431, "head-too-large", 0);
  else if (!body_fits (request, &limits))
    gs_proxy_request_refuse (request, 413, "body-too-large", 0);
  else
    gs_proxy_request_submit (request);
}

static bool
is_address_lookup (const GsProxyRequest *request)
{
  const char *path = request->context->header_names->lookup_path;

  return path != NULL && strcmp (request->path, path) == 0 && strcmp (request->method, "GET") == 0;
}

static void
on_lookup_done (const GsAddressLookupAnswer *answer, void *data)
{
  GsProxyRequest *request = data;

  request->lookup = NULL;
  if (answer->body == NULL)
    {
      gs_proxy_request_answer_error (request, 503, GS_VERDICT_NOT_RUN, "no-tables", 0);
      return;
    }
  request->answered = true;
  request->response = gs_response_new (200, answer->body, answer->length);
  gs_response_add_header (request->response, "Content-Type", "application/json");
  resume (request);
}

/* RETURN VALUE: the newly allocated value of the argument NAME of the query, or NULL. */
static char *
query_argument (const GsProxyRequest *request, const char *name)
{
  const char *query = strchr (request->target, '?');
  size_t length = strlen (name);

  for (; query != NULL; query = strchr (query + 1, '&'))
    if (strncmp (query + 1, name, length) == 0 && query[length + 1] == '=')
      {
        const char *value = query + length + 2;
        g_autofree char *text = g_strndup (value, strcspn (value, "&"));

        return g_uri_unescape_string (g_strdelimit (text, "+", ' '), NULL);
      }
  return NULL;
}

static void
handle_address_lookup (GsProxyRequest *request)
{
  g_autofree char *host = query_argument (request, "host");
  g_autofree char *path = query_argument (request, "path");
  g_autofree char *asked = query_argument (request, "asked");
  GsAddressLookupOptions options = { .engine = request->context->engine,
                                     .client = request->context->client,
                                     .target = request->target,
                                     .host = host,
                                     .path = path,
                                     .forwarded = asked != NULL,
                                     .done = on_lookup_done,
                                     .data = request };

  request->lookup = gs_address_lookup_start (&options);
}

static void
on_head_complete (void *owner)
{
  GsProxyRequest *request = owner;

  request->method = request->caller->head->method;
  request->target = request->caller->head->target;
  request->path = g_strndup (request->target, strcspn (request->target, "?"));
  request->http_1_0 = request->caller->head->http_1_0;
  request->misframed = !gs_request_head_is_framed (request);
  if (!request->misframed)
    {
      refuse_body (request);
      return;
    }
  gs_counter_add (GS_COUNTER_REQUESTS, 1);
  gs_proxy_request_refuse (request, 400, "ambiguous-framing", 0);
}

static void
on_body (void *owner, const char *bytes, size_t length)
{
  GsProxyRequest *request = owner;

  if (!request->answered)
    append_body (request, bytes, length);
}

static void
on_malformed (void *owner, unsigned int status, const char *reason)
{
  GsProxyRequest *request = owner;

  request->misframed = true;
  gs_proxy_request_refuse (request, status, reason, 0);
}

static bool
may_overlap (void *owner)
{
  GsProxyRequest *request = owner;
  GsEntry *entry = entry_of (request);
  size_t max_held = gs_engine_settings (entry->engine)->max_answers_bytes / ENTRY_OVERLAP_DIVISOR;

  if (is_address_lookup (request))
    return true;
  if (max_held != 0 && gs_client_held_bytes (entry->context.client) >= max_held)
    return false;
  gs_request_head_parse_host (request);
  return gs_engine_is_repeatable (entry->engine, request->host, request->path);
}

static void
on_process (void *owner)
{
  GsProxyRequest *request = owner;

  request->submitted = true;
  request->received_us = request->caller->complete_us;
  if (!gs_caller_request_is_oldest (request->caller))
    gs_counter_add (GS_COUNTER_OVERLAPPING, 1);
  if (is_address_lookup (request))
    handle_address_lookup (request);
  else
    handle_proxied (request);
}

/* A request counts as in flight from its first byte until its answer has been sent. */
static void *
on_begun (void *data, GsCallerRequest *caller)
{
  GsEntry *entry = data;
  EntryRequest *owned = g_new0 (EntryRequest, 1);
  GsProxyRequest *request = &owned->request;

  owned->entry = entry;
  request->context = &entry->context;
  request->caller = caller;
  request->body = g_byte_array_new ();
  g_queue_init (&request->effects);
  owned->link.data = owned;
  g_queue_push_tail_link (&entry->requests, &owned->link);
  return request;
}

static void
on_finished (void *owner, bool sent)
{
  GsProxyRequest *request = owner;

  if (!sent && request->streaming)
    request->stream_failed = true;
  if (!sent && request->submitted && (!request->answered || request->streaming)
      && !request->caller_disconnected)
    gs_proxy_request_caller_disconnected (request);
  remove_from_flight ((EntryRequest *)(void *)request);
  release_body (request);
  gs_proxy_request_clear (request);
  g_free (request);
}

static bool
is_closing (void *data)
{
  const GsEntry *entry = data;

  return entry->refusing || gs_engine_stopping (entry->engine);
}

static void
on_full_changed (void *data, bool full)
{
  GsEntry *entry = data;
  GsEvent event = { .kind = GS_EVENT_CALLERS_FULL, .callers_full = full };

  gs_engine_post (entry->engine, &event);
}

static void
drop_connections (uint32_t ipv4, uint16_t port, void *data)
{
  GsEntry *entry = data;

  gs_client_drop_idle (entry->context.client, ipv4, port);
}

GsEntry *
gs_entry_new (const GsEntryOptions *options, GError **error)
{
  static const GsCallerServerClass class = { .begun = on_begun,
                                             .head_complete = on_head_complete,
                                             .body = on_body,
                                             .malformed = on_malformed,
                                             .may_overlap = may_overlap,
                                             .process = on_process,
                                             .finished = on_finished,
                                             .is_closing = is_closing,
                                             .full_changed = on_full_changed };
  GsEngine *engine = options->engine;
  const GsSettings *settings = gs_engine_settings (engine);
  GsEntry *entry = g_new0 (GsEntry, 1);
  GsClientOptions client = options->client;
  GsCallerServerOptions server = { .class = &class,
                                   .data = entry,
                                   .loop = gs_engine_loop (engine),
                                   .ipv4 = settings->address,
                                   .port = (uint16_t)settings->entry_port,
                                   .max_connections = gs_engine_descriptors (engine)->callers,
                                   .max_processed = gs_engine_descriptors (engine)->upstreams,
                                   .idle_s = ENTRY_IDLE_S };

  client.loop = gs_engine_loop (engine);
  client.max_idle = settings->connections_per_upstream;
  client.max_connections = gs_engine_descriptors (engine)->upstreams;
  client.max_held_bytes = settings->max_answers_bytes;
  entry->engine = engine;
  entry->context
      = (GsProxyContext){ .engine = engine,
                          .header_names = options->header_names != NULL ? options->header_names
                                                                        : &gs_header_names_default,
                          .client = gs_client_new (&client),
                          .answer_cache = gs_answer_cache_new (settings->kept_answers_bytes),
                          .resume = resume };
  g_queue_init (&entry->requests);
  gs_engine_set_drop_connections_handler (engine, drop_connections, entry);
  entry->server = gs_caller_server_new (&server, error);
  if (entry->server != NULL)
    return entry;
  gs_entry_free (entry);
  return NULL;
}

void
gs_entry_quiesce (GsEntry *entry)
{
  gs_caller_server_quiesce (entry->server);
}

/* RETURN VALUE: a request that is not the oldest of its connection and not being processed, or
 * NULL. */
static EntryRequest *
find_waiting (GsEntry *entry)
{
  for (GList *link = entry->requests.head; link != NULL; link = link->next)
    {
      EntryRequest *owned = link->data;
      if (!owned->request.submitted && !owned->request.answered
          && !gs_caller_request_is_oldest (owned->request.caller))
        return owned;
    }
  return NULL;
}

void
gs_entry_refuse (GsEntry *entry)
{
  EntryRequest *waiting;
  GList *next;

  entry->refusing = true;
  while ((waiting = find_waiting (entry)) != NULL)
    gs_caller_request_drop (waiting->request.caller);
  for (GList *link = entry->requests.head; link != NULL; link = next)
    {
      EntryRequest *owned = link->data;
      next = link->next;
      if (!owned->request.submitted)
        refuse_unread (owned, "stopping", GS_STOPPING_RETRY_AFTER_MS);
    }
  gs_caller_server_flush (entry->server);
}

void
gs_entry_end_requests (GsEntry *entry)
{
  GList *next;

  gs_entry_quiesce (entry);
  gs_entry_refuse (entry);
  gs_engine_stop (entry->engine, g_get_monotonic_time ());
  for (GList *link = entry->requests.head; link != NULL; link = next)
    {
      EntryRequest *owned = link->data;
      next = link->next;
      if (!owned->request.answered)
        entry->n_ended += gs_proxy_request_stop (&owned->request) ? 1 : 0;
    }
}

uint32_t
gs_entry_n_ended (const GsEntry *entry)
{
  return entry->n_ended;
}

uint32_t
gs_entry_in_flight (const GsEntry *entry)
{
  return entry->requests.length;
}

void
gs_entry_free (GsEntry *entry)
{
  entry->refusing = true;
  gs_caller_server_free (entry->server);
  gs_engine_set_drop_connections_handler (entry->engine, NULL, NULL);
  gs_client_free (entry->context.client);
  gs_answer_cache_free (entry->context.answer_cache);
  g_free (entry);
}
