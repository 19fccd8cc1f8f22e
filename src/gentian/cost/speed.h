/**
 * NAME
 *   speed - how slow a server is compared with the others of its pool
 *
 * DESCRIPTION
 *   Mean of the logarithm of measured over typical time of the server's results, less that of the
 * whole pool at the time: a route that becomes more expensive is no fault of a server. Evidence
 * decays with a time constant of 4 s, and is shrunk towards "as fast as the others". Results are
 * clamped, so that a single long request does not make a server slow. Pure. Tested by
 * test/unit/test_cost.c.
 */
#ifndef GS_SPEED_H
#define GS_SPEED_H

#include "../core/base.h"

/** Decaying mean of logarithms of the pool, or of the deviations of a server. Zeros: no evidence.
 */
typedef struct
{
  double samples;
  double sum;
  int64_t at_us;
  double slowness; /**< of a server as of at_us; see gs_speed_slowness */
} GsSpeed;

/** Counts a result with LOG_RATIO for SERVER and its pool. */
void gs_speed_add (GsSpeed *pool, GsSpeed *server, double log_ratio, int64_t now_us);

/** RETURN VALUE: expected time at SERVER over that at the others; 1 without evidence. Returns to 1
 * within 8 s after the last result. */
double gs_speed_slowness (const GsSpeed *server, int64_t now_us);

#endif
