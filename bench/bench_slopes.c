/*
 * bench_slopes: measures how memory, processor time and bytes on the wire of a daemon grow with the
 * number of table rows, requests and members, for docs/CAPACITY.md. Prints a line of JSON for each
 * slope.
 * Usage:
 *   bench_slopes      measures the slopes
 *   bench_slopes URL  appends a snapshot of tables at the target size to the platform at URL
 */
#include <curl/curl.h>
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../src/gentian/config/tables.h"
#include "../src/gentian/core/core.h"
#include "../src/gentian/peer/wire.h"
#include "../src/gentian/store/log_client.h"
#include "../src/gentian/store/record.h"

enum
{
  TARGET_WORKSPACES = 250000,
  TARGET_ROUTES = 23000,
  TARGET_POOLS = 2500,
  TARGET_UPSTREAMS = 89000,
  TARGET_MEMBERS = 7600,
};

static double
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static double
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)info.uordblks + (double)info.hblkhd;
}

static void
print_slope (const char *label, double value, const char *unit)
{
  printf ("{\"slope\":\"%s\",\"value\":%.4g,\"unit\":\"%s\"}\n", label, value, unit);
  fflush (stdout);
}

/* RETURN VALUE: YAML of one workspace with N_POOLS pools of N_UPSTREAMS each and N_ROUTES routes.
 */
static char *
make_yaml (uint32_t workspace, uint32_t n_routes, uint32_t n_pools, uint32_t n_upstreams)
{
  GString *text = g_string_new (n_pools > 0 ? "pools:\n" : "{}\n");

  for (uint32_t p = 0; p < n_pools; p++)
    {
      g_string_append_printf (text, "- name: pool-%u\n%s", p,
                              n_upstreams > 0 ? "  upstreams:\n" : "");
      for (uint32_t u = 0; u < n_upstreams; u++)
        g_string_append_printf (text,
                                "  - {id: s-%u-%u-%u, address: 10.%u.%u.%u, port: 8080, "
                                "failure_domain: domain-%u}\n",
                                workspace, p, u, workspace >> 8 & 255, workspace & 255, u & 255,
                                u % 13);
    }
  if (n_routes > 0)
    g_string_append (text, "routes:\n");
  for (uint32_t r = 0; r < n_routes; r++)
    g_string_append_printf (
        text,
        "- {name: route-%u, host: w%u.example, prefix: /path-%u/, pool: pool-%u, "
        "repeat: safe}\n",
        r, workspace, r, r % n_pools);
  return g_string_free (text, FALSE);
}

typedef struct
{
  GsCore *core;
  GsEffects *effects;
  uint64_t offset;
  int64_t now_us;
} Daemon;

static void
reduce (Daemon *daemon, GsEvent *event)
{
  event->now_us = daemon->now_us;
  gs_core_reduce (daemon->core, event, daemon->effects);
  gs_effects_clear (daemon->effects);
}

static Daemon
new_daemon (void)
{
  GsCoreOptions options
      = { .self = { .id = "self", .failure_domain = "d", .ipv4 = 1, .ready = 1 } };
  Daemon daemon = { .core = gs_core_new (&options),
                    .effects = gs_effects_new (),
                    .now_us = 1000 * GS_US_PER_S };
  GsEvent begin = { .kind = GS_EVENT_LOG_POSITION, .position = { .from_start = true } };

  reduce (&daemon, &begin);
  return daemon;
}

static void
free_daemon (Daemon *daemon)
{
  gs_effects_free (daemon->effects);
  gs_core_free (daemon->core);
}

static void
apply_edit (Daemon *daemon, uint32_t workspace, const char *text)
{
  g_autofree char *name = g_strdup_printf ("workspace-%u", workspace);
  GsEvent event = {
    .kind = GS_EVENT_EDIT,
    .edit = { .offset = daemon->offset++,
              .edit = { .submission = workspace + 1,
                        .base_revision
                        = gs_config_log_revision (gs_core_config_log (daemon->core), name, NULL),
                        .workspace = name,
                        .text = text,
                        .document = gs_tables_parse (name, "bench", text, strlen (text), NULL) } }
  };

  event.edit.edit.submission += daemon->offset * 1000000;
  reduce (daemon, &event);
}

static void
add_workspaces (Daemon *daemon,
                uint32_t first,
                uint32_t count,
                uint32_t routes,
                uint32_t pools,
                uint32_t upstreams)
{
  for (uint32_t i = 0; i < count; i++)
    {
      g_autofree char *text = make_yaml (first + i, routes, pools, upstreams);
      apply_edit (daemon, first + i, text);
    }
}

static double
bytes_per_workspace (uint32_t count, uint32_t routes, uint32_t pools, uint32_t upstreams)
{
  Daemon daemon = new_daemon ();
  double before = heap_bytes ();
  double after;

  add_workspaces (&daemon, 0, count, routes, pools, upstreams);
  after = heap_bytes ();
  free_daemon (&daemon);
  return (after - before) / count;
}

static void
measure_tables (void)
{
  double workspace = bytes_per_workspace (20000, 0, 0, 0);
  double pool = bytes_per_workspace (2000, 0, 1, 0) - workspace;
  double upstream = (bytes_per_workspace (1000, 0, 1, 40) - pool - workspace) / 40;
  double route = (bytes_per_workspace (1000, 20, 1, 0) - pool - workspace) / 20;

  print_slope ("memory of a workspace without rows", workspace, "bytes");
  print_slope ("memory of a pool row", pool, "bytes");
  print_slope ("memory of an upstream row", upstream, "bytes");
  print_slope ("memory of a route row", route, "bytes");
}

static void
measure_edits (void)
{
  Daemon daemon = new_daemon ();
  g_autofree char *text = make_yaml (1, 10, 1, 36);
  GBytes *record = gs_record_encode_edit ("00000000-0000-0000-0000-000000000000", "w", 1, text);
  double begin_us = cpu_us ();

  for (int i = 0; i < 500; i++)
    apply_edit (&daemon, 1, text);
  print_slope ("processor time of an edit (10 routes, 36 upstreams)", (cpu_us () - begin_us) / 500,
               "us");
  print_slope ("record of such an edit", (double)g_bytes_get_size (record), "bytes");
  g_bytes_unref (record);
  free_daemon (&daemon);
}

static void
measure_requests (void)
{
  Daemon daemon = new_daemon ();
  double begin_us;
  double memory = heap_bytes ();
  int count = 100000;

  add_workspaces (&daemon, 1, 1, 10, 1, 36);
  begin_us = cpu_us ();
  for (int i = 1; i <= count; i++)
    {
      GsEvent request = { .kind = GS_EVENT_REQUEST,
                          .request = { .request = (uint64_t)i,
                                       .host = "w1.example",
                                       .path = "/path-3/x",
                                       .fingerprint = (uint64_t)i } };
      GsEvent end = { .kind = GS_EVENT_ATTEMPT_END,
                      .attempt_end = { .attempt = (uint64_t)i, .answer_us = 20000 } };
      daemon.now_us += 1000;
      reduce (&daemon, &request);
      reduce (&daemon, &end);
    }
  print_slope ("processor time of the decisions of a request", (cpu_us () - begin_us) / count,
               "us");
  print_slope ("memory of a served pool of 36 upstreams", heap_bytes () - memory, "bytes");
  begin_us = cpu_us ();
  for (int i = 0; i < 5000; i++)
    {
      GsEvent tick = { .kind = GS_EVENT_TICK };
      daemon.now_us += 10000;
      reduce (&daemon, &tick);
    }
  print_slope ("processor time of a tick with one pool (100 a second)",
               (cpu_us () - begin_us) / 5000, "us");
  free_daemon (&daemon);
}

static GsMemberInfo
make_member (uint32_t index)
{
  GsMemberInfo member = { .ipv4 = 0x0a000000 + index,
                          .entry_port = 8080,
                          .peer_port = 8082,
                          .incarnation = UINT64_C (1700000000000000) + index,
                          .ready = 1 };

  g_snprintf (member.id, sizeof member.id, "instance-%05u", index);
  g_snprintf (member.failure_domain, sizeof member.failure_domain, "domain-%u", index % 13);
  return member;
}

static void
add_members (Daemon *daemon, uint32_t count)
{
  GsMemberMessage message
      = { .kind = GS_MEMBER_MESSAGE_MEMBERS, .from = make_member (0), .n_updates = count };
  GsEvent event = { .kind = GS_EVENT_MEMBER_MESSAGE, .member_message = &message };

  message.updates = g_new0 (GsMemberInfo, count);
  for (uint32_t i = 0; i < count; i++)
    message.updates[i] = make_member (i);
  reduce (daemon, &event);
  g_free (message.updates);
}

static void
measure_members (uint32_t count)
{
  Daemon daemon = new_daemon ();
  double before = heap_bytes ();
  double begin_us;
  g_autofree char *label = g_strdup_printf ("processor time of a period with %u members", count);

  add_members (&daemon, count);
  if (count == TARGET_MEMBERS)
    print_slope ("memory of a member", (heap_bytes () - before) / count, "bytes");
  begin_us = cpu_us ();
  for (int i = 0; i < 20; i++)
    {
      GsMemberMessage ping = { .kind = GS_MEMBER_MESSAGE_PING, .from = make_member (1) };
      GsEvent event = { .kind = GS_EVENT_MEMBER_MESSAGE, .member_message = &ping };
      GsEvent tick = { .kind = GS_EVENT_TICK };
      daemon.now_us += 500000;
      reduce (&daemon, &event);
      reduce (&daemon, &tick);
    }
  print_slope (label, (cpu_us () - begin_us) / 20, "us");
  free_daemon (&daemon);
}

static double
wire_bytes (uint32_t n_updates)
{
  GsMemberInfo updates[GS_MEMBER_UPDATES_MAX];
  GsWireMessage message = { .kind = GS_WIRE_MEMBER_MESSAGE,
                            .member_message = { .sequence = 1u << 30,
                                                .digest = UINT64_MAX,
                                                .position = 1u << 30,
                                                .from = make_member (1),
                                                .updates = updates,
                                                .n_updates = n_updates } };
  GBytes *bytes;
  double size;

  for (uint32_t i = 0; i < n_updates; i++)
    updates[i] = make_member (i);
  bytes = gs_wire_encode (&message);
  size = (double)g_bytes_get_size (bytes);
  g_bytes_unref (bytes);
  return size;
}

static void
measure_wire (void)
{
  GsWireMessage evidence = {
    .kind = GS_WIRE_EVIDENCE,
    .evidence
    = { .from = "instance-00001", .pool = UINT64_MAX, .upstream = "s-1000-0-10", .score_nats = 3.3 }
  };
  GBytes *bytes = gs_wire_encode (&evidence);

  print_slope ("membership message without facts", wire_bytes (0), "bytes");
  print_slope ("a fact on a membership message", (wire_bytes (10) - wire_bytes (0)) / 10, "bytes");
  print_slope ("evidence on an upstream", (double)g_bytes_get_size (bytes), "bytes");
  g_bytes_unref (bytes);
}

/* Adds tables at the target size: all rows are in the first workspaces, the others have none. */
static void
add_target_workspaces (Daemon *daemon)
{
  uint32_t with_pools = TARGET_POOLS;
  uint32_t upstreams = TARGET_UPSTREAMS / TARGET_POOLS;
  uint32_t routes = TARGET_ROUTES / TARGET_POOLS;

  add_workspaces (daemon, 0, with_pools, routes, 1, upstreams);
  add_workspaces (daemon, with_pools, TARGET_WORKSPACES - with_pools, 0, 0, 0);
}

static void
apply_snapshot (Daemon *daemon, const char *bytes, size_t length)
{
  GsTablesSnapshot snapshot;
  GsEvent event = { .kind = GS_EVENT_TABLES_SNAPSHOT };
  GsDocument **documents;

  gs_tables_snapshot_decode (&snapshot, bytes, length);
  documents = g_new0 (GsDocument *, snapshot.n_entries);
  for (uint32_t i = 0; i < snapshot.n_entries; i++)
    documents[i]
        = gs_tables_parse (snapshot.entries[i].workspace, "snapshot", snapshot.entries[i].text,
                           strlen (snapshot.entries[i].text), NULL);
  event.tables_snapshot
      = (GsTablesSnapshotEvent){ snapshot.from, snapshot.position,  snapshot.entries,
                                 documents,     snapshot.n_entries, true };
  reduce (daemon, &event);
  g_free (documents);
  gs_tables_snapshot_clear (&snapshot);
}

static GBytes *
encode_target_snapshot (void)
{
  Daemon daemon = new_daemon ();
  GBytes *snapshot;

  add_target_workspaces (&daemon);
  print_slope ("heap of the tables at the target size", heap_bytes (), "bytes");
  snapshot = gs_tables_snapshot_encode (gs_core_config_log (daemon.core), 0);
  print_slope ("copy of the tables at the target size", (double)g_bytes_get_size (snapshot),
               "bytes");
  free_daemon (&daemon);
  return snapshot;
}

static void
measure_target (void)
{
  g_autoptr (GBytes) snapshot = encode_target_snapshot ();
  GsCoreOptions options = { .self = { .id = "newcomer", .failure_domain = "d" } };
  Daemon joining = { .core = gs_core_new (&options), .effects = gs_effects_new () };
  gsize length;
  const char *bytes = g_bytes_get_data (snapshot, &length);
  double begin_us = cpu_us ();

  apply_snapshot (&joining, bytes, length);
  print_slope ("processor time to take that copy", (cpu_us () - begin_us) / 1e6, "s");
  free_daemon (&joining);
}

/* Appends a snapshot of the target tables after a record that the log holds already. */
static int
append_target (const char *url)
{
  g_autoptr (GBytes) snapshot = encode_target_snapshot ();
  GsLogClient *client = gs_log_client_new (url, 20000);
  uint32_t records;
  bool done = gs_log_append_snapshot (client, "config", snapshot, TARGET_WORKSPACES, &records);

  gs_log_client_free (client);
  return done ? 0 : 1;
}

int
main (int argc, char **argv)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (argc > 1)
    return append_target (argv[1]);
  measure_tables ();
  measure_edits ();
  measure_requests ();
  measure_members (32);
  measure_members (1000);
  measure_members (TARGET_MEMBERS);
  measure_wire ();
  measure_target ();
  return 0;
}
