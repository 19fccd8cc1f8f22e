#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "../log/counter.h"
#include "../log/log.h"
#include "caller_connection.h"

enum
{
  SERVER_BACKLOG = 1024,
  SERVER_ACCEPTS_MAX = 64,     /* before the loop handles other events */
  SERVER_EXCESS_MAX = 64,      /* connections accepted by a full server, to refuse requests */
  SERVER_BRIEF_S = 1,          /* idle time of an excess or lingering connection */
  SERVER_FULL_HYSTERESIS = 10, /* a tenth of the limit */
};

/** Interval at which a server that could not accept a connection tries again. Callers try to
 * connect for about a second. */
#define SERVER_ACCEPT_RETRY_S 0.1

/** Period at which idle connections are closed, and the same while some have a short idle time. */
#define SERVER_SWEEP_S 5.0
#define SERVER_BRIEF_SWEEP_S 0.5
/** Period at which the callers of paused connections are checked: one that has left is noticed
 * within half a second. */
#define SERVER_CHECK_S 0.2

static void
start_sweep (GsCallerServer *server)
{
  double period_s = g_queue_is_empty (&server->brief) ? SERVER_SWEEP_S : SERVER_BRIEF_SWEEP_S;

  if (server->sweep.repeat == period_s && ev_is_active (&server->sweep))
    return;
  server->sweep.repeat = period_s;
  ev_timer_again (server->loop, &server->sweep);
}

void
gs_caller_server_update_full (GsCallerServer *server)
{
  uint32_t limit = server->options.max_connections;
  bool full
      = server->accept_paused_us != 0
        || server->n_connections >= (server->full ? limit - limit / SERVER_FULL_HYSTERESIS : limit);

  if (full == server->full)
    return;
  server->full = full;
  if (server->options.class->full_changed != NULL)
    server->options.class->full_changed (server->options.data, full);
}

const char *
gs_caller_server_date (GsCallerServer *server)
{
  time_t now = (time_t)ev_now (server->loop);
  struct tm parts;

  if (now != server->date_of && gmtime_r (&now, &parts) != NULL
      && strftime (server->date, sizeof server->date, "%a, %d %b %Y %H:%M:%S GMT", &parts) > 0)
    server->date_of = now;
  return server->date;
}

GQueue *
gs_caller_server_list_of (const GsCallerConnection *connection)
{
  GsCallerServer *server = connection->server;

  return connection->excess || connection->lingers ? &server->brief : &server->idle;
}

void
gs_caller_server_touch (GsCallerConnection *connection)
{
  GQueue *list = gs_caller_server_list_of (connection);

  connection->active_us = g_get_monotonic_time ();
  g_queue_unlink (list, &connection->link);
  g_queue_push_tail_link (list, &connection->link);
}

void
gs_caller_server_shorten (GsCallerConnection *connection)
{
  GsCallerServer *server = connection->server;

  connection->active_us = g_get_monotonic_time ();
  g_queue_unlink (connection->excess ? &server->brief : &server->idle, &connection->link);
  g_queue_push_tail_link (&server->brief, &connection->link);
  start_sweep (server);
}

/* Closes the connections of LIST that have been idle for IDLE_S. */
static void
sweep_list (GQueue *list, uint32_t idle_s)
{
  int64_t until_us = g_get_monotonic_time () - (int64_t)idle_s * G_USEC_PER_SEC;
  GsCallerConnection *connection;

  while ((connection = g_queue_peek_head (list)) != NULL && connection->active_us <= until_us)
    {
      if (gs_caller_connection_awaits_response (connection))
        gs_caller_server_touch (connection);
      else
        gs_caller_connection_close (connection);
    }
}

static void
log_accepting (const GsCallerServer *server, bool accepting, int error)
{
  int64_t paused_us = g_get_monotonic_time () - server->accept_paused_us;

  gs_log (GS_LOG_EVENT_ACCEPTING_CHANGED,
          "accepting=%s error=\"%s\" paused_ms=%" G_GINT64_FORMAT " connections=%u",
          accepting ? "yes" : "no", error != 0 ? g_strerror (error) : "-", paused_us / 1000,
          server->n_connections);
}

/* Stops accepting because of ERROR, for a while. The listener would be readable all the time. */
static void
pause_accepting (GsCallerServer *server, int error)
{
  ev_io_stop (server->loop, &server->accept_io);
  ev_timer_again (server->loop, &server->accept_retry);
  if (server->accept_paused_us != 0)
    return;
  server->accept_paused_us = g_get_monotonic_time ();
  gs_counter_add (GS_COUNTER_ACCEPT_PAUSES, 1);
  log_accepting (server, false, error);
  gs_caller_server_update_full (server);
}

/* Accepting works, perhaps again. */
static void
end_pause (GsCallerServer *server)
{
  if (server->accept_paused_us == 0)
    return;
  log_accepting (server, true, 0);
  server->accept_paused_us = 0;
  gs_caller_server_update_full (server);
}

static void
on_sweep (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsCallerServer *server = watcher->data;

  (void)loop;
  (void)events;
  sweep_list (&server->idle, server->options.idle_s);
  sweep_list (&server->brief, SERVER_BRIEF_S);
  start_sweep (server);
}

static void
on_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsCallerServer *server = watcher->data;
  g_autoptr (GArray) fds = g_array_new (FALSE, FALSE, sizeof (struct pollfd));
  g_autoptr (GPtrArray) connections = g_ptr_array_new ();

  (void)events;
  for (GList *link = server->idle.head; link != NULL; link = link->next)
    {
      GsCallerConnection *connection = link->data;
      struct pollfd fd = { .fd = connection->fd, .events = POLLRDHUP };

      if (connection->waiting == NULL)
        continue;
      g_array_append_val (fds, fd);
      g_ptr_array_add (connections, connection);
    }
  if (fds->len == 0)
    {
      ev_timer_stop (loop, watcher);
      return;
    }
  if (poll ((struct pollfd *)(void *)fds->data, fds->len, 0) <= 0)
    return;
  for (guint i = 0; i < fds->len; i++)
    if (g_array_index (fds, struct pollfd, i).revents != 0)
      gs_caller_connection_close (g_ptr_array_index (connections, i));
}

void
gs_caller_server_start_check (GsCallerServer *server)
{
  if (!ev_is_active (&server->check))
    ev_timer_again (server->loop, &server->check);
}

/* RETURN VALUE: false when no connection can be accepted now. */
static bool
accept_connection (GsCallerServer *server)
{
  int fd = accept4 (server->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  bool excess = server->n_connections >= server->options.max_connections;
  int on = 1;

  if (fd < 0)
    {
      int error = errno;

      if (error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM)
        pause_accepting (server, error);
      else
        end_pause (server);
      return error == ECONNABORTED || error == EINTR;
    }
  end_pause (server);
  gs_counter_add (GS_COUNTER_CALLERS_ACCEPTED, 1);
  if (server->n_connections >= server->options.max_connections + SERVER_EXCESS_MAX
      || setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on) != 0)
    {
      close (fd);
      return true;
    }
  gs_caller_connection_new (server, fd, excess);
  gs_caller_server_update_full (server);
  if (excess)
    start_sweep (server);
  return true;
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  GsCallerServer *server = watcher->data;

  (void)loop;
  (void)events;
  for (int i = 0; i < SERVER_ACCEPTS_MAX && accept_connection (server); i++)
    ;
}

static void
on_accept_retry (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsCallerServer *server = watcher->data;

  ev_timer_stop (loop, watcher);
  if (server->listener < 0)
    return;
  ev_io_start (loop, &server->accept_io);
  on_accept (loop, &server->accept_io, events); /* no caller may be waiting by now */
}

void
gs_caller_server_flush (GsCallerServer *server)
{
  GList *link;

  while ((link = g_queue_pop_head_link (&server->dirty)) != NULL)
    {
      GsCallerConnection *connection = link->data;

      connection->dirty = false;
      gs_caller_connection_flush (connection);
    }
}

static void
on_flush (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  (void)loop;
  (void)events;
  gs_caller_server_flush (watcher->data);
}

static int
listen_on (const GsCallerServerOptions *options)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (options->port),
                                 .sin_addr.s_addr = htonl (options->ipv4) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;

  if (fd >= 0
      && (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
          || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
          || listen (fd, SERVER_BACKLOG) != 0))
    {
      close (fd);
      fd = -1;
    }
  return fd;
}

GsCallerServer *
gs_caller_server_new (const GsCallerServerOptions *options, GError **error)
{
  int listener = listen_on (options);
  GsCallerServer *server;

  if (listener < 0)
    {
      g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "cannot listen on port %u",
                   options->port);
      return NULL;
    }
  server = g_new0 (GsCallerServer, 1);
  server->loop = options->loop;
  server->options = *options;
  server->listener = listener;
  ev_io_init (&server->accept_io, on_accept, listener, EV_READ);
  ev_prepare_init (&server->flush, on_flush);
  ev_timer_init (&server->sweep, on_sweep, 0., SERVER_SWEEP_S);
  ev_timer_init (&server->check, on_check, 0., SERVER_CHECK_S);
  ev_timer_init (&server->accept_retry, on_accept_retry, 0., SERVER_ACCEPT_RETRY_S);
  server->accept_io.data = server;
  server->flush.data = server;
  server->sweep.data = server;
  server->check.data = server;
  server->accept_retry.data = server;
  ev_io_start (server->loop, &server->accept_io);
  start_sweep (server);
  return server;
}

void
gs_caller_server_quiesce (GsCallerServer *server)
{
  if (server->listener < 0)
    return;
  ev_io_stop (server->loop, &server->accept_io);
  close (server->listener);
  server->listener = -1;
}

static void
close_all (GQueue *list)
{
  GsCallerConnection *connection;

  while ((connection = g_queue_peek_head (list)) != NULL)
    gs_caller_connection_close (connection);
}

/* Receives on each connection once, whose place in LIST changes with that. */
static void
receive_all (GQueue *list)
{
  g_autoptr (GList) connections = g_list_copy (list->head);

  for (GList *link = connections; link != NULL; link = link->next)
    gs_caller_connection_receive (link->data);
}

void
gs_caller_server_free (GsCallerServer *server)
{
  if (server == NULL)
    return;
  gs_caller_server_quiesce (server);
  receive_all (&server->idle);
  gs_caller_server_flush (server);
  close_all (&server->idle);
  close_all (&server->brief);
  ev_clear_pending (server->loop, &server->flush);
  ev_timer_stop (server->loop, &server->sweep);
  ev_timer_stop (server->loop, &server->check);
  ev_timer_stop (server->loop, &server->accept_retry);
  g_free (server);
}
