/**
 * NAME
 *   lost_requests - contents of requests that may crash upstreams, by lost connections
 *
 * DESCRIPTION
 *   A request whose connection was lost at several upstreams, or after which upstreams were
 * unreachable, is refused for a while; one that was refused for lost connections is under
 * observation after that and is not retried. Requests are identified by the fingerprint of their
 * content. The schedulers of the slices of a pool tell each other what they learned, so that the
 * bound holds for the pool. Pure: no I/O, no clock. Tested by test/unit/test_scheduler.c.
 */
#ifndef GS_LOST_REQUESTS_H
#define GS_LOST_REQUESTS_H

#include "base.h"

enum
{
  GS_LOSSES_MAX = 16, /**< kept for the other schedulers; further ones are not told */
};

typedef enum
{
  GS_LOSS_CONNECTION = 0, /**< the connection was lost at the upstream */
  GS_LOSS_CRASH,          /**< and the upstream was unreachable right after */
  GS_LOSS_ANSWERED,       /**< a suspect request was answered after all */
} GsLossKind;

/** What a scheduler tells those of the other slices. */
typedef struct
{
  GsLossKind kind;
  uint64_t fingerprint;
  uint64_t upstream; /**< key; 0 if answered */
} GsLoss;

typedef struct GsLostRequests GsLostRequests;

/** SHARED: keeps what it learns for gs_lost_requests_next. */
GsLostRequests *gs_lost_requests_new (bool shared);
void gs_lost_requests_free (GsLostRequests *requests);

/** The connection of a request was lost at UPSTREAM. */
void gs_lost_requests_add (GsLostRequests *requests,
                           uint64_t upstream,
                           uint64_t fingerprint,
                           int64_t now_us);

/** UPSTREAM is unreachable: the requests that it lost just before may have crashed it. */
void gs_lost_requests_confirm (GsLostRequests *requests, uint64_t upstream, int64_t now_us);

/** A request was answered. */
void gs_lost_requests_clear (GsLostRequests *requests, uint64_t fingerprint);

/** RETURN VALUE: whether a request with FINGERPRINT must not be sent to an upstream. */
bool gs_lost_requests_must_refuse (const GsLostRequests *requests,
                                   uint64_t fingerprint,
                                   bool is_retry,
                                   int64_t now_us);

/** RETURN VALUE: true and LOSS, or false when there is no more to tell. */
bool gs_lost_requests_next (GsLostRequests *requests, GsLoss *loss);

/** Applies what another scheduler told. */
void gs_lost_requests_apply (GsLostRequests *requests, const GsLoss *loss, int64_t now_us);

#endif
