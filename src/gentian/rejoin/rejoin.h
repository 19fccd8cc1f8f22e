/**
 * NAME
 *   rejoin - when a daemon asks its seeds, and members that it has lost, for the rest of the fleet
 *
 * SYNOPSIS
 *   gs_rejoin_set_seeds (rejoin, seeds, n_seeds);
 *   if (gs_rejoin_seeds_due (rejoin, alone, now_us, &all))
 *     ask (all ? every_seed : those_that_are_no_members);
 *   if (gs_rejoin_lost_due (rejoin, now_us))
 *     ask (next_lost_member);
 *
 * DESCRIPTION
 *   Lost seeds, cuts, restarts and pauses can divide a fleet into parts that do not probe each
 * other. They become one again within GS_REJOIN_BOUND_US once a seed of one, or a member that one
 * has lost and still remembers, is reachable in the other. For that, seeds that are no members and
 * lost members are asked for as long as the daemon runs: often at the start and while the daemon is
 * alone, rarely otherwise, at random intervals so that daemons started together do not ask
 * together. When a lost member returns, many may have, and the others are asked in quick
 * succession. Pure: time comes with each call. Tested by test/unit/test_rejoin.c and
 * test/property/prop_member.cpp.
 */
#ifndef GS_REJOIN_H
#define GS_REJOIN_H

#include "../core/member.h"

enum
{
  GS_REJOIN_SEEDS_MAX = 16,
};

/** Time after which parts of a fleet that can reach each other again are one. */
#define GS_REJOIN_BOUND_US (15 * GS_US_PER_S)

typedef struct GsRejoin GsRejoin;

/** SEED: of the random intervals. */
GsRejoin *gs_rejoin_new (uint64_t seed);
void gs_rejoin_free (GsRejoin *rejoin);

/** Replaces the seeds by N_SEEDS others, at most GS_REJOIN_SEEDS_MAX, which are asked soon. */
void gs_rejoin_set_seeds (GsRejoin *rejoin, const GsPeerAddress *seeds, uint32_t n_seeds);

/** Adds a seed unless there are GS_REJOIN_SEEDS_MAX. */
void gs_rejoin_add_seed (GsRejoin *rejoin, const GsPeerAddress *seed);

/** RETURN VALUE: the seeds; N_SEEDS gets their number. */
const GsPeerAddress *gs_rejoin_seeds (const GsRejoin *rejoin, uint32_t *n_seeds);

/**
 * Decides whether seeds must be asked at NOW_US. ALONE: no other member is present.
 *
 * RETURN VALUE: true if so; ALL then tells whether to ask also those that are members: seeds that
 * start together know few members at first.
 */
bool gs_rejoin_seeds_due (GsRejoin *rejoin, bool alone, int64_t now_us, bool *all);

/** RETURN VALUE: whether a lost member must be asked at NOW_US. */
bool gs_rejoin_lost_due (GsRejoin *rejoin, int64_t now_us);

/** Notes that a lost member has returned. */
void gs_rejoin_note_return (GsRejoin *rejoin, int64_t now_us);

#endif
