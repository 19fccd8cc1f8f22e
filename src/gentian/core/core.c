#include "core_private.h"

#include <string.h>

/** Period at which the homes of a pool exchange evidence. */
#define CORE_EVIDENCE_PERIOD_US (50 * GS_US_PER_MS)
/** Fraction of the detection threshold from which evidence is sent to other homes. */
#define CORE_EVIDENCE_SEND_SHARE 0.1
/** How long a report of a leaving upstream is stored for pools that this daemon does not serve yet.
 */
#define CORE_LEAVING_REPORT_TTL_US (3600 * GS_US_PER_S)

static void
free_pool_state (gpointer data)
{
  PoolState *state = data;

  gs_pool_free (state->pool);
  gs_scheduler_free (state->scheduler);
  gs_fair_queue_free (state->queue);
  gs_service_shares_free (state->shares);
  g_free (state->admission);
  g_free (state->workspace);
  g_free (state->name);
  g_free (state);
}

static void
emit_member_message (const GsPeerAddress *to, const GsMemberMessage *message, void *data)
{
  GsCore *core = data;
  GsEffect *effect;

  if (core->effects == NULL)
    {
      g_free (message->updates);
      return;
    }
  effect = core_add_effect (core, GS_EFFECT_MEMBER_MESSAGE);
  effect->to = *to;
  effect->member_message = *message;
}

GsCore *
gs_core_new (const GsCoreOptions *options)
{
  GsCore *core = g_new0 (GsCore, 1);
  GsMembersOptions members = { .self = options->self,
                               .seed = gs_mix64 (options->seed + 1),
                               .message_handler = emit_member_message,
                               .data = core };

  core->options = *options;
  core->random.state = options->seed;
  core->table = gs_table_new ();
  core->config_log = gs_config_log_new (core->table);
  core->members = gs_members_new (&members);
  core->pools = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_pool_state);
  core->slices_by_key = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_pool_state);
  core->slices = g_ptr_array_new ();
  core->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->last_crashes = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  core->leaving_upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->quiet_until = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  core->pending_claims = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  core->peers_by_origin = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  core->registry = gs_registry_new ();
  core->origin = gs_mix64 (gs_hash_name (options->self.id) ^ gs_mix64 (options->self.incarnation));
  core->crashes = gs_crash_tracker_new (NULL);
  core->tickets = gs_tickets_new ();
  return core;
}

void
gs_core_free (GsCore *core)
{
  if (core == NULL)
    return;
  quota_free (core);
  g_hash_table_destroy (core->requests);
  g_hash_table_destroy (core->attempts);
  g_hash_table_destroy (core->last_crashes);
  g_hash_table_destroy (core->quiet_until);
  g_hash_table_destroy (core->pending_claims);
  g_hash_table_destroy (core->leaving_upstreams);
  g_hash_table_destroy (core->peers_by_origin);
  gs_registry_free (core->registry);
  g_ptr_array_unref (core->slices);
  g_hash_table_destroy (core->slices_by_key);
  g_hash_table_destroy (core->pools);
  gs_crash_tracker_free (core->crashes);
  gs_tickets_free (core->tickets);
  for (int i = 0; i < GS_CLAIM_PARTITIONS; i++)
    gs_claims_free (core->claims[i]);
  gs_members_free (core->members);
  gs_config_log_free (core->config_log);
  gs_table_free (core->table);
  g_free (core);
}

uint64_t
gs_core_pool_key (const char *workspace, const char *pool)
{
  return gs_hash_bytes (pool, strlen (pool), gs_hash_name (workspace));
}

GsPeerAddress
core_peer_address (const GsMemberInfo *member)
{
  return (GsPeerAddress){ .ipv4 = member->ipv4, .peer_port = member->peer_port };
}

PoolState *
core_pool_state (GsCore *core, const GsPoolRow *row)
{
  uint64_t key = gs_core_pool_key (row->document->workspace, row->name);
  PoolState *state = g_hash_table_lookup (core->pools, &key);

  if (state != NULL)
    return state;
  state = g_new0 (PoolState, 1);
  state->key = key;
  state->workspace = g_strdup (row->document->workspace);
  state->name = g_strdup (row->name);
  state->budget = gs_retry_bucket_full ();
  state->homes_epoch = UINT64_MAX;
  g_hash_table_insert (core->pools, &state->key, state);
  return state;
}

static const GsPoolRow *
find_pool_row (const GsCore *core, const PoolState *state)
{
  return gs_table_pool (core->table, state->workspace, state->name);
}

/* Applies reports that arrived before the pool was served here. */
static void
apply_leaving_reports (GsCore *core, GsPool *pool)
{
  GHashTableIter iter;
  gpointer id;
  gpointer at_us;

  g_hash_table_iter_init (&iter, core->leaving_upstreams);
  while (g_hash_table_iter_next (&iter, &id, &at_us))
    if (core->now_us - *(int64_t *)at_us > CORE_LEAVING_REPORT_TTL_US)
      g_hash_table_iter_remove (&iter);
    else
      gs_pool_mark_leaving (pool, id, core->now_us);
}

/* Returns the pool's run-time state, which is created on first use. NULL: not in the tables. */
GsPool *
core_serve_pool (GsCore *core, PoolState *state)
{
  GsPoolOptions options = { .row = find_pool_row (core, state),
                            .detector_class = core->options.detector,
                            .threshold = core->options.detector_threshold,
                            .now_us = core->now_us,
                            .cold_start = true };

  if (state->pool != NULL || options.row == NULL)
    return state->pool;
  state->pool = gs_pool_new (&options);
  state->queue = gs_fair_queue_new (CORE_QUEUE_MAX);
  apply_leaving_reports (core, state->pool);
  core_refresh_homes (core, state);
  gs_pool_set_home_count (state->pool, (uint8_t)MAX (state->n_active, 1));
  core_log_pool_changes (core, state);
  return state->pool;
}

uint32_t
gs_core_homes (const GsCore *core, const GsPoolRow *pool, uint32_t *indexes)
{
  uint64_t key = gs_core_pool_key (pool->document->workspace, pool->name);

  return gs_members_homes (core->members, key, pool->homes + GS_STANDBYS, indexes);
}

void
core_refresh_homes (GsCore *core, PoolState *state)
{
  const GsPoolRow *row = find_pool_row (core, state);
  uint64_t epoch = gs_members_epoch (core->members);

  if (state->whole != NULL)
    {
      slice_refresh_homes (core, state);
      return;
    }
  if (row == NULL
      || (state->homes_epoch == epoch && state->homes_revision == row->document->revision))
    return;
  state->homes_epoch = epoch;
  state->homes_revision = row->document->revision;
  state->n_homes = gs_core_homes (core, row, state->homes);
  state->n_active = MIN (state->n_homes, row->homes);
  state->is_home = state->n_homes == 0;
  for (uint32_t i = 0; i < state->n_active; i++)
    state->is_home = state->is_home || state->homes[i] == 0;
  if (state->pool != NULL)
    gs_pool_set_home_count (state->pool, (uint8_t)MAX (state->n_active, 1));
}

/* Sends the message EFFECT to each other home of the pool. */
void
core_send_to_homes (GsCore *core, PoolState *state, const GsEffect *effect)
{
  if (core->options.withhold_reports)
    return;
  core_refresh_homes (core, state);
  for (uint32_t i = 0; i < state->n_homes; i++)
    {
      GsEffect *copy;
      if (state->homes[i] == 0)
        continue;
      copy = core_add_effect (core, effect->kind);
      *copy = *effect;
      copy->to = core_peer_address (gs_members_get (core->members, state->homes[i]));
    }
}

void
core_log_pool_changes (GsCore *core, PoolState *state)
{
  GsPoolChange changes[GS_POOL_CHANGES_MAX];
  uint32_t count = gs_pool_take_changes (state->pool, changes, GS_POOL_CHANGES_MAX);

  for (uint32_t i = 0; i < count; i++)
    {
      GsUpstreamView view;
      gs_pool_view (state->pool, changes[i].upstream, &view);
      core_log_event (
          core, GS_LOG_EVENT_UPSTREAM_STATE_CHANGED,
          "workspace=%s pool=%s upstream=%s from=%s to=%s reason=%s score_nats=%.1f "
          "in_rotation=%u floor=%u",
          state->workspace, state->name, view.id, gs_upstream_state_name (changes[i].from),
          gs_upstream_state_name (changes[i].to), changes[i].reason, changes[i].score_nats,
          gs_pool_in_rotation (state->pool), gs_pool_floor (state->pool));
    }
}

static void
send_evidence (GsCore *core, PoolState *state)
{
  if (state->n_active < 2)
    return; /* no other daemon serves the pool */
  for (uint16_t i = 0; i < gs_pool_size (state->pool); i++)
    {
      GsEffect effect = { .kind = GS_EFFECT_EVIDENCE };
      GsUpstreamView view;
      gs_pool_view (state->pool, i, &view);
      if (view.state > GS_UPSTREAM_EJECTED
          || view.score_nats
                 < CORE_EVIDENCE_SEND_SHARE * gs_detector_cost_threshold (GS_COST_DETECTION))
        continue;
      effect.evidence.pool = state->key;
      effect.evidence.score_nats = view.score_nats;
      effect.evidence.alternative = (uint8_t)gs_pool_alternative (state->pool, i);
      g_strlcpy (effect.evidence.from, core->options.self.id, sizeof effect.evidence.from);
      g_strlcpy (effect.evidence.upstream, view.id, sizeof effect.evidence.upstream);
      core_send_to_homes (core, state, &effect);
    }
}

static void
tick_pools (GsCore *core)
{
  GHashTableIter iter;
  gpointer value;
  bool send_due = core->now_us >= core->next_evidence_us;

  if (send_due)
    core->next_evidence_us = core->now_us + CORE_EVIDENCE_PERIOD_US;
  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PoolState *state = value;
      if (state->pool == NULL)
        continue;
      gs_pool_tick (state->pool, core->now_us);
      core_log_pool_changes (core, state);
      if (send_due)
        send_evidence (core, state);
      request_serve_queue (core, state);
    }
}

bool
gs_core_ready (const GsCore *core)
{
  return gs_config_log_is_complete (core->config_log) && !core->callers_full && !core->stopping;
}

bool
gs_core_has_ready_peer (const GsCore *core)
{
  for (uint32_t i = 1; i < gs_members_count (core->members); i++)
    if (gs_members_takes_callers (core->members, i))
      return true;
  return false;
}

/* A daemon that is full or stops goes on as a home. */
static void
update_ready (GsCore *core)
{
  bool ready = gs_core_ready (core);

  if (ready != core->was_ready)
    core_log_event (core, GS_LOG_EVENT_READY_CHANGED, "ready=%s callers=%s",
                    ready ? "true" : "false", core->callers_full ? "full" : "accepted");
  core->was_ready = ready;
  gs_members_set_ready (core->members,
                        gs_config_log_is_complete (core->config_log) || core->stopping);
  gs_members_set_full (core->members, core->callers_full);
}

static void
log_member_changes (GsCore *core)
{
  uint32_t counts[4] = { 0 };

  if (core->logged_epoch == gs_members_epoch (core->members))
    return;
  core->logged_epoch = gs_members_epoch (core->members);
  for (uint32_t i = 0; i < gs_members_count (core->members); i++)
    counts[gs_members_get (core->members, i)->state & 3]++;
  core_log_event (core, GS_LOG_EVENT_MEMBER_STATE_CHANGED, "alive=%u leaving=%u suspect=%u dead=%u",
                  counts[GS_MEMBER_ALIVE], counts[GS_MEMBER_LEAVING], counts[GS_MEMBER_SUSPECT],
                  counts[GS_MEMBER_DEAD]);
}

static void
tick (GsCore *core)
{
  gs_members_set_position (core->members, gs_config_log_position (core->config_log));
  update_ready (core);
  gs_members_tick (core->members, core->now_us);
  log_member_changes (core);
  notice_tick (core);
  tick_pools (core);
  scheduling_tick (core);
  request_tick (core);
  quota_tick (core);
}

/* Passes changed table rows to the pools that are served here. */
static void
apply_tables (GsCore *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PoolState *state = value;
      const GsPoolRow *row = find_pool_row (core, state);
      if (state->pool == NULL || row == NULL || state->homes_revision == row->document->revision)
        continue;
      gs_pool_update (state->pool, row, core->now_us);
      core_refresh_homes (core, state);
      core_log_pool_changes (core, state);
      request_serve_queue (core, state);
    }
  scheduling_tables_changed (core);
  request_access_tables_changed (core);
  quota_tables_changed (core);
}

static void
handle_edit (GsCore *core, uint64_t offset, const GsEdit *edit)
{
  GsEdit copy = *edit;
  uint64_t revision;
  GsEditResult result = gs_config_log_apply_edit (core->config_log, offset, &copy, &revision);
  GsEffect *effect;

  if (result == GS_EDIT_IGNORED)
    return;
  effect = core_add_effect (core, GS_EFFECT_EDIT_RESULT);
  effect->edit_result.submission = edit->submission;
  effect->edit_result.result = result;
  effect->edit_result.revision = revision;
  core_log_event (core, GS_LOG_EVENT_EDIT_DECIDED,
                  "workspace=%s offset=%" G_GUINT64_FORMAT " result=%s revision=%" G_GUINT64_FORMAT,
                  edit->workspace, offset, gs_edit_result_name (result), revision);
  if (result == GS_EDIT_ACCEPTED)
    apply_tables (core);
}

void
core_hear_tables_position (GsCore *core, uint64_t position)
{
  if (position <= gs_config_log_position (core->config_log))
    return;
  core->tables_heard_position = MAX (core->tables_heard_position, position);
  if (core->tables_heard_us == 0)
    core->tables_heard_us = core->now_us;
}

static void
log_tables_snapshot (GsCore *core, const GsTablesSnapshotEvent *snapshot, uint32_t applied)
{
  size_t bytes = 0;

  for (uint32_t i = 0; i < snapshot->n_entries; i++)
    bytes += strlen (snapshot->entries[i].text);
  core_log_event (
      core, GS_LOG_EVENT_TABLES_SNAPSHOT_LOADED,
      "from=%" G_GUINT64_FORMAT " position=%" G_GUINT64_FORMAT
      " workspaces=%u bytes=%zu source=%s heard_ms=%" G_GINT64_FORMAT,
      snapshot->from, snapshot->position, applied, bytes, snapshot->read_here ? "store" : "peer",
      core->tables_heard_us != 0 ? (core->now_us - core->tables_heard_us) / GS_US_PER_MS : -1);
}

static void
log_refused_entries (GsCore *core, const GsTablesSnapshotEvent *snapshot)
{
  uint32_t refused = 0;

  for (uint32_t i = 0; i < snapshot->n_entries; i++)
    refused += snapshot->documents[i] == NULL ? 1 : 0;
  if (refused > 0)
    core_log_event (core, GS_LOG_EVENT_TABLES_SNAPSHOT_REFUSED,
                    "position=%" G_GUINT64_FORMAT " workspaces=%u in_force=%" G_GUINT64_FORMAT
                    " reason=\"%.160s\"",
                    snapshot->position, refused, gs_config_log_position (core->config_log),
                    snapshot->refusal != NULL ? snapshot->refusal : "unknown");
}

/* RETURN VALUE: number of workspaces whose tables changed. */
static uint32_t
apply_snapshot_entries (GsCore *core, const GsTablesSnapshotEvent *snapshot)
{
  uint32_t applied = 0;

  for (uint32_t i = 0; i < snapshot->n_entries; i++)
    if (snapshot->documents[i] == NULL)
      gs_config_log_refuse_snapshot_entry (core->config_log, snapshot->position);
    else if (gs_config_log_apply_snapshot_entry (core->config_log, &snapshot->entries[i],
                                                 snapshot->documents[i]))
      applied++;
  return applied;
}

static void
handle_tables_snapshot (GsCore *core, const GsTablesSnapshotEvent *snapshot)
{
  uint32_t applied;

  if (!gs_config_log_accepts_snapshot (core->config_log, snapshot->from, snapshot->position))
    {
      for (uint32_t i = 0; i < snapshot->n_entries; i++)
        gs_document_free (snapshot->documents[i]);
      return;
    }
  log_refused_entries (core, snapshot);
  applied = apply_snapshot_entries (core, snapshot);
  if (!snapshot->last)
    return;
  if (gs_config_log_end_snapshot (core->config_log, snapshot->position))
    {
      log_tables_snapshot (core, snapshot, applied);
      core->tables_heard_us = 0;
      gs_members_set_position (core->members, gs_config_log_position (core->config_log));
      if (snapshot->read_here)
        gs_members_announce_position (core->members);
    }
  else
    core_hear_tables_position (core, snapshot->position); /* it is pulled or read again */
  apply_tables (core);
}

static void
handle_evidence (GsCore *core, const GsEvidence *evidence)
{
  PoolState *state = g_hash_table_lookup (core->pools, &evidence->pool);

  if (state == NULL || state->pool == NULL)
    return;
  for (uint32_t i = 0; i < state->n_homes; i++)
    if (strcmp (gs_members_get (core->members, state->homes[i])->id, evidence->from) == 0)
      gs_pool_add_peer_evidence (state->pool, (uint16_t)i, evidence->upstream,
                                 evidence->alternative, evidence->score_nats, core->now_us);
  core_log_pool_changes (core, state);
}

typedef struct
{
  GsCore *core;
  const GsUpstreamReport *report;
} ReportBroadcast;

static bool
has_upstream (const GsPoolRow *pool, const char *id)
{
  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    if (strcmp (pool->upstreams[i].id, id) == 0)
      return true;
  return false;
}

static void
send_report_for_document (const GsDocument *document, void *data)
{
  ReportBroadcast *broadcast = data;
  GsEffect effect = { .kind = GS_EFFECT_UPSTREAM_REPORT, .upstream_report = *broadcast->report };

  effect.upstream_report.notify_peers = false;
  for (uint32_t i = 0; i < document->n_pools; i++)
    if (has_upstream (&document->pools[i], broadcast->report->upstream))
      core_send_to_homes (broadcast->core, core_pool_state (broadcast->core, &document->pools[i]),
                          &effect);
}

static void
update_leaving_upstreams (GsCore *core, const GsUpstreamReport *report)
{
  const int64_t *at_us = g_hash_table_lookup (core->leaving_upstreams, report->upstream);

  if (report->leaving)
    g_hash_table_replace (core->leaving_upstreams, g_strdup (report->upstream),
                          g_memdup2 (&core->now_us, sizeof core->now_us));
  else if (at_us != NULL && core->now_us - *at_us > GS_PLATFORM_LIST_LAG_US)
    g_hash_table_remove (core->leaving_upstreams, report->upstream);
}

static void
handle_upstream_report (GsCore *core, const GsUpstreamReport *report)
{
  GHashTableIter iter;
  gpointer value;

  if (notice_leaving (core, report))
    return;
  update_leaving_upstreams (core, report);
  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PoolState *state = value;
      if (state->pool == NULL)
        continue;
      if (!report->leaving)
        gs_pool_mark_listed_live (state->pool, report->upstream, core->now_us);
      else
        gs_pool_mark_leaving (state->pool, report->upstream, core->now_us);
      core_log_pool_changes (core, state);
    }
  if (report->notify_peers)
    gs_table_foreach (core->table, send_report_for_document,
                      &(ReportBroadcast){ .core = core, .report = report });
}

static void
list_homes (GsCore *core, PoolState *state, GsAddressLookupEffect *answer)
{
  for (uint32_t i = 0; i < state->n_homes && answer->n_members < GS_ADDRESS_LOOKUP_MAX; i++)
    {
      uint32_t index = state->homes[i];
      const GsMemberInfo *home = gs_members_get (core->members, index);
      if (home->full != 0 || (index != 0 && !gs_members_reachable (core->members, index)))
        continue;
      answer->members[answer->n_members++] = *home;
    }
  if (answer->n_members == 0 && !core->stopping && !core->callers_full)
    answer->members[answer->n_members++] = *gs_members_get (core->members, 0);
}

static void
list_ready_members (GsCore *core, const char *failure_domain, GsAddressLookupEffect *answer)
{
  uint32_t count = gs_members_count (core->members);
  uint32_t start = (uint32_t)(gs_random_next (&core->random) % count);

  for (uint32_t i = 0; i < count && answer->n_members < GS_ADDRESS_LOOKUP_MAX; i++)
    {
      uint32_t index = (start + i) % count;
      const GsMemberInfo *member = gs_members_get (core->members, index);
      bool local = strcmp (member->failure_domain, failure_domain) == 0;
      if (gs_members_takes_callers (core->members, index) && local == !answer->other_domains)
        answer->members[answer->n_members++] = *member;
    }
}

/* Lists ready daemons of the caller's failure domain, and of others if it has too few. */
static void
list_local_members (GsCore *core, const char *failure_domain, GsAddressLookupEffect *answer)
{
  list_ready_members (core, failure_domain, answer);
  if (answer->n_members >= GS_ADDRESS_LOOKUP_LOCAL_MIN)
    return;
  answer->other_domains = true;
  list_ready_members (core, failure_domain, answer);
}

/* Lists daemons for a lookup that matches no route: one of each failure domain, then others. */
static void
list_any_members (GsCore *core, GsAddressLookupEffect *answer)
{
  uint32_t indexes[GS_ADDRESS_LOOKUP_MAX];
  uint32_t count = gs_members_homes_any_cpu (core->members, gs_random_next (&core->random),
                                             GS_ADDRESS_LOOKUP_MAX, indexes);

  for (uint32_t i = 0; i < count; i++)
    if (gs_members_takes_callers (core->members, indexes[i]))
      answer->members[answer->n_members++] = *gs_members_get (core->members, indexes[i]);
}

static void
log_address_lookup (GsCore *core,
                    const GsAddressLookupEffect *answer,
                    const char *host,
                    const char *path)
{
  core_log_event (core, GS_LOG_EVENT_ADDRESSES_RESOLVED,
                  "host=%.60s path=%.60s named=%u first=%s ticket=%s ask_home=%s",
                  host != NULL ? host : "-", path != NULL ? path : "-", answer->n_members,
                  answer->n_members > 0 ? answer->members[0].id : "-",
                  answer->ticket != 0 ? "yes" : "no", answer->query_home ? "yes" : "no");
}

static void
handle_address_lookup (GsCore *core, const GsAddressLookupEvent *event)
{
  const GsRoute *route
      = event->host != NULL ? gs_table_match (core->table, event->host, event->path) : NULL;
  const GsPoolRow *row
      = route != NULL ? gs_table_pool (core->table, route->document->workspace, route->pool) : NULL;
  GsAddressLookupEffect answer
      = { .request = event->request, .ttl_us = gs_core_address_lookup_ttl_us (core) };

  answer.unavailable = !gs_config_log_is_complete (core->config_log);
  if (event->failure_domain != NULL)
    {
      list_local_members (core, event->failure_domain, &answer);
      answer.unavailable = answer.unavailable || answer.n_members == 0;
    }
  else if (row != NULL)
    {
      PoolState *state = core_pool_state (core, row);
      core_refresh_homes (core, state);
      list_homes (core, state, &answer);
      if (answer.n_members == 0)
        list_any_members (core, &answer);
      answer.repeat = route->repeat;
      answer.query_home = route->repeat == GS_REPEAT_NEVER && !state->is_home && !event->answer_here
                          && answer.n_members > 0
                          && strcmp (answer.members[0].id, core->options.self.id) != 0;
      if (route->repeat == GS_REPEAT_NEVER && !answer.query_home && !core->stopping)
        answer.ticket = gs_tickets_issue (core->tickets, core->now_us);
    }
  else
    list_any_members (core, &answer);
  core_add_effect (core, GS_EFFECT_ADDRESS_LOOKUP_ANSWER)->address_lookup = answer;
  log_address_lookup (core, &answer, event->host, event->path);
}

static void
handle_crash_update (GsCore *core, const GsCrashUpdate *update)
{
  if (update->crash == 0)
    gs_crash_tracker_clear_suspect (core->crashes, update->fingerprint);
  else
    gs_crash_tracker_add_suspect (core->crashes, update->fingerprint, update->crash, core->now_us);
}

static void
handle_log_position (GsCore *core, uint64_t position, bool from_start)
{
  if (from_start)
    gs_config_log_set_complete (core->config_log, position);
  else
    gs_config_log_advance (core->config_log, position);
}

static void
stop (GsCore *core, int64_t stop_by_us)
{
  if (!core->stopping)
    {
      core->stopping = true;
      core->stop_by_us = stop_by_us;
      update_ready (core);
      gs_members_leave (core->members);
      gs_members_tick (core->members, core->now_us);
    }
  core->stop_by_us = MIN (core->stop_by_us, stop_by_us);
  request_stop (core);
}

/* Handles events of requests and attempts. RETURN VALUE: false if EVENT is of another kind. */
static bool
reduce_request (GsCore *core, const GsEvent *event)
{
  switch (event->kind)
    {
    case GS_EVENT_REQUEST:
      request_arrive (core, &event->request);
      return true;
    case GS_EVENT_ANSWER_STARTED:
      request_answer_started (core, event->answer_started);
      return true;
    case GS_EVENT_ATTEMPT_LATE:
      scheduling_attempt_late (core, event->attempt_late);
      return true;
    case GS_EVENT_ATTEMPT_END:
      request_attempt_end (core, &event->attempt_end);
      return true;
    case GS_EVENT_CALLER_DISCONNECTED:
      request_caller_disconnected (core, event->caller_disconnected);
      return true;
    case GS_EVENT_ADDRESS_LOOKUP:
      handle_address_lookup (core, &event->address_lookup);
      return true;
    default:
      return false;
    }
}

/* Handles events of slots, retries and registrations. RETURN VALUE: as above. */
static bool
reduce_scheduling (GsCore *core, const GsEvent *event)
{
  switch (event->kind)
    {
    case GS_EVENT_REGISTRY_UPDATE:
      registry_link_receive (core, &event->registry_update.update, &event->registry_update.from);
      return true;
    case GS_EVENT_SLOT_REQUEST:
      scheduling_receive_slot_request (core, event->slot_request.pool, &event->slot_request.request,
                                       &event->slot_request.from);
      return true;
    case GS_EVENT_SLOT_REPLY:
      scheduling_receive_slot_reply (core, &event->slot_reply.reply, &event->slot_reply.from);
      return true;
    case GS_EVENT_SLOT_RESULT:
      scheduling_receive_slot_result (core, event->slot_result.pool, &event->slot_result.result);
      return true;
    case GS_EVENT_SLICE_SUMMARY:
      slice_receive_summary (core, &event->slice_summary);
      return true;
    case GS_EVENT_RETRY_ACCOUNT:
      scheduling_receive_retry_account (core, event->retry_account.pool,
                                        event->retry_account.origin, &event->retry_account.account);
      return true;
    default:
      return false;
    }
}

/* Handles events of tables and claims. RETURN VALUE: as above. */
static bool
reduce_log (GsCore *core, const GsEvent *event)
{
  switch (event->kind)
    {
    case GS_EVENT_EDIT:
      handle_edit (core, event->edit.offset, &event->edit.edit);
      return true;
    case GS_EVENT_LOG_POSITION:
      handle_log_position (core, event->position.log_position, event->position.from_start);
      return true;
    case GS_EVENT_TABLES_SNAPSHOT:
      handle_tables_snapshot (core, &event->tables_snapshot);
      return true;
    case GS_EVENT_CLAIM_RECORD:
      permit_apply_record (core, event->claim_record.partition, &event->claim_record.record,
                           event->claim_record.log_ms);
      return true;
    case GS_EVENT_CLAIMS_READ:
      permit_set_coverage (core, event->claims_read.partition, event->claims_read.era,
                           event->claims_read.from_ms, event->claims_read.log_now_ms,
                           event->claims_read.retention_ms);
      if (event->claims_read.caught_up)
        permit_partition_caught_up (core, event->claims_read.partition);
      return true;
    case GS_EVENT_CLAIM_APPEND_FAILED:
      permit_append_failed (core, event->claim_append_failed.claim,
                            event->claim_append_failed.certain);
      return true;
    default:
      return false;
    }
}

/* Handles ticks, events of members and reports about upstreams. */
static void
reduce_other (GsCore *core, const GsEvent *event)
{
  switch (event->kind)
    {
    case GS_EVENT_TICK:
      tick (core);
      break;
    case GS_EVENT_MEMBER_MESSAGE:
      core_hear_tables_position (core, event->member_message->position);
      gs_members_receive (core->members, event->member_message, core->now_us);
      break;
    case GS_EVENT_JOIN:
      gs_members_join (core->members, &event->join);
      break;
    case GS_EVENT_SEEDS:
      gs_members_set_seeds (core->members, event->seeds.addresses, event->seeds.n);
      break;
    case GS_EVENT_EVIDENCE:
      handle_evidence (core, &event->evidence);
      break;
    case GS_EVENT_CRASH_UPDATE:
      handle_crash_update (core, &event->crash_update);
      break;
    case GS_EVENT_UPSTREAM_REPORT:
      handle_upstream_report (core, &event->upstream_report);
      break;
    case GS_EVENT_CALLERS_FULL:
      core->callers_full = event->callers_full;
      update_ready (core);
      break;
    case GS_EVENT_QUOTA_REPORT:
      quota_receive_report (core, &event->quota_report.report, &event->quota_report.from);
      break;
    case GS_EVENT_QUOTA_REPLY:
      quota_receive_reply (core, &event->quota_reply);
      break;
    case GS_EVENT_STOP:
      stop (core, event->stop_by_us);
      break;
    default:
      break;
    }
}

void
gs_core_reduce (GsCore *core, const GsEvent *event, GsEffects *effects)
{
  core->effects = effects;
  core->now_us = MAX (core->now_us, event->now_us);
  if (core->started_us == 0)
    core->started_us = core->now_us;
  if (!reduce_request (core, event) && !reduce_scheduling (core, event)
      && !reduce_log (core, event))
    reduce_other (core, event);
  quota_after_event (core);
  core->effects = NULL;
}

uint32_t
gs_core_in_flight (const GsCore *core)
{
  return g_hash_table_size (core->requests);
}

const GsTable *
gs_core_table (const GsCore *core)
{
  return core->table;
}

const GsConfigLog *
gs_core_config_log (const GsCore *core)
{
  return core->config_log;
}

const GsMembers *
gs_core_members (const GsCore *core)
{
  return core->members;
}

const GsPool *
gs_core_pool (const GsCore *core, const char *workspace, const char *pool)
{
  uint64_t key = gs_core_pool_key (workspace, pool);
  PoolState *state = g_hash_table_lookup (core->pools, &key);

  return state != NULL ? state->pool : NULL;
}

const GsScheduler *
gs_core_scheduler (const GsCore *core, const char *workspace, const char *pool)
{
  uint64_t key = gs_core_pool_key (workspace, pool);
  PoolState *state = g_hash_table_lookup (core->pools, &key);

  return state != NULL ? state->scheduler : NULL;
}

const GsScheduler *
gs_core_slice_scheduler (const GsCore *core,
                         const char *workspace,
                         const char *pool,
                         const char *failure_domain)
{
  uint64_t key = gs_slices_key (gs_core_pool_key (workspace, pool), gs_hash_name (failure_domain));
  PoolState *state = g_hash_table_lookup (core->slices_by_key, &key);

  return state != NULL ? state->scheduler : NULL;
}

const GsRegistry *
gs_core_registry (const GsCore *core)
{
  return core->registry;
}

GsReaderState
gs_core_reader_state (const GsCore *core)
{
  return (GsReaderState){ .rank
                          = gs_members_domain_rank (core->members, registry_link_readers_key ()),
                          .n_ranks = gs_members_domain_size (core->members),
                          .heard_us = core->reader_heard_us,
                          .preceding_us = core->reader_preceding_us,
                          .available_us = core->reader_available_us,
                          .behind_us = core->tables_heard_us };
}

uint64_t
gs_core_tables_heard_position (const GsCore *core)
{
  return core->tables_heard_position;
}

int64_t
gs_core_address_lookup_ttl_us (const GsCore *core)
{
  return core->options.address_lookup_ttl_us != 0 ? core->options.address_lookup_ttl_us
                                                  : GS_ADDRESS_LOOKUP_TTL_US;
}

GsCallerLimits
gs_core_caller_limits (const GsCore *core, const char *workspace)
{
  const GsDocument *document = gs_table_document (core->table, workspace);

  return document != NULL ? document->limits : (GsCallerLimits){ 0 };
}
