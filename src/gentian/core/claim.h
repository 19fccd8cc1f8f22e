/**
 * NAME
 *   claim - permanent, single-use rights to run a request that is marked never-repeat
 *
 * DESCRIPTION
 *   Two kinds of right. A ticket names the incarnation of the daemon that issued it and a number;
 * only that incarnation may dispatch it, once, and it remembers so in memory. A claim names a
 * caller's key; it is a record in a stream of the platform's log, and the first claim of a key in
 * log order wins. Neither right ever passes to another daemon, so a paused holder can do no harm:
 * there is no lease.
 *
 *   The log forgets. A key carries the time of its making (`key_ms`). A claim counts only when the
 * log's own clock at the record is within a window of key_ms, and only to a reader that knows every
 * record since key_ms less the window. So two claims of a key that both count lie within two
 * windows, and a reader who judges the later one has seen the earlier one. Clocks of daemons and
 * callers do not matter.
 *
 *   Pure. Tested by test/unit/test_claim.c and test/property/prop_claim.cpp; the protocol is
 * checked by the model test/model/claim.pml.
 */
#ifndef GS_CLAIM_H
#define GS_CLAIM_H

#include "base.h"

enum
{
  GS_CLAIM_PARTITIONS = 64,     /**< streams over which keys are spread */
  GS_IDEMPOTENCY_KEY_MAX = 128, /**< longest key of a caller, in bytes */
};

/** Largest difference between a key's own time and the log's clock at its claim, in milliseconds.
 */
#define GS_CLAIM_WINDOW_MS INT64_C (900000)
/** Time that a ticket may be used, on the issuing daemon's clock. */
#define GS_TICKET_LIFETIME_US (600 * GS_US_PER_S)

/** A key of a caller: a 128-bit hash of its text (and workspace) and the time that the text states.
 */
typedef struct
{
  uint64_t high;
  uint64_t low;
  int64_t created_ms;
} GsIdempotencyKey;

typedef enum
{
  GS_CLAIM_ACQUIRE = 0, /**< claims the key */
  GS_CLAIM_RELEASE = 1, /**< the claim was not dispatched and never will be */
  GS_CLAIM_DONE = 2,    /**< the claim's request got a whole answer */
} GsClaimKind;

/** One record of a claims stream. */
typedef struct
{
  GsClaimKind kind;
  GsIdempotencyKey key;
  uint64_t claim_id; /**< number of the claim, unique over all daemons and incarnations */
} GsClaimRecord;

typedef enum
{
  GS_KEY_UNCLAIMED = 0,
  GS_KEY_CLAIMED,
  GS_KEY_DONE,
  GS_KEY_UNKNOWN, /**< the reader does not know enough of the log to tell */
} GsKeyState;

/** How a claim fared when its record was read back. */
typedef enum
{
  GS_CLAIM_WON = 0,
  GS_CLAIM_LOST,
  GS_CLAIM_STALE, /**< outside the window: the key is too old or its time is wrong */
} GsClaimResult;

typedef struct GsClaims GsClaims;

/** RETURN VALUE: the fold of one claims stream, knowing nothing yet. */
GsClaims *gs_claims_new (void);
void gs_claims_free (GsClaims *claims);

/**
 * States that every record with a log time of FROM_MS or later is or will be folded.
 * A stream read from its first retained record knows all since the log's clock less its retention.
 */
void gs_claims_set_covered_from (GsClaims *claims, int64_t from_ms);

/** Sets the log's retention; the window is a quarter of it, at most GS_CLAIM_WINDOW_MS. */
void gs_claims_set_retention (GsClaims *claims, int64_t retention_ms);

/** RETURN VALUE: the window in force, in milliseconds. */
int64_t gs_claims_window_ms (const GsClaims *claims);

/** Folds one RECORD written at LOG_MS. RETURN VALUE: how a GS_CLAIM_ACQUIRE fared; else
 * GS_CLAIM_LOST.
 */
GsClaimResult gs_claims_apply (GsClaims *claims, const GsClaimRecord *record, int64_t log_ms);

/** RETURN VALUE: the state of KEY; CLAIM gets the number of the claim that holds it. */
GsKeyState
gs_claims_key_state (const GsClaims *claims, const GsIdempotencyKey *key, uint64_t *claim);

/** Forgets keys that no claim can be judged by any more at log time NOW_MS. */
void gs_claims_prune (GsClaims *claims, int64_t now_ms);

/** RETURN VALUE: keys remembered. */
uint32_t gs_claims_count (const GsClaims *claims);

/** RETURN VALUE: the partition of KEY. */
uint32_t gs_idempotency_key_partition (const GsIdempotencyKey *key);

/**
 * Parses a caller's key: "<milliseconds since 1970>-<any text>".
 *
 * RETURN VALUE: false when TEXT has another form or is longer than GS_IDEMPOTENCY_KEY_MAX.
 */
bool gs_idempotency_key_parse (const char *workspace, const char *text, GsIdempotencyKey *key);

typedef enum
{
  GS_TICKET_UNUSED = 0,
  GS_TICKET_USED,    /**< dispatched, no whole answer yet */
  GS_TICKET_DONE,    /**< answered */
  GS_TICKET_EXPIRED, /**< too old to tell */
} GsTicketState;

typedef struct GsTickets GsTickets;

GsTickets *gs_tickets_new (void);
void gs_tickets_free (GsTickets *tickets);

/** RETURN VALUE: the number of a new ticket. */
uint64_t gs_tickets_issue (GsTickets *tickets, int64_t now_us);

/** RETURN VALUE: the state of ticket NUMBER. */
GsTicketState gs_tickets_state (GsTickets *tickets, uint64_t number, int64_t now_us);

/** Uses ticket NUMBER. RETURN VALUE: true for exactly one call until gs_tickets_undo_use. */
bool gs_tickets_use (GsTickets *tickets, uint64_t number, int64_t now_us);

/** Takes back the use of NUMBER: its request certainly did not run. */
void gs_tickets_undo_use (GsTickets *tickets, uint64_t number);

/** Notes that NUMBER got its whole answer. */
void gs_tickets_complete (GsTickets *tickets, uint64_t number);

#endif
