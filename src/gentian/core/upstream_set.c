#include "upstream_set.h"

#include <glib.h>
#include <string.h>

/** Probability of failing above which an upstream is avoided by a request that may run only once.
 */
#define UPSTREAM_LIMIT_ONCE 0.45
/** The same for a request that may be retried at another upstream. */
#define UPSTREAM_LIMIT_RETRYABLE 0.6
/** The same for an urgent request. Above this, upstreams get only probe requests. */
#define UPSTREAM_LIMIT_URGENT 0.95
/** Probability from which an upstream counts as failing, also in the log. */
#define UPSTREAM_FAILING_THRESHOLD 0.5
/** Approximate share of its requests that a failing upstream fails. */
#define UPSTREAM_FAILING_LOSS 0.75
/** Cost of a failed attempt that may be retried: time, and a retry from the budget. */
#define UPSTREAM_RETRYABLE_LOSS 0.6
/** Cost of the last slot of an upstream compared with its first: nearly full upstreams get slower.
 */
#define UPSTREAM_FULL_COST 0.05
/** Most that outstanding work counts, in full loads of an upstream, and that slowness does, in mean
 * durations of a request. */
#define UPSTREAM_LOADS_MAX 4.0
#define UPSTREAM_DELAYS_MAX 4.0
/** Cost of one mean duration that a request takes longer at a slow upstream. Without slow servers
 * it only adds noise: at twice the value, placement was worse where two requests slow each other
 * down, by 0.005 within the target. */
#define UPSTREAM_DELAY_COST 0.06
/** Cost of the upstream's recent work, by expected end: that of an upstream with as much as the
 * mean of the pool. Beliefs favour upstreams that answered a moment ago over idle ones; without it
 * the work gathers at some. */
#define UPSTREAM_RECENT_COST 0.02
#define UPSTREAM_RECENT_MAX 4.0
/** Time constant of recent work. */
#define UPSTREAM_RECENT_DECAY_S 5.0
#define UPSTREAM_WARMUP_COST 0.15
#define UPSTREAM_DOUBTFUL_COST 0.3
/** Cost of sending a request to another failure domain. */
#define UPSTREAM_DOMAIN_COST 0.02
/** The same for its bytes: a gigabyte of traffic between domains costs the users as much as 4,500
 * answers. The cap equals a probability of failure of two in five for a retryable request. */
#define UPSTREAM_DOMAIN_COST_PER_MB 4.5
#define UPSTREAM_DOMAIN_COST_MAX 0.2
/** Random part of the cost, so that equal upstreams share the work. */
#define UPSTREAM_NOISE 0.004
/** Time without work after which an upstream gets one probe request: one that may be retried, or
 * any while many requests fail; one that may run only once; any while requests wait for a slot.
 * Doubled by each consecutive failed probe, up to the maximum. */
#define UPSTREAM_PROBE_US (1300 * GS_US_PER_MS)
#define UPSTREAM_PROBE_ONCE_US (3 * GS_US_PER_S)
#define UPSTREAM_PROBE_OTHERS_WAITING_US (500 * GS_US_PER_MS)
#define UPSTREAM_PROBE_MAX_US (5 * GS_US_PER_S)
/** The same for an upstream that has joined and has not been observed yet. */
#define UPSTREAM_PROBE_NEW_US (800 * GS_US_PER_MS)
/** Deduction from the cost of a probe request to an upstream that has not been observed yet, or to
 * any while many requests of the pool fail. */
#define UPSTREAM_PROBE_GAIN 0.25
/** Share of failed requests from which every upstream must get work: most of the pool may be
 * avoided wrongly. */
#define UPSTREAM_MANY_FAILED_SHARE 0.09
/** Largest part of the healthy upstreams that may be idle by the users' rule. */
#define UPSTREAM_FLOOR_IDLE_SHARE 0.3
/** Standard errors of the idle part that are kept free below it: which upstreams are idle at a
 * moment is a sample of those that fail, whose deviation is 0.45 / sqrt (n). */
#define UPSTREAM_FLOOR_MARGIN 1.1
/** Part of the upstreams without a recent failure that may be idle in pools so small that the
 * margin leaves less. There the next whole number is a large step, so up to two may be idle, within
 * a larger part. */
#define UPSTREAM_IDLE_SHARE 0.2
/** Retryable requests go to idle upstreams so much earlier: a lost connection costs them little. */
#define UPSTREAM_IDLE_RETRYABLE_LEAD 0.04
#define UPSTREAM_IDLE_SHARE_FEW 0.3
#define UPSTREAM_IDLE_FEW 2
/** Time without work after which an upstream is idle. The users' rule counts from 2 s. */
#define UPSTREAM_IDLE_US (1000 * GS_US_PER_MS)
/** Time after a failure during which an upstream may be idle, since it does not count as healthy
 * yet. */
#define UPSTREAM_RECENT_FAILURE_US (2 * GS_US_PER_S)
#define UPSTREAM_LOAD_VALID_US (300 * GS_US_PER_MS)
#define UPSTREAM_FULL_PAUSE_US (150 * GS_US_PER_MS)
#define UPSTREAM_BAD_PATH_US (3 * GS_US_PER_S)
/** An answer to any daemon within this time shows that a failed connection is a fault of the path.
 */
#define UPSTREAM_ANSWER_PROOF_US GS_US_PER_S
/** Time constant of the averages of fault and recovery rates. */
#define UPSTREAM_RATE_DECAY_S 30.0
/** Prior of the fault rate: half a fault of the pool in ten seconds. */
#define UPSTREAM_PRIOR_FAULTS 0.5
#define UPSTREAM_PRIOR_S 10.0
/** Cost of a refusal: the request has not run, and is sent to another upstream after one more round
 * trip. */
#define UPSTREAM_SHED_COST 0.15
/** Weight of one attempt in the moving share of attempts refused although slots are free. */
#define UPSTREAM_SHED_WEIGHT 0.25
/** Time constant at which that share decays without attempts. */
#define UPSTREAM_SHED_DECAY_S 3.0
/** Time constant of the average of the share of failed requests. */
#define UPSTREAM_RESULTS_DECAY_S 1.5

typedef struct
{
  uint64_t origin;
  int64_t until_us;
} BadPath;

typedef struct
{
  uint64_t key;
  GsRegistration registration;
  GsRegistrationState state;
  uint64_t domain;
  bool in_update; /* put since the update began */
  bool excluded;
  uint32_t outstanding;
  GsBelief belief;
  int64_t observed_us;
  int64_t answered_us;
  int64_t failed_us;  /* last observation of a failure */
  int64_t used_us;    /* last time a slot was taken */
  int64_t warm_at_us; /* warms up until then */
  int64_t load_us;
  int64_t full_until_us;
  uint32_t other_requests; /* requests not granted here, by the load that it reported */
  uint32_t failed_probes;  /* consecutive ones since it counts as failing */
  double shed;             /* share of attempts refused although slots were free */
  int64_t shed_us;
  double failing; /* of `belief` at failing_us, under the rates of failing_epoch */
  int64_t failing_us;
  uint64_t failing_epoch;
  BadPath bad_paths[GS_UPSTREAM_SET_BAD_PATHS_MAX];
  GsOutstanding work;
  double recent;   /* work granted lately, see recent_growth */
  double per_slot; /* 1 / slots */
  GsSpeed speed;
} Upstream;

struct GsUpstreamSet
{
  GArray *upstreams;       /* of Upstream */
  GHashTable *quiet_until; /* hash of upstream key and origin -> int64_t time */
  GsRandom random;
  GsFaultRates rates;
  uint64_t rates_epoch; /* counts changes of the rates */
  bool rates_outdated;  /* events were counted since the rates were computed */
  double onsets;        /* faults seen, decaying */
  double observed_s;
  double recoveries; /* ends of faults seen, decaying */
  double failing_s;  /* time that upstreams spent failing, decaying */
  int64_t rates_updated_us;
  double results;  /* requests that ended, decaying */
  double failures; /* those that were not served */
  int64_t results_updated_us;
  uint64_t n_selections;
  double pool_share;  /* part of the pool's upstreams that are in the set */
  uint32_t slots_max; /* of one upstream */
  uint32_t slots_all;
  double recent;           /* of all upstreams */
  double per_recent;       /* 1 / mean recent work of a slot, or 0 */
  int64_t recent_since_us; /* when the unit of recent work was 1 us */
};

static void
clear_upstream (gpointer upstream)
{
  gs_outstanding_clear (&((Upstream *)upstream)->work);
}

GsUpstreamSet *
gs_upstream_set_new (uint64_t seed)
{
  GsUpstreamSet *set = g_new0 (GsUpstreamSet, 1);

  set->upstreams = g_array_new (FALSE, TRUE, sizeof (Upstream));
  g_array_set_clear_func (set->upstreams, clear_upstream);
  set->quiet_until = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  set->random.state = seed;
  set->rates.recovery_per_s = 1 / GS_BELIEF_FAULT_DURATION_S;
  set->rates.onset_per_s = UPSTREAM_PRIOR_FAULTS / UPSTREAM_PRIOR_S;
  set->rates_outdated = true;
  set->pool_share = 1;
  return set;
}

void
gs_upstream_set_free (GsUpstreamSet *set)
{
  if (set == NULL)
    return;
  g_array_unref (set->upstreams);
  g_hash_table_destroy (set->quiet_until);
  g_free (set);
}

void
gs_upstream_set_set_pool_share (GsUpstreamSet *set, double share)
{
  set->pool_share = share;
}

uint64_t
gs_upstream_set_key (const GsRegistration *registration)
{
  return gs_mix64 (gs_hash_name (registration->id) ^ gs_mix64 (registration->started_ms));
}

static Upstream *
upstream_at (const GsUpstreamSet *set, uint32_t index)
{
  return &g_array_index (set->upstreams, Upstream, index);
}

static Upstream *
find_upstream (const GsUpstreamSet *set, uint64_t key)
{
  for (guint i = 0; i < set->upstreams->len; i++)
    if (upstream_at (set, i)->key == key)
      return upstream_at (set, i);
  return NULL;
}

static uint32_t
count_failing (const GsUpstreamSet *set)
{
  uint32_t count = 0;

  for (guint i = 0; i < set->upstreams->len; i++)
    count += upstream_at (set, i)->belief.failing >= UPSTREAM_FAILING_THRESHOLD ? 1 : 0;
  return count;
}

/* Decays the counts and computes the rates at which faults begin and end: events divided by the
 * time in which they could happen, the maximum likelihood estimate for exponential times. */
static void
update_rates (GsUpstreamSet *set, int64_t now_us)
{
  double elapsed_s = (double)(now_us - set->rates_updated_us) / (double)GS_US_PER_S;
  double decay;

  if (elapsed_s <= 0 && !set->rates_outdated)
    return;
  if (set->rates_updated_us != 0 && elapsed_s > 0)
    {
      decay = exp (-elapsed_s / UPSTREAM_RATE_DECAY_S);
      set->onsets *= decay;
      set->observed_s = set->observed_s * decay + elapsed_s;
      set->recoveries *= decay;
      set->failing_s = set->failing_s * decay + elapsed_s * count_failing (set);
    }
  set->rates_updated_us = MAX (now_us, set->rates_updated_us);
  set->rates.onset_per_s = (set->onsets + UPSTREAM_PRIOR_FAULTS)
                           / ((set->observed_s + UPSTREAM_PRIOR_S) * MAX (set->upstreams->len, 1));
  set->rates.recovery_per_s = (set->recoveries + 1) / (set->failing_s + GS_BELIEF_FAULT_DURATION_S);
  set->rates_epoch++;
  set->rates_outdated = false;
}

/* RETURN VALUE: the probability that UPSTREAM is failing. A pass over the queue of a busy pool
 * needs it for each upstream and queued request at the same time; it is computed once. */
static double
failing_at (const GsUpstreamSet *set, Upstream *upstream, int64_t now_us)
{
  if (upstream->failing_epoch != set->rates_epoch || upstream->failing_us != now_us)
    {
      upstream->failing = gs_belief_failing (&upstream->belief, &set->rates, now_us);
      upstream->failing_epoch = set->rates_epoch;
      upstream->failing_us = now_us;
    }
  return upstream->failing;
}

void
gs_upstream_set_begin_update (GsUpstreamSet *set)
{
  for (guint i = 0; i < set->upstreams->len; i++)
    upstream_at (set, i)->in_update = false;
}

static Upstream *
add_upstream (GsUpstreamSet *set, uint64_t key, int64_t now_us)
{
  Upstream upstream = { .key = key, .belief = gs_belief_new (&set->rates, now_us) };

  upstream.used_us = now_us;
  gs_outstanding_clear (&upstream.work);
  g_array_append_val (set->upstreams, upstream);
  set->rates_outdated = true;
  return upstream_at (set, set->upstreams->len - 1);
}

void
gs_upstream_set_put (GsUpstreamSet *set,
                     const GsRegistration *registration,
                     GsRegistrationState state,
                     int64_t read_us,
                     int64_t now_us)
{
  uint64_t key = gs_upstream_set_key (registration);
  Upstream *upstream = find_upstream (set, key);

  if (upstream == NULL)
    {
      if (set->upstreams->len >= GS_UPSTREAM_SET_MAX)
        return;
      upstream = add_upstream (set, key, now_us);
    }
  upstream->in_update = true;
  upstream->registration = *registration;
  upstream->state = state;
  upstream->per_slot = 1.0 / MAX (registration->slots, 1);
  upstream->domain = gs_hash_name (registration->failure_domain);
  upstream->warm_at_us = read_us + (int64_t)registration->warmup_left_ms * GS_US_PER_MS;
}

void
gs_upstream_set_end_update (GsUpstreamSet *set)
{
  for (guint i = set->upstreams->len; i > 0; i--)
    if (!upstream_at (set, i - 1)->in_update)
      {
        g_array_remove_index (set->upstreams, i - 1);
        set->rates_outdated = true;
      }
  set->slots_max = 0;
  set->slots_all = 0;
  set->recent = 0;
  for (guint i = 0; i < set->upstreams->len; i++)
    {
      const Upstream *upstream = upstream_at (set, i);
      set->slots_max = MAX (set->slots_max, upstream->registration.slots);
      set->slots_all += upstream->registration.slots;
      set->recent += upstream->recent;
    }
}

static bool
is_usable (const Upstream *upstream)
{
  return !upstream->excluded
         && (upstream->state == GS_REGISTRATION_SERVING
             || upstream->state == GS_REGISTRATION_DOUBTFUL);
}

static bool
has_bad_path (const Upstream *upstream, uint64_t origin, int64_t now_us)
{
  for (int i = 0; i < GS_UPSTREAM_SET_BAD_PATHS_MAX; i++)
    if (upstream->bad_paths[i].origin == origin && upstream->bad_paths[i].until_us > now_us)
      return true;
  return false;
}

/* Time for which UPSTREAM wants no requests of ORIGIN; 0: it wants them. */
static int64_t
quiet_left_us (const GsUpstreamSet *set, const Upstream *upstream, uint64_t origin, int64_t now_us)
{
  uint64_t pair = gs_mix64 (upstream->key ^ gs_mix64 (origin));
  const int64_t *until_us = g_hash_table_size (set->quiet_until) > 0
                                ? g_hash_table_lookup (set->quiet_until, &pair)
                                : NULL;

  return until_us != NULL ? MAX (*until_us - now_us, 0) : 0;
}

static uint32_t
used_slots (const Upstream *upstream, int64_t now_us)
{
  uint32_t other_requests
      = now_us - upstream->load_us < UPSTREAM_LOAD_VALID_US ? upstream->other_requests : 0;

  return upstream->outstanding + other_requests;
}

static bool
has_free_slot (const Upstream *upstream, int64_t now_us)
{
  return upstream->full_until_us <= now_us
         && used_slots (upstream, now_us) < upstream->registration.slots;
}

static bool
contains_key (uint64_t key, const uint64_t *keys, uint8_t n_keys)
{
  for (uint8_t i = 0; i < n_keys; i++)
    if (keys[i] == key)
      return true;
  return false;
}

static bool
is_ineligible (const GsUpstreamSet *set,
               const Upstream *upstream,
               const GsSelectionCriteria *criteria)
{
  return !is_usable (upstream) || has_bad_path (upstream, criteria->origin, criteria->now_us)
         || quiet_left_us (set, upstream, criteria->origin, criteria->now_us) > 0
         || contains_key (upstream->key, criteria->tried, criteria->n_tried);
}

static double
failed_share (const GsUpstreamSet *set)
{
  return set->results > 4 ? set->failures / set->results : 0;
}

/* Time without work after which UPSTREAM gets one probe request. */
static int64_t
probe_interval_us (const GsUpstreamSet *set,
                   const Upstream *upstream,
                   const GsSelectionCriteria *criteria)
{
  int64_t interval_us = UPSTREAM_PROBE_ONCE_US;

  if (upstream->observed_us == 0)
    return UPSTREAM_PROBE_NEW_US;
  if (criteria->others_waiting)
    interval_us = UPSTREAM_PROBE_OTHERS_WAITING_US;
  else if (criteria->retryable || failed_share (set) > UPSTREAM_MANY_FAILED_SHARE)
    interval_us = UPSTREAM_PROBE_US;
  return MIN (interval_us << MIN (upstream->failed_probes, 8), UPSTREAM_PROBE_MAX_US);
}

/* Whether the evidence about UPSTREAM is stale and no request in flight will renew it. */
static bool
needs_probe (const GsUpstreamSet *set,
             const Upstream *upstream,
             const GsSelectionCriteria *criteria)
{
  return upstream->outstanding == 0
         && criteria->now_us - upstream->used_us >= probe_interval_us (set, upstream, criteria);
}

/* Value of a probe request's evidence, as a deduction from its cost. */
static double
probe_gain (const GsUpstreamSet *set, const Upstream *upstream)
{
  bool needed = upstream->observed_us == 0 || failed_share (set) > UPSTREAM_MANY_FAILED_SHARE;

  return needed ? UPSTREAM_PROBE_GAIN : 0;
}

static double
failing_limit (const GsSelectionCriteria *criteria)
{
  if (criteria->urgent && !criteria->no_probe)
    return UPSTREAM_LIMIT_URGENT;
  return criteria->retryable && !criteria->no_probe ? UPSTREAM_LIMIT_RETRYABLE
                                                    : UPSTREAM_LIMIT_ONCE;
}

static double
shed_share (const Upstream *upstream, int64_t now_us)
{
  double elapsed_s = (double)(now_us - upstream->shed_us) / (double)GS_US_PER_S;

  return upstream->shed * exp (-elapsed_s / UPSTREAM_SHED_DECAY_S);
}

static double
domain_cost (uint32_t bytes)
{
  return fmin (UPSTREAM_DOMAIN_COST + UPSTREAM_DOMAIN_COST_PER_MB * bytes / 1e6,
               UPSTREAM_DOMAIN_COST_MAX);
}

/* Cost of the upstream's load: how full it is, or the work expected before it is empty and the time
 * that the request takes longer there than elsewhere. */
static double
load_cost (const GsUpstreamSet *set, Upstream *upstream, const GsSelectionCriteria *criteria)
{
  const GsRequestCost *cost = criteria->cost;
  double used = used_slots (upstream, criteria->now_us);
  double slowness;
  double loads;
  double delays;

  if (cost == NULL || cost->per_unit <= 0)
    return UPSTREAM_FULL_COST * used / MAX (upstream->registration.slots, 1);
  slowness = gs_speed_slowness (&upstream->speed, criteria->now_us);
  /* requests that others sent have unknown sizes and ages */
  loads = MAX (used - upstream->work.n_items, 0)
          + gs_outstanding_remaining_us (&upstream->work, cost->tail, slowness, criteria->now_us)
                * cost->per_unit;
  delays = (slowness - 1) * cost->mean_us * cost->per_unit;
  return UPSTREAM_FULL_COST * MIN (loads * upstream->per_slot, UPSTREAM_LOADS_MAX)
         + UPSTREAM_DELAY_COST * MIN (delays, UPSTREAM_DELAYS_MAX)
         + UPSTREAM_RECENT_COST
               * MIN (upstream->recent * set->per_recent * upstream->per_slot, UPSTREAM_RECENT_MAX);
}

/* Whether UPSTREAM holds too many bytes of other requests for this one. */
static bool
is_out_of_bytes (const Upstream *upstream, const GsSelectionCriteria *criteria)
{
  return criteria->cost != NULL
         && !gs_outstanding_has_room (&upstream->work, criteria->cost->body_bytes,
                                      criteria->held_bytes_max);
}

/* Expected loss of sending the request to UPSTREAM, as a fraction of the request's value. */
static double
expected_cost (GsUpstreamSet *set,
               Upstream *upstream,
               const GsSelectionCriteria *criteria,
               double failing)
{
  double loss = UPSTREAM_FAILING_LOSS * (criteria->retryable ? UPSTREAM_RETRYABLE_LOSS : 1);
  double cost = failing * loss + load_cost (set, upstream, criteria);

  cost += UPSTREAM_SHED_COST * shed_share (upstream, criteria->now_us);
  if (upstream->warm_at_us > criteria->now_us)
    cost += UPSTREAM_WARMUP_COST;
  if (upstream->state == GS_REGISTRATION_DOUBTFUL)
    cost += UPSTREAM_DOUBTFUL_COST;
  if (upstream->domain != criteria->domain)
    cost += domain_cost (criteria->bytes);
  return cost + UPSTREAM_NOISE * gs_random_unit (&set->random);
}

static void
fill_info (const Upstream *upstream, double failing, int64_t now_us, GsUpstreamInfo *info)
{
  *info = (GsUpstreamInfo){ .key = upstream->key,
                            .id = upstream->registration.id,
                            .started_ms = upstream->registration.started_ms,
                            .ipv4 = upstream->registration.ipv4,
                            .port = upstream->registration.port,
                            .outstanding = (uint16_t)MIN (upstream->outstanding, UINT16_MAX),
                            .failing = failing,
                            .evidence_age_us
                            = upstream->observed_us != 0 ? now_us - upstream->observed_us : -1 };
}

static bool
is_idle (const Upstream *upstream, int64_t now_us)
{
  return upstream->outstanding == 0 && now_us - upstream->used_us >= UPSTREAM_IDLE_US;
}

static bool
failed_recently (const Upstream *upstream, int64_t now_us)
{
  return upstream->failed_us != 0 && now_us - upstream->failed_us < UPSTREAM_RECENT_FAILURE_US;
}

/* Largest part of the upstreams that may be idle while a request is placed, in a pool of
 * N_UPSTREAMS.
 */
static double
idle_share_limit (double n_upstreams, bool retryable)
{
  double deviation
      = sqrt (UPSTREAM_FLOOR_IDLE_SHARE * (1 - UPSTREAM_FLOOR_IDLE_SHARE) / fmax (n_upstreams, 1));
  double limit = UPSTREAM_FLOOR_IDLE_SHARE - UPSTREAM_FLOOR_MARGIN * deviation;

  return fmax (limit - (retryable ? UPSTREAM_IDLE_RETRYABLE_LEAD : 0), UPSTREAM_IDLE_SHARE);
}

/* Number of upstreams that are idle beyond those that may be. Beliefs about idle upstreams are
 * outdated, and healthy upstreams must get work whatever else fails. */
static uint32_t
excess_idle (const GsUpstreamSet *set, bool retryable, int64_t now_us)
{
  uint32_t eligible = 0;
  uint32_t idle = 0;
  uint32_t may_be_idle;

  for (guint i = 0; i < set->upstreams->len; i++)
    {
      const Upstream *upstream = upstream_at (set, i);
      if (!is_usable (upstream) || failed_recently (upstream, now_us))
        continue;
      eligible++;
      idle += is_idle (upstream, now_us) ? 1 : 0;
    }
  may_be_idle = (uint32_t)fmax (idle_share_limit (eligible / set->pool_share, retryable) * eligible,
                                fmin (UPSTREAM_IDLE_SHARE_FEW * eligible, UPSTREAM_IDLE_FEW));
  return idle > may_be_idle ? idle - may_be_idle : 0;
}

/* RETURN VALUE: the idle upstream that is most likely healthy if too many are idle, else NULL. */
static Upstream *
pick_idle (const GsUpstreamSet *set, const GsSelectionCriteria *criteria)
{
  Upstream *best = NULL;
  double least = 1;

  if (criteria->no_probe || excess_idle (set, criteria->retryable, criteria->now_us) == 0)
    return NULL;
  for (guint i = 0; i < set->upstreams->len; i++)
    {
      Upstream *upstream = upstream_at (set, i);
      double failing;
      if (!is_idle (upstream, criteria->now_us) || failed_recently (upstream, criteria->now_us)
          || is_ineligible (set, upstream, criteria) || !has_free_slot (upstream, criteria->now_us))
        continue;
      failing = failing_at (set, upstream, criteria->now_us);
      if (failing >= least)
        continue;
      best = upstream;
      least = failing;
    }
  return best;
}

bool
gs_upstream_set_select (GsUpstreamSet *set,
                        const GsSelectionCriteria *criteria,
                        GsUpstreamInfo *selected)
{
  double limit = failing_limit (criteria);
  double best = 0;
  bool found = false;
  Upstream *idle;

  update_rates (set, criteria->now_us);
  set->n_selections++;
  set->per_recent = set->recent > 0 ? set->slots_all / set->recent : 0;
  *selected = (GsUpstreamInfo){ .restricted = false };
  idle = pick_idle (set, criteria);
  if (idle != NULL)
    {
      fill_info (idle, failing_at (set, idle, criteria->now_us), criteria->now_us, selected);
      selected->reason = "idle";
      return true;
    }
  for (guint i = 0; i < set->upstreams->len; i++)
    {
      Upstream *upstream = upstream_at (set, i);
      double failing;
      bool is_probe;
      double cost;
      if (!is_usable (upstream) || !has_free_slot (upstream, criteria->now_us))
        continue;
      if (is_ineligible (set, upstream, criteria) || is_out_of_bytes (upstream, criteria))
        {
          selected->restricted = true;
          continue;
        }
      failing = failing_at (set, upstream, criteria->now_us);
      is_probe = !criteria->no_probe && needs_probe (set, upstream, criteria);
      if (failing > limit && !is_probe)
        continue;
      cost = expected_cost (set, upstream, criteria, failing);
      if (is_probe)
        cost -= probe_gain (set, upstream);
      if (found && cost >= best)
        continue;
      found = true;
      best = cost;
      fill_info (upstream, failing, criteria->now_us, selected);
      selected->reason = is_probe           ? "fresh-evidence"
                         : criteria->urgent ? "pressing"
                         : criteria->cost   ? "least-expected-end"
                                            : "least-expected-loss";
    }
  return found;
}

void
gs_upstream_set_acquire (GsUpstreamSet *set, uint64_t key, int64_t now_us)
{
  Upstream *upstream = find_upstream (set, key);

  if (upstream == NULL)
    return;
  upstream->outstanding++;
  upstream->used_us = now_us;
}

void
gs_upstream_set_release (GsUpstreamSet *set, uint64_t key)
{
  Upstream *upstream = find_upstream (set, key);

  if (upstream != NULL && upstream->outstanding > 0)
    upstream->outstanding--;
}

/* Weight of work granted at NOW_US among recent work. Instead of a decay of each upstream's, the
 * weight grows; only the shares of the upstreams matter. */
static double
recent_growth (GsUpstreamSet *set, int64_t now_us)
{
  double growth = exp ((double)(now_us - set->recent_since_us) / (double)GS_US_PER_S
                       / UPSTREAM_RECENT_DECAY_S);

  if (growth < 1e6)
    return growth;
  for (guint i = 0; i < set->upstreams->len; i++)
    upstream_at (set, i)->recent /= growth;
  set->recent /= growth;
  set->recent_since_us = now_us;
  return 1;
}

void
gs_upstream_set_add_work (GsUpstreamSet *set, uint64_t key, const GsGrantedWork *work)
{
  Upstream *upstream = find_upstream (set, key);
  double recent;

  if (upstream == NULL)
    return;
  gs_outstanding_add (&upstream->work, work);
  recent = work->typical_us * recent_growth (set, work->started_us);
  upstream->recent += recent;
  set->recent += recent;
}

void
gs_upstream_set_remove_work (GsUpstreamSet *set, uint64_t key, uint64_t grant)
{
  Upstream *upstream = find_upstream (set, key);

  if (upstream != NULL)
    gs_outstanding_remove (&upstream->work, grant);
}

GsSpeed *
gs_upstream_set_speed (GsUpstreamSet *set, uint64_t key)
{
  Upstream *upstream = find_upstream (set, key);

  return upstream != NULL ? &upstream->speed : NULL;
}

uint32_t
gs_upstream_set_slots_max (const GsUpstreamSet *set)
{
  return set->slots_max;
}

static void
record_bad_path (Upstream *upstream, uint64_t origin, int64_t now_us)
{
  BadPath *entry = &upstream->bad_paths[0];

  for (int i = 0; i < GS_UPSTREAM_SET_BAD_PATHS_MAX; i++)
    {
      if (upstream->bad_paths[i].origin == origin)
        {
          entry = &upstream->bad_paths[i];
          break;
        }
      if (upstream->bad_paths[i].until_us < entry->until_us)
        entry = &upstream->bad_paths[i];
    }
  *entry = (BadPath){ .origin = origin, .until_us = now_us + UPSTREAM_BAD_PATH_US };
}

static bool
is_upstream_evidence (const Upstream *upstream, GsObservation observation, int64_t now_us)
{
  return observation != GS_OBSERVATION_UNREACHABLE || upstream->answered_us == 0
         || now_us - upstream->answered_us > UPSTREAM_ANSWER_PROOF_US;
}

bool
gs_upstream_set_observe (GsUpstreamSet *set,
                         uint64_t key,
                         uint64_t origin,
                         GsObservation observation,
                         int64_t now_us,
                         GsBeliefTransition *transition)
{
  Upstream *upstream = find_upstream (set, key);
  bool is_answer
      = observation == GS_OBSERVATION_ANSWER || observation == GS_OBSERVATION_LONG_ANSWER;
  double before;

  if (upstream == NULL)
    return false;
  update_rates (set, now_us);
  if (observation == GS_OBSERVATION_UNREACHABLE)
    record_bad_path (upstream, origin, now_us);
  if (!is_upstream_evidence (upstream, observation, now_us))
    return false;
  before = gs_belief_failing (&upstream->belief, &set->rates, now_us);
  gs_belief_observe (&upstream->belief, &set->rates, observation, now_us);
  upstream->failing_us = -1; /* compute it anew */
  upstream->observed_us = now_us;
  if (is_answer)
    upstream->answered_us = now_us;
  else
    upstream->failed_us = now_us;
  if (upstream->belief.failing < UPSTREAM_FAILING_THRESHOLD)
    upstream->failed_probes = 0;
  else if (!is_answer && before >= UPSTREAM_FAILING_THRESHOLD)
    upstream->failed_probes++;
  if ((before < UPSTREAM_FAILING_THRESHOLD)
      == (upstream->belief.failing < UPSTREAM_FAILING_THRESHOLD))
    return false;
  *transition
      = (GsBeliefTransition){ .id = upstream->registration.id,
                              .failing = upstream->belief.failing >= UPSTREAM_FAILING_THRESHOLD,
                              .probability = upstream->belief.failing };
  set->onsets += transition->failing ? 1 : 0;
  set->recoveries += transition->failing ? 0 : 1;
  set->rates_outdated = true;
  return true;
}

void
gs_upstream_set_record_load (GsUpstreamSet *set,
                             uint64_t key,
                             uint32_t running,
                             uint32_t waiting,
                             int64_t now_us)
{
  Upstream *upstream = find_upstream (set, key);
  uint32_t busy = running + waiting;

  if (upstream == NULL)
    return;
  upstream->load_us = now_us;
  /* the reported load includes the request whose answer carried it */
  upstream->other_requests
      = busy > upstream->outstanding + 1 ? busy - upstream->outstanding - 1 : 0;
}

void
gs_upstream_set_record_shed (GsUpstreamSet *set, uint64_t key, bool refused, int64_t now_us)
{
  Upstream *upstream = find_upstream (set, key);
  double share;

  if (upstream == NULL)
    return;
  share = shed_share (upstream, now_us);
  if (refused && !has_free_slot (upstream, now_us))
    upstream->full_until_us = now_us + UPSTREAM_FULL_PAUSE_US;
  else
    share += UPSTREAM_SHED_WEIGHT * ((refused ? 1 : 0) - share);
  upstream->shed = share;
  upstream->shed_us = now_us;
}

void
gs_upstream_set_exclude (GsUpstreamSet *set, uint64_t key)
{
  Upstream *upstream = find_upstream (set, key);

  if (upstream != NULL)
    upstream->excluded = true;
}

static gboolean
has_passed (gpointer key, gpointer until_us, gpointer now_us)
{
  (void)key;
  return *(int64_t *)until_us <= *(int64_t *)now_us;
}

void
gs_upstream_set_record_quiet (GsUpstreamSet *set,
                              uint64_t key,
                              uint64_t origin,
                              int64_t now_us,
                              int64_t until_us)
{
  uint64_t pair = gs_mix64 (key ^ gs_mix64 (origin));
  int64_t *known_us = g_hash_table_lookup (set->quiet_until, &pair);

  if (known_us != NULL)
    {
      *known_us = MAX (*known_us, until_us);
      return;
    }
  if (g_hash_table_size (set->quiet_until) >= GS_UPSTREAM_SET_QUIET_MAX)
    g_hash_table_foreach_remove (set->quiet_until, has_passed, &now_us);
  if (g_hash_table_size (set->quiet_until) < GS_UPSTREAM_SET_QUIET_MAX)
    g_hash_table_insert (set->quiet_until, g_memdup2 (&pair, sizeof pair),
                         g_memdup2 (&until_us, sizeof until_us));
}

static bool
is_allowed (const Upstream *upstream, const GsSelectionCriteria *criteria)
{
  return is_usable (upstream) && !contains_key (upstream->key, criteria->tried, criteria->n_tried);
}

int64_t
gs_upstream_set_quiet_us (const GsUpstreamSet *set, const GsSelectionCriteria *criteria)
{
  int64_t least_us = INT64_MAX;

  for (guint i = 0; i < set->upstreams->len && least_us > 0; i++)
    {
      const Upstream *upstream = upstream_at (set, i);
      if (is_allowed (upstream, criteria))
        least_us
            = MIN (least_us, quiet_left_us (set, upstream, criteria->origin, criteria->now_us));
    }
  return least_us != INT64_MAX ? least_us : 0;
}

int64_t
gs_upstream_set_pick_return_us (GsUpstreamSet *set, const GsSelectionCriteria *criteria)
{
  double slots = 0;
  int64_t picked_us = 0;

  for (guint i = 0; i < set->upstreams->len; i++)
    {
      const Upstream *upstream = upstream_at (set, i);
      if (!is_allowed (upstream, criteria))
        continue;
      slots += upstream->registration.slots;
      if (gs_random_unit (&set->random) * slots < upstream->registration.slots)
        picked_us = quiet_left_us (set, upstream, criteria->origin, criteria->now_us);
    }
  return picked_us;
}

void
gs_upstream_set_record_served (GsUpstreamSet *set, bool served, int64_t now_us)
{
  double elapsed_s = (double)(now_us - set->results_updated_us) / (double)GS_US_PER_S;
  double decay = elapsed_s > 0 ? exp (-elapsed_s / UPSTREAM_RESULTS_DECAY_S) : 1;

  set->results_updated_us = MAX (set->results_updated_us, now_us);
  set->results = set->results * decay + 1;
  set->failures = set->failures * decay + (served ? 0 : 1);
}

bool
gs_upstream_set_is_suspect (const GsUpstreamSet *set, uint64_t key, int64_t now_us)
{
  const Upstream *upstream = find_upstream (set, key);

  return upstream == NULL
         || gs_belief_failing (&upstream->belief, &set->rates, now_us)
                >= UPSTREAM_FAILING_THRESHOLD;
}

uint64_t
gs_upstream_set_selections (const GsUpstreamSet *set)
{
  return set->n_selections;
}

uint32_t
gs_upstream_set_capacity (const GsUpstreamSet *set, int64_t now_us)
{
  uint32_t capacity = 0;

  for (guint i = 0; i < set->upstreams->len; i++)
    {
      Upstream *upstream = upstream_at (set, i);
      if (is_usable (upstream) && failing_at (set, upstream, now_us) < UPSTREAM_FAILING_THRESHOLD)
        capacity += upstream->registration.slots;
    }
  return capacity;
}

GsSliceCapacity
gs_upstream_set_measure (const GsUpstreamSet *set, int64_t now_us)
{
  GsSliceCapacity capacity = { .idle = excess_idle (set, false, now_us) };

  for (guint i = 0; i < set->upstreams->len; i++)
    {
      Upstream *upstream = upstream_at (set, i);
      if (!is_usable (upstream))
        continue;
      capacity.usable++;
      if (has_free_slot (upstream, now_us)
          && failing_at (set, upstream, now_us) < UPSTREAM_FAILING_THRESHOLD)
        capacity.free_slots += upstream->registration.slots - used_slots (upstream, now_us);
    }
  return capacity;
}

bool
gs_upstream_set_has_usable (const GsUpstreamSet *set, const uint64_t *tried, uint8_t n_tried)
{
  for (guint i = 0; i < set->upstreams->len; i++)
    if (is_usable (upstream_at (set, i))
        && !contains_key (upstream_at (set, i)->key, tried, n_tried))
      return true;
  return false;
}

uint32_t
gs_upstream_set_count_usable (const GsUpstreamSet *set, const uint64_t *tried, uint8_t n_tried)
{
  uint32_t usable = 0;

  for (guint i = 0; i < set->upstreams->len; i++)
    usable += is_usable (upstream_at (set, i))
                      && !contains_key (upstream_at (set, i)->key, tried, n_tried)
                  ? 1
                  : 0;
  return usable;
}

bool
gs_upstream_set_get (const GsUpstreamSet *set,
                     uint32_t index,
                     int64_t now_us,
                     GsUpstreamInfo *info,
                     GsRegistrationState *state)
{
  const Upstream *upstream;

  if (index >= set->upstreams->len)
    return false;
  upstream = upstream_at (set, index);
  fill_info (upstream, gs_belief_failing (&upstream->belief, &set->rates, now_us), now_us, info);
  *state = upstream->excluded ? GS_REGISTRATION_LEAVING : upstream->state;
  return true;
}

const char *
gs_upstream_set_id (const GsUpstreamSet *set, uint64_t key)
{
  const Upstream *upstream = find_upstream (set, key);

  return upstream != NULL ? upstream->registration.id : NULL;
}
