/*
 * Stand-in for a backend server: 4 slots, 300 connections, one thread a connection, plain sockets
 * so that it can fail in ways that no server library allows. Answers are a function of the request,
 * so a caller can check them byte by byte. Faults are set on the port 1000 above by GET
 * /control?NAME=VALUE, see `faults`; GET /control/runs lists how often each run identifier (header
 * Run-Id) was run.
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
  BACKEND_QUEUE_MAX = 64,
  BACKEND_CONTROL_OFFSET = 1000, /* of the control port */
  BACKEND_POLL_MS = 2,
};

/* Faults, each an integer; 0 is off. */
typedef struct
{
  const char *name;
  int value;
} Fault;

enum
{
  FAIL_PERCENT,  /* answer 500 to this share of real work */
  SLOW_FACTOR,   /* multiply the service time */
  SILENT,        /* 1: never answer; 2: never answer on connections that are open now */
  RESET_PERCENT, /* drop the connection without an answer */
  TRUNCATE,      /* send half of the answer, then close */
  TWICE,         /* send the answer twice */
  SHED,          /* refuse unread */
  LEAVING,       /* refuse unread and say so */
  STUCK_SLOTS,   /* slots whose request never ends */
  FAIL_PREFIX,   /* 1: fail only paths that begin with /bad */
  RESTART_MS,    /* time for which a crash closes the door */
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
  int notes; /* headers of this name */
} Request;

static GMutex lock;
static GCond slot_free;
static GHashTable *runs; /* run id -> count */
static GHashTable *sockets;
static int running;
static int waiting;
static int stuck;
static int crashes;
static int slots = 4;
static int64_t service_us = 5000;
static gint64 epoch_us; /* connections older than this are silent in mode 2 */
static gint64 closed_until_us;
static char id[64];

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
answer (int fd, int status, const char *headers, const char *body)
{
  g_autofree char *text = g_strdup_printf ("HTTP/1.1 %d X\r\nContent-Length: %zu\r\n%s\r\n%s",
                                           status, strlen (body), headers, body);

  return send_all (fd, text, strlen (text));
}

static void
read_header (const char *head, const char *name, char *out, size_t size)
{
  g_autofree char *pattern = g_strdup_printf ("\r\n%s:", name);
  const char *lower = strcasestr (head, pattern);
  size_t length;

  out[0] = '\0';
  if (lower == NULL)
    return;
  lower += strlen (pattern);
  lower += strspn (lower, " ");
  length = MIN (strcspn (lower, "\r\n"), size - 1);
  memcpy (out, lower, length);
  out[length] = '\0';
}

/* How often a header stands in HEAD. */
static int
count_headers (const char *head, const char *name)
{
  g_autofree char *pattern = g_strdup_printf ("\r\n%s:", name);
  int count = 0;

  for (const char *at = strcasestr (head, pattern); at != NULL; at = strcasestr (at + 1, pattern))
    count++;
  return count;
}

/* FNV-1a over the body, fed piece by piece. */
static uint64_t
add_hash (uint64_t hash, const char *bytes, size_t length)
{
  for (size_t i = 0; i < length; i++)
    hash = (hash ^ (uint8_t)bytes[i]) * UINT64_C (1099511628211);
  return hash;
}

static gboolean
read_request (int fd, Request *request)
{
  char head[BACKEND_HEAD_BYTES + 1];
  size_t used = 0;
  char *end = NULL;
  char length[32];
  size_t have;

  memset (request, 0, sizeof *request);
  while (end == NULL)
    {
      ssize_t got
          = used < BACKEND_HEAD_BYTES ? recv (fd, head + used, BACKEND_HEAD_BYTES - used, 0) : 0;
      if (got <= 0)
        return FALSE;
      used += (size_t)got;
      head[used] = '\0';
      end = strstr (head, "\r\n\r\n");
    }
  have = used - (size_t)(end + 4 - head);
  request->body_hash = add_hash (UINT64_C (14695981039346656037), end + 4, have);
  end[2] = '\0';
  if (sscanf (head, "%15s %1023s", request->method, request->path) != 2)
    return FALSE;
  read_header (head, "Run-Id", request->run_id, sizeof request->run_id);
  read_header (head, "Gentian-Attempt", request->attempt, sizeof request->attempt);
  request->notes = count_headers (head, "Note");
  read_header (head, "Content-Length", length, sizeof length);
  request->body_length = (size_t)strtoull (length, NULL, 10);
  while (have < request->body_length)
    {
      ssize_t got = recv (fd, head, MIN (sizeof head, request->body_length - have), 0);
      if (got <= 0)
        return FALSE;
      request->body_hash = add_hash (request->body_hash, head, (size_t)got);
      have += (size_t)got;
    }
  return TRUE;
}

static void
answer_control (int fd, const Request *request)
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
        epoch_us = g_get_monotonic_time ();
      }
  if (g_str_has_prefix (request->path, "/control/runs"))
    {
      g_hash_table_iter_init (&iter, runs);
      while (g_hash_table_iter_next (&iter, &key, &value))
        g_string_append_printf (body, "%s %d\n", (char *)key, GPOINTER_TO_INT (value));
    }
  else
    g_string_append_printf (body, "crashes %d\nrunning %d\n", crashes, running);
  g_mutex_unlock (&lock);
  answer (fd, 200, "", body->str);
}

static void
count_run (const Request *request)
{
  g_mutex_lock (&lock);
  if (request->run_id[0] != '\0')
    {
      int before = GPOINTER_TO_INT (g_hash_table_lookup (runs, request->run_id));
      g_hash_table_replace (runs, g_strdup (request->run_id), GINT_TO_POINTER (before + 1));
    }
  g_mutex_unlock (&lock);
}

static gboolean
take_slot (void)
{
  gboolean taken;

  g_mutex_lock (&lock);
  waiting++;
  while (running >= slots && waiting <= BACKEND_QUEUE_MAX)
    g_cond_wait (&slot_free, &lock);
  waiting--;
  taken = running < slots;
  running += taken ? 1 : 0;
  g_mutex_unlock (&lock);
  return taken;
}

static void
free_slot (void)
{
  g_mutex_lock (&lock);
  running--;
  g_cond_signal (&slot_free);
  g_mutex_unlock (&lock);
}

/* Every connection ends at once, and none is accepted until the restart. */
static void
crash (void)
{
  GHashTableIter iter;
  gpointer key;

  g_mutex_lock (&lock);
  crashes++;
  closed_until_us = g_get_monotonic_time () + (gint64)fault (RESTART_MS) * 1000;
  g_hash_table_iter_init (&iter, sockets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct linger hard = { .l_onoff = 1 };
      setsockopt (GPOINTER_TO_INT (key), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      shutdown (GPOINTER_TO_INT (key), SHUT_RDWR);
    }
  g_mutex_unlock (&lock);
}

static void
work (void)
{
  double mean = (double)service_us * fault (SLOW_FACTOR);

  g_usleep ((gulong)(-log (1 - g_random_double () * 0.9999) * mean));
}

/* The answer to a request: a head line that names it, then bytes that follow from its path. */
static gboolean
answer_work (int fd, const Request *request)
{
  size_t size = 0;
  g_autofree char *line
      = g_strdup_printf ("%s %s run=%s body=%016" G_GINT64_MODIFIER "x\n", request->method,
                         request->path, request->run_id, request->body_hash);
  g_autofree char *head = NULL;
  char block[16384];
  size_t total;
  size_t stop_at;

  if (sscanf (request->path, "/size/%zu", &size) != 1
      && sscanf (request->path, "/big/%zu", &size) != 1)
    size = 0;
  total = strlen (line) + size;
  stop_at = fault (TRUNCATE) ? total / 2 : total;
  head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\nServed-By: %s\r\n"
      "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nSet-Cookie: c=3\r\nVary: x\r\nVary: y\r\n"
      "Gentian-Attempt: %s\r\nNotes-Seen: %d\r\n\r\n",
      total, id, request->attempt, request->notes);
  if (!send_all (fd, head, strlen (head)) || !send_all (fd, line, MIN (strlen (line), stop_at)))
    return FALSE;
  memset (block, 'a' + (int)(strlen (request->path) % 26), sizeof block);
  for (size_t sent = strlen (line); sent < stop_at;)
    {
      size_t piece = MIN (sizeof block, stop_at - sent);
      if (!send_all (fd, block, piece))
        return FALSE;
      sent += piece;
    }
  return stop_at == total;
}

/* RETURN VALUE: FALSE when the connection ends. */
static gboolean
run_request (int fd, const Request *request)
{
  gboolean go_on = TRUE;

  if (!take_slot ())
    return answer (fd, 503, "Gentian-Verdict: not-run\r\n", "no slot\n");
  count_run (request);
  if (g_atomic_int_get (&stuck) < fault (STUCK_SLOTS))
    {
      g_atomic_int_inc (&stuck);
      g_usleep (G_USEC_PER_SEC * 3600UL);
    }
  work ();
  if (strstr (request->path, "/crash") != NULL)
    {
      free_slot ();
      crash ();
      return FALSE;
    }
  if (g_random_int_range (0, 100) < fault (RESET_PERCENT))
    go_on = FALSE;
  else if ((g_random_int_range (0, 100) < fault (FAIL_PERCENT))
           || (fault (FAIL_PREFIX) && g_str_has_prefix (request->path, "/bad")))
    go_on = answer (fd, 500, "", "failed\n");
  else
    go_on = answer_work (fd, request) && (!fault (TWICE) || answer_work (fd, request));
  free_slot ();
  return go_on;
}

static gboolean
is_silent (gint64 opened_us)
{
  return fault (SILENT) == 1 || (fault (SILENT) == 2 && opened_us < epoch_us);
}

static gboolean
serve_one (int fd, gint64 opened_us)
{
  Request request;

  if (!read_request (fd, &request))
    return FALSE;
  if (g_str_has_prefix (request.path, "/health"))
    return answer (fd, 200, "", "healthy\n");
  if (fault (LEAVING))
    return answer (fd, 503, "Gentian-Verdict: not-run\r\nGentian-Leaving: true\r\n", "leaving\n");
  if (fault (SHED))
    return answer (fd, 503, "Gentian-Verdict: not-run\r\n", "shed\n");
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
serve (gpointer data)
{
  int fd = GPOINTER_TO_INT (data);
  gint64 opened_us = g_get_monotonic_time ();

  while (serve_one (fd, opened_us))
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
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0 || listen (fd, 512) != 0)
    return -1;
  return fd;
}

static void
accept_one (int listener)
{
  int one = 1;
  int fd = accept (listener, NULL, NULL);

  if (fd < 0)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  g_mutex_lock (&lock);
  if (g_hash_table_size (sockets) >= BACKEND_CONNECTIONS_MAX)
    close (fd);
  else
    {
      g_hash_table_add (sockets, GINT_TO_POINTER (fd));
      g_thread_unref (g_thread_new ("serve", serve, GINT_TO_POINTER (fd)));
    }
  g_mutex_unlock (&lock);
}

/* The control port stays open while a crash keeps the other one closed. */
static gpointer
serve_control (gpointer data)
{
  int listener = GPOINTER_TO_INT (data);

  for (;;)
    {
      Request request;
      int fd = accept (listener, NULL, NULL);
      while (fd >= 0 && read_request (fd, &request))
        answer_control (fd, &request);
      if (fd >= 0)
        close (fd);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  int listener;
  int control;
  uint16_t port;

  if (argc < 3)
    {
      fprintf (stderr, "usage: backend PORT ID [SERVICE_US [SLOTS]]\n");
      return 1;
    }
  g_strlcpy (id, argv[2], sizeof id);
  service_us = argc > 3 ? atoi (argv[3]) : service_us;
  slots = argc > 4 ? atoi (argv[4]) : slots;
  signal (SIGPIPE, SIG_IGN);
  runs = g_hash_table_new (g_str_hash, g_str_equal);
  sockets = g_hash_table_new (g_direct_hash, g_direct_equal);
  port = (uint16_t)atoi (argv[1]);
  listener = listen_on (port);
  control = listen_on ((uint16_t)(port + BACKEND_CONTROL_OFFSET));
  if (listener < 0 || control < 0)
    return 3;
  g_thread_unref (g_thread_new ("control", serve_control, GINT_TO_POINTER (control)));
  for (;;)
    {
      struct pollfd item = { .fd = listener, .events = POLLIN };
      gint64 closed_us;
      g_mutex_lock (&lock);
      closed_us = closed_until_us - g_get_monotonic_time ();
      g_mutex_unlock (&lock);
      if (closed_us > 0)
        {
          close (listener);
          g_usleep ((gulong)closed_us);
          listener = listen_on (port);
        }
      else if (poll (&item, 1, BACKEND_POLL_MS) > 0)
        accept_one (listener);
    }
}
