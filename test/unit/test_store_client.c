/* Unit tests of platform/store_client against a loopback store. */
#include "fixture.h"
#include "loopback_server.h"

#include "../../platform/store_client.h"

enum
{
  END_OFFSET = 9, /* of the log in the answers below */
  FROM_OFFSET = 7,
};

static const char newest_body[]
    = "{\"items\":[{\"Key\":\"a\",\"Value\":\"eA==\",\"Offset\":3},"
      "{\"Key\":\"b\",\"Value\":\"eQ==\",\"Offset\":8}],\"More\":false,\"EndOffset\":9}";

static void
append_number (GByteArray *bytes, uint64_t value, int width)
{
  for (int i = width - 1; i >= 0; i--)
    {
      guint8 byte = (guint8)(value >> (8 * i));
      g_byte_array_append (bytes, &byte, 1);
    }
}

static void
append_record (GByteArray *bytes, const char *content, size_t length)
{
  append_number (bytes, length, 4);
  g_byte_array_append (bytes, (const guint8 *)content, (guint)length);
}

/* RETURN VALUE: the body of a read whose log ends at END, without records. */
static GByteArray *
log_body (uint64_t end)
{
  GByteArray *body = g_byte_array_new ();

  append_number (body, end, 8);
  append_number (body, 0, 8);
  return body;
}

static GByteArray *
two_records_body (void)
{
  GByteArray *body = log_body (END_OFFSET);

  append_record (body, "\001ax", 3);
  append_record (body, "\001by", 3);
  return body;
}

typedef enum
{
  CALL_READ = 0,
  CALL_NEWEST,
  CALLS,
} Call;

static GsStoreResult
make_call (GsStore *store, Call kind, GsStorePage *page)
{
  if (kind == CALL_READ)
    return gs_store_read (store, GS_STORE_TOPIC_REGISTRATIONS, FROM_OFFSET, 0, page);
  return gs_store_read_newest (store, GS_STORE_TOPIC_REGISTRATIONS, page);
}

static GByteArray *
answer_to (Call kind, unsigned int status, LoopbackFraming framing)
{
  g_autoptr (GByteArray) body = two_records_body ();

  if (kind == CALL_READ)
    return loopback_answer (status, framing, body->data, body->len);
  return loopback_answer (status, framing, newest_body, strlen (newest_body));
}

/* Plays ANSWER, then FIN. RETURN VALUE: the result of a call. */
static GsStoreResult
call_once (LoopbackServer *server, Call kind, const void *answer, size_t length, GsStorePage *page)
{
  GsStore *store = platform_store_new (server->url);
  GsStoreResult result;

  loopback_set (server, answer, length);
  result = make_call (store, kind, page);
  gs_store_free (store);
  return result;
}

static GsStoreResult
result_of (LoopbackServer *server, Call kind, const void *answer, size_t length)
{
  GsStorePage page;
  GsStoreResult result = call_once (server, kind, answer, length, &page);

  gs_store_page_clear (&page);
  return result;
}

/* A shorter list that is taken for the whole one removes upstreams; a shorter log skips records.
 * The last byte of a chunked answer says nothing: its last chunk has ended. */
START_TEST (answer_cut_at_any_byte_is_not_used)
{
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (Call kind = 0; kind < CALLS; kind++)
    for (LoopbackFraming framing = 0; framing <= LOOPBACK_CHUNKED; framing++)
      {
        g_autoptr (GByteArray) answer = answer_to (kind, 200, framing);
        for (guint length = 0; length < answer->len - (framing == LOOPBACK_CHUNKED ? 1 : 0);
             length++)
          ck_assert_msg (result_of (server, kind, answer->data, length) == GS_STORE_UNAVAILABLE,
                         "call %d, framing %d, cut at byte %u", kind, framing, length);
        ck_assert_int_eq (result_of (server, kind, answer->data, answer->len), GS_STORE_OK);
      }
  loopback_free (server);
}
END_TEST

/* Only the end of the connection ends such an answer, which a cut one does too. */
START_TEST (answer_without_length_is_not_used)
{
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (Call kind = 0; kind < CALLS; kind++)
    {
      g_autoptr (GByteArray) answer = answer_to (kind, 200, LOOPBACK_UNFRAMED);
      for (guint length = 0; length <= answer->len; length++)
        ck_assert_msg (result_of (server, kind, answer->data, length) == GS_STORE_UNAVAILABLE,
                       "call %d, cut at byte %u", kind, length);
    }
  loopback_free (server);
}
END_TEST

/* Acting on 410 discards the position of the reader. */
START_TEST (status_of_a_cut_head_is_not_used)
{
  static const struct
  {
    unsigned int status;
    GsStoreResult result;
  } rows[] = { { 410, GS_STORE_GAP }, { 429, GS_STORE_RATE_LIMITED } };
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (GByteArray) answer = answer_to (CALL_READ, rows[i].status, LOOPBACK_LENGTH);
      for (guint length = 0; length < answer->len; length++)
        ck_assert_msg (result_of (server, CALL_READ, answer->data, length) == GS_STORE_UNAVAILABLE,
                       "status %u, cut at byte %u", rows[i].status, length);
      ck_assert_int_eq (result_of (server, CALL_READ, answer->data, answer->len), rows[i].result);
    }
  loopback_free (server);
}
END_TEST

/* Whichever statement is followed, the sender may have meant the other. */
START_TEST (answer_with_contradictory_framing_is_not_used)
{
  static const char *const framings[] = { "Content-Length: 2\r\nContent-Length: 26\r\n",
                                          "Content-Length: 26\r\nContent-Length: 2\r\n",
                                          "Content-Length: 26\r\nTransfer-Encoding: chunked\r\n",
                                          "Transfer-Encoding: chunked\r\nContent-Length: 26\r\n",
                                          "Transfer-Encoding: gzip, chunked\r\n",
                                          "Content-Length: 26x\r\n",
                                          "Content-Length: 26, 27\r\n",
                                          "Content-Length: -1\r\n",
                                          "Content-Length:\r\n" };
  static const char chunked_body[] = "1a\r\n{\"items\":[],\"EndOffset\":9}\r\n0\r\n\r\n";
  static const char body[] = "{\"items\":[],\"EndOffset\":9}";
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (size_t i = 0; i < G_N_ELEMENTS (framings); i++)
    {
      bool chunked = strstr (framings[i], "chunked") != NULL;
      g_autofree char *answer = g_strdup_printf ("HTTP/1.1 200 OK\r\n%s\r\n%s", framings[i],
                                                 chunked ? chunked_body : body);
      ck_assert_msg (result_of (server, CALL_NEWEST, answer, strlen (answer))
                         == GS_STORE_UNAVAILABLE,
                     "%s", framings[i]);
    }
  loopback_free (server);
}
END_TEST

/* Its records would be counted from the wrong offset, and the records in their place be skipped. */
START_TEST (second_copy_of_an_answer_is_not_taken_for_the_next_one)
{
  LoopbackServer *server = loopback_new (LOOPBACK_REPEATS);
  GsStore *store = platform_store_new (server->url);
  g_autoptr (GByteArray) first_body = two_records_body ();
  g_autoptr (GByteArray) second_body = log_body (END_OFFSET + 1);
  g_autoptr (GByteArray) first = NULL;
  g_autoptr (GByteArray) second = NULL;
  GsStorePage page;

  append_record (second_body, "\001cz", 3);
  first = loopback_answer (200, LOOPBACK_LENGTH, first_body->data, first_body->len);
  second = loopback_answer (200, LOOPBACK_LENGTH, second_body->data, second_body->len);
  loopback_set (server, first->data, first->len);
  loopback_add (server, second->data, second->len);
  ck_assert_int_eq (make_call (store, CALL_READ, &page), GS_STORE_OK);
  gs_store_page_clear (&page);
  ck_assert_int_eq (gs_store_read (store, GS_STORE_TOPIC_REGISTRATIONS, END_OFFSET, 0, &page),
                    GS_STORE_OK);
  ck_assert_uint_eq (page.records->len, 1);
  ck_assert_str_eq (g_array_index (page.records, GsStoreRecord, 0).key, "c");
  gs_store_page_clear (&page);
  gs_store_free (store);
  loopback_free (server);
}
END_TEST

/* The records between the requested offset and the end of the log would be skipped. */
START_TEST (log_page_without_the_records_before_the_end_is_a_gap)
{
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (uint64_t end = 0; end <= END_OFFSET; end++)
    {
      g_autoptr (GByteArray) body = log_body (end);
      g_autoptr (GByteArray) answer = loopback_answer (200, LOOPBACK_LENGTH, body->data, body->len);
      ck_assert_msg (result_of (server, CALL_READ, answer->data, answer->len)
                         == (end > FROM_OFFSET ? GS_STORE_GAP : GS_STORE_OK),
                     "end %u", (unsigned int)end);
    }
  loopback_free (server);
}
END_TEST

/* RETURN VALUE: the record of KEY in PAGE, or NULL. */
static const GsStoreRecord *
find_record (const GsStorePage *page, const char *key)
{
  for (guint i = 0; i < page->records->len; i++)
    if (strcmp (g_array_index (page->records, GsStoreRecord, i).key, key) == 0)
      return &g_array_index (page->records, GsStoreRecord, i);
  return NULL;
}

static void
assert_others_hold (const GsStorePage *page, uint64_t next_offset, const char *odd)
{
  ck_assert_msg (find_record (page, "a") != NULL && find_record (page, "c") != NULL, "%.80s", odd);
  ck_assert_msg (page->next_offset == next_offset, "%.80s", odd);
}

/* A record has no name when its content does not hold a key; a NUL would cut the key to the one of
 * another record. */
START_TEST (odd_record_at_any_position_leaves_the_others)
{
  static const struct
  {
    const char *content;
    size_t length;
  } odd[] = { { "", 0 },           { "\001", 1 },        { "\000", 1 },
              { "\000value", 6 },  { "\005abc", 4 },     { "\377abc", 4 },
              { "\003a\000x", 4 }, { "\003a\000xy", 5 }, { "\002\377\376{", 4 },
              { "\001b{", 3 } };
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    for (int position = 0; position < 3; position++)
      {
        g_autoptr (GByteArray) body = log_body (FROM_OFFSET + 3);
        g_autoptr (GByteArray) answer = NULL;
        GsStorePage page;
        int good = 0;
        for (int place = 0; place < 3; place++)
          if (place == position)
            append_record (body, odd[i].content, odd[i].length);
          else
            append_record (body, good++ == 0 ? "\001ax" : "\001cx", 3);
        answer = loopback_answer (200, LOOPBACK_LENGTH, body->data, body->len);
        ck_assert_int_eq (call_once (server, CALL_READ, answer->data, answer->len, &page),
                          GS_STORE_OK);
        assert_others_hold (&page, FROM_OFFSET + 3, odd[i].content);
        ck_assert_uint_eq (find_record (&page, "a")->offset, FROM_OFFSET + (position == 0 ? 1 : 0));
        gs_store_page_clear (&page);
      }
  loopback_free (server);
}
END_TEST

/* RETURN VALUE: a newly allocated text of DEPTH opening brackets and as many closing ones. */
static char *
nested (char open, const char *between, char close, int depth)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < depth; i++)
    {
      g_string_append_c (text, open);
      if (i < depth - 1)
        g_string_append (text, between);
    }
  for (int i = 0; i < depth; i++)
    g_string_append_c (text, close);
  return g_string_free (text, FALSE);
}

/* Reads a page with the item ODD at each position among those of the keys a and c. */
static void
assert_item_is_left_out (LoopbackServer *server, const char *odd)
{
  static const char *const good[] = { "{\"Key\":\"a\",\"Value\":\"eA==\",\"Offset\":3}",
                                      "{\"Key\":\"c\",\"Value\":\"eQ==\",\"Offset\":8}" };

  for (int position = 0; position < 3; position++)
    {
      GString *text = g_string_new ("{\"items\":[");
      g_autoptr (GByteArray) answer = NULL;
      GsStorePage page;
      GsStoreResult result;
      int next = 0;
      for (int place = 0; place < 3; place++)
        g_string_append_printf (text, "%s%s", place > 0 ? "," : "",
                                place == position ? odd : good[next++]);
      g_string_append (text, "],\"More\":false,\"EndOffset\":9}");
      answer = loopback_answer (200, LOOPBACK_LENGTH, text->str, text->len);
      g_string_free (text, TRUE);
      result = call_once (server, CALL_NEWEST, answer->data, answer->len, &page);
      ck_assert_msg (result == GS_STORE_OK, "%.80s at %d", odd, position);
      assert_others_hold (&page, END_OFFSET, odd);
      ck_assert_msg (find_record (&page, "b") == NULL, "%.80s at %d", odd, position);
      gs_store_page_clear (&page);
    }
}

/* Callers kept the list of before, as every read of the page failed because of the one item. */
START_TEST (odd_item_at_any_position_leaves_the_others)
{
  static const char *const odd[]
      = { "{\"Key\":\"b\",\"Value\":\"eA==\",\"Offset\":4,\"New\":1e999}",
          "null",
          "7",
          "\"text\"",
          "[]",
          "{}",
          "[{\"Key\":\"b\"}]",
          "{\"Value\":\"eA==\",\"Offset\":4}",
          "{\"Key\":7,\"Value\":\"eA==\",\"Offset\":4}",
          "{\"Key\":null,\"Value\":\"eA==\",\"Offset\":4}",
          "{\"Key\":\"b\",\"Offset\":4}",
          "{\"Key\":\"b\",\"Value\":{},\"Offset\":4}",
          "{\"Key\":\"b\",\"Value\":\"!!!\",\"Offset\":4}",
          "{\"Key\":\"b\",\"Value\":\"eA=\",\"Offset\":4}",
          "{\"Key\":\"b\",\"Value\":\"eA==\"}",
          "{\"Key\":\"b\",\"Value\":\"eA==\",\"Offset\":-4}",
          "{\"Key\":\"b\",\"Value\":\"eA==\",\"Offset\":4.5}",
          "{\"Key\":\"b\",\"Value\":\"eA==\",\"Offset\":\"4\"}",
          "{\"Key\":\"b\",\"Value\":\"eA==\",\"Offset\":9223372036854775808}",
          "{\"Key\":\"b\",\"Value\":\"eA==\",\"Offset\":1e999}",
          "{\"Key\":\"b\",\"Value\":\"eA==\",\"Offset\":NaN}",

          "{\"Key\":\"a\\u0000x\",\"Value\":\"eA==\",\"Offset\":4}",
          "{\"Key\":\"\\ud800\",\"Value\":\"eA==\",\"Offset\":4}",
          "{\"Key\":\"\377\376\",\"Value\":\"eA==\",\"Offset\":4}",
          "{\"Key\":\"b\\\"]}\",\"Value\":\"eA==\",\"Offset\":4}",
          "{\"Key\":\"b\\\\\",\"Value\":\"eA==\",\"Offset\":4}",
          "{\"Key\":\"\",\"Value\":\"eA==\",\"Offset\":4}" };
  static const int depths[] = { 1, 2, 100, 2040, 2048, 2060, 10000, 100000 };
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    assert_item_is_left_out (server, odd[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (depths); i++)
    {
      g_autofree char *arrays = nested ('[', "", ']', depths[i]);
      g_autofree char *objects = nested ('{', "\"k\":", '}', depths[i]);
      g_autofree char *field = g_strdup_printf ("{\"Key\":%s}", objects);
      assert_item_is_left_out (server, arrays);
      assert_item_is_left_out (server, objects);
      assert_item_is_left_out (server, field);
    }
  loopback_free (server);
}
END_TEST

/* Otherwise the first page is taken for the whole list, or the same page is requested for ever. */
START_TEST (list_that_does_not_go_on_is_not_used)
{
  static const char *const pages[]
      = { "{\"items\":[],\"More\":true,\"EndOffset\":9}",
          "{\"items\":[7],\"More\":true,\"EndOffset\":9}",
          "{\"items\":[{\"Key\":\"a\",\"Value\":\"eA==\",\"Offset\":3}],\"More\":true,"
          "\"EndOffset\":9}",
          "{\"items\":[],\"EndOffset\":-9}",
          "{\"items\":[],\"EndOffset\":9.5}",
          "{\"items\":[],\"More\":\"true\",\"EndOffset\":9}",
          "{\"items\":{},\"EndOffset\":9}",
          "{\"items\":[]}",
          "{\"More\":false,\"EndOffset\":9}",
          "{\"items\":[],\"EndOffset\":9}x",
          "[]",
          "{}",
          "" };
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (size_t i = 0; i < G_N_ELEMENTS (pages); i++)
    {
      g_autoptr (GByteArray) answer
          = loopback_answer (200, LOOPBACK_LENGTH, pages[i], strlen (pages[i]));
      ck_assert_msg (result_of (server, CALL_NEWEST, answer->data, answer->len)
                         == GS_STORE_UNAVAILABLE,
                     "%s", pages[i]);
      ck_assert_msg (server->n_requests <= 2, "%s", pages[i]);
    }
  loopback_free (server);
}
END_TEST

/* The items without a readable key come last in their page. */
START_TEST (list_goes_on_after_an_odd_item_that_ends_a_page)
{
  static const char *const last[]
      = { "7", "{\"Key\":\"a\\u0000x\",\"Value\":\"eA==\",\"Offset\":4}",
          "{\"Key\":\"b\",\"Value\":\"eA==\",\"Offset\":-1}", "{\"Key\":\"b\"}" };
  static const char second_page[]
      = "{\"items\":[{\"Key\":\"c\",\"Value\":\"eQ==\",\"Offset\":8}],\"EndOffset\":12}";
  g_autoptr (GByteArray) second
      = loopback_answer (200, LOOPBACK_LENGTH, second_page, strlen (second_page));
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (size_t i = 0; i < G_N_ELEMENTS (last); i++)
    {
      g_autofree char *text
          = g_strdup_printf ("{\"items\":[{\"Key\":\"a\",\"Value\":\"eA==\",\"Offset\":3},%s],"
                             "\"More\":true,\"EndOffset\":9}",
                             last[i]);
      g_autoptr (GByteArray) first = loopback_answer (200, LOOPBACK_LENGTH, text, strlen (text));
      GsStore *store = platform_store_new (server->url);
      GsStorePage page;
      loopback_set (server, first->data, first->len);
      loopback_add (server, second->data, second->len);
      ck_assert_int_eq (make_call (store, CALL_NEWEST, &page), GS_STORE_OK);
      assert_others_hold (&page, END_OFFSET, last[i]);
      gs_store_page_clear (&page);
      gs_store_free (store);
    }
  loopback_free (server);
}
END_TEST

FIXTURE_MAIN ("store_client",
              &answer_cut_at_any_byte_is_not_used,
              &answer_without_length_is_not_used,
              &status_of_a_cut_head_is_not_used,
              &answer_with_contradictory_framing_is_not_used,
              &second_copy_of_an_answer_is_not_taken_for_the_next_one,
              &log_page_without_the_records_before_the_end_is_a_gap,
              &odd_record_at_any_position_leaves_the_others,
              &odd_item_at_any_position_leaves_the_others,
              &list_that_does_not_go_on_is_not_used,
              &list_goes_on_after_an_odd_item_that_ends_a_page)
