#include "base.h"

#include <string.h>
#include <xxhash.h>

const char *
gs_verdict_name (GsVerdict verdict)
{
  static const char *const names[] = { "not-run", "may-have-run", "ran" };
  return names[verdict];
}

const char *
gs_outcome_name (GsOutcome outcome)
{
  static const char *const names[GS_OUTCOME_COUNT]
      = { "ok",      "error",     "refused", "leaving", "misdirected", "unreachable", "closed",
          "crashed", "truncated", "timeout", "silent",  "uncertain",   "cancelled",   "stopped" };
  return outcome < GS_OUTCOME_COUNT ? names[outcome] : "unknown";
}

GsVerdict
gs_outcome_verdict (GsOutcome outcome)
{
  switch (outcome)
    {
    case GS_OUTCOME_OK:
    case GS_OUTCOME_ERROR:
      return GS_VERDICT_RAN;
    case GS_OUTCOME_REFUSED:
    case GS_OUTCOME_LEAVING:
    case GS_OUTCOME_MISDIRECTED:
    case GS_OUTCOME_UNREACHABLE:
      return GS_VERDICT_NOT_RUN;
    default:
      return GS_VERDICT_MAY_HAVE_RUN;
    }
}

uint64_t
gs_mix64 (uint64_t value)
{
  value ^= value >> 30;
  value *= UINT64_C (0xbf58476d1ce4e5b9);
  value ^= value >> 27;
  value *= UINT64_C (0x94d049bb133111eb);
  return value ^ (value >> 31);
}

uint64_t
gs_hash_bytes (const void *bytes, size_t length, uint64_t seed)
{
  return XXH64 (bytes, length, seed);
}

uint64_t
gs_hash_name (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

uint64_t
gs_random_next (GsRandom *random)
{
  random->state += UINT64_C (0x9e3779b97f4a7c15);
  return gs_mix64 (random->state);
}

double
gs_random_unit (GsRandom *random)
{
  return (double)(gs_random_next (random) >> 11) * 0x1.0p-53;
}
