#include "response.h"

#include <http_parser.h>
#include <string.h>

enum
{
  RESPONSE_STATUS_NO_CONTENT = 204,
  RESPONSE_STATUS_NOT_MODIFIED = 304,
};

struct GsResponse
{
  unsigned int status;
  GPtrArray *headers; /* name, value, name, value, ... */
  const char *body;
  size_t length;
  int64_t stated_length; /* of a stream or of a body that is not sent; -1: not known */
  bool stated;           /* the response has no body of its own */
  void (*release) (void *owner);
  void *owner;
  GsResponseReader reader; /* NULL: the body is in memory */
  void *reader_data;
};

GsResponse *
gs_response_new_owned (unsigned int status,
                       const void *bytes,
                       size_t length,
                       void (*release) (void *owner),
                       void *owner)
{
  GsResponse *response = g_new0 (GsResponse, 1);

  response->status = status;
  response->headers = g_ptr_array_new_with_free_func (g_free);
  response->body = bytes;
  response->length = length;
  response->release = release;
  response->owner = owner;
  response->stated_length = -1;
  return response;
}

GsResponse *
gs_response_new (unsigned int status, const void *bytes, size_t length)
{
  void *copy = g_memdup2 (bytes, length);

  return gs_response_new_owned (status, copy, length, g_free, copy);
}

GsResponse *
gs_response_new_stated (unsigned int status, int64_t length)
{
  GsResponse *response = gs_response_new_owned (status, NULL, 0, NULL, NULL);

  response->stated = true;
  response->stated_length = length;
  return response;
}

GsResponse *
gs_response_new_stream (unsigned int status, int64_t length, GsResponseReader reader, void *data)
{
  GsResponse *response = gs_response_new_owned (status, NULL, 0, NULL, NULL);

  response->stated_length = length;
  response->reader = reader;
  response->reader_data = data;
  return response;
}

void
gs_response_free (GsResponse *response)
{
  if (response == NULL)
    return;
  if (response->release != NULL)
    response->release (response->owner);
  g_ptr_array_unref (response->headers);
  g_free (response);
}

void
gs_response_add_header (GsResponse *response, const char *name, const char *value)
{
  g_ptr_array_add (response->headers, g_strdup (name));
  g_ptr_array_add (response->headers, g_strdup (value));
}

void
gs_response_remove_header (GsResponse *response, const char *name)
{
  GPtrArray *headers = response->headers;

  for (guint i = headers->len; i >= 2; i -= 2)
    if (g_ascii_strcasecmp (g_ptr_array_index (headers, i - 2), name) == 0)
      g_ptr_array_remove_range (headers, i - 2, 2);
}

const char *
gs_response_header (const GsResponse *response, const char *name)
{
  const GPtrArray *headers = response->headers;

  for (guint i = 0; i + 1 < headers->len; i += 2)
    if (g_ascii_strcasecmp (g_ptr_array_index (headers, i), name) == 0)
      return g_ptr_array_index (headers, i + 1);
  return NULL;
}

bool
gs_response_is_stream (const GsResponse *response)
{
  return response->reader != NULL;
}

const char *
gs_response_body (const GsResponse *response, size_t *length)
{
  *length = response->length;
  return response->body;
}

ssize_t
gs_response_read (GsResponse *response, char *out, size_t max)
{
  return response->reader (response->reader_data, out, max);
}

/* Whether the status allows no body. */
static bool
is_bodiless (unsigned int status)
{
  return status < 200 || status == RESPONSE_STATUS_NO_CONTENT
         || status == RESPONSE_STATUS_NOT_MODIFIED;
}

bool
gs_response_has_body (const GsResponse *response, bool head_request)
{
  return !head_request && !is_bodiless (response->status) && !response->stated;
}

GsResponseFraming
gs_response_framing (const GsResponse *response, bool http_1_0)
{
  if (response->reader == NULL || response->stated_length >= 0)
    return GS_RESPONSE_FRAMING_LENGTH;
  return http_1_0 ? GS_RESPONSE_FRAMING_CLOSE : GS_RESPONSE_FRAMING_CHUNKED;
}

/* RETURN VALUE: the length to state, or -1 for none. An empty body in memory says nothing about the
 * length that a response without a body would have. */
static int64_t
length_to_state (const GsResponse *response, bool has_body)
{
  if (response->stated || response->reader != NULL)
    return response->status == RESPONSE_STATUS_NO_CONTENT ? -1 : response->stated_length;
  if (!has_body && (response->length == 0 || is_bodiless (response->status)))
    return -1;
  return (int64_t)response->length;
}

static void
append_header (GString *out, const char *name, const char *value)
{
  gsize begin;

  g_string_append (out, name);
  g_string_append_len (out, ": ", 2);
  begin = out->len;
  g_string_append (out, value);
  g_strdelimit (out->str + begin, "\r\n", ' ');
  g_string_append_len (out, "\r\n", 2);
}

static const char *
reason_phrase (unsigned int status)
{
  const char *phrase = http_status_str ((enum http_status)status);

  return *phrase != '<' ? phrase : "Unknown"; /* "<unknown>" */
}

void
gs_response_write_head (const GsResponse *response, const GsResponseOptions *options, GString *out)
{
  bool has_body = gs_response_has_body (response, options->head_request);
  int64_t length = length_to_state (response, has_body);

  g_string_append_printf (out, "HTTP/1.1 %03u %s\r\n", response->status,
                          reason_phrase (response->status));
  for (guint i = 0; i + 1 < response->headers->len; i += 2)
    append_header (out, g_ptr_array_index (response->headers, i),
                   g_ptr_array_index (response->headers, i + 1));
  if (options->date != NULL && gs_response_header (response, "Date") == NULL)
    append_header (out, "Date", options->date);
  if (options->closes)
    append_header (out, "Connection", "close");
  else if (options->http_1_0)
    append_header (out, "Connection", "Keep-Alive");
  if (length >= 0)
    g_string_append_printf (out, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
  else if (has_body
           && gs_response_framing (response, options->http_1_0) == GS_RESPONSE_FRAMING_CHUNKED)
    append_header (out, "Transfer-Encoding", "chunked");
  g_string_append_len (out, "\r\n", 2);
}
