/* What upstreams say about themselves in their answers: that they leave, and for how long they want
 * no requests from this daemon. Both hold for one incarnation of an upstream. */
#include "core_private.h"

/** Random addition to the delay after which a refused caller may return to a quiet upstream, as
 * part of the quiet time. */
#define NOTICE_RETURN_SPREAD 0.25

/* Sends REPORT to all daemons that are not dead. */
static void
broadcast (GsCore *core, const GsUpstreamReport *report)
{
  uint32_t count = gs_members_count (core->members);
  GsEffect *effect = core_add_effect (core, GS_EFFECT_REPORT_BROADCAST);

  effect->report_broadcast.report = *report;
  effect->report_broadcast.recipients = g_new (GsPeerAddress, count);
  effect->report_broadcast.n_recipients = 0;
  for (uint32_t i = 1; i < count; i++)
    {
      const GsMemberInfo *member = gs_members_get (core->members, i);
      if (member->state != GS_MEMBER_DEAD)
        effect->report_broadcast.recipients[effect->report_broadcast.n_recipients++]
            = core_peer_address (member);
    }
}

/* Applies the report that a self-registered upstream leaves. The other daemons are told unless
 * its registration, which they read as well, says so already. */
static void
learn_leaving (GsCore *core, const GsUpstreamReport *report)
{
  bool was_leaving = gs_registry_is_leaving (core->registry, report->upstream, report->started_ms);
  GsUpstreamReport news = *report;

  if (!gs_registry_announce_leaving (core->registry, report->upstream, report->started_ms,
                                     core->now_us))
    return;
  core_log_event (core, GS_LOG_EVENT_UPSTREAM_LEAVING_LEARNED,
                  "upstream=%s incarnation=%" G_GUINT64_FORMAT
                  " source=%s attempt=%" G_GUINT64_FORMAT,
                  report->upstream, report->started_ms, report->attempt != 0 ? "answer" : "peer",
                  report->attempt);
  scheduling_sync_upstreams (core);
  if (!report->notify_peers || was_leaving)
    return;
  news.notify_peers = false;
  news.attempt = 0;
  broadcast (core, &news);
}

bool
notice_leaving (GsCore *core, const GsUpstreamReport *report)
{
  const Attempt *attempt = g_hash_table_lookup (core->attempts, &report->attempt);
  GsUpstreamReport resolved = *report;

  if (attempt != NULL && attempt->grant != 0)
    {
      resolved.registered = true;
      resolved.started_ms = attempt->started_ms;
    }
  if (resolved.registered && resolved.leaving)
    learn_leaving (core, &resolved);
  return resolved.registered;
}

void
notice_quiet (GsCore *core, const Attempt *attempt, uint32_t quiet_ms)
{
  int64_t until_us = core->now_us + (int64_t)MIN (quiet_ms, GS_QUIET_MAX_MS) * GS_US_PER_MS;
  int64_t *known_us = g_hash_table_lookup (core->quiet_until, &attempt->upstream);

  if (quiet_ms == 0 || attempt->forward || (known_us != NULL && *known_us >= until_us))
    return;
  g_hash_table_replace (core->quiet_until, g_memdup2 (&attempt->upstream, sizeof attempt->upstream),
                        g_memdup2 (&until_us, sizeof until_us));
  core_log_event (core, GS_LOG_EVENT_UPSTREAM_QUIET,
                  "upstream=%s incarnation=%" G_GUINT64_FORMAT " quiet_ms=%u source=answer "
                  "attempt=%" G_GUINT64_FORMAT,
                  attempt->target, attempt->started_ms, MIN (quiet_ms, GS_QUIET_MAX_MS),
                  attempt->id);
}

int64_t
notice_quiet_left_us (const GsCore *core, uint64_t upstream)
{
  const int64_t *until_us = g_hash_table_lookup (core->quiet_until, &upstream);

  return until_us != NULL ? MAX (*until_us - core->now_us, 0) : 0;
}

uint32_t
notice_retry_after_ms (GsCore *core, int64_t quiet_us)
{
  double spread = 1 + NOTICE_RETURN_SPREAD * gs_random_unit (&core->random);

  return quiet_us > 0 ? (uint32_t)((double)quiet_us * spread / (double)GS_US_PER_MS) + 1 : 0;
}

static gboolean
has_passed (gpointer upstream, gpointer until_us, gpointer now_us)
{
  (void)upstream;
  return *(int64_t *)until_us <= *(int64_t *)now_us;
}

void
notice_tick (GsCore *core)
{
  if (g_hash_table_size (core->quiet_until) > 0)
    g_hash_table_foreach_remove (core->quiet_until, has_passed, &core->now_us);
}
