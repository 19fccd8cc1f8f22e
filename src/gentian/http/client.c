#include "client.h"

#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

/** Period at which idle connections are checked for those to close. */
#define CLIENT_SWEEP_S 1.0

struct GsClient
{
  GHashTable *idle; /* address -> GQueue of GsConnection, the last used one first */
  GsClientOptions options;
  ev_timer sweep;
  uint32_t n_connections;
  size_t held_bytes;
};

/* Closes the idle connection that expires first, if there is one. */
static void
close_first_to_expire (GsClient *client)
{
  GHashTableIter iter;
  gpointer value;
  GQueue *found = NULL;
  int64_t found_until_us = 0;

  g_hash_table_iter_init (&iter, client->idle);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const GsConnection *last = g_queue_peek_tail (value);
      if (last == NULL || (found != NULL && last->idle_until_us >= found_until_us))
        continue;
      found = value;
      found_until_us = last->idle_until_us;
    }
  if (found != NULL)
    gs_connection_free (g_queue_pop_tail (found));
}

GsConnection *
gs_connection_new (GsClient *client)
{
  GsConnection *connection = g_new0 (GsConnection, 1);

  if (client->options.max_connections != 0
      && client->n_connections >= client->options.max_connections)
    close_first_to_expire (client);
  client->n_connections++;
  connection->client = client;
  connection->socket = -1;
  return connection;
}

void
gs_connection_free (GsConnection *connection)
{
  connection->client->n_connections--;
  if (connection->socket >= 0)
    close (connection->socket);
  if (connection->names != NULL)
    g_array_unref (connection->names);
  g_free (connection);
}

void
gs_connection_abort (GsConnection *connection)
{
  struct linger linger = { .l_onoff = 1 };

  /* Fails only without a socket: then there is nothing to discard. */
  (void)setsockopt (connection->socket, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  gs_connection_free (connection);
}

static void
free_connection (gpointer data)
{
  gs_connection_free (data);
}

static void
free_queue (gpointer data)
{
  g_queue_free_full (data, free_connection);
}

/* Closes the expired connections, starting at the tail with the longest idle ones. RETURN VALUE:
 * whether none is left. */
static gboolean
close_expired (gpointer key, gpointer value, gpointer data)
{
  GQueue *queue = value;
  const int64_t *now_us = data;
  GsConnection *last;

  (void)key;
  while ((last = g_queue_peek_tail (queue)) != NULL && last->idle_until_us <= *now_us)
    gs_connection_free (g_queue_pop_tail (queue));
  return g_queue_is_empty (queue);
}

static void
on_sweep (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsClient *client = watcher->data;
  int64_t now_us = g_get_monotonic_time ();

  (void)events;
  g_hash_table_foreach_remove (client->idle, close_expired, &now_us);
  if (g_hash_table_size (client->idle) == 0)
    ev_timer_stop (loop, watcher);
}

GsClient *
gs_client_new (const GsClientOptions *options)
{
  GsClient *client = g_new0 (GsClient, 1);

  client->options = *options;
  client->idle = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_queue);
  ev_timer_init (&client->sweep, on_sweep, CLIENT_SWEEP_S, CLIENT_SWEEP_S);
  client->sweep.data = client;
  return client;
}

void
gs_client_free (GsClient *client)
{
  if (client == NULL)
    return;
  ev_timer_stop (client->options.loop, &client->sweep);
  g_hash_table_destroy (client->idle);
  g_free (client);
}

uint32_t
gs_client_n_connections (const GsClient *client)
{
  return client->n_connections;
}

void
gs_client_count_held (GsClient *client, ssize_t change)
{
  client->held_bytes += (size_t)change;
}

size_t
gs_client_held_bytes (const GsClient *client)
{
  return client->held_bytes;
}

const GsClientOptions *
gs_client_options (const GsClient *client)
{
  return &client->options;
}

static int64_t
address_key (uint32_t ipv4, uint16_t port)
{
  return (int64_t)ipv4 << 16 | port;
}

void
gs_client_drop_idle (GsClient *client, uint32_t ipv4, uint16_t port)
{
  int64_t key = address_key (ipv4, port);

  g_hash_table_remove (client->idle, &key);
}

/* RETURN VALUE: false when the connection has unsolicited data or was closed by its server: it
 * cannot be reused. */
static bool
is_reusable (const GsConnection *connection)
{
  char byte;

  return recv (connection->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void
gs_connection_add_name (GsConnection *connection, uint64_t name)
{
  if (connection->names == NULL)
    connection->names = g_array_new (FALSE, FALSE, sizeof name);
  g_array_append_val (connection->names, name);
}

static bool
has_name (const GsConnection *connection, uint64_t name)
{
  for (guint i = 0; connection->names != NULL && i < connection->names->len; i++)
    if (g_array_index (connection->names, uint64_t, i) == name)
      return true;
  return false;
}

GsConnection *
gs_client_acquire (GsClient *client, uint32_t ipv4, uint16_t port, uint64_t name)
{
  int64_t key = address_key (ipv4, port);
  GQueue *queue = g_hash_table_lookup (client->idle, &key);
  int64_t now_us = g_get_monotonic_time ();
  GList *next;

  for (GList *link = queue != NULL ? queue->head : NULL; link != NULL; link = next)
    {
      GsConnection *connection = link->data;
      next = link->next;
      if (has_name (connection, name))
        continue;
      g_queue_delete_link (queue, link);
      if (now_us < connection->idle_until_us && is_reusable (connection))
        return connection;
      gs_connection_free (connection);
    }
  return gs_connection_new (client);
}

void
gs_client_keep (GsClient *client, uint32_t ipv4, uint16_t port, GsConnection *connection)
{
  int64_t key = address_key (ipv4, port);
  GQueue *queue = g_hash_table_lookup (client->idle, &key);

  if ((queue != NULL && g_queue_get_length (queue) >= client->options.max_idle)
      || (connection->names != NULL && connection->names->len >= GS_CONNECTION_REQUESTS_MAX))
    {
      gs_connection_free (connection);
      return;
    }
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (client->idle, g_memdup2 (&key, sizeof key), queue);
    }
  connection->reused = true;
  g_queue_push_head (queue, connection);
  if (!ev_is_active (&client->sweep))
    ev_timer_again (client->options.loop, &client->sweep);
}
