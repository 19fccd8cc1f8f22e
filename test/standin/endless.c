/*
 * Stand-in for a backend server that sends until the daemon closes the connection.
 *
 *   endless PORT
 *
 * The last segment of the request's path selects what has no end:
 *   line                a header line
 *   lines               the header section
 *   interim             interim (1xx) responses
 *   raw                 bytes that are not HTTP
 *   drip                the same, one byte every 50 ms
 *   chunked, unframed   the body of a stamped response, with and without chunked coding
 *   chunk               a chunk-size line
 *   trailers            the trailer section
 *
 * When a connection ends, it prints a line: the segment, bytes sent, milliseconds.
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
  const char *name;
  const char *prefix;   /* format, its argument is the request id */
  const char *repeated; /* sent until the connection closes */
} EndlessResponse;

static const EndlessResponse endless_responses[] = {
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

static const EndlessResponse *
find_response (const char *request)
{
  for (size_t i = 0; i < G_N_ELEMENTS (endless_responses); i++)
    {
      g_autofree char *path = g_strconcat ("/", endless_responses[i].name, " ", NULL);
      if (strstr (request, path) != NULL)
        return &endless_responses[i];
    }
  return NULL;
}

/* RETURN VALUE: TRUE when a complete head was read. */
static gboolean
read_head (int fd, char *head, size_t size)
{
  size_t length = 0;
  ssize_t count;

  while (length + 1 < size && (count = recv (fd, head + length, size - 1 - length, 0)) > 0)
    {
      length += (size_t)count;
      head[length] = '\0';
      if (strstr (head, "\r\n\r\n") != NULL)
        return TRUE;
    }
  return FALSE;
}

static char *
copy_request_id (const char *head)
{
  const char *header = "Gentianscale-Request-Id: ";
  const char *value = strstr (head, header);

  return value != NULL
             ? g_strndup (value + strlen (header), strcspn (value + strlen (header), "\r"))
             : g_strdup ("");
}

static gpointer
serve_connection (gpointer data)
{
  int fd = GPOINTER_TO_INT (data);
  char head[16384];
  const EndlessResponse *response = read_head (fd, head, sizeof head) ? find_response (head) : NULL;
  g_autofree char *request_id = response != NULL ? copy_request_id (head) : NULL;
  g_autoptr (GString) block = g_string_new (NULL);
  int64_t started_us = g_get_monotonic_time ();
  gboolean drip = response != NULL && strcmp (response->name, "drip") == 0;
  uint64_t sent = 0;
  ssize_t count = 0;

  if (response == NULL)
    {
      close (fd);
      return NULL;
    }
  while (!drip && block->len < ENDLESS_BLOCK_BYTES)
    g_string_append (block, response->repeated);
  if (drip)
    g_string_append (block, response->repeated);
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
#pragma GCC diagnostic ignored "-Wformat-security"
  dprintf (fd, response->prefix, request_id);
#pragma GCC diagnostic pop
  while ((count = send (fd, block->str, block->len, MSG_NOSIGNAL)) > 0)
    {
      sent += (uint64_t)count;
      if (drip)
        g_usleep (ENDLESS_DRIP_US);
    }
  printf ("%s %" G_GUINT64_FORMAT " %" G_GINT64_FORMAT "\n", response->name, sent,
          (g_get_monotonic_time () - started_us) / 1000);
  fflush (stdout);
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int enabled = 1;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (argc < 2)
    {
      fprintf (stderr, "usage: endless PORT\n");
      return 1;
    }
  address.sin_port = htons ((uint16_t)g_ascii_strtoull (argv[1], NULL, 10));
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, 64) != 0)
    return 1;
  for (;;)
    {
      int fd = accept (listener, NULL, NULL);
      if (fd >= 0)
        g_thread_unref (g_thread_new ("serve", serve_connection, GINT_TO_POINTER (fd)));
    }
}
