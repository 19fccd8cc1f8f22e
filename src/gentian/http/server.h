/**
 * NAME
 *   server - a libmicrohttpd server in an event loop
 *
 * DESCRIPTION
 *   libmicrohttpd waits on an epoll descriptor of its own, which the loop watches; no thread is
 * started. A handler may suspend its connection and resume it later, followed by gs_server_wake.
 * Not thread-safe: all calls come from the loop's thread.
 */
#ifndef GS_SERVER_H
#define GS_SERVER_H

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdint.h>

/** What a server calls; `begun` and `completed` may be NULL. */
typedef struct
{
  MHD_AccessHandlerCallback handle;
  /** First line of a request; returns the context of its later calls. */
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
  uint32_t idle_s; /**< life of an idle connection */
} GsServerOptions;

typedef struct GsServer GsServer;

/** RETURN VALUE: a listening server, or NULL with ERROR when the port cannot be had. */
GsServer *gs_server_new (const GsServerOptions *options, GError **error);

/** Handles what is ready before the loop sleeps again. */
void gs_server_wake (GsServer *server);

/** Stops listening; open connections go on. */
void gs_server_quiesce (GsServer *server);

/** Closes all connections; none may be suspended. */
void gs_server_free (GsServer *server);

#endif
