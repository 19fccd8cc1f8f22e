#include "core_private.h"

#include <string.h>

enum
{
  RIGHT_STATUS_CONFLICT = 409,
  RIGHT_STATUS_UNAVAILABLE = 503,
};

/** Time after its deadline for which a request waits for its release to be read back. */
#define RIGHT_RELEASE_GRACE_US (GS_US_PER_S)

static void
refuse (GsCore *core, Request *request, GsVerdict verdict, const char *reason)
{
  uint16_t status
      = verdict == GS_VERDICT_NOT_RUN ? RIGHT_STATUS_UNAVAILABLE : RIGHT_STATUS_CONFLICT;

  core_log_event (core, GS_NOTICE_RIGHT_REFUSED, "request=%" G_GUINT64_FORMAT " right=%s reason=%s",
                  request->id, request->permit.kind == GS_PERMIT_TICKET ? "ticket" : "key", reason);
  request->permit.kind = GS_PERMIT_NONE;
  request_reject (core, request, verdict, status, reason);
}

/* The last gate before a dispatch: a request known to crash upstreams gives its right back. */
static void
dispatch_with_right (GsCore *core, Request *request)
{
  if (!gs_crashes_refused (core->crashes, request->fingerprint, core->now_us))
    {
      request_dispatch (core, request);
      return;
    }
  if (!permit_not_run (core, request, "crashes-upstreams"))
    refuse (core, request, GS_VERDICT_NOT_RUN, "crashes-upstreams");
}

static void
begin_own_ticket (GsCore *core, Request *request)
{
  uint64_t number = request->permit.number;

  if (gs_tickets_use (core->tickets, number, core->now_us))
    {
      request->ticket_used = true;
      dispatch_with_right (core, request);
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
begin_ticket (GsCore *core, Request *request)
{
  const GsMemberFact *self = &core->options.self;
  const GsMemberFact *issuer = gs_members_find (core->members, request->permit.issuer);

  if (strcmp (request->permit.issuer, self->id) == 0
      && request->permit.incarnation == self->incarnation)
    begin_own_ticket (core, request);
  else if (issuer == NULL || issuer->incarnation != request->permit.incarnation
           || issuer->state == GS_MEMBER_DEAD || request->forwarded)
    refuse (core, request, GS_VERDICT_MAY_HAVE_RUN, "ticket-issuer-gone");
  else
    request_forward_to (core, request, issuer, true);
}

static GsClaims *
claims_of (GsCore *core, uint32_t partition)
{
  if (core->claims[partition] == NULL)
    core->claims[partition] = gs_claims_new ();
  return core->claims[partition];
}

static void
append (GsCore *core, GsClaimKind kind, const Request *request)
{
  GsEffect *effect = core_add_effect (core, GS_EFFECT_APPEND_CLAIM);

  effect->claim = (GsClaimRecord){ .kind = kind, .key = request->key, .claim = request->claim };
}

static void
append_take (GsCore *core, Request *request)
{
  PendingClaim own = { .request = request->id, .key = request->key };

  request->claim = gs_mix64 (core->options.self.incarnation ^ gs_hash_name (core->options.self.id))
                   + ++core->next_claim;
  request->phase = REQUEST_WAITING_FOR_LOG;
  g_hash_table_insert (core->pending_claims, g_memdup2 (&request->claim, sizeof request->claim),
                       g_memdup2 (&own, sizeof own));
  append (core, GS_CLAIM_TAKE, request);
}

/* A claim of this daemon on KEY that may yet be read back as the winner. */
static bool
has_open_claim (const GsCore *core, const GsKey *key)
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
begin_own_key (GsCore *core, Request *request)
{
  GsClaims *claims = claims_of (core, gs_key_partition (&request->key));
  uint64_t holder;

  switch (gs_claims_state (claims, &request->key, &holder))
    {
    case GS_KEY_FREE:
      if (has_open_claim (core, &request->key))
        refuse (core, request, GS_VERDICT_MAY_HAVE_RUN, "key-being-claimed");
      else
        append_take (core, request);
      break;
    case GS_KEY_CLAIMED:
      refuse (core, request, GS_VERDICT_MAY_HAVE_RUN, "key-claimed");
      break;
    case GS_KEY_DONE:
      request_send_cached_answer (core, request);
      break;
    case GS_KEY_UNKNOWN:
      if (core->log_now_ms != 0
          && core->log_now_ms > request->key.key_ms + gs_claims_window_ms (claims))
        refuse (core, request, GS_VERDICT_MAY_HAVE_RUN, "key-outside-window");
      else
        request->phase = REQUEST_WAITING_FOR_LOG;
      break;
    }
}

/* The daemon that claims keys of PARTITION at the moment; only load, not safety, rests on it. */
static const GsMemberFact *
partition_owner (const GsCore *core, uint32_t partition)
{
  uint32_t index;
  uint64_t key = gs_mix64 (UINT64_C (0xc1a1) + partition);

  if (gs_members_homes (core->members, key, 1, &index) == 0)
    return gs_members_get (core->members, 0);
  return gs_members_get (core->members, index);
}

static uint64_t
find_owned (const GsCore *core)
{
  uint64_t owned = 0;

  for (uint32_t i = 0; i < GS_CLAIM_PARTITIONS; i++)
    if (partition_owner (core, i) == gs_members_get (core->members, 0))
      owned |= UINT64_C (1) << i;
  return owned;
}

GsPartitions
gs_core_partitions (GsCore *core)
{
  GsPartitions partitions = { 0 };
  uint64_t epoch = gs_members_epoch (core->members);
  GHashTableIter iter;
  gpointer value;

  if (core->owned_epoch != epoch)
    {
      core->owned_partitions = find_owned (core);
      core->owned_epoch = epoch;
    }
  partitions.owned = core->owned_partitions;
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Request *request = value;
      if (request->phase == REQUEST_WAITING_FOR_LOG || request->phase == REQUEST_RELEASING)
        partitions.awaited |= UINT64_C (1) << gs_key_partition (&request->key);
    }
  return partitions;
}

static void
begin_key (GsCore *core, Request *request)
{
  const GsMemberFact *owner = partition_owner (core, gs_key_partition (&request->key));
  bool own = owner == gs_members_get (core->members, 0);

  if (own || request->forwarded || request->n_attempts > 0)
    begin_own_key (core, request);
  else
    request_forward_to (core, request, owner, true);
}

void
permit_begin (GsCore *core, Request *request)
{
  if (request->permit.kind == GS_PERMIT_TICKET)
    begin_ticket (core, request);
  else
    begin_key (core, request);
}

/* The holder of a forwarded request's right said that it did not run, or could not be reached. */
void
permit_holder_failed (GsCore *core, Request *request, GsOutcome outcome)
{
  request->phase = REQUEST_NEW;
  if (outcome != GS_OUTCOME_UNREACHABLE)
    refuse (core, request, GS_VERDICT_NOT_RUN, "holder-refused");
  else if (request->permit.kind == GS_PERMIT_TICKET)
    refuse (core, request, GS_VERDICT_MAY_HAVE_RUN, "ticket-issuer-unreachable");
  else
    begin_own_key (core, request);
}

/*
 * Gives the right of a request back that certainly did not run.
 *
 * RETURN VALUE: true when the answer has to wait for the log, so the caller must not reject yet.
 */
bool
permit_not_run (GsCore *core, Request *request, const char *reason)
{
  if (request->ticket_used)
    {
      gs_tickets_unuse (core->tickets, request->permit.number);
      request->ticket_used = false;
    }
  if (request->claim == 0 || request->phase == REQUEST_RELEASING)
    return false;
  request->phase = REQUEST_RELEASING;
  request->reject_reason = reason;
  request->deadline_us = MAX (request->deadline_us, core->now_us) + RIGHT_RELEASE_GRACE_US;
  append (core, GS_CLAIM_RELEASE, request);
  return true;
}

void
permit_answered (GsCore *core, Request *request)
{
  if (request->ticket_used)
    gs_tickets_done (core->tickets, request->permit.number);
  if (request->claim == 0)
    return;
  append (core, GS_CLAIM_DONE, request);
  gs_claims_fold (claims_of (core, gs_key_partition (&request->key)),
                  &(GsClaimRecord){ GS_CLAIM_DONE, request->key, request->claim }, 0);
}

/* A claim of this daemon was read back. */
static void
judge_own (GsCore *core, const GsClaimRecord *record, GsClaimResult result, uint64_t waiting)
{
  static const char *const names[] = { "won", "lost", "stale" };
  Request *request = request_find (core, waiting);

  core_log_event (core, GS_NOTICE_CLAIM_JUDGED,
                  "claim=%016" G_GINT64_MODIFIER "x request=%" G_GUINT64_FORMAT " result=%s",
                  record->claim, waiting, names[result]);
  if (request == NULL || request->claim != record->claim)
    {
      if (result == GS_CLAIM_WON)
        core_add_effect (core, GS_EFFECT_APPEND_CLAIM)->claim
            = (GsClaimRecord){ GS_CLAIM_RELEASE, record->key, record->claim };
      return;
    }
  if (request->phase != REQUEST_WAITING_FOR_LOG)
    return;
  request->phase = REQUEST_NEW;
  if (result == GS_CLAIM_WON)
    {
      dispatch_with_right (core, request);
      return;
    }
  request->claim = 0;
  refuse (core, request, GS_VERDICT_MAY_HAVE_RUN,
          result == GS_CLAIM_LOST ? "key-claimed" : "key-outside-window");
}

static void
release_read_back (GsCore *core, uint64_t claim)
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
  GsClaimResult result = gs_claims_fold (claims_of (core, partition), record, log_ms);
  PendingClaim *own = g_hash_table_lookup (core->pending_claims, &record->claim);
  uint64_t request;

  if (record->kind == GS_CLAIM_RELEASE)
    {
      g_hash_table_remove (core->pending_claims, &record->claim);
      release_read_back (core, record->claim);
      return;
    }
  if (own == NULL || record->kind != GS_CLAIM_TAKE)
    return;
  request = own->request;
  g_hash_table_remove (core->pending_claims, &record->claim);
  judge_own (core, record, result, request);
}

void
permit_set_coverage (GsCore *core,
                     uint32_t partition,
                     int64_t from_ms,
                     int64_t log_now_ms,
                     int64_t retention_ms)
{
  GsClaims *claims = claims_of (core, partition);

  core->log_now_ms = MAX (core->log_now_ms, log_now_ms);
  gs_claims_set_retention (claims, retention_ms);
  gs_claims_set_covered (claims, from_ms);
  gs_claims_prune (claims, log_now_ms);
}

/* Requests that waited for the partition to be read decide again. */
void
permit_caught_up (GsCore *core, uint32_t partition)
{
  GHashTableIter iter;
  gpointer value;
  g_autoptr (GPtrArray) waiting = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Request *request = value;
      if (request->phase == REQUEST_WAITING_FOR_LOG && request->claim == 0
          && gs_key_partition (&request->key) == partition)
        g_ptr_array_add (waiting, request);
    }
  for (guint i = 0; i < waiting->len; i++)
    begin_own_key (core, g_ptr_array_index (waiting, i));
}

void
permit_append_failed (GsCore *core, uint64_t claim, bool certain)
{
  PendingClaim *own = g_hash_table_lookup (core->pending_claims, &claim);
  Request *request = own != NULL ? request_find (core, own->request) : NULL;

  if (!certain || request == NULL || request->phase != REQUEST_WAITING_FOR_LOG)
    return; /* it may yet be read back */
  g_hash_table_remove (core->pending_claims, &claim);
  request->claim = 0;
  refuse (core, request, GS_VERDICT_NOT_RUN, "log-away");
}

/* The time of a request that waits for the log is up. What its key did before may be unknown here.
 */
void
permit_deadline (GsCore *core, Request *request)
{
  bool appended = request->claim != 0;

  if (appended && request->phase == REQUEST_WAITING_FOR_LOG)
    append (core, GS_CLAIM_RELEASE, request); /* void it, whether or not its record ever comes */
  request->claim = 0;
  refuse (core, request, GS_VERDICT_MAY_HAVE_RUN,
          appended ? "claim-not-read-back" : "log-not-read");
}
