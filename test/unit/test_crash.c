/* Unit tests of core/crash. */
#include "../../src/gentian/core/crash.h"
#include "fixture.h"

START_TEST (two_crashes_refuse)
{
  GsCrashTracker *crashes = gs_crash_tracker_new (NULL);

  ck_assert (gs_crash_tracker_add_suspect (crashes, 1, 100, 5));
  ck_assert (!gs_crash_tracker_add_suspect (crashes, 1, 100, 5));
  ck_assert (!gs_crash_tracker_must_refuse (crashes, 1, 6));
  ck_assert (gs_crash_tracker_add_suspect (crashes, 1, 101, 7));
  ck_assert (gs_crash_tracker_must_refuse (crashes, 1, 8));
  ck_assert (!gs_crash_tracker_must_refuse (crashes, 2, 8));
  gs_crash_tracker_free (crashes);
}
END_TEST

START_TEST (an_answer_clears)
{
  GsCrashTracker *crashes = gs_crash_tracker_new (NULL);

  gs_crash_tracker_add_suspect (crashes, 1, 100, 5);
  ck_assert (gs_crash_tracker_clear_suspect (crashes, 1));
  gs_crash_tracker_add_suspect (crashes, 1, 101, 7);
  ck_assert (!gs_crash_tracker_must_refuse (crashes, 1, 8));
  gs_crash_tracker_free (crashes);
}
END_TEST

START_TEST (memory_is_bounded_and_fades)
{
  GsCrashTracker *crashes = gs_crash_tracker_new (NULL);

  for (uint64_t i = 1; i <= 2 * GS_CRASH_SUSPECTS_MAX; i++)
    gs_crash_tracker_add_suspect (crashes, i, i, (int64_t)i);
  ck_assert_uint_eq (gs_crash_tracker_count (crashes, 1, 2000), 0);
  ck_assert_uint_eq (gs_crash_tracker_count (crashes, 2 * GS_CRASH_SUSPECTS_MAX, 2000), 1);
  ck_assert_uint_eq (
      gs_crash_tracker_count (crashes, 2 * GS_CRASH_SUSPECTS_MAX, 2 * GS_CRASH_RETENTION_US), 0);
  gs_crash_tracker_free (crashes);
}
END_TEST

FIXTURE_MAIN ("crash", &two_crashes_refuse, &an_answer_clears, &memory_is_bounded_and_fades)
