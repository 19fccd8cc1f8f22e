/**
 * NAME
 *   detector - sequential test that tells failing upstreams from healthy ones by their real work
 *
 * SYNOPSIS
 *   GsDetector *detector = gs_detector_new (&(GsDetectorOptions){ .n_upstreams = 6 });
 *   gs_detector_sample (detector, upstream, &sample);
 *   if (gs_detector_score (detector, upstream) >= gs_detector_threshold (detector)) ...
 *
 * DESCRIPTION
 *   One detector serves one pool. Each answer adds a log-likelihood ratio, in nats, to a CUSUM per
 *   alternative (Page, Biometrika 1954): a failure rate of 5, 20 or 80 in 100, or answers slower by
 * a factor. The hypothesis "healthy" is what the other upstreams of the pool do at the moment, so a
 * pool that fails or slows as a whole accuses nobody. For answer times the ratio is taken from the
 * others' histogram on a logarithmic scale, shifted by the factor, so no form of distribution is
 * assumed. A behaviour is a vtable in the first member; baselines for measurement bring their own.
 *   Tested by test/unit/test_detector.c; measured by bench/bench_detection.c.
 */
#ifndef GS_DETECTOR_H
#define GS_DETECTOR_H

#include "base.h"

/** What one attempt says about its upstream. */
typedef struct
{
  int64_t now_us;
  int64_t answer_us; /**< time to the first byte of the answer; used when `failed` is false */
  bool failed;
  bool time_counts; /**< false while the upstream is warming */
  bool provisional; /**< the attempt is still running after `answer_us` */
  bool judged;      /**< a provisional sample of the same attempt came before */
} GsDetectorSample;

typedef struct GsDetector GsDetector;
typedef struct GsDetectorClass GsDetectorClass;

/** Construction options. */
typedef struct
{
  const GsDetectorClass *behaviour; /**< NULL: the sequential test */
  uint16_t n_upstreams;
  GsCost cost;
  double threshold; /**< nats; 0: by `cost` */
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
  int (*level) (const GsDetector *detector, uint16_t upstream);
  void (*settle) (GsDetector *detector, uint16_t upstream);
  void (*excuse) (GsDetector *detector, uint16_t upstream, double nats); /**< NULL: settle */
  void (*forget_reference) (GsDetector *detector);
  void (*begin_trial) (GsDetector *detector, uint16_t upstream);
  GsTrialResult (*trial) (const GsDetector *detector, uint16_t upstream);
  const char *(*reason) (const GsDetector *detector, uint16_t upstream);
};

/** Common part of every detector. */
struct GsDetector
{
  const GsDetectorClass *behaviour;
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

/** Forgets most of what is usual in the pool: the pool as a whole has changed. */
void gs_detector_reset_reference (GsDetector *detector);

/** Forgets the evidence against UPSTREAM; its history as a reference for the others stays. */
void gs_detector_clear_evidence (GsDetector *detector, uint16_t upstream);

/** Takes NATS off the evidence against UPSTREAM: so much has a cause that all upstreams share. */
void gs_detector_subtract_evidence (GsDetector *detector, uint16_t upstream, double nats);

/** Starts a trial of the ejected UPSTREAM against the alternative that had accused it. */
void gs_detector_begin_trial (GsDetector *detector, uint16_t upstream);

/** RETURN VALUE: how the trial of UPSTREAM stands. */
GsTrialResult gs_detector_trial (const GsDetector *detector, uint16_t upstream);

/** RETURN VALUE: static text of the alternative with the most evidence against UPSTREAM. */
const char *gs_detector_reason (const GsDetector *detector, uint16_t upstream);

/** RETURN VALUE: the threshold in nats that a pool's stated cost asks for. */
double gs_detector_cost_threshold (GsCost cost);

#endif
