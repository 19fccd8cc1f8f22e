/**
 * NAME
 *   estimator - the work that a request is likely to cause at a backend server
 *
 * SYNOPSIS
 *   GsEstimator *estimator = gs_estimator_new ();
 *   double typical_us = gs_estimator_typical_us (estimator, &key);
 *   gs_estimator_add (estimator, &key, answer_us, now_us);
 *
 * DESCRIPTION
 *   Learns the logarithm of the answer time, since work varies by factors. Predictors are added one
 * after the other: the pool, the route (flow), the work class within the route, and then the size
 * of the body and the workspace as deviations from these. Each stage is shrunk towards the one
 * before it by the amount of its evidence, so a route or class without samples is predicted by the
 * next coarser one.
 *
 *   For each sample the error of the prediction with and without each stage is measured before the
 * sample is learned. A stage takes part in estimates only while it lowers the error. A sample
 * weighs 1/32 in a cell that has many, and evidence decays with a time constant of two minutes.
 *
 *   The number of cells is bounded; the least recently used one of a set of four is replaced. All
 * times are in microseconds. Pure. Tested by test/unit/test_cost.c.
 */
#ifndef GS_ESTIMATOR_H
#define GS_ESTIMATOR_H

#include "../core/base.h"

enum
{
  GS_ESTIMATOR_CELLS = 2048, /**< of all predictors together */
  GS_ESTIMATOR_WAYS = 4,     /**< cells among which one is replaced */
};

/** What is known of a request before it runs. 0 in a field: unknown. */
typedef struct
{
  uint64_t flow;
  uint64_t work_class; /**< within the flow */
  uint64_t workspace;
  uint32_t body_bytes;
} GsCostKey;

/** In the order in which they refine an estimate. */
typedef enum
{
  GS_PREDICTOR_POOL = 0,
  GS_PREDICTOR_FLOW,
  GS_PREDICTOR_CLASS,
  GS_PREDICTOR_SIZE,
  GS_PREDICTOR_WORKSPACE,
  GS_PREDICTOR_COUNT,
} GsPredictor;

/** Measured use of one predictor. Errors are root mean squares of the logarithm of measured over
 * estimated time, over about the last 300 samples that have the predictor's value. */
typedef struct
{
  double error_without; /**< by the predictors before it that are in use */
  double error_with;
  uint32_t samples;
  bool in_use;
} GsPredictorView;

typedef struct GsEstimator GsEstimator;

GsEstimator *gs_estimator_new (void);
void gs_estimator_free (GsEstimator *estimator);

/** RETURN VALUE: the median time of requests like KEY; 0 before the first sample. Their mean is
 * higher: see work_tail.h. */
double gs_estimator_typical_us (const GsEstimator *estimator, const GsCostKey *key);

/** RETURN VALUE: the median time over all requests; 0 before the first sample. */
double gs_estimator_overall_us (const GsEstimator *estimator);

/** Learns that a request with KEY took ANSWER_US. */
void
gs_estimator_add (GsEstimator *estimator, const GsCostKey *key, int64_t answer_us, int64_t now_us);

GsPredictorView gs_estimator_view (const GsEstimator *estimator, GsPredictor predictor);

/** RETURN VALUE: static name of PREDICTOR, as in log lines. */
const char *gs_predictor_name (GsPredictor predictor);

#endif
