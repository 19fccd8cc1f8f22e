/* Unit tests of core/claim. */
#include "fixture.h"

#define WINDOW GS_CLAIM_WINDOW_MS
static const int64_t T = 100 * WINDOW;

static GsClaimRecord
record (GsClaimKind kind, uint64_t claim)
{
  return (GsClaimRecord){ .kind = kind, .key = { 1, 2, T }, .claim_id = claim };
}

static GsClaimResult
fold (GsClaims *claims, GsClaimKind kind, uint64_t claim, int64_t log_ms)
{
  GsClaimRecord one = record (kind, claim);

  return gs_claims_apply (claims, &one, log_ms);
}

START_TEST (first_claim_wins)
{
  GsClaims *claims = gs_claims_new ();

  gs_claims_set_covered_from (claims, 0);
  ck_assert_int_eq (fold (claims, GS_CLAIM_ACQUIRE, 7, T), GS_CLAIM_WON);
  ck_assert_int_eq (fold (claims, GS_CLAIM_ACQUIRE, 8, T), GS_CLAIM_LOST);
  ck_assert_int_eq (fold (claims, GS_CLAIM_ACQUIRE, 7, T), GS_CLAIM_WON);
  gs_claims_free (claims);
}
END_TEST

START_TEST (release_frees_and_late_copies_do_not_take_again)
{
  GsClaims *claims = gs_claims_new ();

  gs_claims_set_covered_from (claims, 0);
  fold (claims, GS_CLAIM_ACQUIRE, 7, T);
  fold (claims, GS_CLAIM_RELEASE, 8, T);
  ck_assert_int_eq (fold (claims, GS_CLAIM_ACQUIRE, 9, T), GS_CLAIM_LOST);
  fold (claims, GS_CLAIM_RELEASE, 7, T);
  ck_assert_int_eq (fold (claims, GS_CLAIM_ACQUIRE, 7, T), GS_CLAIM_LOST);
  ck_assert_int_eq (fold (claims, GS_CLAIM_ACQUIRE, 9, T), GS_CLAIM_WON);
  gs_claims_free (claims);
}
END_TEST

/* A claim whose append was lost is given back ahead of time: if its record comes late, it takes
 * nothing. */
START_TEST (a_release_ahead_of_its_claim_voids_it)
{
  GsClaims *claims = gs_claims_new ();

  gs_claims_set_covered_from (claims, 0);
  fold (claims, GS_CLAIM_RELEASE, 7, T);
  ck_assert_int_eq (fold (claims, GS_CLAIM_ACQUIRE, 7, T), GS_CLAIM_LOST);
  ck_assert_int_eq (fold (claims, GS_CLAIM_ACQUIRE, 8, T), GS_CLAIM_WON);
  gs_claims_free (claims);
}
END_TEST

START_TEST (done_stays)
{
  GsClaims *claims = gs_claims_new ();
  GsIdempotencyKey key = { 1, 2, T };
  uint64_t holder;

  gs_claims_set_covered_from (claims, 0);
  fold (claims, GS_CLAIM_ACQUIRE, 7, T);
  fold (claims, GS_CLAIM_DONE, 7, T);
  fold (claims, GS_CLAIM_RELEASE, 7, T);
  ck_assert_int_eq (gs_claims_key_state (claims, &key, &holder), GS_KEY_DONE);
  ck_assert_int_eq (fold (claims, GS_CLAIM_ACQUIRE, 9, T), GS_CLAIM_LOST);
  gs_claims_free (claims);
}
END_TEST

/* A key that the log may have forgotten never runs, whatever the clocks say. */
START_TEST (old_keys_are_stale)
{
  GsClaims *claims = gs_claims_new ();

  gs_claims_set_covered_from (claims, 0);
  ck_assert_int_eq (fold (claims, GS_CLAIM_ACQUIRE, 7, T + WINDOW + 1), GS_CLAIM_STALE);
  ck_assert_int_eq (fold (claims, GS_CLAIM_ACQUIRE, 8, T - WINDOW - 1), GS_CLAIM_STALE);
  gs_claims_free (claims);
}
END_TEST

START_TEST (a_reader_that_knows_too_little_wins_nothing)
{
  GsClaims *claims = gs_claims_new ();
  GsIdempotencyKey key = { 1, 2, T };
  uint64_t holder;

  gs_claims_set_covered_from (claims, T - WINDOW + 1);
  ck_assert_int_eq (gs_claims_key_state (claims, &key, &holder), GS_KEY_UNKNOWN);
  ck_assert_int_eq (fold (claims, GS_CLAIM_ACQUIRE, 7, T), GS_CLAIM_STALE);
  gs_claims_free (claims);
}
END_TEST

START_TEST (prune_keeps_what_counts)
{
  GsClaims *claims = gs_claims_new ();

  gs_claims_set_covered_from (claims, 0);
  fold (claims, GS_CLAIM_ACQUIRE, 7, T);
  gs_claims_prune (claims, T + 2 * WINDOW);
  ck_assert_uint_eq (gs_claims_count (claims), 1);
  gs_claims_prune (claims, T + 2 * WINDOW + 1);
  ck_assert_uint_eq (gs_claims_count (claims), 0);
  gs_claims_free (claims);
}
END_TEST

START_TEST (keys_parse_or_are_refused)
{
  GsIdempotencyKey key;
  char longest[GS_IDEMPOTENCY_KEY_MAX + 8];

  memset (longest, '1', sizeof longest);
  longest[sizeof longest - 1] = '\0';
  ck_assert (gs_idempotency_key_parse ("w", "1700000000000-abc", &key));
  ck_assert_int_eq (key.created_ms, INT64_C (1700000000000));
  ck_assert (!gs_idempotency_key_parse ("w", "abc", &key));
  ck_assert (!gs_idempotency_key_parse ("w", "", &key));
  ck_assert (!gs_idempotency_key_parse ("w", "17-", &key));
  ck_assert (!gs_idempotency_key_parse ("w", "99999999999999999999999-x", &key));
  ck_assert (!gs_idempotency_key_parse ("w", longest, &key));
}
END_TEST

START_TEST (tickets_are_used_once)
{
  GsTickets *tickets = gs_tickets_new ();
  int64_t now_us = 1000 * GS_US_PER_S;
  uint64_t number = gs_tickets_issue (tickets, now_us);

  ck_assert_uint_ne (number, gs_tickets_issue (tickets, now_us));
  ck_assert (gs_tickets_use (tickets, number, now_us));
  ck_assert (!gs_tickets_use (tickets, number, now_us));
  gs_tickets_undo_use (tickets, number);
  ck_assert (gs_tickets_use (tickets, number, now_us));
  gs_tickets_complete (tickets, number);
  ck_assert_int_eq (gs_tickets_state (tickets, number, now_us), GS_TICKET_DONE);
  ck_assert (!gs_tickets_use (tickets, number, now_us));
  gs_tickets_free (tickets);
}
END_TEST

START_TEST (expired_tickets_are_not_used)
{
  GsTickets *tickets = gs_tickets_new ();
  int64_t now_us = 1000 * GS_US_PER_S;
  uint64_t number = gs_tickets_issue (tickets, now_us);

  ck_assert (!gs_tickets_use (tickets, number, now_us + GS_TICKET_LIFETIME_US + 5 * GS_US_PER_S));
  gs_tickets_free (tickets);
}
END_TEST

FIXTURE_MAIN ("claim",
              &first_claim_wins,
              &release_frees_and_late_copies_do_not_take_again,
              &a_release_ahead_of_its_claim_voids_it,
              &done_stays,
              &old_keys_are_stale,
              &a_reader_that_knows_too_little_wins_nothing,
              &prune_keeps_what_counts,
              &keys_parse_or_are_refused,
              &tickets_are_used_once,
              &expired_tickets_are_not_used)
