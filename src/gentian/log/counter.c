#include "counter.h"

#include <glib.h>
#include <stdatomic.h>

static _Atomic uint64_t values[GS_COUNTER_COUNT];

static const char *const names[GS_COUNTER_COUNT] = {
#define COUNTER_NAME(symbol, name, help) name,
  GS_COUNTERS (COUNTER_NAME)
#undef COUNTER_NAME
};

static const char *const helps[GS_COUNTER_COUNT] = {
#define COUNTER_HELP(symbol, name, help) help,
  GS_COUNTERS (COUNTER_HELP)
#undef COUNTER_HELP
};

void
gs_counter_add (GsCounter counter, uint64_t amount)
{
  atomic_fetch_add_explicit (&values[counter], amount, memory_order_relaxed);
}

uint64_t
gs_counter_value (GsCounter counter)
{
  return atomic_load_explicit (&values[counter], memory_order_relaxed);
}

const char *
gs_counter_name (GsCounter counter)
{
  return names[counter];
}

char *
gs_counter_render (void)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < GS_COUNTER_COUNT; i++)
    g_string_append_printf (text, "# HELP %s %s\n# TYPE %s counter\n%s %" G_GUINT64_FORMAT "\n",
                            names[i], helps[i], names[i], names[i],
                            gs_counter_value ((GsCounter)i));
  return g_string_free (text, FALSE);
}
