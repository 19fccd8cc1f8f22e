/**
 * NAME
 *   retry_bucket - token bucket that bounds retries to a share of the requests
 *
 * DESCRIPTION
 *   Each request adds a fraction of a token and each retry takes one token. Retries stay within the
 * share even when every attempt fails, so they cannot multiply the load. The bucket starts full, so
 * that pools with few requests can retry too. Header only. Tested by test/unit/test_retry_bucket.c.
 */
#ifndef GS_RETRY_BUCKET_H
#define GS_RETRY_BUCKET_H

#include "base.h"

#define GS_RETRY_BUCKET_TOKENS_PER_REQUEST 0.1 /**< sustained retries per request */
#define GS_RETRY_BUCKET_TOKENS_MAX 20.0        /**< capacity; allows this many retries in a burst */

typedef struct
{
  double tokens;
} GsRetryBucket;

static inline GsRetryBucket
gs_retry_bucket_full (void)
{
  return (GsRetryBucket){ .tokens = GS_RETRY_BUCKET_TOKENS_MAX };
}

/** Adds the tokens of one request. */
static inline void
gs_retry_bucket_earn (GsRetryBucket *bucket)
{
  bucket->tokens += GS_RETRY_BUCKET_TOKENS_PER_REQUEST;
  if (bucket->tokens > GS_RETRY_BUCKET_TOKENS_MAX)
    bucket->tokens = GS_RETRY_BUCKET_TOKENS_MAX;
}

/** Takes one token. RETURN VALUE: false when less than one is left. */
static inline bool
gs_retry_bucket_spend (GsRetryBucket *bucket)
{
  if (bucket->tokens < 1)
    return false;
  bucket->tokens -= 1;
  return true;
}

#endif
