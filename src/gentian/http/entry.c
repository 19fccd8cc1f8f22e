#include "entry.h"

#include <string.h>
#include <sys/socket.h>

#include "../log/counter.h"
#include "../log/histogram.h"
#include "proxy_request.h"
#include "request_head.h"
#include "server.h"

enum
{
  ENTRY_IDLE_S = 75,            /* above the longest idle timeout of callers in any tables, 15 s */
  ENTRY_STOPPING_RETRY_MS = 20, /* short, because another daemon can accept the request at once */
};

/** Period at which the connections of suspended requests are checked: a caller that has closed
 * its connection is detected within half a second. */
#define ENTRY_CALLER_CHECK_S 0.2

struct GsEntry
{
  GsEngine *engine;
  GsProxyContext context;
  GsServer *server;
  GQueue suspended; /* of GsProxyRequest, by their links */
  ev_timer caller_check;
  bool refusing; /* new requests are refused because the daemon is about to exit */
  bool closing;  /* the server is being stopped; no connection may be suspended any more */
  uint32_t in_flight;
};

/* A request and the entry that it belongs to. */
typedef struct
{
  GsProxyRequest request;
  GsEntry *entry;
} EntryRequest;

static GsEntry *
entry_of (GsProxyRequest *request)
{
  return ((EntryRequest *)(void *)request)->entry;
}

static bool
suspend (GsProxyRequest *request)
{
  GsEntry *entry = entry_of (request);

  if (entry->closing)
    return false;
  request->suspended = true;
  request->link.data = request;
  g_queue_push_tail_link (&entry->suspended, &request->link);
  MHD_suspend_connection (request->connection);
  if (!ev_is_active (&entry->caller_check))
    ev_timer_again (gs_engine_loop (entry->engine), &entry->caller_check);
  return true;
}

static void
resume (GsProxyRequest *request)
{
  GsEntry *entry = entry_of (request);

  if (!request->suspended)
    return;
  request->suspended = false;
  g_queue_unlink (&entry->suspended, &request->link);
  MHD_resume_connection (request->connection);
  gs_server_wake (entry->server);
}

/* RETURN VALUE: whether the caller has closed its side of the connection. */
static bool
has_caller_disconnected (const GsProxyRequest *request)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;

  return info != NULL && recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
on_caller_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsEntry *entry = watcher->data;
  GList *next;

  (void)events;
  for (GList *link = entry->suspended.head; link != NULL; link = next)
    {
      next = link->next;
      if (has_caller_disconnected (link->data))
        gs_proxy_request_caller_disconnected (link->data);
    }
  if (g_queue_is_empty (&entry->suspended))
    ev_timer_stop (loop, watcher);
}

/* RETURN VALUE: whether the request's head is within the limit that the tables set. */
static bool
head_fits (const GsProxyRequest *request, const GsCallerLimits *limits)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

  return limits->max_header_bytes == 0 || info == NULL
         || info->header_size <= limits->max_header_bytes;
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

/* Appends to the body, up to one byte above the limit: body_fits then detects the excess. */
static void
append_body (GsProxyRequest *request, const char *bytes, size_t length)
{
  size_t max = (size_t)gs_engine_settings (request->context->engine)->max_body_bytes + 1;
  size_t left = max - MIN (max, request->body->len);

  g_byte_array_append (request->body, (const guint8 *)bytes, (guint)MIN (length, left));
}

static void
handle_proxied (GsProxyRequest *request)
{
  GsEntry *entry = entry_of (request);
  GsCallerLimits limits = gs_engine_caller_limits (entry->engine);
  const char *reason;

  gs_counter_add (GS_COUNTER_REQUESTS, 1);
  gs_proxy_request_open (request);
  request->misframed = !gs_request_head_is_framed (request);
  reason = request->misframed ? "ambiguous-framing" : gs_request_head_parse (request);
  if (reason != NULL)
    gs_proxy_request_refuse (request, 400, reason, 0);
  else if (entry->refusing)
    gs_proxy_request_refuse (request, 503, "stopping", ENTRY_STOPPING_RETRY_MS);
  else if (!head_fits (request, &limits))
    gs_proxy_request_refuse (request, 431, "head-too-large", 0);
  else if (!body_fits (request, &limits))
    gs_proxy_request_refuse (request, 413, "body-too-large", 0);
  else
    gs_proxy_request_submit (request);
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
  request->status = 200;
  request->response = MHD_create_response_from_buffer (answer->length, (void *)answer->body,
                                                       MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (request->response, "Content-Type", "application/json");
  resume (request);
}

static const char *
query_argument (const GsProxyRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);
}

static void
handle_address_lookup (GsProxyRequest *request)
{
  GsAddressLookupOptions options = { .engine = request->context->engine,
                                     .client = request->context->client,
                                     .target = request->target,
                                     .host = query_argument (request, "host"),
                                     .path = query_argument (request, "path"),
                                     .forwarded = query_argument (request, "asked") != NULL,
                                     .done = on_lookup_done,
                                     .data = request };

  request->lookup = gs_address_lookup_start (&options);
}

/* Names the attempt of the daemon that forwarded the request, which tells answers apart by it. */
static void
echo_attempt (GsProxyRequest *request)
{
  const char *name = request->context->header_names->attempt;
  const char *attempt = name != NULL ? gs_request_head_get (request, name) : NULL;

  if (attempt != NULL)
    MHD_add_response_header (request->response, name, attempt);
}

/* Sends the answer, or suspends the connection until there is one. */
static enum MHD_Result
answer_or_suspend (GsProxyRequest *request)
{
  enum MHD_Result result;

  if (request->caller_disconnected)
    return MHD_NO;
  if (request->response == NULL)
    return suspend (request) ? MHD_YES : MHD_NO;
  if (request->misframed || gs_engine_stopping (request->context->engine))
    MHD_add_response_header (request->response, "Connection", "close");
  echo_attempt (request);
  if (request->engine_id != 0)
    gs_histogram_record (GS_HISTOGRAM_REQUEST, g_get_monotonic_time () - request->received_us);
  result = MHD_queue_response (request->connection, request->status, request->response);
  MHD_destroy_response (request->response);
  request->response = NULL;
  return result;
}

static enum MHD_Result
on_request (void *data,
            struct MHD_Connection *connection,
            const char *url,
            const char *method,
            const char *version,
            const char *upload,
            size_t *upload_length,
            void **context)
{
  GsProxyRequest *request = *context;

  (void)data;
  (void)url;
  if (!request->head_received)
    {
      request->head_received = true;
      request->connection = connection;
      request->method = g_strdup (method);
      request->http_1_0 = strcmp (version, MHD_HTTP_VERSION_1_0) == 0;
      return MHD_YES;
    }
  if (*upload_length > 0)
    {
      append_body (request, upload, *upload_length);
      *upload_length = 0;
      return MHD_YES;
    }
  if (!request->submitted)
    {
      request->submitted = true;
      request->received_us = g_get_monotonic_time ();
      if (strcmp (request->path, "/v1/entries") == 0 && strcmp (method, "GET") == 0)
        handle_address_lookup (request);
      else
        handle_proxied (request);
    }
  return answer_or_suspend (request);
}

/* A request counts as in flight from its first line until its answer has been sent. */
static void *
on_request_begin (void *data, const char *target, struct MHD_Connection *connection)
{
  GsEntry *entry = data;
  EntryRequest *owned = g_new0 (EntryRequest, 1);
  GsProxyRequest *request = &owned->request;

  owned->entry = entry;
  request->context = &entry->context;
  request->connection = connection;
  request->target = g_strdup (target);
  request->path = g_strndup (target, strcspn (target, "?"));
  request->body = g_byte_array_new ();
  g_queue_init (&request->effects);
  entry->in_flight++;
  return request;
}

static void
on_request_complete (void *data,
                     struct MHD_Connection *connection,
                     void **context,
                     enum MHD_RequestTerminationCode code)
{
  GsEntry *entry = data;
  GsProxyRequest *request = *context;

  (void)connection;
  if (request == NULL)
    return;
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && request->streaming)
    request->stream_failed = true;
  gs_proxy_request_clear (request);
  g_free (request);
  *context = NULL;
  entry->in_flight--;
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
  static const GsServerClass class = { .handle = on_request,
                                       .begun = on_request_begin,
                                       .completed = on_request_complete };
  GsEngine *engine = options->engine;
  const GsSettings *settings = gs_engine_settings (engine);
  GsEntry *entry = g_new0 (GsEntry, 1);
  GsClientOptions client = options->client;
  GsServerOptions server = { .class = &class,
                             .data = entry,
                             .loop = gs_engine_loop (engine),
                             .ipv4 = settings->address,
                             .port = (uint16_t)settings->entry_port,
                             .max_connections = settings->max_callers,
                             .idle_s = ENTRY_IDLE_S };

  client.loop = gs_engine_loop (engine);
  client.max_idle = settings->connections_per_upstream;
  entry->engine = engine;
  entry->context
      = (GsProxyContext){ .engine = engine,
                          .header_names = options->header_names != NULL ? options->header_names
                                                                        : &gs_header_names_default,
                          .client = gs_client_new (&client),
                          .answer_cache = gs_answer_cache_new (settings->kept_answers_bytes),
                          .resume = resume,
                          .suspend = suspend };
  g_queue_init (&entry->suspended);
  ev_timer_init (&entry->caller_check, on_caller_check, ENTRY_CALLER_CHECK_S, ENTRY_CALLER_CHECK_S);
  entry->caller_check.data = entry;
  gs_engine_set_drop_connections_handler (engine, drop_connections, entry);
  entry->server = gs_server_new (&server, error);
  if (entry->server != NULL)
    return entry;
  gs_entry_free (entry);
  return NULL;
}

void
gs_entry_quiesce (GsEntry *entry)
{
  gs_server_quiesce (entry->server);
}

void
gs_entry_refuse (GsEntry *entry)
{
  entry->refusing = true;
}

uint32_t
gs_entry_in_flight (const GsEntry *entry)
{
  return entry->in_flight;
}

void
gs_entry_free (GsEntry *entry)
{
  GList *link;

  entry->refusing = true;
  entry->closing = true;
  while ((link = entry->suspended.head) != NULL)
    gs_proxy_request_caller_disconnected (link->data);
  gs_server_free (entry->server);
  ev_timer_stop (gs_engine_loop (entry->engine), &entry->caller_check);
  gs_engine_set_drop_connections_handler (entry->engine, NULL, NULL);
  gs_client_free (entry->context.client);
  gs_answer_cache_free (entry->context.answer_cache);
  g_free (entry);
}
