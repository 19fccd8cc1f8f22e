#include "request_reader.h"

#include <http_parser.h>
#include <string.h>

enum
{
  READER_TEXT_BYTES = 512, /* reserved for the head */
  READER_FIELDS = 32,      /* reserved: names and values */
  READER_STATUS_MALFORMED = 400,
  READER_STATUS_HEAD_TOO_LARGE = 431,
};

/** What the last bytes of the head belong to. */
typedef enum
{
  PART_TARGET = 0,
  PART_NAME,
  PART_VALUE,
} HeadPart;

struct GsRequestReader
{
  http_parser parser;
  GsRequestBodySink sink;
  void *data;
  GsRequestState state;
  GsRequestHead head;
  /* Target, names and values, each but the last with its final zero byte. `head.fields` has their
   * offsets until the head is complete, since the text moves when it grows. */
  GString *text;
  HeadPart part;
  char last_byte; /* of the head, as far as it was fed */
  unsigned int status;
  const char *reason;
};

static GsRequestReader *
reader_of (http_parser *parser)
{
  return parser->data;
}

static void
begin_part (GsRequestReader *reader, HeadPart part)
{
  reader->part = part;
  g_string_append_c (reader->text, '\0');
  g_ptr_array_add (reader->head.fields, GSIZE_TO_POINTER (reader->text->len));
}

static int
on_target (http_parser *parser, const char *bytes, size_t length)
{
  g_string_append_len (reader_of (parser)->text, bytes, (gssize)length);
  return 0;
}

static int
on_name (http_parser *parser, const char *bytes, size_t length)
{
  GsRequestReader *reader = reader_of (parser);

  if (reader->state != GS_REQUEST_HEAD)
    return 0; /* a trailer */
  if (reader->part != PART_NAME)
    begin_part (reader, PART_NAME);
  g_string_append_len (reader->text, bytes, (gssize)length);
  return 0;
}

static int
on_value (http_parser *parser, const char *bytes, size_t length)
{
  GsRequestReader *reader = reader_of (parser);

  if (reader->state != GS_REQUEST_HEAD)
    return 0;
  if (reader->part != PART_VALUE)
    begin_part (reader, PART_VALUE);
  g_string_append_len (reader->text, bytes, (gssize)length);
  return 0;
}

/* Replaces the offsets of names and values by pointers. */
static void
resolve_fields (GsRequestReader *reader)
{
  GPtrArray *fields = reader->head.fields;

  for (guint i = 0; i < fields->len; i++)
    fields->pdata[i] = reader->text->str + GPOINTER_TO_SIZE (fields->pdata[i]);
  for (guint i = 1; i < fields->len; i += 2)
    g_strchomp (fields->pdata[i]);
}

/* Stops the parser: what follows is handled when the owner has seen the head. An upgrade is not
 * offered, so that the request is read as any other. */
static int
on_headers_complete (http_parser *parser)
{
  GsRequestReader *reader = reader_of (parser);

  parser->upgrade = 0;
  resolve_fields (reader);
  reader->head.method = http_method_str ((enum http_method)parser->method);
  reader->head.target = reader->text->str;
  reader->head.http_1_0 = parser->http_minor == 0;
  reader->head.keeps_connection = http_should_keep_alive (parser) != 0;
  reader->state = GS_REQUEST_BODY;
  http_parser_pause (parser, 1);
  return 0;
}

static int
on_body (http_parser *parser, const char *bytes, size_t length)
{
  GsRequestReader *reader = reader_of (parser);

  reader->sink (reader->data, bytes, length);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  reader_of (parser)->state = GS_REQUEST_COMPLETE;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = { .on_url = on_target,
                                                .on_header_field = on_name,
                                                .on_header_value = on_value,
                                                .on_headers_complete = on_headers_complete,
                                                .on_body = on_body,
                                                .on_message_complete = on_message_complete };

GsRequestReader *
gs_request_reader_new (GsRequestBodySink sink, void *data)
{
  GsRequestReader *reader = g_new0 (GsRequestReader, 1);

  http_parser_init (&reader->parser, HTTP_REQUEST);
  reader->parser.data = reader;
  reader->sink = sink;
  reader->data = data;
  reader->text = g_string_sized_new (READER_TEXT_BYTES);
  reader->head.fields = g_ptr_array_sized_new (READER_FIELDS);
  return reader;
}

void
gs_request_reader_free (GsRequestReader *reader)
{
  if (reader == NULL)
    return;
  g_string_free (reader->text, TRUE);
  g_ptr_array_unref (reader->head.fields);
  g_free (reader);
}

static void
fail (GsRequestReader *reader, unsigned int status, const char *reason)
{
  reader->state = GS_REQUEST_MALFORMED;
  reader->status = status;
  reader->reason = reason;
}

/* Whether the next LENGTH BYTES of the head have a folded line, which http_parser would join with
 * the one before. */
static bool
has_folded_line (GsRequestReader *reader, const char *bytes, size_t length)
{
  char before = reader->last_byte;

  for (size_t i = 0; i < length; before = bytes[i++])
    if (before == '\n' && (bytes[i] == ' ' || bytes[i] == '\t'))
      return true;
  reader->last_byte = before;
  return false;
}

static void
check_head (GsRequestReader *reader, const char *bytes, size_t consumed)
{
  const char *expect = gs_request_head_field (&reader->head, "Expect");

  reader->head.bytes += (uint32_t)consumed;
  if (has_folded_line (reader, bytes, consumed))
    fail (reader, READER_STATUS_MALFORMED, "folded-header");
  else if (reader->head.bytes >= GS_REQUEST_HEAD_BYTES_MAX)
    fail (reader, READER_STATUS_HEAD_TOO_LARGE, "head-too-large");
  if (reader->state != GS_REQUEST_BODY)
    return;
  reader->head.bytes++; /* the last byte, which is not consumed yet */
  if (reader->parser.http_major != 1)
    fail (reader, READER_STATUS_MALFORMED, "bad-request-line");
  reader->head.expects_continue = expect != NULL && !reader->head.http_1_0
                                  && g_ascii_strcasecmp (expect, "100-continue") == 0;
}

size_t
gs_request_reader_feed (GsRequestReader *reader, const char *bytes, size_t length)
{
  bool in_head = reader->state == GS_REQUEST_HEAD;
  enum http_errno error;
  size_t consumed;

  if (reader->state == GS_REQUEST_COMPLETE || reader->state == GS_REQUEST_MALFORMED || length == 0)
    return 0;
  http_parser_pause (&reader->parser, 0);
  consumed = http_parser_execute (&reader->parser, &callbacks, bytes, length);
  error = HTTP_PARSER_ERRNO (&reader->parser);
  if (in_head)
    check_head (reader, bytes, MIN (consumed, length));
  if (error != HPE_OK && error != HPE_PAUSED && reader->state != GS_REQUEST_MALFORMED)
    fail (reader, READER_STATUS_MALFORMED,
          in_head && reader->head.fields->len == 0 ? "bad-request-line" : "ambiguous-framing");
  return MIN (consumed, length);
}

GsRequestState
gs_request_reader_state (const GsRequestReader *reader)
{
  return reader->state;
}

unsigned int
gs_request_reader_status (const GsRequestReader *reader)
{
  return reader->status;
}

const char *
gs_request_reader_reason (const GsRequestReader *reader)
{
  return reader->reason;
}

const GsRequestHead *
gs_request_reader_head (const GsRequestReader *reader)
{
  return &reader->head;
}

const char *
gs_request_head_field (const GsRequestHead *head, const char *name)
{
  if (head->method == NULL)
    return NULL;
  for (guint i = 0; i + 1 < head->fields->len; i += 2)
    if (g_ascii_strcasecmp (g_ptr_array_index (head->fields, i), name) == 0)
      return g_ptr_array_index (head->fields, i + 1);
  return NULL;
}
