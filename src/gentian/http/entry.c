#include "entry.h"

#include <string.h>
#include <sys/socket.h>

#include "../log/counter.h"
#include "../log/histogram.h"
#include "../log/log.h"
#include "proxy_request.h"
#include "request_head.h"
#include "server.h"

enum
{
  ENTRY_IDLE_S = 75, /* above the longest idle timeout of callers in any tables, 15 s */
  ENTRY_REFUSAL_BYTES_MAX = 400,
  ENTRY_FULL_RETRY_MIN_MS = 500, /* while every daemon is full */
  ENTRY_FULL_RETRY_MAX_MS = 1500,
};

/** Period at which the connections of suspended requests are checked: a caller that has closed
 * its connection is detected within half a second. */
#define ENTRY_CALLER_CHECK_S 0.2

struct GsEntry
{
  GsEngine *engine;
  GsProxyContext context;
  GsServer *server;
  GQueue requests;  /* of EntryRequest, by their links: all that are in flight */
  GQueue suspended; /* of GsProxyRequest, by their links */
  ev_timer caller_check;
  bool refusing;       /* new requests are refused because the daemon is about to exit */
  bool closing;        /* the server is being stopped; no connection may be suspended any more */
  uint32_t n_ended;    /* attempts that were ended for the daemon's exit */
  size_t bodies_bytes; /* of all requests in flight */
};

/* A request and the entry that it belongs to. */
typedef struct
{
  GsProxyRequest request;
  GsEntry *entry;
  GList link;          /* in the entry's list of requests; its data is NULL if it is not listed */
  bool refused_unread; /* answered before it was complete; what still arrives is discarded */
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

static void
on_caller_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsEntry *entry = watcher->data;
  GList *next;

  (void)events;
  for (GList *link = entry->suspended.head; link != NULL; link = next)
    {
      next = link->next;
      if (gs_proxy_request_has_caller_closed (link->data))
        gs_proxy_request_caller_disconnected (link->data);
    }
  if (g_queue_is_empty (&entry->suspended))
    ev_timer_stop (loop, watcher);
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

/* libmicrohttpd takes no answer to a request that it is still reading, so this one goes around it.
 * The answers to earlier requests on the connection have been sent. */
static void
refuse_unread (EntryRequest *owned, const char *reason, uint32_t retry_after_ms)
{
  g_autofree char *body = g_strdup_printf ("{\"verdict\":\"not-run\",\"reason\":\"%s\"}\n", reason);
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (owned->request.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char answer[ENTRY_REFUSAL_BYTES_MAX];
  int length = g_snprintf (answer, sizeof answer,
                           "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                           "Gentian-Verdict: %s\r\nRetry-After: %u.%03u\r\n"
                           "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                           gs_verdict_name (GS_VERDICT_NOT_RUN), retry_after_ms / 1000,
                           retry_after_ms % 1000, strlen (body), body);
  bool sent
      = info != NULL
        && send (info->connect_fd, answer, (size_t)length, MSG_NOSIGNAL | MSG_DONTWAIT) == length;

  gs_log (GS_LOG_EVENT_REQUEST_REFUSED, "status=503 reason=%s unread=yes sent=%s", reason,
          sent ? "yes" : "no");
  owned->refused_unread = true;
  remove_from_flight (owned);
  release_body (&owned->request);
  if (!sent)
    return;
  gs_counter_add (GS_COUNTER_REJECTED_NOT_RUN, 1);
  shutdown (info->connect_fd, SHUT_WR);
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
  else if (has_body && gs_server_is_excess (request->connection))
    refuse_unread ((EntryRequest *)(void *)request, "callers-full", full_retry_after_ms (entry));
}

static bool
was_refused_unread (const GsProxyRequest *request)
{
  return ((const EntryRequest *)(const void *)request)->refused_unread;
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
    gs_proxy_request_refuse (request, 503, "stopping", GS_STOPPING_RETRY_AFTER_MS);
  else if (gs_server_is_excess (request->connection))
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
  if (request->misframed || gs_engine_stopping (request->context->engine)
      || gs_server_is_excess (request->connection))
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
      refuse_body (request);
      return MHD_YES;
    }
  if (*upload_length > 0)
    {
      if (!was_refused_unread (request))
        append_body (request, upload, *upload_length);
      *upload_length = 0;
      return MHD_YES;
    }
  if (was_refused_unread (request))
    return MHD_NO;
  if (!request->submitted)
    {
      request->submitted = true;
      request->received_us = g_get_monotonic_time ();
      if (is_address_lookup (request))
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
  owned->link.data = owned;
  g_queue_push_tail_link (&entry->requests, &owned->link);
  return request;
}

static void
on_request_complete (void *data,
                     struct MHD_Connection *connection,
                     void **context,
                     enum MHD_RequestTerminationCode code)
{
  GsProxyRequest *request = *context;

  (void)data;
  (void)connection;
  if (request == NULL)
    return;
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && request->streaming)
    request->stream_failed = true;
  remove_from_flight ((EntryRequest *)(void *)request);
  release_body (request);
  gs_proxy_request_clear (request);
  g_free (request);
  *context = NULL;
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
  static const GsServerClass class = { .handle = on_request,
                                       .begun = on_request_begin,
                                       .completed = on_request_complete,
                                       .full_changed = on_full_changed };
  GsEngine *engine = options->engine;
  const GsSettings *settings = gs_engine_settings (engine);
  GsEntry *entry = g_new0 (GsEntry, 1);
  GsClientOptions client = options->client;
  GsServerOptions server = { .class = &class,
                             .data = entry,
                             .loop = gs_engine_loop (engine),
                             .ipv4 = settings->address,
                             .port = (uint16_t)settings->entry_port,
                             .max_connections = gs_engine_descriptors (engine)->callers,
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
                          .resume = resume,
                          .suspend = suspend };
  g_queue_init (&entry->requests);
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
  GList *next;

  entry->refusing = true;
  for (GList *link = entry->requests.head; link != NULL; link = next)
    {
      EntryRequest *owned = link->data;
      next = link->next;
      if (!owned->request.submitted)
        refuse_unread (owned, "stopping", GS_STOPPING_RETRY_AFTER_MS);
    }
}

void
gs_entry_end_requests (GsEntry *entry)
{
  GList *next;

  gs_entry_quiesce (entry);
  gs_entry_refuse (entry);
  gs_engine_stop (entry->engine, g_get_monotonic_time ());
  for (GList *link = entry->suspended.head; link != NULL; link = next)
    {
      next = link->next;
      entry->n_ended += gs_proxy_request_stop (link->data) ? 1 : 0;
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
