/* Unit tests of daemon/store_watcher: a daemon with a store of the test, whose peers are datagram
 * sockets of the test. */
#include "../../src/gentian/daemon/store_watcher.h"
#include "../../src/gentian/peer/wire.h"
#include "entry_fixture.h"

enum
{
  PEERS = 2,
  OWN_CORES = 100, /* so that the peers precede the daemon as readers */
  PEER_CORES = 1000,
  STATE_PERIOD_MS = 100, /* at which a peer states what it has */
  /* The users' ConfigApply on the sites with the strictest one. */
  APPLY_MS = 2000,
  START_MS = 1500,
  REPEAT_MS = 200, /* until a read is repeated that took longer than the pause between reads */
  HANG_MS = 600,   /* a read that the store does not answer, as the adapter gives it up */
};

/* The tables that the store has, and how it answers. The daemon has a client for each topic. */
typedef struct
{
  gint revision;
  gint hangs; /* the next reads of the tables are not answered */
  gint64 hung_until_us;
  gint64 next_call_us; /* start of the first call after that */
  gint tables_calls;
} Platform;

typedef struct
{
  GsStore base;
  Platform *platform;
} TestStore;

typedef struct
{
  EntryFixture *entry; /* only its loop and settings are used */
  Platform platform;
  GsEngine *engine;
  GsStoreWatcher *watcher;
  int peers[PEERS];
  GsPeerAddress peer_addresses[PEERS];
  uint64_t peer_position; /* 0: there are no peers */
  uint64_t sequence;
  int64_t stated_us;
  uint32_t pulls; /* of the tables, that arrived by datagrams */
} Daemon;

static GsDocument *
parse_tables (const char *workspace,
              const char *file,
              const char *text,
              size_t length,
              GError **error)
{
  (void)file;
  (void)length;
  (void)error;
  return gs_document_new (workspace, g_ascii_strtoull (text, NULL, 10));
}

static void
add_tables (GsStorePage *page, uint64_t revision)
{
  char *text = g_strdup_printf ("%" G_GUINT64_FORMAT, revision);

  gs_store_page_add (page, revision - 1, g_strdup ("tables"),
                     g_bytes_new_take (text, strlen (text)));
  page->next_offset = revision;
}

static GsStoreResult
read_newest (GsStore *store, GsStoreTopic topic, GsStorePage *page)
{
  Platform *platform = ((TestStore *)store)->platform;

  *page = gs_store_page_empty ();
  page->next_offset = 1;
  if (topic != GS_STORE_TOPIC_TABLES)
    return GS_STORE_OK;
  g_atomic_int_inc (&platform->tables_calls);
  if (platform->hung_until_us != 0 && platform->next_call_us == 0)
    platform->next_call_us = g_get_monotonic_time ();
  add_tables (page, (uint64_t)g_atomic_int_get (&platform->revision));
  return GS_STORE_OK;
}

static GsStoreResult
read_records (GsStore *store,
              GsStoreTopic topic,
              uint64_t from,
              uint32_t wait_ms,
              GsStorePage *page)
{
  Platform *platform = ((TestStore *)store)->platform;
  int64_t until_us = g_get_monotonic_time () + wait_ms * GS_US_PER_MS;

  *page = gs_store_page_empty ();
  page->next_offset = from;
  if (topic != GS_STORE_TOPIC_TABLES)
    return GS_STORE_OK;
  g_atomic_int_inc (&platform->tables_calls);
  if (platform->hung_until_us != 0 && platform->next_call_us == 0)
    platform->next_call_us = g_get_monotonic_time ();
  if (g_atomic_int_get (&platform->hangs) > 0)
    {
      g_atomic_int_add (&platform->hangs, -1);
      g_usleep (HANG_MS * 1000);
      platform->hung_until_us = g_get_monotonic_time ();
      return GS_STORE_UNAVAILABLE;
    }
  while ((uint64_t)g_atomic_int_get (&platform->revision) <= from
         && g_get_monotonic_time () < until_us)
    g_usleep (1000);
  if ((uint64_t)g_atomic_int_get (&platform->revision) > from)
    add_tables (page, (uint64_t)g_atomic_int_get (&platform->revision));
  return GS_STORE_OK;
}

static GsStore *
test_store_new (Platform *platform)
{
  static const GsStoreClass class = { .read = read_records,
                                      .read_newest = read_newest,
                                      .free = (void (*) (GsStore *))g_free,
                                      .tables_key = "tables",
                                      .parse_tables = parse_tables };
  TestStore *store = g_new0 (TestStore, 1);

  store->base.class = &class;
  store->platform = platform;
  return &store->base;
}

static GsMemberInfo
peer_info (const Daemon *daemon, int peer)
{
  GsMemberInfo info = fixture_member (peer == 0 ? "first" : "second", "d0");

  info.ipv4 = daemon->peer_addresses[peer].ipv4;
  info.peer_port = daemon->peer_addresses[peer].peer_port;
  info.millicores = PEER_CORES;
  return info;
}

static void
send_to_daemon (Daemon *daemon, int peer, const GsWireMessage *message)
{
  struct sockaddr_in address = loopback ((uint16_t)daemon->entry->settings.peer_port);
  g_autoptr (GBytes) bytes = gs_wire_encode (message);
  gsize length;
  const void *data = g_bytes_get_data (bytes, &length);

  ck_assert_int_eq (
      sendto (daemon->peers[peer], data, length, 0, (struct sockaddr *)&address, sizeof address),
      (ssize_t)length);
}

static void
send_member_message (Daemon *daemon, int peer, GsMemberMessageKind kind, uint64_t sequence)
{
  GsWireMessage message = { .kind = GS_WIRE_MEMBER_MESSAGE,
                            .member_message = { .kind = kind,
                                                .sequence = sequence,
                                                .position = daemon->peer_position,
                                                .from = peer_info (daemon, peer) } };

  send_to_daemon (daemon, peer, &message);
}

/* Answers pings, and counts pulls without answering them. */
static void
answer_pings (Daemon *daemon, int peer)
{
  char bytes[4096];
  ssize_t length;

  while ((length = recv (daemon->peers[peer], bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
    {
      GsWireMessage message;
      if (!gs_wire_decode (&message, bytes, (size_t)length))
        continue;
      if (message.kind == GS_WIRE_MEMBER_MESSAGE
          && message.member_message.kind == GS_MEMBER_MESSAGE_PING)
        send_member_message (daemon, peer, GS_MEMBER_MESSAGE_ACK, message.member_message.sequence);
      daemon->pulls += message.kind == GS_WIRE_TABLES_PULL ? 1 : 0;
      gs_wire_clear (&message);
    }
}

/* The peer is a member and reads the store, as its messages say. */
static void
state_peer (Daemon *daemon, int peer)
{
  GsWireMessage update
      = { .kind = GS_WIRE_REGISTRY_UPDATE,
          .reply_to = daemon->peer_addresses[peer],
          .registry_update
          = { .from = 1, .to = 1, .from_reader = true, .store = { .available_us = INT64_MAX } } };

  send_member_message (daemon, peer, GS_MEMBER_MESSAGE_PING, ++daemon->sequence);
  send_to_daemon (daemon, peer, &update);
}

static void
run_daemon (Daemon *daemon)
{
  bool states = g_get_monotonic_time () - daemon->stated_us >= STATE_PERIOD_MS * GS_US_PER_MS;

  for (int i = 0; daemon->peer_position != 0 && i < PEERS; i++)
    {
      if (states)
        state_peer (daemon, i);
      answer_pings (daemon, i);
    }
  if (states)
    daemon->stated_us = g_get_monotonic_time ();
  run_loop (daemon->entry);
}

static uint64_t
position (Daemon *daemon)
{
  const GsCore *core = gs_engine_lock (daemon->engine);
  uint64_t value = gs_config_log_position (gs_core_config_log (core));

  gs_engine_unlock (daemon->engine);
  return value;
}

/* Runs until the daemon has REVISION. RETURN VALUE: whether that takes less than LIMIT_MS. */
static bool
gets_revision (Daemon *daemon, uint64_t revision, int64_t limit_ms)
{
  int64_t until_us = g_get_monotonic_time () + limit_ms * GS_US_PER_MS;

  while (position (daemon) < revision && g_get_monotonic_time () < until_us)
    run_daemon (daemon);
  return position (daemon) >= revision;
}

static void
run_for (Daemon *daemon, int64_t duration_ms)
{
  int64_t until_us = g_get_monotonic_time () + duration_ms * GS_US_PER_MS;

  while (g_get_monotonic_time () < until_us)
    run_daemon (daemon);
}

static void
open_peer (Daemon *daemon, int peer)
{
  struct sockaddr_in address = loopback (0);
  socklen_t length = sizeof address;

  daemon->peers[peer] = socket (AF_INET, SOCK_DGRAM, 0);
  ck_assert_int_eq (bind (daemon->peers[peer], (struct sockaddr *)&address, length), 0);
  getsockname (daemon->peers[peer], (struct sockaddr *)&address, &length);
  daemon->peer_addresses[peer]
      = (GsPeerAddress){ .ipv4 = INADDR_LOOPBACK, .peer_port = ntohs (address.sin_port) };
}

/* RETURN VALUE: a daemon that has revision 1, as its peers do if there are any. */
static Daemon *
daemon_new (bool with_peers)
{
  Daemon *daemon = g_new0 (Daemon, 1);
  GsEngineOptions options = { .parse_tables = parse_tables };
  g_autoptr (GError) error = NULL;

  daemon->entry = entry_fixture_new (GS_REPEAT_SAFE, NULL);
  daemon->entry->settings.store_url = "store";
  daemon->entry->settings.core_share_ppm = OWN_CORES * 1000;
  daemon->entry->settings.peer_port = free_port ();
  options.settings = &daemon->entry->settings;
  options.loop = daemon->entry->loop;
  for (int i = 0; i < PEERS; i++)
    open_peer (daemon, i);
  daemon->platform.revision = 1;
  daemon->peer_position = with_peers ? 1 : 0;
  daemon->engine = gs_engine_new (&options, &error);
  ck_assert_msg (daemon->engine != NULL, "%s", error != NULL ? error->message : "");
  daemon->watcher = gs_store_watcher_new (
      &(GsStoreWatcherOptions){ .engine = daemon->engine,
                                .registrations = test_store_new (&daemon->platform),
                                .tables = test_store_new (&daemon->platform) });
  ck_assert (gets_revision (daemon, 1, WAIT_MS));
  run_for (daemon, START_MS);
  return daemon;
}

static void
daemon_free (Daemon *daemon)
{
  gs_store_watcher_free (daemon->watcher);
  gs_engine_free (daemon->engine);
  for (int i = 0; i < PEERS; i++)
    close (daemon->peers[i]);
  entry_fixture_free (daemon->entry);
  g_free (daemon);
}

/* Guards against a daemon that knows of later tables and goes on with its own for as long as its
 * pulls get no answer. */
START_TEST (daemon_whose_pulls_get_no_answer_reads_the_store)
{
  Daemon *daemon = daemon_new (true);

  daemon->platform.revision = 2;
  daemon->peer_position = 2;
  ck_assert (gets_revision (daemon, 2, APPLY_MS));
  daemon_free (daemon);
}
END_TEST

/* Guards against a store that all daemons call although their reader works. */
START_TEST (daemon_that_is_not_behind_leaves_the_store_to_the_reader)
{
  Daemon *daemon = daemon_new (true);
  int calls = daemon->platform.tables_calls;

  run_for (daemon, APPLY_MS);
  ck_assert_int_le (daemon->platform.tables_calls - calls, 0);
  daemon_free (daemon);
}
END_TEST

/* Guards against pulls that a dead connection swallows: nothing listens where the peer's
 * connections would be accepted. */
START_TEST (pulls_need_no_connection)
{
  Daemon *daemon = daemon_new (true);

  daemon->platform.revision = 2;
  daemon->peer_position = 2;
  ck_assert (gets_revision (daemon, 2, APPLY_MS));
  ck_assert_uint_ge (daemon->pulls, 1);
  daemon_free (daemon);
}
END_TEST

/* Guards against a pause after a read that has taken longer than the pause already. */
START_TEST (read_that_hung_is_repeated_at_once)
{
  Daemon *daemon = daemon_new (false);
  int64_t pause_ms;

  daemon->platform.hangs = 1;
  run_for (daemon, APPLY_MS + HANG_MS);
  ck_assert_int_ne (daemon->platform.next_call_us, 0);
  pause_ms = (daemon->platform.next_call_us - daemon->platform.hung_until_us) / GS_US_PER_MS;
  ck_assert (pause_ms < REPEAT_MS);
  daemon_free (daemon);
}
END_TEST

FIXTURE_MAIN ("store_watcher",
              &daemon_whose_pulls_get_no_answer_reads_the_store,
              &daemon_that_is_not_behind_leaves_the_store_to_the_reader,
              &pulls_need_no_connection,
              &read_that_hung_is_repeated_at_once)
