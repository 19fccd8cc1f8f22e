/**
 * NAME
 *   server - a libmicrohttpd server driven by a libev loop
 *
 * DESCRIPTION
 *   For address lookups and readiness checks; callers are served by caller_server. The loop watches
 * libmicrohttpd's epoll descriptor; no thread is started. Not thread-safe: all calls come from the
 * loop's thread.
 *
 *   No connection waits in the backlog. With max_connections open the server is full; it accepts
 * some more in excess, whose requests the handler should refuse or answer with "Connection: close",
 * and closes all others as soon as they are opened.
 */
#ifndef GS_SERVER_H
#define GS_SERVER_H

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/** Construction options. */
typedef struct
{
  MHD_AccessHandlerCallback handle;
  void *data; /**< for `handle` */
  struct ev_loop *loop;
  uint32_t ipv4; /**< host byte order */
  uint16_t port;
  uint32_t max_connections; /**< from this many on the server is full */
  uint32_t idle_s;          /**< time after which an idle connection is closed */
} GsServerOptions;

typedef struct GsServer GsServer;

/** RETURN VALUE: a listening server, or NULL with ERROR when it cannot listen on the port. */
GsServer *gs_server_new (const GsServerOptions *options, GError **error);

/** RETURN VALUE: whether CONNECTION was opened while the server was full. */
bool gs_server_is_excess (struct MHD_Connection *connection);

/** Closes all connections. Requests that have arrived are handled before. */
void gs_server_free (GsServer *server);

#endif
