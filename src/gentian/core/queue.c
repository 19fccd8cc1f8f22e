#include "queue.h"

#include <glib.h>

typedef struct
{
  GsQueuedRequest queued;
  double start; /* virtual start time of fair queueing */
  uint64_t sequence;
} Entry;

struct GsQueue
{
  Entry entries[GS_QUEUE_MAX + 1];
  uint32_t length;
  double virtual_time;
  uint64_t next_sequence;
};

GsQueue *
gs_queue_new (void)
{
  return g_new0 (GsQueue, 1);
}

void
gs_queue_free (GsQueue *queue)
{
  g_free (queue);
}

/* Virtual start time of the flow's next request: 1/weight after that of its last queued request,
 * and not before the current virtual time. */
static double
next_start (const GsQueue *queue, uint64_t flow, uint16_t weight)
{
  double start = queue->virtual_time;

  for (uint32_t i = 0; i < queue->length; i++)
    if (queue->entries[i].queued.flow == flow)
      start = MAX (start, queue->entries[i].start + 1.0 / MAX (weight, 1));
  return start;
}

static bool
is_before (const Entry *left, const Entry *right)
{
  if (left->start != right->start)
    return left->start < right->start;
  return left->sequence < right->sequence;
}

static void
remove_at (GsQueue *queue, uint32_t index)
{
  queue->entries[index] = queue->entries[--queue->length];
}

static uint32_t
flow_length (const GsQueue *queue, uint64_t flow)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < queue->length; i++)
    count += queue->entries[i].queued.flow == flow ? 1 : 0;
  return count;
}

/* Index of the newest entry of the flow with the most entries per weight. */
static uint32_t
find_victim (const GsQueue *queue)
{
  uint32_t victim = 0;
  double largest_share = -1;

  for (uint32_t i = 0; i < queue->length; i++)
    {
      const Entry *entry = &queue->entries[i];
      double share
          = (double)flow_length (queue, entry->queued.flow) / MAX (entry->queued.weight, 1);
      if (share < largest_share
          || (share == largest_share && is_before (entry, &queue->entries[victim])))
        continue;
      largest_share = share;
      victim = i;
    }
  return victim;
}

uint64_t
gs_queue_push (GsQueue *queue, const GsQueuedRequest *queued)
{
  uint64_t evicted;
  uint32_t victim;

  queue->entries[queue->length++]
      = (Entry){ .queued = *queued,
                 .start = next_start (queue, queued->flow, queued->weight),
                 .sequence = ++queue->next_sequence };
  if (queue->length <= GS_QUEUE_MAX)
    return 0;
  victim = find_victim (queue);
  evicted = queue->entries[victim].queued.request;
  remove_at (queue, victim);
  return evicted;
}

bool
gs_queue_pop (GsQueue *queue, GsQueuedRequest *queued)
{
  uint32_t first = 0;

  if (queue->length == 0)
    return false;
  for (uint32_t i = 1; i < queue->length; i++)
    if (is_before (&queue->entries[i], &queue->entries[first]))
      first = i;
  *queued = queue->entries[first].queued;
  queue->virtual_time = MAX (queue->virtual_time, queue->entries[first].start);
  remove_at (queue, first);
  return true;
}

void
gs_queue_push_front (GsQueue *queue, const GsQueuedRequest *queued)
{
  queue->entries[queue->length++]
      = (Entry){ .queued = *queued, .start = queue->virtual_time, .sequence = 0 };
}

bool
gs_queue_remove (GsQueue *queue, uint64_t request)
{
  for (uint32_t i = 0; i < queue->length; i++)
    if (queue->entries[i].queued.request == request)
      {
        remove_at (queue, i);
        return true;
      }
  return false;
}

uint32_t
gs_queue_length (const GsQueue *queue)
{
  return queue->length;
}

uint32_t
gs_queue_ahead (const GsQueue *queue, uint64_t flow, uint16_t weight)
{
  double start = next_start (queue, flow, weight);
  uint32_t ahead = 0;

  for (uint32_t i = 0; i < queue->length; i++)
    ahead += queue->entries[i].start <= start ? 1 : 0;
  return ahead;
}
