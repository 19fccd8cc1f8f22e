/* Unit tests of the search for an answer within the body of another. */
#include "../../src/gentian/http/answer_copy.h"
#include "fixture.h"

static bool
is_found (const char *body, size_t body_length, const char *surplus)
{
  GsAnswerCopyOptions options = { .body = (const uint8_t *)body,
                                  .body_length = body_length,
                                  .surplus = (const uint8_t *)surplus,
                                  .surplus_length = strlen (surplus),
                                  .echo_header = "Attempt",
                                  .echo = "7" };

  return gs_answer_copy_found (&options);
}

/* Guards against a body that is filled up with the head of a second answer, wherever it ends. */
START_TEST (copy_is_found_wherever_the_body_ends)
{
  static const char bytes[] = "abcHTTP/1.1 200 OK\r\nX: 1\r\nattempt:  7\r\n\r\n";

  for (size_t length = strlen ("abcH"); length <= strlen (bytes); length++)
    ck_assert_msg (is_found (bytes, length, bytes + length), "body of %zu bytes", length);
}
END_TEST

/* Guards against whole answers that are refused for what their bodies speak of. */
START_TEST (other_bodies_are_not_taken_for_a_copy)
{
  static const char *const bodies[] = { "",
                                        "7",
                                        "HTTP/1.1 200 OK",
                                        "GET / HTTP/1.1\r\nAttempt: 7\r\n\r\n",
                                        "HTTP/1.1 200 OK\r\nAttempt: 17\r\n",
                                        "HTTP/1.1 200 OK\r\nAttempt: 70\r\n",
                                        "HTTP/1.1 200 OK\r\nX-Attempt: 7\r\n",
                                        "HTTP/1.1 200 OK, and Attempt: 7\r\n",
                                        "Attempt: 7\r\nHTTP/1.1 200 OK\r\n",
                                        "HTTP/1.HTTP/1.HTTP/1.HTTP/1." };

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    ck_assert_msg (!is_found (bodies[i], strlen (bodies[i]), ""), "%s", bodies[i]);
  /* The second answer follows a whole one. */
  ck_assert (!is_found ("whole", 5, "HTTP/1.1 200 OK\r\nAttempt: 7\r\n\r\n"));
}
END_TEST

FIXTURE_MAIN ("answer_copy",
              &copy_is_found_wherever_the_body_ends,
              &other_bodies_are_not_taken_for_a_copy)
