#include "fleet.h"

#include <glib.h>

enum
{
  FLEET_SHARD_WORKSPACES = 1024,
};

/** Share of the members from which on the loss of the others is no partition to care for: they may
 * use what the overshoot allows. */
#define FLEET_WHOLE_SHARE 0.9
/** Daemons notice a loss, or the end of one, up to so long one after the other. */
#define FLEET_NOTICE_US (2 * GS_US_PER_S)

typedef struct
{
  GsQuotaShard shard;
  uint64_t epoch; /* of the view, plus 1; 0: unused */
} CachedShard;

struct GsQuotaFleet
{
  GsFleetView view;
  bool first_start; /* and no member was lost since */
  GArray *shards;   /* of CachedShard */
  uint32_t known;   /* members, at least 1 */
  double share;
  double wanted_share; /* in force after FLEET_NOTICE_US if it is higher */
  int64_t wanted_us;
  uint64_t members_epoch; /* of `known` and `wanted_share`, plus 1 */
};

GsQuotaFleet *
gs_quota_fleet_new (const GsFleetView *view, bool first_start)
{
  GsQuotaFleet *fleet = g_new0 (GsQuotaFleet, 1);

  fleet->view = *view;
  fleet->first_start = first_start;
  fleet->shards = g_array_new (FALSE, TRUE, sizeof (CachedShard));
  fleet->share = 1;
  fleet->wanted_share = 1;
  return fleet;
}

void
gs_quota_fleet_free (GsQuotaFleet *fleet)
{
  if (fleet == NULL)
    return;
  g_array_unref (fleet->shards);
  g_free (fleet);
}

static void
refresh_members (GsQuotaFleet *fleet, int64_t now_us)
{
  uint64_t epoch = fleet->view.epoch (fleet->view.data) + 1;
  uint32_t alive;
  double share;

  if (fleet->members_epoch == epoch)
    return;
  fleet->members_epoch = epoch;
  fleet->known = MAX (fleet->view.members (&alive, fleet->view.data), 1);
  share = (double)alive / fleet->known;
  fleet->first_start = fleet->first_start && alive == fleet->known;
  share = share >= FLEET_WHOLE_SHARE ? 1 : share;
  if (share != fleet->wanted_share)
    fleet->wanted_us = now_us;
  fleet->wanted_share = share;
}

uint32_t
gs_quota_fleet_members (GsQuotaFleet *fleet, int64_t now_us)
{
  refresh_members (fleet, now_us);
  return fleet->known;
}

double
gs_quota_fleet_share (GsQuotaFleet *fleet, int64_t now_us)
{
  refresh_members (fleet, now_us);
  /* A lower share is in force at once, a higher one when all daemons have noticed. One that has
   * just started finds the members alive one after the other. */
  if (fleet->wanted_share < fleet->share || now_us < fleet->view.settled_us
      || now_us - fleet->wanted_us >= FLEET_NOTICE_US)
    fleet->share = fleet->wanted_share;
  return fleet->share;
}

static uint32_t
count_changed (const GsQuotaShard *before, const GsQuotaShard *now)
{
  uint32_t changed = before->n_holders;

  for (uint32_t i = 0; i < before->n_holders; i++)
    for (uint32_t k = 0; k < now->n_holders; k++)
      changed -= before->holders[i] == now->holders[k] ? 1 : 0;
  return changed;
}

static void
refresh_shard (GsQuotaFleet *fleet, CachedShard *cached, uint32_t index, int64_t now_us)
{
  GsQuotaShard before = cached->shard;
  GsQuotaShard *shard = &cached->shard;
  bool is_new = cached->epoch == 0;
  bool is_settling = now_us < fleet->view.settled_us;
  uint64_t epoch = fleet->view.epoch (fleet->view.data) + 1;

  if (cached->epoch == epoch)
    return;
  cached->epoch = epoch;
  shard->n_holders = fleet->view.holders (index, shard->holders, fleet->view.data);
  /* After a loss of all instances the members appear one after the other. Accounts that started
   * anew with each, or waited for another side, would admit nothing for seconds. */
  if (!is_new && (is_settling || count_changed (&before, shard) < 2))
    return;
  shard->since_us = now_us;
  if (!is_settling && gs_quota_fleet_share (fleet, now_us) < 1)
    shard->since_us = now_us + FLEET_NOTICE_US;
  else if (is_new && fleet->first_start)
    shard->since_us = INT64_MIN;
}

const GsQuotaShard *
gs_quota_fleet_shard (GsQuotaFleet *fleet, uint64_t workspace, int64_t now_us)
{
  uint32_t n_shards = fleet->view.workspaces (fleet->view.data) / FLEET_SHARD_WORKSPACES + 1;
  uint32_t index = (uint32_t)(workspace % n_shards);

  if (fleet->shards->len != n_shards)
    {
      g_array_set_size (fleet->shards, 0); /* all shards have other workspaces now */
      g_array_set_size (fleet->shards, n_shards);
    }
  refresh_shard (fleet, &g_array_index (fleet->shards, CachedShard, index), index, now_us);
  return &g_array_index (fleet->shards, CachedShard, index).shard;
}

GsQuotaLimit
gs_quota_fleet_limit (GsQuotaFleet *fleet, uint64_t workspace)
{
  return fleet->view.limit (workspace, fleet->view.data);
}
