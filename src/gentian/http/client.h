/**
 * NAME
 *   client - connections to upstreams and daemons that are kept open between requests
 *
 * DESCRIPTION
 *   A connection is a libcurl handle whose own cache holds one connection at most, so that what
 * goes over which connection is decided here. Idle connections are closed when their server may
 * close them. Not thread-safe.
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
  uint32_t max_idle;           /**< kept connections to one upstream */
  uint32_t connect_timeout_ms; /**< 0: 1000 */
  uint32_t idle_ms;            /**< life of an idle connection whose server states none; 0: any */
  bool allow_unframed;         /**< an answer without a length ends with its connection */
  bool skip_crash_check;       /**< a lost connection is not examined for a crash */
} GsClientOptions;

/** One connection. */
typedef struct
{
  CURL *easy;
  CURLM *multi;
  bool connected; /**< the last exchange left the connection open */
  curl_socket_t socket;
  int64_t idle_until_us; /**< its server may close it from then on */
} GsConnection;

GsClient *gs_client_new (const GsClientOptions *options);
void gs_client_free (GsClient *client);

const GsClientOptions *gs_client_options (const GsClient *client);

/** RETURN VALUE: a quiet connection to the upstream, or a new one that is not connected yet. */
GsConnection *gs_client_acquire (GsClient *client, uint32_t ipv4, uint16_t port);

/** Keeps CONNECTION for later where it is connected, or closes it. */
void gs_client_release (GsClient *client, uint32_t ipv4, uint16_t port, GsConnection *connection);

/** Closes the kept connections to an upstream. */
void gs_client_drop_idle (GsClient *client, uint32_t ipv4, uint16_t port);

#endif
