#include "server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>

enum
{
  SERVER_BACKLOG = 1024,
  SERVER_MEMORY_BYTES = 32 * 1024, /* per connection, for its headers */
  SERVER_ROUNDS = 8,               /* of MHD_run before the loop handles other events */
  SERVER_EXCESS_MAX = 64,          /* connections accepted by a full server, to refuse requests */
  SERVER_EXCESS_IDLE_S = 1,
  SERVER_FULL_HYSTERESIS = 10, /* a tenth of the limit */
};

/** Period at which connections are checked for those that have been idle for too long, and the same
 * of a full server. */
#define SERVER_IDLE_CHECK_S 5.0
#define SERVER_FULL_IDLE_CHECK_S 1.0

struct GsServer
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  ev_io ready;
  ev_timer idle_check;
  uint32_t max_connections;
  uint32_t n_connections;
  bool full;
};

static void
start_idle_check (GsServer *server, double after_s)
{
  double period_s = server->full ? SERVER_FULL_IDLE_CHECK_S : SERVER_IDLE_CHECK_S;

  ev_timer_stop (server->loop, &server->idle_check);
  ev_timer_set (&server->idle_check, after_s, period_s);
  ev_timer_start (server->loop, &server->idle_check);
}

/* Lets libmicrohttpd handle what is ready. Returns to the loop after SERVER_ROUNDS with more to do;
 * the timer then continues at once. */
static void
run_daemon (GsServer *server)
{
  MHD_UNSIGNED_LONG_LONG left_ms = 1;

  for (int i = 0; i < SERVER_ROUNDS; i++)
    {
      MHD_run (server->daemon);
      if (MHD_get_timeout (server->daemon, &left_ms) != MHD_YES || left_ms > 0)
        return;
    }
  start_idle_check (server, 0.);
}

static void
on_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  run_daemon (watcher->data);
}

static void
on_idle_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  run_daemon (watcher->data);
}

static void
update_full (GsServer *server)
{
  uint32_t limit = server->max_connections;
  bool full
      = server->n_connections >= (server->full ? limit - limit / SERVER_FULL_HYSTERESIS : limit);

  if (full == server->full)
    return;
  server->full = full;
  start_idle_check (server, full ? SERVER_FULL_IDLE_CHECK_S : SERVER_IDLE_CHECK_S);
}

static void
on_connection (void *data,
               struct MHD_Connection *connection,
               void **context,
               enum MHD_ConnectionNotificationCode code)
{
  GsServer *server = data;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      if (server->n_connections >= server->max_connections)
        {
          *context = server;
          MHD_set_connection_option (connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                     SERVER_EXCESS_IDLE_S);
        }
      server->n_connections++;
    }
  else
    server->n_connections--;
  update_full (server);
}

/* libmicrohttpd closes a connection that is not accepted here. At its own limit, which is above
 * this one, it would leave them in the backlog. */
static enum MHD_Result
on_accept (void *data, const struct sockaddr *address, socklen_t length)
{
  const GsServer *server = data;

  (void)address;
  (void)length;
  return server->n_connections < server->max_connections + SERVER_EXCESS_MAX ? MHD_YES : MHD_NO;
}

bool
gs_server_is_excess (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info != NULL && info->socket_context != NULL;
}

static bool
start (GsServer *server, const GsServerOptions *options)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (options->port),
                                 .sin_addr.s_addr = htonl (options->ipv4) };
  struct MHD_OptionItem items[] = {
    { MHD_OPTION_SOCK_ADDR, 0, &address },
    { MHD_OPTION_CONNECTION_LIMIT,
      (intptr_t)options->max_connections + SERVER_EXCESS_MAX + SERVER_EXCESS_MAX, NULL },
    { MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)on_connection, server },
    { MHD_OPTION_CONNECTION_MEMORY_LIMIT, SERVER_MEMORY_BYTES, NULL },
    { MHD_OPTION_CONNECTION_TIMEOUT, (intptr_t)options->idle_s, NULL },
    { MHD_OPTION_LISTEN_BACKLOG_SIZE, SERVER_BACKLOG, NULL },
    { MHD_OPTION_END, 0, NULL },
  };

  server->daemon
      = MHD_start_daemon (MHD_USE_EPOLL, options->port, on_accept, server, options->handle,
                          options->data, MHD_OPTION_ARRAY, items, MHD_OPTION_END);
  return server->daemon != NULL;
}

GsServer *
gs_server_new (const GsServerOptions *options, GError **error)
{
  GsServer *server = g_new0 (GsServer, 1);
  const union MHD_DaemonInfo *info;

  server->loop = options->loop;
  server->max_connections = options->max_connections;
  if (!start (server, options))
    {
      g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "cannot listen on port %u",
                   options->port);
      g_free (server);
      return NULL;
    }
  info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&server->ready, on_ready, info->epoll_fd, EV_READ);
  ev_timer_init (&server->idle_check, on_idle_check, 0., 0.);
  server->ready.data = server;
  server->idle_check.data = server;
  ev_io_start (server->loop, &server->ready);
  start_idle_check (server, SERVER_IDLE_CHECK_S);
  return server;
}

void
gs_server_free (GsServer *server)
{
  if (server == NULL)
    return;
  MHD_run (server->daemon);
  ev_io_stop (server->loop, &server->ready);
  MHD_stop_daemon (server->daemon);
  ev_timer_stop (server->loop, &server->idle_check);
  g_free (server);
}
