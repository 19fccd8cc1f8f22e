#include "log_consumer.h"

#include <string.h>

#include "../config/tables.h"
#include "../log/counter.h"
#include "../log/log.h"
#include "../store/log_client.h"
#include "../store/record.h"

enum
{
  CONSUMER_READERS = 2,        /* daemons of a failure domain that read the log */
  CONSUMER_PAGE_RECORDS = 256, /* records of one read */
  /* Records of one read in search of a snapshot, whose records are large. */
  CONSUMER_SEARCH_PAGE_RECORDS = 8,
  CONSUMER_CALL_TIMEOUT_MS = 3000,
  CONSUMER_SNAPSHOTS_PER_RETENTION = 3,
  CONSUMER_SNAPSHOT_CHUNKS_MAX = 4096,
};

#define CONSUMER_POLL_US (200 * GS_US_PER_MS)
#define CONSUMER_INSTANCES_POLL_US GS_US_PER_S
#define CONSUMER_PULL_US (300 * GS_US_PER_MS)
/** A daemon of any rank reads the log when its last read is older than (10 + rank) times this. */
#define CONSUMER_READ_AGE_US (3 * GS_US_PER_S)
/** Longest wait for a claim to append, before the claims streams are read. */
#define CONSUMER_CLAIMS_POLL_US (10 * GS_US_PER_MS)
/** Interval between reads of a claims stream for which no request waits. */
#define CONSUMER_CLAIMS_IDLE_US (1 * GS_US_PER_S)
/** Safety margin on the log's retention when the coverage of a claims stream is computed. */
#define CONSUMER_COVERAGE_MARGIN_MS 1000
/** Rate limit and burst of one daemon's appends to one claims stream; for 64 streams the rate stays
 * below 200 per second. */
#define CONSUMER_APPENDS_PER_S 3.0
#define CONSUMER_APPENDS_BURST 10.0

/* Assembles a snapshot from its chunks. */
typedef struct
{
  uint64_t id;
  uint64_t position;
  uint32_t count;
  GHashTable *chunks; /* index -> GBytes */
} SnapshotAssembly;

typedef struct
{
  uint64_t next_offset;
  uint64_t era; /* of the log, to which `next_offset` belongs */
  bool coverage_posted;
  int64_t read_us; /* last complete read */
  double tokens;   /* of the rate limit for appends */
  int64_t refilled_us;
  GArray *pending; /* of GsClaimRecord, to append; NULL: none yet */
} ClaimsStream;

struct GsLogConsumer
{
  GsEngine *engine;
  GThread *config_thread;
  GThread *claims_thread;
  gint stopping;
  GsLogClient *config_client;
  uint64_t next_offset; /* of the config stream, to read */
  bool gap;             /* records between the tables' position and `next_offset` are missing */
  int64_t last_snapshot_ms;
  int64_t first_edit_ms;
  int64_t log_now_ms;
  int64_t retention_ms;
  int64_t read_us; /* last successful read */
  int64_t next_instances_us;
  int64_t next_pull_us;
  bool log_unavailable;
  GHashTable *upstreams; /* id -> leaving, as last listed */
  SnapshotAssembly assembly;
  GsLogClient *claims_client;
  ClaimsStream claims_streams[GS_CLAIM_PARTITIONS];
};

static void
update_log_state (GsLogConsumer *consumer, bool available)
{
  if (available && consumer->log_unavailable)
    gs_log (GS_LOG_EVENT_LOG_AVAILABLE, "stream=%s", GS_CONFIG_STREAM);
  if (!available && !consumer->log_unavailable)
    gs_log (GS_LOG_EVENT_LOG_UNAVAILABLE, "stream=%s", GS_CONFIG_STREAM);
  consumer->log_unavailable = !available;
  if (available)
    consumer->read_us = g_get_monotonic_time ();
}

static void
post_position (GsLogConsumer *consumer, uint64_t position, bool from_start)
{
  GsEvent event = { .kind = GS_EVENT_LOG_POSITION,
                    .position = { .log_position = position, .from_start = from_start } };

  gs_engine_post (consumer->engine, &event);
}

static void
post_edit (GsLogConsumer *consumer, uint64_t offset, const GsRecord *record)
{
  g_autoptr (GError) error = NULL;
  GsEvent event = { .kind = GS_EVENT_EDIT,
                    .edit = { .offset = offset,
                              .edit = { .submission = gs_hash_name (record->submission),
                                        .base_revision = record->base_revision,
                                        .workspace = record->workspace,
                                        .text = record->text,
                                        .document = gs_tables_parse (
                                            record->workspace, record->submission, record->text,
                                            strlen (record->text), &error) } } };

  if (error != NULL)
    gs_log (GS_LOG_EVENT_LOG_RECORD_REFUSED, "offset=%" G_GUINT64_FORMAT " reason=\"%s\"", offset,
            error->message);
  gs_engine_post (consumer->engine, &event);
}

static void
reset_assembly (SnapshotAssembly *assembly, const GsSnapshotChunk *chunk)
{
  if (assembly->chunks == NULL)
    assembly->chunks = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                              (GDestroyNotify)g_bytes_unref);
  if (chunk != NULL && chunk->snapshot_hash == assembly->id && chunk->count == assembly->count)
    return;
  g_hash_table_remove_all (assembly->chunks);
  assembly->id = chunk != NULL ? chunk->snapshot_hash : 0;
  assembly->count = chunk != NULL ? chunk->count : 0;
  assembly->position = chunk != NULL ? chunk->position : 0;
}

/* RETURN VALUE: the snapshot's bytes, newly allocated; NULL while a chunk is missing. */
static GByteArray *
join_chunks (const SnapshotAssembly *assembly)
{
  GByteArray *bytes;

  if (g_hash_table_size (assembly->chunks) != assembly->count)
    return NULL;
  bytes = g_byte_array_new ();
  for (uint32_t i = 0; i < assembly->count; i++)
    {
      GBytes *chunk = g_hash_table_lookup (assembly->chunks, GUINT_TO_POINTER (i));
      gsize length;
      gconstpointer data = g_bytes_get_data (chunk, &length);
      g_byte_array_append (bytes, data, (guint)length);
    }
  return bytes;
}

static uint64_t
tables_position (GsLogConsumer *consumer, bool *complete)
{
  const GsCore *core = gs_engine_lock (consumer->engine);
  uint64_t position = gs_config_log_position (gs_core_config_log (core));

  *complete = gs_config_log_is_complete (gs_core_config_log (core));
  gs_engine_unlock (consumer->engine);
  return position;
}

/* RETURN VALUE: true when a complete snapshot was applied; reading continues from its position. */
static bool
process_chunk (GsLogConsumer *consumer, const GsSnapshotChunk *chunk)
{
  SnapshotAssembly *assembly = &consumer->assembly;
  g_autoptr (GByteArray) bytes = NULL;
  uint64_t position;
  bool complete;

  if (chunk->count > CONSUMER_SNAPSHOT_CHUNKS_MAX)
    return false;
  reset_assembly (assembly, chunk);
  g_hash_table_insert (assembly->chunks, GUINT_TO_POINTER (chunk->index),
                       g_bytes_new (chunk->bytes, chunk->length));
  bytes = join_chunks (assembly);
  if (bytes == NULL || gs_hash_bytes (bytes->data, bytes->len, 0) != assembly->id)
    return false;
  position = assembly->position;
  reset_assembly (assembly, NULL); /* the chunks are not needed beside the complete snapshot */
  if (!gs_engine_apply_tables_snapshot (consumer->engine, (const char *)bytes->data, bytes->len)
      || tables_position (consumer, &complete) < position)
    return false; /* an entry of it is unusable here */
  consumer->next_offset = position;
  consumer->gap = false;
  return true;
}

static void
log_refused_record (uint64_t offset)
{
  gs_log (GS_LOG_EVENT_LOG_RECORD_REFUSED,
          "offset=%" G_GUINT64_FORMAT " reason=\"unknown version or form\"", offset);
}

/* Advances the tables' position past a record that holds no edit. */
static void
skip_record (GsLogConsumer *consumer)
{
  if (!consumer->gap)
    post_position (consumer, consumer->next_offset, false);
}

/* RETURN VALUE: false when reading must restart at `next_offset`. */
static bool
process_record (GsLogConsumer *consumer, const GsLogRecord *entry)
{
  GsRecord record;
  gsize length;
  const char *bytes = g_bytes_get_data (entry->bytes, &length);
  bool continues = true;

  consumer->next_offset = entry->offset + 1;
  if (!gs_record_decode (&record, bytes, length))
    {
      log_refused_record (entry->offset);
      skip_record (consumer);
      return true;
    }
  if (record.kind == GS_RECORD_EDIT)
    {
      if (consumer->first_edit_ms == 0)
        consumer->first_edit_ms = entry->written_ms;
      if (!consumer->gap)
        post_edit (consumer, entry->offset, &record);
    }
  else if (record.kind == GS_RECORD_SNAPSHOT)
    {
      consumer->last_snapshot_ms = MAX (consumer->last_snapshot_ms, entry->written_ms);
      if (consumer->gap)
        continues = !process_chunk (consumer, &record.chunk);
      else
        skip_record (consumer);
    }
  else
    skip_record (consumer);
  gs_record_clear (&record);
  return continues;
}

/* Chooses where the log is read from: from the tables' position on, or from the first record that
 * it still holds if later than that position. */
static void
choose_start (GsLogConsumer *consumer, const GsLogPage *page)
{
  bool complete;
  uint64_t position = tables_position (consumer, &complete);

  if (page->first_offset == 0 && !complete)
    {
      post_position (consumer, 0, true);
      complete = true;
    }
  if (complete && position >= page->first_offset)
    {
      consumer->gap = false;
      consumer->next_offset = position;
    }
  else
    {
      consumer->gap = true;
      consumer->next_offset = MAX (consumer->next_offset, page->first_offset);
    }
}

static bool
read_page (GsLogConsumer *consumer, GsLogPage *page)
{
  bool available
      = gs_log_read (consumer->config_client, GS_CONFIG_STREAM, consumer->next_offset,
                     consumer->gap ? CONSUMER_SEARCH_PAGE_RECORDS : CONSUMER_PAGE_RECORDS, page);

  update_log_state (consumer, available);
  if (!available)
    return false;
  consumer->log_now_ms = page->now_ms;
  consumer->retention_ms = page->retention_ms;
  return true;
}

/* Reads a page from `next_offset` on. RETURN VALUE: true when another can be read at once. */
static bool
read_log (GsLogConsumer *consumer)
{
  GsLogPage page;
  bool more = false;
  uint64_t requested;

  requested = consumer->next_offset;
  if (!read_page (consumer, &page))
    return false;
  choose_start (consumer, &page);
  if (consumer->next_offset != requested)
    more = true; /* read again from the chosen offset */
  else
    {
      for (guint i = 0; i < page.records->len; i++)
        if (!process_record (consumer, g_ptr_array_index (page.records, i)))
          break;
      more = consumer->next_offset < page.end_offset && page.records->len > 0;
    }
  gs_log_page_clear (&page);
  return more;
}

static void
append_snapshot (GsLogConsumer *consumer)
{
  g_autoptr (GBytes) snapshot = NULL;
  uint64_t position;
  uint32_t records;
  const GsCore *core = gs_engine_lock (consumer->engine);

  position = gs_config_log_position (gs_core_config_log (core));
  snapshot = gs_tables_snapshot_encode (gs_core_config_log (core), 0);
  gs_engine_unlock (consumer->engine);
  if (!gs_log_append_snapshot (consumer->config_client, GS_CONFIG_STREAM, snapshot, position,
                               &records))
    return; /* it is still due and is retried at the next poll */
  consumer->last_snapshot_ms = consumer->log_now_ms;
  gs_log (GS_LOG_EVENT_SNAPSHOT_APPENDED, "position=%" G_GUINT64_FORMAT " bytes=%zu records=%u",
          position, g_bytes_get_size (snapshot), records);
}

static uint32_t
reader_rank (GsLogConsumer *consumer)
{
  const GsCore *core = gs_engine_lock (consumer->engine);
  uint32_t rank = gs_members_domain_rank (gs_core_members (core), gs_hash_name (GS_CONFIG_STREAM));

  gs_engine_unlock (consumer->engine);
  return rank;
}

/* A snapshot is due when a third of the retention has passed since the last one, or since the first
 * edit; each further rank waits longer by a quarter of that time. */
static void
append_snapshot_if_due (GsLogConsumer *consumer, uint32_t rank)
{
  int64_t since_ms = MAX (consumer->last_snapshot_ms, consumer->first_edit_ms);
  int64_t due_ms = consumer->retention_ms / CONSUMER_SNAPSHOTS_PER_RETENTION;

  due_ms += (int64_t)rank * due_ms / 4;
  if (consumer->gap || since_ms == 0 || consumer->log_now_ms - since_ms < due_ms
      || consumer->log_unavailable)
    return;
  append_snapshot (consumer);
}

static void
process_listed_upstream (GsLogConsumer *consumer, const GsListedInstance *listed)
{
  GsEvent event = { .kind = GS_EVENT_UPSTREAM_REPORT };
  gpointer before;
  bool known = g_hash_table_lookup_extended (consumer->upstreams, listed->id, NULL, &before);

  event.upstream_report.leaving = listed->leaving;
  event.upstream_report.notify_peers = !known || GPOINTER_TO_INT (before) != listed->leaving;
  g_strlcpy (event.upstream_report.upstream, listed->id, sizeof event.upstream_report.upstream);
  g_hash_table_replace (consumer->upstreams, g_strdup (listed->id),
                        GINT_TO_POINTER (listed->leaving));
  if (known || listed->leaving)
    gs_engine_post (consumer->engine, &event);
}

static void
process_listed_daemon (GsLogConsumer *consumer, const GsListedInstance *listed)
{
  GsEvent event
      = { .kind = GS_EVENT_JOIN, .join = { .ipv4 = listed->ipv4, .peer_port = listed->peer_port } };
  const GsCore *core = gs_engine_lock (consumer->engine);
  bool known = gs_members_find (gs_core_members (core), listed->id) != NULL;

  gs_engine_unlock (consumer->engine);
  if (!known && !listed->leaving)
    gs_engine_post (consumer->engine, &event);
}

static void
read_instances (GsLogConsumer *consumer)
{
  g_autoptr (GPtrArray) list = gs_log_list_instances (consumer->config_client);

  consumer->next_instances_us = g_get_monotonic_time () + CONSUMER_INSTANCES_POLL_US;
  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const GsListedInstance *listed = g_ptr_array_index (list, i);
      if (listed->peer_port != 0)
        process_listed_daemon (consumer, listed);
      else
        process_listed_upstream (consumer, listed);
    }
}

/* Pulls the tables from a daemon with a higher position. */
static void
pull_tables (GsLogConsumer *consumer)
{
  int64_t now_us = g_get_monotonic_time ();
  const GsCore *core = gs_engine_lock (consumer->engine);
  const GsConfigLog *config_log = gs_core_config_log (core);
  uint64_t position
      = gs_config_log_is_complete (config_log) ? gs_config_log_position (config_log) : 0;
  GsPeerAddress address;
  uint64_t newest = gs_members_newest_position (gs_core_members (core), &address);

  gs_engine_unlock (consumer->engine);
  if (newest <= position || now_us < consumer->next_pull_us)
    return;
  consumer->next_pull_us = now_us + CONSUMER_PULL_US;
  gs_engine_pull_tables_snapshot (consumer->engine, &address, position);
}

/* Whether no other daemon is heard, so that the readers may all be lost. */
static bool
is_isolated (GsLogConsumer *consumer)
{
  bool isolated = gs_members_isolated (gs_core_members (gs_engine_lock (consumer->engine)));

  gs_engine_unlock (consumer->engine);
  return isolated;
}

static bool
is_reader (GsLogConsumer *consumer, uint32_t rank)
{
  bool complete;

  tables_position (consumer, &complete);
  return rank < CONSUMER_READERS || !complete || gs_engine_must_read_log (consumer->engine)
         || is_isolated (consumer)
         || g_get_monotonic_time () - consumer->read_us > CONSUMER_READ_AGE_US * (10 + rank);
}

static gpointer
run_config (gpointer data)
{
  GsLogConsumer *consumer = data;

  while (!g_atomic_int_get (&consumer->stopping))
    {
      uint32_t rank = reader_rank (consumer);
      bool reader = is_reader (consumer, rank);
      if (reader)
        while (read_log (consumer) && !g_atomic_int_get (&consumer->stopping))
          ;
      if (reader && g_get_monotonic_time () >= consumer->next_instances_us)
        read_instances (consumer);
      if (rank < CONSUMER_READERS)
        append_snapshot_if_due (consumer, rank);
      pull_tables (consumer);
      g_usleep (CONSUMER_POLL_US);
    }
  return NULL;
}

static char *
stream_name (uint32_t partition)
{
  return g_strdup_printf ("claims-%02u", partition);
}

static void
post_claims (GsLogConsumer *consumer, uint32_t partition, const GsLogRecord *entry)
{
  GsRecord record;
  gsize length;
  const char *bytes = g_bytes_get_data (entry->bytes, &length);

  if (!gs_record_decode (&record, bytes, length) || record.kind != GS_RECORD_CLAIMS)
    {
      log_refused_record (entry->offset);
      return;
    }
  for (uint32_t i = 0; i < record.n_claims; i++)
    {
      GsEvent event = { .kind = GS_EVENT_CLAIM_RECORD,
                        .claim_record = { .partition = partition,
                                          .log_ms = entry->written_ms,
                                          .record = record.claims[i] } };
      if (gs_idempotency_key_partition (&record.claims[i].key) == partition)
        gs_engine_post (consumer->engine, &event);
    }
  gs_record_clear (&record);
}

static void
post_claims_read (GsLogConsumer *consumer, uint32_t index, const GsLogPage *page, bool caught_up)
{
  ClaimsStream *stream = &consumer->claims_streams[index];
  int64_t from_ms = page->first_offset == 0
                        ? 0
                        : page->now_ms - page->retention_ms + CONSUMER_COVERAGE_MARGIN_MS;
  GsEvent event = { .kind = GS_EVENT_CLAIMS_READ,
                    .claims_read = { .partition = index,
                                     .from_ms = from_ms,
                                     .retention_ms = page->retention_ms,
                                     .log_now_ms = page->now_ms,
                                     .era = stream->era,
                                     .caught_up = caught_up } };

  stream->coverage_posted = true;
  gs_engine_post (consumer->engine, &event);
}

/* RETURN VALUE: whether PAGE continues what was read of STREAM. If it is of a later era of the log,
 * the stream is read again from its start. */
static bool
continues_stream (ClaimsStream *stream, const GsLogPage *page)
{
  bool continues = page->era == 0 || page->era == stream->era
                   || (page->era > stream->era && stream->next_offset == 0);

  if (page->era > stream->era)
    {
      stream->era = page->era;
      stream->next_offset = 0;
      stream->coverage_posted = false;
    }
  return continues;
}

/* Reads a claims stream to its end, oldest retained record first. */
static void
read_claims (GsLogConsumer *consumer, uint32_t index)
{
  ClaimsStream *stream = &consumer->claims_streams[index];
  g_autofree char *name = stream_name (index);
  bool more = true;

  while (more)
    {
      GsLogPage page;
      if (!gs_log_read (consumer->claims_client, name, stream->next_offset, CONSUMER_PAGE_RECORDS,
                        &page))
        return;
      if (!continues_stream (stream, &page))
        {
          more = page.era == stream->era; /* the answer of an earlier era was late */
          gs_log_page_clear (&page);
          continue;
        }
      if (!stream->coverage_posted || page.first_offset > stream->next_offset)
        post_claims_read (consumer, index, &page, false);
      stream->next_offset = MAX (stream->next_offset, page.first_offset);
      for (guint i = 0; i < page.records->len; i++)
        {
          const GsLogRecord *entry = g_ptr_array_index (page.records, i);
          post_claims (consumer, index, entry);
          stream->next_offset = entry->offset + 1;
        }
      more = stream->next_offset < page.end_offset && page.records->len > 0;
      if (!more)
        post_claims_read (consumer, index, &page, true);
      gs_log_page_clear (&page);
    }
  stream->read_us = g_get_monotonic_time ();
}

static void
collect_claims (GsLogConsumer *consumer, int64_t wait_us)
{
  GsClaimRecord claim;

  while (gs_engine_next_claim (consumer->engine, wait_us, &claim))
    {
      ClaimsStream *stream = &consumer->claims_streams[gs_idempotency_key_partition (&claim.key)];
      if (stream->pending == NULL)
        stream->pending = g_array_new (FALSE, FALSE, sizeof (GsClaimRecord));
      g_array_append_val (stream->pending, claim);
      wait_us = 0;
    }
}

static bool
use_append_token (ClaimsStream *stream)
{
  int64_t now_us = g_get_monotonic_time ();
  double refill = (double)(now_us - stream->refilled_us) / GS_US_PER_S * CONSUMER_APPENDS_PER_S;

  stream->tokens = MIN (stream->tokens + refill, CONSUMER_APPENDS_BURST);
  stream->refilled_us = now_us;
  if (stream->tokens < 1)
    return false;
  stream->tokens -= 1;
  return true;
}

/* Handles a claim whose append failed: an acquisition fails, other records are queued again. */
static void
process_failed_append (GsLogConsumer *consumer, const GsClaimRecord *claim, GsAppendResult result)
{
  GsEvent event = { .kind = GS_EVENT_CLAIM_APPEND_FAILED,
                    .claim_append_failed
                    = { .claim = claim->claim_id, .certain = result == GS_APPEND_NOT_DONE } };

  if (claim->kind == GS_CLAIM_ACQUIRE)
    gs_engine_post (consumer->engine, &event);
  else
    g_array_append_val (
        consumer->claims_streams[gs_idempotency_key_partition (&claim->key)].pending, *claim);
}

static void
append_claims (GsLogConsumer *consumer, uint32_t index)
{
  ClaimsStream *stream = &consumer->claims_streams[index];
  g_autofree char *name = stream_name (index);
  g_autoptr (GBytes) record = NULL;
  g_autoptr (GArray) batch = NULL;
  GsAppendResult result;

  if (stream->pending == NULL || stream->pending->len == 0 || !use_append_token (stream))
    return;
  batch = g_steal_pointer (&stream->pending);
  stream->pending = g_array_new (FALSE, FALSE, sizeof (GsClaimRecord));
  if (batch->len > GS_RECORD_CLAIMS_MAX)
    {
      g_array_append_vals (stream->pending,
                           &g_array_index (batch, GsClaimRecord, GS_RECORD_CLAIMS_MAX),
                           batch->len - GS_RECORD_CLAIMS_MAX);
      g_array_set_size (batch, GS_RECORD_CLAIMS_MAX);
    }
  record = gs_record_encode_claims ((const GsClaimRecord *)(void *)batch->data, batch->len);
  result = gs_log_append (consumer->claims_client, name, record, NULL);
  for (guint i = 0; result != GS_APPEND_DONE && i < batch->len; i++)
    process_failed_append (consumer, &g_array_index (batch, GsClaimRecord, i), result);
}

static void
process_partition (GsLogConsumer *consumer, uint32_t index, const GsClaimPartitions *partitions)
{
  uint64_t bit = UINT64_C (1) << index;
  int64_t age_us = g_get_monotonic_time () - consumer->claims_streams[index].read_us;

  append_claims (consumer, index);
  if ((partitions->awaited & bit) != 0
      || ((partitions->owned & bit) != 0 && age_us >= CONSUMER_CLAIMS_IDLE_US))
    read_claims (consumer, index);
}

static gpointer
run_claims (gpointer data)
{
  GsLogConsumer *consumer = data;

  while (!g_atomic_int_get (&consumer->stopping))
    {
      GsClaimPartitions partitions;
      collect_claims (consumer, CONSUMER_CLAIMS_POLL_US);
      partitions = gs_engine_claim_partitions (consumer->engine);
      for (uint32_t i = 0; i < GS_CLAIM_PARTITIONS; i++)
        process_partition (consumer, i, &partitions);
    }
  return NULL;
}

GsLogConsumer *
gs_log_consumer_new (GsEngine *engine)
{
  GsLogConsumer *consumer = g_new0 (GsLogConsumer, 1);
  const char *url = gs_engine_settings (engine)->platform_url;

  consumer->engine = engine;
  consumer->upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  consumer->config_client = gs_log_client_new (url, CONSUMER_CALL_TIMEOUT_MS);
  consumer->claims_client = gs_log_client_new (url, CONSUMER_CALL_TIMEOUT_MS);
  consumer->gap = true; /* assumed until the first read */
  consumer->config_thread = g_thread_new ("config", run_config, consumer);
  consumer->claims_thread = g_thread_new ("claims", run_claims, consumer);
  return consumer;
}

void
gs_log_consumer_free (GsLogConsumer *consumer)
{
  g_atomic_int_set (&consumer->stopping, 1);
  g_thread_join (consumer->config_thread);
  g_thread_join (consumer->claims_thread);
  gs_log_client_free (consumer->config_client);
  gs_log_client_free (consumer->claims_client);
  g_hash_table_destroy (consumer->upstreams);
  g_clear_pointer (&consumer->assembly.chunks, g_hash_table_destroy);
  for (int i = 0; i < GS_CLAIM_PARTITIONS; i++)
    g_clear_pointer (&consumer->claims_streams[i].pending, g_array_unref);
  g_free (consumer);
}
