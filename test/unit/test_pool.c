/* Unit tests of core/pool. */
#include "fixture.h"

#define SECOND GS_US_PER_S

static GsRandom generator = { 3 };

static GsPool *
pool_of (GsDocument *document, uint8_t floor_percent)
{
  document->pools[0].floor_percent = floor_percent;
  return gs_pool_new (
      &(GsPoolOptions){ .row = &document->pools[0], .now_us = SECOND, .cold_start = true });
}

static GsUpstreamState
state_of (const GsPool *pool, uint16_t index)
{
  GsUpstreamView view;

  gs_pool_view (pool, index, &view);
  return view.state;
}

static void
run_attempt (GsPool *pool, uint16_t index, GsOutcome outcome, int64_t now_us)
{
  gs_pool_begin_attempt (pool, index);
  gs_pool_end_attempt (
      pool, index, &(GsAttemptResult){ .now_us = now_us, .outcome = outcome, .answer_us = 20000 });
}

static void
fail_attempts (GsPool *pool, uint16_t index, int64_t now_us)
{
  for (int i = 0; i < 40; i++)
    run_attempt (pool, index, GS_OUTCOME_ERROR, now_us);
}

START_TEST (failing_upstream_is_ejected_and_recovers)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);
  int64_t now_us = 5 * SECOND;

  fail_attempts (pool, 2, now_us);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_EJECTED);
  gs_pool_tick (pool, now_us + 3 * SECOND);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_TRIAL);
  for (int i = 0; i < 40 && state_of (pool, 2) == GS_UPSTREAM_TRIAL; i++)
    run_attempt (pool, 2, GS_OUTCOME_OK, now_us + 3 * SECOND);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_WARMING);
  gs_pool_tick (pool, now_us + 30 * SECOND);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_HEALTHY);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

static void
run_answered_attempt (GsPool *pool, uint16_t index, int64_t answer_us, int64_t now_us)
{
  gs_pool_begin_attempt (pool, index);
  gs_pool_end_attempt (
      pool, index,
      &(GsAttemptResult){ .now_us = now_us, .outcome = GS_OUTCOME_OK, .answer_us = answer_us });
}

/* The usual load of 20 ms: answers after 1 to 4 ms from each upstream but EXCLUDED. */
static void
run_usual_load (GsPool *pool, uint16_t excluded, int64_t now_us)
{
  for (uint16_t i = 0; i < 6; i++)
    for (int k = 0; k < 4 && i != excluded; k++)
      run_answered_attempt (pool, i, 1000 + 1000 * k, now_us);
}

/*
 * Expects that upstream 2 alone is ejected: it answers once per half second, slower than the others
 * by a factor of 20. Once per PERIOD steps a busy machine also delays two answers of each of
 * N_DELAYED upstreams, counted from upstream 3, so that upstream 2 is the last of six.
 */
static void
expect_slow_upstream_ejected (uint16_t n_delayed, int period)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);
  int64_t now_us = 100 * SECOND;

  for (int step = 0; step < 500; step++, now_us += SECOND / 50)
    run_usual_load (pool, UINT16_MAX, now_us);
  for (int step = 0; step < 600; step++, now_us += SECOND / 50)
    {
      run_usual_load (pool, 2, now_us);
      if (step % 25 == 0)
        run_answered_attempt (pool, 2, 40000, now_us);
      for (uint16_t i = 0; i < n_delayed && step % period == period - 1; i++)
        {
          run_answered_attempt (pool, (uint16_t)((i + 3) % 6), 30000, now_us);
          run_answered_attempt (pool, (uint16_t)((i + 3) % 6), 30000, now_us);
        }
    }
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_EJECTED);
  for (uint16_t i = 0; i < 6; i++)
    ck_assert (i == 2 || state_of (pool, i) == GS_UPSTREAM_HEALTHY);
  gs_pool_free (pool);
  gs_document_free (document);
}

/*
 * Evidence that is added against most upstreams at the same time has a common cause and ejects
 * none. That must not protect an upstream that is slow in between.
 */
START_TEST (delays_of_all_upstreams_do_not_hide_a_slow_one)
{
  expect_slow_upstream_ejected (6, 60);
}
END_TEST

START_TEST (delays_of_the_other_upstreams_do_not_hide_a_slow_one)
{
  expect_slow_upstream_ejected (5, 45);
}
END_TEST

/*
 * When the reused connections to an upstream go silent, attempts are late although the upstream is
 * healthy. They must not eject it, even in addition to the evidence of a few slow answers.
 */
START_TEST (late_attempts_alone_eject_no_upstream)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);
  int64_t now_us = 100 * SECOND;

  for (int step = 0; step < 500; step++, now_us += SECOND / 50)
    run_usual_load (pool, UINT16_MAX, now_us);
  for (int i = 0; i < 3; i++)
    run_answered_attempt (pool, 2, 30000, now_us);
  for (int i = 0; i < 4; i++)
    gs_pool_report_late (pool, 2, 20000, now_us + SECOND / 50);
  run_answered_attempt (pool, 2, 2000, now_us + SECOND / 20); /* on a fresh connection */
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_HEALTHY);
  ck_assert (
      gs_pool_report_overdue (pool, 2, now_us, now_us + SECOND)); /* closes reused connections */
  run_answered_attempt (pool, 2, 2000, now_us + SECOND);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_HEALTHY);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

/*
 * An overdue attempt discards the evidence of late attempts. The evidence of slow answers received
 * before must remain, or the upstream is ejected too late.
 */
START_TEST (overdue_attempt_preserves_the_evidence_of_answers)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);
  int64_t now_us = 100 * SECOND;

  for (int step = 0; step < 500; step++, now_us += SECOND / 50)
    run_usual_load (pool, UINT16_MAX, now_us);
  for (int i = 0; i < 4; i++)
    run_answered_attempt (pool, 2, 40000, now_us);
  gs_pool_report_late (pool, 2, 20000, now_us + SECOND / 50);
  ck_assert (gs_pool_report_overdue (pool, 2, now_us, now_us + SECOND / 5));
  run_answered_attempt (pool, 2, 40000, now_us + SECOND);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_EJECTED);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (ejection_stops_at_the_floor_when_all_but_one_fail)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 70);

  for (uint16_t i = 0; i < 5; i++)
    fail_attempts (pool, i, 5 * SECOND);
  ck_assert_int_ge (gs_pool_in_rotation (pool), gs_pool_floor (pool));
  ck_assert_int_eq (gs_pool_floor (pool), 5);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (leaving_below_the_floor_returns_an_ejected_upstream)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 70);

  fail_attempts (pool, 0, 5 * SECOND);
  ck_assert_int_eq (state_of (pool, 0), GS_UPSTREAM_EJECTED);
  gs_pool_mark_leaving (pool, "u1", 6 * SECOND);
  ck_assert (state_of (pool, 0) == GS_UPSTREAM_WARMING);
  ck_assert_int_eq (state_of (pool, 1), GS_UPSTREAM_LEAVING);
  ck_assert_int_eq (gs_pool_in_rotation (pool), 5);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

/* The platform's list may still show a leaving upstream as live, for GS_PLATFORM_LIST_LAG_US. */
START_TEST (leaving_upstream_gets_no_requests)
{
  GsDocument *document = fixture_tables (2, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 0);

  gs_pool_mark_leaving (pool, "u0", SECOND);
  for (int i = 0; i < 50; i++)
    ck_assert_int_ne (
        gs_pool_select (pool, &(GsPoolSelectOptions){ .now_us = 2 * SECOND, .random = &generator }),
        0);
  gs_pool_mark_listed_live (pool, "u0", 10 * SECOND);
  ck_assert_int_eq (state_of (pool, 0), GS_UPSTREAM_LEAVING);
  gs_pool_mark_listed_live (pool, "u0", 70 * SECOND);
  ck_assert_int_eq (state_of (pool, 0), GS_UPSTREAM_TRIAL);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (slots_are_never_exceeded)
{
  GsDocument *document = fixture_tables (2, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 0);
  GsPoolSelectOptions options = { .now_us = 2 * SECOND, .random = &generator };

  for (int i = 0; i < 8; i++)
    {
      int index = gs_pool_select (pool, &options);
      ck_assert_int_ge (index, 0);
      gs_pool_begin_attempt (pool, (uint16_t)index);
    }
  ck_assert_int_eq (gs_pool_select (pool, &options), -1);
  ck_assert_int_eq (gs_pool_outstanding (pool), gs_pool_concurrency_limit (pool));
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (refusals_and_cancellations_are_not_failures)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);

  for (int i = 0; i < 300; i++)
    {
      run_attempt (pool, 0, GS_OUTCOME_REFUSED, 5 * SECOND);
      run_attempt (pool, 1, GS_OUTCOME_CANCELLED, 5 * SECOND);
    }
  ck_assert_int_eq (gs_pool_in_rotation (pool), 6);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

/*
 * Attempts on reused connections that went silent are overdue although the upstream is healthy.
 * Only attempts sent after these connections were closed may count against it.
 */
START_TEST (overdue_attempts_count_on_fresh_connections_only)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);
  int64_t sent_us = 5 * SECOND;

  ck_assert (gs_pool_report_overdue (pool, 0, sent_us, sent_us + SECOND));
  for (int i = 0; i < 50; i++)
    ck_assert (!gs_pool_report_overdue (pool, 0, sent_us, sent_us + SECOND));
  ck_assert_int_eq (state_of (pool, 0), GS_UPSTREAM_HEALTHY);
  for (int i = 0; i < 50; i++)
    gs_pool_report_overdue (pool, 0, sent_us + SECOND, sent_us + 2 * SECOND);
  ck_assert_int_eq (state_of (pool, 0), GS_UPSTREAM_EJECTED);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (failure_of_all_upstreams_ejects_none)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 0);

  for (int i = 0; i < 100; i++)
    for (uint16_t u = 0; u < 6; u++)
      run_attempt (pool, u, GS_OUTCOME_ERROR, 5 * SECOND);
  ck_assert_int_eq (gs_pool_in_rotation (pool), 6);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

/* Without decay of the answer time, one slow answer would exclude an upstream permanently. */
START_TEST (slow_upstream_is_selected_again_later)
{
  GsDocument *document = fixture_tables (2, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 0);
  int n_selected = 0;

  gs_pool_begin_attempt (pool, 0);
  gs_pool_end_attempt (
      pool, 0,
      &(GsAttemptResult){ .now_us = SECOND, .outcome = GS_OUTCOME_OK, .answer_us = SECOND });
  for (int i = 0; i < 100; i++)
    n_selected
        += gs_pool_select (pool, &(GsPoolSelectOptions){ .now_us = SECOND, .random = &generator })
                   == 0
               ? 1
               : 0;
  ck_assert_int_eq (n_selected, 0);
  for (int i = 0; i < 100; i++)
    n_selected += gs_pool_select (
                      pool, &(GsPoolSelectOptions){ .now_us = 20 * SECOND, .random = &generator })
                          == 0
                      ? 1
                      : 0;
  ck_assert_int_gt (n_selected, 0);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (edit_preserves_upstream_history)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsDocument *shorter = fixture_tables (5, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);
  uint64_t key;

  fail_attempts (pool, 2, 5 * SECOND);
  gs_pool_begin_attempt (pool, 3);
  gs_pool_begin_attempt (pool, 5);
  key = gs_pool_upstream_key (pool, 5);
  gs_pool_update (pool, &shorter->pools[0], 6 * SECOND);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_EJECTED);
  ck_assert_int_eq (gs_pool_outstanding (pool), 1);
  ck_assert_int_eq (gs_pool_find_key (pool, key), -1);
  gs_pool_free (pool);
  gs_document_free (document);
  gs_document_free (shorter);
}
END_TEST

/*
 * An upstream that reported that it is leaving stays so when an edit changes other fields. One that
 * the tables mark as leaving returns when an edit removes the mark.
 */
START_TEST (unrelated_edit_returns_no_leaving_upstream)
{
  GsDocument *document = fixture_tables (3, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 0);

  gs_pool_mark_leaving (pool, "u0", SECOND);
  document->pools[0].slots = 5;
  gs_pool_update (pool, &document->pools[0], 2 * SECOND);
  ck_assert_int_eq (state_of (pool, 0), GS_UPSTREAM_LEAVING);
  document->pools[0].upstreams[1].leaving = true;
  gs_pool_update (pool, &document->pools[0], 3 * SECOND);
  ck_assert_int_eq (state_of (pool, 1), GS_UPSTREAM_LEAVING);
  document->pools[0].upstreams[1].leaving = false;
  gs_pool_update (pool, &document->pools[0], 4 * SECOND);
  ck_assert_int_eq (state_of (pool, 1), GS_UPSTREAM_WARMING);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (peer_evidence_alone_ejects_no_upstream)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);

  for (uint16_t peer = 0; peer < 10; peer++)
    gs_pool_add_peer_evidence (pool, peer, "u0", 2, 1000, 5 * SECOND);
  ck_assert_int_eq (state_of (pool, 0), GS_UPSTREAM_HEALTHY);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

FIXTURE_MAIN ("pool",
              &failing_upstream_is_ejected_and_recovers,
              &delays_of_all_upstreams_do_not_hide_a_slow_one,
              &delays_of_the_other_upstreams_do_not_hide_a_slow_one,
              &late_attempts_alone_eject_no_upstream,
              &overdue_attempt_preserves_the_evidence_of_answers,
              &ejection_stops_at_the_floor_when_all_but_one_fail,
              &leaving_below_the_floor_returns_an_ejected_upstream,
              &leaving_upstream_gets_no_requests,
              &slots_are_never_exceeded,
              &refusals_and_cancellations_are_not_failures,
              &overdue_attempts_count_on_fresh_connections_only,
              &failure_of_all_upstreams_ejects_none,
              &slow_upstream_is_selected_again_later,
              &edit_preserves_upstream_history,
              &unrelated_edit_returns_no_leaving_upstream,
              &peer_evidence_alone_ejects_no_upstream)
