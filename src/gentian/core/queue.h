/**
 * NAME
 *   queue - bounded fair queue of requests that wait for a slot of one pool
 *
 * DESCRIPTION
 *   Start-time fair queueing (Goyal et al., SIGCOMM 1996) over flows; a flow is a route of a
 * workspace. When the queue is full, the newest request of the flow with the most entries for its
 * weight is evicted, so a flow that floods the pool evicts its own requests first. The queue stores
 * deadlines but does not order by them. Pure. Tested by test/unit/test_queue.c.
 */
#ifndef GS_QUEUE_H
#define GS_QUEUE_H

#include "base.h"

enum
{
  GS_QUEUE_MAX = 256, /**< requests queued for one pool at one home */
};

typedef struct
{
  uint64_t request;
  uint64_t flow;
  int64_t deadline_us;
  uint16_t weight; /**< of the flow; 0 counts as 1 */
} GsQueuedRequest;

typedef struct GsQueue GsQueue;

GsQueue *gs_queue_new (void);
void gs_queue_free (GsQueue *queue);

/**
 * Appends QUEUED.
 *
 * RETURN VALUE: 0, or the request that was evicted, which may be QUEUED itself.
 */
uint64_t gs_queue_push (GsQueue *queue, const GsQueuedRequest *queued);

/** Removes the next request to serve. RETURN VALUE: false when the queue is empty. */
bool gs_queue_pop (GsQueue *queue, GsQueuedRequest *queued);

/** Puts QUEUED, just popped, back in front. */
void gs_queue_push_front (GsQueue *queue, const GsQueuedRequest *queued);

/** Removes REQUEST. RETURN VALUE: false when it is not queued. */
bool gs_queue_remove (GsQueue *queue, uint64_t request);

uint32_t gs_queue_length (const GsQueue *queue);

/** RETURN VALUE: requests that would be served before a new request of FLOW. */
uint32_t gs_queue_ahead (const GsQueue *queue, uint64_t flow, uint16_t weight);

#endif
