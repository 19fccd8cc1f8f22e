#include "exchange.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../log/counter.h"

enum
{
  EXCHANGE_HEADERS_MAX = 100,
  EXCHANGE_HEADER_BYTES_MAX = 65536,
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
  GsConnection *connection;
  ev_io socket_io;         /* the socket that libcurl waits for */
  ev_timer transfer_timer; /* libcurl's own timeouts */
  ev_timer limit_timer;    /* the exchange's earliest time limit */
  ev_io check_io;          /* the crash check's connection attempt */
  ev_timer check_timer;    /* start of the crash check, then its timeout */
  ev_check deferred_done;  /* fed when the exchange ends within gs_exchange_start */
  struct curl_slist *headers;
  GPtrArray *answer_headers; /* name, value, name, value, ... */
  size_t header_bytes;
  GByteArray *buffer;
  size_t buffer_read;
  bool sent;     /* bytes of the request may have been sent */
  bool paused;   /* receiving is paused because the buffer is full */
  bool finished; /* the transfer has ended, completely or not */
  bool complete; /* the transfer has ended with a complete answer */
  bool reused_connection;
  bool is_head_request;
  bool delimited; /* the answer states its length or is chunked */
  bool chunked;
  bool head_complete; /* the empty line after the headers has been received */
  char echo[GS_EXCHANGE_ECHO_MAX + 1];
  bool crash_check_running;
  bool done_reported;   /* the owner's `done` has been called */
  int64_t next_late_us; /* monotonic time of the next call of `late`; 0: never */
  GsExchangeState state;
  GsOutcome outcome;
  long status;
  int64_t content_length;
  int64_t started_us;
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

/* Called by libcurl on an established connection, each time before it sends the request. Refuses
 * the second time: the request is sent at most once. */
static int
on_before_send (void *data, char *remote, char *local, int remote_port, int local_port)
{
  GsExchange *exchange = data;
  bool again = exchange->sent;

  (void)remote;
  (void)local;
  (void)remote_port;
  (void)local_port;
  exchange->sent = true;
  return again ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void
start_answer_head (GsExchange *exchange)
{
  g_ptr_array_set_size (exchange->answer_headers, 0);
  exchange->delimited = false;
  exchange->chunked = false;
  exchange->head_complete = false;
  exchange->content_length = -1;
}

static void
add_answer_header (GsExchange *exchange, char *name, char *value)
{
  if (g_ascii_strcasecmp (name, "content-length") == 0)
    {
      exchange->delimited = true;
      exchange->content_length = g_ascii_strtoll (value, NULL, 10);
    }
  else if (g_ascii_strcasecmp (name, "transfer-encoding") == 0)
    exchange->delimited = exchange->chunked = g_ascii_strcasecmp (value, "chunked") == 0;
  g_ptr_array_add (exchange->answer_headers, g_strdup (name));
  g_ptr_array_add (exchange->answer_headers, g_strdup (value));
}

static size_t
on_header (char *bytes, size_t size, size_t count, void *data)
{
  GsExchange *exchange = data;
  size_t length = size * count;
  g_autofree char *line = g_strndup (bytes, length);
  char *colon = strchr (line, ':');

  if (exchange->first_byte_us == 0)
    exchange->first_byte_us = g_get_monotonic_time ();
  exchange->header_bytes += length;
  if (exchange->header_bytes > EXCHANGE_HEADER_BYTES_MAX
      || exchange->answer_headers->len > 2 * EXCHANGE_HEADERS_MAX)
    return 0;
  if (g_str_has_prefix (line, "HTTP/"))
    start_answer_head (exchange);
  else if (colon != NULL)
    {
      *colon = '\0';
      add_answer_header (exchange, g_strstrip (line), g_strstrip (colon + 1));
    }
  else if (*line == '\r' || *line == '\n')
    exchange->head_complete = true;
  return length;
}

static size_t
on_body (char *bytes, size_t size, size_t count, void *data)
{
  GsExchange *exchange = data;
  size_t length = size * count;

  exchange->progress_us = g_get_monotonic_time ();
  if (exchange->buffer->len - exchange->buffer_read >= GS_EXCHANGE_BUFFER_BYTES)
    {
      exchange->paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
  g_byte_array_append (exchange->buffer, (const guint8 *)bytes, (guint)length);
  return length;
}

static void
set_request (GsExchange *exchange, CURL *easy)
{
  const GsExchangeOptions *options = &exchange->options;
  g_autofree char *url = g_strdup_printf ("http://%u.%u.%u.%u:%u%s", options->ipv4 >> 24,
                                          (options->ipv4 >> 16) & 255, (options->ipv4 >> 8) & 255,
                                          options->ipv4 & 255, options->port, options->target);

  curl_easy_reset (easy);
  exchange->is_head_request = strcmp (options->method, "HEAD") == 0;
  if (options->body_length > 0 || strcmp (options->method, "POST") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)options->body_length);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, options->body != NULL ? options->body : "");
    }
  if (exchange->is_head_request)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, options->method);
  for (guint i = 0; i < options->headers->len; i++)
    exchange->headers
        = curl_slist_append (exchange->headers, g_ptr_array_index (options->headers, i));
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, exchange->headers);
}

static void
set_transfer_options (GsExchange *exchange, CURL *easy)
{
  uint32_t connect_ms = gs_client_options (exchange->client)->connect_timeout_ms;

  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt (easy, CURLOPT_HTTP_TRANSFER_DECODING, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    connect_ms != 0 ? (long)connect_ms : (long)EXCHANGE_CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, exchange);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, exchange);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, exchange);
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
    idle_ms = (int64_t)g_ascii_strtoull (timeout + strlen ("timeout="), NULL, 10) * 1000;
  else if (idle_ms == 0)
    return INT64_MAX;
  return g_get_monotonic_time () + idle_ms * GS_US_PER_MS * 4 / 5;
}

static bool
has_no_body (const GsExchange *exchange)
{
  return exchange->is_head_request || exchange->status == 204 || exchange->status == 304;
}

/* RETURN VALUE: false when the answer names another attempt or request than this one. */
static bool
is_own_answer (const GsExchange *exchange)
{
  const char *header = exchange->options.echo_header;
  const char *named = header != NULL ? gs_exchange_header (exchange, header) : NULL;

  return named == NULL || exchange->echo[0] == '\0' || strcmp (named, exchange->echo) == 0;
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

/* Whether the end of the answer can be trusted: its length is known, or the client accepts answers
 * that end with their connection. */
static bool
is_framed (const GsExchange *exchange)
{
  return exchange->delimited || has_no_body (exchange)
         || gs_client_options (exchange->client)->allow_unframed;
}

static void
record_result (GsExchange *exchange, CURLcode result)
{
  long connects = 0;

  exchange->finished = true;
  curl_easy_getinfo (exchange->connection->easy, CURLINFO_RESPONSE_CODE, &exchange->status);
  curl_easy_getinfo (exchange->connection->easy, CURLINFO_NUM_CONNECTS, &connects);
  exchange->reused_connection = connects == 0;
  gs_counter_add (GS_COUNTER_CONNECTS, (uint64_t)connects);
  if (result == CURLE_OK && !is_own_answer (exchange))
    exchange->outcome = GS_OUTCOME_TRUNCATED;
  else if (result == CURLE_OK && is_framed (exchange))
    exchange->complete = true;
  else
    exchange->outcome = result == CURLE_OK ? GS_OUTCOME_TRUNCATED : failure_outcome (exchange);
  if (exchange->outcome != GS_OUTCOME_CLOSED
      || gs_client_options (exchange->client)->skip_crash_check)
    return;
  exchange->crash_check_running = true;
  ev_timer_start (exchange->loop, &exchange->check_timer);
}

static void
fail (GsExchange *exchange, GsOutcome outcome)
{
  exchange->finished = true;
  exchange->outcome = outcome;
}

static void
stop_transfer (GsExchange *exchange)
{
  ev_io_stop (exchange->loop, &exchange->socket_io);
  ev_timer_stop (exchange->loop, &exchange->transfer_timer);
  ev_timer_stop (exchange->loop, &exchange->limit_timer);
}

/* Changes to streaming when the buffer is full before the answer is complete. The owner reads the
 * rest. */
static void
start_streaming (GsExchange *exchange)
{
  curl_easy_getinfo (exchange->connection->easy, CURLINFO_RESPONSE_CODE, &exchange->status);
  exchange->state = GS_EXCHANGE_STREAMING;
  if (is_framed (exchange) && is_own_answer (exchange))
    return;
  fail (exchange, GS_OUTCOME_TRUNCATED);
  exchange->state = GS_EXCHANGE_FAILED;
  stop_transfer (exchange);
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
    start_streaming (exchange);
  exchange->options.body = NULL;
  exchange->options.class->done (exchange->options.data);
}

/* Lets libcurl handle events on SOCKET, and records the result when the transfer has ended. */
static void
run_transfer (GsExchange *exchange, curl_socket_t socket, int events)
{
  int running = 0;
  int left = 0;
  CURLMsg *message;

  curl_multi_socket_action (exchange->connection->multi, socket, events, &running);
  while ((message = curl_multi_info_read (exchange->connection->multi, &left)) != NULL)
    if (message->msg == CURLMSG_DONE)
      record_result (exchange, message->data.result);
}

/* Fails the exchange when it has exceeded a time limit. RETURN VALUE: whether it has ended. */
static bool
enforce_limits (GsExchange *exchange, int64_t now_us)
{
  int64_t stalled_us = now_us - MAX (exchange->progress_us, exchange->first_byte_us);

  if (exchange->options.deadline_us != 0 && now_us >= exchange->options.deadline_us
      && exchange->sent)
    fail (exchange, exchange->first_byte_us != 0 ? GS_OUTCOME_TRUNCATED : GS_OUTCOME_TIMEOUT);
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
    fail (exchange, GS_OUTCOME_TRUNCATED);
  return exchange->finished;
}

/* Arms the timer for the earliest time limit. */
static void
arm_limit_timer (GsExchange *exchange, int64_t now_us)
{
  int64_t due_us = exchange->options.timeout_us + exchange->started_us;

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
continue_transfer (GsExchange *exchange, curl_socket_t socket, int events)
{
  if (exchange->finished)
    return;
  run_transfer (exchange, socket, events);
  if (exchange->finished)
    stop_transfer (exchange);
  notify_owner (exchange);
}

static void
on_socket_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  continue_transfer (watcher->data, watcher->fd,
                     ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0)
                         | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0));
}

static void
on_transfer_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  continue_transfer (watcher->data, CURL_SOCKET_TIMEOUT, 0);
}

/* Called by libcurl with the events it waits for on its socket. */
static int
watch_socket (CURL *easy, curl_socket_t socket, int what, void *data, void *socket_data)
{
  GsExchange *exchange = data;
  int events
      = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) | ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);

  (void)easy;
  (void)socket_data;
  if (what == CURL_POLL_REMOVE && exchange->socket_io.fd != socket)
    return 0;
  ev_io_stop (exchange->loop, &exchange->socket_io);
  if (what == CURL_POLL_REMOVE || events == 0)
    return 0;
  ev_io_set (&exchange->socket_io, socket, events);
  ev_io_start (exchange->loop, &exchange->socket_io);
  return 0;
}

static int
set_transfer_timer (CURLM *multi, long timeout_ms, void *data)
{
  GsExchange *exchange = data;

  (void)multi;
  ev_timer_stop (exchange->loop, &exchange->transfer_timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&exchange->transfer_timer, (double)timeout_ms / 1000, 0.);
  ev_timer_start (exchange->loop, &exchange->transfer_timer);
  return 0;
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
set_watchers (GsExchange *exchange)
{
  CURLM *multi = exchange->connection->multi;

  ev_io_init (&exchange->socket_io, on_socket_ready, -1, EV_READ);
  ev_timer_init (&exchange->transfer_timer, on_transfer_timer, 0., 0.);
  ev_timer_init (&exchange->limit_timer, on_limit_timer, 0., 0.);
  ev_io_init (&exchange->check_io, on_check_connected, -1, EV_WRITE);
  ev_timer_init (&exchange->check_timer, on_check_timer, EXCHANGE_CRASH_CHECK_DELAY_S, 0.);
  ev_init (&exchange->deferred_done, on_deferred_done);
  exchange->deferred_done.data = exchange;
  exchange->socket_io.data = exchange;
  exchange->transfer_timer.data = exchange;
  exchange->limit_timer.data = exchange;
  exchange->check_io.data = exchange;
  exchange->check_timer.data = exchange;
  curl_multi_setopt (multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (multi, CURLMOPT_SOCKETDATA, exchange);
  curl_multi_setopt (multi, CURLMOPT_TIMERFUNCTION, set_transfer_timer);
  curl_multi_setopt (multi, CURLMOPT_TIMERDATA, exchange);
}

GsExchange *
gs_exchange_new (GsClient *client, const GsExchangeOptions *options)
{
  GsExchange *exchange = g_new0 (GsExchange, 1);

  exchange->client = client;
  exchange->loop = gs_client_options (client)->loop;
  exchange->options = *options;
  g_strlcpy (exchange->echo, options->echo != NULL ? options->echo : "", sizeof exchange->echo);
  exchange->answer_headers = g_ptr_array_new_with_free_func (g_free);
  exchange->buffer = g_byte_array_new ();
  exchange->content_length = -1;
  exchange->connection = gs_client_acquire (client, options->ipv4, options->port);
  exchange->reused_connection = exchange->connection->connected;
  set_request (exchange, exchange->connection->easy);
  set_transfer_options (exchange, exchange->connection->easy);
  set_watchers (exchange);
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
  curl_multi_add_handle (exchange->connection->multi, exchange->connection->easy);
  run_transfer (exchange, CURL_SOCKET_TIMEOUT, 0);
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

/* Detaches the exchange from its connection and returns the connection to the client. */
static void
release_connection (GsExchange *exchange)
{
  GsConnection *connection = exchange->connection;

  connection->connected = exchange->complete && exchange->outcome == GS_OUTCOME_OK;
  connection->socket = CURL_SOCKET_BAD;
  curl_easy_getinfo (connection->easy, CURLINFO_ACTIVESOCKET, &connection->socket);
  curl_multi_remove_handle (connection->multi, connection->easy);
  curl_multi_setopt (connection->multi, CURLMOPT_SOCKETFUNCTION, NULL);
  curl_multi_setopt (connection->multi, CURLMOPT_TIMERFUNCTION, NULL);
  connection->idle_until_us = idle_deadline_us (exchange);
  gs_client_release (exchange->client, exchange->options.ipv4, exchange->options.port, connection);
}

void
gs_exchange_free (GsExchange *exchange)
{
  if (exchange == NULL)
    return;
  if (exchange->crash_check_running)
    end_crash_check (exchange, true);
  release_connection (exchange);
  stop_transfer (exchange);
  ev_clear_pending (exchange->loop, &exchange->deferred_done);
  curl_slist_free_all (exchange->headers);
  g_ptr_array_unref (exchange->answer_headers);
  g_byte_array_unref (exchange->buffer);
  g_free (exchange);
}

ssize_t
gs_exchange_read (GsExchange *exchange, char *out, size_t max)
{
  size_t held = exchange->buffer->len - exchange->buffer_read;

  if (held == 0 && exchange->paused)
    {
      exchange->buffer_read = 0;
      g_byte_array_set_size (exchange->buffer, 0);
      exchange->paused = false;
      exchange->progress_us = g_get_monotonic_time ();
      curl_easy_pause (exchange->connection->easy, CURLPAUSE_CONT);
      arm_limit_timer (exchange, exchange->progress_us);
      held = exchange->buffer->len;
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
  return exchange->status;
}

int64_t
gs_exchange_answer_us (const GsExchange *exchange)
{
  return exchange->first_byte_us != 0 ? exchange->first_byte_us - exchange->started_us : 0;
}

const char *
gs_exchange_header (const GsExchange *exchange, const char *name)
{
  for (guint i = 0; i + 1 < exchange->answer_headers->len; i += 2)
    if (g_ascii_strcasecmp (g_ptr_array_index (exchange->answer_headers, i), name) == 0)
      return g_ptr_array_index (exchange->answer_headers, i + 1);
  return NULL;
}

void
gs_exchange_headers (const GsExchange *exchange,
                     void (*visit) (const char *name, const char *value, void *data),
                     void *data)
{
  for (guint i = 0; i + 1 < exchange->answer_headers->len; i += 2)
    if (!gs_header_is_hop_by_hop (g_ptr_array_index (exchange->answer_headers, i)))
      visit (g_ptr_array_index (exchange->answer_headers, i),
             g_ptr_array_index (exchange->answer_headers, i + 1), data);
}

const void *
gs_exchange_body (const GsExchange *exchange, size_t *length)
{
  *length = exchange->buffer->len;
  return exchange->buffer->data;
}

int64_t
gs_exchange_length (const GsExchange *exchange)
{
  return exchange->content_length;
}

const char *
gs_exchange_framing (const GsExchange *exchange)
{
  if (!exchange->head_complete)
    return "unknown";
  if (has_no_body (exchange))
    return "no-body";
  if (exchange->chunked)
    return "chunked";
  return exchange->content_length >= 0 ? "length" : "close";
}

const char *
gs_exchange_discard_reason (const GsExchange *exchange)
{
  if (!exchange->finished || exchange->complete || exchange->first_byte_us == 0)
    return NULL;
  if (!is_own_answer (exchange))
    return "not-own";
  return exchange->head_complete ? "body-incomplete" : "head-incomplete";
}

bool
gs_exchange_reused_connection (const GsExchange *exchange)
{
  return exchange->reused_connection;
}
