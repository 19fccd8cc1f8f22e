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
  PEER_HIGH_WATER = 64, /* messages that wait for one daemon */
  /* A connection whose bytes are not acknowledged for so long has gone silent. */
  PEER_SILENT_MS = 2000,
  PEER_KEEPALIVE_S = 10,
  /* A packet to a machine without power is lost, and TCP sends it again only after a second. */
  PEER_CONNECT_TIMEOUT_MS = 150,
  PEER_RECONNECT_MS = 50,
  PEER_RECONNECT_MAX_MS = 1000,
  /* Fits one packet of any usual network. */
  PEER_DATAGRAM_BYTES_MAX = 1200,
  PEER_DATAGRAMS = 64, /* taken in before the loop's other events get their turn */
  PEER_DATAGRAM_BUFFER_BYTES = 1024 * 1024,
  PEER_MESSAGE_BYTES_MAX = 256 * 1024 * 1024,
  PEER_ZAP_FRAMES_MAX = 16,
};

#define PEER_IDLE_US (60 * G_USEC_PER_SEC)
#define PEER_SWEEP_S 10.0

typedef struct
{
  GsPeerAddress to;
  GsTransportMode way;
  GBytes *bytes;
} Outgoing;

typedef struct
{
  void *socket;
  int64_t used_us;
} Link;

struct GsTransport
{
  GsTransportOptions options;
  void *context;
  void *zap;
  void *incoming;
  int datagrams;     /* socket of small messages; -1: all go by ZeroMQ */
  GHashTable *links; /* address as integer -> Link */
  GAsyncQueue *queue;
  GThread *owner; /* runs the loop */
  ev_io incoming_ready;
  ev_io zap_ready;
  ev_io datagrams_ready;
  ev_async queued;
  ev_timer sweep;
  char public_key_z85[41];
};

static void
free_link (gpointer data)
{
  Link *link = data;

  zmq_close (link->socket);
  g_free (link);
}

static void
free_outgoing (gpointer data)
{
  Outgoing *outgoing = data;

  g_bytes_unref (outgoing->bytes);
  g_free (outgoing);
}

static void
set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
set_common (void *socket)
{
  set_int (socket, ZMQ_LINGER, 0);
  set_int (socket, ZMQ_SNDHWM, PEER_HIGH_WATER);
  set_int (socket, ZMQ_CONNECT_TIMEOUT, PEER_CONNECT_TIMEOUT_MS);
  set_int (socket, ZMQ_RECONNECT_IVL, PEER_RECONNECT_MS);
  set_int (socket, ZMQ_RECONNECT_IVL_MAX, PEER_RECONNECT_MAX_MS);
  set_int (socket, ZMQ_TCP_MAXRT, PEER_SILENT_MS);
  set_int (socket, ZMQ_TCP_KEEPALIVE, 1);
  set_int (socket, ZMQ_TCP_KEEPALIVE_IDLE, PEER_KEEPALIVE_S);
}

/* Without keys the network between the daemons is trusted. */
static gboolean
is_encrypted (const GsTransport *peer)
{
  return *peer->options.public_key != '\0';
}

static Link *
open_link (GsTransport *peer, const GsPeerAddress *to)
{
  Link *link = g_new0 (Link, 1);
  g_autofree char *endpoint
      = g_strdup_printf ("tcp://%u.%u.%u.%u:%u", to->ipv4 >> 24, (to->ipv4 >> 16) & 255,
                         (to->ipv4 >> 8) & 255, to->ipv4 & 255, to->peer_port);

  link->socket = zmq_socket (peer->context, ZMQ_PUSH);
  set_common (link->socket);
  if (is_encrypted (peer))
    {
      zmq_setsockopt (link->socket, ZMQ_CURVE_SERVERKEY, peer->options.public_key, 40);
      zmq_setsockopt (link->socket, ZMQ_CURVE_PUBLICKEY, peer->options.public_key, 40);
      zmq_setsockopt (link->socket, ZMQ_CURVE_SECRETKEY, peer->options.secret_key, 40);
    }
  zmq_connect (link->socket, endpoint);
  return link;
}

static struct sockaddr_in
socket_address (uint32_t ipv4, uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (ipv4) };
}

static void
count_sent (size_t length)
{
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
send_datagram (GsTransport *peer, const GsPeerAddress *to, const void *bytes, size_t length)
{
  struct sockaddr_in address = socket_address (to->ipv4, to->peer_port);

  if (sendto (peer->datagrams, bytes, length, MSG_DONTWAIT | MSG_NOSIGNAL,
              (struct sockaddr *)&address, sizeof address)
      >= 0)
    count_sent (length);
}

static void
send_one (GsTransport *peer, const Outgoing *outgoing)
{
  int64_t key = (int64_t)outgoing->to.ipv4 << 16 | outgoing->to.peer_port;
  Link *link;
  gsize length;
  const void *bytes = g_bytes_get_data (outgoing->bytes, &length);

  if (peer->datagrams >= 0 && outgoing->way == GS_TRANSPORT_PREFER_DATAGRAM
      && length <= PEER_DATAGRAM_BYTES_MAX)
    {
      send_datagram (peer, &outgoing->to, bytes, length);
      return;
    }
  link = g_hash_table_lookup (peer->links, &key);
  if (link == NULL)
    {
      link = open_link (peer, &outgoing->to);
      g_hash_table_insert (peer->links, g_memdup2 (&key, sizeof key), link);
    }
  link->used_us = g_get_monotonic_time ();
  if (zmq_send (link->socket, bytes, length, ZMQ_DONTWAIT) < 0)
    return;
  count_sent (length);
}

static void
send_queued (GsTransport *peer)
{
  Outgoing *outgoing;

  while ((outgoing = g_async_queue_try_pop (peer->queue)) != NULL)
    {
      send_one (peer, outgoing);
      free_outgoing (outgoing);
    }
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  return *(int64_t *)data - ((Link *)value)->used_us > PEER_IDLE_US;
}

static void
receive_all (GsTransport *peer)
{
  zmq_msg_t message;

  zmq_msg_init (&message);
  while (zmq_msg_recv (&message, peer->incoming, ZMQ_DONTWAIT) >= 0)
    {
      count_received (zmq_msg_size (&message));
      peer->options.sink (zmq_msg_data (&message), zmq_msg_size (&message), peer->options.data);
      zmq_msg_close (&message);
      zmq_msg_init (&message);
    }
  zmq_msg_close (&message);
}

/* Reads one ZAP request (RFC 27). RETURN VALUE: number of frames. */
static int
read_zap (void *socket, char frames[][64], size_t *lengths)
{
  int count = 0;
  int more = 1;
  size_t size = sizeof more;

  while (more)
    {
      char spill[64];
      char *frame = count < PEER_ZAP_FRAMES_MAX ? frames[count] : spill;
      int length = zmq_recv (socket, frame, 64, 0);
      if (length < 0)
        return 0;
      if (count < PEER_ZAP_FRAMES_MAX)
        lengths[count] = (size_t)MIN (length, 64);
      count++;
      zmq_getsockopt (socket, ZMQ_RCVMORE, &more, &size);
    }
  return count;
}

/* Lets in only clients that hold the fleet's key pair. */
static void
answer_zap (GsTransport *peer)
{
  char frames[PEER_ZAP_FRAMES_MAX][64];
  size_t lengths[PEER_ZAP_FRAMES_MAX];
  char key[41] = "";
  int count = read_zap (peer->zap, frames, lengths);
  bool ok = count == 7 && lengths[5] == 5 && memcmp (frames[5], "CURVE", 5) == 0 && lengths[6] == 32
            && zmq_z85_encode (key, (uint8_t *)frames[6], 32) != NULL
            && strcmp (key, peer->public_key_z85) == 0;

  if (count < 2)
    return;
  zmq_send (peer->zap, "1.0", 3, ZMQ_SNDMORE);
  zmq_send (peer->zap, frames[1], lengths[1], ZMQ_SNDMORE);
  zmq_send (peer->zap, ok ? "200" : "400", 3, ZMQ_SNDMORE);
  zmq_send (peer->zap, "", 0, ZMQ_SNDMORE);
  zmq_send (peer->zap, ok ? "fleet" : "", ok ? 5 : 0, ZMQ_SNDMORE);
  zmq_send (peer->zap, "", 0, 0);
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
  GsTransport *peer = watcher->data;
  char bytes[PEER_DATAGRAM_BYTES_MAX];

  (void)loop;
  (void)events;
  for (int i = 0; i < PEER_DATAGRAMS; i++)
    {
      ssize_t length = recv (peer->datagrams, bytes, sizeof bytes, MSG_DONTWAIT);
      if (length < 0)
        return;
      count_received ((size_t)length);
      peer->options.sink (bytes, (size_t)length, peer->options.data);
    }
}

static void
on_zap (struct ev_loop *loop, ev_io *watcher, int events)
{
  GsTransport *peer = watcher->data;
  int ready = 0;
  size_t size = sizeof ready;

  (void)loop;
  (void)events;
  while (zmq_getsockopt (peer->zap, ZMQ_EVENTS, &ready, &size) == 0 && (ready & ZMQ_POLLIN) != 0)
    answer_zap (peer);
}

static void
on_queued (struct ev_loop *loop, ev_async *watcher, int events)
{
  (void)loop;
  (void)events;
  send_queued (watcher->data);
}

static void
on_sweep (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsTransport *peer = watcher->data;
  int64_t now_us = g_get_monotonic_time ();

  (void)loop;
  (void)events;
  g_hash_table_foreach_remove (peer->links, is_idle, &now_us);
}

/* The descriptor of a ZeroMQ socket tells only changes: what is there already is handled at once.
 */
static void
watch (GsTransport *peer,
       void *socket,
       ev_io *watcher,
       void (*ready) (struct ev_loop *, ev_io *, int))
{
  int fd = -1;
  size_t size = sizeof fd;

  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  ev_io_init (watcher, ready, fd, EV_READ);
  watcher->data = peer;
  ev_io_start (peer->options.loop, watcher);
  ev_feed_event (peer->options.loop, watcher, EV_READ);
}

static void
start_watching (GsTransport *peer)
{
  struct ev_loop *loop = peer->options.loop;

  watch (peer, peer->incoming, &peer->incoming_ready, on_incoming);
  watch (peer, peer->zap, &peer->zap_ready, on_zap);
  ev_async_init (&peer->queued, on_queued);
  ev_timer_init (&peer->sweep, on_sweep, PEER_SWEEP_S, PEER_SWEEP_S);
  peer->queued.data = peer;
  peer->sweep.data = peer;
  ev_async_start (loop, &peer->queued);
  ev_timer_start (loop, &peer->sweep);
  ev_io_init (&peer->datagrams_ready, on_datagrams, peer->datagrams, EV_READ);
  peer->datagrams_ready.data = peer;
  if (peer->datagrams >= 0)
    ev_io_start (loop, &peer->datagrams_ready);
}

static void
stop_watching (GsTransport *peer)
{
  struct ev_loop *loop = peer->options.loop;

  ev_io_stop (loop, &peer->incoming_ready);
  ev_io_stop (loop, &peer->zap_ready);
  ev_io_stop (loop, &peer->datagrams_ready);
  ev_async_stop (loop, &peer->queued);
  ev_timer_stop (loop, &peer->sweep);
}

static gboolean
bind_sockets (GsTransport *peer, GError **error)
{
  const GsTransportOptions *options = &peer->options;
  g_autofree char *endpoint
      = g_strdup_printf ("tcp://%u.%u.%u.%u:%u", options->ipv4 >> 24, (options->ipv4 >> 16) & 255,
                         (options->ipv4 >> 8) & 255, options->ipv4 & 255, options->port);
  int64_t max_bytes = PEER_MESSAGE_BYTES_MAX;

  peer->zap = zmq_socket (peer->context, ZMQ_REP);
  peer->incoming = zmq_socket (peer->context, ZMQ_PULL);
  set_common (peer->zap);
  set_common (peer->incoming);
  zmq_setsockopt (peer->incoming, ZMQ_MAXMSGSIZE, &max_bytes, sizeof max_bytes);
  if (is_encrypted (peer))
    {
      set_int (peer->incoming, ZMQ_CURVE_SERVER, 1);
      zmq_setsockopt (peer->incoming, ZMQ_ZAP_DOMAIN, "fleet", 5);
    }
  if ((!is_encrypted (peer)
       || zmq_setsockopt (peer->incoming, ZMQ_CURVE_SECRETKEY, options->secret_key, 40) == 0)
      && zmq_bind (peer->zap, "inproc://zeromq.zap.01") == 0
      && zmq_bind (peer->incoming, endpoint) == 0)
    return TRUE;
  g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "cannot listen for daemons at %s: %s",
               endpoint, zmq_strerror (zmq_errno ()));
  return FALSE;
}

/* Datagrams carry no keys, so an encrypted fleet has none. */
static gboolean
bind_datagrams (GsTransport *peer, GError **error)
{
  struct sockaddr_in address = socket_address (peer->options.ipv4, peer->options.port);
  int buffer = PEER_DATAGRAM_BUFFER_BYTES;

  if (is_encrypted (peer))
    return TRUE;
  peer->datagrams = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (peer->datagrams, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  if (peer->datagrams >= 0
      && bind (peer->datagrams, (struct sockaddr *)&address, sizeof address) == 0)
    return TRUE;
  g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
               "cannot take datagrams of daemons at port %u: %s", peer->options.port,
               g_strerror (errno));
  return FALSE;
}

GsTransport *
gs_transport_new (const GsTransportOptions *options, GError **error)
{
  GsTransport *peer = g_new0 (GsTransport, 1);

  peer->options = *options;
  g_strlcpy (peer->public_key_z85, options->public_key, sizeof peer->public_key_z85);
  peer->context = zmq_ctx_new ();
  peer->links = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_link);
  peer->queue = g_async_queue_new_full (free_outgoing);
  peer->owner = g_thread_self ();
  peer->datagrams = -1;
  if (!bind_sockets (peer, error) || !bind_datagrams (peer, error))
    {
      gs_transport_free (peer);
      return NULL;
    }
  start_watching (peer);
  return peer;
}

void
gs_transport_free (GsTransport *peer)
{
  if (peer == NULL)
    return;
  if (ev_is_active (&peer->queued))
    stop_watching (peer);
  send_queued (peer);
  g_hash_table_destroy (peer->links);
  zmq_close (peer->incoming);
  zmq_close (peer->zap);
  zmq_ctx_term (peer->context);
  if (peer->datagrams >= 0)
    close (peer->datagrams);
  g_async_queue_unref (peer->queue);
  g_free (peer);
}

void
gs_transport_send (GsTransport *peer, const GsPeerAddress *to, GsTransportMode way, GBytes *bytes)
{
  Outgoing *outgoing = g_new0 (Outgoing, 1);

  outgoing->to = *to;
  outgoing->way = way;
  outgoing->bytes = bytes;
  g_async_queue_push (peer->queue, outgoing);
  if (g_thread_self () == peer->owner)
    ev_feed_event (peer->options.loop, &peer->queued, EV_ASYNC);
  else
    ev_async_send (peer->options.loop, &peer->queued);
}
