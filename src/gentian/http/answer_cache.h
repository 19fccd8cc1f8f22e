/**
 * NAME
 *   answer_cache - answers of requests with a permit, for callers that resend them
 *
 * DESCRIPTION
 *   A bounded cache of complete answers, looked up by ticket or idempotency key. The oldest answers
 * are evicted first. Thread-safe.
 */
#ifndef GS_ANSWER_CACHE_H
#define GS_ANSWER_CACHE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A cached answer. */
typedef struct
{
  uint64_t fingerprint; /**< of the request that it answers */
  long status;
  GPtrArray *headers; /**< name, value, name, value, ... */
  GBytes *body;
} GsCachedAnswer;

typedef struct GsAnswerCache GsAnswerCache;

/** RETURN VALUE: a cache of at most MAX_BYTES, counting bodies and a fixed overhead an answer. */
GsAnswerCache *gs_answer_cache_new (uint64_t max_bytes);
void gs_answer_cache_free (GsAnswerCache *cache);

/** Stores ANSWER under KEY, taking references, unless KEY already has an answer. */
void gs_answer_cache_put (GsAnswerCache *cache, const char *key, const GsCachedAnswer *answer);

/** RETURN VALUE: true with KEY's ANSWER, whose references the caller releases with
 * gs_cached_answer_clear; false when there is none. */
bool gs_answer_cache_get (GsAnswerCache *cache, const char *key, GsCachedAnswer *answer);

void gs_cached_answer_clear (GsCachedAnswer *answer);

#endif
