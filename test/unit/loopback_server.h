/* For unit tests: an HTTP server on a loopback port that answers with given bytes. */
#ifndef LOOPBACK_SERVER_H
#define LOOPBACK_SERVER_H

#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

typedef enum
{
  LOOPBACK_CLOSES = 0, /* ends the connection after each answer */
  LOOPBACK_KEEPS,      /* keeps the connection */
  LOOPBACK_REPEATS,    /* keeps it, and gives its first answer to all later requests as well */
} LoopbackMode;

typedef struct
{
  int listener;
  char *url;
  GThread *acceptor;
  GThreadPool *workers;
  GMutex lock; /* protects the fields below */
  LoopbackMode mode;
  GPtrArray *answers; /* of GBytes, one a request; the last one is given again */
  GArray *sockets;    /* of int */
  uint32_t n_requests;
} LoopbackServer;

/* RETURN VALUE: the length of the request at the start of TEXT, or 0 while it is incomplete. */
static inline size_t
loopback_request_length (const GString *text)
{
  const char *end = strstr (text->str, "\r\n\r\n");
  size_t length = end != NULL ? (size_t)(end - text->str) + 4 : 0;

  for (const char *line = strstr (text->str, "\r\n"); end != NULL && line != end;
       line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, "Content-Length:", 15) == 0)
      length += g_ascii_strtoull (line + 17, NULL, 10);
  return text->len >= length ? length : 0;
}

static inline bool
loopback_read_request (int socket, GString *text)
{
  char bytes[4096];
  ssize_t count;

  while (loopback_request_length (text) == 0)
    {
      count = recv (socket, bytes, sizeof bytes, 0);
      if (count <= 0)
        return false;
      g_string_append_len (text, bytes, count);
    }
  g_string_erase (text, 0, (gssize)loopback_request_length (text));
  return true;
}

static inline GBytes *
loopback_next_answer (LoopbackServer *server)
{
  GBytes *answer;

  g_mutex_lock (&server->lock);
  answer = g_bytes_ref (
      g_ptr_array_index (server->answers, MIN (server->n_requests, server->answers->len - 1)));
  server->n_requests++;
  g_mutex_unlock (&server->lock);
  return answer;
}

static inline void
loopback_serve (gpointer data, gpointer user_data)
{
  LoopbackServer *server = user_data;
  int socket = GPOINTER_TO_INT (data);
  g_autoptr (GBytes) answer = NULL;
  GString *text = g_string_new (NULL);

  while (loopback_read_request (socket, text))
    {
      gsize length;
      const char *bytes;
      if (answer == NULL || server->mode != LOOPBACK_REPEATS)
        {
          g_clear_pointer (&answer, g_bytes_unref);
          answer = loopback_next_answer (server);
        }
      bytes = g_bytes_get_data (answer, &length);
      if (length > 0 && send (socket, bytes, length, MSG_NOSIGNAL) != (ssize_t)length)
        break;
      if (server->mode == LOOPBACK_CLOSES)
        break;
    }
  shutdown (socket, SHUT_RDWR);
  g_string_free (text, TRUE);
}

static inline gpointer
loopback_accept (gpointer data)
{
  LoopbackServer *server = data;
  int socket;

  while ((socket = accept (server->listener, NULL, NULL)) >= 0)
    {
      g_mutex_lock (&server->lock);
      g_array_append_val (server->sockets, socket);
      g_mutex_unlock (&server->lock);
      g_thread_pool_push (server->workers, GINT_TO_POINTER (socket), NULL);
    }
  return NULL;
}

static inline LoopbackServer *
loopback_new (LoopbackMode mode)
{
  LoopbackServer *server = g_new0 (LoopbackServer, 1);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  server->mode = mode;
  server->answers = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  server->sockets = g_array_new (FALSE, FALSE, sizeof (int));
  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (server->listener, (struct sockaddr *)&address, length) != 0
      || listen (server->listener, 64) != 0
      || getsockname (server->listener, (struct sockaddr *)&address, &length) != 0)
    g_error ("no loopback server");
  server->url = g_strdup_printf ("http://127.0.0.1:%u", ntohs (address.sin_port));
  server->workers = g_thread_pool_new (loopback_serve, server, -1, FALSE, NULL);
  server->acceptor = g_thread_new ("loopback", loopback_accept, server);
  return server;
}

static inline void
loopback_free (LoopbackServer *server)
{
  shutdown (server->listener, SHUT_RDWR);
  g_thread_join (server->acceptor);
  for (guint i = 0; i < server->sockets->len; i++)
    shutdown (g_array_index (server->sockets, int, i), SHUT_RDWR);
  g_thread_pool_free (server->workers, FALSE, TRUE);
  for (guint i = 0; i < server->sockets->len; i++)
    close (g_array_index (server->sockets, int, i));
  close (server->listener);
  g_ptr_array_unref (server->answers);
  g_array_unref (server->sockets);
  g_free (server->url);
  g_free (server);
}

/* Appends the LENGTH bytes at BYTES to the list of answers. */
static inline void
loopback_add (LoopbackServer *server, const void *bytes, size_t length)
{
  g_mutex_lock (&server->lock);
  g_ptr_array_add (server->answers, g_bytes_new (bytes, length));
  g_mutex_unlock (&server->lock);
}

/* Replaces the list of answers by one. */
static inline void
loopback_set (LoopbackServer *server, const void *bytes, size_t length)
{
  g_mutex_lock (&server->lock);
  g_ptr_array_set_size (server->answers, 0);
  server->n_requests = 0;
  g_mutex_unlock (&server->lock);
  loopback_add (server, bytes, length);
}

typedef enum
{
  LOOPBACK_LENGTH = 0, /* the body is framed by a Content-Length */
  LOOPBACK_CHUNKED,
  LOOPBACK_UNFRAMED, /* by the end of the connection */
} LoopbackFraming;

/* RETURN VALUE: a newly allocated answer of STATUS with the LENGTH bytes at BODY. */
static inline GByteArray *
loopback_answer (unsigned int status, LoopbackFraming framing, const void *body, size_t length)
{
  GByteArray *answer = g_byte_array_new ();
  g_autofree char *head = g_strdup_printf ("HTTP/1.1 %u Text\r\nServer: loopback\r\n", status);
  g_autofree char *framing_line
      = framing == LOOPBACK_LENGTH
            ? g_strdup_printf ("Content-Length: %zu\r\n\r\n", length)
            : g_strdup (framing == LOOPBACK_CHUNKED ? "Transfer-Encoding: chunked\r\n\r\n"
                                                    : "\r\n");

  g_byte_array_append (answer, (const guint8 *)head, (guint)strlen (head));
  g_byte_array_append (answer, (const guint8 *)framing_line, (guint)strlen (framing_line));
  if (framing == LOOPBACK_CHUNKED && length > 0)
    {
      g_autofree char *size_line = g_strdup_printf ("%zx\r\n", length);
      g_byte_array_append (answer, (const guint8 *)size_line, (guint)strlen (size_line));
    }
  g_byte_array_append (answer, body, (guint)length);
  if (framing == LOOPBACK_CHUNKED)
    g_byte_array_append (answer, (const guint8 *)(length > 0 ? "\r\n0\r\n\r\n" : "0\r\n\r\n"),
                         length > 0 ? 7 : 5);
  return answer;
}

#endif
