/* For tests of http/answer_parser: reads an answer in pieces and compares two readings. */
#ifndef ANSWER_READING_H
#define ANSWER_READING_H

#include <string.h>

#include "../../src/gentian/http/answer_parser.h"

typedef struct
{
  GsAnswerParser *parser;
  GByteArray *body;
  size_t consumed;
} Reading;

static inline Reading
reading_new (bool head_request)
{
  return (Reading){ .parser = gs_answer_parser_new (
                        &(GsAnswerParserOptions){ .head_request = head_request }),
                    .body = g_byte_array_new () };
}

static inline void
reading_free (Reading *reading)
{
  gs_answer_parser_free (reading->parser);
  g_byte_array_unref (reading->body);
}

static inline void
reading_feed (Reading *reading, const char *bytes, size_t length)
{
  reading->consumed
      += gs_answer_parser_feed (reading->parser, (const uint8_t *)bytes, length, reading->body);
}

static inline GsAnswerState
reading_state (const Reading *reading)
{
  return gs_answer_parser_state (reading->parser);
}

static inline bool
reading_is_ended (const Reading *reading)
{
  return reading_state (reading) != GS_ANSWER_HEAD && reading_state (reading) != GS_ANSWER_BODY;
}

/* Feeds the first piece, then what follows it unless the answer has ended. */
static inline Reading
reading_in_two (bool head_request, const char *bytes, size_t length, size_t split)
{
  Reading reading = reading_new (head_request);

  reading_feed (&reading, bytes, split);
  if (!reading_is_ended (&reading))
    reading_feed (&reading, &bytes[split], length - split);
  return reading;
}

static inline Reading
reading_whole (bool head_request, const char *bytes, size_t length)
{
  return reading_in_two (head_request, bytes, length, length);
}

/* Feeds single bytes from heap blocks of that size, so that a sanitizer sees a read beyond. */
static inline Reading
reading_bytewise (bool head_request, const char *bytes, size_t length)
{
  Reading reading = reading_new (head_request);
  char *byte = g_malloc (1);

  for (size_t i = 0; i < length && !reading_is_ended (&reading); i++)
    {
      *byte = bytes[i];
      reading_feed (&reading, byte, 1);
    }
  g_free (byte);
  return reading;
}

static inline bool
reading_has_body (const Reading *reading, const void *body, size_t length)
{
  return reading->body->len == length
         && (length == 0 || memcmp (reading->body->data, body, length) == 0);
}

static inline bool
reading_has_same_headers (const Reading *a, const Reading *b)
{
  const GPtrArray *headers_a = gs_answer_parser_headers (a->parser);
  const GPtrArray *headers_b = gs_answer_parser_headers (b->parser);

  if (headers_a->len != headers_b->len)
    return false;
  for (guint i = 0; i < headers_a->len; i++)
    if (strcmp (g_ptr_array_index (headers_a, i), g_ptr_array_index (headers_b, i)) != 0)
      return false;
  return true;
}

/* RETURN VALUE: name of the first property in which the readings differ, or NULL. */
static inline const char *
reading_difference (const Reading *a, const Reading *b)
{
  if (reading_state (a) != reading_state (b))
    return "state";
  if (a->consumed != b->consumed)
    return "consumed";
  if (!reading_has_body (a, b->body->data, b->body->len))
    return "body";
  if (g_strcmp0 (gs_answer_parser_reason (a->parser), gs_answer_parser_reason (b->parser)) != 0)
    return "reason";
  if (gs_answer_parser_framing (a->parser) != gs_answer_parser_framing (b->parser))
    return "framing";
  if (gs_answer_parser_status (a->parser) != gs_answer_parser_status (b->parser))
    return "status";
  if (gs_answer_parser_length (a->parser) != gs_answer_parser_length (b->parser))
    return "length";
  if (gs_answer_parser_keeps_connection (a->parser)
      != gs_answer_parser_keeps_connection (b->parser))
    return "keeps_connection";
  return reading_has_same_headers (a, b) ? NULL : "headers";
}

/* RETURN VALUE: what is inconsistent in a reading of LENGTH bytes, or NULL. */
static inline const char *
reading_inconsistency (const Reading *reading, size_t length)
{
  GsAnswerState state = reading_state (reading);
  GsAnswerFraming framing = gs_answer_parser_framing (reading->parser);
  bool has_failed = state == GS_ANSWER_MALFORMED || state == GS_ANSWER_INCOMPLETE;

  if (reading->consumed > length || reading->body->len > reading->consumed)
    return "more bytes than were given";
  if ((gs_answer_parser_reason (reading->parser) != NULL) != has_failed)
    return "a reason without a failure, or the reverse";
  if (state == GS_ANSWER_HEAD && (framing != GS_ANSWER_FRAMING_UNKNOWN || reading->body->len > 0))
    return "a body before the end of the head";
  if ((state == GS_ANSWER_BODY || state == GS_ANSWER_COMPLETE)
      && framing == GS_ANSWER_FRAMING_UNKNOWN)
    return "no framing after the end of the head";
  if (state == GS_ANSWER_COMPLETE && framing == GS_ANSWER_FRAMING_LENGTH
      && reading->body->len != (uint64_t)gs_answer_parser_length (reading->parser))
    return "a complete body of another length than stated";
  if (gs_answer_parser_keeps_connection (reading->parser)
      && (has_failed || framing == GS_ANSWER_FRAMING_CLOSE))
    return "a connection kept whose answer failed or ends with it";
  return NULL;
}

#endif
