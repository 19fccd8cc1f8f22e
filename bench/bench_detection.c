/*
 * bench_detection: compares the detector of the real reducer with two baselines on the same faults
 * and seeds, in virtual time. Prints a line of JSON for each deployment, fault and policy.
 * Usage: bench_detection [SEEDS [OWN_ONLY]]; with a second argument, the baselines are left out.
 *
 * The baselines are N consecutive errors, and an error rate over a window. A grid search gives each
 * its best parameters, with one, three or all 32 daemons serving a pool, on seeds that the
 * measurement does not use. The cost that the search minimizes for a deployment is the mean over
 * faults of the p99 detection time in seconds (the time to the end of the run if a fault is
 * missed), plus `false_cost` seconds for each false ejection per hour.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_pool.h"
#include "statistics.h"

enum
{
  BENCH_SEEDS = 40,
  BENCH_SEARCH_SEEDS = 8,
  BENCH_SEARCH_FIRST_SEED = 100000,
  BENCH_THREADS = 8,
  BENCH_WINDOW_S = 10,
  BENCH_UPSTREAMS_MAX = 64,
  BENCH_DAEMONS = 32,
  BENCH_HOMES = 1,
};

#define BENCH_RUN_US (40 * GS_US_PER_S)
#define BENCH_FAULTLESS_RUN_US (120 * GS_US_PER_S)
#define BENCH_FAULT_AT_US (10 * GS_US_PER_S)

typedef struct
{
  const char *name;
  uint16_t sizes[4];
  GsCost cost;
  int64_t message_delay_us;
  uint8_t floor_percent;
  double
      false_cost; /* detection time in seconds that costs as much as one false ejection per hour */
} Deployment;

static const Deployment deployments[]
    = { { "lahore", { 6, 10, 6, 7 }, GS_COST_FALSE_EJECTION, 1500, 70, 10 },
        { "norte", { 6, 9, 6, 8 }, GS_COST_DETECTION, 1000, 60, 0.1 } };

/* A baseline's state of one upstream. */
typedef struct
{
  uint32_t consecutive_failures;
  uint32_t consecutive_successes;
  uint32_t failures[BENCH_WINDOW_S];
  uint32_t answers[BENCH_WINDOW_S];
  int64_t second;
  bool trial_failed;
} BaselineUpstream;

typedef struct
{
  GsDetector base;
  BaselineUpstream upstreams[BENCH_UPSTREAMS_MAX];
  uint32_t minimum;
} Baseline;

/* Least number of answers for a window's error rate to count; baseline_create() has no other way to
 * get it. */
static _Thread_local uint32_t next_minimum;

static GsDetector *
baseline_create (const GsDetectorOptions *options)
{
  Baseline *baseline = g_new0 (Baseline, 1);

  (void)options;
  baseline->minimum = next_minimum;
  return &baseline->base;
}

static void
baseline_destroy (GsDetector *detector)
{
  g_free (detector);
}

static void
baseline_sample (GsDetector *detector, uint16_t index, const GsDetectorSample *sample)
{
  BaselineUpstream *upstream = &((Baseline *)detector)->upstreams[index];
  int64_t second = sample->now_us / GS_US_PER_S;

  if (sample->provisional)
    return; /* the baselines use ended attempts only */
  for (; upstream->second < second; upstream->second++)
    {
      if (second - upstream->second > BENCH_WINDOW_S)
        upstream->second = second - BENCH_WINDOW_S;
      upstream->failures[(upstream->second + 1) % BENCH_WINDOW_S] = 0;
      upstream->answers[(upstream->second + 1) % BENCH_WINDOW_S] = 0;
    }
  upstream->answers[second % BENCH_WINDOW_S]++;
  upstream->failures[second % BENCH_WINDOW_S] += sample->failed ? 1 : 0;
  upstream->consecutive_failures = sample->failed ? upstream->consecutive_failures + 1 : 0;
  upstream->consecutive_successes = sample->failed ? 0 : upstream->consecutive_successes + 1;
  upstream->trial_failed = upstream->trial_failed || sample->failed;
}

static double
consecutive_score (const GsDetector *detector, uint16_t index)
{
  return ((const Baseline *)detector)->upstreams[index].consecutive_failures;
}

static double
window_score (const GsDetector *detector, uint16_t index)
{
  const Baseline *baseline = (const Baseline *)detector;
  double failures = 0;
  double answers = 0;

  for (int i = 0; i < BENCH_WINDOW_S; i++)
    {
      failures += baseline->upstreams[index].failures[i];
      answers += baseline->upstreams[index].answers[i];
    }
  return answers >= baseline->minimum ? failures / answers : 0;
}

static int
baseline_alternative (const GsDetector *detector, uint16_t index)
{
  (void)detector;
  (void)index;
  return 0;
}

static void
baseline_reset_reference (GsDetector *detector)
{
  (void)detector;
}

static void
baseline_clear (GsDetector *detector, uint16_t index)
{
  BaselineUpstream *upstream = &((Baseline *)detector)->upstreams[index];
  int64_t second = upstream->second;

  memset (upstream, 0, sizeof *upstream);
  upstream->second = second;
}

static GsTrialResult
baseline_trial (const GsDetector *detector, uint16_t index)
{
  const BaselineUpstream *upstream = &((const Baseline *)detector)->upstreams[index];

  if (upstream->trial_failed)
    return GS_TRIAL_FAILED;
  return upstream->consecutive_successes >= 3 ? GS_TRIAL_PASSED : GS_TRIAL_UNDECIDED;
}

static const char *
baseline_reason (const GsDetector *detector, uint16_t index)
{
  (void)index;
  return detector->klass->name;
}

#define BASELINE(title, score_function)                                                            \
  {                                                                                                \
    .name = (title), .create = baseline_create, .destroy = baseline_destroy,                       \
    .sample = baseline_sample, .score = (score_function), .clear_evidence = baseline_clear,        \
    .alternative = baseline_alternative, .reset_reference = baseline_reset_reference,              \
    .begin_trial = baseline_clear, .trial = baseline_trial, .reason = baseline_reason              \
  }

static const GsDetectorClass consecutive = BASELINE ("consecutive-errors", consecutive_score);
static const GsDetectorClass window = BASELINE ("error-rate-window", window_score);

typedef struct
{
  const char *name;
  const GsDetectorClass *detector; /* NULL: the reducer's default */
  double threshold;
  uint32_t minimum; /* answers in the window */
  uint32_t daemons;
} Policy;

/* Results of all runs of one deployment, fault and policy. */
typedef struct
{
  double p50_ms;
  double p99_ms;
  double attempts_at_faulty; /* mean of the runs, as is the next */
  double samples;
  uint32_t missed;
  uint32_t false_ejections;
  double healthy_ejected_hours;
  double upstream_hours;
} Summary;

typedef struct
{
  FakeOptions options;
  uint32_t minimum;
  FakeResult result;
} Run;

static void
run_one (gpointer data, gpointer user_data)
{
  Run *run = data;

  (void)user_data;
  next_minimum = run->minimum;
  fake_pool_run (&run->options, &run->result);
}

static FakeOptions
make_options (const Deployment *deployment, FakeFault fault, const Policy *policy, uint64_t seed)
{
  return (FakeOptions){ .n_daemons = policy->daemons,
                        .n_upstreams = deployment->sizes[seed % 4],
                        .slots = 4,
                        .utilization = 0.6,
                        .mean_service_us = 20000,
                        .background_failure_rate = 0.002,
                        .message_delay_us = deployment->message_delay_us,
                        .duration_us = fault == FAKE_NONE ? BENCH_FAULTLESS_RUN_US : BENCH_RUN_US,
                        .fault_at_us = BENCH_FAULT_AT_US,
                        .fault = fault,
                        .seed = seed,
                        .detector = policy->detector,
                        .threshold = policy->threshold,
                        .cost = deployment->cost,
                        .floor_percent = deployment->floor_percent,
                        .no_membership = policy->detector != NULL,
                        .timeout_ms = 2000,
                        .attempt_timeout_ms = 500 };
}

static Summary
summarize (const Run *runs, uint32_t count)
{
  Summary summary = { 0 };
  g_autofree double *times = g_new (double, count);

  for (uint32_t i = 0; i < count; i++)
    {
      const FakeResult *result = &runs[i].result;
      const FakeOptions *options = &runs[i].options;
      int64_t longest_us = options->duration_us - options->fault_at_us;
      times[i] = (double)(result->detection_us < 0 ? longest_us : result->detection_us) / 1000;
      summary.missed += result->detection_us < 0 ? 1 : 0;
      summary.attempts_at_faulty += (double)result->attempts_at_faulty / count;
      summary.samples += (double)result->samples / count;
      summary.false_ejections += result->false_ejections;
      summary.healthy_ejected_hours += result->healthy_ejected_s / 3600;
      summary.upstream_hours
          += (double)options->duration_us / GS_US_PER_S / 3600 * options->n_upstreams;
    }
  statistics_sort (times, count);
  summary.p50_ms = times[count / 2];
  summary.p99_ms = times[(uint32_t)ceil (count * 0.99) - 1];
  return summary;
}

static Summary
measure (const Deployment *deployment,
         FakeFault fault,
         const Policy *policy,
         uint64_t first_seed,
         uint32_t seeds)
{
  g_autofree Run *runs = g_new0 (Run, seeds);
  GThreadPool *pool = g_thread_pool_new (run_one, NULL, BENCH_THREADS, TRUE, NULL);

  for (uint32_t i = 0; i < seeds; i++)
    {
      runs[i].options = make_options (deployment, fault, policy, first_seed + i);
      runs[i].minimum = policy->minimum;
      g_thread_pool_push (pool, &runs[i], NULL);
    }
  g_thread_pool_free (pool, FALSE, TRUE);
  return summarize (runs, seeds);
}

static bool
must_be_detected (FakeFault fault)
{
  return fault >= FAKE_FAIL_5 && fault <= FAKE_ONE_ROUTE && fault != FAKE_STUCK_SLOT;
}

/* Cost of a policy as the comment at the top of this file defines it. */
static double
cost (const Deployment *deployment, const Policy *policy)
{
  static const FakeFault faults[]
      = { FAKE_NONE, FAKE_FAIL_5, FAKE_FAIL_20, FAKE_FAIL_100, FAKE_SLOW_10, FAKE_SHEDDING };
  double detection_s = 0;
  double false_ejections = 0;
  double hours = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      Summary summary
          = measure (deployment, faults[i], policy, BENCH_SEARCH_FIRST_SEED, BENCH_SEARCH_SEEDS);
      detection_s += must_be_detected (faults[i]) ? summary.p99_ms / 1000 / 4 : 0;
      false_ejections += summary.false_ejections;
      hours += summary.upstream_hours;
    }
  return detection_s + deployment->false_cost * false_ejections / hours;
}

static Policy
search (const Deployment *deployment, const GsDetectorClass *detector)
{
  static const double counts[] = { 2, 3, 5, 8, 12 };
  static const double rates[] = { 0.02, 0.04, 0.08, 0.15, 0.3 };
  static const uint32_t minimums[] = { 10, 30, 100 };
  static const uint32_t daemons[] = { BENCH_HOMES, 3, BENCH_DAEMONS };
  const double *grid = detector == &consecutive ? counts : rates;
  uint32_t n_minimums = detector == &consecutive ? 1 : G_N_ELEMENTS (minimums);
  Policy best = { 0 };
  double best_cost = INFINITY;

  for (size_t d = 0; d < G_N_ELEMENTS (daemons); d++)
    for (size_t t = 0; t < 5; t++)
      for (uint32_t m = 0; m < n_minimums; m++)
        {
          Policy policy = { detector->name, detector, grid[t], minimums[m], daemons[d] };
          double candidate_cost = cost (deployment, &policy);
          if (candidate_cost >= best_cost)
            continue;
          best_cost = candidate_cost;
          best = policy;
        }
  printf ("{\"deployment\":\"%s\",\"search\":\"%s\",\"threshold\":%g,\"minimum\":%u,"
          "\"daemons\":%u,\"cost\":%.3f}\n",
          deployment->name, best.name, best.threshold, best.minimum, best.daemons, best_cost);
  fflush (stdout);
  return best;
}

static void
print_line (const Deployment *deployment, FakeFault fault, const Policy *policy, uint32_t seeds)
{
  Summary summary = measure (deployment, fault, policy, 1, seeds);

  printf ("{\"deployment\":\"%s\",\"fault\":\"%s\",\"policy\":\"%s\",\"seeds\":%u,"
          "\"detection_p50_ms\":%.0f,\"detection_p99_ms\":%.0f,\"missed\":%u,"
          "\"requests_hit\":%.1f,\"samples\":%.1f,\"false_ejections\":%u,"
          "\"server_hours\":%.5f,\"upstream_hours\":%.2f}\n",
          deployment->name, fake_fault_name (fault), policy->name, seeds, summary.p50_ms,
          summary.p99_ms, summary.missed, summary.attempts_at_faulty, summary.samples,
          summary.false_ejections, summary.healthy_ejected_hours, summary.upstream_hours);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  uint32_t seeds = argc > 1 ? (uint32_t)atoi (argv[1]) : BENCH_SEEDS;
  bool own_only = argc > 2;

  for (size_t d = 0; d < G_N_ELEMENTS (deployments); d++)
    {
      Policy policies[3] = { { "gentianscale", NULL, 0, 0, BENCH_HOMES } };
      int n_policies = own_only ? 1 : 3;
      if (!own_only)
        {
          policies[1] = search (&deployments[d], &consecutive);
          policies[2] = search (&deployments[d], &window);
        }
      for (int fault = 0; fault < FAKE_FAULTS; fault++)
        for (int p = 0; p < n_policies; p++)
          print_line (&deployments[d], (FakeFault)fault, &policies[p], seeds);
    }
  return 0;
}
