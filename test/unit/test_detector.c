/* Unit tests of core/detector. */
#include "fixture.h"

#include <math.h>

static GsRandom generator = { 11 };

static void
add_sample (GsDetector *detector, uint16_t upstream, double failure_rate, double mean_us)
{
  GsDetectorSample sample
      = { .failed = gs_random_unit (&generator) < failure_rate, .use_answer_time = true };

  sample.answer_us = (int64_t)(-log (1 - gs_random_unit (&generator)) * mean_us);
  gs_detector_sample (detector, upstream, &sample);
}

static GsDetector *
trained_detector (GsCost cost)
{
  GsDetector *detector = gs_detector_new (&(GsDetectorOptions){ .n_upstreams = 6, .cost = cost });

  for (int i = 0; i < 3000; i++)
    add_sample (detector, (uint16_t)(i % 6), 0.002, 20000);
  for (uint16_t i = 0; i < 6; i++)
    gs_detector_clear_evidence (detector, i);
  return detector;
}

/*
 * RETURN VALUE: answers of upstream 0 until its evidence reaches the threshold; MAX_ANSWERS + 1 if
 * it does not.
 */
static int
answers_until_threshold (GsDetector *detector, double failure_rate, double mean_us, int max_answers)
{
  for (int i = 1; i <= max_answers; i++)
    {
      add_sample (detector, 0, failure_rate, mean_us);
      if (gs_detector_score (detector, 0) >= gs_detector_threshold (detector))
        return i;
      for (uint16_t u = 1; u < 6; u++)
        add_sample (detector, u, 0.002, 20000);
    }
  return max_answers + 1;
}

static double
mean_answers_until_threshold (double failure_rate, double mean_us)
{
  double sum = 0;

  generator.state = 11;
  for (int i = 0; i < 40; i++)
    {
      GsDetector *detector = trained_detector (GS_COST_DETECTION);
      sum += answers_until_threshold (detector, failure_rate, mean_us, 4000);
      gs_detector_free (detector);
    }
  return sum / 40;
}

/*
 * Guards against slow detection. By Wald's approximation a sequential test needs threshold /
 * divergence answers on average; the bound is 1.5 times that (issue 4).
 */
START_TEST (errors_are_detected_close_to_the_wald_bound)
{
  static const double rates[] = { 0.05, 0.2 };

  for (size_t i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      double p = rates[i];
      double divergence = p * log (p / 0.002) + (1 - p) * log ((1 - p) / 0.998);
      double wald = gs_detector_cost_threshold (GS_COST_DETECTION) / divergence;
      double mean = mean_answers_until_threshold (p, 20000);
      ck_assert_msg (mean <= 1.5 * wald, "rate %.2f: %.1f answers, Wald %.1f", p, mean, wald);
    }
}
END_TEST

/* The divergence of an exponential distribution, slowed by the factor f, from the original one is
 * f - 1 - ln f. */
START_TEST (slowness_is_detected_close_to_the_wald_bound)
{
  double wald = gs_detector_cost_threshold (GS_COST_DETECTION) / (3 - 1 - log (3));
  double mean = mean_answers_until_threshold (0.002, 60000);

  ck_assert_msg (mean <= 1.5 * wald, "%.1f answers, Wald %.1f", mean, wald);
}
END_TEST

START_TEST (healthy_upstreams_stay_below_the_threshold)
{
  GsDetector *detector = trained_detector (GS_COST_FALSE_EJECTION);

  for (int i = 0; i < 60000; i++)
    {
      add_sample (detector, (uint16_t)(i % 6), 0.002, 20000);
      ck_assert (gs_detector_score (detector, (uint16_t)(i % 6))
                 < gs_detector_threshold (detector));
    }
  gs_detector_free (detector);
}
END_TEST

START_TEST (healthy_upstream_passes_its_trial)
{
  GsDetector *detector = trained_detector (GS_COST_DETECTION);

  answers_until_threshold (detector, 1.0, 20000, 100);
  gs_detector_begin_trial (detector, 0);
  ck_assert_int_eq (gs_detector_trial (detector, 0), GS_TRIAL_UNDECIDED);
  for (int i = 0; i < 10; i++)
    add_sample (detector, 0, 0, 20000);
  ck_assert_int_eq (gs_detector_trial (detector, 0), GS_TRIAL_PASSED);
  gs_detector_free (detector);
}
END_TEST

START_TEST (failing_upstream_fails_its_trial)
{
  GsDetector *detector = trained_detector (GS_COST_DETECTION);

  answers_until_threshold (detector, 1.0, 20000, 100);
  gs_detector_begin_trial (detector, 0);
  add_sample (detector, 0, 1.0, 20000);
  ck_assert_int_eq (gs_detector_trial (detector, 0), GS_TRIAL_FAILED);
  gs_detector_free (detector);
}
END_TEST

/* Slowness is relative to the other upstreams of the pool. Without answers of those, a change from
 * the upstream's own earlier answers is no evidence. */
START_TEST (slowness_is_not_detected_without_answers_of_others)
{
  GsDetector *detector = gs_detector_new (&(GsDetectorOptions){ .n_upstreams = 2 });

  for (int i = 0; i < 200; i++)
    add_sample (detector, 0, 0, i < 100 ? 20000 : 900000);
  ck_assert (gs_detector_score (detector, 0) < gs_detector_threshold (detector));
  gs_detector_free (detector);
}
END_TEST

/* A late attempt adds its age as a provisional sample; its answer must not add evidence again. */
START_TEST (provisional_sample_is_not_counted_twice)
{
  GsDetector *detector = trained_detector (GS_COST_DETECTION);
  GsDetectorSample late = { .answer_us = 300000, .use_answer_time = true, .provisional = true };
  GsDetectorSample answer
      = { .answer_us = 400000, .use_answer_time = true, .had_provisional = true };
  double score;

  gs_detector_sample (detector, 0, &late);
  score = gs_detector_score (detector, 0);
  ck_assert (score > 1);
  gs_detector_sample (detector, 0, &answer);
  ck_assert (gs_detector_score (detector, 0) <= score);
  gs_detector_free (detector);
}
END_TEST

FIXTURE_MAIN ("detector",
              &errors_are_detected_close_to_the_wald_bound,
              &slowness_is_detected_close_to_the_wald_bound,
              &healthy_upstreams_stay_below_the_threshold,
              &healthy_upstream_passes_its_trial,
              &failing_upstream_fails_its_trial,
              &slowness_is_not_detected_without_answers_of_others,
              &provisional_sample_is_not_counted_twice)
