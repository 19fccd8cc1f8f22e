/**
 * NAME
 *   repeats - bounds repeats to a share of the requests within a sliding window
 *
 * DESCRIPTION
 *   Counts requests and repeats in slices of a window. A repeat is allowed while the repeats of the
 * last window stay below the share of the requests in it plus a constant. The newest slice is not
 * over yet, so a slice more is kept: repeats count in all of them, requests in those that lie
 * within the window. Unlike a token bucket it bounds every window, also after a quiet time. What
 * the placer granted itself and what it was told of other placers are counted apart. Header only.
 * Tested by test/unit/test_placer.c.
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

/** Requests and repeats by slice. */
typedef struct
{
  uint32_t requests[GS_REPEATS_KEPT];
  uint32_t repeats[GS_REPEATS_KEPT];
} GsRepeatsAccount;

typedef struct
{
  GsRepeatBudget budget;
  int64_t slice; /**< number of the newest slice */
  GsRepeatsAccount own;
  GsRepeatsAccount told; /**< of other placers */
} GsRepeats;

/** Requests and repeats of the last window. */
typedef struct
{
  uint32_t requests;
  uint32_t repeats;
} GsRepeatsSum;

static inline int
gs_repeats_index (const GsRepeats *repeats)
{
  return (int)(repeats->slice % GS_REPEATS_KEPT);
}

/** Forgets the slices that left the window. */
static inline void
gs_repeats_turn (GsRepeats *repeats, int64_t now_us)
{
  int64_t slice = now_us / (repeats->budget.window_us / GS_REPEATS_SLICES);

  if (slice - repeats->slice > GS_REPEATS_KEPT)
    repeats->slice = slice - GS_REPEATS_KEPT;
  while (repeats->slice < slice)
    {
      int index;
      repeats->slice++;
      index = gs_repeats_index (repeats);
      repeats->own.requests[index] = repeats->own.repeats[index] = 0;
      repeats->told.requests[index] = repeats->told.repeats[index] = 0;
    }
}

/** Notes a request that this placer granted. */
static inline void
gs_repeats_note (GsRepeats *repeats, int64_t now_us)
{
  gs_repeats_turn (repeats, now_us);
  repeats->own.requests[gs_repeats_index (repeats)]++;
}

/** Notes a request, or the repeat of one, that another placer granted. */
static inline void
gs_repeats_note_told (GsRepeats *repeats, bool again, int64_t now_us)
{
  gs_repeats_turn (repeats, now_us);
  if (again)
    repeats->told.repeats[gs_repeats_index (repeats)]++;
  else
    repeats->told.requests[gs_repeats_index (repeats)]++;
}

/** RETURN VALUE: what ACCOUNT of REPEATS holds for the window that ends now. */
static inline GsRepeatsSum
gs_repeats_sum (const GsRepeats *repeats, const GsRepeatsAccount *account)
{
  GsRepeatsSum sum = { 0, 0 };

  for (int i = 0; i < GS_REPEATS_KEPT; i++)
    {
      bool oldest = i == (repeats->slice + 1) % GS_REPEATS_KEPT;
      sum.requests += oldest ? 0 : account->requests[i];
      sum.repeats += account->repeats[i];
    }
  return sum;
}

/** Takes a repeat out of the budget. RETURN VALUE: false when the window allows none. */
static inline bool
gs_repeats_spend (GsRepeats *repeats, int64_t now_us)
{
  double share = GS_REPEATS_SHARE_MARGIN * repeats->budget.share_ppm / 1e6;
  GsRepeatsSum own;
  GsRepeatsSum told;

  gs_repeats_turn (repeats, now_us);
  own = gs_repeats_sum (repeats, &repeats->own);
  told = gs_repeats_sum (repeats, &repeats->told);
  if (own.repeats + told.repeats + 1
      > GS_REPEATS_MARGIN * repeats->budget.slack + share * (own.requests + told.requests))
    return false;
  repeats->own.repeats[gs_repeats_index (repeats)]++;
  return true;
}

#endif
