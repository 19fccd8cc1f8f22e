/*
 * Unit tests of http/exchange and http/client against an upstream that sends scripted bytes: which
 * answers are complete, and which connections are used again.
 *
 * The upstream and the client share one thread and one event loop. A step that depends on what the
 * client has received waits until the client's socket has received and given out every byte.
 */
#include <errno.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../src/gentian/http/exchange.h"
#include "fixture.h"

enum
{
  TEST_TIMEOUT_US = 20 * 1000 * 1000,
  TEST_MAX_IDLE = 4,
  TEST_IDLE_STEPS = 2, /* for timers that are due at once */
  TEST_FD_MAX = 256,
};

/** Attempt or request id that the answer under test names. */
#define OWN_ECHO "71"
/** Those of the requests before and after it on the same connection. */
#define EARLIER_ECHO "70"
#define LATER_ECHO "72"

/** Header by which an answer names its attempt or request, and one of its other headers. */
#define ECHO_HEADER "Attempt"
#define STAMP_HEADER "Stamp"

#define CONTENT "hello, world"

typedef enum
{
  MODE_OWN = 0,  /* an answer has a length or is chunked */
  MODE_PLATFORM, /* it may also end with its connection */
  N_MODES,
} Mode;

static const char *const mode_names[N_MODES] = { "own", "platform" };

/** What the upstream does with its connection after its last byte. */
typedef enum
{
  ENDING_OPEN = 0,    /* leaves it open */
  ENDING_FIN,         /* shuts it down when the client has received all bytes */
  ENDING_FIN_AT_ONCE, /* shuts it down before the client has received any byte */
  ENDING_RESET,       /* resets it when the client has received all bytes */
  N_ENDINGS,
} Ending;

static const char *const ending_names[N_ENDINGS] = { "open", "FIN", "FIN at once", "RST" };

/** The upstream's side of a connection. */
typedef struct
{
  int fd;
  uint32_t serial;
  uint16_t client_port;
  int client_fd;
  size_t sent_bytes;
  GString *received; /* of a request whose head is not complete */
} Connection;

typedef struct
{
  Mode mode;
  struct ev_loop *loop;
  GsClient *client;
  int listener;
  uint16_t port;
  GPtrArray *connections;
  uint32_t last_serial;
} Bench;

/** An exchange under test. */
typedef struct
{
  GsExchange *exchange;
  bool done;
} Call;

/** Counts cases, and describes the first wrong one. */
typedef struct
{
  uint32_t tried;
  uint32_t wrong;
  char first[512];
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

static void
free_connection (gpointer data)
{
  Connection *connection = data;

  if (connection->fd >= 0)
    close (connection->fd);
  g_string_free (connection->received, TRUE);
  g_free (connection);
}

static Bench *
bench_new (Mode mode)
{
  Bench *bench = g_new0 (Bench, 1);
  GsClientOptions options = { .max_idle = TEST_MAX_IDLE,
                              .allow_unframed = mode == MODE_PLATFORM,
                              .skip_crash_check = true };
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;

  bench->mode = mode;
  bench->loop = ev_loop_new (EVFLAG_AUTO);
  options.loop = bench->loop;
  bench->client = gs_client_new (&options);
  bench->connections = g_ptr_array_new_with_free_func (free_connection);
  bench->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  ck_assert_int_eq (bind (bench->listener, (struct sockaddr *)&address, size), 0);
  ck_assert_int_eq (listen (bench->listener, SOMAXCONN), 0);
  ck_assert_int_eq (getsockname (bench->listener, (struct sockaddr *)&address, &size), 0);
  bench->port = ntohs (address.sin_port);
  return bench;
}

static void
bench_free (Bench *bench)
{
  gs_client_free (bench->client);
  g_ptr_array_unref (bench->connections);
  close (bench->listener);
  ev_loop_destroy (bench->loop);
  g_free (bench);
}

/* RETURN VALUE: whether FD is the client's socket of CONNECTION. */
static bool
is_client_socket (const Connection *connection, int fd)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;

  return fd != connection->fd && getsockname (fd, (struct sockaddr *)&address, &size) == 0
         && address.sin_family == AF_INET && ntohs (address.sin_port) == connection->client_port;
}

static void
accept_connections (Bench *bench)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;
  int fd;

  while ((fd = accept4 (bench->listener, (struct sockaddr *)&address, &size,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      Connection *connection = g_new0 (Connection, 1);

      connection->fd = fd;
      connection->serial = ++bench->last_serial;
      connection->client_port = ntohs (address.sin_port);
      connection->received = g_string_new (NULL);
      while (connection->client_fd < TEST_FD_MAX
             && !is_client_socket (connection, connection->client_fd))
        connection->client_fd++;
      g_ptr_array_add (bench->connections, connection);
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof (int));
    }
}

/* Reads from CONNECTION. RETURN VALUE: false when the client has closed it. */
static bool
read_connection (Connection *connection)
{
  char block[512];
  ssize_t got = recv (connection->fd, block, sizeof block, 0);

  if (got > 0)
    g_string_append_len (connection->received, block, got);
  return got > 0 || (got < 0 && errno == EAGAIN);
}

/* Lets the client run, and closes the connections that it has closed. */
static void
bench_step (Bench *bench)
{
  ev_run (bench->loop, EVRUN_NOWAIT);
  accept_connections (bench);
  for (guint i = bench->connections->len; i > 0; i--)
    if (!read_connection (g_ptr_array_index (bench->connections, i - 1)))
      g_ptr_array_remove_index (bench->connections, i - 1);
}

static void
on_done (void *data)
{
  ((Call *)data)->done = true;
}

static void
on_readable (void *data)
{
  (void)data;
}

/* Starts the request METHOD / with ECHO as its attempt or request id. */
static void
call_start (Bench *bench, Call *call, const GsExchangeOptions *partial)
{
  static const GsExchangeClass class = { .done = on_done, .readable = on_readable };
  g_autoptr (GPtrArray) headers = g_ptr_array_new_with_free_func (g_free);
  GsExchangeOptions options = *partial;

  options.ipv4 = INADDR_LOOPBACK;
  options.port = bench->port;
  options.target = "/";
  options.echo_header = ECHO_HEADER;
  options.headers = headers;
  options.class = &class;
  options.data = call;
  if (options.timeout_us == 0)
    options.timeout_us = TEST_TIMEOUT_US;
  g_ptr_array_add (headers, g_strdup_printf ("%s: %s", options.echo_header, options.echo));
  call->done = false;
  call->exchange = gs_exchange_new (bench->client, &options);
  gs_exchange_start (call->exchange);
}

/* RETURN VALUE: the connection on which the head of a request has arrived, or NULL when the
 * exchange has ended before. */
static Connection *
call_wait_for_request (Bench *bench, const Call *call)
{
  while (!call->done)
    {
      bench_step (bench);
      for (guint i = 0; i < bench->connections->len; i++)
        {
          Connection *connection = g_ptr_array_index (bench->connections, i);

          if (strstr (connection->received->str, "\r\n\r\n") == NULL)
            continue;
          g_string_truncate (connection->received, 0);
          return connection;
        }
    }
  return NULL;
}

static GsExchangeState
call_wait_until_done (Bench *bench, const Call *call)
{
  while (!call->done)
    ev_run (bench->loop, EVRUN_ONCE);
  return gs_exchange_state (call->exchange);
}

static void
call_end (Call *call)
{
  g_clear_pointer (&call->exchange, gs_exchange_free);
}

/* Waits until the client's socket has received what was sent, and where CALL is not NULL until the
 * exchange has read it or has ended. */
static void
connection_settle (Bench *bench, const Connection *connection, const Call *call)
{
  struct tcp_info info;
  socklen_t size = sizeof info;
  int unread = 0;

  while (is_client_socket (connection, connection->client_fd)
         && getsockopt (connection->client_fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
         && ioctl (connection->client_fd, FIONREAD, &unread) == 0
         && (info.tcpi_bytes_received < connection->sent_bytes
             || (unread > 0 && call != NULL && !call->done)))
    ev_run (bench->loop, EVRUN_NOWAIT);
  for (int i = 0; i < TEST_IDLE_STEPS; i++)
    ev_run (bench->loop, EVRUN_NOWAIT);
}

static void
connection_send (Connection *connection, const char *bytes, size_t length)
{
  if (length == 0)
    return;
  ck_assert_int_eq (send (connection->fd, bytes, length, MSG_NOSIGNAL), (ssize_t)length);
  connection->sent_bytes += length;
}

static void
connection_reset (Connection *connection)
{
  struct linger linger = { .l_onoff = 1 };

  setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (connection->fd);
  connection->fd = -1;
}

/* Ends CONNECTION, which carries the answer to CALL. */
static void
connection_finish (Bench *bench, Connection *connection, const Call *call, Ending ending)
{
  if (ending != ENDING_FIN_AT_ONCE)
    connection_settle (bench, connection, call);
  if (ending == ENDING_RESET)
    connection_reset (connection);
  else if (ending != ENDING_OPEN)
    shutdown (connection->fd, SHUT_WR);
}

/* Removes the connections that were ended by connection_play. */
static void
bench_close_connections (Bench *bench)
{
  gs_client_drop_idle (bench->client, INADDR_LOOPBACK, bench->port);
  g_ptr_array_set_size (bench->connections, 0);
}

/* Completes a request that has ECHO as its id, and leaves its connection idle. */
static Connection *
bench_complete_request (Bench *bench, const char *echo)
{
  g_autofree char *answer = g_strdup_printf (
      "HTTP/1.1 200 OK\r\n" ECHO_HEADER ": %s\r\nContent-Length: 2\r\n\r\nok", echo);
  GsExchangeOptions options = { .method = "GET", .echo = echo };
  Call call;
  Connection *connection;

  call_start (bench, &call, &options);
  connection = call_wait_for_request (bench, &call);
  ck_assert_ptr_nonnull (connection);
  connection_send (connection, answer, strlen (answer));
  ck_assert_int_eq (call_wait_until_done (bench, &call), GS_EXCHANGE_COMPLETE);
  call_end (&call);
  return connection;
}

/** How the answer under test is sent. */
typedef struct
{
  const char *method;
  const char *bytes;
  size_t length;
  size_t split; /* bytes that the client receives on their own first */
  bool kept;    /* on a connection that has carried an answer before */
  Ending ending;
} Play;

/* Plays the answer to CALL, which remains to be ended. RETURN VALUE: its state, which is
 * GS_EXCHANGE_RUNNING where it waits for more on an open connection. */
static GsExchangeState
bench_play (Bench *bench, Call *call, const Play *play)
{
  GsExchangeOptions options = { .method = play->method, .echo = OWN_ECHO };
  Connection *kept = play->kept ? bench_complete_request (bench, EARLIER_ECHO) : NULL;
  Connection *connection;

  call_start (bench, call, &options);
  connection = call_wait_for_request (bench, call);
  ck_assert_ptr_nonnull (connection);
  if (kept != NULL)
    ck_assert_ptr_eq (connection, kept);
  if (play->split != 0)
    {
      connection_send (connection, play->bytes, play->split);
      connection_settle (bench, connection, call);
    }
  connection_send (connection, play->bytes + play->split, play->length - play->split);
  connection_finish (bench, connection, call, play->ending);
  return play->ending == ENDING_OPEN ? gs_exchange_state (call->exchange)
                                     : call_wait_until_done (bench, call);
}

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
             const Bench *bench,
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
               name, mode_names[bench->mode], play->kept ? "kept" : "new",
               ending_names[play->ending], play->length, play->split, escaped, state_name (state));
}

static void
tally_assert (const Tally *tally, const char *what)
{
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
    = { "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" };

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

typedef void (*AnswerVisitor) (Bench *bench, const Answer *answer, Tally *tally);

static void
visit_answer (Bench *bench, Answer *answer, AnswerVisitor visit, Tally *tally)
{
  visit (bench, answer, tally);
  answer_free (answer);
}

/* Calls VISIT with the answers of FORM: each status in each order, and each interim answer. */
static void
visit_form (Bench *bench, const Form *form, AnswerVisitor visit, Tally *tally)
{
  size_t n_statuses = form->status != NULL ? 1 : G_N_ELEMENTS (statuses);

  for (size_t status = 0; status < n_statuses; status++)
    for (Order order = 0; order < N_ORDERS; order++)
      visit_answer (bench, answer_new (form, statuses[status], "", order), visit, tally);
  for (size_t interim = 0; interim < G_N_ELEMENTS (interims); interim++)
    visit_answer (bench, answer_new (form, statuses[0], interims[interim], ORDER_FRAMING_LAST),
                  visit, tally);
}

/* Calls VISIT with the answers of each form, in both modes. */
static void
visit_answers (AnswerVisitor visit, Tally *tally)
{
  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Bench *bench = bench_new (mode);

      for (size_t form = 0; form < G_N_ELEMENTS (forms); form++)
        visit_form (bench, &forms[form], visit, tally);
      bench_free (bench);
    }
}

static void
play_whole_answer (Bench *bench, const Answer *answer, Tally *tally)
{
  bool complete = !answer->ends_with_connection || bench->mode == MODE_PLATFORM;

  for (size_t split = 0; split < answer->wire->len; split++)
    {
      Play play = { .method = answer->method,
                    .bytes = answer->wire->str,
                    .length = answer->wire->len,
                    .split = split,
                    .ending = answer->ends_with_connection ? ENDING_FIN : ENDING_OPEN };
      Call call;
      GsExchangeState state = bench_play (bench, &call, &play);

      tally_state (tally, bench, &play, answer->name, state,
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
is_whole (const Bench *bench, const Answer *answer, size_t length, Ending ending)
{
  if (answer->ends_with_connection)
    return bench->mode == MODE_PLATFORM && length >= answer->head_length
           && (ending == ENDING_FIN || ending == ENDING_FIN_AT_ONCE);
  return length == answer->wire->len;
}

/* Plays the prefixes of ANSWER from FIRST to LAST bytes: on new connections, and unless the end
 * comes at once on kept ones. */
static void
play_prefixes (Bench *bench,
               const Answer *answer,
               size_t first,
               size_t last,
               Ending ending,
               Tally *tally)
{
  for (size_t length = first; length <= last; length++)
    for (int kept = 0; kept < (ending == ENDING_FIN_AT_ONCE ? 1 : 2); kept++)
      {
        Play play = { .method = answer->method,
                      .bytes = answer->wire->str,
                      .length = length,
                      .kept = kept != 0,
                      .ending = ending };
        Call call;
        GsExchangeState state = bench_play (bench, &call, &play);
        bool whole = is_whole (bench, answer, length, ending);

        tally_state (tally, bench, &play, answer->name, state,
                     (state == GS_EXCHANGE_COMPLETE) == whole);
        call_end (&call);
        bench_close_connections (bench);
      }
}

static void
cut_head_by_fin (Bench *bench, const Answer *answer, Tally *tally)
{
  play_prefixes (bench, answer, 0, answer->head_length - 1, ENDING_FIN, tally);
}

static void
cut_head_by_fin_at_once (Bench *bench, const Answer *answer, Tally *tally)
{
  play_prefixes (bench, answer, 0, answer->head_length - 1, ENDING_FIN_AT_ONCE, tally);
}

static void
cut_head_by_reset (Bench *bench, const Answer *answer, Tally *tally)
{
  play_prefixes (bench, answer, 0, answer->head_length - 1, ENDING_RESET, tally);
}

static void
cut_body_by_fin (Bench *bench, const Answer *answer, Tally *tally)
{
  size_t last = answer->wire->len;

  if (answer->is_chunked)
    return;
  play_prefixes (bench, answer, answer->head_length, last, ENDING_FIN, tally);
  play_prefixes (bench, answer, answer->head_length, last, ENDING_FIN_AT_ONCE, tally);
}

static void
cut_chunks_by_fin (Bench *bench, const Answer *answer, Tally *tally)
{
  size_t last = answer->wire->len;

  if (!answer->is_chunked)
    return;
  play_prefixes (bench, answer, answer->head_length, last, ENDING_FIN, tally);
  play_prefixes (bench, answer, answer->head_length, last, ENDING_FIN_AT_ONCE, tally);
}

static void
cut_body_by_reset (Bench *bench, const Answer *answer, Tally *tally)
{
  play_prefixes (bench, answer, answer->head_length, answer->wire->len, ENDING_RESET, tally);
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

/* Guards against the same when the head and the close arrive together. */
START_TEST (answer_that_ends_in_its_head_at_once_is_not_complete)
{
  Tally tally = { 0 };

  visit_answers (cut_head_by_fin_at_once, &tally);
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

/** An answer whose end or meaning is in doubt. */
typedef struct
{
  const char *name;
  const char *bytes;
  size_t length;
} Malformed;

#define WIRE(text) text, sizeof (text) - 1
#define HEAD(status_line, lines) status_line "\r\n" ECHO_HEADER ": " OWN_ECHO "\r\n" lines "\r\n"
#define OK_HEAD(lines) HEAD ("HTTP/1.1 200 OK", lines)
#define LENGTH(value) "Content-Length: " value "\r\n"
#define CODING(value) "Transfer-Encoding: " value "\r\n"
#define CHUNKS "5\r\nhello\r\n0\r\n\r\n"

/* Checks that none of the COUNT answers is complete, in any way to send it. */
static void
check_malformed (const Malformed *answers, size_t count, Tally *tally)
{
  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Bench *bench = bench_new (mode);

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
              GsExchangeState state = bench_play (bench, &call, &play);

              tally_state (tally, bench, &play, answers[i].name, state,
                           state != GS_EXCHANGE_COMPLETE);
              call_end (&call);
              bench_close_connections (bench);
            }
      bench_free (bench);
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
  size_t split;
  When when;
} Extra;

/* Answers NEXT on CONNECTION. RETURN VALUE: whether it is complete with its own answer, or else has
 * failed where MAY_FAIL. */
static bool
finish_next_request (Bench *bench, Call *next, Connection *connection, bool may_fail)
{
  static const char answer[]
      = "HTTP/1.1 200 OK\r\n" ECHO_HEADER ": " LATER_ECHO "\r\n" LENGTH ("3") "\r\nown";
  GsExchangeState state;
  size_t length;
  const void *body;

  if (!next->done)
    connection_send (connection, answer, strlen (answer));
  connection_settle (bench, connection, next);
  if (!next->done)
    connection_finish (bench, connection, next, ENDING_FIN);
  state = call_wait_until_done (bench, next);
  if (state != GS_EXCHANGE_COMPLETE)
    return may_fail;
  body = gs_exchange_body (next->exchange, &length);
  return gs_exchange_status (next->exchange) == 200 && length == 3 && memcmp (body, "own", 3) == 0;
}

/* Sends the next request after the answer on the connection SERIAL. RETURN VALUE: NULL when all is
 * right, or else what is wrong. */
static const char *
play_next_request (Bench *bench, const Extra *extra, uint32_t serial)
{
  bool may_be_reused = extra->split == 0 && extra->when == WHEN_NEXT_SENT;
  GsExchangeOptions options = { .method = "GET", .echo = LATER_ECHO };
  Call next;
  Connection *connection;
  bool reused;
  bool own;

  call_start (bench, &next, &options);
  connection = call_wait_for_request (bench, &next);
  ck_assert_ptr_nonnull (connection);
  reused = connection->serial == serial;
  if (reused && extra->when == WHEN_NEXT_SENT)
    {
      connection_send (connection, extra->bytes + extra->split, extra->length - extra->split);
      connection_settle (bench, connection, &next);
    }
  own = finish_next_request (bench, &next, connection, reused);
  call_end (&next);
  if (reused && !may_be_reused)
    return "the connection is used again";
  if (!own)
    return "the next request is not complete with its own answer";
  if (bench_complete_request (bench, OWN_ECHO)->serial == serial)
    return "the connection is used again by the request after the next";
  return NULL;
}

/* Sends ANSWER with EXTRA bytes, then two more requests. */
static void
play_extra (Bench *bench, const Answer *answer, const Extra *extra, Tally *tally)
{
  GsExchangeOptions options = { .method = answer->method, .echo = OWN_ECHO };
  g_autoptr (GString) first = g_string_new_len (answer->wire->str, (gssize)answer->wire->len);
  Call call;
  Connection *connection;
  uint32_t serial;
  const char *wrong = NULL;

  g_string_append_len (first, extra->bytes, (gssize)extra->split);
  call_start (bench, &call, &options);
  connection = call_wait_for_request (bench, &call);
  ck_assert_ptr_nonnull (connection);
  serial = connection->serial;
  connection_send (connection, first->str, first->len);
  if (call_wait_until_done (bench, &call) != GS_EXCHANGE_COMPLETE
      || !call_has_answer (&call, answer))
    wrong = "the answer itself is not complete";
  for (When when = WHEN_DONE; when <= WHEN_IDLE; when++)
    {
      if (extra->when == when)
        connection_send (connection, extra->bytes + extra->split, extra->length - extra->split);
      connection_settle (bench, connection, NULL);
      call_end (&call);
    }
  if (wrong == NULL)
    wrong = play_next_request (bench, extra, serial);
  tally_check (tally, wrong == NULL, "%s, %s mode, %s: %zu of %zu bytes with it, the rest %s: %s",
               answer->name, mode_names[bench->mode], extra->name, extra->split, extra->length,
               when_names[extra->when], wrong);
  bench_close_connections (bench);
}

typedef void (*ExtraVisitor) (Bench *bench, const Answer *answer, Tally *tally);

/* Calls VISIT with one answer of each form that leaves its connection open, in both modes. */
static void
visit_reusable_answers (ExtraVisitor visit, Tally *tally)
{
  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Bench *bench = bench_new (mode);

      for (size_t form = 0; form < G_N_ELEMENTS (forms); form++)
        if (!forms[form].ends_with_connection)
          visit_answer (bench, answer_new (&forms[form], statuses[0], "", ORDER_FRAMING_LAST),
                        visit, tally);
      bench_free (bench);
    }
}

static const Extra extras[] = {
  { .name = "one byte", WIRE ("x") },
  { .name = "line end", WIRE ("\r\n") },
  { .name = "second answer", WIRE (HEAD ("HTTP/1.1 503 Busy", LENGTH ("5")) "stale") },
  { .name = "second answer without a name",
    WIRE ("HTTP/1.1 503 Busy\r\n" LENGTH ("5") "\r\nstale") },
};

/* Plays the extras with each split, except those that arrive wholly after the next request. */
static void
play_early_extras (Bench *bench, const Answer *answer, Tally *tally)
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
            play_extra (bench, answer, &extra, tally);
          }
      }
}

/* Plays the first bytes of EXTRA, of each number, after the next request has been sent. */
static void
play_late_extra (Bench *bench, const Answer *answer, const Extra *extra, Tally *tally)
{
  for (size_t length = 1; length <= extra->length; length++)
    {
      Extra part = *extra;

      part.length = length;
      part.when = WHEN_NEXT_SENT;
      play_extra (bench, answer, &part, tally);
    }
}

static void
play_late_named_extras (Bench *bench, const Answer *answer, Tally *tally)
{
  for (size_t i = 0; i < 3; i++)
    play_late_extra (bench, answer, &extras[i], tally);
}

static void
play_late_unnamed_extra (Bench *bench, const Answer *answer, Tally *tally)
{
  play_late_extra (bench, answer, &extras[3], tally);
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

  visit_reusable_answers (play_late_unnamed_extra, &tally);
  tally_assert (&tally, "late second answers without a name");
}
END_TEST

/* Plays ANSWER with LINE in place of the header by which it names its request. */
static void
play_renamed (Bench *bench, const Answer *answer, const char *line, bool kept, Tally *tally)
{
  static const char own[] = ECHO_HEADER ": " OWN_ECHO "\r\n";
  g_autoptr (GString) wire = g_string_new (answer->wire->str);
  Play play = { .method = answer->method, .kept = kept };
  bool complete
      = line[0] == '\0' && !kept && (!answer->ends_with_connection || bench->mode == MODE_PLATFORM);
  Call call;
  GsExchangeState state;

  g_string_replace (wire, own, line, 1);
  play.bytes = wire->str;
  play.length = wire->len;
  play.ending = answer->ends_with_connection ? ENDING_FIN : ENDING_OPEN;
  state = bench_play (bench, &call, &play);
  tally_state (tally, bench, &play, answer->name, state,
               (state == GS_EXCHANGE_COMPLETE) == complete);
  call_end (&call);
  bench_close_connections (bench);
}

static void
play_unnamed_on_new_connection (Bench *bench, const Answer *answer, Tally *tally)
{
  play_renamed (bench, answer, "", false, tally);
}

static void
play_unnamed_on_kept_connection (Bench *bench, const Answer *answer, Tally *tally)
{
  play_renamed (bench, answer, "", true, tally);
}

static void
play_named_otherwise (Bench *bench, const Answer *answer, Tally *tally)
{
  for (int kept = 0; kept < 2; kept++)
    {
      play_renamed (bench, answer, ECHO_HEADER ": " EARLIER_ECHO "\r\n", kept != 0, tally);
      play_renamed (bench, answer, ECHO_HEADER ": " OWN_ECHO "0\r\n", kept != 0, tally);
      play_renamed (bench, answer, ECHO_HEADER ": 7\r\n", kept != 0, tally);
      play_renamed (bench, answer, ECHO_HEADER ":\r\n", kept != 0, tally);
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

/* Guards against a late copy of an earlier answer on a connection that is used again. */
START_TEST (answer_without_a_name_on_a_kept_connection_is_not_complete)
{
  Tally tally = { 0 };

  visit_answers (play_unnamed_on_kept_connection, &tally);
  tally_assert (&tally, "answers without a name taken as complete");
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
play_trailer (Bench *bench, const Trailer *trailer, bool named, bool kept, Tally *tally)
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
      GsExchangeState state = bench_play (bench, &call, &play);

      tally_state (tally, bench, &play, trailer->name, state,
                   (state == GS_EXCHANGE_COMPLETE) == (named || !kept)
                       && call_has_no_trailer (&call, trailer->name, header));
      call_end (&call);
      bench_close_connections (bench);
    }
}

/* Guards against trailers that change how an answer is judged or which request it names. */
START_TEST (trailers_are_not_headers)
{
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Bench *bench = bench_new (mode);

      for (size_t i = 0; i < G_N_ELEMENTS (trailers); i++)
        {
          play_trailer (bench, &trailers[i], true, false, &tally);
          play_trailer (bench, &trailers[i], true, true, &tally);
          play_trailer (bench, &trailers[i], false, false, &tally);
        }
      bench_free (bench);
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
      Bench *bench = bench_new (mode);

      play_trailer (bench, &echo, false, true, &tally);
      bench_free (bench);
    }
  tally_assert (&tally, "answers named by a trailer");
}
END_TEST

enum
{
  UPLOAD_BYTES = 16 * 1024 * 1024,
  UPLOAD_READ_STEPS = 60,
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
play_upload (Bench *bench, const char *body, size_t n_body, size_t drain_bytes)
{
  static const char head[] = OK_HEAD ("");
  GsExchangeOptions options
      = { .method = "POST", .echo = OWN_ECHO, .body = body, .body_length = UPLOAD_BYTES };
  Call call;
  Connection *connection;
  GsExchangeState state;

  call_start (bench, &call, &options);
  connection = call_wait_for_request (bench, &call);
  ck_assert_ptr_nonnull (connection);
  connection_send (connection, head, strlen (head));
  connection_send (connection, CONTENT, n_body);
  connection_settle (bench, connection, &call);
  connection_drain (connection, drain_bytes);
  connection_reset (connection);
  state = call_wait_until_done (bench, &call);
  call_end (&call);
  bench_close_connections (bench);
  return state;
}

/* Guards against a failed write of the request that turns a reset into the end of the answer. */
START_TEST (reset_during_the_request_does_not_end_the_answer)
{
  g_autofree char *body = g_malloc0 (UPLOAD_BYTES);
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Bench *bench = bench_new (mode);

      for (size_t n_body = 0; n_body <= strlen (CONTENT); n_body++)
        for (size_t drain = 0; drain <= 4; drain++)
          {
            GsExchangeState state = play_upload (bench, body, n_body, drain * 65536);

            tally_check (&tally, state == GS_EXCHANGE_FAILED,
                         "%s mode, %zu bytes of the answer, %zu of the request read: state %s",
                         mode_names[mode], n_body, drain * 65536, state_name (state));
          }
      bench_free (bench);
    }
  tally_assert (&tally, "resets taken as the end");
}
END_TEST

enum
{
  LARGE_BYTES = GS_EXCHANGE_BUFFER_BYTES + 300000,
  LARGE_CHUNK_BYTES = 5000,
};

static char
large_byte (size_t offset)
{
  return (char)(offset % 251);
}

/* RETURN VALUE: an answer of FORM with LARGE_BYTES of content; those of its wire up to the end of
 * the head in HEAD_LENGTH. */
static GString *
large_wire (const Form *form, size_t *head_length)
{
  GString *wire = g_string_new ("HTTP/1.1 200 OK\r\n" ECHO_HEADER ": " OWN_ECHO "\r\n");
  bool is_chunked = strstr (form->framing, "chunked") != NULL;

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
      g_string_append_c (wire, large_byte (i));
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
    for (ssize_t i = 0; i < result->end; i++)
      result->intact = block[i] == large_byte (result->length++) && result->intact;
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
play_large (Bench *bench, const Play *play, LargeRead *result)
{
  GsExchangeOptions options = { .method = "GET", .echo = OWN_ECHO };
  Call call;
  Connection *connection;
  bool finished = false;
  GsExchangeState state;

  *result = (LargeRead){ .end = GS_EXCHANGE_READ_PENDING, .intact = true };
  call_start (bench, &call, &options);
  connection = call_wait_for_request (bench, &call);
  ck_assert_ptr_nonnull (connection);
  while (result->end == GS_EXCHANGE_READ_PENDING)
    {
      ssize_t sent = finished ? 0
                              : send (connection->fd, play->bytes + connection->sent_bytes,
                                      play->length - connection->sent_bytes, MSG_NOSIGNAL);

      connection->sent_bytes += (size_t)MAX (sent, 0);
      if (!finished && connection->sent_bytes == play->length
          && (play->ending == ENDING_FIN_AT_ONCE || connection_is_read (connection)))
        {
          connection_finish (bench, connection, &call, play->ending);
          finished = true;
        }
      ev_run (bench->loop, EVRUN_NOWAIT);
      if (call.done && gs_exchange_state (call.exchange) != GS_EXCHANGE_STREAMING)
        break;
      if (call.done)
        large_read (&call, result);
    }
  state = gs_exchange_state (call.exchange);
  call_end (&call);
  bench_close_connections (bench);
  return state;
}

/* Plays the large answer of FORM, which has a head of HEAD_LENGTH bytes. */
static void
check_large (Bench *bench,
             const Form *form,
             const Play *play,
             size_t head_length,
             bool whole,
             Tally *tally)
{
  LargeRead result;
  GsExchangeState state = play_large (bench, play, &result);
  bool until_close = form->ends_with_connection;
  bool right;

  if (until_close && bench->mode == MODE_OWN)
    right = state == GS_EXCHANGE_FAILED;
  else if (until_close ? play->ending != ENDING_RESET : whole)
    right = state == GS_EXCHANGE_STREAMING && result.end == GS_EXCHANGE_READ_END && result.intact
            && result.length == (until_close ? play->length - head_length : LARGE_BYTES);
  else
    right = state == GS_EXCHANGE_FAILED
            || (state == GS_EXCHANGE_STREAMING && result.end == GS_EXCHANGE_READ_BROKEN
                && result.intact);
  tally_check (tally, right,
               "%s, %s mode, %s after %zu bytes: state %s, %zu bytes read, intact %d, then %zd",
               form->name, mode_names[bench->mode], ending_names[play->ending], play->length,
               state_name (state), result.length, result.intact, result.end);
}

/* Plays large answers of each form that has a body, without the last bytes of each of CUTS. */
static void
check_large_answers (const size_t *cuts, size_t n_cuts, Tally *tally)
{
  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Bench *bench = bench_new (mode);

      for (size_t form = 0; form < G_N_ELEMENTS (forms); form++)
        {
          size_t head_length;
          g_autoptr (GString) wire = NULL;

          if (strcmp (forms[form].content, CONTENT) != 0)
            continue;
          wire = large_wire (&forms[form], &head_length);
          for (size_t cut = 0; cut < n_cuts; cut++)
            for (Ending ending = ENDING_FIN; ending < N_ENDINGS; ending++)
              {
                Play play
                    = { .bytes = wire->str, .length = wire->len - cuts[cut], .ending = ending };

                check_large (bench, &forms[form], &play, head_length, cuts[cut] == 0, tally);
              }
        }
      bench_free (bench);
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

enum
{
  REPEATED_BODY_BYTES = 200,
};

/* Plays an answer that breaks off after each number of bytes of its body and is then sent once
 * more, whole: the stated length is reached with bytes of the second one's head. */
static void
play_broken_off_and_repeated (Bench *bench, bool kept, Tally *tally)
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
      GsExchangeState state = bench_play (bench, &call, &play);

      tally_state (tally, bench, &play, "broken off and repeated", state,
                   state != GS_EXCHANGE_COMPLETE);
      call_end (&call);
      bench_close_connections (bench);
    }
}

/* Guards against an answer that is broken off, completed with bytes of its own repetition. */
START_TEST (answer_that_is_broken_off_and_repeated_is_not_complete)
{
  Tally tally = { 0 };

  for (Mode mode = 0; mode < N_MODES; mode++)
    {
      Bench *bench = bench_new (mode);

      play_broken_off_and_repeated (bench, false, &tally);
      play_broken_off_and_repeated (bench, true, &tally);
      bench_free (bench);
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
      Bench *bench = bench_new (mode);
      GsExchangeOptions options = { .method = "GET", .echo = OWN_ECHO };
      uint32_t serial = bench_complete_request (bench, OWN_ECHO)->serial;
      Connection *connection;
      Call call;

      call_start (bench, &call, &options);
      connection = call_wait_for_request (bench, &call);
      ck_assert_ptr_nonnull (connection);
      if (connection->serial == serial)
        {
          connection_send (connection, copy, strlen (copy));
          connection_settle (bench, connection, &call);
        }
      tally_check (&tally, gs_exchange_state (call.exchange) != GS_EXCHANGE_COMPLETE,
                   "%s mode: state %s", mode_names[mode],
                   state_name (gs_exchange_state (call.exchange)));
      call_end (&call);
      bench_free (bench);
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
      Bench *bench = bench_new (MODE_PLATFORM);
      g_autofree char *wire
          = g_strdup_printf (OK_HEAD ("Keep-Alive: timeout=%s\r\n" LENGTH ("2")) "ok", timeouts[i]);
      Play play
          = { .method = "GET", .bytes = wire, .length = strlen (wire), .ending = ENDING_OPEN };
      Call call;

      ck_assert_int_eq (bench_play (bench, &call, &play), GS_EXCHANGE_COMPLETE);
      call_end (&call);
      bench_free (bench);
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
  g_autoptr (GString) wire = large_wire (&forms[3], &head_length);
  Bench *bench = bench_new (MODE_PLATFORM);
  GsExchangeOptions options
      = { .method = "POST", .echo = OWN_ECHO, .body = body, .body_length = UPLOAD_BYTES };
  LargeRead result = { .end = GS_EXCHANGE_READ_PENDING, .intact = true };
  size_t n_received = 0;
  bool is_same = true;
  Connection *connection;
  Call call;

  ck_assert_str_eq (forms[3].name, "until close");
  call_start (bench, &call, &options);
  connection = call_wait_for_request (bench, &call);
  ck_assert_ptr_nonnull (connection);
  while (!call.done)
    {
      ssize_t sent = send (connection->fd, wire->str + connection->sent_bytes,
                           wire->len - connection->sent_bytes, MSG_NOSIGNAL);
      connection->sent_bytes += (size_t)MAX (sent, 0);
      ev_run (bench->loop, EVRUN_NOWAIT);
    }
  ck_assert_int_eq (gs_exchange_state (call.exchange), GS_EXCHANGE_STREAMING);
  while (result.end == GS_EXCHANGE_READ_PENDING)
    {
      is_same = connection_compare (connection, body, &n_received) && is_same;
      ev_run (bench->loop, EVRUN_NOWAIT);
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
  bench_free (bench);
}
END_TEST

FIXTURE_MAIN ("exchange",
              &whole_answer_in_two_parts_is_complete,
              &answer_that_ends_in_its_head_is_not_complete,
              &answer_that_ends_in_its_head_at_once_is_not_complete,
              &answer_that_is_reset_in_its_head_is_not_complete,
              &answer_that_ends_in_its_body_is_not_complete,
              &chunked_answer_that_ends_before_its_last_line_is_not_complete,
              &answer_that_is_reset_in_its_body_is_not_complete,
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
              &answer_without_a_name_on_a_kept_connection_is_not_complete,
              &answer_that_names_another_request_is_not_complete,
              &trailers_are_not_headers,
              &trailer_does_not_name_the_request,
              &reset_during_the_request_does_not_end_the_answer,
              &large_answer_is_streamed_whole,
              &large_answer_that_is_cut_is_broken,
              &answer_that_is_broken_off_and_repeated_is_not_complete,
              &copy_of_the_answer_to_an_earlier_request_with_the_same_id_is_not_complete,
              &keep_alive_with_a_large_timeout_is_read,
              &large_answer_before_the_whole_request_is_streamed_whole)
