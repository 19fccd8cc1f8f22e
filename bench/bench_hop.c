/*
 * bench_hop: measures the latency that a daemon adds. The same callers send requests alternately to
 * a backend server directly and through a daemon, in one run.
 * Usage: bench_hop DIRECT DAEMON PID HOST CALLERS RATE SECONDS
 * Prints one line of JSON: percentiles of the latencies of both ways, the differences of these
 * percentiles, percentiles of the differences within each pair of requests, and processor time of
 * the daemon (process PID) for each request.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "statistics.h"

typedef struct
{
  int index;
  GArray *direct;  /* latencies in ms, of double, as are the next two */
  GArray *through; /* the daemon */
  GArray *pairs;   /* through - direct */
  guint failed;
} Caller;

static const char *direct_address;
static const char *daemon_address;
static const char *host;
static int n_callers;
static double rate;
static double seconds;

static size_t
discard_body (char *bytes, size_t size, size_t count, void *data)
{
  (void)bytes;
  (void)data;
  return size * count;
}

static CURL *
open_handle (const char *address, struct curl_slist *headers)
{
  CURL *curl = curl_easy_init ();
  g_autofree char *url = g_strdup_printf ("http://%s/size/500", address);

  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, 5000L);
  return curl;
}

/* RETURN VALUE: latency of one request in ms; below 0: it failed. */
static double
measure_request (CURL *curl)
{
  gint64 begin_us = g_get_monotonic_time ();
  long status = 0;

  if (curl_easy_perform (curl) != CURLE_OK)
    return -1;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  return status == 200 ? (double)(g_get_monotonic_time () - begin_us) / 1000 : -1;
}

static gpointer
run_caller (gpointer data)
{
  Caller *caller = data;
  g_autofree char *header = g_strdup_printf ("Host: %s", host);
  struct curl_slist *headers = curl_slist_append (NULL, header);
  CURL *direct = open_handle (direct_address, headers);
  CURL *through = open_handle (daemon_address, headers);
  double gap_us = 1e6 * n_callers / rate; /* `rate` is that of the requests through the daemon */
  gint64 begin_us = g_get_monotonic_time () + (gint64)(gap_us * caller->index / n_callers);
  int rounds = (int)(seconds * 1e6 / gap_us);

  for (int i = 0; i < rounds; i++)
    {
      gint64 wait_us = begin_us + (gint64)(gap_us * i) - g_get_monotonic_time ();
      double first;
      double second;
      double pair;
      if (wait_us > 0)
        g_usleep ((gulong)wait_us);
      first = measure_request (i % 2 == 0 ? direct : through);
      second = measure_request (i % 2 == 0 ? through : direct);
      if (first < 0 || second < 0)
        {
          caller->failed++;
          continue;
        }
      if (i < rounds / 10)
        continue; /* warm-up: the first tenth is not counted */
      g_array_append_val (i % 2 == 0 ? caller->direct : caller->through, first);
      g_array_append_val (i % 2 == 0 ? caller->through : caller->direct, second);
      pair = i % 2 == 0 ? second - first : first - second;
      g_array_append_val (caller->pairs, pair);
    }
  curl_easy_cleanup (direct);
  curl_easy_cleanup (through);
  curl_slist_free_all (headers);
  return NULL;
}

/* RETURN VALUE: user and system time of process PID in microseconds; 0: it cannot be read. */
static double
process_cpu_us (const char *pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%s/stat", pid);
  g_autofree char *text = NULL;
  unsigned long user = 0;
  unsigned long system = 0;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  sscanf (strrchr (text, ')') + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
          &system);
  return (double)(user + system) * 1e6 / (double)sysconf (_SC_CLK_TCK);
}

static GArray *
merge_sorted (const Caller *callers, size_t offset)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (double));

  for (int i = 0; i < n_callers; i++)
    {
      GArray *part = *(GArray *const *)(const void *)((const char *)&callers[i] + offset);
      g_array_append_vals (all, part->data, part->len);
    }
  statistics_sort ((double *)(void *)all->data, all->len);
  return all;
}

static void
print_report (const Caller *callers, double cpu_us)
{
  static const double shares[] = { 0.5, 0.99, 0.999 };
  static const char *const names[] = { "p50", "p99", "p999" };
  GArray *direct = merge_sorted (callers, offsetof (Caller, direct));
  GArray *through = merge_sorted (callers, offsetof (Caller, through));
  GArray *pairs = merge_sorted (callers, offsetof (Caller, pairs));
  guint failed = 0;

  for (int i = 0; i < n_callers; i++)
    failed += callers[i].failed;
  printf ("{\"callers\":%d,\"rate\":%.0f,\"requests\":%u,\"failed\":%u", n_callers, rate,
          through->len, failed);
  for (int i = 0; i < 3; i++)
    printf (
        ",\"direct_%s_ms\":%.3f,\"through_%s_ms\":%.3f,\"added_%s_ms\":%.3f,\"pair_%s_ms\":%.3f",
        names[i], statistics_percentile (direct, shares[i]), names[i],
        statistics_percentile (through, shares[i]), names[i],
        statistics_percentile (through, shares[i]) - statistics_percentile (direct, shares[i]),
        names[i], statistics_percentile (pairs, shares[i]));
  printf (",\"daemon_cpu_us_a_request\":%.0f}\n", cpu_us / (through->len / 0.9));
}

int
main (int argc, char **argv)
{
  Caller *callers;
  GThread **threads;
  double cpu_us;

  if (argc != 8)
    return 1;
  direct_address = argv[1];
  daemon_address = argv[2];
  host = argv[4];
  n_callers = atoi (argv[5]);
  rate = atof (argv[6]);
  seconds = atof (argv[7]);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  callers = g_new0 (Caller, n_callers);
  threads = g_new0 (GThread *, n_callers);
  cpu_us = process_cpu_us (argv[3]);
  for (int i = 0; i < n_callers; i++)
    {
      callers[i].index = i;
      callers[i].direct = g_array_new (FALSE, FALSE, sizeof (double));
      callers[i].through = g_array_new (FALSE, FALSE, sizeof (double));
      callers[i].pairs = g_array_new (FALSE, FALSE, sizeof (double));
      threads[i] = g_thread_new ("caller", run_caller, &callers[i]);
    }
  for (int i = 0; i < n_callers; i++)
    g_thread_join (threads[i]);
  print_report (callers, process_cpu_us (argv[3]) - cpu_us);
  return 0;
}
