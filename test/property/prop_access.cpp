// Property test of keys. A reducer gets requests with keys, tables that move, add and remove these,
// and ends of attempts. Checked:
//   - an attempt is begun only for a key that the tables in force have, on an anonymous route, or
// where no key was needed when the request arrived, and names the workspace that has the key;
//   - 401 and 503 "tables-stale" are given only for a key that the tables in force do not have, and
// never after an attempt that may have run;
//   - no request that waits has a key which the tables in force lack;
//   - the index of a document finds what a search of its rows finds.
#include <rapidcheck.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "../../src/gentian/access/key_digest.h"
}

#include "events.h"

namespace
{
const int KEYS = 6;
const int WORKSPACES = 3;
const int UPSTREAMS = 2;
const char *const PREFIXES[] = { "/closed", "/open" };

// Workspace of each key; -1: none has it.
typedef std::vector<int> Owners;

struct Request
{
  int key; // -1: none
  bool open;
  bool free; // no key was needed when it arrived
  uint64_t running = 0;
  bool may_have_run = false;
};

struct World
{
  GsCore *core = nullptr;
  GsEffects *effects = gs_effects_new ();
  int64_t now_us = 1000 * GS_US_PER_S;
  uint64_t revision = 0;
  uint64_t next_request = 0;
  bool listed = false; // the tables have a workspaces table
  bool rows = true;    // and it has rows
  Owners owners = Owners (KEYS, -1);
  std::map<uint64_t, Request> requests;

  ~World ()
  {
    gs_core_free (core);
    gs_effects_free (effects);
  }
};

GsKeyDigest
digest (int key)
{
  std::string text = "key" + std::to_string (key);
  return gs_key_digest (text.data (), text.size ());
}

std::string
name (int workspace)
{
  return workspace < 0 ? "" : "w" + std::to_string (workspace);
}

GsDocument *
tables (const World &world)
{
  GsDocument *document = make_tables (PREFIXES, 2, 3000);

  document->pools[0].registered = true;
  for (int i = 0; i < 2; i++)
    {
      document->routes[i].max_attempts = 3;
      document->routes[i].anonymous = i == 1;
    }
  document->workspaces_listed = world.listed;
  document->n_workspaces = world.listed && world.rows ? WORKSPACES : 0;
  document->workspaces = g_new0 (GsWorkspaceRow, WORKSPACES);
  for (uint32_t i = 0; i < document->n_workspaces; i++)
    {
      GsWorkspaceRow *row = &document->workspaces[i];
      row->name = g_strdup (name ((int)i).c_str ());
      row->hash = gs_hash_name (row->name);
      row->keys = g_new0 (GsKeyDigest, KEYS);
      for (int key = 0; key < KEYS; key++)
        if (world.owners[(size_t)key] == (int)i)
          row->keys[row->n_keys++] = digest (key);
    }
  return document;
}

void post (World &world, GsEvent event);

void
end_attempt (World &world, Request &request, GsOutcome outcome)
{
  GsEvent event = make_event (GS_EVENT_ATTEMPT_END);

  event.attempt_end.attempt = request.running;
  event.attempt_end.outcome = outcome;
  event.attempt_end.answer_us = 1000;
  request.running = 0;
  if (gs_outcome_verdict (outcome) != GS_VERDICT_NOT_RUN)
    request.may_have_run = true;
  post (world, event);
}

int
owner (const World &world, const Request &request)
{
  return world.listed && world.rows && request.key >= 0 ? world.owners[(size_t)request.key] : -1;
}

void
check_attempt (World &world, const GsAttemptEffect &attempt)
{
  Request &request = world.requests.at (attempt.request);

  RC_ASSERT (!world.listed || request.open || request.free || owner (world, request) >= 0);
  RC_ASSERT (name (owner (world, request)) == attempt.workspace);
  if (request.running != 0)
    {
      // The HTTP layer ends the late attempt before it starts another.
      uint64_t late = request.running;
      request.running = attempt.attempt;
      request.may_have_run = true;
      GsEvent event = make_event (GS_EVENT_ATTEMPT_END);
      event.attempt_end.attempt = late;
      event.attempt_end.outcome = GS_OUTCOME_TIMEOUT;
      post (world, event);
    }
  else
    request.running = attempt.attempt;
}

void
check_reject (World &world, const GsRejectEffect &reject)
{
  Request request = world.requests.at (reject.request);
  bool refused = reject.status == 401 || strcmp (reject.reason, "tables-stale") == 0;

  world.requests.erase (reject.request);
  RC_ASSERT (!refused || (world.listed && !request.open && owner (world, request) < 0));
  RC_ASSERT (!refused || (request.running == 0 && !request.may_have_run));
  RC_ASSERT (reject.status != 401 || reject.verdict == GS_VERDICT_NOT_RUN);
  RC_ASSERT (reject.verdict != GS_VERDICT_NOT_RUN || !request.may_have_run);
}

void
post (World &world, GsEvent event)
{
  std::vector<GsEffect> effects;

  event.now_us = world.now_us;
  gs_effects_clear (world.effects);
  gs_core_reduce (world.core, &event, world.effects);
  for (uint32_t i = 0; i < gs_effects_count (world.effects); i++)
    effects.push_back (*gs_effects_get (world.effects, i));
  for (const GsEffect &effect : effects)
    if (effect.kind == GS_EFFECT_ATTEMPT)
      check_attempt (world, effect.attempt);
    else if (effect.kind == GS_EFFECT_REJECT)
      check_reject (world, effect.reject);
    else if (effect.kind == GS_EFFECT_ANSWER)
      world.requests.erase (effect.answer.request);
}

void
put_tables (World &world)
{
  GsSnapshotEntry entry;
  GsDocument *document = tables (world);

  post (world, make_snapshot_event (&entry, &document, ++world.revision));
  for (const auto &waiting : world.requests)
    RC_ASSERT (waiting.second.running != 0 || !world.listed || waiting.second.open
               || waiting.second.key < 0 || owner (world, waiting.second) >= 0);
}

void
register_upstreams (World &world)
{
  GsRegistryChange changes[UPSTREAMS];
  GsEvent event = make_registry_event (changes, UPSTREAMS, 10);

  memset (changes, 0, sizeof changes);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      GsRegistration *row = &changes[i].registration;
      changes[i].offset = 1;
      changes[i].present = true;
      g_snprintf (row->id, sizeof row->id, "u%d", i);
      g_strlcpy (row->pool, "p", sizeof row->pool);
      row->ipv4 = 9;
      row->port = (uint16_t)(i + 1);
      row->slots = 1;
    }
  event.registry_update.update.complete = true;
  event.registry_update.update.read_here = true;
  event.registry_update.update.from_reader = true;
  post (world, event);
}

void
ask (World &world, int choice)
{
  Request request = {};
  GsEvent event = make_event (GS_EVENT_REQUEST);
  uint64_t id = ++world.next_request;

  request.key = choice % (KEYS + 1) - 1;
  request.open = choice / (KEYS + 1) % 2 == 1;
  request.free = !world.listed;
  world.requests[id] = request;
  event.request.request = id;
  event.request.host = "h";
  event.request.path = PREFIXES[request.open ? 1 : 0];
  event.request.fingerprint = id;
  event.request.has_key = request.key >= 0;
  if (request.key >= 0)
    event.request.key = digest (request.key);
  post (world, event);
}

// Ends the attempt of one running request, or reports it as late.
void
advance (World &world, int choice)
{
  static const GsOutcome outcomes[]
      = { GS_OUTCOME_OK,      GS_OUTCOME_REFUSED, GS_OUTCOME_CLOSED,
          GS_OUTCOME_TIMEOUT, GS_OUTCOME_ERROR,   GS_OUTCOME_UNREACHABLE };
  std::vector<uint64_t> running;

  for (const auto &entry : world.requests)
    if (entry.second.running != 0)
      running.push_back (entry.first);
  if (running.empty ())
    return;
  Request &request = world.requests.at (running[(size_t)choice % running.size ()]);
  if (choice / 8 % 7 < 6)
    {
      end_attempt (world, request, outcomes[choice / 8 % 7]);
      return;
    }
  GsEvent event = make_event (GS_EVENT_ATTEMPT_LATE);
  event.attempt_late = request.running;
  post (world, event);
}

void
step (World &world, int command)
{
  int choice = command / 8;
  GsEvent tick = make_event (GS_EVENT_TICK);

  switch (command % 8)
    {
    case 0:
    case 1:
    case 2:
      ask (world, choice);
      break;
    case 3:
    case 4:
      advance (world, choice);
      break;
    case 5:
      world.listed = choice % 8 != 0;
      world.rows = choice % 8 != 1;
      world.owners[(size_t)choice % KEYS] = choice / KEYS % (WORKSPACES + 1) - 1;
      put_tables (world);
      break;
    case 6:
      register_upstreams (world);
      break;
    default:
      world.now_us += choice % 4 * 300 * GS_US_PER_MS;
      post (world, tick);
    }
}

void
check_index (const Owners &owners)
{
  World world;
  GsWorkspaceConflict conflict;

  world.listed = true;
  world.owners = owners;
  GsDocument *document = tables (world);
  RC_ASSERT (gs_document_index_workspaces (document, &conflict));
  for (int key = 0; key < KEYS; key++)
    {
      GsKeyDigest wanted = digest (key);
      const GsWorkspaceRow *row = gs_document_workspace_by_key (document, &wanted);
      RC_ASSERT ((row != nullptr ? row->name : std::string ()) == name (owners[(size_t)key]));
    }
  // Any key of one row, given to another, is a conflict.
  gs_document_free (document);
  for (int key = 0; key < KEYS; key++)
    {
      if (owners[(size_t)key] < 0)
        continue;
      document = tables (world);
      GsWorkspaceRow *other = &document->workspaces[(owners[(size_t)key] + 1) % WORKSPACES];
      other->keys = g_renew (GsKeyDigest, other->keys, KEYS + 1);
      other->keys[other->n_keys++] = digest (key);
      RC_ASSERT (!gs_document_index_workspaces (document, &conflict) && conflict.same_key);
      gs_document_free (document);
    }
}
}

int
main ()
{
  bool ok = rc::check ("attempts are begun for valid keys only", [] {
    const auto steps = *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 8 * 512));
    World world;
    GsCoreOptions options;
    memset (&options, 0, sizeof options);
    g_strlcpy (options.self.id, "self", sizeof options.self.id);
    options.self.incarnation = 7;
    options.self.ready = 1;
    options.seed = 5;
    options.tables_from_store = true;
    options.retry_budget.share_ppm = 1000000;
    options.retry_budget.slack = 1000;
    options.retry_budget.window_us = 10 * GS_US_PER_S;
    world.core = gs_core_new (&options);
    put_tables (world);
    register_upstreams (world);
    for (int command : steps)
      step (world, command);
  });
  ok = rc::check ("the index finds what the rows have",
                  [] {
                    check_index (
                        *rc::gen::container<Owners> (KEYS, rc::gen::inRange (-1, WORKSPACES)));
                  })
       && ok;
  return ok ? 0 : 1;
}
