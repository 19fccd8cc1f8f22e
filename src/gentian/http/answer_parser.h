/**
 * NAME
 *   answer_parser - framing of one HTTP/1 answer, and whether its end is proved
 *
 * SYNOPSIS
 *   GsAnswerParser *parser = gs_answer_parser_new (&options);
 *   consumed = gs_answer_parser_feed (parser, bytes, length, body);
 *   if (gs_answer_parser_state (parser) == GS_ANSWER_COMPLETE && consumed < length) ...
 *   gs_answer_parser_end (parser);   the server has closed its side of the connection
 *
 * DESCRIPTION
 *   Reads the bytes that a server sends after one request, in pieces of any size, with the same
 * result for every way to split them. No input or output of its own.
 *
 *   An answer is complete when its end is proved: the stated length, the last chunk with the end of
 * its trailers, a status or method without a body, or, where neither a length nor chunks are
 * stated, the end of the connection after the complete head. Up to eight informational answers
 * (1xx) are skipped. Headers come from the head only; trailers are checked and dropped.
 *
 *   Whatever is ambiguous is malformed, because the two sides could disagree on where the answer
 * ends: a repeated or invalid Content-Length, a length beside Transfer-Encoding, a transfer coding
 * other than `chunked`, a body stated for a status that has none, lines that do not end with CRLF,
 * folded lines, a status line behind the beginning of another line, names with other characters
 * than those of a token, an unexpected status 101.
 */
#ifndef GS_ANSWER_PARSER_H
#define GS_ANSWER_PARSER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  GS_ANSWER_HEADERS_MAX = 100,           /**< headers, and trailers, of one answer */
  GS_ANSWER_HEAD_BYTES_MAX = 65536,      /**< bytes of all heads and trailers together */
  GS_ANSWER_CHUNK_LINE_BYTES_MAX = 4096, /**< bytes of a chunk's size with its extensions */
};

typedef struct GsAnswerParser GsAnswerParser;

/** Construction options. */
typedef struct
{
  bool head_request; /**< the answer is to HEAD: it has no body, whatever length it states */
} GsAnswerParserOptions;

typedef enum
{
  GS_ANSWER_HEAD = 0,   /**< the head of the final answer has not been read completely */
  GS_ANSWER_BODY,       /**< the head is complete, the end of the answer has not been reached */
  GS_ANSWER_COMPLETE,   /**< the end of the answer is proved */
  GS_ANSWER_INCOMPLETE, /**< the connection ended before */
  GS_ANSWER_MALFORMED,  /**< see gs_answer_parser_reason */
} GsAnswerState;

/** How the answer states its end. */
typedef enum
{
  GS_ANSWER_FRAMING_UNKNOWN = 0, /**< the head is not complete */
  GS_ANSWER_FRAMING_NO_BODY,
  GS_ANSWER_FRAMING_LENGTH,
  GS_ANSWER_FRAMING_CHUNKED,
  GS_ANSWER_FRAMING_CLOSE, /**< it ends with the connection */
} GsAnswerFraming;

GsAnswerParser *gs_answer_parser_new (const GsAnswerParserOptions *options);
void gs_answer_parser_free (GsAnswerParser *parser);

/** Parses LENGTH BYTES and appends what belongs to the body to BODY. RETURN VALUE: number of bytes
 * consumed. Fewer than LENGTH: the answer is complete or malformed, and the rest does not belong to
 * it. */
size_t gs_answer_parser_feed (GsAnswerParser *parser,
                              const uint8_t *bytes,
                              size_t length,
                              GByteArray *body);

/** The server has closed its side in an orderly way (not by a reset). The answer becomes complete
 * if it ends with the connection, and incomplete if it was neither complete nor malformed. */
void gs_answer_parser_end (GsAnswerParser *parser);

GsAnswerState gs_answer_parser_state (const GsAnswerParser *parser);

/** RETURN VALUE: static text that says why the answer is malformed or incomplete, one word with
 * hyphens, or NULL. */
const char *gs_answer_parser_reason (const GsAnswerParser *parser);

GsAnswerFraming gs_answer_parser_framing (const GsAnswerParser *parser);

/** RETURN VALUE: static name of FRAMING for logs: unknown, no-body, length, chunked, close. */
const char *gs_answer_framing_name (GsAnswerFraming framing);

/** RETURN VALUE: status of the final answer, 0 before its status line has been read. */
uint16_t gs_answer_parser_status (const GsAnswerParser *parser);

/** RETURN VALUE: stated length of the body in bytes, or -1. */
int64_t gs_answer_parser_length (const GsAnswerParser *parser);

/** RETURN VALUE: whether the server keeps the connection open after this answer: by version and
 * Connection header, and never for one that ends with the connection. False while the head is not
 * complete, and for an answer that is incomplete or malformed. */
bool gs_answer_parser_keeps_connection (const GsAnswerParser *parser);

/** RETURN VALUE: headers of the final answer, all of them once its head is complete: name, value,
 * name, value, ... in their order, values without surrounding whitespace. Owned by PARSER. */
const GPtrArray *gs_answer_parser_headers (const GsAnswerParser *parser);

#endif
