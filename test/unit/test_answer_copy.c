/* Unit tests of the search for an answer within the body of another. */
#include "../../src/gentian/http/answer_copy.h"
#include "fixture.h"

/* Feeds the body in two parts, the first of SPLIT bytes. */
static bool
is_found_in_parts (const char *body, size_t length, size_t split, const char *surplus)
{
  GsAnswerCopy *copy = gs_answer_copy_new ("Attempt", "7");
  bool found = gs_answer_copy_feed (copy, (const uint8_t *)body, split)
               || gs_answer_copy_feed (copy, (const uint8_t *)body + split, length - split)
               || gs_answer_copy_end (copy, (const uint8_t *)surplus, strlen (surplus));

  gs_answer_copy_free (copy);
  return found;
}

/* RETURN VALUE: whether a copy is found, which must not depend on how the body is split. */
static bool
is_found (const char *body, size_t length, const char *surplus)
{
  bool found = is_found_in_parts (body, length, length, surplus);

  for (size_t split = 0; split < length; split++)
    ck_assert_int_eq (is_found_in_parts (body, length, split, surplus), found);
  return found;
}

/* Guards against memory, or time, that grows with the bytes before and within a copy. */
START_TEST (copy_is_found_after_and_across_many_bytes)
{
  static const char status[] = "HTTP/1.1 200 OK\r\nX: ";
  static const char name[] = "\r\nAttempt: 7\r\n";
  g_autofree char *block = g_strnfill (50000, 'H');
  GsAnswerCopy *copy = gs_answer_copy_new ("Attempt", "7");

  for (int i = 0; i < 100; i++)
    ck_assert (!gs_answer_copy_feed (copy, (const uint8_t *)block, strlen (block)));
  for (size_t i = 0; i < strlen (status); i++)
    ck_assert (!gs_answer_copy_feed (copy, (const uint8_t *)status + i, 1));
  ck_assert (!gs_answer_copy_feed (copy, (const uint8_t *)block, strlen (block)));
  for (size_t i = 0; i + 2 < strlen (name); i++)
    ck_assert (!gs_answer_copy_feed (copy, (const uint8_t *)name + i, 1));
  ck_assert (gs_answer_copy_feed (copy, (const uint8_t *)"\r", 1));
  gs_answer_copy_free (copy);
}
END_TEST

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
              &copy_is_found_after_and_across_many_bytes,
              &copy_is_found_wherever_the_body_ends,
              &other_bodies_are_not_taken_for_a_copy)
