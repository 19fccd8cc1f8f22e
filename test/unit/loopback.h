/*
 * For unit tests of http/exchange: a client, and an upstream that sends scripted bytes to it over
 * loopback.
 *
 * Both share one thread and one event loop. A step that depends on what the client has received
 * waits until the client's socket has received every byte and given it out.
 */
#ifndef LOOPBACK_H
#define LOOPBACK_H

#include <errno.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../src/gentian/http/exchange.h"
#include "fixture.h"

enum
{
  LOOPBACK_TIMEOUT_US = 20 * 1000 * 1000,
  LOOPBACK_TEST_LIMIT_S = 120, /* a test that waits in vain is ended by SIGALRM */
  LOOPBACK_MAX_IDLE = 4,
  LOOPBACK_IDLE_STEPS = 2, /* for timers that are due at once */
  LOOPBACK_FD_MAX = 256,
};

/** Header by which an answer names its attempt or request. */
#define ECHO_HEADER "Attempt"

/** Value that the answer under test should have. */
#define OWN_ECHO "71"
/** Those of the requests before and after it on the same connection. */
#define EARLIER_ECHO "70"
#define LATER_ECHO "72"

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
  ENDING_FIN_AT_ONCE, /* shuts it down before the client runs again */
  ENDING_RESET,       /* resets it when the client has received all bytes */
  ENDING_RESET_AT_ONCE,
  N_ENDINGS,
} Ending;

static const char *const ending_names[N_ENDINGS]
    = { "open", "FIN", "FIN at once", "RST", "RST at once" };

/** The upstream's side of a connection. */
typedef struct
{
  int fd;
  uint32_t serial; /* counts the connections */
  uint16_t client_port;
  int client_fd; /* of the client, which is in this process */
  size_t sent_bytes;
  GString *received; /* of a request whose head is not complete */
} Connection;

/** A client and its upstream. */
typedef struct
{
  Mode mode;
  struct ev_loop *loop;
  GsClient *client;
  int listener;
  uint16_t port;
  GPtrArray *connections;
  uint32_t last_serial;
} Loopback;

/** An exchange under test. */
typedef struct
{
  GsExchange *exchange;
  bool done;
} Call;

static inline void
free_connection (gpointer data)
{
  Connection *connection = data;

  if (connection->fd >= 0)
    close (connection->fd);
  g_string_free (connection->received, TRUE);
  g_free (connection);
}

static inline Loopback *
loopback_new (Mode mode)
{
  Loopback *loopback = g_new0 (Loopback, 1);
  GsClientOptions options = { .max_idle = LOOPBACK_MAX_IDLE,
                              .allow_unframed = mode == MODE_PLATFORM,
                              .skip_crash_check = true };
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;

  alarm (LOOPBACK_TEST_LIMIT_S);
  loopback->mode = mode;
  loopback->loop = ev_loop_new (EVFLAG_AUTO);
  options.loop = loopback->loop;
  loopback->client = gs_client_new (&options);
  loopback->connections = g_ptr_array_new_with_free_func (free_connection);
  loopback->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  ck_assert_int_eq (bind (loopback->listener, (struct sockaddr *)&address, size), 0);
  ck_assert_int_eq (listen (loopback->listener, SOMAXCONN), 0);
  ck_assert_int_eq (getsockname (loopback->listener, (struct sockaddr *)&address, &size), 0);
  loopback->port = ntohs (address.sin_port);
  return loopback;
}

static inline void
loopback_free (Loopback *loopback)
{
  gs_client_free (loopback->client);
  g_ptr_array_unref (loopback->connections);
  close (loopback->listener);
  ev_loop_destroy (loopback->loop);
  g_free (loopback);
}

/* RETURN VALUE: whether FD is the client's socket of CONNECTION. */
static inline bool
is_client_socket (const Connection *connection, int fd)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;

  return fd != connection->fd && getsockname (fd, (struct sockaddr *)&address, &size) == 0
         && address.sin_family == AF_INET && ntohs (address.sin_port) == connection->client_port;
}

static inline void
accept_connections (Loopback *loopback)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;
  int fd;

  while ((fd = accept4 (loopback->listener, (struct sockaddr *)&address, &size,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      Connection *connection = g_new0 (Connection, 1);

      connection->fd = fd;
      connection->serial = ++loopback->last_serial;
      connection->client_port = ntohs (address.sin_port);
      connection->received = g_string_new (NULL);
      while (connection->client_fd < LOOPBACK_FD_MAX
             && !is_client_socket (connection, connection->client_fd))
        connection->client_fd++;
      g_ptr_array_add (loopback->connections, connection);
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof (int));
    }
}

/* Reads from CONNECTION. RETURN VALUE: false when the client has closed it. */
static inline bool
read_connection (Connection *connection)
{
  char block[512];
  ssize_t got = recv (connection->fd, block, sizeof block, 0);

  if (got > 0)
    g_string_append_len (connection->received, block, got);
  return got > 0 || (got < 0 && errno == EAGAIN);
}

/* Lets the client run, and closes the connections that it has closed. */
static inline void
loopback_step (Loopback *loopback)
{
  ev_run (loopback->loop, EVRUN_NOWAIT);
  accept_connections (loopback);
  for (guint i = loopback->connections->len; i > 0; i--)
    if (!read_connection (g_ptr_array_index (loopback->connections, i - 1)))
      g_ptr_array_remove_index (loopback->connections, i - 1);
}

static inline void
on_done (void *data)
{
  ((Call *)data)->done = true;
}

static inline void
on_readable (void *data)
{
  (void)data;
}

/* Starts a request with the method, body and echo of PARTIAL. */
static inline void
call_start (Loopback *loopback, Call *call, const GsExchangeOptions *partial)
{
  static const GsExchangeClass class = { .done = on_done, .readable = on_readable };
  g_autoptr (GPtrArray) headers = g_ptr_array_new_with_free_func (g_free);
  GsExchangeOptions options = *partial;

  options.ipv4 = INADDR_LOOPBACK;
  options.port = loopback->port;
  options.target = "/";
  options.echo_header = options.echo != NULL ? ECHO_HEADER : NULL;
  options.headers = headers;
  options.class = &class;
  options.data = call;
  options.timeout_us = LOOPBACK_TIMEOUT_US;
  if (options.echo != NULL)
    g_ptr_array_add (headers, g_strdup_printf (ECHO_HEADER ": %s", options.echo));
  g_ptr_array_add (headers, g_strdup ("Expect:"));
  call->done = false;
  call->exchange = gs_exchange_new (loopback->client, &options);
  gs_exchange_start (call->exchange);
}

/* RETURN VALUE: the connection on which the head of a request has arrived, or NULL when the
 * exchange has ended before. */
static inline Connection *
call_wait_for_request (Loopback *loopback, const Call *call)
{
  while (!call->done)
    {
      loopback_step (loopback);
      for (guint i = 0; i < loopback->connections->len; i++)
        {
          Connection *connection = g_ptr_array_index (loopback->connections, i);

          if (strstr (connection->received->str, "\r\n\r\n") == NULL)
            continue;
          g_string_truncate (connection->received, 0);
          return connection;
        }
    }
  return NULL;
}

static inline GsExchangeState
call_wait_until_done (Loopback *loopback, const Call *call)
{
  while (!call->done)
    ev_run (loopback->loop, EVRUN_ONCE);
  return gs_exchange_state (call->exchange);
}

static inline void
call_end (Call *call)
{
  g_clear_pointer (&call->exchange, gs_exchange_free);
}

/* Waits until the client's socket has received what was sent, and where CALL is not NULL until the
 * exchange has read it or has ended. */
static inline void
connection_settle (Loopback *loopback, const Connection *connection, const Call *call)
{
  struct tcp_info info;
  socklen_t size = sizeof info;
  int unread = 0;

  while (is_client_socket (connection, connection->client_fd)
         && getsockopt (connection->client_fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
         && ioctl (connection->client_fd, FIONREAD, &unread) == 0
         && (info.tcpi_bytes_received < connection->sent_bytes
             || (unread > 0 && call != NULL && !call->done)))
    ev_run (loopback->loop, EVRUN_NOWAIT);
  for (int i = 0; i < LOOPBACK_IDLE_STEPS; i++)
    ev_run (loopback->loop, EVRUN_NOWAIT);
}

static inline void
connection_send (Connection *connection, const char *bytes, size_t length)
{
  if (length == 0)
    return;
  ck_assert_int_eq (send (connection->fd, bytes, length, MSG_NOSIGNAL), (ssize_t)length);
  connection->sent_bytes += length;
}

static inline void
connection_reset (Connection *connection)
{
  struct linger linger = { .l_onoff = 1 };

  setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (connection->fd);
  connection->fd = -1;
}

/* Ends CONNECTION, which carries the answer to CALL. */
static inline void
connection_finish (Loopback *loopback, Connection *connection, const Call *call, Ending ending)
{
  if (ending != ENDING_FIN_AT_ONCE && ending != ENDING_RESET_AT_ONCE)
    connection_settle (loopback, connection, call);
  if (ending == ENDING_RESET || ending == ENDING_RESET_AT_ONCE)
    connection_reset (connection);
  else if (ending != ENDING_OPEN)
    shutdown (connection->fd, SHUT_WR);
}

/* Closes all connections, from both sides. */
static inline void
loopback_close_connections (Loopback *loopback)
{
  gs_client_drop_idle (loopback->client, INADDR_LOOPBACK, loopback->port);
  g_ptr_array_set_size (loopback->connections, 0);
}

/* Completes a request that has ECHO as its id, and leaves its connection idle. */
static inline Connection *
loopback_complete_request (Loopback *loopback, const char *echo)
{
  g_autofree char *answer = g_strdup_printf (
      "HTTP/1.1 200 OK\r\n" ECHO_HEADER ": %s\r\nContent-Length: 2\r\n\r\nok", echo);
  GsExchangeOptions options = { .method = "GET", .echo = echo };
  Call call;
  Connection *connection;

  call_start (loopback, &call, &options);
  connection = call_wait_for_request (loopback, &call);
  ck_assert_ptr_nonnull (connection);
  connection_send (connection, answer, strlen (answer));
  ck_assert_int_eq (call_wait_until_done (loopback, &call), GS_EXCHANGE_COMPLETE);
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
static inline GsExchangeState
loopback_play (Loopback *loopback, Call *call, const Play *play)
{
  GsExchangeOptions options = { .method = play->method, .echo = OWN_ECHO };
  Connection *connection;
  uint32_t kept = 0;

  if (play->kept)
    kept = loopback_complete_request (loopback, EARLIER_ECHO)->serial;
  call_start (loopback, call, &options);
  connection = call_wait_for_request (loopback, call);
  ck_assert_ptr_nonnull (connection);
  if (play->kept)
    ck_assert_uint_eq (connection->serial, kept);
  if (play->split != 0)
    {
      connection_send (connection, play->bytes, play->split);
      connection_settle (loopback, connection, call);
    }
  connection_send (connection, play->bytes + play->split, play->length - play->split);
  connection_finish (loopback, connection, call, play->ending);
  return play->ending == ENDING_OPEN ? gs_exchange_state (call->exchange)
                                     : call_wait_until_done (loopback, call);
}

#endif
