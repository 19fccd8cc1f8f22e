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
  LOG_FACILITY = 16, /* local0 */
  LOG_QUEUE_BYTES_MAX = 1024 * 1024,
  LOG_LINES_PER_S = 400, /* of the levels info and debug */
  LOG_BURST_LINES = 800,
  LOG_LINE_BYTES_MAX = 1024,
  LOG_FLUSH_POLL_MS = 20,
};

/* Limit for writing the last lines when the process ends. */
#define LOG_FLUSH_TIMEOUT_US (200 * G_TIME_SPAN_MILLISECOND)
/* Lines within this time are written in one batch, because a wake-up costs more than a line. */
#define LOG_BATCH_DELAY_S 0.02
/* Delay before the next write when the reader of the output has fallen behind. */
#define LOG_RETRY_DELAY_S 0.1

typedef struct
{
  GsLogEvent number;
  GsLogLevel level;
  const char *name;
} LogEvent;

static const LogEvent events[] = {
#define LOG_EVENT_ROW(symbol, number, level, name) { GS_LOG_EVENT_##symbol, level, name },
  GS_LOG_EVENTS (LOG_EVENT_ROW)
#undef LOG_EVENT_ROW
};

static char log_program[32] = "gentianscale";
static char log_instance[64] = "-";
static GsLogLevel log_level = GS_LOG_LEVEL_INFO;

/* Queue of lines for the event loop, which writes only what the output accepts without blocking. */
static GMutex log_lock; /* protects the variables below */
static GString *log_queue;
static double log_tokens = LOG_BURST_LINES;
static int64_t log_refilled_us;
static uint32_t log_dropped;
static struct ev_loop *log_loop; /* NULL: the calling thread writes its lines itself */
static GThread *log_loop_thread;
static ev_async log_wakeup;
static ev_timer log_write_timer;

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

/* Replaces control characters, which fields from outside may contain: a line end would end the
 * event. */
static void
replace_control_characters (char *fields)
{
  for (char *next = fields; *next != '\0'; next++)
    if (g_ascii_iscntrl (*next))
      *next = '?';
}

static char *
format_line (const LogEvent *event, const char *fields)
{
  g_autofree char *printable = g_strndup (fields, LOG_LINE_BYTES_MAX);
  int64_t now_us = g_get_real_time ();
  time_t seconds = (time_t)(now_us / G_USEC_PER_SEC);
  struct tm parts;
  char stamp[32];

  replace_control_characters (printable);
  gmtime_r (&seconds, &parts);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &parts);
  return g_strdup_printf ("<%d>1 %s.%03dZ %s %s %d GS%d - %s %s\n",
                          LOG_FACILITY * 8 + (int)event->level, stamp, (int)(now_us / 1000 % 1000),
                          log_instance, log_program, (int)getpid (), (int)event->number,
                          event->name, printable);
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
        return; /* the output cannot be written, for example because its reader has exited */
      line += written;
      length -= (size_t)written;
    }
}

/* Queues a line with the number of lines dropped since the last such line, and counts them. */
static void
queue_dropped_count (void)
{
  g_autofree char *fields = NULL;
  g_autofree char *line = NULL;

  if (log_dropped == 0)
    return;
  gs_counter_add (GS_COUNTER_LOG_LINES_DROPPED, log_dropped);
  fields = g_strdup_printf ("lines=%u", log_dropped);
  line = format_line (find_event (GS_LOG_EVENT_LOG_LINES_DROPPED), fields);
  log_dropped = 0;
  g_string_append (log_queue, line);
}

/* Writes queued lines until the output is not writable for WAIT_MS. A pipe that poll reports as
 * writable accepts PIPE_BUF bytes without blocking. */
static void
write_queue (int wait_ms)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  while (log_queue->len > 0 && poll (&out, 1, wait_ms) > 0)
    {
      ssize_t written = write (STDOUT_FILENO, log_queue->str, MIN (log_queue->len, PIPE_BUF));
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        g_string_truncate (log_queue, 0); /* cannot be written, as in write_line */
      else
        g_string_erase (log_queue, 0, written);
    }
}

static void
schedule_write (double delay_s)
{
  if (ev_is_active (&log_write_timer))
    return;
  ev_timer_set (&log_write_timer, delay_s, 0.);
  ev_timer_start (log_loop, &log_write_timer);
}

static void
on_wakeup (struct ev_loop *loop, ev_async *watcher, int revents)
{
  (void)loop;
  (void)watcher;
  (void)revents;
  schedule_write (LOG_BATCH_DELAY_S);
}

static void
on_write_timer (struct ev_loop *loop, ev_timer *watcher, int revents)
{
  (void)loop;
  (void)watcher;
  (void)revents;
  g_mutex_lock (&log_lock);
  queue_dropped_count ();
  write_queue (0);
  if (log_queue->len > 0)
    schedule_write (LOG_RETRY_DELAY_S);
  g_mutex_unlock (&log_lock);
}

/* A token bucket limits the lines of the levels info and debug, which requests cause; more severe
 * ones are dropped only when the queue is full. */
static bool
admit_line (const LogEvent *event)
{
  int64_t now_us = g_get_monotonic_time ();
  bool allowed;

  if (log_queue->len > LOG_QUEUE_BYTES_MAX)
    return false;
  if (event->level <= GS_LOG_LEVEL_NOTICE)
    return true;
  log_tokens += (double)(now_us - log_refilled_us) / G_USEC_PER_SEC * LOG_LINES_PER_S;
  log_tokens = MIN (log_tokens, LOG_BURST_LINES);
  log_refilled_us = now_us;
  allowed = log_tokens >= 1;
  log_tokens -= allowed ? 1 : 0;
  return allowed;
}

/* Queues a line for the event loop. */
static void
queue_line (const LogEvent *event, const char *fields)
{
  bool first;

  g_mutex_lock (&log_lock);
  first = log_queue->len == 0 && log_dropped == 0;
  if (admit_line (event))
    {
      g_autofree char *line = format_line (event, fields);
      g_string_append (log_queue, line);
    }
  else
    log_dropped++;
  g_mutex_unlock (&log_lock);
  if (first && g_thread_self () == log_loop_thread)
    schedule_write (LOG_BATCH_DELAY_S);
  else if (first)
    ev_async_send (log_loop, &log_wakeup);
}

void
gs_log_fields (GsLogEvent number, const char *fields)
{
  const LogEvent *event = find_event (number);

  if (event == NULL || event->level > log_level)
    return;
  if (log_loop == NULL || number == GS_LOG_EVENT_START_FAILED)
    {
      /* An operator who starts the daemon by hand reads standard error. */
      g_autofree char *line = format_line (event, fields);
      write_line (number == GS_LOG_EVENT_START_FAILED ? STDERR_FILENO : STDOUT_FILENO, line);
    }
  else
    queue_line (event, fields);
}

void
gs_log_attach_loop (struct ev_loop *loop)
{
  log_queue = g_string_new (NULL);
  log_refilled_us = g_get_monotonic_time ();
  log_loop_thread = g_thread_self ();
  ev_async_init (&log_wakeup, on_wakeup);
  ev_timer_init (&log_write_timer, on_write_timer, 0., 0.);
  ev_async_start (loop, &log_wakeup);
  log_loop = loop;
}

void
gs_log_flush (void)
{
  int64_t deadline_us = g_get_monotonic_time () + LOG_FLUSH_TIMEOUT_US;

  if (log_loop == NULL)
    return;
  g_mutex_lock (&log_lock);
  queue_dropped_count ();
  while (log_queue->len > 0 && g_get_monotonic_time () < deadline_us)
    write_queue (LOG_FLUSH_POLL_MS);
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
