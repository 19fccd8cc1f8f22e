/* Unit tests of log/log. */
#include "fixture.h"

#include <stdio.h>
#include <unistd.h>

#include "../../src/gentian/log/log.h"

/* RETURN VALUE: newly allocated text that is written to standard output when an event with FIELDS
 * is logged. */
static char *
logged (const char *fields)
{
  char text[4096];
  ssize_t length;
  int ends[2];
  int standard_output = dup (STDOUT_FILENO);

  fflush (stdout);
  ck_assert_int_eq (pipe (ends), 0);
  dup2 (ends[1], STDOUT_FILENO);
  gs_log_fields (GS_LOG_EVENT_REGISTRATION_REFUSED, fields);
  dup2 (standard_output, STDOUT_FILENO);
  close (standard_output);
  close (ends[1]);
  length = read (ends[0], text, sizeof text);
  close (ends[0]);
  return g_strndup (text, length > 0 ? (gsize)length : 0);
}

/* A text from outside could forge a line, or hide one on a terminal. */
START_TEST (fields_stay_on_one_line)
{
  g_autofree char *line
      = logged ("a=1\n<131>1 - - - - GS1 - forged\r\tb=2 \033[2K \177 \001 c=\303\244");

  ck_assert (g_str_has_suffix (line, "a=1?<131>1 - - - - GS1 - forged??b=2 ?[2K ? ? c=\303\244\n"));
  ck_assert_ptr_eq (strchr (line, '\n'), line + strlen (line) - 1);
}
END_TEST

START_TEST (long_fields_are_cut)
{
  g_autofree char *fields = g_strnfill (5000, 'x');
  g_autofree char *line = logged (fields);

  ck_assert_uint_lt (strlen (line), 1200);
  ck_assert (g_str_has_suffix (line, "x\n"));
}
END_TEST

FIXTURE_MAIN ("log", &fields_stay_on_one_line, &long_fields_are_cut)
