/* Unit tests of http/retry_after. */
#include "fixture.h"

#include "../../src/gentian/http/retry_after.h"

/* 2026-12-05 06:00:00 GMT */
static const int64_t NOW_MS = INT64_C (1796450400000);

static uint32_t
parse (const char *text)
{
  return gs_retry_after_parse_ms (text, NOW_MS);
}

START_TEST (seconds_may_have_a_fraction)
{
  ck_assert_uint_eq (parse ("2"), 2000);
  ck_assert_uint_eq (parse ("0.25"), 250);
  ck_assert_uint_eq (parse (" 1.5 "), 1500);
  ck_assert_uint_eq (parse ("0.0001"), 1); /* rounded up */
}
END_TEST

START_TEST (date_is_relative_to_now)
{
  ck_assert_uint_eq (parse ("Sat, 05 Dec 2026 06:00:07 GMT"), 7000);
  ck_assert_uint_eq (parse ("Saturday, 05-Dec-26 06:00:07 GMT"), 7000);
  ck_assert_uint_eq (parse ("Sat Dec  5 06:00:07 2026"), 7000);
  ck_assert_uint_eq (parse ("Sat, 05 Dec 2026 05:59:59 GMT"), 0);
}
END_TEST

START_TEST (values_that_state_no_delay_are_ignored)
{
  static const char *const texts[]
      = { NULL, "",      "0",    "-1",   "+1",  "1e3", "1,5", ".5",
          "5.", "1.2.3", "soon", "0x10", "nan", "inf", "1 s", "Sat, 05 Dec 2026" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    ck_assert_msg (parse (texts[i]) == 0, "%s", texts[i] != NULL ? texts[i] : "(null)");
}
END_TEST

/* Guards against an upstream that is never used again after an absurd value. */
START_TEST (delay_has_an_upper_bound)
{
  ck_assert_uint_eq (parse ("60"), GS_QUIET_MAX_MS);
  ck_assert_uint_eq (parse ("86400"), GS_QUIET_MAX_MS);
  ck_assert_uint_eq (parse ("99999999999999999999999999999999"), GS_QUIET_MAX_MS);
  ck_assert_uint_eq (parse ("Sat, 05 Dec 2099 06:00:07 GMT"), GS_QUIET_MAX_MS);
}
END_TEST

FIXTURE_MAIN ("retry_after",
              &seconds_may_have_a_fraction,
              &date_is_relative_to_now,
              &values_that_state_no_delay_are_ignored,
              &delay_has_an_upper_bound)
