/**
 * NAME
 *   response - a response to a caller: status, headers and body
 *
 * DESCRIPTION
 *   The body is in memory, or is read piece by piece while the response is sent. Framing headers
 * (Content-Length, Transfer-Encoding, Connection) and Date are written by gs_response_write_head;
 * a Date that was added is kept.
 */
#ifndef GS_RESPONSE_H
#define GS_RESPONSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

typedef struct GsResponse GsResponse;

/** Reads at most MAX bytes of a streamed body. RETURN VALUE: as that of gs_exchange_read. */
typedef ssize_t (*GsResponseReader) (void *data, char *out, size_t max);

/** RETURN VALUE: a response whose body is a copy of LENGTH BYTES. */
GsResponse *gs_response_new (unsigned int status, const void *bytes, size_t length);

/** RETURN VALUE: a response with LENGTH BYTES, for which RELEASE is called with OWNER at the end.
 */
GsResponse *gs_response_new_owned (unsigned int status,
                                   const void *bytes,
                                   size_t length,
                                   void (*release) (void *owner),
                                   void *owner);

/** RETURN VALUE: a response that states LENGTH and has no body, to HEAD or with status 304. */
GsResponse *gs_response_new_stated (unsigned int status, int64_t length);

/** RETURN VALUE: a response whose body is read with READER. LENGTH is -1 if it is not known. */
GsResponse *
gs_response_new_stream (unsigned int status, int64_t length, GsResponseReader reader, void *data);

void gs_response_free (GsResponse *response);

void gs_response_add_header (GsResponse *response, const char *name, const char *value);

/** Removes all headers NAME. */
void gs_response_remove_header (GsResponse *response, const char *name);

/** RETURN VALUE: value of the first header NAME, or NULL. */
const char *gs_response_header (const GsResponse *response, const char *name);

bool gs_response_is_stream (const GsResponse *response);

/** RETURN VALUE: the body in memory; 0 LENGTH for a stream. */
const char *gs_response_body (const GsResponse *response, size_t *length);

/** RETURN VALUE: as that of the stream's reader. */
ssize_t gs_response_read (GsResponse *response, char *out, size_t max);

/** How the caller finds the end of the body. */
typedef enum
{
  GS_RESPONSE_FRAMING_LENGTH = 0, /**< also: no body */
  GS_RESPONSE_FRAMING_CHUNKED,
  GS_RESPONSE_FRAMING_CLOSE,
} GsResponseFraming;

/** Properties of the request and its connection. */
typedef struct
{
  bool http_1_0;     /**< the caller knows no chunks, and that a connection stays open is stated */
  bool head_request; /**< no body follows */
  bool closes;       /**< the connection closes after the response */
  const char *date;  /**< value of the Date header */
} GsResponseOptions;

GsResponseFraming gs_response_framing (const GsResponse *response, bool http_1_0);

/** RETURN VALUE: whether a body follows the head. */
bool gs_response_has_body (const GsResponse *response, bool head_request);

/** Appends status line and headers to OUT. */
void
gs_response_write_head (const GsResponse *response, const GsResponseOptions *options, GString *out);

#endif
