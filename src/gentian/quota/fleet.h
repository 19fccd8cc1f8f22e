/**
 * NAME
 *   fleet - which daemons keep the accounts of a workspace
 *
 * DESCRIPTION
 *   Workspaces are divided into shards by the hash of their name. The accounts of a shard are kept
 * by the same GS_QUOTA_HOLDERS daemons, which GsFleetView picks. A GsQuotaFleet caches them until
 * the view's epoch changes. When two of them change at once there may be no majority that knows
 * what was admitted; the shard's accounts then start anew, empty.
 *
 *   A fleet that has lost a tenth of its members may be one side of a partition. Each side then
 * uses its share of the rates only, and new accounts first wait for the other side to notice.
 * Pure: no I/O, no clock. Tested by test/unit/test_quota.c.
 */
#ifndef GS_QUOTA_FLEET_H
#define GS_QUOTA_FLEET_H

#include "message.h"

/** The members and the tables as this daemon knows them. */
typedef struct
{
  uint64_t (*epoch) (void *data);                    /**< changes whenever the other values may */
  uint32_t (*members) (uint32_t *alive, void *data); /**< RETURN VALUE: all, dead ones included */
  uint32_t (*workspaces) (void *data);               /**< number of them that the tables list */
  GsQuotaLimit (*limit) (uint64_t workspace, void *data);
  /** Fills HOLDERS with the hashes of the daemons for SHARD. RETURN VALUE: their number. */
  uint32_t (*holders) (uint32_t shard, uint64_t holders[GS_QUOTA_HOLDERS], void *data);
  /** Until then this daemon, which has just started, learns who is in the fleet; 0: it knows. */
  int64_t settled_us;
  void *data;
} GsFleetView;

typedef struct
{
  uint64_t holders[GS_QUOTA_HOLDERS];
  uint32_t n_holders;
  int64_t since_us; /**< when its accounts started empty; INT64_MIN: they started full */
} GsQuotaShard;

typedef struct GsQuotaFleet GsQuotaFleet;

/** FIRST_START: no daemon has run before, and accounts start full. */
GsQuotaFleet *gs_quota_fleet_new (const GsFleetView *view, bool first_start);
void gs_quota_fleet_free (GsQuotaFleet *fleet);

/** RETURN VALUE: the shard of WORKSPACE; valid until the next call. */
const GsQuotaShard *gs_quota_fleet_shard (GsQuotaFleet *fleet, uint64_t workspace, int64_t now_us);

/** RETURN VALUE: the share of the rates that this side of the fleet may use, in (0, 1]. */
double gs_quota_fleet_share (GsQuotaFleet *fleet, int64_t now_us);

/** RETURN VALUE: number of known members, at least 1. */
uint32_t gs_quota_fleet_members (GsQuotaFleet *fleet, int64_t now_us);

GsQuotaLimit gs_quota_fleet_limit (GsQuotaFleet *fleet, uint64_t workspace);

#endif
