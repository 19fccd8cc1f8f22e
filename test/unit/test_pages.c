/* Unit tests of platform/pages. */
#include "fixture.h"

#include "../../platform/pages.h"

enum
{
  END_OFFSET = 9, /* of the log in the pages below */
  FROM_OFFSET = 7,
};

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

static GsStoreResult
decode_log (const GByteArray *body, GsStorePage *page)
{
  return platform_decode_log_page ((const char *)body->data, body->len, FROM_OFFSET, page);
}

/* The records between the requested offset and the end of the log would be skipped. */
START_TEST (log_page_without_the_records_before_the_end_is_a_gap)
{
  for (uint64_t end = 0; end <= END_OFFSET; end++)
    {
      g_autoptr (GByteArray) body = log_body (end);
      GsStorePage page = gs_store_page_empty ();
      ck_assert_msg (decode_log (body, &page) == (end > FROM_OFFSET ? GS_STORE_GAP : GS_STORE_OK),
                     "end %u", (unsigned int)end);
      gs_store_page_clear (&page);
    }
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

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    for (int position = 0; position < 3; position++)
      {
        g_autoptr (GByteArray) body = log_body (FROM_OFFSET + 3);
        GsStorePage page = gs_store_page_empty ();
        int good = 0;
        for (int place = 0; place < 3; place++)
          if (place == position)
            append_record (body, odd[i].content, odd[i].length);
          else
            append_record (body, good++ == 0 ? "\001ax" : "\001cx", 3);
        ck_assert_int_eq (decode_log (body, &page), GS_STORE_OK);
        assert_others_hold (&page, FROM_OFFSET + 3, odd[i].content);
        ck_assert_uint_eq (find_record (&page, "a")->offset, FROM_OFFSET + (position == 0 ? 1 : 0));
        gs_store_page_clear (&page);
      }
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
assert_item_is_left_out (const char *odd)
{
  static const char *const good[] = { "{\"Key\":\"a\",\"Value\":\"eA==\",\"Offset\":3}",
                                      "{\"Key\":\"c\",\"Value\":\"eQ==\",\"Offset\":8}" };

  for (int position = 0; position < 3; position++)
    {
      GString *text = g_string_new ("{\"items\":[");
      GsStorePage page = gs_store_page_empty ();
      PlatformNewestPage newest;
      bool ok;
      int next = 0;
      for (int place = 0; place < 3; place++)
        g_string_append_printf (text, "%s%s", place > 0 ? "," : "",
                                place == position ? odd : good[next++]);
      g_string_append (text, "],\"More\":false,\"EndOffset\":9}");
      ok = platform_decode_newest_page (text->str, text->len, &newest, &page);
      page.next_offset = newest.end_offset;
      ck_assert_msg (ok && !newest.more, "%.80s at %d", odd, position);
      assert_others_hold (&page, END_OFFSET, odd);
      ck_assert_msg (find_record (&page, "b") == NULL, "%.80s at %d", odd, position);
      gs_store_page_clear (&page);
      platform_newest_page_clear (&newest);
      g_string_free (text, TRUE);
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

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    assert_item_is_left_out (odd[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (depths); i++)
    {
      g_autofree char *arrays = nested ('[', "", ']', depths[i]);
      g_autofree char *objects = nested ('{', "\"k\":", '}', depths[i]);
      g_autofree char *field = g_strdup_printf ("{\"Key\":%s}", objects);
      assert_item_is_left_out (arrays);
      assert_item_is_left_out (objects);
      assert_item_is_left_out (field);
    }
}
END_TEST

FIXTURE_MAIN ("pages",
              &log_page_without_the_records_before_the_end_is_a_gap,
              &odd_record_at_any_position_leaves_the_others,
              &odd_item_at_any_position_leaves_the_others)
