#include "head.h"

#include <stdio.h>
#include <string.h>

#define HEAD_PASSED_KEY "Gentian-Passed-Key"

const char *
gs_head_get (const GsPassage *passage, const char *name)
{
  return MHD_lookup_connection_value (passage->connection, MHD_HEADER_KIND, name);
}

/* Text that a hop header signs: what another daemon may forward is bound to host, method and
 * target. */
static char *
hop_text (const GsPassage *passage)
{
  return g_strdup_printf ("hop %s %s %s", passage->host, passage->method, passage->target);
}

/* RETURN VALUE: reason of a refusal, or NULL. */
static const char *
read_right (GsPassage *passage)
{
  const char *ticket = gs_head_get (passage, "Gentian-Ticket");
  const char *key = gs_head_get (passage, "Idempotency-Key");
  GsRight *right = &passage->event.right;

  if (ticket != NULL && key != NULL)
    return "ticket-and-key";
  if (ticket != NULL)
    {
      if (!gs_ticket_parse (passage->shared->engine, ticket, right))
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
read_hop (GsPassage *passage)
{
  const char *hop = gs_head_get (passage, "Gentian-Hop");
  g_autofree char *text = NULL;

  if (hop == NULL)
    return NULL;
  text = hop_text (passage);
  passage->event.hop
      = gs_signed (gs_engine_settings (passage->shared->engine)->fleet_key, text, hop);
  return passage->event.hop ? NULL : "bad-hop";
}

static const char *
read_timeout (GsPassage *passage)
{
  const char *timeout = gs_head_get (passage, passage->shared->dialect->patience);
  guint64 value;

  if (timeout == NULL)
    return NULL;
  if (!g_ascii_string_to_unsigned (timeout, 10, 1, 3600000, &value, NULL))
    return "bad-timeout";
  passage->event.timeout_ms = (uint32_t)value;
  return NULL;
}

static void
read_host (GsPassage *passage)
{
  const char *host = gs_head_get (passage, "Host");
  char *port;

  g_strlcpy (passage->host, host != NULL ? host : "", sizeof passage->host);
  port = strchr (passage->host, ':');
  if (port != NULL)
    *port = '\0';
}

static uint64_t
fingerprint (const GsPassage *passage)
{
  uint64_t hash = gs_hash_bytes (passage->method, strlen (passage->method), 1);

  hash = gs_hash_bytes (passage->target, strlen (passage->target), hash);
  if (passage->body->len > 0)
    hash = gs_hash_bytes (passage->body->data, passage->body->len, hash);
  return hash;
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
is_repeated (const GsPassage *passage, const char *name)
{
  HeaderCount counted = { .name = name };

  if (name != NULL)
    MHD_get_connection_values (passage->connection, MHD_HEADER_KIND, count_header, &counted);
  return counted.count > 1;
}

const char *
gs_head_read (GsPassage *passage)
{
  const char *reason;

  if (is_repeated (passage, "Host") || is_repeated (passage, passage->shared->dialect->request_id))
    return "repeated-header";

  read_host (passage);
  passage->event.host = passage->host;
  passage->event.path = passage->path;
  passage->event.request = passage->request;
  passage->event.fingerprint = fingerprint (passage);
  if (passage->shared->dialect->request_id != NULL)
    passage->event.label = gs_head_get (passage, passage->shared->dialect->request_id);
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
    return HEAD_PASSED_KEY;
  if (!attempt->forward && g_ascii_strcasecmp (name, HEAD_PASSED_KEY) == 0)
    return "Idempotency-Key";
  return name;
}

static void
add_upstream_headers (GsPassage *passage, const GsAttemptEffect *attempt, GPtrArray *headers)
{
  const GsDialect *dialect = passage->shared->dialect;

  g_snprintf (passage->attempt_text, sizeof passage->attempt_text, "%" G_GUINT64_FORMAT,
              attempt->attempt);
  if (dialect->attempt != NULL)
    g_ptr_array_add (headers, g_strdup_printf ("%s: %s", dialect->attempt, passage->attempt_text));
  if (dialect->expected != NULL)
    g_ptr_array_add (headers, g_strdup_printf ("%s: %s", dialect->expected, attempt->target));
}

typedef struct
{
  const GsPassage *passage;
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
  if (!is_passed_on (copy->passage->shared->dialect, name, copy->attempt->with_right))
    return MHD_YES;
  g_ptr_array_add (copy->headers, value != NULL && *value != '\0'
                                      ? g_strdup_printf ("%s: %s", passed, value)
                                      : g_strdup_printf ("%s;", passed));
  return MHD_YES;
}

GPtrArray *
gs_head_make (GsPassage *passage, const GsAttemptEffect *attempt)
{
  const GsDialect *dialect = passage->shared->dialect;
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
      g_autofree char *text = hop_text (passage);
      gs_sign (gs_engine_settings (passage->shared->engine)->fleet_key, text, signature);
      g_ptr_array_add (headers, g_strdup_printf ("Gentian-Hop: %s", signature));
    }
  else
    add_upstream_headers (passage, attempt, headers);
  return headers;
}
