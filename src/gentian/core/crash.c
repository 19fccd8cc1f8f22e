#include "crash.h"

#include <glib.h>

typedef struct
{
  uint64_t fingerprint;
  uint64_t crashes[GS_CRASH_LIMIT_MAX];
  uint32_t n_crashes;
  int64_t at_us;
} Suspect;

struct GsCrashTracker
{
  Suspect suspects[GS_CRASH_SUSPECTS_MAX];
  uint32_t length;
  GsCrashTrackerOptions options;
};

GsCrashTracker *
gs_crash_tracker_new (const GsCrashTrackerOptions *options)
{
  GsCrashTracker *crashes = g_new0 (GsCrashTracker, 1);

  if (options != NULL)
    crashes->options = *options;
  if (crashes->options.limit == 0)
    crashes->options.limit = GS_CRASH_LIMIT;
  if (crashes->options.memory_us == 0)
    crashes->options.memory_us = GS_CRASH_RETENTION_US;
  return crashes;
}

void
gs_crash_tracker_free (GsCrashTracker *crashes)
{
  g_free (crashes);
}

static Suspect *
find (const GsCrashTracker *crashes, uint64_t fingerprint)
{
  for (uint32_t i = 0; i < crashes->length; i++)
    if (crashes->suspects[i].fingerprint == fingerprint)
      return (Suspect *)&crashes->suspects[i];
  return NULL;
}

static Suspect *
add (GsCrashTracker *crashes, uint64_t fingerprint)
{
  Suspect *place = &crashes->suspects[0];

  for (uint32_t i = 1; i < crashes->length; i++)
    if (crashes->suspects[i].at_us < place->at_us)
      place = &crashes->suspects[i];
  if (crashes->length < GS_CRASH_SUSPECTS_MAX)
    place = &crashes->suspects[crashes->length++];
  *place = (Suspect){ .fingerprint = fingerprint };
  return place;
}

bool
gs_crash_tracker_add_suspect (GsCrashTracker *crashes,
                              uint64_t fingerprint,
                              uint64_t crash,
                              int64_t now_us)
{
  Suspect *suspect = find (crashes, fingerprint);

  if (suspect == NULL)
    suspect = add (crashes, fingerprint);
  else if (now_us - suspect->at_us > crashes->options.memory_us)
    suspect->n_crashes = 0;
  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    if (suspect->crashes[i] == crash)
      return false;
  suspect->at_us = now_us;
  if (suspect->n_crashes < crashes->options.limit)
    suspect->crashes[suspect->n_crashes++] = crash;
  return true;
}

bool
gs_crash_tracker_clear_suspect (GsCrashTracker *crashes, uint64_t fingerprint)
{
  Suspect *suspect = find (crashes, fingerprint);

  if (suspect == NULL)
    return false;
  *suspect = crashes->suspects[--crashes->length];
  return true;
}

uint32_t
gs_crash_tracker_count (const GsCrashTracker *crashes, uint64_t fingerprint, int64_t now_us)
{
  const Suspect *suspect = find (crashes, fingerprint);

  if (suspect == NULL || now_us - suspect->at_us > crashes->options.memory_us)
    return 0;
  return suspect->n_crashes;
}

bool
gs_crash_tracker_must_refuse (const GsCrashTracker *crashes, uint64_t fingerprint, int64_t now_us)
{
  return gs_crash_tracker_count (crashes, fingerprint, now_us) >= crashes->options.limit;
}
