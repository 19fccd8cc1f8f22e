#include "store_watcher.h"

#include <ev.h>
#include <string.h>

#include "../log/counter.h"
#include "../log/log.h"

enum
{
  WATCHER_TOPICS = 2,
  /* Longest wait of a read of the tables for a change. A connection that no longer delivers is
   * detected after this plus the timeout of a call. The sum is less than the 3 s after which the
   * platform again relies on a daemon whose connections were reset. */
  WATCHER_TABLES_WAIT_MS = 1200,
  WATCHER_LOGGED_BYTES = 200, /* of a text from the store */
};

/** Characters of a name and of a quoted text from the store that a log line may have. */
#define WATCHER_NAME_CHARACTERS G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "._:/+-"
#define WATCHER_TEXT_CHARACTERS WATCHER_NAME_CHARACTERS " !#$%&'()*,;<=>?@[]^`{|}~"

/** Interval between reads of the registrations. With the distribution to the other daemons it stays
 * well below the 2 s within which a leaving upstream must no longer receive requests. */
#define WATCHER_READ_INTERVAL_US (800 * GS_US_PER_MS)
/** Age from which tables have reached the daemons of this domain by the relays. Those that lack
 * them then pull them. */
#define WATCHER_TABLES_RELAYED_US (250 * GS_US_PER_MS)
/** While the store is unavailable: retry interval of the first reader, and mean retry interval of
 * the other daemons. */
#define WATCHER_RETRY_US (500 * GS_US_PER_MS)
#define WATCHER_RETRY_OTHERS_US (2500 * GS_US_PER_MS)
/** Interval at which a daemon that does not read checks whether it must. */
#define WATCHER_CHECK_INTERVAL_US (150 * GS_US_PER_MS)
/** Time until the first check in a fleet that starts for the first time. Its members are known by
 * then, so that few of them read. */
#define WATCHER_FIRST_START_DELAY_US (400 * GS_US_PER_MS)
/** Time until the first check of a daemon that restarts. Peers that are alive answer its pulls
 * within this time. */
#define WATCHER_START_DELAY_US (40 * GS_US_PER_MS)
/** Time from its start until a daemon sends the complete sets that it reads to others. After a loss
 * of all instances each of them reads for itself, and sets from hundreds of daemons, which still
 * take themselves for readers, keep small instances busy for seconds. */
#define WATCHER_SETTLED_US (1000 * GS_US_PER_MS)
/** Interval between pulls of the tables. */
#define WATCHER_PULL_INTERVAL_US (300 * GS_US_PER_MS)

/* A call to the store on a thread of its own; the loop's thread processes its result. */
typedef struct
{
  GsStoreWatcher *watcher;
  GsStoreTopic topic;
  uint32_t wait_ms;
  bool newest; /* read the newest record of each key, not the records from `from` on */
  uint64_t from;
  uint64_t era;       /* to which `from` belongs */
  GsStoreState state; /* of the store when the call started */
  GsStoreResult result;
  GsStorePage page;
  GArray *changes;      /* of GsRegistryChange, in the page of registrations */
  GsStoreTables tables; /* in the page of tables */
} StoreCall;

struct GsStoreWatcher
{
  GsEngine *engine;
  GsStore *registrations;
  GsStore *tables;
  GThread *threads[WATCHER_TOPICS]; /* of each topic's running call; NULL: none */
  GAsyncQueue *completed;           /* of StoreCall */
  ev_async call_completed;
  ev_timer check; /* whether this daemon must read */
  ev_timer tables_retry;
  GsRegistry *registry; /* as read here, to distinguish changes from heartbeats; accessed by the
                         * running call */
  uint64_t era;         /* of the store, the latest that an answer stated; 0: none did */
  uint64_t sent_era;    /* of the last registrations that were posted */
  uint64_t position;    /* of registrations, in `era` */
  bool continues;       /* the next read continues from `position` */
  bool started;         /* it is decided from where the first read of a new reader starts */
  bool has_read;        /* this daemon has read since it became a reader */
  bool call_running;    /* for registrations */
  uint32_t rank;
  int64_t created_us;
  int64_t taken_over_us;      /* see GsReaderState */
  int64_t available_since_us; /* end of the store's last outage; 0: none seen */
  GsRandom random;
  bool store_unavailable;
  bool reader;              /* this daemon must read */
  uint64_t tables_position; /* in `era` */
  int64_t tables_read_us;   /* when tables in force were read here that had not been before */
  bool tables_continue;     /* the next read continues from `tables_position` */
  bool tables_changed;      /* the last read of the tables ended with a change */
  bool tables_call_running;
  int64_t tables_called_us; /* start of the last call for tables */
  /* Position of tables that another daemon was said to have when the last call started, and the
   * same of the last call that the store answered: what it did not have then need not be read. */
  uint64_t tables_called_position;
  uint64_t tables_absent_position;
  uint64_t peer_position; /* of the peer that was last found to be ahead */
  int64_t next_pull_us;
};

/* Updates whether the store is available and logs each change. */
static void
update_store_state (GsStoreWatcher *watcher, GsStoreResult result)
{
  bool unavailable = result == GS_STORE_UNAVAILABLE || result == GS_STORE_RATE_LIMITED;

  if (watcher->store_unavailable == unavailable)
    return;
  watcher->store_unavailable = unavailable;
  if (unavailable)
    gs_log (GS_LOG_EVENT_STORE_UNAVAILABLE,
            "topic=registrations result=%s position=%" G_GUINT64_FORMAT,
            result == GS_STORE_RATE_LIMITED ? "rate-limited" : "no-answer", watcher->position);
  else
    {
      watcher->available_since_us = g_get_monotonic_time ();
      gs_log (GS_LOG_EVENT_STORE_AVAILABLE, "topic=registrations position=%" G_GUINT64_FORMAT,
              watcher->position);
    }
}

static GsStoreState
store_state (const GsStoreWatcher *watcher)
{
  GsStoreState state = { .unavailable = watcher->store_unavailable, .available_us = INT64_MAX };

  if (watcher->available_since_us != 0)
    state.available_us = g_get_monotonic_time () - watcher->available_since_us;
  return state;
}

/* Enters ERA of the store, in which positions of the earlier one say nothing: both topics are read
 * anew. */
static void
set_era (GsStoreWatcher *watcher, uint64_t era)
{
  watcher->era = era;
  watcher->position = 0;
  watcher->continues = false;
  watcher->tables_position = 0;
  watcher->tables_continue = false;
  watcher->tables_absent_position = 0;
}

/* Enters ERA, which an answer stated. The store counts as having just returned, so that
 * registrations missing in its copy are held; a daemon that has just started cannot know when the
 * era rose. */
static void
enter_era (GsStoreWatcher *watcher, GsStoreTopic topic, uint64_t era)
{
  gs_log (GS_LOG_EVENT_STORE_ERA_NOTICED,
          "era=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
          " topic=%s registrations_position=%" G_GUINT64_FORMAT,
          era, watcher->era, topic == GS_STORE_TOPIC_TABLES ? "tables" : "registrations",
          watcher->position);
  if (watcher->era != 0)
    gs_counter_add (GS_COUNTER_STORE_ERAS, 1);
  set_era (watcher, era);
  watcher->available_since_us = g_get_monotonic_time ();
}

/* Enters the era that an answer states if it is later than the known one. RETURN VALUE: false when
 * it is an earlier one: the answer was sent before the store returned. */
static bool
note_era (GsStoreWatcher *watcher, const StoreCall *call)
{
  uint64_t era = call->page.era;

  if (era > watcher->era)
    enter_era (watcher, call->topic, era);
  return era == 0 || era == watcher->era;
}

/* RETURN VALUE: newly allocated copy of the start of TEXT, with only CHARACTERS. */
static char *
loggable (const char *text, const char *characters)
{
  return g_strcanon (g_strndup (text, WATCHER_LOGGED_BYTES), characters, '?');
}

/* RETURN VALUE: false when RECORD concerns no server. */
static bool
decode_record (const GsStoreWatcher *watcher, const GsStoreRecord *record, GsRegistryChange *change)
{
  g_autoptr (GError) error = NULL;
  bool names_server = gs_store_decode_change (watcher->registrations, record, change, &error);

  if (error != NULL)
    {
      g_autofree char *key = loggable (record->key, WATCHER_NAME_CHARACTERS);
      g_autofree char *reason = loggable (error->message, WATCHER_TEXT_CHARACTERS);
      gs_log (GS_LOG_EVENT_REGISTRATION_REFUSED,
              "upstream=%s offset=%" G_GUINT64_FORMAT " reason=\"%s\"", key, record->offset,
              reason);
    }
  return names_server;
}

/* Decodes the page. Unless it is the complete set, only records that change something are kept. */
static void
decode_page (const GsStoreWatcher *watcher, StoreCall *call)
{
  int64_t now_us = g_get_monotonic_time ();

  call->changes = g_array_new (FALSE, FALSE, sizeof (GsRegistryChange));
  if (call->newest && gs_registry_begin_era (watcher->registry, call->page.era))
    call->state.available_us = 0;
  for (guint i = 0; i < call->page.records->len; i++)
    {
      const GsStoreRecord *record = &g_array_index (call->page.records, GsStoreRecord, i);
      GsRegistryChange change;
      if (decode_record (watcher, record, &change)
          && (call->newest || gs_registry_apply (watcher->registry, &change, &call->state, now_us)))
        g_array_append_val (call->changes, change);
    }
  if (call->newest)
    gs_registry_apply_snapshot (watcher->registry,
                                (const GsRegistryChange *)(const void *)call->changes->data,
                                call->changes->len, call->page.next_offset, &call->state, now_us);
}

/* Revision of the tables in force. With the metadata store it is the config log's position. */
static uint64_t
tables_revision (GsStoreWatcher *watcher)
{
  const GsCore *core = gs_engine_lock (watcher->engine);
  uint64_t revision = gs_config_log_position (gs_core_config_log (core));

  gs_engine_unlock (watcher->engine);
  return revision;
}

/* Position of the tables in force, if the other daemons of this domain should have them already. A
 * daemon that has just taken over states it at once: the relays may be lost. */
static uint64_t
relayed_tables_position (GsStoreWatcher *watcher)
{
  int64_t age_us = g_get_monotonic_time () - watcher->tables_read_us;

  if (age_us < WATCHER_TABLES_RELAYED_US && watcher->taken_over_us == 0)
    return 0;
  return tables_revision (watcher);
}

/* An update without changes by this daemon, as a reader. */
static GsEvent
make_update (const GsStoreWatcher *watcher)
{
  return (GsEvent){ .kind = GS_EVENT_REGISTRY_UPDATE,
                    .registry_update.update = { .from = watcher->position,
                                                .to = watcher->position,
                                                .era = watcher->sent_era,
                                                .read_here = true,
                                                .from_reader = true,
                                                .store = store_state (watcher) } };
}

/* Whether other daemons rely on what this one reads. In a fleet that starts for the first time only
 * the readers read. */
static bool
is_settled (const GsStoreWatcher *watcher)
{
  return gs_engine_settings (watcher->engine)->first_start
         || g_get_monotonic_time () - watcher->created_us >= WATCHER_SETTLED_US;
}

static void
post_page (GsStoreWatcher *watcher, const StoreCall *call)
{
  GsEvent event;
  GsRegistryUpdate *update = &event.registry_update.update;

  watcher->sent_era = watcher->era;
  event = make_update (watcher);
  update->to = call->page.next_offset;
  update->complete = call->newest;
  update->read_here = !call->newest || is_settled (watcher);
  update->tables_position = relayed_tables_position (watcher);
  update->changes = (const GsRegistryChange *)(const void *)call->changes->data;
  update->n_changes = call->changes->len;
  watcher->position = MAX (watcher->position, call->page.next_offset);
  gs_engine_post (watcher->engine, &event);
}

/* Posts an update without changes, which notifies the other daemons that the store does not answer
 * this one. */
static void
post_unavailable (GsStoreWatcher *watcher)
{
  GsEvent event = make_update (watcher);

  event.registry_update.update.store = (GsStoreState){ .unavailable = true };
  if (watcher->has_read)
    gs_engine_post (watcher->engine, &event);
}

/* Tells the other daemons of this domain which tables a daemon that has taken over has read. */
static void
post_tables_position (GsStoreWatcher *watcher)
{
  GsEvent event = make_update (watcher);

  event.registry_update.update.tables_position = tables_revision (watcher);
  if (watcher->has_read)
    gs_engine_post (watcher->engine, &event);
}

static uint64_t
tables_heard_position (GsStoreWatcher *watcher)
{
  uint64_t position = gs_core_tables_heard_position (gs_engine_lock (watcher->engine));

  gs_engine_unlock (watcher->engine);
  return position;
}

static GsReaderState
reader_state (GsStoreWatcher *watcher)
{
  GsReaderState state = gs_core_reader_state (gs_engine_lock (watcher->engine));

  gs_engine_unlock (watcher->engine);
  if (tables_heard_position (watcher) <= watcher->tables_absent_position)
    state.behind_us = 0;
  state.heard_us = MAX (state.heard_us, watcher->created_us);
  state.available_us = MAX (state.available_us, watcher->created_us);
  state.taken_over_us = watcher->taken_over_us;
  return state;
}

/* Whether registrations or tables are still missing after a start. Always false in a fleet that
 * starts for the first time, where only the readers read. */
static bool
lacks_state (GsStoreWatcher *watcher)
{
  const GsCore *core = gs_engine_lock (watcher->engine);
  bool missing = gs_registry_position (gs_core_registry (core)) == 0
                 || !gs_config_log_is_complete (gs_core_config_log (core));

  gs_engine_unlock (watcher->engine);
  return missing && !gs_engine_settings (watcher->engine)->first_start;
}

static bool
must_read (GsStoreWatcher *watcher, const GsReaderState *state)
{
  int64_t now_us = g_get_monotonic_time ();
  bool must = gs_reader_must_read (state, now_us);

  if (!must || state->rank == 0)
    watcher->taken_over_us = 0;
  else if (watcher->taken_over_us == 0)
    watcher->taken_over_us = now_us;
  return must || lacks_state (watcher);
}

/* Whether other daemons have had later tables for so long that this one must read them. */
static bool
is_behind (GsStoreWatcher *watcher)
{
  GsReaderState state = reader_state (watcher);

  return gs_reader_is_behind (&state, g_get_monotonic_time ());
}

/* Whether this daemon must read the tables. */
static bool
must_read_tables (GsStoreWatcher *watcher)
{
  GsReaderState state = reader_state (watcher);

  return watcher->reader || gs_reader_must_read_tables (&state, g_get_monotonic_time ())
         || lacks_state (watcher);
}

static int64_t
next_check_delay_us (GsStoreWatcher *watcher, GsStoreResult result, uint32_t rank)
{
  if (result == GS_STORE_OK)
    return WATCHER_READ_INTERVAL_US;
  if (result == GS_STORE_GAP)
    return 0;
  if (rank == 0)
    return WATCHER_RETRY_US;
  watcher->taken_over_us = 0;
  if (lacks_state (watcher))
    return WATCHER_RETRY_US;
  return (int64_t)(WATCHER_RETRY_OTHERS_US * (0.6 + 0.8 * gs_random_unit (&watcher->random)));
}

/* Time until a daemon that does not read checks again whether it must. */
static int64_t
idle_check_delay_us (const GsStoreWatcher *watcher, const GsReaderState *state)
{
  int64_t left_us = gs_reader_takeover_us (state) - g_get_monotonic_time ();

  return watcher->reader ? WATCHER_CHECK_INTERVAL_US
                         : CLAMP (left_us, GS_US_PER_MS, WATCHER_CHECK_INTERVAL_US);
}

static int64_t
start_delay_us (const GsStoreWatcher *watcher)
{
  return gs_engine_settings (watcher->engine)->first_start ? WATCHER_FIRST_START_DELAY_US
                                                           : WATCHER_START_DELAY_US;
}

/* Pulls the tables from a peer that has newer ones, after a random part of the interval: they may
 * be on their way, since the readers push them. */
static void
pull_tables (GsStoreWatcher *watcher)
{
  int64_t now_us = g_get_monotonic_time ();
  const GsCore *core = gs_engine_lock (watcher->engine);
  uint64_t position = gs_config_log_position (gs_core_config_log (core));
  GsPeerAddress address;
  uint64_t newest = gs_members_newest_position (gs_core_members (core), &address);

  gs_engine_unlock (watcher->engine);
  if (newest <= position)
    return;
  if (newest != watcher->peer_position)
    {
      watcher->peer_position = newest;
      watcher->next_pull_us
          = now_us
            + (int64_t)((double)WATCHER_PULL_INTERVAL_US * gs_random_unit (&watcher->random));
    }
  if (now_us < watcher->next_pull_us)
    return;
  watcher->next_pull_us = now_us + WATCHER_PULL_INTERVAL_US;
  gs_engine_pull_tables_snapshot (watcher->engine, &address, 0);
}

/* Posts TABLES and pushes them on, if they are newer than those in force. */
static void
post_tables (GsStoreWatcher *watcher, GsStoreTables *tables)
{
  GsSnapshotEntry entry = { .workspace = GS_ENGINE_STORE_WORKSPACE, .text = tables->text };
  GsEvent event = { .kind = GS_EVENT_TABLES_SNAPSHOT,
                    .tables_snapshot = { .entries = &entry,
                                         .documents = &tables->document,
                                         .n_entries = 1,
                                         .last = true,
                                         .read_here = true } };

  if (tables->document->revision <= tables_revision (watcher))
    return;
  entry.revision = tables->document->revision;
  event.tables_snapshot.position = entry.revision;
  gs_engine_post (watcher->engine, &event);
  watcher->tables_read_us = g_get_monotonic_time ();
  tables->document = NULL; /* the core owns it */
  gs_engine_push_tables_snapshot (watcher->engine);
}

static void
process_tables_page (GsStoreWatcher *watcher, StoreCall *call)
{
  GsStoreTables *tables = &call->tables;

  if (tables->refused != NULL)
    {
      g_autofree char *reason = loggable (tables->refused->message, WATCHER_TEXT_CHARACTERS);
      gs_log (GS_LOG_EVENT_TABLES_REFUSED, "offset=%" G_GUINT64_FORMAT " reason=\"%s\"",
              tables->refused_offset, reason);
    }
  if (tables->document != NULL)
    post_tables (watcher, tables);
  watcher->tables_position = call->page.next_offset;
  if (watcher->taken_over_us != 0 && !watcher->tables_continue)
    post_tables_position (watcher);
}

/* Offsets are assigned again in a later era, so what was read from an offset of an earlier one is
 * not what followed it. Runs on the call's thread. */
static void
check_era (StoreCall *call)
{
  uint64_t era = call->page.era;

  if (call->result == GS_STORE_OK && !call->newest && era != 0 && era != call->era)
    call->result = GS_STORE_GAP;
}

/* Thread function of a call. */
static gpointer
run_call (gpointer data)
{
  StoreCall *call = data;
  GsStoreWatcher *watcher = call->watcher;
  bool tables = call->topic == GS_STORE_TOPIC_TABLES;
  GsStore *store = tables ? watcher->tables : watcher->registrations;

  if (call->newest)
    call->result = gs_store_read_newest (store, call->topic, &call->page);
  else
    call->result = gs_store_read (store, call->topic, call->from, call->wait_ms, &call->page);
  check_era (call);
  if (tables && call->result == GS_STORE_OK)
    call->tables = gs_store_decode_tables (store, GS_ENGINE_STORE_WORKSPACE, &call->page);
  else if (call->result == GS_STORE_OK)
    decode_page (watcher, call);
  g_async_queue_push (watcher->completed, call);
  ev_async_send (gs_engine_loop (watcher->engine), &watcher->call_completed);
  return NULL;
}

static void
free_call (gpointer data)
{
  StoreCall *call = data;

  gs_store_page_clear (&call->page);
  gs_store_tables_clear (&call->tables);
  if (call->changes != NULL)
    g_array_unref (call->changes);
  g_free (call);
}

/* Longest wait of the next read of the tables. */
static uint32_t
tables_wait_ms (GsStoreWatcher *watcher)
{
  uint32_t n_domains;
  uint32_t domain;

  if (!watcher->tables_changed || watcher->rank != 0)
    return WATCHER_TABLES_WAIT_MS;
  domain = gs_members_domain_index (gs_core_members (gs_engine_lock (watcher->engine)), &n_domains);
  gs_engine_unlock (watcher->engine);
  return gs_reader_first_wait_ms (domain, n_domains, WATCHER_TABLES_WAIT_MS);
}

static void
start_call (GsStoreWatcher *watcher, GsStoreTopic topic, bool newest, uint64_t from)
{
  StoreCall *call = g_new0 (StoreCall, 1);

  call->watcher = watcher;
  call->topic = topic;
  call->newest = newest;
  call->from = from;
  call->wait_ms = topic == GS_STORE_TOPIC_TABLES ? tables_wait_ms (watcher) : 0;
  call->era = watcher->era;
  call->state = store_state (watcher);
  watcher->threads[topic] = g_thread_new ("store", run_call, call);
}

static void
start_timer (GsStoreWatcher *watcher, ev_timer *timer, int64_t after_us)
{
  struct ev_loop *loop = gs_engine_loop (watcher->engine);

  ev_timer_stop (loop, timer);
  ev_timer_set (timer, (double)after_us / GS_US_PER_S, 0.);
  ev_timer_start (loop, timer);
}

/* Starts a read of the tables if this daemon must read them and no read is running or due later. */
static void
start_tables_call (GsStoreWatcher *watcher)
{
  if (watcher->tables_call_running || ev_is_active (&watcher->tables_retry))
    return;
  if (!must_read_tables (watcher))
    {
      watcher->tables_continue = false;
      return;
    }
  watcher->tables_call_running = true;
  watcher->tables_called_us = g_get_monotonic_time ();
  watcher->tables_called_position = tables_heard_position (watcher);
  start_call (watcher, GS_STORE_TOPIC_TABLES, !watcher->tables_continue, watcher->tables_position);
}

static void
on_tables_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  start_tables_call (timer->data);
}

/* Whether the first read of a new reader continues from the registrations that this daemon has
 * heard of. A complete set, which goes to all daemons, keeps a small instance busy for a third of a
 * second, and the next ranks take over before they hear of it. */
static bool
can_continue (GsStoreWatcher *watcher, const GsReaderState *state)
{
  uint64_t position = gs_registry_position (gs_core_registry (gs_engine_lock (watcher->engine)));

  gs_engine_unlock (watcher->engine);
  return position > 0 && gs_reader_continues (state, g_get_monotonic_time ());
}

/* Takes over the store's era that this daemon has heard of. */
static void
adopt_known_era (GsStoreWatcher *watcher)
{
  uint64_t era = gs_registry_era (gs_core_registry (gs_engine_lock (watcher->engine)));

  gs_engine_unlock (watcher->engine);
  if (era > watcher->era)
    set_era (watcher, era);
}

/* Takes over the registrations that this daemon has heard of, to read on from there. */
static void
continue_from_known_registrations (GsStoreWatcher *watcher)
{
  const GsStoreState store = { .available_us = INT64_MAX };
  const GsRegistry *known = gs_core_registry (gs_engine_lock (watcher->engine));
  uint32_t count;
  g_autofree GsRegistryChange *registrations = gs_registry_dump (known, &count);

  watcher->position = gs_registry_position (known);
  gs_engine_unlock (watcher->engine);
  gs_registry_free (watcher->registry);
  watcher->registry = gs_registry_new ();
  gs_registry_begin_era (watcher->registry, watcher->era);
  watcher->sent_era = watcher->era;
  for (uint32_t i = 0; i < count; i++)
    gs_registry_apply (watcher->registry, &registrations[i], &store, g_get_monotonic_time ());
}

/* Updates whether this daemon must read and logs each change. */
static void
update_reader (GsStoreWatcher *watcher, const GsReaderState *state)
{
  bool reader = must_read (watcher, state);

  if (reader != watcher->reader)
    gs_log (GS_LOG_EVENT_READER_CHANGED, "reads=%s rank=%u heard_ms=%" G_GINT64_FORMAT " all=%s",
            reader ? "yes" : "no", state->rank,
            (g_get_monotonic_time () - state->heard_us) / GS_US_PER_MS,
            reader && !can_continue (watcher, state) ? "yes" : "no");
  watcher->reader = reader;
}

static void
on_check (struct ev_loop *loop, ev_timer *timer, int events)
{
  GsStoreWatcher *watcher = timer->data;
  GsReaderState state = reader_state (watcher);

  (void)loop;
  (void)events;
  watcher->rank = state.rank;
  update_reader (watcher, &state);
  pull_tables (watcher);
  start_tables_call (watcher);
  if (!watcher->reader || watcher->call_running)
    {
      /* A daemon that becomes a reader again starts anew. */
      watcher->started = watcher->started && watcher->reader;
      watcher->has_read = watcher->has_read && watcher->reader;
      start_timer (watcher, &watcher->check, idle_check_delay_us (watcher, &state));
      return;
    }
  if (!watcher->started)
    {
      adopt_known_era (watcher);
      watcher->continues = can_continue (watcher, &state);
      if (watcher->continues)
        continue_from_known_registrations (watcher);
    }
  watcher->started = true;
  watcher->call_running = true;
  start_call (watcher, GS_STORE_TOPIC_REGISTRATIONS, !watcher->continues, watcher->position);
}

static void
complete_registrations_call (GsStoreWatcher *watcher, StoreCall *call)
{
  watcher->call_running = false;
  if (!note_era (watcher, call))
    call->result = GS_STORE_UNAVAILABLE;
  update_store_state (watcher, call->result);
  if (call->result == GS_STORE_OK)
    {
      post_page (watcher, call);
      watcher->continues = true;
      watcher->has_read = true;
    }
  else if (call->result == GS_STORE_GAP)
    watcher->continues = false;
  else
    {
      post_unavailable (watcher);
      watcher->started = watcher->has_read;
    }
  start_timer (watcher, &watcher->check,
               next_check_delay_us (watcher, call->result, watcher->rank));
}

/* Time until a read of the tables that failed is repeated. One that hung was longer than that. */
static int64_t
tables_retry_delay_us (GsStoreWatcher *watcher)
{
  int64_t interval_us
      = watcher->reader || is_behind (watcher) ? WATCHER_RETRY_US : WATCHER_CHECK_INTERVAL_US;

  return MAX (watcher->tables_called_us + interval_us - g_get_monotonic_time (), 0);
}

static void
complete_tables_call (GsStoreWatcher *watcher, StoreCall *call)
{
  watcher->tables_call_running = false;
  if (!note_era (watcher, call))
    call->result = GS_STORE_UNAVAILABLE;
  if (call->result == GS_STORE_OK)
    {
      process_tables_page (watcher, call);
      watcher->tables_continue = true;
      watcher->tables_changed = call->newest || call->page.records->len > 0;
      watcher->tables_absent_position = watcher->tables_called_position;
    }
  else if (call->result == GS_STORE_GAP)
    watcher->tables_continue = false;
  if (call->result == GS_STORE_OK || call->result == GS_STORE_GAP)
    start_tables_call (watcher);
  else
    start_timer (watcher, &watcher->tables_retry, tables_retry_delay_us (watcher));
}

static void
on_call_completed (struct ev_loop *loop, ev_async *async, int events)
{
  GsStoreWatcher *watcher = async->data;
  StoreCall *call;

  (void)loop;
  (void)events;
  while ((call = g_async_queue_try_pop (watcher->completed)) != NULL)
    {
      g_thread_join (g_steal_pointer (&watcher->threads[call->topic]));
      if (call->topic == GS_STORE_TOPIC_TABLES)
        complete_tables_call (watcher, call);
      else
        complete_registrations_call (watcher, call);
      free_call (call);
    }
}

GsStoreWatcher *
gs_store_watcher_new (const GsStoreWatcherOptions *options)
{
  GsStoreWatcher *watcher = g_new0 (GsStoreWatcher, 1);

  watcher->engine = options->engine;
  watcher->registrations = options->registrations;
  watcher->tables = options->tables;
  watcher->registry = gs_registry_new ();
  watcher->created_us = g_get_monotonic_time ();
  watcher->random.state = gs_engine_incarnation (options->engine);
  watcher->completed = g_async_queue_new_full (free_call);
  ev_async_init (&watcher->call_completed, on_call_completed);
  ev_timer_init (&watcher->check, on_check, 0., 0.);
  ev_timer_init (&watcher->tables_retry, on_tables_retry, 0., 0.);
  watcher->call_completed.data = watcher;
  watcher->check.data = watcher;
  watcher->tables_retry.data = watcher;
  ev_async_start (gs_engine_loop (watcher->engine), &watcher->call_completed);
  start_timer (watcher, &watcher->check, start_delay_us (watcher));
  return watcher;
}

void
gs_store_watcher_free (GsStoreWatcher *watcher)
{
  struct ev_loop *loop;

  if (watcher == NULL)
    return;
  loop = gs_engine_loop (watcher->engine);
  for (int topic = 0; topic < WATCHER_TOPICS; topic++)
    if (watcher->threads[topic] != NULL)
      g_thread_join (watcher->threads[topic]);
  ev_async_stop (loop, &watcher->call_completed);
  ev_timer_stop (loop, &watcher->check);
  ev_timer_stop (loop, &watcher->tables_retry);
  g_async_queue_unref (watcher->completed);
  gs_store_free (watcher->registrations);
  gs_store_free (watcher->tables);
  gs_registry_free (watcher->registry);
  g_free (watcher);
}
