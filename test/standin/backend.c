/*
 * Stand-in for a backend server with 4 slots, at most 300 connections and one thread per
 * connection. It uses plain sockets because a server library cannot send malformed or partial
 * responses. A response is a function of the request, so that a caller can check it byte by byte.
 *
 * The control port is the port + 1000. GET /control?NAME=VALUE sets a fault (see `faults`), and GET
 * /control/runs lists how many times each run identifier (request header Run-Id) was executed.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <math.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  BACKEND_CONNECTIONS_MAX = 300,
  BACKEND_HEAD_BYTES = 32768,
  BACKEND_WAITING_MAX = 64,
  BACKEND_CONTROL_PORT_OFFSET = 1000, /* of the control port */
  BACKEND_ACCEPT_POLL_MS = 2,
};

/* A fault that the control port sets. 0 turns it off, except for the factor and the duration. */
typedef struct
{
  const char *name;
  int value;
} Fault;

enum
{
  FAIL_PERCENT,  /* share of requests that get status 500, also large ones; health checks pass */
  SLOW_FACTOR,   /* multiplies the service time */
  SILENT,        /* 1: never respond; 2: never respond on connections opened before this was set */
  RESET_PERCENT, /* share of requests after which the connection closes without a response */
  TRUNCATE,      /* send half of the body, then close */
  TWICE,         /* send the response twice */
  SHED,          /* respond 503 not-run without executing the request */
  LEAVING,       /* the same, with the header Gentian-Leaving */
  STUCK_SLOTS,   /* number of requests that occupy a slot for an hour */
  FAIL_PREFIX,   /* 1: requests whose path starts with /bad get status 500 */
  RESTART_MS,    /* time without a listening socket after a crash */
  FAULT_COUNT
};

static Fault faults[FAULT_COUNT]
    = { { "fail_percent", 0 }, { "slow_factor", 1 }, { "silent", 0 },       { "reset_percent", 0 },
        { "truncate", 0 },     { "twice", 0 },       { "shed", 0 },         { "leaving", 0 },
        { "stuck_slots", 0 },  { "fail_prefix", 0 }, { "restart_ms", 1500 } };

typedef struct
{
  char method[16];
  char path[1024];
  char run_id[128];
  char attempt[32];
  size_t body_length;
  uint64_t body_hash;
  int note_headers; /* number of Note headers */
} Request;

static GMutex lock;
static GCond slot_available;
static GHashTable *runs;    /* run id -> number of executions */
static GHashTable *sockets; /* open connections */
static int running_requests;
static int waiting_requests;
static int stuck_requests;
static int crashes;
static int slots = 4;
static int64_t service_us = 5000;
static gint64 fault_set_us; /* connections opened before this are silent in mode 2 */
static gint64 restart_at_us;
static char server_id[64];

static int
fault (int index)
{
  return g_atomic_int_get (&faults[index].value);
}

static gboolean
send_all (int fd, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, bytes, length, MSG_NOSIGNAL);
      if (sent <= 0)
        return FALSE;
      bytes += sent;
      length -= (size_t)sent;
    }
  return TRUE;
}

static gboolean
send_response (int fd, int status, const char *headers, const char *body)
{
  g_autofree char *text = g_strdup_printf ("HTTP/1.1 %d X\r\nContent-Length: %zu\r\n%s\r\n%s",
                                           status, strlen (body), headers, body);

  return send_all (fd, text, strlen (text));
}

/* Echoes the attempt that the response answers. */
static gboolean
answer_attempt (int fd, const Request *request, int status, const char *headers, const char *body)
{
  g_autofree char *all = g_strdup_printf ("%sGentian-Attempt: %s\r\n", headers, request->attempt);

  return send_response (fd, status, all, body);
}

static void
copy_header (const char *head, const char *name, char *out, size_t size)
{
  g_autofree char *pattern = g_strdup_printf ("\r\n%s:", name);
  const char *value = strcasestr (head, pattern);
  size_t length;

  out[0] = '\0';
  if (value == NULL)
    return;
  value += strlen (pattern);
  value += strspn (value, " ");
  length = MIN (strcspn (value, "\r\n"), size - 1);
  memcpy (out, value, length);
  out[length] = '\0';
}

/* Counts the headers called NAME in HEAD. */
static int
count_headers (const char *head, const char *name)
{
  g_autofree char *pattern = g_strdup_printf ("\r\n%s:", name);
  int count = 0;

  for (const char *at = strcasestr (head, pattern); at != NULL; at = strcasestr (at + 1, pattern))
    count++;
  return count;
}

/* Continues a 64-bit FNV-1a hash. */
static uint64_t
hash_bytes (uint64_t hash, const char *bytes, size_t length)
{
  for (size_t i = 0; i < length; i++)
    hash = (hash ^ (uint8_t)bytes[i]) * UINT64_C (1099511628211);
  return hash;
}

static gboolean
receive_request (int fd, Request *request)
{
  char head[BACKEND_HEAD_BYTES + 1];
  size_t received = 0;
  char *end = NULL;
  char length[32];
  size_t body_received;

  memset (request, 0, sizeof *request);
  while (end == NULL)
    {
      ssize_t count = received < BACKEND_HEAD_BYTES
                          ? recv (fd, head + received, BACKEND_HEAD_BYTES - received, 0)
                          : 0;
      if (count <= 0)
        return FALSE;
      received += (size_t)count;
      head[received] = '\0';
      end = strstr (head, "\r\n\r\n");
    }
  body_received = received - (size_t)(end + 4 - head);
  request->body_hash = hash_bytes (UINT64_C (14695981039346656037), end + 4, body_received);
  end[2] = '\0';
  if (sscanf (head, "%15s %1023s", request->method, request->path) != 2)
    return FALSE;
  copy_header (head, "Run-Id", request->run_id, sizeof request->run_id);
  copy_header (head, "Gentian-Attempt", request->attempt, sizeof request->attempt);
  request->note_headers = count_headers (head, "Note");
  copy_header (head, "Content-Length", length, sizeof length);
  request->body_length = (size_t)strtoull (length, NULL, 10);
  while (body_received < request->body_length)
    {
      ssize_t count = recv (fd, head, MIN (sizeof head, request->body_length - body_received), 0);
      if (count <= 0)
        return FALSE;
      request->body_hash = hash_bytes (request->body_hash, head, (size_t)count);
      body_received += (size_t)count;
    }
  return TRUE;
}

static void
serve_control_request (int fd, const Request *request)
{
  g_autoptr (GString) body = g_string_new (NULL);
  const char *query = strchr (request->path, '?');
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_mutex_lock (&lock);
  for (int i = 0; query != NULL && i < FAULT_COUNT; i++)
    if (g_str_has_prefix (query + 1, faults[i].name))
      {
        g_atomic_int_set (&faults[i].value, atoi (strchr (query, '=') + 1));
        fault_set_us = g_get_monotonic_time ();
      }
  if (g_str_has_prefix (request->path, "/control/runs"))
    {
      g_hash_table_iter_init (&iter, runs);
      while (g_hash_table_iter_next (&iter, &key, &value))
        g_string_append_printf (body, "%s %d\n", (char *)key, GPOINTER_TO_INT (value));
    }
  else
    g_string_append_printf (body, "crashes %d\nrunning %d\n", crashes, running_requests);
  g_mutex_unlock (&lock);
  send_response (fd, 200, "", body->str);
}

static void
count_run (const Request *request)
{
  g_mutex_lock (&lock);
  if (request->run_id[0] != '\0')
    {
      int previous = GPOINTER_TO_INT (g_hash_table_lookup (runs, request->run_id));
      g_hash_table_replace (runs, g_strdup (request->run_id), GINT_TO_POINTER (previous + 1));
    }
  g_mutex_unlock (&lock);
}

static gboolean
acquire_slot (void)
{
  gboolean acquired;

  g_mutex_lock (&lock);
  waiting_requests++;
  while (running_requests >= slots && waiting_requests <= BACKEND_WAITING_MAX)
    g_cond_wait (&slot_available, &lock);
  waiting_requests--;
  acquired = running_requests < slots;
  running_requests += acquired ? 1 : 0;
  g_mutex_unlock (&lock);
  return acquired;
}

static void
release_slot (void)
{
  g_mutex_lock (&lock);
  running_requests--;
  g_cond_signal (&slot_available);
  g_mutex_unlock (&lock);
}

/* Aborts every connection; none is accepted until the restart. */
static void
crash (void)
{
  GHashTableIter iter;
  gpointer key;

  g_mutex_lock (&lock);
  crashes++;
  restart_at_us = g_get_monotonic_time () + (gint64)fault (RESTART_MS) * 1000;
  g_hash_table_iter_init (&iter, sockets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct linger abort_on_close = { .l_onoff = 1 };
      setsockopt (GPOINTER_TO_INT (key), SOL_SOCKET, SO_LINGER, &abort_on_close,
                  sizeof abort_on_close);
      shutdown (GPOINTER_TO_INT (key), SHUT_RDWR);
    }
  g_mutex_unlock (&lock);
}

static void
simulate_work (void)
{
  double mean = (double)service_us * fault (SLOW_FACTOR);

  g_usleep ((gulong)(-log (1 - g_random_double () * 0.9999) * mean));
}

/*
 * Sends a body that depends on the request only: a line that identifies the request, then the
 * number of fill bytes that the path asks for.
 */
static gboolean
send_work_response (int fd, const Request *request, int status)
{
  size_t size = 0;
  g_autofree char *line
      = g_strdup_printf ("%s %s run=%s body=%016" G_GINT64_MODIFIER "x\n", request->method,
                         request->path, request->run_id, request->body_hash);
  g_autofree char *head = NULL;
  char block[16384];
  size_t total;
  size_t send_limit;

  if (sscanf (request->path, "/size/%zu", &size) != 1
      && sscanf (request->path, "/big/%zu", &size) != 1
      && sscanf (request->path, "/once/big/%zu", &size) != 1)
    size = 0;
  total = strlen (line) + size;
  send_limit = fault (TRUNCATE) ? total / 2 : total;
  head = g_strdup_printf (
      "HTTP/1.1 %d X\r\nContent-Length: %zu\r\nServed-By: %s\r\n"
      "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nSet-Cookie: c=3\r\nVary: x\r\nVary: y\r\n"
      "Gentian-Attempt: %s\r\nNotes-Seen: %d\r\n\r\n",
      status, total, server_id, request->attempt, request->note_headers);
  if (!send_all (fd, head, strlen (head)) || !send_all (fd, line, MIN (strlen (line), send_limit)))
    return FALSE;
  memset (block, 'a' + (int)(strlen (request->path) % 26), sizeof block);
  for (size_t sent = strlen (line); sent < send_limit;)
    {
      size_t piece = MIN (sizeof block, send_limit - sent);
      if (!send_all (fd, block, piece))
        return FALSE;
      sent += piece;
    }
  return send_limit == total;
}

/* RETURN VALUE: FALSE when the connection is to be closed. */
static gboolean
run_request (int fd, const Request *request)
{
  gboolean keep_open = TRUE;

  if (!acquire_slot ())
    return answer_attempt (fd, request, 503, "Gentian-Verdict: not-run\r\n", "no slot\n");
  count_run (request);
  if (g_atomic_int_get (&stuck_requests) < fault (STUCK_SLOTS))
    {
      g_atomic_int_inc (&stuck_requests);
      g_usleep (G_USEC_PER_SEC * 3600UL);
    }
  simulate_work ();
  if (strstr (request->path, "/crash") != NULL)
    {
      release_slot ();
      crash ();
      return FALSE;
    }
  if (g_random_int_range (0, 100) < fault (RESET_PERCENT))
    keep_open = FALSE;
  else if ((g_random_int_range (0, 100) < fault (FAIL_PERCENT))
           || (fault (FAIL_PREFIX) && g_str_has_prefix (request->path, "/bad")))
    keep_open = strstr (request->path, "/big/") != NULL
                    ? send_work_response (fd, request, 500)
                    : answer_attempt (fd, request, 500, "", "failed\n");
  else
    keep_open = send_work_response (fd, request, 200)
                && (!fault (TWICE) || send_work_response (fd, request, 200));
  release_slot ();
  return keep_open;
}

static gboolean
is_silent (gint64 opened_us)
{
  return fault (SILENT) == 1 || (fault (SILENT) == 2 && opened_us < fault_set_us);
}

static gboolean
serve_request (int fd, gint64 opened_us)
{
  Request request;

  if (!receive_request (fd, &request))
    return FALSE;
  if (g_str_has_prefix (request.path, "/health"))
    return send_response (fd, 200, "", "healthy\n");
  if (fault (LEAVING))
    return answer_attempt (fd, &request, 503,
                           "Gentian-Verdict: not-run\r\nGentian-Leaving: true\r\n", "leaving\n");
  if (fault (SHED))
    return answer_attempt (fd, &request, 503, "Gentian-Verdict: not-run\r\n", "shed\n");
  if (is_silent (opened_us))
    {
      char byte;
      count_run (&request);
      while (recv (fd, &byte, 1, 0) > 0)
        ;
      return FALSE;
    }
  return run_request (fd, &request);
}

static gpointer
serve_connection (gpointer data)
{
  int fd = GPOINTER_TO_INT (data);
  gint64 opened_us = g_get_monotonic_time ();

  while (serve_request (fd, opened_us))
    ;
  g_mutex_lock (&lock);
  g_hash_table_remove (sockets, GINT_TO_POINTER (fd));
  close (fd);
  g_mutex_unlock (&lock);
  return NULL;
}

static int
listen_on (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  int enabled = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0 || listen (fd, 512) != 0)
    return -1;
  return fd;
}

static void
accept_connection (int listener)
{
  int enabled = 1;
  int fd = accept (listener, NULL, NULL);

  if (fd < 0)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  g_mutex_lock (&lock);
  if (g_hash_table_size (sockets) >= BACKEND_CONNECTIONS_MAX)
    close (fd);
  else
    {
      g_hash_table_add (sockets, GINT_TO_POINTER (fd));
      g_thread_unref (g_thread_new ("serve", serve_connection, GINT_TO_POINTER (fd)));
    }
  g_mutex_unlock (&lock);
}

/* The control port stays open while the other one is closed after a crash. */
static gpointer
run_control (gpointer data)
{
  int listener = GPOINTER_TO_INT (data);

  for (;;)
    {
      Request request;
      int fd = accept (listener, NULL, NULL);
      while (fd >= 0 && receive_request (fd, &request))
        serve_control_request (fd, &request);
      if (fd >= 0)
        close (fd);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  int listener;
  int control_listener;
  uint16_t port;

  if (argc < 3)
    {
      fprintf (stderr, "usage: backend PORT ID [SERVICE_US [SLOTS]]\n");
      return 1;
    }
  g_strlcpy (server_id, argv[2], sizeof server_id);
  service_us = argc > 3 ? atoi (argv[3]) : service_us;
  slots = argc > 4 ? atoi (argv[4]) : slots;
  signal (SIGPIPE, SIG_IGN);
  runs = g_hash_table_new (g_str_hash, g_str_equal);
  sockets = g_hash_table_new (g_direct_hash, g_direct_equal);
  port = (uint16_t)atoi (argv[1]);
  listener = listen_on (port);
  control_listener = listen_on ((uint16_t)(port + BACKEND_CONTROL_PORT_OFFSET));
  if (listener < 0 || control_listener < 0)
    return 3;
  g_thread_unref (g_thread_new ("control", run_control, GINT_TO_POINTER (control_listener)));
  for (;;)
    {
      struct pollfd listener_poll = { .fd = listener, .events = POLLIN };
      gint64 down_us;
      g_mutex_lock (&lock);
      down_us = restart_at_us - g_get_monotonic_time ();
      g_mutex_unlock (&lock);
      if (down_us > 0)
        {
          close (listener);
          g_usleep ((gulong)down_us);
          listener = listen_on (port);
        }
      else if (poll (&listener_poll, 1, BACKEND_ACCEPT_POLL_MS) > 0)
        accept_connection (listener);
    }
}
