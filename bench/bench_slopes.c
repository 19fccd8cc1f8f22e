/*
 * bench_slopes: what each thing costs a daemon, as slopes, for docs/CAPACITY.md. Prints a line of
 * JSON each. Usage: bench_slopes            slopes of memory, processor time and bytes on the wire
 *        bench_slopes URL        appends a snapshot of tables at the target size to the platform at
 * URL
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
print (const char *what, double value, const char *unit)
{
  printf ("{\"slope\":\"%s\",\"value\":%.4g,\"unit\":\"%s\"}\n", what, value, unit);
  fflush (stdout);
}

/* YAML of one workspace: N_POOLS pools of N_UPSTREAMS each, N_ROUTES routes. */
static char *
make_text (uint32_t workspace, uint32_t n_routes, uint32_t n_pools, uint32_t n_upstreams)
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
edit (Daemon *daemon, uint32_t workspace, const char *text)
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
fill (Daemon *daemon,
      uint32_t first,
      uint32_t count,
      uint32_t routes,
      uint32_t pools,
      uint32_t upstreams)
{
  for (uint32_t i = 0; i < count; i++)
    {
      g_autofree char *text = make_text (first + i, routes, pools, upstreams);
      edit (daemon, first + i, text);
    }
}

static double
memory_of (uint32_t count, uint32_t routes, uint32_t pools, uint32_t upstreams)
{
  Daemon daemon = new_daemon ();
  double before = heap_bytes ();
  double after;

  fill (&daemon, 0, count, routes, pools, upstreams);
  after = heap_bytes ();
  free_daemon (&daemon);
  return (after - before) / count;
}

static void
measure_tables (void)
{
  double workspace = memory_of (20000, 0, 0, 0);
  double pool = memory_of (2000, 0, 1, 0) - workspace;
  double upstream = (memory_of (1000, 0, 1, 40) - pool - workspace) / 40;
  double route = (memory_of (1000, 20, 1, 0) - pool - workspace) / 20;

  print ("memory of a workspace without rows", workspace, "bytes");
  print ("memory of a pool row", pool, "bytes");
  print ("memory of an upstream row", upstream, "bytes");
  print ("memory of a route row", route, "bytes");
}

static void
measure_edits (void)
{
  Daemon daemon = new_daemon ();
  g_autofree char *text = make_text (1, 10, 1, 36);
  GBytes *record = gs_record_encode_edit ("00000000-0000-0000-0000-000000000000", "w", 1, text);
  double begin_us = cpu_us ();

  for (int i = 0; i < 500; i++)
    edit (&daemon, 1, text);
  print ("processor time of an edit (10 routes, 36 upstreams)", (cpu_us () - begin_us) / 500, "us");
  print ("record of such an edit", (double)g_bytes_get_size (record), "bytes");
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

  fill (&daemon, 1, 1, 10, 1, 36);
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
  print ("processor time of the decisions of a request", (cpu_us () - begin_us) / count, "us");
  print ("memory of a served pool of 36 upstreams", heap_bytes () - memory, "bytes");
  begin_us = cpu_us ();
  for (int i = 0; i < 5000; i++)
    {
      GsEvent tick = { .kind = GS_EVENT_TICK };
      daemon.now_us += 10000;
      reduce (&daemon, &tick);
    }
  print ("processor time of a tick with one pool (100 a second)", (cpu_us () - begin_us) / 5000,
         "us");
  free_daemon (&daemon);
}

static GsMemberInfo
member (uint32_t index)
{
  GsMemberInfo fact = { .ipv4 = 0x0a000000 + index,
                        .entry_port = 8080,
                        .peer_port = 8082,
                        .incarnation = UINT64_C (1700000000000000) + index,
                        .ready = 1 };

  g_snprintf (fact.id, sizeof fact.id, "instance-%05u", index);
  g_snprintf (fact.failure_domain, sizeof fact.failure_domain, "domain-%u", index % 13);
  return fact;
}

static void
add_members (Daemon *daemon, uint32_t count)
{
  GsMemberMessage probe
      = { .kind = GS_MEMBER_MESSAGE_MEMBERS, .from = member (0), .n_updates = count };
  GsEvent event = { .kind = GS_EVENT_MEMBER_MESSAGE, .member_message = &probe };

  probe.updates = g_new0 (GsMemberInfo, count);
  for (uint32_t i = 0; i < count; i++)
    probe.updates[i] = member (i);
  reduce (daemon, &event);
  g_free (probe.updates);
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
    print ("memory of a member", (heap_bytes () - before) / count, "bytes");
  begin_us = cpu_us ();
  for (int i = 0; i < 20; i++)
    {
      GsMemberMessage heard = { .kind = GS_MEMBER_MESSAGE_PING, .from = member (1) };
      GsEvent event = { .kind = GS_EVENT_MEMBER_MESSAGE, .member_message = &heard };
      GsEvent tick = { .kind = GS_EVENT_TICK };
      daemon.now_us += 500000;
      reduce (&daemon, &event);
      reduce (&daemon, &tick);
    }
  print (label, (cpu_us () - begin_us) / 20, "us");
  free_daemon (&daemon);
}

static double
wire_bytes (uint32_t n_facts)
{
  GsMemberInfo facts[GS_MEMBER_UPDATES_MAX];
  GsWireMessage message = { .kind = GS_WIRE_MEMBER_MESSAGE,
                            .member_message = { .sequence = 1u << 30,
                                                .digest = UINT64_MAX,
                                                .position = 1u << 30,
                                                .from = member (1),
                                                .updates = facts,
                                                .n_updates = n_facts } };
  GBytes *bytes;
  double size;

  for (uint32_t i = 0; i < n_facts; i++)
    facts[i] = member (i);
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

  print ("membership message without facts", wire_bytes (0), "bytes");
  print ("a fact on a membership message", (wire_bytes (10) - wire_bytes (0)) / 10, "bytes");
  print ("evidence on an upstream", (double)g_bytes_get_size (bytes), "bytes");
  g_bytes_unref (bytes);
}

/* Tables at the target size: all rows in the first workspaces, the others without rows. */
static void
fill_target (Daemon *daemon)
{
  uint32_t with_pools = TARGET_POOLS;
  uint32_t upstreams = TARGET_UPSTREAMS / TARGET_POOLS;
  uint32_t routes = TARGET_ROUTES / TARGET_POOLS;

  fill (daemon, 0, with_pools, routes, 1, upstreams);
  fill (daemon, with_pools, TARGET_WORKSPACES - with_pools, 0, 0, 0);
}

static void
take_copy (Daemon *daemon, const char *bytes, size_t length)
{
  GsTablesSnapshot copy;
  GsEvent event = { .kind = GS_EVENT_TABLES_SNAPSHOT };
  GsDocument **documents;

  gs_tables_snapshot_decode (&copy, bytes, length);
  documents = g_new0 (GsDocument *, copy.n_entries);
  for (uint32_t i = 0; i < copy.n_entries; i++)
    documents[i] = gs_tables_parse (copy.entries[i].workspace, "copy", copy.entries[i].text,
                                    strlen (copy.entries[i].text), NULL);
  event.tables_snapshot = (GsTablesSnapshotEvent){ copy.from, copy.position,  copy.entries,
                                                   documents, copy.n_entries, true };
  reduce (daemon, &event);
  g_free (documents);
  gs_tables_snapshot_clear (&copy);
}

static GBytes *
target_copy (void)
{
  Daemon daemon = new_daemon ();
  GBytes *copy;

  fill_target (&daemon);
  print ("heap of the tables at the target size", heap_bytes (), "bytes");
  copy = gs_tables_snapshot_encode (gs_core_config_log (daemon.core), 0);
  print ("copy of the tables at the target size", (double)g_bytes_get_size (copy), "bytes");
  free_daemon (&daemon);
  return copy;
}

static void
measure_target (void)
{
  g_autoptr (GBytes) copy = target_copy ();
  GsCoreOptions options = { .self = { .id = "newcomer", .failure_domain = "d" } };
  Daemon newcomer = { .core = gs_core_new (&options), .effects = gs_effects_new () };
  gsize length;
  const char *bytes = g_bytes_get_data (copy, &length);
  double begin_us = cpu_us ();

  take_copy (&newcomer, bytes, length);
  print ("processor time to take that copy", (cpu_us () - begin_us) / 1e6, "s");
  free_daemon (&newcomer);
}

/* Appends the copy as a snapshot, behind one record that is already there. */
static int
append_target (const char *url)
{
  g_autoptr (GBytes) copy = target_copy ();
  GsLogClient *client = gs_log_client_new (url, 20000);
  uint32_t records;
  bool done = gs_log_append_snapshot (client, "config", copy, TARGET_WORKSPACES, &records);

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
