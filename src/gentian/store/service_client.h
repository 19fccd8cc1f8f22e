/**
 * NAME
 *   service_client - HTTP calls to the platform's services, one at a time
 *
 * SYNOPSIS
 *   GsServiceClientOptions options = { .base_url = url, .connect_timeout_ms = 500 };
 *   GsServiceClient *client = gs_service_client_new (&options);
 *   GsServiceCall call = { .path = "/v1/instances", .timeout_ms = 2000 };
 *   GsServiceAnswer answer = gs_service_client_call (client, &call);
 *
 * DESCRIPTION
 *   An answer counts only when it is whole: its head was received to the end, states one length or
 * chunks, and the body reached that length or its last chunk. libcurl also reports success for a
 * connection that ends inside the head, and for a body that has no end but that of the connection;
 * such an answer has the status 0 here, as none has. After it, the connection is not used again.
 *
 *   A client is used by one thread at a time. Tested by test/unit/test_store_client.c and
 * test/unit/test_log_client.c.
 */
#ifndef GS_SERVICE_CLIENT_H
#define GS_SERVICE_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const char *base_url;
  uint32_t connect_timeout_ms;
  bool allow_proxy;       /**< use the proxy that the environment names, if any */
  const char *era_header; /**< header in which the service states its era; NULL: none */
} GsServiceClientOptions;

typedef struct
{
  const char *path;          /**< with the query */
  GBytes *body;              /**< sent with POST; NULL: the method is GET */
  const char *authorization; /**< value of the header; NULL: none */
  uint32_t timeout_ms;
  /** Uses a connection of its own. An answer on a connection that was used before may be a late one
   * to an earlier call. */
  bool own_connection;
} GsServiceCall;

typedef struct
{
  long status;      /**< 0: no whole answer arrived */
  const char *body; /**< valid until the next call */
  size_t length;
  bool maybe_sent; /**< the service may have received the call */
  /** Stated in a head that was received to the end, whatever the status and the body; 0: not
   * stated, or not as one number. */
  uint64_t era;
} GsServiceAnswer;

typedef struct GsServiceClient GsServiceClient;

GsServiceClient *gs_service_client_new (const GsServiceClientOptions *options);
void gs_service_client_free (GsServiceClient *client);

/** Makes CALL and waits for the answer. A POST is sent at most once. */
GsServiceAnswer gs_service_client_call (GsServiceClient *client, const GsServiceCall *call);

/** Closes the connections, so that the next call opens a new one. To be used after an answer that
 * does not fit its call. */
void gs_service_client_disconnect (GsServiceClient *client);

#endif
