/**
 * NAME
 *   kept - answers of never-repeat requests, kept for resends
 *
 * DESCRIPTION
 *   A bounded memory of whole answers by right (ticket or key). The oldest go first. Thread-safe.
 */
#ifndef GS_ANSWER_CACHE_H
#define GS_ANSWER_CACHE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A kept answer. */
typedef struct
{
  uint64_t fingerprint; /**< of the request that it answers */
  long status;
  GPtrArray *headers; /**< name, value, name, value, ... */
  GBytes *body;
} GsCachedAnswer;

typedef struct GsAnswerCache GsAnswerCache;

/** RETURN VALUE: a memory of at most MAX_BYTES of bodies. */
GsAnswerCache *gs_answer_cache_new (uint64_t max_bytes);
void gs_answer_cache_free (GsAnswerCache *cache);

/** Keeps ANSWER under RIGHT; takes references. */
void gs_answer_cache_put (GsAnswerCache *cache, const char *right, const GsCachedAnswer *answer);

/** RETURN VALUE: true and ANSWER (references for the caller to drop) when RIGHT's answer is kept.
 */
bool gs_answer_cache_get (GsAnswerCache *cache, const char *right, GsCachedAnswer *answer);

void gs_cached_answer_clear (GsCachedAnswer *answer);

#endif
