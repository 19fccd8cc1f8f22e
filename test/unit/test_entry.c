/* Unit tests of the entry: a server for callers with its engine, in one loop. Callers and backend
 * servers are sockets of the test. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../platform/platform.h"
#include "../../src/gentian/http/entry.h"
#include "fixture.h"

enum
{
  UPSTREAMS = 2,
  ANSWER_BYTES_MAX = 4096,
  WAIT_MS = 3000, /* for anything that happens at once */
};

typedef struct
{
  struct ev_loop *loop;
  GsSettings settings;
  GsEngine *engine;
  GsEntry *entry;
  int upstreams[UPSTREAMS]; /* listening sockets */
} EntryFixture;

static struct sockaddr_in
loopback (uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

/* RETURN VALUE: a listening socket on a port that the kernel has chosen, stored in PORT. */
static int
listen_anywhere (uint16_t *port)
{
  struct sockaddr_in address = loopback (0);
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  ck_assert_int_eq (bind (fd, (struct sockaddr *)&address, length), 0);
  ck_assert_int_eq (listen (fd, 8), 0);
  getsockname (fd, (struct sockaddr *)&address, &length);
  *port = ntohs (address.sin_port);
  return fd;
}

static uint16_t
free_port (void)
{
  uint16_t port;

  close (listen_anywhere (&port));
  return port;
}

static void
run_loop (EntryFixture *fixture)
{
  ev_run (fixture->loop, EVRUN_NOWAIT);
  g_usleep (1000);
}

/* Runs the loop until FD is readable. */
static void
wait_readable (EntryFixture *fixture, int fd)
{
  char byte;

  for (int i = 0; i < WAIT_MS && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0; i++)
    run_loop (fixture);
}

static void
post_tables (EntryFixture *fixture, const uint16_t *ports, GsRepeat repeat)
{
  GsEvent position = { .kind = GS_EVENT_LOG_POSITION, .position = { .from_start = true } };
  GsDocument *document = fixture_tables (UPSTREAMS, repeat);
  GsEvent edit
      = { .kind = GS_EVENT_EDIT,
          .edit
          = { .edit = { .submission = 1, .workspace = "w", .text = "", .document = document } } };

  document->routes[0].timeout_ms = 5000;
  document->routes[0].attempt_timeout_ms = 4000;
  for (int i = 0; i < UPSTREAMS; i++)
    {
      document->pools[0].upstreams[i].ipv4 = INADDR_LOOPBACK;
      document->pools[0].upstreams[i].port = ports[i];
    }
  gs_engine_post (fixture->engine, &position);
  gs_engine_post (fixture->engine, &edit);
}

/* HEADER_NAMES may be NULL, see GsEntryOptions. */
static EntryFixture *
entry_fixture_new (GsRepeat repeat, const GsHeaderNames *header_names)
{
  EntryFixture *fixture = g_new0 (EntryFixture, 1);
  GsEngineOptions engine = { .settings = &fixture->settings };
  GsEntryOptions entry = { .header_names = header_names };
  uint16_t ports[UPSTREAMS];

  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->settings = (GsSettings){ .instance = "self",
                                    .failure_domain = "d0",
                                    .address = INADDR_LOOPBACK,
                                    .entry_port = free_port (),
                                    .peer_port = free_port (),
                                    .platform_url = "",
                                    .peer_public_key = "",
                                    .peer_secret_key = "",
                                    .fleet_key = "",
                                    .admin_key = "",
                                    .store_url = "",
                                    .max_body_bytes = 1 << 20,
                                    .max_callers = 16,
                                    .connections_per_upstream = 4,
                                    .kept_answers_bytes = 1 << 20 };
  engine.loop = fixture->loop;
  fixture->engine = gs_engine_new (&engine, NULL);
  ck_assert_ptr_nonnull (fixture->engine);
  for (int i = 0; i < UPSTREAMS; i++)
    fixture->upstreams[i] = listen_anywhere (&ports[i]);
  post_tables (fixture, ports, repeat);
  entry.engine = fixture->engine;
  fixture->entry = gs_entry_new (&entry, NULL);
  ck_assert_ptr_nonnull (fixture->entry);
  return fixture;
}

static void
entry_fixture_free (EntryFixture *fixture)
{
  gs_entry_free (fixture->entry);
  gs_engine_free (fixture->engine);
  for (int i = 0; i < UPSTREAMS; i++)
    close (fixture->upstreams[i]);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
}

/* RETURN VALUE: a connection to the entry, which has accepted it. */
static int
connect_caller (EntryFixture *fixture)
{
  struct sockaddr_in address = loopback ((uint16_t)fixture->settings.entry_port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  for (int i = 0; i < 20; i++)
    run_loop (fixture);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
}

/* Accepts the connection of the next attempt, at either upstream, and reads its request. */
static int
accept_attempt (EntryFixture *fixture)
{
  char request[ANSWER_BYTES_MAX];

  for (int i = 0; i < WAIT_MS; i++)
    {
      int fd = accept4 (fixture->upstreams[i % UPSTREAMS], NULL, NULL, SOCK_NONBLOCK);
      if (fd >= 0)
        {
          wait_readable (fixture, fd);
          if (recv (fd, request, sizeof request, 0) > 0)
            return fd;
          close (fd); /* only checked whether the upstream accepts connections */
          continue;
        }
      if (errno == EAGAIN || errno == EWOULDBLOCK)
        run_loop (fixture);
    }
  ck_abort_msg ("no attempt");
  return -1;
}

/* Reads from FD what there is, until the entry closes the connection or stops sending. */
static void
read_answer (int fd, char *answer)
{
  size_t length = 0;
  ssize_t got;

  while ((got = recv (fd, answer + length, ANSWER_BYTES_MAX - 1 - length, MSG_DONTWAIT)) > 0)
    length += (size_t)got;
  answer[length] = '\0';
}

/* Guards against an abort at the end of a planned stop: a request that comes on an open connection
 * is read once more by the server, and was suspended when the server stopped. */
START_TEST (request_that_comes_at_the_end_of_a_stop_is_refused)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_SAFE, NULL);
  char answer[ANSWER_BYTES_MAX];
  int caller = connect_caller (fixture);

  gs_engine_stop (fixture->engine, g_get_monotonic_time () + WAIT_MS * G_TIME_SPAN_MILLISECOND);
  gs_entry_quiesce (fixture->entry);
  send_text (caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  entry_fixture_free (fixture);
  read_answer (caller, answer);
  ck_assert_ptr_nonnull (strstr (answer, "HTTP/1.1 503 "));
  ck_assert_ptr_nonnull (strstr (answer, "Gentian-Verdict: not-run\r\n"));
  ck_assert_ptr_nonnull (strstr (answer, "Connection: close\r\n"));
  close (caller);
}
END_TEST

/* Runs the loop until the entry has closed the connection of FD, and reads what it sent. */
static void
read_to_end (EntryFixture *fixture, int fd, char *answer)
{
  size_t length = 0;
  ssize_t got = -1;

  for (int i = 0; i < WAIT_MS && got != 0; i++)
    {
      run_loop (fixture);
      while ((got = recv (fd, answer + length, ANSWER_BYTES_MAX - 1 - length, MSG_DONTWAIT)) > 0)
        length += (size_t)got;
    }
  ck_assert_int_eq (got, 0);
  answer[length] = '\0';
}

/* Guards against a connection that is closed, or kept waiting until the exit, while the entry has
 * received a part of a request. */
START_TEST (request_received_in_part_is_refused_in_a_planned_stop)
{
  static const char *const parts[] = {
    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf",
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nha",
    "GET /x HTTP/1.1\r\nHost: h\r\n",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    {
      EntryFixture *fixture = entry_fixture_new (GS_REPEAT_ONCE, NULL);
      char answer[ANSWER_BYTES_MAX];
      int caller = connect_caller (fixture);

      send_text (caller, parts[i]);
      for (int k = 0; k < 20; k++)
        run_loop (fixture);
      ck_assert_uint_eq (gs_entry_in_flight (fixture->entry), 1);
      gs_entry_refuse (fixture->entry);
      ck_assert_uint_eq (gs_entry_in_flight (fixture->entry), 0);
      read_to_end (fixture, caller, answer);
      ck_assert_int_eq (strncmp (answer, "HTTP/1.1 503 ", 13), 0);
      ck_assert_ptr_nonnull (strstr (answer, "Gentian-Verdict: not-run\r\n"));
      ck_assert_ptr_nonnull (strstr (answer, "Connection: close\r\n"));
      ck_assert_ptr_nonnull (strstr (answer, "Retry-After: 0.020\r\n"));
      close (caller);
      entry_fixture_free (fixture);
    }
}
END_TEST

/* Guards against a second answer to a request that was refused while it was received. */
START_TEST (rest_of_a_request_that_was_refused_in_part_gets_no_answer)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_ONCE, NULL);
  char answer[ANSWER_BYTES_MAX];
  int caller = connect_caller (fixture);

  send_text (caller, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nhalf");
  for (int k = 0; k < 20; k++)
    run_loop (fixture);
  gs_entry_refuse (fixture->entry);
  send_text (caller, "rest");
  for (int k = 0; k < 20; k++)
    run_loop (fixture);
  read_answer (caller, answer);
  ck_assert_ptr_nonnull (strstr (answer, "HTTP/1.1 503 "));
  ck_assert_ptr_null (strstr (answer + 1, "HTTP/1.1"));
  close (caller);
  entry_fixture_free (fixture);
}
END_TEST

/* Guards against a closed connection in the place of an answer, for a request that an upstream
 * still runs at the end of a planned stop. */
START_TEST (running_request_is_answered_at_the_end_of_a_planned_stop)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_ONCE, NULL);
  char answer[ANSWER_BYTES_MAX];
  int caller = connect_caller (fixture);
  int upstream;

  send_text (caller, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  upstream = accept_attempt (fixture);
  gs_engine_stop (fixture->engine, g_get_monotonic_time () + WAIT_MS * G_TIME_SPAN_MILLISECOND);
  gs_entry_end_requests (fixture->entry);
  ck_assert_uint_eq (gs_entry_n_ended (fixture->entry), 1);
  read_to_end (fixture, caller, answer);
  ck_assert_ptr_nonnull (strstr (answer, "HTTP/1.1 504 "));
  ck_assert_ptr_nonnull (strstr (answer, "Gentian-Verdict: may-have-run\r\n"));
  ck_assert_uint_eq (gs_entry_in_flight (fixture->entry), 0);
  close (upstream);
  close (caller);
  entry_fixture_free (fixture);
}
END_TEST

/* Guards against a promise of "not run" that an upstream gave for its own attempt only, after one
 * at another upstream that may have run. */
START_TEST (not_run_of_the_last_attempt_says_nothing_of_earlier_ones)
{
  EntryFixture *fixture = entry_fixture_new (GS_REPEAT_SAFE, NULL);
  char answer[ANSWER_BYTES_MAX];
  int caller = connect_caller (fixture);
  int upstream;

  send_text (caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  close (accept_attempt (fixture));
  upstream = accept_attempt (fixture);
  send_text (upstream, "HTTP/1.1 422 Unprocessable\r\nGentian-Verdict: not-run\r\n"
                       "Content-Length: 0\r\n\r\n");
  wait_readable (fixture, caller);
  read_answer (caller, answer);
  ck_assert_ptr_nonnull (strstr (answer, "HTTP/1.1 422 "));
  ck_assert_ptr_nonnull (strstr (answer, "Gentian-Verdict: may-have-run\r\n"));
  ck_assert_ptr_null (strstr (answer, "not-run"));
  close (upstream);
  close (caller);
  entry_fixture_free (fixture);
}
END_TEST

/* Guards against a promise that no upstream gave: to callers on the platform these statuses mean
 * that the request has not run, but the upstream did not state that. */
START_TEST (status_without_the_upstreams_statement_promises_nothing)
{
  static const char *const statuses[] = { "503", "429", "408" };

  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      EntryFixture *fixture = entry_fixture_new (GS_REPEAT_ONCE, &platform_header_names);
      char answer[ANSWER_BYTES_MAX];
      g_autofree char *text = NULL;
      int caller = connect_caller (fixture);
      int upstream;

      send_text (caller, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
                         "Gentianscale-Request-Id: a1\r\n\r\n");
      upstream = accept_attempt (fixture);
      text = g_strdup_printf ("HTTP/1.1 %s Busy\r\nGentianscale-Request-Id: a1\r\n"
                              "Gentianscale-Response-Stamp: s\r\nContent-Length: 0\r\n\r\n",
                              statuses[i]);
      send_text (upstream, text);
      wait_readable (fixture, caller);
      read_answer (caller, answer);
      ck_assert_ptr_nonnull (strstr (answer, "HTTP/1.1 502 "));
      ck_assert_ptr_null (strstr (answer, "Response-Stamp"));
      close (upstream);
      close (caller);
      entry_fixture_free (fixture);
    }
}
END_TEST

FIXTURE_MAIN ("entry",
              &request_that_comes_at_the_end_of_a_stop_is_refused,
              &request_received_in_part_is_refused_in_a_planned_stop,
              &rest_of_a_request_that_was_refused_in_part_gets_no_answer,
              &running_request_is_answered_at_the_end_of_a_planned_stop,
              &not_run_of_the_last_attempt_says_nothing_of_earlier_ones,
              &status_without_the_upstreams_statement_promises_nothing)
