/**
 * NAME
 *   loop_watch - measures the turns of an event loop
 *
 * DESCRIPTION
 *   A turn lasts from the wake-up of the loop until it waits again. While it lasts nothing else is
 * done: no connection is accepted, no timer runs. Each turn is recorded in a histogram, and one
 * that is long is logged with the work that it did. Tested by test/unit/test_loop_watch.c.
 */
#ifndef GS_LOOP_WATCH_H
#define GS_LOOP_WATCH_H

#include <ev.h>
#include <stdint.h>

/** Duration from which on a turn is logged: callers notice it. */
#define GS_LOOP_WATCH_LONG_US INT64_C (250000)

typedef struct GsLoopWatch GsLoopWatch;

/** Measures the turns of LOOP, beginning with the next one. */
GsLoopWatch *gs_loop_watch_new (struct ev_loop *loop);
void gs_loop_watch_free (GsLoopWatch *watch);

/** RETURN VALUE: duration of the longest turn so far, in microseconds. */
int64_t gs_loop_watch_longest_us (const GsLoopWatch *watch);

#endif
