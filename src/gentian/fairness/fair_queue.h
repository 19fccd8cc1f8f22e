/**
 * NAME
 *   fair_queue - bounded queue ordered by rank, and by fair queueing within a rank
 *
 * SYNOPSIS
 *   GsFairQueue *queue = gs_fair_queue_new (capacity);
 *   gs_fair_queue_push (queue, &entry);
 *   if (gs_fair_queue_find_excess (queue, &index))
 *     gs_fair_queue_drop (queue, index);
 *   while (gs_fair_queue_length (queue) > 0 && serve (gs_fair_queue_get (queue, 0)))
 *     gs_fair_queue_take (queue, 0);
 *
 * DESCRIPTION
 *   Entries of a lower rank go first. Entries of one rank share by start-time fair queueing (Goyal
 * et al., SIGCOMM 1996): each flow gets work in proportion to its weight while it has entries, and
 * its own entries keep the order of their arrival. Entries of one flow alone are therefore served
 * by rank and arrival.
 *
 *   The start tag of an entry is the largest of the rank's virtual time, the finish tag of the
 * flow's last queued entry, and that of its last served one. Work that is dropped unserved is not
 * charged. A rank's virtual time is the start tag of its last served entry, so a flow is in debt by
 * one entry at most when its queue empties.
 *
 *   The queue is kept sorted. A push, a removal and a search cost one scan of the queue at most;
 * test/unit/test_fair_queue.c prints the time for 512 entries. Units of work are the caller's.
 * Pure: no I/O, no clock. Tested by test/unit/test_fair_queue.c, test/unit/test_slot_order.c and
 * test/property/prop_fair_queue.cpp.
 */
#ifndef GS_FAIR_QUEUE_H
#define GS_FAIR_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint64_t id;   /**< the caller's; unique in the queue */
  uint64_t flow; /**< shares with the other flows of its rank */
  uint32_t rank; /**< 0 goes first */
  double work;   /**< expected; 0 or less counts as a negligible amount */
  double weight; /**< of the flow; 0 or less counts as 1 */
  /** part of the queue that the flow may hold, relative to other flows; 0 counts as 1 */
  uint16_t queue_weight;
  double start; /**< its place in the virtual time of its rank; 0: after what its flow has had */
  bool forget;  /**< its flow is not charged for it any more once it is served */
  void *data;   /**< the caller's; not freed by the queue */
} GsFairEntry;

/** What goes before an entry. */
typedef struct
{
  uint32_t entries;
  double work;
} GsFairAhead;

typedef struct GsFairQueue GsFairQueue;

/** RETURN VALUE: a queue of CAPACITY entries. It may hold one more until the excess is dropped. */
GsFairQueue *gs_fair_queue_new (uint32_t capacity);

/** Lowers the number of entries from which on gs_fair_queue_find_excess finds one, or raises it
 * again, up to the capacity. Entries that are queued stay. */
void gs_fair_queue_set_limit (GsFairQueue *queue, uint32_t limit);

/** Frees QUEUE, not the data of its entries. NULL is allowed. */
void gs_fair_queue_free (GsFairQueue *queue);

/** Adds ENTRY. The queue must not hold more than its capacity. */
void gs_fair_queue_push (GsFairQueue *queue, const GsFairEntry *entry);

/** Finds the entry to drop while the queue holds more than its limit: the newest one of the flow
 * with most entries for its queue weight, in all ranks together; of several such flows, the one
 * whose newest entry would be served last. RETURN VALUE: false when the queue holds no more than
 * its limit. */
bool gs_fair_queue_find_excess (GsFairQueue *queue, uint32_t *index);

uint32_t gs_fair_queue_length (const GsFairQueue *queue);

/** RETURN VALUE: the entry that is served after INDEX others; valid until the queue changes. */
const GsFairEntry *gs_fair_queue_get (const GsFairQueue *queue, uint32_t index);

/** RETURN VALUE: whether an entry has ID; then INDEX is its position. */
bool gs_fair_queue_find (const GsFairQueue *queue, uint64_t id, uint32_t *index);

/** Removes the entry at INDEX, which is served, and charges its flow. */
void gs_fair_queue_take (GsFairQueue *queue, uint32_t index);

/** Removes the entry at INDEX, which is not served. */
void gs_fair_queue_drop (GsFairQueue *queue, uint32_t index);

/** Puts ENTRY, just taken, back in front of its rank. */
void gs_fair_queue_put_back (GsFairQueue *queue, const GsFairEntry *entry);

/** RETURN VALUE: what would go before ENTRY if it were added now. */
GsFairAhead gs_fair_queue_ahead (const GsFairQueue *queue, const GsFairEntry *entry);

#endif
