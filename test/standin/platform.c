/*
 * Stand-in for the platform: append-only streams with offsets and limited retention, and the
 * instance list. Faults are set over HTTP: POST /control?outage=1, ?slow_ms=N, ?lose_answers=N (the
 * next N appends take effect, but their answers are lost), ?retention_ms=N, ?trim=STREAM (forgets
 * all records of a stream). POST /control/instances sets the list, which is served after a lag.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "../../src/gentian/store/msgpack_io.h"

typedef struct
{
  int64_t written_ms;
  GBytes *bytes;
} Record;

typedef struct
{
  uint64_t first;
  GQueue records;
} Stream;

static GMutex lock;
static GHashTable *streams;
static json_t *listed;
static json_t *listed_next;
static int64_t listed_at_ms;
static int64_t list_lag_ms;
static int64_t retention_ms = 3600000;
static gint outage;
static gint slow_ms;
static gint lose_answers;
static volatile sig_atomic_t ending;

static int64_t
now_ms (void)
{
  return g_get_real_time () / 1000;
}

static void
free_record (gpointer data)
{
  g_bytes_unref (((Record *)data)->bytes);
  g_free (data);
}

static Stream *
stream_of (const char *name)
{
  Stream *stream = g_hash_table_lookup (streams, name);

  if (stream == NULL)
    {
      stream = g_new0 (Stream, 1);
      g_queue_init (&stream->records);
      g_hash_table_insert (streams, g_strdup (name), stream);
    }
  return stream;
}

static void
expire (Stream *stream)
{
  Record *oldest = g_queue_peek_head (&stream->records);

  while (oldest != NULL && now_ms () - oldest->written_ms > retention_ms)
    {
      free_record (g_queue_pop_head (&stream->records));
      stream->first++;
      oldest = g_queue_peek_head (&stream->records);
    }
}

/* RETURN VALUE: TRUE when the call is not served. */
static gboolean
fault (struct _u_response *response)
{
  if (g_atomic_int_get (&slow_ms) > 0)
    g_usleep ((gulong)g_atomic_int_get (&slow_ms) * 1000);
  if (!g_atomic_int_get (&outage))
    return FALSE;
  ulfius_set_string_body_response (response, 503, "outage\n");
  return TRUE;
}

static int
append (const struct _u_request *request, struct _u_response *response, void *data)
{
  Record *record;
  Stream *stream;
  json_t *answer;

  (void)data;
  if (fault (response))
    return U_CALLBACK_COMPLETE;
  record = g_new0 (Record, 1);
  record->written_ms = now_ms ();
  record->bytes = g_bytes_new (request->binary_body, request->binary_body_length);
  g_mutex_lock (&lock);
  stream = stream_of (u_map_get (request->map_url, "stream"));
  g_queue_push_tail (&stream->records, record);
  answer = json_pack ("{s:I}", "offset", (json_int_t)(stream->first + stream->records.length - 1));
  g_mutex_unlock (&lock);
  if (g_atomic_int_get (&lose_answers) > 0)
    {
      g_atomic_int_add (&lose_answers, -1);
      ulfius_set_string_body_response (response, 500, "answer lost\n");
    }
  else
    ulfius_set_json_body_response (response, 200, answer);
  json_decref (answer);
  return U_CALLBACK_COMPLETE;
}

static uint64_t
parameter (const struct _u_request *request, const char *name, uint64_t fallback)
{
  const char *text = u_map_get (request->map_url, name);

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : fallback;
}

static void
pack_page (msgpack_packer *packer, Stream *stream, uint64_t from, uint64_t limit)
{
  uint64_t next = stream->first + stream->records.length;
  uint64_t begin = CLAMP (from, stream->first, next);
  uint64_t count = MIN (next - begin, limit);
  GList *link = g_queue_peek_nth_link (&stream->records, (guint)(begin - stream->first));

  msgpack_pack_array (packer, 5);
  msgpack_pack_uint64 (packer, stream->first);
  msgpack_pack_uint64 (packer, next);
  msgpack_pack_uint64 (packer, (uint64_t)now_ms ());
  msgpack_pack_uint64 (packer, (uint64_t)retention_ms);
  msgpack_pack_array (packer, count);
  for (uint64_t i = 0; i < count; i++, link = link->next)
    {
      Record *record = link->data;
      gsize length;
      const char *bytes = g_bytes_get_data (record->bytes, &length);
      msgpack_pack_array (packer, 3);
      msgpack_pack_uint64 (packer, begin + i);
      msgpack_pack_uint64 (packer, (uint64_t)record->written_ms);
      gs_msgpack_pack_bytes (packer, bytes, length);
    }
}

static int
read_records (const struct _u_request *request, struct _u_response *response, void *data)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  Stream *stream;

  (void)data;
  if (fault (response))
    return U_CALLBACK_COMPLETE;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  g_mutex_lock (&lock);
  stream = stream_of (u_map_get (request->map_url, "stream"));
  expire (stream);
  pack_page (&packer, stream, parameter (request, "from", 0), parameter (request, "limit", 100));
  g_mutex_unlock (&lock);
  ulfius_set_binary_body_response (response, 200, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return U_CALLBACK_COMPLETE;
}

static int
list_instances (const struct _u_request *request, struct _u_response *response, void *data)
{
  (void)request;
  (void)data;
  if (fault (response))
    return U_CALLBACK_COMPLETE;
  g_mutex_lock (&lock);
  if (listed_next != NULL && now_ms () >= listed_at_ms + list_lag_ms)
    {
      json_decref (listed);
      listed = g_steal_pointer (&listed_next);
    }
  ulfius_set_json_body_response (response, 200, listed);
  g_mutex_unlock (&lock);
  return U_CALLBACK_COMPLETE;
}

static int
set_instances (const struct _u_request *request, struct _u_response *response, void *data)
{
  json_t *body = ulfius_get_json_body_request (request, NULL);

  (void)data;
  g_mutex_lock (&lock);
  json_decref (listed_next);
  listed_next = body;
  listed_at_ms = now_ms ();
  g_mutex_unlock (&lock);
  ulfius_set_string_body_response (response, 200, "ok\n");
  return U_CALLBACK_COMPLETE;
}

static void
trim (const char *name)
{
  Stream *stream = stream_of (name);

  stream->first += stream->records.length;
  g_queue_clear_full (&stream->records, free_record);
}

static int
control (const struct _u_request *request, struct _u_response *response, void *data)
{
  const char *name = u_map_get (request->map_url, "trim");

  (void)data;
  g_mutex_lock (&lock);
  outage = (gint)parameter (request, "outage", (uint64_t)outage);
  slow_ms = (gint)parameter (request, "slow_ms", (uint64_t)slow_ms);
  lose_answers = (gint)parameter (request, "lose_answers", (uint64_t)lose_answers);
  retention_ms = (int64_t)parameter (request, "retention_ms", (uint64_t)retention_ms);
  list_lag_ms = (int64_t)parameter (request, "list_lag_ms", (uint64_t)list_lag_ms);
  if (name != NULL)
    trim (name);
  g_mutex_unlock (&lock);
  ulfius_set_string_body_response (response, 200, "ok\n");
  return U_CALLBACK_COMPLETE;
}

static void
end (int number)
{
  (void)number;
  ending = 1;
}

int
main (int argc, char **argv)
{
  struct _u_instance server;
  struct sockaddr_in address = { .sin_family = AF_INET };

  if (argc != 2)
    {
      fprintf (stderr, "usage: platform PORT\n");
      return 1;
    }
  streams = g_hash_table_new (g_str_hash, g_str_equal);
  listed = json_array ();
  address.sin_port = htons ((uint16_t)atoi (argv[1]));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  signal (SIGTERM, end);
  signal (SIGINT, end);
  ulfius_init_instance (&server, (unsigned)atoi (argv[1]), &address, NULL);
  server.allowed_post_processor = U_POST_PROCESS_NONE;
  ulfius_add_endpoint_by_val (&server, "POST", "/v1/streams", "/:stream/records", 0, append, NULL);
  ulfius_add_endpoint_by_val (&server, "GET", "/v1/streams", "/:stream/records", 0, read_records,
                              NULL);
  ulfius_add_endpoint_by_val (&server, "GET", "/v1/instances", NULL, 0, list_instances, NULL);
  ulfius_add_endpoint_by_val (&server, "POST", "/control", NULL, 0, control, NULL);
  ulfius_add_endpoint_by_val (&server, "POST", "/control", "/instances", 0, set_instances, NULL);
  if (ulfius_start_framework (&server) != U_OK)
    return 3;
  while (!ending)
    g_usleep (20000);
  ulfius_stop_framework (&server);
  ulfius_clean_instance (&server);
  return 0;
}
