/* Unit tests of core/belief. */
#include "fixture.h"

#include "../../src/gentian/core/belief.h"

static const GsFaultRates rare = { .onset_per_s = 0.002, .recovery_per_s = 0.25 };
static const GsFaultRates common = { .onset_per_s = 0.1, .recovery_per_s = 0.25 };

START_TEST (lost_connection_shows_a_fault_where_faults_are_common)
{
  GsBelief belief = gs_belief_new (&common, 0);

  gs_belief_observe (&belief, &common, GS_OBSERVATION_LOST, 0);
  ck_assert_double_gt (gs_belief_failing (&belief, &common, 0), 0.9);
}
END_TEST

START_TEST (single_error_shows_no_fault_where_faults_are_rare)
{
  GsBelief belief = gs_belief_new (&rare, 0);

  gs_belief_observe (&belief, &rare, GS_OBSERVATION_ERROR, 0);
  ck_assert_double_lt (gs_belief_failing (&belief, &rare, 0), 0.2);
}
END_TEST

START_TEST (belief_decays_to_the_stationary_probability)
{
  GsBelief belief = gs_belief_new (&common, 0);

  gs_belief_observe (&belief, &common, GS_OBSERVATION_LOST, 0);
  ck_assert_double_gt (gs_belief_failing (&belief, &common, 2 * GS_US_PER_S), 0.5);
  ck_assert_double_eq_tol (gs_belief_failing (&belief, &common, 30 * GS_US_PER_S),
                           gs_belief_stationary (&common), 0.01);
}
END_TEST

START_TEST (answers_lower_the_belief)
{
  GsBelief belief = gs_belief_new (&common, 0);

  gs_belief_observe (&belief, &common, GS_OBSERVATION_LOST, 0);
  for (int i = 0; i < 5; i++)
    gs_belief_observe (&belief, &common, GS_OBSERVATION_ANSWER, 0);
  ck_assert_double_lt (gs_belief_failing (&belief, &common, 0), 0.2);
}
END_TEST

FIXTURE_MAIN ("belief",
              &lost_connection_shows_a_fault_where_faults_are_common,
              &single_error_shows_no_fault_where_faults_are_rare,
              &belief_decays_to_the_stationary_probability,
              &answers_lower_the_belief)
