/*
 * Stand-in of a backend server whose answers never end, until the daemon closes the connection.
 *   endless PORT
 * The last segment of the path says how: line (a head line without end), lines (a head without
 * end), interim (interim answers), raw (bytes that are no answer), drip (the same, a byte each 50
 * ms), chunked and unframed (a stamped answer whose body does not end), chunk (one chunk head
 * without end), trailers (a trailer section without end).
 * For each connection that ends, a line on standard output: how, bytes sent, milliseconds.
 */
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  ENDLESS_BLOCK_BYTES = 4096,
  ENDLESS_DRIP_US = 50000,
};

#define HEAD                                                                                       \
  "HTTP/1.1 200 OK\r\nGentianscale-Response-Stamp: aa.bb\r\nGentianscale-Request-Id: %s\r\n"

typedef struct
{
  const char *how;
  const char *begin; /* with the request's id */
  const char *unit;  /* sent again and again */
} Way;

static const Way ways[] = {
  { "line", "HTTP/1.1 200 OK\r\nX: ", "aaaaaaaaaaaaaaaa" },
  { "lines", "HTTP/1.1 200 OK\r\n", "X-More: a\r\n" },
  { "interim", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "raw", "", "\x01\x02none of it is an answer\x03" },
  { "drip", "", "\x01" },
  { "chunked", HEAD "Transfer-Encoding: chunked\r\n\r\n", "10\r\naaaaaaaaaaaaaaaa\r\n" },
  { "unframed", HEAD "\r\n", "aaaaaaaaaaaaaaaa" },
  { "chunk", HEAD "Transfer-Encoding: chunked\r\n\r\n", "0000000000000000" },
  { "trailers", HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: a\r\n" },
};

static const Way *
find_way (const char *request)
{
  for (size_t i = 0; i < G_N_ELEMENTS (ways); i++)
    {
      g_autofree char *path = g_strconcat ("/", ways[i].how, " ", NULL);
      if (strstr (request, path) != NULL)
        return &ways[i];
    }
  return NULL;
}

/* RETURN VALUE: whether a whole head was read. */
static gboolean
read_head (int fd, char *head, size_t size)
{
  size_t length = 0;
  ssize_t got;

  while (length + 1 < size && (got = recv (fd, head + length, size - 1 - length, 0)) > 0)
    {
      length += (size_t)got;
      head[length] = '\0';
      if (strstr (head, "\r\n\r\n") != NULL)
        return TRUE;
    }
  return FALSE;
}

static char *
request_id (const char *head)
{
  const char *name = "Gentianscale-Request-Id: ";
  const char *value = strstr (head, name);

  return value != NULL ? g_strndup (value + strlen (name), strcspn (value + strlen (name), "\r"))
                       : g_strdup ("");
}

static gpointer
serve (gpointer data)
{
  int fd = GPOINTER_TO_INT (data);
  char head[16384];
  const Way *way = read_head (fd, head, sizeof head) ? find_way (head) : NULL;
  g_autofree char *id = way != NULL ? request_id (head) : NULL;
  g_autoptr (GString) block = g_string_new (NULL);
  int64_t began_us = g_get_monotonic_time ();
  gboolean drip = way != NULL && strcmp (way->how, "drip") == 0;
  uint64_t sent = 0;
  ssize_t got = 0;

  if (way == NULL)
    {
      close (fd);
      return NULL;
    }
  while (!drip && block->len < ENDLESS_BLOCK_BYTES)
    g_string_append (block, way->unit);
  if (drip)
    g_string_append (block, way->unit);
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
#pragma GCC diagnostic ignored "-Wformat-security"
  dprintf (fd, way->begin, id);
#pragma GCC diagnostic pop
  while ((got = send (fd, block->str, block->len, MSG_NOSIGNAL)) > 0)
    {
      sent += (uint64_t)got;
      if (drip)
        g_usleep (ENDLESS_DRIP_US);
    }
  printf ("%s %" G_GUINT64_FORMAT " %" G_GINT64_FORMAT "\n", way->how, sent,
          (g_get_monotonic_time () - began_us) / 1000);
  fflush (stdout);
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int one = 1;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (argc < 2)
    {
      fprintf (stderr, "endless PORT\n");
      return 1;
    }
  address.sin_port = htons ((uint16_t)g_ascii_strtoull (argv[1], NULL, 10));
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, 64) != 0)
    return 1;
  for (;;)
    {
      int fd = accept (listener, NULL, NULL);
      if (fd >= 0)
        g_thread_unref (g_thread_new ("serve", serve, GINT_TO_POINTER (fd)));
    }
}
