/**
 * NAME
 *   budget - token bucket that bounds retries to a share of the requests
 *
 * DESCRIPTION
 *   Each request adds a fraction of a token; each retry takes one. When everything fails, retries
 * stay within the share, so they never multiply the load. A small reserve lets idle pools retry at
 * all. Header only. Tested by test/unit/test_queue.c.
 */
#ifndef GS_BUDGET_H
#define GS_BUDGET_H

#include "base.h"

#define GS_BUDGET_SHARE 0.1 /**< retries for each request */
#define GS_BUDGET_MAX 20.0  /**< tokens kept at most */

typedef struct
{
  double tokens;
} GsBudget;

static inline GsBudget
gs_budget_full (void)
{
  return (GsBudget){ .tokens = GS_BUDGET_MAX };
}

/** Adds what one request earns. */
static inline void
gs_budget_earn (GsBudget *budget)
{
  budget->tokens += GS_BUDGET_SHARE;
  if (budget->tokens > GS_BUDGET_MAX)
    budget->tokens = GS_BUDGET_MAX;
}

/** Takes one token. RETURN VALUE: false when there is none. */
static inline bool
gs_budget_spend (GsBudget *budget)
{
  if (budget->tokens < 1)
    return false;
  budget->tokens -= 1;
  return true;
}

#endif
