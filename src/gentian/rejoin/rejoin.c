#include "rejoin.h"

#include <glib.h>
#include <string.h>

/** Intervals at which the seeds are asked at the start. */
#define REJOIN_START_INTERVALS_US                                                                  \
  {                                                                                                \
    100 * GS_US_PER_MS, 100 * GS_US_PER_MS, 150 * GS_US_PER_MS, 150 * GS_US_PER_MS,                \
        250 * GS_US_PER_MS, 250 * GS_US_PER_MS, 500 * GS_US_PER_MS, GS_US_PER_S                    \
  }
/** Mean intervals after that, of a daemon that is alone and of one that is not. */
#define REJOIN_ALONE_INTERVAL_US GS_US_PER_S
#define REJOIN_INTERVAL_US (5 * GS_US_PER_S)
/** Time within which the daemons of a fleet ask new seeds: most then find that these are members.
 */
#define REJOIN_NEW_SEEDS_US GS_US_PER_S
/** Mean interval at which lost members are asked, one after the other. */
#define REJOIN_LOST_INTERVAL_US (2 * GS_US_PER_S)
/** The same for a while after one of them has returned. */
#define REJOIN_RETURN_INTERVAL_US (100 * GS_US_PER_MS)
#define REJOIN_RETURN_US (6 * GS_US_PER_S)

struct GsRejoin
{
  GsPeerAddress seeds[GS_REJOIN_SEEDS_MAX];
  uint32_t n_seeds;
  uint32_t n_asked; /* times that the seeds were asked at the start */
  int64_t next_seeds_us;
  int64_t next_lost_us;
  int64_t return_until_us;
  GsRandom random;
};

GsRejoin *
gs_rejoin_new (uint64_t seed)
{
  GsRejoin *rejoin = g_new0 (GsRejoin, 1);

  rejoin->random.state = seed;
  return rejoin;
}

void
gs_rejoin_free (GsRejoin *rejoin)
{
  g_free (rejoin);
}

void
gs_rejoin_set_seeds (GsRejoin *rejoin, const GsPeerAddress *seeds, uint32_t n_seeds)
{
  rejoin->n_seeds = MIN (n_seeds, GS_REJOIN_SEEDS_MAX);
  if (rejoin->n_seeds > 0)
    memcpy (rejoin->seeds, seeds, rejoin->n_seeds * sizeof *seeds);
  rejoin->next_seeds_us = 0;
}

void
gs_rejoin_add_seed (GsRejoin *rejoin, const GsPeerAddress *seed)
{
  if (rejoin->n_seeds < GS_REJOIN_SEEDS_MAX)
    rejoin->seeds[rejoin->n_seeds++] = *seed;
}

const GsPeerAddress *
gs_rejoin_seeds (const GsRejoin *rejoin, uint32_t *n_seeds)
{
  *n_seeds = rejoin->n_seeds;
  return rejoin->seeds;
}

/* Between 0.8 and 1.2 times MEAN_US. */
static int64_t
draw_interval_us (GsRejoin *rejoin, int64_t mean_us)
{
  return (int64_t)((double)mean_us * (0.8 + 0.4 * gs_random_unit (&rejoin->random)));
}

bool
gs_rejoin_seeds_due (GsRejoin *rejoin, bool alone, int64_t now_us, bool *all)
{
  static const int64_t intervals_us[] = REJOIN_START_INTERVALS_US;
  int64_t interval_us = alone ? REJOIN_ALONE_INTERVAL_US : REJOIN_INTERVAL_US;
  bool starting = rejoin->n_asked < G_N_ELEMENTS (intervals_us);

  *all = alone || starting;
  if (rejoin->n_seeds == 0)
    return false;
  if (rejoin->next_seeds_us == 0 && !*all)
    rejoin->next_seeds_us
        = now_us + (int64_t)(REJOIN_NEW_SEEDS_US * gs_random_unit (&rejoin->random));
  /* A daemon that has just lost all others does not wait for the long interval to pass. */
  rejoin->next_seeds_us = MIN (rejoin->next_seeds_us, now_us + 2 * interval_us);
  if (now_us < rejoin->next_seeds_us)
    return false;
  rejoin->next_seeds_us
      = now_us
        + (starting ? intervals_us[rejoin->n_asked++] : draw_interval_us (rejoin, interval_us));
  return true;
}

bool
gs_rejoin_lost_due (GsRejoin *rejoin, int64_t now_us)
{
  if (now_us < rejoin->next_lost_us)
    return false;
  rejoin->next_lost_us
      = now_us
        + (now_us < rejoin->return_until_us ? REJOIN_RETURN_INTERVAL_US
                                            : draw_interval_us (rejoin, REJOIN_LOST_INTERVAL_US));
  return true;
}

void
gs_rejoin_note_return (GsRejoin *rejoin, int64_t now_us)
{
  rejoin->return_until_us = now_us + REJOIN_RETURN_US;
  rejoin->next_lost_us = MIN (rejoin->next_lost_us, now_us);
}
