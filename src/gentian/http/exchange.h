/**
 * NAME
 *   exchange - one HTTP/1.1 request and its answer over a reusable connection
 *
 * SYNOPSIS
 *   GsExchange *exchange = gs_exchange_new (client, &options);
 *   gs_exchange_start (exchange);
 *   ...                              the event loop calls options.class->done
 *   if (gs_exchange_state (exchange) == GS_EXCHANGE_COMPLETE) ...
 *   gs_exchange_free (exchange);
 *
 * DESCRIPTION
 *   A connection carries one request at a time, and a request is sent at most once. An exchange
 * whose gs_exchange_sent is false has sent nothing.
 *
 *   An answer is complete only when its end is proved (see answer_parser; `allow_unframed` of
 * GsClientOptions admits answers that end with their connection). It is the answer to this request
 * only if it echoes `echo`, or if it is the first one on its connection. An answer that names an
 * earlier request of the connection is dropped, and the own one is awaited behind it. A connection
 * is kept only after a complete answer that echoes and that nothing precedes or follows; bytes that
 * come later go with the connection. Answers of up to GS_EXCHANGE_BUFFER_BYTES are held in memory;
 * larger ones are streamed with gs_exchange_read.
 *
 *   A connection that is lost after the request was sent and before the answer began starts a crash
 * check: another connection to the upstream is attempted. The outcome is GS_OUTCOME_CRASHED if that
 * fails, otherwise GS_OUTCOME_CLOSED. `skip_crash_check` of GsClientOptions turns the check off.
 */
#ifndef GS_EXCHANGE_H
#define GS_EXCHANGE_H

#include <glib.h>
#include <sys/types.h>

#include "../core/base.h"
#include "client.h"

enum
{
  GS_EXCHANGE_BUFFER_BYTES = 1024 * 1024, /**< answers of up to this size are held in memory */
  GS_EXCHANGE_SCARCE_BYTES = 64 * 1024, /**< the same while the client's max_held_bytes are held */
};

typedef struct GsExchange GsExchange;

/** Callbacks to the owner, from the event loop; each may free the exchange. */
typedef struct
{
  /** The exchange has left GS_EXCHANGE_RUNNING. */
  void (*done) (void *data);
  /** A streamed answer has more to read, or has ended. */
  void (*readable) (void *data);
  /** No answer has begun after late_us; called again every late_interval_us. */
  void (*late) (void *data);
} GsExchangeClass;

/** Request of an exchange. The body must live as long as the exchange; the rest is copied. */
typedef struct
{
  uint32_t ipv4; /**< host byte order */
  uint16_t port;
  const char *method;
  const char *target; /**< path with query */
  GPtrArray *headers; /**< "Name: value"; Host is added if it is missing */
  const void *body;
  size_t body_length;
  int64_t timeout_us;      /**< limit to the first byte of the answer, then without progress */
  int64_t deadline_us;     /**< monotonic time at which a sent request fails; 0: none */
  const char *echo_header; /**< header by which an answer names its request, static; NULL: none */
  const char *echo;        /**< value that the header has in the answer to this request */
  bool new_connection;     /**< use none that has carried a request before */
  int64_t late_us;         /**< time after which the answer is late; 0: never */
  int64_t late_interval_us;
  const GsExchangeClass *class;
  void *data; /**< argument of the callbacks */
} GsExchangeOptions;

typedef enum
{
  GS_EXCHANGE_RUNNING = 0,
  GS_EXCHANGE_COMPLETE,  /**< the complete answer is in memory */
  GS_EXCHANGE_STREAMING, /**< the answer has begun and is read with gs_exchange_read */
  GS_EXCHANGE_FAILED,    /**< see gs_exchange_outcome */
} GsExchangeState;

GsExchange *gs_exchange_new (GsClient *client, const GsExchangeOptions *options);

/** Ends EXCHANGE. Its connection is kept for reuse or closed. */
void gs_exchange_free (GsExchange *exchange);

/** Sends the request. The event loop receives the answer and calls `done`. */
void gs_exchange_start (GsExchange *exchange);

/** Cancels the exchange with OUTCOME. No callback is called afterwards. */
void gs_exchange_cancel (GsExchange *exchange, GsOutcome outcome);

/** RETURN VALUE: true when bytes of the request may have been sent. */
bool gs_exchange_sent (const GsExchange *exchange);

GsExchangeState gs_exchange_state (const GsExchange *exchange);

/** RETURN VALUE: how the exchange ended; GS_OUTCOME_OK for any complete answer. */
GsOutcome gs_exchange_outcome (const GsExchange *exchange);

/** RETURN VALUE: HTTP status of the answer. */
long gs_exchange_status (const GsExchange *exchange);

/** RETURN VALUE: time to the first byte of the answer, in microseconds; 0: none received. */
int64_t gs_exchange_answer_us (const GsExchange *exchange);

/** RETURN VALUE: value of header NAME of the answer, or NULL. */
const char *gs_exchange_header (const GsExchange *exchange, const char *name);

/** Calls VISIT for each end-to-end header of the answer. */
void gs_exchange_headers (const GsExchange *exchange,
                          void (*visit) (const char *name, const char *value, void *data),
                          void *data);

/** RETURN VALUE: the answer's body as far as it is held in memory, with its LENGTH in bytes. */
const void *gs_exchange_body (const GsExchange *exchange, size_t *length);

/** The body of an answer. It counts as held by its client, which must outlive it. */
typedef struct
{
  GsClient *client;
  GByteArray *bytes;
} GsAnswerBody;

/** Takes the body out of EXCHANGE, which then has none. Free it with gs_answer_body_free. */
GsAnswerBody *gs_exchange_take_body (GsExchange *exchange);
void gs_answer_body_free (GsAnswerBody *body);

/** RETURN VALUE: the answer's Content-Length in bytes, or -1 where it has none. */
int64_t gs_exchange_length (const GsExchange *exchange);

/** RETURN VALUE: static name of how the answer states its end: unknown (its head is not complete),
 * no-body, length, chunked, close. */
const char *gs_exchange_framing (const GsExchange *exchange);

/** RETURN VALUE: static text that says why the answer that had begun is not used, or NULL. */
const char *gs_exchange_discard_reason (const GsExchange *exchange);

/** RETURN VALUE: whether the connection had carried other requests before. */
bool gs_exchange_reused_connection (const GsExchange *exchange);

/** Return values of gs_exchange_read when nothing can be read. */
enum
{
  GS_EXCHANGE_READ_END = 0,      /**< the complete answer has been read */
  GS_EXCHANGE_READ_BROKEN = -1,  /**< the transfer ended before the answer was complete */
  GS_EXCHANGE_READ_PENDING = -2, /**< `readable` is called when there is more */
};

/** Reads at most MAX bytes of a streamed answer. RETURN VALUE: number of bytes, or one of the
 * above. */
ssize_t gs_exchange_read (GsExchange *exchange, char *out, size_t max);

/** RETURN VALUE: true when NAME is a hop-by-hop header, which is not forwarded. */
bool gs_header_is_hop_by_hop (const char *name);

#endif
