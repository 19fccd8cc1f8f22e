/* Unit tests of log/loop_watch on a loop whose only work is a timer of the test. */
#include "../../src/gentian/log/histogram.h"
#include "../../src/gentian/log/loop_watch.h"
#include "fixture.h"

enum
{
  WORK_MS = 20,
  IDLE_MS = 60,
};

static void
on_work (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
  g_usleep (WORK_MS * 1000);
}

/* Guards against a daemon that stands still for seconds without a trace in its figures, and against
 * the time that it waits for work being counted as well. */
START_TEST (turn_lasts_from_the_wake_up_until_the_loop_waits_again)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  GsLoopWatch *watch = gs_loop_watch_new (loop);
  g_autofree char *text = NULL;
  ev_timer timer;

  ev_timer_init (&timer, on_work, IDLE_MS / 1000.0, 0.);
  ev_timer_start (loop, &timer);
  ev_run (loop, EVRUN_ONCE);
  ev_run (loop, EVRUN_NOWAIT);
  ck_assert_int_ge (gs_loop_watch_longest_us (watch), WORK_MS * 1000);
  ck_assert_int_lt (gs_loop_watch_longest_us (watch), (WORK_MS + IDLE_MS) * 1000);
  text = gs_histogram_render ();
  ck_assert_ptr_nonnull (strstr (text, "gentian_loop_turn_seconds_count"));
  gs_loop_watch_free (watch);
  ev_loop_destroy (loop);
}
END_TEST

FIXTURE_MAIN ("loop_watch", &turn_lasts_from_the_wake_up_until_the_loop_waits_again)
