/**
 * NAME
 *   caller_connection - a connection of caller_server: requests in, responses out
 *
 * DESCRIPTION
 *   For caller_server only. One descriptor is watched all the time for what the caller sends, which
 * also tells that it has left, but for the time in which reading is paused.
 */
#ifndef GS_CALLER_CONNECTION_H
#define GS_CALLER_CONNECTION_H

#include "caller_server.h"

enum
{
  GS_CALLER_READ_BYTES = 16 * 1024,  /**< read from a socket at once, but for a body */
  GS_CALLER_BLOCK_BYTES = 64 * 1024, /**< of a body, read at once */
};

struct GsCallerConnection
{
  GsCallerServer *server;
  int fd;
  ev_io io;
  int watched;         /**< events that `io` watches */
  GQueue requests;     /**< of GsCallerRequest, the oldest first */
  GByteArray *waiting; /**< bytes that were received and not parsed; NULL: none */
  GString *out;        /**< bytes to send before the body in memory; NULL: none */
  size_t out_sent;
  size_t body_sent;
  size_t held_bytes;     /**< of the bodies of its requests */
  size_t response_bytes; /**< of responses in memory */
  bool head_written;     /**< the oldest response's head is in `out` or was sent */
  bool stream_ended;     /**< the oldest response's body was read completely */
  bool blocked;          /**< the socket takes no more */
  bool excess;           /**< opened while the server was full */
  bool read_ended;       /**< no further request is read */
  bool discards;         /**< bytes came behind the last request */
  bool aborted;          /**< to be closed */
  bool lingers;          /**< all is sent; waits for the caller's close */
  bool dirty;            /**< in the server's list of connections to flush */
  uint32_t n_behind;     /**< its requests but the oldest, as counted by the server */
  int64_t active_us;     /**< monotonic time of the last input or output */
  GList link;            /**< in the server's list of connections */
  GList dirty_link;
};

struct GsCallerServer
{
  struct ev_loop *loop;
  GsCallerServerOptions options;
  int listener; /**< -1: none */
  ev_io accept_io;
  int64_t accept_paused_us; /**< since when none is accepted for lack of a resource; 0: not */
  ev_prepare flush;         /**< fed when connections are dirty; never started */
  ev_timer sweep;           /**< closes idle connections */
  ev_timer accept_retry;    /**< runs while accepting is paused */
  ev_timer check;           /**< looks for callers that left while reading is paused */
  GQueue idle;              /**< of connections, the least recently active first */
  GQueue brief;             /**< the same of those with a short idle time */
  GQueue dirty;
  uint32_t n_connections;
  uint32_t n_behind;      /**< requests that are read behind others */
  uint32_t n_overlapping; /**< those of them that are being processed */
  bool full;
  time_t date_of; /**< second that `date` states */
  char date[40];
  char block[GS_CALLER_BLOCK_BYTES]; /**< scratch of one call */
};

/** Adds a connection of the socket FD. */
void gs_caller_connection_new (GsCallerServer *server, int fd, bool excess);

/** Reads what has arrived, and processes what may be. */
void gs_caller_connection_receive (GsCallerConnection *connection);

/** Sends what can be sent, and processes what may be. CONNECTION may be freed. */
void gs_caller_connection_flush (GsCallerConnection *connection);

/** Ends all requests, closes the socket and frees CONNECTION. */
void gs_caller_connection_close (GsCallerConnection *connection);

/** RETURN VALUE: whether CONNECTION waits for its owner, not for its caller. */
bool gs_caller_connection_awaits_response (const GsCallerConnection *connection);

/** The server's part. RETURN VALUE: the list that holds CONNECTION, by its idle time. */
GQueue *gs_caller_server_list_of (const GsCallerConnection *connection);
/** RETURN VALUE: the value of the Date header. */
const char *gs_caller_server_date (GsCallerServer *server);
void gs_caller_server_update_full (GsCallerServer *server);
/** Lets a connection without activity be closed soon. */
void gs_caller_server_shorten (GsCallerConnection *connection);
/** Notes an input or output. */
void gs_caller_server_touch (GsCallerConnection *connection);
/** Checks the callers of paused connections from now on. */
void gs_caller_server_start_check (GsCallerServer *server);

#endif
