/* Tests of the budget of repeats: one placer's windows, and the windows of a whole fleet. */
#include "../../src/gentian/core/repeats.h"

#include <stdio.h>

#include "../lab/lab.h"
#include "fixture.h"

enum
{
  SEEDS = 4,
  UPSTREAMS = 60,
  DAEMONS = 32,
};

/* Refunds to a pool of which every server refuses most attempts for 8.5 s, so that every repeat
 * that the budget allows is made. */
static LabOptions
refusing_pool (void)
{
  LabOptions options = { .n_daemons = DAEMONS, .length_s = 26 };
  LabPool pool = { .name = "ledger", .n_upstreams = UPSTREAMS, .slots = 4, .queue = 16 };
  LabKind kind = { .name = "refund",
                   .pool = "ledger",
                   .repeat = GS_REPEAT_ONCE,
                   .priority = 1,
                   .per_s = 360,
                   .work_ms = 310,
                   .spread = 0.8,
                   .error_share = 0.012,
                   .target_ms = 1500,
                   .deadline_ms = 4000,
                   .worth = 2,
                   .late_worth = 0.2 };
  LabFault shed
      = { .kind = LAB_FAULT_SHED, .count = UPSTREAMS, .from_s = 13, .to_s = 21.5, .x = 0.55 };

  lab_add_pool (&options, &pool);
  lab_add_kind (&options, &kind);
  lab_add_fault (&options, &shed);
  return options;
}

/* RETURN VALUE: the most repeats beyond the budget of any window, over the seeds. */
static int32_t
play (const char *pattern, LabOptions *options)
{
  int32_t over = INT32_MIN;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      LabResult result;
      options->seed = seed;
      result = lab_run (options);
      ck_assert_uint_eq (result.ran_twice, 0);
      over = MAX (over, result.repeats_over);
      printf ("%s: seed %u repeats %u most in a window %u over %d served %.3f\n", pattern,
              (unsigned)seed, result.repeats, result.repeats_window_max, result.repeats_over,
              lab_served (&result.all));
    }
  return over;
}

/* Guards against repeats beyond the budget where homes are silent for some askers, so that several
 * placers allow repeats for the same requests (inc1). */
START_TEST (several_placers_together_keep_the_budget)
{
  static const double deaf_shares[] = { 0.3, 0.6, 0.8 };

  for (size_t i = 0; i < G_N_ELEMENTS (deaf_shares); i++)
    {
      LabOptions options = refusing_pool ();
      LabFault deaf = { .kind = LAB_FAULT_DEAF, .to_s = 26, .x = deaf_shares[i] };

      lab_add_fault (&options, &deaf);
      ck_assert_int_le (play ("several placers", &options), 0);
    }
}
END_TEST

/* Guards against repeats beyond the budget where a daemon becomes home that knows nothing of the
 * repeats before (inc1). */
START_TEST (a_new_home_keeps_the_budget)
{
  static const double starts_s[] = { 12, 14, 16 };

  for (size_t i = 0; i < G_N_ELEMENTS (starts_s); i++)
    {
      LabOptions options = refusing_pool ();
      LabFault more = {
        .kind = LAB_FAULT_START, .first = DAEMONS / 2, .count = DAEMONS / 2, .from_s = starts_s[i]
      };

      lab_add_fault (&options, &more);
      ck_assert_int_le (play ("new homes", &options), 0);
    }
}
END_TEST

/* Guards against repeats beyond the budget where homes are lost after they allowed most of it. */
START_TEST (a_home_that_takes_over_keeps_the_budget)
{
  LabOptions options = refusing_pool ();
  LabFault kill
      = { .kind = LAB_FAULT_KILL, .first = 3, .count = DAEMONS / 2, .from_s = 15, .to_s = 26 };

  lab_add_fault (&options, &kill);
  ck_assert_int_le (play ("homes lost", &options), 0);
}
END_TEST

FIXTURE_MAIN ("repeats",
              &several_placers_together_keep_the_budget,
              &a_new_home_keeps_the_budget,
              &a_home_that_takes_over_keeps_the_budget)
