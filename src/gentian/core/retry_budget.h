/**
 * NAME
 *   repeats - bounds the repeats of a pool over all its placers
 *
 * SYNOPSIS
 *   GsRetryBudget *repeats = gs_retry_budget_new (&budget);
 *   gs_retry_budget_add_request (repeats, now_us);
 *   if (gs_retry_budget_spend (repeats, now_us))
 *     send_again ();
 *   if (gs_retry_budget_get_account (repeats, now_us, &account))
 *     tell_homes (&account);
 *
 * DESCRIPTION
 *   The budget is one for the pool, its placers are many: askers that cannot reach a home ask
 * another one, and homes change. So each request gives credit at one placer only, the one that
 * granted it, and a placer's repeats stay below the share of its own requests plus its own slack.
 * The sum over all placers then stays within the budget without a message.
 *
 *   What a sum over placers cannot bound is time: a placer that has spent the credit of a whole
 * window may lose its requests to another one within that window. So placers tell their accounts to
 * the pool's homes, which charge themselves what others have spent beyond their credit. Losing such
 * a message costs precision, not the bound of the first rule.
 *
 *   Counted in slices of a window. The newest slice is not over yet, so a slice more is kept:
 * repeats count in all of them, requests in those that lie within the window. Unlike a token bucket
 * it bounds every window, also after a quiet time. Pure: no I/O, no clock. Tested by
 * test/unit/test_repeats.c.
 */
#ifndef GS_RETRY_BUDGET_H
#define GS_RETRY_BUDGET_H

#include "base.h"

enum
{
  GS_RETRY_BUDGET_SLICES = 10, /**< of a window */
  GS_RETRY_BUDGET_SLICES_STORED = GS_RETRY_BUDGET_SLICES + 1,
};

/** Part of the slack that is used, and of the share. The rest covers accounts that were told late.
 */
#define GS_RETRY_BUDGET_SLACK_FRACTION 0.75
#define GS_RETRY_BUDGET_SHARE_FRACTION 0.9

typedef struct
{
  uint32_t share_ppm; /**< repeats for a million requests */
  uint32_t slack;     /**< repeats on top in each window */
  int64_t window_us;
} GsRetryBudgetOptions;

/** What one placer granted, by slice, the newest first. */
typedef struct
{
  uint32_t requests[GS_RETRY_BUDGET_SLICES_STORED];
  uint32_t repeats[GS_RETRY_BUDGET_SLICES_STORED];
} GsRetryAccount;

/** What counts at the moment, for log lines. */
typedef struct
{
  uint32_t requests; /**< granted by this placer in the last window */
  uint32_t repeats;
  uint32_t debts;   /**< repeats of other placers beyond the credit of their own requests */
  uint32_t placers; /**< that told their accounts */
  uint32_t slack;   /**< this placer's */
} GsRetryBudgetView;

typedef struct GsRetryBudget GsRetryBudget;

GsRetryBudget *gs_retry_budget_new (const GsRetryBudgetOptions *budget);
void gs_retry_budget_free (GsRetryBudget *repeats);

/** Sets this placer's part of the slack. */
void gs_retry_budget_set_slack (GsRetryBudget *repeats, uint32_t slack);

/** Notes a request that this placer granted. */
void gs_retry_budget_add_request (GsRetryBudget *repeats, int64_t now_us);

/** Takes a repeat out of the budget. RETURN VALUE: false when the window allows none. */
bool gs_retry_budget_spend (GsRetryBudget *repeats, int64_t now_us);

/** Fills ACCOUNT with what this placer granted. RETURN VALUE: false when it holds no repeat. */
bool gs_retry_budget_get_account (GsRetryBudget *repeats, int64_t now_us, GsRetryAccount *account);

/** Takes the ACCOUNT of the placer ORIGIN, in place of its earlier one. */
void gs_retry_budget_set_peer_account (GsRetryBudget *repeats,
                                       uint64_t origin,
                                       const GsRetryAccount *account,
                                       int64_t now_us);

GsRetryBudgetView gs_retry_budget_view (GsRetryBudget *repeats, int64_t now_us);

#endif
