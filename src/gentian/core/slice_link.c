/* Pools that are scheduled by slice (slices/slices.h): which daemons schedule a slice, whom a
 * request asks for a slot, redirections, and what the schedulers of the slices tell each other. */
#include "core_private.h"

#include <string.h>

enum
{
  SLICE_HOMES = 2,        /* of one slice, and receivers of each message to it */
  SLICE_DOMAINS_MAX = 64, /* failure domains that are looked at */
  SLICE_SILENT_MAX = 3,   /* schedulers without a reply before this daemon schedules a request */
};

/** Period at which the homes of slices state their capacity, and the same while a slice has little
 * left: what was stated is then used up or outdated sooner. */
#define SLICE_SUMMARY_PERIOD_US (500 * GS_US_PER_MS)
#define SLICE_SUMMARY_TIGHT_US (100 * GS_US_PER_MS)
/** The second home of a slice states it while it schedules: after a slot request within this time.
 */
#define SLICE_IN_USE_US GS_US_PER_S

typedef struct
{
  GsSliceDomain domains[SLICE_DOMAINS_MAX];
  uint32_t n;
} DomainCounts;

static uint64_t
own_domain (const GsCore *core)
{
  return gs_hash_name (core->options.self.failure_domain);
}

PoolState *
slice_whole (PoolState *state)
{
  return state->whole != NULL ? state->whole : state;
}

static GsSliceDomain *
count_domain (DomainCounts *counts, uint64_t domain)
{
  for (uint32_t i = 0; i < counts->n; i++)
    if (counts->domains[i].domain == domain)
      return &counts->domains[i];
  if (counts->n >= SLICE_DOMAINS_MAX)
    return NULL;
  counts->domains[counts->n] = (GsSliceDomain){ .domain = domain };
  return &counts->domains[counts->n++];
}

static void
count_upstream (const GsRegistration *registration,
                GsRegistrationState state,
                int64_t read_us,
                void *data)
{
  GsSliceDomain *domain = count_domain (data, gs_hash_name (registration->failure_domain));

  (void)state;
  (void)read_us;
  if (domain != NULL)
    domain->n_upstreams++;
}

static bool
may_be_home (const GsMemberInfo *member)
{
  return member->state == GS_MEMBER_ALIVE && member->ready != 0;
}

static void
count_members (const GsCore *core, DomainCounts *counts)
{
  for (uint32_t i = 0; i < gs_members_count (core->members); i++)
    {
      const GsMemberInfo *member = gs_members_get (core->members, i);
      GsSliceDomain *domain = may_be_home (member)
                                  ? count_domain (counts, gs_hash_name (member->failure_domain))
                                  : NULL;
      if (domain != NULL)
        domain->n_members++;
    }
}

static void
log_division (GsCore *core, const PoolState *pool)
{
  core_log_event (core, GS_LOG_EVENT_POOL_SLICES_CHANGED,
                  "pool=%s sliced=%s slices=%u upstreams=%u", pool->name,
                  pool->slices.sliced ? "yes" : "no", pool->slices.n_domains,
                  pool->slices.n_upstreams);
}

/* Brings the division of POOL up to date. */
static void
refresh (GsCore *core, PoolState *pool)
{
  uint64_t registry_epoch = gs_registry_epoch (core->registry);
  uint64_t members_epoch = gs_members_epoch (core->members);
  DomainCounts counts = { 0 };

  if (core->options.slice_upstreams == 0
      || (pool->slices_registry_epoch == registry_epoch
          && pool->slices_members_epoch == members_epoch))
    return;
  pool->slices_registry_epoch = registry_epoch;
  pool->slices_members_epoch = members_epoch;
  pool->slices.threshold = core->options.slice_upstreams;
  if (pool->slices.n_domains == 0
      && gs_registry_pool_size (core->registry, pool->name).n_upstreams
             < core->options.slice_upstreams / 2)
    return;
  gs_registry_foreach (core->registry, pool->name, count_upstream, &counts);
  count_members (core, &counts);
  if (gs_slices_update (&pool->slices, counts.domains, counts.n))
    log_division (core, pool);
}

bool
slice_is_used (GsCore *core, PoolState *state)
{
  PoolState *pool = slice_whole (state);

  refresh (core, pool);
  return pool->slices.sliced;
}

bool
slice_division_changed (GsCore *core, PoolState *state)
{
  if (state->whole == NULL)
    return false;
  refresh (core, state->whole);
  if (state->slices_version == state->whole->slices.version)
    return false;
  state->slices_version = state->whole->slices.version;
  gs_scheduler_set_pool_share (state->scheduler, 1.0 / MAX (state->whole->slices.n_domains, 1));
  return true;
}

bool
slice_has_upstream (const PoolState *state, const GsRegistration *registration)
{
  return state->whole == NULL
         || gs_slices_find (&state->whole->slices, gs_hash_name (registration->failure_domain),
                            gs_hash_name (registration->id))
                == state->slice;
}

double
slice_slack_share (GsCore *core, PoolState *state)
{
  bool used = slice_is_used (core, state);

  if (state->whole == NULL)
    return used ? 0 : 1;
  return used ? 1.0 / MAX (state->whole->slices.n_domains, 1) : 0;
}

static PoolState *
get_slice (GsCore *core, PoolState *pool, uint64_t domain)
{
  uint64_t key = gs_slices_key (pool->key, domain);
  PoolState *state = g_hash_table_lookup (core->slices_by_key, &key);

  if (state != NULL)
    return state;
  state = g_new0 (PoolState, 1);
  state->key = key;
  state->workspace = g_strdup (pool->workspace);
  state->name = g_strdup (pool->name);
  state->budget = gs_retry_bucket_full ();
  state->homes_epoch = UINT64_MAX;
  state->whole = pool;
  state->slice = domain;
  g_hash_table_insert (core->slices_by_key, &state->key, state);
  g_ptr_array_add (core->slices, state);
  return state;
}

/* Slices are known by the failure domains of members, whatever this daemon takes for the division:
 * another one may have other registrations yet. */
PoolState *
slice_find (GsCore *core, uint64_t key)
{
  PoolState *state = g_hash_table_lookup (core->slices_by_key, &key);
  GHashTableIter iter;
  gpointer value;
  DomainCounts counts = { 0 };

  if (state != NULL || core->options.slice_upstreams == 0)
    return state;
  count_members (core, &counts);
  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (uint32_t i = 0; i < counts.n; i++)
      if (gs_slices_key (((PoolState *)value)->key, counts.domains[i].domain) == key)
        return get_slice (core, value, counts.domains[i].domain);
  return NULL;
}

void
slice_refresh_homes (GsCore *core, PoolState *state)
{
  uint64_t epoch = gs_members_epoch (core->members);

  if (state->homes_epoch == epoch)
    return;
  state->homes_epoch = epoch;
  state->n_homes = gs_members_domain_homes (core->members, state->slice, state->key, SLICE_HOMES,
                                            state->homes);
  if (state->n_homes == 0) /* every member of the domain is lost */
    state->n_homes = gs_members_homes (core->members, state->key, SLICE_HOMES, state->homes);
}

const GsMemberInfo *
slice_pick_scheduler (GsCore *core, Request *request)
{
  PoolState *pool = slice_whole (request->pool);
  uint64_t self = gs_hash_name (core->options.self.id);
  uint64_t order[GS_SLICES_MAX];
  uint64_t first = request->slice != 0 ? request->slice
                                       : gs_slices_find (&pool->slices, own_domain (core), self);
  uint32_t count = gs_slices_order (&pool->slices, first, core->origin, order);

  if (count == 0) /* redirected by a daemon that has other settings, or registrations earlier */
    order[count++] = first;
  for (uint32_t i = 0; i < count && request->n_silent_schedulers < SLICE_SILENT_MAX; i++)
    {
      PoolState *state = get_slice (core, pool, order[i]);
      const GsMemberInfo *scheduler = NULL;
      core_refresh_homes (core, state);
      if (!scheduling_pick_home (core, request, state, i == 0 ? SLICE_HOMES : 1, &scheduler))
        continue;
      request->pool = state;
      return scheduler;
    }
  request->pool = get_slice (core, pool, first);
  return NULL;
}

/* Redirects a request whose daemon does not know that POOL is scheduled by slice. RETURN VALUE:
 * whether it was redirected. */
static bool
redirect_to_slice (GsCore *core, PoolState *pool, const GsSlotRequest *slot_request)
{
  GsScheduler *scheduler;

  if (slot_request->origin == core->origin || !slice_is_used (core, pool))
    return false;
  scheduler = scheduling_get_scheduler (core, pool);
  if (slot_request->replaced_grant != 0 || gs_scheduler_knows (scheduler, slot_request))
    return false;
  gs_scheduler_redirect (
      scheduler, slot_request,
      gs_slices_find (&pool->slices, slot_request->domain, slot_request->origin));
  return true;
}

/* The slice to which SLOT_REQUEST goes if it gets no slot here; 0: it waits here. */
static uint64_t
pick_other_slice (GsCore *core, PoolState *state, const GsSlotRequest *slot_request)
{
  const GsSliceView *view = &state->whole->slice_view;
  GsSliceCapacity here = { .waiting = gs_scheduler_queue_length (state->scheduler) };
  uint64_t slice;

  if (slot_request->is_redirected || slot_request->replaced_grant != 0)
    return 0;
  slice = gs_slice_view_pick (view, state->slice, GS_SLICE_NO_FREE_SLOT, core->now_us);
  if (slice != 0)
    return slice;
  here.usable = gs_scheduler_usable_upstreams (state->scheduler);
  if (here.usable <= slot_request->n_tried)
    return gs_slice_view_pick (view, state->slice, GS_SLICE_NO_UPSTREAM, core->now_us);
  return gs_slice_view_pick_shorter (view, state->slice, &here, core->now_us);
}

/* The slice with too many idle upstreams to which SLOT_REQUEST goes although it may get a slot
 * here; 0: none. */
static uint64_t
pick_idle_slice (GsCore *core, PoolState *state, const GsSlotRequest *slot_request)
{
  if (slot_request->is_redirected || slot_request->is_retry || slot_request->is_renewed
      || slot_request->replaced_grant != 0
      || gs_scheduler_knows (scheduling_get_scheduler (core, state), slot_request))
    return 0;
  return gs_slice_view_pick (&state->whole->slice_view, state->slice, GS_SLICE_IDLE_ELSEWHERE,
                             core->now_us);
}

void
slice_request (GsCore *core, PoolState *state, const GsSlotRequest *slot_request)
{
  GsScheduler *scheduler = scheduling_get_scheduler (core, state);
  uint64_t slice;

  if (state->whole == NULL)
    {
      if (!redirect_to_slice (core, state, slot_request))
        gs_scheduler_request (scheduler, slot_request, core->now_us);
      return;
    }
  gs_slices_follow (&state->whole->slices);
  state->requested_us = core->now_us;
  slice = pick_idle_slice (core, state, slot_request);
  if (slice != 0)
    {
      gs_scheduler_redirect (scheduler, slot_request, slice);
      gs_slice_view_take (&state->whole->slice_view, slice);
      return;
    }
  slice = pick_other_slice (core, state, slot_request);
  if (gs_scheduler_request_or_redirect (scheduler, slot_request, slice, core->now_us))
    gs_slice_view_take (&state->whole->slice_view, slice);
}

void
slice_apply_redirect (GsCore *core, Request *request, const GsSlotReply *reply)
{
  PoolState *pool = slice_whole (request->pool);

  /* The home of a pool redirects a daemon that did not know of the slices; this does not count. */
  if (request->pool->whole != NULL)
    {
      request->redirected = true;
      /* A retry was counted by the home that redirected it. */
      request->slot_renewed = request->slot_renewed || request->reached_upstream;
    }
  request->slice = reply->slice;
  gs_slices_follow (&pool->slices);
  core_log_event (core, GS_LOG_EVENT_SLOT_REDIRECTED, "request=%" G_GUINT64_FORMAT " id=%s pool=%s",
                  request->id, request->label, pool->name);
}

/* Sends SUMMARY to the homes of the other slices. */
static void
send_summary (GsCore *core, PoolState *state, const GsSliceSummary *summary)
{
  const GsSlices *slices = &state->whole->slices;

  for (uint32_t i = 0; i < slices->n_domains; i++)
    {
      PoolState *other = get_slice (core, state->whole, slices->domains[i]);
      if (other == state)
        continue;
      core_refresh_homes (core, other);
      for (uint32_t home = 0; home < other->n_homes; home++)
        {
          GsEffect *effect;
          if (other->homes[home] == 0)
            continue;
          effect = core_add_effect (core, GS_EFFECT_SLICE_SUMMARY);
          effect->to = core_peer_address (gs_members_get (core->members, other->homes[home]));
          effect->slice_summary = *summary;
        }
    }
}

static void
apply_losses (GsCore *core, const PoolState *pool, const GsSliceSummary *summary)
{
  for (guint i = 0; i < core->slices->len; i++)
    {
      PoolState *state = g_ptr_array_index (core->slices, i);
      if (state->whole != pool || state->slice == summary->slice || state->scheduler == NULL)
        continue;
      for (uint32_t loss = 0; loss < summary->n_losses; loss++)
        gs_scheduler_apply_loss (state->scheduler, &summary->losses[loss], core->now_us);
    }
}

/* Whether this daemon speaks for the slice: it is its first home, or the second one and gets the
 * slot requests. */
static bool
speaks_for (GsCore *core, PoolState *state)
{
  core_refresh_homes (core, state);
  if (state->n_homes > 0 && state->homes[0] == 0)
    return true;
  return state->n_homes > 1 && state->homes[1] == 0
         && core->now_us - state->requested_us < SLICE_IN_USE_US && state->requested_us != 0;
}

/* Whether the capacity of a slice has to be stated, and what it is. */
static bool
measure_if_due (GsCore *core, PoolState *state, GsSliceCapacity *capacity)
{
  int64_t age_us = core->now_us - state->stated_us;

  if (age_us < SLICE_SUMMARY_TIGHT_US || !speaks_for (core, state))
    return false;
  *capacity = gs_scheduler_measure (scheduling_get_scheduler (core, state), core->now_us);
  if (age_us < SLICE_SUMMARY_PERIOD_US && !gs_slice_is_tight (capacity)
      && !gs_slice_view_is_tight (&state->whole->slice_view, core->now_us))
    return false;
  state->stated_us = core->now_us;
  return true;
}

/* Tells the other slices what the scheduler here learned and, if that is due, what it has free. */
static void
tell_others (GsCore *core, PoolState *state)
{
  GsSliceSummary summary = { .pool = state->whole->key, .slice = state->slice };

  while (summary.n_losses < GS_LOSSES_MAX && state->scheduler != NULL
         && gs_scheduler_next_loss (state->scheduler, &summary.losses[summary.n_losses]))
    summary.n_losses++;
  summary.has_capacity = measure_if_due (core, state, &summary.capacity);
  if (summary.has_capacity || summary.n_losses > 0)
    send_summary (core, state, &summary);
}

/* Creates the slices of which this daemon may be a home, so that they are spoken for before the
 * first request. */
static void
create_own_slices (GsCore *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PoolState *pool = value;
      const GsPoolRow *row = slice_is_used (core, pool)
                                 ? gs_table_pool (core->table, pool->workspace, pool->name)
                                 : NULL;
      if (row != NULL && row->registered)
        get_slice (core, pool, own_domain (core));
    }
}

void
slice_tick (GsCore *core)
{
  if (core->options.slice_upstreams == 0)
    return;
  if (core->now_us >= core->own_slices_due_us)
    {
      core->own_slices_due_us = core->now_us + SLICE_SUMMARY_PERIOD_US;
      create_own_slices (core);
    }
  for (guint i = 0; i < core->slices->len; i++)
    {
      PoolState *state = g_ptr_array_index (core->slices, i);
      if (slice_is_used (core, state))
        tell_others (core, state);
    }
}

void
slice_receive_summary (GsCore *core, const GsSliceSummary *summary)
{
  PoolState *pool = g_hash_table_lookup (core->pools, &summary->pool);

  if (pool == NULL)
    return;
  if (summary->has_capacity)
    gs_slice_view_put (&pool->slice_view, summary->slice, &summary->capacity, core->now_us);
  apply_losses (core, pool, summary);
}
