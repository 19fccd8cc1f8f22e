#include "answer_copy.h"

#include <glib.h>
#include <string.h>

#define ANSWER_COPY_VERSION "HTTP/1."

enum
{
  ANSWER_COPY_STATUS_OFFSET = sizeof "HTTP/1.1 " - 1,
  ANSWER_COPY_STATUS_DIGITS = 3,
};

/* RETURN VALUE: the first occurrence of TEXT between BYTES and END, or NULL. */
static const uint8_t *
find (const uint8_t *bytes, const uint8_t *end, const char *text)
{
  return bytes < end ? memmem (bytes, (size_t)(end - bytes), text, strlen (text)) : NULL;
}

/* Whether BYTES, which start with the version, are a status line: a request line ends there. */
static bool
is_status_line (const uint8_t *bytes, const uint8_t *end)
{
  const uint8_t *status = bytes + ANSWER_COPY_STATUS_OFFSET;

  if (end - bytes < ANSWER_COPY_STATUS_OFFSET + ANSWER_COPY_STATUS_DIGITS || status[-1] != ' ')
    return false;
  for (int i = 0; i < ANSWER_COPY_STATUS_DIGITS; i++)
    if (!g_ascii_isdigit (status[i]))
      return false;
  return true;
}

/* RETURN VALUE: the first status line that begins before LIMIT, or NULL. */
static const uint8_t *
find_status_line (const uint8_t *bytes, const uint8_t *limit, const uint8_t *end)
{
  const uint8_t *at = bytes;

  while ((at = find (at, end, ANSWER_COPY_VERSION)) != NULL && at < limit)
    {
      if (is_status_line (at, end))
        return at;
      at++;
    }
  return NULL;
}

/* Whether the value at VALUE is that of the header NAME on a line of its own. */
static bool
is_value_of (const char *name, const uint8_t *begin, const uint8_t *value)
{
  size_t length = strlen (name);
  const uint8_t *colon = value - 1;

  while (colon > begin && (*colon == ' ' || *colon == '\t'))
    colon--;
  return (size_t)(colon - begin) > length && *colon == ':'
         && g_ascii_strncasecmp ((const char *)(colon - length), name, length) == 0
         && *(colon - length - 1) == '\n';
}

/* Whether a header line between BEGIN and END names the request. */
static bool
names_request (const GsAnswerCopyOptions *options, const uint8_t *begin, const uint8_t *end)
{
  size_t length = strlen (options->echo);
  const uint8_t *at = begin;

  while ((at = find (at, end, options->echo)) != NULL)
    {
      if (is_value_of (options->echo_header, begin, at)
          && (at + length == end || at[length] == '\r'))
        return true;
      at++;
    }
  return false;
}

bool
gs_answer_copy_found (const GsAnswerCopyOptions *options)
{
  g_autoptr (GByteArray) joined = NULL;
  const uint8_t *bytes = options->body;
  const uint8_t *end;
  const uint8_t *second;

  if (options->body_length == 0)
    return false;
  if (options->surplus_length > 0)
    {
      joined = g_byte_array_sized_new ((guint)(options->body_length + options->surplus_length));
      g_byte_array_append (joined, options->body, (guint)options->body_length);
      g_byte_array_append (joined, options->surplus, (guint)options->surplus_length);
      bytes = joined->data;
    }
  end = bytes + options->body_length + options->surplus_length;
  second = find_status_line (bytes, bytes + options->body_length, end);
  return second != NULL && names_request (options, second, end);
}

bool
gs_answer_copy_begins (const uint8_t *bytes, size_t length)
{
  return length > 0 && find (bytes, bytes + length, ANSWER_COPY_VERSION) != NULL;
}
