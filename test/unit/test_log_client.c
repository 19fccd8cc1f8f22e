/* Unit tests of store/log_client against a loopback log. */
#include "fixture.h"
#include "loopback_server.h"

#include <msgpack.h>

#include "../../src/gentian/store/log_client.h"

enum
{
  TIMEOUT_MS = 2000,
  FROM_OFFSET = 7,
};

static const char append_body[] = "{\"offset\": 12}";
static const char list_body[] = "[{\"id\": \"d1\", \"state\": \"live\"}]";

/* Plays ANSWER, then FIN. RETURN VALUE: the result of an append. */
static GsAppendResult
append_once (LoopbackServer *server, const void *answer, size_t length)
{
  GsLogClient *client = gs_log_client_new (server->url, TIMEOUT_MS);
  g_autoptr (GBytes) record = g_bytes_new_static ("record", 6);
  GsAppendResult result;

  loopback_set (server, answer, length);
  result = gs_log_append (client, "claims-01", record, NULL);
  gs_log_client_free (client);
  return result;
}

static GsAppendResult
append_body_once (LoopbackServer *server, const char *body)
{
  g_autoptr (GByteArray) answer = loopback_answer (200, LOOPBACK_LENGTH, body, strlen (body));

  return append_once (server, answer->data, answer->len);
}

/* An edit or a claim would count as stored, or as certainly not stored, when neither is known. */
START_TEST (append_is_unknown_when_its_answer_is_cut_at_any_byte)
{
  static const struct
  {
    unsigned int status;
    GsAppendResult result;
  } rows[] = { { 503, GS_APPEND_NOT_DONE }, { 200, GS_APPEND_DONE }, { 500, GS_APPEND_UNKNOWN } };
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    for (LoopbackFraming framing = 0; framing <= LOOPBACK_UNFRAMED; framing++)
      {
        g_autoptr (GByteArray) answer
            = loopback_answer (rows[i].status, framing, append_body, strlen (append_body));
        guint whole = answer->len - (framing == LOOPBACK_CHUNKED ? 1 : 0);
        for (guint length = 0; length < whole; length++)
          ck_assert_msg (append_once (server, answer->data, length) == GS_APPEND_UNKNOWN,
                         "status %u, framing %d, cut at byte %u", rows[i].status, framing, length);
        ck_assert_msg (append_once (server, answer->data, answer->len)
                           == (framing == LOOPBACK_UNFRAMED ? GS_APPEND_UNKNOWN : rows[i].result),
                       "status %u, framing %d", rows[i].status, framing);
      }
  loopback_free (server);
}
END_TEST

START_TEST (append_is_unknown_when_its_answer_has_no_valid_offset)
{
  static const char *const bodies[]
      = { "", "{}", "[]", "{\"offset\": \"12\"}", "{\"offset\": -1}", "{\"offset\": 1.5}" };
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    ck_assert_msg (append_body_once (server, bodies[i]) == GS_APPEND_UNKNOWN, "%s", bodies[i]);
  loopback_free (server);
}
END_TEST

/* A record that is not in the log would count as stored, or one that is as refused. */
START_TEST (second_copy_of_an_answer_is_not_taken_for_that_to_the_next_append)
{
  static const struct
  {
    unsigned int first;
    unsigned int second;
    GsAppendResult result;
  } rows[] = { { 200, 503, GS_APPEND_NOT_DONE }, { 503, 200, GS_APPEND_DONE } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      LoopbackServer *server = loopback_new (LOOPBACK_REPEATS);
      GsLogClient *client = gs_log_client_new (server->url, TIMEOUT_MS);
      g_autoptr (GBytes) record = g_bytes_new_static ("record", 6);
      g_autoptr (GByteArray) first
          = loopback_answer (rows[i].first, LOOPBACK_LENGTH, append_body, strlen (append_body));
      g_autoptr (GByteArray) second
          = loopback_answer (rows[i].second, LOOPBACK_LENGTH, append_body, strlen (append_body));
      loopback_set (server, first->data, first->len);
      loopback_add (server, second->data, second->len);
      gs_log_append (client, "claims-01", record, NULL);
      ck_assert_int_eq (gs_log_append (client, "claims-02", record, NULL), rows[i].result);
      gs_log_client_free (client);
      loopback_free (server);
    }
}
END_TEST

/* RETURN VALUE: the body of a read of a log with the offsets 0 to 9, with COUNT records from FIRST
 * on. */
static GByteArray *
page_body (uint64_t first, uint64_t count)
{
  GByteArray *body = g_byte_array_new ();
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 5);
  msgpack_pack_uint64 (&packer, 0);
  msgpack_pack_uint64 (&packer, 10);
  msgpack_pack_uint64 (&packer, 1000);
  msgpack_pack_uint64 (&packer, 1000);
  msgpack_pack_array (&packer, count);
  for (uint64_t i = 0; i < count; i++)
    {
      msgpack_pack_array (&packer, 3);
      msgpack_pack_uint64 (&packer, first + i);
      msgpack_pack_uint64 (&packer, 900);
      msgpack_pack_bin (&packer, 1);
      msgpack_pack_bin_body (&packer, "x", 1);
    }
  g_byte_array_append (body, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return body;
}

static bool
read_once (LoopbackServer *server, const void *answer, size_t length)
{
  GsLogClient *client = gs_log_client_new (server->url, TIMEOUT_MS);
  GsLogPage page;
  bool ok;

  loopback_set (server, answer, length);
  ok = gs_log_read (client, "config", FROM_OFFSET, 100, &page);
  if (ok)
    gs_log_page_clear (&page);
  gs_log_client_free (client);
  return ok;
}

START_TEST (read_fails_when_its_answer_is_cut_at_any_byte)
{
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (LoopbackFraming framing = 0; framing <= LOOPBACK_UNFRAMED; framing++)
    {
      g_autoptr (GByteArray) body = page_body (FROM_OFFSET, 2);
      g_autoptr (GByteArray) answer = loopback_answer (200, framing, body->data, body->len);
      guint whole = answer->len - (framing == LOOPBACK_CHUNKED ? 1 : 0);
      for (guint length = 0; length < whole; length++)
        ck_assert_msg (!read_once (server, answer->data, length), "framing %d, cut at byte %u",
                       framing, length);
      ck_assert_int_eq (read_once (server, answer->data, answer->len),
                        framing != LOOPBACK_UNFRAMED);
    }
  loopback_free (server);
}
END_TEST

/* A late answer to an earlier read, of another stream perhaps; the position would skip records. */
START_TEST (read_fails_when_its_records_are_not_those_requested)
{
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (uint64_t first = 0; first < 10; first++)
    {
      g_autoptr (GByteArray) body = page_body (first, 10 - first);
      g_autoptr (GByteArray) answer = loopback_answer (200, LOOPBACK_LENGTH, body->data, body->len);
      ck_assert_msg (read_once (server, answer->data, answer->len) == (first == FROM_OFFSET),
                     "first %u", (unsigned int)first);
    }
  loopback_free (server);
}
END_TEST

static GPtrArray *
list_once (LoopbackServer *server, const void *answer, size_t length)
{
  GsLogClient *client = gs_log_client_new (server->url, TIMEOUT_MS);
  GPtrArray *list;

  loopback_set (server, answer, length);
  list = gs_log_list_instances (client);
  gs_log_client_free (client);
  return list;
}

/* An empty list is an answer; no answer is none. */
START_TEST (list_fails_when_its_answer_is_cut_at_any_byte)
{
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (LoopbackFraming framing = 0; framing <= LOOPBACK_UNFRAMED; framing++)
    {
      g_autoptr (GByteArray) answer = loopback_answer (200, framing, list_body, strlen (list_body));
      guint whole = answer->len - (framing == LOOPBACK_CHUNKED ? 1 : 0);
      g_autoptr (GPtrArray) list = NULL;
      for (guint length = 0; length < whole; length++)
        ck_assert_msg (list_once (server, answer->data, length) == NULL,
                       "framing %d, cut at byte %u", framing, length);
      list = list_once (server, answer->data, answer->len);
      ck_assert_int_eq (list != NULL, framing != LOOPBACK_UNFRAMED);
    }
  loopback_free (server);
}
END_TEST

START_TEST (list_fails_when_its_body_is_no_list)
{
  static const char *const bodies[] = { "", "{}", "[", "7", "[{\"id\": \"d1\"}" };
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      g_autoptr (GByteArray) answer
          = loopback_answer (200, LOOPBACK_LENGTH, bodies[i], strlen (bodies[i]));
      ck_assert_msg (list_once (server, answer->data, answer->len) == NULL, "%s", bodies[i]);
    }
  loopback_free (server);
}
END_TEST

FIXTURE_MAIN ("log_client",
              &append_is_unknown_when_its_answer_is_cut_at_any_byte,
              &append_is_unknown_when_its_answer_has_no_valid_offset,
              &second_copy_of_an_answer_is_not_taken_for_that_to_the_next_append,
              &read_fails_when_its_answer_is_cut_at_any_byte,
              &read_fails_when_its_records_are_not_those_requested,
              &list_fails_when_its_answer_is_cut_at_any_byte,
              &list_fails_when_its_body_is_no_list)
