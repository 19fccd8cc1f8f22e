/**
 * NAME
 *   planned_stop - the end of a daemon that has been told to stop
 *
 * DESCRIPTION
 *   The entry serves on until the address lookup answers that callers keep have expired and no
 * request is in flight, but not beyond the limit of the settings. New requests are refused after
 * half of that time, 2.8 s after the signal at the latest. Shortly before the limit all requests
 * get the answer that their attempts allow. No request that has been read ends without one.
 */
#ifndef GS_PLANNED_STOP_H
#define GS_PLANNED_STOP_H

#include "entry.h"

typedef struct GsPlannedStop GsPlannedStop;

/** RETURN VALUE: a stop of ENTRY and its ENGINE that has not begun. */
GsPlannedStop *gs_planned_stop_new (GsEngine *engine, GsEntry *entry);
void gs_planned_stop_free (GsPlannedStop *stop);

/** Begins the stop. Called again, ends it: what has no answer yet gets one. */
void gs_planned_stop_begin (GsPlannedStop *stop);

/** Runs the engine's loop until the stop is over. RETURN VALUE: number of requests that were cut:
 * their attempts were ended, or their streamed answers. */
uint32_t gs_planned_stop_run (GsPlannedStop *stop);

#endif
