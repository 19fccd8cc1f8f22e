/**
 * NAME
 *   head - heads of requests: what a caller's says, and what is passed on
 */
#ifndef GS_HEAD_H
#define GS_HEAD_H

#include "passage.h"

/** Reads host, right, hop and patience of the request. RETURN VALUE: reason of a refusal, or NULL.
 */
const char *gs_head_read (GsPassage *passage);

/** RETURN VALUE: headers ("Name: value") of the request for ATTEMPT. */
GPtrArray *gs_head_make (GsPassage *passage, const GsAttemptEffect *attempt);

/** RETURN VALUE: a header of the caller's request, or NULL. */
const char *gs_head_get (const GsPassage *passage, const char *name);

#endif
