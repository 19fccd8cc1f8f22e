#include "retry_after.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <time.h>

#include "../core/base.h"

/* Whether TEXT is digits, optionally followed by a point and more digits. */
static bool
is_decimal (const char *text)
{
  size_t whole = strspn (text, "0123456789");
  size_t fraction = text[whole] == '.' ? strspn (text + whole + 1, "0123456789") : 0;

  if (whole == 0 || (text[whole] == '.' && fraction == 0))
    return false;
  return text[whole + (fraction > 0 ? fraction + 1 : 0)] == '\0';
}

/* RETURN VALUE: the date in milliseconds since 1970, or -1 when TEXT is none. */
static int64_t
parse_date_ms (const char *text)
{
  static const char *const formats[]
      = { "%a, %d %b %Y %H:%M:%S GMT", "%A, %d-%b-%y %H:%M:%S GMT", "%a %b %e %H:%M:%S %Y" };

  for (size_t i = 0; i < G_N_ELEMENTS (formats); i++)
    {
      struct tm date = { 0 };
      const char *end = strptime (text, formats[i], &date);
      if (end != NULL && *end == '\0')
        return (int64_t)timegm (&date) * 1000;
    }
  return -1;
}

uint32_t
gs_retry_after_parse_ms (const char *text, int64_t now_ms)
{
  g_autofree char *trimmed = g_strstrip (g_strdup (text != NULL ? text : ""));
  double delay_ms = 0;

  if (is_decimal (trimmed))
    delay_ms = ceil (g_ascii_strtod (trimmed, NULL) * 1000);
  else
    delay_ms = (double)(parse_date_ms (trimmed) - now_ms);
  return (uint32_t)CLAMP (delay_ms, 0, (double)GS_QUIET_MAX_MS);
}
