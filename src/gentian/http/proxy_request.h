/**
 * NAME
 *   proxy_request - a caller's request from its arrival to its answer
 *
 * DESCRIPTION
 *   Executes the effects that the reducer emits for a request: makes its attempts one at a time,
 * classifies their answers, and leaves the answer for the connection to send. An answer larger than
 * GS_EXCHANGE_BUFFER_BYTES is streamed.
 */
#ifndef GS_PROXY_REQUEST_H
#define GS_PROXY_REQUEST_H

#include "../daemon/engine.h"
#include "address_lookup.h"
#include "answer_cache.h"
#include "caller_server.h"
#include "exchange.h"
#include "header_names.h"

enum
{
  GS_PROXY_REQUEST_HOST_MAX = 256,
  GS_PROXY_REQUEST_CACHE_KEY_MAX = GS_TICKET_TEXT_MAX + 16,
  GS_PROXY_REQUEST_ADDRESSES_MAX = 8, /* at which a request is known to have been */
};

typedef struct GsProxyRequest GsProxyRequest;

/** What all requests of an entry share. */
typedef struct
{
  GsEngine *engine;
  const GsHeaderNames *header_names;
  GsClient *client;
  GsAnswerCache *answer_cache;
  /** The answer, or more of a streamed one, is available, or the caller has disconnected. */
  void (*resume) (GsProxyRequest *request);
} GsProxyContext;

struct GsProxyRequest
{
  const GsProxyContext *context;
  GsCallerRequest *caller;
  const char *method;  /**< of the caller's head, as is the target; NULL until it is complete */
  const char *target;  /**< path with query, as sent */
  char *path;          /**< the target up to its query */
  GByteArray *body;    /**< at most one byte more than the limit, to detect that it is exceeded */
  int64_t received_us; /**< monotonic time at which the request was complete */
  GsRequestEvent event;
  char host[GS_PROXY_REQUEST_HOST_MAX];
  char cache_key[GS_PROXY_REQUEST_CACHE_KEY_MAX];     /**< in the answer cache; empty: not cached */
  uint64_t engine_id;                                 /**< number at the engine; 0: not opened */
  GQueue effects;                                     /**< of GsEffect, not executed yet */
  GsEffect attempt;                                   /**< the current attempt */
  GsExchange *exchange;                               /**< of the last attempt */
  uint64_t addresses[GS_PROXY_REQUEST_ADDRESSES_MAX]; /**< of its attempts so far */
  uint32_t n_addresses;
  bool attempt_running;
  bool late_reported;       /**< the reducer knows that the current attempt is late */
  bool attempted;           /**< the first attempt has started */
  bool streaming;           /**< the answer is passed on while it is received */
  bool stream_failed;       /**< the streamed answer did not reach the caller completely */
  char attempt_text[24];    /**< number of the attempt, which the answer must echo */
  GsResponse *response;     /**< the answer, until it is passed to the connection */
  bool answered;            /**< there is, or was, an answer */
  bool misframed;           /**< what follows on the connection may be a part of the request */
  bool http_1_0;            /**< the caller knows no chunks */
  bool submitted;           /**< the complete request has been received and handled */
  bool caller_disconnected; /**< the caller has closed its connection */
  GsAddressLookup *lookup;  /**< pending address lookup, or NULL */
};

/** Opens REQUEST at the engine, which then delivers the effects for it. */
void gs_proxy_request_open (GsProxyRequest *request);

/** Submits the request to the reducer. */
void gs_proxy_request_submit (GsProxyRequest *request);

/** Handles that the caller has closed its connection: cancels the attempt or the wait for one. */
void gs_proxy_request_caller_disconnected (GsProxyRequest *request);

/** Ends the attempt or the address lookup of a request without an answer, since the daemon exits:
 * it is answered as the verdict of its attempts allows. Streamed answers continue. RETURN VALUE:
 * whether an attempt was running. */
bool gs_proxy_request_stop (GsProxyRequest *request);

/** Ends whatever is pending and frees what REQUEST owns, but not REQUEST itself. */
void gs_proxy_request_clear (GsProxyRequest *request);

/** Answers with an error of the daemon's own: a JSON body with VERDICT and REASON. */
void gs_proxy_request_answer_error (GsProxyRequest *request,
                                    unsigned int status,
                                    GsVerdict verdict,
                                    const char *reason,
                                    uint32_t retry_after_ms);

/** Refuses a request that was not submitted to the reducer, as not run, and logs the refusal. */
void gs_proxy_request_refuse (GsProxyRequest *request,
                              unsigned int status,
                              const char *reason,
                              uint32_t retry_after_ms);

#endif
