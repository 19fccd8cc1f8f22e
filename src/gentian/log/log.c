#include "log.h"

#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "counter.h"

enum
{
  LOG_FACILITY = 16,           /* local0 */
  LOG_BYTES_MAX = 1024 * 1024, /* that wait to be written */
  LOG_LINES_PER_S = 400,       /* of the levels info and debug */
  LOG_BURST_LINES = 800,
  LOG_LINE_BYTES_MAX = 1024,
  LOG_FLUSH_POLL_MS = 20,
};

/** Time that the last lines get at the end of the process. */
#define LOG_FLUSH_US (200 * G_TIME_SPAN_MILLISECOND)
/** Lines are written together that come within this time: a wake-up costs more than a line. */
#define LOG_BATCH_S 0.02
/** Pause while the reader of the lines has fallen behind. */
#define LOG_BEHIND_S 0.1

typedef struct
{
  GsLogEvent number;
  GsLogLevel level;
  const char *name;
} LogEvent;

static const LogEvent events[] = {
#define LOG_ROW(symbol, number, level, name) { GS_LOG_EVENT_##symbol, level, name },
  GS_LOG_EVENTS (LOG_ROW)
#undef LOG_ROW
};

static char log_program[32] = "gentianscale";
static char log_instance[64] = "-";
static GsLogLevel log_level = GS_LOG_LEVEL_INFO;

/* Lines wait here for the event loop, which writes only what the reader takes at once. */
static GMutex log_lock; /* over all that follows */
static GString *log_waiting;
static double log_tokens = LOG_BURST_LINES;
static int64_t log_earned_us;
static uint32_t log_dropped;
static struct ev_loop *log_loop; /* NULL: lines are written where they are made */
static GThread *log_owner;       /* runs the loop */
static ev_async log_wake;
static ev_timer log_batch;

void
gs_log_init (const char *program, const char *instance, GsLogLevel level)
{
  g_strlcpy (log_program, program, sizeof log_program);
  g_strlcpy (log_instance, instance, sizeof log_instance);
  log_level = level;
}

bool
gs_log_parse_level (const char *name, GsLogLevel *level)
{
  static const char *const names[] = { "error", "warning", "notice", "info", "debug" };

  for (int i = 0; i < (int)G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], name) == 0)
      {
        *level = (GsLogLevel)(GS_LOG_LEVEL_ERROR + i);
        return true;
      }
  return false;
}

static const LogEvent *
find_event (GsLogEvent number)
{
  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    if (events[i].number == number)
      return &events[i];
  return NULL;
}

const char *
gs_log_event_name (GsLogEvent number)
{
  const LogEvent *event = find_event (number);

  return event != NULL ? event->name : NULL;
}

static char *
format_line (const LogEvent *event, const char *fields)
{
  int64_t now_us = g_get_real_time ();
  time_t seconds = (time_t)(now_us / G_USEC_PER_SEC);
  struct tm parts;
  char stamp[32];

  gmtime_r (&seconds, &parts);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &parts);
  return g_strdup_printf ("<%d>1 %s.%03dZ %s %s %d GS%d - %s %.*s\n",
                          LOG_FACILITY * 8 + (int)event->level, stamp, (int)(now_us / 1000 % 1000),
                          log_instance, log_program, (int)getpid (), (int)event->number,
                          event->name, LOG_LINE_BYTES_MAX, fields);
}

static void
write_line (int fd, const char *line)
{
  size_t length = strlen (line);

  while (length > 0)
    {
      ssize_t written = write (fd, line, length);
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        return; /* nobody reads any more */
      line += written;
      length -= (size_t)written;
    }
}

/* Adds a line on those that were dropped. */
static void
report_dropped (void)
{
  g_autofree char *fields = NULL;
  g_autofree char *line = NULL;

  if (log_dropped == 0)
    return;
  gs_counter_add (GS_COUNTER_LOG_LINES_DROPPED, log_dropped);
  fields = g_strdup_printf ("lines=%u", log_dropped);
  line = format_line (find_event (GS_LOG_EVENT_LOG_LINES_DROPPED), fields);
  log_dropped = 0;
  g_string_append (log_waiting, line);
}

/* Writes what can be written without waiting longer than WAIT_MS. A pipe that is ready takes
 * PIPE_BUF bytes whole. */
static void
write_waiting (int wait_ms)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  while (log_waiting->len > 0 && poll (&out, 1, wait_ms) > 0)
    {
      ssize_t written = write (STDOUT_FILENO, log_waiting->str, MIN (log_waiting->len, PIPE_BUF));
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        g_string_truncate (log_waiting, 0); /* nobody reads any more */
      else
        g_string_erase (log_waiting, 0, written);
    }
}

static void
start_batch (double after_s)
{
  if (ev_is_active (&log_batch))
    return;
  ev_timer_set (&log_batch, after_s, 0.);
  ev_timer_start (log_loop, &log_batch);
}

static void
on_wake (struct ev_loop *loop, ev_async *watcher, int revents)
{
  (void)loop;
  (void)watcher;
  (void)revents;
  start_batch (LOG_BATCH_S);
}

static void
on_batch (struct ev_loop *loop, ev_timer *watcher, int revents)
{
  (void)loop;
  (void)watcher;
  (void)revents;
  g_mutex_lock (&log_lock);
  report_dropped ();
  write_waiting (0);
  if (log_waiting->len > 0)
    start_batch (LOG_BEHIND_S);
  g_mutex_unlock (&log_lock);
}

/* Lines of requests are bounded by a rate; graver ones always go. */
static bool
may_log (const LogEvent *event)
{
  int64_t now_us = g_get_monotonic_time ();
  bool allowed;

  if (log_waiting->len > LOG_BYTES_MAX)
    return false;
  if (event->level <= GS_LOG_LEVEL_NOTICE)
    return true;
  log_tokens += (double)(now_us - log_earned_us) / G_USEC_PER_SEC * LOG_LINES_PER_S;
  log_tokens = MIN (log_tokens, LOG_BURST_LINES);
  log_earned_us = now_us;
  allowed = log_tokens >= 1;
  log_tokens -= allowed ? 1 : 0;
  return allowed;
}

/* Puts a line in the row for the loop. */
static void
queue_line (const LogEvent *event, const char *fields)
{
  bool first;

  g_mutex_lock (&log_lock);
  first = log_waiting->len == 0 && log_dropped == 0;
  if (may_log (event))
    {
      g_autofree char *line = format_line (event, fields);
      g_string_append (log_waiting, line);
    }
  else
    log_dropped++;
  g_mutex_unlock (&log_lock);
  if (first && g_thread_self () == log_owner)
    start_batch (LOG_BATCH_S);
  else if (first)
    ev_async_send (log_loop, &log_wake);
}

void
gs_log_fields (GsLogEvent number, const char *fields)
{
  const LogEvent *event = find_event (number);

  if (event == NULL || event->level > log_level)
    return;
  if (log_loop == NULL || number == GS_LOG_EVENT_START_FAILED)
    {
      /* whoever started the daemon by hand looks at standard error */
      g_autofree char *line = format_line (event, fields);
      write_line (number == GS_LOG_EVENT_START_FAILED ? STDERR_FILENO : STDOUT_FILENO, line);
    }
  else
    queue_line (event, fields);
}

void
gs_log_attach_loop (struct ev_loop *loop)
{
  log_waiting = g_string_new (NULL);
  log_earned_us = g_get_monotonic_time ();
  log_owner = g_thread_self ();
  ev_async_init (&log_wake, on_wake);
  ev_timer_init (&log_batch, on_batch, 0., 0.);
  ev_async_start (loop, &log_wake);
  log_loop = loop;
}

void
gs_log_flush (void)
{
  int64_t until_us = g_get_monotonic_time () + LOG_FLUSH_US;

  if (log_loop == NULL)
    return;
  g_mutex_lock (&log_lock);
  report_dropped ();
  while (log_waiting->len > 0 && g_get_monotonic_time () < until_us)
    write_waiting (LOG_FLUSH_POLL_MS);
  g_mutex_unlock (&log_lock);
}

void
gs_log (GsLogEvent number, const char *format, ...)
{
  g_autofree char *fields = NULL;
  va_list arguments;

  va_start (arguments, format);
  fields = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  gs_log_fields (number, fields);
}
