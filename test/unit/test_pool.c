/* Unit tests of core/pool. */
#include "fixture.h"

#define SECOND GS_US_PER_S

static GsRandom dice = { 3 };

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
answer (GsPool *pool, uint16_t index, GsOutcome outcome, int64_t now_us)
{
  gs_pool_begin_attempt (pool, index);
  gs_pool_end_attempt (
      pool, index, &(GsAttemptResult){ .now_us = now_us, .outcome = outcome, .answer_us = 20000 });
}

static void
fail_all (GsPool *pool, uint16_t index, int64_t now_us)
{
  for (int i = 0; i < 40; i++)
    answer (pool, index, GS_OUTCOME_ERROR, now_us);
}

START_TEST (failing_upstream_is_ejected_and_returns)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);
  int64_t now_us = 5 * SECOND;

  fail_all (pool, 2, now_us);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_EJECTED);
  gs_pool_tick (pool, now_us + 3 * SECOND);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_TRIAL);
  for (int i = 0; i < 40 && state_of (pool, 2) == GS_UPSTREAM_TRIAL; i++)
    answer (pool, 2, GS_OUTCOME_OK, now_us + 3 * SECOND);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_WARMING);
  gs_pool_tick (pool, now_us + 30 * SECOND);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_HEALTHY);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

static void
answer_after (GsPool *pool, uint16_t index, int64_t answer_us, int64_t now_us)
{
  gs_pool_begin_attempt (pool, index);
  gs_pool_end_attempt (
      pool, index,
      &(GsAttemptResult){ .now_us = now_us, .outcome = GS_OUTCOME_OK, .answer_us = answer_us });
}

/* 20 ms of work of all upstreams: answers after 1 to 4 ms. */
static void
ordinary_work (GsPool *pool, uint16_t slow, int64_t now_us)
{
  for (uint16_t i = 0; i < 6; i++)
    for (int k = 0; k < 4 && i != slow; k++)
      answer_after (pool, i, 1000 + 1000 * k, now_us);
}

/*
 * A busy machine makes COUNT upstreams answer late for a moment, each PAUSE steps; the last of six
 * is upstream 2. That one is slow by 20 in between, and gets an answer each half second.
 */
static void
expect_slow_one_ejected (uint16_t count, int pause)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);
  int64_t now_us = 100 * SECOND;

  for (int step = 0; step < 500; step++, now_us += SECOND / 50)
    ordinary_work (pool, UINT16_MAX, now_us);
  for (int step = 0; step < 600; step++, now_us += SECOND / 50)
    {
      ordinary_work (pool, 2, now_us);
      if (step % 25 == 0)
        answer_after (pool, 2, 40000, now_us);
      for (uint16_t i = 0; i < count && step % pause == pause - 1; i++)
        {
          answer_after (pool, (uint16_t)((i + 3) % 6), 30000, now_us);
          answer_after (pool, (uint16_t)((i + 3) % 6), 30000, now_us);
        }
    }
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_EJECTED);
  for (uint16_t i = 0; i < 6; i++)
    ck_assert (i == 2 || state_of (pool, i) == GS_UPSTREAM_HEALTHY);
  gs_pool_free (pool);
  gs_document_free (document);
}

START_TEST (moments_when_all_are_late_hide_no_slow_upstream) { expect_slow_one_ejected (6, 60); }
END_TEST

START_TEST (moments_when_the_others_are_late_hide_no_slow_upstream)
{
  expect_slow_one_ejected (5, 45);
}
END_TEST

/*
 * Its kept connections may have gone silent: then attempts are late without any fault of its own,
 * on top of the evidence that a few slow answers leave at any time.
 */
START_TEST (late_attempts_alone_eject_nobody)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);
  int64_t now_us = 100 * SECOND;

  for (int step = 0; step < 500; step++, now_us += SECOND / 50)
    ordinary_work (pool, UINT16_MAX, now_us);
  for (int i = 0; i < 3; i++)
    answer_after (pool, 2, 30000, now_us);
  for (int i = 0; i < 4; i++)
    gs_pool_report_late (pool, 2, 20000, now_us + SECOND / 50);
  answer_after (pool, 2, 2000, now_us + SECOND / 20); /* on a new connection */
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_HEALTHY);
  ck_assert (
      gs_pool_report_overdue (pool, 2, now_us, now_us + SECOND)); /* its connections are dropped */
  answer_after (pool, 2, 2000, now_us + SECOND);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_HEALTHY);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

/* Nor do they take away what answers have shown before. */
START_TEST (an_overdue_attempt_leaves_the_evidence_of_answers)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);
  int64_t now_us = 100 * SECOND;

  for (int step = 0; step < 500; step++, now_us += SECOND / 50)
    ordinary_work (pool, UINT16_MAX, now_us);
  for (int i = 0; i < 4; i++)
    answer_after (pool, 2, 40000, now_us);
  gs_pool_report_late (pool, 2, 20000, now_us + SECOND / 50);
  ck_assert (gs_pool_report_overdue (pool, 2, now_us, now_us + SECOND / 5));
  answer_after (pool, 2, 40000, now_us + SECOND);
  ck_assert_int_eq (state_of (pool, 2), GS_UPSTREAM_EJECTED);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (floor_holds_when_all_but_one_fail)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 70);

  for (uint16_t i = 0; i < 5; i++)
    fail_all (pool, i, 5 * SECOND);
  ck_assert_int_ge (gs_pool_in_rotation (pool), gs_pool_floor (pool));
  ck_assert_int_eq (gs_pool_floor (pool), 5);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (leaving_below_the_floor_takes_ejected_back)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 70);

  fail_all (pool, 0, 5 * SECOND);
  ck_assert_int_eq (state_of (pool, 0), GS_UPSTREAM_EJECTED);
  gs_pool_mark_leaving (pool, "u1", 6 * SECOND);
  ck_assert (state_of (pool, 0) == GS_UPSTREAM_WARMING);
  ck_assert_int_eq (state_of (pool, 1), GS_UPSTREAM_LEAVING);
  ck_assert_int_eq (gs_pool_in_rotation (pool), 5);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (leaving_gets_no_work)
{
  GsDocument *document = fixture_tables (2, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 0);

  gs_pool_mark_leaving (pool, "u0", SECOND);
  for (int i = 0; i < 50; i++)
    ck_assert_int_ne (
        gs_pool_select (pool, &(GsPoolSelectOptions){ .now_us = 2 * SECOND, .random = &dice }), 0);
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
  GsPoolSelectOptions choice = { .now_us = 2 * SECOND, .random = &dice };

  for (int i = 0; i < 8; i++)
    {
      int index = gs_pool_select (pool, &choice);
      ck_assert_int_ge (index, 0);
      gs_pool_begin_attempt (pool, (uint16_t)index);
    }
  ck_assert_int_eq (gs_pool_select (pool, &choice), -1);
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
      answer (pool, 0, GS_OUTCOME_REFUSED, 5 * SECOND);
      answer (pool, 1, GS_OUTCOME_CANCELLED, 5 * SECOND);
    }
  ck_assert_int_eq (gs_pool_in_rotation (pool), 6);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (silent_connections_are_proved_first)
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

START_TEST (whole_pool_failing_ejects_nobody)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 0);

  for (int i = 0; i < 100; i++)
    for (uint16_t u = 0; u < 6; u++)
      answer (pool, u, GS_OUTCOME_ERROR, 5 * SECOND);
  ck_assert_int_eq (gs_pool_in_rotation (pool), 6);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (a_slow_upstream_is_tried_again)
{
  GsDocument *document = fixture_tables (2, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 0);
  int tried = 0;

  gs_pool_begin_attempt (pool, 0);
  gs_pool_end_attempt (
      pool, 0,
      &(GsAttemptResult){ .now_us = SECOND, .outcome = GS_OUTCOME_OK, .answer_us = SECOND });
  for (int i = 0; i < 100; i++)
    tried += gs_pool_select (pool, &(GsPoolSelectOptions){ .now_us = SECOND, .random = &dice }) == 0
                 ? 1
                 : 0;
  ck_assert_int_eq (tried, 0);
  for (int i = 0; i < 100; i++)
    tried += gs_pool_select (pool, &(GsPoolSelectOptions){ .now_us = 20 * SECOND, .random = &dice })
                     == 0
                 ? 1
                 : 0;
  ck_assert_int_gt (tried, 0);
  gs_pool_free (pool);
  gs_document_free (document);
}
END_TEST

START_TEST (edit_keeps_what_is_known)
{
  GsDocument *document = fixture_tables (6, GS_REPEAT_SAFE);
  GsDocument *shorter = fixture_tables (5, GS_REPEAT_SAFE);
  GsPool *pool = pool_of (document, 50);
  uint64_t key;

  fail_all (pool, 2, 5 * SECOND);
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

START_TEST (an_unrelated_edit_calls_nobody_back)
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

START_TEST (another_homes_word_alone_ejects_nobody)
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
              &failing_upstream_is_ejected_and_returns,
              &moments_when_all_are_late_hide_no_slow_upstream,
              &moments_when_the_others_are_late_hide_no_slow_upstream,
              &late_attempts_alone_eject_nobody,
              &an_overdue_attempt_leaves_the_evidence_of_answers,
              &floor_holds_when_all_but_one_fail,
              &leaving_below_the_floor_takes_ejected_back,
              &leaving_gets_no_work,
              &slots_are_never_exceeded,
              &refusals_and_cancellations_are_not_failures,
              &silent_connections_are_proved_first,
              &whole_pool_failing_ejects_nobody,
              &a_slow_upstream_is_tried_again,
              &edit_keeps_what_is_known,
              &an_unrelated_edit_calls_nobody_back,
              &another_homes_word_alone_ejects_nobody)
