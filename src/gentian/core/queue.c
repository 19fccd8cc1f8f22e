#include "queue.h"

#include <glib.h>

typedef struct
{
  GsQueuedRequest waiting;
  double start; /* virtual start time */
  uint64_t order;
} Entry;

struct GsQueue
{
  Entry entries[GS_QUEUE_MAX + 1];
  uint32_t length;
  double virtual_time;
  uint64_t next_order;
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

/* A flow's next virtual start lies one share behind the last of its waiting requests. */
static double
next_start (const GsQueue *queue, uint64_t flow, uint16_t weight)
{
  double start = queue->virtual_time;

  for (uint32_t i = 0; i < queue->length; i++)
    if (queue->entries[i].waiting.flow == flow)
      start = MAX (start, queue->entries[i].start + 1.0 / MAX (weight, 1));
  return start;
}

static bool
goes_before (const Entry *left, const Entry *right)
{
  if (left->start != right->start)
    return left->start < right->start;
  return left->order < right->order;
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
    count += queue->entries[i].waiting.flow == flow ? 1 : 0;
  return count;
}

/* Last entry of the flow that holds most entries for its weight. */
static uint32_t
find_victim (const GsQueue *queue)
{
  uint32_t victim = 0;
  double worst = -1;

  for (uint32_t i = 0; i < queue->length; i++)
    {
      const Entry *entry = &queue->entries[i];
      double share
          = (double)flow_length (queue, entry->waiting.flow) / MAX (entry->waiting.weight, 1);
      if (share < worst || (share == worst && goes_before (entry, &queue->entries[victim])))
        continue;
      worst = share;
      victim = i;
    }
  return victim;
}

uint64_t
gs_queue_push (GsQueue *queue, const GsQueuedRequest *waiting)
{
  uint64_t displaced;
  uint32_t victim;

  queue->entries[queue->length++]
      = (Entry){ .waiting = *waiting,
                 .start = next_start (queue, waiting->flow, waiting->weight),
                 .order = ++queue->next_order };
  if (queue->length <= GS_QUEUE_MAX)
    return 0;
  victim = find_victim (queue);
  displaced = queue->entries[victim].waiting.request;
  remove_at (queue, victim);
  return displaced;
}

bool
gs_queue_pop (GsQueue *queue, GsQueuedRequest *waiting)
{
  uint32_t first = 0;

  if (queue->length == 0)
    return false;
  for (uint32_t i = 1; i < queue->length; i++)
    if (goes_before (&queue->entries[i], &queue->entries[first]))
      first = i;
  *waiting = queue->entries[first].waiting;
  queue->virtual_time = MAX (queue->virtual_time, queue->entries[first].start);
  remove_at (queue, first);
  return true;
}

void
gs_queue_push_front (GsQueue *queue, const GsQueuedRequest *waiting)
{
  queue->entries[queue->length++]
      = (Entry){ .waiting = *waiting, .start = queue->virtual_time, .order = 0 };
}

bool
gs_queue_remove (GsQueue *queue, uint64_t request)
{
  for (uint32_t i = 0; i < queue->length; i++)
    if (queue->entries[i].waiting.request == request)
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
