#include "descriptors.h"

#include <glib.h>
#include <sys/resource.h>

enum
{
  DESCRIPTORS_RESERVED = 384, /* files, the store, the administration API, excess connections */
  DESCRIPTORS_RESERVED_DIVISOR = 2, /* a process with few descriptors reserves this part of them */
  DESCRIPTORS_CALLERS_PERCENT = 36,
  DESCRIPTORS_LOOKUPS_PERCENT = 4,
  DESCRIPTORS_LOOKUPS_MIN = 8,
  DESCRIPTORS_MIN = 64,
  DESCRIPTORS_MAX = 262144, /* a larger limit would only promise memory that nobody has */
};

GsDescriptors
gs_descriptors_divide (uint64_t limit, uint32_t max_callers)
{
  uint32_t total = (uint32_t)CLAMP (limit, DESCRIPTORS_MIN, DESCRIPTORS_MAX);
  uint32_t available = total - MIN (DESCRIPTORS_RESERVED, total / DESCRIPTORS_RESERVED_DIVISOR);
  uint32_t callers = available * DESCRIPTORS_CALLERS_PERCENT / 100;

  if (max_callers != 0)
    callers = MIN (callers, max_callers);
  return (GsDescriptors){ .callers = callers,
                          .upstreams = callers,
                          .lookups = MAX (available * DESCRIPTORS_LOOKUPS_PERCENT / 100,
                                          DESCRIPTORS_LOOKUPS_MIN) };
}

uint64_t
gs_descriptors_limit (void)
{
  struct rlimit limit;

  return getrlimit (RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : DESCRIPTORS_MIN;
}
