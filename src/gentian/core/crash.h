/**
 * NAME
 *   crash - detection of requests that crash the upstreams they run on
 *
 * DESCRIPTION
 *   When an upstream drops its connections without an answer, every request in flight at it becomes
 * a suspect, identified by a fingerprint of its content. A suspect that is answered later is
 * cleared, and the failure then counts against the upstream. A suspect of two crashes that was
 * never answered is refused. Homes notify each other of crashes and of cleared suspects; each crash
 * has a unique number, so a crash that is reported twice counts once. Pure. Tested by
 * test/unit/test_crash.c.
 */
#ifndef GS_CRASH_H
#define GS_CRASH_H

#include "base.h"

enum
{
  GS_CRASH_LIMIT = 2, /**< default number of crashes after which a fingerprint is refused */
  GS_CRASH_LIMIT_MAX = 4,
  GS_CRASH_SUSPECTS_MAX = 512, /**< at this number a new suspect replaces the oldest */
};

/** Default time for which a suspect is retained. */
#define GS_CRASH_RETENTION_US (600 * GS_US_PER_S)

/** Construction options. */
typedef struct
{
  uint32_t limit;       /**< crashes after which a fingerprint is refused, at most
                    GS_CRASH_LIMIT_MAX; 0: GS_CRASH_LIMIT */
  int64_t retention_us; /**< how long a suspect is retained; 0: GS_CRASH_RETENTION_US */
} GsCrashTrackerOptions;

typedef struct GsCrashTracker GsCrashTracker;

/** OPTIONS may be NULL for the defaults. */
GsCrashTracker *gs_crash_tracker_new (const GsCrashTrackerOptions *options);
void gs_crash_tracker_free (GsCrashTracker *tracker);

/**
 * Records that FINGERPRINT was in flight during the crash numbered CRASH.
 *
 * RETURN VALUE: true when this crash was new for the fingerprint.
 */
bool gs_crash_tracker_add_suspect (GsCrashTracker *tracker,
                                   uint64_t fingerprint,
                                   uint64_t crash,
                                   int64_t now_us);

/** Records that FINGERPRINT was answered. RETURN VALUE: true when it was a suspect. */
bool gs_crash_tracker_clear_suspect (GsCrashTracker *tracker, uint64_t fingerprint);

/** RETURN VALUE: true when FINGERPRINT has reached the limit and must not run again. */
bool
gs_crash_tracker_must_refuse (const GsCrashTracker *tracker, uint64_t fingerprint, int64_t now_us);

/** RETURN VALUE: number of crashes that FINGERPRINT is suspected of. */
uint32_t
gs_crash_tracker_count (const GsCrashTracker *tracker, uint64_t fingerprint, int64_t now_us);

#endif
