/**
 * NAME
 *   queue - short, fair, deadline-aware queue of requests that wait for a slot of one pool
 *
 * DESCRIPTION
 *   Start-time fair queueing (Goyal et al., SIGCOMM 1996) over flows; a flow is a route of a
 * workspace. When the queue is full the newest request of the longest flow makes room, so a flow
 * that floods the pool displaces itself first. Pure. Tested by test/unit/test_queue.c.
 */
#ifndef GS_QUEUE_H
#define GS_QUEUE_H

#include "base.h"

enum
{
  GS_QUEUE_MAX = 256, /**< requests that wait for one pool at one home */
};

/** A waiting request. */
typedef struct
{
  uint64_t request;
  uint64_t flow;
  int64_t deadline_us;
  uint16_t weight; /**< share of the flow, at least 1 */
} GsQueuedRequest;

typedef struct GsQueue GsQueue;

GsQueue *gs_queue_new (void);
void gs_queue_free (GsQueue *queue);

/**
 * Adds WAITING.
 *
 * RETURN VALUE: 0, or the request that had to make room (it may be WAITING's own).
 */
uint64_t gs_queue_push (GsQueue *queue, const GsQueuedRequest *waiting);

/** Takes the request whose turn it is. RETURN VALUE: false when the queue is empty. */
bool gs_queue_pop (GsQueue *queue, GsQueuedRequest *waiting);

/** Puts a popped WAITING back in front of its flow. */
void gs_queue_push_front (GsQueue *queue, const GsQueuedRequest *waiting);

/** Removes REQUEST where it waits. RETURN VALUE: true when it did. */
bool gs_queue_remove (GsQueue *queue, uint64_t request);

/** RETURN VALUE: requests that wait. */
uint32_t gs_queue_length (const GsQueue *queue);

/** RETURN VALUE: requests that would be served before a new request of FLOW. */
uint32_t gs_queue_ahead (const GsQueue *queue, uint64_t flow, uint16_t weight);

#endif
