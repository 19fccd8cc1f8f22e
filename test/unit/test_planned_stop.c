/* Unit tests of planned stops: an entry with its engine that is told to stop. */
#include "../../src/gentian/http/planned_stop.h"
#include "entry_fixture.h"

enum
{
  IDLE_STOP_US = 1100 * 1000, /* longer than a stop without requests takes */
};

/* Stops an entry to which TEXT is sent on an open connection in the round of the loop in which the
 * stop ends, because no request was expected any more. */
static void
check_refused_at_the_end (const char *text)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_ONCE, NULL);
  GsPlannedStop *stop = gs_planned_stop_new (fixture->engine, fixture->entry);
  char answer[ANSWER_BYTES_MAX];
  int caller = connect_caller (fixture);

  fixture->settings.stop_limit_s = 600;
  gs_planned_stop_begin (stop);
  g_usleep (IDLE_STOP_US);
  send_text (caller, text);
  ck_assert_uint_eq (gs_planned_stop_run (stop), 0);
  read_answer (caller, answer);
  ck_assert_ptr_nonnull (strstr (answer, "HTTP/1.1 503 "));
  ck_assert_ptr_nonnull (strstr (answer, "Gentian-Verdict: not-run\r\n"));
  ck_assert_ptr_nonnull (strstr (answer, "Connection: close\r\n"));
  ck_assert_uint_eq (gs_entry_in_flight (fixture->entry), 0);
  close (caller);
  gs_planned_stop_free (stop);
  entry_fixture_free (fixture);
}

/* Guards against a closed connection in the place of an answer. */
START_TEST (request_that_comes_as_the_stop_ends_is_refused)
{
  check_refused_at_the_end ("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
}
END_TEST

/* Guards against the same for one of which only a part has come, and against a stop that waits for
 * the rest. */
START_TEST (part_of_a_request_that_comes_as_the_stop_ends_is_refused)
{
  check_refused_at_the_end ("POST /x HTTP/1.1\r\nHost: h\r\n");
}
END_TEST

FIXTURE_MAIN ("planned_stop",
              &request_that_comes_as_the_stop_ends_is_refused,
              &part_of_a_request_that_comes_as_the_stop_ends_is_refused)
