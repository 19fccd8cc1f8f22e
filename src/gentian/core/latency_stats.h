/**
 * NAME
 *   latency_stats - mean answer time and size of each flow, and the threshold of a slow answer
 *
 * DESCRIPTION
 *   Exponentially weighted mean and variance of answer times, by flow (the requests of one route)
 * and over all flows, and the weighted mean of the bytes of request and answer. Samples are clamped
 * to the flow's slow threshold, so that a fault does not raise the baseline. The number of flows is
 * bounded; the least recently used one is evicted. Pure. Tested by test/unit/test_scheduler.c.
 */
#ifndef GS_LATENCY_STATS_H
#define GS_LATENCY_STATS_H

#include "base.h"

enum
{
  GS_LATENCY_STATS_FLOWS_MAX = 64,  /**< flows stored */
  GS_LATENCY_STATS_SAMPLES_MIN = 6, /**< samples before a flow's statistics are used */
};

/** Weight of a new sample once a flow has many. */
#define GS_LATENCY_STATS_SAMPLE_WEIGHT_MIN 0.05
/** Standard deviations above the mean from which an answer is slow: 2% of the answers when times
 * are lognormal with sigma 0.8. */
#define GS_LATENCY_STATS_SLOW_DEVIATIONS 3.0
/** Lower bound of the slow threshold in multiples of the mean, for flows with little variance. */
#define GS_LATENCY_STATS_SLOW_MEANS_MIN 1.8

typedef struct
{
  uint64_t flow;
  uint32_t samples;
  double mean_us;
  double variance_us2;
  double mean_bytes; /**< of the bodies of request and answer */
  int64_t last_used_us;
} GsFlowLatency;

typedef struct
{
  GsFlowLatency all;
  GsFlowLatency flows[GS_LATENCY_STATS_FLOWS_MAX];
  uint32_t n_flows;
} GsLatencyStats;

/** One answer. */
typedef struct
{
  uint64_t flow;
  int64_t answer_us;
  uint32_t bytes; /**< of the bodies of request and answer */
} GsLatencySample;

/** Adds SAMPLE to its flow and to the overall statistics. */
void gs_latency_stats_add (GsLatencyStats *stats, const GsLatencySample *sample, int64_t now_us);

/** RETURN VALUE: mean bytes of a request of FLOW and its answer; 0 when unknown. */
uint32_t gs_latency_stats_mean_bytes (const GsLatencyStats *stats, uint64_t flow);

/** RETURN VALUE: mean answer time of FLOW, of all flows while FLOW has too few samples; 0 when
 * there are none. */
int64_t gs_latency_stats_mean_us (const GsLatencyStats *stats, uint64_t flow);

/** RETURN VALUE: mean answer time over all flows; 0 when there are no samples. */
int64_t gs_latency_stats_overall_mean_us (const GsLatencyStats *stats);

/** RETURN VALUE: answer time beyond which an answer of FLOW is slow; INT64_MAX while FLOW has too
 * few samples. */
int64_t gs_latency_stats_slow_threshold_us (const GsLatencyStats *stats, uint64_t flow);

#endif
