/**
 * NAME
 *   crash - finds requests that crash the upstreams that run them
 *
 * DESCRIPTION
 *   When an upstream drops its connections without an answer, every request in flight at it becomes
 * a suspect, named by a fingerprint of its content. A suspect that is later answered is cleared,
 * and the failure is then held against the upstream. A suspect of two crashes that was never
 * answered is refused. Homes tell each other of crashes and of cleared suspects; crashes carry
 * unique numbers, so a crash that is told twice counts once. Pure. Tested by test/unit/test_crash.c
 * and test/property/prop_pool.cpp.
 */
#ifndef GS_CRASH_H
#define GS_CRASH_H

#include "base.h"

enum
{
  GS_CRASH_LIMIT = 2, /**< crashes after which a fingerprint is refused, by default */
  GS_CRASH_LIMIT_MAX = 4,
  GS_CRASH_SUSPECTS_MAX = 512, /**< suspects kept; the oldest makes room */
};

#define GS_CRASH_RETENTION_US                                                                      \
  (600 * GS_US_PER_S) /**< how long a suspect is remembered, by default                            \
                       */

/** Construction options. */
typedef struct
{
  uint32_t limit;    /**< crashes after which a fingerprint is refused, at most GS_CRASH_LIMIT_MAX;
                          0: GS_CRASH_LIMIT */
  int64_t memory_us; /**< how long a suspect is remembered; 0: GS_CRASH_RETENTION_US */
} GsCrashTrackerOptions;

typedef struct GsCrashTracker GsCrashTracker;

/** OPTIONS may be NULL. */
GsCrashTracker *gs_crash_tracker_new (const GsCrashTrackerOptions *options);
void gs_crash_tracker_free (GsCrashTracker *crashes);

/**
 * Notes that FINGERPRINT was in flight during the crash numbered CRASH.
 *
 * RETURN VALUE: true when this crash was new for the fingerprint.
 */
bool gs_crash_tracker_add_suspect (GsCrashTracker *crashes,
                                   uint64_t fingerprint,
                                   uint64_t crash,
                                   int64_t now_us);

/** Notes that FINGERPRINT got an answer. RETURN VALUE: true when it had been a suspect. */
bool gs_crash_tracker_clear_suspect (GsCrashTracker *crashes, uint64_t fingerprint);

/** RETURN VALUE: true when FINGERPRINT must not run any more. */
bool
gs_crash_tracker_must_refuse (const GsCrashTracker *crashes, uint64_t fingerprint, int64_t now_us);

/** RETURN VALUE: crashes that FINGERPRINT is suspected of. */
uint32_t
gs_crash_tracker_count (const GsCrashTracker *crashes, uint64_t fingerprint, int64_t now_us);

#endif
