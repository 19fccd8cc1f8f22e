/* Requests to pools whose upstreams register themselves: requests slots from the pool's scheduler,
 * starts the granted attempts and reports how they ended. */
#include "core_private.h"

#include <string.h>

enum
{
  SCHEDULING_ATTEMPTS_MAX = 5, /* of one request, including those that did not connect */
  SCHEDULING_STATUS_TOO_MANY_REQUESTS = 429,
  SCHEDULING_STATUS_UNAVAILABLE = 503,
  SCHEDULING_STATUS_BAD_GATEWAY = 502,
  SCHEDULING_STATUS_TIMEOUT = 504,
  SCHEDULING_RETRY_AFTER_MS = 150,       /* used when the scheduler gives no estimate */
  SCHEDULING_ACCOUNT_HOMES = 2,          /* homes that receive the retry accounts */
  SCHEDULING_NEW_HOME_SLACK_DIVISOR = 4, /* a new first home gets 1/4 of the slack */
};

/** Timeout of a slot request: a round trip between failure domains takes a few ms, a slow daemon a
 * few tens of ms. */
#define SCHEDULING_REPLY_TIMEOUT_US (120 * GS_US_PER_MS)
/** Delay before an unanswered slot request is sent again: its datagram may have been lost. */
#define SCHEDULING_RESEND_US (50 * GS_US_PER_MS)
/** Period at which a queued slot request is sent again. It doubles as a heartbeat in both
 * directions. */
#define SCHEDULING_QUEUED_RESEND_US (250 * GS_US_PER_MS)
/** Period at which the homes receive the retry accounts, and time after which a new first home has
 * received them. */
#define SCHEDULING_ACCOUNT_PERIOD_US (500 * GS_US_PER_MS)
#define SCHEDULING_NEW_HOME_US (2 * GS_US_PER_S)
/** Period at which the errors of estimates are logged. */
#define SCHEDULING_COST_LOG_US (10 * GS_US_PER_S)
/** Tick periods: while slot requests are pending or queued, and otherwise. */
#define SCHEDULING_BUSY_TICK_US (25 * GS_US_PER_MS)
#define SCHEDULING_IDLE_TICK_US (100 * GS_US_PER_MS)

static const GsPoolRow *
pool_row (const GsCore *core, const PoolState *state)
{
  return gs_table_pool (core->table, state->workspace, state->name);
}

typedef struct
{
  const PoolState *state;
  int64_t now_us;
} UpstreamSync;

static void
sync_upstream (const GsRegistration *registration,
               GsRegistrationState state,
               int64_t read_us,
               void *data)
{
  UpstreamSync *sync = data;

  if (slice_has_upstream (sync->state, registration))
    gs_scheduler_set_upstream (sync->state->scheduler, registration, state, read_us, sync->now_us);
}

static void
sync_upstreams (GsCore *core, PoolState *state)
{
  UpstreamSync sync = { .state = state, .now_us = core->now_us };
  uint64_t epoch = gs_registry_epoch (core->registry);

  if (!slice_division_changed (core, state) && state->registry_epoch == epoch)
    return;
  state->registry_epoch = epoch;
  gs_scheduler_begin_update (state->scheduler);
  gs_registry_foreach (core->registry, state->name, sync_upstream, &sync);
  gs_scheduler_end_update (state->scheduler, core->now_us);
}

/* Share of the known members that are not dead; below 1 when this daemon may be partitioned. */
static double
alive_share (const GsCore *core)
{
  uint32_t count = gs_members_count (core->members);
  uint32_t alive = 0;

  for (uint32_t i = 0; i < count; i++)
    alive += gs_members_get (core->members, i)->state != GS_MEMBER_DEAD ? 1 : 0;
  return (double)alive / MAX (count, 1);
}

/* This daemon's part of the pool's retry slack. Only the first home has any, and a new one a fourth
 * until it has received the retry accounts of the other schedulers. In a partition two daemons may
 * both be first homes; each sees the other side as dead, so scaling by the share that is alive
 * keeps the sum within the slack. */
static uint32_t
retry_slack (GsCore *core, PoolState *state)
{
  double slack
      = core->options.retry_budget.slack * alive_share (core) * slice_slack_share (core, state);

  core_refresh_homes (core, state);
  if (state->n_homes > 0 && state->homes[0] != 0)
    {
      state->first_home_since_us = 0;
      return 0;
    }
  if (state->first_home_since_us == 0)
    state->first_home_since_us = core->now_us;
  if (core->now_us - state->first_home_since_us < SCHEDULING_NEW_HOME_US)
    slack /= SCHEDULING_NEW_HOME_SLACK_DIVISOR;
  return (uint32_t)slack;
}

GsScheduler *
scheduling_get_scheduler (GsCore *core, PoolState *state)
{
  GsSchedulerOptions options = { .pool = state->name,
                                 .seed = gs_random_next (&core->random),
                                 .budget = core->options.retry_budget,
                                 .is_slice = state->whole != NULL,
                                 .placement = core->options.placement,
                                 .held_bytes_max = core->options.upstream_held_bytes };

  if (state->scheduler == NULL)
    {
      state->scheduler = gs_scheduler_new (&options);
      gs_scheduler_set_retry_slack (state->scheduler, retry_slack (core, state));
      state->registry_epoch = UINT64_MAX;
      state->admission = quota_new_admission (core, state);
      gs_scheduler_set_admission (state->scheduler, state->admission);
    }
  sync_upstreams (core, state);
  return state->scheduler;
}

static void
log_belief_changes (GsCore *core, PoolState *state)
{
  GsBeliefChange change;

  while (gs_scheduler_next_belief_change (state->scheduler, &change))
    core_log_event (core, GS_LOG_EVENT_BELIEF_CHANGED,
                    "pool=%s upstream=%s belief=%s failing_ppm=%u after=%s by=%s", state->name,
                    change.upstream_id, change.failing ? "failing" : "sound", change.failing_ppm,
                    gs_outcome_name (change.outcome), change.by_age ? "age" : "end");
}

static void
log_retry_budget (GsCore *core, PoolState *state)
{
  GsRetryBudgetView view;

  if (gs_scheduler_next_budget_report (state->scheduler, core->now_us, &view))
    core_log_event (core, GS_LOG_EVENT_RETRY_BUDGET_REACHED,
                    "pool=%s first_home=%s requests=%u repeats=%u debts=%u placers=%u slack=%u",
                    state->name, state->n_homes == 0 || state->homes[0] == 0 ? "yes" : "no",
                    view.requests, view.retries, view.debts, view.schedulers, view.slack);
}

/* Writes the errors of all predictors, with * at those in use, into TEXT. */
static void
describe_predictors (const GsCostReport *report, char *text, size_t size)
{
  size_t length = 0;

  text[0] = '\0';
  for (int i = GS_PREDICTOR_FLOW; i < GS_PREDICTOR_COUNT && length < size; i++)
    {
      const GsPredictorView *view = &report->predictors[i];
      length += (size_t)g_snprintf (text + length, size - length, " %s=%.2f/%.2f%s",
                                    gs_predictor_name ((GsPredictor)i), view->error_with,
                                    view->error_without, view->in_use ? "*" : "");
    }
}

/* Counts the errors of estimates, and logs them from time to time. */
static void
report_cost (GsCore *core, PoolState *state)
{
  GsCostReport report;
  char predictors[128];

  if (!gs_scheduler_next_cost_report (state->scheduler, core->now_us, &report))
    return;
  core_add_effect (core, GS_EFFECT_COST_REPORT)->cost_report = report;
  if (core->now_us - state->cost_logged_us < SCHEDULING_COST_LOG_US)
    return;
  state->cost_logged_us = core->now_us;
  describe_predictors (&report, predictors, sizeof predictors);
  core_log_event (core, GS_LOG_EVENT_COST_ESTIMATED,
                  "pool=%s results=%" G_GUINT64_FORMAT " typical_us=%" G_GUINT64_FORMAT
                  " estimated_us=%" G_GUINT64_FORMAT " measured_us=%" G_GUINT64_FORMAT
                  " error_us=%" G_GUINT64_FORMAT " tail_at_4=%.2f%s",
                  state->name, report.results, report.typical_us,
                  report.estimated_us / report.results, report.measured_us / report.results,
                  report.error_us / report.results, report.tail_at_4, predictors);
}

/* Delivers the scheduler's pending replies, locally or to the requesting daemons. */
static void
deliver_replies (GsCore *core, PoolState *state)
{
  static const GsPeerAddress local = { 0 };
  GsSlotReply reply;

  log_belief_changes (core, state);
  log_retry_budget (core, state);
  report_cost (core, state);
  while (gs_scheduler_next_reply (state->scheduler, &reply))
    {
      const GsPeerAddress *to = g_hash_table_lookup (core->peers_by_origin, &reply.origin);
      if (reply.origin == core->origin)
        scheduling_receive_slot_reply (core, &reply, &local);
      else if (to != NULL)
        {
          GsEffect *effect = core_add_effect (core, GS_EFFECT_SLOT_REPLY);
          effect->to = *to;
          effect->slot_reply = reply;
        }
    }
}

static bool
is_unresponsive (const Request *request, uint64_t member)
{
  for (uint8_t i = 0; i < request->n_silent_schedulers; i++)
    if (request->silent_schedulers[i] == member)
      return true;
  return false;
}

bool
scheduling_pick_home (GsCore *core,
                      const Request *request,
                      PoolState *state,
                      uint32_t n_homes,
                      const GsMemberInfo **member)
{
  *member = NULL;
  for (uint32_t i = 0; i < MIN (state->n_homes, n_homes); i++)
    {
      const GsMemberInfo *home = gs_members_get (core->members, state->homes[i]);
      if (state->homes[i] == 0)
        return true;
      if (!gs_members_reachable (core->members, state->homes[i])
          || is_unresponsive (request, gs_hash_name (home->id)))
        continue;
      *member = home;
      return true;
    }
  return false;
}

/* The first home that is reachable and did not time out for this request; NULL: this daemon. */
static const GsMemberInfo *
pick_scheduler (GsCore *core, Request *request)
{
  const GsMemberInfo *scheduler;

  /* A late attempt is replaced where it was granted. */
  if (request->phase != REQUEST_RUNNING
      && (request->slice != 0 || slice_is_used (core, request->pool)))
    return slice_pick_scheduler (core, request);
  if (request->phase != REQUEST_RUNNING)
    request->pool = slice_whole (request->pool);
  core_refresh_homes (core, request->pool);
  if (request->n_silent_schedulers >= CORE_SILENT_SCHEDULERS_MAX)
    return NULL;
  scheduling_pick_home (core, request, request->pool, CORE_HOMES_MAX, &scheduler);
  return scheduler;
}

/* Fills in what predicts the request's work, where requests of the pool are placed by it. */
static void
describe_work (const GsCore *core, const Request *request, GsSlotRequest *slot_request)
{
  if (core->options.placement == GS_PLACEMENT_COUNT
      || !gs_placement_uses_cost (
          core->options.placement,
          gs_registry_pool_size (core->registry, request->pool->name).slots_max,
          slot_request->workspace))
    return;
  slot_request->work_class = request->work_class;
  slot_request->body_bytes = request->body_bytes;
}

static GsSlotRequest
make_slot_request (const GsCore *core, const Request *request)
{
  GsSlotRequest slot_request
      = { .origin = core->origin,
          .token = request->slot_token,
          .domain = gs_hash_name (core->options.self.failure_domain),
          .flow = request->flow,
          .fingerprint = request->fingerprint,
          .workspace = request->workspace,
          .workspace_priority = request->workspace_priority,
          .repeat = request->repeat,
          .priority = request->priority,
          .is_retry = request->reached_upstream,
          .last_attempt = request->n_executions + 1 >= request->max_executions,
          .is_renewed = request->slot_renewed,
          .is_redirected = request->redirected,
          .counted = request->n_executions > 0,
          .deadline_us = request->deadline_us,
          .target_us = request->target_us };

  if (request->phase == REQUEST_RUNNING)
    slot_request.replaced_grant = request->grant;
  describe_work (core, request, &slot_request);
  g_strlcpy (slot_request.request_id, request->label, sizeof slot_request.request_id);
  for (uint8_t i = 0; i < request->n_tried && slot_request.n_tried < GS_SLOT_TRIED_MAX; i++)
    slot_request.tried[slot_request.n_tried++] = request->tried[i];
  return slot_request;
}

static void
set_slot_request_pending (GsCore *core, Request *request, bool pending)
{
  if (request->slot_request_pending != pending)
    core->n_slot_requests += pending ? 1 : -1;
  request->slot_request_pending = pending;
}

static void
send_slot_request (GsCore *core, Request *request, const GsMemberInfo *to)
{
  GsEffect *effect = core_add_effect (core, GS_EFFECT_SLOT_REQUEST);

  effect->to = core_peer_address (to);
  effect->slot_request.pool = request->pool->key;
  effect->slot_request.request = make_slot_request (core, request);
}

static void
request_slot_here (GsCore *core, Request *request)
{
  GsSlotRequest slot_request = make_slot_request (core, request);
  PoolState *state = request->pool;

  slice_request (core, state, &slot_request);
  deliver_replies (core, state);
}

/* Requests a slot without changing the request's phase. */
static void
start_slot_request (GsCore *core, Request *request)
{
  const GsMemberInfo *scheduler = pick_scheduler (core, request);

  set_slot_request_pending (core, request, true);
  request->slot_token = ++core->next_slot_token;
  request->slot_reply_due_us = core->now_us + SCHEDULING_REPLY_TIMEOUT_US;
  request->slot_request_queued = false;
  request->scheduler_hash = scheduler != NULL ? gs_hash_name (scheduler->id) : 0;
  if (scheduler != NULL)
    {
      request->slot_request_resend_us = core->now_us + SCHEDULING_RESEND_US;
      send_slot_request (core, request, scheduler);
      return;
    }
  request_slot_here (core, request);
}

/* Requests a slot from the pool's scheduler. */
void
scheduling_request_slot (GsCore *core, Request *request)
{
  request->phase = REQUEST_AWAITING_SLOT;
  start_slot_request (core, request);
}

static const GsMemberInfo *
requested_scheduler (GsCore *core, const Request *request)
{
  for (uint32_t i = 1; i < gs_members_count (core->members); i++)
    if (gs_hash_name (gs_members_get (core->members, i)->id) == request->scheduler_hash)
      return gs_members_get (core->members, i);
  return NULL;
}

static GsEffect *
send_slot_result (GsCore *core, uint64_t pool, const GsSlotResult *result, const GsPeerAddress *to)
{
  GsEffect *effect = core_add_effect (core, GS_EFFECT_SLOT_RESULT);

  effect->to = *to;
  effect->slot_result.pool = pool;
  effect->slot_result.result = *result;
  return effect;
}

/* Withdraws the pending slot request, if any. */
void
scheduling_cancel_slot_request (GsCore *core, Request *request)
{
  const GsMemberInfo *scheduler
      = request->scheduler_hash != 0 ? requested_scheduler (core, request) : NULL;
  GsSlotResult result = { .origin = core->origin, .token = request->slot_token };
  GsPeerAddress to;

  if (!request->slot_request_pending)
    return;
  set_slot_request_pending (core, request, false);
  if (request->scheduler_hash == 0)
    {
      gs_scheduler_release (scheduling_get_scheduler (core, request->pool), &result, core->now_us);
      deliver_replies (core, request->pool);
    }
  else if (scheduler != NULL)
    {
      to = core_peer_address (scheduler);
      send_slot_result (core, request->pool->key, &result, &to);
    }
}

static Request *
find_by_slot_request (GsCore *core, uint64_t token)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Request *request = value;
      if (request->slot_request_pending && request->slot_token == token)
        return request;
    }
  return NULL;
}

static bool
is_grant_in_use (const GsCore *core, const GsSlotReply *reply)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Attempt *attempt = value;
      if (attempt->grant == reply->grant && attempt->token == reply->token)
        return true;
    }
  return false;
}

/* The result of a grant that was not used. */
static GsSlotResult
make_unused_result (const GsCore *core, const GsSlotReply *reply)
{
  return (GsSlotResult){ .origin = core->origin,
                         .token = reply->token,
                         .grant = reply->grant,
                         .upstream = reply->upstream,
                         .outcome = GS_OUTCOME_CANCELLED };
}

/* Releases a slot granted to a request that no longer waits for it. A reply that arrives again, as
 * each slot request that was resent gets one, leaves the slot to the attempt that uses it. */
static void
return_grant (GsCore *core, const GsSlotReply *reply, const GsPeerAddress *from)
{
  GsSlotResult result = make_unused_result (core, reply);

  if (!core_is_local (from) && !is_grant_in_use (core, reply))
    send_slot_result (core, 0, &result, from);
}

/* Returns a grant for an upstream that must get no requests from here, and tells its scheduler
 * why. */
static void
return_held_grant (GsCore *core,
                   PoolState *state,
                   const GsSlotReply *reply,
                   const GsPeerAddress *from,
                   int64_t quiet_us)
{
  GsSlotResult result = make_unused_result (core, reply);

  result.leaving
      = gs_registry_has_announced_leaving (core->registry, reply->upstream_id, reply->started_ms);
  result.quiet_ms = (uint32_t)((quiet_us + GS_US_PER_MS - 1) / GS_US_PER_MS);
  if (!core_is_local (from))
    {
      send_slot_result (core, state->key, &result, from);
      return;
    }
  gs_scheduler_release (scheduling_get_scheduler (core, state), &result, core->now_us);
  deliver_replies (core, state);
}

/* Finishes a request without another attempt: with the error answer of the last one, else with 503
 * when it has not run, 504 when its deadline has passed and 502 otherwise. */
static void
finish_request (GsCore *core, Request *request, const char *reason, uint32_t retry_after_ms)
{
  uint16_t status = SCHEDULING_STATUS_BAD_GATEWAY;

  if (request->holds_answer)
    {
      request_send_answer (core, request, GS_OUTCOME_ERROR);
      return;
    }
  request->retry_after_ms = retry_after_ms != 0 ? retry_after_ms : SCHEDULING_RETRY_AFTER_MS;
  if (request_verdict (request) == GS_VERDICT_NOT_RUN)
    status = strcmp (reason, "over-quota") == 0 ? SCHEDULING_STATUS_TOO_MANY_REQUESTS
                                                : SCHEDULING_STATUS_UNAVAILABLE;
  else if (request->deadline_us <= core->now_us)
    status = SCHEDULING_STATUS_TIMEOUT;
  request_fail (core, request, status, reason);
}

/* Looks for another upstream for a request that was kept from the one it got. A late attempt just
 * continues. */
static void
request_other_slot (GsCore *core, Request *request, uint64_t upstream, const char *reason)
{
  bool has_room = request->n_tried < G_N_ELEMENTS (request->tried);

  if (has_room)
    request->tried[request->n_tried++] = upstream;
  if (request->phase == REQUEST_RUNNING)
    return;
  if (has_room)
    scheduling_request_slot (core, request);
  else
    finish_request (core, request, reason,
                    notice_retry_after_ms (core, request->quiet_until_us - core->now_us));
}

/*
 * Returns the grant if its upstream announced that it leaves or wants no requests from this daemon
 * now. The scheduler may not know yet, or be a new one that never learned it. RETURN VALUE: false
 * when the attempt may start.
 */
static bool
hold_back (GsCore *core, Request *request, const GsSlotReply *reply, const GsPeerAddress *from)
{
  bool leaving = gs_registry_is_leaving (core->registry, reply->upstream_id, reply->started_ms);
  int64_t quiet_us = notice_quiet_left_us (core, reply->upstream);
  const char *reason = leaving ? "upstream-leaving" : "upstreams-quiet";

  if (!leaving && quiet_us == 0)
    return false;
  set_slot_request_pending (core, request, false);
  request->slot_renewed = true;
  if (quiet_us > 0
      && (request->quiet_until_us <= core->now_us
          || core->now_us + quiet_us < request->quiet_until_us))
    request->quiet_until_us = core->now_us + quiet_us;
  core_add_effect (core, GS_EFFECT_REQUEST_HELD_BACK)->held_back = request->id;
  core_log_event (core, GS_LOG_EVENT_REQUEST_HELD_BACK,
                  "request=%" G_GUINT64_FORMAT " id=%s pool=%s upstream=%s reason=%s "
                  "quiet_us=%" G_GINT64_FORMAT,
                  request->id, request->label, request->pool->name, reply->upstream_id,
                  leaving ? "leaving" : "quiet", quiet_us);
  return_held_grant (core, request->pool, reply, from, quiet_us);
  request_other_slot (core, request, reply->upstream, reason);
  return true;
}

static GsDomainRelation
relate_domain (const GsCore *core, const char *upstream_id)
{
  const char *domain = gs_registry_failure_domain (core->registry, upstream_id);

  if (domain == NULL)
    return GS_DOMAIN_UNKNOWN;
  return strcmp (domain, core->options.self.failure_domain) == 0 ? GS_DOMAIN_SAME : GS_DOMAIN_OTHER;
}

static void
start_granted_attempt (GsCore *core,
                       Request *request,
                       const GsSlotReply *reply,
                       const GsPeerAddress *from)
{
  const GsMemberInfo *scheduler = requested_scheduler (core, request);
  Attempt *attempt;
  GsAttemptEffect *effect;

  set_slot_request_pending (core, request, false);
  if (request->phase == REQUEST_RUNNING) /* the late attempt may have run */
    {
      request->n_executions++;
      request->reached_upstream = true;
    }
  request->holds_answer = false;
  request->slot_renewed = false;
  request->redirected = false;
  request->slice = 0;
  attempt = request_start_attempt (core, request, reply->upstream, reply->upstream_id);
  attempt->grant = reply->grant;
  attempt->started_ms = reply->started_ms;
  request->grant = reply->grant;
  attempt->token = reply->token;
  attempt->is_retry = request->reached_upstream;
  attempt->scheduler = *from;
  effect = request_emit_attempt (core, request, attempt);
  effect->ipv4 = reply->ipv4;
  effect->port = reply->port;
  effect->upstream_domain = relate_domain (core, reply->upstream_id);
  effect->timeout_us = request->deadline_us - core->now_us;
  effect->late_us = reply->attempt_timeout_us < effect->timeout_us ? reply->attempt_timeout_us : 0;
  core_log_event (
      core, GS_LOG_EVENT_SLOT_GRANTED,
      "request=%" G_GUINT64_FORMAT
      " id=%s pool=%s chose=%s reason=%s failing_ppm=%u evidence_age_ms=%u outstanding=%u "
      "placer=%s attempt=%u again=%s waited_us=%" G_GINT64_FORMAT " asked_us=%" G_GINT64_FORMAT,
      request->id, request->label, request->pool->name, reply->upstream_id, reply->reason,
      reply->failing_ppm, reply->evidence_age_ms, reply->outstanding,
      scheduler != NULL ? scheduler->id : "here", request->n_attempts,
      attempt->is_retry ? "yes" : "no", reply->waited_us, core->now_us - request->arrived_us);
}

void
scheduling_receive_slot_reply (GsCore *core, const GsSlotReply *reply, const GsPeerAddress *from)
{
  Request *request
      = reply->origin == core->origin ? find_by_slot_request (core, reply->token) : NULL;

  if (request == NULL)
    {
      if (reply->verdict == GS_SLOT_GRANTED)
        return_grant (core, reply, from);
      return;
    }
  if (request->phase == REQUEST_RUNNING && reply->verdict != GS_SLOT_GRANTED)
    {
      core_log_event (core, GS_LOG_EVENT_LATE_ATTEMPT_KEPT,
                      "request=%" G_GUINT64_FORMAT
                      " id=%s pool=%s reason=%s attempt=%u age_us=%" G_GINT64_FORMAT,
                      request->id, request->label, request->pool->name, reply->reason,
                      request->n_attempts, core->now_us - request->arrived_us);
      scheduling_cancel_slot_request (core, request); /* only the late attempt remains */
      return;
    }
  switch (reply->verdict)
    {
    case GS_SLOT_GRANTED:
      if (!hold_back (core, request, reply, from))
        start_granted_attempt (core, request, reply, from);
      break;
    case GS_SLOT_QUEUED:
      if (!request->slot_request_queued)
        core_log_event (core, GS_LOG_EVENT_QUEUED,
                        "request=%" G_GUINT64_FORMAT " id=%s pool=%s length=%u", request->id,
                        request->label, request->pool->name, reply->queue_length);
      request->slot_request_queued = true;
      request->slot_request_resend_us = 0;
      request->slot_reply_due_us = core->now_us + SCHEDULING_QUEUED_RESEND_US;
      break;
    case GS_SLOT_REDIRECTED:
      set_slot_request_pending (core, request, false);
      if (request->redirected)
        {
          finish_request (core, request, "no-slot-in-time", 0);
          break;
        }
      slice_apply_redirect (core, request, reply);
      scheduling_request_slot (core, request);
      break;
    case GS_SLOT_REFUSED:
      set_slot_request_pending (core, request, false);
      if (strcmp (reply->reason, "upstreams-quiet") == 0)
        core_add_effect (core, GS_EFFECT_REQUEST_HELD_BACK)->held_back = request->id;
      finish_request (core, request, reply->reason,
                      MAX (reply->retry_after_ms,
                           notice_retry_after_ms (core, request->quiet_until_us - core->now_us)));
      break;
    }
}

/* The scheduler did not reply in time: requests the slot from the next home. */
static void
move_slot_request (GsCore *core, Request *request)
{
  const GsMemberInfo *scheduler = requested_scheduler (core, request);

  core_log_event (core, GS_LOG_EVENT_SCHEDULER_UNRESPONSIVE,
                  "request=%" G_GUINT64_FORMAT
                  " id=%s pool=%s asked=%s tick_gap_us=%" G_GINT64_FORMAT,
                  request->id, request->label, request->pool->name,
                  scheduler != NULL ? scheduler->id : "-", core->tick_gap_us);
  scheduling_cancel_slot_request (core, request);
  if (scheduler != NULL)
    gs_members_record_path (core->members, scheduler->id, false, core->now_us);
  if (request->n_silent_schedulers < CORE_SILENT_SCHEDULERS_STORED)
    request->silent_schedulers[request->n_silent_schedulers++] = request->scheduler_hash;
  scheduling_request_slot (core, request);
}

static void
resend_slot_request (GsCore *core, Request *request)
{
  const GsMemberInfo *scheduler;

  if (request->slot_request_resend_us == 0 || core->now_us < request->slot_request_resend_us)
    return;
  request->slot_request_resend_us = 0;
  scheduler = requested_scheduler (core, request);
  if (scheduler != NULL)
    send_slot_request (core, request, scheduler);
}

/* Sends a slot request again at once, since the request's deadline has moved up. */
void
scheduling_renew_slot_request (GsCore *core, Request *request)
{
  const GsMemberInfo *scheduler = requested_scheduler (core, request);

  if (request->phase != REQUEST_AWAITING_SLOT)
    return;
  if (request->scheduler_hash == 0)
    request_slot_here (core, request);
  else if (scheduler != NULL)
    send_slot_request (core, request, scheduler);
}

static void
check_slot_request (GsCore *core, Request *request)
{
  const GsMemberInfo *scheduler;

  if (request->phase != REQUEST_AWAITING_SLOT)
    return;
  if (core->now_us < request->slot_reply_due_us)
    {
      resend_slot_request (core, request);
      return;
    }
  if (request->scheduler_hash == 0)
    {
      request_slot_here (core, request); /* keeps its place in the queue */
      return;
    }
  scheduler = request->slot_request_queued ? requested_scheduler (core, request) : NULL;
  if (scheduler == NULL)
    {
      move_slot_request (core, request);
      return;
    }
  request->slot_request_queued = false;
  request->slot_reply_due_us = core->now_us + SCHEDULING_REPLY_TIMEOUT_US;
  request->slot_request_resend_us = core->now_us + SCHEDULING_RESEND_US;
  send_slot_request (core, request, scheduler);
}

static void
check_slot_requests (GsCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_autoptr (GPtrArray) pending = g_ptr_array_new ();

  if (core->n_slot_requests == 0)
    return;
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Request *)value)->slot_request_pending)
      g_ptr_array_add (pending, &((Request *)value)->id);
  for (guint i = 0; i < pending->len; i++)
    {
      uint64_t id = *(uint64_t *)g_ptr_array_index (pending, i);
      Request *request = request_find (core, id);
      if (request != NULL)
        check_slot_request (core, request);
    }
}

static GsSlotResult
make_slot_result (const GsCore *core,
                  const Attempt *attempt,
                  const GsAttemptEndEvent *event,
                  uint64_t flow)
{
  return (GsSlotResult){ .origin = core->origin,
                         .token = attempt->token,
                         .grant = attempt->grant,
                         .upstream = attempt->upstream,
                         .flow = flow,
                         .outcome = event->outcome == GS_OUTCOME_STOPPED ? GS_OUTCOME_CANCELLED
                                                                         : event->outcome,
                         .leaving = gs_registry_has_announced_leaving (
                             core->registry, attempt->target, attempt->started_ms),
                         .quiet_ms = MIN (event->quiet_ms, GS_QUIET_MAX_MS),
                         .answer_us = core->now_us - attempt->started_us,
                         .bytes = event->bytes,
                         .has_load = event->has_load,
                         .running = event->running,
                         .waiting = event->waiting };
}

/* Reports how an attempt ended to the granting scheduler and, for failover, to the first other
 * home. */
static void
report_slot_result (GsCore *core, const Attempt *attempt, const GsSlotResult *result)
{
  PoolState *state = attempt->pool;
  uint32_t homes_notified = 0;

  if (core_is_local (&attempt->scheduler))
    {
      gs_scheduler_release (scheduling_get_scheduler (core, state), result, core->now_us);
      deliver_replies (core, state);
    }
  else
    send_slot_result (core, state->key, result, &attempt->scheduler);
  core_refresh_homes (core, state);
  for (uint32_t i = 0; i < state->n_homes && homes_notified < 1; i++)
    {
      GsPeerAddress home = core_peer_address (gs_members_get (core->members, state->homes[i]));
      if (home.ipv4 == attempt->scheduler.ipv4 && home.peer_port == attempt->scheduler.peer_port)
        continue;
      if (state->homes[i] != 0)
        send_slot_result (core, state->key, result, &home)->slot_result.duplicate = true;
      else if (!core_is_local (&attempt->scheduler))
        {
          gs_scheduler_release (scheduling_get_scheduler (core, state), result, core->now_us);
          deliver_replies (core, state);
        }
      homes_notified++;
    }
}

static bool
may_retry (const GsCore *core, const Request *request, GsOutcome outcome)
{
  bool not_run = gs_outcome_verdict (outcome) == GS_VERDICT_NOT_RUN;

  return (not_run || request->repeat == GS_REPEAT_SAFE) && request->permit.kind == GS_PERMIT_NONE
         && request->n_attempts < SCHEDULING_ATTEMPTS_MAX
         && request->n_executions < request->max_executions && request->deadline_us > core->now_us;
}

/* Withdraws the attempt that was to replace LATE_ATTEMPT. The HTTP layer did not start it: the late
 * one is being answered, or the caller has left. */
void
scheduling_withdraw_replacement (GsCore *core, Request *request, const Attempt *late_attempt)
{
  static const GsAttemptEndEvent end = { .outcome = GS_OUTCOME_CANCELLED };
  Attempt *replacement = g_hash_table_lookup (core->attempts, &request->attempt);
  GsSlotResult result;

  if (replacement == NULL || replacement->id == late_attempt->id)
    return;
  g_hash_table_steal (core->attempts, &replacement->id);
  request->attempt = late_attempt->id;
  request->grant = late_attempt->grant;
  request->n_unended--;
  result = make_slot_result (core, replacement, &end, request->flow);
  report_slot_result (core, replacement, &result);
  g_free (replacement);
}

void
scheduling_attempt_end (GsCore *core,
                        Request *request,
                        const Attempt *attempt,
                        const GsAttemptEndEvent *event)
{
  GsSlotResult result
      = make_slot_result (core, attempt, event, request != NULL ? request->flow : 0);

  report_slot_result (core, attempt, &result);
  if (request != NULL && (event->committed || event->outcome == GS_OUTCOME_CANCELLED))
    scheduling_withdraw_replacement (core, request, attempt);
  if (request == NULL || request->attempt != attempt->id)
    return; /* superseded by a newer attempt */
  scheduling_cancel_slot_request (core, request);
  request->n_executions += gs_outcome_verdict (event->outcome) == GS_VERDICT_NOT_RUN ? 0 : 1;
  request->reached_upstream = request->reached_upstream || event->outcome != GS_OUTCOME_UNREACHABLE;
  request->holds_answer = event->outcome == GS_OUTCOME_ERROR;
  request->n_silent_schedulers = 0;
  if (event->outcome == GS_OUTCOME_CANCELLED)
    request_remove (core, request);
  else if (event->outcome == GS_OUTCOME_OK || event->committed)
    request_send_answer (core, request, event->outcome);
  else if (may_retry (core, request, event->outcome))
    {
      GsAccessVerdict access = request_renew_access (core, request);
      if (access != GS_ACCESS_GRANTED && request->holds_answer)
        request_send_answer (core, request, event->outcome);
      else if (access != GS_ACCESS_GRANTED)
        request_end_access (core, request, access);
      if (access != GS_ACCESS_GRANTED)
        return;
      core_log_event (core, GS_LOG_EVENT_RETRIED,
                      "request=%" G_GUINT64_FORMAT " id=%s pool=%s after=%s outcome=%s attempt=%u",
                      request->id, request->label, request->pool->name, attempt->target,
                      gs_outcome_name (event->outcome), request->n_attempts);
      scheduling_request_slot (core, request);
    }
  else if (event->outcome == GS_OUTCOME_ERROR)
    request_send_answer (core, request, event->outcome);
  else
    finish_request (core, request, gs_outcome_name (event->outcome), SCHEDULING_RETRY_AFTER_MS);
}

/* Called when an attempt is late, and again while it stays late. If the request may be retried,
 * requests another slot; the late attempt goes on until the slot is granted. */
void
scheduling_attempt_late (GsCore *core, uint64_t id)
{
  const Attempt *attempt = g_hash_table_lookup (core->attempts, &id);
  Request *request = attempt != NULL ? request_find (core, attempt->request) : NULL;

  if (request == NULL || request->attempt != id || request->phase != REQUEST_RUNNING
      || attempt->answer_started || request->slot_request_pending || core->stopping
      || request->repeat != GS_REPEAT_SAFE || request->n_attempts >= SCHEDULING_ATTEMPTS_MAX
      || request->n_executions + 1 >= request->max_executions
      || request_renew_access (core, request) != GS_ACCESS_GRANTED)
    return;
  request->n_executions++;
  request->reached_upstream = true;
  start_slot_request (core, request);
  request->n_executions--;
}

static PoolState *
find_pool_state (GsCore *core, uint64_t key)
{
  PoolState *state = g_hash_table_lookup (core->pools, &key);

  if (state == NULL)
    state = slice_find (core, key);
  if (state != NULL && pool_row (core, state) != NULL)
    return state;
  return NULL;
}

static void
create_pool_states (const GsDocument *document, void *data)
{
  for (uint32_t i = 0; i < document->n_pools; i++)
    if (document->pools[i].registered)
      core_pool_state (data, &document->pools[i]);
}

void
scheduling_tables_changed (GsCore *core)
{
  gs_table_foreach (core->table, create_pool_states, core);
}

static void
store_origin_address (GsCore *core, uint64_t origin, const GsPeerAddress *from)
{
  const GsPeerAddress *known = g_hash_table_lookup (core->peers_by_origin, &origin);

  if (known != NULL && known->ipv4 == from->ipv4 && known->peer_port == from->peer_port)
    return;
  g_hash_table_replace (core->peers_by_origin, g_memdup2 (&origin, sizeof origin),
                        g_memdup2 (from, sizeof *from));
}

void
scheduling_receive_slot_request (GsCore *core,
                                 uint64_t pool,
                                 const GsSlotRequest *slot_request,
                                 const GsPeerAddress *from)
{
  PoolState *state = find_pool_state (core, pool);

  if (state == NULL)
    return; /* not in this daemon's tables yet; the origin tries the next home */
  store_origin_address (core, slot_request->origin, from);
  slice_request (core, state, slot_request);
  deliver_replies (core, state);
}

static void
release_in_pool (GsCore *core, PoolState *state, const GsSlotResult *result)
{
  if (state->scheduler == NULL)
    return;
  gs_scheduler_release (state->scheduler, result, core->now_us);
  deliver_replies (core, state);
}

void
scheduling_submit (GsCore *core, PoolState *state, const GsSlotRequest *slot_request)
{
  gs_scheduler_request (scheduling_get_scheduler (core, state), slot_request, core->now_us);
  deliver_replies (core, state);
}

/* A result without a pool releases its grant in whichever pool holds it. */
static void
release_in_all_pools (GsCore *core, const GsSlotResult *result)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    release_in_pool (core, value, result);
  for (guint i = 0; i < core->slices->len; i++)
    release_in_pool (core, g_ptr_array_index (core->slices, i), result);
}

void
scheduling_receive_slot_result (GsCore *core, uint64_t pool, const GsSlotResult *result)
{
  PoolState *state = pool != 0 ? find_pool_state (core, pool) : NULL;

  if (pool == 0)
    release_in_all_pools (core, result);
  if (state == NULL)
    return;
  gs_scheduler_release (scheduling_get_scheduler (core, state), result, core->now_us);
  deliver_replies (core, state);
}

static void
sync_pool (GsCore *core, PoolState *state)
{
  if (state->scheduler == NULL)
    return;
  sync_upstreams (core, state);
  deliver_replies (core, state);
}

void
scheduling_sync_upstreams (GsCore *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sync_pool (core, value);
  for (guint i = 0; i < core->slices->len; i++)
    sync_pool (core, g_ptr_array_index (core->slices, i));
}

void
scheduling_receive_retry_account (GsCore *core,
                                  uint64_t pool,
                                  uint64_t origin,
                                  const GsRetryAccount *account)
{
  PoolState *state = find_pool_state (core, pool);

  if (state != NULL)
    gs_scheduler_apply_retries (scheduling_get_scheduler (core, state), origin, account,
                                core->now_us);
}

/* Sends the account of the retries allowed here to the pool's other homes. */
static void
send_retry_account (GsCore *core, PoolState *state)
{
  GsRetryAccount account;

  if (!gs_scheduler_report_retries (state->scheduler, core->now_us, &account))
    return;
  core_refresh_homes (core, state);
  for (uint32_t i = 0; i < MIN (state->n_homes, SCHEDULING_ACCOUNT_HOMES); i++)
    {
      GsEffect *effect;
      if (state->homes[i] == 0)
        continue;
      effect = core_add_effect (core, GS_EFFECT_RETRY_ACCOUNT);
      effect->to = core_peer_address (gs_members_get (core->members, state->homes[i]));
      effect->retry_account.pool = state->key;
      effect->retry_account.origin = core->origin;
      effect->retry_account.account = account;
    }
}

static void
tick_pool (GsCore *core, PoolState *state, bool account_due)
{
  if (state->scheduler == NULL)
    return;
  gs_scheduler_set_retry_slack (state->scheduler, retry_slack (core, state));
  if (state->whole != NULL) /* the division changes with the members */
    sync_upstreams (core, state);
  gs_scheduler_tick (state->scheduler, core->now_us);
  deliver_replies (core, state);
  if (account_due)
    send_retry_account (core, state);
}

void
scheduling_tick (GsCore *core)
{
  bool account_due = core->now_us >= core->retry_accounts_due_us;
  GHashTableIter iter;
  gpointer value;

  core->tick_gap_us = core->now_us - core->last_tick_us;
  core->last_tick_us = core->now_us;
  if (gs_registry_tick (core->registry, core->now_us))
    scheduling_sync_upstreams (core);
  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    tick_pool (core, value, account_due);
  for (guint i = 0; i < core->slices->len; i++)
    tick_pool (core, g_ptr_array_index (core->slices, i), account_due);
  slice_tick (core);
  if (account_due)
    core->retry_accounts_due_us = core->now_us + SCHEDULING_ACCOUNT_PERIOD_US;
  check_slot_requests (core);
}

int64_t
gs_core_next_tick_us (const GsCore *core)
{
  GHashTableIter iter;
  gpointer value;

  if (core->n_slot_requests > 0)
    return SCHEDULING_BUSY_TICK_US;
  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PoolState *state = value;
      if (state->pool != NULL)
        return GS_CORE_TICK_US;
      if (state->scheduler != NULL && gs_scheduler_queue_length (state->scheduler) > 0)
        return SCHEDULING_BUSY_TICK_US;
    }
  for (guint i = 0; i < core->slices->len; i++)
    {
      const PoolState *state = g_ptr_array_index (core->slices, i);
      if (state->scheduler != NULL && gs_scheduler_queue_length (state->scheduler) > 0)
        return SCHEDULING_BUSY_TICK_US;
    }
  return quota_next_tick_us (core, SCHEDULING_IDLE_TICK_US);
}
