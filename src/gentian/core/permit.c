#include "core_private.h"

#include <string.h>

enum
{
  PERMIT_STATUS_CONFLICT = 409,
  PERMIT_STATUS_UNAVAILABLE = 503,
};

/** How long past its deadline a request waits for its claim's release record to be read back. */
#define PERMIT_RELEASE_GRACE_US (GS_US_PER_S)

static void
refuse (GsCore *core, Request *request, GsVerdict verdict, const char *reason)
{
  uint16_t status
      = verdict == GS_VERDICT_NOT_RUN ? PERMIT_STATUS_UNAVAILABLE : PERMIT_STATUS_CONFLICT;

  if (verdict == GS_VERDICT_NOT_RUN && request->reject_status != 0)
    status = request->reject_status;
  core_log_event (core, GS_LOG_EVENT_PERMIT_REFUSED,
                  "request=%" G_GUINT64_FORMAT " right=%s reason=%s", request->id,
                  request->permit.kind == GS_PERMIT_TICKET ? "ticket" : "key", reason);
  request->permit.kind = GS_PERMIT_NONE;
  request_reject (core, request, verdict, status, reason);
}

/* Dispatches REQUEST, or releases its permit if requests with its fingerprint are known to crash
 * upstreams. */
static void
dispatch_or_release (GsCore *core, Request *request)
{
  if (!gs_crash_tracker_must_refuse (core->crashes, request->fingerprint, core->now_us))
    {
      request_dispatch (core, request);
      return;
    }
  if (!permit_release (core, request, "crashes-upstreams"))
    refuse (core, request, GS_VERDICT_NOT_RUN, "crashes-upstreams");
}

static void
redeem_own_ticket (GsCore *core, Request *request)
{
  uint64_t number = request->permit.number;

  if (gs_tickets_use (core->tickets, number, core->now_us))
    {
      request->ticket_used = true;
      dispatch_or_release (core, request);
      return;
    }
  switch (gs_tickets_state (core->tickets, number, core->now_us))
    {
    case GS_TICKET_DONE:
      request_send_cached_answer (core, request);
      break;
    case GS_TICKET_EXPIRED:
      refuse (core, request, GS_VERDICT_MAY_HAVE_RUN, "ticket-expired");
      break;
    default:
      refuse (core, request, GS_VERDICT_MAY_HAVE_RUN, "ticket-used");
    }
}

static void
redeem_ticket (GsCore *core, Request *request)
{
  const GsMemberInfo *self = &core->options.self;
  const GsMemberInfo *issuer = gs_members_find (core->members, request->permit.issuer);

  if (strcmp (request->permit.issuer, self->id) == 0
      && request->permit.incarnation == self->incarnation)
    redeem_own_ticket (core, request);
  else if (issuer == NULL || issuer->incarnation != request->permit.incarnation
           || issuer->state == GS_MEMBER_DEAD || request->forwarded)
    refuse (core, request, GS_VERDICT_MAY_HAVE_RUN, "ticket-issuer-gone");
  else
    request_forward_to (core, request, issuer, true);
}

static GsClaims *
claims_of_partition (GsCore *core, uint32_t partition)
{
  if (core->claims[partition] == NULL)
    core->claims[partition] = gs_claims_new ();
  return core->claims[partition];
}

static void
append_record (GsCore *core, GsClaimKind kind, const Request *request)
{
  GsEffect *effect = core_add_effect (core, GS_EFFECT_APPEND_CLAIM);

  effect->claim = (GsClaimRecord){ .kind = kind, .key = request->key, .claim_id = request->claim };
}

static void
claim_key (GsCore *core, Request *request)
{
  PendingClaim own_claim = { .request = request->id, .key = request->key };

  request->claim = gs_mix64 (core->options.self.incarnation ^ gs_hash_name (core->options.self.id))
                   + ++core->next_claim;
  request->phase = REQUEST_WAITING_FOR_LOG;
  g_hash_table_insert (core->pending_claims, g_memdup2 (&request->claim, sizeof request->claim),
                       g_memdup2 (&own_claim, sizeof own_claim));
  append_record (core, GS_CLAIM_ACQUIRE, request);
}

/* Whether this daemon has a claim on KEY that has not been read back yet and may still win. */
static bool
has_pending_claim (const GsCore *core, const GsIdempotencyKey *key)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->pending_claims);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (memcmp (&((PendingClaim *)value)->key, key, sizeof *key) == 0)
      return true;
  return false;
}

static void
redeem_own_key (GsCore *core, Request *request)
{
  GsClaims *claims = claims_of_partition (core, gs_idempotency_key_partition (&request->key));
  uint64_t holder;

  switch (gs_claims_key_state (claims, &request->key, &holder))
    {
    case GS_KEY_UNCLAIMED:
      if (has_pending_claim (core, &request->key))
        refuse (core, request, GS_VERDICT_MAY_HAVE_RUN, "key-being-claimed");
      else
        claim_key (core, request);
      break;
    case GS_KEY_CLAIMED:
      refuse (core, request, GS_VERDICT_MAY_HAVE_RUN, "key-claimed");
      break;
    case GS_KEY_DONE:
      request_send_cached_answer (core, request);
      break;
    case GS_KEY_UNKNOWN:
      if (core->log_now_ms != 0
          && core->log_now_ms > request->key.created_ms + gs_claims_window_ms (claims))
        refuse (core, request, GS_VERDICT_MAY_HAVE_RUN, "key-outside-window");
      else
        request->phase = REQUEST_WAITING_FOR_LOG;
      break;
    }
}

/* The daemon that claims keys of PARTITION for the fleet at the moment. This only spreads the load:
 * keys are claimed safely even if several daemons consider themselves the owner, as the log decides
 * which claim wins. */
static const GsMemberInfo *
partition_owner (const GsCore *core, uint32_t partition)
{
  uint32_t index;
  uint64_t key = gs_mix64 (UINT64_C (0xc1a1) + partition);

  if (gs_members_homes (core->members, key, 1, &index) == 0)
    return gs_members_get (core->members, 0);
  return gs_members_get (core->members, index);
}

static uint64_t
find_owned_partitions (const GsCore *core)
{
  uint64_t owned = 0;

  for (uint32_t i = 0; i < GS_CLAIM_PARTITIONS; i++)
    if (partition_owner (core, i) == gs_members_get (core->members, 0))
      owned |= UINT64_C (1) << i;
  return owned;
}

GsClaimPartitions
gs_core_claim_partitions (GsCore *core)
{
  GsClaimPartitions partitions = { 0 };
  uint64_t epoch = gs_members_epoch (core->members);
  GHashTableIter iter;
  gpointer value;

  if (core->owned_epoch != epoch)
    {
      core->owned_partitions = find_owned_partitions (core);
      core->owned_epoch = epoch;
    }
  partitions.owned = core->owned_partitions;
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Request *request = value;
      if (request->phase == REQUEST_WAITING_FOR_LOG || request->phase == REQUEST_RELEASING)
        partitions.awaited |= UINT64_C (1) << gs_idempotency_key_partition (&request->key);
    }
  return partitions;
}

static void
redeem_key (GsCore *core, Request *request)
{
  const GsMemberInfo *owner = partition_owner (core, gs_idempotency_key_partition (&request->key));
  bool is_owner = owner == gs_members_get (core->members, 0);

  if (is_owner || request->forwarded || request->n_attempts > 0)
    redeem_own_key (core, request);
  else
    request_forward_to (core, request, owner, true);
}

void
permit_redeem (GsCore *core, Request *request)
{
  if (request->permit.kind == GS_PERMIT_TICKET)
    redeem_ticket (core, request);
  else
    redeem_key (core, request);
}

/* The daemon that holds the permit of a forwarded request reported that the request did not run, or
 * could not be reached. */
void
permit_holder_failed (GsCore *core, Request *request, GsOutcome outcome)
{
  request->phase = REQUEST_NEW;
  if (outcome != GS_OUTCOME_UNREACHABLE)
    refuse (core, request, GS_VERDICT_NOT_RUN, "holder-refused");
  else if (request->permit.kind == GS_PERMIT_TICKET)
    refuse (core, request, GS_VERDICT_MAY_HAVE_RUN, "ticket-issuer-unreachable");
  else
    redeem_own_key (core, request);
}

/*
 * Releases the permit of a request that certainly did not run.
 *
 * RETURN VALUE: true if the request must not be rejected before its release has been read back.
 */
bool
permit_release (GsCore *core, Request *request, const char *reason)
{
  if (request->ticket_used)
    {
      gs_tickets_undo_use (core->tickets, request->permit.number);
      request->ticket_used = false;
    }
  if (request->claim == 0 || request->phase == REQUEST_RELEASING)
    return false;
  request->phase = REQUEST_RELEASING;
  request->reject_reason = reason;
  request->deadline_us = MAX (request->deadline_us, core->now_us) + PERMIT_RELEASE_GRACE_US;
  append_record (core, GS_CLAIM_RELEASE, request);
  return true;
}

void
permit_request_answered (GsCore *core, Request *request)
{
  if (request->ticket_used)
    gs_tickets_complete (core->tickets, request->permit.number);
  if (request->claim == 0)
    return;
  append_record (core, GS_CLAIM_DONE, request);
  gs_claims_apply (claims_of_partition (core, gs_idempotency_key_partition (&request->key)),
                   &(GsClaimRecord){ GS_CLAIM_DONE, request->key, request->claim }, 0);
}

/* Handles the RESULT of a claim of this daemon that was read back. If its request no longer exists,
 * a claim that won is released. */
static void
settle_own_claim (GsCore *core,
                  const GsClaimRecord *record,
                  GsClaimResult result,
                  uint64_t request_id)
{
  static const char *const names[] = { "won", "lost", "stale" };
  Request *request = request_find (core, request_id);

  core_log_event (core, GS_LOG_EVENT_CLAIM_DECIDED,
                  "claim=%016" G_GINT64_MODIFIER "x request=%" G_GUINT64_FORMAT " result=%s",
                  record->claim_id, request_id, names[result]);
  if (request == NULL || request->claim != record->claim_id)
    {
      if (result == GS_CLAIM_WON)
        core_add_effect (core, GS_EFFECT_APPEND_CLAIM)->claim
            = (GsClaimRecord){ GS_CLAIM_RELEASE, record->key, record->claim_id };
      return;
    }
  if (request->phase != REQUEST_WAITING_FOR_LOG)
    return;
  request->phase = REQUEST_NEW;
  if (result == GS_CLAIM_WON)
    {
      dispatch_or_release (core, request);
      return;
    }
  request->claim = 0;
  refuse (core, request, GS_VERDICT_MAY_HAVE_RUN,
          result == GS_CLAIM_LOST ? "key-claimed" : "key-outside-window");
}

static void
finish_release (GsCore *core, uint64_t claim)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Request *request = value;
      if (request->claim != claim || request->phase != REQUEST_RELEASING)
        continue;
      request->claim = 0;
      refuse (core, request, GS_VERDICT_NOT_RUN, request->reject_reason);
      return;
    }
}

void
permit_apply_record (GsCore *core, uint32_t partition, const GsClaimRecord *record, int64_t log_ms)
{
  GsClaimResult result = gs_claims_apply (claims_of_partition (core, partition), record, log_ms);
  PendingClaim *own_claim = g_hash_table_lookup (core->pending_claims, &record->claim_id);
  uint64_t request_id;

  if (record->kind == GS_CLAIM_RELEASE)
    {
      g_hash_table_remove (core->pending_claims, &record->claim_id);
      finish_release (core, record->claim_id);
      return;
    }
  if (own_claim == NULL || record->kind != GS_CLAIM_ACQUIRE)
    return;
  request_id = own_claim->request;
  g_hash_table_remove (core->pending_claims, &record->claim_id);
  settle_own_claim (core, record, result, request_id);
}

void
permit_set_coverage (GsCore *core,
                     uint32_t partition,
                     int64_t from_ms,
                     int64_t log_now_ms,
                     int64_t retention_ms)
{
  GsClaims *claims = claims_of_partition (core, partition);

  core->log_now_ms = MAX (core->log_now_ms, log_now_ms);
  gs_claims_set_retention (claims, retention_ms);
  gs_claims_set_covered_from (claims, from_ms);
  gs_claims_prune (claims, log_now_ms);
}

/* Re-evaluates the requests that waited for PARTITION to be read. */
void
permit_partition_caught_up (GsCore *core, uint32_t partition)
{
  GHashTableIter iter;
  gpointer value;
  g_autoptr (GPtrArray) waiting = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Request *request = value;
      if (request->phase == REQUEST_WAITING_FOR_LOG && request->claim == 0
          && gs_idempotency_key_partition (&request->key) == partition)
        g_ptr_array_add (waiting, request);
    }
  for (guint i = 0; i < waiting->len; i++)
    redeem_own_key (core, g_ptr_array_index (waiting, i));
}

void
permit_append_failed (GsCore *core, uint64_t claim, bool certain)
{
  PendingClaim *own_claim = g_hash_table_lookup (core->pending_claims, &claim);
  Request *request = own_claim != NULL ? request_find (core, own_claim->request) : NULL;

  if (!certain || request == NULL || request->phase != REQUEST_WAITING_FOR_LOG)
    return; /* the record may still be read back */
  g_hash_table_remove (core->pending_claims, &claim);
  request->claim = 0;
  refuse (core, request, GS_VERDICT_NOT_RUN, "log-away");
}

/* The deadline of a request that waits for the log has passed. Earlier records of its key may not
 * have been read here, so the request may have run. */
void
permit_deadline_passed (GsCore *core, Request *request)
{
  bool appended = request->claim != 0;

  if (appended && request->phase == REQUEST_WAITING_FOR_LOG)
    append_record (core, GS_CLAIM_RELEASE, request); /* void the claim, even if it is read later */
  request->claim = 0;
  refuse (core, request, GS_VERDICT_MAY_HAVE_RUN,
          appended ? "claim-not-read-back" : "log-not-read");
}
