/**
 * NAME
 *   client - a pool of idle connections to upstreams and daemons
 *
 * DESCRIPTION
 *   Connections are non-blocking TCP sockets. One is kept only after an exchange that ended with a
 * proven end of its answer, and is closed before its server may close it. A connection that has
 * received anything while it was idle is never used again. Not thread-safe.
 */
#ifndef GS_CLIENT_H
#define GS_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct GsClient GsClient;

/** Construction options. */
typedef struct
{
  struct ev_loop *loop;
  uint32_t max_idle;           /**< idle connections kept open to one address */
  uint32_t connect_timeout_ms; /**< 0: 1000 */
  uint32_t idle_ms;            /**< idle timeout if the server states none; 0: unlimited */
  bool allow_unframed;         /**< an answer without a length ends with its connection */
  bool skip_crash_check;       /**< do not check for a crash after a lost connection */
} GsClientOptions;

/** One connection. */
typedef struct
{
  int socket;            /**< -1: not opened */
  bool reused;           /**< it has carried an exchange before */
  bool had_head_request; /**< one of these was a HEAD request */
  int64_t idle_until_us; /**< monotonic time until which it may be reused */
} GsConnection;

GsClient *gs_client_new (const GsClientOptions *options);
void gs_client_free (GsClient *client);

const GsClientOptions *gs_client_options (const GsClient *client);

/** RETURN VALUE: the last used idle connection to the address, or a new one that is not opened. */
GsConnection *gs_client_acquire (GsClient *client, uint32_t ipv4, uint16_t port);

/** RETURN VALUE: a new connection that is not opened. */
GsConnection *gs_connection_new (void);

/** Closes and frees CONNECTION. */
void gs_connection_free (GsConnection *connection);

/** Keeps CONNECTION, whose last exchange was complete, for reuse until its idle_until_us. Closes it
 * if max_idle connections are kept already. */
void gs_client_keep (GsClient *client, uint32_t ipv4, uint16_t port, GsConnection *connection);

/** Closes the idle connections to an address. */
void gs_client_drop_idle (GsClient *client, uint32_t ipv4, uint16_t port);

#endif
