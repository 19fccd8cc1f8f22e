#include "traffic.h"

#include <glib.h>
#include <stdatomic.h>

static _Atomic uint64_t messages[GS_TRAFFIC_KINDS][GS_DOMAIN_COUNT];
static _Atomic uint64_t message_bytes[GS_TRAFFIC_KINDS][GS_DOMAIN_COUNT];
static _Atomic uint64_t body_bytes[GS_DOMAIN_COUNT];

static const char *const domain_names[GS_DOMAIN_COUNT] = { "unknown", "same", "other" };

/* By number of the kind, see GsWireKind. */
static const char *const kind_names[GS_TRAFFIC_KINDS]
    = { "unknown",         "member",       "evidence",        "crash",
        "upstream-report", "tables-pull",  "tables-snapshot", "registry-update",
        "registry-pull",   "slot-request", "slot-reply",      "slot-result",
        "retry-account",   "quota-report", "quota-reply",     "slice-summary" };

static const char *const metric_names[GS_TRAFFIC_METRICS]
    = { "gentian_peer_messages_total", "gentian_peer_bytes_total", "gentian_body_bytes_total" };

static const char *const metric_helps[GS_TRAFFIC_METRICS]
    = { "messages sent to other daemons, by kind and failure domain",
        "bytes of messages sent to other daemons, by kind and failure domain",
        "bytes of bodies exchanged with upstreams, by failure domain" };

void
gs_traffic_add_message (uint32_t kind, GsDomainRelation domain, uint64_t length)
{
  uint32_t index = kind < GS_TRAFFIC_KINDS ? kind : 0;

  atomic_fetch_add_explicit (&messages[index][domain], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&message_bytes[index][domain], length, memory_order_relaxed);
}

void
gs_traffic_add_body (GsDomainRelation domain, uint64_t bytes)
{
  atomic_fetch_add_explicit (&body_bytes[domain], bytes, memory_order_relaxed);
}

const char *
gs_traffic_name (GsTrafficMetric metric)
{
  return metric_names[metric];
}

static void
render_head (GString *text, GsTrafficMetric metric)
{
  g_string_append_printf (text, "# HELP %s %s\n# TYPE %s counter\n", metric_names[metric],
                          metric_helps[metric], metric_names[metric]);
}

static void
render_messages (GString *text,
                 GsTrafficMetric metric,
                 const _Atomic uint64_t values[GS_TRAFFIC_KINDS][GS_DOMAIN_COUNT])
{
  render_head (text, metric);
  for (int kind = 0; kind < GS_TRAFFIC_KINDS; kind++)
    for (int domain = 0; domain < GS_DOMAIN_COUNT; domain++)
      {
        uint64_t value = atomic_load_explicit (&values[kind][domain], memory_order_relaxed);
        if (value > 0)
          g_string_append_printf (text, "%s{kind=\"%s\",domain=\"%s\"} %" G_GUINT64_FORMAT "\n",
                                  metric_names[metric], kind_names[kind], domain_names[domain],
                                  value);
      }
}

char *
gs_traffic_render (void)
{
  GString *text = g_string_new (NULL);

  render_messages (text, GS_TRAFFIC_PEER_MESSAGES, messages);
  render_messages (text, GS_TRAFFIC_PEER_BYTES, message_bytes);
  render_head (text, GS_TRAFFIC_BODY_BYTES);
  for (int domain = 0; domain < GS_DOMAIN_COUNT; domain++)
    g_string_append_printf (text, "%s{domain=\"%s\"} %" G_GUINT64_FORMAT "\n",
                            metric_names[GS_TRAFFIC_BODY_BYTES], domain_names[domain],
                            atomic_load_explicit (&body_bytes[domain], memory_order_relaxed));
  return g_string_free (text, FALSE);
}
