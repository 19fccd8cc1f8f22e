#include "scheduler.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "latency_stats.h"
#include "slot_queue.h"
#include "upstream_set.h"

enum
{
  SCHEDULER_BELIEF_CHANGES_MAX = 64,
  SCHEDULER_RETRY_AFTER_MIN_MS = 60,
  SCHEDULER_RETRY_AFTER_MAX_MS = 3000,
  SCHEDULER_RETRY_AFTER_EMPTY_MS = 400, /* no upstream: one registers within a second */
};

/** Age from which a queued request that was not resent is dropped: its origin has probably
 * stopped. */
#define SCHEDULER_REQUEST_EXPIRY_US (1500 * GS_US_PER_MS)
/** Time past its deadline after which a grant without a result is released: its origin has probably
 * stopped. */
#define SCHEDULER_GRANT_GRACE_US (500 * GS_US_PER_MS)
/** Number of mean durations that must fit between the end of a wait and its limit, at light load
 * and under lasting overload. More than one, since durations vary. */
#define SCHEDULER_MARGIN_LIGHT_LOAD 1.3
#define SCHEDULER_MARGIN_OVERLOAD 2.6
/** The same for a request of a workspace that is queued already. Less than for a new one, so that a
 * small change of the expected wait does not refuse what was just admitted. */
#define SCHEDULER_MARGIN_QUEUED 1.0
/** Part of the time between target and deadline that a wait may use up at light load. */
#define SCHEDULER_LATE_SHARE 0.8
/** Load up to which a backlog is expected to drain, and from which it is not. */
#define SCHEDULER_LOAD_LIGHT 0.9
#define SCHEDULER_LOAD_OVERLOAD 1.3
/** Time constant of the average of arrivals. */
#define SCHEDULER_ARRIVAL_DECAY_S 3.0
/** A request waits for a healthy upstream while this many mean durations are left to its target.
 */
#define SCHEDULER_URGENT_DURATIONS 1.3
/** Shortest wait for an answer before a retryable request is sent to another upstream. */
#define SCHEDULER_ATTEMPT_TIMEOUT_MIN_US (400 * GS_US_PER_MS)
/** An attempt that has run for so many times the limit of slow answers may be replaced whatever its
 * upstream: a tenth of the slow answers of a healthy server take longer. */
#define SCHEDULER_STUCK_FACTOR 2
/** A deadline that comes with a repeated slot request and is this much earlier has been moved up.
 * Less is the difference between the delays of two messages. */
#define SCHEDULER_SHORTENED_US (100 * GS_US_PER_MS)
/** Part of the time left that an attempt may take while mean durations are unknown. */
#define SCHEDULER_ATTEMPT_TIMEOUT_SHARE 0.6
/** Shortest time between two reports that the retry budget is used up. */
#define SCHEDULER_BUDGET_REPORT_INTERVAL_US GS_US_PER_S
/** A slice may queue so many times its part of the pool's queue, since demand is uneven: with 1 it
 * refused part of a peak that the pool could serve, with 2 requests waited too long in overload. */
#define SCHEDULER_QUEUE_SHARE_FACTOR 1.5
/** Spread of retry_after_ms, as part of the expected wait. */
#define SCHEDULER_RETRY_AFTER_SPREAD 0.6
/** Spread of the same after a quiet time, as part of that time. */
#define SCHEDULER_QUIET_SPREAD 0.25

typedef struct
{
  uint64_t id;
  uint64_t request_key; /* key of the slot request */
  GsSlotReply reply;    /* sent again when the slot request is */
  uint64_t flow;
  uint64_t fingerprint;
  uint64_t charged_workspace; /* 0: not charged */
  int64_t started_us;
  int64_t deadline_us;
  bool age_observed; /* its age has been counted against the upstream */
  bool by_cost;
  GsCostKey cost_key;
  double typical_us; /* estimate; 0: not placed by cost, or unknown */
} Grant;

struct GsScheduler
{
  GsSchedulerOptions options;
  char *pool;
  GsAdmission *admission; /* NULL: none */
  GsUpstreamSet *upstreams;
  GsLatencyStats durations;
  GsRetryBudget *retry_budget;
  bool budget_reached; /* a retry was refused since the last budget report */
  int64_t budget_reported_us;
  GsLostRequests *lost_requests;
  GsSlotQueue *queue;
  GHashTable *grants;            /* id -> Grant */
  GHashTable *grants_by_request; /* key of the slot request -> Grant, not owned */
  GQueue replies;                /* of GsSlotReply */
  GQueue belief_changes;         /* of GsBeliefChange */
  uint64_t next_grant;
  GsRandom random;
  double arrival_count; /* slot requests for a first attempt, decaying */
  int64_t arrivals_us;
  GsCostModel *cost_model; /* NULL: placement by count */
};

const char *
gs_slot_reason (const char *reason)
{
  static const char *const reasons[] = {
    "least-expected-loss",
    "least-expected-end",
    "fresh-evidence",
    "idle",
    "pressing",
    "no-free-slot",
    "no-slot-in-time",
    "no-other-upstream",
    "queue-full",
    "deadline-out-of-reach",
    "crashes-upstreams",
    "repeat-budget",
    "no-upstream",
    "attempt-may-finish",
    "upstreams-quiet",
    "other-slice",
    "over-quota",
    "awaiting-quota",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (strcmp (reasons[i], reason) == 0)
      return reasons[i];
  return "other";
}

GsScheduler *
gs_scheduler_new (const GsSchedulerOptions *options)
{
  GsScheduler *scheduler = g_new0 (GsScheduler, 1);

  scheduler->options = *options;
  scheduler->pool = g_strdup (options->pool);
  scheduler->upstreams = gs_upstream_set_new (gs_mix64 (options->seed + 1));
  scheduler->retry_budget = gs_retry_budget_new (&options->budget);
  scheduler->lost_requests = gs_lost_requests_new (options->is_slice);
  scheduler->queue = gs_slot_queue_new ();
  scheduler->grants = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  scheduler->grants_by_request = g_hash_table_new (g_int64_hash, g_int64_equal);
  scheduler->random.state = options->seed;
  scheduler->next_grant = gs_mix64 (options->seed + 2);
  if (options->placement != GS_PLACEMENT_COUNT)
    scheduler->cost_model = gs_cost_model_new ();
  g_queue_init (&scheduler->replies);
  g_queue_init (&scheduler->belief_changes);
  return scheduler;
}

void
gs_scheduler_free (GsScheduler *scheduler)
{
  if (scheduler == NULL)
    return;
  gs_upstream_set_free (scheduler->upstreams);
  gs_retry_budget_free (scheduler->retry_budget);
  gs_lost_requests_free (scheduler->lost_requests);
  gs_slot_queue_free (scheduler->queue);
  g_hash_table_destroy (scheduler->grants_by_request);
  g_hash_table_destroy (scheduler->grants);
  g_queue_clear_full (&scheduler->replies, g_free);
  g_queue_clear_full (&scheduler->belief_changes, g_free);
  gs_cost_model_free (scheduler->cost_model);
  g_free (scheduler->pool);
  g_free (scheduler);
}

void
gs_scheduler_set_retry_slack (GsScheduler *scheduler, uint32_t slack)
{
  gs_retry_budget_set_slack (scheduler->retry_budget, slack);
}

void
gs_scheduler_set_pool_share (GsScheduler *scheduler, double share)
{
  gs_slot_queue_set_max (
      scheduler->queue,
      (uint32_t)(GS_SCHEDULER_QUEUE_MAX * MIN (share * SCHEDULER_QUEUE_SHARE_FACTOR, 1)));
  gs_upstream_set_set_pool_share (scheduler->upstreams, share);
}

void
gs_scheduler_set_admission (GsScheduler *scheduler, GsAdmission *admission)
{
  scheduler->admission = admission;
}

void
gs_scheduler_begin_update (GsScheduler *scheduler)
{
  gs_upstream_set_begin_update (scheduler->upstreams);
}

void
gs_scheduler_set_upstream (GsScheduler *scheduler,
                           const GsRegistration *registration,
                           GsRegistrationState state,
                           int64_t read_us,
                           int64_t now_us)
{
  gs_upstream_set_put (scheduler->upstreams, registration, state, read_us, now_us);
}

static bool
uses_cost (const GsScheduler *scheduler, const GsSlotRequest *request)
{
  return gs_placement_uses_cost (scheduler->options.placement,
                                 gs_upstream_set_slots_max (scheduler->upstreams),
                                 request->workspace);
}

static GsCostKey
cost_key (const GsSlotRequest *request)
{
  return (GsCostKey){ .flow = request->flow,
                      .work_class = request->work_class,
                      .workspace = request->workspace,
                      .body_bytes = request->body_bytes };
}

/* Estimates the cost of a request that has arrived, if it is placed by cost. */
static void
estimate_cost (const GsScheduler *scheduler, GsQueuedSlotRequest *entry)
{
  GsCostKey key = cost_key (&entry->request);

  entry->by_cost = uses_cost (scheduler, &entry->request);
  if (entry->by_cost)
    entry->cost = gs_cost_model_estimate (scheduler->cost_model, &key);
}

/* Time that an answer to a queued request is expected to take. */
static int64_t
expected_us (const GsScheduler *scheduler, const GsQueuedSlotRequest *queued)
{
  if (queued->by_cost && queued->cost.mean_us > 0)
    return (int64_t)queued->cost.mean_us;
  return gs_latency_stats_mean_us (&scheduler->durations, queued->request.flow);
}

/* Mean time of an answer over all requests of the pool, for the wait of REQUEST. */
static int64_t
overall_mean_us (const GsScheduler *scheduler, const GsSlotRequest *request)
{
  double mean_us
      = uses_cost (scheduler, request) ? gs_cost_model_unit_us (scheduler->cost_model) : 0;

  return mean_us > 0 ? (int64_t)mean_us : gs_latency_stats_overall_mean_us (&scheduler->durations);
}

static void
push_reply (GsScheduler *scheduler, const GsSlotReply *reply)
{
  g_queue_push_tail (&scheduler->replies, g_memdup2 (reply, sizeof *reply));
}

static GsSlotReply
make_reply (const GsScheduler *scheduler,
            const GsSlotRequest *request,
            GsSlotVerdict verdict,
            const char *reason)
{
  return (GsSlotReply){ .origin = request->origin,
                        .token = request->token,
                        .verdict = verdict,
                        .reason = reason,
                        .queue_length
                        = (uint16_t)MIN (gs_slot_queue_length (scheduler->queue), UINT16_MAX) };
}

/* Time after which the queued REQUEST should get a slot, by what goes before it. */
static int64_t
expected_wait_us (const GsScheduler *scheduler, const GsSlotRequest *request, int64_t now_us)
{
  return gs_slot_queue_wait_us (scheduler->queue, request, overall_mean_us (scheduler, request),
                                gs_upstream_set_capacity (scheduler->upstreams, now_us));
}

/* Spreads the return of refused requests over the time in which slots are released. */
static uint32_t
retry_after_ms (GsScheduler *scheduler, int64_t wait_us)
{
  double spread = 1 - SCHEDULER_RETRY_AFTER_SPREAD / 2
                  + SCHEDULER_RETRY_AFTER_SPREAD * gs_random_unit (&scheduler->random);
  double wait_ms = (double)wait_us / (double)GS_US_PER_MS * spread;

  return (uint32_t)CLAMP (wait_ms, SCHEDULER_RETRY_AFTER_MIN_MS, SCHEDULER_RETRY_AFTER_MAX_MS);
}

/* A request that was charged leaves the queue without a slot. */
static void
refund (GsScheduler *scheduler, const GsSlotRequest *request)
{
  if (request->charged && scheduler->admission != NULL)
    scheduler->admission->klass->refund (scheduler->admission, request->workspace, false);
}

static void
refuse (GsScheduler *scheduler,
        const GsSlotRequest *request,
        const char *reason,
        uint32_t after_ms,
        int64_t now_us)
{
  GsSlotReply reply = make_reply (scheduler, request, GS_SLOT_REFUSED, reason);

  refund (scheduler, request);
  reply.retry_after_ms = after_ms;
  push_reply (scheduler, &reply);
  if (request->replaced_grant == 0)
    gs_upstream_set_record_served (scheduler->upstreams, false, now_us);
}

static int64_t
attempt_timeout_us (const GsScheduler *scheduler, const GsSlotRequest *request, int64_t now_us)
{
  int64_t left_us = request->deadline_us - now_us;
  int64_t slow_us = gs_latency_stats_slow_threshold_us (&scheduler->durations, request->flow);

  if (request->repeat != GS_REPEAT_SAFE || request->last_attempt)
    return left_us;
  if (slow_us == INT64_MAX)
    return (int64_t)((double)left_us * SCHEDULER_ATTEMPT_TIMEOUT_SHARE);
  return MIN (left_us, MAX (slow_us, SCHEDULER_ATTEMPT_TIMEOUT_MIN_US));
}

static uint64_t
request_key (uint64_t origin, uint64_t token)
{
  return gs_mix64 (origin ^ gs_mix64 (token));
}

static void
add_grant (GsScheduler *scheduler,
           const GsSlotRequest *request,
           const GsSlotReply *reply,
           const GsRequestCost *cost,
           int64_t now_us)
{
  Grant *grant = g_new0 (Grant, 1);

  if (!request->is_retry
      && !request->is_renewed) /* counted at the grant: a slot request may be sent to two homes */
    gs_retry_budget_add_request (scheduler->retry_budget, now_us);
  *grant = (Grant){ .id = reply->grant,
                    .request_key = request_key (request->origin, request->token),
                    .reply = *reply,
                    .flow = request->flow,
                    .fingerprint = request->fingerprint,
                    .started_us = now_us,
                    .deadline_us = request->deadline_us,
                    .by_cost = cost != NULL,
                    .cost_key = cost_key (request),
                    .typical_us = cost != NULL ? cost->typical_us : 0 };
  if (cost != NULL)
    gs_upstream_set_add_work (scheduler->upstreams, reply->upstream,
                              &(GsGrantedWork){ .grant = grant->id,
                                                .started_us = now_us,
                                                .typical_us = cost->typical_us,
                                                .body_bytes = cost->body_bytes });
  if (request->charged && scheduler->admission != NULL)
    {
      grant->charged_workspace = request->workspace;
      scheduler->admission->klass->started (scheduler->admission, request->workspace);
    }
  g_hash_table_insert (scheduler->grants, &grant->id, grant);
  g_hash_table_replace (scheduler->grants_by_request, &grant->request_key, grant);
}

/* Removes the index entry of GRANT's slot request. The grant itself stays. */
static void
unindex_grant (GsScheduler *scheduler, const Grant *grant)
{
  if (g_hash_table_lookup (scheduler->grants_by_request, &grant->request_key) == grant)
    g_hash_table_remove (scheduler->grants_by_request, &grant->request_key);
}

/* Whether a request has no time left to wait for a better upstream. */
static bool
is_urgent (const GsScheduler *scheduler, const GsQueuedSlotRequest *queued, int64_t now_us)
{
  double needed_us = SCHEDULER_URGENT_DURATIONS * (double)expected_us (scheduler, queued);

  return now_us + (int64_t)needed_us > queued->request.target_us;
}

/* Requests of one class may be sent to the same upstreams, unless something holds for one of them
 * only. */
static uint32_t
selection_class (const GsSelectionCriteria *criteria)
{
  return 1U << ((criteria->retryable ? 1 : 0) | (criteria->urgent ? 2 : 0)
                | (criteria->no_probe ? 4 : 0));
}

/* Grants a slot to the request if an acceptable one is free. EXHAUSTED is the set of the classes
 * for which none is; they are not tried again in the same pass over the queue, which would
 * otherwise cost the product of its length and the number of upstreams with each result. */
static bool
try_grant (GsScheduler *scheduler,
           const GsQueuedSlotRequest *queued,
           uint32_t *exhausted,
           int64_t now_us)
{
  const GsSlotRequest *request = &queued->request;
  GsSelectionCriteria criteria
      = { .now_us = now_us,
          .origin = request->origin,
          .domain = request->domain,
          .bytes = gs_latency_stats_mean_bytes (&scheduler->durations, request->flow),
          .retryable = request->repeat == GS_REPEAT_SAFE && !request->last_attempt,
          .urgent = is_urgent (scheduler, queued, now_us),
          .others_waiting = gs_slot_queue_length (scheduler->queue) > 1,
          .no_probe = request->replaced_grant != 0,
          .tried = request->tried,
          .n_tried = request->n_tried,
          .cost = queued->by_cost ? &queued->cost : NULL,
          .held_bytes_max = scheduler->options.held_bytes_max };
  uint32_t class = selection_class (&criteria);
  GsUpstreamInfo selected;
  GsSlotReply reply;

  if ((*exhausted & class) != 0)
    return false;
  if (!gs_upstream_set_select (scheduler->upstreams, &criteria, &selected))
    {
      *exhausted |= selected.restricted ? 0 : class;
      return false;
    }
  reply = make_reply (scheduler, request, GS_SLOT_GRANTED, selected.reason);
  reply.grant = ++scheduler->next_grant;
  reply.upstream = selected.key;
  reply.started_ms = selected.started_ms;
  g_strlcpy (reply.upstream_id, selected.id, sizeof reply.upstream_id);
  reply.ipv4 = selected.ipv4;
  reply.port = selected.port;
  reply.attempt_timeout_us = attempt_timeout_us (scheduler, request, now_us);
  reply.failing_ppm = (uint32_t)(selected.failing * 1e6);
  reply.evidence_age_ms = selected.evidence_age_us < 0
                              ? UINT32_MAX
                              : (uint32_t)(selected.evidence_age_us / GS_US_PER_MS);
  reply.outstanding = (uint16_t)(selected.outstanding + 1);
  reply.waited_us = now_us - queued->arrived_us;
  gs_upstream_set_acquire (scheduler->upstreams, selected.key, now_us);
  add_grant (scheduler, request, &reply, criteria.cost, now_us);
  push_reply (scheduler, &reply);
  return true;
}

static GsSelectionCriteria
quiet_criteria (const GsSlotRequest *request, int64_t now_us)
{
  return (GsSelectionCriteria){ .now_us = now_us,
                                .origin = request->origin,
                                .tried = request->tried,
                                .n_tried = request->n_tried };
}

/* Whether every upstream left for a request is quiet until it would miss its target. */
static bool
must_outwait_quiet (const GsScheduler *scheduler, const GsQueuedSlotRequest *queued, int64_t now_us)
{
  const GsSlotRequest *request = &queued->request;
  GsSelectionCriteria criteria = quiet_criteria (request, now_us);
  int64_t quiet_us = gs_upstream_set_quiet_us (scheduler->upstreams, &criteria);
  int64_t mean_us = expected_us (scheduler, queued);

  return quiet_us > 0 && now_us + quiet_us + mean_us > request->target_us;
}

/* RETURN VALUE: why a queued request cannot succeed any more, or NULL. */
static const char *
unservable_reason (const GsScheduler *scheduler, const GsQueuedSlotRequest *queued, int64_t now_us)
{
  const GsSlotRequest *request = &queued->request;
  int64_t mean_us = gs_latency_stats_mean_us (&scheduler->durations, request->flow);

  /* not by the estimate of a class: one that is too high would never be corrected */
  if (now_us + MIN (mean_us, expected_us (scheduler, queued)) > request->deadline_us)
    return "deadline-out-of-reach";
  if (!gs_upstream_set_has_usable (scheduler->upstreams, request->tried, request->n_tried))
    return request->n_tried > 0 ? "no-other-upstream" : "no-upstream";
  if (must_outwait_quiet (scheduler, queued, now_us))
    return "upstreams-quiet";
  return NULL;
}

/* Delay after which the upstreams of a request that are all quiet take it: the return of one of
 * them, each as likely as it has slots, and some time on top so that those who wait for the same
 * one do not arrive together. 0: not all are quiet. */
static uint32_t
quiet_retry_after_ms (GsScheduler *scheduler, const GsSlotRequest *request, int64_t now_us)
{
  GsSelectionCriteria criteria = quiet_criteria (request, now_us);
  int64_t return_us;

  if (gs_upstream_set_quiet_us (scheduler->upstreams, &criteria) == 0)
    return 0;
  return_us = gs_upstream_set_pick_return_us (scheduler->upstreams, &criteria);
  return_us += (int64_t)(SCHEDULER_QUIET_SPREAD * (double)return_us
                         * gs_random_unit (&scheduler->random));
  return (uint32_t)(return_us / GS_US_PER_MS) + 1;
}

static uint32_t
retry_after_for (GsScheduler *scheduler, const GsSlotRequest *request, int64_t now_us)
{
  uint32_t quiet_ms = quiet_retry_after_ms (scheduler, request, now_us);

  if (quiet_ms != 0)
    return quiet_ms;
  if (!gs_upstream_set_has_usable (scheduler->upstreams, NULL, 0))
    return SCHEDULER_RETRY_AFTER_EMPTY_MS;
  return retry_after_ms (scheduler, expected_wait_us (scheduler, request, now_us));
}

/* Arriving work divided by the capacity of the pool's healthy upstreams. */
static double
offered_load (const GsScheduler *scheduler, const GsSlotRequest *request, int64_t now_us)
{
  double elapsed_s = (double)(now_us - scheduler->arrivals_us) / (double)GS_US_PER_S;
  double per_s = scheduler->arrival_count * exp (-elapsed_s / SCHEDULER_ARRIVAL_DECAY_S)
                 / SCHEDULER_ARRIVAL_DECAY_S;
  double work_s = (double)overall_mean_us (scheduler, request) / (double)GS_US_PER_S;

  return per_s * work_s / MAX (gs_upstream_set_capacity (scheduler->upstreams, now_us), 1);
}

/* How likely the backlog is to drain by itself: 1 at light load, 0 under lasting overload. */
static double
drain_likelihood (const GsScheduler *scheduler, const GsSlotRequest *request, int64_t now_us)
{
  double load = offered_load (scheduler, request, now_us);

  return CLAMP ((SCHEDULER_LOAD_OVERLOAD - load) / (SCHEDULER_LOAD_OVERLOAD - SCHEDULER_LOAD_LIGHT),
                0, 1);
}

/* How far beyond its target a request may wait. While the backlog is expected to drain, a late
 * answer is still useful. Under lasting overload each request that is served late only displaces
 * one that could have been served in time. */
static double
tolerated_late_us (const GsSlotRequest *request, double drain)
{
  return (double)(request->deadline_us - request->target_us) * SCHEDULER_LATE_SHARE * drain;
}

/* One pass over the queue. */
typedef struct
{
  int64_t now_us;
  uint32_t exhausted; /* classes of requests for which no slot is free */
  double work_us;     /* of the requests passed so far that stay queued */
  bool is_overdue_known;
  double drain;
  uint32_t capacity;
  int64_t mean_us;
} ServePass;

/* Whether a queued request of a workspace can no longer be answered in time from its place.
 * Requests without a workspace are judged once, when they are queued. */
static bool
is_overdue (const GsScheduler *scheduler, ServePass *pass, const GsQueuedSlotRequest *queued)
{
  const GsSlotRequest *request = &queued->request;
  double wait_us;

  if (request->workspace == 0)
    return false;
  if (!pass->is_overdue_known)
    {
      pass->is_overdue_known = true;
      pass->drain = drain_likelihood (scheduler, request, pass->now_us);
      pass->capacity = gs_upstream_set_capacity (scheduler->upstreams, pass->now_us);
      pass->mean_us = overall_mean_us (scheduler, request);
    }
  wait_us = (pass->work_us + (double)pass->mean_us) / MAX (pass->capacity, 1)
            + SCHEDULER_MARGIN_QUEUED * (double)expected_us (scheduler, queued);
  return (double)(pass->now_us - request->target_us) + wait_us
         > tolerated_late_us (request, pass->drain);
}

static void
serve_queue (GsScheduler *scheduler, int64_t now_us)
{
  ServePass pass = { .now_us = now_us };

  for (uint32_t i = 0; i < gs_slot_queue_length (scheduler->queue);)
    {
      GsQueuedSlotRequest *queued = gs_slot_queue_get (scheduler->queue, i);
      const char *reason = unservable_reason (scheduler, queued, now_us);
      bool is_expired = now_us - queued->renewed_us > SCHEDULER_REQUEST_EXPIRY_US;

      if (reason == NULL && !is_expired && try_grant (scheduler, queued, &pass.exhausted, now_us))
        {
          gs_slot_queue_take (scheduler->queue, i, now_us);
          continue;
        }
      if (reason == NULL && !is_expired && is_overdue (scheduler, &pass, queued))
        reason = "no-slot-in-time";
      if (reason == NULL && !is_expired)
        {
          pass.work_us += gs_slot_queue_work_us (scheduler->queue, i++);
          continue;
        }
      if (reason != NULL)
        refuse (scheduler, &queued->request, reason,
                retry_after_for (scheduler, &queued->request, now_us), now_us);
      else if (is_expired)
        refund (scheduler, &queued->request);
      gs_slot_queue_drop (scheduler->queue, i);
    }
}

void
gs_scheduler_end_update (GsScheduler *scheduler, int64_t now_us)
{
  gs_upstream_set_end_update (scheduler->upstreams);
  serve_queue (scheduler, now_us);
}

static GsQueuedSlotRequest *
find_queued (const GsScheduler *scheduler, uint64_t origin, uint64_t token)
{
  uint32_t index;

  return gs_slot_queue_find (scheduler->queue, origin, token, &index)
             ? gs_slot_queue_get (scheduler->queue, index)
             : NULL;
}

static void
drop_queued (GsScheduler *scheduler, uint64_t origin, uint64_t token)
{
  uint32_t index;

  if (gs_slot_queue_find (scheduler->queue, origin, token, &index))
    gs_slot_queue_drop (scheduler->queue, index);
}

/* Removes a request that its daemon withdraws. RETURN VALUE: whether it was queued. */
static bool
withdraw_queued (GsScheduler *scheduler, uint64_t origin, uint64_t token)
{
  uint32_t index;

  if (!gs_slot_queue_find (scheduler->queue, origin, token, &index))
    return false;
  refund (scheduler, &gs_slot_queue_get (scheduler->queue, index)->request);
  gs_slot_queue_drop (scheduler->queue, index);
  return true;
}

static Grant *
find_grant (const GsScheduler *scheduler, uint64_t origin, uint64_t token)
{
  uint64_t key = request_key (origin, token);

  return g_hash_table_lookup (scheduler->grants_by_request, &key);
}

/* Moves up the deadline of a queued request to that of REQUEST. RETURN VALUE: false when the
 * request can no longer be answered in time from its place in the queue. */
static bool
shorten_deadline (GsScheduler *scheduler,
                  GsQueuedSlotRequest *queued,
                  const GsSlotRequest *request,
                  int64_t now_us)
{
  double mean_us = (double)expected_us (scheduler, queued);
  int64_t wait_us = overall_mean_us (scheduler, request);
  uint32_t index = 0;

  if (request->deadline_us > queued->request.deadline_us - SCHEDULER_SHORTENED_US)
    return true;
  queued->request.deadline_us = request->deadline_us;
  queued->request.target_us = MIN (queued->request.target_us, request->target_us);
  gs_slot_queue_find (scheduler->queue, request->origin, request->token, &index);
  wait_us
      = wait_us * (index + 1) / MAX (gs_upstream_set_capacity (scheduler->upstreams, now_us), 1);
  return now_us + wait_us + (int64_t)(mean_us * SCHEDULER_MARGIN_LIGHT_LOAD)
         <= request->deadline_us;
}

/* Replies to a slot request that was received before. RETURN VALUE: false when it is new. */
static bool
repeat_reply (GsScheduler *scheduler, const GsSlotRequest *request, int64_t now_us)
{
  GsQueuedSlotRequest *queued = find_queued (scheduler, request->origin, request->token);
  Grant *grant = queued == NULL ? find_grant (scheduler, request->origin, request->token) : NULL;

  if (queued != NULL && !shorten_deadline (scheduler, queued, request, now_us))
    {
      refuse (scheduler, &queued->request, "deadline-out-of-reach",
              retry_after_for (scheduler, request, now_us), now_us);
      drop_queued (scheduler, request->origin, request->token);
    }
  else if (queued != NULL)
    {
      GsSlotReply reply = make_reply (scheduler, request, GS_SLOT_QUEUED, "no-free-slot");
      queued->renewed_us = now_us;
      push_reply (scheduler, &reply);
    }
  else if (grant != NULL)
    push_reply (scheduler, &grant->reply);
  return queued != NULL || grant != NULL;
}

/* Whether the answer is expected after the target even if the request starts now. */
static bool
misses_target (const GsScheduler *scheduler, const GsQueuedSlotRequest *queued, int64_t now_us)
{
  return now_us + expected_us (scheduler, queued) > queued->request.target_us;
}

/* RETURN VALUE: why a request must not be queued, or NULL. A request that is unlikely to be
 * answered in time is not queued. */
static const char *
queueing_refusal_reason (const GsScheduler *scheduler,
                         const GsQueuedSlotRequest *queued,
                         int64_t now_us)
{
  const GsSlotRequest *request = &queued->request;
  double drain = drain_likelihood (scheduler, request, now_us);
  double mean_us = (double)expected_us (scheduler, queued);
  double margin_us = mean_us
                     * (SCHEDULER_MARGIN_OVERLOAD
                        - (SCHEDULER_MARGIN_OVERLOAD - SCHEDULER_MARGIN_LIGHT_LOAD) * drain);
  int64_t late_us = (int64_t)tolerated_late_us (request, drain);
  int64_t done_us = now_us + expected_wait_us (scheduler, request, now_us) + (int64_t)margin_us;

  return done_us > request->target_us + late_us ? "no-slot-in-time" : NULL;
}

/* Refuses the newest request of the workspace that holds most of a queue that is too long. */
static void
refuse_excess (GsScheduler *scheduler, int64_t now_us)
{
  const GsSlotRequest *excess;
  uint32_t index;

  if (!gs_slot_queue_find_excess (scheduler->queue, &index))
    return;
  excess = &gs_slot_queue_get (scheduler->queue, index)->request;
  refuse (scheduler, excess, "queue-full", retry_after_for (scheduler, excess, now_us), now_us);
  gs_slot_queue_drop (scheduler->queue, index);
}

/* Decides whether REQUEST, if it got no slot at once, stays in the queue or is refused. */
static void
queue_or_refuse (GsScheduler *scheduler, const GsSlotRequest *request, int64_t now_us)
{
  const GsQueuedSlotRequest *queued;
  const char *reason;
  GsSlotReply reply;

  refuse_excess (scheduler, now_us);
  queued = find_queued (scheduler, request->origin, request->token);
  if (queued == NULL)
    return;
  reason = queueing_refusal_reason (scheduler, queued, now_us);
  if (reason != NULL)
    {
      refuse (scheduler, &queued->request, reason, retry_after_for (scheduler, request, now_us),
              now_us);
      drop_queued (scheduler, request->origin, request->token);
      return;
    }
  reply = make_reply (scheduler, request, GS_SLOT_QUEUED, "no-free-slot");
  push_reply (scheduler, &reply);
}

static void
report_transition (GsScheduler *scheduler,
                   const GsBeliefTransition *transition,
                   GsOutcome outcome,
                   bool by_age)
{
  GsBeliefChange change = { .failing = transition->failing,
                            .failing_ppm = (uint32_t)(transition->probability * 1e6),
                            .outcome = outcome,
                            .by_age = by_age };

  if (scheduler->belief_changes.length >= SCHEDULER_BELIEF_CHANGES_MAX)
    return;
  g_strlcpy (change.upstream_id, transition->id, sizeof change.upstream_id);
  g_queue_push_tail (&scheduler->belief_changes, g_memdup2 (&change, sizeof change));
}

/* Counts a running attempt that is already slow against its upstream, once. */
static void
observe_age (GsScheduler *scheduler, Grant *grant, int64_t now_us)
{
  GsBeliefTransition transition;

  if (grant->age_observed
      || now_us - grant->started_us
             <= gs_latency_stats_slow_threshold_us (&scheduler->durations, grant->flow))
    return;
  grant->age_observed = true;
  if (gs_upstream_set_observe (scheduler->upstreams, grant->reply.upstream, grant->reply.origin,
                               GS_OBSERVATION_SLOW, now_us, &transition))
    report_transition (scheduler, &transition, GS_OUTCOME_TIMEOUT, true);
}

/*
 * Whether a late attempt should be replaced by one at another upstream. Most late attempts are long
 * requests, which would take as long anywhere. So the upstream must be suspected, or the attempt
 * must be far older than a slow answer.
 */
static bool
is_stuck (GsScheduler *scheduler, uint64_t grant_id, int64_t now_us)
{
  Grant *grant = g_hash_table_lookup (scheduler->grants, &grant_id);
  int64_t slow_us;
  int64_t stuck_us;

  if (grant == NULL)
    return true; /* granted by another scheduler: nothing is known of it here */
  observe_age (scheduler, grant, now_us);
  slow_us = gs_latency_stats_slow_threshold_us (&scheduler->durations, grant->flow);
  stuck_us = grant->typical_us > 0
                 ? gs_cost_model_rare_age_us (scheduler->cost_model, grant->typical_us)
                 : SCHEDULER_STUCK_FACTOR * MIN (slow_us, INT64_MAX / SCHEDULER_STUCK_FACTOR);
  return slow_us == INT64_MAX /* too few samples of such requests */
         || gs_upstream_set_is_suspect (scheduler->upstreams, grant->reply.upstream, now_us)
         || now_us - grant->started_us > stuck_us;
}

/* RETURN VALUE: why a request must be refused whatever slots are free, or NULL. */
static const char *
admission_refusal_reason (GsScheduler *scheduler, const GsSlotRequest *request, int64_t now_us)
{
  if (gs_lost_requests_must_refuse (scheduler->lost_requests, request->fingerprint,
                                    request->is_retry, now_us))
    return "crashes-upstreams";
  if (request->replaced_grant != 0 && !is_stuck (scheduler, request->replaced_grant, now_us))
    return "attempt-may-finish";
  if (request->is_retry && !request->is_renewed
      && !gs_retry_budget_spend (scheduler->retry_budget, now_us))
    {
      scheduler->budget_reached = true;
      return "repeat-budget";
    }
  return NULL;
}

/* Undoes what counting a request that is redirected to another slice changed. */
static void
forget_arrival (GsScheduler *scheduler, const GsSlotRequest *request)
{
  if (!request->is_retry && !request->is_renewed)
    scheduler->arrival_count = MAX (scheduler->arrival_count - 1, 0);
}

void
gs_scheduler_redirect (GsScheduler *scheduler, const GsSlotRequest *request, uint64_t slice)
{
  GsSlotReply reply = make_reply (scheduler, request, GS_SLOT_REDIRECTED, "other-slice");

  reply.slice = slice;
  push_reply (scheduler, &reply);
}

static void
record_arrival (GsScheduler *scheduler, int64_t now_us)
{
  double elapsed_s = (double)(now_us - scheduler->arrivals_us) / (double)GS_US_PER_S;

  scheduler->arrival_count
      = scheduler->arrival_count * exp (-elapsed_s / SCHEDULER_ARRIVAL_DECAY_S) + 1;
  scheduler->arrivals_us = now_us;
}

/* Applies the quota of the request's workspace. RETURN VALUE: false when the request goes no
 * further now. */
static bool
apply_quota (GsScheduler *scheduler, GsSlotRequest *request, int64_t now_us)
{
  uint32_t after_ms = 0;
  GsAdmissionVerdict verdict = GS_ADMISSION_UNLIMITED;
  GsSlotReply reply;

  request->charged = false;
  if (scheduler->admission != NULL && request->workspace != 0 && !request->counted
      && !request->is_renewed)
    verdict = scheduler->admission->klass->admit (scheduler->admission, request, now_us, &after_ms);
  request->charged = verdict == GS_ADMISSION_ADMITTED;
  if (verdict == GS_ADMISSION_REFUSED)
    refuse (scheduler, request, "over-quota", after_ms, now_us);
  if (verdict == GS_ADMISSION_HELD)
    {
      reply = make_reply (scheduler, request, GS_SLOT_QUEUED, "awaiting-quota");
      push_reply (scheduler, &reply);
    }
  return verdict == GS_ADMISSION_UNLIMITED || verdict == GS_ADMISSION_ADMITTED;
}

/* Places a new request. SLICE: where it is redirected to instead of waiting here; 0: nowhere. */
static bool
place_request (GsScheduler *scheduler, const GsSlotRequest *request, uint64_t slice, int64_t now_us)
{
  GsQueuedSlotRequest entry = { .request = *request, .arrived_us = now_us, .renewed_us = now_us };
  const char *reason;

  if (!apply_quota (scheduler, &entry.request, now_us))
    return false;
  estimate_cost (scheduler, &entry);
  entry.late = misses_target (scheduler, &entry, now_us);
  if (!request->is_retry && !request->is_renewed)
    record_arrival (scheduler, now_us);
  reason = admission_refusal_reason (scheduler, request, now_us);
  if (reason != NULL)
    {
      refuse (scheduler, &entry.request, reason, 0, now_us);
      return false;
    }
  if (slice != 0
      && !gs_upstream_set_has_usable (scheduler->upstreams, request->tried, request->n_tried))
    {
      refund (scheduler, &entry.request);
      forget_arrival (scheduler, request);
      gs_scheduler_redirect (scheduler, request, slice);
      return true;
    }
  gs_slot_queue_add (scheduler->queue, &entry, expected_us (scheduler, &entry), now_us);
  serve_queue (scheduler, now_us);
  if (slice != 0 && withdraw_queued (scheduler, request->origin, request->token))
    {
      forget_arrival (scheduler, request);
      gs_scheduler_redirect (scheduler, request, slice);
      return true;
    }
  queue_or_refuse (scheduler, request, now_us);
  return false;
}

bool
gs_scheduler_request_or_redirect (GsScheduler *scheduler,
                                  const GsSlotRequest *request,
                                  uint64_t slice,
                                  int64_t now_us)
{
  if (slice != 0 && withdraw_queued (scheduler, request->origin, request->token))
    {
      gs_scheduler_redirect (scheduler, request, slice);
      return true;
    }
  if (repeat_reply (scheduler, request, now_us))
    return false;
  return place_request (scheduler, request, slice, now_us);
}

void
gs_scheduler_request (GsScheduler *scheduler, const GsSlotRequest *request, int64_t now_us)
{
  gs_scheduler_request_or_redirect (scheduler, request, 0, now_us);
}

bool
gs_scheduler_knows (const GsScheduler *scheduler, const GsSlotRequest *request)
{
  return find_queued (scheduler, request->origin, request->token) != NULL
         || find_grant (scheduler, request->origin, request->token) != NULL;
}

GsSliceCapacity
gs_scheduler_measure (GsScheduler *scheduler, int64_t now_us)
{
  GsSliceCapacity capacity = gs_upstream_set_measure (scheduler->upstreams, now_us);

  capacity.waiting = gs_slot_queue_length (scheduler->queue);
  return capacity;
}

bool
gs_scheduler_next_loss (GsScheduler *scheduler, GsLoss *loss)
{
  return gs_lost_requests_next (scheduler->lost_requests, loss);
}

void
gs_scheduler_apply_loss (GsScheduler *scheduler, const GsLoss *loss, int64_t now_us)
{
  gs_lost_requests_apply (scheduler->lost_requests, loss, now_us);
}

/* Derives the observation of the upstream from RESULT. RETURN VALUE: false when there is none, or
 * when the attempt's age has been counted already. */
static bool
classify_result (GsScheduler *scheduler,
                 const GsSlotResult *result,
                 const Grant *grant,
                 GsObservation *observation)
{
  switch (result->outcome)
    {
    case GS_OUTCOME_OK:
      if (grant != NULL && grant->by_cost)
        { /* a slow upstream is told by its speed, and requests may be long */
          *observation = grant->age_observed ? GS_OBSERVATION_LONG_ANSWER : GS_OBSERVATION_ANSWER;
          return true;
        }
      *observation = result->answer_us > gs_latency_stats_slow_threshold_us (&scheduler->durations,
                                                                             result->flow)
                         ? GS_OBSERVATION_SLOW
                         : GS_OBSERVATION_ANSWER;
      return *observation == GS_OBSERVATION_ANSWER || grant == NULL || !grant->age_observed;
    case GS_OUTCOME_ERROR:
      *observation = GS_OBSERVATION_ERROR;
      return true;
    case GS_OUTCOME_CLOSED:
    case GS_OUTCOME_CRASHED:
    case GS_OUTCOME_TRUNCATED:
      *observation = GS_OBSERVATION_LOST;
      return true;
    case GS_OUTCOME_UNREACHABLE:
      *observation = GS_OBSERVATION_UNREACHABLE;
      return true;
    case GS_OUTCOME_TIMEOUT:
    case GS_OUTCOME_SILENT:
      *observation = GS_OBSERVATION_SLOW;
      return grant == NULL || !grant->age_observed;
    default:
      return false;
    }
}

static void
record_result (GsScheduler *scheduler,
               const GsSlotResult *result,
               const Grant *grant,
               int64_t now_us)
{
  switch (result->outcome)
    {
    case GS_OUTCOME_OK:
    case GS_OUTCOME_ERROR:
      gs_latency_stats_add (&scheduler->durations,
                            &(GsLatencySample){ .flow = result->flow,
                                                .answer_us = result->answer_us,
                                                .bytes = result->bytes },
                            now_us);
      if (grant != NULL)
        gs_lost_requests_clear (scheduler->lost_requests, grant->fingerprint);
      break;
    case GS_OUTCOME_CLOSED:
    case GS_OUTCOME_CRASHED:
      if (grant != NULL)
        gs_lost_requests_add (scheduler->lost_requests, result->upstream, grant->fingerprint,
                              now_us);
      break;
    case GS_OUTCOME_UNREACHABLE:
      gs_lost_requests_confirm (scheduler->lost_requests, result->upstream, now_us);
      break;
    case GS_OUTCOME_LEAVING:
    case GS_OUTCOME_MISDIRECTED:
      gs_upstream_set_exclude (scheduler->upstreams, result->upstream);
      break;
    default:
      break;
    }
}

/* Learns the cost of the request and the speed of its upstream. A result of another scheduler's
 * grant shows the flow only. */
static void
learn_cost (GsScheduler *scheduler, const GsSlotResult *result, const Grant *grant, int64_t now_us)
{
  GsCostKey key = { .flow = result->flow };

  if (scheduler->cost_model == NULL || result->outcome != GS_OUTCOME_OK)
    return;
  gs_cost_model_add (scheduler->cost_model, grant != NULL ? &grant->cost_key : &key,
                     grant != NULL ? grant->typical_us : 0, result->answer_us,
                     gs_upstream_set_speed (scheduler->upstreams, result->upstream), now_us);
}

static void
observe_result (GsScheduler *scheduler,
                const GsSlotResult *result,
                const Grant *grant,
                int64_t now_us)
{
  GsBeliefTransition transition;
  GsObservation observation;

  if (classify_result (scheduler, result, grant, &observation)
      && gs_upstream_set_observe (scheduler->upstreams, result->upstream, result->origin,
                                  observation, now_us, &transition))
    report_transition (scheduler, &transition, result->outcome, false);
  record_result (scheduler, result, grant, now_us);
  learn_cost (scheduler, result, grant, now_us);
  if (result->outcome <= GS_OUTCOME_REFUSED)
    gs_upstream_set_record_shed (scheduler->upstreams, result->upstream,
                                 result->outcome == GS_OUTCOME_REFUSED, now_us);
  if (result->leaving)
    gs_upstream_set_exclude (scheduler->upstreams, result->upstream);
  if (result->quiet_ms != 0)
    gs_upstream_set_record_quiet (scheduler->upstreams, result->upstream, result->origin, now_us,
                                  now_us + (int64_t)result->quiet_ms * GS_US_PER_MS);
  if (result->has_load)
    gs_upstream_set_record_load (scheduler->upstreams, result->upstream, result->running,
                                 result->waiting, now_us);
  if (result->outcome != GS_OUTCOME_CANCELLED)
    gs_upstream_set_record_served (scheduler->upstreams, result->outcome == GS_OUTCOME_OK, now_us);
}

static void
free_slot (GsScheduler *scheduler, const Grant *grant)
{
  gs_upstream_set_release (scheduler->upstreams, grant->reply.upstream);
  if (scheduler->cost_model != NULL)
    gs_upstream_set_remove_work (scheduler->upstreams, grant->reply.upstream, grant->id);
}

/* Whether an attempt with RESULT has certainly not run, although GRANT was given. A slot that was
 * returned because of its upstream is followed by a request that is not charged again. */
static bool
was_not_used (const GsSlotResult *result)
{
  if (result->grant == 0)
    return true; /* withdrawn before the grant arrived */
  if (result->outcome == GS_OUTCOME_CANCELLED)
    return result->answer_us == 0 && !result->leaving && result->quiet_ms == 0;
  return gs_outcome_verdict (result->outcome) == GS_VERDICT_NOT_RUN;
}

static void
refund_grant (GsScheduler *scheduler, const GsSlotResult *result, const Grant *grant)
{
  if (grant->charged_workspace != 0 && scheduler->admission != NULL && was_not_used (result))
    scheduler->admission->klass->refund (scheduler->admission, grant->charged_workspace, true);
}

void
gs_scheduler_release (GsScheduler *scheduler, const GsSlotResult *result, int64_t now_us)
{
  Grant *grant;

  if (result->grant == 0)
    {
      grant = find_grant (scheduler, result->origin, result->token);
      withdraw_queued (scheduler, result->origin, result->token);
      if (scheduler->admission != NULL)
        scheduler->admission->klass->withdraw (scheduler->admission, result->origin, result->token);
    }
  else
    grant = g_hash_table_lookup (scheduler->grants, &result->grant);
  if (grant != NULL)
    free_slot (scheduler, grant);
  if (result->grant != 0)
    observe_result (scheduler, result, grant, now_us);
  if (grant != NULL)
    {
      refund_grant (scheduler, result, grant);
      unindex_grant (scheduler, grant);
      g_hash_table_remove (scheduler->grants, &grant->id);
    }
  serve_queue (scheduler, now_us);
}

void
gs_scheduler_tick (GsScheduler *scheduler, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, scheduler->grants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Grant *grant = value;
      observe_age (scheduler, grant, now_us);
      if (now_us <= grant->deadline_us + SCHEDULER_GRANT_GRACE_US)
        continue;
      free_slot (scheduler, grant);
      unindex_grant (scheduler, grant);
      g_hash_table_iter_remove (&iter);
    }
  serve_queue (scheduler, now_us);
}

bool
gs_scheduler_next_reply (GsScheduler *scheduler, GsSlotReply *reply)
{
  g_autofree GsSlotReply *next = g_queue_pop_head (&scheduler->replies);

  if (next == NULL)
    return false;
  *reply = *next;
  return true;
}

bool
gs_scheduler_next_belief_change (GsScheduler *scheduler, GsBeliefChange *change)
{
  g_autofree GsBeliefChange *next = g_queue_pop_head (&scheduler->belief_changes);

  if (next == NULL)
    return false;
  *change = *next;
  return true;
}

bool
gs_scheduler_report_retries (GsScheduler *scheduler, int64_t now_us, GsRetryAccount *account)
{
  return gs_retry_budget_get_account (scheduler->retry_budget, now_us, account);
}

void
gs_scheduler_apply_retries (GsScheduler *scheduler,
                            uint64_t origin,
                            const GsRetryAccount *account,
                            int64_t now_us)
{
  gs_retry_budget_set_peer_account (scheduler->retry_budget, origin, account, now_us);
}

bool
gs_scheduler_next_budget_report (GsScheduler *scheduler, int64_t now_us, GsRetryBudgetView *view)
{
  if (!scheduler->budget_reached
      || now_us - scheduler->budget_reported_us < SCHEDULER_BUDGET_REPORT_INTERVAL_US)
    return false;
  scheduler->budget_reached = false;
  scheduler->budget_reported_us = now_us;
  *view = gs_retry_budget_view (scheduler->retry_budget, now_us);
  return true;
}

bool
gs_scheduler_next_cost_report (GsScheduler *scheduler, int64_t now_us, GsCostReport *report)
{
  return scheduler->cost_model != NULL
         && gs_cost_model_next_report (scheduler->cost_model, now_us, report);
}

uint32_t
gs_scheduler_queue_length (const GsScheduler *scheduler)
{
  return gs_slot_queue_length (scheduler->queue);
}

uint32_t
gs_scheduler_outstanding (const GsScheduler *scheduler)
{
  return g_hash_table_size (scheduler->grants);
}

uint64_t
gs_scheduler_selections (const GsScheduler *scheduler)
{
  return gs_upstream_set_selections (scheduler->upstreams);
}

uint32_t
gs_scheduler_usable_upstreams (const GsScheduler *scheduler)
{
  return gs_upstream_set_count_usable (scheduler->upstreams, NULL, 0);
}

bool
gs_scheduler_get_upstream (const GsScheduler *scheduler,
                           uint32_t index,
                           int64_t now_us,
                           GsScheduledUpstream *upstream)
{
  GsUpstreamInfo info;
  GsRegistrationState state;

  if (!gs_upstream_set_get (scheduler->upstreams, index, now_us, &info, &state))
    return false;
  *upstream = (GsScheduledUpstream){ .id = info.id,
                                     .state = state,
                                     .outstanding = info.outstanding,
                                     .failing_ppm = (uint32_t)(info.failing * 1e6),
                                     .evidence_age_us = info.evidence_age_us };
  return true;
}
