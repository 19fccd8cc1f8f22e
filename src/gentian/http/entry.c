#include "entry.h"

#include <string.h>
#include <sys/socket.h>

#include "../log/counter.h"
#include "../log/histogram.h"
#include "head.h"
#include "passage.h"
#include "server.h"

enum
{
  ENTRY_IDLE_S = 75,        /* longer than callers keep a connection by any tables seen (15 s) */
  ENTRY_STOP_RETRY_MS = 20, /* another daemon can take it at once */
};

/** Period at which the callers of waiting requests are checked: a caller that has left is noticed
 * within half a second. */
#define ENTRY_CALLER_CHECK_S 0.2

struct GsEntry
{
  GsEngine *engine;
  GsPassageShared shared;
  GsServer *server;
  GQueue waiting; /* of suspended GsPassage, by their links */
  ev_timer caller_check;
  bool refusing; /* new requests are refused: the daemon is about to end */
  uint32_t in_flight;
};

/* A passage and the entry that it belongs to. */
typedef struct
{
  GsPassage passage;
  GsEntry *entry;
} EntryPassage;

static GsEntry *
entry_of (GsPassage *passage)
{
  return ((EntryPassage *)(void *)passage)->entry;
}

static void
suspend (GsPassage *passage)
{
  GsEntry *entry = entry_of (passage);

  passage->suspended = true;
  passage->link.data = passage;
  g_queue_push_tail_link (&entry->waiting, &passage->link);
  MHD_suspend_connection (passage->connection);
  if (!ev_is_active (&entry->caller_check))
    ev_timer_again (gs_engine_loop (entry->engine), &entry->caller_check);
}

static void
resume (GsPassage *passage)
{
  GsEntry *entry = entry_of (passage);

  if (!passage->suspended)
    return;
  passage->suspended = false;
  g_queue_unlink (&entry->waiting, &passage->link);
  MHD_resume_connection (passage->connection);
  gs_server_kick (entry->server);
}

static bool
has_caller_left (const GsPassage *passage)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (passage->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;

  return info != NULL && recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
on_caller_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsEntry *entry = watcher->data;
  GList *next;

  (void)events;
  for (GList *link = entry->waiting.head; link != NULL; link = next)
    {
      next = link->next;
      if (has_caller_left (link->data))
        gs_passage_caller_left (link->data);
    }
  if (g_queue_is_empty (&entry->waiting))
    ev_timer_stop (loop, watcher);
}

/* RETURN VALUE: whether the request's head is as short as the tables ask. */
static bool
head_fits (const GsPassage *passage, const GsCallerLimits *limits)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (passage->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

  return limits->max_header_bytes == 0 || info == NULL
         || info->header_size <= limits->max_header_bytes;
}

static bool
body_fits (const GsPassage *passage, const GsCallerLimits *limits)
{
  const char *length = gs_head_get (passage, "Content-Length");
  uint32_t max = gs_engine_settings (passage->shared->engine)->max_body_bytes;

  if (limits->max_body_bytes != 0)
    max = MIN (max, limits->max_body_bytes);
  if (passage->body->len > max)
    return false;
  return length == NULL || g_ascii_strtoull (length, NULL, 10) == passage->body->len;
}

/* Keeps a byte more than may be taken, which shows that there are too many. */
static void
take_body (GsPassage *passage, const char *bytes, size_t length)
{
  size_t max = (size_t)gs_engine_settings (passage->shared->engine)->max_body_bytes + 1;
  size_t left = max - MIN (max, passage->body->len);

  g_byte_array_append (passage->body, (const guint8 *)bytes, (guint)MIN (length, left));
}

static void
carry (GsPassage *passage)
{
  GsEntry *entry = entry_of (passage);
  GsCallerLimits limits = gs_engine_caller_limits (entry->engine);
  const char *reason;

  gs_counter_add (GS_COUNTER_REQUESTS, 1);
  gs_passage_open (passage);
  reason = gs_head_read (passage);
  if (reason != NULL)
    gs_passage_refuse (passage, 400, reason, 0);
  else if (entry->refusing)
    gs_passage_refuse (passage, 503, "stopping", ENTRY_STOP_RETRY_MS);
  else if (!head_fits (passage, &limits))
    gs_passage_refuse (passage, 431, "head-too-large", 0);
  else if (!body_fits (passage, &limits))
    gs_passage_refuse (passage, 413, "body-too-large", 0);
  else
    gs_passage_submit (passage);
}

static void
entries_answered (const GsEntriesAnswer *answer, void *data)
{
  GsPassage *passage = data;

  passage->question = NULL;
  if (answer->body == NULL)
    {
      gs_passage_answer_error (passage, 503, GS_VERDICT_NOT_RUN, "no-tables", 0);
      return;
    }
  passage->status = 200;
  passage->response = MHD_create_response_from_buffer (answer->length, (void *)answer->body,
                                                       MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (passage->response, "Content-Type", "application/json");
  resume (passage);
}

static const char *
argument (const GsPassage *passage, const char *name)
{
  return MHD_lookup_connection_value (passage->connection, MHD_GET_ARGUMENT_KIND, name);
}

static void
answer_entries (GsPassage *passage)
{
  GsEntriesOptions options = { .engine = passage->shared->engine,
                               .client = passage->shared->client,
                               .target = passage->target,
                               .host = argument (passage, "host"),
                               .path = argument (passage, "path"),
                               .asked = argument (passage, "asked") != NULL,
                               .done = entries_answered,
                               .data = passage };

  passage->question = gs_entries_ask (&options);
}

/* Sends the answer, or waits for it. */
static enum MHD_Result
reply (GsPassage *passage)
{
  enum MHD_Result result;

  if (passage->caller_left)
    return MHD_NO;
  if (passage->response == NULL)
    {
      suspend (passage);
      return MHD_YES;
    }
  if (gs_engine_stopping (passage->shared->engine))
    MHD_add_response_header (passage->response, "Connection", "close");
  if (passage->request != 0)
    gs_histogram_add (GS_HISTOGRAM_REQUEST, g_get_monotonic_time () - passage->came_us);
  result = MHD_queue_response (passage->connection, passage->status, passage->response);
  MHD_destroy_response (passage->response);
  passage->response = NULL;
  return result;
}

static enum MHD_Result
handle (void *data,
        struct MHD_Connection *connection,
        const char *url,
        const char *method,
        const char *version,
        const char *upload,
        size_t *upload_length,
        void **context)
{
  GsPassage *passage = *context;

  (void)data;
  (void)url;
  (void)version;
  if (!passage->reading)
    {
      passage->reading = true;
      passage->connection = connection;
      passage->method = g_strdup (method);
      return MHD_YES;
    }
  if (*upload_length > 0)
    {
      take_body (passage, upload, *upload_length);
      *upload_length = 0;
      return MHD_YES;
    }
  if (!passage->submitted)
    {
      passage->submitted = true;
      passage->came_us = g_get_monotonic_time ();
      if (strcmp (passage->path, "/v1/entries") == 0 && strcmp (method, "GET") == 0)
        answer_entries (passage);
      else
        carry (passage);
    }
  return reply (passage);
}

/* A request counts as in flight from its first line until its answer has been sent. */
static void *
begin (void *data, const char *target, struct MHD_Connection *connection)
{
  GsEntry *entry = data;
  EntryPassage *owned = g_new0 (EntryPassage, 1);
  GsPassage *passage = &owned->passage;

  owned->entry = entry;
  passage->shared = &entry->shared;
  passage->connection = connection;
  passage->target = g_strdup (target);
  passage->path = g_strndup (target, strcspn (target, "?"));
  passage->body = g_byte_array_new ();
  g_queue_init (&passage->effects);
  entry->in_flight++;
  return passage;
}

static void
complete (void *data,
          struct MHD_Connection *connection,
          void **context,
          enum MHD_RequestTerminationCode code)
{
  GsEntry *entry = data;
  GsPassage *passage = *context;

  (void)connection;
  if (passage == NULL)
    return;
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && passage->stream)
    passage->stream_broken = true;
  gs_passage_clear (passage);
  g_free (passage);
  *context = NULL;
  entry->in_flight--;
}

static void
drop_connections (uint32_t ipv4, uint16_t port, void *data)
{
  GsEntry *entry = data;

  gs_client_drop (entry->shared.client, ipv4, port);
}

GsEntry *
gs_entry_new (const GsEntryOptions *options, GError **error)
{
  static const GsServerClass class = { .handle = handle, .begun = begin, .completed = complete };
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
  entry->shared
      = (GsPassageShared){ .engine = engine,
                           .dialect = options->dialect != NULL ? options->dialect : &gs_dialect_own,
                           .client = gs_client_new (&client),
                           .kept = gs_kept_new (settings->kept_answers_bytes),
                           .resume = resume,
                           .suspend = suspend };
  g_queue_init (&entry->waiting);
  ev_timer_init (&entry->caller_check, on_caller_check, ENTRY_CALLER_CHECK_S, ENTRY_CALLER_CHECK_S);
  entry->caller_check.data = entry;
  gs_engine_set_drop (engine, drop_connections, entry);
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

  while ((link = entry->waiting.head) != NULL)
    gs_passage_caller_left (link->data);
  gs_server_free (entry->server);
  ev_timer_stop (gs_engine_loop (entry->engine), &entry->caller_check);
  gs_engine_set_drop (entry->engine, NULL, NULL);
  gs_client_free (entry->shared.client);
  gs_kept_free (entry->shared.kept);
  g_free (entry);
}
