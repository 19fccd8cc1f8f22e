/**
 * NAME
 *   repeats - bounds repeats to a share of the requests within a sliding window
 *
 * DESCRIPTION
 *   Counts requests and repeats in slices of a window. A repeat is allowed while the repeats of the
 * last window stay below the share of the requests in it plus a constant. The newest slice is not
 * over yet, so a slice more is kept: repeats count in all of them, requests in those that lie
 * within the window. Unlike a token bucket it bounds every window, also after a quiet time. Header
 * only. Tested by test/unit/test_placer.c.
 */
#ifndef GS_REPEATS_H
#define GS_REPEATS_H

#include "base.h"

enum
{
  GS_REPEATS_SLICES = 10, /**< of a window */
  GS_REPEATS_KEPT = GS_REPEATS_SLICES + 1,
};

/** Part of the slack that is used: a home that has just taken over may not know all repeats. */
#define GS_REPEATS_MARGIN 0.75
/** Part of the share that is used: while a home answers late, others place for it, and each counts
 * the repeats of the others only when it is told. */
#define GS_REPEATS_SHARE_MARGIN 0.9

typedef struct
{
  uint32_t share_ppm; /**< repeats for a million requests */
  uint32_t slack;     /**< repeats on top in each window */
  int64_t window_us;
} GsRepeatBudget;

typedef struct
{
  GsRepeatBudget budget;
  int64_t slice; /**< number of the newest slice */
  uint32_t requests[GS_REPEATS_KEPT];
  uint32_t repeats[GS_REPEATS_KEPT];
} GsRepeats;

/** Forgets the slices that left the window. */
static inline void
gs_repeats_turn (GsRepeats *repeats, int64_t now_us)
{
  int64_t slice = now_us / (repeats->budget.window_us / GS_REPEATS_SLICES);

  if (slice - repeats->slice > GS_REPEATS_KEPT)
    repeats->slice = slice - GS_REPEATS_KEPT;
  while (repeats->slice < slice)
    {
      repeats->slice++;
      repeats->requests[repeats->slice % GS_REPEATS_KEPT] = 0;
      repeats->repeats[repeats->slice % GS_REPEATS_KEPT] = 0;
    }
}

/** Notes a request. */
static inline void
gs_repeats_note (GsRepeats *repeats, int64_t now_us)
{
  gs_repeats_turn (repeats, now_us);
  repeats->requests[repeats->slice % GS_REPEATS_KEPT]++;
}

/** Notes a repeat that another daemon allowed. */
static inline void
gs_repeats_note_again (GsRepeats *repeats, int64_t now_us)
{
  gs_repeats_turn (repeats, now_us);
  repeats->repeats[repeats->slice % GS_REPEATS_KEPT]++;
}

/** Takes a repeat out of the budget. RETURN VALUE: false when the window allows none. */
static inline bool
gs_repeats_spend (GsRepeats *repeats, int64_t now_us)
{
  double allowed = GS_REPEATS_MARGIN * repeats->budget.slack;
  double share = GS_REPEATS_SHARE_MARGIN * repeats->budget.share_ppm / 1e6;
  uint32_t used = 0;

  gs_repeats_turn (repeats, now_us);
  for (int i = 0; i < GS_REPEATS_KEPT; i++)
    {
      bool oldest = i == (repeats->slice + 1) % GS_REPEATS_KEPT;
      allowed += oldest ? 0 : repeats->requests[i] * share;
      used += repeats->repeats[i];
    }
  if (used + 1 > allowed)
    return false;
  repeats->repeats[repeats->slice % GS_REPEATS_KEPT]++;
  return true;
}

#endif
