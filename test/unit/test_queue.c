/* Unit tests of core/queue and core/budget. */
#include "../../src/gentian/core/retry_bucket.h"
#include "../../src/gentian/core/queue.h"
#include "fixture.h"

static uint64_t
push (GsQueue *queue, uint64_t request, uint64_t flow)
{
  return gs_queue_push (
      queue,
      &(GsQueuedRequest){ .request = request, .flow = flow, .deadline_us = 100, .weight = 1 });
}

START_TEST (flows_take_turns)
{
  GsQueue *queue = gs_queue_new ();
  GsQueuedRequest waiting;
  int small = 0;

  for (uint64_t i = 1; i <= 20; i++)
    push (queue, i, 1);
  for (uint64_t i = 101; i <= 104; i++)
    push (queue, i, 2);
  for (int i = 0; i < 8; i++)
    {
      ck_assert (gs_queue_pop (queue, &waiting));
      small += waiting.flow == 2 ? 1 : 0;
    }
  ck_assert_int_eq (small, 4);
  gs_queue_free (queue);
}
END_TEST

START_TEST (flood_displaces_itself)
{
  GsQueue *queue = gs_queue_new ();

  for (uint64_t i = 1; i <= GS_QUEUE_MAX; i++)
    ck_assert_uint_eq (push (queue, i, 1), 0);
  ck_assert_uint_eq (push (queue, 1000, 2), GS_QUEUE_MAX);
  ck_assert_uint_eq (push (queue, 1001, 1), 1001);
  ck_assert_uint_eq (gs_queue_length (queue), GS_QUEUE_MAX);
  gs_queue_free (queue);
}
END_TEST

START_TEST (unpopped_goes_first)
{
  GsQueue *queue = gs_queue_new ();
  GsQueuedRequest first;
  GsQueuedRequest again;

  push (queue, 1, 1);
  push (queue, 2, 2);
  gs_queue_pop (queue, &first);
  gs_queue_push_front (queue, &first);
  gs_queue_pop (queue, &again);
  ck_assert_uint_eq (first.request, again.request);
  gs_queue_free (queue);
}
END_TEST

START_TEST (removed_is_gone)
{
  GsQueue *queue = gs_queue_new ();

  push (queue, 1, 1);
  ck_assert (gs_queue_remove (queue, 1));
  ck_assert (!gs_queue_remove (queue, 1));
  ck_assert_uint_eq (gs_queue_length (queue), 0);
  gs_queue_free (queue);
}
END_TEST

START_TEST (retries_stay_within_their_share)
{
  GsRetryBucket budget = gs_retry_bucket_full ();
  int spent = 0;

  for (int i = 0; i < 10000; i++)
    {
      gs_retry_bucket_earn (&budget);
      spent += gs_retry_bucket_spend (&budget) ? 1 : 0;
    }
  ck_assert_int_le (spent,
                    10000 * GS_RETRY_BUCKET_TOKENS_PER_REQUEST + GS_RETRY_BUCKET_TOKENS_MAX + 1);
}
END_TEST

FIXTURE_MAIN ("queue",
              &flows_take_turns,
              &flood_displaces_itself,
              &unpopped_goes_first,
              &removed_is_gone,
              &retries_stay_within_their_share)
