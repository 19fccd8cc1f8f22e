#include "fake_pool.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "statistics.h"

enum
{
  FAKE_DAEMONS_MAX = 64,
  FAKE_UPSTREAMS_MAX = 64,
  FAKE_SLOTS_MAX = 16,
};

#define FAKE_TICK_US (10 * GS_US_PER_MS)
/** Service time of the request in a stuck slot: longer than any run. */
#define FAKE_STUCK_US (3600 * GS_US_PER_S)

typedef enum
{
  FAKE_EVENT_ARRIVAL,
  FAKE_EVENT_SERVED,
  FAKE_EVENT_TIMEOUT,
  FAKE_EVENT_TICK,
  FAKE_EVENT_MESSAGE
} FakeEventKind;

typedef struct
{
  int64_t at_us;
  uint64_t order;
  FakeEventKind kind;
  uint32_t daemon;
  uint64_t attempt;
  GsEffect *message;
} FakeEvent;

typedef struct
{
  uint32_t daemon;
  uint64_t id;
  uint64_t request;
  uint16_t upstream;
  int64_t sent_us;
  int64_t started_us;
  bool ended;   /* its outcome has reached the daemon */
  bool running; /* in a slot */
} Attempt;

typedef struct
{
  uint32_t busy; /* slots */
  GQueue queue;  /* of Attempt */
  uint64_t answers_since_fault;
} Upstream;

typedef struct
{
  FakeOptions options;
  FakeResult *result;
  GsCore *cores[FAKE_DAEMONS_MAX];
  GsEffects *effects;
  Upstream upstreams[FAKE_UPSTREAMS_MAX];
  GArray *heap;
  GHashTable *attempts_by_key; /* daemon and attempt -> Attempt */
  GHashTable *arrivals;        /* daemon and request -> arrival time */
  uint64_t next_order;
  uint64_t next_request;
  int64_t now_us;
  GsRandom random;
  bool was_ejected[FAKE_DAEMONS_MAX][FAKE_UPSTREAMS_MAX];
  bool connections_dropped[FAKE_DAEMONS_MAX]; /* idle ones, after the fault began */
  int64_t watched_us;
  GArray *waits;  /* of double */
  GArray *totals; /* of double */
} Fake;

const char *
fake_fault_name (FakeFault fault)
{
  static const char *const names[]
      = { "none",       "fail-5",     "fail-20",    "fail-100",    "slow-3", "slow-10",
          "flap",       "stuck-slot", "one-route",  "path-broken", "silent", "shedding",
          "cold-start", "pool-slow",  "pool-fails", "domain-slow" };
  return names[fault];
}

static bool
is_earlier (const FakeEvent *left, const FakeEvent *right)
{
  return left->at_us != right->at_us ? left->at_us < right->at_us : left->order < right->order;
}

static void
push (Fake *fake, FakeEvent event)
{
  GArray *heap = fake->heap;
  guint i = heap->len;

  event.order = ++fake->next_order;
  g_array_append_val (heap, event);
  while (i > 0 && is_earlier (&event, &g_array_index (heap, FakeEvent, (i - 1) / 2)))
    {
      g_array_index (heap, FakeEvent, i) = g_array_index (heap, FakeEvent, (i - 1) / 2);
      i = (i - 1) / 2;
    }
  g_array_index (heap, FakeEvent, i) = event;
}

static FakeEvent
pop (Fake *fake)
{
  GArray *heap = fake->heap;
  FakeEvent first = g_array_index (heap, FakeEvent, 0);
  FakeEvent last = g_array_index (heap, FakeEvent, heap->len - 1);
  guint i = 0;

  g_array_set_size (heap, heap->len - 1);
  for (;;)
    {
      guint child = 2 * i + 1;
      if (child >= heap->len)
        break;
      if (child + 1 < heap->len
          && is_earlier (&g_array_index (heap, FakeEvent, child + 1),
                         &g_array_index (heap, FakeEvent, child)))
        child++;
      if (!is_earlier (&g_array_index (heap, FakeEvent, child), &last))
        break;
      g_array_index (heap, FakeEvent, i) = g_array_index (heap, FakeEvent, child);
      i = child;
    }
  if (heap->len > 0)
    g_array_index (heap, FakeEvent, i) = last;
  return first;
}

static double
exponential (Fake *fake, double mean)
{
  return -log (1 - gs_random_unit (&fake->random)) * mean;
}

static bool
is_faulty (const Fake *fake, uint16_t upstream)
{
  switch (fake->options.fault)
    {
    case FAKE_NONE:
    case FAKE_PATH_BROKEN:
    case FAKE_SILENT:
    case FAKE_SHEDDING:
    case FAKE_COLD_START:
    case FAKE_POOL_SLOW:
      return false;
    case FAKE_POOL_FAILS:
      return false;
    case FAKE_DOMAIN_SLOW:
      return upstream % 3 == 0;
    default:
      return upstream == 0;
    }
}

/* Whether the fault is active and concerns UPSTREAM, which may be healthy all the same. */
static bool
is_under_fault (const Fake *fake, uint16_t upstream)
{
  if (fake->now_us < fake->options.fault_at_us || fake->options.fault == FAKE_NONE)
    return false;
  if (fake->options.fault == FAKE_POOL_SLOW || fake->options.fault == FAKE_POOL_FAILS)
    return true;
  return fake->options.fault == FAKE_DOMAIN_SLOW ? upstream % 3 == 0 : upstream == 0;
}

static double
slow_factor (const Fake *fake, uint16_t upstream)
{
  int64_t age_us = fake->now_us - fake->options.fault_at_us;

  if (!is_under_fault (fake, upstream))
    return 1;
  switch (fake->options.fault)
    {
    case FAKE_SLOW_3:
    case FAKE_POOL_SLOW:
    case FAKE_DOMAIN_SLOW:
      return 3;
    case FAKE_SLOW_10:
      return 10;
    case FAKE_COLD_START:
      return age_us < 4 * GS_US_PER_S ? 3 : 1;
    default:
      return 1;
    }
}

static double
failure_rate (const Fake *fake, const Attempt *attempt)
{
  int64_t age_us = fake->now_us - fake->options.fault_at_us;

  if (!is_under_fault (fake, attempt->upstream))
    return fake->options.background_failure_rate;
  switch (fake->options.fault)
    {
    case FAKE_FAIL_5:
      return 0.05;
    case FAKE_FAIL_20:
    case FAKE_POOL_FAILS:
      return 0.2;
    case FAKE_FAIL_100:
      return 1;
    case FAKE_FLAP:
      return age_us % (6 * GS_US_PER_S) < 3 * GS_US_PER_S ? 1
                                                          : fake->options.background_failure_rate;
    case FAKE_ONE_ROUTE:
      return attempt->request % 4 == 0 ? 1 : 0;
    case FAKE_PATH_BROKEN:
      return attempt->daemon == 0 ? 1 : fake->options.background_failure_rate;
    default:
      return fake->options.background_failure_rate;
    }
}

static uint64_t
make_key (uint32_t daemon, uint64_t id)
{
  return (uint64_t)daemon << 48 | id;
}

static void reduce (Fake *fake, uint32_t daemon, const GsEvent *event);

static void
end_attempt (Fake *fake, Attempt *attempt, GsOutcome outcome)
{
  GsEvent event = { .kind = GS_EVENT_ATTEMPT_END,
                    .now_us = fake->now_us,
                    .attempt_end = { .attempt = attempt->id,
                                     .outcome = outcome,
                                     .answer_us = fake->now_us - attempt->sent_us } };

  if (attempt->ended)
    return;
  attempt->ended = true;
  if (is_under_fault (fake, attempt->upstream) && fake->result->detection_us < 0)
    fake->upstreams[attempt->upstream].answers_since_fault++;
  reduce (fake, attempt->daemon, &event);
}

static void
start_service (Fake *fake, Attempt *attempt)
{
  double service_us
      = exponential (fake, fake->options.mean_service_us) * slow_factor (fake, attempt->upstream);
  Upstream *upstream = &fake->upstreams[attempt->upstream];
  double wait_us = (double)(fake->now_us - attempt->sent_us);

  if (fake->options.fault == FAKE_STUCK_SLOT && is_under_fault (fake, attempt->upstream)
      && upstream->answers_since_fault == 0)
    service_us = (double)FAKE_STUCK_US;
  upstream->busy++;
  attempt->running = true;
  attempt->started_us = fake->now_us;
  g_array_append_val (fake->waits, wait_us);
  push (fake, (FakeEvent){ .at_us = fake->now_us + (int64_t)service_us,
                           .kind = FAKE_EVENT_SERVED,
                           .daemon = attempt->daemon,
                           .attempt = attempt->id });
}

/* RETURN VALUE: outcome of an attempt that the upstream does not accept; GS_OUTCOME_COUNT when it
 * accepts it. */
static GsOutcome
immediate_outcome (Fake *fake, const Attempt *attempt)
{
  int64_t age_us = fake->now_us - fake->options.fault_at_us;

  if (!is_under_fault (fake, attempt->upstream))
    return GS_OUTCOME_COUNT;
  if (fake->options.fault == FAKE_SHEDDING && gs_random_unit (&fake->random) < 0.5)
    return GS_OUTCOME_REFUSED;
  if (fake->options.fault == FAKE_COLD_START && age_us < GS_US_PER_S)
    return GS_OUTCOME_UNREACHABLE;
  if (fake->options.fault == FAKE_SILENT && !fake->connections_dropped[attempt->daemon])
    return GS_OUTCOME_SILENT;
  return GS_OUTCOME_COUNT;
}

static void
send_attempt (Fake *fake, uint32_t daemon, const GsAttemptEffect *effect)
{
  Attempt *attempt = g_new0 (Attempt, 1);
  Upstream *upstream;
  GsOutcome outcome;

  *attempt = (Attempt){ .daemon = daemon,
                        .id = effect->attempt,
                        .request = effect->request,
                        .upstream = (uint16_t)(effect->port - 1),
                        .sent_us = fake->now_us };
  upstream = &fake->upstreams[attempt->upstream];
  fake->result->attempts++;
  if (is_under_fault (fake, attempt->upstream) && is_faulty (fake, attempt->upstream))
    fake->result->attempts_at_faulty++;
  g_hash_table_insert (fake->attempts_by_key,
                       g_memdup2 (&(uint64_t){ make_key (daemon, attempt->id) }, 8), attempt);
  push (fake, (FakeEvent){ .at_us = fake->now_us + effect->timeout_us,
                           .kind = FAKE_EVENT_TIMEOUT,
                           .daemon = daemon,
                           .attempt = effect->attempt });
  outcome = immediate_outcome (fake, attempt);
  if (outcome == GS_OUTCOME_SILENT)
    return; /* the timeout event ends it */
  if (outcome != GS_OUTCOME_COUNT)
    {
      attempt->running = false;
      end_attempt (fake, attempt, outcome);
      return;
    }
  if (upstream->busy < fake->options.slots)
    start_service (fake, attempt);
  else
    {
      fake->result->met_full++;
      g_queue_push_tail (&upstream->queue, attempt);
    }
}

static void
complete_attempt (Fake *fake, Attempt *attempt)
{
  Upstream *upstream = &fake->upstreams[attempt->upstream];
  bool failed = gs_random_unit (&fake->random) < failure_rate (fake, attempt);
  Attempt *next;

  upstream->busy--;
  attempt->running = false;
  end_attempt (fake, attempt, failed ? GS_OUTCOME_ERROR : GS_OUTCOME_OK);
  while ((next = g_queue_pop_head (&upstream->queue)) != NULL && next->ended)
    ;
  if (next != NULL)
    start_service (fake, next);
}

static void
record_end (Fake *fake, uint32_t daemon, uint64_t request, bool answered)
{
  uint64_t key = make_key (daemon, request);
  int64_t *arrived = g_hash_table_lookup (fake->arrivals, &key);
  double total_us = (double)(fake->now_us - *arrived);

  if (answered)
    {
      fake->result->answered++;
      fake->result->answered_first_workspace
          += fake->options.n_workspaces > 1 && request % 2 == 0 ? 1 : 0;
      g_array_append_val (fake->totals, total_us);
    }
  else
    fake->result->refused++;
  g_hash_table_remove (fake->arrivals, &key);
}

static void
send_message (Fake *fake, const GsEffect *effect)
{
  GsEffect *copy = g_memdup2 (effect, sizeof *effect);

  if (copy->kind == GS_EFFECT_MEMBER_MESSAGE)
    copy->member_message.updates = g_memdup2 (
        effect->member_message.updates, effect->member_message.n_updates * sizeof (GsMemberInfo));
  push (fake, (FakeEvent){ .at_us = fake->now_us + fake->options.message_delay_us,
                           .kind = FAKE_EVENT_MESSAGE,
                           .daemon = effect->to.ipv4 - 1,
                           .message = copy });
}

static void
apply_effect (Fake *fake, uint32_t daemon, const GsEffect *effect)
{
  switch (effect->kind)
    {
    case GS_EFFECT_ATTEMPT:
      send_attempt (fake, daemon, &effect->attempt);
      break;
    case GS_EFFECT_ANSWER:
      record_end (fake, daemon, effect->answer.request, true);
      break;
    case GS_EFFECT_REJECT:
      record_end (fake, daemon, effect->reject.request, false);
      break;
    case GS_EFFECT_DROP_CONNECTIONS:
      fake->connections_dropped[daemon] = fake->now_us >= fake->options.fault_at_us;
      break;
    case GS_EFFECT_MEMBER_MESSAGE:
    case GS_EFFECT_EVIDENCE:
    case GS_EFFECT_CRASH_UPDATE:
      send_message (fake, effect);
      break;
    default:
      break;
    }
}

static void
reduce (Fake *fake, uint32_t daemon, const GsEvent *event)
{
  GsEffects *effects = gs_effects_new ();

  gs_core_reduce (fake->cores[daemon], event, effects);
  for (uint32_t i = 0; i < gs_effects_count (effects); i++)
    apply_effect (fake, daemon, gs_effects_get (effects, i));
  gs_effects_free (effects);
}

static void
deliver (Fake *fake, uint32_t daemon, GsEffect *message)
{
  GsEvent event = { .now_us = fake->now_us };

  if (message->kind == GS_EFFECT_MEMBER_MESSAGE)
    {
      event.kind = GS_EVENT_MEMBER_MESSAGE;
      event.member_message = &message->member_message;
    }
  else if (message->kind == GS_EFFECT_EVIDENCE)
    {
      event.kind = GS_EVENT_EVIDENCE;
      event.evidence = message->evidence;
    }
  else
    {
      event.kind = GS_EVENT_CRASH_UPDATE;
      event.crash_update = message->crash_update;
    }
  reduce (fake, daemon, &event);
  if (message->kind == GS_EFFECT_MEMBER_MESSAGE)
    g_free (message->member_message.updates);
  g_free (message);
}

static void
arrive (Fake *fake)
{
  uint32_t daemon = (uint32_t)(gs_random_next (&fake->random) % fake->options.n_daemons);
  uint64_t request = ++fake->next_request;
  uint64_t key = make_key (daemon, request);
  g_autofree char *path = NULL;
  GsEvent event = { .kind = GS_EVENT_REQUEST, .now_us = fake->now_us };

  path = fake->options.n_workspaces > 1 && request % 2 == 0
             ? g_strdup ("/w0")
             : g_strdup_printf ("/w%u",
                                1 + (uint32_t)(request % MAX (fake->options.n_workspaces, 1)));
  event.request.request = request;
  event.request.host = "pool";
  event.request.path = path;
  event.request.fingerprint = gs_mix64 (request);
  fake->result->requests++;
  g_hash_table_insert (fake->arrivals, g_memdup2 (&key, sizeof key),
                       g_memdup2 (&fake->now_us, sizeof fake->now_us));
  reduce (fake, daemon, &event);
}

static void
schedule_arrival (Fake *fake)
{
  double rate = fake->options.utilization * fake->options.n_upstreams * fake->options.slots
                / fake->options.mean_service_us;
  double burst = fake->options.burstiness > 1 ? fake->options.burstiness : 1;
  double gap_us = gs_random_unit (&fake->random) < 1 / burst ? exponential (fake, burst / rate)
                                                             : 0; /* within a burst */

  push (fake, (FakeEvent){ .at_us = fake->now_us + (int64_t)gap_us, .kind = FAKE_EVENT_ARRIVAL });
}

/* Samples every daemon's view of every upstream. */
static void
measure_rotation (Fake *fake)
{
  FakeResult *result = fake->result;
  bool faulty_in_rotation = false;
  double step_s = (double)FAKE_TICK_US / GS_US_PER_S;

  for (uint32_t d = 0; d < fake->options.n_daemons; d++)
    {
      const GsPool *pool = gs_core_pool (fake->cores[d], "w", "p");
      for (uint16_t u = 0; pool != NULL && u < fake->options.n_upstreams; u++)
        {
          GsUpstreamView view;
          bool ejected;
          bool path_broken = fake->options.fault == FAKE_PATH_BROKEN && d == 0 && u == 0;
          bool cold = fake->options.fault == FAKE_COLD_START && u == 0;
          bool faulty = fake->now_us >= fake->options.fault_at_us && is_faulty (fake, u);
          gs_pool_view (pool, u, &view);
          ejected = view.state == GS_UPSTREAM_EJECTED || view.state == GS_UPSTREAM_TRIAL;
          faulty_in_rotation = faulty_in_rotation || (faulty && !ejected);
          if (ejected && !faulty && !path_broken && !cold)
            {
              result->false_ejections += fake->was_ejected[d][u] ? 0 : 1;
              result->healthy_ejected_s += step_s / fake->options.n_daemons;
            }
          fake->was_ejected[d][u] = ejected;
        }
      if (pool != NULL)
        result->min_in_rotation = MIN (result->min_in_rotation, gs_pool_in_rotation (pool));
    }
  if (fake->now_us < fake->options.fault_at_us || faulty_in_rotation || result->detection_us >= 0
      || !is_faulty (fake, 0))
    return;
  result->detection_us = fake->now_us - fake->options.fault_at_us;
  result->samples = fake->upstreams[0].answers_since_fault;
}

static void
tick (Fake *fake, uint32_t daemon)
{
  GsEvent event = { .kind = GS_EVENT_TICK, .now_us = fake->now_us };

  reduce (fake, daemon, &event);
  push (fake, (FakeEvent){ .at_us = fake->now_us + FAKE_TICK_US,
                           .kind = FAKE_EVENT_TICK,
                           .daemon = daemon });
  if (daemon == 0)
    measure_rotation (fake);
}

static GsDocument *
make_tables (const FakeOptions *options)
{
  GsDocument *document = gs_document_new ("w", 1);
  GsPoolRow *pool;

  document->pools = g_new0 (GsPoolRow, 1);
  document->n_pools = 1;
  pool = &document->pools[0];
  *pool = (GsPoolRow){ .name = g_strdup ("p"),
                       .slots = options->slots,
                       .max_connections = 300,
                       .floor_percent = options->floor_percent,
                       .homes = (uint8_t)MIN (options->n_daemons, 16),
                       .cost = options->cost,
                       .n_upstreams = options->n_upstreams,
                       .upstreams = g_new0 (GsUpstreamRow, options->n_upstreams) };
  for (uint16_t i = 0; i < options->n_upstreams; i++)
    pool->upstreams[i] = (GsUpstreamRow){
      .id = g_strdup_printf ("u%u", i), .failure_domain = "d", .ipv4 = 1, .port = (uint16_t)(i + 1)
    };
  document->n_routes = MAX (options->n_workspaces, 1) + 1;
  document->routes = g_new0 (GsRoute, document->n_routes);
  for (uint32_t i = 0; i < document->n_routes; i++)
    document->routes[i] = (GsRoute){ .name = g_strdup_printf ("r%u", i),
                                     .host = g_strdup ("pool"),
                                     .prefix = g_strdup_printf ("/w%u", i),
                                     .pool = g_strdup ("p"),
                                     .timeout_ms = options->timeout_ms,
                                     .attempt_timeout_ms = options->attempt_timeout_ms,
                                     .weight = 1 };
  return document;
}

static GsMemberInfo
make_member (uint32_t index)
{
  GsMemberInfo member = { .ipv4 = index + 1, .peer_port = 1, .incarnation = 1, .ready = 1 };

  g_snprintf (member.id, sizeof member.id, "m%u", index);
  g_snprintf (member.failure_domain, sizeof member.failure_domain, "d%u", index % 3);
  return member;
}

static void
add_members (Fake *fake, uint32_t daemon)
{
  GsMemberMessage message = { .kind = GS_MEMBER_MESSAGE_MEMBERS };
  GsEvent event
      = { .kind = GS_EVENT_MEMBER_MESSAGE, .now_us = fake->now_us, .member_message = &message };

  for (uint32_t i = 0; i < fake->options.n_daemons; i++)
    {
      message.from = make_member (i);
      if (i != daemon)
        reduce (fake, daemon, &event);
    }
}

static void
start_daemon (Fake *fake, uint32_t daemon)
{
  GsCoreOptions options = { .self = make_member (daemon),
                            .seed = gs_mix64 (fake->options.seed * 64 + daemon),
                            .detector = fake->options.detector,
                            .detector_threshold = fake->options.threshold,
                            .withhold_reports = fake->options.no_membership };
  GsEvent begin = { .kind = GS_EVENT_LOG_POSITION,
                    .now_us = fake->now_us,
                    .position = { .from_start = true } };
  GsEvent edit = { .kind = GS_EVENT_EDIT,
                   .now_us = fake->now_us,
                   .edit = { .edit = { .submission = 1,
                                       .workspace = "w",
                                       .text = "",
                                       .document = make_tables (&fake->options) } } };

  fake->cores[daemon] = gs_core_new (&options);
  reduce (fake, daemon, &begin);
  reduce (fake, daemon, &edit);
  push (fake, (FakeEvent){ .at_us = fake->now_us, .kind = FAKE_EVENT_TICK, .daemon = daemon });
}

static double
p99 (GArray *values)
{
  statistics_sort ((double *)(void *)values->data, values->len);
  return statistics_percentile (values, 0.99);
}

static void
dispatch (Fake *fake, const FakeEvent *next)
{
  uint64_t key = make_key (next->daemon, next->attempt);
  Attempt *attempt;

  switch (next->kind)
    {
    case FAKE_EVENT_ARRIVAL:
      arrive (fake);
      schedule_arrival (fake);
      break;
    case FAKE_EVENT_TICK:
      tick (fake, next->daemon);
      break;
    case FAKE_EVENT_MESSAGE:
      deliver (fake, next->daemon, next->message);
      break;
    case FAKE_EVENT_SERVED:
      attempt = g_hash_table_lookup (fake->attempts_by_key, &key);
      complete_attempt (fake, attempt);
      break;
    case FAKE_EVENT_TIMEOUT:
      attempt = g_hash_table_lookup (fake->attempts_by_key, &key);
      end_attempt (fake, attempt,
                   fake->options.fault == FAKE_SILENT && !attempt->running ? GS_OUTCOME_SILENT
                                                                           : GS_OUTCOME_TIMEOUT);
      break;
    }
}

static void
finish (Fake *fake)
{
  fake->result->wait_p99_us = p99 (fake->waits);
  fake->result->total_p99_us = p99 (fake->totals);
  for (guint i = 0; i < fake->heap->len; i++)
    {
      FakeEvent *pending = &g_array_index (fake->heap, FakeEvent, i);
      if (pending->kind != FAKE_EVENT_MESSAGE)
        continue;
      if (pending->message->kind == GS_EFFECT_MEMBER_MESSAGE)
        g_free (pending->message->member_message.updates);
      g_free (pending->message);
    }
  for (uint32_t d = 0; d < fake->options.n_daemons; d++)
    gs_core_free (fake->cores[d]);
  for (uint16_t u = 0; u < fake->options.n_upstreams; u++)
    g_queue_clear (&fake->upstreams[u].queue);
  g_array_unref (fake->heap);
  g_array_unref (fake->waits);
  g_array_unref (fake->totals);
  g_hash_table_destroy (fake->attempts_by_key);
  g_hash_table_destroy (fake->arrivals);
  g_free (fake);
}

void
fake_pool_run (const FakeOptions *options, FakeResult *result)
{
  Fake *fake = g_new0 (Fake, 1);

  *result = (FakeResult){ .detection_us = -1, .min_in_rotation = options->n_upstreams };
  fake->options = *options;
  fake->result = result;
  fake->random.state = gs_mix64 (options->seed + 77);
  fake->now_us = GS_US_PER_S;
  fake->options.fault_at_us += fake->now_us;
  fake->heap = g_array_new (FALSE, FALSE, sizeof (FakeEvent));
  fake->waits = g_array_new (FALSE, FALSE, sizeof (double));
  fake->totals = g_array_new (FALSE, FALSE, sizeof (double));
  fake->attempts_by_key = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  fake->arrivals = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (uint32_t d = 0; d < options->n_daemons; d++)
    start_daemon (fake, d);
  for (uint32_t d = 0; d < options->n_daemons && !options->no_membership; d++)
    add_members (fake, d);
  schedule_arrival (fake);
  while (fake->now_us < GS_US_PER_S + options->duration_us)
    {
      FakeEvent next = pop (fake);
      fake->now_us = next.at_us;
      dispatch (fake, &next);
    }
  finish (fake);
}
