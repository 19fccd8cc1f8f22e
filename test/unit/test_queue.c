/* Unit tests of core/queue and core/retry_bucket. */
#include "../../src/gentian/core/retry_bucket.h"
#include "../../src/gentian/core/queue.h"
#include "fixture.h"

/* RETURN VALUE: 0, or the request that was evicted. */
static uint64_t
push (GsQueue *queue, uint64_t request, uint64_t flow)
{
  return gs_queue_push (
      queue,
      &(GsQueuedRequest){ .request = request, .flow = flow, .deadline_us = 100, .weight = 1 });
}

/* Guards against a long queue of one flow that delays the requests of another. */
START_TEST (flows_share_the_queue_equally)
{
  GsQueue *queue = gs_queue_new ();
  GsQueuedRequest popped;
  int of_small_flow = 0;

  for (uint64_t i = 1; i <= 20; i++)
    push (queue, i, 1);
  for (uint64_t i = 101; i <= 104; i++)
    push (queue, i, 2);
  for (int i = 0; i < 8; i++)
    {
      ck_assert (gs_queue_pop (queue, &popped));
      of_small_flow += popped.flow == 2 ? 1 : 0;
    }
  ck_assert_int_eq (of_small_flow, 4);
  gs_queue_free (queue);
}
END_TEST

/* Guards against a flow that fills the queue and thereby evicts requests of other flows. */
START_TEST (flooding_flow_evicts_its_own_requests)
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

/* Guards against a request that loses its turn when it is popped but cannot be served. */
START_TEST (request_pushed_to_the_front_is_popped_next)
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

START_TEST (removed_request_leaves_the_queue)
{
  GsQueue *queue = gs_queue_new ();

  push (queue, 1, 1);
  ck_assert (gs_queue_remove (queue, 1));
  ck_assert (!gs_queue_remove (queue, 1));
  ck_assert_uint_eq (gs_queue_length (queue), 0);
  gs_queue_free (queue);
}
END_TEST

/* Guards against retries that multiply the load when every attempt fails. */
START_TEST (retry_bucket_bounds_the_share_of_retries)
{
  GsRetryBucket bucket = gs_retry_bucket_full ();
  int spent = 0;

  for (int i = 0; i < 10000; i++)
    {
      gs_retry_bucket_earn (&bucket);
      spent += gs_retry_bucket_spend (&bucket) ? 1 : 0;
    }
  ck_assert_int_le (spent,
                    10000 * GS_RETRY_BUCKET_TOKENS_PER_REQUEST + GS_RETRY_BUCKET_TOKENS_MAX + 1);
}
END_TEST

FIXTURE_MAIN ("queue",
              &flows_share_the_queue_equally,
              &flooding_flow_evicts_its_own_requests,
              &request_pushed_to_the_front_is_popped_next,
              &removed_request_leaves_the_queue,
              &retry_bucket_bounds_the_share_of_retries)
