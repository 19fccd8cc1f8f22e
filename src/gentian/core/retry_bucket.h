/**
 * NAME
 *   budget - token bucket that bounds retries to a share of the requests
 *
 * DESCRIPTION
 *   Each request adds a fraction of a token; each retry takes one. When everything fails, retries
 * stay within the share, so they never multiply the load. A small reserve lets idle pools retry at
 * all. Header only. Tested by test/unit/test_queue.c.
 */
#ifndef GS_RETRY_BUCKET_H
#define GS_RETRY_BUCKET_H

#include "base.h"

#define GS_RETRY_BUCKET_TOKENS_PER_REQUEST 0.1 /**< retries for each request */
#define GS_RETRY_BUCKET_TOKENS_MAX 20.0        /**< tokens kept at most */

typedef struct
{
  double tokens;
} GsRetryBucket;

static inline GsRetryBucket
gs_retry_bucket_full (void)
{
  return (GsRetryBucket){ .tokens = GS_RETRY_BUCKET_TOKENS_MAX };
}

/** Adds what one request earns. */
static inline void
gs_retry_bucket_earn (GsRetryBucket *budget)
{
  budget->tokens += GS_RETRY_BUCKET_TOKENS_PER_REQUEST;
  if (budget->tokens > GS_RETRY_BUCKET_TOKENS_MAX)
    budget->tokens = GS_RETRY_BUCKET_TOKENS_MAX;
}

/** Takes one token. RETURN VALUE: false when there is none. */
static inline bool
gs_retry_bucket_spend (GsRetryBucket *budget)
{
  if (budget->tokens < 1)
    return false;
  budget->tokens -= 1;
  return true;
}

#endif
