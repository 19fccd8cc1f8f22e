#include "claim.h"

#include <glib.h>
#include <string.h>

/** A ticket number holds its issue time, in units of 2^TICKET_TIME_UNIT_BITS microseconds (about a
 * second), above a counter of TICKET_COUNTER_BITS bits. */
#define TICKET_TIME_UNIT_BITS 20
#define TICKET_COUNTER_BITS 32

enum
{
  CLAIM_WINDOWS_PER_RETENTION = 4, /* the window is the log's retention time divided by this */
  CLAIM_RELEASED_MAX = 4,          /* released claims stored per key, to detect duplicate records */
};

typedef struct
{
  GsIdempotencyKey key;
  uint64_t claim;
  uint64_t released[CLAIM_RELEASED_MAX];
  uint32_t n_released;
  GsKeyState state;
  uint64_t era; /* of the log, in which the record of `claim` was last read */
} KeyEntry;

struct GsClaims
{
  GHashTable *keys; /* KeyEntry, keyed by its key */
  int64_t covered_from_ms;
  int64_t window_ms;
  uint64_t era;
  int64_t era_since_ms;   /* log time after which no record of an earlier era was written */
  int64_t era_marked_ms;  /* log time of the newest mark of this era; 0: none was read */
  int64_t mark_sent_ms;   /* when this daemon last decided to append one */
  int64_t claims_sent_ms; /* the same for lost claims */
  int64_t now_ms;         /* when the stream was last read to its end, in this era; 0: never */
};

static guint
key_hash (gconstpointer data)
{
  return (guint)((const GsIdempotencyKey *)data)->low;
}

static gboolean
key_equal (gconstpointer left, gconstpointer right)
{
  const GsIdempotencyKey *a = left;
  const GsIdempotencyKey *b = right;

  return a->high == b->high && a->low == b->low && a->created_ms == b->created_ms;
}

GsClaims *
gs_claims_new (void)
{
  GsClaims *claims = g_new0 (GsClaims, 1);

  claims->keys = g_hash_table_new_full (key_hash, key_equal, NULL, g_free);
  claims->covered_from_ms = INT64_MAX;
  claims->window_ms = GS_CLAIM_WINDOW_MS;
  claims->era_since_ms = INT64_MIN;
  return claims;
}

void
gs_claims_free (GsClaims *claims)
{
  if (claims == NULL)
    return;
  g_hash_table_destroy (claims->keys);
  g_free (claims);
}

void
gs_claims_set_covered_from (GsClaims *claims, int64_t from_ms)
{
  claims->covered_from_ms = from_ms;
}

void
gs_claims_set_retention (GsClaims *claims, int64_t retention_ms)
{
  claims->window_ms = MIN (GS_CLAIM_WINDOW_MS, retention_ms / CLAIM_WINDOWS_PER_RETENTION);
}

int64_t
gs_claims_window_ms (const GsClaims *claims)
{
  return claims->window_ms;
}

/* Whether claims of KEY that count may have been written in an earlier era of the log. */
static bool
reaches_earlier_era (const GsClaims *claims, const GsIdempotencyKey *key)
{
  return claims->era_since_ms > key->created_ms - claims->window_ms;
}

static bool
covers_key (const GsClaims *claims, const GsIdempotencyKey *key)
{
  return claims->covered_from_ms <= key->created_ms - claims->window_ms
         && !reaches_earlier_era (claims, key);
}

bool
gs_claims_enter_era (GsClaims *claims, uint64_t era, int64_t now_ms)
{
  if (era <= claims->era)
    return false;
  claims->era = era;
  claims->era_since_ms
      = now_ms + 1; /* a record of the earlier era may have been written at NOW_MS */
  claims->era_marked_ms = 0;
  claims->mark_sent_ms = 0;
  claims->claims_sent_ms = 0;
  claims->now_ms = 0;
  return true;
}

void
gs_claims_set_caught_up (GsClaims *claims, int64_t now_ms)
{
  claims->now_ms = MAX (claims->now_ms, now_ms);
}

bool
gs_claims_may_be_lost (const GsClaims *claims, const GsIdempotencyKey *key)
{
  return claims->now_ms != 0 && reaches_earlier_era (claims, key);
}

/* Whether something was not sent for GS_CLAIM_REPEAT_MS; then it counts as sent now. */
static bool
is_due (const GsClaims *claims, int64_t *sent_ms)
{
  if (claims->now_ms == 0 || (*sent_ms != 0 && claims->now_ms - *sent_ms < GS_CLAIM_REPEAT_MS))
    return false;
  *sent_ms = claims->now_ms;
  return true;
}

bool
gs_claims_next_mark (GsClaims *claims, uint32_t partition, GsClaimRecord *mark)
{
  /* A daemon that starts reads the newest mark before the log drops it. */
  bool marked
      = claims->era_marked_ms != 0 && claims->now_ms - claims->era_marked_ms < claims->window_ms;

  if (claims->era == 0 || marked || !is_due (claims, &claims->mark_sent_ms))
    return false;
  *mark = (GsClaimRecord){ .kind = GS_CLAIM_ERA,
                           .key = { .high = partition, .created_ms = claims->era_since_ms },
                           .claim_id = claims->era };
  return true;
}

void
gs_claims_foreach_lost (GsClaims *claims,
                        uint32_t limit,
                        bool (*visit) (const GsClaimRecord *claim, bool done, void *data),
                        void *data)
{
  GHashTableIter iter;
  gpointer value;

  if (claims->era == 0 || !is_due (claims, &claims->claims_sent_ms))
    return;
  g_hash_table_iter_init (&iter, claims->keys);
  while (limit > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const KeyEntry *entry = value;
      GsClaimRecord claim = { GS_CLAIM_ACQUIRE, entry->key, entry->claim };
      if (entry->era != claims->era && entry->state != GS_KEY_UNCLAIMED
          && visit (&claim, entry->state == GS_KEY_DONE, data))
        limit--;
    }
}

static bool
inside_window (const GsClaims *claims, const GsIdempotencyKey *key, int64_t log_ms)
{
  return log_ms >= key->created_ms - claims->window_ms
         && log_ms <= key->created_ms + claims->window_ms;
}

static KeyEntry *
get_or_add_entry (GsClaims *claims, const GsIdempotencyKey *key)
{
  KeyEntry *entry = g_hash_table_lookup (claims->keys, key);

  if (entry != NULL)
    return entry;
  entry = g_new0 (KeyEntry, 1);
  entry->key = *key;
  g_hash_table_insert (claims->keys, &entry->key, entry);
  return entry;
}

static bool
was_released (const KeyEntry *entry, uint64_t claim)
{
  for (uint32_t i = 0; i < CLAIM_RELEASED_MAX; i++)
    if (entry->released[i] == claim)
      return true;
  return false;
}

static GsClaimResult
apply_acquire (GsClaims *claims, const GsClaimRecord *record, int64_t log_ms)
{
  KeyEntry *entry;

  if (!inside_window (claims, &record->key, log_ms))
    return GS_CLAIM_STALE;
  entry = get_or_add_entry (claims, &record->key);
  if (was_released (entry, record->claim_id))
    return GS_CLAIM_LOST; /* a late duplicate record of a released claim */
  if (entry->state != GS_KEY_UNCLAIMED && entry->claim == record->claim_id)
    entry->era = claims->era;
  if (entry->state != GS_KEY_UNCLAIMED)
    return entry->state == GS_KEY_CLAIMED && entry->claim == record->claim_id ? GS_CLAIM_WON
                                                                              : GS_CLAIM_LOST;
  entry->state = GS_KEY_CLAIMED;
  entry->claim = record->claim_id;
  entry->era = claims->era;
  return covers_key (claims, &record->key) ? GS_CLAIM_WON : GS_CLAIM_STALE;
}

/* A released claim never holds the key again, even if its acquire record is read after the
 * release. */
static void
apply_release (GsClaims *claims, const GsClaimRecord *record, int64_t log_ms)
{
  KeyEntry *entry;

  if (!inside_window (claims, &record->key, log_ms))
    return;
  entry = get_or_add_entry (claims, &record->key);
  if (entry->claim == record->claim_id && entry->state == GS_KEY_DONE)
    return;
  if (entry->claim == record->claim_id && entry->state == GS_KEY_CLAIMED)
    entry->state = GS_KEY_UNCLAIMED;
  if (!was_released (entry, record->claim_id))
    entry->released[entry->n_released++ % CLAIM_RELEASED_MAX] = record->claim_id;
}

static void
apply_done (GsClaims *claims, const GsClaimRecord *record)
{
  KeyEntry *entry = g_hash_table_lookup (claims->keys, &record->key);

  if (entry != NULL && entry->claim == record->claim_id && entry->state == GS_KEY_CLAIMED)
    entry->state = GS_KEY_DONE;
}

/* A mark of an earlier era, which the copy or a late append may hold, says nothing. */
static void
apply_mark (GsClaims *claims, const GsClaimRecord *record, int64_t log_ms)
{
  if (record->claim_id != claims->era)
    return;
  claims->era_since_ms = MIN (claims->era_since_ms, record->key.created_ms);
  claims->era_marked_ms = MAX (claims->era_marked_ms, log_ms);
}

GsClaimResult
gs_claims_apply (GsClaims *claims, const GsClaimRecord *record, int64_t log_ms)
{
  if (record->kind == GS_CLAIM_ACQUIRE)
    return apply_acquire (claims, record, log_ms);
  if (record->kind == GS_CLAIM_RELEASE)
    apply_release (claims, record, log_ms);
  else if (record->kind == GS_CLAIM_ERA)
    apply_mark (claims, record, log_ms);
  else
    apply_done (claims, record);
  return GS_CLAIM_LOST;
}

GsKeyState
gs_claims_key_state (const GsClaims *claims, const GsIdempotencyKey *key, uint64_t *claim)
{
  const KeyEntry *entry = g_hash_table_lookup (claims->keys, key);

  *claim = entry != NULL ? entry->claim : 0;
  if (entry != NULL && entry->state != GS_KEY_UNCLAIMED)
    return entry->state;
  return covers_key (claims, key) ? GS_KEY_UNCLAIMED : GS_KEY_UNKNOWN;
}

void
gs_claims_prune (GsClaims *claims, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, claims->keys);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((KeyEntry *)value)->key.created_ms + 2 * claims->window_ms < now_ms)
      g_hash_table_iter_remove (&iter);
}

uint32_t
gs_claims_count (const GsClaims *claims)
{
  return g_hash_table_size (claims->keys);
}

uint32_t
gs_idempotency_key_partition (const GsIdempotencyKey *key)
{
  return (uint32_t)(key->high % GS_CLAIM_PARTITIONS);
}

bool
gs_idempotency_key_parse (const char *workspace, const char *text, GsIdempotencyKey *key)
{
  size_t length = strnlen (text, GS_IDEMPOTENCY_KEY_MAX + 1);
  gchar *end = NULL;
  guint64 created_ms;

  if (length > GS_IDEMPOTENCY_KEY_MAX || !g_ascii_isdigit (text[0]))
    return false;
  created_ms = g_ascii_strtoull (text, &end, 10);
  if (*end != '-' || end[1] == '\0' || created_ms > (guint64)INT64_MAX / 4)
    return false;
  key->created_ms = (int64_t)created_ms;
  key->high = gs_hash_bytes (text, length, gs_hash_name (workspace));
  key->low = gs_hash_bytes (text, length, gs_mix64 (key->high) | 1);
  return true;
}

struct GsTickets
{
  GHashTable *used; /* number -> GsTicketState */
  GQueue order;     /* numbers of used tickets, oldest first */
  uint64_t next;
};

static int64_t
ticket_issued_us (uint64_t number)
{
  return (int64_t)(number >> TICKET_COUNTER_BITS) << TICKET_TIME_UNIT_BITS;
}

GsTickets *
gs_tickets_new (void)
{
  GsTickets *tickets = g_new0 (GsTickets, 1);

  tickets->used = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_queue_init (&tickets->order);
  return tickets;
}

void
gs_tickets_free (GsTickets *tickets)
{
  if (tickets == NULL)
    return;
  g_queue_clear (&tickets->order);
  g_hash_table_destroy (tickets->used);
  g_free (tickets);
}

uint64_t
gs_tickets_issue (GsTickets *tickets, int64_t now_us)
{
  uint64_t issue_time = (uint64_t)now_us >> TICKET_TIME_UNIT_BITS;

  return issue_time << TICKET_COUNTER_BITS | (++tickets->next & UINT32_MAX);
}

/* Removes used tickets that have expired, so that memory is bounded by the rate of use. */
static void
remove_expired (GsTickets *tickets, int64_t now_us)
{
  uint64_t *number = g_queue_peek_head (&tickets->order);

  while (number != NULL && now_us - ticket_issued_us (*number) > 2 * GS_TICKET_LIFETIME_US)
    {
      g_queue_pop_head (&tickets->order);
      g_hash_table_remove (tickets->used, number);
      number = g_queue_peek_head (&tickets->order);
    }
}

GsTicketState
gs_tickets_state (GsTickets *tickets, uint64_t number, int64_t now_us)
{
  gpointer value;

  if (g_hash_table_lookup_extended (tickets->used, &number, NULL, &value)
      && GPOINTER_TO_INT (value) != GS_TICKET_UNUSED)
    return (GsTicketState)GPOINTER_TO_INT (value);
  return now_us - ticket_issued_us (number) > GS_TICKET_LIFETIME_US ? GS_TICKET_EXPIRED
                                                                    : GS_TICKET_UNUSED;
}

bool
gs_tickets_use (GsTickets *tickets, uint64_t number, int64_t now_us)
{
  uint64_t *key;
  gpointer stored;

  remove_expired (tickets, now_us);
  if (gs_tickets_state (tickets, number, now_us) != GS_TICKET_UNUSED)
    return false;
  if (g_hash_table_lookup_extended (tickets->used, &number, &stored, NULL))
    {
      g_hash_table_steal (tickets->used, &number);
      g_hash_table_insert (tickets->used, stored, GINT_TO_POINTER (GS_TICKET_USED));
      return true;
    }
  key = g_memdup2 (&number, sizeof number);
  g_hash_table_insert (tickets->used, key, GINT_TO_POINTER (GS_TICKET_USED));
  g_queue_push_tail (&tickets->order, key);
  return true;
}

static void
set_ticket_state (GsTickets *tickets, uint64_t number, GsTicketState state)
{
  gpointer stored;

  if (!g_hash_table_lookup_extended (tickets->used, &number, &stored, NULL))
    return;
  g_hash_table_steal (tickets->used, &number);
  g_hash_table_insert (tickets->used, stored, GINT_TO_POINTER (state));
}

void
gs_tickets_undo_use (GsTickets *tickets, uint64_t number)
{
  set_ticket_state (tickets, number, GS_TICKET_UNUSED);
}

void
gs_tickets_complete (GsTickets *tickets, uint64_t number)
{
  set_ticket_state (tickets, number, GS_TICKET_DONE);
}
