/* Tests of the budget of repeats: one placer's windows, and the windows of a whole fleet. */
#include "../../src/gentian/core/retry_budget.h"

#include <stdio.h>

#include "../lab/lab.h"
#include "fixture.h"

enum
{
  SEEDS = 4,
  UPSTREAMS = 60,
  DAEMONS = 32,
};

enum
{
  BUDGET_STEPS = 6000, /* of 10 ms */
  BUDGET_WINDOW_STEPS = 1000,
};

static const GsRetryBudgetOptions BUDGET
    = { .share_ppm = 200000, .slack = 20, .window_us = 10 * GS_US_PER_S };

/*
 * A pool that refuses most attempts wants a repeat for each request, at any moment: no span of the
 * window's length may have more than the share and the slack, wherever it begins.
 */
START_TEST (one_placer_keeps_every_window)
{
  GsRetryBudget *repeats = gs_retry_budget_new (&BUDGET);
  static uint32_t requests[BUDGET_STEPS];
  static uint32_t spent[BUDGET_STEPS];
  int64_t now_us = 1000 * GS_US_PER_S + 337 * GS_US_PER_MS;

  for (int i = 0; i < BUDGET_STEPS; i++, now_us += 10 * GS_US_PER_MS)
    {
      bool busy = i / 500 % 3 != 0; /* the pool begins and ceases to refuse */
      for (int k = 0; k < 4; k++)
        {
          gs_retry_budget_add_request (repeats, now_us);
          requests[i]++;
          if (busy && gs_retry_budget_spend (repeats, now_us))
            spent[i]++;
        }
    }
  for (int first = 0; first + BUDGET_WINDOW_STEPS <= BUDGET_STEPS; first++)
    {
      uint32_t asked = 0;
      uint32_t used = 0;
      for (int i = first; i < first + BUDGET_WINDOW_STEPS; i++)
        {
          asked += requests[i];
          used += spent[i];
        }
      ck_assert_uint_le (used, asked / 5 + 20);
    }
  gs_retry_budget_free (repeats);
}
END_TEST

/* A placer that has spent its credit loses its requests to another one within the window. */
START_TEST (a_home_charges_itself_the_debts_of_others)
{
  GsRetryBudget *before = gs_retry_budget_new (&BUDGET);
  GsRetryBudget *after = gs_retry_budget_new (&BUDGET);
  GsRetryAccount account;
  int64_t now_us = 1000 * GS_US_PER_S;
  uint32_t spent = 0;

  for (int i = 0; i < 1000; i++)
    gs_retry_budget_add_request (before, now_us);
  now_us += 9 * GS_US_PER_S;
  while (gs_retry_budget_spend (before, now_us))
    spent++;
  ck_assert_uint_le (spent, 200 + BUDGET.slack);
  now_us += 2 * GS_US_PER_S; /* the requests leave the window, the repeats do not */
  ck_assert (gs_retry_budget_get_account (before, now_us, &account));
  gs_retry_budget_set_slack (after, 0);
  gs_retry_budget_set_peer_account (after, 1, &account, now_us);
  for (int i = 0; i < 500; i++)
    gs_retry_budget_add_request (after, now_us);
  ck_assert_uint_eq (gs_retry_budget_view (after, now_us).debts, spent);
  ck_assert (!gs_retry_budget_spend (after, now_us));
  now_us += 10 * GS_US_PER_S; /* the debt has left the window */
  for (int i = 0; i < 500; i++)
    gs_retry_budget_add_request (after, now_us);
  ck_assert (gs_retry_budget_spend (after, now_us));
  gs_retry_budget_free (before);
  gs_retry_budget_free (after);
}
END_TEST

/* Refunds to a pool of which every server refuses most attempts for 8.5 s, so that every repeat
 * that the budget allows is made. */
static LabOptions
refusing_pool (void)
{
  LabOptions options = { .n_daemons = DAEMONS, .duration_s = 26 };
  LabPool pool = { .name = "ledger", .n_upstreams = UPSTREAMS, .slots = 4, .queue = 16 };
  LabRequestClass kind = { .name = "refund",
                           .pool = "ledger",
                           .repeat = GS_REPEAT_ONCE,
                           .priority = 1,
                           .rate_per_s = 360,
                           .mean_service_ms = 310,
                           .service_sigma = 0.8,
                           .error_share = 0.012,
                           .target_ms = 1500,
                           .deadline_ms = 4000,
                           .utility = 2,
                           .late_utility = 0.2 };
  LabFault shed = {
    .kind = LAB_FAULT_SHED, .count = UPSTREAMS, .from_s = 13, .to_s = 21.5, .magnitude = 0.55
  };

  lab_add_pool (&options, &pool);
  lab_add_class (&options, &kind);
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
      over = MAX (over, result.retries_over_budget);
      printf ("%s: seed %u repeats %u most in a window %u over %d served %.3f\n", pattern,
              (unsigned)seed, result.retries, result.retries_in_window_max,
              result.retries_over_budget, lab_served_share (&result.all));
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
      LabFault deaf = { .kind = LAB_FAULT_MESSAGE_LOSS, .to_s = 26, .magnitude = deaf_shares[i] };

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
      LabFault more = { .kind = LAB_FAULT_LATE_START,
                        .first = DAEMONS / 2,
                        .count = DAEMONS / 2,
                        .from_s = starts_s[i] };

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
              &one_placer_keeps_every_window,
              &a_home_charges_itself_the_debts_of_others,
              &several_placers_together_keep_the_budget,
              &a_new_home_keeps_the_budget,
              &a_home_that_takes_over_keeps_the_budget)
