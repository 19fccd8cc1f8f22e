/*
 * Stand-ins for the review's cases, by the platform's published protocol. Plain C library and
 * threads only.
 *
 *   peer ports N                                 prints N free loopback ports
 *   peer put STORE_PORT TOPIC KEY FILE           appends one keyed record; FILE - is no value
 *   peer server PORT ID SERVICE ZONE STORE_PORT RECORD [NAME=VALUE...]
 *   peer request PORT METHOD HOST PATH ID DEADLINE_MS [BODY_BYTES]
 *   peer get PORT PATH                           prints status and body
 *   peer crowd SECONDS CLIENTS HOST PATH RECORD PORT...
 *                                                clients with a kept connection each; see below
 *
 * A server works for the milliseconds and answers with the bytes that the request's path asks for:
 * /any/w800/b4000000/name. Its body consists of blocks of BLOCK_BYTES that name the server, the
 * request and their place. Options: slots=N, queue=N, kbs=N (rate of its answers), spoil=PATH_PART
 * (an answer to such a path is broken off at spoil_at=BYTES and sent again behind it on the same
 * connection, as `garble` with `extra`), unframed=1 (no length, the end of the connection ends the
 * answer), reset_at=BYTES (an answer to a path with reset_part=TEXT is cut there by a reset),
 * crash=PATH_PART (it crashes when it begins to run a request to such a path, and is back after
 * CRASH_DOWN_MS as a new incarnation with a new id, ID_2 and so on).
 *
 * A request prints one line: ID status=N outcome=TEXT bytes=N of=N ms=N stamp=TEXT. Outcomes:
 * whole, cut (the connection ended before the end of the answer), closed (no answer at all), late
 * (no answer by the deadline), refused (no connection), unstamped (a success without a stamp) and
 * foreign (a success whose body is not the whole body of the server that stamped it).
 */
#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum
{
  BLOCK_BYTES = 64,
  HEAD_MAX = 65536,
  HEARTBEAT_MS = 1500,
  CRASH_DOWN_MS = 3000,
  FD_MAX = 1024,
  CONNECT_MS = 1000,      /* clients allow a new connection one second */
  CLIENT_MARGIN_MS = 500, /* past the deadline, for answers on their way */
  PORTS_FIRST = 11000,
  PORTS_SPAN = 8000,
};

static int64_t
now_ms (clockid_t clock)
{
  struct timespec time;

  clock_gettime (clock, &time);
  return (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

static void
sleep_ms (int64_t ms)
{
  struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

  while (ms > 0 && nanosleep (&time, &time) != 0 && errno == EINTR)
    ;
}

static struct sockaddr_in
loopback (int port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

static int
connect_to (int port)
{
  struct sockaddr_in address = loopback (port);
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  struct pollfd poll_fd = { .fd = fd, .events = POLLOUT };
  socklen_t size = sizeof on;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  connect (fd, (struct sockaddr *)&address, sizeof address);
  if (poll (&poll_fd, 1, CONNECT_MS) == 1 && getsockopt (fd, SOL_SOCKET, SO_ERROR, &on, &size) == 0
      && on == 0)
    {
      fcntl (fd, F_SETFL, 0);
      return fd;
    }
  close (fd);
  return -1;
}

static bool
send_all (int fd, const void *bytes, size_t length)
{
  const char *next = bytes;

  while (length > 0)
    {
      ssize_t count = send (fd, next, length, MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR)
        continue;
      if (count <= 0)
        return false;
      next += count;
      length -= (size_t)count;
    }
  return true;
}

/* RETURN VALUE: value of header NAME in HEAD, copied to OUT, or NULL. */
static char *
header (const char *head, const char *name, char *out, size_t max)
{
  size_t length = strlen (name);

  for (const char *line = strstr (head, "\r\n"); line != NULL; line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, length) != 0 || line[length] != ':')
        continue;
      line += length + 1;
      line += strspn (line, " ");
      snprintf (out, max, "%.*s", (int)strcspn (line, "\r\n"), line);
      return out;
    }
  return NULL;
}

/* Reads a head into HEAD and what follows it into the rest. RETURN VALUE: bytes after the head, or
 * -1. */
typedef struct
{
  int fd;
  char bytes[HEAD_MAX];
  size_t begin;
  size_t end;
} Reader;

static ssize_t
fill (Reader *reader, int64_t until_ms)
{
  struct pollfd poll_fd = { .fd = reader->fd, .events = POLLIN };
  int64_t left_ms = until_ms - now_ms (CLOCK_MONOTONIC);
  ssize_t count;

  if (reader->begin == reader->end)
    reader->begin = reader->end = 0;
  if (reader->end == sizeof reader->bytes)
    return -1;
  if (left_ms <= 0 || poll (&poll_fd, 1, (int)left_ms) <= 0)
    return -2;
  count = recv (reader->fd, reader->bytes + reader->end, sizeof reader->bytes - reader->end, 0);
  if (count > 0)
    reader->end += (size_t)count;
  return count;
}

/* RETURN VALUE: 1 with the head in HEAD; 0 closed, -1 lost, -2 too late. */
static int
read_head (Reader *reader, char *head, size_t max, int64_t until_ms)
{
  for (;;)
    {
      char *begin = reader->bytes + reader->begin;
      char *blank = memmem (begin, reader->end - reader->begin, "\r\n\r\n", 4);
      ssize_t count;
      if (blank != NULL)
        {
          size_t length = (size_t)(blank - begin) + 4;
          snprintf (head, max, "%.*s", (int)length, begin);
          reader->begin += length;
          return 1;
        }
      count = fill (reader, until_ms);
      if (count <= 0)
        return (int)count;
    }
}

/* RETURN VALUE: number of bytes taken, at most MAX; 0 closed, -1 lost, -2 too late. */
static ssize_t
read_some (Reader *reader, char *out, size_t max, int64_t until_ms)
{
  size_t held;

  if (reader->begin == reader->end)
    {
      ssize_t count = fill (reader, until_ms);
      if (count <= 0)
        return count;
    }
  held = reader->end - reader->begin;
  if (held > max)
    held = max;
  memcpy (out, reader->bytes + reader->begin, held);
  reader->begin += held;
  return (ssize_t)held;
}

/* ports */

/* Below the usual range of outgoing connections, which could take a port before its server does. */
static int
print_ports (int count)
{
  int port = PORTS_FIRST + (int)((now_ms (CLOCK_REALTIME) * 7 + getpid () * 61) % PORTS_SPAN);

  for (int tries = 0; count > 0 && tries < PORTS_SPAN; tries++)
    {
      struct sockaddr_in address = loopback (port);
      int tcp = socket (AF_INET, SOCK_STREAM, 0);
      int udp = socket (AF_INET, SOCK_DGRAM, 0);
      if (bind (tcp, (struct sockaddr *)&address, sizeof address) == 0
          && bind (udp, (struct sockaddr *)&address, sizeof address) == 0)
        {
          printf ("%d\n", port);
          count--;
        }
      close (tcp);
      close (udp);
      port = port + 1 < PORTS_FIRST + PORTS_SPAN ? port + 1 : PORTS_FIRST;
    }
  return count == 0 ? 0 : 1;
}

/* put */

static bool
append_record (int store_port, const char *topic, const char *key, const char *value, size_t length)
{
  uint32_t content = (uint32_t)(1 + strlen (key) + length);
  uint8_t prefix[5] = { (uint8_t)(content >> 24), (uint8_t)(content >> 16), (uint8_t)(content >> 8),
                        (uint8_t)content, (uint8_t)strlen (key) };
  static __thread Reader reader;
  char head[1024];
  int fd = connect_to (store_port);
  bool ok;

  if (fd < 0)
    return false;
  snprintf (head, sizeof head,
            "POST /v1/log-append?Topic=%s&part=0 HTTP/1.1\r\nHost: store\r\n"
            "Connection: close\r\nContent-Length: %u\r\n\r\n",
            topic, content + 4);
  reader = (Reader){ .fd = fd };
  ok = send_all (fd, head, strlen (head)) && send_all (fd, prefix, sizeof prefix)
       && send_all (fd, key, strlen (key)) && send_all (fd, value, length)
       && read_head (&reader, head, sizeof head, now_ms (CLOCK_MONOTONIC) + 1000) == 1
       && strncmp (head, "HTTP/1.1 200", 12) == 0;
  close (fd);
  return ok;
}

static int
put (char **arguments)
{
  static char value[262144];
  FILE *file = strcmp (arguments[3], "-") != 0 ? fopen (arguments[3], "r") : NULL;
  size_t length = file != NULL ? fread (value, 1, sizeof value, file) : 0;

  return append_record (atoi (arguments[0]), arguments[1], arguments[2], value, length) ? 0 : 1;
}

/* server */

typedef struct
{
  int port;
  const char *id;
  const char *service;
  const char *zone;
  int store_port;
  FILE *record;
  int slots;
  int queue;
  int kbs;
  const char *spoil;
  long spoil_at;
  int unframed;
  const char *reset_part;
  long reset_at;
  const char *crash;
  uint64_t born;
  int running;
  int waiting;
  volatile sig_atomic_t leaving;
  volatile sig_atomic_t crashed;
  char **arguments; /* of the process */
  pthread_mutex_t lock;
  pthread_cond_t freed;
} Server;

static Server server = { .slots = 4,
                         .queue = 16,
                         .lock = PTHREAD_MUTEX_INITIALIZER,
                         .freed = PTHREAD_COND_INITIALIZER };

static void
note (const char *format, ...)
{
  va_list values;
  char line[512];
  int length;

  va_start (values, format);
  length = vsnprintf (line, sizeof line, format, values);
  va_end (values);
  pthread_mutex_lock (&server.lock);
  fprintf (server.record, "%lld server %s %.*s\n", (long long)now_ms (CLOCK_REALTIME), server.id,
           length, line);
  fflush (server.record);
  pthread_mutex_unlock (&server.lock);
}

static void *
run_heartbeat (void *data)
{
  uint64_t sequence = 0;

  (void)data;
  for (;;)
    {
      char value[512];
      int length = snprintf (value, sizeof value,
                             "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"%s\","
                             "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"%s\","
                             "\"WarmupLeft\":\"0ms\",\"Seq\":%llu,\"born\":%llu}",
                             server.service, server.port, server.zone, server.slots,
                             server.leaving ? "draining" : "ready", (unsigned long long)++sequence,
                             (unsigned long long)server.born);
      if (!server.crashed)
        append_record (server.store_port, "keyed.servers", server.id, value, (size_t)length);
      sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

/* Ends all that the process has open, and starts it anew after a while. */
static void
crash (void)
{
  static char id[64];
  char *point = strrchr (server.arguments[3], '_');

  server.crashed = 1;
  for (int fd = 3; fd < FD_MAX; fd++)
    {
      shutdown (fd, SHUT_RDWR); /* a call that waits for it in another thread ends */
      close (fd);
    }
  sleep_ms (CRASH_DOWN_MS);
  snprintf (id, sizeof id, "%.*s_%d",
            (int)(point != NULL ? point - server.arguments[3] : (long)strlen (server.arguments[3])),
            server.arguments[3], point != NULL ? atoi (point + 1) + 1 : 2);
  setenv ("PEER_BEFORE", server.arguments[3], 1);
  server.arguments[3] = id;
  execv ("/proc/self/exe", server.arguments);
  _exit (1);
}

/* The store removes the entry of a server after three heartbeats of silence. */
static void *
remove_former_entry (void *data)
{
  sleep_ms (3 * HEARTBEAT_MS - CRASH_DOWN_MS);
  append_record (server.store_port, "keyed.servers", data, "", 0);
  return NULL;
}

/* Takes a slot, after a wait in the queue if need be. RETURN VALUE: whether there was room. */
static bool
take_slot (void)
{
  bool room;

  pthread_mutex_lock (&server.lock);
  room = server.running < server.slots || server.waiting < server.queue;
  server.waiting += room ? 1 : 0;
  while (room && server.running >= server.slots)
    pthread_cond_wait (&server.freed, &server.lock);
  server.waiting -= room ? 1 : 0;
  server.running += room ? 1 : 0;
  pthread_mutex_unlock (&server.lock);
  return room;
}

static void
free_slot (void)
{
  pthread_mutex_lock (&server.lock);
  server.running--;
  pthread_cond_signal (&server.freed);
  pthread_mutex_unlock (&server.lock);
}

/* RETURN VALUE: the number after "/LETTER" in PATH, or OTHERWISE. */
static long
path_number (const char *path, char letter, long otherwise)
{
  for (const char *part = strchr (path, '/'); part != NULL; part = strchr (part + 1, '/'))
    if (part[1] == letter && isdigit ((unsigned char)part[2]))
      return atol (part + 2);
  return otherwise;
}

static void
make_block (char *out, const char *id, const char *request, long place)
{
  char block[256];

  snprintf (block, sizeof block, "%-12.12s %-24.24s %012ld %-64s", id, request, place, "");
  memcpy (out, block, BLOCK_BYTES);
  out[BLOCK_BYTES - 1] = '\n';
}

/* Sends the first LENGTH bytes of the body to REQUEST, at the server's rate. */
static bool
send_body (int fd, const char *request, long length)
{
  int64_t begin_ms = now_ms (CLOCK_MONOTONIC);

  for (long sent = 0; sent < length;)
    {
      char chunk[BLOCK_BYTES * 128];
      long count = 0;
      for (; count < (long)sizeof chunk; count += BLOCK_BYTES)
        make_block (chunk + count, server.id, request, sent + count);
      if (count > length - sent)
        count = length - sent;
      if (!send_all (fd, chunk, (size_t)count))
        return false;
      sent += count;
      if (server.kbs > 0)
        sleep_ms (begin_ms + sent / server.kbs - now_ms (CLOCK_MONOTONIC));
    }
  return true;
}

static bool
send_head (int fd, int status, const char *request, long length, const char *more)
{
  char head[1024];
  char framing[64] = "Connection: close\r\n";

  if (length >= 0)
    snprintf (framing, sizeof framing, "Content-Length: %ld\r\nKeep-Alive: timeout=10\r\n", length);
  snprintf (head, sizeof head,
            "HTTP/1.1 %d %s\r\nGentianscale-Request-Id: %s\r\n"
            "Gentianscale-Server-Load: %d,%d,%d\r\n%s%s\r\n",
            status, status == 200 ? "OK" : "Status", request, server.running, server.waiting,
            server.slots, framing, more);
  return send_all (fd, head, strlen (head));
}

static void
reset (int fd)
{
  struct linger linger = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* RETURN VALUE: whether the connection can carry another request. */
static bool
answer (int fd, const char *path, const char *request, long length)
{
  char stamp[256];
  bool cut = server.reset_part != NULL && strstr (path, server.reset_part) != NULL;

  snprintf (stamp, sizeof stamp, "Gentianscale-Response-Stamp: %s.%s\r\n", server.id, request);
  if (server.spoil != NULL && strstr (path, server.spoil) != NULL && server.spoil_at < length)
    {
      note ("spoils id=%s bytes=%ld of=%ld", request, server.spoil_at, length);
      if (!send_head (fd, 200, request, length, stamp) || !send_body (fd, request, server.spoil_at))
        return false;
    }
  if (!send_head (fd, 200, request, server.unframed ? -1 : length, stamp)
      || !send_body (fd, request, cut ? server.reset_at : length))
    return false;
  if (cut)
    {
      note ("resets id=%s bytes=%ld of=%ld", request, server.reset_at, length);
      sleep_ms (300);
      reset (fd);
      return false;
    }
  note ("answered id=%s status=200 bytes=%ld", request, length);
  return !server.unframed;
}

static bool
serve_request (int fd, const char *head)
{
  char method[16] = "";
  char path[2048] = "";
  char request[128] = "";
  char expected[128];
  char value[64];
  long work_ms;
  long deadline_ms = 60000;
  bool kept;

  sscanf (head, "%15s %2047s", method, path);
  if (strcmp (path, "/health") == 0)
    return send_head (fd, server.leaving ? 503 : 200, "", 0, "");
  if (header (head, "Gentianscale-Request-Id", request, sizeof request) == NULL)
    return send_head (fd, 400, "", 0, "Gentianscale-Not-Executed: 1\r\n");
  if (header (head, "Gentianscale-Expect-Instance", expected, sizeof expected) != NULL
      && strcmp (expected, server.id) != 0)
    return send_head (fd, 421, request, 0, "");
  if (header (head, "Gentianscale-Deadline-Ms", value, sizeof value) != NULL)
    deadline_ms = atol (value);
  if (!take_slot ())
    {
      note ("sheds id=%s", request);
      return send_head (fd, 503, request, 0, "Gentianscale-Not-Executed: 1\r\n");
    }
  work_ms = path_number (path, 'w', 20);
  note ("runs id=%s %s %s deadline_ms=%ld", request, method, path, deadline_ms);
  if (server.crash != NULL && strstr (path, server.crash) != NULL)
    {
      note ("crashes id=%s", request);
      crash ();
    }
  sleep_ms (work_ms < deadline_ms ? work_ms : deadline_ms);
  if (work_ms >= deadline_ms)
    {
      snprintf (value, sizeof value, "Gentianscale-Response-Stamp: %.20s\r\n", server.id);
      note ("answered id=%s status=504", request);
      kept = send_head (fd, 504, request, 0, value);
    }
  else
    kept = answer (fd, path, request, path_number (path, 'b', 200));
  free_slot ();
  return kept;
}

static bool
skip_body (Reader *reader, const char *head)
{
  char value[64];
  char bytes[4096];
  long left = header (head, "Content-Length", value, sizeof value) != NULL ? atol (value) : 0;

  while (left > 0)
    {
      ssize_t count
          = read_some (reader, bytes, left < (long)sizeof bytes ? (size_t)left : sizeof bytes,
                       now_ms (CLOCK_MONOTONIC) + 10000);
      if (count <= 0)
        return false;
      left -= count;
    }
  return true;
}

static void *
serve_connection (void *data)
{
  Reader *reader = data;
  char *head = malloc (HEAD_MAX);
  int on = 1;

  setsockopt (reader->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  while (read_head (reader, head, HEAD_MAX, now_ms (CLOCK_MONOTONIC) + 10000) == 1
         && skip_body (reader, head) && serve_request (reader->fd, head))
    ;
  close (reader->fd);
  free (head);
  free (reader);
  return NULL;
}

static void
on_leave (int number)
{
  (void)number;
  server.leaving = 1;
}

static void
set_option (const char *option)
{
  const char *value = strchr (option, '=') + 1;

  if (strncmp (option, "slots=", 6) == 0)
    server.slots = atoi (value);
  else if (strncmp (option, "queue=", 6) == 0)
    server.queue = atoi (value);
  else if (strncmp (option, "kbs=", 4) == 0)
    server.kbs = atoi (value);
  else if (strncmp (option, "spoil=", 6) == 0)
    server.spoil = value;
  else if (strncmp (option, "spoil_at=", 9) == 0)
    server.spoil_at = atol (value);
  else if (strncmp (option, "unframed=", 9) == 0)
    server.unframed = atoi (value);
  else if (strncmp (option, "reset_part=", 11) == 0)
    server.reset_part = value;
  else if (strncmp (option, "reset_at=", 9) == 0)
    server.reset_at = atol (value);
  else if (strncmp (option, "crash=", 6) == 0)
    server.crash = value;
}

static int
serve (int count, char **arguments)
{
  struct sockaddr_in address = loopback (atoi (arguments[0]));
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  pthread_t thread;

  server.port = atoi (arguments[0]);
  server.id = arguments[1];
  server.service = arguments[2];
  server.zone = arguments[3];
  server.store_port = atoi (arguments[4]);
  server.record = fopen (arguments[5], "a");
  server.born = (uint64_t)now_ms (CLOCK_REALTIME);
  for (int i = 6; i < count; i++)
    set_option (arguments[i]);
  signal (SIGUSR1, on_leave);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (server.record == NULL || bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, 512) != 0)
    return 1;
  pthread_create (&thread, NULL, run_heartbeat, NULL);
  if (getenv ("PEER_BEFORE") != NULL)
    pthread_create (&thread, NULL, remove_former_entry, getenv ("PEER_BEFORE"));
  for (;;)
    {
      Reader *reader = calloc (1, sizeof *reader);
      reader->fd = accept (listener, NULL, NULL);
      if (server.crashed)
        pause ();
      if (reader->fd < 0)
        free (reader);
      else if (pthread_create (&thread, NULL, serve_connection, reader) == 0)
        pthread_detach (thread);
    }
}

/* request */

typedef struct
{
  const char *id;
  int status;
  long bytes;
  long length; /* -1: not stated */
  char stamp[256];
  bool foreign; /* a part of the body is not that of the server that stamped the answer */
  char first_foreign[BLOCK_BYTES + 1];
  long foreign_at;
  char block[BLOCK_BYTES];
  int64_t begin_ms;
} Answer;

/* Compares the next bytes of the body with those that the stamping server sends. */
static void
check_body (Answer *answer, const char *bytes, long count)
{
  char server_id[64];
  char block[BLOCK_BYTES];

  snprintf (server_id, sizeof server_id, "%.*s", (int)strcspn (answer->stamp, "."), answer->stamp);
  for (long i = 0; i < count; i++, answer->bytes++)
    {
      long place = answer->bytes % BLOCK_BYTES;
      answer->block[place] = bytes[i];
      if (place != BLOCK_BYTES - 1 || answer->foreign)
        continue;
      make_block (block, server_id, answer->id, answer->bytes - place);
      if (memcmp (block, answer->block, BLOCK_BYTES) == 0)
        continue;
      answer->foreign = true;
      answer->foreign_at = answer->bytes - place;
      for (int j = 0; j < BLOCK_BYTES; j++)
        answer->first_foreign[j]
            = isgraph ((unsigned char)answer->block[j]) ? answer->block[j] : '_';
    }
}

static void
print_answer (const Answer *answer, const char *outcome)
{
  printf ("%lld client id=%s status=%d outcome=%s bytes=%ld of=%ld ms=%lld stamp=%s",
          (long long)now_ms (CLOCK_REALTIME), answer->id, answer->status, outcome, answer->bytes,
          answer->length, (long long)(now_ms (CLOCK_MONOTONIC) - answer->begin_ms),
          answer->stamp[0] != '\0' ? answer->stamp : "-");
  if (answer->foreign)
    printf (" foreign_at=%ld block=%s", answer->foreign_at, answer->first_foreign);
  printf ("\n");
}

/* RETURN VALUE: 1 at the end of the body, otherwise as read_some. */
static int
read_counted (Reader *reader, Answer *answer, long left, int64_t until_ms)
{
  char bytes[65536];

  while (left != 0)
    {
      ssize_t count = read_some (
          reader, bytes, left > 0 && left < (long)sizeof bytes ? (size_t)left : sizeof bytes,
          until_ms);
      if (count <= 0)
        return left < 0 && count == 0 ? 1 : (int)count;
      check_body (answer, bytes, count);
      left -= left > 0 ? count : 0;
    }
  return 1;
}

static int
read_line (Reader *reader, char *line, size_t max, int64_t until_ms)
{
  size_t length = 0;

  for (;;)
    {
      ssize_t count = read_some (reader, line + length, 1, until_ms);
      if (count <= 0)
        return (int)count;
      if (line[length] == '\n' || length + 2 == max)
        {
          line[length + 1] = '\0';
          return 1;
        }
      length++;
    }
}

static int
read_chunked (Reader *reader, Answer *answer, int64_t until_ms)
{
  char line[256];

  for (;;)
    {
      int result = read_line (reader, line, sizeof line, until_ms);
      long size = strtol (line, NULL, 16);
      if (result != 1)
        return result;
      if (size > 0)
        result = read_counted (reader, answer, size, until_ms);
      if (result == 1)
        result = read_line (reader, line, sizeof line, until_ms);
      if (result != 1 || size == 0)
        return result;
    }
}

static const char *
outcome_name (const Answer *answer, int result)
{
  if (result == -2)
    return "late";
  if (answer->status == 0)
    return "closed";
  if (result != 1)
    return "cut";
  if (answer->status / 100 == 2 && answer->stamp[0] == '\0')
    return "unstamped";
  if (answer->status / 100 == 2 && answer->foreign)
    return "foreign";
  return "whole";
}

static int
request (int count, char **arguments)
{
  static Reader reader;
  static char head[HEAD_MAX];
  static char body[65536];
  Answer answer = { .id = arguments[4], .length = -1, .begin_ms = now_ms (CLOCK_MONOTONIC) };
  long deadline_ms = atol (arguments[5]);
  long body_bytes = count > 6 ? atol (arguments[6]) : 0;
  int64_t until_ms = answer.begin_ms + deadline_ms + CLIENT_MARGIN_MS;
  char value[64];
  int result;
  int length;

  reader.fd = connect_to (atoi (arguments[0]));
  if (reader.fd < 0)
    {
      print_answer (&answer, "refused");
      return 0;
    }
  length = snprintf (head, sizeof head,
                     "%s %s HTTP/1.1\r\nHost: %s\r\nGentianscale-Request-Id: %s\r\n"
                     "Gentianscale-Deadline-Ms: %ld\r\n",
                     arguments[1], arguments[3], arguments[2], answer.id, deadline_ms);
  if (body_bytes > 0)
    length += snprintf (head + length, sizeof head - (size_t)length, "Content-Length: %ld\r\n",
                        body_bytes);
  length += snprintf (head + length, sizeof head - (size_t)length, "\r\n");
  memset (body, 'b', sizeof body);
  send_all (reader.fd, head, (size_t)length);
  for (long sent = 0; sent < body_bytes; sent += (long)sizeof body)
    send_all (reader.fd, body,
              body_bytes - sent < (long)sizeof body ? (size_t)(body_bytes - sent) : sizeof body);
  result = read_head (&reader, head, sizeof head, until_ms);
  if (result == 1)
    {
      sscanf (head, "HTTP/1.%*d %d", &answer.status);
      header (head, "Gentianscale-Response-Stamp", answer.stamp, sizeof answer.stamp);
      if (header (head, "Content-Length", value, sizeof value) != NULL)
        answer.length = atol (value);
      if (header (head, "Transfer-Encoding", value, sizeof value) != NULL)
        result = read_chunked (&reader, &answer, until_ms);
      else
        result = read_counted (&reader, &answer, answer.length, until_ms);
    }
  print_answer (&answer, outcome_name (&answer, result));
  close (reader.fd);
  return 0;
}

static int
get (char **arguments)
{
  static Reader reader;
  static char head[HEAD_MAX];
  char bytes[4096];
  int64_t until_ms = now_ms (CLOCK_MONOTONIC) + 1000;
  ssize_t count;
  int status = 0;

  reader.fd = connect_to (atoi (arguments[0]));
  if (reader.fd < 0)
    return 1;
  snprintf (head, sizeof head, "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            arguments[1]);
  send_all (reader.fd, head, strlen (head));
  if (read_head (&reader, head, sizeof head, until_ms) != 1)
    return 1;
  sscanf (head, "HTTP/1.%*d %d", &status);
  printf ("%d ", status);
  while ((count = read_some (&reader, bytes, sizeof bytes, until_ms)) > 0)
    fwrite (bytes, 1, (size_t)count, stdout);
  printf ("\n");
  return status == 200 ? 0 : 1;
}

/* crowd: each client keeps one connection, to the address with its number at first, and sends a
 * request on it from time to time. It opens a new one when it has lost its connection, at the next
 * address that lets it connect. One line of the record for each new connection, and for each
 * request that fails: CROWD_TRY taken=0|1 (whether the first request on it was answered). */

enum
{
  CROWD_PORTS_MAX = 8,
  CROWD_PAUSE_MIN_MS = 3000,
  CROWD_PAUSE_SPREAD_MS = 5000, /* the sum stays below 4/5 of IdleTimeout, 12 s */
  CROWD_DEADLINE_MS = 2000,
  CROWD_UNREAD_MS
  = 667, /* a third of the deadline: a client gives up an attempt that is not read */
  CROWD_STACK_BYTES = 128 * 1024,
};

typedef struct
{
  int64_t until_ms;
  const char *host;
  const char *path;
  FILE *record;
  int ports[CROWD_PORTS_MAX];
  int n_ports;
  pthread_mutex_t lock;
} Crowd;

static Crowd crowd = { .lock = PTHREAD_MUTEX_INITIALIZER };

typedef struct
{
  int number;
  int address; /* index of the address in use */
  int fd;
  long requests;
  unsigned random;
} CrowdClient;

static int
crowd_connect (CrowdClient *client)
{
  for (int i = 0; i < crowd.n_ports; i++)
    {
      client->fd = connect_to (crowd.ports[client->address]);
      if (client->fd >= 0)
        return crowd.ports[client->address];
      client->address = (client->address + 1) % crowd.n_ports;
    }
  return 0;
}

/* Sends one request and reads its answer. RETURN VALUE: its status; 0: none in time. */
static int
crowd_request (CrowdClient *client)
{
  char text[2048];
  size_t length = 0;
  int64_t until_ms = now_ms (CLOCK_MONOTONIC) + CROWD_UNREAD_MS;
  struct pollfd poll_fd = { .fd = client->fd, .events = POLLIN };
  char *blank = NULL;
  int count
      = snprintf (text, sizeof text,
                  "GET %s HTTP/1.1\r\nHost: %s\r\nGentianscale-Request-Id: k%d.%ld\r\n"
                  "Gentianscale-Deadline-Ms: %d\r\n\r\n",
                  crowd.path, crowd.host, client->number, ++client->requests, CROWD_DEADLINE_MS);

  if (!send_all (client->fd, text, (size_t)count))
    return 0;
  while (blank == NULL || strlen (blank) < 204) /* the end of the head and a body of 200 bytes */
    {
      int64_t left_ms = until_ms - now_ms (CLOCK_MONOTONIC);
      ssize_t got;
      if (left_ms <= 0 || poll (&poll_fd, 1, (int)left_ms) <= 0)
        return 0;
      got = recv (client->fd, text + length, sizeof text - length - 1, 0);
      if (got <= 0)
        return 0;
      length += (size_t)got;
      text[length] = '\0';
      blank = strstr (text, "\r\n\r\n");
      if (blank != NULL && strncmp (text, "HTTP/1.1 200", 12) != 0)
        break;
    }
  sscanf (text, "HTTP/1.%*d %d", &count);
  return count;
}

static void
crowd_note (const CrowdClient *client, int port, int64_t begin_ms, int status)
{
  pthread_mutex_lock (&crowd.lock);
  fprintf (crowd.record, "%lld CROWD_TRY taken=%d client=%d port=%d status=%d ms=%lld\n",
           (long long)begin_ms, status != 0, client->number, port, status,
           (long long)(now_ms (CLOCK_REALTIME) - begin_ms));
  fflush (crowd.record);
  pthread_mutex_unlock (&crowd.lock);
}

static void *
run_crowd_client (void *data)
{
  CrowdClient *client = data;

  sleep_ms (rand_r (&client->random) % 2500); /* they do not come at once */
  while (now_ms (CLOCK_MONOTONIC) < crowd.until_ms)
    {
      bool is_new = client->fd < 0;
      int64_t begin_ms = now_ms (CLOCK_REALTIME);
      int port = is_new ? crowd_connect (client) : crowd.ports[client->address];
      int status = client->fd >= 0 ? crowd_request (client) : 0;
      if (is_new && client->fd >= 0)
        crowd_note (client, port, begin_ms, status);
      if (status != 200 && client->fd >= 0)
        {
          close (client->fd);
          client->fd = -1;
        }
      sleep_ms (status == 200
                    ? CROWD_PAUSE_MIN_MS + rand_r (&client->random) % CROWD_PAUSE_SPREAD_MS
                    : 200);
    }
  return NULL;
}

static int
run_crowd (int count, char **arguments)
{
  int n_clients = atoi (arguments[1]);
  CrowdClient *clients = calloc ((size_t)n_clients, sizeof *clients);
  pthread_t *threads = calloc ((size_t)n_clients, sizeof *threads);
  pthread_attr_t attributes;

  crowd.until_ms = now_ms (CLOCK_MONOTONIC) + atol (arguments[0]) * 1000;
  crowd.host = arguments[2];
  crowd.path = arguments[3];
  crowd.record = fopen (arguments[4], "a");
  for (int i = 5; i < count && crowd.n_ports < CROWD_PORTS_MAX; i++)
    crowd.ports[crowd.n_ports++] = atoi (arguments[i]);
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, CROWD_STACK_BYTES);
  for (int i = 0; i < n_clients; i++)
    {
      clients[i] = (CrowdClient){
        .number = i, .address = i % crowd.n_ports, .fd = -1, .random = (unsigned)i * 2654435761u + 1
      };
      if (pthread_create (&threads[i], &attributes, run_crowd_client, &clients[i]) != 0)
        return 2;
    }
  for (int i = 0; i < n_clients; i++)
    pthread_join (threads[i], NULL);
  return 0;
}

int
main (int argc, char **argv)
{
  if (argc == 3 && strcmp (argv[1], "ports") == 0)
    return print_ports (atoi (argv[2]));
  if (argc == 6 && strcmp (argv[1], "put") == 0)
    return put (argv + 2);
  if (argc >= 8 && strcmp (argv[1], "server") == 0)
    {
      server.arguments = argv;
      return serve (argc - 2, argv + 2);
    }
  if (argc >= 8 && strcmp (argv[1], "request") == 0)
    return request (argc - 2, argv + 2);
  if (argc == 4 && strcmp (argv[1], "get") == 0)
    return get (argv + 2);
  if (argc >= 8 && strcmp (argv[1], "crowd") == 0)
    return run_crowd (argc - 2, argv + 2);
  fprintf (stderr, "usage: peer ports|put|server|request|get|crowd ...\n");
  return 2;
}
