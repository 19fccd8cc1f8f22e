#include "planned_stop.h"

#include "../log/counter.h"
#include "../log/log.h"

enum
{
  PLANNED_STOP_ACCEPT_DIVISOR = 2, /* new requests are accepted for half of the limit */
};

#define PLANNED_STOP_POLL_S 0.05
/** Margin on the lifetime of address lookup answers, for those in transit or just received. */
#define PLANNED_STOP_MARGIN_US (1 * G_USEC_PER_SEC)
/** New requests are refused from this time after the signal on, if not earlier. A request that is
 * accepted must be given its full timeout, which may reach beyond the limit if it comes later. */
#define PLANNED_STOP_ACCEPT_MAX_US (2800 * G_TIME_SPAN_MILLISECOND)
/** Time without requests after which none is expected on callers' persistent connections. */
#define PLANNED_STOP_IDLE_US (500 * G_TIME_SPAN_MILLISECOND)
/** Part of the limit that remains for the exit of the process. */
#define PLANNED_STOP_EXIT_US (200 * G_TIME_SPAN_MILLISECOND)
/** Time before the limit at which all requests without an answer get one. */
#define PLANNED_STOP_ANSWER_US (150 * G_TIME_SPAN_MILLISECOND)

struct GsPlannedStop
{
  GsEngine *engine;
  GsEntry *entry;
  ev_timer poll;
  uint64_t requests;         /* GS_COUNTER_REQUESTS at the last poll */
  int64_t expected_until_us; /* until then requests are expected */
  int64_t refuse_from_us;    /* from then on new requests are refused */
  int64_t answer_by_us;      /* from then on requests in flight are answered as they are */
  int64_t limit_us;          /* when the stop ends at the latest */
};

/* Longest duration of a planned stop. */
static int64_t
duration_us (const GsSettings *settings)
{
  if (settings->stop_limit_ms == 0)
    return (int64_t)settings->stop_limit_s * G_USEC_PER_SEC;
  return (int64_t)settings->stop_limit_ms * G_TIME_SPAN_MILLISECOND - PLANNED_STOP_EXIT_US;
}

static void
on_poll (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsPlannedStop *stop = watcher->data;
  int64_t now_us = g_get_monotonic_time ();
  uint64_t requests = gs_counter_value (GS_COUNTER_REQUESTS);

  (void)events;
  if (requests != stop->requests || gs_entry_in_flight (stop->entry) > 0)
    stop->expected_until_us = MAX (stop->expected_until_us, now_us + PLANNED_STOP_IDLE_US);
  stop->requests = requests;
  if (now_us >= stop->limit_us
      || (gs_entry_in_flight (stop->entry) == 0
          && now_us >= MIN (stop->expected_until_us, stop->answer_by_us)))
    {
      /* The loop still handles what is pending, which may be a request. */
      gs_entry_quiesce (stop->entry);
      gs_entry_refuse (stop->entry);
      ev_break (loop, EVBREAK_ALL);
    }
  else if (now_us >= stop->answer_by_us)
    gs_entry_end_requests (stop->entry);
  else if (now_us >= stop->refuse_from_us)
    gs_entry_refuse (stop->entry);
}

GsPlannedStop *
gs_planned_stop_new (GsEngine *engine, GsEntry *entry)
{
  GsPlannedStop *stop = g_new0 (GsPlannedStop, 1);

  stop->engine = engine;
  stop->entry = entry;
  ev_timer_init (&stop->poll, on_poll, 0., PLANNED_STOP_POLL_S);
  stop->poll.data = stop;
  return stop;
}

void
gs_planned_stop_free (GsPlannedStop *stop)
{
  ev_timer_stop (gs_engine_loop (stop->engine), &stop->poll);
  g_free (stop);
}

/* Ends the stop at LIMIT_US at the latest. */
static void
set_limit (GsPlannedStop *stop, int64_t limit_us)
{
  stop->limit_us = limit_us;
  stop->answer_by_us = limit_us - PLANNED_STOP_ANSWER_US;
  gs_engine_stop (stop->engine, stop->answer_by_us);
}

void
gs_planned_stop_begin (GsPlannedStop *stop)
{
  const GsSettings *settings = gs_engine_settings (stop->engine);
  int64_t now_us = g_get_monotonic_time ();

  if (ev_is_active (&stop->poll))
    {
      set_limit (stop, now_us + PLANNED_STOP_ANSWER_US);
      return;
    }
  gs_log (GS_LOG_EVENT_STOPPING, "in_flight=%u", gs_entry_in_flight (stop->entry));
  stop->expected_until_us = now_us + (int64_t)settings->entries_life_ms * G_TIME_SPAN_MILLISECOND
                            + PLANNED_STOP_MARGIN_US;
  stop->refuse_from_us
      = now_us
        + MIN (duration_us (settings) / PLANNED_STOP_ACCEPT_DIVISOR, PLANNED_STOP_ACCEPT_MAX_US);
  stop->requests = gs_counter_value (GS_COUNTER_REQUESTS);
  set_limit (stop, now_us + duration_us (settings));
  ev_timer_start (gs_engine_loop (stop->engine), &stop->poll);
}

uint32_t
gs_planned_stop_run (GsPlannedStop *stop)
{
  struct ev_loop *loop = gs_engine_loop (stop->engine);

  ev_run (loop, 0);
  while (gs_entry_in_flight (stop->entry) > 0 && g_get_monotonic_time () < stop->limit_us)
    {
      gs_entry_refuse (stop->entry); /* also what has been received in part since */
      ev_run (loop, EVRUN_ONCE);
    }
  return gs_entry_in_flight (stop->entry) + gs_entry_n_ended (stop->entry);
}
