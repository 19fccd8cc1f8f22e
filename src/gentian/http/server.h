/**
 * NAME
 *   server - a libmicrohttpd server driven by a libev loop
 *
 * DESCRIPTION
 *   The loop watches libmicrohttpd's epoll descriptor; no thread is started. A handler may suspend
 * its connection; after MHD_resume_connection, gs_server_wake must be called. Not thread-safe: all
 * calls come from the loop's thread.
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

/** Callbacks of a server; all but `handle` may be NULL. */
typedef struct
{
  MHD_AccessHandlerCallback handle;
  /** Called after the first line of a request. Returns the context for its later calls. */
  void *(*begun) (void *data, const char *target, struct MHD_Connection *connection);
  MHD_RequestCompletedCallback completed;
  /** The server has become full, or is no longer. It is not until a tenth of the connections that
   * make it full has been closed. */
  void (*full_changed) (void *data, bool full);
} GsServerClass;

/** Construction options. */
typedef struct
{
  const GsServerClass *class;
  void *data;
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

/** Makes the loop handle resumed connections before it waits for events again. */
void gs_server_wake (GsServer *server);

/** Stops listening; open connections stay open. */
void gs_server_quiesce (GsServer *server);

/** Closes all connections; none may be suspended. Requests that have arrived are handled before,
 * and their handlers may not suspend their connections either. */
void gs_server_free (GsServer *server);

#endif
