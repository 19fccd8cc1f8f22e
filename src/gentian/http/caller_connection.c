#include "caller_connection.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "exchange.h"

enum
{
  CONNECTION_OUT_BYTES = 512, /* reserved for the head of a response */
  CONNECTION_SENDS_MAX = 16,  /* before the loop handles other events */
};

static const char continue_head[] = "HTTP/1.1 100 Continue\r\n\r\n";

static GsCallerRequest *
oldest (const GsCallerConnection *connection)
{
  return g_queue_peek_head ((GQueue *)&connection->requests);
}

/* RETURN VALUE: the request that is being read, or NULL. */
static GsCallerRequest *
current (const GsCallerConnection *connection)
{
  GsCallerRequest *request = g_queue_peek_tail ((GQueue *)&connection->requests);

  return request != NULL && !request->complete ? request : NULL;
}

static const GsCallerServerClass *
class_of (const GsCallerConnection *connection)
{
  return connection->server->options.class;
}

static void
watch (GsCallerConnection *connection)
{
  GsCallerServer *server = connection->server;
  bool paused = connection->waiting != NULL;
  int events = (paused ? 0 : EV_READ) | (connection->blocked ? EV_WRITE : 0);

  if (events == connection->watched)
    return;
  ev_io_stop (server->loop, &connection->io);
  ev_io_set (&connection->io, connection->fd, events);
  if (events != 0)
    ev_io_start (server->loop, &connection->io);
  connection->watched = events;
  if (paused)
    gs_caller_server_start_check (server);
}

/* Lets the loop flush CONNECTION. */
static void
mark (GsCallerConnection *connection)
{
  GsCallerServer *server = connection->server;

  if (connection->dirty)
    return;
  connection->dirty = true;
  g_queue_push_tail_link (&server->dirty, &connection->dirty_link);
  ev_feed_event (server->loop, &server->flush, EV_PREPARE);
}

static void
count_behind (GsCallerConnection *connection)
{
  uint32_t n = MAX (connection->requests.length, 1) - 1;

  connection->server->n_behind += n - connection->n_behind;
  connection->n_behind = n;
}

static size_t
response_length (const GsCallerRequest *request)
{
  size_t length = 0;

  if (request->response != NULL)
    gs_response_body (request->response, &length);
  return length;
}

/* Removes REQUEST from its connection and frees it. */
static void
finish (GsCallerRequest *request, bool sent)
{
  GsCallerConnection *connection = request->connection;
  bool was_oldest = request == oldest (connection);
  GsCallerRequest *next;

  if (!was_oldest && request->started)
    connection->server->n_overlapping--;
  g_queue_unlink (&connection->requests, &request->link);
  connection->held_bytes -= request->body_bytes;
  connection->response_bytes -= response_length (request);
  next = oldest (connection);
  if (was_oldest && next != NULL && next->started)
    connection->server->n_overlapping--;
  count_behind (connection);
  class_of (connection)->finished (request->owner, sent);
  gs_response_free (request->response);
  gs_request_reader_free (request->reader);
  g_free (request);
}

/* Drops the requests that are not being processed, but the oldest, also those that were refused
 * while they were read; reads no further one. */
static void
end_reading (GsCallerConnection *connection)
{
  GsCallerRequest *last;

  connection->read_ended = true;
  g_clear_pointer (&connection->waiting, g_byte_array_unref);
  while (connection->requests.length > 1)
    {
      last = g_queue_peek_tail (&connection->requests);
      if (last->started)
        return;
      finish (last, false);
    }
}

bool
gs_caller_connection_awaits_response (const GsCallerConnection *connection)
{
  const GsCallerRequest *request = oldest (connection);

  return request != NULL && !connection->blocked
         && (request->response != NULL ? gs_response_is_stream (request->response)
                                       : request->started);
}

static void
on_body (void *data, const char *bytes, size_t length)
{
  GsCallerRequest *request = data;

  request->asked_to_go_on = true;
  request->body_bytes += length;
  request->connection->held_bytes += length;
  class_of (request->connection)->body (request->owner, bytes, length);
}

static void
reserve_out (GsCallerConnection *connection)
{
  if (connection->out == NULL)
    connection->out = g_string_sized_new (CONNECTION_OUT_BYTES);
}

static GsCallerRequest *
begin_request (GsCallerConnection *connection)
{
  GsCallerRequest *request = g_new0 (GsCallerRequest, 1);

  request->connection = connection;
  request->reader = gs_request_reader_new (on_body, request);
  request->head = gs_request_reader_head (request->reader);
  request->link.data = request;
  g_queue_push_tail_link (&connection->requests, &request->link);
  count_behind (connection);
  request->owner = class_of (connection)->begun (connection->server->options.data, request);
  return request;
}

/* Whether a further request may be read on the connection now. */
static bool
may_begin (const GsCallerConnection *connection)
{
  const GsCallerRequest *last = g_queue_peek_tail ((GQueue *)&connection->requests);

  /* The response to a caller of HTTP/1.0 may have to end with the connection. */
  return last == NULL
         || (connection->requests.length < GS_CALLER_REQUESTS_MAX && !last->head->http_1_0
             && connection->server->n_behind < GS_CALLER_BEHIND_MAX
             && connection->held_bytes + connection->response_bytes < GS_CALLER_HELD_BYTES_MAX);
}

/* Skips the empty lines before a request. */
static size_t
skip_line_ends (const char *bytes, size_t length)
{
  size_t skipped = 0;

  while (skipped < length && (bytes[skipped] == '\r' || bytes[skipped] == '\n'))
    skipped++;
  return skipped;
}

static void
complete_request (GsCallerRequest *request)
{
  request->complete = true;
  request->complete_us = g_get_monotonic_time ();
  if (request->head->keeps_connection)
    return;
  request->closes = true;
  request->connection->read_ended = true;
}

/* Feeds the request that is being read. RETURN VALUE: number of bytes consumed. */
static size_t
feed (GsCallerRequest *request, const char *bytes, size_t length)
{
  const GsCallerServerClass *class = class_of (request->connection);
  GsRequestState before = gs_request_reader_state (request->reader);
  size_t consumed = gs_request_reader_feed (request->reader, bytes, length);
  GsRequestState after = gs_request_reader_state (request->reader);

  if (before == GS_REQUEST_HEAD && after == GS_REQUEST_BODY)
    class->head_complete (request->owner);
  else if (after == GS_REQUEST_MALFORMED && request->response == NULL)
    class->malformed (request->owner, gs_request_reader_status (request->reader),
                      gs_request_reader_reason (request->reader));
  else if (after == GS_REQUEST_COMPLETE)
    complete_request (request);
  return consumed;
}

/* Parses BYTES as far as the bounds allow. RETURN VALUE: number of bytes consumed. */
static size_t
parse (GsCallerConnection *connection, const char *bytes, size_t length)
{
  size_t offset = 0;

  while (offset < length && !connection->read_ended)
    {
      GsCallerRequest *request = current (connection);

      if (request == NULL)
        {
          offset += skip_line_ends (bytes + offset, length - offset);
          if (offset == length || !may_begin (connection))
            return offset;
          if (connection->requests.length > 0
              && (connection->excess
                  || class_of (connection)->is_closing (connection->server->options.data)))
            {
              end_reading (connection);
              break;
            }
          request = begin_request (connection);
        }
      offset += feed (request, bytes + offset, length - offset);
    }
  connection->discards = connection->discards || offset < length;
  return length; /* the rest is discarded once nothing more is read */
}

/* Asks the caller for the body that it holds back, when the earlier responses have been sent. */
static void
ask_to_go_on (GsCallerConnection *connection)
{
  GsCallerRequest *request = oldest (connection);

  if (request == NULL || request->complete || request->response != NULL || request->asked_to_go_on
      || !request->head->expects_continue)
    return;
  request->asked_to_go_on = true;
  reserve_out (connection);
  g_string_append (connection->out, continue_head);
  mark (connection);
}

static bool
may_overlap (const GsCallerConnection *connection, const GsCallerRequest *request)
{
  const GsCallerServer *server = connection->server;

  return connection->response_bytes < GS_CALLER_HELD_BYTES_MAX
         && server->n_connections + server->n_overlapping < server->options.max_processed
         && class_of (connection)->may_overlap (request->owner);
}

/* Lets the owner process the requests whose turn has come. */
static void
start_requests (GsCallerConnection *connection)
{
  GList *next;

  for (GList *link = connection->requests.head; link != NULL; link = next)
    {
      GsCallerRequest *request = link->data;
      bool is_oldest = request == oldest (connection);

      next = link->next;
      if (request->started || request->response != NULL)
        continue;
      if (!request->complete || (!is_oldest && !may_overlap (connection, request)))
        break;
      request->started = true;
      connection->server->n_overlapping += is_oldest ? 0 : 1;
      class_of (connection)->process (request->owner);
    }
  ask_to_go_on (connection);
}

/* Parses what waits, as far as the bounds allow it by now. */
static void
parse_waiting (GsCallerConnection *connection)
{
  GByteArray *waiting = connection->waiting;
  size_t consumed;

  if (waiting == NULL)
    return;
  g_byte_array_ref (waiting);
  consumed = parse (connection, (const char *)waiting->data, waiting->len);
  if (connection->waiting != NULL && consumed == waiting->len)
    g_clear_pointer (&connection->waiting, g_byte_array_unref);
  else if (connection->waiting != NULL && consumed > 0)
    g_byte_array_remove_range (waiting, 0, (guint)consumed);
  g_byte_array_unref (waiting);
}

static void
abort_connection (GsCallerConnection *connection)
{
  connection->aborted = true;
  mark (connection);
}

void
gs_caller_connection_receive (GsCallerConnection *connection)
{
  char *buffer = connection->server->block;
  const GsCallerRequest *request = current (connection);
  bool in_body = request != NULL && gs_request_reader_state (request->reader) == GS_REQUEST_BODY;
  ssize_t got;
  size_t consumed;

  if (connection->waiting != NULL || connection->aborted)
    return;
  got = recv (connection->fd, buffer, in_body ? GS_CALLER_BLOCK_BYTES : GS_CALLER_READ_BYTES,
              MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  if (got <= 0)
    {
      abort_connection (connection);
      return;
    }
  gs_caller_server_touch (connection);
  if (connection->lingers)
    return;
  consumed = parse (connection, buffer, (size_t)got);
  if (consumed < (size_t)got)
    {
      connection->waiting = g_byte_array_new ();
      g_byte_array_append (connection->waiting, (const guint8 *)buffer + consumed,
                           (guint)((size_t)got - consumed));
    }
  start_requests (connection);
  watch (connection);
}

/* Writes the head of the oldest response, and decides whether the connection closes after it. */
static void
write_head (GsCallerConnection *connection, GsCallerRequest *request)
{
  GsCallerServer *server = connection->server;
  const GsRequestHead *head = request->head;
  GsResponseOptions options
      = { .http_1_0 = head->http_1_0,
          .head_request = head->method != NULL && strcmp (head->method, "HEAD") == 0,
          .date = gs_caller_server_date (server) };
  bool has_body = gs_response_has_body (request->response, options.head_request);
  bool unframed
      = has_body
        && gs_response_framing (request->response, head->http_1_0) == GS_RESPONSE_FRAMING_CLOSE;

  if (request->closes || unframed || connection->excess
      || class_of (connection)->is_closing (server->options.data))
    end_reading (connection);
  options.closes = connection->read_ended && connection->requests.length == 1;
  reserve_out (connection);
  gs_response_write_head (request->response, &options, connection->out);
  connection->head_written = true;
  connection->body_sent = 0;
  connection->stream_ended = !has_body || !gs_response_is_stream (request->response);
  if (!has_body)
    connection->body_sent = response_length (request);
}

typedef enum
{
  SEND_DONE = 0,
  SEND_PENDING, /* the owner has to provide more */
  SEND_BLOCKED, /* the socket takes no more */
  SEND_FAILED,
} SendResult;

/* Reads the next block of a stream into `out`. RETURN VALUE: SEND_DONE, SEND_PENDING or
 * SEND_FAILED. */
static SendResult
read_block (GsCallerConnection *connection, GsCallerRequest *request)
{
  char *block = connection->server->block;
  bool chunked = gs_response_framing (request->response, request->head->http_1_0)
                 == GS_RESPONSE_FRAMING_CHUNKED;
  ssize_t got = gs_response_read (request->response, block, GS_CALLER_BLOCK_BYTES);

  if (got == 0)
    {
      connection->stream_ended = true;
      if (chunked)
        g_string_append (connection->out, "0\r\n\r\n");
      return SEND_DONE;
    }
  if (got < 0)
    return got == GS_EXCHANGE_READ_PENDING ? SEND_PENDING : SEND_FAILED;
  if (chunked)
    g_string_append_printf (connection->out, "%zx\r\n", (size_t)got);
  g_string_append_len (connection->out, block, got);
  if (chunked)
    g_string_append_len (connection->out, "\r\n", 2);
  return SEND_DONE;
}

/* Sends what is in memory, at once. */
static SendResult
send_part (GsCallerConnection *connection, const char *body, size_t body_length)
{
  size_t out_length = connection->out->len - connection->out_sent;
  struct iovec parts[2] = { { connection->out->str + connection->out_sent, out_length },
                            { body_length > 0 ? (char *)body + connection->body_sent : NULL,
                              body_length - connection->body_sent } };
  struct msghdr message
      = { .msg_iov = parts, .msg_iovlen = body_length > connection->body_sent ? 2 : 1 };
  size_t length = out_length + body_length - connection->body_sent;
  ssize_t sent = sendmsg (connection->fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);

  if (sent < 0)
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? SEND_BLOCKED : SEND_FAILED;
  gs_caller_server_touch (connection);
  connection->out_sent += MIN ((size_t)sent, out_length);
  connection->body_sent += (size_t)sent - MIN ((size_t)sent, out_length);
  if (connection->out_sent == connection->out->len)
    {
      g_string_truncate (connection->out, 0);
      connection->out_sent = 0;
    }
  return (size_t)sent < length ? SEND_BLOCKED : SEND_DONE;
}

/* Sends the response of the oldest request, as far as possible. */
static SendResult
send_response (GsCallerConnection *connection, GsCallerRequest *request)
{
  size_t length = 0;
  const char *body = gs_response_body (request->response, &length);
  SendResult read = SEND_DONE;

  reserve_out (connection);
  for (int i = 0; i < CONNECTION_SENDS_MAX; i++)
    {
      SendResult result;

      if (!connection->stream_ended && connection->out->len < GS_CALLER_BLOCK_BYTES)
        read = read_block (connection, request);
      if (read == SEND_FAILED)
        return SEND_FAILED;
      if (connection->out->len == 0 && connection->body_sent >= length)
        return connection->stream_ended ? SEND_DONE : read;
      result = send_part (connection, body, length);
      if (result != SEND_DONE)
        return result;
      if (connection->stream_ended || read == SEND_PENDING)
        return connection->stream_ended ? SEND_DONE : SEND_PENDING;
    }
  return SEND_BLOCKED; /* the loop continues when it has handled other events */
}

/* All is sent on a connection that is to be closed. It waits for the caller to close unless nothing
 * of the caller can be on its way: a close would discard what the caller has not read yet. */
static void
end_connection (GsCallerConnection *connection, bool closed_by_caller)
{
  if (closed_by_caller)
    {
      abort_connection (connection);
      return;
    }
  shutdown (connection->fd, SHUT_WR);
  connection->lingers = true;
  gs_caller_server_shorten (connection);
}

/* Sends interim responses. RETURN VALUE: false when the socket takes no more. */
static bool
send_interim (GsCallerConnection *connection)
{
  SendResult result;

  if (connection->out == NULL || connection->out->len == 0)
    return true;
  result = send_part (connection, NULL, 0);
  if (result == SEND_FAILED)
    abort_connection (connection);
  connection->blocked = result == SEND_BLOCKED;
  return result == SEND_DONE;
}

/* Sends the responses that are due. */
static void
send_responses (GsCallerConnection *connection)
{
  GsCallerRequest *request;

  connection->blocked = false;
  while (!connection->lingers && !connection->aborted && (request = oldest (connection)) != NULL)
    {
      bool closed_by_caller;
      SendResult result;

      if (request->response == NULL)
        {
          send_interim (connection);
          return;
        }
      if (!connection->head_written)
        write_head (connection, request);
      result = send_response (connection, request);
      connection->blocked = result == SEND_BLOCKED;
      if (result == SEND_FAILED)
        abort_connection (connection);
      if (result != SEND_DONE)
        return;
      closed_by_caller
          = request->complete && !request->head->keeps_connection && !connection->discards;
      connection->head_written = false;
      finish (request, true);
      if (connection->read_ended && connection->requests.length == 0)
        end_connection (connection, closed_by_caller);
    }
}

static void
release_buffer (GsCallerConnection *connection)
{
  if (connection->out != NULL && connection->out->len == 0
      && (connection->requests.length == 0
          || connection->out->allocated_len > GS_CALLER_BLOCK_BYTES))
    {
      g_string_free (connection->out, TRUE);
      connection->out = NULL;
      connection->out_sent = 0;
    }
}

void
gs_caller_connection_flush (GsCallerConnection *connection)
{
  if (!connection->aborted)
    send_responses (connection);
  if (!connection->aborted && !connection->lingers)
    {
      parse_waiting (connection);
      start_requests (connection);
    }
  if (connection->aborted)
    {
      gs_caller_connection_close (connection);
      return;
    }
  release_buffer (connection);
  watch (connection);
}

static void
on_io (struct ev_loop *loop, ev_io *watcher, int events)
{
  GsCallerConnection *connection = watcher->data;

  (void)loop;
  if ((events & EV_WRITE) != 0)
    mark (connection);
  if ((events & EV_READ) != 0)
    gs_caller_connection_receive (connection);
}

void
gs_caller_connection_new (GsCallerServer *server, int fd, bool excess)
{
  GsCallerConnection *connection = g_new0 (GsCallerConnection, 1);

  connection->server = server;
  connection->fd = fd;
  connection->excess = excess;
  connection->link.data = connection;
  connection->dirty_link.data = connection;
  connection->active_us = g_get_monotonic_time ();
  ev_io_init (&connection->io, on_io, fd, EV_READ);
  connection->io.data = connection;
  server->n_connections++;
  g_queue_push_tail_link (gs_caller_server_list_of (connection), &connection->link);
  watch (connection);
}

void
gs_caller_connection_close (GsCallerConnection *connection)
{
  GsCallerServer *server = connection->server;
  GsCallerRequest *request;

  ev_io_stop (server->loop, &connection->io);
  if (connection->dirty)
    g_queue_unlink (&server->dirty, &connection->dirty_link);
  connection->dirty = true; /* not to be flushed again */
  connection->aborted = true;
  connection->read_ended = true;
  while ((request = g_queue_peek_tail (&connection->requests)) != NULL)
    finish (request, false);
  close (connection->fd);
  g_queue_unlink (gs_caller_server_list_of (connection), &connection->link);
  if (connection->out != NULL)
    g_string_free (connection->out, TRUE);
  g_clear_pointer (&connection->waiting, g_byte_array_unref);
  g_free (connection);
  server->n_connections--;
  gs_caller_server_update_full (server);
}

void
gs_caller_request_respond (GsCallerRequest *request, GsResponse *response, bool closes)
{
  GsCallerConnection *connection = request->connection;

  request->response = response;
  request->closes = request->closes || closes;
  connection->response_bytes += response_length (request);
  if (closes)
    {
      connection->read_ended = true;
      g_clear_pointer (&connection->waiting, g_byte_array_unref);
    }
  mark (connection);
}

void
gs_caller_request_wake (GsCallerRequest *request)
{
  mark (request->connection);
}

void
gs_caller_request_abort (GsCallerRequest *request)
{
  abort_connection (request->connection);
}

void
gs_caller_request_drop (GsCallerRequest *request)
{
  end_reading (request->connection);
}

bool
gs_caller_request_is_oldest (const GsCallerRequest *request)
{
  return request == oldest (request->connection);
}

bool
gs_caller_request_is_excess (const GsCallerRequest *request)
{
  return request->connection->excess;
}

bool
gs_caller_request_has_left (const GsCallerRequest *request)
{
  struct pollfd fd = { .fd = request->connection->fd, .events = POLLRDHUP };

  return request->connection->aborted || poll (&fd, 1, 0) > 0;
}

int
gs_caller_request_set_reset_on_close (const GsCallerRequest *request, bool reset)
{
  struct linger linger = { .l_onoff = reset ? 1 : 0 };

  return setsockopt (request->connection->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger) == 0
             ? 0
             : errno;
}
