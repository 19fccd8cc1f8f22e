#include "outstanding.h"

#include <glib.h>

/** Age at which the remaining work is computed again: small against answer times of 100 ms and
 * more. */
#define OUTSTANDING_REFRESH_US (10 * GS_US_PER_MS)

void
gs_outstanding_clear (GsOutstanding *outstanding)
{
  g_free (outstanding->items);
  *outstanding = (GsOutstanding){ .remaining_at_us = -1 };
}

void
gs_outstanding_add (GsOutstanding *outstanding, const GsGrantedWork *work)
{
  if (outstanding->n_items == outstanding->capacity)
    {
      outstanding->capacity = MAX (outstanding->capacity * 2, 2);
      outstanding->items = g_renew (GsGrantedWork, outstanding->items, outstanding->capacity);
    }
  outstanding->items[outstanding->n_items++] = *work;
  outstanding->held_bytes += work->body_bytes;
  outstanding->remaining_at_us = -1;
}

bool
gs_outstanding_remove (GsOutstanding *outstanding, uint64_t grant)
{
  for (uint32_t i = 0; i < outstanding->n_items; i++)
    if (outstanding->items[i].grant == grant)
      {
        outstanding->held_bytes -= outstanding->items[i].body_bytes;
        outstanding->items[i] = outstanding->items[--outstanding->n_items];
        outstanding->remaining_at_us = -1;
        return true;
      }
  return false;
}

double
gs_outstanding_remaining_us (GsOutstanding *outstanding,
                             const GsWorkTail *tail,
                             double slowness,
                             int64_t now_us)
{
  if (outstanding->remaining_at_us >= 0
      && now_us - outstanding->remaining_at_us < OUTSTANDING_REFRESH_US)
    return outstanding->remaining_us;
  outstanding->remaining_us = 0;
  for (uint32_t i = 0; i < outstanding->n_items; i++)
    {
      const GsGrantedWork *work = &outstanding->items[i];
      double typical_us = work->typical_us * slowness;
      if (typical_us > 0)
        outstanding->remaining_us
            += typical_us
               * gs_work_tail_remainder (tail, (double)(now_us - work->started_us) / typical_us);
    }
  outstanding->remaining_at_us = now_us;
  return outstanding->remaining_us;
}

bool
gs_outstanding_has_room (const GsOutstanding *outstanding, uint32_t body_bytes, uint64_t bound)
{
  return bound == 0 || outstanding->n_items == 0 || outstanding->held_bytes + body_bytes <= bound;
}
