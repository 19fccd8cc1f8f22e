/**
 * NAME
 *   claim - permits to run a never-repeat request once: tickets and claims of idempotency keys
 *
 * DESCRIPTION
 *   A ticket names the daemon that issued it, that daemon's incarnation and a number. Only this
 * incarnation may dispatch the ticket's request, once; it remembers used tickets in memory. A claim
 * is a record in a stream of the platform's log that names a caller's idempotency key; the first
 * claim of a key in log order wins. Permits are permanent: there is no lease, and neither kind ever
 * passes to another daemon, so a holder that is paused and resumes later can't cause a second run.
 *
 *   The log drops old records. A key therefore carries its creation time (`created_ms`). A claim
 * counts only if the log's timestamp of its record is within one window of created_ms, and only for
 * a reader that knows every record since created_ms minus the window. Two claims of a key that both
 * count are thus at most two windows apart, and a reader that evaluates the later one has seen the
 * earlier one. Clocks of daemons and callers do not matter.
 *
 *   A log that returns from an older copy of itself has lost its newest records, and its era rises.
 * A key of which a claim may be among them is not covered: its request is answered as may-have-run.
 * That ends for keys created one window after the first record that is known to be of the new era,
 * a mark. The daemons that hold lost claims append them again, so that these keys get their answers
 * back. See docs/design/store-era.md.
 *
 *   Pure. Tested by test/unit/test_claim.c and test/property/prop_claim.cpp; the protocol is
 * checked by the model test/model/claim.pml.
 */
#ifndef GS_CLAIM_H
#define GS_CLAIM_H

#include "base.h"

enum
{
  GS_CLAIM_PARTITIONS = 64,     /**< streams over which idempotency keys are spread */
  GS_IDEMPOTENCY_KEY_MAX = 128, /**< bytes of the longest idempotency key accepted */
};

/** Largest difference between a key's creation time and the log's timestamp of its claim, in ms. */
#define GS_CLAIM_WINDOW_MS INT64_C (900000)
/** Interval between two appends of the same mark or lost claim, in ms of the log's clock. */
#define GS_CLAIM_REPEAT_MS INT64_C (2000)
/** How long a ticket may be used, on the issuing daemon's clock. */
#define GS_TICKET_LIFETIME_US (600 * GS_US_PER_S)

/** A caller's idempotency key: a 128-bit hash of its text and workspace, and the creation time that
 * the text states. */
typedef struct
{
  uint64_t high;
  uint64_t low;
  int64_t created_ms;
} GsIdempotencyKey;

typedef enum
{
  GS_CLAIM_ACQUIRE = 0, /**< claims the key */
  GS_CLAIM_RELEASE = 1, /**< the claim's request was not dispatched and never will be */
  GS_CLAIM_DONE = 2,    /**< the claim's request got a complete answer */
  /** Marks the era `claim_id` of the log, known at log time `key.created_ms`; `key.high` is the
   * partition. */
  GS_CLAIM_ERA = 3,
} GsClaimKind;

/** One record of a claims stream. */
typedef struct
{
  GsClaimKind kind;
  GsIdempotencyKey key;
  uint64_t claim_id; /**< unique over all daemons and incarnations */
} GsClaimRecord;

typedef enum
{
  GS_KEY_UNCLAIMED = 0,
  GS_KEY_CLAIMED,
  GS_KEY_DONE,
  GS_KEY_UNKNOWN, /**< the reader has not read enough of the log to tell */
} GsKeyState;

/** Result of a claim, determined when its record is read back. */
typedef enum
{
  GS_CLAIM_WON = 0,
  GS_CLAIM_LOST,
  GS_CLAIM_STALE, /**< outside the window: the key is too old or states a wrong time */
} GsClaimResult;

typedef struct GsClaims GsClaims;

/** RETURN VALUE: the state of one claims stream of which nothing has been read. */
GsClaims *gs_claims_new (void);
void gs_claims_free (GsClaims *claims);

/**
 * States that every record with a log time of FROM_MS or later has been applied or will be. A
 * stream read from its first retained record is covered from the log's clock minus its retention
 * time.
 */
void gs_claims_set_covered_from (GsClaims *claims, int64_t from_ms);

/** Sets the log's retention time; the window is a quarter of it, at most GS_CLAIM_WINDOW_MS. */
void gs_claims_set_retention (GsClaims *claims, int64_t retention_ms);

/** RETURN VALUE: the window in force, in milliseconds. */
int64_t gs_claims_window_ms (const GsClaims *claims);

/**
 * Enters ERA of the log, read at log time NOW_MS, if it is later than the known one. The stream has
 * to be read again from its first retained record.
 *
 * RETURN VALUE: true if it is later.
 */
bool gs_claims_enter_era (GsClaims *claims, uint64_t era, int64_t now_ms);

/** States that all records that the log held at log time NOW_MS have been applied. */
void gs_claims_set_caught_up (GsClaims *claims, int64_t now_ms);

/** RETURN VALUE: true if a claim of KEY may have been lost with an earlier era, and a mark that
 * says otherwise is not to be expected. */
bool gs_claims_may_be_lost (const GsClaims *claims, const GsIdempotencyKey *key);

/** Decides whether a mark of the era has to be appended to PARTITION after the stream was read to
 * its end. RETURN VALUE: true if so; MARK gets it. */
bool gs_claims_next_mark (GsClaims *claims, uint32_t partition, GsClaimRecord *mark);

/** Calls VISIT for each claim that holds its key and that has not been read in this era, at most
 * every GS_CLAIM_REPEAT_MS and LIMIT times. DONE: its request was answered. */
void gs_claims_foreach_lost (GsClaims *claims,
                             uint32_t limit,
                             bool (*visit) (const GsClaimRecord *claim, bool done, void *data),
                             void *data);

/** Applies RECORD, written at log time LOG_MS. RETURN VALUE: the result of a GS_CLAIM_ACQUIRE; for
 * other kinds GS_CLAIM_LOST. */
GsClaimResult gs_claims_apply (GsClaims *claims, const GsClaimRecord *record, int64_t log_ms);

/** RETURN VALUE: the state of KEY; CLAIM gets the id of the claim that holds it, or 0. */
GsKeyState
gs_claims_key_state (const GsClaims *claims, const GsIdempotencyKey *key, uint64_t *claim);

/** Removes keys that are so old at log time NOW_MS that no further claim of them can count. */
void gs_claims_prune (GsClaims *claims, int64_t now_ms);

/** RETURN VALUE: the number of keys stored. */
uint32_t gs_claims_count (const GsClaims *claims);

/** RETURN VALUE: the partition of KEY. */
uint32_t gs_idempotency_key_partition (const GsIdempotencyKey *key);

/**
 * Parses an idempotency key of the form "<milliseconds since 1970>-<any text>".
 *
 * RETURN VALUE: false when TEXT has another form or is longer than GS_IDEMPOTENCY_KEY_MAX.
 */
bool gs_idempotency_key_parse (const char *workspace, const char *text, GsIdempotencyKey *key);

typedef enum
{
  GS_TICKET_UNUSED = 0,
  GS_TICKET_USED,    /**< dispatched, not answered completely */
  GS_TICKET_DONE,    /**< answered completely */
  GS_TICKET_EXPIRED, /**< too old to tell whether it was used */
} GsTicketState;

typedef struct GsTickets GsTickets;

GsTickets *gs_tickets_new (void);
void gs_tickets_free (GsTickets *tickets);

/** RETURN VALUE: the number of a new ticket. */
uint64_t gs_tickets_issue (GsTickets *tickets, int64_t now_us);

/** RETURN VALUE: the state of ticket NUMBER. */
GsTicketState gs_tickets_state (GsTickets *tickets, uint64_t number, int64_t now_us);

/** Marks ticket NUMBER as used. RETURN VALUE: true for exactly one call, until
 * gs_tickets_undo_use. */
bool gs_tickets_use (GsTickets *tickets, uint64_t number, int64_t now_us);

/** Makes ticket NUMBER usable again, as its request certainly did not run. */
void gs_tickets_undo_use (GsTickets *tickets, uint64_t number);

/** Records that the request of ticket NUMBER was answered completely. */
void gs_tickets_complete (GsTickets *tickets, uint64_t number);

#endif
