/**
 * NAME
 *   answer_copy - finds an answer within the body of another
 *
 * DESCRIPTION
 *   A server that breaks an answer off and sends it again on the same connection fills the stated
 * length of the first one with bytes of the second. The time is linear in the number of bytes.
 */
#ifndef GS_ANSWER_COPY_H
#define GS_ANSWER_COPY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  const uint8_t *body;
  size_t body_length;
  const uint8_t *surplus; /**< bytes that came behind the body */
  size_t surplus_length;
  const char *echo_header; /**< header by which an answer names its request */
  const char *echo;        /**< value that it has in the answer to this request */
} GsAnswerCopyOptions;

/** RETURN VALUE: whether a status line begins within the body and the header that names the request
 * follows it, in the body or in the surplus. */
bool gs_answer_copy_found (const GsAnswerCopyOptions *options);

/** RETURN VALUE: whether BYTES contain what an answer begins with. */
bool gs_answer_copy_begins (const uint8_t *bytes, size_t length);

#endif
