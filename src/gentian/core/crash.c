#include "crash.h"

#include <glib.h>

typedef struct
{
  uint64_t fingerprint;
  uint64_t crashes[GS_CRASH_LIMIT_MAX];
  uint32_t n_crashes;
  int64_t last_crash_us;
} Suspect;

struct GsCrashTracker
{
  Suspect suspects[GS_CRASH_SUSPECTS_MAX];
  uint32_t n_suspects;
  GsCrashTrackerOptions options;
};

GsCrashTracker *
gs_crash_tracker_new (const GsCrashTrackerOptions *options)
{
  GsCrashTracker *tracker = g_new0 (GsCrashTracker, 1);

  if (options != NULL)
    tracker->options = *options;
  if (tracker->options.limit == 0)
    tracker->options.limit = GS_CRASH_LIMIT;
  if (tracker->options.retention_us == 0)
    tracker->options.retention_us = GS_CRASH_RETENTION_US;
  return tracker;
}

void
gs_crash_tracker_free (GsCrashTracker *tracker)
{
  g_free (tracker);
}

static Suspect *
find_suspect (const GsCrashTracker *tracker, uint64_t fingerprint)
{
  for (uint32_t i = 0; i < tracker->n_suspects; i++)
    if (tracker->suspects[i].fingerprint == fingerprint)
      return (Suspect *)&tracker->suspects[i];
  return NULL;
}

static Suspect *
add_suspect (GsCrashTracker *tracker, uint64_t fingerprint)
{
  Suspect *entry = &tracker->suspects[0];

  for (uint32_t i = 1; i < tracker->n_suspects; i++)
    if (tracker->suspects[i].last_crash_us < entry->last_crash_us)
      entry = &tracker->suspects[i];
  if (tracker->n_suspects < GS_CRASH_SUSPECTS_MAX)
    entry = &tracker->suspects[tracker->n_suspects++];
  *entry = (Suspect){ .fingerprint = fingerprint };
  return entry;
}

bool
gs_crash_tracker_add_suspect (GsCrashTracker *tracker,
                              uint64_t fingerprint,
                              uint64_t crash,
                              int64_t now_us)
{
  Suspect *suspect = find_suspect (tracker, fingerprint);

  if (suspect == NULL)
    suspect = add_suspect (tracker, fingerprint);
  else if (now_us - suspect->last_crash_us > tracker->options.retention_us)
    suspect->n_crashes = 0;
  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    if (suspect->crashes[i] == crash)
      return false;
  suspect->last_crash_us = now_us;
  if (suspect->n_crashes < tracker->options.limit)
    suspect->crashes[suspect->n_crashes++] = crash;
  return true;
}

bool
gs_crash_tracker_clear_suspect (GsCrashTracker *tracker, uint64_t fingerprint)
{
  Suspect *suspect = find_suspect (tracker, fingerprint);

  if (suspect == NULL)
    return false;
  *suspect = tracker->suspects[--tracker->n_suspects];
  return true;
}

uint32_t
gs_crash_tracker_count (const GsCrashTracker *tracker, uint64_t fingerprint, int64_t now_us)
{
  const Suspect *suspect = find_suspect (tracker, fingerprint);

  if (suspect == NULL || now_us - suspect->last_crash_us > tracker->options.retention_us)
    return 0;
  return suspect->n_crashes;
}

bool
gs_crash_tracker_must_refuse (const GsCrashTracker *tracker, uint64_t fingerprint, int64_t now_us)
{
  return gs_crash_tracker_count (tracker, fingerprint, now_us) >= tracker->options.limit;
}
