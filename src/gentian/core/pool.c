#include "pool.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  POOL_LATE_SAMPLES_MAX = 3,     /* late attempts that count between two answers of an upstream */
  POOL_CONNECT_FAILURES_MAX = 2, /* consecutive connect failures that eject an upstream */
};

/** Each further ejection doubles the time up to the maximum. */
#define POOL_EJECTION_TIME_FIRST_US (2 * GS_US_PER_S)
#define POOL_EJECTION_TIME_MAX_US (120 * GS_US_PER_S)
#define POOL_EJECTION_TIME_UNREACHABLE_US (GS_US_PER_S / 2)
#define POOL_WARM_UP_US (5 * GS_US_PER_S)
/** An upstream that was in rotation for this long starts again with the first ejection time. */
#define POOL_EJECTION_TIME_RESET_US (120 * GS_US_PER_S)
#define POOL_PEER_EVIDENCE_LIFE_US (200 * GS_US_PER_MS)
/** After this time the reused connections to an upstream may have gone silent again. */
#define POOL_FRESH_CONNECTIONS_US (10 * GS_US_PER_S)
#define POOL_SHED_BACKOFF_US (50 * GS_US_PER_MS)
#define POOL_LATENCY_INITIAL_US (20 * GS_US_PER_MS)
#define POOL_OVERDUE_MIN_US (100 * GS_US_PER_MS)
/** An attempt is overdue at this multiple of the pool's average answer time. */
#define POOL_OVERDUE_FACTOR 12
/** An attempt is late at this multiple of the pool's average answer time. */
#define POOL_LATE_FACTOR 6
/** Time constant with which an upstream's answer time decays to the pool's average. */
#define POOL_LATENCY_DECAY_US (500 * GS_US_PER_MS)
/** Weight of the newest answer in the exponential moving average of answer times. */
#define POOL_LATENCY_WEIGHT 0.1
/** Share of the threshold that a home's own evidence must reach before other homes' counts. */
#define POOL_OWN_EVIDENCE_SHARE 0.2
/**
 * Share of the threshold from which an upstream is suspected. When more than half of the upstreams
 * in rotation are, the pool as a whole has changed and none is ejected.
 */
#define POOL_SUSPECTED_SHARE 0.3
/**
 * Evidence added against most upstreams within this time has a common cause, such as a pause of the
 * machine, which is shorter.
 */
#define POOL_COMMON_CAUSE_SPAN_US (250 * GS_US_PER_MS)
/** Limit on another home's evidence, as a multiple of the own evidence. */
#define POOL_PEER_EVIDENCE_RATIO_MAX 1.5
/** Share of its even part of the slots that a home may use in addition. */
#define POOL_OVERCOMMIT_SHARE 0.5

typedef struct
{
  double score_nats;
  int64_t at_us;
  int alternative;
} PeerEvidence;

typedef struct
{
  char *id;
  const char *failure_domain;
  const char *reason;
  uint32_t ipv4;
  uint16_t port;
  GsUpstreamState state;
  bool row_leaving; /* value in the last row */
  uint32_t outstanding;
  uint16_t connect_failures;
  uint16_t n_late;           /* attempts reported late since the last answer */
  double late_nats;          /* evidence added by those attempts */
  int64_t evidence_added_us; /* when evidence against the upstream was last added */
  int64_t ejection_us;
  int64_t ejected_until_us;
  int64_t warming_since_us;
  int64_t in_rotation_since_us;
  int64_t backoff_until_us;
  int64_t quiet_until_us; /* it asked for no requests until then */
  int64_t leaving_reported_us;
  int64_t last_answer_us;
  int64_t fresh_since_us; /* attempts sent since then use fresh connections; 0: never */
  double latency_us;
  PeerEvidence peer_evidence[GS_POOL_PEERS_MAX];
} Upstream;

struct GsPool
{
  GsPoolRow row; /* scalars and name only */
  GsPoolOptions options;
  GsDetector *detector;
  Upstream *upstreams;
  uint16_t n_upstreams;
  uint8_t n_homes;
  uint32_t outstanding;
  double latency_us;
  GsPoolChange changes[GS_POOL_CHANGES_MAX];
  uint32_t n_changes;
};

const char *
gs_upstream_state_name (GsUpstreamState state)
{
  static const char *const names[] = { "healthy", "warming", "ejected", "trial", "leaving" };
  return names[state];
}

static bool
in_rotation (const Upstream *upstream)
{
  return upstream->state == GS_UPSTREAM_HEALTHY || upstream->state == GS_UPSTREAM_WARMING;
}

uint16_t
gs_pool_in_rotation (const GsPool *pool)
{
  uint16_t count = 0;

  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    count += in_rotation (&pool->upstreams[i]) ? 1 : 0;
  return count;
}

uint16_t
gs_pool_floor (const GsPool *pool)
{
  uint32_t floor = ((uint32_t)pool->n_upstreams * pool->row.floor_percent + 99) / 100;

  return (uint16_t)MAX (floor, 1);
}

static void
change_state (GsPool *pool, uint16_t index, GsUpstreamState to, const char *reason)
{
  Upstream *upstream = &pool->upstreams[index];

  if (pool->n_changes < GS_POOL_CHANGES_MAX)
    pool->changes[pool->n_changes++]
        = (GsPoolChange){ .upstream = index,
                          .from = upstream->state,
                          .to = to,
                          .reason = reason,
                          .score_nats = gs_detector_score (pool->detector, index) };
  upstream->state = to;
  upstream->reason = reason;
}

uint32_t
gs_pool_take_changes (GsPool *pool, GsPoolChange *changes, uint32_t max)
{
  uint32_t count = MIN (pool->n_changes, max);

  memcpy (changes, pool->changes, count * sizeof *changes);
  pool->n_changes = 0;
  return count;
}

static void
start_warming (GsPool *pool, uint16_t index, int64_t now_us, const char *reason)
{
  Upstream *upstream = &pool->upstreams[index];

  gs_detector_clear_evidence (pool->detector, index);
  memset (upstream->peer_evidence, 0, sizeof upstream->peer_evidence);
  upstream->warming_since_us = now_us;
  upstream->in_rotation_since_us = now_us;
  upstream->latency_us = pool->latency_us;
  change_state (pool, index, GS_UPSTREAM_WARMING, reason);
}

/* Ejected upstream with the least evidence against it, or -1. */
static int
least_suspected (const GsPool *pool)
{
  int best = -1;

  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    {
      GsUpstreamState state = pool->upstreams[i].state;
      if (state != GS_UPSTREAM_EJECTED && state != GS_UPSTREAM_TRIAL)
        continue;
      if (best < 0
          || gs_detector_score (pool->detector, i)
                 < gs_detector_score (pool->detector, (uint16_t)best))
        best = i;
    }
  return best;
}

static void
enforce_floor (GsPool *pool, int64_t now_us)
{
  while (gs_pool_in_rotation (pool) < gs_pool_floor (pool))
    {
      int index = least_suspected (pool);
      if (index < 0)
        return;
      start_warming (pool, (uint16_t)index, now_us, "floor");
      pool->upstreams[index].warming_since_us = now_us - POOL_WARM_UP_US;
    }
}

static void
eject (GsPool *pool, uint16_t index, int64_t now_us, const char *reason, int64_t first_ejection_us)
{
  Upstream *upstream = &pool->upstreams[index];

  if (!in_rotation (upstream) || gs_pool_in_rotation (pool) <= gs_pool_floor (pool))
    return;
  if (upstream->ejection_us == 0
      || now_us - upstream->in_rotation_since_us > POOL_EJECTION_TIME_RESET_US)
    upstream->ejection_us = first_ejection_us;
  else
    upstream->ejection_us = MIN (upstream->ejection_us * 2, POOL_EJECTION_TIME_MAX_US);
  upstream->ejected_until_us = now_us + upstream->ejection_us;
  change_state (pool, index, GS_UPSTREAM_EJECTED, reason);
}

/*
 * Evidence of the other homes for the same alternative. Each home's part is limited to a multiple
 * of the own evidence.
 */
static double
peer_evidence_score (const Upstream *upstream, int alternative, double own, int64_t now_us)
{
  double sum = 0;

  for (int i = 0; i < GS_POOL_PEERS_MAX; i++)
    if (upstream->peer_evidence[i].at_us != 0
        && upstream->peer_evidence[i].alternative == alternative
        && now_us - upstream->peer_evidence[i].at_us < POOL_PEER_EVIDENCE_LIFE_US)
      sum += MIN (upstream->peer_evidence[i].score_nats, own * POOL_PEER_EVIDENCE_RATIO_MAX);
  return sum;
}

/*
 * Own evidence, plus that of the other homes once the own evidence has reached a minimum share of
 * the threshold.
 */
static double
combined_score (const GsPool *pool, uint16_t index, int64_t now_us)
{
  double own = gs_detector_score (pool->detector, index);
  double threshold = gs_detector_threshold (pool->detector);

  if (own < threshold * POOL_OWN_EVIDENCE_SHARE)
    return own;
  return own
         + peer_evidence_score (&pool->upstreams[index],
                                gs_detector_alternative (pool->detector, index), own, now_us);
}

/* True when more than half of the upstreams in rotation are suspected: the pool has changed. */
static bool
majority_suspected (const GsPool *pool, int64_t now_us)
{
  double limit = gs_detector_threshold (pool->detector) * POOL_SUSPECTED_SHARE;
  uint16_t suspected = 0;

  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    if (in_rotation (&pool->upstreams[i]) && combined_score (pool, i, now_us) >= limit)
      suspected++;
  return suspected * 2 > gs_pool_in_rotation (pool);
}

static int
compare_scores (const void *left, const void *right)
{
  const double a = *(const double *)left;
  const double b = *(const double *)right;

  return (a > b) - (a < b);
}

/* Median of the evidence against the upstreams in rotation. */
static double
median_score (const GsPool *pool, int64_t now_us)
{
  g_autofree double *scores = g_new (double, pool->n_upstreams);
  uint16_t count = 0;

  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    if (in_rotation (&pool->upstreams[i]))
      scores[count++] = combined_score (pool, i, now_us);
  qsort (scores, count, sizeof *scores, compare_scores);
  return scores[count / 2];
}

/*
 * Subtracts the evidence that the upstreams have in common, which no single upstream has caused.
 * Evidence against one upstream beyond that remains, and so does evidence from before the common
 * event.
 */
static void
subtract_common_evidence (GsPool *pool, int64_t now_us)
{
  double median = median_score (pool, now_us);

  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    if (in_rotation (&pool->upstreams[i])
        && now_us - pool->upstreams[i].evidence_added_us < POOL_COMMON_CAUSE_SPAN_US)
      gs_detector_subtract_evidence (pool->detector, i, median);
  gs_detector_reset_reference (pool->detector);
}

static void
evaluate_upstream (GsPool *pool, uint16_t index, int64_t now_us)
{
  double threshold = gs_detector_threshold (pool->detector);
  double score = combined_score (pool, index, now_us);

  if (!in_rotation (&pool->upstreams[index]) || score < threshold * POOL_SUSPECTED_SHARE)
    return;
  if (pool->n_upstreams > 1 && majority_suspected (pool, now_us))
    subtract_common_evidence (pool, now_us);
  else if (score >= threshold)
    eject (pool, index, now_us, gs_detector_reason (pool->detector, index),
           POOL_EJECTION_TIME_FIRST_US);
}

static void
evaluate_trial (GsPool *pool, uint16_t index, int64_t now_us)
{
  Upstream *upstream = &pool->upstreams[index];
  GsTrialResult result = gs_detector_trial (pool->detector, index);

  if (result == GS_TRIAL_PASSED)
    start_warming (pool, index, now_us, "trial-passed");
  if (result != GS_TRIAL_FAILED)
    return;
  upstream->ejection_us = MIN (upstream->ejection_us * 2, POOL_EJECTION_TIME_MAX_US);
  upstream->ejected_until_us = now_us + upstream->ejection_us;
  change_state (pool, index, GS_UPSTREAM_EJECTED, "trial-failed");
}

/* Adds SAMPLE without ejecting. RETURN VALUE: true when it added evidence against the upstream. */
static bool
record_sample (GsPool *pool, uint16_t index, const GsDetectorSample *sample)
{
  double before = gs_detector_score (pool->detector, index);

  gs_detector_sample (pool->detector, index, sample);
  if (gs_detector_score (pool->detector, index) <= before)
    return false;
  pool->upstreams[index].evidence_added_us = sample->now_us;
  return true;
}

static void
add_sample (GsPool *pool, uint16_t index, const GsDetectorSample *sample)
{
  bool adds_evidence = record_sample (pool, index, sample);

  if (pool->upstreams[index].state == GS_UPSTREAM_TRIAL)
    evaluate_trial (pool, index, sample->now_us);
  else if (adds_evidence)
    evaluate_upstream (pool, index, sample->now_us);
}

static void
add_failure (GsPool *pool, uint16_t index, int64_t now_us)
{
  GsDetectorSample sample = { .now_us = now_us, .failed = true };

  add_sample (pool, index, &sample);
}

static void
add_answer (GsPool *pool, uint16_t index, const GsAttemptResult *result)
{
  Upstream *upstream = &pool->upstreams[index];
  GsDetectorSample sample = { .now_us = result->now_us,
                              .answer_us = result->answer_us,
                              .had_provisional = result->late_counted,
                              .use_answer_time = upstream->state != GS_UPSTREAM_WARMING };

  upstream->connect_failures = 0;
  upstream->n_late = 0;
  upstream->late_nats = 0;
  upstream->last_answer_us = result->now_us;
  upstream->latency_us += POOL_LATENCY_WEIGHT * ((double)result->answer_us - upstream->latency_us);
  if (in_rotation (upstream))
    pool->latency_us += POOL_LATENCY_WEIGHT / MAX (pool->n_upstreams, 1)
                        * ((double)result->answer_us - pool->latency_us);
  add_sample (pool, index, &sample);
}

static void
record_connect_failure (GsPool *pool, uint16_t index, int64_t now_us)
{
  Upstream *upstream = &pool->upstreams[index];

  upstream->connect_failures++;
  upstream->backoff_until_us = now_us + POOL_SHED_BACKOFF_US;
  if (upstream->state == GS_UPSTREAM_TRIAL)
    {
      upstream->ejection_us = MIN (upstream->ejection_us * 2, POOL_EJECTION_TIME_MAX_US / 8);
      upstream->ejected_until_us = now_us + upstream->ejection_us;
      change_state (pool, index, GS_UPSTREAM_EJECTED, "unreachable");
    }
  else if (upstream->connect_failures >= POOL_CONNECT_FAILURES_MAX)
    eject (pool, index, now_us, "unreachable", POOL_EJECTION_TIME_UNREACHABLE_US);
}

void
gs_pool_begin_attempt (GsPool *pool, uint16_t upstream)
{
  pool->upstreams[upstream].outstanding++;
  pool->outstanding++;
}

void
gs_pool_end_attempt (GsPool *pool, uint16_t index, const GsAttemptResult *result)
{
  Upstream *upstream = &pool->upstreams[index];

  upstream->outstanding--;
  pool->outstanding--;
  switch (result->outcome)
    {
    case GS_OUTCOME_OK:
      add_answer (pool, index, result);
      break;
    case GS_OUTCOME_REFUSED:
      upstream->backoff_until_us = result->now_us + POOL_SHED_BACKOFF_US;
      break;
    case GS_OUTCOME_MISDIRECTED:
    case GS_OUTCOME_LEAVING:
      gs_pool_mark_leaving (pool, upstream->id, result->now_us);
      break;
    case GS_OUTCOME_UNREACHABLE:
      record_connect_failure (pool, index, result->now_us);
      break;
    case GS_OUTCOME_SILENT:
      if (!result->overdue_counted)
        gs_pool_report_overdue (pool, index, result->sent_us, result->now_us);
      break;
    case GS_OUTCOME_CANCELLED:
    case GS_OUTCOME_STOPPED:
      break;
    default:
      if (!result->overdue_counted && !result->request_suspect)
        add_failure (pool, index, result->now_us);
    }
}

/* Subtracts the evidence that late attempts have added since the last answer. */
static void
discard_late_evidence (GsPool *pool, uint16_t index)
{
  gs_detector_subtract_evidence (pool->detector, index, pool->upstreams[index].late_nats);
  pool->upstreams[index].late_nats = 0;
}

bool
gs_pool_report_overdue (GsPool *pool, uint16_t index, int64_t sent_us, int64_t now_us)
{
  Upstream *upstream = &pool->upstreams[index];

  if (upstream->fresh_since_us == 0
      || now_us - upstream->fresh_since_us > POOL_FRESH_CONNECTIONS_US)
    {
      upstream->fresh_since_us = now_us;
      if (now_us - upstream->last_answer_us >= gs_pool_overdue_age_us (pool))
        discard_late_evidence (pool, index); /* the cause may be silent connections */
      return true;
    }
  if (sent_us >= upstream->fresh_since_us)
    add_failure (pool, index, now_us);
  return false;
}

void
gs_pool_report_late (GsPool *pool, uint16_t index, int64_t age_us, int64_t now_us)
{
  Upstream *upstream = &pool->upstreams[index];
  GsDetectorSample sample = { .now_us = now_us,
                              .answer_us = age_us,
                              .provisional = true,
                              .use_answer_time = upstream->state != GS_UPSTREAM_WARMING };

  if (upstream->n_late++ >= POOL_LATE_SAMPLES_MAX)
    return;
  upstream->late_nats -= gs_detector_score (pool->detector, index);
  record_sample (pool, index, &sample); /* no ejection yet: the connections may be silent */
  upstream->late_nats += gs_detector_score (pool->detector, index);
}

int64_t
gs_pool_late_age_us (const GsPool *pool)
{
  return (int64_t)(pool->latency_us * POOL_LATE_FACTOR);
}

int64_t
gs_pool_overdue_age_us (const GsPool *pool)
{
  return MAX (POOL_OVERDUE_MIN_US, (int64_t)(pool->latency_us * POOL_OVERDUE_FACTOR));
}

int
gs_pool_find (const GsPool *pool, const char *id)
{
  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    if (strcmp (pool->upstreams[i].id, id) == 0)
      return i;
  return -1;
}

bool
gs_pool_mark_leaving (GsPool *pool, const char *id, int64_t now_us)
{
  int index = gs_pool_find (pool, id);

  if (index < 0)
    return false;
  pool->upstreams[index].leaving_reported_us = now_us;
  if (pool->upstreams[index].state == GS_UPSTREAM_LEAVING)
    return false;
  change_state (pool, (uint16_t)index, GS_UPSTREAM_LEAVING, "leaving");
  enforce_floor (pool, now_us);
  return true;
}

void
gs_pool_mark_listed_live (GsPool *pool, const char *id, int64_t now_us)
{
  int index = gs_pool_find (pool, id);

  if (index < 0 || pool->upstreams[index].state != GS_UPSTREAM_LEAVING
      || now_us - pool->upstreams[index].leaving_reported_us < GS_PLATFORM_LIST_LAG_US)
    return;
  gs_detector_begin_trial (pool->detector, (uint16_t)index);
  change_state (pool, (uint16_t)index, GS_UPSTREAM_TRIAL, "listed-live");
}

uint64_t
gs_pool_upstream_key (const GsPool *pool, uint16_t upstream)
{
  const Upstream *up = &pool->upstreams[upstream];

  return gs_hash_bytes (up->id, strlen (up->id), ((uint64_t)up->ipv4 << 16) | up->port);
}

int
gs_pool_find_key (const GsPool *pool, uint64_t key)
{
  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    if (gs_pool_upstream_key (pool, i) == key)
      return i;
  return -1;
}

void
gs_pool_add_peer_evidence (GsPool *pool,
                           uint16_t peer,
                           const char *id,
                           int alternative,
                           double score_nats,
                           int64_t now_us)
{
  int index = gs_pool_find (pool, id);
  double threshold = gs_detector_threshold (pool->detector);

  if (index < 0 || !isfinite (score_nats))
    return;
  pool->upstreams[index].peer_evidence[peer % GS_POOL_PEERS_MAX] = (PeerEvidence){
    .score_nats = CLAMP (score_nats, 0, threshold), .at_us = now_us, .alternative = alternative
  };
  evaluate_upstream (pool, (uint16_t)index, now_us);
}

int
gs_pool_alternative (const GsPool *pool, uint16_t upstream)
{
  return gs_detector_alternative (pool->detector, upstream);
}

static uint32_t
slot_limit (const GsPool *pool, const Upstream *upstream, int64_t now_us)
{
  int64_t warming_us = now_us - upstream->warming_since_us;

  if (upstream->state == GS_UPSTREAM_TRIAL)
    return 1;
  if (upstream->state != GS_UPSTREAM_WARMING || warming_us >= POOL_WARM_UP_US)
    return pool->row.slots;
  return 1 + (uint32_t)((pool->row.slots - 1) * warming_us / POOL_WARM_UP_US);
}

static bool
was_tried (const GsPoolSelectOptions *options, uint16_t index)
{
  for (uint8_t i = 0; i < options->n_tried; i++)
    if (options->tried[i] == index)
      return true;
  return false;
}

static bool
is_eligible (const GsPool *pool, uint16_t index, const GsPoolSelectOptions *options)
{
  const Upstream *upstream = &pool->upstreams[index];

  if (was_tried (options, index) || upstream->backoff_until_us > options->now_us
      || upstream->quiet_until_us > options->now_us)
    return false;
  if (upstream->outstanding >= slot_limit (pool, upstream, options->now_us))
    return false;
  return in_rotation (upstream);
}

/* A free upstream on trial, for the first attempt of an idempotent request; or -1. */
static int
select_trial (const GsPool *pool, const GsPoolSelectOptions *options)
{
  if (options->repeat != GS_REPEAT_SAFE || options->n_tried > 0)
    return -1;
  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    if (pool->upstreams[i].state == GS_UPSTREAM_TRIAL && pool->upstreams[i].outstanding == 0
        && pool->upstreams[i].backoff_until_us <= options->now_us
        && pool->upstreams[i].quiet_until_us <= options->now_us)
      return i;
  return -1;
}

/* The upstream's answer time decays to the pool's, so that a slow upstream is tried again. */
static double
expected_latency (const GsPool *pool, const Upstream *upstream, int64_t now_us)
{
  double age = (double)(now_us - upstream->last_answer_us) / (double)POOL_LATENCY_DECAY_US;

  return pool->latency_us + (upstream->latency_us - pool->latency_us) * exp (-fmax (age, 0));
}

int
gs_pool_select (GsPool *pool, const GsPoolSelectOptions *options)
{
  int best = select_trial (pool, options);
  double best_wait = INFINITY;

  if (best >= 0)
    return best;
  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    {
      const Upstream *upstream = &pool->upstreams[i];
      double wait;
      if (!is_eligible (pool, i, options))
        continue;
      wait = (upstream->outstanding + 1) * expected_latency (pool, upstream, options->now_us)
             * (1 + 0.05 * gs_random_unit (options->random));
      if (wait >= best_wait)
        continue;
      best_wait = wait;
      best = i;
    }
  return best;
}

void
gs_pool_set_quiet (GsPool *pool, uint16_t index, int64_t until_us)
{
  pool->upstreams[index].quiet_until_us = MAX (pool->upstreams[index].quiet_until_us, until_us);
}

int64_t
gs_pool_quiet_left_us (const GsPool *pool, int64_t now_us)
{
  int64_t least_us = INT64_MAX;

  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    if (in_rotation (&pool->upstreams[i]))
      least_us = MIN (least_us, MAX (pool->upstreams[i].quiet_until_us - now_us, 0));
  return least_us != INT64_MAX ? least_us : 0;
}

static void
tick_upstream (GsPool *pool, uint16_t index, int64_t now_us)
{
  Upstream *upstream = &pool->upstreams[index];

  if (upstream->state == GS_UPSTREAM_EJECTED && now_us >= upstream->ejected_until_us)
    {
      gs_detector_begin_trial (pool->detector, index);
      change_state (pool, index, GS_UPSTREAM_TRIAL, "hold-over");
    }
  else if (upstream->state == GS_UPSTREAM_WARMING
           && now_us - upstream->warming_since_us >= POOL_WARM_UP_US)
    change_state (pool, index, GS_UPSTREAM_HEALTHY, "warm");
}

void
gs_pool_tick (GsPool *pool, int64_t now_us)
{
  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    tick_upstream (pool, i, now_us);
  enforce_floor (pool, now_us);
}

static void
fill_upstream (Upstream *upstream, const GsUpstreamRow *row)
{
  upstream->id = g_strdup (row->id);
  upstream->failure_domain = row->failure_domain;
  upstream->ipv4 = row->ipv4;
  upstream->port = row->port;
}

static void
free_upstreams (Upstream *upstreams, uint16_t count)
{
  for (uint16_t i = 0; i < count; i++)
    g_free (upstreams[i].id);
  g_free (upstreams);
}

static bool
same_upstreams (const GsPool *pool, const GsPoolRow *row)
{
  if (pool->n_upstreams != row->n_upstreams || pool->row.cost != row->cost)
    return false;
  for (uint16_t i = 0; i < row->n_upstreams; i++)
    if (strcmp (pool->upstreams[i].id, row->upstreams[i].id) != 0
        || pool->upstreams[i].ipv4 != row->upstreams[i].ipv4
        || pool->upstreams[i].port != row->upstreams[i].port)
      return false;
  return true;
}

static void
build_upstreams (GsPool *pool, const GsPoolRow *row, int64_t now_us, bool cold_start)
{
  GsDetectorOptions options = { .klass = pool->options.detector_class,
                                .n_upstreams = row->n_upstreams,
                                .cost = row->cost,
                                .threshold = pool->options.threshold };

  pool->detector = gs_detector_new (&options);
  pool->upstreams = g_new0 (Upstream, row->n_upstreams);
  pool->n_upstreams = row->n_upstreams;
  pool->outstanding = 0;
  for (uint16_t i = 0; i < row->n_upstreams; i++)
    {
      Upstream *upstream = &pool->upstreams[i];
      fill_upstream (upstream, &row->upstreams[i]);
      upstream->latency_us = pool->latency_us;
      upstream->in_rotation_since_us = now_us;
      upstream->state = cold_start ? GS_UPSTREAM_HEALTHY : GS_UPSTREAM_WARMING;
      upstream->warming_since_us = now_us;
      upstream->reason = "new";
    }
}

static void
copy_scalars (GsPool *pool, const GsPoolRow *row)
{
  g_free (pool->row.name);
  pool->row = *row;
  pool->row.name = g_strdup (row->name);
  pool->row.upstreams = NULL;
  pool->row.document = NULL;
}

static void
apply_leaving_marks (GsPool *pool, const GsPoolRow *row, int64_t now_us)
{
  for (uint16_t i = 0; i < row->n_upstreams; i++)
    {
      Upstream *upstream = &pool->upstreams[i];
      bool leave_revoked = upstream->row_leaving && !row->upstreams[i].leaving;
      upstream->row_leaving = row->upstreams[i].leaving;
      if (upstream->row_leaving)
        gs_pool_mark_leaving (pool, upstream->id, now_us);
      else if (leave_revoked && upstream->state == GS_UPSTREAM_LEAVING)
        start_warming (pool, i, now_us, "stays");
    }
}

GsPool *
gs_pool_new (const GsPoolOptions *options)
{
  GsPool *pool = g_new0 (GsPool, 1);

  pool->options = *options;
  pool->latency_us = (double)POOL_LATENCY_INITIAL_US;
  pool->n_homes = 1;
  copy_scalars (pool, options->row);
  build_upstreams (pool, options->row, options->now_us, options->cold_start);
  apply_leaving_marks (pool, options->row, options->now_us);
  pool->options.row = NULL;
  return pool;
}

void
gs_pool_free (GsPool *pool)
{
  if (pool == NULL)
    return;
  gs_detector_free (pool->detector);
  free_upstreams (pool->upstreams, pool->n_upstreams);
  g_free (pool->row.name);
  g_free (pool);
}

/* Copies state and counts of the upstreams that OLD and the rebuilt pool have in common. */
static void
carry_over (GsPool *pool, const Upstream *old, uint16_t n_old)
{
  for (uint16_t i = 0; i < n_old; i++)
    {
      int index = gs_pool_find (pool, old[i].id);
      Upstream *upstream;
      char *id;
      if (index < 0)
        continue;
      upstream = &pool->upstreams[index];
      if (upstream->ipv4 != old[i].ipv4 || upstream->port != old[i].port)
        continue;
      id = upstream->id;
      *upstream = old[i];
      upstream->id = id;
      pool->outstanding += upstream->outstanding;
    }
}

void
gs_pool_update (GsPool *pool, const GsPoolRow *row, int64_t now_us)
{
  bool same = same_upstreams (pool, row);

  copy_scalars (pool, row);
  if (!same)
    {
      Upstream *old = pool->upstreams;
      uint16_t n_old = pool->n_upstreams;
      gs_detector_free (pool->detector);
      build_upstreams (pool, row, now_us, false);
      carry_over (pool, old, n_old);
      free_upstreams (old, n_old);
    }
  apply_leaving_marks (pool, row, now_us);
  enforce_floor (pool, now_us);
}

void
gs_pool_set_home_count (GsPool *pool, uint8_t n_homes)
{
  pool->n_homes = MAX (n_homes, 1);
}

uint32_t
gs_pool_concurrency_limit (const GsPool *pool)
{
  uint32_t slots = (uint32_t)gs_pool_in_rotation (pool) * pool->row.slots;
  double even_share = (double)slots / pool->n_homes;

  if (pool->n_homes == 1)
    return MAX (slots, 1);
  return MAX ((uint32_t)ceil (even_share * (1 + POOL_OVERCOMMIT_SHARE)), 1);
}

uint32_t
gs_pool_outstanding (const GsPool *pool)
{
  return pool->outstanding;
}

int64_t
gs_pool_latency_us (const GsPool *pool)
{
  return (int64_t)pool->latency_us;
}

uint16_t
gs_pool_size (const GsPool *pool)
{
  return pool->n_upstreams;
}

const char *
gs_pool_name (const GsPool *pool)
{
  return pool->row.name;
}

void
gs_pool_view (const GsPool *pool, uint16_t index, GsUpstreamView *view)
{
  const Upstream *upstream = &pool->upstreams[index];

  *view = (GsUpstreamView){ .id = upstream->id,
                            .reason = upstream->reason,
                            .ipv4 = upstream->ipv4,
                            .port = upstream->port,
                            .state = upstream->state,
                            .outstanding = upstream->outstanding,
                            .score_nats = gs_detector_score (pool->detector, index),
                            .latency_us = (int64_t)upstream->latency_us };
}
