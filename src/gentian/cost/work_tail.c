#include "work_tail.h"

enum
{
  TAIL_REFRESH = 32, /* results after which the table is computed */
};

/** Part of the histogram that is kept at each refresh: 32 of 1,000 results go. */
#define TAIL_KEPT 0.968
/** Weight above the last edge below which the remainder of a lower edge is used. */
#define TAIL_WEIGHT_MIN 0.2

/* Lower edges of the bins: powers of the square root of two. */
static const double edges[GS_WORK_TAIL_BINS]
    = { 0, 0.25, 0.354, 0.5, 0.707, 1, 1.414, 2, 2.83, 4, 5.66, 8, 11.3, 16, 22.6, 32 };

/* Shares of a lognormal distribution with sigma 0.5, of which 3 in 100 take 7 times as long. */
static const double prior[GS_WORK_TAIL_BINS]
    = { 0.0027, 0.016, 0.062, 0.156, 0.2483, 0.2486, 0.157,  0.063,
        0.019,  0.006, 0.008, 0.008, 0.004,  0.001,  0.0003, 0.0001 };

#define TAIL_PRIOR_RESULTS 40.0

static double
middle_of (int bin)
{
  return bin + 1 < GS_WORK_TAIL_BINS ? (edges[bin] + edges[bin + 1]) / 2 : edges[bin] * 1.2;
}

/** Share of the requests that reaches a rare age. */
#define TAIL_RARE_SHARE 0.001

static void
compute (GsWorkTail *tail)
{
  double all = TAIL_PRIOR_RESULTS;
  double count = 0;
  double sum = 0;

  for (int i = 0; i < GS_WORK_TAIL_BINS; i++)
    all += tail->counts[i];
  tail->rare_age = edges[GS_WORK_TAIL_BINS - 1];

  for (int i = GS_WORK_TAIL_BINS - 1; i >= 0; i--)
    {
      count += tail->counts[i] + TAIL_PRIOR_RESULTS * prior[i];
      sum += tail->sums[i] + TAIL_PRIOR_RESULTS * prior[i] * middle_of (i);
      tail->remainders[i] = sum / count - edges[i];
      if (count < TAIL_RARE_SHARE * all)
        tail->rare_age = edges[i];
      if (count < TAIL_WEIGHT_MIN)
        tail->remainders[i] = -1;
    }
  for (int i = 1; i < GS_WORK_TAIL_BINS; i++)
    if (tail->remainders[i] < 0)
      tail->remainders[i] = tail->remainders[i - 1];
  tail->added = 0;
}

void
gs_work_tail_init (GsWorkTail *tail)
{
  *tail = (GsWorkTail){ .added = 0 };
  compute (tail);
}

static int
bin_of (double ratio)
{
  int bin = 0;

  while (bin + 1 < GS_WORK_TAIL_BINS && ratio >= edges[bin + 1])
    bin++;
  return bin;
}

void
gs_work_tail_add (GsWorkTail *tail, double ratio)
{
  int bin = bin_of (ratio);

  tail->counts[bin] += 1;
  /* one outlier must not set the mean of the last bin */
  tail->sums[bin]
      += ratio < edges[GS_WORK_TAIL_BINS - 1] * 2 ? ratio : edges[GS_WORK_TAIL_BINS - 1] * 2;
  if (++tail->added < TAIL_REFRESH)
    return;
  for (int i = 0; i < GS_WORK_TAIL_BINS; i++)
    {
      tail->counts[i] *= TAIL_KEPT;
      tail->sums[i] *= TAIL_KEPT;
    }
  compute (tail);
}

double
gs_work_tail_remainder (const GsWorkTail *tail, double age)
{
  int bin = bin_of (age > 0 ? age : 0);
  double part;

  if (bin + 1 >= GS_WORK_TAIL_BINS)
    return tail->remainders[GS_WORK_TAIL_BINS - 1];
  part = ((age > 0 ? age : 0) - edges[bin]) / (edges[bin + 1] - edges[bin]);
  return tail->remainders[bin] + part * (tail->remainders[bin + 1] - tail->remainders[bin]);
}
