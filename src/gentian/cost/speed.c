#include "speed.h"

#include <math.h>

#define SPEED_DECAY_S 4.0
/** Time after which a server without results counts as fast as the others. */
#define SPEED_MEMORY_US (8 * GS_US_PER_S)
/** Results at which the server's own mean counts as much as the assumption that it is as fast as
 * the others. */
#define SPEED_PRIOR_SAMPLES 1.0
/** Largest logarithm that one result counts: a factor of 4. */
#define SPEED_LOG_MAX 1.386
/** Deviation that counts as none. With sigma 0.5 and a tail the mean of 10 results varies by 0.2.
 */
#define SPEED_LOG_MIN 0.3
/** Results of the pool before servers are compared. */
#define SPEED_POOL_SAMPLES 10

static void
add (GsSpeed *speed, double value, int64_t now_us)
{
  double elapsed_s = (double)(now_us - speed->at_us) / (double)GS_US_PER_S;
  double decay = elapsed_s > 0 ? exp (-elapsed_s / SPEED_DECAY_S) : 1;

  speed->samples = speed->samples * decay + 1;
  speed->sum = speed->sum * decay + value;
  speed->at_us = now_us;
}

void
gs_speed_add (GsSpeed *pool, GsSpeed *server, double log_ratio, int64_t now_us)
{
  double pool_mean = pool->samples > 0 ? pool->sum / pool->samples : 0;
  double deviation = fmax (fmin (log_ratio - pool_mean, SPEED_LOG_MAX), -SPEED_LOG_MAX);
  double mean;

  add (pool, pool_mean + deviation, now_us);
  server->slowness = 1;
  if (pool->samples < SPEED_POOL_SAMPLES)
    return;
  add (server, deviation, now_us);
  mean = server->sum / (server->samples + SPEED_PRIOR_SAMPLES);
  if (fabs (mean) > SPEED_LOG_MIN)
    server->slowness = exp (mean);
}

double
gs_speed_slowness (const GsSpeed *server, int64_t now_us)
{
  int64_t age_us = now_us - server->at_us;

  if (server->samples <= 0 || age_us >= SPEED_MEMORY_US)
    return 1;
  return 1 + (server->slowness - 1) * (1 - (double)age_us / (double)SPEED_MEMORY_US);
}
