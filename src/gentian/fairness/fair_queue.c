#include "fair_queue.h"

#include <glib.h>
#include <string.h>

#include "../core/base.h"

enum
{
  FAIR_DEBTS_MAX = 2048, /* finish tags of served flows that are kept */
};

/** Least work of an entry, so that entries of unknown work share by number. */
#define FAIR_WORK_MIN 1.0

/* All entries of one flow, in any rank. */
typedef struct
{
  uint64_t flow;
  uint32_t length;
  uint64_t newest; /* sequence of its newest entry; valid only within find_excess */
  uint32_t search; /* number of the find_excess call that set `newest` */
} Holder;

typedef struct
{
  GsFairEntry entry;
  double start;
  double finish;
  uint64_t sequence; /* of arrival; 0: put back */
  Holder *holder;
} Node;

/* Virtual time of one rank. */
typedef struct
{
  uint32_t rank;
  double now;
} Lane;

/* Finish tag of the last served entry of a flow in one rank. */
typedef struct
{
  uint64_t key; /* of flow and rank */
  uint32_t rank;
  double finish;
} Debt;

struct GsFairQueue
{
  uint32_t capacity;
  uint32_t limit; /* entries from which on the next one is excess; at most `capacity` */
  Node **nodes;   /* in the order of service */
  uint32_t length;
  GHashTable *holders; /* flow -> Holder */
  GHashTable *debts;   /* key -> Debt */
  Lane *lanes;         /* of capacity + 1: idle ones are forgotten when there is no room */
  uint32_t n_lanes;
  uint64_t next_sequence;
  uint32_t searches;
};

GsFairQueue *
gs_fair_queue_new (uint32_t capacity)
{
  GsFairQueue *queue = g_new0 (GsFairQueue, 1);

  queue->capacity = capacity;
  queue->limit = capacity;
  queue->nodes = g_new0 (Node *, capacity + 1);
  queue->lanes = g_new0 (Lane, capacity + 1);
  queue->holders = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  queue->debts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return queue;
}

void
gs_fair_queue_free (GsFairQueue *queue)
{
  if (queue == NULL)
    return;
  for (uint32_t i = 0; i < queue->length; i++)
    g_free (queue->nodes[i]);
  g_free (queue->nodes);
  g_free (queue->lanes);
  g_hash_table_destroy (queue->holders);
  g_hash_table_destroy (queue->debts);
  g_free (queue);
}

static double
cost_of (const GsFairEntry *entry)
{
  return MAX (entry->work, FAIR_WORK_MIN) / (entry->weight > 0 ? entry->weight : 1);
}

static uint64_t
debt_key (uint64_t flow, uint32_t rank)
{
  return gs_mix64 (flow ^ gs_mix64 (rank + UINT64_C (1)));
}

static double
virtual_time (const GsFairQueue *queue, uint32_t rank)
{
  for (uint32_t i = 0; i < queue->n_lanes; i++)
    if (queue->lanes[i].rank == rank)
      return queue->lanes[i].now;
  return 0;
}

static gboolean
is_of_rank (gpointer key, gpointer value, gpointer rank)
{
  (void)key;
  return ((const Debt *)value)->rank == GPOINTER_TO_UINT (rank);
}

static bool
rank_is_queued (const GsFairQueue *queue, uint32_t rank)
{
  for (uint32_t i = 0; i < queue->length; i++)
    if (queue->nodes[i]->entry.rank == rank)
      return true;
  return false;
}

/* Forgets the virtual times of ranks without entries, and the debts that refer to them. */
static void
forget_idle_lanes (GsFairQueue *queue)
{
  for (uint32_t i = queue->n_lanes; i > 0; i--)
    {
      uint32_t rank = queue->lanes[i - 1].rank;
      if (rank_is_queued (queue, rank))
        continue;
      g_hash_table_foreach_remove (queue->debts, is_of_rank, GUINT_TO_POINTER (rank));
      queue->lanes[i - 1] = queue->lanes[--queue->n_lanes];
    }
}

/* Moves the virtual time of RANK on to NOW. */
static void
advance (GsFairQueue *queue, uint32_t rank, double now)
{
  for (uint32_t i = 0; i < queue->n_lanes; i++)
    if (queue->lanes[i].rank == rank)
      {
        queue->lanes[i].now = MAX (queue->lanes[i].now, now);
        return;
      }
  if (queue->n_lanes > queue->capacity)
    forget_idle_lanes (queue);
  queue->lanes[queue->n_lanes++] = (Lane){ .rank = rank, .now = now };
}

static gboolean
is_paid (gpointer key, gpointer value, gpointer queue)
{
  const Debt *debt = value;

  (void)key;
  return debt->finish <= virtual_time (queue, debt->rank);
}

static void
record_debt (GsFairQueue *queue, const Node *node)
{
  uint64_t key = debt_key (node->entry.flow, node->entry.rank);
  Debt *debt = g_hash_table_lookup (queue->debts, &key);

  if (debt == NULL)
    {
      if (g_hash_table_size (queue->debts) >= FAIR_DEBTS_MAX)
        g_hash_table_foreach_remove (queue->debts, is_paid, queue);
      if (g_hash_table_size (queue->debts) >= FAIR_DEBTS_MAX)
        g_hash_table_remove_all (queue->debts);
      debt = g_new0 (Debt, 1);
      *debt = (Debt){ .key = key, .rank = node->entry.rank };
      g_hash_table_insert (queue->debts, &debt->key, debt);
    }
  debt->finish = MAX (debt->finish, node->finish);
}

/* Start tag of a new entry. */
static double
start_of (const GsFairQueue *queue, const GsFairEntry *entry)
{
  uint64_t key = debt_key (entry->flow, entry->rank);
  const Debt *debt = g_hash_table_lookup (queue->debts, &key);
  double start = virtual_time (queue, entry->rank);

  if (debt != NULL)
    start = MAX (start, debt->finish);
  if (g_hash_table_lookup (queue->holders, &entry->flow) == NULL)
    return start;
  for (uint32_t i = 0; i < queue->length; i++)
    {
      const Node *node = queue->nodes[i];
      if (node->entry.flow == entry->flow && node->entry.rank == entry->rank)
        start = MAX (start, node->finish);
    }
  return start;
}

static bool
is_before (const Node *left, const Node *right)
{
  if (left->entry.rank != right->entry.rank)
    return left->entry.rank < right->entry.rank;
  if (left->start != right->start)
    return left->start < right->start;
  return left->sequence < right->sequence;
}

/* RETURN VALUE: number of queued entries that go before NODE. */
static uint32_t
position_of (const GsFairQueue *queue, const Node *node)
{
  uint32_t low = 0;
  uint32_t high = queue->length;

  while (low < high)
    {
      uint32_t middle = (low + high) / 2;
      if (is_before (queue->nodes[middle], node))
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
insert (GsFairQueue *queue, const Node *node)
{
  uint32_t index = position_of (queue, node);
  Holder *holder = g_hash_table_lookup (queue->holders, &node->entry.flow);

  g_return_if_fail (queue->length <= queue->capacity);
  if (holder == NULL)
    {
      holder = g_new0 (Holder, 1);
      holder->flow = node->entry.flow;
      g_hash_table_insert (queue->holders, &holder->flow, holder);
    }
  holder->length++;
  memmove (&queue->nodes[index + 1], &queue->nodes[index],
           (queue->length - index) * sizeof *queue->nodes);
  queue->nodes[index] = g_memdup2 (node, sizeof *node);
  queue->nodes[index]->holder = holder;
  queue->length++;
}

void
gs_fair_queue_push (GsFairQueue *queue, const GsFairEntry *entry)
{
  Node node = { .entry = *entry, .sequence = ++queue->next_sequence };

  node.start = entry->start > 0 ? entry->start : start_of (queue, entry);
  node.finish = node.start + cost_of (entry);
  insert (queue, &node);
}

void
gs_fair_queue_put_back (GsFairQueue *queue, const GsFairEntry *entry)
{
  Node node = { .entry = *entry, .start = virtual_time (queue, entry->rank) };

  node.finish = node.start + cost_of (entry);
  insert (queue, &node);
}

static void
remove_at (GsFairQueue *queue, uint32_t index)
{
  Node *node = queue->nodes[index];

  if (--node->holder->length == 0)
    g_hash_table_remove (queue->holders, &node->entry.flow);
  g_free (node);
  queue->length--;
  memmove (&queue->nodes[index], &queue->nodes[index + 1],
           (queue->length - index) * sizeof *queue->nodes);
}

void
gs_fair_queue_take (GsFairQueue *queue, uint32_t index)
{
  const Node *node = queue->nodes[index];

  advance (queue, node->entry.rank, node->start);
  if (!node->entry.forget)
    record_debt (queue, node);
  remove_at (queue, index);
}

void
gs_fair_queue_drop (GsFairQueue *queue, uint32_t index)
{
  remove_at (queue, index);
}

static double
held_share (const Node *node)
{
  return (double)node->holder->length / MAX (node->entry.queue_weight, 1);
}

void
gs_fair_queue_set_limit (GsFairQueue *queue, uint32_t limit)
{
  queue->limit = MIN (limit, queue->capacity);
}

bool
gs_fair_queue_find_excess (GsFairQueue *queue, uint32_t *index)
{
  double largest = 0;

  if (queue->length <= queue->limit)
    return false;
  queue->searches++;
  for (uint32_t i = 0; i < queue->length; i++)
    {
      const Node *node = queue->nodes[i];
      Holder *holder = node->holder;
      if (holder->search != queue->searches)
        holder->newest = 0;
      holder->search = queue->searches;
      holder->newest = MAX (holder->newest, node->sequence);
      largest = MAX (largest, held_share (node));
    }
  for (uint32_t i = 0; i < queue->length; i++)
    if (queue->nodes[i]->sequence == queue->nodes[i]->holder->newest
        && held_share (queue->nodes[i]) >= largest)
      *index = i;
  return true;
}

uint32_t
gs_fair_queue_length (const GsFairQueue *queue)
{
  return queue->length;
}

const GsFairEntry *
gs_fair_queue_get (const GsFairQueue *queue, uint32_t index)
{
  return &queue->nodes[index]->entry;
}

bool
gs_fair_queue_find (const GsFairQueue *queue, uint64_t id, uint32_t *index)
{
  for (uint32_t i = 0; i < queue->length; i++)
    if (queue->nodes[i]->entry.id == id)
      {
        *index = i;
        return true;
      }
  return false;
}

GsFairAhead
gs_fair_queue_ahead (const GsFairQueue *queue, const GsFairEntry *entry)
{
  Node node = { .entry = *entry, .start = start_of (queue, entry), .sequence = UINT64_MAX };
  GsFairAhead ahead = { .entries = position_of (queue, &node) };

  for (uint32_t i = 0; i < ahead.entries; i++)
    ahead.work += queue->nodes[i]->entry.work;
  return ahead;
}
