#include "durations.h"

#include <math.h>

static const GsDuration *
find (const GsDurations *durations, uint64_t flow)
{
  for (uint32_t i = 0; i < durations->n_flows; i++)
    if (durations->flows[i].flow == flow)
      return &durations->flows[i];
  return NULL;
}

static GsDuration *
find_or_add (GsDurations *durations, uint64_t flow)
{
  GsDuration *place = (GsDuration *)find (durations, flow);

  if (place != NULL)
    return place;
  if (durations->n_flows < GS_DURATIONS_FLOWS)
    place = &durations->flows[durations->n_flows++];
  else
    {
      place = &durations->flows[0];
      for (uint32_t i = 1; i < durations->n_flows; i++)
        if (durations->flows[i].used_us < place->used_us)
          place = &durations->flows[i];
    }
  *place = (GsDuration){ .flow = flow };
  return place;
}

static double
slow_limit_us (const GsDuration *duration)
{
  double by_deviation
      = duration->mean_us + GS_DURATIONS_SLOW_DEVIATIONS * sqrt (duration->variance_us2);
  double by_mean = GS_DURATIONS_SLOW_MIN * duration->mean_us;

  return by_deviation > by_mean ? by_deviation : by_mean;
}

static void
update (GsDuration *duration, const GsDurationSample *sample)
{
  double weight = 1.0 / (duration->samples + 1);
  double sample_us = (double)sample->answer_us;
  double off_us;

  if (duration->samples >= GS_DURATIONS_SAMPLES_MIN)
    sample_us = fmin (sample_us, slow_limit_us (duration));
  weight = fmax (weight, GS_DURATIONS_WEIGHT);
  off_us = sample_us - duration->mean_us;
  duration->mean_us += weight * off_us;
  duration->mean_bytes += weight * (sample->bytes - duration->mean_bytes);
  if (duration->samples > 0)
    duration->variance_us2 = (1 - weight) * (duration->variance_us2 + weight * off_us * off_us);
  duration->samples++;
}

void
gs_durations_note (GsDurations *durations, const GsDurationSample *sample, int64_t now_us)
{
  GsDuration *duration = find_or_add (durations, sample->flow);

  duration->used_us = now_us;
  update (duration, sample);
  update (&durations->all, sample);
}

uint32_t
gs_durations_bytes (const GsDurations *durations, uint64_t flow)
{
  const GsDuration *duration = find (durations, flow);

  return duration != NULL ? (uint32_t)duration->mean_bytes : 0;
}

int64_t
gs_durations_mean_us (const GsDurations *durations, uint64_t flow)
{
  const GsDuration *duration = find (durations, flow);

  if (duration == NULL || duration->samples < GS_DURATIONS_SAMPLES_MIN)
    duration = &durations->all;
  return (int64_t)duration->mean_us;
}

int64_t
gs_durations_overall_us (const GsDurations *durations)
{
  return (int64_t)durations->all.mean_us;
}

int64_t
gs_durations_slow_us (const GsDurations *durations, uint64_t flow)
{
  const GsDuration *duration = find (durations, flow);

  if (duration == NULL || duration->samples < GS_DURATIONS_SAMPLES_MIN)
    return INT64_MAX;
  return (int64_t)slow_limit_us (duration);
}
