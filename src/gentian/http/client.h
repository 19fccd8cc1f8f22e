/**
 * NAME
 *   client - a pool of idle connections to upstreams and daemons
 *
 * DESCRIPTION
 *   A connection is a libcurl multi handle whose own cache holds one connection at most, which
 * leaves the choice of a request's connection to this module. Idle connections are closed before
 * their server may close them. Not thread-safe.
 */
#ifndef GS_CLIENT_H
#define GS_CLIENT_H

#include <curl/curl.h>
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
  CURL *easy;
  CURLM *multi;
  bool connected; /**< open and reusable after the last exchange */
  curl_socket_t socket;
  int64_t idle_until_us; /**< monotonic time until which it may be reused */
} GsConnection;

GsClient *gs_client_new (const GsClientOptions *options);
void gs_client_free (GsClient *client);

const GsClientOptions *gs_client_options (const GsClient *client);

/** RETURN VALUE: the last used idle connection to the address, or a new one, not connected yet. */
GsConnection *gs_client_acquire (GsClient *client, uint32_t ipv4, uint16_t port);

/** Keeps CONNECTION for reuse if it is connected and max_idle permits, or else closes it. */
void gs_client_release (GsClient *client, uint32_t ipv4, uint16_t port, GsConnection *connection);

/** Closes the idle connections to an address. */
void gs_client_drop_idle (GsClient *client, uint32_t ipv4, uint16_t port);

#endif
