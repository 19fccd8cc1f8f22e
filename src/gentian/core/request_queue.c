/* The queue of requests for one pool that this daemon serves in the product's own mode. */
#include "core_private.h"

/* Requests without a workspace share by route, in proportion to the route's weight. Those of
 * workspaces are ordered by priority and share by the usual load of their workspace. */
static GsFairEntry
entry_of (const Request *request, int64_t now_us)
{
  GsFairEntry entry = { .id = request->id, .rank = 1, .work = 1 };

  if (request->workspace == 0)
    {
      entry.flow = request->flow;
      entry.weight = MAX (request->weight, 1);
      entry.queue_weight = request->weight;
      entry.forget = true;
      return entry;
    }
  entry.flow = request->workspace;
  entry.rank
      = request->preferred
            ? 0
            : 1 + (uint32_t)gs_service_priority (request->workspace_priority, request->priority);
  entry.weight = gs_service_shares_weight (request->pool->shares, request->workspace, now_us);
  return entry;
}

static GsServiceKind
kind_of (const Request *request, int64_t work_us)
{
  return (GsServiceKind){ .workspace = request->workspace,
                          .route = request->flow,
                          .priority
                          = gs_service_priority (request->workspace_priority, request->priority),
                          .work_us = (double)work_us };
}

void
request_queue_count (GsCore *core, Request *request)
{
  GsServiceKind kind;

  if (request->workspace == 0 || request->is_counted)
    return;
  if (request->pool->shares == NULL)
    request->pool->shares = gs_service_shares_new ();
  kind = kind_of (request, gs_pool_latency_us (request->pool->pool));
  request->is_counted = true;
  request->preferred = gs_service_shares_add_request (request->pool->shares, &kind, core->now_us);
}

void
request_queue_count_end (GsCore *core, Request *request, bool served)
{
  GsServiceKind kind;

  if (!request->is_counted || request->is_settled)
    return;
  request->is_settled = true;
  kind = kind_of (request, 0);
  if (served)
    gs_service_shares_add_served (request->pool->shares, &kind, request->preferred, core->now_us);
  else
    gs_service_shares_add_unserved (request->pool->shares, &kind, request->preferred);
}

uint32_t
request_queue_ahead (const GsCore *core, const Request *request)
{
  GsFairEntry entry = entry_of (request, core->now_us);

  return gs_fair_queue_ahead (request->pool->queue, &entry).entries;
}

Request *
request_queue_push (GsCore *core, Request *request)
{
  GsFairQueue *queue = request->pool->queue;
  GsFairEntry entry = entry_of (request, core->now_us);
  Request *evicted;
  uint32_t index;

  gs_fair_queue_push (queue, &entry);
  if (!gs_fair_queue_find_excess (queue, &index))
    return NULL;
  evicted = request_find (core, gs_fair_queue_get (queue, index)->id);
  gs_fair_queue_drop (queue, index);
  return evicted;
}

bool
request_queue_pop (PoolState *state, GsFairEntry *entry)
{
  if (gs_fair_queue_length (state->queue) == 0)
    return false;
  *entry = *gs_fair_queue_get (state->queue, 0);
  gs_fair_queue_take (state->queue, 0);
  return true;
}

void
request_queue_remove (Request *request)
{
  uint32_t index;

  if (gs_fair_queue_find (request->pool->queue, request->id, &index))
    gs_fair_queue_drop (request->pool->queue, index);
}
