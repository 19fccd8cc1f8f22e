#include "answer_parser.h"

#include <string.h>

#define DIGITS "0123456789"
#define HEX_DIGITS DIGITS "abcdefABCDEF"
#define TOKEN_CHARACTERS                                                                           \
  "!#$%&'*+-.^_`|~" DIGITS "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

enum
{
  INFORMATIONAL_MAX = 8,
  LENGTH_DIGITS_MAX = 18,     /* fits an int64_t */
  CHUNK_SIZE_DIGITS_MAX = 15, /* fits an int64_t */
  LINE_END_BYTES = 2,
};

/* What the next byte belongs to. */
typedef enum
{
  PART_STATUS_LINE = 0,
  PART_HEADER,
  PART_BODY,
  PART_CHUNK_LINE,
  PART_CHUNK_DATA,
  PART_CHUNK_END,
  PART_TRAILER,
} Part;

/* What the current head states. */
typedef struct
{
  uint16_t status;
  bool is_http_1_0;
  int64_t length; /* Content-Length, or -1 */
  bool chunked;
  bool close;
  bool keep_alive;
} Head;

struct GsAnswerParser
{
  GsAnswerParserOptions options;
  GsAnswerState state;
  GsAnswerFraming framing;
  Part part;
  Head head;
  const char *reason;
  GString *line;       /* the current line, as far as it has been received */
  GPtrArray *headers;  /* name, value, ... */
  uint32_t head_bytes; /* of all heads and trailers so far, as are the next two */
  uint32_t n_headers;
  uint32_t n_informational;
  uint64_t left_bytes;    /* of the body or the current chunk */
  uint32_t chunk_end_len; /* bytes received of the line end after a chunk's data */
};

static void
begin_head (GsAnswerParser *parser)
{
  parser->part = PART_STATUS_LINE;
  parser->head = (Head){ .length = -1 };
}

GsAnswerParser *
gs_answer_parser_new (const GsAnswerParserOptions *options)
{
  GsAnswerParser *parser = g_new0 (GsAnswerParser, 1);

  parser->options = *options;
  parser->line = g_string_new (NULL);
  parser->headers = g_ptr_array_new_with_free_func (g_free);
  begin_head (parser);
  return parser;
}

void
gs_answer_parser_free (GsAnswerParser *parser)
{
  if (parser == NULL)
    return;
  g_string_free (parser->line, TRUE);
  g_ptr_array_unref (parser->headers);
  g_free (parser);
}

static bool
is_ended (const GsAnswerParser *parser)
{
  return parser->state != GS_ANSWER_HEAD && parser->state != GS_ANSWER_BODY;
}

static bool
is_informational (const GsAnswerParser *parser)
{
  return parser->head.status / 100 == 1;
}

static void
refuse (GsAnswerParser *parser, const char *reason)
{
  parser->state = GS_ANSWER_MALFORMED;
  parser->reason = reason;
}

static bool
is_blank (char character)
{
  return character == ' ' || character == '\t';
}

/* RETURN VALUE: whether LINE consists of the bytes permitted in header values. */
static bool
is_text (const GString *line)
{
  for (gsize i = 0; i < line->len; i++)
    {
      uint8_t byte = (uint8_t)line->str[i];
      if ((byte < ' ' && byte != '\t') || byte == 0x7f)
        return false;
    }
  return true;
}

static void
parse_status_line (GsAnswerParser *parser, const char *line)
{
  /* "HTTP/1.1 200 OK": the version's last digit is at 7, the status at 9. */
  if (!g_str_has_prefix (line, "HTTP/1.") || (line[7] != '0' && line[7] != '1') || line[8] != ' '
      || line[9] < '1' || line[9] > '5' || strspn (&line[9], DIGITS) != 3
      || (line[12] != '\0' && line[12] != ' '))
    {
      refuse (parser, "bad-status-line");
      return;
    }
  parser->head.is_http_1_0 = line[7] == '0';
  parser->head.status = (uint16_t)g_ascii_strtoull (&line[9], NULL, 10);
  parser->part = PART_HEADER;
  if (parser->head.status == 101)
    refuse (parser, "unexpected-upgrade");
  else if (is_informational (parser) && parser->head.is_http_1_0)
    refuse (parser, "informational-in-http-1.0");
  else if (is_informational (parser) && ++parser->n_informational > INFORMATIONAL_MAX)
    refuse (parser, "too-many-informational");
}

static void
parse_length (GsAnswerParser *parser, const char *value)
{
  size_t n_digits = strspn (value, DIGITS);

  if (parser->head.length >= 0)
    refuse (parser, "repeated-length");
  else if (n_digits == 0 || n_digits > LENGTH_DIGITS_MAX || value[n_digits] != '\0')
    refuse (parser, "bad-length");
  else
    parser->head.length = (int64_t)g_ascii_strtoull (value, NULL, 10);
}

static void
parse_transfer_coding (GsAnswerParser *parser, const char *value)
{
  if (parser->head.chunked || parser->head.is_http_1_0
      || g_ascii_strcasecmp (value, "chunked") != 0)
    refuse (parser, "bad-transfer-coding");
  else
    parser->head.chunked = true;
}

static void
parse_connection (GsAnswerParser *parser, const char *value)
{
  g_auto (GStrv) tokens = g_strsplit (value, ",", -1);

  for (char **token = tokens; *token != NULL; token++)
    {
      const char *name = g_strstrip (*token);
      parser->head.close = parser->head.close || g_ascii_strcasecmp (name, "close") == 0;
      parser->head.keep_alive
          = parser->head.keep_alive || g_ascii_strcasecmp (name, "keep-alive") == 0;
    }
}

static void
parse_framing_header (GsAnswerParser *parser, const char *name, const char *value)
{
  if (g_ascii_strcasecmp (name, "Content-Length") == 0)
    parse_length (parser, value);
  else if (g_ascii_strcasecmp (name, "Transfer-Encoding") == 0)
    parse_transfer_coding (parser, value);
  else if (g_ascii_strcasecmp (name, "Connection") == 0)
    parse_connection (parser, value);
  if (!is_ended (parser) && parser->head.length >= 0 && parser->head.chunked)
    refuse (parser, "length-and-transfer-coding");
}

/* Parses a header or a trailer. */
static void
parse_field (GsAnswerParser *parser, const char *line)
{
  size_t name_length = strspn (line, TOKEN_CHARACTERS);
  g_autofree char *name = NULL;
  g_autofree char *value = NULL;

  if (++parser->n_headers > GS_ANSWER_HEADERS_MAX)
    refuse (parser, "too-many-headers");
  else if (is_blank (line[0]))
    refuse (parser, "folded-line");
  else if (name_length == 0 || line[name_length] != ':')
    refuse (parser, "bad-header");
  if (is_ended (parser) || parser->part == PART_TRAILER)
    return;

  name = g_strndup (line, name_length);
  value = g_strstrip (g_strdup (&line[name_length + 1]));
  parse_framing_header (parser, name, value);
  if (is_informational (parser))
    return;
  g_ptr_array_add (parser->headers, g_steal_pointer (&name));
  g_ptr_array_add (parser->headers, g_steal_pointer (&value));
}

/* Sets the framing at the end of the final answer's head. */
static void
begin_body (GsAnswerParser *parser)
{
  parser->state = GS_ANSWER_BODY;
  if (parser->options.head_request || parser->head.status == 204 || parser->head.status == 304)
    {
      parser->framing = GS_ANSWER_FRAMING_NO_BODY;
      parser->state = GS_ANSWER_COMPLETE;
    }
  else if (parser->head.chunked)
    {
      parser->framing = GS_ANSWER_FRAMING_CHUNKED;
      parser->part = PART_CHUNK_LINE;
    }
  else if (parser->head.length >= 0)
    {
      parser->framing = GS_ANSWER_FRAMING_LENGTH;
      parser->part = PART_BODY;
      parser->left_bytes = (uint64_t)parser->head.length;
      if (parser->left_bytes == 0)
        parser->state = GS_ANSWER_COMPLETE;
    }
  else
    {
      parser->framing = GS_ANSWER_FRAMING_CLOSE;
      parser->part = PART_BODY;
      parser->left_bytes = UINT64_MAX;
    }
}

static void
end_head (GsAnswerParser *parser)
{
  if ((is_informational (parser) || parser->head.status == 204)
      && (parser->head.chunked || parser->head.length > 0))
    refuse (parser, "unexpected-body");
  else if (is_informational (parser))
    begin_head (parser);
  else
    begin_body (parser);
}

/* Parses a chunk's size, which extensions may follow after a semicolon. */
static void
parse_chunk_line (GsAnswerParser *parser, const char *line)
{
  size_t n_digits = strspn (line, HEX_DIGITS);
  size_t n_blanks = strspn (&line[n_digits], " \t");
  bool is_valid_end = line[n_digits] == '\0' || line[n_digits + n_blanks] == ';';

  if (n_digits == 0 || n_digits > CHUNK_SIZE_DIGITS_MAX || !is_valid_end)
    {
      refuse (parser, "bad-chunk-size");
      return;
    }
  parser->left_bytes = g_ascii_strtoull (line, NULL, 16);
  parser->part = parser->left_bytes > 0 ? PART_CHUNK_DATA : PART_TRAILER;
}

/* Whether a status line follows the beginning of another line: the server broke off one answer and
 * sent the next behind it. */
static bool
has_joined_status_line (const char *line)
{
  const char *next = *line != '\0' ? strstr (line + 1, "HTTP/1.") : NULL;

  for (; next != NULL; next = strstr (next + 1, "HTTP/1."))
    if (g_ascii_isdigit (next[7]) && next[8] == ' ' && strspn (&next[9], DIGITS) == 3)
      return true;
  return false;
}

/* Parses the current line, which has been received with its line feed. */
static void
parse_line (GsAnswerParser *parser)
{
  GString *line = parser->line;

  if (line->len < LINE_END_BYTES || line->str[line->len - LINE_END_BYTES] != '\r')
    {
      refuse (parser, "bad-line-end");
      return;
    }
  g_string_truncate (line, line->len - LINE_END_BYTES);
  if (!is_text (line))
    refuse (parser, "bad-character");
  else if (parser->part == PART_STATUS_LINE)
    parse_status_line (parser, line->str);
  else if (parser->part == PART_CHUNK_LINE)
    parse_chunk_line (parser, line->str);
  else if (line->len > 0)
    parse_field (parser, line->str);
  else if (parser->part == PART_TRAILER)
    parser->state = GS_ANSWER_COMPLETE;
  else
    end_head (parser);
  if (parser->state != GS_ANSWER_MALFORMED && has_joined_status_line (line->str))
    refuse (parser, "joined-answers");
  g_string_truncate (line, 0);
}

/* Adds bytes to the current line, MAX_LENGTH at most, and parses the line when it ends. RETURN
 * VALUE: number of bytes taken. */
static size_t
feed_line (GsAnswerParser *parser, const uint8_t *bytes, size_t length, size_t max_length)
{
  size_t taken = MIN (length, max_length);
  const uint8_t *line_feed = memchr (bytes, '\n', taken);

  if (line_feed != NULL)
    taken = (size_t)(line_feed - bytes) + 1;
  g_string_append_len (parser->line, (const char *)bytes, (gssize)taken);
  if (line_feed != NULL)
    parse_line (parser);
  return taken;
}

static size_t
feed_head (GsAnswerParser *parser, const uint8_t *bytes, size_t length)
{
  size_t left = GS_ANSWER_HEAD_BYTES_MAX - parser->head_bytes;
  size_t taken;

  if (left == 0)
    {
      refuse (parser, "head-too-long");
      return 0;
    }
  taken = feed_line (parser, bytes, length, left);
  parser->head_bytes += (uint32_t)taken;
  return taken;
}

static size_t
feed_chunk_line (GsAnswerParser *parser, const uint8_t *bytes, size_t length)
{
  size_t left = GS_ANSWER_CHUNK_LINE_BYTES_MAX + LINE_END_BYTES - parser->line->len;

  if (left == 0)
    {
      refuse (parser, "chunk-line-too-long");
      return 0;
    }
  return feed_line (parser, bytes, length, left);
}

static size_t
feed_chunk_end (GsAnswerParser *parser, uint8_t byte)
{
  static const uint8_t line_end[LINE_END_BYTES] = { '\r', '\n' };

  if (byte != line_end[parser->chunk_end_len])
    {
      refuse (parser, "bad-chunk-end");
      return 0;
    }
  if (++parser->chunk_end_len == LINE_END_BYTES)
    {
      parser->chunk_end_len = 0;
      parser->part = PART_CHUNK_LINE;
    }
  return 1;
}

static size_t
feed_body (GsAnswerParser *parser, const uint8_t *bytes, size_t length, GByteArray *body)
{
  guint taken = (guint)MIN (MIN (length, parser->left_bytes), G_MAXINT32);

  g_byte_array_append (body, bytes, taken);
  if (parser->framing == GS_ANSWER_FRAMING_CLOSE)
    return taken;
  parser->left_bytes -= taken;
  if (parser->left_bytes > 0)
    return taken;
  if (parser->part == PART_CHUNK_DATA)
    parser->part = PART_CHUNK_END;
  else
    parser->state = GS_ANSWER_COMPLETE;
  return taken;
}

/* RETURN VALUE: number of bytes taken, 0 only if the answer is malformed. */
static size_t
feed_part (GsAnswerParser *parser, const uint8_t *bytes, size_t length, GByteArray *body)
{
  switch (parser->part)
    {
    case PART_BODY:
    case PART_CHUNK_DATA:
      return feed_body (parser, bytes, length, body);
    case PART_CHUNK_LINE:
      return feed_chunk_line (parser, bytes, length);
    case PART_CHUNK_END:
      return feed_chunk_end (parser, bytes[0]);
    case PART_STATUS_LINE:
    case PART_HEADER:
    case PART_TRAILER:
      break;
    }
  return feed_head (parser, bytes, length);
}

size_t
gs_answer_parser_feed (GsAnswerParser *parser,
                       const uint8_t *bytes,
                       size_t length,
                       GByteArray *body)
{
  size_t consumed = 0;

  while (consumed < length && !is_ended (parser))
    consumed += feed_part (parser, &bytes[consumed], length - consumed, body);
  return consumed;
}

void
gs_answer_parser_end (GsAnswerParser *parser)
{
  if (is_ended (parser))
    return;
  if (parser->framing == GS_ANSWER_FRAMING_CLOSE)
    {
      parser->state = GS_ANSWER_COMPLETE;
      return;
    }
  if (parser->head_bytes == 0)
    parser->reason = "closed-before-answer";
  else
    parser->reason = parser->state == GS_ANSWER_HEAD ? "closed-in-head" : "closed-in-body";
  parser->state = GS_ANSWER_INCOMPLETE;
}

GsAnswerState
gs_answer_parser_state (const GsAnswerParser *parser)
{
  return parser->state;
}

const char *
gs_answer_parser_reason (const GsAnswerParser *parser)
{
  return parser->reason;
}

GsAnswerFraming
gs_answer_parser_framing (const GsAnswerParser *parser)
{
  return parser->framing;
}

const char *
gs_answer_framing_name (GsAnswerFraming framing)
{
  static const char *const names[] = { [GS_ANSWER_FRAMING_UNKNOWN] = "unknown",
                                       [GS_ANSWER_FRAMING_NO_BODY] = "no-body",
                                       [GS_ANSWER_FRAMING_LENGTH] = "length",
                                       [GS_ANSWER_FRAMING_CHUNKED] = "chunked",
                                       [GS_ANSWER_FRAMING_CLOSE] = "close" };

  return names[framing];
}

uint16_t
gs_answer_parser_status (const GsAnswerParser *parser)
{
  return is_informational (parser) ? 0 : parser->head.status;
}

int64_t
gs_answer_parser_length (const GsAnswerParser *parser)
{
  return is_informational (parser) ? -1 : parser->head.length;
}

bool
gs_answer_parser_keeps_connection (const GsAnswerParser *parser)
{
  if (parser->state != GS_ANSWER_BODY && parser->state != GS_ANSWER_COMPLETE)
    return false;
  if (parser->framing == GS_ANSWER_FRAMING_CLOSE || parser->head.close)
    return false;
  return !parser->head.is_http_1_0 || parser->head.keep_alive;
}

const GPtrArray *
gs_answer_parser_headers (const GsAnswerParser *parser)
{
  return parser->headers;
}
