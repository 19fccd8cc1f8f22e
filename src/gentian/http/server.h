/**
 * NAME
 *   server - a libmicrohttpd server driven by a libev loop
 *
 * DESCRIPTION
 *   The loop watches libmicrohttpd's epoll descriptor; no thread is started. A handler may suspend
 * its connection; after MHD_resume_connection, gs_server_wake must be called. Not thread-safe: all
 * calls come from the loop's thread.
 */
#ifndef GS_SERVER_H
#define GS_SERVER_H

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdint.h>

/** Callbacks of a server; `begun` and `completed` may be NULL. */
typedef struct
{
  MHD_AccessHandlerCallback handle;
  /** Called after the first line of a request. Returns the context for its later calls. */
  void *(*begun) (void *data, const char *target, struct MHD_Connection *connection);
  MHD_RequestCompletedCallback completed;
} GsServerClass;

/** Construction options. */
typedef struct
{
  const GsServerClass *class;
  void *data;
  struct ev_loop *loop;
  uint32_t ipv4; /**< host byte order */
  uint16_t port;
  uint32_t max_connections;
  uint32_t idle_s; /**< time after which an idle connection is closed */
} GsServerOptions;

typedef struct GsServer GsServer;

/** RETURN VALUE: a listening server, or NULL with ERROR when it cannot listen on the port. */
GsServer *gs_server_new (const GsServerOptions *options, GError **error);

/** Makes the loop handle resumed connections before it waits for events again. */
void gs_server_wake (GsServer *server);

/** Stops listening; open connections stay open. */
void gs_server_quiesce (GsServer *server);

/** Closes all connections; none may be suspended. Requests that have arrived are handled before,
 * and their handlers may not suspend their connections either. */
void gs_server_free (GsServer *server);

#endif
