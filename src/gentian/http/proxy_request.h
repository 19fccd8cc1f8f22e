/**
 * NAME
 *   request - one request on its way through this daemon
 *
 * DESCRIPTION
 *   Carries out the effects that the reducer has for a request: makes its attempts one at a time,
 * judges what they bring, and leaves the answer for the connection to send. A large answer is
 * handed on piece by piece. While the request waits, its connection is suspended.
 */
#ifndef GS_PROXY_REQUEST_H
#define GS_PROXY_REQUEST_H

#include <microhttpd.h>

#include "../daemon/engine.h"
#include "header_names.h"
#include "address_lookup.h"
#include "exchange.h"
#include "answer_cache.h"

enum
{
  GS_PROXY_REQUEST_HOST_MAX = 256,
  GS_PROXY_REQUEST_CACHE_KEY_MAX
  = GS_TICKET_TEXT_MAX + 16, /**< of the name that an answer is kept under */
};

typedef struct GsProxyRequest GsProxyRequest;

/** What all requests of an entry share. */
typedef struct
{
  GsEngine *engine;
  const GsHeaderNames *header_names;
  GsClient *client;
  GsAnswerCache *answer_cache;
  /** The request has an answer, or more of it: its connection may be resumed. */
  void (*resume) (GsProxyRequest *request);
  /** It has to wait: nothing is called for its connection until it is resumed. */
  void (*suspend) (GsProxyRequest *request);
} GsProxyContext;

struct GsProxyRequest
{
  const GsProxyContext *context;
  struct MHD_Connection *connection;
  char *method;
  char *target;        /**< path with query, as sent */
  char *path;          /**< the target up to its query */
  GByteArray *body;    /**< at most what the limits allow, and a byte */
  int64_t received_us; /**< when it had been read */
  GsRequestEvent event;
  char host[GS_PROXY_REQUEST_HOST_MAX];
  char cache_key[GS_PROXY_REQUEST_CACHE_KEY_MAX]; /**< name under which the answer is kept; empty:
                                                 not kept */
  uint64_t engine_id;                             /**< number at the engine; 0: not opened */
  GQueue effects;                                 /**< of GsEffect, to be carried out */
  GsEffect attempt;                               /**< the attempt that runs */
  GsExchange *exchange;                           /**< of the last attempt */
  bool attempt_running;                           /**< the exchange is under way */
  bool late_reported; /**< the reducer was told that the attempt is late */
  bool attempted;     /**< a first attempt has begun */
  bool streaming;     /**< a large answer is handed on */
  bool stream_failed;
  char attempt_text[24];         /**< number of the attempt, for its echo */
  struct MHD_Response *response; /**< the answer, once there is one */
  unsigned int status;           /**< of the answer */
  bool head_received;            /**< the head has been taken */
  bool submitted;                /**< the whole request has been taken */
  bool suspended;                /**< the connection is */
  bool caller_left;
  GsAddressLookup *lookup; /**< the address question under way */
  GList link;              /**< in the entry's list of suspended requests */
};

/** Opens PASSAGE at the engine, so that its effects reach it. */
void gs_proxy_request_open (GsProxyRequest *request);

/** Hands the request to the reducer. */
void gs_proxy_request_submit (GsProxyRequest *request);

/** The caller has closed its connection: ends the attempt, or the wait for one. */
void gs_proxy_request_caller_left (GsProxyRequest *request);

/** Ends what is under way and frees what the request owns. */
void gs_proxy_request_clear (GsProxyRequest *request);

/** Refuses or fails the request with an answer of the daemon's own. */
void gs_proxy_request_answer_error (GsProxyRequest *request,
                                    unsigned int status,
                                    GsVerdict verdict,
                                    const char *reason,
                                    uint32_t retry_after_ms);

/** Refuses a request that the reducer has not seen, with a log line. */
void gs_proxy_request_refuse (GsProxyRequest *request,
                              unsigned int status,
                              const char *reason,
                              uint32_t retry_after_ms);

#endif
