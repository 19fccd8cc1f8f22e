#include "work_class.h"

#include <string.h>

enum
{
  WORK_CLASS_SEGMENT_MAX = 24,
};

static bool
is_identifier (const char *segment, size_t length)
{
  size_t digits = 0;

  for (size_t i = 0; i < length; i++)
    digits += segment[i] >= '0' && segment[i] <= '9' ? 1 : 0;
  return length > WORK_CLASS_SEGMENT_MAX || (length > 0 && 2 * digits >= length);
}

uint64_t
gs_work_class (const char *method, const char *path, const char *prefix)
{
  size_t skipped = strlen (prefix);
  const char *segment = strncmp (path, prefix, skipped) == 0 ? path + skipped : path;
  size_t length;
  uint64_t hash;

  segment += strspn (segment, "/");
  length = strcspn (segment, "/?#");
  if (is_identifier (segment, length))
    {
      segment = "*";
      length = 1;
    }
  hash = gs_hash_bytes (segment, length, method != NULL ? gs_hash_name (method) : 0);
  return hash != 0 ? hash : 1;
}
