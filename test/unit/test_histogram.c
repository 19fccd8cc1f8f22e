/* Unit tests of log/histogram. */
#include "../../src/gentian/log/histogram.h"
#include "fixture.h"

static bool
has_line (const char *text, const char *line)
{
  g_autofree char *pattern = g_strdup_printf ("\n%s\n", line);

  return strstr (text, pattern) != NULL;
}

START_TEST (durations_count_in_their_bucket_and_all_larger_ones)
{
  g_autofree char *text = NULL;

  gs_histogram_record (GS_HISTOGRAM_ATTEMPT, 500);
  gs_histogram_record (GS_HISTOGRAM_ATTEMPT, 501);
  gs_histogram_record (GS_HISTOGRAM_ATTEMPT, 3 * GS_US_PER_S);
  gs_histogram_record (GS_HISTOGRAM_ATTEMPT, 60 * GS_US_PER_S);
  text = gs_histogram_render ();
  ck_assert (has_line (text, "# TYPE gentian_attempt_seconds histogram"));
  ck_assert (has_line (text, "gentian_attempt_seconds_bucket{le=\"0.0005\"} 1"));
  ck_assert (has_line (text, "gentian_attempt_seconds_bucket{le=\"0.001\"} 2"));
  ck_assert (has_line (text, "gentian_attempt_seconds_bucket{le=\"2.048\"} 2"));
  ck_assert (has_line (text, "gentian_attempt_seconds_bucket{le=\"4.096\"} 3"));
  ck_assert (has_line (text, "gentian_attempt_seconds_bucket{le=\"16.384\"} 3"));
  ck_assert (has_line (text, "gentian_attempt_seconds_bucket{le=\"+Inf\"} 4"));
  ck_assert (has_line (text, "gentian_attempt_seconds_count 4"));
  ck_assert (has_line (text, "gentian_attempt_seconds_sum 63.001001"));
}
END_TEST

START_TEST (negative_duration_counts_as_zero)
{
  g_autofree char *text = NULL;

  gs_histogram_record (GS_HISTOGRAM_REQUEST, -5);
  text = gs_histogram_render ();
  ck_assert (has_line (text, "gentian_request_seconds_bucket{le=\"0.0005\"} 1"));
  ck_assert (has_line (text, "gentian_request_seconds_sum 0.000000"));
}
END_TEST

FIXTURE_MAIN ("histogram",
              &durations_count_in_their_bucket_and_all_larger_ones,
              &negative_duration_counts_as_zero)
