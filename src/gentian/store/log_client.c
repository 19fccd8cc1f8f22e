#include "log_client.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

#include "../log/counter.h"
#include "../log/histogram.h"
#include "msgpack_io.h"
#include "record.h"
#include "service_client.h"

enum
{
  LOG_CONNECT_TIMEOUT_MS = 500,
};

struct GsLogClient
{
  GsServiceClient *service;
  uint32_t timeout_ms;
};

GsLogClient *
gs_log_client_new (const char *base_url, uint32_t timeout_ms)
{
  GsServiceClientOptions options = { .base_url = base_url,
                                     .connect_timeout_ms = LOG_CONNECT_TIMEOUT_MS,
                                     .era_header = "Log-Era" };
  GsLogClient *client = g_new0 (GsLogClient, 1);

  client->service = gs_service_client_new (&options);
  client->timeout_ms = timeout_ms;
  return client;
}

void
gs_log_client_free (GsLogClient *client)
{
  if (client == NULL)
    return;
  gs_service_client_free (client->service);
  g_free (client);
}

/* An append has a connection of its own: a late answer to an earlier one would acknowledge it. The
 * answer to a read says what it belongs to. */
static GsServiceAnswer
call_service (GsLogClient *client, const char *path, GBytes *body)
{
  GsServiceCall call = {
    .path = path, .body = body, .timeout_ms = client->timeout_ms, .own_connection = body != NULL
  };
  int64_t start_us = g_get_monotonic_time ();
  GsServiceAnswer answer = gs_service_client_call (client->service, &call);

  gs_histogram_record (GS_HISTOGRAM_STORE_CALL, g_get_monotonic_time () - start_us);
  if (answer.status != 200)
    gs_counter_add (GS_COUNTER_LOG_FAILURES, 1);
  return answer;
}

GsAppendResult
gs_log_append (GsLogClient *client, const char *stream, GBytes *bytes, uint64_t *offset)
{
  g_autofree char *path = g_strdup_printf ("/v1/streams/%s/records", stream);
  GsServiceAnswer answer = call_service (client, path, bytes);
  json_t *body;
  json_t *stored_at;
  GsAppendResult result = GS_APPEND_UNKNOWN;

  gs_counter_add (GS_COUNTER_LOG_APPENDS, 1);
  if (answer.status == 0)
    return answer.maybe_sent ? GS_APPEND_UNKNOWN : GS_APPEND_NOT_DONE;
  if (answer.status != 200)
    return answer.status == 503 ? GS_APPEND_NOT_DONE : GS_APPEND_UNKNOWN;
  body = json_loadb (answer.body, answer.length, 0, NULL);
  stored_at = json_object_get (body, "offset");
  if (json_is_integer (stored_at) && json_integer_value (stored_at) >= 0)
    {
      if (offset != NULL)
        *offset = (uint64_t)json_integer_value (stored_at);
      result = GS_APPEND_DONE;
    }
  json_decref (body);
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

/* Whether PAGE holds the records from FROM on, and not those of another read. */
static bool
is_requested_page (const GsLogPage *page, uint64_t from)
{
  uint64_t offset = MAX (from, page->first_offset);

  for (guint i = 0; i < page->records->len; i++)
    {
      const GsLogRecord *record = g_ptr_array_index (page->records, i);
      if (record->offset != offset++)
        return false;
    }
  return page->records->len == 0 || offset <= page->end_offset;
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

  GsServiceAnswer answer;

  memset (page, 0, sizeof *page);
  gs_counter_add (GS_COUNTER_LOG_READS, 1);
  answer = call_service (client, path, NULL);
  if (answer.status != 200)
    return false;
  page->era = answer.era;
  gs_counter_add (GS_COUNTER_LOG_READ_BYTES, answer.length);
  if (parse_page (page, answer.body, answer.length) && is_requested_page (page, from))
    return true;
  gs_log_page_clear (page);
  gs_service_client_disconnect (client->service);
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
  GsServiceAnswer answer = call_service (client, "/v1/instances", NULL);
  json_t *body;
  size_t index;
  json_t *item;

  if (answer.status != 200)
    return NULL;
  body = json_loadb (answer.body, answer.length, 0, NULL);
  if (!json_is_array (body))
    {
      json_decref (body);
      gs_service_client_disconnect (client->service);
      return NULL;
    }
  list = g_ptr_array_new_with_free_func (free_instance);
  json_array_foreach (body, index, item)
  {
    GsListedInstance *instance = parse_instance (item);
    if (instance != NULL)
      g_ptr_array_add (list, instance);
  }
  json_decref (body);
  return list;
}
