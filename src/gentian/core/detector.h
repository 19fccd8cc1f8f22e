/**
 * NAME
 *   detector - sequential test that classifies upstreams as healthy or failing from real traffic
 *
 * SYNOPSIS
 *   GsDetector *detector = gs_detector_new (&(GsDetectorOptions){ .n_upstreams = 6 });
 *   gs_detector_sample (detector, upstream, &sample);
 *   if (gs_detector_score (detector, upstream) >= gs_detector_threshold (detector)) ...
 *
 * DESCRIPTION
 *   One detector serves one pool. Each answer adds a log-likelihood ratio, in nats, to one CUSUM
 * for each alternative hypothesis (Page, Biometrika 1954): a failure rate of 5, 20 or 80 %, or
 * answers slower by a factor. The null hypothesis "healthy" is the current behaviour of the pool's
 * other upstreams, so that no upstream is suspected when the pool fails or slows as a whole. For
 * answer times the ratio is computed from the histogram of the other upstreams on a logarithmic
 * scale, shifted by the factor, so that no distribution is assumed. A detector's class is a vtable
 * in its first member; the benchmark's baseline detectors supply their own. Tested by
 * test/unit/test_detector.c; measured by bench/bench_detection.c.
 */
#ifndef GS_DETECTOR_H
#define GS_DETECTOR_H

#include "base.h"

/** Result of one attempt at an upstream. */
typedef struct
{
  int64_t now_us;
  int64_t answer_us; /**< time to the first byte of the answer; used when `failed` is false */
  bool failed;
  bool use_answer_time; /**< false while the upstream is warming */
  bool provisional;     /**< the attempt is still running after `answer_us` */
  bool had_provisional; /**< a provisional sample of the same attempt was added before */
} GsDetectorSample;

typedef struct GsDetector GsDetector;
typedef struct GsDetectorClass GsDetectorClass;

/** Construction options. */
typedef struct
{
  const GsDetectorClass *klass; /**< NULL: the sequential test */
  uint16_t n_upstreams;
  GsCost cost;
  double threshold; /**< nats; 0: from `cost` */
} GsDetectorOptions;

/** Result of a trial of an ejected upstream. */
typedef enum
{
  GS_TRIAL_UNDECIDED = 0,
  GS_TRIAL_PASSED,
  GS_TRIAL_FAILED,
} GsTrialResult;

struct GsDetectorClass
{
  const char *name;
  GsDetector *(*create) (const GsDetectorOptions *options);
  void (*destroy) (GsDetector *detector);
  void (*sample) (GsDetector *detector, uint16_t upstream, const GsDetectorSample *sample);
  double (*score) (const GsDetector *detector, uint16_t upstream);
  int (*alternative) (const GsDetector *detector, uint16_t upstream);
  void (*clear_evidence) (GsDetector *detector, uint16_t upstream);
  void (*subtract_evidence) (GsDetector *detector,
                             uint16_t upstream,
                             double nats); /**< NULL: clear_evidence */
  void (*reset_reference) (GsDetector *detector);
  void (*begin_trial) (GsDetector *detector, uint16_t upstream);
  GsTrialResult (*trial) (const GsDetector *detector, uint16_t upstream);
  const char *(*reason) (const GsDetector *detector, uint16_t upstream);
};

/** Common part of every detector. */
struct GsDetector
{
  const GsDetectorClass *klass;
  uint16_t n_upstreams;
  double threshold;
};

GsDetector *gs_detector_new (const GsDetectorOptions *options);
void gs_detector_free (GsDetector *detector);

/** Adds one SAMPLE of UPSTREAM. */
void gs_detector_sample (GsDetector *detector, uint16_t upstream, const GsDetectorSample *sample);

/** RETURN VALUE: evidence against UPSTREAM, in nats; 0 is none. */
double gs_detector_score (const GsDetector *detector, uint16_t upstream);

/** RETURN VALUE: the evidence, in nats, at which an upstream is ejected. */
double gs_detector_threshold (const GsDetector *detector);

/** RETURN VALUE: number of the alternative with the most evidence against UPSTREAM. */
int gs_detector_alternative (const GsDetector *detector, uint16_t upstream);

/** Drops most of the reference history, for use when the pool as a whole has changed. */
void gs_detector_reset_reference (GsDetector *detector);

/** Sets the evidence against UPSTREAM to 0; its history as a reference for the others remains. */
void gs_detector_clear_evidence (GsDetector *detector, uint16_t upstream);

/** Subtracts NATS, which have a cause outside UPSTREAM, from the evidence against it. */
void gs_detector_subtract_evidence (GsDetector *detector, uint16_t upstream, double nats);

/** Starts a trial of the ejected UPSTREAM against the alternative with the most evidence. */
void gs_detector_begin_trial (GsDetector *detector, uint16_t upstream);

/** RETURN VALUE: result of the trial of UPSTREAM so far. */
GsTrialResult gs_detector_trial (const GsDetector *detector, uint16_t upstream);

/** RETURN VALUE: static text of the alternative with the most evidence against UPSTREAM. */
const char *gs_detector_reason (const GsDetector *detector, uint16_t upstream);

/** RETURN VALUE: the threshold in nats for a pool's COST. */
double gs_detector_cost_threshold (GsCost cost);

#endif
