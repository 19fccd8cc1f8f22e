#include "core_private.h"

#include "../cost/work_class.h"

#include <string.h>

enum
{
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
  STATUS_UNPROCESSABLE = 422,
  STATUS_BAD_GATEWAY = 502,
  STATUS_UNAVAILABLE = 503,
  STATUS_GATEWAY_TIMEOUT = 504,
};

enum
{
  UNROUTED_RETRY_AFTER_MS = 300, /* a starting daemon has the tables within a second */
};

/** Connections lost at one upstream within this time count as one crash. */
#define CRASH_WINDOW_US (200 * GS_US_PER_MS)
/** Extra timeout of a forwarded attempt over an attempt at an upstream. */
#define FORWARD_MARGIN_US (500 * GS_US_PER_MS)
/** A second crash of an upstream within this time counts against the upstream. */
#define CRASH_BLAME_WINDOW_US (60 * GS_US_PER_S)

Request *
request_find (GsCore *core, uint64_t id)
{
  return g_hash_table_lookup (core->requests, &id);
}

void
request_remove (GsCore *core, Request *request)
{
  quota_request_removed (core, request);
  if (request->slot_request_pending)
    core->n_slot_requests--;
  if (request->phase == REQUEST_QUEUED)
    request_queue_remove (request);
  request_queue_count_end (core, request, false);
  g_hash_table_remove (core->requests, &request->id);
}

/* Whether REQUEST is refused only for lack of time until the end of a planned stop. */
static bool
is_refused_by_stop (const Request *request, const char *reason)
{
  static const char *const reasons[]
      = { "no-slot-in-time", "deadline-out-of-reach", "deadline-passed-in-queue" };

  for (size_t i = 0; request->shortened && i < G_N_ELEMENTS (reasons); i++)
    if (strcmp (reason, reasons[i]) == 0)
      return true;
  return false;
}

void
request_reject (GsCore *core,
                Request *request,
                GsVerdict verdict,
                uint16_t status,
                const char *reason)
{
  GsEffect *effect = core_add_effect (core, GS_EFFECT_REJECT);

  if (is_refused_by_stop (request, reason))
    request->retry_after_ms = GS_STOPPING_RETRY_AFTER_MS;
  effect->reject = (GsRejectEffect){
    .request = request->id,
    .verdict = verdict,
    .status = status,
    .reason = reason,
    .retry_after_ms = verdict == GS_VERDICT_NOT_RUN ? request->retry_after_ms : 0,
  };
  core_log_event (core, GS_LOG_EVENT_REJECTED,
                  "request=%" G_GUINT64_FORMAT
                  " id=%s pool=%s verdict=%s status=%u reason=%s attempts=%u retry_after_ms=%u "
                  "age_us=%" G_GINT64_FORMAT,
                  request->id, request->label, request->pool->name, gs_verdict_name (verdict),
                  status, reason, request->n_attempts, request->retry_after_ms,
                  core->now_us - request->arrived_us);
  request_remove (core, request);
}

void
request_send_cached_answer (GsCore *core, Request *request)
{
  core_add_effect (core, GS_EFFECT_CACHED_ANSWER)->answer
      = (GsAnswerEffect){ .request = request->id, .workspace = request->workspace };
  request_remove (core, request);
}

/* RETURN VALUE: the most severe verdict of all attempts. One that has not ended may have run: a
 * late attempt may end after the one that replaced it. */
GsVerdict
request_verdict (const Request *request)
{
  return request->n_unended > 0 ? MAX (request->worst_verdict, GS_VERDICT_MAY_HAVE_RUN)
                                : request->worst_verdict;
}

/* Rejects a request that waits for no attempt, with the most severe verdict so far. If it did not
 * run, its permit is released first. */
void
request_fail (GsCore *core, Request *request, uint16_t status, const char *reason)
{
  GsVerdict verdict = request_verdict (request);

  if (verdict == GS_VERDICT_NOT_RUN && permit_release (core, request, reason))
    return;
  request_reject (core, request, verdict, status, reason);
}

bool
request_was_tried (const Request *request, uint64_t key)
{
  for (uint8_t i = 0; i < request->n_tried; i++)
    if (request->tried[i] == key)
      return true;
  return false;
}

Attempt *
request_start_attempt (GsCore *core, Request *request, uint64_t target_key, const char *target)
{
  Attempt *attempt = g_new0 (Attempt, 1);

  attempt->id = ++core->next_attempt;
  attempt->request = request->id;
  attempt->pool = request->pool;
  attempt->upstream = target_key;
  attempt->fingerprint = request->fingerprint;
  attempt->started_us = core->now_us;
  g_strlcpy (attempt->target, target, sizeof attempt->target);
  g_hash_table_insert (core->attempts, &attempt->id, attempt);
  request->phase = REQUEST_RUNNING;
  request->attempt = attempt->id;
  request->n_attempts++;
  request->n_unended++;
  if (request->n_tried < G_N_ELEMENTS (request->tried))
    request->tried[request->n_tried++] = target_key;
  return attempt;
}

GsAttemptEffect *
request_emit_attempt (GsCore *core, const Request *request, const Attempt *attempt)
{
  GsAttemptEffect *effect = &core_add_effect (core, GS_EFFECT_ATTEMPT)->attempt;
  int64_t left_us = request->deadline_us - core->now_us;

  *effect = (GsAttemptEffect){ .request = request->id,
                               .attempt = attempt->id,
                               .forward = attempt->forward,
                               .cache_answer
                               = request->permit.kind != GS_PERMIT_NONE && !attempt->with_permit,
                               .deadline_us = request->deadline_us,
                               .timeout_us = MIN (request->attempt_timeout_us, left_us) };
  g_strlcpy (effect->target, attempt->target, sizeof effect->target);
  g_strlcpy (effect->workspace, request->workspace_name, sizeof effect->workspace);
  effect->has_key = attempt->forward && request->workspace != 0 && request->credential.has_key;
  effect->key = request->credential.key;
  return effect;
}

/* A request that is safe to retry gets a shorter timeout, so that it does not spend all its time
 * on a daemon that hangs. */
static int64_t
forward_timeout_us (const GsCore *core, const Request *request)
{
  int64_t left_us = request->deadline_us - core->now_us;

  if (request->repeat != GS_REPEAT_SAFE || request->permit.kind != GS_PERMIT_NONE)
    return left_us;
  return MIN (left_us, request->attempt_timeout_us + FORWARD_MARGIN_US);
}

void
request_forward_to (GsCore *core, Request *request, const GsMemberInfo *member, bool with_permit)
{
  Attempt *attempt = request_start_attempt (core, request, gs_hash_name (member->id), member->id);
  GsAttemptEffect *effect;

  attempt->forward = true;
  attempt->with_permit = with_permit;
  effect = request_emit_attempt (core, request, attempt);
  effect->ipv4 = member->ipv4;
  effect->port = member->entry_port;
  effect->with_permit = with_permit;
  effect->timeout_us = forward_timeout_us (core, request);
  core_log_event (core, GS_LOG_EVENT_FORWARDED,
                  "request=%" G_GUINT64_FORMAT " pool=%s to=%s reason=%s", request->id,
                  request->pool->name, member->id, with_permit ? "holder-of-right" : "home");
}

static const GsMemberInfo *
usable_home (GsCore *core, const Request *request, uint32_t index)
{
  const GsMemberInfo *member = gs_members_get (core->members, index);

  if (index == 0 || !gs_members_reachable (core->members, index)
      || request_was_tried (request, gs_hash_name (member->id)))
    return NULL;
  return member;
}

/* Returns a reachable home that was not tried, the active ones first. Request ids rotate over the
 * active homes to spread the load. NULL: this daemon serves the request itself. */
static const GsMemberInfo *
pick_home (GsCore *core, const Request *request)
{
  const PoolState *state = request->pool;
  const GsMemberInfo *home = NULL;

  for (uint32_t i = 0; home == NULL && i < state->n_active; i++)
    home = usable_home (core, request, state->homes[(request->id + i) % state->n_active]);
  for (uint32_t i = state->n_active; home == NULL && i < state->n_homes; i++)
    {
      if (state->homes[i] == 0)
        return NULL; /* this daemon is the next standby */
      home = usable_home (core, request, state->homes[i]);
    }
  return home;
}

/* Starts an attempt at an upstream. RETURN VALUE: false if the pool's concurrency limit is reached
 * or no upstream has a free slot. */
static bool
start_upstream_attempt (GsCore *core, Request *request)
{
  GsPool *pool = core_serve_pool (core, request->pool);
  GsPoolSelectOptions choice
      = { .now_us = core->now_us, .random = &core->random, .repeat = request->repeat };
  GsUpstreamView view;
  Attempt *attempt;
  GsAttemptEffect *effect;
  int index;

  if (gs_pool_outstanding (pool) >= gs_pool_concurrency_limit (pool))
    return false;
  for (uint8_t i = 0; i < request->n_tried && choice.n_tried < GS_POOL_TRIED_MAX; i++)
    {
      int tried = gs_pool_find_key (pool, request->tried[i]);
      if (tried >= 0)
        choice.tried[choice.n_tried++] = (uint16_t)tried;
    }
  index = gs_pool_select (pool, &choice);
  if (index < 0)
    return false;
  gs_pool_view (pool, (uint16_t)index, &view);
  gs_pool_begin_attempt (pool, (uint16_t)index);
  attempt = request_start_attempt (core, request, gs_pool_upstream_key (pool, (uint16_t)index),
                                   view.id);
  quota_request_started (core, request);
  effect = request_emit_attempt (core, request, attempt);
  effect->ipv4 = view.ipv4;
  effect->port = view.port;
  core_log_event (core, GS_LOG_EVENT_ROUTED,
                  "request=%" G_GUINT64_FORMAT " pool=%s chose=%s state=%s outstanding=%u "
                  "latency_us=%" G_GINT64_FORMAT " attempt=%u reason=least-expected-wait",
                  request->id, request->pool->name, view.id, gs_upstream_state_name (view.state),
                  view.outstanding, view.latency_us, request->n_attempts);
  request_queue_count_end (core, request, true);
  return true;
}

static int64_t
expected_wait_us (const GsCore *core, const Request *request)
{
  const PoolState *state = request->pool;
  uint32_t limit = gs_pool_concurrency_limit (state->pool);
  uint32_t ahead = request_queue_ahead (core, request) + 1;

  return (int64_t)ahead * gs_pool_latency_us (state->pool) / MAX (limit, 1);
}

/* Rejects the request if all upstreams in rotation want no requests until its deadline. */
static bool
refuse_if_all_quiet (GsCore *core, Request *request)
{
  const GsPool *pool = request->pool->pool;
  int64_t quiet_us = gs_pool_quiet_left_us (pool, core->now_us);

  if (quiet_us == 0 || core->now_us + quiet_us + gs_pool_latency_us (pool) <= request->deadline_us)
    return false;
  core_add_effect (core, GS_EFFECT_REQUEST_HELD_BACK)->held_back = request->id;
  request->retry_after_ms = notice_retry_after_ms (core, quiet_us);
  request_fail (core, request, STATUS_UNAVAILABLE, "upstreams-quiet");
  return true;
}

static void
enqueue (GsCore *core, Request *request)
{
  PoolState *state = request->pool;
  int64_t wait_us = expected_wait_us (core, request);
  Request *evicted;

  if (refuse_if_all_quiet (core, request))
    return;
  if (gs_pool_in_rotation (state->pool) <= request->n_tried)
    {
      request_fail (core, request, STATUS_UNAVAILABLE, "no-other-upstream");
      return;
    }
  if (core->now_us + wait_us + gs_pool_latency_us (state->pool) > request->deadline_us)
    {
      request_fail (core, request, STATUS_UNAVAILABLE, "deadline-out-of-reach");
      return;
    }
  request->phase = REQUEST_QUEUED;
  core_log_event (core, GS_LOG_EVENT_QUEUED,
                  "request=%" G_GUINT64_FORMAT " pool=%s length=%u wait_us=%" G_GINT64_FORMAT,
                  request->id, state->name, gs_fair_queue_length (state->queue), wait_us);
  evicted = request_queue_push (core, request);
  if (evicted != NULL)
    {
      evicted->phase = REQUEST_NEW;
      request_fail (core, evicted, STATUS_UNAVAILABLE, "queue-full");
    }
}

/* Serves or forwards a request. If it carries a permit, this daemon has already redeemed it. */
void
request_dispatch (GsCore *core, Request *request)
{
  PoolState *state = request->pool;
  GsAccessVerdict access = request_renew_access (core, request);
  const GsMemberInfo *home;

  if (access != GS_ACCESS_GRANTED)
    {
      request_end_access (core, request, access);
      return;
    }
  if (request->scheduled)
    {
      scheduling_request_slot (core, request);
      return;
    }
  core_refresh_homes (core, state);
  home = state->is_home || request->forwarded ? NULL : pick_home (core, request);
  if (home != NULL)
    {
      request_forward_to (core, request, home, false);
      return;
    }
  core_serve_pool (core, state);
  if (!quota_admit_request (core, request))
    return;
  request_queue_count (core, request);
  if (gs_fair_queue_length (state->queue) > 0 || !start_upstream_attempt (core, request))
    enqueue (core, request);
  request_serve_queue (core, state);
}

void
request_serve_queue (GsCore *core, PoolState *state)
{
  GsFairEntry waiting;

  if (state->pool == NULL)
    return;
  while (gs_pool_outstanding (state->pool) < gs_pool_concurrency_limit (state->pool)
         && request_queue_pop (state, &waiting))
    {
      Request *request = request_find (core, waiting.id);
      request->phase = REQUEST_NEW;
      if (request->deadline_us <= core->now_us)
        request_fail (core, request, STATUS_UNAVAILABLE, "deadline-passed-in-queue");
      else if (!refuse_if_all_quiet (core, request) && !start_upstream_attempt (core, request))
        {
          request->phase = REQUEST_QUEUED;
          gs_fair_queue_put_back (state->queue, &waiting);
          return;
        }
    }
}

/*
 * Time until an answer misses the route's latency target. A caller that retries sends a shorter
 * timeout than the route's; the difference is the time since its first try and counts as spent.
 */
static int64_t
target_left_us (const GsRoute *route, uint32_t caller_timeout_ms)
{
  int64_t left_ms
      = caller_timeout_ms != 0 ? MIN (caller_timeout_ms, route->timeout_ms) : route->timeout_ms;
  int64_t passed_ms = route->timeout_ms - left_ms;

  if (route->target_ms == 0 || route->target_ms > route->timeout_ms)
    return left_ms * GS_US_PER_MS;
  return MAX (route->target_ms - passed_ms, 0) * GS_US_PER_MS;
}

/* During a planned stop, no request may last beyond its end. RETURN VALUE: whether that moved the
 * deadline of REQUEST. */
static bool
shorten_deadline (const GsCore *core, Request *request)
{
  if (!core->stopping || request->deadline_us <= core->stop_by_us)
    return false;
  request->deadline_us = core->stop_by_us;
  request->target_us = MIN (request->target_us, core->stop_by_us);
  request->shortened = true;
  return true;
}

static void
identify_workspace (Request *request,
                    const GsRequestEvent *event,
                    const GsRoute *route,
                    const GsWorkspaceRow *row)
{
  request->credential = request_credential (event, route);
  request->workspace = request->credential.vouched_workspace;
  if (event->forwarded && event->workspace != NULL)
    g_strlcpy (request->workspace_name, event->workspace, sizeof request->workspace_name);
  request_set_workspace (request, row);
}

static Request *
add_request (GsCore *core, const GsRequestEvent *event, const GsRoute *route, const GsPoolRow *row)
{
  Request *request = g_new0 (Request, 1);
  uint32_t timeout_ms = route->timeout_ms;

  if (event->timeout_ms != 0)
    timeout_ms = MIN (timeout_ms, event->timeout_ms);
  request->id = event->request;
  request->fingerprint = event->fingerprint;
  request->flow = gs_hash_bytes (route->name, strlen (route->name),
                                 gs_hash_name (route->document->workspace));
  request->work_class = gs_work_class (event->method, event->path, route->prefix);
  request->body_bytes = event->body_bytes;
  request->pool = core_pool_state (core, row);
  request->repeat = route->repeat;
  request->weight = route->weight;
  request->attempt_timeout_us = (int64_t)route->attempt_timeout_ms * GS_US_PER_MS;
  request->arrived_us = core->now_us;
  request->deadline_us = core->now_us + (int64_t)timeout_ms * GS_US_PER_MS;
  request->forwarded = event->forwarded;
  request->scheduled = row->registered;
  request->priority = route->priority;
  request->max_executions = route->max_attempts != 0 ? route->max_attempts : CORE_ATTEMPTS_MAX;
  request->target_us = core->now_us + target_left_us (route, event->timeout_ms);
  shorten_deadline (core, request);
  g_strlcpy (request->label, event->label != NULL ? event->label : "-", sizeof request->label);
  if (route->repeat == GS_REPEAT_NEVER)
    request->permit = event->permit; /* on other routes only the upstream uses the key */
  request->permit.key = NULL;
  g_hash_table_insert (core->requests, &request->id, request);
  gs_retry_bucket_earn (&request->pool->budget);
  return request;
}

/* Returns the request's pool: the route's or, if its traffic is split, that of a part drawn at
 * random by weight. */
static const GsPoolRow *
pick_pool (GsCore *core, const GsRoute *route)
{
  const char *pool = route->pool;
  uint64_t total = 0;
  uint64_t point;

  for (uint16_t i = 0; i < route->n_parts; i++)
    total += route->parts[i].weight;
  if (total > 0)
    {
      uint16_t part = 0;
      point = gs_random_next (&core->random) % total;
      while (point >= route->parts[part].weight)
        point -= route->parts[part++].weight;
      pool = route->parts[part].pool;
    }
  return gs_table_pool (core->table, route->document->workspace, pool);
}

static void
reject_without_route (GsCore *core,
                      const GsRequestEvent *event,
                      uint16_t status,
                      const char *reason)
{
  GsEffect *effect = core_add_effect (core, GS_EFFECT_REJECT);

  effect->reject = (GsRejectEffect){
    .request = event->request,
    .verdict = GS_VERDICT_NOT_RUN,
    .status = status,
    .reason = reason,
    .retry_after_ms = status == STATUS_UNAVAILABLE ? UNROUTED_RETRY_AFTER_MS : 0,
  };
  core_log_event (core, GS_LOG_EVENT_REJECTED,
                  "request=%" G_GUINT64_FORMAT
                  " id=%s pool=- host=%.60s path=%.60s tables=%" G_GUINT64_FORMAT
                  " verdict=not-run status=%u reason=%s attempts=0",
                  event->request, event->label != NULL ? event->label : "-", event->host,
                  event->path, gs_config_log_position (core->config_log), status, reason);
}

/* Idempotency keys of two workspaces are different keys. */
static bool
parse_idempotency_key (const GsRequestEvent *event, const GsRoute *route, Request *request)
{
  const char *tables = route->document->workspace;
  g_autofree char *scope = request->workspace != 0
                               ? g_strdup_printf ("%s %s", tables, request->workspace_name)
                               : g_strdup (tables);

  return gs_idempotency_key_parse (scope, event->permit.key, &request->key);
}

void
request_arrive (GsCore *core, const GsRequestEvent *event)
{
  const GsRoute *route = gs_table_match (core->table, event->host, event->path);
  const GsPoolRow *row;
  GsAccess access;
  Request *request;

  if (!gs_config_log_is_complete (core->config_log))
    {
      reject_without_route (core, event, STATUS_UNAVAILABLE, "no-tables");
      return;
    }
  if (route == NULL)
    {
      reject_without_route (core, event, STATUS_NOT_FOUND, "no-route");
      return;
    }
  access = request_check_access (core, event, route);
  if (access.verdict != GS_ACCESS_GRANTED)
    {
      reject_without_route (core, event, request_access_status (access.verdict),
                            gs_access_reason (access.verdict));
      return;
    }
  row = pick_pool (core, route);
  if (row == NULL || (row->n_upstreams == 0 && !row->registered))
    {
      reject_without_route (core, event, STATUS_UNAVAILABLE, "empty-pool");
      return;
    }
  request = add_request (core, event, route, row);
  identify_workspace (request, event, route, access.workspace);
  if (request->permit.kind == GS_PERMIT_KEY && !parse_idempotency_key (event, route, request))
    request_reject (core, request, GS_VERDICT_NOT_RUN, STATUS_UNPROCESSABLE, "malformed-key");
  else if (request->permit.kind != GS_PERMIT_NONE)
    permit_redeem (core, request);
  else if (gs_crash_tracker_must_refuse (core->crashes, request->fingerprint, core->now_us))
    request_reject (core, request, GS_VERDICT_NOT_RUN, STATUS_UNPROCESSABLE, "crashes-upstreams");
  else
    request_dispatch (core, request);
}

/* Returns the number of the crash that a lost connection belongs to. BLAME_UPSTREAM is set if the
 * crash counts against the upstream. */
static uint64_t
crash_number (GsCore *core, const Attempt *attempt, bool *blame_upstream)
{
  UpstreamCrash *last = g_hash_table_lookup (core->last_crashes, &attempt->upstream);
  uint64_t *key;

  *blame_upstream = false;
  if (last == NULL)
    {
      last = g_new0 (UpstreamCrash, 1);
      key = g_memdup2 (&attempt->upstream, sizeof attempt->upstream);
      g_hash_table_insert (core->last_crashes, key, last);
    }
  else if (core->now_us - last->at_us <= CRASH_WINDOW_US)
    return last->crash;
  else
    *blame_upstream = core->now_us - last->at_us <= CRASH_BLAME_WINDOW_US;
  last->crash = gs_mix64 (core->options.self.incarnation ^ gs_hash_name (core->options.self.id)
                          ^ gs_mix64 (++core->next_crash));
  last->at_us = core->now_us;
  return last->crash;
}

/*
 * Returns the crash number for the loss of a single connection. It is derived from the upstream, so
 * that an upstream that keeps dropping connections counts once against a request, and two such
 * upstreams count twice.
 */
static uint64_t
single_loss_number (const Attempt *attempt, bool *blame_upstream)
{
  *blame_upstream = true;
  return attempt->upstream | 1;
}

static void
send_crash_update (GsCore *core, PoolState *state, uint64_t fingerprint, uint64_t crash)
{
  GsEffect effect = { .kind = GS_EFFECT_CRASH_UPDATE,
                      .crash_update = { .fingerprint = fingerprint, .crash = crash } };

  core_send_to_homes (core, state, &effect);
}

/* RETURN VALUE: true if the lost connection must not count against the upstream. */
static bool
record_crash (GsCore *core, const Attempt *attempt, bool crashed)
{
  bool blame_upstream;
  uint64_t crash = crashed ? crash_number (core, attempt, &blame_upstream)
                           : single_loss_number (attempt, &blame_upstream);
  uint32_t before = gs_crash_tracker_count (core->crashes, attempt->fingerprint, core->now_us);

  if (gs_crash_tracker_add_suspect (core->crashes, attempt->fingerprint, crash, core->now_us))
    {
      send_crash_update (core, attempt->pool, attempt->fingerprint, crash);
      core_log_event (core, GS_LOG_EVENT_CRASH_SUSPECTED,
                      "fingerprint=%016" G_GINT64_MODIFIER "x upstream=%s crashes=%u",
                      attempt->fingerprint, attempt->target,
                      gs_crash_tracker_count (core->crashes, attempt->fingerprint, core->now_us));
    }
  return !blame_upstream || before > 0;
}

static void
clear_suspect (GsCore *core, const Attempt *attempt)
{
  if (!gs_crash_tracker_clear_suspect (core->crashes, attempt->fingerprint))
    return;
  send_crash_update (core, attempt->pool, attempt->fingerprint, 0);
  core_log_event (core, GS_LOG_EVENT_CRASH_SUSPECT_CLEARED,
                  "fingerprint=%016" G_GINT64_MODIFIER "x upstream=%s", attempt->fingerprint,
                  attempt->target);
}

static void
drop_connections (GsCore *core, const GsUpstreamView *view, const char *reason)
{
  core_add_effect (core, GS_EFFECT_DROP_CONNECTIONS)->drop
      = (GsPeerAddress){ .ipv4 = view->ipv4, .peer_port = view->port };
  core_log_event (core, GS_LOG_EVENT_IDLE_CONNECTIONS_DROPPED, "upstream=%s reason=%s", view->id,
                  reason);
}

static void
finish_upstream_attempt (GsCore *core, const Attempt *attempt, const GsAttemptEndEvent *event)
{
  GsPool *pool = attempt->pool->pool;
  int index = gs_pool_find_key (pool, attempt->upstream);
  GsUpstreamView view = { 0 };
  GsAttemptResult result = { .now_us = core->now_us,
                             .answer_us = event->answer_us,
                             .sent_us = attempt->started_us,
                             .outcome = event->outcome,
                             .overdue_counted = attempt->overdue_reported,
                             .late_counted = attempt->late_reported };

  if (event->outcome == GS_OUTCOME_CLOSED || event->outcome == GS_OUTCOME_CRASHED)
    result.request_suspect = record_crash (core, attempt, event->outcome == GS_OUTCOME_CRASHED);
  else if (event->outcome == GS_OUTCOME_OK || event->outcome == GS_OUTCOME_ERROR)
    clear_suspect (core, attempt);
  if (index < 0)
    return;
  gs_pool_view (pool, (uint16_t)index, &view);
  gs_pool_end_attempt (pool, (uint16_t)index, &result);
  gs_pool_set_quiet (pool, (uint16_t)index,
                     core->now_us + notice_quiet_left_us (core, attempt->upstream));
  if (event->outcome == GS_OUTCOME_SILENT || event->outcome == GS_OUTCOME_CRASHED)
    drop_connections (core, &view, gs_outcome_name (event->outcome));
  if (event->outcome == GS_OUTCOME_LEAVING)
    {
      GsEffect report
          = { .kind = GS_EFFECT_UPSTREAM_REPORT, .upstream_report = { .leaving = true } };
      g_strlcpy (report.upstream_report.upstream, view.id, sizeof report.upstream_report.upstream);
      core_send_to_homes (core, attempt->pool, &report);
    }
  core_log_pool_changes (core, attempt->pool);
}

void
request_send_answer (GsCore *core, Request *request, GsOutcome outcome)
{
  if (outcome != GS_OUTCOME_UNCERTAIN)
    permit_request_answered (core, request);
  core_add_effect (core, GS_EFFECT_ANSWER)->answer
      = (GsAnswerEffect){ .request = request->id, .earlier_verdict = request->earlier_verdict };
  core_log_event (core, GS_LOG_EVENT_ANSWERED,
                  "request=%" G_GUINT64_FORMAT
                  " id=%s pool=%s outcome=%s attempts=%u total_us=%" G_GINT64_FORMAT,
                  request->id, request->label, request->pool->name, gs_outcome_name (outcome),
                  request->n_attempts, core->now_us - request->arrived_us);
  request_remove (core, request);
}

static bool
may_retry (GsCore *core, Request *request, GsOutcome outcome)
{
  bool safe = request->repeat == GS_REPEAT_SAFE && request->permit.kind == GS_PERMIT_NONE;

  if (outcome == GS_OUTCOME_UNCERTAIN)
    return false; /* the home has already made every attempt that the request may have */
  if (gs_outcome_verdict (outcome) != GS_VERDICT_NOT_RUN && !safe)
    return false;
  if (request->n_attempts >= CORE_ATTEMPTS_MAX || request->deadline_us <= core->now_us)
    return false;
  if (gs_crash_tracker_must_refuse (core->crashes, request->fingerprint, core->now_us))
    return false;
  return gs_retry_bucket_spend (&request->pool->budget);
}

static void
retry (GsCore *core, Request *request, const Attempt *attempt, GsOutcome outcome)
{
  core_log_event (core, GS_LOG_EVENT_RETRIED,
                  "request=%" G_GUINT64_FORMAT " pool=%s after=%s outcome=%s attempt=%u",
                  request->id, request->pool->name, attempt->target, gs_outcome_name (outcome),
                  request->n_attempts);
  request->phase = REQUEST_NEW;
  request_dispatch (core, request);
}

uint16_t
request_failure_status (GsOutcome outcome)
{
  if (gs_outcome_verdict (outcome) == GS_VERDICT_NOT_RUN)
    return STATUS_UNAVAILABLE;
  return outcome == GS_OUTCOME_TIMEOUT || outcome == GS_OUTCOME_SILENT
                 || outcome == GS_OUTCOME_STOPPED
             ? STATUS_GATEWAY_TIMEOUT
             : STATUS_BAD_GATEWAY;
}

static void
continue_request (GsCore *core,
                  Request *request,
                  const Attempt *attempt,
                  const GsAttemptEndEvent *event)
{
  GsVerdict verdict = gs_outcome_verdict (event->outcome);

  if (event->outcome == GS_OUTCOME_CANCELLED)
    request_remove (core, request);
  else if (attempt->with_permit && verdict == GS_VERDICT_NOT_RUN)
    permit_holder_failed (core, request, event->outcome);
  else if (event->outcome == GS_OUTCOME_OK || event->committed)
    request_send_answer (core, request, event->outcome);
  else if (may_retry (core, request, event->outcome))
    retry (core, request, attempt, event->outcome);
  else if (event->outcome == GS_OUTCOME_ERROR || event->outcome == GS_OUTCOME_UNCERTAIN)
    request_send_answer (core, request, event->outcome);
  else
    request_fail (core, request, request_failure_status (event->outcome),
                  gs_outcome_name (event->outcome));
}

/* Counts the end of any attempt of REQUEST, also of one that another attempt has replaced. */
static void
record_verdict (Request *request, GsOutcome outcome)
{
  request->n_unended--;
  request->earlier_verdict = request_verdict (request);
  request->worst_verdict = MAX (request->worst_verdict, gs_outcome_verdict (outcome));
}

void
request_answer_started (GsCore *core, uint64_t id)
{
  Attempt *attempt = g_hash_table_lookup (core->attempts, &id);
  Request *request = attempt != NULL ? request_find (core, attempt->request) : NULL;

  if (attempt == NULL)
    return;
  attempt->answer_started = true;
  if (request == NULL || attempt->grant == 0)
    return;
  scheduling_cancel_slot_request (core, request);
  scheduling_withdraw_replacement (core, request, attempt);
}

void
request_attempt_end (GsCore *core, const GsAttemptEndEvent *event)
{
  Attempt *attempt = g_hash_table_lookup (core->attempts, &event->attempt);
  Request *request;
  PoolState *state;

  if (attempt == NULL)
    return; /* the attempt has ended already */
  g_hash_table_steal (core->attempts, &attempt->id);
  request = request_find (core, attempt->request);
  state = attempt->pool;
  if (request != NULL)
    record_verdict (request, event->outcome);
  notice_quiet (core, attempt, event->quiet_ms);
  if (attempt->grant != 0)
    {
      scheduling_attempt_end (core, request, attempt, event);
      g_free (attempt);
      return;
    }
  if (attempt->forward)
    gs_members_record_path (core->members, attempt->target,
                            event->outcome != GS_OUTCOME_UNREACHABLE, core->now_us);
  else
    finish_upstream_attempt (core, attempt, event);
  if (request != NULL)
    continue_request (core, request, attempt, event);
  request_serve_queue (core, state);
  g_free (attempt);
}

void
request_caller_disconnected (GsCore *core, uint64_t id)
{
  Request *request = request_find (core, id);

  if (request == NULL)
    return;
  if (request->phase == REQUEST_RUNNING)
    {
      /* The HTTP layer itself ends the attempts that it has started. */
      GsAttemptEndEvent end = { .attempt = request->attempt, .outcome = GS_OUTCOME_CANCELLED };
      request_attempt_end (core, &end);
      return;
    }
  if (request->phase == REQUEST_AWAITING_SLOT)
    scheduling_cancel_slot_request (core, request);
  if (request->phase == REQUEST_QUEUED && permit_release (core, request, "caller-left"))
    return;
  request_remove (core, request);
}

/* Rejects waiting requests whose deadline has passed. */
static void
expire_waiting (GsCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_autoptr (GPtrArray) expired = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Request *request = value;
      if (request->phase != REQUEST_RUNNING && request->deadline_us <= core->now_us)
        g_ptr_array_add (expired, request);
    }
  for (guint i = 0; i < expired->len; i++)
    {
      Request *request = g_ptr_array_index (expired, i);
      if (request->phase == REQUEST_AWAITING_SLOT)
        {
          scheduling_cancel_slot_request (core, request);
          request_fail (core, request,
                        request_verdict (request) == GS_VERDICT_NOT_RUN ? STATUS_UNAVAILABLE
                                                                        : STATUS_GATEWAY_TIMEOUT,
                        "deadline-passed-in-queue");
          continue;
        }
      if (request->phase != REQUEST_QUEUED)
        {
          permit_deadline_passed (core, request);
          continue;
        }
      request_queue_remove (request);
      request->phase = REQUEST_NEW;
      request_fail (core, request, STATUS_UNAVAILABLE, "deadline-passed-in-queue");
    }
}

static void
report_overdue (GsCore *core, Attempt *attempt, uint16_t index)
{
  GsPool *pool = attempt->pool->pool;
  GsUpstreamView view;

  attempt->overdue_reported = true;
  gs_pool_view (pool, index, &view);
  if (gs_pool_report_overdue (pool, index, attempt->started_us, core->now_us))
    drop_connections (core, &view, "overdue");
}

static void
check_age (GsCore *core, Attempt *attempt)
{
  GsPool *pool = attempt->pool->pool;
  int64_t age_us = core->now_us - attempt->started_us;
  bool late = !attempt->late_reported && age_us >= gs_pool_late_age_us (pool);
  bool overdue = !attempt->overdue_reported && age_us >= gs_pool_overdue_age_us (pool);
  int index = late || overdue ? gs_pool_find_key (pool, attempt->upstream) : -1;

  if (index < 0)
    return;
  attempt->late_reported = attempt->late_reported || late;
  if (late)
    gs_pool_report_late (pool, (uint16_t)index, age_us, core->now_us);
  if (overdue)
    report_overdue (core, attempt, (uint16_t)index);
  core_log_pool_changes (core, attempt->pool);
}

/* Reports running attempts that are late or overdue to their pools. */
static void
check_running_attempts (GsCore *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Attempt *attempt = value;
      if (!attempt->forward && !attempt->answer_started && attempt->grant == 0)
        check_age (core, attempt);
    }
}

void
request_tick (GsCore *core)
{
  expire_waiting (core);
  check_running_attempts (core);
}

/* Queues the requests of a pool again, in their order, under their new deadlines. Those that cannot
 * be answered in time are rejected. */
static void
requeue (GsCore *core, PoolState *state)
{
  g_autoptr (GArray) waiting = g_array_new (FALSE, FALSE, sizeof (GsFairEntry));
  GsFairEntry queued;

  if (state->pool == NULL)
    return;
  while (request_queue_pop (state, &queued))
    g_array_append_val (waiting, queued);
  for (guint i = 0; i < waiting->len; i++)
    {
      Request *request = request_find (core, g_array_index (waiting, GsFairEntry, i).id);
      request->phase = REQUEST_NEW;
      enqueue (core, request);
    }
}

/* Applies the end of a planned stop to all requests. Those that wait and cannot be answered by then
 * are rejected now, while their callers have time to use another daemon. */
void
request_stop (GsCore *core)
{
  g_autoptr (GArray) shortened = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (shorten_deadline (core, value))
      g_array_append_val (shortened, ((Request *)value)->id);
  expire_waiting (core);
  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    requeue (core, value);
  for (guint i = 0; i < shortened->len; i++)
    {
      Request *request = request_find (core, g_array_index (shortened, uint64_t, i));
      if (request != NULL)
        scheduling_renew_slot_request (core, request);
    }
}
