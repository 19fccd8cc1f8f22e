/**
 * NAME
 *   slot_queue - the slot requests that wait for a slot of one pool
 *
 * DESCRIPTION
 *   Requests are ordered by the priority of their workspace, then that of their route, then by
 * whether they can meet their target. Within these, workspaces share by expected work, in
 * proportion to their usual load (fairness/fair_queue.h, fairness/service_shares.h), and requests
 * of one workspace are served by arrival. A request of a workspace, route or priority that is
 * served less than the guaranteed minimum share goes before all others. Requests without a
 * workspace are one workspace of the highest priority, and never go before others for the minimum:
 * alone they are ordered by priority, target and arrival.
 *
 *   Pure: no I/O, no clock. Tested by test/unit/test_slot_queue.c, test/unit/test_slot_order.c and
 * test/unit/test_fair_load.c.
 */
#ifndef GS_SLOT_QUEUE_H
#define GS_SLOT_QUEUE_H

#include "scheduler.h"

typedef struct
{
  GsSlotRequest request;
  int64_t arrived_us;
  int64_t renewed_us; /**< last time it was sent or resent */
  bool by_cost;
  GsRequestCost cost; /**< when by_cost */
  bool late;          /**< can no longer meet its target: others of its priority go first */
  bool counted;       /**< set by add: in the service shares, as a request's first try */
  bool preferred;     /**< set by add: below the minimum share */
} GsQueuedSlotRequest;

typedef struct GsSlotQueue GsSlotQueue;

GsSlotQueue *gs_slot_queue_new (void);

/** Frees QUEUE and its requests. NULL is allowed. */
void gs_slot_queue_free (GsSlotQueue *queue);

/** Sets the number of requests that the queue holds, at most GS_SCHEDULER_QUEUE_MAX. */
void gs_slot_queue_set_max (GsSlotQueue *queue, uint32_t max);

uint32_t gs_slot_queue_length (const GsSlotQueue *queue);

/** RETURN VALUE: the request that is served after INDEX others. */
GsQueuedSlotRequest *gs_slot_queue_get (const GsSlotQueue *queue, uint32_t index);

/** RETURN VALUE: expected work of the request at INDEX. */
double gs_slot_queue_work_us (const GsSlotQueue *queue, uint32_t index);

/** RETURN VALUE: whether the request is queued; then INDEX is its position. */
bool
gs_slot_queue_find (const GsSlotQueue *queue, uint64_t origin, uint64_t token, uint32_t *index);

/** Copies ENTRY into the queue. WORK_US is its expected work. */
void gs_slot_queue_add (GsSlotQueue *queue,
                        const GsQueuedSlotRequest *entry,
                        int64_t work_us,
                        int64_t now_us);

/** Removes the request at INDEX, which got a slot. */
void gs_slot_queue_take (GsSlotQueue *queue, uint32_t index, int64_t now_us);

/** Removes the request at INDEX, which got no slot. */
void gs_slot_queue_drop (GsSlotQueue *queue, uint32_t index);

/** RETURN VALUE: whether the queue holds more requests than it may; then INDEX is
 * the newest one of the workspace that holds most of it. */
bool gs_slot_queue_find_excess (GsSlotQueue *queue, uint32_t *index);

/** RETURN VALUE: time after which the queued REQUEST should get a slot. MEAN_US is the mean time
 * until one slot of the CAPACITY is released. */
int64_t gs_slot_queue_wait_us (const GsSlotQueue *queue,
                               const GsSlotRequest *request,
                               int64_t mean_us,
                               uint32_t capacity);

#endif
