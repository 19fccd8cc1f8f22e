#include "latency_stats.h"

#include <math.h>

static const GsFlowLatency *
find (const GsLatencyStats *stats, uint64_t flow)
{
  for (uint32_t i = 0; i < stats->n_flows; i++)
    if (stats->flows[i].flow == flow)
      return &stats->flows[i];
  return NULL;
}

static GsFlowLatency *
find_or_add (GsLatencyStats *stats, uint64_t flow)
{
  GsFlowLatency *latency = (GsFlowLatency *)find (stats, flow);

  if (latency != NULL)
    return latency;
  if (stats->n_flows < GS_LATENCY_STATS_FLOWS_MAX)
    latency = &stats->flows[stats->n_flows++];
  else
    {
      latency = &stats->flows[0];
      for (uint32_t i = 1; i < stats->n_flows; i++)
        if (stats->flows[i].last_used_us < latency->last_used_us)
          latency = &stats->flows[i];
    }
  *latency = (GsFlowLatency){ .flow = flow };
  return latency;
}

static double
slow_threshold_us (const GsFlowLatency *latency)
{
  double by_deviation
      = latency->mean_us + GS_LATENCY_STATS_SLOW_DEVIATIONS * sqrt (latency->variance_us2);
  double by_mean = GS_LATENCY_STATS_SLOW_MEANS_MIN * latency->mean_us;

  return by_deviation > by_mean ? by_deviation : by_mean;
}

static void
add_sample (GsFlowLatency *latency, const GsLatencySample *sample)
{
  double weight = 1.0 / (latency->samples + 1);
  double sample_us = (double)sample->answer_us;
  double deviation_us;

  if (latency->samples >= GS_LATENCY_STATS_SAMPLES_MIN)
    sample_us = fmin (sample_us, slow_threshold_us (latency));
  weight = fmax (weight, GS_LATENCY_STATS_SAMPLE_WEIGHT_MIN);
  deviation_us = sample_us - latency->mean_us;
  latency->mean_us += weight * deviation_us;
  latency->mean_bytes += weight * (sample->bytes - latency->mean_bytes);
  if (latency->samples > 0)
    latency->variance_us2
        = (1 - weight) * (latency->variance_us2 + weight * deviation_us * deviation_us);
  latency->samples++;
}

void
gs_latency_stats_add (GsLatencyStats *stats, const GsLatencySample *sample, int64_t now_us)
{
  GsFlowLatency *latency = find_or_add (stats, sample->flow);

  latency->last_used_us = now_us;
  add_sample (latency, sample);
  add_sample (&stats->all, sample);
}

uint32_t
gs_latency_stats_mean_bytes (const GsLatencyStats *stats, uint64_t flow)
{
  const GsFlowLatency *latency = find (stats, flow);

  return latency != NULL ? (uint32_t)latency->mean_bytes : 0;
}

int64_t
gs_latency_stats_mean_us (const GsLatencyStats *stats, uint64_t flow)
{
  const GsFlowLatency *latency = find (stats, flow);

  if (latency == NULL || latency->samples < GS_LATENCY_STATS_SAMPLES_MIN)
    latency = &stats->all;
  return (int64_t)latency->mean_us;
}

int64_t
gs_latency_stats_overall_mean_us (const GsLatencyStats *stats)
{
  return (int64_t)stats->all.mean_us;
}

int64_t
gs_latency_stats_slow_threshold_us (const GsLatencyStats *stats, uint64_t flow)
{
  const GsFlowLatency *latency = find (stats, flow);

  if (latency == NULL || latency->samples < GS_LATENCY_STATS_SAMPLES_MIN)
    return INT64_MAX;
  return (int64_t)slow_threshold_us (latency);
}
