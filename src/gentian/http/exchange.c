#include "exchange.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "../log/counter.h"
#include "answer_copy.h"
#include "answer_parser.h"

enum
{
  EXCHANGE_HEAD_BYTES = 1024,         /* reserved for the head of a request */
  EXCHANGE_READ_BYTES = 16 * 1024,    /* read from a socket at once */
  EXCHANGE_IDLE_MAX_S = 3600,         /* idle timeout of a server that states a longer one */
  EXCHANGE_SKIPPED_MAX = 4,           /* answers to earlier requests on one connection */
  EXCHANGE_SKIPPED_BYTES_MAX = 65536, /* of the body of one of them */
  EXCHANGE_READS_MAX = 16,            /* before the loop handles other events */
  EXCHANGE_CONNECT_TIMEOUT_MS = 1000, /* where the client's options set none */
  EXCHANGE_TIMER_MIN_US = 500,        /* shortest delay for which the limit timer is armed */
};

/** Delay of the crash check: time for a crashing process to close its listening socket. */
#define EXCHANGE_CRASH_CHECK_DELAY_S 0.01
/** Timeout of the crash check's connection attempt. */
#define EXCHANGE_CRASH_CHECK_TIMEOUT_S 0.2

struct GsExchange
{
  GsClient *client;
  GsExchangeOptions options;
  struct ev_loop *loop;
  GsConnection *connection; /* NULL after its release */
  ev_io socket_io;
  ev_timer limit_timer;   /* the exchange's earliest time limit */
  ev_io check_io;         /* the crash check's connection attempt */
  ev_timer check_timer;   /* start of the crash check, then its timeout */
  ev_check deferred_done; /* fed when the exchange ends within gs_exchange_start */
  GString *head;          /* the request up to its body */
  size_t bytes_sent;      /* of the head and the body */
  GsAnswerParser *parser;
  GByteArray *buffer; /* the answer's body */
  size_t buffer_read;
  GsAnswerCopy *copy;   /* search for a second answer in the body; NULL: the answer has no name */
  size_t counted_bytes; /* of the buffer, as counted by the client */
  bool connecting;
  bool sent;         /* bytes of the request may have been sent */
  bool write_failed; /* an end of file may be the rest of a reset that the write consumed */
  bool surplus;      /* bytes came after the end of the answer */
  bool is_head_request;
  bool skipping;      /* the answer being received is to an earlier request */
  uint32_t n_skipped; /* answers to earlier requests that were dropped */
  bool paused;        /* receiving is paused because the buffer is full */
  bool finished;      /* the transfer has ended, completely or not */
  bool complete;      /* the transfer has ended with a complete answer */
  bool reused_connection;
  char *echo;
  const char *discard_reason; /* why the answer that had begun is not used */
  bool crash_check_running;
  bool done_reported;   /* the owner's `done` has been called */
  int64_t next_late_us; /* monotonic time of the next call of `late`; 0: never */
  GsExchangeState state;
  GsOutcome outcome;
  int64_t started_us;
  int64_t connect_until_us; /* limit to the connection attempt */
  int64_t first_byte_us;
  int64_t progress_us;
};

bool
gs_header_is_hop_by_hop (const char *name)
{
  static const char *const hop[] = { "connection",
                                     "keep-alive",
                                     "proxy-connection",
                                     "transfer-encoding",
                                     "te",
                                     "trailer",
                                     "upgrade",
                                     "content-length",
                                     "expect",
                                     "proxy-authorization",
                                     "proxy-authenticate" };

  for (size_t i = 0; i < G_N_ELEMENTS (hop); i++)
    if (g_ascii_strcasecmp (name, hop[i]) == 0)
      return true;
  return false;
}

/* A line break in a value would end the header and let the rest pass for another one. */
static void
append_header_line (GString *head, const char *line)
{
  gsize begin = head->len;

  g_string_append (head, line);
  g_strdelimit (head->str + begin, "\r\n", ' ');
  g_string_append (head, "\r\n");
}

static bool
has_header (const GPtrArray *headers, const char *name)
{
  size_t length = strlen (name);

  for (guint i = 0; i < headers->len; i++)
    {
      const char *line = g_ptr_array_index (headers, i);
      if (g_ascii_strncasecmp (line, name, length) == 0 && line[length] == ':')
        return true;
    }
  return false;
}

static bool
states_length (const GsExchangeOptions *options)
{
  return options->body_length > 0 || strcmp (options->method, "POST") == 0
         || strcmp (options->method, "PUT") == 0 || strcmp (options->method, "PATCH") == 0;
}

static GString *
make_head (const GsExchangeOptions *options)
{
  GString *head = g_string_sized_new (EXCHANGE_HEAD_BYTES);

  g_string_printf (head, "%s %s HTTP/1.1\r\n", options->method, options->target);
  if (!has_header (options->headers, "Host"))
    g_string_append_printf (head, "Host: %u.%u.%u.%u:%u\r\n", options->ipv4 >> 24,
                            (options->ipv4 >> 16) & 255, (options->ipv4 >> 8) & 255,
                            options->ipv4 & 255, options->port);
  for (guint i = 0; i < options->headers->len; i++)
    append_header_line (head, g_ptr_array_index (options->headers, i));
  if (states_length (options))
    g_string_append_printf (head, "Content-Length: %zu\r\n", options->body_length);
  g_string_append (head, "\r\n");
  return head;
}

/* RETURN VALUE: monotonic time until which the idle connection may be used: 4/5 of the server's
 * idle timeout, the rest allows for the network delay. */
static int64_t
idle_deadline_us (const GsExchange *exchange)
{
  const char *keep_alive = gs_exchange_header (exchange, "Keep-Alive");
  const char *timeout = keep_alive != NULL ? strstr (keep_alive, "timeout=") : NULL;
  int64_t idle_ms = gs_client_options (exchange->client)->idle_ms;

  if (timeout != NULL)
    idle_ms = (int64_t)MIN (g_ascii_strtoull (timeout + strlen ("timeout="), NULL, 10),
                            EXCHANGE_IDLE_MAX_S)
              * 1000;
  else if (idle_ms == 0)
    return INT64_MAX;
  return g_get_monotonic_time () + idle_ms * GS_US_PER_MS * 4 / 5;
}

/* Whose answer it is, by the header that echoes a value of the request. */
typedef enum
{
  ANSWER_UNNAMED = 0,
  ANSWER_OWN,
  ANSWER_FOREIGN,
} AnswerOwner;

static AnswerOwner
answer_owner (const GsExchange *exchange)
{
  const GPtrArray *headers = gs_answer_parser_headers (exchange->parser);
  const char *header = exchange->options.echo_header;
  AnswerOwner owner = ANSWER_UNNAMED;

  for (guint i = 0; header != NULL && exchange->echo != NULL && i + 1 < headers->len; i += 2)
    if (g_ascii_strcasecmp (g_ptr_array_index (headers, i), header) == 0)
      {
        if (strcmp (g_ptr_array_index (headers, i + 1), exchange->echo) != 0)
          return ANSWER_FOREIGN;
        owner = ANSWER_OWN;
      }
  return owner;
}

static bool
is_request_written (const GsExchange *exchange)
{
  return exchange->bytes_sent == exchange->head->len + exchange->options.body_length;
}

/* Whether the connection can carry another request: the answer is whole, the request was written
 * whole, nothing came after the answer, and the server names the requests that it answers. */
static bool
is_connection_reusable (const GsExchange *exchange)
{
  const char *header = exchange->options.echo_header;

  return exchange->complete && exchange->outcome == GS_OUTCOME_OK && !exchange->surplus
         && exchange->n_skipped == 0 && is_request_written (exchange)
         && gs_answer_parser_keeps_connection (exchange->parser) && header != NULL
         && exchange->echo != NULL && gs_exchange_header (exchange, header) != NULL;
}

static GsOutcome
failure_outcome (const GsExchange *exchange)
{
  if (!exchange->sent)
    return GS_OUTCOME_UNREACHABLE;
  if (exchange->first_byte_us != 0)
    return GS_OUTCOME_TRUNCATED;
  return GS_OUTCOME_CLOSED;
}

static void
stop_transfer (GsExchange *exchange)
{
  ev_io_stop (exchange->loop, &exchange->socket_io);
  ev_timer_stop (exchange->loop, &exchange->limit_timer);
}

static void
fail (GsExchange *exchange, GsOutcome outcome)
{
  exchange->finished = true;
  exchange->outcome = outcome;
}

/* Ends the transfer of an answer that had begun. */
static void
discard_answer (GsExchange *exchange, const char *reason)
{
  exchange->discard_reason = reason;
  fail (exchange, GS_OUTCOME_TRUNCATED);
}

/* The connection was lost, or its end of file cannot be told from a reset. */
static void
lose_connection (GsExchange *exchange)
{
  GsOutcome outcome = failure_outcome (exchange);

  if (outcome == GS_OUTCOME_TRUNCATED)
    {
      discard_answer (exchange,
                      gs_answer_parser_framing (exchange->parser) == GS_ANSWER_FRAMING_UNKNOWN
                          ? "head-incomplete"
                          : "body-incomplete");
      return;
    }
  fail (exchange, outcome);
  if (outcome != GS_OUTCOME_CLOSED || gs_client_options (exchange->client)->skip_crash_check)
    return;
  exchange->crash_check_running = true;
  ev_timer_start (exchange->loop, &exchange->check_timer);
}

/* Watches the socket for EVENTS; 0: for none. */
static void
watch_socket (GsExchange *exchange, int events)
{
  ev_io_stop (exchange->loop, &exchange->socket_io);
  if (events == 0)
    return;
  ev_io_set (&exchange->socket_io, exchange->connection->socket, events);
  ev_io_start (exchange->loop, &exchange->socket_io);
}

static void
watch_for_progress (GsExchange *exchange)
{
  bool writes = !exchange->write_failed && !is_request_written (exchange);

  watch_socket (exchange, (exchange->paused ? 0 : EV_READ) | (writes ? EV_WRITE : 0));
}

static void
open_connection (GsExchange *exchange, int64_t now_us)
{
  uint32_t connect_ms = gs_client_options (exchange->client)->connect_timeout_ms;
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (exchange->options.port),
                                 .sin_addr.s_addr = htonl (exchange->options.ipv4) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int on = 1;

  exchange->connection->socket = fd;
  exchange->connecting = true;
  exchange->connect_until_us
      = now_us
        + (connect_ms != 0 ? connect_ms : EXCHANGE_CONNECT_TIMEOUT_MS) * (int64_t)GS_US_PER_MS;
  if (fd < 0 || setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on) != 0
      || (connect (fd, (struct sockaddr *)&address, sizeof address) != 0 && errno != EINPROGRESS))
    {
      fail (exchange, GS_OUTCOME_UNREACHABLE);
      return;
    }
  watch_socket (exchange, EV_WRITE);
}

/* Replaces a kept connection that its server had closed: nothing of the request was accepted. */
static void
reopen_connection (GsExchange *exchange)
{
  watch_socket (exchange, 0);
  gs_connection_free (exchange->connection);
  exchange->connection = gs_connection_new (exchange->client);
  exchange->reused_connection = false;
  exchange->sent = false;
  open_connection (exchange, g_get_monotonic_time ());
}

static ssize_t
send_part (GsExchange *exchange)
{
  size_t head_sent = MIN (exchange->bytes_sent, exchange->head->len);
  size_t body_sent = exchange->bytes_sent - head_sent;
  struct iovec parts[2]
      = { { exchange->head->str + head_sent, exchange->head->len - head_sent },
          { exchange->options.body_length > 0 ? (char *)exchange->options.body + body_sent : NULL,
            exchange->options.body_length - body_sent } };
  struct msghdr message = { .msg_iov = parts, .msg_iovlen = G_N_ELEMENTS (parts) };

  return sendmsg (exchange->connection->socket, &message, MSG_NOSIGNAL);
}

/* Writes what the socket accepts of the request. */
static void
write_request (GsExchange *exchange)
{
  ssize_t count = 0;

  exchange->sent = true;
  while (!is_request_written (exchange) && (count = send_part (exchange)) >= 0)
    exchange->bytes_sent += (size_t)count;
  if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
    {
      if (exchange->bytes_sent == 0 && exchange->reused_connection)
        {
          reopen_connection (exchange);
          return;
        }
      exchange->sent = exchange->bytes_sent > 0;
      exchange->write_failed = true; /* the server may have answered before it closed */
    }
  watch_for_progress (exchange);
}

/* Whether the end of an answer to an earlier request is known, so that the own answer can follow.
 * The length in an answer to HEAD is not the length of what follows. */
static bool
is_skippable (const GsExchange *exchange)
{
  return exchange->reused_connection && !exchange->connection->had_head_request
         && !exchange->is_head_request && exchange->n_skipped < EXCHANGE_SKIPPED_MAX
         && gs_answer_parser_framing (exchange->parser) != GS_ANSWER_FRAMING_CLOSE;
}

/* Checks an answer whose head is complete. Only the first answer on a connection needs no proof: on
 * a reused one, a server that answers an earlier request twice would be believed. */
static void
check_answer_head (GsExchange *exchange)
{
  AnswerOwner owner = answer_owner (exchange);
  GsAnswerFraming framing = gs_answer_parser_framing (exchange->parser);

  if (owner == ANSWER_FOREIGN && is_skippable (exchange))
    exchange->skipping = true;
  else if (owner == ANSWER_FOREIGN || (owner == ANSWER_UNNAMED && exchange->reused_connection))
    discard_answer (exchange, "not-own");
  else if (framing == GS_ANSWER_FRAMING_CLOSE
           && !gs_client_options (exchange->client)->allow_unframed)
    discard_answer (exchange, "no-length");
}

/* Drops the answer to an earlier request, which the server has sent once more, when it is complete.
 * The answer to this request can follow it, but not if a part of it has been read as the dropped
 * one's body: where the server broke that off and went on. */
static void
end_skipped_answer (GsExchange *exchange)
{
  GsAnswerParserOptions options = { .head_request = exchange->is_head_request };

  if (gs_answer_copy_begins (exchange->buffer->data, exchange->buffer->len))
    {
      discard_answer (exchange, "not-own");
      return;
    }
  g_byte_array_set_size (exchange->buffer, 0);
  exchange->skipping = false;
  exchange->n_skipped++;
  exchange->first_byte_us = 0;
  gs_counter_add (GS_COUNTER_ANSWERS_SKIPPED, 1);
  gs_answer_parser_free (exchange->parser);
  exchange->parser = gs_answer_parser_new (&options);
}

/* The server broke the answer off and sent it again: what is held may be bytes of the second one,
 * and without them no caller takes the first one for whole. */
static void
discard_joined_answer (GsExchange *exchange)
{
  exchange->buffer_read = exchange->buffer->len;
  discard_answer (exchange, "joined-answers");
}

/* Handles the bytes of one answer. RETURN VALUE: number of bytes that belong to it. */
static size_t
receive_part (GsExchange *exchange, const uint8_t *bytes, size_t length, int64_t now_us)
{
  bool had_head = gs_answer_parser_state (exchange->parser) != GS_ANSWER_HEAD;
  size_t held = exchange->buffer->len;
  size_t consumed = gs_answer_parser_feed (exchange->parser, bytes, length, exchange->buffer);
  GsAnswerState state = gs_answer_parser_state (exchange->parser);

  if (exchange->first_byte_us == 0)
    exchange->first_byte_us = now_us;
  if (state != GS_ANSWER_HEAD)
    exchange->progress_us = now_us;
  if (state == GS_ANSWER_MALFORMED)
    discard_answer (exchange, gs_answer_parser_reason (exchange->parser));
  else if (!had_head && state != GS_ANSWER_HEAD)
    check_answer_head (exchange);
  if (exchange->skipping && exchange->buffer->len > EXCHANGE_SKIPPED_BYTES_MAX)
    discard_answer (exchange, "not-own");
  else if (!exchange->skipping && !exchange->finished && exchange->copy != NULL
           && gs_answer_copy_feed (exchange->copy, exchange->buffer->data + held,
                                   exchange->buffer->len - held))
    discard_joined_answer (exchange);
  return consumed;
}

/* Handles LENGTH received bytes. */
static void
receive_bytes (GsExchange *exchange, const uint8_t *bytes, size_t length, int64_t now_us)
{
  while (length > 0 && !exchange->finished)
    {
      size_t consumed = receive_part (exchange, bytes, length, now_us);
      bytes += consumed;
      length -= consumed;
      if (exchange->finished || gs_answer_parser_state (exchange->parser) != GS_ANSWER_COMPLETE)
        continue;
      if (exchange->skipping)
        {
          end_skipped_answer (exchange);
          continue;
        }
      exchange->surplus = length > 0;
      if (exchange->copy != NULL && gs_answer_copy_end (exchange->copy, bytes, length))
        {
          discard_joined_answer (exchange);
          return;
        }
      exchange->finished = true;
      exchange->complete = true;
    }
}

/* The server has closed its side of the connection. */
static void
receive_end (GsExchange *exchange)
{
  if (!exchange->write_failed)
    gs_answer_parser_end (exchange->parser);
  if (gs_answer_parser_state (exchange->parser) != GS_ANSWER_COMPLETE)
    {
      lose_connection (exchange);
      return;
    }
  exchange->finished = true;
  exchange->complete = true;
}

static size_t
held_bytes (const GsExchange *exchange)
{
  return exchange->buffer->len - exchange->buffer_read;
}

static void
count_held (GsExchange *exchange)
{
  gs_client_count_held (exchange->client,
                        (ssize_t)exchange->buffer->len - (ssize_t)exchange->counted_bytes);
  exchange->counted_bytes = exchange->buffer->len;
}

static size_t
buffer_limit (const GsExchange *exchange)
{
  size_t max = gs_client_options (exchange->client)->max_held_bytes;

  return max == 0 || gs_client_held_bytes (exchange->client) < max ? GS_EXCHANGE_BUFFER_BYTES
                                                                   : GS_EXCHANGE_SCARCE_BYTES;
}

/* Reads what the socket has, until the buffer is full. */
static void
read_answer (GsExchange *exchange)
{
  uint8_t bytes[EXCHANGE_READ_BYTES];
  ssize_t count = 1;

  for (int i = 0; i < EXCHANGE_READS_MAX && !exchange->finished && count > 0; i++)
    {
      if (held_bytes (exchange) >= buffer_limit (exchange))
        {
          exchange->paused = true;
          watch_for_progress (exchange);
          return;
        }
      count = recv (exchange->connection->socket, bytes, sizeof bytes, 0);
      if (count > 0)
        receive_bytes (exchange, bytes, (size_t)count, g_get_monotonic_time ());
      else if (count == 0)
        receive_end (exchange);
      else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        lose_connection (exchange);
      count_held (exchange);
    }
}

static void
end_connecting (GsExchange *exchange)
{
  int error = 0;
  socklen_t size = sizeof error;

  exchange->connecting = false;
  if (getsockopt (exchange->connection->socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0
      || error != 0)
    {
      fail (exchange, GS_OUTCOME_UNREACHABLE);
      return;
    }
  gs_counter_add (GS_COUNTER_CONNECTS, 1);
  write_request (exchange);
}

/* Calls the owner's `done` or `readable` where it is due. The owner may free the exchange. */
static void
notify_owner (GsExchange *exchange)
{
  if (exchange->crash_check_running
      || (!exchange->finished && !exchange->paused && !exchange->done_reported))
    return;
  if (exchange->done_reported)
    {
      if (exchange->state == GS_EXCHANGE_STREAMING
          && (exchange->finished || exchange->buffer->len > exchange->buffer_read))
        exchange->options.class->readable (exchange->options.data);
      return;
    }
  exchange->done_reported = true;
  if (exchange->finished)
    exchange->state = exchange->complete ? GS_EXCHANGE_COMPLETE : GS_EXCHANGE_FAILED;
  else
    exchange->state = GS_EXCHANGE_STREAMING; /* the owner reads the rest */
  exchange->options.class->done (exchange->options.data);
}

/* Fails with OUTCOME if no answer has begun. */
static void
fail_late (GsExchange *exchange, GsOutcome outcome)
{
  if (exchange->first_byte_us != 0)
    discard_answer (exchange, "late");
  else
    fail (exchange, outcome);
}

/* Fails the exchange when it has exceeded a time limit. RETURN VALUE: whether it has ended. */
static bool
enforce_limits (GsExchange *exchange, int64_t now_us)
{
  int64_t stalled_us = now_us - MAX (exchange->progress_us, exchange->first_byte_us);

  if (exchange->connecting && now_us >= exchange->connect_until_us)
    fail (exchange, GS_OUTCOME_UNREACHABLE);
  else if (exchange->options.deadline_us != 0 && now_us >= exchange->options.deadline_us
           && exchange->sent)
    fail_late (exchange, GS_OUTCOME_TIMEOUT);
  else if (exchange->first_byte_us == 0)
    {
      if (now_us - exchange->started_us < exchange->options.timeout_us)
        return false;
      if (!exchange->sent)
        fail (exchange, GS_OUTCOME_UNREACHABLE);
      else
        fail (exchange, exchange->reused_connection ? GS_OUTCOME_SILENT : GS_OUTCOME_TIMEOUT);
    }
  else if (stalled_us >= exchange->options.timeout_us && !exchange->paused)
    fail_late (exchange, GS_OUTCOME_TIMEOUT);
  return exchange->finished;
}

/* Arms the timer for the earliest time limit. */
static void
arm_limit_timer (GsExchange *exchange, int64_t now_us)
{
  int64_t due_us = exchange->options.timeout_us + exchange->started_us;

  if (exchange->connecting)
    due_us = MIN (due_us, exchange->connect_until_us);
  if (exchange->first_byte_us != 0)
    due_us = exchange->options.timeout_us
             + (exchange->paused ? now_us : MAX (exchange->progress_us, exchange->first_byte_us));
  else if (exchange->next_late_us != 0)
    due_us = MIN (due_us, exchange->next_late_us);
  if (exchange->options.deadline_us != 0 && exchange->sent)
    due_us = MIN (due_us, exchange->options.deadline_us);
  else if (exchange->options.deadline_us > now_us)
    due_us = MIN (due_us, exchange->options.deadline_us);
  ev_timer_stop (exchange->loop, &exchange->limit_timer);
  ev_timer_set (&exchange->limit_timer,
                (double)MAX (due_us - now_us, EXCHANGE_TIMER_MIN_US) / GS_US_PER_S, 0.);
  ev_timer_start (exchange->loop, &exchange->limit_timer);
}

static void
on_limit_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsExchange *exchange = watcher->data;
  int64_t now_us = g_get_monotonic_time ();
  bool late = exchange->next_late_us != 0 && now_us >= exchange->next_late_us
              && exchange->first_byte_us == 0;

  (void)loop;
  (void)events;
  if (exchange->finished)
    return;
  if (enforce_limits (exchange, now_us))
    {
      stop_transfer (exchange);
      notify_owner (exchange);
      return;
    }
  if (late)
    exchange->next_late_us = now_us + exchange->options.late_interval_us;
  arm_limit_timer (exchange, now_us);
  if (late)
    exchange->options.class->late (exchange->options.data);
}

static void
on_socket_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  GsExchange *exchange = watcher->data;

  (void)loop;
  if (exchange->connecting)
    end_connecting (exchange);
  else
    {
      if ((events & EV_WRITE) != 0)
        write_request (exchange);
      if ((events & EV_READ) != 0 && !exchange->connecting)
        read_answer (exchange);
    }
  if (exchange->finished)
    stop_transfer (exchange);
  notify_owner (exchange);
}

/* Ends the crash check of a lost connection. If the upstream still ACCEPTS connections, only the
 * connection was lost; otherwise the upstream has crashed. */
static void
end_crash_check (GsExchange *exchange, bool accepts)
{
  ev_timer_stop (exchange->loop, &exchange->check_timer);
  ev_io_stop (exchange->loop, &exchange->check_io);
  if (exchange->check_io.fd >= 0)
    close (exchange->check_io.fd);
  exchange->check_io.fd = -1;
  exchange->crash_check_running = false;
  exchange->outcome = accepts ? GS_OUTCOME_CLOSED : GS_OUTCOME_CRASHED;
}

static void
on_check_connected (struct ev_loop *loop, ev_io *watcher, int events)
{
  GsExchange *exchange = watcher->data;
  int error = 0;
  socklen_t size = sizeof error;

  (void)loop;
  (void)events;
  end_crash_check (exchange, getsockopt (watcher->fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0
                                 && error == 0);
  notify_owner (exchange);
}

/* Starts the crash check's connection attempt, or ends one that has timed out. */
static void
on_check_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsExchange *exchange = watcher->data;
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (exchange->options.port),
                                 .sin_addr.s_addr = htonl (exchange->options.ipv4) };
  int fd;

  (void)events;
  if (ev_is_active (&exchange->check_io))
    {
      end_crash_check (exchange, false);
      notify_owner (exchange);
      return;
    }
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  ev_io_set (&exchange->check_io, fd, EV_WRITE);
  if (fd < 0
      || (connect (fd, (struct sockaddr *)&address, sizeof address) != 0 && errno != EINPROGRESS))
    {
      end_crash_check (exchange, fd < 0);
      notify_owner (exchange);
      return;
    }
  ev_io_start (loop, &exchange->check_io);
  ev_timer_set (&exchange->check_timer, EXCHANGE_CRASH_CHECK_TIMEOUT_S, 0.);
  ev_timer_start (loop, &exchange->check_timer);
}

static void
on_deferred_done (struct ev_loop *loop, ev_check *watcher, int events)
{
  (void)loop;
  (void)events;
  notify_owner (watcher->data);
}

static void
init_watchers (GsExchange *exchange)
{
  ev_io_init (&exchange->socket_io, on_socket_ready, -1, EV_READ);
  ev_timer_init (&exchange->limit_timer, on_limit_timer, 0., 0.);
  ev_io_init (&exchange->check_io, on_check_connected, -1, EV_WRITE);
  ev_timer_init (&exchange->check_timer, on_check_timer, EXCHANGE_CRASH_CHECK_DELAY_S, 0.);
  ev_init (&exchange->deferred_done, on_deferred_done);
  exchange->deferred_done.data = exchange;
  exchange->socket_io.data = exchange;
  exchange->limit_timer.data = exchange;
  exchange->check_io.data = exchange;
  exchange->check_timer.data = exchange;
}

GsExchange *
gs_exchange_new (GsClient *client, const GsExchangeOptions *options)
{
  GsExchange *exchange = g_new0 (GsExchange, 1);
  GsAnswerParserOptions parser = { .head_request = strcmp (options->method, "HEAD") == 0 };

  exchange->is_head_request = parser.head_request;
  exchange->client = client;
  exchange->loop = gs_client_options (client)->loop;
  exchange->options = *options;
  exchange->echo
      = options->echo != NULL && *options->echo != '\0' ? g_strdup (options->echo) : NULL;
  exchange->head = make_head (options);
  exchange->parser = gs_answer_parser_new (&parser);
  exchange->buffer = g_byte_array_new ();
  if (exchange->echo != NULL && options->echo_header != NULL)
    exchange->copy = gs_answer_copy_new (options->echo_header, exchange->echo);
  exchange->connection = options->new_connection || exchange->echo == NULL
                             ? gs_connection_new (client)
                             : gs_client_acquire (client, options->ipv4, options->port,
                                                  gs_hash_name (exchange->echo));
  exchange->reused_connection = exchange->connection->reused;
  init_watchers (exchange);
  exchange->options.headers = NULL;
  exchange->options.method = NULL;
  exchange->options.target = NULL;
  exchange->options.echo = NULL;
  return exchange;
}

void
gs_exchange_start (GsExchange *exchange)
{
  exchange->started_us = g_get_monotonic_time ();
  if (exchange->options.late_us != 0)
    exchange->next_late_us = exchange->started_us + exchange->options.late_us;
  if (exchange->reused_connection)
    write_request (exchange);
  else
    open_connection (exchange, exchange->started_us);
  arm_limit_timer (exchange, exchange->started_us);
  if (exchange->finished)
    ev_feed_event (exchange->loop, &exchange->deferred_done, EV_CUSTOM);
}

void
gs_exchange_cancel (GsExchange *exchange, GsOutcome outcome)
{
  fail (exchange, outcome);
  exchange->state = GS_EXCHANGE_FAILED;
  exchange->done_reported = true;
  stop_transfer (exchange);
}

bool
gs_exchange_sent (const GsExchange *exchange)
{
  return exchange->sent;
}

/* Returns the connection to the client if it can be reused, and closes it otherwise. Without a
 * complete answer, the upstream must get no more bytes of the request. */
static void
release_connection (GsExchange *exchange)
{
  GsConnection *connection = exchange->connection;

  if (!exchange->complete)
    {
      gs_connection_abort (connection);
      return;
    }
  if (!is_connection_reusable (exchange))
    {
      gs_connection_free (connection);
      return;
    }
  connection->idle_until_us = idle_deadline_us (exchange);
  connection->had_head_request = connection->had_head_request || exchange->is_head_request;
  gs_connection_add_name (connection, gs_hash_name (exchange->echo));
  gs_client_keep (exchange->client, exchange->options.ipv4, exchange->options.port, connection);
}

void
gs_exchange_free (GsExchange *exchange)
{
  if (exchange == NULL)
    return;
  if (exchange->crash_check_running)
    end_crash_check (exchange, true);
  stop_transfer (exchange);
  release_connection (exchange);
  ev_clear_pending (exchange->loop, &exchange->deferred_done);
  gs_answer_parser_free (exchange->parser);
  gs_answer_copy_free (exchange->copy);
  g_string_free (exchange->head, TRUE);
  g_byte_array_set_size (exchange->buffer, 0);
  count_held (exchange);
  g_byte_array_unref (exchange->buffer);
  g_free (exchange->echo);
  g_free (exchange);
}

/* Continues to receive after the owner has read all that is held. */
static void
resume_reading (GsExchange *exchange)
{
  exchange->buffer_read = 0;
  g_byte_array_set_size (exchange->buffer, 0);
  count_held (exchange);
  if (!exchange->paused)
    return;
  exchange->paused = false;
  exchange->progress_us = g_get_monotonic_time ();
  watch_for_progress (exchange);
  arm_limit_timer (exchange, exchange->progress_us);
  read_answer (exchange);
  if (exchange->finished)
    stop_transfer (exchange);
}

ssize_t
gs_exchange_read (GsExchange *exchange, char *out, size_t max)
{
  size_t held = held_bytes (exchange);

  if (held == 0 && !exchange->finished)
    {
      resume_reading (exchange);
      held = held_bytes (exchange);
    }
  if (held == 0 && !exchange->finished)
    return GS_EXCHANGE_READ_PENDING;
  if (held == 0)
    return exchange->complete ? GS_EXCHANGE_READ_END : GS_EXCHANGE_READ_BROKEN;
  held = MIN (held, max);
  memcpy (out, exchange->buffer->data + exchange->buffer_read, held);
  exchange->buffer_read += held;
  return (ssize_t)held;
}

GsExchangeState
gs_exchange_state (const GsExchange *exchange)
{
  return exchange->state;
}

GsOutcome
gs_exchange_outcome (const GsExchange *exchange)
{
  return exchange->outcome;
}

long
gs_exchange_status (const GsExchange *exchange)
{
  return gs_answer_parser_status (exchange->parser);
}

int64_t
gs_exchange_answer_us (const GsExchange *exchange)
{
  return exchange->first_byte_us != 0 ? exchange->first_byte_us - exchange->started_us : 0;
}

const char *
gs_exchange_header (const GsExchange *exchange, const char *name)
{
  const GPtrArray *headers = gs_answer_parser_headers (exchange->parser);

  for (guint i = 0; i + 1 < headers->len; i += 2)
    if (g_ascii_strcasecmp (g_ptr_array_index (headers, i), name) == 0)
      return g_ptr_array_index (headers, i + 1);
  return NULL;
}

void
gs_exchange_headers (const GsExchange *exchange,
                     void (*visit) (const char *name, const char *value, void *data),
                     void *data)
{
  const GPtrArray *headers = gs_answer_parser_headers (exchange->parser);

  for (guint i = 0; i + 1 < headers->len; i += 2)
    if (!gs_header_is_hop_by_hop (g_ptr_array_index (headers, i)))
      visit (g_ptr_array_index (headers, i), g_ptr_array_index (headers, i + 1), data);
}

const void *
gs_exchange_body (const GsExchange *exchange, size_t *length)
{
  *length = exchange->buffer->len;
  return exchange->buffer->data;
}

GsAnswerBody *
gs_exchange_take_body (GsExchange *exchange)
{
  GsAnswerBody *body = g_new (GsAnswerBody, 1);

  *body = (GsAnswerBody){ .client = exchange->client, .bytes = exchange->buffer };
  exchange->buffer = g_byte_array_new ();
  exchange->counted_bytes = 0;
  return body;
}

void
gs_answer_body_free (GsAnswerBody *body)
{
  gs_client_count_held (body->client, -(ssize_t)body->bytes->len);
  g_byte_array_unref (body->bytes);
  g_free (body);
}

int64_t
gs_exchange_length (const GsExchange *exchange)
{
  return gs_answer_parser_length (exchange->parser);
}

const char *
gs_exchange_framing (const GsExchange *exchange)
{
  return gs_answer_framing_name (gs_answer_parser_framing (exchange->parser));
}

const char *
gs_exchange_discard_reason (const GsExchange *exchange)
{
  return exchange->discard_reason;
}

bool
gs_exchange_reused_connection (const GsExchange *exchange)
{
  return exchange->reused_connection;
}
