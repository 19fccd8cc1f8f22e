#include "enforcer.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define ENFORCER_REPORT_PERIOD_US (250 * GS_US_PER_MS)
/** The same without a change since the last one; in time to renew the tokens. */
#define ENFORCER_RENEWAL_US (700 * GS_US_PER_MS)
#define ENFORCER_SHORT_PERIOD_US (50 * GS_US_PER_MS)
/** Time without a reply after which a report is repeated, and an account holder counts as lost. */
#define ENFORCER_REPLY_TIMEOUT_US (100 * GS_US_PER_MS)
/** Tokens are wanted for the demand of this time: a report period, the round trip and a tick. */
#define ENFORCER_AHEAD_S 0.3
#define ENFORCER_DEMAND_DECAY_S 1.0
/** After so long without a request all tokens are returned. */
#define ENFORCER_IDLE_US (2 * GS_US_PER_S)
/** How long a reply that granted less than was wanted is a reason to refuse. */
#define ENFORCER_LIMITED_US (300 * GS_US_PER_MS)
/** Part of the allowed overshoot that all enforcers together may use without a majority. */
#define ENFORCER_DEGRADED_SHARE 0.15
#define ENFORCER_RETRY_SPREAD_MIN_MS 200.0

/* One account holder, as far as one workspace is concerned. */
typedef struct
{
  uint64_t holder;
  uint64_t sequence; /* of the newest report */
  uint32_t bound;
  int64_t asked_us;
  int64_t unanswered_us;  /* time of the first report since the last reply; 0: answered */
  int64_t valid_until_us; /* of `bound` */
  int64_t replied_us;
  uint32_t retry_after_ms; /* of the last reply */
} Slot;

typedef struct
{
  uint64_t workspace;
  uint32_t session;
  uint32_t started;
  uint32_t admitted;
  uint32_t n_slots;
  Slot slots[GS_QUOTA_HOLDERS];
  double demand; /* decayed count of requests */
  int64_t demand_us;
  int64_t asked_us; /* 0: never */
  uint32_t asked_started;
  uint32_t asked_admitted;
  bool is_short;
  double degraded_level;
  int64_t degraded_us; /* 0: never */
} Entry;

typedef struct
{
  uint64_t to;
  GArray *demands; /* of GsQuotaDemand */
  uint64_t sequence;
} Outgoing;

struct GsQuotaEnforcer
{
  GsQuotaOptions options;
  GsQuotaFleet *fleet;
  uint64_t identity;
  GsRandom random;
  GHashTable *entries; /* workspace -> Entry */
  GQueue outgoing;     /* of Outgoing */
  uint64_t next_sequence;
  uint32_t next_session;
  GsQuotaCounts counts;
};

static void
free_outgoing (gpointer data)
{
  Outgoing *outgoing = data;

  g_array_unref (outgoing->demands);
  g_free (outgoing);
}

GsQuotaEnforcer *
gs_quota_enforcer_new (const GsQuotaOptions *options,
                       GsQuotaFleet *fleet,
                       uint64_t identity,
                       uint64_t seed)
{
  GsQuotaEnforcer *enforcer = g_new0 (GsQuotaEnforcer, 1);

  enforcer->options = *options;
  enforcer->fleet = fleet;
  enforcer->identity = identity;
  enforcer->random.state = seed;
  enforcer->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&enforcer->outgoing);
  return enforcer;
}

void
gs_quota_enforcer_free (GsQuotaEnforcer *enforcer)
{
  if (enforcer == NULL)
    return;
  g_queue_clear_full (&enforcer->outgoing, free_outgoing);
  g_hash_table_destroy (enforcer->entries);
  g_free (enforcer);
}

/* Adopts the account holders of the entry's shard, and keeps what is known of those that stay. */
static void
refresh_slots (GsQuotaEnforcer *enforcer, Entry *entry, int64_t now_us)
{
  const GsQuotaShard *shard = gs_quota_fleet_shard (enforcer->fleet, entry->workspace, now_us);
  Slot before[GS_QUOTA_HOLDERS];
  uint32_t n_before = entry->n_slots;
  bool same = n_before == shard->n_holders;

  for (uint32_t i = 0; same && i < n_before; i++)
    same = entry->slots[i].holder == shard->holders[i];
  if (same)
    return;
  memcpy (before, entry->slots, sizeof before);
  memset (entry->slots, 0, sizeof entry->slots);
  entry->n_slots = shard->n_holders;
  for (uint32_t i = 0; i < shard->n_holders; i++)
    {
      entry->slots[i].holder = shard->holders[i];
      for (uint32_t k = 0; k < n_before; k++)
        if (before[k].holder == shard->holders[i])
          entry->slots[i] = before[k];
    }
}

static Entry *
get_entry (GsQuotaEnforcer *enforcer, uint64_t workspace, int64_t now_us)
{
  Entry *entry = g_hash_table_lookup (enforcer->entries, &workspace);

  if (entry == NULL)
    {
      entry = g_new0 (Entry, 1);
      entry->workspace = workspace;
      entry->session = ++enforcer->next_session;
      entry->demand_us = now_us;
      g_hash_table_insert (enforcer->entries, &entry->workspace, entry);
    }
  refresh_slots (enforcer, entry, now_us);
  return entry;
}

static uint32_t
majority (const Entry *entry)
{
  return entry->n_slots / 2 + 1;
}

/* Fills TOKENS with what a majority of the account holders allows. RETURN VALUE: false when less
 * than a majority has replied lately. */
static bool
count_tokens (const Entry *entry, int64_t now_us, int32_t *tokens)
{
  int32_t left[GS_QUOTA_HOLDERS];
  uint32_t count = 0;

  for (uint32_t i = 0; i < entry->n_slots; i++)
    {
      const Slot *slot = &entry->slots[i];
      int32_t value = gs_quota_difference (slot->bound, entry->admitted);
      uint32_t at = count;
      if (slot->valid_until_us < now_us)
        continue;
      for (; at > 0 && left[at - 1] < value; at--)
        left[at] = left[at - 1];
      left[at] = value;
      count++;
    }
  *tokens = 0;
  if (count < majority (entry) || entry->n_slots == 0)
    return false;
  *tokens = MAX (left[majority (entry) - 1], 0);
  return true;
}

static double
demand_per_s (const Entry *entry, int64_t now_us)
{
  double elapsed_s = (double)(now_us - entry->demand_us) / (double)GS_US_PER_S;

  return entry->demand * exp (-elapsed_s / ENFORCER_DEMAND_DECAY_S) / ENFORCER_DEMAND_DECAY_S;
}

static void
add_demand (Entry *entry, int64_t now_us)
{
  entry->demand = demand_per_s (entry, now_us) * ENFORCER_DEMAND_DECAY_S + 1;
  entry->demand_us = now_us;
}

static uint32_t
wanted_tokens (const Entry *entry, int64_t now_us)
{
  double ahead = demand_per_s (entry, now_us) * ENFORCER_AHEAD_S;

  if (now_us - entry->demand_us > ENFORCER_IDLE_US)
    return 0;
  return (uint32_t)ceil (ahead + sqrt (ahead) + 0.01);
}

/* Whether a majority of the account holders granted less than was wanted. RETURN VALUE: the time
 * after which they have more; 0: they may grant more now. */
static uint32_t
limited_ms (const Entry *entry, int64_t now_us)
{
  uint32_t count = 0;
  uint32_t longest = 0;

  for (uint32_t i = 0; i < entry->n_slots; i++)
    {
      const Slot *slot = &entry->slots[i];
      if (slot->retry_after_ms == 0 || now_us - slot->replied_us > ENFORCER_LIMITED_US)
        continue;
      count++;
      longest = MAX (longest, slot->retry_after_ms);
    }
  return count > 0 && count >= majority (entry) ? longest : 0;
}

/* Whether the reply of so many account holders is overdue that there is no majority. */
static bool
is_cut_off (const Entry *entry, int64_t now_us)
{
  uint32_t lost = 0;

  for (uint32_t i = 0; i < entry->n_slots; i++)
    {
      const Slot *slot = &entry->slots[i];
      lost += slot->unanswered_us != 0 && now_us - slot->unanswered_us >= ENFORCER_REPLY_TIMEOUT_US
                  ? 1
                  : 0;
    }
  return entry->n_slots == 0 || entry->n_slots - lost < majority (entry);
}

/* Takes a token of this daemon's part of what is left to enforcers without a majority. */
static bool
take_degraded_token (GsQuotaEnforcer *enforcer, Entry *entry, int64_t now_us)
{
  GsQuotaLimit limit = gs_quota_fleet_limit (enforcer->fleet, entry->workspace);
  double window_s = (double)enforcer->options.window_us / (double)GS_US_PER_S;
  double per_s = gs_quota_overshoot (&enforcer->options, &limit) * ENFORCER_DEGRADED_SHARE
                 / window_s / gs_quota_fleet_members (enforcer->fleet, now_us);

  if (entry->degraded_us == 0)
    entry->degraded_level = gs_random_unit (&enforcer->random);
  else
    entry->degraded_level += per_s * (double)(now_us - entry->degraded_us) / (double)GS_US_PER_S;
  entry->degraded_level = MIN (entry->degraded_level, MAX (per_s, 1));
  entry->degraded_us = now_us;
  if (entry->degraded_level < 1)
    return false;
  entry->degraded_level -= 1;
  return true;
}

/* Spreads the return of refused requests over the time in which the rate can serve them. */
static uint32_t
spread_ms (GsQuotaEnforcer *enforcer, const Entry *entry, uint32_t after_ms, int64_t now_us)
{
  GsQuotaLimit limit = gs_quota_fleet_limit (enforcer->fleet, entry->workspace);
  double window_ms = (double)enforcer->options.window_us / (double)GS_US_PER_MS;
  double range_ms = demand_per_s (entry, now_us) / MAX (limit.rate_per_s, 1) * 1000;

  range_ms = CLAMP (range_ms, ENFORCER_RETRY_SPREAD_MIN_MS, window_ms);
  return after_ms + (uint32_t)(range_ms * gs_random_unit (&enforcer->random));
}

static GsQuotaVerdict
refuse (GsQuotaEnforcer *enforcer,
        const Entry *entry,
        uint32_t after_ms,
        int64_t now_us,
        uint32_t *retry_after_ms)
{
  enforcer->counts.refused++;
  *retry_after_ms = spread_ms (enforcer, entry, after_ms, now_us);
  return GS_QUOTA_REFUSED;
}

static GsQuotaVerdict
admit_degraded (GsQuotaEnforcer *enforcer, Entry *entry, int64_t now_us, uint32_t *retry_after_ms)
{
  enforcer->counts.degraded++;
  if (!take_degraded_token (enforcer, entry, now_us))
    return refuse (enforcer, entry, ENFORCER_RETRY_SPREAD_MIN_MS, now_us, retry_after_ms);
  enforcer->counts.admitted++;
  entry->admitted++;
  return GS_QUOTA_ADMITTED;
}

GsQuotaVerdict
gs_quota_enforcer_admit (GsQuotaEnforcer *enforcer,
                         uint64_t workspace,
                         bool first,
                         int64_t now_us,
                         uint32_t *retry_after_ms)
{
  Entry *entry;
  int32_t tokens;
  bool connected;
  uint32_t after_ms;

  if (gs_quota_fleet_limit (enforcer->fleet, workspace).rate_per_s == 0)
    return GS_QUOTA_ADMITTED;
  entry = get_entry (enforcer, workspace, now_us);
  if (first)
    add_demand (entry, now_us);
  connected = count_tokens (entry, now_us, &tokens);
  entry->is_short = tokens * 4 <= (int32_t)wanted_tokens (entry, now_us);
  if (tokens > 0)
    {
      entry->admitted++;
      enforcer->counts.admitted++;
      return GS_QUOTA_ADMITTED;
    }
  if (!connected && is_cut_off (entry, now_us))
    return admit_degraded (enforcer, entry, now_us, retry_after_ms);
  after_ms = connected ? limited_ms (entry, now_us) : 0;
  if (after_ms > 0)
    return refuse (enforcer, entry, after_ms, now_us, retry_after_ms);
  enforcer->counts.waited += first ? 1 : 0;
  return GS_QUOTA_WAIT;
}

uint32_t
gs_quota_enforcer_refuse (GsQuotaEnforcer *enforcer, uint64_t workspace, int64_t now_us)
{
  uint32_t retry_after_ms;

  refuse (enforcer, get_entry (enforcer, workspace, now_us), ENFORCER_RETRY_SPREAD_MIN_MS, now_us,
          &retry_after_ms);
  return retry_after_ms;
}

/* The entry stays while it has admitted requests that were not started, so only requests that were
 * admitted without a limit find none. */
void
gs_quota_enforcer_started (GsQuotaEnforcer *enforcer, uint64_t workspace)
{
  Entry *entry = g_hash_table_lookup (enforcer->entries, &workspace);

  if (entry != NULL && gs_quota_difference (entry->admitted, entry->started) > 0)
    entry->started++;
}

void
gs_quota_enforcer_refund (GsQuotaEnforcer *enforcer, uint64_t workspace)
{
  Entry *entry = g_hash_table_lookup (enforcer->entries, &workspace);

  if (entry != NULL && gs_quota_difference (entry->admitted, entry->started) > 0)
    entry->admitted--;
}

void
gs_quota_enforcer_return_started (GsQuotaEnforcer *enforcer, uint64_t workspace)
{
  Entry *entry = g_hash_table_lookup (enforcer->entries, &workspace);

  if (entry == NULL || entry->started == 0)
    return;
  entry->started--;
  entry->admitted--;
}

static bool
is_due (const Entry *entry, int64_t now_us)
{
  int64_t elapsed_us = now_us - entry->asked_us;
  bool changed = entry->started != entry->asked_started || entry->admitted != entry->asked_admitted;

  if (entry->asked_us == 0 || elapsed_us >= ENFORCER_RENEWAL_US
      || (changed && elapsed_us >= ENFORCER_REPORT_PERIOD_US))
    return true;
  if (!entry->is_short || elapsed_us < ENFORCER_SHORT_PERIOD_US)
    return false;
  for (uint32_t i = 0; i < entry->n_slots; i++)
    if (entry->slots[i].unanswered_us == 0)
      return true;
  return elapsed_us >= ENFORCER_REPLY_TIMEOUT_US;
}

static Outgoing *
get_outgoing (GsQuotaEnforcer *enforcer, GHashTable *batches, uint64_t to)
{
  Outgoing *outgoing = g_hash_table_lookup (batches, &to);

  if (outgoing != NULL && outgoing->demands->len < GS_QUOTA_ENTRIES_MAX)
    return outgoing;
  outgoing = g_new0 (Outgoing, 1);
  outgoing->to = to;
  outgoing->sequence = ++enforcer->next_sequence;
  outgoing->demands = g_array_new (FALSE, FALSE, sizeof (GsQuotaDemand));
  g_hash_table_replace (batches, &outgoing->to, outgoing);
  g_queue_push_tail (&enforcer->outgoing, outgoing);
  enforcer->counts.reports++;
  return outgoing;
}

/* Adds ENTRY to the reports, and binds it to the tokens that it states. What single account holders
 * granted beyond the others' bounds is of no use here and may be of use to other enforcers. */
static void
report_entry (GsQuotaEnforcer *enforcer, Entry *entry, GHashTable *batches, int64_t now_us)
{
  uint32_t wanted = wanted_tokens (entry, now_us);
  int32_t usable;

  count_tokens (entry, now_us, &usable);
  usable = MIN (usable, (int32_t)wanted);
  entry->asked_us = now_us;
  entry->asked_started = entry->started;
  entry->asked_admitted = entry->admitted;
  entry->is_short = false;
  for (uint32_t i = 0; i < entry->n_slots; i++)
    {
      Slot *slot = &entry->slots[i];
      Outgoing *outgoing = get_outgoing (enforcer, batches, slot->holder);
      GsQuotaDemand demand = { .workspace = entry->workspace,
                               .session = entry->session,
                               .started = entry->started,
                               .admitted = entry->admitted,
                               .wanted = wanted };
      if (slot->valid_until_us < now_us || gs_quota_difference (slot->bound, entry->admitted) < 0)
        slot->bound = entry->admitted;
      else if (gs_quota_difference (slot->bound, entry->admitted) > usable)
        slot->bound = entry->admitted + (uint32_t)usable;
      demand.bound = slot->bound;
      slot->sequence = outgoing->sequence;
      slot->asked_us = now_us;
      if (slot->unanswered_us == 0)
        slot->unanswered_us = now_us;
      g_array_append_val (outgoing->demands, demand);
    }
}

void
gs_quota_enforcer_flush (GsQuotaEnforcer *enforcer, int64_t now_us)
{
  g_autoptr (GHashTable) batches = g_hash_table_new (g_int64_hash, g_int64_equal);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, enforcer->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;
      if (!is_due (entry, now_us))
        continue;
      refresh_slots (enforcer, entry, now_us);
      report_entry (enforcer, entry, batches, now_us);
      if (wanted_tokens (entry, now_us) == 0 && entry->started == entry->admitted)
        g_hash_table_iter_remove (&iter);
    }
}

bool
gs_quota_enforcer_next_report (GsQuotaEnforcer *enforcer, uint64_t *to, GsQuotaReport *report)
{
  Outgoing *outgoing = g_queue_pop_head (&enforcer->outgoing);
  gsize length;

  if (outgoing == NULL)
    return false;
  *to = outgoing->to;
  *report = (GsQuotaReport){ .enforcer = enforcer->identity, .sequence = outgoing->sequence };
  report->demands = g_array_steal (outgoing->demands, &length);
  report->n_demands = (uint32_t)length;
  free_outgoing (outgoing);
  return true;
}

void
gs_quota_enforcer_receive (GsQuotaEnforcer *enforcer, const GsQuotaReply *reply, int64_t now_us)
{
  for (uint32_t i = 0; i < reply->n_grants; i++)
    {
      const GsQuotaGrant *grant = &reply->grants[i];
      Entry *entry = g_hash_table_lookup (enforcer->entries, &grant->workspace);
      for (uint32_t k = 0; entry != NULL && k < entry->n_slots; k++)
        {
          Slot *slot = &entry->slots[k];
          /* A reply to an older report does not know the bound stated since. */
          if (slot->holder != reply->holder || slot->sequence != reply->sequence)
            continue;
          slot->bound = grant->bound;
          slot->valid_until_us = slot->asked_us + GS_QUOTA_VALIDITY_US;
          slot->unanswered_us = 0;
          slot->replied_us = now_us;
          slot->retry_after_ms = grant->retry_after_ms;
        }
    }
}

GsQuotaCounts
gs_quota_enforcer_counts (const GsQuotaEnforcer *enforcer)
{
  return enforcer->counts;
}

uint32_t
gs_quota_enforcer_active (const GsQuotaEnforcer *enforcer)
{
  return g_hash_table_size (enforcer->entries);
}

size_t
gs_quota_enforcer_bytes (void)
{
  return sizeof (Entry);
}
