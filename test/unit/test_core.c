/* Unit tests of the reducer: requests, verdicts, retries, permits, crashes, members. */
#include "fixture.h"

/* RETURN VALUE: the rejection by the last event, or NULL. */
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
  fixture_end_attempt (&fixture, attempt, GS_OUTCOME_OK);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_ANSWER));
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 0);
  fixture_free (&fixture);
}
END_TEST

/* Guards against answering a caller twice when the end of an attempt is reported twice. */
START_TEST (an_attempt_ends_once)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_SAFE);
  uint64_t attempt = fixture_request (&fixture, 1, 1);

  fixture_end_attempt (&fixture, attempt, GS_OUTCOME_OK);
  fixture_end_attempt (&fixture, attempt, GS_OUTCOME_OK);
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
  uint64_t second = fixture_end_attempt (&fixture, first, GS_OUTCOME_TIMEOUT);

  ck_assert_uint_ne (second, 0);
  effect = fixture_find (&fixture, GS_EFFECT_ATTEMPT);
  ck_assert_uint_ne (effect->attempt.port, port);
  fixture_free (&fixture);
}
END_TEST

/* Guards against running a request twice: after these outcomes the first attempt may have run. */
START_TEST (request_that_may_have_run_is_not_retried)
{
  static const GsOutcome outcomes[] = { GS_OUTCOME_TIMEOUT, GS_OUTCOME_SILENT, GS_OUTCOME_CLOSED,
                                        GS_OUTCOME_CRASHED, GS_OUTCOME_TRUNCATED };

  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      Fixture fixture = fixture_new (3, i % 2 == 0 ? GS_REPEAT_ONCE : GS_REPEAT_NEVER);
      uint64_t attempt = fixture_request (&fixture, 1, 1);
      ck_assert_uint_eq (fixture_end_attempt (&fixture, attempt, outcomes[i]), 0);
      ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
      fixture_free (&fixture);
    }
}
END_TEST

START_TEST (request_that_did_not_run_is_retried_on_every_route)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  uint64_t attempt = fixture_request (&fixture, 1, 1);

  for (int i = 0; i < 2; i++)
    {
      attempt = fixture_end_attempt (&fixture, attempt, GS_OUTCOME_UNREACHABLE);
      ck_assert_uint_ne (attempt, 0);
    }
  fixture_end_attempt (&fixture, attempt, GS_OUTCOME_REFUSED);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_NOT_RUN);
  fixture_free (&fixture);
}
END_TEST

/* Guards against the verdict not-run for a request whose first attempt may have run, because its
 * last one did not. */
START_TEST (verdict_includes_all_earlier_attempts)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_SAFE);
  uint64_t attempt = fixture_request (&fixture, 1, 1);

  attempt = fixture_end_attempt (&fixture, attempt, GS_OUTCOME_TIMEOUT);
  attempt = fixture_end_attempt (&fixture, attempt, GS_OUTCOME_UNREACHABLE);
  fixture_end_attempt (&fixture, attempt, GS_OUTCOME_REFUSED);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  fixture_free (&fixture);
}
END_TEST

/* Guards against queueing requests until a deadline before which no slot will be free. */
START_TEST (request_that_cannot_meet_its_deadline_is_refused_at_once)
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

/* Guards against a queued request that gets no answer when the daemon exits. */
START_TEST (queued_request_is_refused_when_a_planned_stop_leaves_it_no_time)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_SAFE);
  GsEvent stop = { .kind = GS_EVENT_STOP };
  uint64_t attempt = fixture_request (&fixture, 1, 1);

  fixture_tick (&fixture, 300 * GS_US_PER_MS);
  fixture_end_attempt (&fixture, attempt, GS_OUTCOME_OK);
  for (uint64_t i = 2; i <= 6; i++)
    fixture_request (&fixture, i, i);
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 5);
  stop.stop_by_us = fixture.now_us + 10 * GS_US_PER_MS;
  fixture_reduce (&fixture, &stop);
  ck_assert_ptr_nonnull (rejection (&fixture));
  ck_assert_uint_eq (rejection (&fixture)->request, 6);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_NOT_RUN);
  ck_assert_uint_eq (rejection (&fixture)->retry_after_ms, GS_STOPPING_RETRY_AFTER_MS);
  fixture_free (&fixture);
}
END_TEST

/* Guards against requests that are queued for long at the end of a planned stop, when no answer has
 * come from which their wait could be told. */
START_TEST (queued_request_is_refused_at_the_end_of_a_planned_stop)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_SAFE);
  GsEvent stop = { .kind = GS_EVENT_STOP };

  for (uint64_t i = 1; i <= 5; i++)
    fixture_request (&fixture, i, i);
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 5);
  stop.stop_by_us = fixture.now_us;
  fixture_reduce (&fixture, &stop);
  ck_assert_ptr_nonnull (rejection (&fixture));
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_NOT_RUN);
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 4);
  fixture_free (&fixture);
}
END_TEST

/* Posts an update of the registrations from the daemon at IPV4. */
static void
post_registry_update (Fixture *fixture, uint32_t ipv4, uint64_t tables_position, bool unavailable)
{
  GsEvent event
      = { .kind = GS_EVENT_REGISTRY_UPDATE,
          .registry_update
          = { .from = { .ipv4 = ipv4, .peer_port = 90 },
              .update = { .to = 1,
                          .from_reader = true,
                          .tables_position = tables_position,
                          .store = { .unavailable = unavailable, .available_us = INT64_MAX } } } };

  fixture_reduce (fixture, &event);
}

static void
add_member (Fixture *fixture, const char *id, const char *domain, uint32_t ipv4)
{
  GsMemberMessage message = { .kind = GS_MEMBER_MESSAGE_ACK, .from = fixture_member (id, domain) };
  GsEvent event = { .kind = GS_EVENT_MEMBER_MESSAGE, .member_message = &message };

  message.from.ipv4 = ipv4;
  fixture_reduce (fixture, &event);
}

/* Guards against old tables at a daemon that was to get new ones from a lost relay, and against
 * one that pulls them while they are on their way. */
START_TEST (newer_tables_of_the_domains_reader_are_pulled)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_SAFE);
  uint64_t position = gs_config_log_position (gs_core_config_log (fixture.core));

  add_member (&fixture, "same", "d0", 2);
  add_member (&fixture, "other", "d1", 3);
  post_registry_update (&fixture, 2, position, false);
  ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_PULL_TABLES));
  post_registry_update (&fixture, 3, position + 1, false);
  ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_PULL_TABLES));
  post_registry_update (&fixture, 2, position + 1, false);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_PULL_TABLES));
  ck_assert_uint_eq (fixture_find (&fixture, GS_EFFECT_PULL_TABLES)->to.ipv4, 2);
  post_registry_update (&fixture, 2, position + 1, false);
  ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_PULL_TABLES));
  fixture.now_us += GS_US_PER_S; /* the pull was lost */
  post_registry_update (&fixture, 2, position + 1, false);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_PULL_TABLES));
  fixture_free (&fixture);
}
END_TEST

/* Guards against a daemon that waits for the reader of its domain because others, or copies, were
 * heard. */
START_TEST (only_readers_of_the_domain_count_as_heard)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_SAFE);
  GsEvent copy = { .kind = GS_EVENT_REGISTRY_UPDATE,
                   .registry_update = { .from = { .ipv4 = 2, .peer_port = 90 },
                                        .update = { .to = 1, .complete = true } } };

  add_member (&fixture, "same", "d0", 2);
  add_member (&fixture, "other", "d1", 3);
  ck_assert_uint_eq (gs_core_reader_state (fixture.core).n_ranks, 2);
  fixture_reduce (&fixture, &copy);
  post_registry_update (&fixture, 3, 1, false);
  ck_assert_int_eq (gs_core_reader_state (fixture.core).heard_us, 0);
  ck_assert_int_eq (gs_core_reader_state (fixture.core).available_us, fixture.now_us);
  fixture.now_us += GS_US_PER_S;
  post_registry_update (&fixture, 2, 1, true);
  ck_assert_int_eq (gs_core_reader_state (fixture.core).heard_us, fixture.now_us);
  ck_assert_int_lt (gs_core_reader_state (fixture.core).available_us, fixture.now_us);
  ck_assert_int_eq (gs_core_reader_state (fixture.core).preceding_us, 0);
  post_registry_update (&fixture, 2, 1, false);
  ck_assert_int_eq (gs_core_reader_state (fixture.core).preceding_us,
                    gs_core_reader_state (fixture.core).rank > 0 ? fixture.now_us : 0);
  fixture_free (&fixture);
}
END_TEST

START_TEST (unknown_route_gets_404_and_missing_tables_get_503)
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

/* Sends a request with ticket NUMBER of this daemon's INCARNATION. RETURN VALUE: its attempt, or 0.
 */
static uint64_t
request_with_ticket (Fixture *fixture, uint64_t request, uint64_t incarnation, uint64_t number)
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

/* RETURN VALUE: the number of a new ticket. */
static uint64_t
issue_ticket (Fixture *fixture)
{
  GsEvent event = { .kind = GS_EVENT_ADDRESS_LOOKUP,
                    .address_lookup = { .request = 99, .host = "h", .path = "/x" } };

  fixture_tick (fixture, 0);
  fixture_reduce (fixture, &event);
  return fixture_find (fixture, GS_EFFECT_ADDRESS_LOOKUP_ANSWER)->address_lookup.ticket;
}

/* Guards against running a request twice when its ticket is used again, while it runs or after it
 * was answered; in the latter case the cached answer is returned. */
START_TEST (a_ticket_is_dispatched_once)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  uint64_t ticket = issue_ticket (&fixture);
  uint64_t attempt = request_with_ticket (&fixture, 1, 7, ticket);

  ck_assert_uint_ne (attempt, 0);
  ck_assert_uint_eq (request_with_ticket (&fixture, 2, 7, ticket), 0);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  fixture_end_attempt (&fixture, attempt, GS_OUTCOME_OK);
  ck_assert_uint_eq (request_with_ticket (&fixture, 3, 7, ticket), 0);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_CACHED_ANSWER));
  fixture_free (&fixture);
}
END_TEST

START_TEST (a_ticket_that_did_not_run_may_be_used_again)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_NEVER);
  uint64_t ticket = issue_ticket (&fixture);
  uint64_t attempt = request_with_ticket (&fixture, 1, 7, ticket);

  fixture_end_attempt (&fixture, attempt, GS_OUTCOME_REFUSED);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_NOT_RUN);
  fixture_tick (&fixture, GS_US_PER_S);
  ck_assert_uint_ne (request_with_ticket (&fixture, 2, 7, ticket), 0);
  fixture_free (&fixture);
}
END_TEST

/* Guards against returning the answer "may have run" of a home, on a forwarded attempt, as the
 * answer of the request when its ticket is used again. */
START_TEST (uncertain_answer_of_a_home_is_not_cached_for_the_ticket)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  uint64_t ticket = issue_ticket (&fixture);

  fixture_end_attempt (&fixture, request_with_ticket (&fixture, 1, 7, ticket),
                       GS_OUTCOME_UNCERTAIN);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_ANSWER));
  ck_assert_uint_eq (request_with_ticket (&fixture, 2, 7, ticket), 0);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  fixture_free (&fixture);
}
END_TEST

/* Guards against running a request twice when the daemon was restarted and no longer knows whether
 * its ticket was used. */
START_TEST (ticket_of_another_incarnation_is_rejected)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);

  ck_assert_uint_eq (request_with_ticket (&fixture, 1, 6, issue_ticket (&fixture)), 0);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  fixture_free (&fixture);
}
END_TEST

/* Sends a request with the idempotency key KEY. */
static void
request_with_key (Fixture *fixture, uint64_t request, const char *key)
{
  GsEvent event = { .kind = GS_EVENT_REQUEST,
                    .request = { .request = request,
                                 .host = "h",
                                 .path = "/x",
                                 .fingerprint = 1,
                                 .permit = { .kind = GS_PERMIT_KEY, .key = key } } };

  fixture_reduce (fixture, &event);
}

/* Makes the claims stream PARTITION read to its end, in ERA of the log. */
static void
catch_up_partition (Fixture *fixture, uint32_t partition, uint64_t era, int64_t log_now_ms)
{
  GsEvent event = { .kind = GS_EVENT_CLAIMS_READ,
                    .claims_read = { .partition = partition,
                                     .log_now_ms = log_now_ms,
                                     .retention_ms = 100 * GS_CLAIM_WINDOW_MS,
                                     .era = era,
                                     .caught_up = true } };

  fixture_reduce (fixture, &event);
}

/* Makes all claims streams read to their end, so that keys can be claimed. */
static void
catch_up_claims (Fixture *fixture)
{
  for (uint32_t i = 0; i < GS_CLAIM_PARTITIONS; i++)
    catch_up_partition (fixture, i, 0, 5000);
}

/* Delivers RECORD as read from the claims log. */
static void
read_back_claim (Fixture *fixture, const GsClaimRecord *record)
{
  GsEvent event = { .kind = GS_EVENT_CLAIM_RECORD,
                    .claim_record = { .partition = gs_idempotency_key_partition (&record->key),
                                      .log_ms = record->key.created_ms,
                                      .record = *record } };

  fixture_reduce (fixture, &event);
}

/* Guards against running a request twice when two daemons claim its key at once: only the log
 * decides which claim is first. */
START_TEST (key_is_dispatched_only_after_its_claim_was_read_back)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  GsClaimRecord acquire;

  catch_up_claims (&fixture);
  request_with_key (&fixture, 1, "1700000000000-a");
  ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_ATTEMPT));
  acquire = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  read_back_claim (&fixture, &acquire);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_ATTEMPT));
  request_with_key (&fixture, 2, "1700000000000-a");
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  fixture_free (&fixture);
}
END_TEST

/* RETURN VALUE: whether the effects hold CLAIM, to be appended. */
static bool
appends (const Fixture *fixture, const GsClaimRecord *claim)
{
  for (uint32_t i = 0; i < gs_effects_count (fixture->effects); i++)
    {
      const GsEffect *effect = gs_effects_get (fixture->effects, i);
      if (effect->kind == GS_EFFECT_APPEND_CLAIM && effect->claim.kind == claim->kind
          && effect->claim.claim_id == claim->claim_id)
        return true;
    }
  return false;
}

/* Guards against a second run after the log lost the claim of the first, and against a key whose
 * request ran being answered as unknown for as long as its holder lives. */
START_TEST (lost_claim_is_appended_again_and_other_keys_are_refused)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  const int64_t created_ms = INT64_C (1700000000000);
  GsClaimRecord acquire;
  uint32_t partition;

  catch_up_claims (&fixture);
  request_with_key (&fixture, 1, "1700000000000-a");
  acquire = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  read_back_claim (&fixture, &acquire);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_ATTEMPT));
  partition = gs_idempotency_key_partition (&acquire.key);
  catch_up_partition (&fixture, partition, 2, created_ms);
  ck_assert (appends (&fixture, &acquire));
  for (uint32_t i = 0; i < GS_CLAIM_PARTITIONS; i++)
    if (i != partition)
      catch_up_partition (&fixture, i, 2, created_ms);
  request_with_key (&fixture, 2, "1700000000000-b");
  ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM));
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  ck_assert_str_eq (rejection (&fixture)->reason, "claims-lost");
  read_back_claim (&fixture, &acquire);
  catch_up_partition (&fixture, partition, 2, created_ms + 2 * GS_CLAIM_REPEAT_MS);
  ck_assert (!appends (&fixture, &acquire));
  fixture_free (&fixture);
}
END_TEST

START_TEST (key_is_ignored_on_routes_that_are_not_never_repeat)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_ONCE);

  request_with_key (&fixture, 1, "any text");
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_ATTEMPT));
  ck_assert (!fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.cache_answer);
  fixture_free (&fixture);
}
END_TEST

/* Guards against running a request twice when the claim of another daemon precedes its own in the
 * log. */
START_TEST (request_that_loses_its_claim_is_not_dispatched)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  GsClaimRecord acquire;
  GsClaimRecord other;

  catch_up_claims (&fixture);
  request_with_key (&fixture, 1, "1700000000000-a");
  acquire = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  other = acquire;
  other.claim_id = 12345;
  read_back_claim (&fixture, &other);
  read_back_claim (&fixture, &acquire);
  ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_ATTEMPT));
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  fixture_free (&fixture);
}
END_TEST

START_TEST (failed_append_of_a_claim_means_not_run)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  GsEvent failed = { .kind = GS_EVENT_CLAIM_APPEND_FAILED };

  catch_up_claims (&fixture);
  request_with_key (&fixture, 1, "1700000000000-a");
  failed.claim_append_failed.claim
      = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim.claim_id;
  failed.claim_append_failed.certain = true;
  fixture_reduce (&fixture, &failed);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_NOT_RUN);
  fixture_free (&fixture);
}
END_TEST

/* Guards against running a request whose caller has already got the verdict may-have-run, because
 * the append of its claim took too long. */
START_TEST (claim_read_back_after_its_timeout_is_released)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  GsClaimRecord acquire;

  catch_up_claims (&fixture);
  request_with_key (&fixture, 1, "1700000000000-a");
  acquire = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  fixture_tick (&fixture, 2 * GS_US_PER_S);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  read_back_claim (&fixture, &acquire);
  ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_ATTEMPT));
  ck_assert_int_eq (fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim.kind, GS_CLAIM_RELEASE);
  fixture_free (&fixture);
}
END_TEST

/* Guards against a key that stays unusable because the append of its claim got lost: the release
 * that is appended on the time-out makes the state certain once it is read back. */
START_TEST (key_can_be_claimed_again_after_an_append_timeout)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_NEVER);
  GsClaimRecord release;

  catch_up_claims (&fixture);
  request_with_key (&fixture, 1, "1700000000000-a");
  fixture_tick (&fixture, 2 * GS_US_PER_S);
  release = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  ck_assert_int_eq (release.kind, GS_CLAIM_RELEASE);
  request_with_key (&fixture, 2, "1700000000000-a");
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
  read_back_claim (&fixture, &release);
  request_with_key (&fixture, 3, "1700000000000-a");
  ck_assert_int_eq (fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim.kind, GS_CLAIM_ACQUIRE);
  fixture_free (&fixture);
}
END_TEST

/* Guards against rejecting the caller's next request with the key, because the claim of the one
 * that did not run is not released yet. */
START_TEST (not_run_is_reported_after_the_release_was_read_back)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_NEVER);
  GsClaimRecord record;
  uint64_t attempt;

  catch_up_claims (&fixture);
  request_with_key (&fixture, 1, "1700000000000-a");
  record = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  read_back_claim (&fixture, &record);
  attempt = fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.attempt;
  fixture_end_attempt (&fixture, attempt, GS_OUTCOME_REFUSED);
  ck_assert_ptr_null (rejection (&fixture));
  record = fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim;
  ck_assert_int_eq (record.kind, GS_CLAIM_RELEASE);
  read_back_claim (&fixture, &record);
  ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_NOT_RUN);
  request_with_key (&fixture, 2, "1700000000000-a");
  ck_assert_int_eq (fixture_find (&fixture, GS_EFFECT_APPEND_CLAIM)->claim.kind, GS_CLAIM_ACQUIRE);
  fixture_free (&fixture);
}
END_TEST

/* Guards against a request that crashes one upstream after the other, and against ejecting these.
 */
START_TEST (a_crashing_request_is_refused_after_two_upstreams)
{
  Fixture fixture = fixture_new (6, GS_REPEAT_SAFE);
  uint64_t attempt = fixture_request (&fixture, 1, 666);
  uint64_t second = fixture_end_attempt (&fixture, attempt, GS_OUTCOME_CRASHED);

  ck_assert_uint_ne (second, 0);
  ck_assert_uint_eq (fixture_end_attempt (&fixture, second, GS_OUTCOME_CRASHED), 0);
  ck_assert_uint_eq (fixture_request (&fixture, 2, 666), 0);
  ck_assert_int_eq (rejection (&fixture)->status, 422);
  ck_assert_uint_ne (fixture_request (&fixture, 3, 667), 0);
  ck_assert_int_eq (gs_pool_in_rotation (gs_core_pool (fixture.core, "w", "p")), 6);
  fixture_free (&fixture);
}
END_TEST

/* Guards against refusing a harmless request that was in flight at an upstream when another request
 * crashed it. */
START_TEST (requests_that_were_answered_after_a_crash_are_not_refused)
{
  Fixture fixture = fixture_new (2, GS_REPEAT_SAFE);
  uint64_t attempt = fixture_request (&fixture, 1, 5);
  uint64_t retry = fixture_end_attempt (&fixture, attempt, GS_OUTCOME_CLOSED);

  fixture_end_attempt (&fixture, retry, GS_OUTCOME_OK);
  fixture.now_us += GS_US_PER_S;
  attempt = fixture_request (&fixture, 2, 5);
  retry = fixture_end_attempt (&fixture, attempt, GS_OUTCOME_CLOSED);
  fixture_end_attempt (&fixture, retry, GS_OUTCOME_OK);
  ck_assert_uint_ne (fixture_request (&fixture, 3, 5), 0);
  fixture_free (&fixture);
}
END_TEST

/* Guards against refusing harmless requests as crashing because a single faulty upstream drops
 * their connections. */
START_TEST (one_upstream_that_drops_connections_gets_no_request_refused)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_ONCE);

  for (uint64_t i = 1; i <= 5; i++)
    {
      uint64_t attempt = fixture_request (&fixture, i, 5);
      ck_assert_uint_ne (attempt, 0);
      fixture_end_attempt (&fixture, attempt, GS_OUTCOME_CLOSED);
      ck_assert_int_eq (rejection (&fixture)->verdict, GS_VERDICT_MAY_HAVE_RUN);
    }
  fixture_free (&fixture);
}
END_TEST

/* Guards against queued requests that outlive their caller. */
START_TEST (request_of_a_disconnected_caller_is_dropped)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_SAFE);
  GsEvent disconnected = { .kind = GS_EVENT_CALLER_DISCONNECTED, .caller_disconnected = 5 };

  for (uint64_t i = 1; i <= 5; i++)
    fixture_request (&fixture, i, i);
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 5);
  fixture_reduce (&fixture, &disconnected);
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 4);
  fixture_free (&fixture);
}
END_TEST

/* Guards against slots that stay in use for good: the caller has left before the HTTP layer
 * received the attempt, which is therefore never started and never ends. */
START_TEST (attempt_of_a_caller_that_left_before_its_start_is_cancelled)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_SAFE);
  GsEvent disconnected = { .kind = GS_EVENT_CALLER_DISCONNECTED, .caller_disconnected = 1 };

  ck_assert_uint_ne (fixture_request (&fixture, 1, 1), 0);
  fixture_reduce (&fixture, &disconnected);
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 0);
  ck_assert_uint_eq (gs_pool_outstanding (gs_core_pool (fixture.core, "w", "p")), 0);
  fixture_free (&fixture);
}
END_TEST

/* Guards against sending requests to a leaving upstream, when a standby gets the report before it
 * serves the pool. */
START_TEST (upstream_reports_apply_to_pools_that_are_not_served_yet)
{
  Fixture fixture = fixture_new (2, GS_REPEAT_SAFE);
  GsEvent report = { .kind = GS_EVENT_UPSTREAM_REPORT,
                     .upstream_report = { .upstream = "u0", .leaving = true } };

  fixture_reduce (&fixture, &report);
  for (uint64_t i = 1; i <= 4; i++)
    {
      ck_assert_uint_ne (fixture_request (&fixture, i, i), 0);
      ck_assert_uint_ne (fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.port, 1);
    }
  fixture_free (&fixture);
}
END_TEST

/* Ends ATTEMPT as refused by an upstream that wants no requests for QUIET_MS. */
static void
refuse_with_quiet_time (Fixture *fixture, uint64_t attempt, uint32_t quiet_ms)
{
  GsEvent event = {
    .kind = GS_EVENT_ATTEMPT_END,
    .attempt_end
    = { .attempt = attempt, .outcome = GS_OUTCOME_REFUSED, .answer_us = 1000, .quiet_ms = quiet_ms }
  };

  fixture_reduce (fixture, &event);
}

/* Guards against requests to an upstream listed in the tables that asked for none for a while. */
START_TEST (upstream_gets_no_requests_in_its_quiet_time)
{
  Fixture fixture = fixture_new (2, GS_REPEAT_SAFE);
  uint64_t attempt = fixture_request (&fixture, 1, 1);
  uint16_t port = fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.port;
  bool returned = false;

  refuse_with_quiet_time (&fixture, attempt, 20000);
  fixture_tick (&fixture, 10 * GS_US_PER_S);
  for (uint64_t id = 2; id <= 30; id++)
    {
      attempt = fixture_request (&fixture, id, id);
      ck_assert_uint_ne (fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.port, port);
      fixture_end_attempt (&fixture, attempt, GS_OUTCOME_OK);
    }
  fixture_tick (&fixture, 11 * GS_US_PER_S);
  for (uint64_t id = 31; id <= 60 && !returned; id++)
    {
      attempt = fixture_request (&fixture, id, id);
      returned = fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.port == port;
      fixture_end_attempt (&fixture, attempt, GS_OUTCOME_OK);
    }
  ck_assert (returned);
  fixture_free (&fixture);
}
END_TEST

/* Guards against callers that wait until their deadlines for upstreams that all want no requests.
 */
START_TEST (request_is_refused_at_once_in_the_quiet_time_of_all_upstreams)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_SAFE);
  const GsEffect *effect;

  refuse_with_quiet_time (&fixture, fixture_request (&fixture, 1, 1), 50000);
  fixture_tick (&fixture, GS_US_PER_S);
  ck_assert_uint_eq (fixture_request (&fixture, 2, 2), 0);
  effect = fixture_find (&fixture, GS_EFFECT_REJECT);
  ck_assert_ptr_nonnull (effect);
  ck_assert_str_eq (effect->reject.reason, "upstreams-quiet");
  ck_assert_uint_eq (effect->reject.status, 503);
  ck_assert_uint_ge (effect->reject.retry_after_ms, 49000);
  fixture_free (&fixture);
}
END_TEST

/* Guards against the same for requests that were already queued. */
START_TEST (queued_request_is_refused_when_the_last_upstream_becomes_quiet)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_ONCE);
  uint64_t attempt = fixture_request (&fixture, 1, 1);
  const GsEffect *effect;

  for (uint64_t id = 2; id <= 5; id++) /* four slots */
    fixture_request (&fixture, id, id);
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 5);
  refuse_with_quiet_time (&fixture, attempt, 50000);
  fixture_tick (&fixture, 10 * GS_US_PER_MS);
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 3);
  effect = fixture_find (&fixture, GS_EFFECT_ATTEMPT);
  ck_assert_ptr_null (effect);
  fixture_free (&fixture);
}
END_TEST

/* Adds 20 members, so that this daemon is the home of hardly any pool. */
static void
add_members (Fixture *fixture)
{
  GsMemberInfo member = fixture_member ("other", "d1");
  GsMemberMessage message = { .kind = GS_MEMBER_MESSAGE_PING };
  GsEvent event = { .kind = GS_EVENT_MEMBER_MESSAGE, .member_message = &message };

  for (int i = 0; i < 20; i++)
    {
      g_snprintf (member.id, sizeof member.id, "other-%d", i);
      message.from = member;
      fixture_reduce (fixture, &event);
    }
}

/* Guards against losing the time for another attempt at a home that does not respond: a forwarded
 * attempt gets less than the route's time-out. */
START_TEST (safe_requests_time_out_early_at_a_frozen_home)
{
  Fixture fixture = fixture_new (2, GS_REPEAT_SAFE);
  int forwarded = 0;

  add_members (&fixture);
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
 * Guards against running a crashing request again: the home has made all attempts that the request
 * may have, and its crash update may arrive after its answer, so another home might not know of the
 * crash.
 */
START_TEST (answer_of_a_home_is_not_retried_at_another)
{
  Fixture fixture = fixture_new (6, GS_REPEAT_SAFE);
  uint64_t attempt;

  add_members (&fixture);
  attempt = fixture_request (&fixture, 1, 666);
  ck_assert (fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.forward);
  ck_assert_uint_eq (fixture_end_attempt (&fixture, attempt, GS_OUTCOME_UNCERTAIN), 0);
  ck_assert_ptr_nonnull (fixture_find (&fixture, GS_EFFECT_ANSWER));
  ck_assert_uint_eq (gs_core_in_flight (fixture.core), 0);
  fixture_free (&fixture);
}
END_TEST

/* Guards against passing on a home's "not run", which it says of the attempt through it only, after
 * an attempt through another home that may have run. */
START_TEST (answer_tells_whether_earlier_attempts_may_have_run)
{
  static const GsOutcome outcomes[] = { GS_OUTCOME_TIMEOUT, GS_OUTCOME_UNREACHABLE };
  static const GsVerdict verdicts[] = { GS_VERDICT_MAY_HAVE_RUN, GS_VERDICT_NOT_RUN };

  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      Fixture fixture = fixture_new (6, GS_REPEAT_SAFE);
      const GsEffect *answer;
      uint64_t attempt;
      add_members (&fixture);
      attempt = fixture_request (&fixture, 1, 1);
      ck_assert (fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.forward);
      attempt = fixture_end_attempt (&fixture, attempt, outcomes[i]);
      ck_assert_uint_ne (attempt, 0);
      fixture_end_attempt (&fixture, attempt, GS_OUTCOME_OK);
      answer = fixture_find (&fixture, GS_EFFECT_ANSWER);
      ck_assert_ptr_nonnull (answer);
      ck_assert_int_eq (answer->answer.earlier_verdict, verdicts[i]);
      fixture_free (&fixture);
    }
}
END_TEST

/* Guards against useless messages: no other daemon serves the pool, so none needs the evidence. */
START_TEST (only_active_home_sends_no_evidence)
{
  Fixture fixture = fixture_new (6, GS_REPEAT_SAFE);
  GsMemberInfo member = fixture_member ("other", "d1");
  GsMemberMessage message = { .kind = GS_MEMBER_MESSAGE_PING, .from = member };
  GsEvent event = { .kind = GS_EVENT_MEMBER_MESSAGE, .member_message = &message };

  fixture_tick (&fixture, 0);
  fixture_reduce (&fixture, &event);
  for (uint64_t i = 1; i <= 30; i++)
    {
      GsEvent request
          = { .kind = GS_EVENT_REQUEST,
              .request
              = { .request = i, .host = "h", .path = "/x", .fingerprint = i, .forwarded = true } };
      fixture_reduce (&fixture, &request);
      fixture_end_attempt (&fixture, fixture_find (&fixture, GS_EFFECT_ATTEMPT)->attempt.attempt,
                           i % 6 == 0 ? GS_OUTCOME_ERROR : GS_OUTCOME_OK);
      fixture_tick (&fixture, 100 * GS_US_PER_MS);
      ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_EVIDENCE));
    }
  fixture_free (&fixture);
}
END_TEST

START_TEST (same_seed_gives_the_same_effects)
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
          fixture_end_attempt (&one, a, GS_OUTCOME_OK);
          fixture_end_attempt (&two, b, GS_OUTCOME_OK);
        }
    }
  fixture_free (&one);
  fixture_free (&two);
}
END_TEST

/* Guards against results of slots sent as copies that may be lost: effects carried bytes of earlier
 * ones in the fields that they do not set. */
START_TEST (effects_carry_no_bytes_of_earlier_ones)
{
  Fixture fixture = fixture_new (3, GS_REPEAT_SAFE);
  GsEvent event = { .kind = GS_EVENT_SLOT_REPLY,
                    .slot_reply = { .from = { .ipv4 = 2, .peer_port = 90 },
                                    .reply = { .verdict = GS_SLOT_GRANTED, .grant = 1 } } };

  for (int i = 0; i < 2; i++)
    {
      GsEffect *returned;
      uint8_t duplicate;

      fixture_reduce (&fixture, &event);
      returned = (GsEffect *)fixture_find (&fixture, GS_EFFECT_SLOT_RESULT);
      ck_assert_ptr_nonnull (returned);
      memcpy (&duplicate, &returned->slot_result.duplicate, sizeof duplicate);
      ck_assert_uint_eq (duplicate, 0);
      memset (&returned->slot_result, 'e', sizeof returned->slot_result);
    }
  fixture_free (&fixture);
}
END_TEST

/* Posts the parts of a snapshot to POSITION; the last one has DOCUMENT as the tables of workspace
 * "x", which are unusable if it is NULL. */
static void
post_snapshot (Fixture *fixture, uint64_t position, GsDocument *document)
{
  GsSnapshotEntry entries[] = { { .workspace = "v", .text = "-", .revision = position - 1 },
                                { .workspace = "x", .text = "-", .revision = position } };
  GsDocument *documents[] = { gs_document_new ("v", 0), document };

  for (uint32_t i = 0; i < 2; i++)
    {
      GsEvent event = { .kind = GS_EVENT_TABLES_SNAPSHOT,
                        .tables_snapshot = { .position = position,
                                             .entries = &entries[i],
                                             .documents = &documents[i],
                                             .n_entries = 1,
                                             .last = i == 1 } };
      fixture_reduce (fixture, &event);
    }
}

/* Guards against a daemon that takes itself to have tables that it could not use: it would neither
 * ask for them again nor read them from the store. */
START_TEST (position_stays_before_tables_that_cannot_be_used)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_SAFE);
  const GsConfigLog *log = gs_core_config_log (fixture.core);
  uint64_t before = gs_config_log_position (log);

  post_snapshot (&fixture, before + 5, NULL);
  ck_assert_uint_eq (gs_config_log_position (log), before);
  ck_assert_uint_eq (gs_core_tables_heard_position (fixture.core), before + 5);
  ck_assert_int_ne (gs_core_reader_state (fixture.core).behind_us, 0);
  ck_assert_uint_eq (gs_config_log_revision (log, "v", NULL), before + 4);
  post_snapshot (&fixture, before + 5, gs_document_new ("x", 0));
  ck_assert_uint_eq (gs_config_log_position (log), before + 5);
  ck_assert_int_eq (gs_core_reader_state (fixture.core).behind_us, 0);
  fixture_free (&fixture);
}
END_TEST

/* Guards against limits of callers' requests that lapse with the last route. */
START_TEST (limits_of_tables_without_rows_are_in_force)
{
  Fixture fixture = fixture_new (1, GS_REPEAT_SAFE);
  GsDocument *document = gs_document_new ("w", 0);

  document->limits.max_header_bytes = 77;
  fixture_edit (&fixture, 1, 1, document);
  ck_assert_uint_eq (gs_core_caller_limits (fixture.core, "w").max_header_bytes, 77);
  fixture_edit (&fixture, 2, 2, gs_document_new ("w", 0));
  ck_assert_uint_eq (gs_core_caller_limits (fixture.core, "w").max_header_bytes, 0);
  fixture_free (&fixture);
}
END_TEST

FIXTURE_MAIN ("core",
              &answer_is_passed_on,
              &an_attempt_ends_once,
              &safe_requests_are_retried_elsewhere,
              &request_that_may_have_run_is_not_retried,
              &request_that_did_not_run_is_retried_on_every_route,
              &verdict_includes_all_earlier_attempts,
              &request_that_cannot_meet_its_deadline_is_refused_at_once,
              &newer_tables_of_the_domains_reader_are_pulled,
              &only_readers_of_the_domain_count_as_heard,
              &queued_request_is_refused_when_a_planned_stop_leaves_it_no_time,
              &queued_request_is_refused_at_the_end_of_a_planned_stop,
              &unknown_route_gets_404_and_missing_tables_get_503,
              &a_ticket_is_dispatched_once,
              &a_ticket_that_did_not_run_may_be_used_again,
              &uncertain_answer_of_a_home_is_not_cached_for_the_ticket,
              &ticket_of_another_incarnation_is_rejected,
              &key_is_dispatched_only_after_its_claim_was_read_back,
              &lost_claim_is_appended_again_and_other_keys_are_refused,
              &key_is_ignored_on_routes_that_are_not_never_repeat,
              &request_that_loses_its_claim_is_not_dispatched,
              &failed_append_of_a_claim_means_not_run,
              &claim_read_back_after_its_timeout_is_released,
              &key_can_be_claimed_again_after_an_append_timeout,
              &not_run_is_reported_after_the_release_was_read_back,
              &a_crashing_request_is_refused_after_two_upstreams,
              &requests_that_were_answered_after_a_crash_are_not_refused,
              &one_upstream_that_drops_connections_gets_no_request_refused,
              &request_of_a_disconnected_caller_is_dropped,
              &attempt_of_a_caller_that_left_before_its_start_is_cancelled,
              &upstream_reports_apply_to_pools_that_are_not_served_yet,
              &upstream_gets_no_requests_in_its_quiet_time,
              &request_is_refused_at_once_in_the_quiet_time_of_all_upstreams,
              &queued_request_is_refused_when_the_last_upstream_becomes_quiet,
              &safe_requests_time_out_early_at_a_frozen_home,
              &answer_of_a_home_is_not_retried_at_another,
              &answer_tells_whether_earlier_attempts_may_have_run,
              &only_active_home_sends_no_evidence,
              &effects_carry_no_bytes_of_earlier_ones,
              &position_stays_before_tables_that_cannot_be_used,
              &limits_of_tables_without_rows_are_in_force,
              &same_seed_gives_the_same_effects)
