/* Requests to pools whose upstreams register themselves: asks for slots, grants, ends. */
#include "core_private.h"

#include <string.h>

enum
{
  PLACING_ATTEMPTS_MAX = 5, /* attempts of one request, those that reached nobody included */
  PLACING_STATUS_UNAVAILABLE = 503,
  PLACING_STATUS_BAD_GATEWAY = 502,
  PLACING_STATUS_TIMEOUT = 504,
  PLACING_RETRY_MS = 150,   /* return of a refused request that has no better time */
  PLACING_TOLD_HOMES = 2,   /* homes that are told the accounts of repeats */
  PLACING_UNTOLD_SLACK = 4, /* part of the slack that a home has until it was told: a fourth */
};

/** Wait for the reply to an ask: a round trip between failure domains takes some ms, and a slow
 * daemon some tens. */
#define PLACING_REPLY_US (120 * GS_US_PER_MS)
/** An ask without a reply is sent again after this, since a datagram may be lost. */
#define PLACING_RESEND_US (50 * GS_US_PER_MS)
/** An ask that waits for a slot is repeated this often, which shows that both ends live. */
#define PLACING_REPEAT_US (250 * GS_US_PER_MS)
/** Period at which the homes are told the accounts of repeats, and time after which a new first
 * home has been told them. */
#define PLACING_TELL_US (500 * GS_US_PER_MS)
#define PLACING_TOLD_US (2 * GS_US_PER_S)
/** Ticks are due this soon while a reply may be overdue or a slot may have to be given, else that.
 */
#define PLACING_BUSY_TICK_US (25 * GS_US_PER_MS)
#define PLACING_IDLE_TICK_US (100 * GS_US_PER_MS)

static const GsPoolRow *
row_of (const GsCore *core, const PoolState *state)
{
  return gs_table_pool (core->table, state->workspace, state->name);
}

typedef struct
{
  GsPlacer *placer;
  int64_t now_us;
} Update;

static void
set_upstream (const GsRegistration *registration,
              GsRegisteredState state,
              int64_t read_us,
              void *data)
{
  Update *update = data;

  gs_placer_set_upstream (update->placer, registration, state, read_us, update->now_us);
}

static void
update_placer (GsCore *core, PoolState *state)
{
  Update update = { .placer = state->scheduler, .now_us = core->now_us };
  uint64_t epoch = gs_registry_epoch (core->registry);

  if (state->registry_epoch == epoch)
    return;
  state->registry_epoch = epoch;
  gs_placer_begin_update (state->scheduler);
  gs_registry_foreach (core->registry, state->name, set_upstream, &update);
  gs_placer_end_update (state->scheduler, core->now_us);
}

/* Part of the members known here that are alive: less than all while this daemon may be cut off. */
static double
share_alive (const GsCore *core)
{
  uint32_t count = gs_members_count (core->members);
  uint32_t alive = 0;

  for (uint32_t i = 0; i < count; i++)
    alive += gs_members_get (core->members, i)->state != GS_MEMBER_DEAD ? 1 : 0;
  return (double)alive / MAX (count, 1);
}

/* This daemon's part of the pool's slack: the first home has it, a fourth until it has been told
 * what other placers allowed. Of two that hold themselves to be first, each sees the other's part
 * of the fleet as dead. */
static uint32_t
slack_of (GsCore *core, PoolState *state)
{
  double slack = core->options.retry_budget.slack * share_alive (core);

  core_refresh_homes (core, state);
  if (state->n_homes > 0 && state->homes[0] != 0)
    {
      state->first_home_since_us = 0;
      return 0;
    }
  if (state->first_home_since_us == 0)
    state->first_home_since_us = core->now_us;
  if (core->now_us - state->first_home_since_us < PLACING_TOLD_US)
    slack /= PLACING_UNTOLD_SLACK;
  return (uint32_t)slack;
}

/* The pool's placer at this daemon, which has it from now on. */
static GsPlacer *
placer_of (GsCore *core, PoolState *state)
{
  GsPlacerOptions options = { .pool = state->name,
                              .seed = gs_random_next (&core->random),
                              .budget = core->options.retry_budget };

  if (state->scheduler == NULL)
    {
      state->scheduler = gs_placer_new (&options);
      gs_placer_set_slack (state->scheduler, slack_of (core, state));
      state->registry_epoch = UINT64_MAX;
    }
  update_placer (core, state);
  return state->scheduler;
}

static void
report_changes (GsCore *core, PoolState *state)
{
  GsBeliefChange change;

  while (gs_placer_next_change (state->scheduler, &change))
    core_log_event (core, GS_NOTICE_BELIEF_CHANGED,
                    "pool=%s upstream=%s belief=%s failing_ppm=%u after=%s by=%s", state->name,
                    change.upstream_id, change.failing ? "failing" : "sound", change.failing_ppm,
                    gs_outcome_name (change.outcome), change.by_age ? "age" : "end");
}

static void
report_budget (GsCore *core, PoolState *state)
{
  GsRepeatsView view;

  if (gs_placer_next_budget (state->scheduler, core->now_us, &view))
    core_log_event (core, GS_NOTICE_BUDGET_REACHED,
                    "pool=%s first_home=%s requests=%u repeats=%u debts=%u placers=%u slack=%u",
                    state->name, state->n_homes == 0 || state->homes[0] == 0 ? "yes" : "no",
                    view.requests, view.repeats, view.debts, view.placers, view.slack);
}

/* Hands out the replies that the placer has decided. */
static void
pump (GsCore *core, PoolState *state)
{
  static const GsPeerAddress here = { 0 };
  GsPlaceReply reply;

  report_changes (core, state);
  report_budget (core, state);
  while (gs_placer_next (state->scheduler, &reply))
    {
      const GsPeerAddress *to = g_hash_table_lookup (core->peers_by_origin, &reply.origin);
      if (reply.origin == core->origin)
        scheduling_receive_slot_reply (core, &reply, &here);
      else if (to != NULL)
        {
          GsEffect *effect = core_add_effect (core, GS_EFFECT_SLOT_REPLY);
          effect->to = *to;
          effect->slot_reply = reply;
        }
    }
}

static bool
is_silent (const Request *request, uint64_t member)
{
  for (uint8_t i = 0; i < request->n_silent_schedulers; i++)
    if (request->silent_schedulers[i] == member)
      return true;
  return false;
}

/* The daemon to ask: the first home that can be reached and did not stay silent; NULL: this one. */
static const GsMemberFact *
pick_placer (GsCore *core, const Request *request)
{
  PoolState *state = request->pool;

  core_refresh_homes (core, state);
  if (request->n_silent_schedulers >= CORE_SILENT_SCHEDULERS_MAX)
    return NULL;
  for (uint32_t i = 0; i < state->n_homes; i++)
    {
      const GsMemberFact *member = gs_members_get (core->members, state->homes[i]);
      if (state->homes[i] == 0)
        return NULL;
      if (gs_members_reachable (core->members, state->homes[i])
          && !is_silent (request, gs_hash_name (member->id)))
        return member;
    }
  return NULL;
}

static GsPlaceAsk
make_ask (const GsCore *core, const Request *request)
{
  GsPlaceAsk ask = { .origin = core->origin,
                     .token = request->slot_token,
                     .domain = gs_hash_name (core->options.self.failure_domain),
                     .flow = request->flow,
                     .fingerprint = request->fingerprint,
                     .repeat = request->repeat,
                     .priority = request->priority,
                     .again = request->reached_upstream,
                     .last = request->n_executions + 1 >= request->max_executions,
                     .deadline_us = request->deadline_us,
                     .target_us = request->target_us };

  if (request->phase == REQUEST_RUNNING)
    ask.running = request->grant;
  g_strlcpy (ask.label, request->label, sizeof ask.label);
  for (uint8_t i = 0; i < request->n_tried && ask.n_tried < GS_PLACE_TRIED_MAX; i++)
    ask.tried[ask.n_tried++] = request->tried[i];
  return ask;
}

static void
set_asking (GsCore *core, Request *request, bool asking)
{
  if (request->slot_request_pending != asking)
    core->n_slot_requests += asking ? 1 : -1;
  request->slot_request_pending = asking;
}

static void
send_ask (GsCore *core, Request *request, const GsMemberFact *to)
{
  GsEffect *effect = core_add_effect (core, GS_EFFECT_SLOT_REQUEST);

  effect->to = core_peer_address (to);
  effect->slot_request.pool = request->pool->key;
  effect->slot_request.request = make_ask (core, request);
}

/* Asks for a slot, and leaves the request's phase as it is. */
static void
ask (GsCore *core, Request *request)
{
  const GsMemberFact *placer = pick_placer (core, request);
  GsPlaceAsk own;

  set_asking (core, request, true);
  request->slot_token = ++core->next_slot_token;
  request->slot_reply_due_us = core->now_us + PLACING_REPLY_US;
  request->slot_request_queued = false;
  request->scheduler_hash = placer != NULL ? gs_hash_name (placer->id) : 0;
  if (placer != NULL)
    {
      request->slot_request_resend_us = core->now_us + PLACING_RESEND_US;
      send_ask (core, request, placer);
      return;
    }
  own = make_ask (core, request);
  gs_placer_ask (placer_of (core, request->pool), &own, core->now_us);
  pump (core, request->pool);
}

/* Asks for a slot at the pool's placer. */
void
scheduling_request_slot (GsCore *core, Request *request)
{
  request->phase = REQUEST_AWAITING_SLOT;
  ask (core, request);
}

static const GsMemberFact *
asked_member (GsCore *core, const Request *request)
{
  for (uint32_t i = 1; i < gs_members_count (core->members); i++)
    if (gs_hash_name (gs_members_get (core->members, i)->id) == request->scheduler_hash)
      return gs_members_get (core->members, i);
  return NULL;
}

static GsEffect *
send_end (GsCore *core, uint64_t pool, const GsPlaceEnd *end, const GsPeerAddress *to)
{
  GsEffect *effect = core_add_effect (core, GS_EFFECT_SLOT_RESULT);

  effect->to = *to;
  effect->slot_result.pool = pool;
  effect->slot_result.result = *end;
  return effect;
}

/* Takes an ask back that is not wanted any more. */
void
scheduling_cancel_slot_request (GsCore *core, Request *request)
{
  const GsMemberFact *placer = request->scheduler_hash != 0 ? asked_member (core, request) : NULL;
  GsPlaceEnd end = { .origin = core->origin, .token = request->slot_token };
  GsPeerAddress to;

  if (!request->slot_request_pending)
    return;
  set_asking (core, request, false);
  if (request->scheduler_hash == 0)
    {
      gs_placer_end (placer_of (core, request->pool), &end, core->now_us);
      pump (core, request->pool);
    }
  else if (placer != NULL)
    {
      to = core_peer_address (placer);
      send_end (core, request->pool->key, &end, &to);
    }
}

static Request *
find_asking (GsCore *core, uint64_t token)
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
is_here (const GsPeerAddress *address)
{
  return address->ipv4 == 0;
}

/* Gives a slot back that nobody waits for any more. */
static void
return_grant (GsCore *core, const GsPlaceReply *reply, const GsPeerAddress *from)
{
  GsPlaceEnd end = { .origin = core->origin,
                     .token = reply->token,
                     .grant = reply->grant,
                     .upstream = reply->upstream,
                     .outcome = GS_OUTCOME_CANCELLED };

  if (!is_here (from))
    send_end (core, 0, &end, from);
}

static void
start_placed (GsCore *core, Request *request, const GsPlaceReply *reply, const GsPeerAddress *from)
{
  const GsMemberFact *placer = asked_member (core, request);
  Attempt *attempt;
  GsAttemptEffect *effect;

  set_asking (core, request, false);
  if (request->phase == REQUEST_RUNNING) /* the late one may have run */
    {
      request->n_executions++;
      request->reached_upstream = true;
    }
  request->holds_answer = false;
  attempt = request_start_attempt (core, request, reply->upstream, reply->upstream_id);
  attempt->grant = reply->grant;
  request->grant = reply->grant;
  attempt->token = reply->token;
  attempt->is_retry = request->reached_upstream;
  attempt->scheduler = *from;
  effect = request_emit_attempt (core, request, attempt);
  effect->ipv4 = reply->ipv4;
  effect->port = reply->port;
  effect->timeout_us = request->deadline_us - core->now_us;
  effect->late_us = reply->attempt_timeout_us < effect->timeout_us ? reply->attempt_timeout_us : 0;
  core_log_event (
      core, GS_NOTICE_PLACED,
      "request=%" G_GUINT64_FORMAT
      " id=%s pool=%s chose=%s reason=%s failing_ppm=%u evidence_age_ms=%u outstanding=%u "
      "placer=%s attempt=%u again=%s waited_us=%" G_GINT64_FORMAT " asked_us=%" G_GINT64_FORMAT,
      request->id, request->label, request->pool->name, reply->upstream_id, reply->reason,
      reply->failing_ppm, reply->evidence_age_ms, reply->outstanding,
      placer != NULL ? placer->id : "here", request->n_attempts, attempt->is_retry ? "yes" : "no",
      reply->waited_us, core->now_us - request->arrived_us);
}

/* Ends a request for which there is no further attempt, with what is known of it. */
static void
end_unplaced (GsCore *core, Request *request, const char *reason, uint32_t retry_after_ms)
{
  uint16_t status = PLACING_STATUS_BAD_GATEWAY;

  if (request->holds_answer)
    {
      request_send_answer (core, request, GS_OUTCOME_ERROR);
      return;
    }
  request->retry_after_ms = retry_after_ms != 0 ? retry_after_ms : PLACING_RETRY_MS;
  if (request->worst_verdict == GS_VERDICT_NOT_RUN)
    status = PLACING_STATUS_UNAVAILABLE;
  else if (request->deadline_us <= core->now_us)
    status = PLACING_STATUS_TIMEOUT;
  request_fail (core, request, status, reason);
}

void
scheduling_receive_slot_reply (GsCore *core, const GsPlaceReply *reply, const GsPeerAddress *from)
{
  Request *request = reply->origin == core->origin ? find_asking (core, reply->token) : NULL;

  if (request == NULL)
    {
      if (reply->verdict == GS_PLACE_GRANTED)
        return_grant (core, reply, from);
      return;
    }
  if (request->phase == REQUEST_RUNNING && reply->verdict != GS_PLACE_GRANTED)
    {
      core_log_event (core, GS_NOTICE_LATE_KEPT,
                      "request=%" G_GUINT64_FORMAT
                      " id=%s pool=%s reason=%s attempt=%u age_us=%" G_GINT64_FORMAT,
                      request->id, request->label, request->pool->name, reply->reason,
                      request->n_attempts, core->now_us - request->arrived_us);
      scheduling_cancel_slot_request (core, request); /* the late attempt goes on alone */
      return;
    }
  switch (reply->verdict)
    {
    case GS_PLACE_GRANTED:
      start_placed (core, request, reply, from);
      break;
    case GS_PLACE_WAITING:
      if (!request->slot_request_queued)
        core_log_event (core, GS_NOTICE_QUEUED,
                        "request=%" G_GUINT64_FORMAT " id=%s pool=%s length=%u", request->id,
                        request->label, request->pool->name, reply->waiting);
      request->slot_request_queued = true;
      request->slot_request_resend_us = 0;
      request->slot_reply_due_us = core->now_us + PLACING_REPEAT_US;
      break;
    case GS_PLACE_REFUSED:
      set_asking (core, request, false);
      end_unplaced (core, request, reply->reason, reply->retry_after_ms);
      break;
    }
}

/* The placer did not reply in time: asks the next one. */
static void
ask_elsewhere (GsCore *core, Request *request)
{
  const GsMemberFact *placer = asked_member (core, request);

  core_log_event (core, GS_NOTICE_PLACER_SILENT,
                  "request=%" G_GUINT64_FORMAT
                  " id=%s pool=%s asked=%s tick_gap_us=%" G_GINT64_FORMAT,
                  request->id, request->label, request->pool->name,
                  placer != NULL ? placer->id : "-", core->tick_gap_us);
  scheduling_cancel_slot_request (core, request);
  if (placer != NULL)
    gs_members_note_path (core->members, placer->id, false, core->now_us);
  if (request->n_silent_schedulers < CORE_SILENT_SCHEDULERS_MAX)
    request->silent_schedulers[request->n_silent_schedulers++] = request->scheduler_hash;
  scheduling_request_slot (core, request);
}

static void
resend_ask (GsCore *core, Request *request)
{
  const GsMemberFact *placer;

  if (request->slot_request_resend_us == 0 || core->now_us < request->slot_request_resend_us)
    return;
  request->slot_request_resend_us = 0;
  placer = asked_member (core, request);
  if (placer != NULL)
    send_ask (core, request, placer);
}

static void
judge_ask (GsCore *core, Request *request)
{
  const GsMemberFact *placer;

  if (request->phase != REQUEST_AWAITING_SLOT || request->scheduler_hash == 0)
    return;
  if (core->now_us < request->slot_reply_due_us)
    {
      resend_ask (core, request);
      return;
    }
  placer = request->slot_request_queued ? asked_member (core, request) : NULL;
  if (placer == NULL)
    {
      ask_elsewhere (core, request);
      return;
    }
  request->slot_request_queued = false;
  request->slot_reply_due_us = core->now_us + PLACING_REPLY_US;
  request->slot_request_resend_us = core->now_us + PLACING_RESEND_US;
  send_ask (core, request, placer);
}

static void
judge_asks (GsCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_autoptr (GPtrArray) asking = g_ptr_array_new ();

  if (core->n_slot_requests == 0)
    return;
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Request *)value)->slot_request_pending)
      g_ptr_array_add (asking, &((Request *)value)->id);
  for (guint i = 0; i < asking->len; i++)
    {
      uint64_t id = *(uint64_t *)g_ptr_array_index (asking, i);
      Request *request = request_find (core, id);
      if (request != NULL)
        judge_ask (core, request);
    }
}

static GsPlaceEnd
make_end (const GsCore *core, const Attempt *attempt, const GsAttemptEndEvent *event, uint64_t flow)
{
  return (GsPlaceEnd){ .origin = core->origin,
                       .token = attempt->token,
                       .grant = attempt->grant,
                       .upstream = attempt->upstream,
                       .flow = flow,
                       .outcome = event->outcome,
                       .answer_us = core->now_us - attempt->started_us,
                       .bytes = event->bytes,
                       .has_load = event->has_load,
                       .running = event->running,
                       .waiting = event->waiting };
}

/* Tells the placer how an attempt ended, and the next home, which takes over when it is lost. */
static void
tell_end (GsCore *core, const Attempt *attempt, const GsPlaceEnd *end)
{
  PoolState *state = attempt->pool;
  uint32_t told = 0;

  if (is_here (&attempt->scheduler))
    {
      gs_placer_end (placer_of (core, state), end, core->now_us);
      pump (core, state);
    }
  else
    send_end (core, state->key, end, &attempt->scheduler);
  core_refresh_homes (core, state);
  for (uint32_t i = 0; i < state->n_homes && told < 1; i++)
    {
      GsPeerAddress home = core_peer_address (gs_members_get (core->members, state->homes[i]));
      if (home.ipv4 == attempt->scheduler.ipv4 && home.peer_port == attempt->scheduler.peer_port)
        continue;
      if (state->homes[i] != 0)
        send_end (core, state->key, end, &home)->slot_result.duplicate = true;
      else if (!is_here (&attempt->scheduler))
        {
          gs_placer_end (placer_of (core, state), end, core->now_us);
          pump (core, state);
        }
      told++;
    }
}

static bool
may_ask_again (const GsCore *core, const Request *request, GsOutcome outcome)
{
  bool not_run = gs_outcome_verdict (outcome) == GS_VERDICT_NOT_RUN;

  return (not_run || request->repeat == GS_REPEAT_SAFE) && request->permit.kind == GS_PERMIT_NONE
         && request->n_attempts < PLACING_ATTEMPTS_MAX
         && request->n_executions < request->max_executions && request->deadline_us > core->now_us;
}

void
scheduling_attempt_end (GsCore *core,
                        Request *request,
                        const Attempt *attempt,
                        const GsAttemptEndEvent *event)
{
  GsPlaceEnd end = make_end (core, attempt, event, request != NULL ? request->flow : 0);

  tell_end (core, attempt, &end);
  if (request == NULL || request->attempt != attempt->id)
    return; /* another attempt took its place */
  scheduling_cancel_slot_request (core, request);
  request->worst_verdict = MAX (request->worst_verdict, gs_outcome_verdict (event->outcome));
  request->n_executions += gs_outcome_verdict (event->outcome) == GS_VERDICT_NOT_RUN ? 0 : 1;
  request->reached_upstream = request->reached_upstream || event->outcome != GS_OUTCOME_UNREACHABLE;
  request->holds_answer = event->outcome == GS_OUTCOME_ERROR;
  request->n_silent_schedulers = 0;
  if (event->outcome == GS_OUTCOME_CANCELLED)
    request_remove (core, request);
  else if (event->outcome == GS_OUTCOME_OK || event->committed)
    request_send_answer (core, request, event->outcome);
  else if (may_ask_again (core, request, event->outcome))
    {
      core_log_event (core, GS_NOTICE_RETRIED,
                      "request=%" G_GUINT64_FORMAT " id=%s pool=%s after=%s outcome=%s attempt=%u",
                      request->id, request->label, request->pool->name, attempt->target,
                      gs_outcome_name (event->outcome), request->n_attempts);
      scheduling_request_slot (core, request);
    }
  else if (event->outcome == GS_OUTCOME_ERROR)
    request_send_answer (core, request, event->outcome);
  else
    end_unplaced (core, request, gs_outcome_name (event->outcome), PLACING_RETRY_MS);
}

/* An attempt is late, or still is: where it may be made elsewhere, asks for a slot; the late one
 * goes on until it is granted. */
void
scheduling_attempt_late (GsCore *core, uint64_t id)
{
  const Attempt *attempt = g_hash_table_lookup (core->attempts, &id);
  Request *request = attempt != NULL ? request_find (core, attempt->request) : NULL;

  if (request == NULL || request->attempt != id || request->phase != REQUEST_RUNNING
      || request->slot_request_pending || core->stopping || request->repeat != GS_REPEAT_SAFE
      || request->n_attempts >= PLACING_ATTEMPTS_MAX
      || request->n_executions + 1 >= request->max_executions)
    return;
  request->n_executions++;
  request->reached_upstream = true;
  ask (core, request);
  request->n_executions--;
}

static PoolState *
state_of_key (GsCore *core, uint64_t key)
{
  PoolState *state = g_hash_table_lookup (core->pools, &key);

  if (state != NULL && row_of (core, state) != NULL)
    return state;
  return NULL;
}

static void
touch_pools (const GsDocument *document, void *data)
{
  for (uint32_t i = 0; i < document->n_pools; i++)
    if (document->pools[i].registered)
      core_pool_state (data, &document->pools[i]);
}

void
scheduling_tables_changed (GsCore *core)
{
  gs_table_foreach (core->table, touch_pools, core);
}

static void
remember_origin (GsCore *core, uint64_t origin, const GsPeerAddress *from)
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
                                 const GsPlaceAsk *ask,
                                 const GsPeerAddress *from)
{
  PoolState *state = state_of_key (core, pool);

  if (state == NULL)
    return; /* not in the tables here yet; the origin asks the next home */
  remember_origin (core, ask->origin, from);
  gs_placer_ask (placer_of (core, state), ask, core->now_us);
  pump (core, state);
}

/* An end that names no pool gives back a grant of any. */
static void
end_anywhere (GsCore *core, const GsPlaceEnd *end)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PoolState *state = value;
      if (state->scheduler == NULL)
        continue;
      gs_placer_end (state->scheduler, end, core->now_us);
      pump (core, state);
    }
}

void
scheduling_receive_slot_result (GsCore *core, uint64_t pool, const GsPlaceEnd *end)
{
  PoolState *state = pool != 0 ? state_of_key (core, pool) : NULL;

  if (pool == 0)
    end_anywhere (core, end);
  if (state == NULL)
    return;
  gs_placer_end (placer_of (core, state), end, core->now_us);
  pump (core, state);
}

/*
 * Tells what was read here: changes all other daemons, and that there was none those of this
 * failure domain, since each domain has a reader. Changes reach back to the last ones told to all.
 */
static void
spread_news (GsCore *core, const GsRegistryUpdate *news)
{
  bool all = news->complete || news->n_changes > 0;
  uint32_t count = gs_members_count (core->members);
  GsEffect *effect = core_add_effect (core, GS_EFFECT_REGISTRY_UPDATE);

  effect->registry_update.update = *news;
  if (all)
    {
      effect->registry_update.update.from = MIN (news->from, core->registry_sent_to_all);
      core->registry_sent_to_all = news->to;
    }
  effect->registry_update.update.changes
      = g_memdup2 (news->changes, news->n_changes * sizeof *news->changes);
  effect->registry_update.recipients = g_new (GsPeerAddress, count);
  effect->registry_update.n_recipients = 0;
  for (uint32_t i = 1; i < count; i++)
    {
      const GsMemberFact *member = gs_members_get (core->members, i);
      if (member->state != GS_MEMBER_DEAD
          && (all || strcmp (member->failure_domain, core->options.self.failure_domain) == 0))
        effect->registry_update.recipients[effect->registry_update.n_recipients++]
            = core_peer_address (member);
    }
}

static void
note_changes (GsCore *core, const GsRegistryUpdate *news)
{
  for (uint32_t i = 0; i < news->n_changes; i++)
    {
      const GsRegistration *row = &news->changes[i].registration;
      GsRegisteredState state = gs_registry_state (core->registry, row->id, row->started_ms);
      core_log_event (core, GS_NOTICE_REGISTRATION_CHANGED,
                      "upstream=%s pool=%s state=%s slots=%u warmup_ms=%u offset=%" G_GUINT64_FORMAT
                      " store=%s settled_ms=%" G_GINT64_FORMAT,
                      row->id, news->changes[i].present ? row->pool : "-",
                      gs_registered_state_name (state), row->slots, row->warmup_left_ms,
                      news->changes[i].offset, news->store.away ? "away" : "answers",
                      MIN (news->store.settled_us / GS_US_PER_MS, 999999));
    }
}

static void
update_placers (GsCore *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PoolState *state = value;
      if (state->scheduler == NULL)
        continue;
      update_placer (core, state);
      pump (core, state);
    }
}

void
scheduling_receive_registry_update (GsCore *core,
                                    const GsRegistryUpdate *news,
                                    const GsPeerAddress *from)
{
  uint64_t position = gs_registry_position (core->registry);
  bool changed = false;

  if (!news->complete && news->from > position)
    {
      if (!is_here (from))
        core_add_effect (core, GS_EFFECT_PULL_REGISTRY)->to = *from;
      return;
    }
  if (news->complete)
    changed = gs_registry_take_all (core->registry, news->changes, news->n_changes, news->to,
                                    &news->store, core->now_us);
  else
    for (uint32_t i = 0; i < news->n_changes; i++)
      changed = gs_registry_take (core->registry, &news->changes[i], &news->store, core->now_us)
                || changed;
  gs_registry_advance (core->registry, news->to);
  if (news->to >= position && !news->store.away)
    core->registry_updated_us = core->now_us;
  if (changed)
    {
      note_changes (core, news);
      update_placers (core);
    }
  if (news->read_here)
    spread_news (core, news);
}

void
scheduling_receive_retry_account (GsCore *core,
                                  uint64_t pool,
                                  uint64_t origin,
                                  const GsRepeatsAccount *account)
{
  PoolState *state = state_of_key (core, pool);

  if (state != NULL)
    gs_placer_take_repeats (placer_of (core, state), origin, account, core->now_us);
}

/* Tells the pool's homes of the repeats that were allowed here. */
static void
tell_repeats (GsCore *core, PoolState *state)
{
  GsRepeatsAccount account;

  if (!gs_placer_report_repeats (state->scheduler, core->now_us, &account))
    return;
  core_refresh_homes (core, state);
  for (uint32_t i = 0; i < MIN (state->n_homes, PLACING_TOLD_HOMES); i++)
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

void
scheduling_tick (GsCore *core)
{
  bool telling = core->now_us >= core->retry_accounts_due_us;
  GHashTableIter iter;
  gpointer value;

  core->tick_gap_us = core->now_us - core->last_tick_us;
  core->last_tick_us = core->now_us;
  if (gs_registry_tick (core->registry, core->now_us))
    update_placers (core);
  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PoolState *state = value;
      if (state->scheduler == NULL)
        continue;
      gs_placer_set_slack (state->scheduler, slack_of (core, state));
      gs_placer_tick (state->scheduler, core->now_us);
      pump (core, state);
      if (telling)
        tell_repeats (core, state);
    }
  if (telling)
    core->retry_accounts_due_us = core->now_us + PLACING_TELL_US;
  judge_asks (core);
}

int64_t
gs_core_next_tick_us (const GsCore *core)
{
  GHashTableIter iter;
  gpointer value;

  if (core->n_slot_requests > 0)
    return PLACING_BUSY_TICK_US;
  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PoolState *state = value;
      if (state->pool != NULL)
        return GS_CORE_TICK_US;
      if (state->scheduler != NULL && gs_placer_waiting (state->scheduler) > 0)
        return PLACING_BUSY_TICK_US;
    }
  return PLACING_IDLE_TICK_US;
}
