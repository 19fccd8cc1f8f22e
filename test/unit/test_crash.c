/* Unit tests of core/crash. */
#include "../../src/gentian/core/crash.h"
#include "fixture.h"

START_TEST (request_is_refused_after_two_crashes)
{
  GsCrashTracker *tracker = gs_crash_tracker_new (NULL);

  ck_assert (gs_crash_tracker_add_suspect (tracker, 1, 100, 5));
  ck_assert (!gs_crash_tracker_add_suspect (tracker, 1, 100, 5));
  ck_assert (!gs_crash_tracker_must_refuse (tracker, 1, 6));
  ck_assert (gs_crash_tracker_add_suspect (tracker, 1, 101, 7));
  ck_assert (gs_crash_tracker_must_refuse (tracker, 1, 8));
  ck_assert (!gs_crash_tracker_must_refuse (tracker, 2, 8));
  gs_crash_tracker_free (tracker);
}
END_TEST

START_TEST (answer_clears_the_suspect)
{
  GsCrashTracker *tracker = gs_crash_tracker_new (NULL);

  gs_crash_tracker_add_suspect (tracker, 1, 100, 5);
  ck_assert (gs_crash_tracker_clear_suspect (tracker, 1));
  gs_crash_tracker_add_suspect (tracker, 1, 101, 7);
  ck_assert (!gs_crash_tracker_must_refuse (tracker, 1, 8));
  gs_crash_tracker_free (tracker);
}
END_TEST

START_TEST (suspects_are_bounded_and_expire)
{
  GsCrashTracker *tracker = gs_crash_tracker_new (NULL);

  for (uint64_t i = 1; i <= 2 * GS_CRASH_SUSPECTS_MAX; i++)
    gs_crash_tracker_add_suspect (tracker, i, i, (int64_t)i);
  ck_assert_uint_eq (gs_crash_tracker_count (tracker, 1, 2000), 0);
  ck_assert_uint_eq (gs_crash_tracker_count (tracker, 2 * GS_CRASH_SUSPECTS_MAX, 2000), 1);
  ck_assert_uint_eq (
      gs_crash_tracker_count (tracker, 2 * GS_CRASH_SUSPECTS_MAX, 2 * GS_CRASH_RETENTION_US), 0);
  gs_crash_tracker_free (tracker);
}
END_TEST

FIXTURE_MAIN ("crash",
              &request_is_refused_after_two_crashes,
              &answer_clears_the_suspect,
              &suspects_are_bounded_and_expire)
