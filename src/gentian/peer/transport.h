/**
 * NAME
 *   peer - messages between daemons, by ZeroMQ and datagrams
 *
 * DESCRIPTION
 *   An event loop watches the sockets: a PULL socket for what comes in, and a PUSH socket for each
 * daemon that was spoken to lately. Quick messages go as datagrams where no keys are set: a home
 * speaks to every daemon of the fleet, and a connection to each would take 80 KB. Where keys are
 * set, CURVE encrypts both ways, and a ZAP handler lets in only holders of the fleet's key. A
 * message that cannot be sent at once is dropped; the protocols above expect losses.
 */
#ifndef GS_TRANSPORT_H
#define GS_TRANSPORT_H

#include <ev.h>
#include <glib.h>

#include "../core/member.h"

/** Takes a message in, on the loop's thread. */
typedef void (*GsTransportSink) (const char *bytes, size_t length, void *data);

typedef struct
{
  struct ev_loop *loop; /**< run by the thread that makes the peer */
  uint32_t ipv4;        /**< host byte order */
  uint16_t port;
  const char *public_key; /**< Z85; empty: no encryption */
  const char *secret_key; /**< Z85 */
  GsTransportSink sink;
  void *data;
} GsTransportOptions;

typedef struct GsTransport GsTransport;

/** RETURN VALUE: a started peer, or NULL with ERROR when the port or the keys do not work. */
GsTransport *gs_transport_new (const GsTransportOptions *options, GError **error);

/** Closes all sockets. */
void gs_transport_free (GsTransport *peer);

/** How a message travels. */
typedef enum
{
  GS_TRANSPORT_CONNECTION = 0,  /**< over a connection, which is not lost where a link is full */
  GS_TRANSPORT_PREFER_DATAGRAM, /**< as a datagram where it fits; it is repeated, or its loss costs
                                   little */
} GsTransportMode;

/** Queues BYTES for the daemon at TO. Thread-safe; takes ownership of BYTES. */
void
gs_transport_send (GsTransport *peer, const GsPeerAddress *to, GsTransportMode way, GBytes *bytes);

#endif
