#include "slices.h"

#include <string.h>

/** A pool stays sliced down to this part of the threshold. */
#define SLICES_KEEP_NUMERATOR 3
#define SLICES_KEEP_DENOMINATOR 4
/** A request goes to another slice's queue only if that is so many times shorter: it cannot return.
 */
#define SLICES_SHORTER_FACTOR 2
/** Capacity is tight with fewer free slots than this part of the upstreams. */
#define SLICES_TIGHT_DIVISOR 4

static uint32_t
keep_limit (const GsSlices *slices)
{
  return (uint32_t)((uint64_t)slices->threshold * SLICES_KEEP_NUMERATOR / SLICES_KEEP_DENOMINATOR);
}

static void
insert_sorted (GsSlices *slices, uint64_t domain)
{
  uint32_t index = slices->n_domains;

  if (slices->n_domains >= GS_SLICES_MAX)
    return;
  for (; index > 0 && slices->domains[index - 1] > domain; index--)
    slices->domains[index] = slices->domains[index - 1];
  slices->domains[index] = domain;
  slices->n_domains++;
}

static bool
has_same_domains (const GsSlices *a, const GsSlices *b)
{
  return a->n_domains == b->n_domains
         && memcmp (a->domains, b->domains, a->n_domains * sizeof a->domains[0]) == 0;
}

bool
gs_slices_update (GsSlices *slices, const GsSliceDomain *domains, uint32_t n_domains)
{
  GsSlices before = *slices;

  slices->n_domains = 0;
  slices->n_upstreams = 0;
  for (uint32_t i = 0; i < n_domains; i++)
    {
      slices->n_upstreams += domains[i].n_upstreams;
      if (domains[i].n_upstreams > 0 && domains[i].n_members > 0)
        insert_sorted (slices, domains[i].domain);
    }
  if (!has_same_domains (slices, &before))
    slices->version++;
  if (slices->threshold == 0 || slices->n_domains < 2 || slices->n_upstreams < keep_limit (slices))
    slices->sliced = false;
  else if (slices->n_upstreams >= slices->threshold)
    slices->sliced = true;
  return slices->sliced != before.sliced;
}

void
gs_slices_follow (GsSlices *slices)
{
  if (slices->threshold != 0 && slices->n_domains >= 2
      && slices->n_upstreams >= keep_limit (slices))
    slices->sliced = true;
}

static uint64_t
weight (uint64_t domain, uint64_t key)
{
  return gs_mix64 (domain ^ gs_mix64 (key));
}

uint64_t
gs_slices_find (const GsSlices *slices, uint64_t domain, uint64_t key)
{
  uint64_t best = domain;

  for (uint32_t i = 0; i < slices->n_domains; i++)
    if (slices->domains[i] == domain)
      return domain;
  for (uint32_t i = 0; i < slices->n_domains; i++)
    if (i == 0 || weight (slices->domains[i], key) > weight (best, key))
      best = slices->domains[i];
  return best;
}

uint32_t
gs_slices_order (const GsSlices *slices, uint64_t first, uint64_t key, uint64_t *order)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < slices->n_domains; i++)
    {
      uint64_t domain = slices->domains[i];
      uint32_t index = count++;
      for (; index > 0 && order[index - 1] != first
             && (domain == first || weight (order[index - 1], key) < weight (domain, key));
           index--)
        order[index] = order[index - 1];
      order[index] = domain;
    }
  return count;
}

uint64_t
gs_slices_key (uint64_t pool_key, uint64_t domain)
{
  return gs_mix64 (pool_key ^ gs_mix64 (domain));
}

static GsStatedCapacity *
find_stated (GsSliceView *view, uint64_t slice)
{
  for (uint32_t i = 0; i < view->n; i++)
    if (view->stated[i].slice == slice)
      return &view->stated[i];
  return NULL;
}

/* The entry of SLICE: its own one, a new one, or that of the slice which was silent longest. */
static GsStatedCapacity *
entry_for (GsSliceView *view, uint64_t slice)
{
  GsStatedCapacity *entry = find_stated (view, slice);

  if (entry != NULL)
    return entry;
  if (view->n < GS_SLICES_MAX)
    return &view->stated[view->n++];
  entry = &view->stated[0];
  for (uint32_t i = 1; i < view->n; i++)
    if (view->stated[i].stated_us < entry->stated_us)
      entry = &view->stated[i];
  return entry;
}

void
gs_slice_view_put (GsSliceView *view,
                   uint64_t slice,
                   const GsSliceCapacity *capacity,
                   int64_t now_us)
{
  *entry_for (view, slice)
      = (GsStatedCapacity){ .slice = slice, .left = *capacity, .stated_us = now_us };
}

/* How suitable a slice is for NEED; 0: not at all. */
static uint64_t
suitability (const GsSliceCapacity *left, GsSliceNeed need)
{
  switch (need)
    {
    case GS_SLICE_NO_FREE_SLOT:
      return left->waiting == 0 ? left->free_slots : 0;
    case GS_SLICE_IDLE_ELSEWHERE:
      return left->free_slots > 0 && left->waiting == 0 ? left->idle : 0;
    case GS_SLICE_NO_UPSTREAM:
      if (left->usable == 0)
        return 0;
      return left->waiting == 0 ? ((uint64_t)1 << 32) + left->free_slots
                                : UINT32_MAX - (uint64_t)left->waiting;
    }
  return 0;
}

uint64_t
gs_slice_view_pick (const GsSliceView *view, uint64_t own, GsSliceNeed need, int64_t now_us)
{
  uint64_t best = 0;
  uint64_t most = 0;

  for (uint32_t i = 0; i < view->n; i++)
    {
      const GsStatedCapacity *stated = &view->stated[i];
      uint64_t value = suitability (&stated->left, need);
      if (stated->slice == own || now_us - stated->stated_us > GS_SLICES_CAPACITY_LIFE_US
          || value <= most)
        continue;
      best = stated->slice;
      most = value;
    }
  return best;
}

/* Whether A has a shorter queue for each upstream than B, of which it is a part of 1 in FACTOR at
 * most. */
static bool
is_shorter (const GsSliceCapacity *a, const GsSliceCapacity *b, uint64_t factor)
{
  return factor * (a->waiting + 1) * b->usable <= (uint64_t)b->waiting * a->usable;
}

uint64_t
gs_slice_view_pick_shorter (const GsSliceView *view,
                            uint64_t own,
                            const GsSliceCapacity *here,
                            int64_t now_us)
{
  const GsStatedCapacity *best = NULL;

  for (uint32_t i = 0; i < view->n; i++)
    {
      const GsStatedCapacity *stated = &view->stated[i];
      if (stated->slice == own || stated->left.usable == 0
          || now_us - stated->stated_us > GS_SLICES_CAPACITY_LIFE_US
          || !is_shorter (&stated->left, here, SLICES_SHORTER_FACTOR)
          || (best != NULL && !is_shorter (&stated->left, &best->left, 1)))
        continue;
      best = stated;
    }
  return best != NULL ? best->slice : 0;
}

bool
gs_slice_is_tight (const GsSliceCapacity *capacity)
{
  return capacity->waiting > 0 || capacity->free_slots < capacity->usable / SLICES_TIGHT_DIVISOR;
}

bool
gs_slice_view_is_tight (const GsSliceView *view, int64_t now_us)
{
  for (uint32_t i = 0; i < view->n; i++)
    if (now_us - view->stated[i].stated_us <= GS_SLICES_CAPACITY_LIFE_US
        && gs_slice_is_tight (&view->stated[i].left))
      return true;
  return false;
}

void
gs_slice_view_take (GsSliceView *view, uint64_t slice)
{
  GsStatedCapacity *stated = find_stated (view, slice);

  if (stated == NULL)
    return;
  if (stated->left.free_slots > 0)
    stated->left.free_slots--;
  else
    stated->left.waiting++;
  stated->left.idle -= stated->left.idle > 0 ? 1 : 0;
}
