/*
 * Unit tests of http/exchange and http/client: which answers are complete, and which connections
 * are used again.
 */
#include <linux/sockios.h>

#include "loopback.h"

/** A header other than those that an exchange reads itself. */
#define STAMP_HEADER "Stamp"

#define CONTENT "hello, world"

/** Counts cases, and describes the first wrong one. */
typedef struct
{
  uint32_t tried;
  uint32_t wrong;
  char first[512];
  GHashTable *played; /* beginnings of heads, which many answers share */
} Tally;

/** An answer as it is sent. */
typedef struct
{
  const char *name;
  const char *method;
  GString *wire;
  size_t head_length; /* bytes up to the end of the last head */
  const char *content;
  int64_t stated_length; /* value of gs_exchange_length */
  long status;
  bool is_chunked;
  bool ends_with_connection;
} Answer;

static const char *
state_name (GsExchangeState state)
{
  static const char *const names[] = { "RUNNING", "COMPLETE", "STREAMING", "FAILED" };

  return names[state];
}

static void G_GNUC_PRINTF (3, 4) tally_check (Tally *tally, bool right, const char *format, ...)
{
  va_list arguments;

  tally->tried++;
  if (right)
    return;
  tally->wrong++;
  if (tally->wrong > 1)
    return;
  va_start (arguments, format);
  g_vsnprintf (tally->first, sizeof tally->first, format, arguments);
  va_end (arguments);
}

static void
tally_state (Tally *tally,
             const Loopback *loopback,
             const Play *play,
             const char *name,
             GsExchangeState state,
             bool right)
{
  size_t shown = MIN (play->length, 20);
  g_autofree char *tail = g_strndup (play->bytes + play->length - shown, shown);
  g_autofree char *escaped = g_strescape (tail, NULL);

  tally_check (tally, right,
               "%s, %s mode, %s connection, %s after %zu bytes (split at %zu) that end in \"%s\": "
               "state %s",
               name, mode_names[loopback->mode], play->kept ? "kept" : "new",
               ending_names[play->ending], play->length, play->split, escaped, state_name (state));
}

static void
tally_assert (Tally *tally, const char *what)
{
  g_clear_pointer (&tally->played, g_hash_table_unref);
  ck_assert_msg (tally->wrong == 0, "%s: found %u of %u, expected 0; first: %s", what, tally->wrong,
                 tally->tried, tally->first);
  ck_assert_uint_gt (tally->tried, 0);
}

/** A form of answers: how its end is stated. */
typedef struct
{
  const char *name;
  const char *method;
  const char *status; /* NULL: any */
  const char *framing;
  const char *body; /* as it is sent */
  const char *content;
  int64_t stated_length;
  bool ends_with_connection;
} Form;

static const Form forms[] = {
  { "length", "GET", NULL, "Content-Length: 12\r\n", CONTENT, CONTENT, 12, false },
  { "chunked", "GET", NULL, "Transfer-Encoding: chunked\r\n",
    "7\r\nhello, \r\n5\r\nworld\r\n0\r\n\r\n", CONTENT, -1, false },
  { "chunked with trailers", "GET", NULL, "Transfer-Encoding: chunked\r\n",
    "7\r\nhello, \r\n5\r\nworld\r\n0\r\nX-A: 1\r\nX-B: 2\r\n\r\n", CONTENT, -1, false },
  { "until close", "GET", NULL, "X-A: 1\r\n", CONTENT, CONTENT, -1, true },
  { "204", "GET", "204 No Content", "X-A: 1\r\n", "", "", -1, false },
  { "304", "GET", "304 Not Modified", "Content-Length: 12\r\n", "", "", 12, false },
  { "length 0", "GET", NULL, "Content-Length: 0\r\n", "", "", 0, false },
  { "HEAD with a length", "HEAD", NULL, "Content-Length: 12\r\n", "", "", 12, false },
};

static const char *const statuses[] = { "200 OK", "503 Busy" };

static const char *const interims[]
    = { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" };

/** Which lines follow each other in an answer's head. */
typedef enum
{
  ORDER_FRAMING_LAST = 0, /* the stamp, then what states the length */
  ORDER_FRAMING_FIRST,
  N_ORDERS,
} Order;

static Answer *
answer_new (const Form *form, const char *status, const char *interim, Order order)
{
  static const char names[] = ECHO_HEADER ": " OWN_ECHO "\r\n" STAMP_HEADER ": 1\r\n";
  Answer *answer = g_new0 (Answer, 1);

  status = form->status != NULL ? form->status : status;
  answer->name = form->name;
  answer->method = form->method;
  answer->content = form->content;
  answer->stated_length = form->stated_length;
  answer->status = strtol (status, NULL, 10);
  answer->is_chunked = strstr (form->framing, "chunked") != NULL;
  answer->ends_with_connection = form->ends_with_connection;
  answer->wire = g_string_new (interim);
  g_string_append_printf (answer->wire, "HTTP/1.1 %s\r\n%s%s\r\n", status,
                          order == ORDER_FRAMING_LAST ? names : form->framing,
                          order == ORDER_FRAMING_LAST ? form->framing : names);
  answer->head_length = answer->wire->len;
  g_string_append (answer->wire, form->body);
  return answer;
}

static void
answer_free (Answer *answer)
{
  g_string_free (answer->wire, TRUE);
  g_free (answer);
}

/* RETURN VALUE: whether the exchange holds the content of ANSWER, with its status and length. */
static bool
call_has_answer (const Call *call, const Answer *answer)
{
  size_t length;
  const void *body = gs_exchange_body (call->exchange, &length);

  return gs_exchange_status (call->exchange) == answer->status && length == strlen (answer->content)
         && (length == 0 || memcmp (body, answer->content, length) == 0)
         && gs_exchange_length (call->exchange) == answer->stated_length;
}

typedef void (*AnswerVisitor) (Loopback *loopback, const Answer *answer, Tally *tally);

static void
visit_answer (Loopback *loopback, Answer *answer, AnswerVisitor visit, Tally *tally)
{
  visit (loopback, answer, tally);
  answer_free (answer);
}

/* Calls VISIT with the answers of FORM: each status in each order, and each interim answer. */
static void
visit_form (Loopback *loopback, const Form *form, AnswerVisitor visit, Tally *tally)
{
  size_t n_statuses = form->status != NULL ? 1 : G_N_ELEMENTS (statuses);

  for (size_t status = 0; status < n_statuses; status++)
    for (Order order = 0; order < N_ORDERS; order++)
      visit_answer (loopback, answer_new (form, statuses[status], "", order), visit, tally);
  for (size_t interim = 0; interim < G_N_ELEMENTS (interims); interim++)
    visit_answer (loopback, answer_new (form, statuses[0], interims[interim], ORDER_FRAMING_LAST),
                  visit, tally);
}

/* Calls VISIT with the answers of each form, in both modes. */
static void
visit_answers (AnswerVisitor visit, Tally *tally)
{
  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Loopback *loopback = loopback_new (mode);

      for (size_t form = 0; form < G_N_ELEMENTS (forms); form++)
        visit_form (loopback, &forms[form], visit, tally);
      loopback_free (loopback);
    }
}

static void
play_whole_answer (Loopback *loopback, const Answer *answer, Tally *tally)
{
  bool complete = !answer->ends_with_connection || loopback->mode == MODE_PLATFORM;

  for (size_t split = 0; split < answer->wire->len; split++)
    {
      Play play = { .method = answer->method,
                    .bytes = answer->wire->str,
                    .length = answer->wire->len,
                    .split = split,
                    .ending = answer->ends_with_connection ? ENDING_FIN : ENDING_OPEN };
      Call call;
      GsExchangeState state = loopback_play (loopback, &call, &play);

      tally_state (tally, loopback, &play, answer->name, state,
                   complete ? state == GS_EXCHANGE_COMPLETE && call_has_answer (&call, answer)
                            : state == GS_EXCHANGE_FAILED);
      call_end (&call);
    }
}

/* Guards against a valid answer that is lost because it arrives in two parts. */
START_TEST (whole_answer_in_two_parts_is_complete)
{
  Tally tally = { 0 };

  visit_answers (play_whole_answer, &tally);
  tally_assert (&tally, "whole answers that are not complete");
}
END_TEST

/* Whether the first LENGTH bytes of ANSWER, followed by ENDING, are a complete answer. */
static bool
is_whole (const Loopback *loopback, const Answer *answer, size_t length, Ending ending)
{
  if (answer->ends_with_connection)
    return loopback->mode == MODE_PLATFORM && length >= answer->head_length
           && (ending == ENDING_FIN || ending == ENDING_FIN_AT_ONCE);
  return length == answer->wire->len;
}

/* RETURN VALUE: whether PLAY has the same bytes as one before it, in the same mode. */
static bool
is_played (Tally *tally, Mode mode, const Play *play)
{
  if (tally->played == NULL)
    tally->played = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return !g_hash_table_add (tally->played,
                            g_strdup_printf ("%d %d %d %s %.*s", mode, play->ending, play->kept,
                                             play->method, (int)play->length, play->bytes));
}

static void
play_prefix (Loopback *loopback, const Answer *answer, const Play *play, Tally *tally)
{
  bool whole = is_whole (loopback, answer, play->length, play->ending);
  Call call;
  GsExchangeState state = loopback_play (loopback, &call, play);
  bool complete = state == GS_EXCHANGE_COMPLETE;

  /* A reset may overtake the end of a whole answer. */
  tally_state (tally, loopback, play, answer->name, state,
               complete == whole || (!complete && play->ending == ENDING_RESET_AT_ONCE));
  call_end (&call);
  loopback_close_connections (loopback);
}

/* Plays the prefixes of ANSWER that end within its head, on new connections and those that do not
 * end at once on kept ones too. */
static void
play_heads (Loopback *loopback, const Answer *answer, Ending ending, Tally *tally)
{
  bool at_once = ending == ENDING_FIN_AT_ONCE || ending == ENDING_RESET_AT_ONCE;

  for (size_t length = 0; length < answer->head_length; length++)
    for (int kept = 0; kept < (at_once ? 1 : 2); kept++)
      {
        Play play = { .method = answer->method,
                      .bytes = answer->wire->str,
                      .length = length,
                      .kept = kept != 0,
                      .ending = ending };

        if (!is_played (tally, loopback->mode, &play))
          play_prefix (loopback, answer, &play, tally);
      }
}

/* Plays the prefixes of ANSWER that end after its head, and the whole of it. */
static void
play_bodies (Loopback *loopback, const Answer *answer, Ending ending, Tally *tally)
{
  for (size_t length = answer->head_length; length <= answer->wire->len; length++)
    for (int kept = 0; kept < 2; kept++)
      {
        Play play = { .method = answer->method,
                      .bytes = answer->wire->str,
                      .length = length,
                      .kept = kept != 0,
                      .ending = ending };

        play_prefix (loopback, answer, &play, tally);
      }
}

static void
cut_head_by_fin (Loopback *loopback, const Answer *answer, Tally *tally)
{
  play_heads (loopback, answer, ENDING_FIN, tally);
  play_heads (loopback, answer, ENDING_FIN_AT_ONCE, tally);
}

static void
cut_head_by_reset (Loopback *loopback, const Answer *answer, Tally *tally)
{
  play_heads (loopback, answer, ENDING_RESET, tally);
  play_heads (loopback, answer, ENDING_RESET_AT_ONCE, tally);
}

static void
cut_body_by_fin (Loopback *loopback, const Answer *answer, Tally *tally)
{
  if (answer->is_chunked)
    return;
  play_bodies (loopback, answer, ENDING_FIN, tally);
  play_bodies (loopback, answer, ENDING_FIN_AT_ONCE, tally);
}

static void
cut_chunks_by_fin (Loopback *loopback, const Answer *answer, Tally *tally)
{
  if (!answer->is_chunked)
    return;
  play_bodies (loopback, answer, ENDING_FIN, tally);
  play_bodies (loopback, answer, ENDING_FIN_AT_ONCE, tally);
}

static void
cut_body_by_reset (Loopback *loopback, const Answer *answer, Tally *tally)
{
  play_bodies (loopback, answer, ENDING_RESET, tally);
  play_bodies (loopback, answer, ENDING_RESET_AT_ONCE, tally);
}

/* Guards against an empty answer with a status that callers trust, when an upstream closes in the
 * middle of its answer's head. */
START_TEST (answer_that_ends_in_its_head_is_not_complete)
{
  Tally tally = { 0 };

  visit_answers (cut_head_by_fin, &tally);
  tally_assert (&tally, "heads cut short taken as complete");
}
END_TEST

/* Guards against the same when the upstream resets the connection. */
START_TEST (answer_that_is_reset_in_its_head_is_not_complete)
{
  Tally tally = { 0 };

  visit_answers (cut_head_by_reset, &tally);
  tally_assert (&tally, "heads cut short taken as complete");
}
END_TEST

/* Guards against a part of a body that is passed on as a whole one. */
START_TEST (answer_that_ends_in_its_body_is_not_complete)
{
  Tally tally = { 0 };

  visit_answers (cut_body_by_fin, &tally);
  tally_assert (&tally, "bodies judged wrongly");
}
END_TEST

/* Guards against a chunked answer that is taken as whole although its last line is missing. */
START_TEST (chunked_answer_that_ends_before_its_last_line_is_not_complete)
{
  Tally tally = { 0 };

  visit_answers (cut_chunks_by_fin, &tally);
  tally_assert (&tally, "chunked bodies judged wrongly");
}
END_TEST

/* Guards against the same when the upstream resets the connection, which never ends a body. */
START_TEST (answer_that_is_reset_in_its_body_is_not_complete)
{
  Tally tally = { 0 };

  visit_answers (cut_body_by_reset, &tally);
  tally_assert (&tally, "bodies judged wrongly");
}
END_TEST

#define WIRE(text) text, sizeof (text) - 1
#define HEAD(status_line, lines) status_line "\r\n" ECHO_HEADER ": " OWN_ECHO "\r\n" lines "\r\n"
#define OK_HEAD(lines) HEAD ("HTTP/1.1 200 OK", lines)
#define LENGTH(value) "Content-Length: " value "\r\n"
#define CODING(value) "Transfer-Encoding: " value "\r\n"
#define CHUNKS "5\r\nhello\r\n0\r\n\r\n"

/** A valid answer of an uncommon form. */
typedef struct
{
  const char *name;
  const char *method;
  long status;
  const char *content;
  int64_t stated_length;
  const char *bytes;
  size_t length;
} Uncommon;

static const Uncommon uncommon_answers[] = {
  { "upper case", "GET", 200, "hello", 5, WIRE (OK_HEAD ("CONTENT-LENGTH: 5\r\n") "hello") },
  { "lower case", "GET", 200, "hello", 5, WIRE (OK_HEAD ("content-length: 5\r\n") "hello") },
  { "no space", "GET", 200, "hello", 5, WIRE (OK_HEAD ("Content-Length:5\r\n") "hello") },
  { "spaces", "GET", 200, "hello", 5, WIRE (OK_HEAD ("Content-Length: \t5 \t\r\n") "hello") },
  { "zeros", "GET", 200, "hello", 5, WIRE (OK_HEAD (LENGTH ("0005")) "hello") },
  { "no reason", "GET", 200, "hello", 5, WIRE (HEAD ("HTTP/1.1 200 ", LENGTH ("5")) "hello") },
  { "empty value", "GET", 200, "hello", 5, WIRE (OK_HEAD ("X-A:\r\n" LENGTH ("5")) "hello") },
  { "bytes above 127 in a value", "GET", 200, "hello", 5,
    WIRE (OK_HEAD ("X-A: \303\251\r\n" LENGTH ("5")) "hello") },
  { "HTTP/1.0", "GET", 200, "hello", 5, WIRE (HEAD ("HTTP/1.0 200 OK", LENGTH ("5")) "hello") },
  { "body like a head", "GET", 200, "HTTP/1.1 500 X\r\n\r\n", 18,
    WIRE (OK_HEAD (LENGTH ("18")) "HTTP/1.1 500 X\r\n\r\n") },
  { "coding in capitals", "GET", 200, "hello", -1, WIRE (OK_HEAD (CODING ("Chunked")) CHUNKS) },
  { "chunk size with zeros", "GET", 200, "hello", -1,
    WIRE (OK_HEAD (CODING ("chunked")) "0005\r\nhello\r\n000\r\n\r\n") },
  { "chunk sizes in both cases", "GET", 200, CONTENT CONTENT, -1,
    WIRE (OK_HEAD (CODING ("chunked")) "C\r\n" CONTENT "\r\nc\r\n" CONTENT "\r\n0\r\n\r\n") },
  { "chunk extensions", "GET", 200, "hello", -1,
    WIRE (OK_HEAD (CODING ("chunked")) "5;a=b;c=\"d\"\r\nhello\r\n0;e\r\n\r\n") },
  { "chunk like a last chunk", "GET", 200, "0\r\n\r\n", -1,
    WIRE (OK_HEAD (CODING ("chunked")) "5\r\n0\r\n\r\n\r\n0\r\n\r\n") },
  { "three interim answers", "GET", 200, "hello", 5,
    WIRE ("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
          "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n" OK_HEAD (LENGTH ("5")) "hello") },
  { "HEAD with chunked", "HEAD", 200, "", -1, WIRE (OK_HEAD (CODING ("chunked"))) },
  { "HEAD without a length", "HEAD", 200, "", -1, WIRE (OK_HEAD ("X-A: 1\r\n")) },
  { "304 without a length", "GET", 304, "", -1, WIRE (HEAD ("HTTP/1.1 304 Not Modified", "")) },
};

static void
play_uncommon (Loopback *loopback, const Uncommon *uncommon, Tally *tally)
{
  Answer answer = { .status = uncommon->status,
                    .content = uncommon->content,
                    .stated_length = uncommon->stated_length };

  for (size_t split = 0; split < uncommon->length; split++)
    for (int kept = 0; kept < 2; kept++)
      {
        Play play = { .method = uncommon->method,
                      .bytes = uncommon->bytes,
                      .length = uncommon->length,
                      .split = split,
                      .kept = kept != 0,
                      .ending = ENDING_OPEN };
        Call call;
        GsExchangeState state = loopback_play (loopback, &call, &play);

        tally_state (tally, loopback, &play, uncommon->name, state,
                     state == GS_EXCHANGE_COMPLETE && call_has_answer (&call, &answer));
        call_end (&call);
        loopback_close_connections (loopback);
      }
}

/* Guards against strictness that refuses what servers may send. */
START_TEST (valid_answer_of_an_uncommon_form_is_complete)
{
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Loopback *loopback = loopback_new (mode);

      for (size_t i = 0; i < G_N_ELEMENTS (uncommon_answers); i++)
        play_uncommon (loopback, &uncommon_answers[i], &tally);
      loopback_free (loopback);
    }
  tally_assert (&tally, "valid answers that are not complete");
}
END_TEST

/** An answer whose end or meaning is in doubt. */
typedef struct
{
  const char *name;
  const char *bytes;
  size_t length;
} Malformed;

/* Checks that none of the COUNT answers is complete, in any way to send it. */
static void
check_malformed (const Malformed *answers, size_t count, Tally *tally)
{
  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Loopback *loopback = loopback_new (mode);

      for (size_t i = 0; i < count; i++)
        for (int kept = 0; kept < 2; kept++)
          for (Ending ending = 0; ending < N_ENDINGS; ending++)
            {
              Play play = { .method = "GET",
                            .bytes = answers[i].bytes,
                            .length = answers[i].length,
                            .kept = kept != 0,
                            .ending = ending };
              Call call;
              GsExchangeState state = loopback_play (loopback, &call, &play);

              tally_state (tally, loopback, &play, answers[i].name, state,
                           state != GS_EXCHANGE_COMPLETE);
              call_end (&call);
              loopback_close_connections (loopback);
            }
      loopback_free (loopback);
    }
}

/* Guards against a body that ends where the upstream did not mean it to: more than one length. */
START_TEST (answer_with_two_lengths_is_not_complete)
{
  static const Malformed answers[] = {
    { "lengths 5 and 12", WIRE (OK_HEAD (LENGTH ("5") LENGTH ("12")) CONTENT) },
    { "lengths 12 and 5", WIRE (OK_HEAD (LENGTH ("12") LENGTH ("5")) CONTENT) },
    { "lengths 5 and 12 with 5 bytes", WIRE (OK_HEAD (LENGTH ("5") LENGTH ("12")) "hello") },
    { "lengths 12 and 5 with 5 bytes", WIRE (OK_HEAD (LENGTH ("12") LENGTH ("5")) "hello") },
    { "length 5 twice", WIRE (OK_HEAD (LENGTH ("5") LENGTH ("5")) "hello") },
    { "length \"5, 5\"", WIRE (OK_HEAD (LENGTH ("5, 5")) "hello") },
    { "length \"5, 12\"", WIRE (OK_HEAD (LENGTH ("5, 12")) "hello") },
  };
  Tally tally = { 0 };

  check_malformed (answers, G_N_ELEMENTS (answers), &tally);
  tally_assert (&tally, "answers with two lengths taken as complete");
}
END_TEST

/* Guards against a length of which only a part is read. */
START_TEST (answer_with_a_malformed_length_is_not_complete)
{
  static const Malformed answers[] = {
    { "length \"5x\"", WIRE (OK_HEAD (LENGTH ("5x")) "hello") },
    { "length \"5 5\"", WIRE (OK_HEAD (LENGTH ("5 5")) "hello") },
    { "length \"0x5\"", WIRE (OK_HEAD (LENGTH ("0x5")) "hello") },
    { "length \"+5\"", WIRE (OK_HEAD (LENGTH ("+5")) "hello") },
    { "length \"-5\"", WIRE (OK_HEAD (LENGTH ("-5")) "hello") },
    { "length \"-0\"", WIRE (OK_HEAD (LENGTH ("-0"))) },
    { "length \"\"", WIRE (OK_HEAD (LENGTH (""))) },
    { "length \"\" with 5 bytes", WIRE (OK_HEAD (LENGTH ("")) "hello") },
    { "length 2^64 + 5", WIRE (OK_HEAD (LENGTH ("18446744073709551621")) "hello") },
    { "length 2^63", WIRE (OK_HEAD (LENGTH ("9223372036854775808")) "hello") },
    { "length 10^20", WIRE (OK_HEAD (LENGTH ("100000000000000000000")) "hello") },
  };
  Tally tally = { 0 };

  check_malformed (answers, G_N_ELEMENTS (answers), &tally);
  tally_assert (&tally, "answers with a malformed length taken as complete");
}
END_TEST

/* Guards against a length and chunks that contradict each other, and against codings that the
 * client does not decode. */
START_TEST (answer_with_a_contradictory_coding_is_not_complete)
{
  static const Malformed answers[] = {
    { "length 15, then chunked", WIRE (OK_HEAD (LENGTH ("15") CODING ("chunked")) CHUNKS) },
    { "chunked, then length 15", WIRE (OK_HEAD (CODING ("chunked") LENGTH ("15")) CHUNKS) },
    { "length 5, then chunked", WIRE (OK_HEAD (LENGTH ("5") CODING ("chunked")) CHUNKS) },
    { "chunked, then length 5", WIRE (OK_HEAD (CODING ("chunked") LENGTH ("5")) CHUNKS) },
    { "chunked, then length 0", WIRE (OK_HEAD (CODING ("chunked") LENGTH ("0")) CHUNKS) },
    { "coding gzip", WIRE (OK_HEAD (CODING ("gzip")) CHUNKS) },
    { "coding gzip, length 15", WIRE (OK_HEAD (CODING ("gzip") LENGTH ("15")) CHUNKS) },
    { "coding \"gzip, chunked\"", WIRE (OK_HEAD (CODING ("gzip, chunked")) CHUNKS) },
    { "codings gzip and chunked", WIRE (OK_HEAD (CODING ("gzip") CODING ("chunked")) CHUNKS) },
    { "codings chunked and gzip", WIRE (OK_HEAD (CODING ("chunked") CODING ("gzip")) CHUNKS) },
    { "coding \"chunked, chunked\"", WIRE (OK_HEAD (CODING ("chunked, chunked")) CHUNKS) },
    { "coding chunked twice", WIRE (OK_HEAD (CODING ("chunked") CODING ("chunked")) CHUNKS) },
    { "coding xchunked", WIRE (OK_HEAD (CODING ("xchunked")) CHUNKS) },
    { "coding chunkedx", WIRE (OK_HEAD (CODING ("chunkedx")) CHUNKS) },
    { "coding identity", WIRE (OK_HEAD (CODING ("identity")) CONTENT) },
    { "coding \"\"", WIRE (OK_HEAD (CODING ("")) CHUNKS) },
    { "chunked in HTTP/1.0", WIRE (HEAD ("HTTP/1.0 200 OK", CODING ("chunked")) CHUNKS) },
  };
  Tally tally = { 0 };

  check_malformed (answers, G_N_ELEMENTS (answers), &tally);
  tally_assert (&tally, "answers with a contradictory coding taken as complete");
}
END_TEST

/* Guards against chunks whose sizes are read differently from what the upstream meant. */
START_TEST (answer_with_a_malformed_chunk_is_not_complete)
{
#define CHUNKED_WIRE(chunks) WIRE (OK_HEAD (CODING ("chunked")) chunks)
  static const Malformed answers[] = {
    { "chunk size \"\"", CHUNKED_WIRE ("\r\nhello\r\n0\r\n\r\n") },
    { "last chunk size \"\"", CHUNKED_WIRE ("5\r\nhello\r\n\r\n\r\n") },
    { "chunk size \"0x5\"", CHUNKED_WIRE ("0x5\r\nhello\r\n0\r\n\r\n") },
    { "chunk size \"+5\"", CHUNKED_WIRE ("+5\r\nhello\r\n0\r\n\r\n") },
    { "chunk size \"-5\"", CHUNKED_WIRE ("-5\r\nhello\r\n0\r\n\r\n") },
    { "chunk size \"5 5\"", CHUNKED_WIRE ("5 5\r\nhello\r\n0\r\n\r\n") },
    { "chunk size \"5x\"", CHUNKED_WIRE ("5x\r\nhello\r\n0\r\n\r\n") },
    { "chunk size \" 5\"", CHUNKED_WIRE (" 5\r\nhello\r\n0\r\n\r\n") },
    { "chunk size 2^64 + 5", CHUNKED_WIRE ("10000000000000005\r\nhello\r\n0\r\n\r\n") },
    { "chunk size 2^63", CHUNKED_WIRE ("8000000000000000\r\nhello\r\n0\r\n\r\n") },
    { "no CRLF after a chunk", CHUNKED_WIRE ("5\r\nhello0\r\n\r\n") },
    { "two other bytes after a chunk", CHUNKED_WIRE ("5\r\nhelloab0\r\n\r\n") },
    { "LF after a chunk", CHUNKED_WIRE ("5\r\nhello\n0\r\n\r\n") },
    { "CR after a chunk", CHUNKED_WIRE ("5\r\nhello\r0\r\n\r\n") },
    { "LF after a chunk size", CHUNKED_WIRE ("5\nhello\r\n0\r\n\r\n") },
    { "LF after the last chunk size", CHUNKED_WIRE ("5\r\nhello\r\n0\n\r\n") },
    { "LF as the last line", CHUNKED_WIRE ("5\r\nhello\r\n0\r\n\n") },
    { "LF after a trailer", CHUNKED_WIRE ("5\r\nhello\r\n0\r\nX-A: 1\n\r\n") },
    { "trailer without a colon", CHUNKED_WIRE ("5\r\nhello\r\n0\r\nX-A\r\n\r\n") },
  };
  Tally tally = { 0 };

  check_malformed (answers, G_N_ELEMENTS (answers), &tally);
  tally_assert (&tally, "answers with a malformed chunk taken as complete");
}
END_TEST

/* Guards against a head whose lines are divided differently from what the upstream meant. */
START_TEST (answer_with_a_malformed_head_is_not_complete)
{
#define LENGTH_WIRE(lines) WIRE (OK_HEAD (lines LENGTH ("5")) "hello")
  static const Malformed answers[] = {
    { "LF after the status line",
      WIRE ("HTTP/1.1 200 OK\n" ECHO_HEADER ": " OWN_ECHO "\r\n" LENGTH ("5") "\r\nhello") },
    { "LF after a header line", LENGTH_WIRE ("X-A: 1\n") },
    { "LF as the empty line",
      WIRE ("HTTP/1.1 200 OK\r\n" ECHO_HEADER ": " OWN_ECHO "\r\n" LENGTH ("5") "\nhello") },
    { "folded line", LENGTH_WIRE ("X-A: 1\r\n 2\r\n") },
    { "line folded by a tab", LENGTH_WIRE ("X-A: 1\r\n\t2\r\n") },
    { "folded length", WIRE (OK_HEAD ("Content-Length:\r\n 5\r\n") "hello") },
    { "space before a colon", LENGTH_WIRE ("X-A : 1\r\n") },
    { "tab before a colon", LENGTH_WIRE ("X-A\t: 1\r\n") },
    { "space before the colon of the length", WIRE (OK_HEAD ("Content-Length : 5\r\n") "hello") },
    { "space within a name", LENGTH_WIRE ("X A: 1\r\n") },
    { "NUL in a name", LENGTH_WIRE ("X\0A: 1\r\n") },
    { "control byte in a name", LENGTH_WIRE ("X\001A: 1\r\n") },
    { "DEL in a name", LENGTH_WIRE ("X\177A: 1\r\n") },
    { "NUL in a value", LENGTH_WIRE ("X-A: 1\0002\r\n") },
    { "CR in a value", LENGTH_WIRE ("X-A: 1\r2\r\n") },
    { "empty name", LENGTH_WIRE (": 1\r\n") },
    { "line without a colon", LENGTH_WIRE ("X-A\r\n") },
  };
  Tally tally = { 0 };

  check_malformed (answers, G_N_ELEMENTS (answers), &tally);
  tally_assert (&tally, "answers with a malformed head taken as complete");
}
END_TEST

/* Guards against a line that continues a header of the answer before it on the connection. */
START_TEST (answer_whose_first_line_is_folded_is_not_complete)
{
  static const Malformed answers[] = {
    { "first line folded", WIRE ("HTTP/1.1 200 OK\r\n X-A: 1\r\n" ECHO_HEADER ": " OWN_ECHO
                                 "\r\n" LENGTH ("5") "\r\nhello") },
  };
  Tally tally = { 0 };

  check_malformed (answers, G_N_ELEMENTS (answers), &tally);
  tally_assert (&tally, "answers with a folded first line taken as complete");
}
END_TEST

/* Guards against an answer of another protocol, or with a status that is read in part only. */
START_TEST (answer_with_a_malformed_status_line_is_not_complete)
{
#define STATUS_WIRE(line) WIRE (HEAD (line, LENGTH ("5")) "hello")
  static const Malformed answers[] = {
    { "HTTP/2", STATUS_WIRE ("HTTP/2 200") },
    { "HTTP/2.0", STATUS_WIRE ("HTTP/2.0 200 OK") },
    { "HTTP/0.9", STATUS_WIRE ("HTTP/0.9 200 OK") },
    { "http/1.1", STATUS_WIRE ("http/1.1 200 OK") },
    { "HTTP/1.1200", STATUS_WIRE ("HTTP/1.1200") },
    { "HTTP/1.12 200", STATUS_WIRE ("HTTP/1.12 200 OK") },
    { "HTTP/11 200", STATUS_WIRE ("HTTP/11 200 OK") },
    { "status 2x0", STATUS_WIRE ("HTTP/1.1 2x0 OK") },
    { "status 20", STATUS_WIRE ("HTTP/1.1 20") },
    { "status 2000", STATUS_WIRE ("HTTP/1.1 2000 OK") },
    { "status 099", STATUS_WIRE ("HTTP/1.1 099 OK") },
    { "no status", STATUS_WIRE ("HTTP/1.1 ") },
    { "no status line", WIRE (ECHO_HEADER ": " OWN_ECHO "\r\n" LENGTH ("5") "\r\nhello") },
    { "only a body", WIRE ("hello") },
  };
  Tally tally = { 0 };

  check_malformed (answers, G_N_ELEMENTS (answers), &tally);
  tally_assert (&tally, "answers with a malformed status line taken as complete");
}
END_TEST

/* Guards against a status that cannot have the body that the answer states. */
START_TEST (answer_with_a_contradictory_status_is_not_complete)
{
  static const Malformed answers[] = {
    { "status 101", WIRE (HEAD ("HTTP/1.1 101 Switching Protocols", "Upgrade: x\r\n")) },
    { "status 101 with length 0", WIRE (HEAD ("HTTP/1.1 101 Switching Protocols", LENGTH ("0"))) },
    { "204 with length 5", WIRE (HEAD ("HTTP/1.1 204 No Content", LENGTH ("5")) "hello") },
    { "204 with length 5 and no body", WIRE (HEAD ("HTTP/1.1 204 No Content", LENGTH ("5"))) },
    { "204 with chunks", WIRE (HEAD ("HTTP/1.1 204 No Content", CODING ("chunked")) CHUNKS) },
    { "204 with chunked and no body", WIRE (HEAD ("HTTP/1.1 204 No Content", CODING ("chunked"))) },
  };
  Tally tally = { 0 };

  check_malformed (answers, G_N_ELEMENTS (answers), &tally);
  tally_assert (&tally, "answers with a contradictory status taken as complete");
}
END_TEST

/** When bytes that belong to no request are sent. */
typedef enum
{
  WHEN_DONE = 0,  /* the exchange of the answer before them has ended, but holds its connection */
  WHEN_IDLE,      /* the connection is idle */
  WHEN_NEXT_SENT, /* the next request has been sent */
} When;

static const char *const when_names[]
    = { "before the connection is released", "while it is idle", "after the next request" };

/** Bytes after an answer: the first SPLIT together with it, the rest later. */
typedef struct
{
  const char *name;
  const char *bytes;
  size_t length;
  bool unnamed; /* an answer that names no request */
  size_t split;
  When when;
} Extra;

/* Answers NEXT on CONNECTION. RETURN VALUE: whether it is complete with its own answer, or else has
 * failed where MAY_FAIL. */
static bool
finish_next_request (Loopback *loopback, Call *next, Connection *connection, bool may_fail)
{
  static const char answer[]
      = "HTTP/1.1 200 OK\r\n" ECHO_HEADER ": " LATER_ECHO "\r\n" LENGTH ("3") "\r\nown";
  GsExchangeState state;
  size_t length;
  const void *body;

  if (!next->done)
    connection_send (connection, answer, strlen (answer));
  connection_settle (loopback, connection, next);
  if (!next->done)
    connection_finish (loopback, connection, next, ENDING_FIN);
  state = call_wait_until_done (loopback, next);
  if (state != GS_EXCHANGE_COMPLETE)
    return may_fail;
  body = gs_exchange_body (next->exchange, &length);
  return gs_exchange_status (next->exchange) == 200 && length == 3 && memcmp (body, "own", 3) == 0;
}

/* Sends the next request after the answer on the connection SERIAL. RETURN VALUE: NULL when all is
 * right, or else what is wrong. */
static const char *
play_next_request (Loopback *loopback, const Extra *extra, uint32_t serial)
{
  bool may_be_reused = extra->split == 0 && extra->when == WHEN_NEXT_SENT;
  GsExchangeOptions options = { .method = "GET", .echo = LATER_ECHO };
  Call next;
  Connection *connection;
  bool reused;
  bool own;

  call_start (loopback, &next, &options);
  connection = call_wait_for_request (loopback, &next);
  ck_assert_ptr_nonnull (connection);
  reused = connection->serial == serial;
  if (reused && extra->when == WHEN_NEXT_SENT)
    {
      connection_send (connection, extra->bytes + extra->split, extra->length - extra->split);
      connection_settle (loopback, connection, &next);
    }
  own = finish_next_request (loopback, &next, connection, reused);
  call_end (&next);
  if (reused && !may_be_reused)
    return "the connection is used again";
  if (!own)
    return "the next request is not complete with its own answer";
  if (reused && loopback_complete_request (loopback, OWN_ECHO)->serial == serial)
    return "the connection is used again by the request after the next";
  return NULL;
}

/* Sends ANSWER with EXTRA bytes, then two more requests. */
static void
play_extra (Loopback *loopback, const Answer *answer, const Extra *extra, Tally *tally)
{
  GsExchangeOptions options = { .method = answer->method, .echo = OWN_ECHO };
  g_autoptr (GString) first = g_string_new_len (answer->wire->str, (gssize)answer->wire->len);
  Call call;
  Connection *connection;
  uint32_t serial;
  const char *wrong = NULL;

  g_string_append_len (first, extra->bytes, (gssize)extra->split);
  call_start (loopback, &call, &options);
  connection = call_wait_for_request (loopback, &call);
  ck_assert_ptr_nonnull (connection);
  serial = connection->serial;
  connection_send (connection, first->str, first->len);
  if (call_wait_until_done (loopback, &call) != GS_EXCHANGE_COMPLETE
      || !call_has_answer (&call, answer))
    wrong = "the answer itself is not complete";
  for (When when = WHEN_DONE; when <= WHEN_IDLE; when++)
    {
      if (extra->when == when)
        connection_send (connection, extra->bytes + extra->split, extra->length - extra->split);
      connection_settle (loopback, connection, NULL);
      call_end (&call);
    }
  if (wrong == NULL)
    wrong = play_next_request (loopback, extra, serial);
  tally_check (tally, wrong == NULL, "%s, %s mode, %s: %zu of %zu bytes with it, the rest %s: %s",
               answer->name, mode_names[loopback->mode], extra->name, extra->split, extra->length,
               when_names[extra->when], wrong);
  loopback_close_connections (loopback);
}

/* Calls VISIT with one answer of each form that leaves its connection open, in both modes. */
static void
visit_reusable_answers (AnswerVisitor visit, Tally *tally)
{
  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Loopback *loopback = loopback_new (mode);

      for (size_t form = 0; form < G_N_ELEMENTS (forms); form++)
        if (!forms[form].ends_with_connection)
          visit_answer (loopback, answer_new (&forms[form], statuses[0], "", ORDER_FRAMING_LAST),
                        visit, tally);
      loopback_free (loopback);
    }
}

static const Extra extras[] = {
  { .name = "one byte", WIRE ("x") },
  { .name = "line end", WIRE ("\r\n") },
  { .name = "second answer", WIRE (HEAD ("HTTP/1.1 503 Busy", LENGTH ("5")) "stale") },
  { .name = "second answer without a name",
    WIRE ("HTTP/1.1 503 Busy\r\n" LENGTH ("5") "\r\nstale"),
    .unnamed = true },
};

/* Plays the extras with each split, except those that arrive wholly after the next request. */
static void
play_early_extras (Loopback *loopback, const Answer *answer, Tally *tally)
{
  for (size_t i = 0; i < G_N_ELEMENTS (extras); i++)
    for (size_t split = 0; split <= extras[i].length; split++)
      {
        When last = split == 0 ? WHEN_IDLE : WHEN_NEXT_SENT;

        for (When when = split == 0 ? WHEN_DONE : WHEN_IDLE; when <= last; when++)
          {
            Extra extra = extras[i];

            extra.split = split;
            extra.when = when;
            play_extra (loopback, answer, &extra, tally);
          }
      }
}

/* Plays each beginning of the extras that are UNNAMED or not, after the next request. */
static void
play_late_extras (Loopback *loopback, const Answer *answer, bool unnamed, Tally *tally)
{
  for (size_t i = 0; i < G_N_ELEMENTS (extras); i++)
    for (size_t length = 1; length <= extras[i].length; length++)
      {
        Extra extra = extras[i];

        extra.length = length;
        extra.when = WHEN_NEXT_SENT;
        if (extra.unnamed == unnamed)
          play_extra (loopback, answer, &extra, tally);
      }
}

static void
play_late_named_extras (Loopback *loopback, const Answer *answer, Tally *tally)
{
  play_late_extras (loopback, answer, false, tally);
}

static void
play_late_unnamed_extras (Loopback *loopback, const Answer *answer, Tally *tally)
{
  play_late_extras (loopback, answer, true, tally);
}

/* Guards against the bytes of an upstream that answers twice, taken for the next answer. */
START_TEST (connection_with_bytes_after_an_answer_is_not_used_again)
{
  Tally tally = { 0 };

  visit_reusable_answers (play_early_extras, &tally);
  tally_assert (&tally, "connections with extra bytes");
}
END_TEST

/* Guards against the same where the bytes come only after the next request. */
START_TEST (second_answer_is_not_taken_for_that_of_the_next_request)
{
  Tally tally = { 0 };

  visit_reusable_answers (play_late_named_extras, &tally);
  tally_assert (&tally, "late second answers");
}
END_TEST

/* Guards against the same where the second answer does not name its request. */
START_TEST (second_answer_without_a_name_is_not_taken_for_that_of_the_next_request)
{
  Tally tally = { 0 };

  visit_reusable_answers (play_late_unnamed_extras, &tally);
  tally_assert (&tally, "late second answers without a name");
}
END_TEST

/* Plays ANSWER with LINE in place of the header by which it names its request. */
static void
play_renamed (Loopback *loopback, const Answer *answer, const char *line, bool kept, Tally *tally)
{
  static const char own[] = ECHO_HEADER ": " OWN_ECHO "\r\n";
  g_autoptr (GString) wire = g_string_new (answer->wire->str);
  Play play = { .method = answer->method, .kept = kept };
  bool complete = line[0] == '\0' && !kept
                  && (!answer->ends_with_connection || loopback->mode == MODE_PLATFORM);
  Call call;
  GsExchangeState state;

  g_string_replace (wire, own, line, 1);
  play.bytes = wire->str;
  play.length = wire->len;
  play.ending = answer->ends_with_connection ? ENDING_FIN : ENDING_OPEN;
  state = loopback_play (loopback, &call, &play);
  tally_state (tally, loopback, &play, answer->name, state,
               (state == GS_EXCHANGE_COMPLETE) == complete);
  call_end (&call);
  loopback_close_connections (loopback);
}

static void
play_unnamed_on_new_connection (Loopback *loopback, const Answer *answer, Tally *tally)
{
  play_renamed (loopback, answer, "", false, tally);
}

static void
play_unnamed_on_kept_connection (Loopback *loopback, const Answer *answer, Tally *tally)
{
  play_renamed (loopback, answer, "", true, tally);
}

static void
play_named_otherwise (Loopback *loopback, const Answer *answer, Tally *tally)
{
  for (int kept = 0; kept < 2; kept++)
    {
      play_renamed (loopback, answer, ECHO_HEADER ": " EARLIER_ECHO "\r\n", kept != 0, tally);
      play_renamed (loopback, answer, ECHO_HEADER ": " OWN_ECHO "0\r\n", kept != 0, tally);
      play_renamed (loopback, answer, ECHO_HEADER ": 7\r\n", kept != 0, tally);
      play_renamed (loopback, answer, ECHO_HEADER ":\r\n", kept != 0, tally);
    }
}

/* Guards against answers of upstreams that name no requests being lost. */
START_TEST (answer_without_a_name_on_a_new_connection_is_complete)
{
  Tally tally = { 0 };

  visit_answers (play_unnamed_on_new_connection, &tally);
  tally_assert (&tally, "answers without a name judged wrongly");
}
END_TEST

/* Guards against a request without an id that is lost after it ran: its answer names no request,
 * and an idle connection is at hand. */
START_TEST (request_without_an_id_is_complete)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\n" LENGTH ("5") "\r\nhello";
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Loopback *loopback = loopback_new (mode);
      GsExchangeOptions options = { .method = "GET" };
      Call call;
      Connection *connection;
      GsExchangeState state;

      loopback_complete_request (loopback, EARLIER_ECHO);
      call_start (loopback, &call, &options);
      connection = call_wait_for_request (loopback, &call);
      ck_assert_ptr_nonnull (connection);
      connection_send (connection, answer, strlen (answer));
      state = call_wait_until_done (loopback, &call);
      tally_check (&tally, state == GS_EXCHANGE_COMPLETE, "%s mode: state %s", mode_names[mode],
                   state_name (state));
      call_end (&call);
      loopback_free (loopback);
    }
  tally_assert (&tally, "requests without an id that fail");
}
END_TEST

/* Guards against a late copy of an earlier answer on a connection that is used again. */
START_TEST (answer_without_a_name_on_a_kept_connection_is_not_complete)
{
  Tally tally = { 0 };

  visit_answers (play_unnamed_on_kept_connection, &tally);
  tally_assert (&tally, "answers without a name taken as complete");
}
END_TEST

/* Guards against answers being lost because the id of their request is long. */
START_TEST (answer_that_names_a_long_id_is_complete)
{
  static const size_t lengths[] = { 1, 63, 64, 65, 200, 1000 };
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    for (size_t i = 0; i < G_N_ELEMENTS (lengths); i++)
      {
        Loopback *loopback = loopback_new (mode);
        g_autofree char *id = g_strnfill (lengths[i], 'a');
        g_autofree char *answer = g_strdup_printf (
            "HTTP/1.1 200 OK\r\n" ECHO_HEADER ": %s\r\n" LENGTH ("5") "\r\nhello", id);
        GsExchangeOptions options = { .method = "GET", .echo = id };
        Call call;
        Connection *connection;
        GsExchangeState state;

        call_start (loopback, &call, &options);
        connection = call_wait_for_request (loopback, &call);
        ck_assert_ptr_nonnull (connection);
        connection_send (connection, answer, strlen (answer));
        state = call_wait_until_done (loopback, &call);
        tally_check (&tally, state == GS_EXCHANGE_COMPLETE, "%s mode, %zu bytes: state %s",
                     mode_names[mode], lengths[i], state_name (state));
        call_end (&call);
        loopback_free (loopback);
      }
  tally_assert (&tally, "answers that name a long id and are lost");
}
END_TEST

/* Guards against the answer to another request. */
START_TEST (answer_that_names_another_request_is_not_complete)
{
  Tally tally = { 0 };

  visit_answers (play_named_otherwise, &tally);
  tally_assert (&tally, "answers that name another request taken as complete");
}
END_TEST

/* Guards against a request on a connection that the upstream has said it will close. */
START_TEST (connection_that_the_answer_ends_is_not_used_again)
{
  static const Malformed answers[] = {
    { "Connection: close", WIRE (OK_HEAD ("Connection: close\r\n" LENGTH ("5")) "hello") },
    { "connection: Close", WIRE (OK_HEAD ("connection: Close\r\n" LENGTH ("5")) "hello") },
    { "Connection: a, close", WIRE (OK_HEAD ("Connection: a, close\r\n" LENGTH ("5")) "hello") },
    { "two Connection lines",
      WIRE (OK_HEAD ("Connection: a\r\nConnection: close\r\n" LENGTH ("5")) "hello") },
    { "HTTP/1.0", WIRE (HEAD ("HTTP/1.0 200 OK", LENGTH ("5")) "hello") },
  };
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Loopback *loopback = loopback_new (mode);

      for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
        {
          Play play = { .method = "GET", .bytes = answers[i].bytes, .length = answers[i].length };
          Call call;
          uint32_t used;

          tally_check (&tally, loopback_play (loopback, &call, &play) == GS_EXCHANGE_COMPLETE,
                       "%s, %s mode: not complete", answers[i].name, mode_names[mode]);
          used = loopback->last_serial;
          call_end (&call);
          tally_check (&tally, loopback_complete_request (loopback, LATER_ECHO)->serial != used,
                       "%s, %s mode: used again", answers[i].name, mode_names[mode]);
          loopback_close_connections (loopback);
        }
      loopback_free (loopback);
    }
  tally_assert (&tally, "connections judged wrongly");
}
END_TEST

/* Guards against a request that is lost on a connection that ended while it was idle. */
START_TEST (connection_that_ended_while_idle_is_not_used_again)
{
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    for (Ending ending = ENDING_FIN; ending < N_ENDINGS; ending++)
      {
        Loopback *loopback = loopback_new (mode);
        Connection *connection = loopback_complete_request (loopback, EARLIER_ECHO);
        uint32_t used = connection->serial;

        connection_finish (loopback, connection, NULL, ending);
        tally_check (&tally, loopback_complete_request (loopback, LATER_ECHO)->serial != used,
                     "%s mode, %s: used again", mode_names[mode], ending_names[ending]);
        loopback_free (loopback);
      }
  tally_assert (&tally, "connections that ended");
}
END_TEST

/* Plays an interim answer with LINE, then an answer with the name OWN_ECHO where NAMED. */
static void
play_interim_header (Loopback *loopback, const char *line, bool named, bool kept, Tally *tally)
{
  g_autofree char *wire = g_strdup_printf (
      "HTTP/1.1 103 Early Hints\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\n%s" LENGTH ("5") "\r\nhello", line,
      named ? ECHO_HEADER ": " OWN_ECHO "\r\n" : "");
  Play play = { .method = "GET", .bytes = wire, .length = strlen (wire), .kept = kept };
  Call call;
  GsExchangeState state = loopback_play (loopback, &call, &play);

  tally_state (
      tally, loopback, &play, line, state,
      (state == GS_EXCHANGE_COMPLETE) == (named || !kept)
          && gs_exchange_header (call.exchange, STAMP_HEADER) == NULL
          && g_strcmp0 (gs_exchange_header (call.exchange, ECHO_HEADER), named ? OWN_ECHO : NULL)
                 == 0);
  call_end (&call);
  loopback_close_connections (loopback);
}

/* Guards against headers of an interim answer that count for the answer after it. */
START_TEST (headers_of_an_interim_answer_are_not_those_of_the_answer)
{
  static const char *const lines[]
      = { STAMP_HEADER ": 1", ECHO_HEADER ": " EARLIER_ECHO "", ECHO_HEADER ": " OWN_ECHO "" };
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Loopback *loopback = loopback_new (mode);

      for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
        for (int variant = 0; variant < 4; variant++)
          play_interim_header (loopback, lines[i], (variant & 1) != 0, (variant & 2) != 0, &tally);
      loopback_free (loopback);
    }
  tally_assert (&tally, "headers of interim answers with an effect");
}
END_TEST

/** A trailer that would matter if it were a header. */
typedef struct
{
  const char *name;
  const char *value;
} Trailer;

static const Trailer trailers[] = {
  { STAMP_HEADER, "1" },           { "Gentian-Verdict", "not-run" }, { "Content-Length", "3" },
  { "Transfer-Encoding", "gzip" }, { "Connection", "close" },        { ECHO_HEADER, EARLIER_ECHO },
};

static void
find_header (const char *name, const char *value, void *data)
{
  Trailer *wanted = data;

  (void)value;
  if (g_ascii_strcasecmp (name, wanted->name) == 0)
    wanted->value = name;
}

/* Whether the trailer NAME is absent from the answer's headers, and its length is unknown. */
static bool
call_has_no_trailer (const Call *call, const char *name, const char *header)
{
  Trailer visited = { .name = name };
  const char *value = gs_exchange_header (call->exchange, name);

  gs_exchange_headers (call->exchange, find_header, &visited);
  return gs_exchange_length (call->exchange) == -1 && g_strcmp0 (value, header) == 0
         && (visited.value != NULL) == (header != NULL && !gs_header_is_hop_by_hop (name));
}

/* Plays a chunked answer with TRAILER, split at each byte. */
static void
play_trailer (Loopback *loopback, const Trailer *trailer, bool named, bool kept, Tally *tally)
{
  bool is_echo = strcmp (trailer->name, ECHO_HEADER) == 0;
  const char *header = strcmp (trailer->name, "Transfer-Encoding") == 0
                           ? "chunked"
                           : (is_echo && named ? OWN_ECHO : NULL);
  g_autofree char *wire = g_strdup_printf (
      "HTTP/1.1 200 OK\r\n%s" CODING ("chunked") "\r\n5\r\nhello\r\n0\r\n%s: %s\r\n\r\n",
      named ? ECHO_HEADER ": " OWN_ECHO "\r\n" : "", trailer->name, trailer->value);

  for (size_t split = 0; split < strlen (wire); split++)
    {
      Play play = { .method = "GET",
                    .bytes = wire,
                    .length = strlen (wire),
                    .split = split,
                    .kept = kept,
                    .ending = ENDING_OPEN };
      Call call;
      GsExchangeState state = loopback_play (loopback, &call, &play);

      tally_state (tally, loopback, &play, trailer->name, state,
                   (state == GS_EXCHANGE_COMPLETE) == (named || !kept)
                       && call_has_no_trailer (&call, trailer->name, header));
      call_end (&call);
      loopback_close_connections (loopback);
    }
}

/* Guards against trailers that change how an answer is judged or which request it names. */
START_TEST (trailers_are_not_headers)
{
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Loopback *loopback = loopback_new (mode);

      for (size_t i = 0; i < G_N_ELEMENTS (trailers); i++)
        {
          play_trailer (loopback, &trailers[i], true, false, &tally);
          play_trailer (loopback, &trailers[i], true, true, &tally);
          play_trailer (loopback, &trailers[i], false, false, &tally);
        }
      loopback_free (loopback);
    }
  tally_assert (&tally, "trailers with an effect");
}
END_TEST

/* Guards against a trailer that names the request in place of the answer's head. */
START_TEST (trailer_does_not_name_the_request)
{
  static const Trailer echo = { ECHO_HEADER, OWN_ECHO };
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Loopback *loopback = loopback_new (mode);

      play_trailer (loopback, &echo, false, true, &tally);
      loopback_free (loopback);
    }
  tally_assert (&tally, "answers named by a trailer");
}
END_TEST

enum
{
  UPLOAD_BYTES = 16 * 1024 * 1024,
  UPLOAD_DRAIN_BYTES = 64 * 1024,
};

/* Reads up to LENGTH bytes of the request. */
static void
connection_drain (Connection *connection, size_t length)
{
  static char block[65536];

  while (length > 0)
    {
      ssize_t got = recv (connection->fd, block, MIN (length, sizeof block), 0);

      if (got <= 0)
        return;
      length -= (size_t)got;
    }
}

/* Answers a long request whose body it does not read, with N_BODY bytes and without a length. Then
 * makes room for DRAIN_BYTES of the request's body, and resets the connection. RETURN VALUE: the
 * state of the exchange. */
static GsExchangeState
play_upload (Loopback *loopback, const char *body, size_t n_body, size_t drain_bytes)
{
  static const char head[] = OK_HEAD ("");
  GsExchangeOptions options
      = { .method = "POST", .echo = OWN_ECHO, .body = body, .body_length = UPLOAD_BYTES };
  Call call;
  Connection *connection;
  GsExchangeState state;
  int unsent = 0;

  call_start (loopback, &call, &options);
  connection = call_wait_for_request (loopback, &call);
  ck_assert_ptr_nonnull (connection);
  connection_send (connection, head, strlen (head));
  connection_send (connection, CONTENT, n_body);
  connection_settle (loopback, connection, &call);
  ck_assert_int_eq (ioctl (connection->client_fd, SIOCOUTQ, &unsent), 0);
  ck_assert_int_gt (unsent, 0);
  connection_drain (connection, drain_bytes);
  connection_reset (connection);
  state = call_wait_until_done (loopback, &call);
  call_end (&call);
  loopback_close_connections (loopback);
  return state;
}

/* Guards against a failed write of the request that turns a reset into the end of the answer. */
START_TEST (reset_during_the_request_does_not_end_the_answer)
{
  g_autofree char *body = g_malloc0 (UPLOAD_BYTES);
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Loopback *loopback = loopback_new (mode);

      for (size_t n_body = 0; n_body <= strlen (CONTENT); n_body++)
        for (size_t drain = 0; drain <= 4; drain++)
          {
            GsExchangeState state
                = play_upload (loopback, body, n_body, drain * UPLOAD_DRAIN_BYTES);

            tally_check (&tally, state == GS_EXCHANGE_FAILED,
                         "%s mode, %zu bytes of the answer, %zu of the request read: state %s",
                         mode_names[mode], n_body, drain * UPLOAD_DRAIN_BYTES, state_name (state));
          }
      loopback_free (loopback);
    }
  tally_assert (&tally, "resets taken as the end");
}
END_TEST

enum
{
  LARGE_BYTES = GS_EXCHANGE_BUFFER_BYTES + 300000,
  LARGE_CHUNK_BYTES = 5000,
};

static char large_content[LARGE_BYTES];

/* RETURN VALUE: an answer of FORM with LARGE_BYTES of content; those of its wire up to the end of
 * the head in HEAD_LENGTH. */
static GString *
large_wire (const Form *form, const char *status, size_t *head_length)
{
  GString *wire = g_string_new (NULL);
  bool is_chunked = strstr (form->framing, "chunked") != NULL;

  g_string_append_printf (wire, "HTTP/1.1 %s\r\n" ECHO_HEADER ": " OWN_ECHO "\r\n", status);
  if (form->stated_length >= 0)
    g_string_append_printf (wire, "Content-Length: %d\r\n\r\n", LARGE_BYTES);
  else
    g_string_append_printf (wire, "%s\r\n", form->framing);
  *head_length = wire->len;
  for (size_t i = 0; i < LARGE_BYTES; i++)
    {
      if (is_chunked && i % LARGE_CHUNK_BYTES == 0)
        g_string_append_printf (wire, "%s%zx\r\n", i > 0 ? "\r\n" : "",
                                MIN ((size_t)LARGE_CHUNK_BYTES, LARGE_BYTES - i));
      g_string_append_c (wire, large_content[i]);
    }
  if (is_chunked)
    g_string_append (wire, "\r\n0\r\n\r\n");
  return wire;
}

/** How a large answer was read. */
typedef struct
{
  ssize_t end; /* last return value of gs_exchange_read */
  size_t length;
  bool intact;
} LargeRead;

static void
large_read (const Call *call, LargeRead *result)
{
  char block[65536];

  while ((result->end = gs_exchange_read (call->exchange, block, sizeof block)) > 0)
    {
      size_t got = (size_t)result->end;

      result->intact = result->intact && result->length + got <= LARGE_BYTES
                       && memcmp (block, large_content + result->length, got) == 0;
      result->length += got;
    }
}

/* RETURN VALUE: whether the client has read all that was sent to it. */
static bool
connection_is_read (const Connection *connection)
{
  struct tcp_info info;
  socklen_t size = sizeof info;
  int unread = 0;

  return getsockopt (connection->client_fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
         && ioctl (connection->client_fd, FIONREAD, &unread) == 0
         && info.tcpi_bytes_received >= connection->sent_bytes && unread == 0;
}

/* Sends PLAY, and reads it while it is sent. RETURN VALUE: the state of the exchange when it was
 * done. */
static GsExchangeState
play_large (Loopback *loopback, const Play *play, LargeRead *result)
{
  GsExchangeOptions options = { .method = "GET", .echo = OWN_ECHO };
  Call call;
  Connection *connection;
  bool finished = false;
  GsExchangeState state;

  *result = (LargeRead){ .end = GS_EXCHANGE_READ_PENDING, .intact = true };
  call_start (loopback, &call, &options);
  connection = call_wait_for_request (loopback, &call);
  ck_assert_ptr_nonnull (connection);
  while (result->end == GS_EXCHANGE_READ_PENDING)
    {
      ssize_t sent = finished ? 0
                              : send (connection->fd, play->bytes + connection->sent_bytes,
                                      play->length - connection->sent_bytes, MSG_NOSIGNAL);

      connection->sent_bytes += (size_t)MAX (sent, 0);
      if (!finished && connection->sent_bytes == play->length
          && (play->ending == ENDING_FIN_AT_ONCE || play->ending == ENDING_RESET_AT_ONCE
              || connection_is_read (connection)))
        {
          connection_finish (loopback, connection, &call, play->ending);
          finished = true;
        }
      ev_run (loopback->loop, EVRUN_NOWAIT);
      if (call.done && gs_exchange_state (call.exchange) != GS_EXCHANGE_STREAMING)
        break;
      if (call.done)
        large_read (&call, result);
    }
  state = gs_exchange_state (call.exchange);
  call_end (&call);
  loopback_close_connections (loopback);
  return state;
}

/* Plays the large answer of FORM, which has a head of HEAD_LENGTH bytes. */
static void
check_large (Loopback *loopback,
             const Form *form,
             const Play *play,
             size_t head_length,
             bool whole,
             Tally *tally)
{
  LargeRead result;
  GsExchangeState state = play_large (loopback, play, &result);
  size_t expected = form->ends_with_connection ? play->length - head_length : LARGE_BYTES;
  bool reset = play->ending == ENDING_RESET || play->ending == ENDING_RESET_AT_ONCE;
  bool ended = state == GS_EXCHANGE_STREAMING && result.end == GS_EXCHANGE_READ_END && result.intact
               && result.length == expected;
  bool broken = state == GS_EXCHANGE_FAILED
                || (state == GS_EXCHANGE_STREAMING && result.end == GS_EXCHANGE_READ_BROKEN
                    && result.intact);
  bool right = broken;

  if (form->ends_with_connection && loopback->mode == MODE_OWN)
    right = state == GS_EXCHANGE_FAILED;
  else if (form->ends_with_connection)
    right = reset ? broken : ended;
  else if (whole)
    right = ended || (broken && play->ending == ENDING_RESET_AT_ONCE);
  tally_check (tally, right,
               "%s, %s mode, %s after %zu bytes: state %s, %zu bytes read, intact %d, then %zd",
               form->name, mode_names[loopback->mode], ending_names[play->ending], play->length,
               state_name (state), result.length, result.intact, result.end);
}

/* Plays a large answer of FORM with STATUS without each of the N_CUTS numbers of last bytes. */
static void
check_large_form (Loopback *loopback,
                  const Form *form,
                  const char *status,
                  const size_t *cuts,
                  size_t n_cuts,
                  Tally *tally)
{
  size_t head_length;
  g_autoptr (GString) wire = large_wire (form, status, &head_length);

  for (size_t cut = 0; cut < n_cuts; cut++)
    for (Ending ending = ENDING_FIN; ending < N_ENDINGS; ending++)
      {
        Play play = { .bytes = wire->str, .length = wire->len - cuts[cut], .ending = ending };

        check_large (loopback, form, &play, head_length, cuts[cut] == 0, tally);
      }
}

/* Plays large answers of each form that has a body, with each status. */
static void
check_large_answers (const size_t *cuts, size_t n_cuts, Tally *tally)
{
  for (size_t i = 0; i < LARGE_BYTES; i++)
    large_content[i] = (char)(i % 251);
  for (Mode mode = 0; mode < N_MODES; mode++)
    for (size_t status = 0; status < G_N_ELEMENTS (statuses); status++)
      {
        Loopback *loopback = loopback_new (mode);

        for (size_t form = 0; form < G_N_ELEMENTS (forms); form++)
          if (strcmp (forms[form].content, CONTENT) == 0)
            check_large_form (loopback, &forms[form], statuses[status], cuts, n_cuts, tally);
        loopback_free (loopback);
      }
}

/* Guards against a large answer that is lost or altered while it is passed on. */
START_TEST (large_answer_is_streamed_whole)
{
  static const size_t cuts[] = { 0 };
  Tally tally = { 0 };

  check_large_answers (cuts, G_N_ELEMENTS (cuts), &tally);
  tally_assert (&tally, "large answers judged wrongly");
}
END_TEST

/* Guards against a streamed answer that is cut short and ends as a whole one. */
START_TEST (large_answer_that_is_cut_is_broken)
{
  static const size_t cuts[] = { 1, 2, 4, 7, 5000, 100000, 200000, 270000, 299000 };
  Tally tally = { 0 };

  check_large_answers (cuts, G_N_ELEMENTS (cuts), &tally);
  tally_assert (&tally, "large answers judged wrongly");
}
END_TEST

/* Guards against a large answer that is broken off and sent again behind that, streamed as one. */
START_TEST (large_answer_that_is_broken_off_and_repeated_is_broken)
{
  static const size_t cuts[] = { 0,
                                 1,
                                 5000,
                                 700000,
                                 1000000,
                                 GS_EXCHANGE_BUFFER_BYTES - 20,
                                 GS_EXCHANGE_BUFFER_BYTES,
                                 GS_EXCHANGE_BUFFER_BYTES + 100000,
                                 LARGE_BYTES - 60000,
                                 LARGE_BYTES - 100,
                                 LARGE_BYTES - 1 };
  static const Ending endings[] = { ENDING_FIN, ENDING_FIN_AT_ONCE };
  g_autofree char *head = g_strdup_printf (OK_HEAD ("Content-Length: %d\r\n"), LARGE_BYTES);
  Tally tally = { 0 };

  for (size_t i = 0; i < LARGE_BYTES; i++)
    large_content[i] = (char)(i % 251);
  for (Mode mode = 0; mode < N_MODES; mode++)
    for (size_t i = 0; i < G_N_ELEMENTS (cuts) * G_N_ELEMENTS (endings); i++)
      {
        Loopback *loopback = loopback_new (mode);
        size_t cut = cuts[i / G_N_ELEMENTS (endings)];
        g_autoptr (GString) wire = g_string_new (head);
        LargeRead result;
        Play play = { .ending = endings[i % G_N_ELEMENTS (endings)] };
        GsExchangeState state;

        g_string_append_len (wire, large_content, (gssize)cut);
        g_string_append (wire, head);
        g_string_append_len (wire, large_content, LARGE_BYTES);
        play.bytes = wire->str;
        play.length = wire->len;
        state = play_large (loopback, &play, &result);
        tally_check (&tally,
                     state == GS_EXCHANGE_FAILED
                         || (result.end == GS_EXCHANGE_READ_BROKEN && result.length < LARGE_BYTES),
                     "%s mode, again after %zu bytes: state %s, %zu bytes read, then %zd",
                     mode_names[mode], cut, state_name (state), result.length, result.end);
        loopback_free (loopback);
      }
  tally_assert (&tally, "large answers joined of two");
}
END_TEST

/* Guards against idle connections that use up the descriptors that new ones need. */
START_TEST (idle_connections_are_closed_for_new_ones)
{
  enum
  {
    MAX_CONNECTIONS = 3,
  };
  GsClientOptions client
      = { .max_idle = 10, .max_connections = MAX_CONNECTIONS, .skip_crash_check = true };
  GsExchangeOptions options = { .method = "GET", .echo = OWN_ECHO, .new_connection = true };
  static const char answer[] = OK_HEAD ("Content-Length: 2\r\n") "ok";
  Loopback *loopback = loopback_new (MODE_OWN);

  gs_client_free (loopback->client);
  client.loop = loopback->loop;
  loopback->client = gs_client_new (&client);
  for (uint32_t i = 1; i <= 2 * MAX_CONNECTIONS; i++)
    {
      Call call;
      call_start (loopback, &call, &options);
      connection_send (call_wait_for_request (loopback, &call), answer, strlen (answer));
      ck_assert_int_eq (call_wait_until_done (loopback, &call), GS_EXCHANGE_COMPLETE);
      call_end (&call);
      ck_assert_uint_eq (gs_client_n_connections (loopback->client), MIN (i, MAX_CONNECTIONS));
    }
  loopback_free (loopback);
}
END_TEST

enum
{
  SCARCE_ANSWER_BYTES = 3 * GS_EXCHANGE_SCARCE_BYTES / 2,
};

/* Guards against answers of many requests that together use up the memory, each within its own
 * limit. */
START_TEST (answers_are_streamed_early_while_many_bytes_are_held)
{
  GsClientOptions client = { .max_held_bytes = 1, .skip_crash_check = true };
  GsExchangeOptions options = { .method = "GET", .echo = OWN_ECHO };
  Loopback *loopback = loopback_new (MODE_OWN);
  g_autofree char *body = g_strnfill (SCARCE_ANSWER_BYTES, 'b');
  g_autofree char *wire
      = g_strdup_printf (OK_HEAD ("Content-Length: %d\r\n") "%s", SCARCE_ANSWER_BYTES, body);
  char block[SCARCE_ANSWER_BYTES];
  size_t length = 0;
  ssize_t got;
  Call call;

  gs_client_free (loopback->client);
  client.loop = loopback->loop;
  loopback->client = gs_client_new (&client);
  call_start (loopback, &call, &options);
  connection_send (call_wait_for_request (loopback, &call), wire, strlen (wire));
  ck_assert_int_eq (call_wait_until_done (loopback, &call), GS_EXCHANGE_STREAMING);
  ck_assert_uint_ge (gs_client_held_bytes (loopback->client), GS_EXCHANGE_SCARCE_BYTES);
  ck_assert_uint_lt (gs_client_held_bytes (loopback->client), SCARCE_ANSWER_BYTES);
  while ((got = gs_exchange_read (call.exchange, block, sizeof block)) > 0
         || got == GS_EXCHANGE_READ_PENDING)
    {
      length += (size_t)MAX (got, 0);
      ev_run (loopback->loop, EVRUN_NOWAIT);
    }
  ck_assert_int_eq (got, GS_EXCHANGE_READ_END);
  ck_assert_uint_eq (length, SCARCE_ANSWER_BYTES);
  call_end (&call);
  ck_assert_uint_eq (gs_client_held_bytes (loopback->client), 0);
  loopback_free (loopback);
}
END_TEST

enum
{
  HELD_UP_BODY_BYTES = 8 * 1024 * 1024, /* more than the sockets of a connection take */
};

/* Guards against an upstream that gets the rest of a request after the client has given it up: its
 * bytes are sent on, and again where they are lost, after an orderly close. */
START_TEST (request_that_is_given_up_is_not_delivered_later)
{
  g_autofree char *body = g_strnfill (HELD_UP_BODY_BYTES, 'b');
  GsExchangeOptions options = { .method = "POST",
                                .echo = OWN_ECHO,
                                .body = (const uint8_t *)body,
                                .body_length = HELD_UP_BODY_BYTES };
  Loopback *loopback = loopback_new (MODE_PLATFORM);
  Connection *connection;
  ssize_t got;
  Call call;

  call_start (loopback, &call, &options);
  connection = call_wait_for_request (loopback, &call);
  gs_exchange_cancel (call.exchange, GS_OUTCOME_CANCELLED);
  call_end (&call);
  do
    got = recv (connection->fd, body, HELD_UP_BODY_BYTES, 0);
  while (got > 0);
  ck_assert_msg (got < 0 && errno == ECONNRESET, "the connection ended in order");
  loopback_free (loopback);
}
END_TEST

enum
{
  REPEATED_BODY_BYTES = 200,
};

/* Plays an answer that breaks off after each number of bytes of its body and is then sent once
 * more, whole: the stated length is reached with bytes of the second one's head. */
static void
play_broken_off_and_repeated (Loopback *loopback, bool kept, Tally *tally)
{
  g_autofree char *body = g_strnfill (REPEATED_BODY_BYTES, 'b');
  g_autofree char *head = g_strdup_printf (OK_HEAD ("Content-Length: %d\r\n"), REPEATED_BODY_BYTES);

  for (size_t cut = 0; cut + strlen (head) <= REPEATED_BODY_BYTES; cut++)
    {
      g_autofree char *wire = g_strdup_printf ("%s%.*s%s%s", head, (int)cut, body, head, body);
      Play play = { .method = "GET",
                    .bytes = wire,
                    .length = strlen (wire),
                    .split = strlen (head) + cut,
                    .kept = kept,
                    .ending = ENDING_OPEN };
      Call call;
      GsExchangeState state = loopback_play (loopback, &call, &play);

      tally_state (tally, loopback, &play, "broken off and repeated", state,
                   state != GS_EXCHANGE_COMPLETE);
      call_end (&call);
      loopback_close_connections (loopback);
    }
}

/* Guards against an answer that is broken off, completed with bytes of its own repetition. */
START_TEST (answer_that_is_broken_off_and_repeated_is_not_complete)
{
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Loopback *loopback = loopback_new (mode);

      play_broken_off_and_repeated (loopback, false, &tally);
      play_broken_off_and_repeated (loopback, true, &tally);
      loopback_free (loopback);
    }
  tally_assert (&tally, "answers completed with bytes of another one");
}
END_TEST

/* Guards against a late copy of a refusal, taken for the answer to a request with the same id. */
START_TEST (copy_of_the_answer_to_an_earlier_request_with_the_same_id_is_not_complete)
{
  static const char copy[] = HEAD ("HTTP/1.1 503 Busy", LENGTH ("5")) "stale";
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Loopback *loopback = loopback_new (mode);
      GsExchangeOptions options = { .method = "GET", .echo = OWN_ECHO };
      uint32_t serial = loopback_complete_request (loopback, OWN_ECHO)->serial;
      Connection *connection;
      Call call;

      call_start (loopback, &call, &options);
      connection = call_wait_for_request (loopback, &call);
      ck_assert_ptr_nonnull (connection);
      if (connection->serial == serial)
        {
          connection_send (connection, copy, strlen (copy));
          connection_settle (loopback, connection, &call);
        }
      tally_check (&tally, gs_exchange_state (call.exchange) != GS_EXCHANGE_COMPLETE,
                   "%s mode: state %s", mode_names[mode],
                   state_name (gs_exchange_state (call.exchange)));
      call_end (&call);
      loopback_free (loopback);
    }
  tally_assert (&tally, "copies of earlier answers taken as complete");
}
END_TEST

/* Guards against a stated idle timeout whose conversion overflows. */
START_TEST (keep_alive_with_a_large_timeout_is_read)
{
  static const char *const timeouts[]
      = { "9223372036854775", "9223372036854775807", "18446744073709551615" };

  for (size_t i = 0; i < G_N_ELEMENTS (timeouts); i++)
    {
      Loopback *loopback = loopback_new (MODE_PLATFORM);
      g_autofree char *wire
          = g_strdup_printf (OK_HEAD ("Keep-Alive: timeout=%s\r\n" LENGTH ("2")) "ok", timeouts[i]);
      Play play
          = { .method = "GET", .bytes = wire, .length = strlen (wire), .ending = ENDING_OPEN };
      Call call;

      ck_assert_int_eq (loopback_play (loopback, &call, &play), GS_EXCHANGE_COMPLETE);
      call_end (&call);
      loopback_free (loopback);
    }
}
END_TEST

/* Reads what is there of the request's body. RETURN VALUE: whether all bytes are those of BODY. */
static bool
connection_compare (Connection *connection, const char *body, size_t *n_received)
{
  static char block[65536];
  ssize_t got;

  while ((got = recv (connection->fd, block, sizeof block, 0)) > 0)
    {
      if (*n_received + (size_t)got > UPLOAD_BYTES
          || memcmp (block, body + *n_received, (size_t)got) != 0)
        return false;
      *n_received += (size_t)got;
    }
  return true;
}

/* Guards against a large answer that comes before the request has been written whole: its owner
 * learns of it while the rest of the request's body is still to be sent. */
START_TEST (large_answer_before_the_whole_request_is_streamed_whole)
{
  g_autofree char *body = g_strnfill (UPLOAD_BYTES, 'u');
  size_t head_length;
  g_autoptr (GString) wire = large_wire (&forms[3], "200 OK", &head_length);
  Loopback *loopback = loopback_new (MODE_PLATFORM);
  GsExchangeOptions options
      = { .method = "POST", .echo = OWN_ECHO, .body = body, .body_length = UPLOAD_BYTES };
  LargeRead result = { .end = GS_EXCHANGE_READ_PENDING, .intact = true };
  size_t n_received = 0;
  bool is_same = true;
  Connection *connection;
  Call call;

  ck_assert_str_eq (forms[3].name, "until close");
  call_start (loopback, &call, &options);
  connection = call_wait_for_request (loopback, &call);
  ck_assert_ptr_nonnull (connection);
  while (!call.done)
    {
      ssize_t sent = send (connection->fd, wire->str + connection->sent_bytes,
                           wire->len - connection->sent_bytes, MSG_NOSIGNAL);
      connection->sent_bytes += (size_t)MAX (sent, 0);
      ev_run (loopback->loop, EVRUN_NOWAIT);
    }
  ck_assert_int_eq (gs_exchange_state (call.exchange), GS_EXCHANGE_STREAMING);
  while (result.end == GS_EXCHANGE_READ_PENDING)
    {
      is_same = connection_compare (connection, body, &n_received) && is_same;
      ev_run (loopback->loop, EVRUN_NOWAIT);
      if (connection->sent_bytes < wire->len)
        connection->sent_bytes
            += (size_t)MAX (send (connection->fd, wire->str + connection->sent_bytes,
                                  wire->len - connection->sent_bytes, MSG_NOSIGNAL),
                            0);
      else if (connection_is_read (connection))
        shutdown (connection->fd, SHUT_WR);
      large_read (&call, &result);
    }
  ck_assert_msg (is_same, "other bytes than the request's after %zu", n_received);
  ck_assert_msg (result.end == GS_EXCHANGE_READ_END && result.intact
                     && result.length == wire->len - head_length,
                 "the answer is not whole: found end %zd after %zu bytes, expected %d after %zu",
                 result.end, result.length, GS_EXCHANGE_READ_END, wire->len - head_length);
  call_end (&call);
  loopback_free (loopback);
}
END_TEST

FIXTURE_MAIN ("exchange",
              &whole_answer_in_two_parts_is_complete,
              &answer_that_ends_in_its_head_is_not_complete,
              &answer_that_is_reset_in_its_head_is_not_complete,
              &answer_that_ends_in_its_body_is_not_complete,
              &chunked_answer_that_ends_before_its_last_line_is_not_complete,
              &answer_that_is_reset_in_its_body_is_not_complete,
              &valid_answer_of_an_uncommon_form_is_complete,
              &answer_with_two_lengths_is_not_complete,
              &answer_with_a_malformed_length_is_not_complete,
              &answer_with_a_contradictory_coding_is_not_complete,
              &answer_with_a_malformed_chunk_is_not_complete,
              &answer_with_a_malformed_head_is_not_complete,
              &answer_whose_first_line_is_folded_is_not_complete,
              &answer_with_a_malformed_status_line_is_not_complete,
              &answer_with_a_contradictory_status_is_not_complete,
              &connection_with_bytes_after_an_answer_is_not_used_again,
              &second_answer_is_not_taken_for_that_of_the_next_request,
              &second_answer_without_a_name_is_not_taken_for_that_of_the_next_request,
              &answer_without_a_name_on_a_new_connection_is_complete,
              &request_without_an_id_is_complete,
              &answer_without_a_name_on_a_kept_connection_is_not_complete,
              &answer_that_names_a_long_id_is_complete,
              &answer_that_names_another_request_is_not_complete,
              &connection_that_the_answer_ends_is_not_used_again,
              &connection_that_ended_while_idle_is_not_used_again,
              &headers_of_an_interim_answer_are_not_those_of_the_answer,
              &trailers_are_not_headers,
              &trailer_does_not_name_the_request,
              &reset_during_the_request_does_not_end_the_answer,
              &large_answer_is_streamed_whole,
              &large_answer_that_is_cut_is_broken,
              &large_answer_that_is_broken_off_and_repeated_is_broken,
              &idle_connections_are_closed_for_new_ones,
              &answers_are_streamed_early_while_many_bytes_are_held,
              &request_that_is_given_up_is_not_delivered_later,
              &answer_that_is_broken_off_and_repeated_is_not_complete,
              &copy_of_the_answer_to_an_earlier_request_with_the_same_id_is_not_complete,
              &keep_alive_with_a_large_timeout_is_read,
              &large_answer_before_the_whole_request_is_streamed_whole)
