#include "log.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  LOG_FACILITY = 16, /* local0 */
};

typedef struct
{
  GsNotice number;
  GsLevel level;
  const char *name;
} LogEvent;

static const LogEvent events[] = {
#define LOG_ROW(symbol, number, level, name) { GS_NOTICE_##symbol, level, name },
  GS_NOTICES (LOG_ROW)
#undef LOG_ROW
};

static char log_program[32] = "gentianscale";
static char log_instance[64] = "-";
static GsLevel log_level = GS_LEVEL_INFO;

void
gs_log_init (const char *program, const char *instance, GsLevel level)
{
  g_strlcpy (log_program, program, sizeof log_program);
  g_strlcpy (log_instance, instance, sizeof log_instance);
  log_level = level;
}

bool
gs_log_parse_level (const char *name, GsLevel *level)
{
  static const char *const names[] = { "error", "warning", "notice", "info", "debug" };

  for (int i = 0; i < (int)G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], name) == 0)
      {
        *level = (GsLevel)(GS_LEVEL_ERROR + i);
        return true;
      }
  return false;
}

static const LogEvent *
find_event (GsNotice number)
{
  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    if (events[i].number == number)
      return &events[i];
  return NULL;
}

const char *
gs_log_name (GsNotice number)
{
  const LogEvent *event = find_event (number);

  return event != NULL ? event->name : NULL;
}

void
gs_log_fields (GsNotice number, const char *fields)
{
  const LogEvent *event = find_event (number);
  g_autoptr (GDateTime) now = NULL;
  g_autofree char *time = NULL;
  g_autofree char *line = NULL;

  if (event == NULL || event->level > log_level)
    return;
  now = g_date_time_new_now_utc ();
  time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");
  line = g_strdup_printf ("<%d>1 %s.%03dZ %s %s %d GS%d - %s %s\n",
                          LOG_FACILITY * 8 + (int)event->level, time,
                          g_date_time_get_microsecond (now) / 1000, log_instance, log_program,
                          (int)getpid (), (int)number, event->name, fields);
  fputs (line, stderr);
}

void
gs_log (GsNotice number, const char *format, ...)
{
  g_autofree char *fields = NULL;
  va_list arguments;

  va_start (arguments, format);
  fields = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  gs_log_fields (number, fields);
}
