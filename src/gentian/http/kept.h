/**
 * NAME
 *   kept - answers of never-repeat requests, kept for resends
 *
 * DESCRIPTION
 *   A bounded memory of whole answers by right (ticket or key). The oldest go first. Thread-safe.
 */
#ifndef GS_KEPT_H
#define GS_KEPT_H

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
} GsKeptAnswer;

typedef struct GsKept GsKept;

/** RETURN VALUE: a memory of at most MAX_BYTES of bodies. */
GsKept *gs_kept_new (uint64_t max_bytes);
void gs_kept_free (GsKept *kept);

/** Keeps ANSWER under RIGHT; takes references. */
void gs_kept_put (GsKept *kept, const char *right, const GsKeptAnswer *answer);

/** RETURN VALUE: true and ANSWER (references for the caller to drop) when RIGHT's answer is kept.
 */
bool gs_kept_get (GsKept *kept, const char *right, GsKeptAnswer *answer);

void gs_kept_answer_clear (GsKeptAnswer *answer);

#endif
