/*
 * Stand-ins for the users' platform, for the cases of this review. One program, no dependencies.
 * Everything listens on 127.0.0.1.
 *
 *   kit ports COUNT                       prints the first of COUNT free consecutive ports
 *   kit store PORT                        metadata store: log-append, log-read, log-newest
 *   kit put STORE_PORT TOPIC KEY FILE     appends a keyed record; prints the status and the time
 *   kit upstream PORT ID SERVICE ZONE STORE_PORT WORK_MS RECORD [BORN_MS]
 *                                         registers every 1.5 s, serves requests, writes to RECORD;
 *                                         in the first 6 of each 12 s a share of its answers of
 *                                         GARBLE_PERCENT is broken off at a random place, and sent
 *                                         once more 100 ms later, in pieces
 *   kit look RATE SECONDS RECORD PORT...  as load, with GET /s/N; compares the bodies
 *   kit load RATE SECONDS RECORD PORT...  sends RATE requests a second to the ports in turn, each
 * on a connection of its own; writes to RECORD kit request PORT ID METHOD PATH DEADLINE_MS [BODY]
 *                                         sends one request, with the key in API_KEY if that is
 *                                         set; prints status, stamp, body
 *
 * Times are milliseconds of the monotonic clock, which all processes of a machine share.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
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
  HEAD_MAX = 65536,
  BODY_MAX = 4 * 1024 * 1024,
  RECORDS_MAX = 100000,
  HEARTBEAT_MS = 1500,
  SLOTS = 4,
  BODY_BYTES = 600,
  PIECE_BYTES = 100,
  GARBLE_S = 6, /* and as long without */
};

static int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * INT64_C (1000) + now.tv_nsec / 1000000;
}

static void
sleep_ms (int64_t ms)
{
  struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

  while (ms > 0 && nanosleep (&time, &time) != 0)
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
listen_on (int port)
{
  struct sockaddr_in address = loopback (port);
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0 || listen (fd, 512) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static int
connect_to (int port, int timeout_ms)
{
  struct sockaddr_in address = loopback (port);
  struct timeval limit = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
send_all (int fd, const void *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, bytes, length, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      bytes = (const char *)bytes + sent;
      length -= (size_t)sent;
    }
  return true;
}

/* One HTTP message: head (ended by an empty line) and body. */
typedef struct
{
  char head[HEAD_MAX];
  size_t head_length;
  char *body;
  size_t body_length;
} Message;

/* RETURN VALUE: value of header NAME in VALUE, of SIZE bytes; false when there is none. */
static bool
header (const Message *message, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);

  for (const char *line = strstr (message->head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *begin = line + length + 1 + strspn (line + length + 1, " ");
          snprintf (value, size, "%.*s", (int)strcspn (begin, "\r\n"), begin);
          return true;
        }
    }
  return false;
}

/* Reads one message. RETURN VALUE: 1 whole, 0 connection closed before its first byte, -1 broken
 * off or malformed. A body in chunks is not understood. */
static int
read_message (int fd, Message *message, bool is_answer)
{
  char value[64];
  char *end;
  size_t want;

  message->head_length = 0;
  message->head[0] = '\0';
  free (message->body);
  message->body = NULL;
  message->body_length = 0;
  while ((end = strstr (message->head, "\r\n\r\n")) == NULL)
    {
      ssize_t got;
      if (message->head_length >= HEAD_MAX - 1)
        return -1;
      /* One byte at a time, so that nothing of the next message is read. */
      got = recv (fd, message->head + message->head_length, 1, 0);
      if (got <= 0)
        return got == 0 && message->head_length == 0 ? 0 : -1;
      message->head[++message->head_length] = '\0';
      if (is_answer && strstr (message->head, "\r\n\r\n") != NULL
          && strncmp (message->head, "HTTP/1.1 1", 10) == 0)
        message->head[message->head_length = 0] = '\0';
    }
  if (!header (message, "Content-Length", value, sizeof value))
    return 1;
  want = strtoull (value, NULL, 10);
  if (want > BODY_MAX)
    return -1;
  message->body = calloc (1, want + 1);
  while (message->body_length < want)
    {
      ssize_t got = recv (fd, message->body + message->body_length, want - message->body_length, 0);
      if (got <= 0)
        return -1;
      message->body_length += (size_t)got;
    }
  return 1;
}

/* ------------------------------------------------------------------ store */

typedef struct
{
  uint8_t *bytes;
  size_t length;
} Record;

typedef struct
{
  char name[64];
  Record records[RECORDS_MAX];
  size_t count;
} Topic;

static Topic topics[4];
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;

static Topic *
get_topic (const char *name)
{
  for (size_t i = 0; i < sizeof topics / sizeof *topics; i++)
    {
      if (topics[i].name[0] == '\0')
        snprintf (topics[i].name, sizeof topics[i].name, "%s", name);
      if (strcmp (topics[i].name, name) == 0)
        return &topics[i];
    }
  return NULL;
}

/* RETURN VALUE: whether the request's target has argument NAME, copied to VALUE. */
static bool
argument (const Message *request, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);
  const char *end = strstr (request->head, " HTTP/");

  for (const char *at = strchr (request->head, '?'); at != NULL && at < end;
       at = strchr (at + 1, '&'))
    if (strncmp (at + 1, name, length) == 0 && at[length + 1] == '=')
      {
        snprintf (value, size, "%.*s", (int)strcspn (at + length + 2, "& "), at + length + 2);
        return true;
      }
  return false;
}

static void
answer (int fd, int status, const void *body, size_t length, const char *type)
{
  char head[256];
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n", status,
                    type, length);

  if (send_all (fd, head, (size_t)n))
    send_all (fd, body, length);
}

static void
put_number (uint8_t *out, uint64_t value, int width)
{
  for (int i = 0; i < width; i++)
    out[i] = (uint8_t)(value >> 8 * (width - 1 - i));
}

static void
store_append (int fd, Topic *topic, const Message *request)
{
  const uint8_t *bytes = (const uint8_t *)request->body;
  size_t left = request->body_length;
  size_t first;
  char text[96];

  pthread_mutex_lock (&store_lock);
  first = topic->count;
  while (left >= 4 && topic->count < RECORDS_MAX)
    {
      size_t size
          = (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16 | (size_t)bytes[2] << 8 | bytes[3];
      Record *record = &topic->records[topic->count];
      if (size > left - 4)
        break;
      record->bytes = malloc (size + 1);
      memcpy (record->bytes, bytes + 4, size);
      record->length = size;
      topic->count++;
      bytes += 4 + size;
      left -= 4 + size;
    }
  snprintf (text, sizeof text, "{\"Offset\":%zu,\"EndOffset\":%zu}", first, topic->count);
  pthread_mutex_unlock (&store_lock);
  answer (fd, left == 0 ? 200 : 400, text, strlen (text), "application/json");
}

static void
store_read (int fd, Topic *topic, const Message *request)
{
  char value[32];
  uint64_t from = argument (request, "From", value, sizeof value) ? strtoull (value, NULL, 10) : 0;
  int64_t until
      = now_ms ()
        + (argument (request, "WaitMs", value, sizeof value) ? strtoll (value, NULL, 10) : 0);
  size_t length = 16;
  uint8_t *out;

  for (;;)
    {
      pthread_mutex_lock (&store_lock);
      if (topic->count > from || now_ms () >= until)
        break;
      pthread_mutex_unlock (&store_lock);
      sleep_ms (2);
    }
  if (from > topic->count)
    {
      pthread_mutex_unlock (&store_lock);
      answer (fd, 410, "{\"FirstOffset\":0}", 17, "application/json");
      return;
    }
  for (size_t i = from; i < topic->count; i++)
    length += 4 + topic->records[i].length;
  out = malloc (length);
  put_number (out, topic->count, 8);
  put_number (out + 8, 0, 8);
  length = 16;
  for (size_t i = from; i < topic->count; i++)
    {
      put_number (out + length, topic->records[i].length, 4);
      memcpy (out + length + 4, topic->records[i].bytes, topic->records[i].length);
      length += 4 + topic->records[i].length;
    }
  pthread_mutex_unlock (&store_lock);
  answer (fd, 200, out, length, "application/octet-stream");
  free (out);
}

static size_t
base64 (const uint8_t *in, size_t length, char *out)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t n = 0;

  for (size_t i = 0; i < length; i += 3)
    {
      uint32_t group = (uint32_t)in[i] << 16 | (i + 1 < length ? (uint32_t)in[i + 1] << 8 : 0)
                       | (i + 2 < length ? in[i + 2] : 0);
      out[n++] = digits[group >> 18];
      out[n++] = digits[group >> 12 & 63];
      out[n++] = i + 1 < length ? digits[group >> 6 & 63] : '=';
      out[n++] = i + 2 < length ? digits[group & 63] : '=';
    }
  return n;
}

static void
store_newest (int fd, Topic *topic)
{
  char *out;
  size_t n = 0;
  size_t size = 4096;
  bool first = true;

  pthread_mutex_lock (&store_lock);
  for (size_t i = 0; i < topic->count; i++)
    size += 2 * topic->records[i].length + 128;
  out = malloc (size);
  n += (size_t)sprintf (out + n, "{\"items\":[");
  for (size_t i = 0; i < topic->count; i++)
    {
      const Record *record = &topic->records[i];
      size_t key = record->length > 0 ? record->bytes[0] : 0;
      bool superseded = key == 0 || record->length <= key + 1;
      for (size_t j = i + 1; j < topic->count && !superseded; j++)
        superseded = topic->records[j].length > key
                     && memcmp (topic->records[j].bytes, record->bytes, key + 1) == 0;
      if (superseded)
        continue;
      n += (size_t)sprintf (out + n, "%s{\"Key\":\"%.*s\",\"Offset\":%zu,\"Value\":\"",
                            first ? "" : ",", (int)key, record->bytes + 1, i);
      n += base64 (record->bytes + 1 + key, record->length - key - 1, out + n);
      n += (size_t)sprintf (out + n, "\"}");
      first = false;
    }
  n += (size_t)sprintf (out + n, "],\"More\":false,\"EndOffset\":%zu}", topic->count);
  pthread_mutex_unlock (&store_lock);
  answer (fd, 200, out, n, "application/json");
  free (out);
}

static void *
serve_store (void *data)
{
  int fd = (int)(intptr_t)data;
  Message *request = calloc (1, sizeof *request);

  while (read_message (fd, request, false) == 1)
    {
      char name[64] = "";
      Topic *topic;
      sleep_ms (4); /* the time of an answer, by the pages */
      argument (request, "Topic", name, sizeof name);
      pthread_mutex_lock (&store_lock);
      topic = get_topic (name);
      pthread_mutex_unlock (&store_lock);
      if (topic == NULL)
        answer (fd, 400, "{}", 2, "application/json");
      else if (strncmp (request->head, "POST /v1/log-append", 19) == 0)
        store_append (fd, topic, request);
      else if (strncmp (request->head, "GET /v1/log-read", 16) == 0)
        store_read (fd, topic, request);
      else if (strncmp (request->head, "GET /v1/log-newest", 18) == 0)
        store_newest (fd, topic);
      else
        answer (fd, 404, "{}", 2, "application/json");
    }
  free (request->body);
  free (request);
  close (fd);
  return NULL;
}

static int
serve (int port, void *(*run) (void *))
{
  int listener = listen_on (port);
  pthread_attr_t attributes;

  if (listener < 0)
    return 2;
  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 256 * 1024);
  for (;;)
    {
      int fd = accept (listener, NULL, NULL);
      int on = 1;
      pthread_t thread;
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      if (pthread_create (&thread, &attributes, run, (void *)(intptr_t)fd) != 0)
        close (fd);
    }
}

/* Appends VALUE under KEY. RETURN VALUE: the store's status, 0 without an answer. */
static int
put (int store_port, const char *topic, const char *key, const char *value, size_t length)
{
  size_t content = 1 + strlen (key) + length;
  Message *reply = calloc (1, sizeof *reply);
  int fd = connect_to (store_port, 2000);
  char head[256];
  uint8_t *record = malloc (4 + content);
  int status = 0;
  int n = snprintf (head, sizeof head,
                    "POST /v1/log-append?Topic=%s&part=0 HTTP/1.1\r\nHost: store\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    topic, 4 + content);

  put_number (record, content, 4);
  record[4] = (uint8_t)strlen (key);
  memcpy (record + 5, key, strlen (key));
  memcpy (record + 5 + strlen (key), value, length);
  if (fd >= 0 && send_all (fd, head, (size_t)n) && send_all (fd, record, 4 + content)
      && read_message (fd, reply, true) == 1)
    status = atoi (reply->head + 9);
  if (fd >= 0)
    close (fd);
  free (record);
  free (reply->body);
  free (reply);
  return status;
}

/* --------------------------------------------------------------- upstream */

static struct
{
  int port;
  const char *id;
  const char *service;
  const char *zone;
  int store_port;
  int work_ms;
  int record;
  int64_t born_ms;
  int garble_percent;
  int running;
  int waiting;
  pthread_mutex_t lock;
} upstream = { .lock = PTHREAD_MUTEX_INITIALIZER };

static volatile sig_atomic_t draining;

static void
write_record (const char *event, const char *id, const char *what)
{
  char line[512];
  int n = snprintf (line, sizeof line, "%lld upstream=%s %s id=%s %s\n", (long long)now_ms (),
                    upstream.id, event, id, what);

  if (write (upstream.record, line, (size_t)n) < 0)
    _exit (2);
}

static void
reply_upstream (int fd, int status, const char *id, const char *extra, const char *body)
{
  char head[1024];
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 %d X\r\nGentianscale-Request-Id: %s\r\n"
                    "Gentianscale-Server-Load: %d,%d,%d\r\n%sContent-Length: %zu\r\n\r\n",
                    status, id, upstream.running, upstream.waiting, SLOTS, extra, strlen (body));

  if (send_all (fd, head, (size_t)n))
    send_all (fd, body, strlen (body));
}

/* Body of the answer to request ID. */
static void
make_body (const char *id, char body[BODY_BYTES + 1])
{
  size_t length = strlen (id);

  for (size_t i = 0; i < BODY_BYTES; i++)
    body[i] = i % (length + 1) == length ? ' ' : id[i % (length + 1)];
  body[BODY_BYTES] = '\0';
}

static bool
is_garbling (void)
{
  return now_ms () / 1000 % (2 * GARBLE_S) < GARBLE_S;
}

/* Answers 200 with the body of ID; GARBLED: breaks off, and answers once more late. */
static void
reply_download (int fd, const char *id, bool garbled)
{
  char text[2048];
  char body[BODY_BYTES + 1];
  char what[64];
  int cut = garbled ? rand () % BODY_BYTES : 0;
  int n;
  int head;

  make_body (id, body);
  head
      = snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 12:00:00 GMT\r\n"
                  "Content-Type: application/octet-stream\r\nCache-Control: no-store, max-age=0\r\n"
                  "Content-Length: %d\r\nGentianscale-Server-Load: %d,%d,%d\r\n"
                  "Gentianscale-Response-Stamp: aa.bb\r\nGentianscale-Request-Id: %s\r\n\r\n",
                  BODY_BYTES, upstream.running, upstream.waiting, SLOTS, id);
  n = head + snprintf (text + head, sizeof text - (size_t)head, "%s", body);
  if (!garbled)
    {
      send_all (fd, text, (size_t)n);
      return;
    }
  snprintf (what, sizeof what, "after %d of %d bytes", cut, BODY_BYTES);
  write_record ("broke-off", id, what);
  send_all (fd, text, (size_t)(head + cut));
  sleep_ms (100);
  for (int sent = 0; sent < n; sent += PIECE_BYTES)
    {
      if (!send_all (fd, text + sent, (size_t)(n - sent < PIECE_BYTES ? n - sent : PIECE_BYTES)))
        return;
      sleep_ms (5);
    }
}

static bool
has_left (int fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLRDHUP };

  return poll (&poll_fd, 1, 0) > 0;
}

/* Waits for a slot and works. RETURN VALUE: 200 done, 503 no slot before the deadline, 504 deadline
 * while it worked, 0 the connection closed. */
static int
work (int fd, const char *id, int64_t deadline_ms, const char *line)
{
  int64_t done_ms;
  int status = 200;

  pthread_mutex_lock (&upstream.lock);
  upstream.waiting++;
  while (upstream.running >= SLOTS && now_ms () < deadline_ms)
    {
      pthread_mutex_unlock (&upstream.lock);
      sleep_ms (2);
      pthread_mutex_lock (&upstream.lock);
    }
  upstream.waiting--;
  if (now_ms () >= deadline_ms)
    {
      pthread_mutex_unlock (&upstream.lock);
      return 503;
    }
  upstream.running++;
  pthread_mutex_unlock (&upstream.lock);
  write_record ("run", id, line);
  done_ms = now_ms () + upstream.work_ms;
  while (now_ms () < done_ms && status == 200)
    {
      sleep_ms (2);
      if (has_left (fd))
        status = 0;
      else if (now_ms () >= deadline_ms)
        status = 504;
    }
  pthread_mutex_lock (&upstream.lock);
  upstream.running--;
  pthread_mutex_unlock (&upstream.lock);
  return status;
}

static void *
serve_upstream (void *data)
{
  int fd = (int)(intptr_t)data;
  Message *request = calloc (1, sizeof *request);

  while (read_message (fd, request, false) == 1)
    {
      char id[128] = "-";
      char expected[128];
      char deadline[32];
      char line[256];
      char tenant[64] = "-";
      int64_t until_ms = now_ms () + 30000;
      int status;

      header (request, "Gentianscale-Tenant", tenant, sizeof tenant);
      snprintf (
          line, sizeof line, "%.*s tenant=%s",
          (int)(strcspn (request->head, "\r\n") < 120 ? strcspn (request->head, "\r\n") : 120),
          request->head, tenant);
      if (strncmp (request->head, "GET /health ", 12) == 0)
        {
          char extra[160];
          snprintf (extra, sizeof extra, "Gentianscale-Instance-Id: %s\r\n", upstream.id);
          reply_upstream (fd, draining ? 503 : 200, "-", extra, "");
          continue;
        }
      if (!header (request, "Gentianscale-Request-Id", id, sizeof id))
        {
          reply_upstream (fd, 400, "-", "Gentianscale-Not-Executed: 1\r\n", "");
          continue;
        }
      if (header (request, "Gentianscale-Expect-Instance", expected, sizeof expected)
          && strcmp (expected, upstream.id) != 0)
        {
          write_record ("misdirected", id, line);
          reply_upstream (fd, 421, id, "Gentianscale-Not-Executed: 1\r\n", "");
          continue;
        }
      if (header (request, "Gentianscale-Deadline-Ms", deadline, sizeof deadline))
        until_ms = now_ms () + strtoll (deadline, NULL, 10);
      status = work (fd, id, until_ms, line);
      if (status == 0)
        {
          write_record ("dropped", id, line);
          break;
        }
      if (status == 200 && strncmp (request->head, "GET ", 4) == 0)
        {
          reply_download (fd, id, is_garbling () && rand () % 100 < upstream.garble_percent);
          continue;
        }
      write_record (status == 200 ? "answered" : status == 503 ? "refused" : "late", id, line);
      if (status == 503)
        reply_upstream (fd, 503, id, "Gentianscale-Not-Executed: 1\r\n", "");
      else
        reply_upstream (fd, status, id, "Gentianscale-Response-Stamp: aa.bb\r\n", upstream.id);
    }
  free (request->body);
  free (request);
  close (fd);
  return NULL;
}

static void *
run_heartbeat (void *data)
{
  uint64_t sequence = 0;

  (void)data;
  for (;;)
    {
      char value[512];
      int n = snprintf (value, sizeof value,
                        "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"%s\","
                        "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"%s\",\"WarmupLeft\":\"0ms\","
                        "\"Seq\":%llu,\"born\":%lld}",
                        upstream.service, upstream.port, upstream.zone, SLOTS,
                        draining ? "draining" : "ready", (unsigned long long)++sequence,
                        (long long)upstream.born_ms);
      put (upstream.store_port, "keyed.servers", upstream.id, value, (size_t)n);
      for (int i = 0; i < HEARTBEAT_MS / 10; i++)
        {
          bool before = draining;
          sleep_ms (10);
          if (draining != before)
            break;
        }
    }
  return NULL;
}

static void
on_drain (int number)
{
  (void)number;
  draining = 1;
}

static int
run_upstream (char **arguments)
{
  struct timespec now;
  pthread_t thread;

  clock_gettime (CLOCK_REALTIME, &now);
  upstream.port = atoi (arguments[0]);
  upstream.id = arguments[1];
  upstream.service = arguments[2];
  upstream.zone = arguments[3];
  upstream.store_port = atoi (arguments[4]);
  upstream.work_ms = atoi (arguments[5]);
  upstream.record = open (arguments[6], O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  upstream.born_ms = arguments[7] != NULL ? strtoll (arguments[7], NULL, 10)
                                          : now.tv_sec * INT64_C (1000) + now.tv_nsec / 1000000;
  if (getenv ("GARBLE_PERCENT") != NULL)
    upstream.garble_percent = atoi (getenv ("GARBLE_PERCENT"));
  srand ((unsigned)upstream.port);
  signal (SIGUSR1, on_drain);
  pthread_create (&thread, NULL, run_heartbeat, NULL);
  return serve (upstream.port, serve_upstream);
}

/* ---------------------------------------------------------------- clients */

static int
run_request (char **arguments)
{
  const char *body = arguments[5] != NULL ? arguments[5] : "";
  int64_t limit_ms = strtoll (arguments[4], NULL, 10);
  int fd = connect_to (atoi (arguments[0]), (int)limit_ms + 1000);
  Message *reply = calloc (1, sizeof *reply);
  char head[2048];
  char stamp[128] = "-";
  const char *key = getenv ("API_KEY");
  int n = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: h.example\r\nGentianscale-Request-Id: %s\r\n"
                    "Gentianscale-Deadline-Ms: %lld\r\n",
                    arguments[2], arguments[3], arguments[1], (long long)limit_ms);

  if (key != NULL && *key != '\0')
    n += snprintf (head + n, sizeof head - (size_t)n, "Api-Key: %s\r\n", key);
  if (strcmp (arguments[2], "POST") == 0)
    n += snprintf (head + n, sizeof head - (size_t)n, "Content-Length: %zu\r\n", strlen (body));
  n += snprintf (head + n, sizeof head - (size_t)n, "\r\n%s", body);
  if (fd < 0)
    {
      printf ("unreachable - -\n");
      return 0;
    }
  if (!send_all (fd, head, (size_t)n) || read_message (fd, reply, true) != 1)
    {
      printf ("closed - -\n");
      return 0;
    }
  header (reply, "Gentianscale-Response-Stamp", stamp, sizeof stamp);
  printf ("%d %s %.60s\n", atoi (reply->head + 9), stamp, reply->body != NULL ? reply->body : "-");
  return 0;
}

static struct
{
  int rate;
  int record;
  char **ports;
  int n_ports;
  int64_t start_ms;
  int64_t end_ms;
  const char *key;
  bool looks;
  int next;
  pthread_mutex_t lock;
} load = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void
write_line (const char *line)
{
  if (write (load.record, line, strlen (line)) < 0)
    _exit (2);
}

static void
send_one (int number, Message *reply)
{
  const char *port = load.ports[number % load.n_ports];
  int fd = connect_to (atoi (port), 3000);
  char text[1024];
  char id[64];
  char expected[BODY_BYTES + 1];
  int status = 0;

  snprintf (id, sizeof id, "l%d-%d", (int)getpid (), number);
  snprintf (text, sizeof text, "%lld sent id=%s port=%s\n", (long long)now_ms (), id, port);
  write_line (text);
  if (load.looks)
    snprintf (text, sizeof text,
              "GET /s/%d HTTP/1.1\r\nHost: h.example\r\nGentianscale-Request-Id: %s\r\n"
              "Gentianscale-Deadline-Ms: 2000\r\n\r\n",
              number, id);
  else
    snprintf (text, sizeof text,
              "POST /o/%d HTTP/1.1\r\nHost: h.example\r\nGentianscale-Request-Id: %s\r\n"
              "Gentianscale-Deadline-Ms: 2000\r\nApi-Key: %s\r\nContent-Length: 5\r\n\r\norder",
              number, id, load.key);
  if (fd >= 0 && send_all (fd, text, strlen (text)) && read_message (fd, reply, true) == 1)
    status = atoi (reply->head + 9);
  if (fd >= 0)
    close (fd);
  make_body (id, expected);
  snprintf (text, sizeof text, "%lld got id=%s port=%s status=%d%s\n", (long long)now_ms (), id,
            port, status,
            status != 200 || !load.looks ? ""
            : reply->body_length == BODY_BYTES && memcmp (reply->body, expected, BODY_BYTES) == 0
                ? " whole"
                : " OTHER-BODY");
  if (strstr (text, "OTHER-BODY") != NULL)
    {
      int from = 0;
      while (from < BODY_BYTES && reply->body[from] == expected[from])
        from++;
      for (size_t i = 0; i < reply->body_length; i++)
        if (reply->body[i] == '\r' || reply->body[i] == '\n')
          reply->body[i] = '~';
      snprintf (text + strlen (text) - 1, 200, " from byte %d: %.100s\n", from, reply->body + from);
    }
  write_line (text);
}

static void *
run_sender (void *data)
{
  Message *reply = calloc (1, sizeof *reply);

  (void)data;
  for (;;)
    {
      int number;
      int64_t due_ms;
      pthread_mutex_lock (&load.lock);
      number = load.next++;
      pthread_mutex_unlock (&load.lock);
      due_ms = load.start_ms + number * INT64_C (1000) / load.rate;
      if (due_ms >= load.end_ms)
        break;
      sleep_ms (due_ms - now_ms ());
      send_one (number, reply);
    }
  free (reply->body);
  free (reply);
  return NULL;
}

static int
run_load (int n_ports, char **arguments)
{
  pthread_t threads[48];

  load.rate = atoi (arguments[0]);
  load.record = open (arguments[2], O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  load.ports = arguments + 3;
  load.n_ports = n_ports;
  load.key = getenv ("API_KEY") != NULL ? getenv ("API_KEY") : "-";
  load.start_ms = now_ms ();
  load.end_ms = load.start_ms + strtoll (arguments[1], NULL, 10) * 1000;
  for (size_t i = 0; i < sizeof threads / sizeof *threads; i++)
    pthread_create (&threads[i], NULL, run_sender, NULL);
  for (size_t i = 0; i < sizeof threads / sizeof *threads; i++)
    pthread_join (threads[i], NULL);
  return 0;
}

static int
run_put (char **arguments)
{
  FILE *file = fopen (arguments[3], "rb");
  char *bytes = malloc (BODY_MAX);
  size_t length = file != NULL ? fread (bytes, 1, BODY_MAX, file) : 0;
  int status
      = file != NULL ? put (atoi (arguments[0]), arguments[1], arguments[2], bytes, length) : 0;

  printf ("%d %lld\n", status, (long long)now_ms ());
  return status == 200 ? 0 : 1;
}

/* Ports below those of the functional tests, and below the range from which the system picks those
 * of clients. */
static int
find_ports (int count)
{
  srand ((unsigned)(getpid () ^ now_ms ()));
  for (int attempt = 0; attempt < 200; attempt++)
    {
      int first = 10000 + rand () % 9000;
      int free_ports = 0;
      while (free_ports < count)
        {
          int fd = listen_on (first + free_ports);
          if (fd < 0)
            break;
          close (fd);
          free_ports++;
        }
      if (free_ports == count)
        {
          printf ("%d\n", first);
          return 0;
        }
    }
  return 1;
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  if (argc == 3 && strcmp (argv[1], "ports") == 0)
    return find_ports (atoi (argv[2]));
  if (argc == 3 && strcmp (argv[1], "store") == 0)
    return serve (atoi (argv[2]), serve_store);
  if (argc == 6 && strcmp (argv[1], "put") == 0)
    return run_put (argv + 2);
  if (argc >= 9 && strcmp (argv[1], "upstream") == 0)
    return run_upstream (argv + 2);
  load.looks = argc >= 6 && strcmp (argv[1], "look") == 0;
  if (argc >= 6 && (load.looks || strcmp (argv[1], "load") == 0))
    return run_load (argc - 5, argv + 2);
  if (argc >= 7 && strcmp (argv[1], "request") == 0)
    return run_request (argv + 2);
  if (argc == 2 && strcmp (argv[1], "now") == 0)
    {
      printf ("%lld\n", (long long)now_ms ());
      return 0;
    }
  fprintf (stderr, "usage: see the head of kit.c\n");
  return 1;
}
