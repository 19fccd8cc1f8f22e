/**
 * NAME
 *   log - writes numbered events as syslog lines to standard output
 *
 * DESCRIPTION
 *   Each event is one line with an RFC 5424 header: `<PRI>1 TIME INSTANCE PROGRAM PID GSnumber -
 * name fields`. Numbers, levels and names are those of core/log_event.h. Thread-safe. The event
 * start-failed goes to standard error. Control characters in fields are replaced. Tested by
 * test/unit/test_log.c.
 */
#ifndef GS_LOG_H
#define GS_LOG_H

#include "../core/log_event.h"

#include <ev.h>
#include <stdbool.h>

/** Sets the names that appear in all lines, and the lowest severity that is logged. */
void gs_log_init (const char *program, const char *instance, GsLogLevel level);

/** Parses the name of a level, "error" to "debug". RETURN VALUE: false when NAME is no level. */
bool gs_log_parse_level (const char *name, GsLogLevel *level);

/** Logs event NUMBER with FIELDS, unless its level is not logged. */
void gs_log_fields (GsLogEvent number, const char *fields);

/** The same with a format. */
void gs_log (GsLogEvent number, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/** RETURN VALUE: static name of event NUMBER, or NULL. */
const char *gs_log_event_name (GsLogEvent number);

/** From now on queues lines and writes them from LOOP, which the calling thread runs. The queue is
 * bounded in bytes and rate, and no caller blocks on the output. */
void gs_log_attach_loop (struct ev_loop *loop);

/** Writes the queued lines, for at most 200 ms. For use before the process ends. */
void gs_log_flush (void);

#endif
