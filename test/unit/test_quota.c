/* Unit tests of quotas: accounts and enforcers, refunds in the scheduler, and the reducers of a
 * fleet. test/property/prop_quota.cpp holds the limit under faults. */
#include <stdio.h>

#include "fixture.h"

#include "../../src/gentian/core/core_private.h"
#include "../../src/gentian/peer/wire.h"
#include "../../src/gentian/quota/account.h"
#include "../../src/gentian/quota/enforcer.h"

static const GsQuotaOptions OPTIONS
    = { .window_us = 5 * GS_US_PER_S, .overshoot_ppm = 100000, .slack = 20 };

/* A fleet as one daemon sees it. */
typedef struct
{
  uint64_t epoch;
  uint32_t alive;
  uint32_t known;
  GsQuotaLimit limit;
  uint64_t holders[GS_QUOTA_HOLDERS];
} View;

static uint64_t
view_epoch (void *data)
{
  return ((View *)data)->epoch;
}

static uint32_t
view_members (uint32_t *alive, void *data)
{
  *alive = ((View *)data)->alive;
  return ((View *)data)->known;
}

static uint32_t
view_workspaces (void *data)
{
  (void)data;
  return 1;
}

static GsQuotaLimit
view_limit (uint64_t workspace, void *data)
{
  (void)workspace;
  return ((View *)data)->limit;
}

static uint32_t
view_holders (uint32_t shard, uint64_t holders[GS_QUOTA_HOLDERS], void *data)
{
  (void)shard;
  memcpy (holders, ((View *)data)->holders, sizeof ((View *)data)->holders);
  return GS_QUOTA_HOLDERS;
}

static GsQuotaFleet *
new_fleet (View *view, bool first_start)
{
  GsFleetView functions = { .epoch = view_epoch,
                            .members = view_members,
                            .workspaces = view_workspaces,
                            .limit = view_limit,
                            .holders = view_holders,
                            .data = view };

  return gs_quota_fleet_new (&functions, first_start);
}

static View
make_view (uint32_t rate_per_s, uint32_t burst)
{
  return (View){
    .epoch = 1, .alive = 30, .known = 30, .limit = { rate_per_s, burst }, .holders = { 1, 2, 3 }
  };
}

/* RETURN VALUE: the tokens that an account gives to an enforcer that has none. */
static uint32_t
ask (GsQuotaAccounts *accounts, uint64_t enforcer, uint32_t wanted, int64_t now_us)
{
  GsQuotaDemand demand = { .workspace = 9, .session = 1, .wanted = wanted };
  GsQuotaReport report = { .enforcer = enforcer, .demands = &demand, .n_demands = 1 };
  GsQuotaReply reply;
  uint32_t bound;

  gs_quota_accounts_receive (accounts, &report, now_us, &reply);
  bound = reply.n_grants == 1 ? reply.grants[0].bound : 0;
  g_free (reply.grants);
  return bound;
}

/* Guards against a full bucket, or any, where others may have spent it within the window. */
START_TEST (new_accounts_start_full_only_in_a_new_fleet)
{
  struct
  {
    bool first_start;
    uint32_t alive;
    int64_t delay_us;
    uint32_t expected;
  } rows[] = {
    { true, 30, 0, 100 + 48 },              /* burst and 0.6 of the overshoot of 80 */
    { false, 30, 0, 24 },                   /* restarted: half of what may be lent is owed */
    { false, 30, GS_US_PER_S, 100 + 24 },   /* the rate of a second */
    { true, 15, GS_US_PER_S, 12 },          /* half is lost: waits until all know */
    { true, 15, 3 * GS_US_PER_S, 50 + 12 }, /* half of the rate, for the second after that */
    { false, 30, 60 * GS_US_PER_S, 148 },   /* has filled */
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      View view = make_view (100, 100);
      GsQuotaFleet *fleet;
      GsQuotaAccounts *accounts;
      view.alive = rows[i].alive;
      fleet = new_fleet (&view, rows[i].first_start);
      accounts = gs_quota_accounts_new (&OPTIONS, fleet, 1);
      gs_quota_fleet_shard (fleet, 9, 1000 * GS_US_PER_S);
      ck_assert_uint_eq (ask (accounts, 5, 1000, 1000 * GS_US_PER_S + rows[i].delay_us),
                         rows[i].expected);
      gs_quota_accounts_free (accounts);
      gs_quota_fleet_free (fleet);
    }
}
END_TEST

/* Guards against grants of a daemon that does not keep the account, against accounts that survive
 * the change of two holders, and against a share that rises before all daemons know. */
START_TEST (changes_of_the_fleet_are_noticed)
{
  View view = make_view (100, 100);
  GsQuotaFleet *fleet = new_fleet (&view, true);
  GsQuotaAccounts *accounts = gs_quota_accounts_new (&OPTIONS, fleet, 1);
  GsQuotaAccounts *others = gs_quota_accounts_new (&OPTIONS, fleet, 7);
  int64_t now_us = 1000 * GS_US_PER_S;

  ck_assert_uint_eq (ask (others, 5, 10, now_us), 0);
  ck_assert_uint_eq (ask (accounts, 5, 10, now_us), 10);
  view.holders[1] = 7;
  view.epoch++;
  ck_assert_uint_eq (ask (accounts, 6, 10, now_us), 10);
  view.holders[1] = 8;
  view.holders[2] = 9;
  view.epoch++;
  /* the account starts anew: half of what may be lent, 24, less the 20 that are held */
  ck_assert_uint_le (ask (accounts, 7, 10, now_us), 4);
  view.alive = 12;
  view.epoch++;
  ck_assert_double_eq_tol (gs_quota_fleet_share (fleet, now_us), 0.4, 0.01);
  view.alive = 30;
  view.epoch++;
  ck_assert_double_eq_tol (gs_quota_fleet_share (fleet, now_us), 0.4, 0.01);
  ck_assert_double_eq_tol (gs_quota_fleet_share (fleet, now_us + 2 * GS_US_PER_S), 1, 0.01);
  gs_quota_accounts_free (others);
  gs_quota_accounts_free (accounts);
  gs_quota_fleet_free (fleet);
}
END_TEST

/* Guards against tokens of a lost enforcer that are granted again in the window, and against lower
 * limits that leave old tokens in the bucket. */
START_TEST (tokens_of_a_lost_enforcer_count_as_used)
{
  View view = make_view (10, 100);
  GsQuotaFleet *fleet = new_fleet (&view, true);
  GsQuotaAccounts *accounts = gs_quota_accounts_new (&OPTIONS, fleet, 1);
  int64_t now_us = 1000 * GS_US_PER_S;
  uint32_t held = ask (accounts, 5, 1000, now_us);

  ck_assert_uint_eq (held, 121); /* 100, and 0.6 of 35 */
  ck_assert_uint_eq (ask (accounts, 6, 1000, now_us), 0);
  /* the limit of the window, less what is reserved: 150 + 0.75 of 35 */
  ck_assert_uint_le (held + ask (accounts, 6, 1000, now_us + 3 * GS_US_PER_S), 176);
  view.limit = (GsQuotaLimit){ 1, 0 };
  ck_assert_uint_eq (ask (accounts, 8, 1000, now_us + 30 * GS_US_PER_S), 12); /* 0.6 of 20.5 */
  gs_quota_accounts_free (accounts);
  gs_quota_fleet_free (fleet);
}
END_TEST

/* Delivers the enforcer's reports to the accounts of the daemons in UP, a bit set. */
static void
exchange (GsQuotaEnforcer *enforcer, GsQuotaAccounts *const *accounts, uint32_t up, int64_t now_us)
{
  GsQuotaReport report;
  uint64_t to;

  gs_quota_enforcer_flush (enforcer, now_us);
  while (gs_quota_enforcer_next_report (enforcer, &to, &report))
    {
      GsQuotaReply reply;
      if ((up >> to & 1) != 0)
        {
          gs_quota_accounts_receive (accounts[to - 1], &report, now_us, &reply);
          gs_quota_enforcer_receive (enforcer, &reply, now_us);
          g_free (reply.grants);
        }
      g_free (report.demands);
    }
}

/* Guards against requests refused before the account holders have replied, against a lost holder
 * that stops a workspace, and against an enforcer alone that uses more than its part. */
START_TEST (an_enforcer_needs_a_majority)
{
  View view = make_view (100, 100);
  GsQuotaFleet *fleet = new_fleet (&view, true);
  GsQuotaAccounts *accounts[GS_QUOTA_HOLDERS];
  GsQuotaEnforcer *enforcer = gs_quota_enforcer_new (&OPTIONS, fleet, 5, 7);
  int64_t now_us = 1000 * GS_US_PER_S;
  uint32_t retry_after_ms = 0;
  int admitted = 0;

  for (uint64_t i = 0; i < GS_QUOTA_HOLDERS; i++)
    accounts[i] = gs_quota_accounts_new (&OPTIONS, fleet, i + 1);
  ck_assert_int_eq (gs_quota_enforcer_admit (enforcer, 9, true, now_us, &retry_after_ms),
                    GS_QUOTA_WAIT);
  exchange (enforcer, accounts, 1U << 2 | 1U << 3, now_us); /* the first holder is lost */
  ck_assert_int_eq (gs_quota_enforcer_admit (enforcer, 9, false, now_us, &retry_after_ms),
                    GS_QUOTA_ADMITTED);
  for (int i = 0; i < 1000; i++, now_us += GS_US_PER_MS)
    {
      admitted += gs_quota_enforcer_admit (enforcer, 9, true, now_us, &retry_after_ms)
                          == GS_QUOTA_ADMITTED
                      ? 1
                      : 0;
      exchange (enforcer, accounts, 1U << 2 | 1U << 3, now_us);
    }
  ck_assert_int_ge (admitted, 190); /* burst and rate; beyond that the account is empty */
  ck_assert_int_le (admitted, 250);
  ck_assert_uint_gt (retry_after_ms, 0);
  now_us += 2 * GS_US_PER_S;
  admitted = 0;
  for (int i = 0; i < 5000; i++, now_us += GS_US_PER_MS)
    {
      admitted += gs_quota_enforcer_admit (enforcer, 9, true, now_us, &retry_after_ms)
                          == GS_QUOTA_ADMITTED
                      ? 1
                      : 0;
      exchange (enforcer, accounts, 1U << 3, now_us);
    }
  ck_assert_int_le (admitted, 2); /* 0.15 of the overshoot, divided by 30 */
  for (int i = 0; i < GS_QUOTA_HOLDERS; i++)
    gs_quota_accounts_free (accounts[i]);
  gs_quota_enforcer_free (enforcer);
  gs_quota_fleet_free (fleet);
}
END_TEST

/* Counts what a scheduler charges. */
typedef struct
{
  GsAdmission parent;
  int admitted;
  int started;
  int refunded;
  int returned;
} Counting;

static GsAdmissionVerdict
count_admit (GsAdmission *self, const GsSlotRequest *request, int64_t now_us, uint32_t *after_ms)
{
  (void)request;
  (void)now_us;
  (void)after_ms;
  ((Counting *)self)->admitted++;
  return GS_ADMISSION_ADMITTED;
}

static void
count_withdraw (GsAdmission *self, uint64_t origin, uint64_t token)
{
  (void)self;
  (void)origin;
  (void)token;
}

static void
count_started (GsAdmission *self, uint64_t workspace)
{
  ck_assert_uint_eq (workspace, 9);
  ((Counting *)self)->started++;
}

static void
count_refund (GsAdmission *self, uint64_t workspace, bool started)
{
  ck_assert_uint_eq (workspace, 9);
  ((Counting *)self)->refunded += started ? 0 : 1;
  ((Counting *)self)->returned += started ? 1 : 0;
}

static const GsAdmissionClass counting_class = { .admit = count_admit,
                                                 .withdraw = count_withdraw,
                                                 .started = count_started,
                                                 .refund = count_refund };

/* Guards against requests that are charged and never run, charged twice, or not charged. */
START_TEST (scheduler_refunds_what_has_not_run)
{
  static const struct
  {
    GsOutcome outcome;
    bool counts;
  } results[] = { { GS_OUTCOME_OK, true },
                  { GS_OUTCOME_CLOSED, true },
                  { GS_OUTCOME_REFUSED, false },
                  { GS_OUTCOME_UNREACHABLE, false },
                  { GS_OUTCOME_CANCELLED, true } };
  GsSchedulerOptions options
      = { .pool = "p",
          .seed = 3,
          .budget = { .share_ppm = 200000, .slack = 20, .window_us = 10 * GS_US_PER_S } };
  GsRegistration upstream
      = { .id = "u", .pool = "p", .failure_domain = "d", .ipv4 = 1, .port = 1, .slots = 1 };
  int64_t now_us = 1000 * GS_US_PER_S;

  for (size_t i = 0; i < G_N_ELEMENTS (results); i++)
    {
      Counting counting = { .parent.klass = &counting_class };
      GsScheduler *scheduler = gs_scheduler_new (&options);
      GsSlotRequest request = { .origin = 1,
                                .token = 1,
                                .workspace = 9,
                                .deadline_us = now_us + GS_US_PER_S,
                                .target_us = now_us + GS_US_PER_S };
      GsSlotResult result = { .origin = 1, .token = 1, .answer_us = 1000 };
      GsSlotReply reply;
      gs_scheduler_set_admission (scheduler, &counting.parent);
      gs_scheduler_begin_update (scheduler);
      gs_scheduler_set_upstream (scheduler, &upstream, GS_REGISTRATION_SERVING, now_us, now_us);
      gs_scheduler_end_update (scheduler, now_us);
      gs_scheduler_request (scheduler, &request, now_us);
      gs_scheduler_request (scheduler, &request, now_us); /* resent */
      ck_assert (gs_scheduler_next_reply (scheduler, &reply));
      ck_assert_int_eq (reply.verdict, GS_SLOT_GRANTED);
      request.token = 2; /* waits, and is withdrawn */
      gs_scheduler_request (scheduler, &request, now_us);
      ck_assert_int_eq (counting.admitted, 2);
      gs_scheduler_release (scheduler, &(GsSlotResult){ .origin = 1, .token = 2 }, now_us);
      ck_assert_int_eq (counting.refunded, 1);
      request.token = 3; /* may have run before: counts already */
      request.counted = true;
      gs_scheduler_request (scheduler, &request, now_us);
      gs_scheduler_release (scheduler, &(GsSlotResult){ .origin = 1, .token = 3 }, now_us);
      result.grant = reply.grant;
      result.upstream = reply.upstream;
      result.outcome = results[i].outcome;
      gs_scheduler_release (scheduler, &result, now_us + 1000);
      ck_assert_int_eq (counting.admitted, 2);
      ck_assert_int_eq (counting.started, 1);
      ck_assert_int_eq (counting.refunded, 1);
      ck_assert_msg (counting.returned == (results[i].counts ? 0 : 1), "%s: returned %d",
                     gs_outcome_name (results[i].outcome), counting.returned);
      gs_scheduler_free (scheduler);
    }
}
END_TEST

/* RETURN VALUE: a daemon alone, whose tables limit workspace "acme" to 10 requests a second. */
static Fixture
limited_fixture (bool registered, bool limited)
{
  GsCoreOptions options = { .self = fixture_member ("self", "d0"),
                            .seed = 5,
                            .log_level = GS_LOG_LEVEL_NOTICE,
                            .quota = OPTIONS,
                            .retry_budget = { 200000, 20, 10 * GS_US_PER_S },
                            .first_start = true };
  Fixture fixture = { .core = gs_core_new (&options),
                      .effects = gs_effects_new (),
                      .now_us = 1000 * GS_US_PER_S };
  GsEvent log_position = { .kind = GS_EVENT_LOG_POSITION, .position = { .from_start = true } };
  GsDocument *document = fixture_tables (registered ? 0 : 3, GS_REPEAT_SAFE);

  document->pools[0].registered = registered;
  if (limited)
    {
      document->workspaces = g_new0 (GsWorkspaceRow, 1);
      document->n_workspaces = 1;
      document->workspaces[0] = (GsWorkspaceRow){
        .name = g_strdup ("acme"), .hash = gs_hash_name ("acme"), .rate_per_s = 10, .burst = 10
      };
    }
  fixture_reduce (&fixture, &log_position);
  fixture_edit (&fixture, 0, 0, document);
  return fixture;
}

static uint32_t
count_effects (const Fixture *fixture, GsEffectKind kind, int number)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < gs_effects_count (fixture->effects); i++)
    {
      const GsEffect *effect = gs_effects_get (fixture->effects, i);
      count += effect->kind == kind && (number == 0 || (int)effect->log_event.number == number) ? 1
                                                                                                : 0;
    }
  return count;
}

/* RETURN VALUE: slot requests refused as over-quota by the last event. LOGGED grows by its log
 * events. */
static int
count_refused (const Fixture *fixture, uint32_t *logged)
{
  int refused = 0;

  *logged += count_effects (fixture, GS_EFFECT_LOG_EVENT, GS_LOG_EVENT_QUOTA_REACHED);
  ck_assert_uint_eq (count_effects (fixture, GS_EFFECT_QUOTA_REPORT, 0), 0); /* it is alone */
  for (uint32_t i = 0; i < gs_effects_count (fixture->effects); i++)
    {
      const GsEffect *effect = gs_effects_get (fixture->effects, i);
      if (effect->kind != GS_EFFECT_SLOT_REPLY
          || strcmp (effect->slot_reply.reason, "over-quota") != 0)
        continue;
      ck_assert_int_eq (effect->slot_reply.verdict, GS_SLOT_REFUSED);
      ck_assert_uint_gt (effect->slot_reply.retry_after_ms, 0);
      refused++;
    }
  return refused;
}

/* Sends 200 slot requests of the workspace within 200 ms. RETURN VALUE: those refused as
 * over-quota; LOGGED gets the log events. */
static int
flood (Fixture *fixture, uint64_t workspace, uint32_t *logged)
{
  int refused = 0;

  *logged = 0;
  for (uint64_t i = 1; i <= 200; i++)
    {
      GsEvent event
          = { .kind = GS_EVENT_SLOT_REQUEST,
              .slot_request = { .from = { 2, 90 },
                                .pool = gs_core_pool_key ("w", "p"),
                                .request = { .origin = 77,
                                             .token = i,
                                             .workspace = workspace,
                                             .deadline_us = fixture->now_us + GS_US_PER_S,
                                             .target_us = fixture->now_us + GS_US_PER_S } } };
      fixture_reduce (fixture, &event);
      refused += count_refused (fixture, logged);
      fixture_tick (fixture, GS_US_PER_MS);
      refused += count_refused (fixture, logged);
    }
  for (int i = 0; i < 10; i++)
    {
      fixture_tick (fixture, 20 * GS_US_PER_MS);
      refused += count_refused (fixture, logged);
    }
  return refused;
}

/* Guards against requests limited without a row, and against a log line for each refusal. */
START_TEST (slot_requests_over_the_limit_are_refused)
{
  static const struct
  {
    bool limited;
    const char *workspace;
    int refused_min;
  } rows[]
      = { { true, "acme", 160 }, { true, "other", 0 }, { true, NULL, 0 }, { false, "acme", 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Fixture fixture = limited_fixture (true, rows[i].limited);
      GsRegistryChange change
          = { .present = true,
              .registration = { .id = "u", .pool = "p", .ipv4 = 1, .port = 1, .slots = 200 } };
      GsEvent update = {
        .kind = GS_EVENT_REGISTRY_UPDATE,
        .registry_update.update
        = { .to = 1, .store = { .available_us = INT64_MAX }, .changes = &change, .n_changes = 1 }
      };
      uint32_t logged;
      int refused;
      fixture_reduce (&fixture, &update);
      refused = flood (&fixture, rows[i].workspace != NULL ? gs_hash_name (rows[i].workspace) : 0,
                       &logged);
      ck_assert_int_ge (refused, rows[i].refused_min);
      ck_assert_int_le (refused, rows[i].refused_min == 0 ? 0 : 190);
      ck_assert_uint_eq (logged, rows[i].refused_min == 0 ? 0 : 1);
      fixture_free (&fixture);
    }
}
END_TEST

/* Guards against daemons that each hand out their part of a rate before they have met: with three
 * seeds, a third each, whatever their number. */
START_TEST (daemon_that_has_met_nobody_hands_out_next_to_nothing)
{
  Fixture fixture = limited_fixture (true, true);
  GsPeerAddress seeds[] = { { 2, 90 }, { 3, 90 }, { 4, 90 } };
  GsEvent event = { .kind = GS_EVENT_SEEDS, .seeds = { .addresses = seeds, .n = 3 } };
  GsMemberMessage message
      = { .kind = GS_MEMBER_MESSAGE_ACK, .from = fixture_member ("other", "d1") };
  GsEvent met = { .kind = GS_EVENT_MEMBER_MESSAGE, .member_message = &message };

  ck_assert_double_eq (quota_share (fixture.core), 1); /* without seeds it is alone */
  fixture_reduce (&fixture, &event);
  ck_assert_double_lt (quota_share (fixture.core), 0.001);
  fixture_tick (&fixture, 10 * GS_US_PER_S);
  ck_assert_double_lt (quota_share (fixture.core), 0.001);
  fixture_tick (&fixture, 30 * GS_US_PER_S); /* nobody is left */
  quota_share (fixture.core);
  fixture_tick (&fixture, 3 * GS_US_PER_S);
  ck_assert_double_eq_tol (quota_share (fixture.core), 1. / 3, 0.01);
  fixture_reduce (&fixture, &met);
  quota_share (fixture.core);
  fixture.now_us += 2 * GS_US_PER_S;
  fixture_reduce (&fixture, &met);
  ck_assert_double_eq_tol (quota_share (fixture.core), 2. / 3, 0.01);
  fixture_free (&fixture);
}
END_TEST

/* Dispatches a request of workspace "acme" to a pool that this daemon serves itself. RETURN VALUE:
 * its HTTP status if it is rejected, else 0. */
static uint16_t
dispatch (Fixture *fixture, uint64_t id)
{
  GsCore *core = fixture->core;
  Request *request = g_new0 (Request, 1);
  const GsPoolRow *row = gs_table_pool (gs_core_table (core), "w", "p");
  const GsEffect *effect;

  gs_effects_clear (fixture->effects);
  *request = (Request){ .id = id,
                        .pool = core_pool_state (core, row),
                        .workspace = gs_hash_name ("acme"),
                        .weight = 1,
                        .attempt_timeout_us = 400 * GS_US_PER_MS,
                        .deadline_us = fixture->now_us + 2 * GS_US_PER_S };
  core->effects = fixture->effects;
  core->now_us = fixture->now_us;
  g_hash_table_insert (core->requests, &request->id, request);
  request_dispatch (core, request);
  quota_after_event (core);
  core->effects = NULL;
  effect = fixture_find (fixture, GS_EFFECT_REJECT);
  return effect != NULL ? effect->reject.status : 0;
}

/* Ends all attempts of the last event with OUTCOME. RETURN VALUE: their number. */
static int
end_attempts (Fixture *fixture, GsOutcome outcome)
{
  uint64_t attempts[64];
  int count = 0;

  for (uint32_t i = 0; i < gs_effects_count (fixture->effects); i++)
    if (gs_effects_get (fixture->effects, i)->kind == GS_EFFECT_ATTEMPT)
      attempts[count++] = gs_effects_get (fixture->effects, i)->attempt.attempt;
  for (int i = 0; i < count; i++)
    for (uint64_t attempt = attempts[i]; attempt != 0;)
      attempt = fixture_end_attempt (fixture, attempt, outcome);
  return count;
}

/* Guards against a quota that holds only where a scheduler grants slots, and against requests that
 * never run and still count. */
START_TEST (requests_served_here_are_limited)
{
  Fixture fixture = limited_fixture (false, true);
  int over = 0;
  int served = 0;

  fixture_tick (&fixture, GS_US_PER_S);
  for (uint64_t i = 1; i <= 120; i++)
    {
      uint16_t status = dispatch (&fixture, i);
      ck_assert (status == 0 || status == 429);
      if (status == 429)
        ck_assert_uint_gt (fixture_find (&fixture, GS_EFFECT_REJECT)->reject.retry_after_ms, 0);
      over += status == 429 ? 1 : 0;
      served += end_attempts (&fixture, GS_OUTCOME_OK);
      fixture_tick (&fixture, 2 * GS_US_PER_MS);
      served += end_attempts (&fixture, GS_OUTCOME_OK);
    }
  ck_assert_int_ge (served, 10);          /* the burst */
  ck_assert_int_le (served, 10 + 16 + 3); /* what is lent, and the rate */
  ck_assert_int_ge (over, 20);
  fixture_tick (&fixture, 60 * GS_US_PER_S);
  for (uint64_t i = 200, none = 0; i <= 300; i++, none = 0) /* none runs */
    {
      ck_assert_uint_eq (dispatch (&fixture, i), 0);
      for (int k = 0; k < 5; k++)
        {
          none += (uint64_t)end_attempts (&fixture, GS_OUTCOME_UNREACHABLE);
          fixture_tick (&fixture, 20 * GS_US_PER_MS);
        }
      ck_assert_uint_le (none, 1);
      ck_assert_ptr_null (fixture_find (&fixture, GS_EFFECT_REJECT));
    }
  fixture_free (&fixture);
}
END_TEST

/* Guards against messages that change on the way, and prints their size. */
START_TEST (quota_messages_round_trip)
{
  GsQuotaDemand demands[80];
  GsQuotaGrant grants[80];
  GsWireMessage messages[2] = {
    { .kind = GS_WIRE_QUOTA_REPORT,
      .reply_to = { 1, 2 },
      .quota_report = { .enforcer = 3, .sequence = 4, .demands = demands, .n_demands = 80 } },
    { .kind = GS_WIRE_QUOTA_REPLY,
      .quota_reply = { .holder = 5, .sequence = 6, .grants = grants, .n_grants = 80 } },
  };

  for (uint32_t i = 0; i < 80; i++)
    {
      uint64_t workspace = gs_mix64 (i + 1);
      demands[i] = (GsQuotaDemand){ workspace, 7 + i, 60000 + i, 60000 + i, 60007 + i, 6 + i };
      grants[i] = (GsQuotaGrant){ workspace, 60009 + i, 50 * (i % 2) };
    }
  for (int i = 0; i < 2; i++)
    {
      g_autoptr (GBytes) bytes = gs_wire_encode (&messages[i]);
      gsize length;
      const char *data = g_bytes_get_data (bytes, &length);
      GsWireMessage decoded;
      printf ("quota message %d with 80 workspaces: %zu bytes\n", messages[i].kind, length);
      ck_assert (gs_wire_decode (&decoded, data, length));
      if (i == 0)
        {
          ck_assert_uint_eq (decoded.quota_report.n_demands, 80);
          for (uint32_t k = 0; k < 80; k++)
            {
              const GsQuotaDemand *demand = &decoded.quota_report.demands[k];
              ck_assert_uint_eq (demand->workspace, demands[k].workspace);
              ck_assert_mem_eq (&demand->session, &demands[k].session, 5 * sizeof (uint32_t));
            }
          ck_assert_mem_eq (&decoded.reply_to, &messages[0].reply_to, sizeof (GsPeerAddress));
        }
      else
        ck_assert_mem_eq (decoded.quota_reply.grants, grants, sizeof grants);
      gs_wire_clear (&decoded);
      for (gsize k = 0; k < length; k += 7) /* a part is refused */
        ck_assert (!gs_wire_decode (&decoded, data, k));
    }
  printf ("bytes of state: account %zu, enforcer %zu\n", gs_quota_account_bytes (),
          gs_quota_enforcer_bytes ());
}
END_TEST

FIXTURE_MAIN ("quota",
              &new_accounts_start_full_only_in_a_new_fleet,
              &changes_of_the_fleet_are_noticed,
              &tokens_of_a_lost_enforcer_count_as_used,
              &an_enforcer_needs_a_majority,
              &scheduler_refunds_what_has_not_run,
              &slot_requests_over_the_limit_are_refused,
              &requests_served_here_are_limited,
              &daemon_that_has_met_nobody_hands_out_next_to_nothing,
              &quota_messages_round_trip)
