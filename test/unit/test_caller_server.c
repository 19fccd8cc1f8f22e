/* Unit tests of http/caller_server and http/caller_connection through the entry: callers that
 * pipeline, read slowly or leave. Callers and backend servers are sockets of the test. */
#include <sys/resource.h>

#include "../../src/gentian/http/caller_server.h"
#include "entry_fixture.h"

enum
{
  LARGE_BYTES = 900 * 1000, /* below what an exchange holds in memory */
  RESPONSES_BYTES_MAX = 16 * 1024,
  MANY = GS_CALLER_REQUESTS_MAX + 4,
  CALLER_BUFFER_BYTES = 64 * 1024,
  CALLER_CONNECT_MS = 1000, /* for which the users' callers try to connect */
};

#define GET(path) "GET " path " HTTP/1.1\r\nHost: h\r\n\r\n"
#define POST(path) "POST " path " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

/* Accepts the next attempt. PATH: its first character behind the slash. */
static int
accept_path (EntryFixture *fixture, char *path)
{
  char request[ANSWER_BYTES_MAX];

  for (int i = 0; i < WAIT_MS; i++)
    {
      int fd = accept4 (fixture->upstreams[i % UPSTREAMS], NULL, NULL, SOCK_NONBLOCK);
      if (fd < 0)
        {
          run_loop (fixture);
          continue;
        }
      wait_readable (fixture, fd);
      ck_assert_int_gt (recv (fd, request, sizeof request, 0), 0);
      *path = strchr (request, '/')[1];
      return fd;
    }
  ck_abort_msg ("no attempt");
  return -1;
}

/* Accepts N attempts; UPSTREAMS[i] is that of the path 'a' + i. */
static void
accept_paths (EntryFixture *fixture, int *upstreams, int n)
{
  for (int i = 0; i < n; i++)
    {
      char path;
      int fd = accept_path (fixture, &path);
      ck_assert_int_lt (path - 'a', n);
      upstreams[path - 'a'] = fd;
    }
}

/* RETURN VALUE: whether no further attempt comes. */
static bool
is_quiet (EntryFixture *fixture)
{
  run_steps (fixture, 50);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      int fd = accept4 (fixture->upstreams[i], NULL, NULL, SOCK_NONBLOCK);
      if (fd >= 0)
        {
          close (fd);
          return false;
        }
    }
  return true;
}

static void
answer (int upstream, const char *body)
{
  g_autofree char *text
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (body), body);

  send_text (upstream, text);
}

static void
check_order (const char *text, const char *first, const char *second)
{
  const char *at = strstr (text, first);

  ck_assert_msg (at != NULL && strstr (at, second) != NULL, "%s before %s is not in \"%s\"", first,
                 second, text);
}

static uint32_t
count (const char *text, const char *part)
{
  uint32_t n = 0;

  for (const char *at = strstr (text, part); at != NULL; at = strstr (at + 1, part))
    n++;
  return n;
}

/* Guards against a pipelined request that is processed only when the one before it was answered,
 * and against answers that overtake each other. */
START_TEST (safe_requests_overlap_and_are_answered_in_order)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_SAFE, NULL);
  char text[ANSWER_BYTES_MAX];
  int caller = connect_caller (fixture);
  int upstreams[3];

  send_text (caller, GET ("/a") GET ("/b") GET ("/c"));
  accept_paths (fixture, upstreams, 3);
  answer (upstreams[2], "third");
  answer (upstreams[1], "second");
  run_steps (fixture, 30);
  read_answer (caller, text);
  ck_assert_str_eq (text, "");
  answer (upstreams[0], "first");
  run_steps (fixture, 30);
  read_answer (caller, text);
  check_order (text, "first", "second");
  check_order (text, "second", "third");
  ck_assert_ptr_null (strstr (text, "Connection: close"));
  ck_assert_uint_eq (gs_entry_in_flight (fixture->entry), 0);
  for (int i = 0; i < 3; i++)
    close (upstreams[i]);
  close (caller);
  entry_fixture_free (fixture);
}
END_TEST

/* Guards against a request that may run once only and is sent while an earlier one may still break
 * the connection. */
START_TEST (other_requests_wait_for_those_before_them)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_ONCE, NULL);
  char text[ANSWER_BYTES_MAX];
  char path;
  int caller = connect_caller (fixture);
  int first;
  int second;

  send_text (caller, POST ("/a") POST ("/b"));
  first = accept_path (fixture, &path);
  ck_assert_int_eq (path, 'a');
  ck_assert (is_quiet (fixture));
  answer (first, "first");
  second = accept_path (fixture, &path);
  ck_assert_int_eq (path, 'b');
  answer (second, "second");
  run_steps (fixture, 30);
  read_answer (caller, text);
  check_order (text, "first", "second");
  close (first);
  close (second);
  close (caller);
  entry_fixture_free (fixture);
}
END_TEST

/* Guards against a caller that takes all memory by pipelining, and against one that is not read any
 * more after the bound was reached. */
START_TEST (requests_that_are_read_ahead_are_bounded)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_SAFE, NULL);
  g_autoptr (GString) requests = g_string_new (NULL);
  char text[RESPONSES_BYTES_MAX];
  int caller = connect_caller (fixture);
  const char *at = text;
  size_t length = 0;
  ssize_t got;

  for (int i = 0; i < MANY; i++)
    g_string_append_printf (requests, GET ("/%c"), 'a' + i);
  send_text (caller, requests->str);
  run_steps (fixture, 50);
  ck_assert_uint_eq (gs_entry_in_flight (fixture->entry), GS_CALLER_REQUESTS_MAX);
  for (int i = 0; i < MANY; i++)
    {
      char body[] = "<?>";
      int upstream = accept_path (fixture, &body[1]);
      answer (upstream, body);
      run_steps (fixture, 5);
      close (upstream);
    }
  run_steps (fixture, 50);
  while ((got = recv (caller, text + length, sizeof text - 1 - length, MSG_DONTWAIT)) > 0)
    length += (size_t)got;
  text[length] = '\0';
  ck_assert_uint_eq (count (text, "HTTP/1.1 200"), MANY);
  for (int i = 0; i < MANY; i++)
    {
      char body[] = { '<', (char)('a' + i), '>', '\0' };
      at = strstr (at, body);
      ck_assert_msg (at != NULL, "%s is missing or out of order", body);
    }
  close (caller);
  entry_fixture_free (fixture);
}
END_TEST

/* Guards against requests that are passed on, and never answered, behind the last one of a
 * connection. */
START_TEST (nothing_is_read_behind_the_last_request)
{
  static const char *const last[]
      = { "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" GET ("/b"),
          "GET /a HTTP/1.0\r\nHost: h\r\n\r\n" GET ("/b"),
          GET ("/a") "GET /x y HTTP/1.1\r\n\r\n" GET ("/b"),
          GET ("/a") "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: "
                     "1\r\n\r\n1" GET ("/b") };

  for (size_t i = 0; i < G_N_ELEMENTS (last); i++)
    {
      EntryFixture *fixture = entry_fixture_new (GS_REPEAT_SAFE, NULL);
      char text[ANSWER_BYTES_MAX];
      int caller = connect_caller (fixture);
      int upstream;

      send_text (caller, last[i]);
      accept_paths (fixture, &upstream, 1);
      ck_assert (is_quiet (fixture));
      answer (upstream, "first");
      read_to_end (fixture, caller, text);
      ck_assert_uint_eq (count (text, "HTTP/1.1 200"), 1);
      ck_assert_uint_eq (count (text, "Connection: close\r\n"), 1);
      ck_assert_uint_eq (count (text, "HTTP/1.1 400"), i < 2 ? 0 : 1);
      if (i >= 2)
        check_order (text, "first", "Connection: close");
      close (upstream);
      close (caller);
      entry_fixture_free (fixture);
    }
}
END_TEST

/* Guards against a planned stop that closes a connection before the answers to all requests that
 * were passed on, or passes on more of them. */
START_TEST (planned_stop_answers_what_was_passed_on)
{
  static const struct
  {
    GsRepeat repeat;
    const char *last;
    bool refuse;
  } cases[] = { { GS_REPEAT_SAFE, "GET /c HTTP/1.1\r\n", true },
                { GS_REPEAT_ONCE, "GET /c HTTP/1.1\r\n", false },
                { GS_REPEAT_ONCE, "malformed\r\n\r\n", false },
                { GS_REPEAT_ONCE, "malformed\r\n\r\n", true } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      EntryFixture *fixture = entry_fixture_new (cases[i].repeat, NULL);
      g_autofree char *requests = g_strconcat (GET ("/a") GET ("/b"), cases[i].last, NULL);
      char text[ANSWER_BYTES_MAX];
      int n = cases[i].repeat == GS_REPEAT_SAFE ? 2 : 1;
      int caller = connect_caller (fixture);
      int upstreams[2];

      send_text (caller, requests);
      accept_paths (fixture, upstreams, n);
      gs_engine_stop (fixture->engine, g_get_monotonic_time () + WAIT_MS * GS_US_PER_MS);
      if (cases[i].refuse)
        gs_entry_refuse (fixture->entry);
      for (int k = n - 1; k >= 0; k--)
        answer (upstreams[k], k == 0 ? "first" : "second");
      read_to_end (fixture, caller, text);
      ck_assert_uint_eq (count (text, "HTTP/1.1 200"), (uint32_t)n);
      ck_assert_uint_eq (count (text, "HTTP/1.1 "), (uint32_t)n);
      ck_assert_uint_eq (count (text, "Connection: close\r\n"), 1);
      if (n == 2)
        check_order (text, "first", "Connection: close");
      ck_assert (is_quiet (fixture));
      ck_assert_uint_eq (gs_entry_in_flight (fixture->entry), 0);
      for (int k = 0; k < n; k++)
        close (upstreams[k]);
      close (caller);
      entry_fixture_free (fixture);
    }
}
END_TEST

/* Guards against attempts that go on for a caller that has left, also where its close is hidden
 * behind bytes that are not read. */
START_TEST (connection_that_breaks_cancels_all_its_attempts)
{
  for (int hidden = 0; hidden < 2; hidden++)
    {
      EntryFixture *fixture = entry_fixture_new (GS_REPEAT_SAFE, NULL);
      g_autofree char *many = g_strnfill (20 * 1000, '\n');
      int caller = connect_caller (fixture);
      int upstreams[2];
      char byte;

      send_text (caller, GET ("/a") GET ("/b"));
      accept_paths (fixture, upstreams, 2);
      if (hidden)
        {
          for (int i = 0; i < MANY; i++)
            send_text (caller, GET ("/c"));
          send_text (caller, many);
          run_steps (fixture, 50);
        }
      close (caller);
      for (int i = 0; i < 500 && gs_entry_in_flight (fixture->entry) > 0; i++)
        run_loop (fixture);
      ck_assert_uint_eq (gs_entry_in_flight (fixture->entry), 0);
      for (int i = 0; i < 2; i++)
        {
          ck_assert_int_le (recv (upstreams[i], &byte, 1, 0), 0);
          ck_assert_int_ne (errno, EAGAIN);
          close (upstreams[i]);
        }
      entry_fixture_free (fixture);
    }
}
END_TEST

/* Guards against an upstream that aborts an answer because it cannot send it, and against other
 * callers that wait, while one does not read. */
START_TEST (slow_reader_stops_its_own_connection_alone)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_SAFE, NULL);
  g_autofree char *body = g_strnfill (LARGE_BYTES, 'l');
  g_autofree char *head
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", LARGE_BYTES);
  char text[ANSWER_BYTES_MAX];
  int small = CALLER_BUFFER_BYTES;
  int slow = connect_caller (fixture);
  int other = connect_caller (fixture);
  int upstreams[3];
  size_t received = 0;

  ck_assert_int_eq (setsockopt (slow, SOL_SOCKET, SO_RCVBUF, &small, sizeof small), 0);
  send_text (slow, GET ("/a") GET ("/b"));
  accept_paths (fixture, upstreams, 2);
  for (int i = 0; i < 2; i++)
    {
      size_t sent = 0;
      send_text (upstreams[i], head);
      for (int k = 0; k < WAIT_MS && sent < LARGE_BYTES; k++, run_loop (fixture))
        sent += (size_t)MAX (
            send (upstreams[i], body + sent, LARGE_BYTES - sent, MSG_NOSIGNAL | MSG_DONTWAIT), 0);
      ck_assert_uint_eq (sent, LARGE_BYTES);
    }
  send_text (other, GET ("/a"));
  accept_paths (fixture, &upstreams[2], 1);
  answer (upstreams[2], "other");
  run_steps (fixture, 30);
  read_answer (other, text);
  ck_assert_ptr_nonnull (strstr (text, "other"));
  for (int i = 0; i < WAIT_MS && received < (size_t)2 * LARGE_BYTES; i++, run_loop (fixture))
    for (ssize_t got; (got = recv (slow, body, LARGE_BYTES, MSG_DONTWAIT)) > 0;)
      received += (size_t)got;
  ck_assert_uint_gt (received, (size_t)2 * LARGE_BYTES);
  for (int i = 0; i < 3; i++)
    close (upstreams[i]);
  close (slow);
  close (other);
  entry_fixture_free (fixture);
}
END_TEST

/* Guards against a caller that waits for the response with status 100, or gets it amid the answer
 * to an earlier request. */
START_TEST (body_is_asked_for_when_the_earlier_answers_were_sent)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_SAFE, NULL);
  char text[ANSWER_BYTES_MAX];
  int caller = connect_caller (fixture);
  int upstream;

  send_text (caller, GET ("/a") "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                                "Expect: 100-continue\r\n\r\n");
  accept_paths (fixture, &upstream, 1);
  ck_assert (is_quiet (fixture));
  read_answer (caller, text);
  ck_assert_str_eq (text, "");
  answer (upstream, "first");
  run_steps (fixture, 30);
  read_answer (caller, text);
  check_order (text, "first", "HTTP/1.1 100 Continue\r\n\r\n");
  close (upstream);
  send_text (caller, "body");
  accept_paths (fixture, &upstream, 1);
  answer (upstream, "second");
  run_steps (fixture, 30);
  read_answer (caller, text);
  ck_assert_int_eq (strncmp (text, "HTTP/1.1 200 ", 13), 0);
  close (upstream);
  close (caller);
  entry_fixture_free (fixture);
}
END_TEST

/* Sends PACKETS, each when the one before was handled. RETURN VALUE: the newly allocated answers
 * without their dates. */
static char *
answers_to (EntryFixture *fixture, char *const *packets)
{
  g_autoptr (GRegex) date = g_regex_new ("Date: [^\r]*\r\n", 0, 0, NULL);
  char text[ANSWER_BYTES_MAX];
  int caller = connect_caller (fixture);

  for (; *packets != NULL; packets++)
    {
      send_text (caller, *packets);
      run_steps (fixture, 6);
    }
  run_steps (fixture, 6);
  read_answer (caller, text);
  close (caller);
  run_steps (fixture, 6);
  return g_regex_replace_literal (date, text, -1, 0, "", 0, NULL);
}

/* Guards against requests that are read otherwise when they come together or in parts. */
START_TEST (packets_do_not_matter)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_SAFE, NULL);
  char *requests[] = { "GET /v1/entries?host=h&path=%2Fa HTTP/1.1\r\nHost: h\r\n\r\n",
                       "POST /x HTTP/1.1\r\nHost: none\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "3;e=1\r\nabc\r\n0\r\nT: v\r\n\r\n",
                       "\r\nHEAD /x HTTP/1.1\r\nHost: none\r\n\r\n",
                       "PUT /x HTTP/1.1\r\nHost: none\r\nContent-Length: 3\r\n\r\nabc",
                       "GET /v1/entries HTTP/1.1\r\nHost: h\r\n\r\n",
                       NULL };
  g_autofree char *together = g_strjoinv ("", requests);
  g_autofree char *expected = answers_to (fixture, requests);

  ck_assert_uint_eq (count (expected, "HTTP/1.1 "), 5);
  for (size_t split = 1; split < strlen (together); split++)
    {
      g_autofree char *first = g_strndup (together, split);
      char *parts[] = { first, together + split, NULL };
      g_autofree char *found = answers_to (fixture, parts);

      ck_assert_msg (strcmp (found, expected) == 0, "split at %zu: found \"%s\", expected \"%s\"",
                     split, found, expected);
    }
  entry_fixture_free (fixture);
}
END_TEST

/* Connects a caller, which waits in the backlog as the process has no descriptor left for it.
 * RETURN VALUE: the caller; BEFORE: the limit of descriptors to restore. */
static int
connect_without_descriptors (EntryFixture *fixture, struct rlimit *before)
{
  struct sockaddr_in address = loopback ((uint16_t)fixture->settings.entry_port);
  int caller = socket (AF_INET, SOCK_STREAM, 0);
  int next = dup (caller);
  struct rlimit limit;

  close (next);
  ck_assert_int_eq (connect (caller, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (getrlimit (RLIMIT_NOFILE, before), 0);
  limit = (struct rlimit){ .rlim_cur = (rlim_t)next, .rlim_max = before->rlim_max };
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &limit), 0);
  run_steps (fixture, 20);
  return caller;
}

static bool
is_ready (EntryFixture *fixture)
{
  bool ready = gs_core_ready (gs_engine_lock (fixture->engine));

  gs_engine_unlock (fixture->engine);
  return ready;
}

/* Guards against a daemon that says that it is ready while callers wait in its backlog. */
START_TEST (daemon_that_cannot_accept_callers_is_not_ready)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_SAFE, NULL);
  struct rlimit before;
  int caller;
  bool ready;

  ck_assert (is_ready (fixture));
  caller = connect_without_descriptors (fixture, &before);
  ready = is_ready (fixture);
  setrlimit (RLIMIT_NOFILE, &before);
  ck_assert (!ready);
  run_steps (fixture, CALLER_CONNECT_MS);
  ck_assert (is_ready (fixture));
  close (caller);
  entry_fixture_free (fixture);
}
END_TEST

/* Guards against callers that wait in the backlog although descriptors are free again. */
START_TEST (callers_are_accepted_soon_after_descriptors_are_free_again)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_SAFE, NULL);
  char text[ANSWER_BYTES_MAX];
  struct rlimit before;
  int caller = connect_without_descriptors (fixture, &before);

  setrlimit (RLIMIT_NOFILE, &before);
  send_text (caller, "GET /v1/entries HTTP/1.1\r\nHost: h\r\n\r\n");
  for (int64_t start_us = g_get_monotonic_time ();
       g_get_monotonic_time () - start_us < CALLER_CONNECT_MS * GS_US_PER_MS;)
    run_loop (fixture);
  read_answer (caller, text);
  ck_assert_ptr_nonnull (strstr (text, "HTTP/1.1 200"));
  close (caller);
  entry_fixture_free (fixture);
}
END_TEST

FIXTURE_MAIN ("caller_server",
              &safe_requests_overlap_and_are_answered_in_order,
              &other_requests_wait_for_those_before_them,
              &requests_that_are_read_ahead_are_bounded,
              &nothing_is_read_behind_the_last_request,
              &planned_stop_answers_what_was_passed_on,
              &connection_that_breaks_cancels_all_its_attempts,
              &slow_reader_stops_its_own_connection_alone,
              &body_is_asked_for_when_the_earlier_answers_were_sent,
              &packets_do_not_matter,
              &daemon_that_cannot_accept_callers_is_not_ready,
              &callers_are_accepted_soon_after_descriptors_are_free_again)
