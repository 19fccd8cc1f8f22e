#include "feed.h"

#include <ev.h>
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
/** Pause of a daemon that does not read, before it looks again whether it has to. */
#define FEED_IDLE_US (150 * GS_US_PER_MS)
/** A fleet that starts for the first time knows its members within this time; then few read. */
#define FEED_FIRST_SETTLE_US (400 * GS_US_PER_MS)
/** A daemon that starts again asks its peers, which answer within this time if they live. */
#define FEED_SETTLE_US (40 * GS_US_PER_MS)
#define FEED_PULL_US (300 * GS_US_PER_MS)

enum
{
  FEED_TOPICS = 2,
};

/* A call of the store, made by a thread of its own; the loop takes what it brought. */
typedef struct
{
  GsFeed *feed;
  GsStoreTopic topic;
  bool newest; /* in place of the records from a position on */
  uint64_t from;
  GsStoreState state; /* of the store, as known before */
  GsStoreResult result;
  GsStorePage page;
  GArray *changes; /* of GsRegistryChange, of the page of registrations */
} Call;

struct GsFeed
{
  GsEngine *engine;
  GsStore *registrations;
  GsStore *tables;
  GThread *threads[FEED_TOPICS]; /* of the call that a topic has under way; NULL: none */
  GAsyncQueue *ended;            /* of Call */
  ev_async call_ended;
  ev_timer look;        /* whether to read */
  ev_timer tables_look; /* when to read the tables again */
  GsRegistry *seen; /* what was read here, to tell heartbeats from changes; of the running call */
  uint64_t position;
  bool started;
  bool calling; /* a call for registrations is under way */
  uint32_t rank;
  int64_t begun_us;
  int64_t help_until_us;
  int64_t back_us; /* when the store began to answer again; 0: it always did */
  GsRandom random;
  bool away;
  bool reading;
  uint64_t tables_position;
  bool tables_started;
  bool tables_calling;
  uint64_t behind; /* position of others that was last found to be ahead */
  int64_t next_pull_us;
};

/* Notes whether the store answered, with a log line at each change. */
static void
note_store (GsFeed *feed, GsStoreResult result)
{
  bool away = result == GS_STORE_UNAVAILABLE || result == GS_STORE_RATE_LIMITED;

  if (feed->away == away)
    return;
  feed->away = away;
  if (away)
    gs_log (GS_LOG_EVENT_STORE_UNAVAILABLE,
            "topic=registrations result=%s position=%" G_GUINT64_FORMAT,
            result == GS_STORE_RATE_LIMITED ? "rate-limited" : "no-answer", feed->position);
  else
    {
      feed->back_us = g_get_monotonic_time ();
      gs_log (GS_LOG_EVENT_STORE_AVAILABLE, "topic=registrations position=%" G_GUINT64_FORMAT,
              feed->position);
    }
}

static GsStoreState
store_state (const GsFeed *feed)
{
  GsStoreState state = { .unavailable = feed->away, .available_us = INT64_MAX };

  if (feed->back_us != 0)
    state.available_us = g_get_monotonic_time () - feed->back_us;
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
    gs_log (GS_LOG_EVENT_REGISTRATION_REFUSED,
            "upstream=%.63s offset=%" G_GUINT64_FORMAT " reason=\"%s\"", record->key,
            record->offset, error->message);
  return change;
}

/* Decodes what the page holds; of a page that is not of all registrations only what changes
 * something. */
static void
decode_page (const GsFeed *feed, Call *call)
{
  int64_t now_us = g_get_monotonic_time ();

  call->changes = g_array_new (FALSE, FALSE, sizeof (GsRegistryChange));
  for (guint i = 0; i < call->page.records->len; i++)
    {
      const GsStoreRecord *record = &g_array_index (call->page.records, GsStoreRecord, i);
      GsRegistryChange change = decode (feed, record);
      if (call->newest || gs_registry_apply (feed->seen, &change, &call->state, now_us))
        g_array_append_val (call->changes, change);
    }
  if (call->newest)
    gs_registry_apply_snapshot (feed->seen,
                                (const GsRegistryChange *)(const void *)call->changes->data,
                                call->changes->len, call->page.end, &call->state, now_us);
}

static void
post_page (GsFeed *feed, const Call *call)
{
  GsEvent event = { .kind = GS_EVENT_REGISTRY_UPDATE,
                    .registry_update.update = { .from = feed->position,
                                                .to = call->page.end,
                                                .complete = call->newest,
                                                .read_here = true,
                                                .store = store_state (feed) } };

  event.registry_update.update.changes
      = (const GsRegistryChange *)(const void *)call->changes->data;
  event.registry_update.update.n_changes = call->changes->len;
  feed->position = MAX (feed->position, call->page.end);
  gs_engine_post (feed->engine, &event);
}

/* Tells the others that the store does not answer here. */
static void
post_away (GsFeed *feed)
{
  GsEvent event = { .kind = GS_EVENT_REGISTRY_UPDATE,
                    .registry_update.update = { .from = feed->position,
                                                .to = feed->position,
                                                .read_here = true,
                                                .store = { .unavailable = true } } };

  if (feed->started)
    gs_engine_post (feed->engine, &event);
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
                 || !gs_config_log_is_complete (gs_core_config_log (core));

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

/* Pulls from a peer whose tables are newer, unless they are on their way: the readers push them. */
static void
pull_tables (GsFeed *feed)
{
  int64_t now_us = g_get_monotonic_time ();
  const GsCore *core = gs_engine_lock (feed->engine);
  uint64_t position = gs_config_log_position (gs_core_config_log (core));
  GsPeerAddress address;
  uint64_t best = gs_members_best_position (gs_core_members (core), &address);

  gs_engine_unlock (feed->engine);
  if (best <= position)
    return;
  if (best != feed->behind)
    {
      feed->behind = best;
      feed->next_pull_us
          = now_us + (int64_t)((double)FEED_PULL_US * gs_random_unit (&feed->random));
    }
  if (now_us < feed->next_pull_us)
    return;
  feed->next_pull_us = now_us + FEED_PULL_US;
  gs_engine_pull_copy (feed->engine, &address, 0);
}

static uint64_t
tables_revision (GsFeed *feed)
{
  const GsCore *core = gs_engine_lock (feed->engine);
  uint64_t revision = gs_config_log_position (gs_core_config_log (core));

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
  GsSnapshotEntry entry = { .workspace = GS_ENGINE_WORKSPACE, .text = text };
  GsEvent event = { .kind = GS_EVENT_TABLES_SNAPSHOT,
                    .tables_snapshot
                    = { .entries = &entry, .documents = &document, .n_entries = 1, .last = true } };

  if (document == NULL)
    {
      gs_log (GS_LOG_EVENT_TABLES_REFUSED, "offset=%" G_GUINT64_FORMAT " reason=\"%s\"",
              record->offset, error->message);
      return;
    }
  if (document->revision <= tables_revision (feed))
    {
      gs_document_free (document);
      return;
    }
  entry.revision = document->revision;
  event.tables_snapshot.position = document->revision;
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

/* Makes a call, on a thread of its own. */
static gpointer
make_call (gpointer data)
{
  Call *call = data;
  GsFeed *feed = call->feed;
  bool tables = call->topic == GS_STORE_TOPIC_TABLES;
  GsStore *store = tables ? feed->tables : feed->registrations;

  if (call->newest)
    call->result = gs_store_read_newest (store, call->topic, &call->page);
  else
    call->result = gs_store_read (store, call->topic, call->from, tables ? FEED_TABLES_WAIT_MS : 0,
                                  &call->page);
  if (!tables && call->result == GS_STORE_OK)
    decode_page (feed, call);
  g_async_queue_push (feed->ended, call);
  ev_async_send (gs_engine_loop (feed->engine), &feed->call_ended);
  return NULL;
}

static void
free_call (gpointer data)
{
  Call *call = data;

  gs_store_page_clear (&call->page);
  if (call->changes != NULL)
    g_array_unref (call->changes);
  g_free (call);
}

static void
begin_call (GsFeed *feed, GsStoreTopic topic, bool newest, uint64_t from)
{
  Call *call = g_new0 (Call, 1);

  call->feed = feed;
  call->topic = topic;
  call->newest = newest;
  call->from = from;
  call->state = store_state (feed);
  feed->threads[topic] = g_thread_new ("store", make_call, call);
}

static void
start_timer (GsFeed *feed, ev_timer *timer, int64_t after_us)
{
  struct ev_loop *loop = gs_engine_loop (feed->engine);

  ev_timer_stop (loop, timer);
  ev_timer_set (timer, (double)after_us / GS_US_PER_S, 0.);
  ev_timer_start (loop, timer);
}

static void
look_at_tables (GsFeed *feed)
{
  if (feed->tables_calling || ev_is_active (&feed->tables_look))
    return;
  if (!feed->reading && !knows_nothing (feed))
    {
      feed->tables_started = false;
      return;
    }
  feed->tables_calling = true;
  begin_call (feed, GS_STORE_TOPIC_TABLES, !feed->tables_started, feed->tables_position);
}

static void
on_tables_look (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  look_at_tables (watcher->data);
}

static void
on_look (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsFeed *feed = watcher->data;

  (void)loop;
  (void)events;
  feed->rank = reader_rank (feed);
  feed->reading = must_read (feed, feed->rank);
  pull_tables (feed);
  look_at_tables (feed);
  if (!feed->reading || feed->calling)
    {
      feed->started = feed->started && feed->reading; /* or anew from the newest records */
      start_timer (feed, &feed->look, FEED_IDLE_US);
      return;
    }
  feed->calling = true;
  begin_call (feed, GS_STORE_TOPIC_REGISTRATIONS, !feed->started, feed->position);
}

static void
end_registrations_call (GsFeed *feed, const Call *call)
{
  feed->calling = false;
  note_store (feed, call->result);
  if (call->result == GS_STORE_OK)
    {
      post_page (feed, call);
      feed->started = true;
    }
  else if (call->result == GS_STORE_GAP)
    feed->started = false;
  else
    post_away (feed);
  start_timer (feed, &feed->look, pause_after (feed, call->result, feed->rank));
}

static void
end_tables_call (GsFeed *feed, const Call *call)
{
  feed->tables_calling = false;
  if (call->result == GS_STORE_OK)
    {
      take_tables (feed, &call->page);
      feed->tables_started = true;
    }
  else if (call->result == GS_STORE_GAP)
    feed->tables_started = false;
  if (call->result == GS_STORE_OK || call->result == GS_STORE_GAP)
    look_at_tables (feed);
  else
    start_timer (feed, &feed->tables_look, feed->reading ? FEED_AWAY_US : FEED_IDLE_US);
}

static void
on_call_ended (struct ev_loop *loop, ev_async *watcher, int events)
{
  GsFeed *feed = watcher->data;
  Call *call;

  (void)loop;
  (void)events;
  while ((call = g_async_queue_try_pop (feed->ended)) != NULL)
    {
      g_thread_join (g_steal_pointer (&feed->threads[call->topic]));
      if (call->topic == GS_STORE_TOPIC_TABLES)
        end_tables_call (feed, call);
      else
        end_registrations_call (feed, call);
      free_call (call);
    }
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
  feed->ended = g_async_queue_new_full (free_call);
  ev_async_init (&feed->call_ended, on_call_ended);
  ev_timer_init (&feed->look, on_look, 0., 0.);
  ev_timer_init (&feed->tables_look, on_tables_look, 0., 0.);
  feed->call_ended.data = feed;
  feed->look.data = feed;
  feed->tables_look.data = feed;
  ev_async_start (gs_engine_loop (feed->engine), &feed->call_ended);
  start_timer (feed, &feed->look, settle_us (feed));
  return feed;
}

void
gs_feed_free (GsFeed *feed)
{
  struct ev_loop *loop;

  if (feed == NULL)
    return;
  loop = gs_engine_loop (feed->engine);
  for (int topic = 0; topic < FEED_TOPICS; topic++)
    if (feed->threads[topic] != NULL)
      g_thread_join (feed->threads[topic]);
  ev_async_stop (loop, &feed->call_ended);
  ev_timer_stop (loop, &feed->look);
  ev_timer_stop (loop, &feed->tables_look);
  g_async_queue_unref (feed->ended);
  gs_store_free (feed->registrations);
  gs_store_free (feed->tables);
  gs_registry_free (feed->seen);
  g_free (feed);
}
