/**
 * NAME
 *   repeats - bounds the repeats of a pool over all its placers
 *
 * SYNOPSIS
 *   GsRepeats *repeats = gs_repeats_new (&budget);
 *   gs_repeats_note (repeats, now_us);
 *   if (gs_repeats_spend (repeats, now_us))
 *     send_again ();
 *   if (gs_repeats_report (repeats, now_us, &account))
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
#ifndef GS_REPEATS_H
#define GS_REPEATS_H

#include "base.h"

enum
{
  GS_REPEATS_SLICES = 10, /**< of a window */
  GS_REPEATS_KEPT = GS_REPEATS_SLICES + 1,
};

/** Part of the slack that is used, and of the share. The rest covers accounts that were told late.
 */
#define GS_REPEATS_MARGIN 0.75
#define GS_REPEATS_SHARE_MARGIN 0.9

typedef struct
{
  uint32_t share_ppm; /**< repeats for a million requests */
  uint32_t slack;     /**< repeats on top in each window */
  int64_t window_us;
} GsRepeatBudget;

/** What one placer granted, by slice, the newest first. */
typedef struct
{
  uint32_t requests[GS_REPEATS_KEPT];
  uint32_t repeats[GS_REPEATS_KEPT];
} GsRepeatsAccount;

/** What counts at the moment, for log lines. */
typedef struct
{
  uint32_t requests; /**< granted by this placer in the last window */
  uint32_t repeats;
  uint32_t debts;   /**< repeats of other placers beyond the credit of their own requests */
  uint32_t placers; /**< that told their accounts */
  uint32_t slack;   /**< this placer's */
} GsRepeatsView;

typedef struct GsRepeats GsRepeats;

GsRepeats *gs_repeats_new (const GsRepeatBudget *budget);
void gs_repeats_free (GsRepeats *repeats);

/** Sets this placer's part of the slack. */
void gs_repeats_set_slack (GsRepeats *repeats, uint32_t slack);

/** Notes a request that this placer granted. */
void gs_repeats_note (GsRepeats *repeats, int64_t now_us);

/** Takes a repeat out of the budget. RETURN VALUE: false when the window allows none. */
bool gs_repeats_spend (GsRepeats *repeats, int64_t now_us);

/** Fills ACCOUNT with what this placer granted. RETURN VALUE: false when it holds no repeat. */
bool gs_repeats_report (GsRepeats *repeats, int64_t now_us, GsRepeatsAccount *account);

/** Takes the ACCOUNT of the placer ORIGIN, in place of its earlier one. */
void gs_repeats_take (GsRepeats *repeats,
                      uint64_t origin,
                      const GsRepeatsAccount *account,
                      int64_t now_us);

GsRepeatsView gs_repeats_view (GsRepeats *repeats, int64_t now_us);

#endif
