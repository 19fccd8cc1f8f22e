/**
 * NAME
 *   statistics - percentiles for the benchmarks and the simulated caller
 */
#ifndef STATISTICS_H
#define STATISTICS_H

#include <glib.h>
#include <stdlib.h>

static inline int
statistics_compare (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return a < b ? -1 : a > b;
}

/** Sorts COUNT doubles. */
static inline void
statistics_sort (double *values, size_t count)
{
  if (count > 0)
    qsort (values, count, sizeof *values, statistics_compare);
}

/** RETURN VALUE: the value below which SHARE of the sorted doubles in VALUES lie; 0 when there are
 * none. */
static inline double
statistics_percentile (const GArray *values, double share)
{
  return values->len > 0 ? g_array_index (values, double, (guint)((values->len - 1) * share)) : 0;
}

#endif
