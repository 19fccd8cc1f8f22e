/**
 * NAME
 *   cost_model - likely cost of requests and servers of one pool, for placement
 *
 * SYNOPSIS
 *   GsCostModel *model = gs_cost_model_new ();
 *   GsRequestCost cost = gs_cost_model_estimate (model, &key);
 *   gs_cost_model_add (model, &key, cost.typical_us, answer_us, speed_of_server, now_us);
 *
 * DESCRIPTION
 *   Combines the estimator, the tail of its errors and the learned speeds of the servers. Kept by
 * the scheduler of a pool (core/scheduler.h), used for ranking servers (core/upstream_set.h) and
 * waiting requests. Pure. Tested by test/unit/test_cost.c and test/unit/test_placement.c.
 */
#ifndef GS_COST_MODEL_H
#define GS_COST_MODEL_H

#include "estimator.h"
#include "outstanding.h"
#include "speed.h"

/** By what servers and waiting requests are ranked. */
typedef enum
{
  GS_PLACEMENT_COUNT = 0, /**< by the number of slots in use, and by arrival */
  GS_PLACEMENT_AUTO,      /**< by cost where GS_PLACEMENT_AUTO_SLOTS or a workspace calls for it */
  GS_PLACEMENT_COST,
} GsPlacement;

/** Slots of a server up to which one long request takes a large part of it. */
#define GS_PLACEMENT_AUTO_SLOTS 2
/** Time by which a request may at most be overtaken: only requests that arrive within it after the
 * request can be sorted before it for their size. */
#define GS_COST_OVERTAKING_US (400 * GS_US_PER_MS)

/** Likely cost of one request, in microseconds of a server of usual speed. */
typedef struct
{
  double typical_us; /**< median; 0: unknown */
  double mean_us;
  double unit_us;  /**< mean over all requests of the pool; 0: unknown */
  double per_unit; /**< 1 / unit_us; 0: unknown */
  uint32_t body_bytes;
  const GsWorkTail *tail; /**< of the model */
} GsRequestCost;

/** Estimates since the last report. */
typedef struct
{
  uint64_t results;
  uint64_t estimated_us; /**< sum of the expected times */
  uint64_t measured_us;
  uint64_t error_us; /**< sum of the absolute differences */
  uint64_t typical_us;
  double tail_at_4; /**< remainder of a request that has run for 4 typical times, in these */
  GsPredictorView predictors[GS_PREDICTOR_COUNT];
} GsCostReport;

typedef struct GsCostModel GsCostModel;

GsCostModel *gs_cost_model_new (void);
void gs_cost_model_free (GsCostModel *model);

/** RETURN VALUE: whether a request of a caller in WORKSPACE (0: none) is placed by cost in a pool
 * whose servers have at most SLOTS_MAX slots (0: no servers). */
bool gs_placement_uses_cost (GsPlacement placement, uint32_t slots_max, uint64_t workspace);

/** RETURN VALUE: mean time over all requests of the pool; 0: unknown. */
double gs_cost_model_unit_us (const GsCostModel *model);

GsRequestCost gs_cost_model_estimate (const GsCostModel *model, const GsCostKey *key);

/** RETURN VALUE: running time that less than one in 1,000 requests of TYPICAL_US reaches. */
int64_t gs_cost_model_rare_age_us (const GsCostModel *model, double typical_us);

/** Learns that a request with KEY, estimated at TYPICAL_US when it was granted (0: not estimated),
 * took ANSWER_US at a server whose speed is SERVER (NULL: unknown). */
void gs_cost_model_add (GsCostModel *model,
                        const GsCostKey *key,
                        double typical_us,
                        int64_t answer_us,
                        GsSpeed *server,
                        int64_t now_us);

/** RETURN VALUE: rank of a request that arrived at ARRIVED_US among the waiting ones of its
 * priority; the least goes first. Between ARRIVED_US and GS_COST_OVERTAKING_US later, increasing
 * with the request's size, so it is overtaken only by requests that arrive within that time. COST
 * NULL: the rank of a request of mean size. */
int64_t gs_cost_order_us (int64_t arrived_us, const GsRequestCost *cost);

/** RETURN VALUE: true and REPORT, at most once a second and when there were results. */
bool gs_cost_model_next_report (GsCostModel *model, int64_t now_us, GsCostReport *report);

#endif
