/**
 * NAME
 *   log - numbered events as syslog-style lines on standard output
 *
 * DESCRIPTION
 *   One line an event (RFC 5424 header): `<PRI>1 TIME INSTANCE PROGRAM PID GSnumber - name fields`.
 *   Thread-safe. Numbers and levels come from core/log_event.h. Tested by test/unit/test_log.c.
 */
#ifndef GS_LOG_H
#define GS_LOG_H

#include "../core/log_event.h"

#include <ev.h>
#include <stdbool.h>

/** Names this process in all lines and sets the gravest level that is left out to LEVEL + 1. */
void gs_log_init (const char *program, const char *instance, GsLogLevel level);

/** RETURN VALUE: true and LEVEL when NAME is a level ("error" to "debug"). */
bool gs_log_parse_level (const char *name, GsLogLevel *level);

/** Writes the line of event NUMBER with FIELDS, unless its level is left out. */
void gs_log_fields (GsLogEvent number, const char *fields);

/** The same with a format. */
void gs_log (GsLogEvent number, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/** RETURN VALUE: static name of event NUMBER, or NULL. */
const char *gs_log_event_name (GsLogEvent number);

/** Writes lines from LOOP, which this thread runs, from now on: bounded in bytes and rate, never
 * blocking. */
void gs_log_attach_loop (struct ev_loop *loop);

/** Gives waiting lines a moment to be written, before the process ends. */
void gs_log_flush (void);

#endif
