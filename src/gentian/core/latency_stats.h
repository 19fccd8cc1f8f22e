/**
 * NAME
 *   durations - how long requests of each flow usually take, and how many bytes they move
 *
 * DESCRIPTION
 *   Moving mean and deviation of answer times by flow (requests of one route), and over all flows;
 * moving mean of the bytes of request and answer.
 * Samples are cut at the limit beyond which an answer counts as slow, so that a fault does not
 * become the norm. Bounded: the flow unused longest makes room. Pure. Tested by
 * test/unit/test_placer.c.
 */
#ifndef GS_LATENCY_STATS_H
#define GS_LATENCY_STATS_H

#include "base.h"

enum
{
  GS_LATENCY_STATS_FLOWS_MAX = 64,  /**< flows remembered */
  GS_LATENCY_STATS_SAMPLES_MIN = 6, /**< answers before a flow's figures are used */
};

/** Weight of a new answer once a flow has many. */
#define GS_LATENCY_STATS_SAMPLE_WEIGHT_MIN 0.05
/** Deviations above the mean from which an answer is slow: 2% of a lognormal with sigma 0.8. */
#define GS_LATENCY_STATS_SLOW_DEVIATIONS 3.0
/** And at least so many times the mean, for flows that hardly vary. */
#define GS_LATENCY_STATS_SLOW_MEANS_MIN 1.8

typedef struct
{
  uint64_t flow;
  uint32_t samples;
  double mean_us;
  double variance_us2;
  double mean_bytes; /**< of the bodies of request and answer */
  int64_t used_us;
} GsFlowLatency;

typedef struct
{
  GsFlowLatency all;
  GsFlowLatency flows[GS_LATENCY_STATS_FLOWS_MAX];
  uint32_t n_flows;
} GsLatencyStats;

/** What an answer tells of its flow. */
typedef struct
{
  uint64_t flow;
  int64_t answer_us;
  uint32_t bytes; /**< of the bodies of request and answer */
} GsLatencySample;

/** Takes SAMPLE in. */
void
gs_latency_stats_add (GsLatencyStats *durations, const GsLatencySample *sample, int64_t now_us);

/** RETURN VALUE: bytes that a request of FLOW and its answer usually move; 0 when unknown. */
uint32_t gs_latency_stats_mean_bytes (const GsLatencyStats *durations, uint64_t flow);

/** RETURN VALUE: expected time of an answer to FLOW, or of any flow; 0 when nothing is known. */
int64_t gs_latency_stats_mean_us (const GsLatencyStats *durations, uint64_t flow);

/** RETURN VALUE: mean over all flows; 0 when nothing is known. */
int64_t gs_latency_stats_overall_mean_us (const GsLatencyStats *durations);

/** RETURN VALUE: time beyond which an answer to FLOW is slow; INT64_MAX when too little is known.
 */
int64_t gs_latency_stats_slow_threshold_us (const GsLatencyStats *durations, uint64_t flow);

#endif
