// Property test of copies of the tables. One daemon reads versions from the store, others get them
// from each other as peers send them, some spoiled on the way, and daemons restart. The versions
// are any that the adapter accepts, those without routes, pools, workspaces or limits among them.
// Checked:
//   - the tables, limits and text of a daemon are those of the version at its position;
//   - a daemon that gets a copy that is whole has that version, whatever it got before.
#include <rapidcheck.h>

#include <map>
#include <string>

extern "C"
{
#include "../../platform/decode.h"
#include "../../platform/redact.h"
#include "../../src/gentian/config/tables.h"
#include "../../src/gentian/store/record.h"
}

#include "events.h"

namespace
{
const int DAEMONS = 4;
const char *const WORKSPACE = "w";

struct Daemon
{
  GsCore *core = nullptr;
  GsEffects *effects = gs_effects_new ();

  Daemon () { restart (); }

  ~Daemon ()
  {
    gs_core_free (core);
    gs_effects_free (effects);
  }

  void restart ()
  {
    GsCoreOptions options = {};

    gs_core_free (core);
    options.seed = 1;
    options.tables_from_store = true;
    g_strlcpy (options.self.id, "d", sizeof options.self.id);
    core = gs_core_new (&options);
  }

  uint64_t position () const { return gs_config_log_position (gs_core_config_log (core)); }
};

// Texts of the versions, as daemons send them.
typedef std::map<uint64_t, std::string> Versions;

GsDocument *
decode (const std::string &text)
{
  return platform_decode_tables (WORKSPACE, "copy", text.data (), text.size (), nullptr);
}

// Some members of a list, or none.
std::string
draw_list (const char *const *items, int count)
{
  std::string list;
  for (int i = 0; i < count; i++)
    if (*rc::gen::inRange (0, 2) == 0)
      list += (list.empty () ? "" : ", ") + std::string (items[i]);
  return "[" + list + "]";
}

std::string
draw_services (bool with_route)
{
  static const char *const more[]
      = { "{\"Name\":\"t\",\"MaxConns\":9}", "{\"Name\":\"u\",\"MaxConns\":65535}" };
  std::string list = draw_list (more, 2);

  if (!with_route)
    return list;
  return "[{\"Name\":\"s\",\"MaxConns\":3}" + (list == "[]" ? "]" : ", " + list.substr (1));
}

std::string
draw_tenants ()
{
  static const char *const tenants[] = { "{\"Name\":\"a\",\"ApiKeys\":[\"k\"],\"RatePerS\":5}",
                                         "{\"Name\":\"b\",\"ApiKeys\":[]}", "{\"Name\":\"c\"}" };

  switch (*rc::gen::inRange (0, 3))
    {
    case 0:
      return "";
    case 1:
      return ",\"Tenants\":[]";
    default:
      return ",\"Tenants\":" + draw_list (tenants, 3);
    }
}

std::string
draw_limits ()
{
  if (*rc::gen::inRange (0, 3) == 0)
    return "";
  return ",\"Limits\":{\"MaxHeaderBytes\":" + std::to_string (*rc::gen::inRange (1, 9000))
         + ",\"MaxBodyBytes\":7,\"HeaderTimeout\":\"2s\",\"IdleTimeout\":\"300ms\"}";
}

std::string
draw_version (uint64_t version)
{
  bool with_route = *rc::gen::inRange (0, 2) == 0;
  std::string routes
      = with_route ? "{\"Name\":\"r\",\"Host\":\"h\",\"PathPrefix\":\"/\",\"Kind\":\"safe\","
                     "\"Timeout\":\"3s\",\"TargetLatency\":\"1s\",\"Priority\":1,\"Service\":\"s\","
                     "\"MaxAttempts\":2}"
                   : "";

  return "{\"Version\":\"r" + std::to_string (version) + "\",\"Routes\":[" + routes
         + "],\"Services\":" + draw_services (with_route) + draw_tenants () + draw_limits () + "}";
}

void
post (Daemon &daemon, GsEvent event)
{
  gs_effects_clear (daemon.effects);
  event.now_us = 1000 * GS_US_PER_S;
  gs_core_reduce (daemon.core, &event, daemon.effects);
}

// The daemon reads VERSION from the store.
void
read (Daemon &daemon, uint64_t version, const std::string &text)
{
  GsSnapshotEntry entry;
  GsDocument *document = decode (text);
  GsEvent event = make_snapshot_event (&entry, &document, version);

  RC_ASSERT (document != nullptr && document->revision == version);
  entry.text = text.c_str ();
  event.tables_snapshot.read_here = true;
  post (daemon, event);
}

// One daemon sends its tables to another one. SPOILED: their text arrives as another one.
void
copy (const Daemon &from, Daemon &to, bool spoiled)
{
  GBytes *bytes = gs_tables_snapshot_encode (gs_core_config_log (from.core), 0);
  GsTablesSnapshot snapshot;
  gsize length;
  const char *data = static_cast<const char *> (g_bytes_get_data (bytes, &length));

  RC_ASSERT (gs_tables_snapshot_decode (&snapshot, data, length));
  RC_ASSERT (snapshot.n_entries == 1u);
  GsDocument *document = decode (spoiled ? "{}" : snapshot.entries[0].text);
  GsEvent event = make_event (GS_EVENT_TABLES_SNAPSHOT);
  event.tables_snapshot.position = snapshot.position;
  event.tables_snapshot.entries = snapshot.entries;
  event.tables_snapshot.documents = &document;
  event.tables_snapshot.n_entries = 1;
  event.tables_snapshot.last = true;
  post (to, event);
  gs_tables_snapshot_clear (&snapshot);
  g_bytes_unref (bytes);
}

// Asserts that the daemon has the version at its position, and nothing else.
void
check (const Daemon &daemon, const Versions &versions)
{
  uint64_t position = daemon.position ();
  const char *text;
  uint64_t revision = gs_config_log_revision (gs_core_config_log (daemon.core), WORKSPACE, &text);

  RC_ASSERT (revision == position);
  if (position == 0)
    return;
  RC_ASSERT (versions.at (position) == text);
  GsDocument *expected = decode (versions.at (position));
  char *difference
      = gs_tables_diff (gs_table_document (gs_core_table (daemon.core), WORKSPACE), expected);
  GsCallerLimits limits = gs_core_caller_limits (daemon.core, WORKSPACE);
  const GsDocument *document = gs_table_document (gs_core_table (daemon.core), WORKSPACE);
  bool same_access = gs_document_requires_keys (expected)
                     == (document != nullptr && gs_document_requires_keys (document));
  bool same_limits = memcmp (&limits, &expected->limits, sizeof limits) == 0;
  std::string rows = difference;
  g_free (difference);
  gs_document_free (expected);
  RC_ASSERT (rows == "");
  RC_ASSERT (same_limits);
  RC_ASSERT (same_access);
}
}

int
main ()
{
  bool ok = rc::check ("copies are what the store holds", [] {
    Daemon daemons[DAEMONS];
    Versions versions;
    uint64_t newest = 0;
    int steps = *rc::gen::inRange (1, 40);

    for (int i = 0; i < steps; i++)
      {
        int from = *rc::gen::inRange (0, DAEMONS);
        int to = *rc::gen::inRange (0, DAEMONS);
        int action = *rc::gen::inRange (0, 10);
        if (action < 3 || newest == 0)
          {
            std::string text = draw_version (newest += *rc::gen::inRange<uint64_t> (1, 5));
            char *kept = platform_redact_tables (text.data (), text.size ());
            versions[newest] = kept;
            g_free (kept);
            read (daemons[0], newest, versions[newest]);
          }
        else if (action == 3 && to != 0)
          daemons[to].restart ();
        else if (from != to && daemons[from].position () > 0)
          {
            bool spoiled = *rc::gen::inRange (0, 4) == 0;
            uint64_t expected = spoiled
                                    ? daemons[to].position ()
                                    : std::max (daemons[from].position (), daemons[to].position ());
            copy (daemons[from], daemons[to], spoiled);
            RC_ASSERT (daemons[to].position () == expected);
          }
        for (const Daemon &daemon : daemons)
          check (daemon, versions);
      }
  });
  return ok ? 0 : 1;
}
