#include "loop_watch.h"

#include <glib.h>

#include "counter.h"
#include "histogram.h"
#include "log.h"

/* Work that a turn does, by counters. */
static const GsCounter counters[] = { GS_COUNTER_PEER_RECEIVED, GS_COUNTER_PEER_RECEIVED_BYTES,
                                      GS_COUNTER_REQUESTS, GS_COUNTER_CALLERS_ACCEPTED };

struct GsLoopWatch
{
  struct ev_loop *loop;
  ev_check woken;
  ev_prepare waits;
  int64_t woken_us; /* 0: no turn has begun */
  int64_t longest_us;
  uint64_t before[G_N_ELEMENTS (counters)]; /* values when the turn began */
};

static void
on_woken (struct ev_loop *loop, ev_check *check, int events)
{
  GsLoopWatch *watch = check->data;

  (void)loop;
  (void)events;
  watch->woken_us = g_get_monotonic_time ();
  for (size_t i = 0; i < G_N_ELEMENTS (counters); i++)
    watch->before[i] = gs_counter_value (counters[i]);
}

static void
log_turn (const GsLoopWatch *watch, int64_t turn_us)
{
  uint64_t done[G_N_ELEMENTS (counters)];

  for (size_t i = 0; i < G_N_ELEMENTS (counters); i++)
    done[i] = gs_counter_value (counters[i]) - watch->before[i];
  gs_log (GS_LOG_EVENT_LOOP_HELD_UP,
          "turn_ms=%" G_GINT64_FORMAT " messages=%" G_GUINT64_FORMAT
          " message_bytes=%" G_GUINT64_FORMAT " requests=%" G_GUINT64_FORMAT
          " accepted=%" G_GUINT64_FORMAT,
          turn_us / 1000, done[0], done[1], done[2], done[3]);
}

static void
on_waits (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  GsLoopWatch *watch = prepare->data;
  int64_t turn_us = g_get_monotonic_time () - watch->woken_us;

  (void)loop;
  (void)events;
  if (watch->woken_us == 0)
    return;
  gs_histogram_record (GS_HISTOGRAM_LOOP_TURN, turn_us);
  watch->longest_us = MAX (watch->longest_us, turn_us);
  if (turn_us >= GS_LOOP_WATCH_LONG_US)
    log_turn (watch, turn_us);
}

GsLoopWatch *
gs_loop_watch_new (struct ev_loop *loop)
{
  GsLoopWatch *watch = g_new0 (GsLoopWatch, 1);

  watch->loop = loop;
  ev_check_init (&watch->woken, on_woken);
  ev_prepare_init (&watch->waits, on_waits);
  ev_set_priority (&watch->woken, EV_MAXPRI); /* before all other watchers of a turn */
  ev_set_priority (&watch->waits, EV_MINPRI); /* after them */
  watch->woken.data = watch;
  watch->waits.data = watch;
  ev_check_start (loop, &watch->woken);
  ev_prepare_start (loop, &watch->waits);
  return watch;
}

void
gs_loop_watch_free (GsLoopWatch *watch)
{
  if (watch == NULL)
    return;
  ev_check_stop (watch->loop, &watch->woken);
  ev_prepare_stop (watch->loop, &watch->waits);
  g_free (watch);
}

int64_t
gs_loop_watch_longest_us (const GsLoopWatch *watch)
{
  return watch->longest_us;
}
