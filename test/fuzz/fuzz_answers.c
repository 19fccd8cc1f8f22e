/* Fuzzes the parser of answers: the result does not depend on how the bytes are split, and bytes
 * after an answer have no influence on it. The first byte of the input chooses the request's method
 * and the start of the answer, the second one the split; of the others, those from 0x80 on stand
 * for a fragment each. */
#include "../unit/answer_reading.h"

#define FIRST_FRAGMENT 0x80

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Random bytes alone hardly ever make a complete head. */
static const char *const starts[] = {
  "",
  "HTTP/1.1 ",
  "HTTP/1.0 ",
  "HTTP/1.1 200 OK\r\n",
  "HTTP/1.0 200 OK\r\n",
  "HTTP/1.1 103\r\n",
  "HTTP/1.1 204\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length:",
  "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding:",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
  "HTTP/1.1 200 OK\r\nConnection:",
};

static const char *const fragments[] = {
  "\r\n",
  "\r\n\r\n",
  "HTTP/1.1 200 OK\r\n",
  "HTTP/1.1 100\r\n\r\n",
  "101",
  "204",
  "304",
  "A: b\r\n",
  "Content-Length: 5\r\n",
  "Transfer-Encoding: chunked\r\n",
  "chunked",
  "Connection: close\r\n",
  "keep-alive",
  "5\r\nhello\r\n",
  "2;a=b\r\n",
  "0\r\n",
  "0\r\n\r\n",
  "000000000000000",
  ": ",
  "\xff",
};

static GString *
expand (const uint8_t *data, size_t size, const char *start)
{
  GString *bytes = g_string_new (start);

  for (size_t i = 0; i < size; i++)
    if (data[i] >= FIRST_FRAGMENT)
      g_string_append (bytes, fragments[data[i] % G_N_ELEMENTS (fragments)]);
    else
      g_string_append_c (bytes, (char)data[i]);
  return bytes;
}

static void
check_same (const char *what, const Reading *a, const Reading *b)
{
  const char *difference = reading_difference (a, b);

  if (difference != NULL)
    g_error ("%s gives another %s", what, difference);
}

static void
check_consistent (const Reading *reading, size_t length)
{
  const char *inconsistency = reading_inconsistency (reading, length);

  if (inconsistency != NULL)
    g_error ("%s", inconsistency);
}

/* Checks that the bytes consumed give the same result without those that follow, and that with one
 * byte less the answer has not ended. */
static void
check_end (bool head_request, const GString *bytes, const Reading *whole)
{
  Reading exact;
  Reading truncated;

  if (reading_state (whole) != GS_ANSWER_COMPLETE)
    return;
  exact = reading_whole (head_request, bytes->str, whole->consumed);
  truncated = reading_whole (head_request, bytes->str, whole->consumed - 1);
  check_same ("what follows", whole, &exact);
  if (reading_is_ended (&truncated))
    g_error ("the answer has ended one byte before its end");
  gs_answer_parser_end (truncated.parser);
  if (reading_state (&truncated) != GS_ANSWER_INCOMPLETE)
    g_error ("a truncated answer is not incomplete");
  reading_free (&exact);
  reading_free (&truncated);
}

static void
check_answer (bool head_request, const GString *bytes, size_t split)
{
  Reading whole = reading_whole (head_request, bytes->str, bytes->len);
  Reading in_two = reading_in_two (head_request, bytes->str, bytes->len, split);
  Reading bytewise = reading_bytewise (head_request, bytes->str, bytes->len);

  check_consistent (&whole, bytes->len);
  check_same ("a split", &whole, &in_two);
  check_same ("every split", &whole, &bytewise);
  check_end (head_request, bytes, &whole);
  gs_answer_parser_end (whole.parser);
  gs_answer_parser_end (bytewise.parser);
  check_consistent (&whole, bytes->len);
  check_same ("every split before the end", &whole, &bytewise);
  if (!reading_is_ended (&whole))
    g_error ("an answer has not ended with its connection");
  reading_free (&whole);
  reading_free (&in_two);
  reading_free (&bytewise);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GString *bytes;

  if (size < 2)
    return 0;
  bytes = expand (&data[2], size - 2, starts[data[0] / 2 % G_N_ELEMENTS (starts)]);
  check_answer (data[0] % 2 == 1, bytes, data[1] % (bytes->len + 1));
  g_string_free (bytes, TRUE);
  return 0;
}
