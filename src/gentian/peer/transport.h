/**
 * NAME
 *   transport - sends and receives messages between daemons, by ZeroMQ and datagrams
 *
 * DESCRIPTION
 *   An event loop watches the sockets: a PULL socket that receives, and a PUSH socket for each
 * daemon to which something was sent recently. Messages that prefer a datagram are sent as one
 * where no keys are set: a home communicates with every daemon of the fleet, and each connection
 * would take 80 KB. Where keys are set, CURVE encrypts the connections in both directions, and a
 * ZAP handler accepts only clients that hold the fleet's key. A message that cannot be sent
 * immediately is dropped; the protocols above tolerate lost messages.
 */
#ifndef GS_TRANSPORT_H
#define GS_TRANSPORT_H

#include <ev.h>
#include <glib.h>

#include "../core/member.h"

/** Receives a message, on the loop's thread. */
typedef void (*GsTransportHandler) (const char *bytes, size_t length, void *data);

/** Receives a message that was passed to the network, on the loop's thread. */
typedef void (*GsTransportSentHandler) (const GsPeerAddress *to,
                                        const char *bytes,
                                        size_t length,
                                        void *data);

typedef struct
{
  struct ev_loop *loop; /**< run by the thread that creates the transport */
  uint32_t ipv4;        /**< address to listen on, in host byte order */
  uint16_t port;
  const char *public_key; /**< Z85; empty: no encryption */
  const char *secret_key; /**< Z85 */
  GsTransportHandler message_handler;
  GsTransportSentHandler sent_handler; /**< for counters; NULL: none */
  void *data;
} GsTransportOptions;

typedef struct GsTransport GsTransport;

/** RETURN VALUE: a started transport, or NULL with ERROR when the port or the keys are unusable. */
GsTransport *gs_transport_new (const GsTransportOptions *options, GError **error);

/** Passes queued messages to the sockets and closes these; what is still unsent is discarded. */
void gs_transport_free (GsTransport *transport);

/** How a message is sent. */
typedef enum
{
  GS_TRANSPORT_CONNECTION = 0,  /**< over TCP, which retransmits when a network link is full */
  GS_TRANSPORT_PREFER_DATAGRAM, /**< as a datagram if it fits into one and no keys are set; for
                                 * messages that are repeated or whose loss costs little */
} GsTransportMode;

/** Queues BYTES for the daemon at TO. Thread-safe; takes ownership of BYTES. */
void gs_transport_send (GsTransport *transport,
                        const GsPeerAddress *to,
                        GsTransportMode mode,
                        GBytes *bytes);

#endif
