#include "latency_stats.h"

#include <math.h>

static const GsFlowLatency *
find (const GsLatencyStats *durations, uint64_t flow)
{
  for (uint32_t i = 0; i < durations->n_flows; i++)
    if (durations->flows[i].flow == flow)
      return &durations->flows[i];
  return NULL;
}

static GsFlowLatency *
find_or_add (GsLatencyStats *durations, uint64_t flow)
{
  GsFlowLatency *place = (GsFlowLatency *)find (durations, flow);

  if (place != NULL)
    return place;
  if (durations->n_flows < GS_LATENCY_STATS_FLOWS_MAX)
    place = &durations->flows[durations->n_flows++];
  else
    {
      place = &durations->flows[0];
      for (uint32_t i = 1; i < durations->n_flows; i++)
        if (durations->flows[i].used_us < place->used_us)
          place = &durations->flows[i];
    }
  *place = (GsFlowLatency){ .flow = flow };
  return place;
}

static double
slow_limit_us (const GsFlowLatency *duration)
{
  double by_deviation
      = duration->mean_us + GS_LATENCY_STATS_SLOW_DEVIATIONS * sqrt (duration->variance_us2);
  double by_mean = GS_LATENCY_STATS_SLOW_MEANS_MIN * duration->mean_us;

  return by_deviation > by_mean ? by_deviation : by_mean;
}

static void
update (GsFlowLatency *duration, const GsLatencySample *sample)
{
  double weight = 1.0 / (duration->samples + 1);
  double sample_us = (double)sample->answer_us;
  double off_us;

  if (duration->samples >= GS_LATENCY_STATS_SAMPLES_MIN)
    sample_us = fmin (sample_us, slow_limit_us (duration));
  weight = fmax (weight, GS_LATENCY_STATS_SAMPLE_WEIGHT_MIN);
  off_us = sample_us - duration->mean_us;
  duration->mean_us += weight * off_us;
  duration->mean_bytes += weight * (sample->bytes - duration->mean_bytes);
  if (duration->samples > 0)
    duration->variance_us2 = (1 - weight) * (duration->variance_us2 + weight * off_us * off_us);
  duration->samples++;
}

void
gs_latency_stats_add (GsLatencyStats *durations, const GsLatencySample *sample, int64_t now_us)
{
  GsFlowLatency *duration = find_or_add (durations, sample->flow);

  duration->used_us = now_us;
  update (duration, sample);
  update (&durations->all, sample);
}

uint32_t
gs_latency_stats_mean_bytes (const GsLatencyStats *durations, uint64_t flow)
{
  const GsFlowLatency *duration = find (durations, flow);

  return duration != NULL ? (uint32_t)duration->mean_bytes : 0;
}

int64_t
gs_latency_stats_mean_us (const GsLatencyStats *durations, uint64_t flow)
{
  const GsFlowLatency *duration = find (durations, flow);

  if (duration == NULL || duration->samples < GS_LATENCY_STATS_SAMPLES_MIN)
    duration = &durations->all;
  return (int64_t)duration->mean_us;
}

int64_t
gs_latency_stats_overall_mean_us (const GsLatencyStats *durations)
{
  return (int64_t)durations->all.mean_us;
}

int64_t
gs_latency_stats_slow_threshold_us (const GsLatencyStats *durations, uint64_t flow)
{
  const GsFlowLatency *duration = find (durations, flow);

  if (duration == NULL || duration->samples < GS_LATENCY_STATS_SAMPLES_MIN)
    return INT64_MAX;
  return (int64_t)slow_limit_us (duration);
}
