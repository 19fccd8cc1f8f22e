/*
 * Stand-in for callers: asks the fleet for addresses, keeps each answer for its lifetime, sends a
 * mix of requests, checks every answer byte by byte against its own request, and sends never-repeat
 * requests again whose end is uncertain. At the end it asks the backend servers how often each
 * request was run.
 */
#include <argp.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../bench/statistics.h"

typedef struct
{
  char **fleet;
  char **planned;  /* daemons under a planned stop: what they cut counts */
  char **backends; /* control addresses */
  const char *host;
  const char *out;
  const char *prefix;
  int threads;
  int seconds;
  int pause_us;
  int posts_percent;
  int keys_percent;
  int big_percent;
  int big_bytes;
  int resends;
  int timeout_ms;
} Options;

typedef enum
{
  END_WHOLE,
  END_NOT_RUN,
  END_MAY_HAVE_RUN,
  END_RAN,
  END_WRONG,
  END_CUT,    /* by a planned stop */
  END_BROKEN, /* connection lost otherwise */
  END_COUNT
} End;

/* What became of one never-repeat request. */
typedef struct
{
  char *run_id;
  End end;
} Posting;

typedef struct
{
  GByteArray *body;
  char verdict[32];
  bool kept;
} Answer;

typedef struct
{
  char **addresses;
  char *ticket;
  char *ticket_entry;
  gint64 until_us;
} Entries;

typedef struct
{
  CURL *curl;
  GRand *random;
  GHashTable *entries; /* path class -> Entries */
  guint64 counts[END_COUNT];
  guint64 requests;
  GPtrArray *postings;
  GArray *latencies; /* of double, ms */
  int index;
} Worker;

static Options options = { .threads = 8,
                           .seconds = 5,
                           .host = "demo.example",
                           .prefix = "",
                           .big_bytes = 2000000,
                           .resends = 2,
                           .timeout_ms = 10000 };

static gint sequence;

static size_t
take_body (char *bytes, size_t size, size_t count, void *data)
{
  g_byte_array_append (((Answer *)data)->body, (const guint8 *)bytes, (guint)(size * count));
  return size * count;
}

static size_t
take_header (char *bytes, size_t size, size_t count, void *data)
{
  Answer *answer = data;
  g_autofree char *line = g_strndup (bytes, size * count);

  if (g_ascii_strncasecmp (line, "Gentian-Verdict:", 16) == 0)
    g_strlcpy (answer->verdict, g_strstrip (line + 16), sizeof answer->verdict);
  if (g_ascii_strncasecmp (line, "Gentian-Kept-Answer:", 20) == 0)
    answer->kept = true;
  return size * count;
}

enum
{
  STATUS_UNREACHABLE = -1, /* no connection: nothing was sent */
};

/* RETURN VALUE: HTTP status; 0 when the answer did not come whole. */
static long
send_request (Worker *worker,
              const char *address,
              const char *path,
              const char *body,
              struct curl_slist *headers,
              Answer *answer)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);
  long status = 0;

  g_byte_array_set_size (answer->body, 0);
  answer->verdict[0] = '\0';
  answer->kept = false;
  curl_easy_setopt (worker->curl, CURLOPT_URL, url);
  curl_easy_setopt (worker->curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (worker->curl, CURLOPT_WRITEDATA, answer);
  curl_easy_setopt (worker->curl, CURLOPT_HEADERDATA, answer);
  if (body != NULL)
    {
      curl_easy_setopt (worker->curl, CURLOPT_POST, 1L);
      curl_easy_setopt (worker->curl, CURLOPT_POSTFIELDS, body);
      curl_easy_setopt (worker->curl, CURLOPT_FRESH_CONNECT, 1L);
    }
  else
    {
      curl_easy_setopt (worker->curl, CURLOPT_HTTPGET, 1L);
      curl_easy_setopt (worker->curl, CURLOPT_FRESH_CONNECT, 0L);
    }
  switch (curl_easy_perform (worker->curl))
    {
    case CURLE_OK:
      break;
    case CURLE_COULDNT_CONNECT:
      return STATUS_UNREACHABLE;
    default:
      return 0;
    }
  curl_easy_getinfo (worker->curl, CURLINFO_RESPONSE_CODE, &status);
  return status;
}

static void
free_entries (gpointer data)
{
  Entries *entries = data;

  g_strfreev (entries->addresses);
  g_free (entries->ticket);
  g_free (entries->ticket_entry);
  g_free (entries);
}

static Entries *
parse_entries (const GByteArray *body)
{
  json_t *answer = json_loadb ((const char *)body->data, body->len, 0, NULL);
  json_t *list = json_object_get (answer, "entries");
  Entries *entries = g_new0 (Entries, 1);
  const char *entry
      = json_string_value (json_object_get (json_object_get (answer, "ticket_entry"), "address"));

  entries->addresses = g_new0 (char *, json_array_size (list) + 1);
  for (size_t i = 0; i < json_array_size (list); i++)
    entries->addresses[i]
        = g_strdup (json_string_value (json_object_get (json_array_get (list, i), "address")));
  entries->ticket = g_strdup (json_string_value (json_object_get (answer, "ticket")));
  entries->ticket_entry = g_strdup (entry);
  entries->until_us
      = g_get_monotonic_time () + json_integer_value (json_object_get (answer, "life_ms")) * 1000;
  json_decref (answer);
  return entries;
}

/* Asks daemons of the fleet in random order. RETURN VALUE: the answer, or NULL. */
static Entries *
ask (Worker *worker, const char *path, Answer *answer)
{
  g_autofree char *question = g_strdup_printf ("/v1/entries?host=%s&path=%s", options.host, path);
  guint count = g_strv_length (options.fleet);
  guint start = (guint)g_rand_int_range (worker->random, 0, (gint32)count);

  for (guint i = 0; i < count; i++)
    {
      Entries *entries;
      if (send_request (worker, options.fleet[(start + i) % count], question, NULL, NULL, answer)
          != 200)
        continue;
      entries = parse_entries (answer->body);
      if (entries->addresses[0] != NULL)
        return entries;
      free_entries (entries);
    }
  return NULL;
}

/* RETURN VALUE: the kept answer for PATH_CLASS, asked for anew when its life is over; NULL if none.
 */
static Entries *
kept_entries (Worker *worker, const char *path_class, Answer *answer)
{
  Entries *entries = g_hash_table_lookup (worker->entries, path_class);

  if (entries != NULL && entries->until_us >= g_get_monotonic_time ())
    return entries;
  entries = ask (worker, path_class, answer);
  if (entries != NULL)
    g_hash_table_replace (worker->entries, g_strdup (path_class), entries);
  return entries;
}

/* Sends to the addresses in their order until one can be connected to. ADDRESS gets the last one.
 */
static long
send_in_order (Worker *worker,
               const Entries *entries,
               const char *path,
               const char *body,
               struct curl_slist *headers,
               Answer *answer,
               const char **address)
{
  long status = STATUS_UNREACHABLE;

  for (int i = 0; entries->addresses[i] != NULL && status == STATUS_UNREACHABLE; i++)
    {
      *address = entries->addresses[i];
      status = send_request (worker, *address, path, body, headers, answer);
    }
  return status;
}

static uint64_t
body_hash (const char *body)
{
  uint64_t hash = UINT64_C (14695981039346656037);

  for (; body != NULL && *body != '\0'; body++)
    hash = (hash ^ (uint8_t)*body) * UINT64_C (1099511628211);
  return hash;
}

static bool
is_right (const Answer *answer, const char *path, const char *run_id, const char *body, size_t size)
{
  g_autofree char *line
      = g_strdup_printf ("%s %s run=%s body=%016" G_GINT64_MODIFIER "x\n",
                         body != NULL ? "POST" : "GET", path, run_id, body_hash (body));
  size_t length = strlen (line);
  guint8 fill = (guint8)('a' + (int)(strlen (path) % 26));

  if (answer->body->len != length + size || memcmp (answer->body->data, line, length) != 0)
    return false;
  for (size_t i = length; i < length + size; i++)
    if (answer->body->data[i] != fill)
      return false;
  return true;
}

static End
lost_end (const char *address)
{
  return options.planned != NULL && g_strv_contains ((const char *const *)options.planned, address)
             ? END_CUT
             : END_BROKEN;
}

static End
judge (long status, const Answer *answer, const char *address, bool right)
{
  if (status <= 0)
    return lost_end (address);
  if (status == 200)
    return right ? END_WHOLE : END_WRONG;
  if (strcmp (answer->verdict, "not-run") == 0)
    return END_NOT_RUN;
  return strcmp (answer->verdict, "ran") == 0 ? END_RAN : END_MAY_HAVE_RUN;
}

static char *
make_run_id (const Worker *worker)
{
  return g_strdup_printf ("%s%d-%d", options.prefix, worker->index,
                          g_atomic_int_add (&sequence, 1));
}

static End
get (Worker *worker, Answer *answer, const char *path_class, size_t size)
{
  g_autofree char *path = g_strdup_printf ("%s%zu", path_class, size);
  g_autofree char *run_id = make_run_id (worker);
  g_autofree char *header = g_strdup_printf ("Run-Id: %s", run_id);
  g_autofree char *host = g_strdup_printf ("Host: %s", options.host);
  const char *address = NULL;
  Entries *entries = kept_entries (worker, path_class, answer);
  struct curl_slist *headers;
  long status;
  gint64 begin_us = g_get_monotonic_time ();
  double ms;
  End end;

  if (entries == NULL)
    return END_BROKEN;
  headers = curl_slist_append (curl_slist_append (NULL, header), host);
  status = send_in_order (worker, entries, path, NULL, headers, answer, &address);
  ms = (double)(g_get_monotonic_time () - begin_us) / 1000;
  g_array_append_val (worker->latencies, ms);
  curl_slist_free_all (headers);
  end = judge (status, answer, address, is_right (answer, path, run_id, NULL, size));
  if (status <= 0)
    g_hash_table_remove (worker->entries, path_class); /* ask anew */
  return end;
}

static End
post_once (Worker *worker,
           Answer *answer,
           const Entries *entries,
           const char *first,
           const char *right,
           const char *run_id,
           const char *body)
{
  g_autofree char *run = g_strdup_printf ("Run-Id: %s", run_id);
  g_autofree char *host = g_strdup_printf ("Host: %s", options.host);
  struct curl_slist *headers = curl_slist_append (curl_slist_append (NULL, run), host);
  const char *address = first;
  long status = STATUS_UNREACHABLE;

  headers = curl_slist_append (headers, right);
  headers = curl_slist_append (headers, "Content-Type: application/octet-stream");
  if (first != NULL)
    status = send_request (worker, first, "/refunds", body, headers, answer);
  if (status == STATUS_UNREACHABLE)
    status = send_in_order (worker, entries, "/refunds", body, headers, answer, &address);
  curl_slist_free_all (headers);
  return judge (status, answer, address, is_right (answer, "/refunds", run_id, body, 0));
}

static char *
make_right (const Entries *entries, bool key, const char *run_id)
{
  if (key)
    return g_strdup_printf ("Idempotency-Key: %" G_GINT64_FORMAT "-%s", g_get_real_time () / 1000,
                            run_id);
  return g_strdup_printf ("Gentian-Ticket: %s", entries->ticket);
}

/* Posts, and posts again with the same right while the end is uncertain. */
static End
post (Worker *worker, Answer *answer, bool key)
{
  Entries *entries = ask (worker, "/refunds", answer);
  char *run_id = make_run_id (worker);
  g_autofree char *body = g_strdup_printf ("refund=%s&amount=%d", run_id, worker->index);
  g_autofree char *right = NULL;
  Posting *posting = g_new0 (Posting, 1);
  End end = END_BROKEN;

  posting->run_id = run_id;
  posting->end = END_NOT_RUN;
  g_ptr_array_add (worker->postings, posting);
  if (entries == NULL || (!key && entries->ticket == NULL))
    {
      g_clear_pointer (&entries, free_entries);
      return END_NOT_RUN;
    }
  right = make_right (entries, key, run_id);
  for (int i = 0; i <= options.resends; i++)
    {
      const char *first = i == 0 && !key ? entries->ticket_entry : NULL;
      End again = post_once (worker, answer, entries, first, right, run_id, body);
      end = i == 0 || again == END_WHOLE || again == END_WRONG || end != END_CUT ? again : end;
      if (end == END_WHOLE || end == END_NOT_RUN || end == END_RAN || end == END_WRONG)
        break;
    }
  posting->end = end;
  free_entries (entries);
  return end;
}

static End
one_request (Worker *worker, Answer *answer)
{
  int dice = g_rand_int_range (worker->random, 0, 100);

  if (dice < options.posts_percent)
    return post (worker, answer, g_rand_int_range (worker->random, 0, 100) < options.keys_percent);
  if (dice < options.posts_percent + options.big_percent)
    return get (worker, answer, "/big/", (size_t)options.big_bytes);
  return get (worker, answer, "/size/", (size_t)g_rand_int_range (worker->random, 0, 4000));
}

static gpointer
work (gpointer data)
{
  Worker *worker = data;
  Answer answer = { .body = g_byte_array_new () };
  gint64 end_us = g_get_monotonic_time () + options.seconds * G_USEC_PER_SEC;

  worker->curl = curl_easy_init ();
  worker->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entries);
  curl_easy_setopt (worker->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (worker->curl, CURLOPT_TIMEOUT_MS, (long)options.timeout_ms);
  curl_easy_setopt (worker->curl, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (worker->curl, CURLOPT_HEADERFUNCTION, take_header);
  while (g_get_monotonic_time () < end_us)
    {
      worker->requests++;
      worker->counts[one_request (worker, &answer)]++;
      if (options.pause_us > 0)
        g_usleep ((gulong)options.pause_us);
    }
  curl_easy_cleanup (worker->curl);
  g_hash_table_destroy (worker->entries);
  g_byte_array_unref (answer.body);
  return NULL;
}

/* Adds the counts of runs at one backend server to RUNS. */
static void
collect_runs (const char *address, GHashTable *runs)
{
  Worker worker = { .curl = curl_easy_init () };
  Answer answer = { .body = g_byte_array_new () };
  g_auto (GStrv) lines = NULL;

  curl_easy_setopt (worker.curl, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (worker.curl, CURLOPT_HEADERFUNCTION, take_header);
  curl_easy_setopt (worker.curl, CURLOPT_TIMEOUT_MS, 5000L);
  if (send_request (&worker, address, "/control/runs", NULL, NULL, &answer) != 200)
    fprintf (stderr, "caller: %s did not say what it ran\n", address);
  g_byte_array_append (answer.body, (const guint8 *)"", 1);
  lines = g_strsplit ((const char *)answer.body->data, "\n", -1);
  for (int i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++)
    {
      char *space = strrchr (lines[i], ' ');
      int count = atoi (space);
      *space = '\0';
      count += GPOINTER_TO_INT (g_hash_table_lookup (runs, lines[i]));
      g_hash_table_replace (runs, g_strdup (lines[i]), GINT_TO_POINTER (count));
    }
  curl_easy_cleanup (worker.curl);
  g_byte_array_unref (answer.body);
}

typedef struct
{
  guint64 twice;
  guint64 false_not_run; /* told "not run", but it ran */
  guint64 false_whole;   /* told whole, but it did not run */
} Broken;

static Broken
check_runs (const Worker *workers)
{
  GHashTable *runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  Broken broken = { 0 };

  for (int i = 0; options.backends != NULL && options.backends[i] != NULL; i++)
    collect_runs (options.backends[i], runs);
  for (int i = 0; i < options.threads; i++)
    for (guint j = 0; j < workers[i].postings->len; j++)
      {
        const Posting *posting = g_ptr_array_index (workers[i].postings, j);
        int count = GPOINTER_TO_INT (g_hash_table_lookup (runs, posting->run_id));
        broken.twice += count > 1 ? 1 : 0;
        broken.false_not_run += posting->end == END_NOT_RUN && count > 0 ? 1 : 0;
        broken.false_whole
            += options.backends != NULL && posting->end == END_WHOLE && count == 0 ? 1 : 0;
        if (count > 1)
          fprintf (stderr, "caller: %s ran %d times\n", posting->run_id, count);
      }
  g_hash_table_destroy (runs);
  return broken;
}

static int
report (const Worker *workers)
{
  guint64 counts[END_COUNT] = { 0 };
  guint64 requests = 0;
  guint64 postings = 0;
  Broken broken = check_runs (workers);
  GArray *latencies = g_array_new (FALSE, FALSE, sizeof (double));

  for (int i = 0; i < options.threads; i++)
    {
      requests += workers[i].requests;
      postings += workers[i].postings->len;
      g_array_append_vals (latencies, workers[i].latencies->data, workers[i].latencies->len);
      for (int j = 0; j < END_COUNT; j++)
        counts[j] += workers[i].counts[j];
    }
  statistics_sort ((double *)(void *)latencies->data, latencies->len);
  counts[END_WRONG] += broken.false_not_run + broken.false_whole;
  printf ("{\"requests\":%" G_GUINT64_FORMAT ",\"whole\":%" G_GUINT64_FORMAT
          ",\"not_run\":%" G_GUINT64_FORMAT ",\"may_have_run\":%" G_GUINT64_FORMAT
          ",\"ran\":%" G_GUINT64_FORMAT ",\"broken\":%" G_GUINT64_FORMAT
          ",\"wrong\":%" G_GUINT64_FORMAT ",\"cut\":%" G_GUINT64_FORMAT
          ",\"twice\":%" G_GUINT64_FORMAT ",\"false_not_run\":%" G_GUINT64_FORMAT
          ",\"postings\":%" G_GUINT64_FORMAT
          ",\"get_p50_ms\":%.2f,\"get_p99_ms\":%.2f,\"get_p999_ms\":%.2f}\n",
          requests, counts[END_WHOLE], counts[END_NOT_RUN], counts[END_MAY_HAVE_RUN],
          counts[END_RAN], counts[END_BROKEN], counts[END_WRONG], counts[END_CUT], broken.twice,
          broken.false_not_run, postings, statistics_percentile (latencies, 0.5),
          statistics_percentile (latencies, 0.99), statistics_percentile (latencies, 0.999));
  return counts[END_WRONG] + counts[END_CUT] + broken.twice > 0 ? 1 : 0;
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  (void)state;
  switch (key)
    {
    case 'f':
      options.fleet = g_strsplit (argument, ",", -1);
      return 0;
    case 'p':
      options.planned = g_strsplit (argument, ",", -1);
      return 0;
    case 'b':
      options.backends = g_strsplit (argument, ",", -1);
      return 0;
    case 'H':
      options.host = argument;
      return 0;
    case 'i':
      options.prefix = argument;
      return 0;
    case 't':
      options.threads = atoi (argument);
      return 0;
    case 's':
      options.seconds = atoi (argument);
      return 0;
    case 'w':
      options.pause_us = atoi (argument);
      return 0;
    case 'o':
      options.posts_percent = atoi (argument);
      return 0;
    case 'k':
      options.keys_percent = atoi (argument);
      return 0;
    case 'g':
      options.big_percent = atoi (argument);
      return 0;
    case 'G':
      options.big_bytes = atoi (argument);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option option_list[]
    = { { "fleet", 'f', "ADDRESSES", 0, "daemons to ask, ip:port with commas", 0 },
        { "planned", 'p', "ADDRESSES", 0, "daemons that are stopped as planned meanwhile", 0 },
        { "backends", 'b', "ADDRESSES", 0, "control addresses of backend servers", 0 },
        { "host", 'H', "NAME", 0, "host of the requests", 0 },
        { "prefix", 'i', "TEXT", 0, "prefix of run identifiers", 0 },
        { "threads", 't', "N", 0, "callers", 0 },
        { "seconds", 's', "S", 0, "time", 0 },
        { "pause", 'w', "US", 0, "pause of a caller between requests", 0 },
        { "posts", 'o', "PERCENT", 0, "never-repeat postings", 0 },
        { "keys", 'k', "PERCENT", 0, "postings with a key in place of a ticket", 0 },
        { "big", 'g', "PERCENT", 0, "large downloads", 0 },
        { "big-bytes", 'G', "BYTES", 0, "size of a large download", 0 },
        { 0 } };

static const struct argp parser
    = { option_list, parse_option, NULL, "caller - load with checks", NULL, NULL, NULL };

int
main (int argc, char **argv)
{
  Worker *workers;
  GThread **threads;

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  workers = g_new0 (Worker, options.threads);
  threads = g_new0 (GThread *, options.threads);
  for (int i = 0; i < options.threads; i++)
    {
      workers[i].index = i;
      workers[i].random = g_rand_new_with_seed ((guint32)i + 1);
      workers[i].postings = g_ptr_array_new ();
      workers[i].latencies = g_array_new (FALSE, FALSE, sizeof (double));
      threads[i] = g_thread_new ("caller", work, &workers[i]);
    }
  for (int i = 0; i < options.threads; i++)
    g_thread_join (threads[i]);
  return report (workers);
}
