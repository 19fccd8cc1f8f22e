#include "slot_queue.h"

#include <glib.h>

#include "../fairness/fair_queue.h"
#include "../fairness/service_shares.h"

struct GsSlotQueue
{
  GsFairQueue *order;
  GsServiceShares *shares; /* NULL until a request has a workspace */
};

GsSlotQueue *
gs_slot_queue_new (void)
{
  GsSlotQueue *queue = g_new0 (GsSlotQueue, 1);

  queue->order = gs_fair_queue_new (GS_SCHEDULER_QUEUE_MAX);
  return queue;
}

void
gs_slot_queue_free (GsSlotQueue *queue)
{
  if (queue == NULL)
    return;
  for (uint32_t i = 0; i < gs_slot_queue_length (queue); i++)
    g_free (gs_slot_queue_get (queue, i));
  gs_fair_queue_free (queue->order);
  gs_service_shares_free (queue->shares);
  g_free (queue);
}

void
gs_slot_queue_set_max (GsSlotQueue *queue, uint32_t max)
{
  gs_fair_queue_set_limit (queue->order, max);
}

uint32_t
gs_slot_queue_length (const GsSlotQueue *queue)
{
  return gs_fair_queue_length (queue->order);
}

GsQueuedSlotRequest *
gs_slot_queue_get (const GsSlotQueue *queue, uint32_t index)
{
  return gs_fair_queue_get (queue->order, index)->data;
}

double
gs_slot_queue_work_us (const GsSlotQueue *queue, uint32_t index)
{
  return gs_fair_queue_get (queue->order, index)->work;
}

static uint64_t
entry_id (uint64_t origin, uint64_t token)
{
  return gs_mix64 (origin ^ gs_mix64 (token));
}

bool
gs_slot_queue_find (const GsSlotQueue *queue, uint64_t origin, uint64_t token, uint32_t *index)
{
  return gs_fair_queue_find (queue->order, entry_id (origin, token), index);
}

static uint16_t
priority_of (const GsSlotRequest *request)
{
  return gs_service_priority (request->workspace_priority, request->priority);
}

static GsServiceKind
kind_of (const GsSlotRequest *request, int64_t work_us)
{
  return (GsServiceKind){ .workspace = request->workspace,
                          .route = request->flow,
                          .priority = priority_of (request),
                          .work_us = (double)work_us };
}

static uint32_t
rank_of (const GsQueuedSlotRequest *entry)
{
  return entry->preferred
             ? 0
             : 1 + ((uint32_t)priority_of (&entry->request) << 1 | (entry->late ? 1 : 0));
}

void
gs_slot_queue_add (GsSlotQueue *queue,
                   const GsQueuedSlotRequest *entry,
                   int64_t work_us,
                   int64_t now_us)
{
  GsQueuedSlotRequest *added = g_memdup2 (entry, sizeof *entry);
  GsServiceKind kind = kind_of (&entry->request, work_us);
  GsFairEntry fair = { .id = entry_id (entry->request.origin, entry->request.token),
                       .flow = entry->request.workspace,
                       .work = (double)work_us,
                       .data = added };

  if (queue->shares == NULL && kind.workspace != 0)
    queue->shares = gs_service_shares_new ();
  if (queue->shares != NULL)
    {
      added->counted = !entry->request.is_retry && !entry->request.is_renewed;
      if (added->counted)
        added->preferred = gs_service_shares_add_request (queue->shares, &kind, now_us);
      fair.weight = gs_service_shares_weight (queue->shares, kind.workspace, now_us);
    }
  else if (entry->by_cost)
    {
      fair.start = (double)gs_cost_order_us (entry->arrived_us, &entry->cost);
      fair.forget = true;
    }
  fair.rank = rank_of (added);
  gs_fair_queue_push (queue->order, &fair);
}

void
gs_slot_queue_take (GsSlotQueue *queue, uint32_t index, int64_t now_us)
{
  g_autofree GsQueuedSlotRequest *entry = gs_slot_queue_get (queue, index);
  GsServiceKind kind = kind_of (&entry->request, 0);

  if (entry->counted)
    gs_service_shares_add_served (queue->shares, &kind, entry->preferred, now_us);
  gs_fair_queue_take (queue->order, index);
}

void
gs_slot_queue_drop (GsSlotQueue *queue, uint32_t index)
{
  g_autofree GsQueuedSlotRequest *entry = gs_slot_queue_get (queue, index);
  GsServiceKind kind = kind_of (&entry->request, 0);

  if (entry->counted)
    gs_service_shares_add_unserved (queue->shares, &kind, entry->preferred);
  gs_fair_queue_drop (queue->order, index);
}

bool
gs_slot_queue_find_excess (GsSlotQueue *queue, uint32_t *index)
{
  return gs_fair_queue_find_excess (queue->order, index);
}

/* Number of requests before one without a workspace: those of its priority and above, itself
 * included, and the requests of workspaces that go first. */
static uint32_t
count_ahead (const GsSlotQueue *queue, const GsSlotRequest *request, uint32_t index)
{
  uint32_t ahead = 0;

  for (uint32_t i = 0; i < gs_slot_queue_length (queue); i++)
    {
      const GsSlotRequest *other = &gs_slot_queue_get (queue, i)->request;
      ahead += (other->workspace == 0 ? other->priority <= request->priority : i < index) ? 1 : 0;
    }
  return ahead;
}

int64_t
gs_slot_queue_wait_us (const GsSlotQueue *queue,
                       const GsSlotRequest *request,
                       int64_t mean_us,
                       uint32_t capacity)
{
  uint32_t index = gs_slot_queue_length (queue);
  double work_us = (double)mean_us;

  gs_slot_queue_find (queue, request->origin, request->token, &index);
  if (request->workspace == 0 || index == gs_slot_queue_length (queue))
    return mean_us * (1 + count_ahead (queue, request, index)) / MAX (capacity, 1);
  for (uint32_t i = 0; i < index; i++)
    work_us += gs_slot_queue_work_us (queue, i);
  return (int64_t)(work_us / MAX (capacity, 1));
}
