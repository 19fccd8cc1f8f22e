/*
 * Stand-in for callers: a load generator that checks every response byte by byte against its
 * request. It looks up addresses at the fleet and caches each result for its lifetime. It resends a
 * never-repeat request whose outcome is uncertain with the same ticket or key. At the end it
 * compares the outcomes with the number of executions that the backend servers counted.
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
  char **planned;  /* daemons under a planned stop: requests that these cut are errors */
  char **backends; /* control addresses of backend servers */
  const char *host;
  const char *out;
  const char *prefix;
  int threads;
  int seconds;
  int pause_us;
  int post_percent;
  int key_percent;
  int big_percent;
  int big_bytes;
  int resends;
  int timeout_ms;
} Options;

typedef enum
{
  OUTCOME_COMPLETE,
  OUTCOME_NOT_RUN,
  OUTCOME_MAY_HAVE_RUN,
  OUTCOME_RAN,
  OUTCOME_WRONG,
  OUTCOME_CUT,    /* connection to a daemon under a planned stop lost */
  OUTCOME_BROKEN, /* connection to another daemon lost, or no address found */
  OUTCOME_COUNT
} Outcome;

/* One never-repeat request. */
typedef struct
{
  char *run_id;
  Outcome outcome;
} Post;

typedef struct
{
  GByteArray *body;
  char verdict[32];
  bool from_cache;
} Response;

typedef struct
{
  char **addresses;
  char *ticket;
  char *ticket_entry;
  gint64 expires_us;
} Entries;

typedef struct
{
  CURL *curl;
  GRand *random;
  GHashTable *entries; /* path class -> Entries */
  guint64 counts[OUTCOME_COUNT];
  guint64 requests;
  GPtrArray *posts;
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

static gint next_run_number;

static size_t
append_body (char *bytes, size_t size, size_t count, void *data)
{
  g_byte_array_append (((Response *)data)->body, (const guint8 *)bytes, (guint)(size * count));
  return size * count;
}

static size_t
read_header (char *bytes, size_t size, size_t count, void *data)
{
  Response *response = data;
  g_autofree char *line = g_strndup (bytes, size * count);

  if (g_ascii_strncasecmp (line, "Gentian-Verdict:", 16) == 0)
    g_strlcpy (response->verdict, g_strstrip (line + 16), sizeof response->verdict);
  if (g_ascii_strncasecmp (line, "Gentian-Kept-Answer:", 20) == 0)
    response->from_cache = true;
  return size * count;
}

enum
{
  STATUS_UNREACHABLE = -1, /* not connected, so nothing was sent */
};

/* RETURN VALUE: HTTP status; 0 when the response is incomplete; STATUS_UNREACHABLE. */
static long
send_request (Worker *worker,
              const char *address,
              const char *path,
              const char *body,
              struct curl_slist *headers,
              Response *response)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);
  long status = 0;

  g_byte_array_set_size (response->body, 0);
  response->verdict[0] = '\0';
  response->from_cache = false;
  curl_easy_setopt (worker->curl, CURLOPT_URL, url);
  curl_easy_setopt (worker->curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (worker->curl, CURLOPT_WRITEDATA, response);
  curl_easy_setopt (worker->curl, CURLOPT_HEADERDATA, response);
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
  json_t *response = json_loadb ((const char *)body->data, body->len, 0, NULL);
  json_t *list = json_object_get (response, "entries");
  Entries *entries = g_new0 (Entries, 1);
  const char *ticket_address
      = json_string_value (json_object_get (json_object_get (response, "ticket_entry"), "address"));

  entries->addresses = g_new0 (char *, json_array_size (list) + 1);
  for (size_t i = 0; i < json_array_size (list); i++)
    entries->addresses[i]
        = g_strdup (json_string_value (json_object_get (json_array_get (list, i), "address")));
  entries->ticket = g_strdup (json_string_value (json_object_get (response, "ticket")));
  entries->ticket_entry = g_strdup (ticket_address);
  entries->expires_us
      = g_get_monotonic_time () + json_integer_value (json_object_get (response, "life_ms")) * 1000;
  json_decref (response);
  return entries;
}

/* Tries the daemons of the fleet from a random one on. RETURN VALUE: NULL when none returned an
 * address. */
static Entries *
look_up_entries (Worker *worker, const char *path, Response *response)
{
  g_autofree char *lookup_path
      = g_strdup_printf ("/v1/entries?host=%s&path=%s", options.host, path);
  guint count = g_strv_length (options.fleet);
  guint start = (guint)g_rand_int_range (worker->random, 0, (gint32)count);

  for (guint i = 0; i < count; i++)
    {
      Entries *entries;
      if (send_request (worker, options.fleet[(start + i) % count], lookup_path, NULL, NULL,
                        response)
          != 200)
        continue;
      entries = parse_entries (response->body);
      if (entries->addresses[0] != NULL)
        return entries;
      free_entries (entries);
    }
  return NULL;
}

/* RETURN VALUE: the entries for PATH_CLASS, looked up again once they expire; NULL if none. */
static Entries *
cached_entries (Worker *worker, const char *path_class, Response *response)
{
  Entries *entries = g_hash_table_lookup (worker->entries, path_class);

  if (entries != NULL && entries->expires_us >= g_get_monotonic_time ())
    return entries;
  entries = look_up_entries (worker, path_class, response);
  if (entries != NULL)
    g_hash_table_replace (worker->entries, g_strdup (path_class), entries);
  return entries;
}

/* Tries the addresses in order until one accepts a connection. ADDRESS gets the last one tried. */
static long
send_in_order (Worker *worker,
               const Entries *entries,
               const char *path,
               const char *body,
               struct curl_slist *headers,
               Response *response,
               const char **address)
{
  long status = STATUS_UNREACHABLE;

  for (int i = 0; entries->addresses[i] != NULL && status == STATUS_UNREACHABLE; i++)
    {
      *address = entries->addresses[i];
      status = send_request (worker, *address, path, body, headers, response);
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
is_expected_response (const Response *response,
                      const char *path,
                      const char *run_id,
                      const char *body,
                      size_t size)
{
  g_autofree char *line
      = g_strdup_printf ("%s %s run=%s body=%016" G_GINT64_MODIFIER "x\n",
                         body != NULL ? "POST" : "GET", path, run_id, body_hash (body));
  size_t length = strlen (line);
  guint8 fill_byte = (guint8)('a' + (int)(strlen (path) % 26));

  if (response->body->len != length + size || memcmp (response->body->data, line, length) != 0)
    return false;
  for (size_t i = length; i < length + size; i++)
    if (response->body->data[i] != fill_byte)
      return false;
  return true;
}

static Outcome
connection_lost_outcome (const char *address)
{
  return options.planned != NULL && g_strv_contains ((const char *const *)options.planned, address)
             ? OUTCOME_CUT
             : OUTCOME_BROKEN;
}

static Outcome
classify (long status, const Response *response, const char *address, bool expected)
{
  if (status <= 0)
    return connection_lost_outcome (address);
  if (status == 200)
    return expected ? OUTCOME_COMPLETE : OUTCOME_WRONG;
  if (strcmp (response->verdict, "not-run") == 0)
    return OUTCOME_NOT_RUN;
  return strcmp (response->verdict, "ran") == 0 ? OUTCOME_RAN : OUTCOME_MAY_HAVE_RUN;
}

static char *
make_run_id (const Worker *worker)
{
  return g_strdup_printf ("%s%d-%d", options.prefix, worker->index,
                          g_atomic_int_add (&next_run_number, 1));
}

static Outcome
send_get (Worker *worker, Response *response, const char *path_class, size_t size)
{
  g_autofree char *path = g_strdup_printf ("%s%zu", path_class, size);
  g_autofree char *run_id = make_run_id (worker);
  g_autofree char *header = g_strdup_printf ("Run-Id: %s", run_id);
  g_autofree char *host = g_strdup_printf ("Host: %s", options.host);
  const char *address = NULL;
  Entries *entries = cached_entries (worker, path_class, response);
  struct curl_slist *headers;
  long status;
  gint64 started_us = g_get_monotonic_time ();
  double ms;
  Outcome outcome;

  if (entries == NULL)
    return OUTCOME_BROKEN;
  headers = curl_slist_append (curl_slist_append (NULL, header), host);
  status = send_in_order (worker, entries, path, NULL, headers, response, &address);
  ms = (double)(g_get_monotonic_time () - started_us) / 1000;
  g_array_append_val (worker->latencies, ms);
  curl_slist_free_all (headers);
  outcome = classify (status, response, address,
                      is_expected_response (response, path, run_id, NULL, size));
  if (status <= 0)
    g_hash_table_remove (worker->entries, path_class); /* forces a new lookup */
  return outcome;
}

static Outcome
send_post_once (Worker *worker,
                Response *response,
                const Entries *entries,
                const char *first_address,
                const char *permit_header,
                const char *run_id,
                const char *body)
{
  g_autofree char *run = g_strdup_printf ("Run-Id: %s", run_id);
  g_autofree char *host = g_strdup_printf ("Host: %s", options.host);
  struct curl_slist *headers = curl_slist_append (curl_slist_append (NULL, run), host);
  const char *address = first_address;
  long status = STATUS_UNREACHABLE;

  headers = curl_slist_append (headers, permit_header);
  headers = curl_slist_append (headers, "Content-Type: application/octet-stream");
  if (first_address != NULL)
    status = send_request (worker, first_address, "/refunds", body, headers, response);
  if (status == STATUS_UNREACHABLE)
    status = send_in_order (worker, entries, "/refunds", body, headers, response, &address);
  curl_slist_free_all (headers);
  return classify (status, response, address,
                   is_expected_response (response, "/refunds", run_id, body, 0));
}

static char *
make_permit_header (const Entries *entries, bool key, const char *run_id)
{
  if (key)
    return g_strdup_printf ("Idempotency-Key: %" G_GINT64_FORMAT "-%s", g_get_real_time () / 1000,
                            run_id);
  return g_strdup_printf ("Gentian-Ticket: %s", entries->ticket);
}

/* Sends a never-repeat request; resends it with the same permit while its outcome is uncertain. */
static Outcome
send_post (Worker *worker, Response *response, bool key)
{
  Entries *entries = look_up_entries (worker, "/refunds", response);
  char *run_id = make_run_id (worker);
  g_autofree char *body = g_strdup_printf ("refund=%s&amount=%d", run_id, worker->index);
  g_autofree char *permit_header = NULL;
  Post *post = g_new0 (Post, 1);
  Outcome outcome = OUTCOME_BROKEN;

  post->run_id = run_id;
  post->outcome = OUTCOME_NOT_RUN;
  g_ptr_array_add (worker->posts, post);
  if (entries == NULL || (!key && entries->ticket == NULL))
    {
      g_clear_pointer (&entries, free_entries);
      return OUTCOME_NOT_RUN;
    }
  permit_header = make_permit_header (entries, key, run_id);
  for (int i = 0; i <= options.resends; i++)
    {
      const char *first_address = i == 0 && !key ? entries->ticket_entry : NULL;
      Outcome last_outcome
          = send_post_once (worker, response, entries, first_address, permit_header, run_id, body);
      outcome = i == 0 || last_outcome == OUTCOME_COMPLETE || last_outcome == OUTCOME_WRONG
                        || outcome != OUTCOME_CUT
                    ? last_outcome
                    : outcome;
      if (outcome == OUTCOME_COMPLETE || outcome == OUTCOME_NOT_RUN || outcome == OUTCOME_RAN
          || outcome == OUTCOME_WRONG)
        break;
    }
  post->outcome = outcome;
  free_entries (entries);
  return outcome;
}

static Outcome
send_one_request (Worker *worker, Response *response)
{
  int draw = g_rand_int_range (worker->random, 0, 100);

  if (draw < options.post_percent)
    return send_post (worker, response,
                      g_rand_int_range (worker->random, 0, 100) < options.key_percent);
  if (draw < options.post_percent + options.big_percent)
    return send_get (worker, response, "/big/", (size_t)options.big_bytes);
  return send_get (worker, response, "/size/", (size_t)g_rand_int_range (worker->random, 0, 4000));
}

static gpointer
run_worker (gpointer data)
{
  Worker *worker = data;
  Response response = { .body = g_byte_array_new () };
  gint64 stop_us = g_get_monotonic_time () + options.seconds * G_USEC_PER_SEC;

  worker->curl = curl_easy_init ();
  worker->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entries);
  curl_easy_setopt (worker->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (worker->curl, CURLOPT_TIMEOUT_MS, (long)options.timeout_ms);
  curl_easy_setopt (worker->curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (worker->curl, CURLOPT_HEADERFUNCTION, read_header);
  while (g_get_monotonic_time () < stop_us)
    {
      worker->requests++;
      worker->counts[send_one_request (worker, &response)]++;
      if (options.pause_us > 0)
        g_usleep ((gulong)options.pause_us);
    }
  curl_easy_cleanup (worker->curl);
  g_hash_table_destroy (worker->entries);
  g_byte_array_unref (response.body);
  return NULL;
}

/* Adds the number of executions at one backend server to RUNS, by run id. */
static void
collect_runs (const char *address, GHashTable *runs)
{
  Worker worker = { .curl = curl_easy_init () };
  Response response = { .body = g_byte_array_new () };
  g_auto (GStrv) lines = NULL;

  curl_easy_setopt (worker.curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (worker.curl, CURLOPT_HEADERFUNCTION, read_header);
  curl_easy_setopt (worker.curl, CURLOPT_TIMEOUT_MS, 5000L);
  if (send_request (&worker, address, "/control/runs", NULL, NULL, &response) != 200)
    fprintf (stderr, "caller: cannot read which requests ran at %s\n", address);
  g_byte_array_append (response.body, (const guint8 *)"", 1);
  lines = g_strsplit ((const char *)response.body->data, "\n", -1);
  for (int i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++)
    {
      char *space = strrchr (lines[i], ' ');
      int count = atoi (space);
      *space = '\0';
      count += GPOINTER_TO_INT (g_hash_table_lookup (runs, lines[i]));
      g_hash_table_replace (runs, g_strdup (lines[i]), GINT_TO_POINTER (count));
    }
  curl_easy_cleanup (worker.curl);
  g_byte_array_unref (response.body);
}

typedef struct
{
  guint64 executed_twice;
  guint64 false_not_run;  /* outcome not-run, but it was executed */
  guint64 false_complete; /* outcome complete, but it was not executed */
} Violations;

static Violations
check_runs (const Worker *workers)
{
  GHashTable *runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  Violations violations = { 0 };

  for (int i = 0; options.backends != NULL && options.backends[i] != NULL; i++)
    collect_runs (options.backends[i], runs);
  for (int i = 0; i < options.threads; i++)
    for (guint j = 0; j < workers[i].posts->len; j++)
      {
        const Post *post = g_ptr_array_index (workers[i].posts, j);
        int count = GPOINTER_TO_INT (g_hash_table_lookup (runs, post->run_id));
        violations.executed_twice += count > 1 ? 1 : 0;
        violations.false_not_run += post->outcome == OUTCOME_NOT_RUN && count > 0 ? 1 : 0;
        violations.false_complete
            += options.backends != NULL && post->outcome == OUTCOME_COMPLETE && count == 0 ? 1 : 0;
        if (count > 1)
          fprintf (stderr, "caller: %s ran %d times\n", post->run_id, count);
      }
  g_hash_table_destroy (runs);
  return violations;
}

static int
print_report (const Worker *workers)
{
  guint64 counts[OUTCOME_COUNT] = { 0 };
  guint64 requests = 0;
  guint64 posts = 0;
  Violations violations = check_runs (workers);
  GArray *latencies = g_array_new (FALSE, FALSE, sizeof (double));

  for (int i = 0; i < options.threads; i++)
    {
      requests += workers[i].requests;
      posts += workers[i].posts->len;
      g_array_append_vals (latencies, workers[i].latencies->data, workers[i].latencies->len);
      for (int j = 0; j < OUTCOME_COUNT; j++)
        counts[j] += workers[i].counts[j];
    }
  statistics_sort ((double *)(void *)latencies->data, latencies->len);
  counts[OUTCOME_WRONG] += violations.false_not_run + violations.false_complete;
  printf ("{\"requests\":%" G_GUINT64_FORMAT ",\"whole\":%" G_GUINT64_FORMAT
          ",\"not_run\":%" G_GUINT64_FORMAT ",\"may_have_run\":%" G_GUINT64_FORMAT
          ",\"ran\":%" G_GUINT64_FORMAT ",\"broken\":%" G_GUINT64_FORMAT
          ",\"wrong\":%" G_GUINT64_FORMAT ",\"cut\":%" G_GUINT64_FORMAT
          ",\"twice\":%" G_GUINT64_FORMAT ",\"false_not_run\":%" G_GUINT64_FORMAT
          ",\"postings\":%" G_GUINT64_FORMAT
          ",\"get_p50_ms\":%.2f,\"get_p99_ms\":%.2f,\"get_p999_ms\":%.2f}\n",
          requests, counts[OUTCOME_COMPLETE], counts[OUTCOME_NOT_RUN], counts[OUTCOME_MAY_HAVE_RUN],
          counts[OUTCOME_RAN], counts[OUTCOME_BROKEN], counts[OUTCOME_WRONG], counts[OUTCOME_CUT],
          violations.executed_twice, violations.false_not_run, posts,
          statistics_percentile (latencies, 0.5), statistics_percentile (latencies, 0.99),
          statistics_percentile (latencies, 0.999));
  return counts[OUTCOME_WRONG] + counts[OUTCOME_CUT] + violations.executed_twice > 0 ? 1 : 0;
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
      options.post_percent = atoi (argument);
      return 0;
    case 'k':
      options.key_percent = atoi (argument);
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
    = { { "fleet", 'f', "ADDRESSES", 0,
          "daemons to look up addresses at, ip:port separated by commas", 0 },
        { "planned", 'p', "ADDRESSES", 0, "daemons that are stopped as planned during the run", 0 },
        { "backends", 'b', "ADDRESSES", 0, "control addresses of backend servers", 0 },
        { "host", 'H', "NAME", 0, "virtual host of the requests", 0 },
        { "prefix", 'i', "TEXT", 0, "prefix of run identifiers", 0 },
        { "threads", 't', "N", 0, "number of concurrent callers", 0 },
        { "seconds", 's', "S", 0, "run time", 0 },
        { "pause", 'w', "US", 0, "pause between requests of a caller", 0 },
        { "posts", 'o', "PERCENT", 0, "share of never-repeat postings", 0 },
        { "keys", 'k', "PERCENT", 0, "share of postings with a key in place of a ticket", 0 },
        { "big", 'g', "PERCENT", 0, "share of large downloads", 0 },
        { "big-bytes", 'G', "BYTES", 0, "size of a large download", 0 },
        { 0 } };

static const struct argp parser
    = { option_list, parse_option, NULL, "caller - load generator that checks responses",
        NULL,        NULL,         NULL };

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
      workers[i].posts = g_ptr_array_new ();
      workers[i].latencies = g_array_new (FALSE, FALSE, sizeof (double));
      threads[i] = g_thread_new ("caller", run_worker, &workers[i]);
    }
  for (int i = 0; i < options.threads; i++)
    g_thread_join (threads[i]);
  return print_report (workers);
}
