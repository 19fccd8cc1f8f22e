#include "detector.h"

#include <glib.h>
#include <math.h>
#include <string.h>

enum
{
  DETECTOR_BINS = 72, /* histogram of answer times */
  DETECTOR_BINS_PER_OCTAVE = 4,
  DETECTOR_ERROR_ALTERNATIVES = 3, /* alternative failure rates */
  DETECTOR_SLOW_ALTERNATIVES = 2,  /* alternative answer times */
  DETECTOR_ALTERNATIVES = DETECTOR_ERROR_ALTERNATIVES + DETECTOR_SLOW_ALTERNATIVES,
  DETECTOR_REFERENCE_MIN = 60, /* answer times of the other upstreams needed for a comparison */
};

/** Lower bound of the first bin; shorter times count in it. */
#define DETECTOR_FIRST_BIN_US 50.0
/** Constant of the exponential decay of an upstream's history, in answers. */
#define DETECTOR_HISTORY_ANSWERS 400.0
/** Lowest failure rate that is assumed for a healthy upstream. */
#define DETECTOR_RATE_MIN 0.001
/** Weight of the prior failure rate, in answers. */
#define DETECTOR_PRIOR_ANSWERS 50.0
/** Share of the history of failures that is retained when the pool as a whole has changed. */
#define DETECTOR_RESET_RETAINED_SHARE 0.1
/** Additive smoothing of the histogram, as a share of all answers for each bin. */
#define DETECTOR_SMOOTHING 0.0003
/** Limit on the evidence that one answer time adds or subtracts. */
#define DETECTOR_STEP_MAX_NATS 4.0
/** Evidence for and against the upstream being healthy at which a trial ends. */
#define DETECTOR_TRIAL_PASS_NATS 3.0
#define DETECTOR_TRIAL_FAIL_NATS 4.0

static const double error_rates[DETECTOR_ERROR_ALTERNATIVES] = { 0.05, 0.20, 0.80 };
static const int slow_shifts[DETECTOR_SLOW_ALTERNATIVES] = { 6, 13 }; /* factors 2.8 and 9.5 */
static const char *const alternative_names[DETECTOR_ALTERNATIVES]
    = { "errors-5", "errors-20", "errors-80", "slow-3", "slow-10" };

typedef struct
{
  double evidence[DETECTOR_ALTERNATIVES];
  double trial_evidence;
  double answers;  /* decayed count of answers */
  double failures; /* decayed count of failures */
  double times;    /* decayed count of answer times */
  float histogram[DETECTOR_BINS];
  uint8_t trial_alternative;
  bool in_trial;
} UpstreamEvidence;

typedef struct
{
  GsDetector base;
  UpstreamEvidence *upstreams;
  UpstreamEvidence total; /* sum of the upstreams' histories */
} SequentialDetector;

static GsDetector *
sequential_create (const GsDetectorOptions *options)
{
  SequentialDetector *detector = g_new0 (SequentialDetector, 1);

  detector->upstreams = g_new0 (UpstreamEvidence, options->n_upstreams);
  return &detector->base;
}

static void
sequential_destroy (GsDetector *base)
{
  SequentialDetector *detector = (SequentialDetector *)base;

  g_free (detector->upstreams);
  g_free (detector);
}

static int
time_bin (int64_t answer_us)
{
  double octaves = log2 (fmax ((double)answer_us, 1.0) / DETECTOR_FIRST_BIN_US);
  int bin = (int)floor (octaves * DETECTOR_BINS_PER_OCTAVE);

  return CLAMP (bin, 0, DETECTOR_BINS - 1);
}

/* Failure rate of the other upstreams, smoothed with the prior. */
static double
reference_rate (const SequentialDetector *detector, const UpstreamEvidence *own)
{
  double failures = detector->total.failures - own->failures;
  double answers = detector->total.answers - own->answers;
  double rate = (fmax (failures, 0) + DETECTOR_RATE_MIN * DETECTOR_PRIOR_ANSWERS)
                / (fmax (answers, 0) + DETECTOR_PRIOR_ANSWERS);

  return CLAMP (rate, DETECTOR_RATE_MIN, 0.95);
}

/* An alternative lies well above the reference rate, even when the whole pool is failing. */
static double
alternative_rate (int alternative, double reference)
{
  return fmin (0.99, fmax (error_rates[alternative],
                           reference + (1 - reference) * error_rates[alternative]));
}

static double
error_ratio (int alternative, double reference, bool failed)
{
  double rate = alternative_rate (alternative, reference);

  return failed ? log (rate / reference) : log ((1 - rate) / (1 - reference));
}

static double
reference_share (const SequentialDetector *detector,
                 const UpstreamEvidence *own,
                 int bin,
                 double times)
{
  double count = 0;

  if (bin >= 0)
    count = fmax ((double)detector->total.histogram[bin] - (double)own->histogram[bin], 0);
  return (count / times + DETECTOR_SMOOTHING) / (1 + DETECTOR_SMOOTHING * DETECTOR_BINS);
}

/*
 * Log-likelihood ratio of an answer time: density under "slower than the other upstreams by the
 * factor" over density under "like the other upstreams".
 */
static double
slow_ratio (const SequentialDetector *detector,
            const UpstreamEvidence *own,
            int alternative,
            int bin)
{
  double times = detector->total.times - own->times;
  double ratio;

  if (times < DETECTOR_REFERENCE_MIN)
    return 0;
  ratio = log (reference_share (detector, own, bin - slow_shifts[alternative], times)
               / reference_share (detector, own, bin, times));
  return CLAMP (ratio, -DETECTOR_STEP_MAX_NATS, DETECTOR_STEP_MAX_NATS);
}

static double
alternative_ratio (const SequentialDetector *detector,
                   const UpstreamEvidence *own,
                   int alternative,
                   const GsDetectorSample *sample)
{
  if (alternative < DETECTOR_ERROR_ALTERNATIVES && sample->provisional)
    return 0;
  if (alternative < DETECTOR_ERROR_ALTERNATIVES)
    return error_ratio (alternative, reference_rate (detector, own), sample->failed);
  if (sample->failed || !sample->use_answer_time || sample->had_provisional)
    return 0;
  return slow_ratio (detector, own, alternative - DETECTOR_ERROR_ALTERNATIVES,
                     time_bin (sample->answer_us));
}

static void
decay_count (double *count, double *total_count)
{
  *total_count -= *count / DETECTOR_HISTORY_ANSWERS;
  *count -= *count / DETECTOR_HISTORY_ANSWERS;
}

static void
record_outcome (SequentialDetector *detector, UpstreamEvidence *own, bool failed)
{
  UpstreamEvidence *total = &detector->total;
  double failure = failed ? 1 : 0;

  decay_count (&own->answers, &total->answers);
  decay_count (&own->failures, &total->failures);
  own->answers += 1;
  total->answers += 1;
  own->failures += failure;
  total->failures += failure;
}

static void
record_answer_time (SequentialDetector *detector, UpstreamEvidence *own, int bin)
{
  UpstreamEvidence *total = &detector->total;
  float retained_share = (float)(1 - 1 / DETECTOR_HISTORY_ANSWERS);

  for (int i = 0; i < DETECTOR_BINS; i++)
    {
      float decayed = own->histogram[i] * (1 - retained_share);
      own->histogram[i] -= decayed;
      total->histogram[i] -= decayed;
    }
  total->times -= own->times * (1 - (double)retained_share);
  own->times *= (double)retained_share;
  own->histogram[bin] += 1;
  total->histogram[bin] += 1;
  own->times += 1;
  total->times += 1;
}

static void
sequential_sample (GsDetector *base, uint16_t upstream, const GsDetectorSample *sample)
{
  SequentialDetector *detector = (SequentialDetector *)base;
  UpstreamEvidence *own = &detector->upstreams[upstream];

  for (int alternative = 0; alternative < DETECTOR_ALTERNATIVES; alternative++)
    {
      double ratio = alternative_ratio (detector, own, alternative, sample);
      own->evidence[alternative] = fmax (0, own->evidence[alternative] + ratio);
      if (own->in_trial && alternative == own->trial_alternative)
        own->trial_evidence += ratio;
    }
  if (own->in_trial || sample->provisional)
    return; /* an ejected upstream is not part of the reference for the others */
  record_outcome (detector, own, sample->failed);
  if (!sample->failed && sample->use_answer_time)
    record_answer_time (detector, own, time_bin (sample->answer_us));
}

static int
strongest_alternative (const UpstreamEvidence *own)
{
  int best = 0;

  for (int alternative = 1; alternative < DETECTOR_ALTERNATIVES; alternative++)
    if (own->evidence[alternative] > own->evidence[best])
      best = alternative;
  return best;
}

static double
sequential_score (const GsDetector *base, uint16_t upstream)
{
  const UpstreamEvidence *own = &((const SequentialDetector *)base)->upstreams[upstream];

  return own->evidence[strongest_alternative (own)];
}

static void
sequential_clear_evidence (GsDetector *base, uint16_t upstream)
{
  UpstreamEvidence *own = &((SequentialDetector *)base)->upstreams[upstream];

  memset (own->evidence, 0, sizeof own->evidence);
  own->in_trial = false;
}

static void
sequential_subtract_evidence (GsDetector *base, uint16_t upstream, double nats)
{
  UpstreamEvidence *own = &((SequentialDetector *)base)->upstreams[upstream];

  for (int alternative = 0; alternative < DETECTOR_ALTERNATIVES; alternative++)
    own->evidence[alternative] = fmax (0, own->evidence[alternative] - nats);
}

static void
sequential_begin_trial (GsDetector *base, uint16_t upstream)
{
  UpstreamEvidence *own = &((SequentialDetector *)base)->upstreams[upstream];

  if (!own->in_trial)
    own->trial_alternative = (uint8_t)strongest_alternative (own);
  own->in_trial = true;
  own->trial_evidence = 0;
}

static GsTrialResult
sequential_trial (const GsDetector *base, uint16_t upstream)
{
  const UpstreamEvidence *own = &((const SequentialDetector *)base)->upstreams[upstream];

  if (own->trial_evidence <= -DETECTOR_TRIAL_PASS_NATS)
    return GS_TRIAL_PASSED;
  return own->trial_evidence >= DETECTOR_TRIAL_FAIL_NATS ? GS_TRIAL_FAILED : GS_TRIAL_UNDECIDED;
}

static int
sequential_alternative (const GsDetector *base, uint16_t upstream)
{
  return strongest_alternative (&((const SequentialDetector *)base)->upstreams[upstream]);
}

static void
reset_history (UpstreamEvidence *history)
{
  history->answers *= DETECTOR_RESET_RETAINED_SHARE;
  history->failures *= DETECTOR_RESET_RETAINED_SHARE;
  memset (history->histogram, 0, sizeof history->histogram);
  history->times = 0;
}

static void
sequential_reset_reference (GsDetector *base)
{
  SequentialDetector *detector = (SequentialDetector *)base;

  for (uint16_t i = 0; i < base->n_upstreams; i++)
    reset_history (&detector->upstreams[i]);
  reset_history (&detector->total);
}

static const char *
sequential_reason (const GsDetector *base, uint16_t upstream)
{
  return alternative_names[strongest_alternative (
      &((const SequentialDetector *)base)->upstreams[upstream])];
}

static const GsDetectorClass sequential_class = {
  .name = "sequential",
  .create = sequential_create,
  .destroy = sequential_destroy,
  .sample = sequential_sample,
  .score = sequential_score,
  .alternative = sequential_alternative,
  .clear_evidence = sequential_clear_evidence,
  .subtract_evidence = sequential_subtract_evidence,
  .reset_reference = sequential_reset_reference,
  .begin_trial = sequential_begin_trial,
  .trial = sequential_trial,
  .reason = sequential_reason,
};

double
gs_detector_cost_threshold (GsCost cost)
{
  switch (cost)
    {
    case GS_COST_FALSE_EJECTION:
      return 24.0;
    case GS_COST_DETECTION:
      return 15.0;
    default:
      return 19.0;
    }
}

GsDetector *
gs_detector_new (const GsDetectorOptions *options)
{
  const GsDetectorClass *klass = options->klass != NULL ? options->klass : &sequential_class;
  GsDetector *detector = klass->create (options);

  detector->klass = klass;
  detector->n_upstreams = options->n_upstreams;
  detector->threshold
      = options->threshold > 0 ? options->threshold : gs_detector_cost_threshold (options->cost);
  return detector;
}

void
gs_detector_free (GsDetector *detector)
{
  if (detector != NULL)
    detector->klass->destroy (detector);
}

void
gs_detector_sample (GsDetector *detector, uint16_t upstream, const GsDetectorSample *sample)
{
  detector->klass->sample (detector, upstream, sample);
}

double
gs_detector_score (const GsDetector *detector, uint16_t upstream)
{
  return detector->klass->score (detector, upstream);
}

double
gs_detector_threshold (const GsDetector *detector)
{
  return detector->threshold;
}

int
gs_detector_alternative (const GsDetector *detector, uint16_t upstream)
{
  return detector->klass->alternative (detector, upstream);
}

void
gs_detector_reset_reference (GsDetector *detector)
{
  detector->klass->reset_reference (detector);
}

void
gs_detector_clear_evidence (GsDetector *detector, uint16_t upstream)
{
  detector->klass->clear_evidence (detector, upstream);
}

void
gs_detector_subtract_evidence (GsDetector *detector, uint16_t upstream, double nats)
{
  if (detector->klass->subtract_evidence != NULL)
    detector->klass->subtract_evidence (detector, upstream, nats);
  else
    detector->klass->clear_evidence (detector, upstream);
}

void
gs_detector_begin_trial (GsDetector *detector, uint16_t upstream)
{
  detector->klass->begin_trial (detector, upstream);
}

GsTrialResult
gs_detector_trial (const GsDetector *detector, uint16_t upstream)
{
  return detector->klass->trial (detector, upstream);
}

const char *
gs_detector_reason (const GsDetector *detector, uint16_t upstream)
{
  return detector->klass->reason (detector, upstream);
}
