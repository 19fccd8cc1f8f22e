/**
 * NAME
 *   answer_copy - finds an answer within the body of another
 *
 * DESCRIPTION
 *   A server that breaks an answer off and sends it again on the same connection fills the stated
 * length of the first one with bytes of the second. The body is searched as it comes, in memory
 * that does not depend on its length and in time that is linear in it.
 */
#ifndef GS_ANSWER_COPY_H
#define GS_ANSWER_COPY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct GsAnswerCopy GsAnswerCopy;

/** RETURN VALUE: a search for answers that name their request by the header ECHO_HEADER, a static
 * string, with value ECHO. */
GsAnswerCopy *gs_answer_copy_new (const char *echo_header, const char *echo);
void gs_answer_copy_free (GsAnswerCopy *copy);

/** Searches the next LENGTH bytes of the body. RETURN VALUE: whether a status line and, behind it,
 * a header line that names the request have been found. */
bool gs_answer_copy_feed (GsAnswerCopy *copy, const uint8_t *bytes, size_t length);

/** The same when the body has ended; BYTES came behind it. The status line begins in the body, the
 * header may follow in BYTES. */
bool gs_answer_copy_end (GsAnswerCopy *copy, const uint8_t *bytes, size_t length);

/** RETURN VALUE: whether BYTES contain what an answer begins with. */
bool gs_answer_copy_begins (const uint8_t *bytes, size_t length);

#endif
