#include "transport.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "../log/counter.h"

enum
{
  TRANSPORT_QUEUED_MESSAGES_MAX = 64, /* messages waiting to be sent to one daemon */
  /* A connection is closed when sent bytes are not acknowledged for this time. */
  TRANSPORT_ACK_TIMEOUT_MS = 2000,
  TRANSPORT_KEEPALIVE_IDLE_S = 10,
  /* A packet to a machine without power is lost, and TCP retransmits it only after 1 s; connecting
   * is retried earlier. */
  TRANSPORT_CONNECT_TIMEOUT_MS = 150,
  TRANSPORT_RECONNECT_MS = 50,
  TRANSPORT_RECONNECT_MAX_MS = 1000,
  /* Fits into one packet of any usual network. */
  TRANSPORT_DATAGRAM_BYTES_MAX = 1200,
  TRANSPORT_DATAGRAMS_PER_EVENT = 64, /* received before the loop processes other events */
  TRANSPORT_DATAGRAM_BUFFER_BYTES = 1024 * 1024,
  TRANSPORT_MESSAGE_BYTES_MAX = 256 * 1024 * 1024,
  TRANSPORT_SHARED_BYTES_MIN = 4096, /* shorter messages are copied */
  TRANSPORT_ZAP_FRAMES_MAX = 16,
};

#define TRANSPORT_IDLE_TIMEOUT_US (60 * G_USEC_PER_SEC)
#define TRANSPORT_IDLE_CHECK_PERIOD_S 10.0

typedef struct
{
  GsPeerAddress to;
  GsTransportMode mode;
  GBytes *bytes;
} Outgoing;

typedef struct
{
  void *socket;
  int64_t last_used_us;
} Connection;

struct GsTransport
{
  GsTransportOptions options;
  void *context;
  void *zap_socket;
  void *incoming_socket;
  int datagram_socket;     /* -1: all messages go by ZeroMQ */
  GHashTable *connections; /* IPv4 address << 16 | port -> Connection */
  GAsyncQueue *outgoing_queue;
  GThread *loop_thread;
  ev_io incoming_watcher;
  ev_io zap_watcher;
  ev_io datagram_watcher;
  ev_async queue_wakeup;
  ev_timer idle_timer;
  char public_key_z85[41];
};

static void
free_connection (gpointer data)
{
  Connection *connection = data;

  zmq_close (connection->socket);
  g_free (connection);
}

static void
free_outgoing (gpointer data)
{
  Outgoing *outgoing = data;

  g_bytes_unref (outgoing->bytes);
  g_free (outgoing);
}

static void
set_int_option (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
set_common_options (void *socket)
{
  set_int_option (socket, ZMQ_LINGER, 0);
  set_int_option (socket, ZMQ_SNDHWM, TRANSPORT_QUEUED_MESSAGES_MAX);
  set_int_option (socket, ZMQ_CONNECT_TIMEOUT, TRANSPORT_CONNECT_TIMEOUT_MS);
  set_int_option (socket, ZMQ_RECONNECT_IVL, TRANSPORT_RECONNECT_MS);
  set_int_option (socket, ZMQ_RECONNECT_IVL_MAX, TRANSPORT_RECONNECT_MAX_MS);
  set_int_option (socket, ZMQ_TCP_MAXRT, TRANSPORT_ACK_TIMEOUT_MS);
  set_int_option (socket, ZMQ_TCP_KEEPALIVE, 1);
  set_int_option (socket, ZMQ_TCP_KEEPALIVE_IDLE, TRANSPORT_KEEPALIVE_IDLE_S);
}

/* Without keys, the network between the daemons is trusted. */
static gboolean
is_encrypted (const GsTransport *transport)
{
  return *transport->options.public_key != '\0';
}

static Connection *
open_connection (GsTransport *transport, const GsPeerAddress *to)
{
  Connection *connection = g_new0 (Connection, 1);
  g_autofree char *endpoint
      = g_strdup_printf ("tcp://%u.%u.%u.%u:%u", to->ipv4 >> 24, (to->ipv4 >> 16) & 255,
                         (to->ipv4 >> 8) & 255, to->ipv4 & 255, to->peer_port);

  connection->socket = zmq_socket (transport->context, ZMQ_PUSH);
  set_common_options (connection->socket);
  if (is_encrypted (transport))
    {
      zmq_setsockopt (connection->socket, ZMQ_CURVE_SERVERKEY, transport->options.public_key, 40);
      zmq_setsockopt (connection->socket, ZMQ_CURVE_PUBLICKEY, transport->options.public_key, 40);
      zmq_setsockopt (connection->socket, ZMQ_CURVE_SECRETKEY, transport->options.secret_key, 40);
    }
  zmq_connect (connection->socket, endpoint);
  return connection;
}

static struct sockaddr_in
socket_address (uint32_t ipv4, uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (ipv4) };
}

static void
count_sent (const GsTransport *transport, const GsPeerAddress *to, const char *bytes, size_t length)
{
  if (transport->options.sent_handler != NULL)
    transport->options.sent_handler (to, bytes, length, transport->options.data);
  gs_counter_add (GS_COUNTER_PEER_SENT, 1);
  gs_counter_add (GS_COUNTER_PEER_SENT_BYTES, length);
}

static void
count_received (size_t length)
{
  gs_counter_add (GS_COUNTER_PEER_RECEIVED, 1);
  gs_counter_add (GS_COUNTER_PEER_RECEIVED_BYTES, length);
}

static void
send_datagram (GsTransport *transport, const GsPeerAddress *to, const void *bytes, size_t length)
{
  struct sockaddr_in address = socket_address (to->ipv4, to->peer_port);

  if (sendto (transport->datagram_socket, bytes, length, MSG_DONTWAIT | MSG_NOSIGNAL,
              (struct sockaddr *)&address, sizeof address)
      >= 0)
    count_sent (transport, to, bytes, length);
}

/* Called by a thread of ZeroMQ. */
static void
release_bytes (void *bytes, void *owner)
{
  (void)bytes;
  g_bytes_unref (owner);
}

/* RETURN VALUE: whether ZeroMQ has taken BYTES. A long message is not copied: the same one may go
 * to hundreds of daemons, of which some take it late. */
static bool
pass_to_zmq (void *socket, GBytes *bytes)
{
  zmq_msg_t message;
  gsize length;
  const void *data = g_bytes_get_data (bytes, &length);

  if (length < TRANSPORT_SHARED_BYTES_MIN)
    return zmq_send (socket, data, length, ZMQ_DONTWAIT) >= 0;
  zmq_msg_init_data (&message, (void *)data, length, release_bytes, g_bytes_ref (bytes));
  if (zmq_msg_send (&message, socket, ZMQ_DONTWAIT) >= 0)
    return true;
  zmq_msg_close (&message);
  return false;
}

static void
send_outgoing (GsTransport *transport, const Outgoing *outgoing)
{
  int64_t key = (int64_t)outgoing->to.ipv4 << 16 | outgoing->to.peer_port;
  Connection *connection;
  gsize length;
  const void *bytes = g_bytes_get_data (outgoing->bytes, &length);

  if (transport->datagram_socket >= 0 && outgoing->mode == GS_TRANSPORT_PREFER_DATAGRAM
      && length <= TRANSPORT_DATAGRAM_BYTES_MAX)
    {
      send_datagram (transport, &outgoing->to, bytes, length);
      return;
    }
  connection = g_hash_table_lookup (transport->connections, &key);
  if (connection == NULL)
    {
      connection = open_connection (transport, &outgoing->to);
      g_hash_table_insert (transport->connections, g_memdup2 (&key, sizeof key), connection);
    }
  connection->last_used_us = g_get_monotonic_time ();
  if (pass_to_zmq (connection->socket, outgoing->bytes))
    count_sent (transport, &outgoing->to, bytes, length);
}

static void
send_queued (GsTransport *transport)
{
  Outgoing *outgoing;

  while ((outgoing = g_async_queue_try_pop (transport->outgoing_queue)) != NULL)
    {
      send_outgoing (transport, outgoing);
      free_outgoing (outgoing);
    }
}

static gboolean
is_connection_idle (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  return *(int64_t *)data - ((Connection *)value)->last_used_us > TRANSPORT_IDLE_TIMEOUT_US;
}

static void
receive_all (GsTransport *transport)
{
  zmq_msg_t message;

  zmq_msg_init (&message);
  while (zmq_msg_recv (&message, transport->incoming_socket, ZMQ_DONTWAIT) >= 0)
    {
      count_received (zmq_msg_size (&message));
      transport->options.message_handler (zmq_msg_data (&message), zmq_msg_size (&message),
                                          transport->options.data);
      zmq_msg_close (&message);
      zmq_msg_init (&message);
    }
  zmq_msg_close (&message);
}

/* Reads one ZAP request (ZeroMQ RFC 27). RETURN VALUE: number of frames, of which FRAMES holds at
 * most TRANSPORT_ZAP_FRAMES_MAX; 0 on an error. */
static int
read_zap_request (void *socket, char frames[][64], size_t *lengths)
{
  int count = 0;
  int more = 1;
  size_t size = sizeof more;

  while (more)
    {
      char discarded[64];
      char *frame = count < TRANSPORT_ZAP_FRAMES_MAX ? frames[count] : discarded;
      int length = zmq_recv (socket, frame, 64, 0);
      if (length < 0)
        return 0;
      if (count < TRANSPORT_ZAP_FRAMES_MAX)
        lengths[count] = (size_t)MIN (length, 64);
      count++;
      zmq_getsockopt (socket, ZMQ_RCVMORE, &more, &size);
    }
  return count;
}

/* Accepts only clients that hold the fleet's key pair. */
static void
answer_zap_request (GsTransport *transport)
{
  char frames[TRANSPORT_ZAP_FRAMES_MAX][64];
  size_t lengths[TRANSPORT_ZAP_FRAMES_MAX];
  char key[41] = "";
  int count = read_zap_request (transport->zap_socket, frames, lengths);
  bool ok = count == 7 && lengths[5] == 5 && memcmp (frames[5], "CURVE", 5) == 0 && lengths[6] == 32
            && zmq_z85_encode (key, (uint8_t *)frames[6], 32) != NULL
            && strcmp (key, transport->public_key_z85) == 0;

  if (count < 2)
    return;
  zmq_send (transport->zap_socket, "1.0", 3, ZMQ_SNDMORE);
  zmq_send (transport->zap_socket, frames[1], lengths[1], ZMQ_SNDMORE);
  zmq_send (transport->zap_socket, ok ? "200" : "400", 3, ZMQ_SNDMORE);
  zmq_send (transport->zap_socket, "", 0, ZMQ_SNDMORE);
  zmq_send (transport->zap_socket, ok ? "fleet" : "", ok ? 5 : 0, ZMQ_SNDMORE);
  zmq_send (transport->zap_socket, "", 0, 0);
}

static void
on_incoming (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  receive_all (watcher->data);
}

static void
on_datagrams (struct ev_loop *loop, ev_io *watcher, int events)
{
  GsTransport *transport = watcher->data;
  char bytes[TRANSPORT_DATAGRAM_BYTES_MAX];

  (void)loop;
  (void)events;
  for (int i = 0; i < TRANSPORT_DATAGRAMS_PER_EVENT; i++)
    {
      ssize_t length = recv (transport->datagram_socket, bytes, sizeof bytes, MSG_DONTWAIT);
      if (length < 0)
        return;
      count_received ((size_t)length);
      transport->options.message_handler (bytes, (size_t)length, transport->options.data);
    }
}

static void
on_zap (struct ev_loop *loop, ev_io *watcher, int events)
{
  GsTransport *transport = watcher->data;
  int ready = 0;
  size_t size = sizeof ready;

  (void)loop;
  (void)events;
  while (zmq_getsockopt (transport->zap_socket, ZMQ_EVENTS, &ready, &size) == 0
         && (ready & ZMQ_POLLIN) != 0)
    answer_zap_request (transport);
}

static void
on_queue_wakeup (struct ev_loop *loop, ev_async *watcher, int events)
{
  (void)loop;
  (void)events;
  send_queued (watcher->data);
}

static void
on_idle_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsTransport *transport = watcher->data;
  int64_t now_us = g_get_monotonic_time ();

  (void)loop;
  (void)events;
  g_hash_table_foreach_remove (transport->connections, is_connection_idle, &now_us);
}

/* The descriptor of a ZeroMQ socket signals changes only, so READY is also called once for messages
 * that are there already. */
static void
watch_zmq_socket (GsTransport *transport,
                  void *socket,
                  ev_io *watcher,
                  void (*ready) (struct ev_loop *, ev_io *, int))
{
  int fd = -1;
  size_t size = sizeof fd;

  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  ev_io_init (watcher, ready, fd, EV_READ);
  watcher->data = transport;
  ev_io_start (transport->options.loop, watcher);
  ev_feed_event (transport->options.loop, watcher, EV_READ);
}

static void
start_watching (GsTransport *transport)
{
  struct ev_loop *loop = transport->options.loop;

  watch_zmq_socket (transport, transport->incoming_socket, &transport->incoming_watcher,
                    on_incoming);
  watch_zmq_socket (transport, transport->zap_socket, &transport->zap_watcher, on_zap);
  ev_async_init (&transport->queue_wakeup, on_queue_wakeup);
  ev_timer_init (&transport->idle_timer, on_idle_check, TRANSPORT_IDLE_CHECK_PERIOD_S,
                 TRANSPORT_IDLE_CHECK_PERIOD_S);
  transport->queue_wakeup.data = transport;
  transport->idle_timer.data = transport;
  ev_async_start (loop, &transport->queue_wakeup);
  ev_timer_start (loop, &transport->idle_timer);
  ev_io_init (&transport->datagram_watcher, on_datagrams, transport->datagram_socket, EV_READ);
  transport->datagram_watcher.data = transport;
  if (transport->datagram_socket >= 0)
    ev_io_start (loop, &transport->datagram_watcher);
}

static void
stop_watching (GsTransport *transport)
{
  struct ev_loop *loop = transport->options.loop;

  ev_io_stop (loop, &transport->incoming_watcher);
  ev_io_stop (loop, &transport->zap_watcher);
  ev_io_stop (loop, &transport->datagram_watcher);
  ev_async_stop (loop, &transport->queue_wakeup);
  ev_timer_stop (loop, &transport->idle_timer);
}

static gboolean
bind_sockets (GsTransport *transport, GError **error)
{
  const GsTransportOptions *options = &transport->options;
  g_autofree char *endpoint
      = g_strdup_printf ("tcp://%u.%u.%u.%u:%u", options->ipv4 >> 24, (options->ipv4 >> 16) & 255,
                         (options->ipv4 >> 8) & 255, options->ipv4 & 255, options->port);
  int64_t max_bytes = TRANSPORT_MESSAGE_BYTES_MAX;

  transport->zap_socket = zmq_socket (transport->context, ZMQ_REP);
  transport->incoming_socket = zmq_socket (transport->context, ZMQ_PULL);
  set_common_options (transport->zap_socket);
  set_common_options (transport->incoming_socket);
  zmq_setsockopt (transport->incoming_socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof max_bytes);
  if (is_encrypted (transport))
    {
      set_int_option (transport->incoming_socket, ZMQ_CURVE_SERVER, 1);
      zmq_setsockopt (transport->incoming_socket, ZMQ_ZAP_DOMAIN, "fleet", 5);
    }
  if ((!is_encrypted (transport)
       || zmq_setsockopt (transport->incoming_socket, ZMQ_CURVE_SECRETKEY, options->secret_key, 40)
              == 0)
      && zmq_bind (transport->zap_socket, "inproc://zeromq.zap.01") == 0
      && zmq_bind (transport->incoming_socket, endpoint) == 0)
    return TRUE;
  g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "cannot listen for daemons at %s: %s",
               endpoint, zmq_strerror (zmq_errno ()));
  return FALSE;
}

/* Datagrams are neither encrypted nor authenticated, so a fleet with keys does not use them. */
static gboolean
bind_datagrams (GsTransport *transport, GError **error)
{
  struct sockaddr_in address = socket_address (transport->options.ipv4, transport->options.port);
  int buffer = TRANSPORT_DATAGRAM_BUFFER_BYTES;

  if (is_encrypted (transport))
    return TRUE;
  transport->datagram_socket = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (transport->datagram_socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  if (transport->datagram_socket >= 0
      && bind (transport->datagram_socket, (struct sockaddr *)&address, sizeof address) == 0)
    return TRUE;
  g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
               "cannot receive datagrams from daemons at port %u: %s", transport->options.port,
               g_strerror (errno));
  return FALSE;
}

GsTransport *
gs_transport_new (const GsTransportOptions *options, GError **error)
{
  GsTransport *transport = g_new0 (GsTransport, 1);

  transport->options = *options;
  g_strlcpy (transport->public_key_z85, options->public_key, sizeof transport->public_key_z85);
  transport->context = zmq_ctx_new ();
  transport->connections
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_connection);
  transport->outgoing_queue = g_async_queue_new_full (free_outgoing);
  transport->loop_thread = g_thread_self ();
  transport->datagram_socket = -1;
  if (!bind_sockets (transport, error) || !bind_datagrams (transport, error))
    {
      gs_transport_free (transport);
      return NULL;
    }
  start_watching (transport);
  return transport;
}

void
gs_transport_free (GsTransport *transport)
{
  if (transport == NULL)
    return;
  if (ev_is_active (&transport->queue_wakeup))
    stop_watching (transport);
  send_queued (transport);
  g_hash_table_destroy (transport->connections);
  zmq_close (transport->incoming_socket);
  zmq_close (transport->zap_socket);
  zmq_ctx_term (transport->context);
  if (transport->datagram_socket >= 0)
    close (transport->datagram_socket);
  g_async_queue_unref (transport->outgoing_queue);
  g_free (transport);
}

void
gs_transport_send (GsTransport *transport,
                   const GsPeerAddress *to,
                   GsTransportMode mode,
                   GBytes *bytes)
{
  Outgoing *outgoing = g_new0 (Outgoing, 1);

  outgoing->to = *to;
  outgoing->mode = mode;
  outgoing->bytes = bytes;
  g_async_queue_push (transport->outgoing_queue, outgoing);
  if (g_thread_self () == transport->loop_thread)
    ev_feed_event (transport->options.loop, &transport->queue_wakeup, EV_ASYNC);
  else
    ev_async_send (transport->options.loop, &transport->queue_wakeup);
}
