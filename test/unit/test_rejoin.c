/* Unit tests of rejoin/rejoin: how often seeds and lost members are asked. */
#include "fixture.h"

#include "../../src/gentian/rejoin/rejoin.h"

/* RETURN VALUE: how often the seeds were due from *NOW_US on, for TIME_US. */
static int
count_seeds_due (GsRejoin *rejoin, bool alone, int64_t *now_us, int64_t time_us)
{
  int count = 0;
  bool all;

  for (int64_t end_us = *now_us + time_us; *now_us < end_us; *now_us += 10 * GS_US_PER_MS)
    count += gs_rejoin_seeds_due (rejoin, alone, *now_us, &all) ? 1 : 0;
  return count;
}

static int
count_lost_due (GsRejoin *rejoin, int64_t *now_us, int64_t time_us)
{
  int count = 0;

  for (int64_t end_us = *now_us + time_us; *now_us < end_us; *now_us += 10 * GS_US_PER_MS)
    count += gs_rejoin_lost_due (rejoin, *now_us) ? 1 : 0;
  return count;
}

/* Guards against seeds that are given up some time after the start, and against a fleet whose
 * daemons keep asking dead seeds at a high rate. */
START_TEST (seeds_are_asked_often_at_first_and_then_for_ever)
{
  static const GsPeerAddress seed = { .ipv4 = 1, .peer_port = 1 };
  GsRejoin *rejoin = gs_rejoin_new (1);
  int64_t now_us = GS_US_PER_S;

  ck_assert_int_eq (count_seeds_due (rejoin, true, &now_us, GS_US_PER_S), 0); /* it has none */
  gs_rejoin_set_seeds (rejoin, &seed, 1);
  ck_assert_int_eq (count_seeds_due (rejoin, false, &now_us, 2500 * GS_US_PER_MS), 8);
  ck_assert_int_ge (count_seeds_due (rejoin, false, &now_us, 600 * GS_US_PER_S), 100);
  ck_assert_int_le (count_seeds_due (rejoin, false, &now_us, 600 * GS_US_PER_S), 150);
  ck_assert_int_ge (count_seeds_due (rejoin, true, &now_us, 60 * GS_US_PER_S), 50);
  ck_assert_int_le (count_seeds_due (rejoin, true, &now_us, 60 * GS_US_PER_S), 75);
  gs_rejoin_set_seeds (rejoin, &seed, 1); /* once, and by a fleet not all at the same moment */
  ck_assert_int_eq (count_seeds_due (rejoin, false, &now_us, GS_US_PER_S), 1);
  ck_assert_int_eq (count_seeds_due (rejoin, false, &now_us, 2500 * GS_US_PER_MS), 0);
  gs_rejoin_set_seeds (rejoin, &seed, 1);
  ck_assert_int_eq (count_seeds_due (rejoin, true, &now_us, 10 * GS_US_PER_MS), 1);
  gs_rejoin_free (rejoin);
}
END_TEST

/* Guards against a fleet of which hundreds of daemons ask hundreds of lost ones at once, and
 * against many that return together and are found one by one. */
START_TEST (lost_members_are_asked_faster_after_one_returned)
{
  GsRejoin *rejoin = gs_rejoin_new (1);
  int64_t now_us = GS_US_PER_S;

  ck_assert_int_le (count_lost_due (rejoin, &now_us, 60 * GS_US_PER_S), 38);
  ck_assert_int_ge (count_lost_due (rejoin, &now_us, 60 * GS_US_PER_S), 25);
  gs_rejoin_note_return (rejoin, now_us);
  ck_assert_int_ge (count_lost_due (rejoin, &now_us, 5 * GS_US_PER_S), 49);
  now_us += 2 * GS_US_PER_S;
  ck_assert_int_le (count_lost_due (rejoin, &now_us, 60 * GS_US_PER_S), 38);
  gs_rejoin_free (rejoin);
}
END_TEST

FIXTURE_MAIN ("rejoin",
              &seeds_are_asked_often_at_first_and_then_for_ever,
              &lost_members_are_asked_faster_after_one_returned)
