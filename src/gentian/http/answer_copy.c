#include "answer_copy.h"

#include <glib.h>
#include <string.h>

#define ANSWER_COPY_VERSION "HTTP/1."

enum
{
  ANSWER_COPY_STATUS_OFFSET = sizeof "HTTP/1.1 " - 1,
  ANSWER_COPY_STATUS_DIGITS = 3,
  /* Bytes of a status line that are kept until the rest of them comes. */
  ANSWER_COPY_STATUS_TAIL = ANSWER_COPY_STATUS_OFFSET + ANSWER_COPY_STATUS_DIGITS - 1,
  ANSWER_COPY_BLANKS_MAX = 64, /* between a header's name and its value */
};

struct GsAnswerCopy
{
  const char *echo_header;
  char *echo;
  GByteArray *window; /* the end of what has been searched, which may be the start of a match */
  bool status_found;
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

  if (value == begin)
    return false;
  while (colon > begin && (*colon == ' ' || *colon == '\t'))
    colon--;
  return (size_t)(colon - begin) > length && *colon == ':'
         && g_ascii_strncasecmp ((const char *)(colon - length), name, length) == 0
         && *(colon - length - 1) == '\n';
}

/* Whether a header line between BEGIN and END names the request. LAST: END is that of all bytes. */
static bool
names_request (const GsAnswerCopy *copy, const uint8_t *begin, const uint8_t *end, bool last)
{
  size_t length = strlen (copy->echo);
  const uint8_t *at = begin;

  while ((at = find (at, end, copy->echo)) != NULL)
    {
      if (is_value_of (copy->echo_header, begin, at)
          && (at + length < end ? at[length] == '\r' : last))
        return true;
      at++;
    }
  return false;
}

/* Drops what cannot be the start of a match. */
static void
shorten_window (GsAnswerCopy *copy)
{
  size_t kept = copy->status_found ? strlen ("\n:") + strlen (copy->echo_header)
                                         + ANSWER_COPY_BLANKS_MAX + strlen (copy->echo)
                                   : ANSWER_COPY_STATUS_TAIL;

  if (copy->window->len > kept)
    g_byte_array_remove_range (copy->window, 0, copy->window->len - (guint)kept);
}

/* Searches the window, of which a status line must begin in the first BODY_LENGTH bytes. */
static bool
search_window (GsAnswerCopy *copy, size_t body_length, bool last)
{
  const uint8_t *begin = copy->window->data;
  const uint8_t *end = begin + copy->window->len;

  if (!copy->status_found)
    {
      begin = find_status_line (begin, begin + body_length, end);
      if (begin == NULL)
        return false;
      copy->status_found = true;
    }
  return names_request (copy, begin, end, last);
}

GsAnswerCopy *
gs_answer_copy_new (const char *echo_header, const char *echo)
{
  GsAnswerCopy *copy = g_new0 (GsAnswerCopy, 1);

  copy->echo_header = echo_header;
  copy->echo = g_strdup (echo);
  copy->window = g_byte_array_new ();
  return copy;
}

void
gs_answer_copy_free (GsAnswerCopy *copy)
{
  if (copy == NULL)
    return;
  g_byte_array_unref (copy->window);
  g_free (copy->echo);
  g_free (copy);
}

bool
gs_answer_copy_feed (GsAnswerCopy *copy, const uint8_t *bytes, size_t length)
{
  bool found;

  if (length == 0)
    return false;
  g_byte_array_append (copy->window, bytes, (guint)length);
  found = search_window (copy, copy->window->len, false);
  shorten_window (copy);
  return found;
}

bool
gs_answer_copy_end (GsAnswerCopy *copy, const uint8_t *bytes, size_t length)
{
  size_t body_length = copy->window->len;

  if (body_length == 0)
    return false;
  g_byte_array_append (copy->window, bytes, (guint)length);
  return search_window (copy, body_length, true);
}

bool
gs_answer_copy_begins (const uint8_t *bytes, size_t length)
{
  return length > 0 && find (bytes, bytes + length, ANSWER_COPY_VERSION) != NULL;
}
