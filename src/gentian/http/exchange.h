/**
 * NAME
 *   exchange - one request and its answer over a kept connection, by libcurl
 *
 * SYNOPSIS
 *   GsExchange *exchange = gs_exchange_new (client, &options);
 *   gs_exchange_start (exchange);
 *   ...                              the loop calls options.class->done
 *   if (gs_exchange_state (exchange) == GS_EXCHANGE_COMPLETE) ...
 *   gs_exchange_free (exchange);
 *
 * DESCRIPTION
 *   A connection carries one request at a time. libcurl sends a request again by itself when a kept
 *   connection turns out to be dead; the hook before sending refuses that, so the bytes of a
 * request leave at most once, and an exchange whose hook was never reached certainly sent nothing.
 * An answer counts as whole only when its length or its last chunk says so. After a failure, a
 * timeout or a cancellation the connection is closed. Small answers are held in memory; larger ones
 * are read piece by piece.
 */
#ifndef GS_EXCHANGE_H
#define GS_EXCHANGE_H

#include <glib.h>
#include <sys/types.h>

#include "../core/base.h"
#include "client.h"

enum
{
  GS_EXCHANGE_BUFFER_BYTES = 1024 * 1024, /**< an answer up to this size is held whole */
  GS_EXCHANGE_ECHO_MAX = 64,              /**< bytes of a value that the answer must echo */
};

typedef struct GsExchange GsExchange;

/** What an exchange tells its owner, from the loop; each may free the exchange. */
typedef struct
{
  /** It has reached a state other than GS_EXCHANGE_RUNNING. */
  void (*done) (void *data);
  /** A large answer has more to read, or has ended. */
  void (*readable) (void *data);
  /** There is no answer yet after late_us, and again after each late_interval_us. */
  void (*late) (void *data);
} GsExchangeClass;

/** Request of an exchange. The body must live until it is done; the rest is copied. */
typedef struct
{
  uint32_t ipv4; /**< host byte order */
  uint16_t port;
  const char *method;
  const char *target; /**< path with query */
  GPtrArray *headers; /**< "Name: value" */
  const void *body;
  size_t body_length;
  int64_t timeout_us;      /**< to the first byte of the answer, and between later ones */
  int64_t deadline_us;     /**< monotonic time at which it ends in any case; 0: none */
  const char *echo_header; /**< static header of an answer that names its request; NULL: none */
  const char *echo;        /**< an answer that names another than this is refused */
  int64_t late_us;         /**< without an answer for so long it is late; 0: never */
  int64_t late_interval_us;
  const GsExchangeClass *class;
  void *data; /**< of the class's functions */
} GsExchangeOptions;

typedef enum
{
  GS_EXCHANGE_RUNNING = 0,
  GS_EXCHANGE_COMPLETE,  /**< the whole answer is in memory */
  GS_EXCHANGE_STREAMING, /**< the answer has begun and is read with gs_exchange_read */
  GS_EXCHANGE_FAILED,    /**< see gs_exchange_outcome */
} GsExchangeState;

GsExchange *gs_exchange_new (GsClient *client, const GsExchangeOptions *options);

/** Returns the connection to the client where it may be used again. */
void gs_exchange_free (GsExchange *exchange);

/** Sends the request; the loop receives until the answer is whole, large, or has failed. */
void gs_exchange_start (GsExchange *exchange);

/** Gives the exchange up with OUTCOME. Nothing is called any more. */
void gs_exchange_cancel (GsExchange *exchange, GsOutcome outcome);

/** RETURN VALUE: true when bytes of the request may have left. */
bool gs_exchange_sent (const GsExchange *exchange);

GsExchangeState gs_exchange_state (const GsExchange *exchange);

/** RETURN VALUE: how the exchange ended; GS_OUTCOME_OK for any whole answer. */
GsOutcome gs_exchange_outcome (const GsExchange *exchange);

/** RETURN VALUE: HTTP status of the answer. */
long gs_exchange_status (const GsExchange *exchange);

/** RETURN VALUE: time to the first byte of the answer, in microseconds. */
int64_t gs_exchange_answer_us (const GsExchange *exchange);

/** RETURN VALUE: value of header NAME of the answer, or NULL. */
const char *gs_exchange_header (const GsExchange *exchange, const char *name);

/** Calls VISIT for each end-to-end header of the answer. */
void gs_exchange_headers (const GsExchange *exchange,
                          void (*visit) (const char *name, const char *value, void *data),
                          void *data);

/** RETURN VALUE: bytes held in memory; LENGTH gets their number. */
const void *gs_exchange_body (const GsExchange *exchange, size_t *length);

/** RETURN VALUE: length that a large answer states, or -1. */
int64_t gs_exchange_length (const GsExchange *exchange);

/** What gs_exchange_read returns where nothing can be read. */
enum
{
  GS_EXCHANGE_READ_END = 0,      /**< the answer was whole */
  GS_EXCHANGE_READ_BROKEN = -1,  /**< it is not whole */
  GS_EXCHANGE_READ_PENDING = -2, /**< `readable` is called when there is more */
};

/** Reads on in a large answer. RETURN VALUE: bytes read, or one of the above. */
ssize_t gs_exchange_read (GsExchange *exchange, char *out, size_t max);

/** RETURN VALUE: true when NAME is a header between two neighbours only. */
bool gs_header_is_hop_by_hop (const char *name);

#endif
