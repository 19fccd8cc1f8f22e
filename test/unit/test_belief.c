/* Unit tests of the belief that a server is failing. */
#include "fixture.h"

#include "../../src/gentian/core/belief.h"

static const GsFaultRates rare = { .onset_per_s = 0.002, .recovery_per_s = 0.25 };
static const GsFaultRates common = { .onset_per_s = 0.1, .recovery_per_s = 0.25 };

START_TEST (one_lost_connection_turns_it)
{
  GsBelief belief = gs_belief_new (&common, 0);

  gs_belief_observe (&belief, &common, GS_OBSERVATION_LOST, 0);
  ck_assert_double_gt (gs_belief_failing (&belief, &common, 0), 0.9);
}
END_TEST

START_TEST (one_error_of_a_sound_pool_does_not)
{
  GsBelief belief = gs_belief_new (&rare, 0);

  gs_belief_observe (&belief, &rare, GS_OBSERVATION_ERROR, 0);
  ck_assert_double_lt (gs_belief_failing (&belief, &rare, 0), 0.2);
}
END_TEST

START_TEST (the_belief_returns_to_the_pools_share)
{
  GsBelief belief = gs_belief_new (&common, 0);

  gs_belief_observe (&belief, &common, GS_OBSERVATION_LOST, 0);
  ck_assert_double_gt (gs_belief_failing (&belief, &common, 2 * GS_US_PER_S), 0.5);
  ck_assert_double_eq_tol (gs_belief_failing (&belief, &common, 30 * GS_US_PER_S),
                           gs_belief_stationary (&common), 0.01);
}
END_TEST

START_TEST (answers_restore_trust)
{
  GsBelief belief = gs_belief_new (&common, 0);

  gs_belief_observe (&belief, &common, GS_OBSERVATION_LOST, 0);
  for (int i = 0; i < 5; i++)
    gs_belief_observe (&belief, &common, GS_OBSERVATION_ANSWER, 0);
  ck_assert_double_lt (gs_belief_failing (&belief, &common, 0), 0.2);
}
END_TEST

FIXTURE_MAIN ("belief",
              &one_lost_connection_turns_it,
              &one_error_of_a_sound_pool_does_not,
              &the_belief_returns_to_the_pools_share,
              &answers_restore_trust)
