/**
 * NAME
 *   request_reader - reads one HTTP/1 request of a caller
 *
 * SYNOPSIS
 *   GsRequestReader *reader = gs_request_reader_new (on_body, data);
 *   consumed = gs_request_reader_feed (reader, bytes, length);
 *   if (gs_request_reader_state (reader) == GS_REQUEST_COMPLETE && consumed < length) ...
 *
 * DESCRIPTION
 *   Parses with http_parser, in pieces of any size and with the same result for every way to split
 * them. No input or output of its own. Beyond what http_parser refuses, a request is malformed with
 * a folded header line, a version other than HTTP/1, or a head above GS_REQUEST_HEAD_BYTES_MAX.
 * Trailers are dropped.
 */
#ifndef GS_REQUEST_READER_H
#define GS_REQUEST_READER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  GS_REQUEST_HEAD_BYTES_MAX = 32 * 1024,
};

typedef struct GsRequestReader GsRequestReader;

typedef enum
{
  GS_REQUEST_HEAD = 0,  /**< the head has not been read completely */
  GS_REQUEST_BODY,      /**< the head is complete, the end has not been reached */
  GS_REQUEST_COMPLETE,  /**< the request ends where it stated */
  GS_REQUEST_MALFORMED, /**< see gs_request_reader_reason; nothing more can be read */
} GsRequestState;

/** The head of a request. Empty, without method and target, until it is complete. */
typedef struct
{
  const char *method;
  const char *target;
  GPtrArray *fields; /**< name, value, name, value, ... in their order; values without surrounding
                        whitespace */
  uint32_t bytes;    /**< length, with the empty line */
  bool http_1_0;
  bool keeps_connection; /**< by version and Connection header */
  bool expects_continue; /**< the caller sends the body after a response with status 100 */
} GsRequestHead;

/** Takes the next bytes of the body. */
typedef void (*GsRequestBodySink) (void *data, const char *bytes, size_t length);

GsRequestReader *gs_request_reader_new (GsRequestBodySink sink, void *data);
void gs_request_reader_free (GsRequestReader *reader);

/** Parses LENGTH BYTES, at most up to the end of the head or of the request. RETURN VALUE: number
 * of bytes consumed. When the head has become complete, its last byte is not consumed: the next
 * call takes it, and completes a request without a body. */
size_t gs_request_reader_feed (GsRequestReader *reader, const char *bytes, size_t length);

GsRequestState gs_request_reader_state (const GsRequestReader *reader);

/** RETURN VALUE: status with which a malformed request is refused: 400 or 431. */
unsigned int gs_request_reader_status (const GsRequestReader *reader);

/** RETURN VALUE: static text that says why the request is malformed, or NULL. */
const char *gs_request_reader_reason (const GsRequestReader *reader);

const GsRequestHead *gs_request_reader_head (const GsRequestReader *reader);

/** RETURN VALUE: value of the first header NAME, or NULL. */
const char *gs_request_head_field (const GsRequestHead *head, const char *name);

#endif
