#include "feed.h"

#include <string.h>

#include "../log/log.h"

enum
{
  /* A connection gone silent is noticed after this and the time of a call: below the 3 s after
   * which the platform counts on a daemon again whose connections were reset. */
  FEED_TABLES_WAIT_MS = 1200,
};

/** Period of reads of registrations: with the way to the others well below the 2 s in which a
 * leaving upstream must get no more work. */
#define FEED_PERIOD_US (800 * GS_US_PER_MS)
/** Without good news for so long the next in rank reads; later ranks wait longer. */
#define FEED_QUIET_US (1200 * GS_US_PER_MS)
#define FEED_RANK_US (150 * GS_US_PER_MS)
/** Who reads because others did not goes on for so long. */
#define FEED_HELP_US (4 * GS_US_PER_S)
/** While the store is away: pause of the reader, and mean pause of the others. */
#define FEED_AWAY_US (500 * GS_US_PER_MS)
#define FEED_AWAY_OTHERS_US (2500 * GS_US_PER_MS)
/** Sleep of a daemon that does not read. */
#define FEED_IDLE_US (150 * GS_US_PER_MS)
/** A fleet that starts for the first time knows its members within this time; then few read. */
#define FEED_FIRST_SETTLE_US (400 * GS_US_PER_MS)
/** A daemon that starts again asks its peers, which answer within this time if they live. */
#define FEED_SETTLE_US (40 * GS_US_PER_MS)
#define FEED_PULL_US (300 * GS_US_PER_MS)

struct GsFeed
{
  GsEngine *engine;
  GsStore *registrations;
  GsStore *tables;
  GThread *registrations_thread;
  GThread *tables_thread;
  gint ending;
  GMutex lock;
  GCond wake; /* at the end */
  /* of the registrations thread */
  GsRegistry *seen; /* what was read here, to tell heartbeats from changes */
  uint64_t position;
  bool started;
  int64_t begun_us;
  int64_t help_until_us;
  int64_t back_us; /* when the store began to answer again; 0: it always did */
  GsRandom random;
  /* shared */
  gint away;
  gint reading;
  /* of the tables thread */
  uint64_t tables_position;
  bool tables_started;
  int64_t next_pull_us; /* of both threads, under the lock */
};

static void
pause_for (GsFeed *feed, int64_t pause_us)
{
  int64_t until_us = g_get_monotonic_time () + pause_us;

  g_mutex_lock (&feed->lock);
  while (!g_atomic_int_get (&feed->ending)
         && g_cond_wait_until (&feed->wake, &feed->lock, until_us))
    ;
  g_mutex_unlock (&feed->lock);
}

/* Notes whether the store answered, with a log line at each change. */
static void
note_store (GsFeed *feed, GsStoreResult result)
{
  bool away = result == GS_STORE_AWAY || result == GS_STORE_BUSY;

  if (g_atomic_int_get (&feed->away) == (away ? 1 : 0))
    return;
  g_atomic_int_set (&feed->away, away ? 1 : 0);
  if (away)
    gs_log (GS_NOTICE_STORE_AWAY, "topic=registrations result=%s position=%" G_GUINT64_FORMAT,
            result == GS_STORE_BUSY ? "rate-limited" : "no-answer", feed->position);
  else
    {
      feed->back_us = g_get_monotonic_time ();
      gs_log (GS_NOTICE_STORE_BACK, "topic=registrations position=%" G_GUINT64_FORMAT,
              feed->position);
    }
}

static GsStoreState
store_state (const GsFeed *feed)
{
  GsStoreState state = { .away = feed->away != 0, .settled_us = INT64_MAX };

  if (feed->back_us != 0)
    state.settled_us = g_get_monotonic_time () - feed->back_us;
  return state;
}

/* Decodes RECORD. A record that names no usable server counts as a removal. */
static GsRegistryChange
decode (const GsFeed *feed, const GsStoreRecord *record)
{
  GsRegistryChange change = { .offset = record->offset };
  g_autoptr (GError) error = NULL;
  gsize length = 0;
  const char *bytes = record->value != NULL ? g_bytes_get_data (record->value, &length) : NULL;

  if (bytes != NULL)
    change.present = feed->registrations->class->parse_registration (record->key, bytes, length,
                                                                     &change.registration, &error);
  else
    g_strlcpy (change.registration.id, record->key, sizeof change.registration.id);
  if (error != NULL)
    gs_log (GS_NOTICE_REGISTRATION_REFUSED,
            "upstream=%.63s offset=%" G_GUINT64_FORMAT " reason=\"%s\"", record->key,
            record->offset, error->message);
  return change;
}

/* Posts what PAGE holds; of a page that is not ALL only what changes something. */
static void
post_page (GsFeed *feed, const GsStorePage *page, bool all)
{
  g_autoptr (GArray) changes = g_array_new (FALSE, FALSE, sizeof (GsRegistryChange));
  GsStoreState state = store_state (feed);
  GsEvent event
      = { .kind = GS_EVENT_REGISTRY,
          .registry.news
          = { .from = feed->position, .to = page->end, .all = all, .own = true, .store = state } };

  for (guint i = 0; i < page->records->len; i++)
    {
      const GsStoreRecord *record = &g_array_index (page->records, GsStoreRecord, i);
      GsRegistryChange change = decode (feed, record);
      if (all || gs_registry_take (feed->seen, &change, &state, g_get_monotonic_time ()))
        g_array_append_val (changes, change);
    }
  if (all)
    gs_registry_take_all (feed->seen, (const GsRegistryChange *)(const void *)changes->data,
                          changes->len, page->end, &state, g_get_monotonic_time ());
  event.registry.news.changes = (const GsRegistryChange *)(const void *)changes->data;
  event.registry.news.n_changes = changes->len;
  feed->position = MAX (feed->position, page->end);
  gs_engine_post (feed->engine, &event);
}

/* Tells the others that the store does not answer here. */
static void
post_away (GsFeed *feed)
{
  GsEvent event = {
    .kind = GS_EVENT_REGISTRY,
    .registry.news
    = { .from = feed->position, .to = feed->position, .own = true, .store = { .away = true } }
  };

  if (feed->started)
    gs_engine_post (feed->engine, &event);
}

static GsStoreResult
read_registrations (GsFeed *feed)
{
  GsStorePage page;
  GsStoreResult result;

  if (!feed->started)
    result = gs_store_newest (feed->registrations, GS_STORE_REGISTRATIONS, &page);
  else
    result = gs_store_read (feed->registrations, GS_STORE_REGISTRATIONS, feed->position, 0, &page);
  note_store (feed, result);
  if (result == GS_STORE_OK)
    {
      post_page (feed, &page, !feed->started);
      feed->started = true;
    }
  else if (result == GS_STORE_GAP)
    feed->started = false;
  gs_store_page_clear (&page);
  return result;
}

static uint32_t
reader_rank (GsFeed *feed)
{
  static const char name[] = "store readers";
  const GsCore *core = gs_engine_lock (feed->engine);
  uint32_t rank = gs_members_domain_rank (gs_core_members (core), gs_hash_name (name));

  gs_engine_unlock (feed->engine);
  return rank;
}

/* Time since anybody told good news of the registrations. */
static int64_t
news_age_us (GsFeed *feed)
{
  const GsCore *core = gs_engine_lock (feed->engine);
  int64_t now_us = g_get_monotonic_time ();
  int64_t age_us = gs_core_registry_age_us (core, now_us);

  gs_engine_unlock (feed->engine);
  return MIN (age_us, now_us - feed->begun_us);
}

/* Neither a peer nor the store has told anything since the start. */
static bool
knows_nothing (GsFeed *feed)
{
  const GsCore *core = gs_engine_lock (feed->engine);
  bool nothing = gs_registry_position (gs_core_registry (core)) == 0
                 || !gs_fold_complete (gs_core_fold (core));

  gs_engine_unlock (feed->engine);
  return nothing && !gs_engine_settings (feed->engine)->first_start;
}

static bool
must_read (GsFeed *feed, uint32_t rank)
{
  int64_t now_us = g_get_monotonic_time ();

  if (rank == 0 || now_us < feed->help_until_us || knows_nothing (feed))
    return true;
  if (news_age_us (feed) < FEED_QUIET_US + rank * FEED_RANK_US)
    return false;
  feed->help_until_us = now_us + FEED_HELP_US;
  return true;
}

static int64_t
pause_after (GsFeed *feed, GsStoreResult result, uint32_t rank)
{
  if (result == GS_STORE_OK)
    return FEED_PERIOD_US;
  if (result == GS_STORE_GAP)
    return 0;
  if (rank == 0)
    return FEED_AWAY_US;
  feed->help_until_us = 0;
  if (knows_nothing (feed))
    return FEED_AWAY_US;
  return (int64_t)(FEED_AWAY_OTHERS_US * (0.6 + 0.8 * gs_random_unit (&feed->random)));
}

static int64_t
settle_us (const GsFeed *feed)
{
  return gs_engine_settings (feed->engine)->first_start ? FEED_FIRST_SETTLE_US : FEED_SETTLE_US;
}

/* Pulls from a peer whose tables are newer. Both threads do: the one that reads the tables may wait
 * at a connection that has gone silent. */
static void
pull_tables (GsFeed *feed)
{
  int64_t now_us = g_get_monotonic_time ();
  const GsCore *core = gs_engine_lock (feed->engine);
  uint64_t position = gs_fold_position (gs_core_fold (core));
  GsPeerAddress address;
  bool due;
  uint64_t best = gs_members_best_position (gs_core_members (core), &address);

  gs_engine_unlock (feed->engine);
  g_mutex_lock (&feed->lock);
  due = best > position && now_us >= feed->next_pull_us;
  if (due)
    feed->next_pull_us = now_us + FEED_PULL_US;
  g_mutex_unlock (&feed->lock);
  if (due)
    gs_engine_pull_copy (feed->engine, &address, 0);
}

static gpointer
follow_registrations (gpointer data)
{
  GsFeed *feed = data;

  pause_for (feed, settle_us (feed));
  while (!g_atomic_int_get (&feed->ending))
    {
      uint32_t rank = reader_rank (feed);
      bool reading = must_read (feed, rank);
      GsStoreResult result;
      g_atomic_int_set (&feed->reading, reading ? 1 : 0);
      pull_tables (feed);
      if (!reading)
        {
          feed->started = false; /* start anew from the newest records when needed */
          pause_for (feed, FEED_IDLE_US);
          continue;
        }
      result = read_registrations (feed);
      if (result == GS_STORE_AWAY || result == GS_STORE_BUSY)
        post_away (feed);
      pause_for (feed, pause_after (feed, result, rank));
    }
  return NULL;
}

static uint64_t
tables_revision (GsFeed *feed)
{
  const GsCore *core = gs_engine_lock (feed->engine);
  uint64_t revision = gs_fold_position (gs_core_fold (core));

  gs_engine_unlock (feed->engine);
  return revision;
}

/* Puts the tables of a record in force, if they are newer than those known. */
static void
post_tables (GsFeed *feed, const GsStoreRecord *record)
{
  g_autoptr (GError) error = NULL;
  gsize length;
  const char *bytes = g_bytes_get_data (record->value, &length);
  g_autofree char *text = g_strndup (bytes, length);
  GsDocument *document = feed->tables->class->parse_tables (GS_ENGINE_WORKSPACE, record->key, text,
                                                            strlen (text), &error);
  GsCopyEntry entry = { .workspace = GS_ENGINE_WORKSPACE, .text = text };
  GsEvent event
      = { .kind = GS_EVENT_COPY,
          .copy = { .entries = &entry, .documents = &document, .n_entries = 1, .last = true } };

  if (document == NULL)
    {
      gs_log (GS_NOTICE_TABLES_REFUSED, "offset=%" G_GUINT64_FORMAT " reason=\"%s\"",
              record->offset, error->message);
      return;
    }
  if (document->revision <= tables_revision (feed))
    {
      gs_document_free (document);
      return;
    }
  entry.revision = document->revision;
  event.copy.position = document->revision;
  gs_engine_post (feed->engine, &event);
  gs_engine_push_copy (feed->engine);
}

static void
take_tables (GsFeed *feed, const GsStorePage *page)
{
  const GsStoreRecord *newest = NULL;

  for (guint i = 0; i < page->records->len; i++)
    {
      const GsStoreRecord *record = &g_array_index (page->records, GsStoreRecord, i);
      if (record->value != NULL && strcmp (record->key, feed->tables->class->tables_key) == 0)
        newest = record;
    }
  if (newest != NULL)
    post_tables (feed, newest);
  feed->tables_position = page->end;
}

static GsStoreResult
read_tables (GsFeed *feed)
{
  GsStorePage page;
  GsStoreResult result;

  if (!feed->tables_started)
    result = gs_store_newest (feed->tables, GS_STORE_TABLES, &page);
  else
    result = gs_store_read (feed->tables, GS_STORE_TABLES, feed->tables_position,
                            FEED_TABLES_WAIT_MS, &page);
  if (result == GS_STORE_OK)
    {
      take_tables (feed, &page);
      feed->tables_started = true;
    }
  else if (result == GS_STORE_GAP)
    feed->tables_started = false;
  gs_store_page_clear (&page);
  return result;
}

static gpointer
follow_tables (gpointer data)
{
  GsFeed *feed = data;

  pause_for (feed, settle_us (feed));
  while (!g_atomic_int_get (&feed->ending))
    {
      GsStoreResult result = GS_STORE_AWAY;
      pull_tables (feed);
      if (g_atomic_int_get (&feed->reading) || knows_nothing (feed))
        result = read_tables (feed);
      else
        feed->tables_started = false;
      if (result == GS_STORE_OK || result == GS_STORE_GAP)
        continue;
      pause_for (feed, g_atomic_int_get (&feed->reading) ? FEED_AWAY_US : FEED_IDLE_US);
    }
  return NULL;
}

GsFeed *
gs_feed_new (const GsFeedOptions *options)
{
  GsFeed *feed = g_new0 (GsFeed, 1);

  feed->engine = options->engine;
  feed->registrations = options->registrations;
  feed->tables = options->tables;
  feed->seen = gs_registry_new ();
  feed->begun_us = g_get_monotonic_time ();
  feed->random.state = gs_engine_incarnation (options->engine);
  g_mutex_init (&feed->lock);
  g_cond_init (&feed->wake);
  feed->registrations_thread = g_thread_new ("registrations", follow_registrations, feed);
  feed->tables_thread = g_thread_new ("tables", follow_tables, feed);
  return feed;
}

void
gs_feed_free (GsFeed *feed)
{
  if (feed == NULL)
    return;
  g_atomic_int_set (&feed->ending, 1);
  g_mutex_lock (&feed->lock);
  g_cond_broadcast (&feed->wake);
  g_mutex_unlock (&feed->lock);
  g_thread_join (feed->registrations_thread);
  g_thread_join (feed->tables_thread);
  gs_store_free (feed->registrations);
  gs_store_free (feed->tables);
  gs_registry_free (feed->seen);
  g_cond_clear (&feed->wake);
  g_mutex_clear (&feed->lock);
  g_free (feed);
}
