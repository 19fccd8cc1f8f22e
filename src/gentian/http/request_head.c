#include "request_head.h"

#include <stdio.h>
#include <string.h>

#include "../access/key_digest.h"

const char *
gs_request_head_get (const GsProxyRequest *request, const char *name)
{
  if (name == NULL)
    return NULL;
  return gs_request_head_field (request->caller->head, name);
}

/* Calls VISIT for each header of the caller's request, also for each repeated one. */
static void
visit_headers (const GsProxyRequest *request,
               void (*visit) (void *data, const char *name, const char *value),
               void *data)
{
  const GPtrArray *fields = request->caller->head->fields;

  for (guint i = 0; i + 1 < fields->len; i += 2)
    visit (data, g_ptr_array_index (fields, i), g_ptr_array_index (fields, i + 1));
}

/* RETURN VALUE: newly allocated text whose signature is the Gentian-Hop header. It binds the
 * permission to forward to the request's host, method and target, and to its WORKSPACE and the
 * digest of its key, each NULL or empty if it has none. No other part contains a line break. */
static char *
hop_signature_text (const GsProxyRequest *request, const char *workspace, const char *key_digest)
{
  bool named = workspace != NULL && *workspace != '\0';
  bool keyed = key_digest != NULL && *key_digest != '\0';

  return g_strdup_printf ("hop %s %s %s%s%s%s%s", request->host, request->method, request->target,
                          named ? "\nworkspace " : "", named ? workspace : "",
                          keyed ? "\nkey " : "", keyed ? key_digest : "");
}

/* Whether NAME is CONFIGURED_NAME, which may be NULL, also with "_" for "-": many servers pass both
 * to programs under one name. */
static bool
is_alike (const char *name, const char *configured_name)
{
  if (configured_name == NULL)
    return false;
  for (; *name != '\0' && *configured_name != '\0'; name++, configured_name++)
    {
      char byte = *name == '_' ? '-' : *name;
      if (g_ascii_tolower (byte) != g_ascii_tolower (*configured_name))
        return false;
    }
  return *name == *configured_name;
}

/* Whether a header identifies the caller. Such headers of callers are not passed on, whichever
 * names are configured. */
static bool
identifies_caller (const GsHeaderNames *header_names, const char *name)
{
  return is_alike (name, header_names->key) || is_alike (name, header_names->workspace)
         || is_alike (name, gs_header_names_default.key)
         || is_alike (name, gs_header_names_default.key_digest)
         || is_alike (name, gs_header_names_default.workspace);
}

/* Replaces the key by its digest. What cannot be a key counts as none. The blanks around a value
 * are no part of it (RFC 9110, 5.5). */
static void
parse_key (GsProxyRequest *request)
{
  const char *key = gs_request_head_get (request, request->context->header_names->key);
  size_t length;

  if (key == NULL)
    return;
  key += strspn (key, " \t");
  length = strlen (key);
  while (length > 0 && strchr (" \t", key[length - 1]) != NULL)
    length--;
  request->event.has_key = gs_key_is_valid (key, length);
  if (request->event.has_key)
    request->event.key = gs_key_digest (key, length);
}

/* Parses the ticket or key. RETURN VALUE: reason of a refusal, or NULL. */
static const char *
parse_permit (GsProxyRequest *request)
{
  const GsHeaderNames *header_names = request->context->header_names;
  const char *ticket = gs_request_head_get (request, header_names->ticket);
  const char *key = gs_request_head_get (request, header_names->idempotency_key);
  GsPermit *permit = &request->event.permit;

  if (ticket != NULL && key != NULL)
    return "ticket-and-key";
  if (ticket != NULL)
    {
      if (!gs_ticket_parse (request->context->engine, ticket, permit))
        return "bad-ticket";
      g_snprintf (request->cache_key, sizeof request->cache_key, "ticket %s", ticket);
    }
  else if (key != NULL)
    {
      if (strlen (key) > GS_IDEMPOTENCY_KEY_MAX)
        return "key-too-long";
      permit->kind = GS_PERMIT_KEY;
      permit->key = key;
      g_snprintf (request->cache_key, sizeof request->cache_key, "key %s %s", request->host, key);
    }
  return NULL;
}

/* Verifies that a request marked as forwarded comes from a daemon of the fleet. RETURN VALUE:
 * reason of a refusal, or NULL. */
static const char *
verify_hop (GsProxyRequest *request)
{
  const GsHeaderNames *header_names = request->context->header_names;
  const char *hop = gs_request_head_get (request, header_names->hop);
  const char *workspace = gs_request_head_get (request, header_names->workspace);
  const char *key_digest = gs_request_head_get (request, header_names->key_digest);
  g_autofree char *text = NULL;

  if (hop == NULL)
    return NULL;
  text = hop_signature_text (request, workspace, key_digest);
  request->event.forwarded
      = gs_verify_signature (gs_engine_settings (request->context->engine)->fleet_key, text, hop);
  if (!request->event.forwarded)
    return "bad-hop";
  request->event.workspace = workspace;
  request->event.has_key = gs_key_digest_parse (key_digest, &request->event.key);
  return NULL;
}

static const char *
parse_timeout (GsProxyRequest *request)
{
  const char *timeout
      = gs_request_head_get (request, request->context->header_names->caller_timeout);
  guint64 value;

  if (timeout == NULL)
    return NULL;
  if (!g_ascii_string_to_unsigned (timeout, 10, 1, 3600000, &value, NULL))
    return "bad-timeout";
  request->event.timeout_ms = (uint32_t)value;
  return NULL;
}

void
gs_request_head_parse_host (GsProxyRequest *request)
{
  const char *host = gs_request_head_get (request, "Host");
  char *port;

  g_strlcpy (request->host, host != NULL ? host : "", sizeof request->host);
  port = strchr (request->host, ':');
  if (port != NULL)
    *port = '\0';
}

static uint64_t
fingerprint (const GsProxyRequest *request)
{
  uint64_t hash = gs_hash_bytes (request->method, strlen (request->method), 1);

  hash = gs_hash_bytes (request->target, strlen (request->target), hash);
  if (request->body->len > 0)
    hash = gs_hash_bytes (request->body->data, request->body->len, hash);
  return hash;
}

static bool
is_token (const char *name)
{
  for (const char *byte = name; *byte != '\0'; byte++)
    if (!g_ascii_isalnum (*byte) && strchr ("!#$%&'*+-.^_`|~", *byte) == NULL)
      return false;
  return *name != '\0';
}

/* How a request states its body, as far as http_parser does not check it. */
typedef struct
{
  uint32_t n_lengths;
  uint32_t n_codings;
  bool valid;
} BodyFraming;

static void
read_framing (void *data, const char *name, const char *value)
{
  BodyFraming *framing = data;

  if (!is_token (name))
    framing->valid = false;
  if (g_ascii_strcasecmp (name, "Content-Length") == 0)
    {
      framing->n_lengths++;
      /* http_parser takes an empty length for none. */
      if (*value == '\0')
        framing->valid = false;
    }
  if (g_ascii_strcasecmp (name, "Transfer-Encoding") != 0)
    return;
  framing->n_codings++;
  if (g_ascii_strcasecmp (value, "chunked") != 0)
    framing->valid = false;
}

bool
gs_request_head_is_framed (const GsProxyRequest *request)
{
  BodyFraming framing = { .valid = true };

  visit_headers (request, read_framing, &framing);
  return framing.valid && framing.n_lengths + framing.n_codings <= 1;
}

typedef struct
{
  const char *name;
  uint32_t count;
} HeaderCount;

static void
count_header (void *data, const char *name, const char *value)
{
  HeaderCount *counted = data;

  (void)value;
  counted->count += g_ascii_strcasecmp (name, counted->name) == 0 ? 1 : 0;
}

/* Whether a header that identifies the request occurs more than once. NAME may be NULL. */
static bool
is_repeated (const GsProxyRequest *request, const char *name)
{
  HeaderCount counted = { .name = name };

  if (name != NULL)
    visit_headers (request, count_header, &counted);
  return counted.count > 1;
}

/* Whether the request line can be sent as it is. A blank or a control character would let an
 * upstream read another request than this one. */
static bool
is_request_line_valid (const GsProxyRequest *request)
{
  for (const uint8_t *byte = (const uint8_t *)request->target; *byte != '\0'; byte++)
    if (*byte <= ' ' || *byte == 0x7f)
      return false;
  for (const char *byte = request->method; *byte != '\0'; byte++)
    if (!g_ascii_isalnum (*byte) && *byte != '-' && *byte != '_')
      return false;
  return *request->target == '/' && *request->method != '\0';
}

const char *
gs_request_head_parse (GsProxyRequest *request)
{
  const char *reason;

  if (!is_request_line_valid (request))
    return "bad-request-line";

  if (is_repeated (request, "Host") || is_repeated (request, request->context->header_names->key)
      || is_repeated (request, request->context->header_names->request_id))
    return "repeated-header";

  gs_request_head_parse_host (request);
  request->event.host = request->host;
  request->event.path = request->path;
  request->event.method = request->method;
  request->event.body_bytes = request->body->len;
  request->event.request = request->engine_id;
  request->event.fingerprint = fingerprint (request);
  if (request->context->header_names->request_id != NULL)
    request->event.label
        = gs_request_head_get (request, request->context->header_names->request_id);
  parse_key (request);
  reason = parse_permit (request);
  if (reason == NULL)
    reason = verify_hop (request);
  return reason != NULL ? reason : parse_timeout (request);
}

static bool
is_header (const char *name, const char *configured_name)
{
  return configured_name != NULL && g_ascii_strcasecmp (name, configured_name) == 0;
}

static bool
is_forwarded (const GsHeaderNames *header_names, const char *name, bool with_permit)
{
  if (gs_header_is_hop_by_hop (name) || identifies_caller (header_names, name)
      || is_header (name, header_names->hop) || is_header (name, header_names->caller_timeout)
      || is_header (name, header_names->attempt) || is_header (name, header_names->deadline)
      || is_header (name, header_names->expected_instance))
    return false;
  return !is_header (name, header_names->ticket) || with_permit;
}

/*
 * The idempotency key is passed on to the upstream. A request that is forwarded to a home without
 * its permit has the key under another header name, because the home must not claim it again.
 */
static const char *
forwarded_name (const GsHeaderNames *header_names, const char *name, const GsAttemptEffect *attempt)
{
  if (attempt->forward && !attempt->with_permit && is_header (name, header_names->idempotency_key))
    return header_names->passed_key;
  if (!attempt->forward && is_header (name, header_names->passed_key))
    return header_names->idempotency_key;
  return name;
}

static void
add_attempt_number (GsProxyRequest *request, const GsAttemptEffect *attempt, GPtrArray *headers)
{
  const char *name = request->context->header_names->attempt;

  g_snprintf (request->attempt_text, sizeof request->attempt_text, "%" G_GUINT64_FORMAT,
              attempt->attempt);
  if (name != NULL)
    g_ptr_array_add (headers, g_strdup_printf ("%s: %s", name, request->attempt_text));
}

static void
add_upstream_headers (GsProxyRequest *request, const GsAttemptEffect *attempt, GPtrArray *headers)
{
  const GsHeaderNames *header_names = request->context->header_names;

  if (header_names->expected_instance != NULL)
    g_ptr_array_add (headers,
                     g_strdup_printf ("%s: %s", header_names->expected_instance, attempt->target));
}

typedef struct
{
  const GsProxyRequest *request;
  const GsAttemptEffect *attempt;
  GPtrArray *headers;
} HeaderCopy;

/* Copies a header of the caller's request; also called for each repeated header. */
static void
copy_header (void *data, const char *name, const char *value)
{
  const HeaderCopy *copy = data;
  const GsHeaderNames *header_names = copy->request->context->header_names;
  const char *passed = forwarded_name (header_names, name, copy->attempt);

  if (is_forwarded (header_names, name, copy->attempt->with_permit))
    g_ptr_array_add (copy->headers, g_strdup_printf ("%s: %s", passed, value));
}

GPtrArray *
gs_request_head_build (GsProxyRequest *request, const GsAttemptEffect *attempt)
{
  const GsHeaderNames *header_names = request->context->header_names;
  GPtrArray *headers = g_ptr_array_new_with_free_func (g_free);
  HeaderCopy copy = { .request = request, .attempt = attempt, .headers = headers };
  int64_t left_us = attempt->deadline_us - g_get_monotonic_time ();

  visit_headers (request, copy_header, &copy);
  g_ptr_array_add (headers, g_strdup_printf ("%s: %" G_GINT64_FORMAT,
                                             attempt->forward ? header_names->caller_timeout
                                                              : header_names->deadline,
                                             MAX (left_us / GS_US_PER_MS, 1)));
  add_attempt_number (request, attempt, headers);
  if (header_names->workspace != NULL && *attempt->workspace != '\0')
    g_ptr_array_add (headers,
                     g_strdup_printf ("%s: %s", header_names->workspace, attempt->workspace));
  if (attempt->forward)
    {
      char signature[GS_SIGNATURE_HEX + 1];
      char digest[GS_KEY_DIGEST_HEX + 1] = "";
      g_autofree char *text = NULL;
      if (attempt->has_key)
        {
          gs_key_digest_format (&attempt->key, digest);
          g_ptr_array_add (headers, g_strdup_printf ("%s: %s", header_names->key_digest, digest));
        }
      text = hop_signature_text (request, attempt->workspace, digest);
      gs_sign (gs_engine_settings (request->context->engine)->fleet_key, text, signature);
      g_ptr_array_add (headers, g_strdup_printf ("%s: %s", header_names->hop, signature));
    }
  else
    add_upstream_headers (request, attempt, headers);
  return headers;
}
