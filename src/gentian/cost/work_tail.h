/**
 * NAME
 *   work_tail - how much longer a request runs that has run for some time
 *
 * DESCRIPTION
 *   A histogram of measured over typical answer times (estimator.h) of one pool, of about the last
 * 1,000 results, on top of a lognormal distribution with sigma 0.5 and a tail of 7 times in 3 of
 * 100 requests that counts as 40 results. From it follows the conditional mean remainder: of a
 * request that has run for `age` times its typical time, how many typical times are left. Where
 * work has a tail it falls at first and then rises. The lookup is a table of 16 entries, computed
 * every 32 results, without exp or log. Pure. Tested by test/unit/test_cost.c.
 */
#ifndef GS_WORK_TAIL_H
#define GS_WORK_TAIL_H

#include "../core/base.h"

enum
{
  GS_WORK_TAIL_BINS = 16,
};

typedef struct
{
  double counts[GS_WORK_TAIL_BINS];
  double sums[GS_WORK_TAIL_BINS];
  double remainders[GS_WORK_TAIL_BINS]; /**< at the lower edge of each bin */
  double rare_age; /**< age, in typical times, that less than one request in 1,000 reaches */
  uint32_t added;  /**< results since the table was computed */
} GsWorkTail;

/** Sets TAIL to what is assumed before the first result. */
void gs_work_tail_init (GsWorkTail *tail);

/** Adds a result that took RATIO times its typical time. */
void gs_work_tail_add (GsWorkTail *tail, double ratio);

/** RETURN VALUE: mean remainder, in typical times, of a request that has run for AGE typical times;
 * for age 0 the mean work. */
double gs_work_tail_remainder (const GsWorkTail *tail, double age);

#endif
