/* Unit tests of the reducer: requests, verdicts, retries, rights, crashes. */
#include "fixture.h"

static const GsRejectEffect *
rejection (const Fixture *fixture)
{
  const GsEffect *effect = fixture_find (fixture, GS_EFFECT_REJECT);

  return effect != NULL ? &effect->reject : NULL;
}

START_TEST (answer_is_passed_on)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_SAFE);
  uint64_t attempt = fixture_request (&fixture, 1, 1);

  ck_assert_uint_ne (attempt, 0);
  fixture_end (&fixture, attempt, GS_OUTCOME_OK);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_ANSWER));
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 0);
  fixture_free (&fixture);
}
END_TEST

START_TEST (an_attempt_ends_once)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_SAFE);
  uint64_t attempt = fixture_request (&fixture, 1, 1);

  fixture_end (&fixture, attempt, GS_OUTCOME_OK);
  fixture_end (&fixture, attempt, GS_OUTCOME_OK);
  ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_ANSWER));
  fixture_free (&fixture);
}
END_TEST

START_TEST (safe_requests_are_retried_elsewhere)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_SAFE);
  uint64_t first = fixture_request (&fixture, 1, 1);
  const GsEffect *effect = fixture_find (&fixture, GS_EFFECT_ATTEMPT);
  uint16_t port = effect->attempt.port;
  uint64_t second = fixture_end (&fixture, first, GS_OUTCOME_TIMEOUT);

  ck_assert_uint_ne (second, 0);
  effect = fixture_find (&fixture, GS_EFFECT_ATTEMPT);
  ck_assert_uint_ne (effect->attempt.port, port);
  fixture_free (&fixture);
}
END_TEST

START_TEST (uncertain_requests_are_not_repeated)
{
  static const GsOutcome outcomes[] = { GS_OUTCOME_TIMEOUT, GS_OUTCOME_SILENT, GS_OUTCOME_CLOSED,
                                        GS_OUTCOME_CRASHED, GS_OUTCOME_TRUNCATED };

  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      Fixture fixture = fixture_new (3, i % 2 == 0 ? GS_REPEAT_ONCE : GS_REPEAT_NEVER);
      uint64_t attempt = fixture_request (&fixture, 1, 1);
      ck_assert_uint_eq (fixture_end (&fixture, attempt, outcomes[i]), 0);
      ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
      fixture_free (&fixture);
    }
}
END_TEST

START_TEST (not_run_is_retried_for_every_route)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  uint64_t attempt = fixture_request (&fixture, 1, 1);

  for (int i = 0; i < 2; i++)
    {
      attempt = fixture_end (&fixture, attempt, GS_OUTCOME_UNREACHABLE);
      ck_assert_uint_ne (attempt, 0);
    }
  fixture_end (&fixture, attempt, GS_OUTCOME_REFUSED);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_NOT_RUN);
  fixture_free (&fixture);
}
END_TEST

START_TEST (an_uncertain_attempt_is_never_forgotten)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_SAFE);
  uint64_t attempt = fixture_request (&fixture, 1, 1);

  attempt = fixture_end (&fixture, attempt, GS_OUTCOME_TIMEOUT);
  attempt = fixture_end (&fixture, attempt, GS_OUTCOME_UNREACHABLE);
  fixture_end (&fixture, attempt, GS_OUTCOME_REFUSED);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  fixture_free (&fixture);
}
END_TEST

START_TEST (hopeless_deadlines_are_refused_at_once)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_SAFE);
  int rejected = 0;

  for (uint64_t i = 1; i <= 400; i++)
    {
      fixture_request (&fixture, i, i);
      rejected += rejection (&fixture) != NULL ? 1 : 0;
    }
  ck_assert_int_gt (rejected, 100);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_NOT_RUN);
  fixture_tick (&fixture, 2 * GS_US_PER_S);
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 4);
  fixture_free (&fixture);
}
END_TEST

START_TEST (unknown_routes_and_missing_tables)
{
  GsCoreOptions options = { .self = fixture_member ("self", "d0") };
  Fixture empty = { .core = gs_core_new (&options), .effects = gs_effects_new () };
  Fixture fixture = fixture_new (1, GS_REPEAT_SAFE);
  GsEvent event
      = { .kind = GS_EVENT_REQUEST, .request = { .request = 1, .host = "?", .path = "/" } };

  fixture_reduce (&empty, &event);
  ck_assert_int_eq (rejection (&empty)->status, 503);
  fixture_reduce (&fixture, &event);
  ck_assert_int_eq (rejection (&fixture)->status, 404);
  fixture_free (&empty);
  fixture_free (&fixture);
}
END_TEST

/* Sends a request with a ticket of this daemon. RETURN VALUE: its attempt, or 0. */
static uint64_t
with_ticket (Fixture *fixture, uint64_t request, uint64_t incarnation, uint64_t number)
{
  GsEvent event = { .kind = GS_EVENT_REQUEST,
                    .request = { .request = request,
                                 .host = "h",
                                 .path = "/x",
                                 .fingerprint = 1,
                                 .permit = { .kind = GS_PERMIT_TICKET,
                                             .issuer = "self",
                                             .incarnation = incarnation,
                                             .number = number } } };
  const GsEffect *effect;

  fixture_reduce (fixture, &event);
  effect = fixture_find (fixture, GS_EFFECT_ATTEMPT);
  return effect != NULL ? effect->attempt.attempt : 0;
}

static uint64_t
issue (Fixture *fixture)
{
  GsEvent event = { .kind = GS_EVENT_ADDRESS_LOOKUP,
                    .address_lookup = { .request = 99, .host = "h", .path = "/x" } };

  fixture_tick (fixture, 0);
  fixture_reduce (fixture, &event);
  return fixture_find (fixture, GS_EFFECT_ADDRESS_LOOKUP_ANSWER)->address_lookup.ticket;
}

START_TEST (a_ticket_runs_once)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  uint64_t ticket = issue (&fixture);
  uint64_t attempt = with_ticket (&fixture, 1, 7, ticket);

  ck_assert_uint_ne (attempt, 0);
  ck_assert_uint_eq (with_ticket (&fixture, 2, 7, ticket), 0);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  fixture_end (&fixture, attempt, GS_OUTCOME_OK);
  ck_assert_uint_eq (with_ticket (&fixture, 3, 7, ticket), 0);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_CACHED_ANSWER));
  fixture_free (&fixture);
}
END_TEST

START_TEST (a_ticket_that_did_not_run_may_be_used_again)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_NEVER);
  uint64_t ticket = issue (&fixture);
  uint64_t attempt = with_ticket (&fixture, 1, 7, ticket);

  fixture_end (&fixture, attempt, GS_OUTCOME_REFUSED);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_NOT_RUN);
  fixture_tick (&fixture, GS_US_PER_S);
  ck_assert_uint_ne (with_ticket (&fixture, 2, 7, ticket), 0);
  fixture_free (&fixture);
}
END_TEST

START_TEST (a_homes_uncertainty_answers_no_right)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  uint64_t ticket = issue (&fixture);

  fixture_end (&fixture, with_ticket (&fixture, 1, 7, ticket), GS_OUTCOME_UNCERTAIN);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_ANSWER));
  ck_assert_uint_eq (with_ticket (&fixture, 2, 7, ticket), 0);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  fixture_free (&fixture);
}
END_TEST

START_TEST (another_incarnations_ticket_never_runs)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);

  ck_assert_uint_eq (with_ticket (&fixture, 1, 6, issue (&fixture)), 0);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  fixture_free (&fixture);
}
END_TEST

static void
with_key (Fixture *fixture, uint64_t request, const char *key)
{
  GsEvent event = { .kind = GS_EVENT_REQUEST,
                    .request = { .request = request,
                                 .host = "h",
                                 .path = "/x",
                                 .fingerprint = 1,
                                 .permit = { .kind = GS_PERMIT_KEY, .key = key } } };

  fixture_reduce (fixture, &event);
}

static void
cover_all (Fixture *fixture)
{
  for (uint32_t i = 0; i < GS_CLAIM_PARTITIONS; i++)
    {
      GsEvent event = { .kind = GS_EVENT_CLAIMS_READ,
                        .claims_read = { .partition = i,
                                         .log_now_ms = 5000,
                                         .retention_ms = 100 * GS_CLAIM_WINDOW_MS,
                                         .caught_up = true } };
      fixture_reduce (fixture, &event);
    }
}

static void
read_back (Fixture *fixture, const GsClaimRecord *record)
{
  GsEvent event = { .kind = GS_EVENT_CLAIM_RECORD,
                    .claim_record = { .partition = gs_idempotency_key_partition (&record->key),
                                      .log_ms = record->key.created_ms,
                                      .record = *record } };

  fixture_reduce (fixture, &event);
}

START_TEST (a_key_is_dispatched_only_after_it_was_read_back)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  GsClaimRecord take;

  cover_all (&fixture);
  with_key (&fixture, 1, "1700000000000-a");
  ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_ATTEMPT));
  take = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  read_back (&fixture, &take);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_ATTEMPT));
  with_key (&fixture, 2, "1700000000000-a");
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  fixture_free (&fixture);
}
END_TEST

START_TEST (a_key_on_another_route_is_the_upstreams_matter)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_ONCE);

  with_key (&fixture, 1, "any text");
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_ATTEMPT));
  ck_assert (!fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.cache_answer);
  fixture_free (&fixture);
}
END_TEST

START_TEST (a_lost_claim_is_not_dispatched)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  GsClaimRecord take;
  GsClaimRecord other;

  cover_all (&fixture);
  with_key (&fixture, 1, "1700000000000-a");
  take = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  other = take;
  other.claim_id = 12345;
  read_back (&fixture, &other);
  read_back (&fixture, &take);
  ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_ATTEMPT));
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  fixture_free (&fixture);
}
END_TEST

START_TEST (a_log_that_is_away_means_not_run)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  GsEvent failed = { .kind = GS_EVENT_CLAIM_APPEND_FAILED };

  cover_all (&fixture);
  with_key (&fixture, 1, "1700000000000-a");
  failed.claim_append_failed.claim
      = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim.claim_id;
  failed.claim_append_failed.certain = true;
  fixture_reduce (&fixture, &failed);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_NOT_RUN);
  fixture_free (&fixture);
}
END_TEST

START_TEST (an_unsettled_claim_is_given_back_when_it_appears)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  GsClaimRecord take;

  cover_all (&fixture);
  with_key (&fixture, 1, "1700000000000-a");
  take = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  fixture_tick (&fixture, 2 * GS_US_PER_S);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  read_back (&fixture, &take);
  ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_ATTEMPT));
  ck_assert_int_eq (fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim.kind, GS_CLAIM_RELEASE);
  fixture_free (&fixture);
}
END_TEST

START_TEST (a_lost_append_does_not_lose_the_key_for_ever)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  GsClaimRecord release;

  cover_all (&fixture);
  with_key (&fixture, 1, "1700000000000-a");
  fixture_tick (&fixture, 2 * GS_US_PER_S);
  release = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  ck_assert_int_eq (release.kind, GS_CLAIM_RELEASE);
  with_key (&fixture, 2, "1700000000000-a");
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  read_back (&fixture, &release);
  with_key (&fixture, 3, "1700000000000-a");
  ck_assert_int_eq (fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim.kind, GS_CLAIM_ACQUIRE);
  fixture_free (&fixture);
}
END_TEST

START_TEST (not_run_waits_for_the_release)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_NEVER);
  GsClaimRecord record;
  uint64_t attempt;

  cover_all (&fixture);
  with_key (&fixture, 1, "1700000000000-a");
  record = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  read_back (&fixture, &record);
  attempt = fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.attempt;
  fixture_end (&fixture, attempt, GS_OUTCOME_REFUSED);
  ck_assert_ptr_null (rejection (&fixture));
  record = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  ck_assert_int_eq (record.kind, GS_CLAIM_RELEASE);
  read_back (&fixture, &record);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_NOT_RUN);
  with_key (&fixture, 2, "1700000000000-a");
  ck_assert_int_eq (fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim.kind, GS_CLAIM_ACQUIRE);
  fixture_free (&fixture);
}
END_TEST

START_TEST (a_crashing_request_is_refused_after_two)
{
  Fixture fixture = fixture_new (6, GS_REPEAT_SAFE);
  uint64_t attempt = fixture_request (&fixture, 1, 666);
  uint64_t second = fixture_end (&fixture, attempt, GS_OUTCOME_CRASHED);

  ck_assert_uint_ne (second, 0);
  ck_assert_uint_eq (fixture_end (&fixture, second, GS_OUTCOME_CRASHED), 0);
  ck_assert_uint_eq (fixture_request (&fixture, 2, 666), 0);
  ck_assert_int_eq (rejection (&fixture)->status, 422);
  ck_assert_uint_ne (fixture_request (&fixture, 3, 667), 0);
  ck_assert_int_eq (gs_pool_in_rotation (gs_core_pool (fixture.core, "w", "p")), 6);
  fixture_free (&fixture);
}
END_TEST

START_TEST (requests_that_only_shared_a_crash_go_on)
{
  Fixture fixture = fixture_new (2, GS_REPEAT_SAFE);
  uint64_t bystander = fixture_request (&fixture, 1, 5);
  uint64_t retried = fixture_end (&fixture, bystander, GS_OUTCOME_CLOSED);

  fixture_end (&fixture, retried, GS_OUTCOME_OK);
  fixture.now_us += GS_US_PER_S;
  bystander = fixture_request (&fixture, 2, 5);
  retried = fixture_end (&fixture, bystander, GS_OUTCOME_CLOSED);
  fixture_end (&fixture, retried, GS_OUTCOME_OK);
  ck_assert_uint_ne (fixture_request (&fixture, 3, 5), 0);
  fixture_free (&fixture);
}
END_TEST

START_TEST (one_upstream_that_drops_connections_condemns_no_request)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_ONCE);

  for (uint64_t i = 1; i <= 5; i++)
    {
      uint64_t attempt = fixture_request (&fixture, i, 5);
      ck_assert_uint_ne (attempt, 0);
      fixture_end (&fixture, attempt, GS_OUTCOME_CLOSED);
      ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
    }
  fixture_free (&fixture);
}
END_TEST

START_TEST (a_late_caller_leaves_nothing_behind)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_SAFE);
  GsEvent left = { .kind = GS_EVENT_CALLER_DISCONNECTED, .caller_disconnected = 5 };

  for (uint64_t i = 1; i <= 5; i++)
    fixture_request (&fixture, i, i);
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 5);
  fixture_reduce (&fixture, &left);
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 4);
  fixture_free (&fixture);
}
END_TEST

/* A standby that hears of a leaving upstream before it serves the pool. */
START_TEST (signs_are_kept_for_pools_that_are_not_served_yet)
{
  Fixture fixture = fixture_new (2, GS_REPEAT_SAFE);
  GsEvent sign = { .kind = GS_EVENT_UPSTREAM_REPORT,
                   .upstream_report = { .upstream = "u0", .leaving = true } };

  fixture_reduce (&fixture, &sign);
  for (uint64_t i = 1; i <= 4; i++)
    {
      ck_assert_uint_ne (fixture_request (&fixture, i, i), 0);
      ck_assert_uint_ne (fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.port, 1);
    }
  fixture_free (&fixture);
}
END_TEST

/* Makes twenty more daemons known, so that this one is home of hardly any pool. */
static void
join_many (Fixture *fixture)
{
  GsMemberInfo member = fixture_member ("other", "d1");
  GsMemberMessage probe = { .kind = GS_MEMBER_MESSAGE_PING };
  GsEvent event = { .kind = GS_EVENT_MEMBER_MESSAGE, .member_message = &probe };

  for (int i = 0; i < 20; i++)
    {
      g_snprintf (member.id, sizeof member.id, "other-%d", i);
      probe.from = member;
      fixture_reduce (fixture, &event);
    }
}

START_TEST (safe_requests_do_not_wait_out_a_frozen_home)
{
  Fixture fixture = fixture_new (2, GS_REPEAT_SAFE);
  int forwarded = 0;

  join_many (&fixture);
  for (uint64_t i = 1; i <= 3; i++)
    {
      const GsEffect *effect;
      fixture_request (&fixture, i, i);
      effect = fixture_find (&fixture, GS_EFFECT_ATTEMPT);
      if (!effect->attempt.forward)
        continue;
      forwarded++;
      ck_assert_int_lt (effect->attempt.timeout_us, 1000 * GS_US_PER_MS);
    }
  ck_assert_int_gt (forwarded, 0);
  fixture_free (&fixture);
}
END_TEST

/*
 * The home has made the attempts that the request may have. Its news of crashes can arrive after
 * its answer, so another home would run a crashing request again.
 */
START_TEST (a_homes_answer_is_final)
{
  Fixture fixture = fixture_new (6, GS_REPEAT_SAFE);
  uint64_t attempt;

  join_many (&fixture);
  attempt = fixture_request (&fixture, 1, 666);
  ck_assert (fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.forward);
  ck_assert_uint_eq (fixture_end (&fixture, attempt, GS_OUTCOME_UNCERTAIN), 0);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_ANSWER));
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 0);
  fixture_free (&fixture);
}
END_TEST

START_TEST (one_active_home_tells_nobody_of_its_evidence)
{
  Fixture fixture = fixture_new (6, GS_REPEAT_SAFE);
  GsMemberInfo member = fixture_member ("other", "d1");
  GsMemberMessage probe = { .kind = GS_MEMBER_MESSAGE_PING, .from = member };
  GsEvent event = { .kind = GS_EVENT_MEMBER_MESSAGE, .member_message = &probe };

  fixture_tick (&fixture, 0);
  fixture_reduce (&fixture, &event);
  for (uint64_t i = 1; i <= 30; i++)
    {
      GsEvent request
          = { .kind = GS_EVENT_REQUEST,
              .request
              = { .request = i, .host = "h", .path = "/x", .fingerprint = i, .forwarded = true } };
      fixture_reduce (&fixture, &request);
      fixture_end (&fixture, fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.attempt,
                   i % 6 == 0 ? GS_OUTCOME_ERROR : GS_OUTCOME_OK);
      fixture_tick (&fixture, 100 * GS_US_PER_MS);
      ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_EVIDENCE));
    }
  fixture_free (&fixture);
}
END_TEST

START_TEST (same_seed_same_effects)
{
  Fixture one = fixture_new (6, GS_REPEAT_SAFE);
  Fixture two = fixture_new (6, GS_REPEAT_SAFE);

  for (uint64_t i = 1; i < 200; i++)
    {
      uint64_t a = fixture_request (&one, i, i);
      uint64_t b = fixture_request (&two, i, i);
      const GsEffect *left = fixture_find (&one, GS_EFFECT_ATTEMPT);
      const GsEffect *right = fixture_find (&two, GS_EFFECT_ATTEMPT);
      ck_assert_uint_eq (a, b);
      if (left != NULL)
        ck_assert_uint_eq (left->attempt.port, right->attempt.port);
      if (a != 0 && i % 3 == 0)
        {
          fixture_end (&one, a, GS_OUTCOME_OK);
          fixture_end (&two, b, GS_OUTCOME_OK);
        }
    }
  fixture_free (&one);
  fixture_free (&two);
}
END_TEST

FIXTURE_MAIN ("core",
              &answer_is_passed_on,
              &an_attempt_ends_once,
              &safe_requests_are_retried_elsewhere,
              &uncertain_requests_are_not_repeated,
              &not_run_is_retried_for_every_route,
              &an_uncertain_attempt_is_never_forgotten,
              &hopeless_deadlines_are_refused_at_once,
              &unknown_routes_and_missing_tables,
              &a_ticket_runs_once,
              &a_ticket_that_did_not_run_may_be_used_again,
              &a_homes_uncertainty_answers_no_right,
              &another_incarnations_ticket_never_runs,
              &a_key_is_dispatched_only_after_it_was_read_back,
              &a_key_on_another_route_is_the_upstreams_matter,
              &a_lost_claim_is_not_dispatched,
              &a_log_that_is_away_means_not_run,
              &an_unsettled_claim_is_given_back_when_it_appears,
              &a_lost_append_does_not_lose_the_key_for_ever,
              &not_run_waits_for_the_release,
              &a_crashing_request_is_refused_after_two,
              &requests_that_only_shared_a_crash_go_on,
              &one_upstream_that_drops_connections_condemns_no_request,
              &a_late_caller_leaves_nothing_behind,
              &signs_are_kept_for_pools_that_are_not_served_yet,
              &safe_requests_do_not_wait_out_a_frozen_home,
              &a_homes_answer_is_final,
              &one_active_home_tells_nobody_of_its_evidence,
              &same_seed_same_effects)
