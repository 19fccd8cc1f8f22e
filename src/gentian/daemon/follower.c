#include "follower.h"

#include <string.h>

#include "../config/tables.h"
#include "../log/counter.h"
#include "../log/log.h"
#include "../store/log_client.h"
#include "../store/record.h"

enum
{
  FOLLOWER_READERS = 2,        /* daemons of a failure domain that read the log */
  FOLLOWER_PAGE_RECORDS = 256, /* records of one read */
  FOLLOWER_GAP_RECORDS = 8,    /* while a snapshot is looked for: its records are large */
  FOLLOWER_CALL_MS = 3000,
  FOLLOWER_SNAPSHOT_SHARE = 3, /* a snapshot each third of the retention */
  FOLLOWER_CHUNKS_MAX = 4096,
};

#define FOLLOWER_POLL_US (200 * GS_US_PER_MS)
#define FOLLOWER_LIST_US GS_US_PER_S
#define FOLLOWER_PULL_US (300 * GS_US_PER_MS)
#define FOLLOWER_QUIET_US (3 * GS_US_PER_S)
#define FOLLOWER_CLAIMS_POLL_US (10 * GS_US_PER_MS)
#define FOLLOWER_CLAIMS_IDLE_US (1 * GS_US_PER_S)
/** Margin on the log's retention when a stream's coverage is worked out. */
#define FOLLOWER_COVER_MARGIN_MS 1000
/** Appends a second and burst of one daemon for one claims stream; 64 streams stay below 200 a
 * second. */
#define FOLLOWER_APPENDS_PER_S 3.0
#define FOLLOWER_APPENDS_BURST 10.0

/* A snapshot being gathered from its records. */
typedef struct
{
  uint64_t id;
  uint64_t position;
  uint32_t count;
  GHashTable *chunks; /* index -> GBytes */
} Gathering;

typedef struct
{
  uint64_t next;
  bool started;
  int64_t polled_us;
  double tokens;
  int64_t earned_us;
  GArray *pending; /* of GsClaimRecord */
} Partition;

struct GsFollower
{
  GsEngine *engine;
  GThread *config_thread;
  GThread *claims_thread;
  gint ending;
  GsLogClient *config_client;
  uint64_t scan; /* next config offset to read */
  bool gap;      /* records between the tables and `scan` are gone */
  int64_t last_snapshot_ms;
  int64_t first_edit_ms;
  int64_t log_now_ms;
  int64_t retention_ms;
  int64_t read_us; /* last successful read */
  int64_t next_list_us;
  int64_t next_pull_us;
  bool log_away;
  GHashTable *listed; /* id -> leaving, of the last list */
  Gathering gathering;
  GsLogClient *claims_client;
  Partition partitions[GS_CLAIM_PARTITIONS];
};

static void
note_log (GsFollower *follower, bool works)
{
  if (works && follower->log_away)
    gs_log (GS_LOG_EVENT_LOG_AVAILABLE, "stream=%s", GS_CONFIG_STREAM);
  if (!works && !follower->log_away)
    gs_log (GS_LOG_EVENT_LOG_UNAVAILABLE, "stream=%s", GS_CONFIG_STREAM);
  follower->log_away = !works;
  if (works)
    follower->read_us = g_get_monotonic_time ();
}

static void
post_position (GsFollower *follower, uint64_t position, bool from_start)
{
  GsEvent event = { .kind = GS_EVENT_LOG_POSITION,
                    .position = { .log_position = position, .from_start = from_start } };

  gs_engine_post (follower->engine, &event);
}

static void
post_edit (GsFollower *follower, uint64_t offset, const GsRecord *record)
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
  gs_engine_post (follower->engine, &event);
}

static void
reset_gathering (Gathering *gathering, const GsSnapshotChunk *chunk)
{
  if (gathering->chunks == NULL)
    gathering->chunks = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                               (GDestroyNotify)g_bytes_unref);
  if (chunk != NULL && chunk->snapshot_hash == gathering->id && chunk->count == gathering->count)
    return;
  g_hash_table_remove_all (gathering->chunks);
  gathering->id = chunk != NULL ? chunk->snapshot_hash : 0;
  gathering->count = chunk != NULL ? chunk->count : 0;
  gathering->position = chunk != NULL ? chunk->position : 0;
}

/* RETURN VALUE: the snapshot's bytes once all chunks are there, else NULL. */
static GByteArray *
assemble (const Gathering *gathering)
{
  GByteArray *all;

  if (g_hash_table_size (gathering->chunks) != gathering->count)
    return NULL;
  all = g_byte_array_new ();
  for (uint32_t i = 0; i < gathering->count; i++)
    {
      GBytes *bytes = g_hash_table_lookup (gathering->chunks, GUINT_TO_POINTER (i));
      gsize length;
      gconstpointer data = g_bytes_get_data (bytes, &length);
      g_byte_array_append (all, data, (guint)length);
    }
  return all;
}

/* RETURN VALUE: true when a whole snapshot was handed over; reading goes on from its position. */
static bool
take_chunk (GsFollower *follower, const GsSnapshotChunk *chunk)
{
  Gathering *gathering = &follower->gathering;
  g_autoptr (GByteArray) all = NULL;
  uint64_t position;

  if (chunk->count > FOLLOWER_CHUNKS_MAX)
    return false;
  reset_gathering (gathering, chunk);
  g_hash_table_insert (gathering->chunks, GUINT_TO_POINTER (chunk->index),
                       g_bytes_new (chunk->bytes, chunk->length));
  all = assemble (gathering);
  if (all == NULL || gs_hash_bytes (all->data, all->len, 0) != gathering->id)
    return false;
  position = gathering->position;
  reset_gathering (gathering, NULL); /* the chunks are not needed beside the whole */
  if (!gs_engine_take_copy (follower->engine, (const char *)all->data, all->len))
    return false;
  follower->scan = position;
  follower->gap = false;
  return true;
}

static void
refuse_record (uint64_t offset)
{
  gs_log (GS_LOG_EVENT_LOG_RECORD_REFUSED,
          "offset=%" G_GUINT64_FORMAT " reason=\"unknown version or form\"", offset);
}

/* Moves the tables past a record that holds no edit. */
static void
pass_record (GsFollower *follower)
{
  if (!follower->gap)
    post_position (follower, follower->scan, false);
}

/* RETURN VALUE: false when reading has to start anew from `scan`. */
static bool
take_record (GsFollower *follower, const GsLogRecord *entry)
{
  GsRecord record;
  gsize length;
  const char *bytes = g_bytes_get_data (entry->bytes, &length);
  bool go_on = true;

  follower->scan = entry->offset + 1;
  if (!gs_record_decode (&record, bytes, length))
    {
      refuse_record (entry->offset);
      pass_record (follower);
      return true;
    }
  if (record.kind == GS_RECORD_EDIT)
    {
      if (follower->first_edit_ms == 0)
        follower->first_edit_ms = entry->written_ms;
      if (!follower->gap)
        post_edit (follower, entry->offset, &record);
    }
  else if (record.kind == GS_RECORD_SNAPSHOT)
    {
      follower->last_snapshot_ms = MAX (follower->last_snapshot_ms, entry->written_ms);
      if (follower->gap)
        go_on = !take_chunk (follower, &record.chunk);
      else
        pass_record (follower);
    }
  else
    pass_record (follower);
  gs_record_clear (&record);
  return go_on;
}

static uint64_t
position_of (GsFollower *follower, bool *complete)
{
  const GsCore *core = gs_engine_lock (follower->engine);
  uint64_t position = gs_config_log_position (gs_core_config_log (core));

  *complete = gs_config_log_is_complete (gs_core_config_log (core));
  gs_engine_unlock (follower->engine);
  return position;
}

/* Settles from where the log is read: behind the tables, or from its start when records are gone.
 */
static void
settle_start (GsFollower *follower, const GsLogPage *page)
{
  bool complete;
  uint64_t position = position_of (follower, &complete);

  if (page->first == 0 && !complete)
    {
      post_position (follower, 0, true);
      complete = true;
    }
  if (complete && position >= page->first)
    {
      follower->gap = false;
      follower->scan = position;
    }
  else
    {
      follower->gap = true;
      follower->scan = MAX (follower->scan, page->first);
    }
}

static bool
read_page (GsFollower *follower, GsLogPage *page)
{
  bool works = gs_log_read (follower->config_client, GS_CONFIG_STREAM, follower->scan,
                            follower->gap ? FOLLOWER_GAP_RECORDS : FOLLOWER_PAGE_RECORDS, page);

  note_log (follower, works);
  if (!works)
    return false;
  follower->log_now_ms = page->now_ms;
  follower->retention_ms = page->retention_ms;
  return true;
}

/* Reads on from `scan`. RETURN VALUE: true when there is more to read at once. */
static bool
read_log (GsFollower *follower)
{
  GsLogPage page;
  bool more = false;
  uint64_t asked;

  asked = follower->scan;
  if (!read_page (follower, &page))
    return false;
  settle_start (follower, &page);
  if (follower->scan != asked)
    more = true; /* read again from the right place */
  else
    {
      for (guint i = 0; i < page.records->len; i++)
        if (!take_record (follower, g_ptr_array_index (page.records, i)))
          break;
      more = follower->scan < page.next && page.records->len > 0;
    }
  gs_log_page_clear (&page);
  return more;
}

static void
append_snapshot (GsFollower *follower)
{
  g_autoptr (GBytes) copy = NULL;
  uint64_t position;
  uint32_t records;
  const GsCore *core = gs_engine_lock (follower->engine);

  position = gs_config_log_position (gs_core_config_log (core));
  copy = gs_tables_snapshot_encode (gs_core_config_log (core), 0);
  gs_engine_unlock (follower->engine);
  if (!gs_log_append_snapshot (follower->config_client, GS_CONFIG_STREAM, copy, position, &records))
    return; /* tried again when it is due */
  follower->last_snapshot_ms = follower->log_now_ms;
  gs_log (GS_LOG_EVENT_SNAPSHOT_APPENDED, "position=%" G_GUINT64_FORMAT " bytes=%zu records=%u",
          position, g_bytes_get_size (copy), records);
}

static uint32_t
reader_rank (GsFollower *follower)
{
  const GsCore *core = gs_engine_lock (follower->engine);
  uint32_t rank = gs_members_domain_rank (gs_core_members (core), gs_hash_name (GS_CONFIG_STREAM));

  gs_engine_unlock (follower->engine);
  return rank;
}

/* Snapshots are due a third into the retention; daemons of a later rank wait longer. */
static void
keep_snapshot (GsFollower *follower, uint32_t rank)
{
  int64_t since_ms = MAX (follower->last_snapshot_ms, follower->first_edit_ms);
  int64_t due_ms = follower->retention_ms / FOLLOWER_SNAPSHOT_SHARE;

  due_ms += (int64_t)rank * due_ms / 4;
  if (follower->gap || since_ms == 0 || follower->log_now_ms - since_ms < due_ms
      || follower->log_away)
    return;
  append_snapshot (follower);
}

static void
note_listed (GsFollower *follower, const GsListedInstance *listed)
{
  GsEvent event = { .kind = GS_EVENT_UPSTREAM_REPORT };
  gpointer before;
  bool known = g_hash_table_lookup_extended (follower->listed, listed->id, NULL, &before);

  event.upstream_report.leaving = listed->leaving;
  event.upstream_report.notify_peers = !known || GPOINTER_TO_INT (before) != listed->leaving;
  g_strlcpy (event.upstream_report.upstream, listed->id, sizeof event.upstream_report.upstream);
  g_hash_table_replace (follower->listed, g_strdup (listed->id), GINT_TO_POINTER (listed->leaving));
  if (known || listed->leaving)
    gs_engine_post (follower->engine, &event);
}

static void
join_listed (GsFollower *follower, const GsListedInstance *listed)
{
  GsEvent event
      = { .kind = GS_EVENT_JOIN, .join = { .ipv4 = listed->ipv4, .peer_port = listed->peer_port } };
  const GsCore *core = gs_engine_lock (follower->engine);
  bool known = gs_members_find (gs_core_members (core), listed->id) != NULL;

  gs_engine_unlock (follower->engine);
  if (!known && !listed->leaving)
    gs_engine_post (follower->engine, &event);
}

static void
read_list (GsFollower *follower)
{
  g_autoptr (GPtrArray) list = gs_log_list_instances (follower->config_client);

  follower->next_list_us = g_get_monotonic_time () + FOLLOWER_LIST_US;
  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const GsListedInstance *listed = g_ptr_array_index (list, i);
      if (listed->peer_port != 0)
        join_listed (follower, listed);
      else
        note_listed (follower, listed);
    }
}

/* Pulls from a daemon that is ahead. */
static void
pull_from_peer (GsFollower *follower)
{
  int64_t now_us = g_get_monotonic_time ();
  const GsCore *core = gs_engine_lock (follower->engine);
  const GsConfigLog *fold = gs_core_config_log (core);
  uint64_t position = gs_config_log_is_complete (fold) ? gs_config_log_position (fold) : 0;
  GsPeerAddress address;
  uint64_t best = gs_members_best_position (gs_core_members (core), &address);

  gs_engine_unlock (follower->engine);
  if (best <= position || now_us < follower->next_pull_us)
    return;
  follower->next_pull_us = now_us + FOLLOWER_PULL_US;
  gs_engine_pull_copy (follower->engine, &address, position);
}

static bool
is_reader (GsFollower *follower, uint32_t rank)
{
  bool complete;

  position_of (follower, &complete);
  return rank < FOLLOWER_READERS || !complete || gs_engine_needs_log (follower->engine)
         || g_get_monotonic_time () - follower->read_us > FOLLOWER_QUIET_US * (10 + rank);
}

static gpointer
follow_config (gpointer data)
{
  GsFollower *follower = data;

  while (!g_atomic_int_get (&follower->ending))
    {
      uint32_t rank = reader_rank (follower);
      bool reader = is_reader (follower, rank);
      if (reader)
        while (read_log (follower) && !g_atomic_int_get (&follower->ending))
          ;
      if (reader && g_get_monotonic_time () >= follower->next_list_us)
        read_list (follower);
      if (rank < FOLLOWER_READERS)
        keep_snapshot (follower, rank);
      pull_from_peer (follower);
      g_usleep (FOLLOWER_POLL_US);
    }
  return NULL;
}

static char *
stream_name (uint32_t partition)
{
  return g_strdup_printf ("claims-%02u", partition);
}

static void
post_claims (GsFollower *follower, uint32_t partition, const GsLogRecord *entry)
{
  GsRecord record;
  gsize length;
  const char *bytes = g_bytes_get_data (entry->bytes, &length);

  if (!gs_record_decode (&record, bytes, length) || record.kind != GS_RECORD_CLAIMS)
    {
      refuse_record (entry->offset);
      return;
    }
  for (uint32_t i = 0; i < record.n_claims; i++)
    {
      GsEvent event = { .kind = GS_EVENT_CLAIM_RECORD,
                        .claim_record = { .partition = partition,
                                          .log_ms = entry->written_ms,
                                          .record = record.claims[i] } };
      if (gs_idempotency_key_partition (&record.claims[i].key) == partition)
        gs_engine_post (follower->engine, &event);
    }
  gs_record_clear (&record);
}

static void
post_covered (GsFollower *follower, uint32_t index, const GsLogPage *page, bool caught_up)
{
  Partition *partition = &follower->partitions[index];
  int64_t from_ms
      = page->first == 0 ? 0 : page->now_ms - page->retention_ms + FOLLOWER_COVER_MARGIN_MS;
  GsEvent event = { .kind = GS_EVENT_CLAIMS_READ,
                    .claims_read = { .partition = index,
                                     .from_ms = from_ms,
                                     .retention_ms = page->retention_ms,
                                     .log_now_ms = page->now_ms,
                                     .caught_up = caught_up } };

  partition->started = true;
  gs_engine_post (follower->engine, &event);
}

/* Reads a claims stream to its end, oldest retained record first. */
static void
read_claims (GsFollower *follower, uint32_t index)
{
  Partition *partition = &follower->partitions[index];
  g_autofree char *stream = stream_name (index);
  bool more = true;

  while (more)
    {
      GsLogPage page;
      if (!gs_log_read (follower->claims_client, stream, partition->next, FOLLOWER_PAGE_RECORDS,
                        &page))
        return;
      if (!partition->started || page.first > partition->next)
        post_covered (follower, index, &page, false);
      partition->next = MAX (partition->next, page.first);
      for (guint i = 0; i < page.records->len; i++)
        {
          const GsLogRecord *entry = g_ptr_array_index (page.records, i);
          post_claims (follower, index, entry);
          partition->next = entry->offset + 1;
        }
      more = partition->next < page.next && page.records->len > 0;
      if (!more)
        post_covered (follower, index, &page, true);
      gs_log_page_clear (&page);
    }
  partition->polled_us = g_get_monotonic_time ();
}

static void
gather_claims (GsFollower *follower, int64_t wait_us)
{
  GsClaimRecord claim;

  while (gs_engine_next_claim (follower->engine, wait_us, &claim))
    {
      Partition *partition = &follower->partitions[gs_idempotency_key_partition (&claim.key)];
      if (partition->pending == NULL)
        partition->pending = g_array_new (FALSE, FALSE, sizeof (GsClaimRecord));
      g_array_append_val (partition->pending, claim);
      wait_us = 0;
    }
}

static bool
may_append (Partition *partition)
{
  int64_t now_us = g_get_monotonic_time ();
  double earned = (double)(now_us - partition->earned_us) / GS_US_PER_S * FOLLOWER_APPENDS_PER_S;

  partition->tokens = MIN (partition->tokens + earned, FOLLOWER_APPENDS_BURST);
  partition->earned_us = now_us;
  if (partition->tokens < 1)
    return false;
  partition->tokens -= 1;
  return true;
}

/* What becomes of a claim whose append failed: takes are given up, the others are tried again. */
static void
settle_failed (GsFollower *follower, const GsClaimRecord *claim, GsAppendResult result)
{
  GsEvent event = { .kind = GS_EVENT_CLAIM_APPEND_FAILED,
                    .claim_append_failed
                    = { .claim = claim->claim_id, .certain = result == GS_APPEND_NOT_DONE } };

  if (claim->kind == GS_CLAIM_ACQUIRE)
    gs_engine_post (follower->engine, &event);
  else
    g_array_append_val (follower->partitions[gs_idempotency_key_partition (&claim->key)].pending,
                        *claim);
}

static void
append_claims (GsFollower *follower, uint32_t index)
{
  Partition *partition = &follower->partitions[index];
  g_autofree char *stream = stream_name (index);
  g_autoptr (GBytes) record = NULL;
  g_autoptr (GArray) batch = NULL;
  GsAppendResult result;

  if (partition->pending == NULL || partition->pending->len == 0 || !may_append (partition))
    return;
  batch = g_steal_pointer (&partition->pending);
  partition->pending = g_array_new (FALSE, FALSE, sizeof (GsClaimRecord));
  if (batch->len > GS_RECORD_CLAIMS_MAX)
    {
      g_array_append_vals (partition->pending,
                           &g_array_index (batch, GsClaimRecord, GS_RECORD_CLAIMS_MAX),
                           batch->len - GS_RECORD_CLAIMS_MAX);
      g_array_set_size (batch, GS_RECORD_CLAIMS_MAX);
    }
  record = gs_record_encode_claims ((const GsClaimRecord *)(void *)batch->data, batch->len);
  result = gs_log_append (follower->claims_client, stream, record, NULL);
  for (guint i = 0; result != GS_APPEND_DONE && i < batch->len; i++)
    settle_failed (follower, &g_array_index (batch, GsClaimRecord, i), result);
}

static void
serve_partition (GsFollower *follower, uint32_t index, const GsPartitions *partitions)
{
  uint64_t bit = UINT64_C (1) << index;
  int64_t age_us = g_get_monotonic_time () - follower->partitions[index].polled_us;

  append_claims (follower, index);
  if ((partitions->awaited & bit) != 0
      || ((partitions->owned & bit) != 0 && age_us >= FOLLOWER_CLAIMS_IDLE_US))
    read_claims (follower, index);
}

static gpointer
follow_claims (gpointer data)
{
  GsFollower *follower = data;

  while (!g_atomic_int_get (&follower->ending))
    {
      GsPartitions partitions;
      gather_claims (follower, FOLLOWER_CLAIMS_POLL_US);
      partitions = gs_engine_partitions (follower->engine);
      for (uint32_t i = 0; i < GS_CLAIM_PARTITIONS; i++)
        serve_partition (follower, i, &partitions);
    }
  return NULL;
}

GsFollower *
gs_follower_new (GsEngine *engine)
{
  GsFollower *follower = g_new0 (GsFollower, 1);
  const char *url = gs_engine_settings (engine)->platform_url;

  follower->engine = engine;
  follower->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  follower->config_client = gs_log_client_new (url, FOLLOWER_CALL_MS);
  follower->claims_client = gs_log_client_new (url, FOLLOWER_CALL_MS);
  follower->gap = true; /* until the first read tells otherwise */
  follower->config_thread = g_thread_new ("config", follow_config, follower);
  follower->claims_thread = g_thread_new ("claims", follow_claims, follower);
  return follower;
}

void
gs_follower_free (GsFollower *follower)
{
  g_atomic_int_set (&follower->ending, 1);
  g_thread_join (follower->config_thread);
  g_thread_join (follower->claims_thread);
  gs_log_client_free (follower->config_client);
  gs_log_client_free (follower->claims_client);
  g_hash_table_destroy (follower->listed);
  g_clear_pointer (&follower->gathering.chunks, g_hash_table_destroy);
  for (int i = 0; i < GS_CLAIM_PARTITIONS; i++)
    g_clear_pointer (&follower->partitions[i].pending, g_array_unref);
  g_free (follower);
}
