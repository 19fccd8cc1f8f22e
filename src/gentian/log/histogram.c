#include "histogram.h"

#include <glib.h>
#include <stdatomic.h>

typedef struct
{
  _Atomic uint64_t buckets[GS_HISTOGRAM_BUCKETS + 1];
  _Atomic uint64_t sum_us;
} Histogram;

static Histogram histograms[GS_HISTOGRAM_COUNT];

static const char *const names[GS_HISTOGRAM_COUNT] = {
#define HISTOGRAM_NAME(symbol, name, help) name,
  GS_HISTOGRAMS (HISTOGRAM_NAME)
#undef HISTOGRAM_NAME
};

static const char *const helps[GS_HISTOGRAM_COUNT] = {
#define HISTOGRAM_HELP(symbol, name, help) help,
  GS_HISTOGRAMS (HISTOGRAM_HELP)
#undef HISTOGRAM_HELP
};

static int
bucket_index (int64_t duration_us)
{
  int bucket = 0;

  for (int64_t bound_us = GS_HISTOGRAM_FIRST_BOUND_US;
       bucket < GS_HISTOGRAM_BUCKETS && duration_us > bound_us; bound_us *= 2)
    bucket++;
  return bucket;
}

void
gs_histogram_record (GsHistogram histogram, int64_t duration_us)
{
  Histogram *data = &histograms[histogram];

  duration_us = MAX (duration_us, 0);
  atomic_fetch_add_explicit (&data->buckets[bucket_index (duration_us)], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&data->sum_us, (uint64_t)duration_us, memory_order_relaxed);
}

const char *
gs_histogram_name (GsHistogram histogram)
{
  return names[histogram];
}

static void
render_histogram (GString *text, int index)
{
  const Histogram *data = &histograms[index];
  double bound_s = (double)GS_HISTOGRAM_FIRST_BOUND_US / G_USEC_PER_SEC;
  uint64_t count = 0;

  g_string_append_printf (text, "# HELP %s %s\n# TYPE %s histogram\n", names[index], helps[index],
                          names[index]);
  for (int i = 0; i < GS_HISTOGRAM_BUCKETS; i++, bound_s *= 2)
    {
      count += atomic_load_explicit (&data->buckets[i], memory_order_relaxed);
      g_string_append_printf (text, "%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n", names[index],
                              bound_s, count);
    }
  count += atomic_load_explicit (&data->buckets[GS_HISTOGRAM_BUCKETS], memory_order_relaxed);
  g_string_append_printf (
      text,
      "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n%s_sum %.6f\n%s_count %" G_GUINT64_FORMAT "\n",
      names[index], count, names[index],
      (double)atomic_load_explicit (&data->sum_us, memory_order_relaxed) / G_USEC_PER_SEC,
      names[index], count);
}

char *
gs_histogram_render (void)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < GS_HISTOGRAM_COUNT; i++)
    render_histogram (text, i);
  return g_string_free (text, FALSE);
}
