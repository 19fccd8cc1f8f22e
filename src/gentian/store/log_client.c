#include "log_client.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <jansson.h>
#include <string.h>

#include "../log/counter.h"
#include "../log/histogram.h"
#include "msgpack_io.h"
#include "record.h"

enum
{
  LOG_CONNECT_TIMEOUT_MS = 500,
  LOG_ANSWER_BYTES_MAX = 64 * 1024 * 1024,
};

struct GsLogClient
{
  CURL *curl;
  char *base_url;
  GByteArray *answer;
  bool maybe_sent; /* bytes of the request may have been sent */
};

static size_t
append_answer_bytes (char *bytes, size_t size, size_t count, void *data)
{
  GsLogClient *client = data;

  if (client->answer->len + size * count > LOG_ANSWER_BYTES_MAX)
    return 0;
  g_byte_array_append (client->answer, (const guint8 *)bytes, (guint)(size * count));
  return size * count;
}

/* Called when a connection is established, before each time that the request is sent. Aborts when
 * libcurl sends it again, which could append a record twice. */
static int
on_before_send (void *data, char *remote, char *local, int remote_port, int local_port)
{
  GsLogClient *client = data;
  bool is_resend = client->maybe_sent;

  (void)remote;
  (void)local;
  (void)remote_port;
  (void)local_port;
  client->maybe_sent = true;
  return is_resend ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

GsLogClient *
gs_log_client_new (const char *base_url, uint32_t timeout_ms)
{
  GsLogClient *client = g_new0 (GsLogClient, 1);

  client->base_url = g_strdup (base_url);
  client->answer = g_byte_array_new ();
  client->curl = curl_easy_init ();
  curl_easy_setopt (client->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (client->curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (client->curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (client->curl, CURLOPT_CONNECTTIMEOUT_MS, (long)LOG_CONNECT_TIMEOUT_MS);
  curl_easy_setopt (client->curl, CURLOPT_WRITEFUNCTION, append_answer_bytes);
  curl_easy_setopt (client->curl, CURLOPT_WRITEDATA, client);
  curl_easy_setopt (client->curl, CURLOPT_PREREQFUNCTION, on_before_send);
  curl_easy_setopt (client->curl, CURLOPT_PREREQDATA, client);
  curl_easy_setopt (client->curl, CURLOPT_NOPROXY, "*");
  return client;
}

void
gs_log_client_free (GsLogClient *client)
{
  if (client == NULL)
    return;
  curl_easy_cleanup (client->curl);
  g_byte_array_unref (client->answer);
  g_free (client->base_url);
  g_free (client);
}

/* RETURN VALUE: HTTP status, or 0 when no complete answer arrived. */
static long
call_service (GsLogClient *client, const char *path, GBytes *body)
{
  g_autofree char *url = g_strconcat (client->base_url, path, NULL);
  struct curl_slist *headers = NULL;
  int64_t start_us = g_get_monotonic_time ();
  long status = 0;
  gsize length = 0;
  gconstpointer bytes = body != NULL ? g_bytes_get_data (body, &length) : NULL;

  g_byte_array_set_size (client->answer, 0);
  client->maybe_sent = false;
  curl_easy_setopt (client->curl, CURLOPT_URL, url);
  if (body != NULL)
    {
      headers = curl_slist_append (headers, "Content-Type: application/octet-stream");
      headers = curl_slist_append (headers, "Expect:");
      curl_easy_setopt (client->curl, CURLOPT_POST, 1L);
      curl_easy_setopt (client->curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)length);
      curl_easy_setopt (client->curl, CURLOPT_POSTFIELDS, bytes);
    }
  else
    curl_easy_setopt (client->curl, CURLOPT_HTTPGET, 1L);
  curl_easy_setopt (client->curl, CURLOPT_HTTPHEADER, headers);
  if (curl_easy_perform (client->curl) == CURLE_OK)
    curl_easy_getinfo (client->curl, CURLINFO_RESPONSE_CODE, &status);
  gs_histogram_record (GS_HISTOGRAM_STORE_CALL, g_get_monotonic_time () - start_us);
  curl_easy_setopt (client->curl, CURLOPT_HTTPHEADER, NULL);
  curl_slist_free_all (headers);
  if (status != 200)
    gs_counter_add (GS_COUNTER_LOG_FAILURES, 1);
  return status;
}

GsAppendResult
gs_log_append (GsLogClient *client, const char *stream, GBytes *bytes, uint64_t *offset)
{
  g_autofree char *path = g_strdup_printf ("/v1/streams/%s/records", stream);
  long status = call_service (client, path, bytes);
  json_t *answer;
  GsAppendResult result = GS_APPEND_UNKNOWN;

  gs_counter_add (GS_COUNTER_LOG_APPENDS, 1);
  if (status == 0)
    return client->maybe_sent ? GS_APPEND_UNKNOWN : GS_APPEND_NOT_DONE;
  if (status != 200)
    return status == 503 ? GS_APPEND_NOT_DONE : GS_APPEND_UNKNOWN;
  answer = json_loadb ((const char *)client->answer->data, client->answer->len, 0, NULL);
  if (json_is_integer (json_object_get (answer, "offset")))
    {
      if (offset != NULL)
        *offset = (uint64_t)json_integer_value (json_object_get (answer, "offset"));
      result = GS_APPEND_DONE;
    }
  json_decref (answer);
  return result;
}

bool
gs_log_append_snapshot (GsLogClient *client,
                        const char *stream,
                        GBytes *snapshot,
                        uint64_t position,
                        uint32_t *records)
{
  gsize length;
  const char *bytes = g_bytes_get_data (snapshot, &length);
  GsSnapshotChunk chunk
      = { .snapshot_hash = gs_hash_bytes (bytes, length, 0),
          .position = position,
          .count = (uint32_t)((length + GS_SNAPSHOT_CHUNK_BYTES - 1) / GS_SNAPSHOT_CHUNK_BYTES) };

  for (chunk.index = 0; chunk.index < chunk.count; chunk.index++)
    {
      g_autoptr (GBytes) record = NULL;
      size_t chunk_start = (size_t)chunk.index * GS_SNAPSHOT_CHUNK_BYTES;
      chunk.bytes = bytes + chunk_start;
      chunk.length = MIN (length - chunk_start, GS_SNAPSHOT_CHUNK_BYTES);
      record = gs_record_encode_snapshot (&chunk);
      if (gs_log_append (client, stream, record, NULL) != GS_APPEND_DONE)
        return false;
    }
  *records = chunk.count;
  return true;
}

static void
free_record (gpointer data)
{
  GsLogRecord *record = data;

  g_bytes_unref (record->bytes);
  g_free (record);
}

static bool
parse_page (GsLogPage *page, const char *bytes, size_t length)
{
  msgpack_unpacked unpacked;
  GsMsgpackReader reader;
  GsMsgpackReader list;

  reader = gs_msgpack_unpack (&unpacked, bytes, length);
  page->first_offset = gs_msgpack_read_uint (&reader, INT64_MAX);
  page->end_offset = gs_msgpack_read_uint (&reader, INT64_MAX);
  page->now_ms = (int64_t)gs_msgpack_read_uint (&reader, INT64_MAX);
  page->retention_ms = (int64_t)gs_msgpack_read_uint (&reader, INT64_MAX);
  list = gs_msgpack_read_array (&reader);
  page->records = g_ptr_array_new_with_free_func (free_record);
  for (uint32_t i = 0; i < list.length && !list.failed; i++)
    {
      GsMsgpackReader item = gs_msgpack_read_array (&list);
      GsLogRecord *record = g_new0 (GsLogRecord, 1);
      size_t record_length;
      const char *record_bytes;
      record->offset = gs_msgpack_read_uint (&item, INT64_MAX);
      record->written_ms = (int64_t)gs_msgpack_read_uint (&item, INT64_MAX);
      record_bytes = gs_msgpack_read_bytes (&item, &record_length);
      record->bytes = g_bytes_new (record_bytes, record_length);
      g_ptr_array_add (page->records, record);
      list.failed = list.failed || item.failed;
    }
  msgpack_unpacked_destroy (&unpacked);
  return !reader.failed && !list.failed;
}

bool
gs_log_read (GsLogClient *client,
             const char *stream,
             uint64_t from,
             uint32_t limit,
             GsLogPage *page)
{
  g_autofree char *path = g_strdup_printf (
      "/v1/streams/%s/records?from=%" G_GUINT64_FORMAT "&limit=%u", stream, from, limit);

  memset (page, 0, sizeof *page);
  gs_counter_add (GS_COUNTER_LOG_READS, 1);
  if (call_service (client, path, NULL) != 200)
    return false;
  gs_counter_add (GS_COUNTER_LOG_READ_BYTES, client->answer->len);
  if (parse_page (page, (const char *)client->answer->data, client->answer->len))
    return true;
  gs_log_page_clear (page);
  return false;
}

void
gs_log_page_clear (GsLogPage *page)
{
  g_clear_pointer (&page->records, g_ptr_array_unref);
}

static void
free_instance (gpointer data)
{
  GsListedInstance *instance = data;

  g_free (instance->id);
  g_free (instance);
}

static GsListedInstance *
parse_instance (const json_t *item)
{
  const char *id = json_string_value (json_object_get (item, "id"));
  const char *state = json_string_value (json_object_get (item, "state"));
  const char *address = json_string_value (json_object_get (item, "address"));
  json_int_t port = json_integer_value (json_object_get (item, "peer_port"));
  GsListedInstance *instance;
  struct in_addr ipv4;

  if (id == NULL || state == NULL || strlen (id) > 63)
    return NULL;
  instance = g_new0 (GsListedInstance, 1);
  instance->id = g_strdup (id);
  instance->leaving = strcmp (state, "leaving") == 0;
  if (address != NULL && port > 0 && port <= 65535 && inet_pton (AF_INET, address, &ipv4) == 1)
    {
      instance->ipv4 = ntohl (ipv4.s_addr);
      instance->peer_port = (uint16_t)port;
    }
  return instance;
}

GPtrArray *
gs_log_list_instances (GsLogClient *client)
{
  GPtrArray *list;
  json_t *answer;
  size_t index;
  json_t *item;

  if (call_service (client, "/v1/instances", NULL) != 200)
    return NULL;
  answer = json_loadb ((const char *)client->answer->data, client->answer->len, 0, NULL);
  list = g_ptr_array_new_with_free_func (free_instance);
  json_array_foreach (answer, index, item)
  {
    GsListedInstance *instance = parse_instance (item);
    if (instance != NULL)
      g_ptr_array_add (list, instance);
  }
  json_decref (answer);
  return list;
}
