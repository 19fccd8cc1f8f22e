/**
 * NAME
 *   client - a pool of idle connections to upstreams and daemons
 *
 * DESCRIPTION
 *   Connections are non-blocking TCP sockets. One is kept only after an exchange that ended with a
 * proven end of its answer, and is closed before its server may close it. A connection that has
 * received anything while it was idle is never used again, and none carries more than
 * GS_CONNECTION_REQUESTS_MAX requests. Not thread-safe.
 */
#ifndef GS_CLIENT_H
#define GS_CLIENT_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  GS_CONNECTION_REQUESTS_MAX = 256,
};

typedef struct GsClient GsClient;

/** Construction options. */
typedef struct
{
  struct ev_loop *loop;
  uint32_t max_idle;        /**< idle connections kept open to one address */
  uint32_t max_connections; /**< with so many open, idle ones are closed for new; 0: any number */
  /** From so many bytes of answers in memory on, each exchange holds little of its own; 0: any
   * number. */
  size_t max_held_bytes;
  uint32_t connect_timeout_ms; /**< 0: 1000 */
  uint32_t idle_ms;            /**< idle timeout if the server states none; 0: unlimited */
  bool allow_unframed;         /**< an answer without a length ends with its connection */
  bool skip_crash_check;       /**< do not check for a crash after a lost connection */
} GsClientOptions;

/** One connection. */
typedef struct
{
  GsClient *client;
  int socket;            /**< -1: not opened */
  bool reused;           /**< it has carried an exchange before */
  bool had_head_request; /**< one of these was a HEAD request */
  GArray *names;         /**< of uint64_t: hashes of what its requests were named; NULL: none */
  int64_t idle_until_us; /**< monotonic time until which it may be reused */
} GsConnection;

GsClient *gs_client_new (const GsClientOptions *options);
void gs_client_free (GsClient *client);

/** RETURN VALUE: number of connections, in use and idle. */
uint32_t gs_client_n_connections (const GsClient *client);

/** Counts a CHANGE of the bytes of answers that are held in memory. */
void gs_client_count_held (GsClient *client, ssize_t change);

/** RETURN VALUE: bytes of answers that are held in memory, see max_held_bytes. */
size_t gs_client_held_bytes (const GsClient *client);

const GsClientOptions *gs_client_options (const GsClient *client);

/** RETURN VALUE: the last used idle connection to the address that has carried no request of the
 * same NAME, or a new one that is not opened. A copy of the answer to such a request could come
 * late. */
GsConnection *gs_client_acquire (GsClient *client, uint32_t ipv4, uint16_t port, uint64_t name);

/** Notes that CONNECTION has carried a request with this hash of its name. */
void gs_connection_add_name (GsConnection *connection, uint64_t name);

/** RETURN VALUE: a new connection that is not opened. At max_connections, the idle one that expires
 * first is closed. */
GsConnection *gs_connection_new (GsClient *client);

/** Closes and frees CONNECTION. */
void gs_connection_free (GsConnection *connection);

/** Resets and frees CONNECTION: what has been written and not delivered is discarded. */
void gs_connection_abort (GsConnection *connection);

/** Keeps CONNECTION, whose last exchange was complete, for reuse until its idle_until_us. Closes it
 * if max_idle connections are kept already. */
void gs_client_keep (GsClient *client, uint32_t ipv4, uint16_t port, GsConnection *connection);

/** Closes the idle connections to an address. */
void gs_client_drop_idle (GsClient *client, uint32_t ipv4, uint16_t port);

#endif
