#include "record.h"

#include <string.h>

#include "msgpack_io.h"

/* RETURN VALUE: newly allocated copy of the buffer's bytes. Frees the buffer. */
static GBytes *
buffer_to_bytes (msgpack_sbuffer *buffer)
{
  GBytes *bytes = g_bytes_new (buffer->data, buffer->size);

  msgpack_sbuffer_destroy (buffer);
  return bytes;
}

static void
begin_record (msgpack_sbuffer *buffer, msgpack_packer *packer, GsRecordKind kind, size_t n_fields)
{
  msgpack_sbuffer_init (buffer);
  msgpack_packer_init (packer, buffer, msgpack_sbuffer_write);
  msgpack_pack_array (packer, 2 + n_fields);
  msgpack_pack_uint32 (packer, GS_RECORD_VERSION);
  msgpack_pack_uint32 (packer, (uint32_t)kind);
}

GBytes *
gs_record_encode_edit (const char *submission,
                       const char *workspace,
                       uint64_t base_revision,
                       const char *text)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  begin_record (&buffer, &packer, GS_RECORD_EDIT, 4);
  gs_msgpack_pack_string (&packer, submission);
  gs_msgpack_pack_string (&packer, workspace);
  msgpack_pack_uint64 (&packer, base_revision);
  gs_msgpack_pack_bytes (&packer, text, strlen (text));
  return buffer_to_bytes (&buffer);
}

GBytes *
gs_record_encode_snapshot (const GsSnapshotChunk *chunk)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  begin_record (&buffer, &packer, GS_RECORD_SNAPSHOT, 5);
  msgpack_pack_uint64 (&packer, chunk->snapshot_hash);
  msgpack_pack_uint64 (&packer, chunk->position);
  msgpack_pack_uint32 (&packer, chunk->index);
  msgpack_pack_uint32 (&packer, chunk->count);
  gs_msgpack_pack_bytes (&packer, chunk->bytes, chunk->length);
  return buffer_to_bytes (&buffer);
}

GBytes *
gs_record_encode_claims (const GsClaimRecord *claims, uint32_t n_claims)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  begin_record (&buffer, &packer, GS_RECORD_CLAIMS, 1);
  msgpack_pack_array (&packer, n_claims);
  for (uint32_t i = 0; i < n_claims; i++)
    {
      msgpack_pack_array (&packer, 5);
      msgpack_pack_uint32 (&packer, (uint32_t)claims[i].kind);
      msgpack_pack_uint64 (&packer, claims[i].key.high);
      msgpack_pack_uint64 (&packer, claims[i].key.low);
      msgpack_pack_uint64 (&packer, (uint64_t)claims[i].key.created_ms);
      msgpack_pack_uint64 (&packer, claims[i].claim_id);
    }
  return buffer_to_bytes (&buffer);
}

static void
decode_edit (GsRecord *record, GsMsgpackReader *reader)
{
  size_t length;
  const char *text;

  gs_msgpack_read_string (reader, record->submission, sizeof record->submission);
  gs_msgpack_read_string (reader, record->workspace, sizeof record->workspace);
  record->base_revision = gs_msgpack_read_uint (reader, UINT64_MAX);
  text = gs_msgpack_read_bytes (reader, &length);
  if (reader->failed || record->workspace[0] == '\0' || memchr (text, '\0', length) != NULL)
    {
      reader->failed = true;
      return;
    }
  record->text = g_strndup (text, length);
}

static void
decode_chunk (GsRecord *record, GsMsgpackReader *reader)
{
  GsSnapshotChunk *chunk = &record->chunk;

  chunk->snapshot_hash = gs_msgpack_read_uint (reader, UINT64_MAX);
  chunk->position = gs_msgpack_read_uint (reader, UINT64_MAX);
  chunk->index = (uint32_t)gs_msgpack_read_uint (reader, UINT16_MAX);
  chunk->count = (uint32_t)gs_msgpack_read_uint (reader, UINT16_MAX);
  chunk->bytes = gs_msgpack_read_bytes (reader, &chunk->length);
  if (chunk->index >= chunk->count)
    reader->failed = true;
}

static void
decode_claims (GsRecord *record, GsMsgpackReader *reader)
{
  GsMsgpackReader list = gs_msgpack_read_array (reader);

  if (list.failed || list.length > GS_RECORD_CLAIMS_MAX)
    {
      reader->failed = true;
      return;
    }
  record->claims = g_new0 (GsClaimRecord, list.length);
  for (uint32_t i = 0; i < list.length; i++)
    {
      GsMsgpackReader item = gs_msgpack_read_array (&list);
      GsClaimRecord *claim = &record->claims[i];
      claim->kind = (GsClaimKind)gs_msgpack_read_uint (&item, GS_CLAIM_ERA);
      claim->key.high = gs_msgpack_read_uint (&item, UINT64_MAX);
      claim->key.low = gs_msgpack_read_uint (&item, UINT64_MAX);
      claim->key.created_ms = (int64_t)gs_msgpack_read_uint (&item, INT64_MAX / 4);
      claim->claim_id = gs_msgpack_read_uint (&item, UINT64_MAX);
      reader->failed = reader->failed || item.failed;
    }
  record->n_claims = list.length;
}

bool
gs_record_decode (GsRecord *record, const char *bytes, size_t length)
{
  msgpack_unpacked unpacked;
  GsMsgpackReader reader;

  memset (record, 0, sizeof *record);
  reader = gs_msgpack_unpack (&unpacked, bytes, length);
  if (gs_msgpack_read_uint (&reader, UINT32_MAX) != GS_RECORD_VERSION)
    reader.failed = true;
  record->kind = (GsRecordKind)gs_msgpack_read_uint (&reader, GS_RECORD_CLAIMS);
  switch (reader.failed ? 0 : record->kind)
    {
    case GS_RECORD_EDIT:
      decode_edit (record, &reader);
      break;
    case GS_RECORD_SNAPSHOT:
      decode_chunk (record, &reader);
      break;
    case GS_RECORD_CLAIMS:
      decode_claims (record, &reader);
      break;
    default:
      reader.failed = true;
    }
  if (!reader.failed && record->kind == GS_RECORD_SNAPSHOT)
    record->chunk.bytes = g_memdup2 (record->chunk.bytes, record->chunk.length);
  else
    record->chunk.bytes = NULL;
  msgpack_unpacked_destroy (&unpacked);
  if (reader.failed)
    gs_record_clear (record);
  return !reader.failed;
}

void
gs_record_clear (GsRecord *record)
{
  g_clear_pointer (&record->text, g_free);
  g_clear_pointer (&record->claims, g_free);
  g_free ((char *)record->chunk.bytes);
  record->chunk.bytes = NULL;
}

typedef struct
{
  msgpack_packer *packer;
  uint32_t count;
} SnapshotPacker;

static void
count_entry (const GsSnapshotEntry *entry, void *data)
{
  (void)entry;
  ((SnapshotPacker *)data)->count++;
}

static void
pack_entry (const GsSnapshotEntry *entry, void *data)
{
  msgpack_packer *packer = ((SnapshotPacker *)data)->packer;

  msgpack_pack_array (packer, 3 + GS_CONFIG_LOG_SUBMISSIONS);
  gs_msgpack_pack_string (packer, entry->workspace);
  gs_msgpack_pack_string (packer, entry->text);
  msgpack_pack_uint64 (packer, entry->revision);
  for (int i = 0; i < GS_CONFIG_LOG_SUBMISSIONS; i++)
    msgpack_pack_uint64 (packer, entry->submissions[i]);
}

GBytes *
gs_tables_snapshot_encode (const GsConfigLog *log, uint64_t from)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  SnapshotPacker snapshot_packer = { .packer = &packer };

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  gs_config_log_foreach_newer (log, from, count_entry, &snapshot_packer);
  msgpack_pack_array (&packer, 4);
  msgpack_pack_uint32 (&packer, GS_RECORD_VERSION);
  msgpack_pack_uint64 (&packer, from);
  msgpack_pack_uint64 (&packer, gs_config_log_position (log));
  msgpack_pack_array (&packer, snapshot_packer.count);
  gs_config_log_foreach_newer (log, from, pack_entry, &snapshot_packer);
  return buffer_to_bytes (&buffer);
}

static void
decode_entry (GsMsgpackReader *list, GsSnapshotEntry *entry)
{
  GsMsgpackReader item = gs_msgpack_read_array (list);
  char workspace[GS_NAME_MAX + 1];
  size_t length;
  const char *text;

  gs_msgpack_read_string (&item, workspace, sizeof workspace);
  text = gs_msgpack_read_bytes (&item, &length);
  entry->revision = gs_msgpack_read_uint (&item, UINT64_MAX);
  for (int i = 0; i < GS_CONFIG_LOG_SUBMISSIONS; i++)
    entry->submissions[i] = gs_msgpack_read_uint (&item, UINT64_MAX);
  entry->workspace = g_strdup (workspace);
  entry->text = g_strndup (text != NULL ? text : "", length);
  list->failed = list->failed || item.failed;
}

bool
gs_tables_snapshot_decode (GsTablesSnapshot *snapshot, const char *bytes, size_t length)
{
  msgpack_unpacked unpacked;
  GsMsgpackReader reader;
  GsMsgpackReader list;

  memset (snapshot, 0, sizeof *snapshot);
  reader = gs_msgpack_unpack (&unpacked, bytes, length);
  if (gs_msgpack_read_uint (&reader, UINT32_MAX) != GS_RECORD_VERSION)
    reader.failed = true;
  snapshot->from = gs_msgpack_read_uint (&reader, UINT64_MAX);
  snapshot->position = gs_msgpack_read_uint (&reader, UINT64_MAX);
  list = gs_msgpack_read_array (&reader);
  if (!reader.failed && !list.failed)
    {
      snapshot->entries = g_new0 (GsSnapshotEntry, list.length);
      snapshot->n_entries = list.length;
      for (uint32_t i = 0; i < list.length; i++)
        decode_entry (&list, &snapshot->entries[i]);
    }
  msgpack_unpacked_destroy (&unpacked);
  if (!reader.failed && !list.failed)
    return true;
  gs_tables_snapshot_clear (snapshot);
  return false;
}

void
gs_tables_snapshot_clear (GsTablesSnapshot *snapshot)
{
  for (uint32_t i = 0; i < snapshot->n_entries; i++)
    {
      g_free ((char *)snapshot->entries[i].workspace);
      g_free ((char *)snapshot->entries[i].text);
    }
  g_clear_pointer (&snapshot->entries, g_free);
  snapshot->n_entries = 0;
}
