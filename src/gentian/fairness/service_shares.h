/**
 * NAME
 *   service_shares - what workspaces usually need of a pool, and who is below the minimum share
 *
 * SYNOPSIS
 *   GsServiceShares *shares = gs_service_shares_new ();
 *   bool preferred = gs_service_shares_add_request (shares, &kind, now_us);
 *   entry.weight = gs_service_shares_weight (shares, kind.workspace, now_us);
 *   if (granted)
 *     gs_service_shares_add_served (shares, &kind, preferred, now_us);
 *   else
 *     gs_service_shares_add_unserved (shares, &kind, preferred);
 *
 * DESCRIPTION
 *   Usual load: the work that a workspace requested, averaged over a minute. It is the workspace's
 * weight in the fair queue, so a workspace that sends many times its usual load competes with
 * itself, and a large one at its usual load keeps its share. A workspace without history has a
 * quarter of the mean weight.
 *
 *   Minimum share: each workspace, route and priority is a kind. A request adds
 * GS_SERVICE_SHARES_MINIMUM times the share of all requests that are served to the credit of its
 * kinds, and a request that is served takes one. A request whose workspace, route or priority has a
 * credit of one or more is preferred: it should be served before all others. Kinds that are served
 * more often than the minimum have no credit, so without overload nothing is preferred.
 *
 *   The number of kinds is bounded; those that were used least recently are forgotten. Times are
 * in microseconds. Pure: no I/O, no clock. Tested by test/unit/test_fair_queue.c and
 * test/unit/test_fair_load.c.
 */
#ifndef GS_SERVICE_SHARES_H
#define GS_SERVICE_SHARES_H

#include <stdbool.h>
#include <stdint.h>

/** Part of the share of all requests that are served which every kind is guaranteed. The users
 * require a quarter; the rest covers the delay until a credit is used. */
#define GS_SERVICE_SHARES_MINIMUM 0.28

/** RETURN VALUE: a number that orders requests by their workspace's priority, then their route's.
 */
static inline uint16_t
gs_service_priority (uint8_t of_workspace, uint8_t of_route)
{
  return (uint16_t)(of_workspace << 8 | of_route);
}

/** What a request belongs to. */
typedef struct
{
  uint64_t workspace; /**< 0: none; such a request is counted and never preferred */
  uint64_t route;
  uint16_t priority; /**< gs_service_priority */
  double work_us;    /**< expected */
} GsServiceKind;

typedef struct GsServiceShares GsServiceShares;

GsServiceShares *gs_service_shares_new (void);

/** Frees SHARES. NULL is allowed. */
void gs_service_shares_free (GsServiceShares *shares);

/** Counts a new request of KIND. RETURN VALUE: whether it is preferred, because its workspace,
 * route or priority is below the minimum share. */
bool
gs_service_shares_add_request (GsServiceShares *shares, const GsServiceKind *kind, int64_t now_us);

/** Counts that a request is served. PREFERRED is what add_request returned for it. */
void gs_service_shares_add_served (GsServiceShares *shares,
                                   const GsServiceKind *kind,
                                   bool preferred,
                                   int64_t now_us);

/** Counts that a request is not served. */
void
gs_service_shares_add_unserved (GsServiceShares *shares, const GsServiceKind *kind, bool preferred);

/** RETURN VALUE: weight of WORKSPACE in the fair queue: its usual load, where 1 is the mean of all
 * workspaces, and a quarter at least. */
double gs_service_shares_weight (GsServiceShares *shares, uint64_t workspace, int64_t now_us);

#endif
