#include "detector.h"

#include <glib.h>
#include <math.h>
#include <string.h>

enum
{
  DETECTOR_BINS = 72,           /* bins of the histogram of answer times */
  DETECTOR_BINS_PER_OCTAVE = 4, /* resolution of the histogram */
  DETECTOR_ERROR_LEVELS = 3,    /* alternatives on the failure rate */
  DETECTOR_SLOW_LEVELS = 2,     /* alternatives on the answer time */
  DETECTOR_LEVELS = DETECTOR_ERROR_LEVELS + DETECTOR_SLOW_LEVELS,
  DETECTOR_REFERENCE_MIN = 60, /* answers of others before answer times count */
};

/** Shortest time that the histogram tells apart. */
#define DETECTOR_FIRST_BIN_US 50.0
/** Answers that an upstream's history remembers, as the scale of its exponential decay. */
#define DETECTOR_HISTORY 400.0
/** Failure rate that counts as ordinary in any pool. */
#define DETECTOR_RATE_MIN 0.001
/** Weight of the prior on the failure rate, in answers. */
#define DETECTOR_PRIOR_ANSWERS 50.0
/** What is left of the history of failures when the pool as a whole has changed. */
#define DETECTOR_KEPT_SHARE 0.1
/** Smoothing of the histogram, as a share of all answers for each bin. */
#define DETECTOR_SMOOTHING 0.0003
/** Most evidence that the time of one answer may add or take, in nats. */
#define DETECTOR_STEP_MAX_NATS 4.0
/** Evidence for and against health that ends a trial, in nats. */
#define DETECTOR_TRIAL_PASS_NATS 3.0
#define DETECTOR_TRIAL_FAIL_NATS 4.0

static const double error_rates[DETECTOR_ERROR_LEVELS] = { 0.05, 0.20, 0.80 };
static const int slow_shifts[DETECTOR_SLOW_LEVELS] = { 6, 13 }; /* factors 2.8 and 9.5 */
static const char *const level_names[DETECTOR_LEVELS]
    = { "errors-5", "errors-20", "errors-80", "slow-3", "slow-10" };

typedef struct
{
  double evidence[DETECTOR_LEVELS];
  double trial_evidence;
  double answers;  /* decayed count of answers */
  double failures; /* decayed count of failures */
  double times;    /* decayed count of answer times */
  float histogram[DETECTOR_BINS];
  uint8_t trial_level;
  bool in_trial;
} UpstreamEvidence;

typedef struct
{
  GsDetector base;
  UpstreamEvidence *upstreams;
  UpstreamEvidence total; /* sum of the histories */
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

/* Failure rate of the other upstreams, with a prior. */
static double
reference_rate (const SequentialDetector *detector, const UpstreamEvidence *own)
{
  double failures = detector->total.failures - own->failures;
  double answers = detector->total.answers - own->answers;
  double rate = (fmax (failures, 0) + DETECTOR_RATE_MIN * DETECTOR_PRIOR_ANSWERS)
                / (fmax (answers, 0) + DETECTOR_PRIOR_ANSWERS);

  return CLAMP (rate, DETECTOR_RATE_MIN, 0.95);
}

/* Alternatives lie well above the ordinary rate, also in a pool that fails as a whole. */
static double
alternative_rate (int level, double ordinary)
{
  return fmin (0.99, fmax (error_rates[level], ordinary + (1 - ordinary) * error_rates[level]));
}

static double
error_ratio (int level, double ordinary, bool failed)
{
  double rate = alternative_rate (level, ordinary);

  return failed ? log (rate / ordinary) : log ((1 - rate) / (1 - ordinary));
}

static double
others_share (const SequentialDetector *detector,
              const UpstreamEvidence *own,
              int bin,
              double times)
{
  double count = 0;

  if (bin >= 0)
    count = fmax ((double)detector->total.histogram[bin] - (double)own->histogram[bin], 0);
  return (count / times + DETECTOR_SMOOTHING) / (1 + DETECTOR_SMOOTHING * DETECTOR_BINS);
}

/* Log of the density of an answer time under "slower by the factor" over that under "like the
 * others". */
static double
slow_ratio (const SequentialDetector *detector, const UpstreamEvidence *own, int level, int bin)
{
  double times = detector->total.times - own->times;
  double ratio;

  if (times < DETECTOR_REFERENCE_MIN)
    return 0;
  ratio = log (others_share (detector, own, bin - slow_shifts[level], times)
               / others_share (detector, own, bin, times));
  return CLAMP (ratio, -DETECTOR_STEP_MAX_NATS, DETECTOR_STEP_MAX_NATS);
}

static double
level_ratio (const SequentialDetector *detector,
             const UpstreamEvidence *own,
             int level,
             const GsDetectorSample *sample)
{
  if (level < DETECTOR_ERROR_LEVELS && sample->provisional)
    return 0;
  if (level < DETECTOR_ERROR_LEVELS)
    return error_ratio (level, reference_rate (detector, own), sample->failed);
  if (sample->failed || !sample->time_counts || sample->judged)
    return 0;
  return slow_ratio (detector, own, level - DETECTOR_ERROR_LEVELS, time_bin (sample->answer_us));
}

static void
decay_count (double *count, double *total_count)
{
  *total_count -= *count / DETECTOR_HISTORY;
  *count -= *count / DETECTOR_HISTORY;
}

static void
remember_outcome (SequentialDetector *detector, UpstreamEvidence *own, bool failed)
{
  UpstreamEvidence *total = &detector->total;
  double fresh_failure = failed ? 1 : 0;

  decay_count (&own->answers, &total->answers);
  decay_count (&own->failures, &total->failures);
  own->answers += 1;
  total->answers += 1;
  own->failures += fresh_failure;
  total->failures += fresh_failure;
}

static void
remember_time (SequentialDetector *detector, UpstreamEvidence *own, int bin)
{
  UpstreamEvidence *total = &detector->total;
  float keep = (float)(1 - 1 / DETECTOR_HISTORY);

  for (int i = 0; i < DETECTOR_BINS; i++)
    {
      float lost = own->histogram[i] * (1 - keep);
      own->histogram[i] -= lost;
      total->histogram[i] -= lost;
    }
  total->times -= own->times * (1 - (double)keep);
  own->times *= (double)keep;
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

  for (int level = 0; level < DETECTOR_LEVELS; level++)
    {
      double ratio = level_ratio (detector, own, level, sample);
      own->evidence[level] = fmax (0, own->evidence[level] + ratio);
      if (own->in_trial && level == own->trial_level)
        own->trial_evidence += ratio;
    }
  if (own->in_trial || sample->provisional)
    return; /* an ejected upstream is no reference for the others */
  remember_outcome (detector, own, sample->failed);
  if (!sample->failed && sample->time_counts)
    remember_time (detector, own, time_bin (sample->answer_us));
}

static int
strongest_level (const UpstreamEvidence *own)
{
  int best = 0;

  for (int level = 1; level < DETECTOR_LEVELS; level++)
    if (own->evidence[level] > own->evidence[best])
      best = level;
  return best;
}

static double
sequential_score (const GsDetector *base, uint16_t upstream)
{
  const UpstreamEvidence *own = &((const SequentialDetector *)base)->upstreams[upstream];

  return own->evidence[strongest_level (own)];
}

static void
sequential_settle (GsDetector *base, uint16_t upstream)
{
  UpstreamEvidence *own = &((SequentialDetector *)base)->upstreams[upstream];

  memset (own->evidence, 0, sizeof own->evidence);
  own->in_trial = false;
}

static void
sequential_excuse (GsDetector *base, uint16_t upstream, double nats)
{
  UpstreamEvidence *own = &((SequentialDetector *)base)->upstreams[upstream];

  for (int level = 0; level < DETECTOR_LEVELS; level++)
    own->evidence[level] = fmax (0, own->evidence[level] - nats);
}

static void
sequential_begin_trial (GsDetector *base, uint16_t upstream)
{
  UpstreamEvidence *own = &((SequentialDetector *)base)->upstreams[upstream];

  if (!own->in_trial)
    own->trial_level = (uint8_t)strongest_level (own);
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
sequential_level (const GsDetector *base, uint16_t upstream)
{
  return strongest_level (&((const SequentialDetector *)base)->upstreams[upstream]);
}

static void
forget_history (UpstreamEvidence *history)
{
  history->answers *= DETECTOR_KEPT_SHARE;
  history->failures *= DETECTOR_KEPT_SHARE;
  memset (history->histogram, 0, sizeof history->histogram);
  history->times = 0;
}

static void
sequential_forget_reference (GsDetector *base)
{
  SequentialDetector *detector = (SequentialDetector *)base;

  for (uint16_t i = 0; i < base->n_upstreams; i++)
    forget_history (&detector->upstreams[i]);
  forget_history (&detector->total);
}

static const char *
sequential_reason (const GsDetector *base, uint16_t upstream)
{
  return level_names[strongest_level (&((const SequentialDetector *)base)->upstreams[upstream])];
}

static const GsDetectorClass sequential_class = {
  .name = "sequential",
  .create = sequential_create,
  .destroy = sequential_destroy,
  .sample = sequential_sample,
  .score = sequential_score,
  .level = sequential_level,
  .settle = sequential_settle,
  .excuse = sequential_excuse,
  .forget_reference = sequential_forget_reference,
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
  const GsDetectorClass *behaviour
      = options->behaviour != NULL ? options->behaviour : &sequential_class;
  GsDetector *detector = behaviour->create (options);

  detector->behaviour = behaviour;
  detector->n_upstreams = options->n_upstreams;
  detector->threshold
      = options->threshold > 0 ? options->threshold : gs_detector_cost_threshold (options->cost);
  return detector;
}

void
gs_detector_free (GsDetector *detector)
{
  if (detector != NULL)
    detector->behaviour->destroy (detector);
}

void
gs_detector_sample (GsDetector *detector, uint16_t upstream, const GsDetectorSample *sample)
{
  detector->behaviour->sample (detector, upstream, sample);
}

double
gs_detector_score (const GsDetector *detector, uint16_t upstream)
{
  return detector->behaviour->score (detector, upstream);
}

double
gs_detector_threshold (const GsDetector *detector)
{
  return detector->threshold;
}

int
gs_detector_alternative (const GsDetector *detector, uint16_t upstream)
{
  return detector->behaviour->level (detector, upstream);
}

void
gs_detector_reset_reference (GsDetector *detector)
{
  detector->behaviour->forget_reference (detector);
}

void
gs_detector_clear_evidence (GsDetector *detector, uint16_t upstream)
{
  detector->behaviour->settle (detector, upstream);
}

void
gs_detector_subtract_evidence (GsDetector *detector, uint16_t upstream, double nats)
{
  if (detector->behaviour->excuse != NULL)
    detector->behaviour->excuse (detector, upstream, nats);
  else
    detector->behaviour->settle (detector, upstream);
}

void
gs_detector_begin_trial (GsDetector *detector, uint16_t upstream)
{
  detector->behaviour->begin_trial (detector, upstream);
}

GsTrialResult
gs_detector_trial (const GsDetector *detector, uint16_t upstream)
{
  return detector->behaviour->trial (detector, upstream);
}

const char *
gs_detector_reason (const GsDetector *detector, uint16_t upstream)
{
  return detector->behaviour->reason (detector, upstream);
}
