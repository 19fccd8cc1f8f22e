/**
 * NAME
 *   outstanding - work that was granted to one server and has not ended
 *
 * DESCRIPTION
 *   One entry for each granted request: its typical time, its age and the bytes of its body. The
 * remaining work is the sum of the conditional remainders (work_tail.h). It is computed again when
 * an entry was added or removed or 10 ms have passed, so that a pass over the servers of a pool
 * costs one comparison each. Times in microseconds. Pure. Tested by test/unit/test_cost.c.
 */
#ifndef GS_OUTSTANDING_H
#define GS_OUTSTANDING_H

#include "work_tail.h"

/** A granted request. */
typedef struct
{
  uint64_t grant;
  int64_t started_us;
  double typical_us; /**< 0: unknown */
  uint32_t body_bytes;
} GsGrantedWork;

typedef struct
{
  GsGrantedWork *items;
  uint32_t n_items;
  uint32_t capacity;
  uint64_t held_bytes; /**< of the bodies of all */
  double remaining_us;
  int64_t remaining_at_us; /**< when it was computed; -1: it has to be */
} GsOutstanding;

/** Frees what OUTSTANDING holds and empties it. */
void gs_outstanding_clear (GsOutstanding *outstanding);

void gs_outstanding_add (GsOutstanding *outstanding, const GsGrantedWork *work);

/** Removes the request with GRANT. RETURN VALUE: false when there is none. */
bool gs_outstanding_remove (GsOutstanding *outstanding, uint64_t grant);

/** RETURN VALUE: expected work left at NOW_US, at a server that takes SLOWNESS times as long as
 * usual. */
double gs_outstanding_remaining_us (GsOutstanding *outstanding,
                                    const GsWorkTail *tail,
                                    double slowness,
                                    int64_t now_us);

/** RETURN VALUE: whether a body of BODY_BYTES fits under BOUND; always without another request, or
 * with bound 0. */
bool
gs_outstanding_has_room (const GsOutstanding *outstanding, uint32_t body_bytes, uint64_t bound);

#endif
