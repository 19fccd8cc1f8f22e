/**
 * NAME
 *   retry_budget - bounds the retries of a pool across all its schedulers
 *
 * SYNOPSIS
 *   GsRetryBudget *budget = gs_retry_budget_new (&options);
 *   gs_retry_budget_add_request (budget, now_us);
 *   if (gs_retry_budget_spend (budget, now_us))
 *     retry ();
 *   if (gs_retry_budget_get_account (budget, now_us, &account))
 *     send_to_homes (&account);
 *
 * DESCRIPTION
 *   A pool has one retry budget but may have several schedulers: daemons that cannot reach a home
 * request slots from the next one, and homes change. Therefore each request adds credit at one
 * scheduler only, the one that granted it, and a scheduler allows fewer retries than the configured
 * share of its own requests plus its own slack. The sum over all schedulers then stays within the
 * budget without communication.
 *
 *   That rule does not bound every window: a scheduler may spend the credit of a complete window
 * and its requests then move to another scheduler within the same window. Therefore schedulers send
 * their accounts to the pool's homes, which deduct the retries that others made beyond their own
 * credit. A lost account makes the bound over time less exact; the first rule still holds.
 *
 *   Requests and retries are counted in slices of a window. The newest slice is incomplete, so one
 * more is stored: retries count in all of them, requests only in the newest GS_RETRY_BUDGET_SLICES,
 * which lie within the window. Unlike a token bucket this bounds every window, also one after an
 * idle period. Pure: no I/O, no clock. Tested by test/unit/test_retry_budget.c.
 */
#ifndef GS_RETRY_BUDGET_H
#define GS_RETRY_BUDGET_H

#include "base.h"

enum
{
  GS_RETRY_BUDGET_SLICES = 10, /**< per window */
  GS_RETRY_BUDGET_SLICES_STORED = GS_RETRY_BUDGET_SLICES + 1,
};

/** Fraction of the slack, and of the share, that may be used. The rest covers accounts that arrive
 * late. */
#define GS_RETRY_BUDGET_SLACK_FRACTION 0.75
#define GS_RETRY_BUDGET_SHARE_FRACTION 0.9

typedef struct
{
  uint32_t share_ppm; /**< retries per million requests */
  uint32_t slack;     /**< additional retries per window */
  int64_t window_us;
} GsRetryBudgetOptions;

/** Requests and retries that one scheduler granted, by slice, newest first. */
typedef struct
{
  uint32_t requests[GS_RETRY_BUDGET_SLICES_STORED];
  uint32_t retries[GS_RETRY_BUDGET_SLICES_STORED];
} GsRetryAccount;

/** Current counts, for log lines. */
typedef struct
{
  uint32_t requests; /**< granted by this scheduler in the last window */
  uint32_t retries;
  uint32_t debts;      /**< retries of other schedulers beyond the credit of their own requests */
  uint32_t schedulers; /**< other schedulers with retries in the last window */
  uint32_t slack;      /**< of this scheduler */
} GsRetryBudgetView;

typedef struct GsRetryBudget GsRetryBudget;

GsRetryBudget *gs_retry_budget_new (const GsRetryBudgetOptions *options);
void gs_retry_budget_free (GsRetryBudget *budget);

/** Sets this scheduler's part of the pool's slack. */
void gs_retry_budget_set_slack (GsRetryBudget *budget, uint32_t slack);

/** Counts a request that this scheduler granted. */
void gs_retry_budget_add_request (GsRetryBudget *budget, int64_t now_us);

/** Spends one retry. RETURN VALUE: false when the window's budget is exhausted. */
bool gs_retry_budget_spend (GsRetryBudget *budget, int64_t now_us);

/** Fills ACCOUNT with what this scheduler granted. RETURN VALUE: false when it has no retries. */
bool gs_retry_budget_get_account (GsRetryBudget *budget, int64_t now_us, GsRetryAccount *account);

/** Stores ACCOUNT of the scheduler ORIGIN; it replaces the earlier one. */
void gs_retry_budget_set_peer_account (GsRetryBudget *budget,
                                       uint64_t origin,
                                       const GsRetryAccount *account,
                                       int64_t now_us);

GsRetryBudgetView gs_retry_budget_view (GsRetryBudget *budget, int64_t now_us);

#endif
