/**
 * NAME
 *   caller_server - an HTTP/1 server for callers that may pipeline, driven by a libev loop
 *
 * DESCRIPTION
 *   Reads up to GS_CALLER_REQUESTS_MAX requests of a connection ahead and sends the responses in
 * their order. Requests are processed in their order: the oldest one at once; a later one, while an
 * earlier one has no response, only if the owner allows it (`may_overlap`), those before it are
 * being processed, and the bounds below allow it. Reading of a connection stops while any bound is
 * reached.
 *
 *   Once a connection is to be closed, no further request is read, and those that are not being
 * processed are dropped; the last response has "Connection: close". A caller that closes its side
 * of the connection, or resets it, has left: all its requests end.
 *
 *   No connection waits in the backlog. With max_connections open the server is full; it accepts
 * some more in excess, whose requests the owner should refuse, and closes all others as soon as
 * they are opened. It is also full while it cannot accept for lack of descriptors or memory. Not
 * thread-safe. No callback is called from within a function of this module but those that say so.
 */
#ifndef GS_CALLER_SERVER_H
#define GS_CALLER_SERVER_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "request_reader.h"
#include "response.h"

enum
{
  GS_CALLER_REQUESTS_MAX = 16, /**< of a connection, read and without a response */
  /** Requests of all connections that are read behind others. */
  GS_CALLER_BEHIND_MAX = 1024,
  /** Bytes of bodies and waiting responses of a connection from which on none is read. */
  GS_CALLER_HELD_BYTES_MAX = 1024 * 1024,
};

typedef struct GsCallerServer GsCallerServer;
typedef struct GsCallerConnection GsCallerConnection;

/** A request of a connection. The owner reads the fields, this module writes them. */
typedef struct
{
  GsCallerConnection *connection;
  void *owner;
  GsRequestReader *reader;
  const GsRequestHead *head;
  GsResponse *response; /**< NULL while there is none */
  size_t body_bytes;    /**< that the owner was given */
  int64_t complete_us;  /**< monotonic time at which it was */
  bool complete;        /**< it has been read completely */
  bool started;         /**< `process` was called */
  bool closes;          /**< the connection closes after its response */
  bool asked_to_go_on;  /**< the response with status 100 is sent, or is not needed */
  GList link;           /**< in the connection's list */
} GsCallerRequest;

/** Callbacks to the owner of the server, with the request's owner. */
typedef struct
{
  /** The first byte of a request was read. RETURN VALUE: its owner. */
  void *(*begun) (void *data, GsCallerRequest *request);
  /** The head is complete; may respond. Not called for a malformed head. */
  void (*head_complete) (void *owner);
  void (*body) (void *owner, const char *bytes, size_t length);
  /** The request is malformed; must respond. */
  void (*malformed) (void *owner, unsigned int status, const char *reason);
  /** Whether the complete request may be processed while an earlier one has no response. */
  bool (*may_overlap) (void *owner);
  /** The request is complete and its turn has come; may respond. */
  void (*process) (void *owner);
  /** The request is over; SENT: its response was sent completely. Frees the owner. */
  void (*finished) (void *owner, bool sent);
  /** Whether no connection stays open after the requests that are being processed. */
  bool (*is_closing) (void *data);
  /** The server has become full, or is no longer. It is not until a tenth of the connections that
   * make it full has been closed. */
  void (*full_changed) (void *data, bool full);
} GsCallerServerClass;

/** Construction options. */
typedef struct
{
  const GsCallerServerClass *class;
  void *data;
  struct ev_loop *loop;
  uint32_t ipv4; /**< host byte order */
  uint16_t port;
  uint32_t max_connections; /**< from this many on the server is full */
  /** Connections and the requests that are processed behind others, together. */
  uint32_t max_processed;
  uint32_t idle_s; /**< time after which an idle connection is closed */
} GsCallerServerOptions;

/** RETURN VALUE: a listening server, or NULL with ERROR when it cannot listen on the port. */
GsCallerServer *gs_caller_server_new (const GsCallerServerOptions *options, GError **error);

/** Stops listening; open connections stay open. */
void gs_caller_server_quiesce (GsCallerServer *server);

/** Sends what can be sent at once. Calls back; requests may end. */
void gs_caller_server_flush (GsCallerServer *server);

/** Handles what has arrived, then closes all connections. Calls back. */
void gs_caller_server_free (GsCallerServer *server);

/** Sets the response, which REQUEST owns from now on. CLOSES: the connection is to be closed after
 * it, and nothing more is read. Allowed once, also before the request is complete. */
void gs_caller_request_respond (GsCallerRequest *request, GsResponse *response, bool closes);

/** A streamed response has more to read, or has ended. */
void gs_caller_request_wake (GsCallerRequest *request);

/** Lets the connection be closed by the loop without a response. */
void gs_caller_request_abort (GsCallerRequest *request);

/** Drops the requests of the connection that are neither the oldest nor being processed, and reads
 * no further one: they count as not read. Calls back `finished` of these. */
void gs_caller_request_drop (GsCallerRequest *request);

/** RETURN VALUE: whether the responses to all earlier requests have been sent. */
bool gs_caller_request_is_oldest (const GsCallerRequest *request);

/** RETURN VALUE: whether the connection was opened while the server was full. */
bool gs_caller_request_is_excess (const GsCallerRequest *request);

/** RETURN VALUE: whether the caller has closed its side of the connection or reset it. Asks the
 * kernel: also true while bytes of the caller wait to be read. */
bool gs_caller_request_has_left (const GsCallerRequest *request);

/** Lets a close of the connection, also by the end of the process, be a reset, or not. RETURN
 * VALUE: 0, or an errno. */
int gs_caller_request_set_reset_on_close (const GsCallerRequest *request, bool reset);

#endif
