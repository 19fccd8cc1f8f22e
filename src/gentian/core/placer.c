#include "placer.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "crash.h"
#include "durations.h"
#include "slots.h"

enum
{
  PLACER_LOST_LIMIT = 3,  /* lost connections, each at another upstream, that refuse a request */
  PLACER_CRASH_LIMIT = 2, /* the same where each upstream was found down right after */
  PLACER_CHANGES_MAX = 64,
  PLACER_RETRY_MIN_MS = 60,
  PLACER_RETRY_MAX_MS = 3000,
  PLACER_RETRY_EMPTY_MS = 400, /* no upstream is known: a registration arrives within a second */
};

/** A waiting ask that was not repeated for so long has lost its origin. */
#define PLACER_WAITING_US (1500 * GS_US_PER_MS)
/** A grant that outlives its deadline by this has lost its origin. */
#define PLACER_GRANT_GRACE_US (500 * GS_US_PER_MS)
/** Connections lost at an upstream count as its crash when it refuses connections within this. */
#define PLACER_CRASH_SPAN_US (2 * GS_US_PER_S)
/** A daemon may go on with a repeat that fails after this; a repeat's cost is then forgotten. */
#define PLACER_LOST_MEMORY_US (20 * GS_US_PER_S)
#define PLACER_CRASH_MEMORY_US (120 * GS_US_PER_S)
/** Usual durations that must fit between the end of a wait and its limit, at light load and under
 * lasting overload: durations vary. */
#define PLACER_MARGIN_LIGHT 1.3
#define PLACER_MARGIN_FULL 2.6
/** Part of the time between target and deadline into which a wait may reach at light load. */
#define PLACER_LATE_SHARE 0.8
/** Load up to which a backlog is taken to be passing, and from which it is not. */
#define PLACER_LOAD_LIGHT 0.9
#define PLACER_LOAD_FULL 1.3
/** Time over which arrivals are averaged. */
#define PLACER_ARRIVALS_S 3.0
/** A request waits for a sound upstream while this many usual durations are left to its target. */
#define PLACER_PRESSING_DURATIONS 1.3
/** Shortest wait for an answer before a request that may be repeated is tried elsewhere. */
#define PLACER_ATTEMPT_MIN_US (400 * GS_US_PER_MS)
/** An attempt that has run for so many times the limit of slow answers is given up wherever it
 * runs: a tenth of the slow answers of a sound server take longer. */
#define PLACER_STUCK_FACTOR 2
/** Durations are unknown at the start: then an attempt may take this part of the time left. */
#define PLACER_ATTEMPT_SHARE 0.6
/** Shortest time between two reports that the budget of repeats is used up. */
#define PLACER_BUDGET_TOLD_US GS_US_PER_S
/** Spread of the times at which refused requests return, as part of the wait. */
#define PLACER_RETRY_SPREAD 0.6

typedef struct
{
  GsPlaceAsk ask;
  int64_t arrived_us;
  int64_t asked_us; /* last time it was repeated */
  bool late;        /* its target cannot be met any more: others of its priority go first */
} Waiting;

typedef struct
{
  uint64_t id;
  uint64_t ask;       /* key of the ask */
  GsPlaceReply reply; /* repeated when the ask is */
  uint64_t flow;
  uint64_t fingerprint;
  int64_t started_us;
  int64_t deadline_us;
  bool judged; /* its age was held against the upstream */
} Grant;

/* A request whose connection an upstream lost, until the upstream is seen again. */
typedef struct
{
  uint64_t upstream;
  uint64_t fingerprint;
  int64_t at_us;
} Loss;

enum
{
  PLACER_LOSSES = 64,
};

struct GsPlacer
{
  GsPlacerOptions options;
  char *pool;
  GsSlots *slots;
  GsDurations durations;
  GsRepeats *repeats;
  bool budget_reached; /* a repeat was refused since the budget was reported */
  int64_t budget_told_us;
  GsCrashTracker *lost;    /* fingerprints of lost connections */
  GsCrashTracker *crashed; /* fingerprints of upstreams found down after */
  GPtrArray *waiting;      /* of Waiting, by priority and arrival */
  GHashTable *grants;      /* id -> Grant */
  GHashTable *asked;       /* key of the ask -> Grant, not owned */
  GQueue replies;          /* of GsPlaceReply */
  GQueue changes;          /* of GsBeliefChange */
  Loss losses[PLACER_LOSSES];
  uint32_t next_loss;
  uint64_t next_grant;
  GsRandom random;
  double arrivals; /* asks for a first attempt, fading */
  int64_t arrivals_us;
};

const char *
gs_place_reason (const char *reason)
{
  static const char *const reasons[] = {
    "least-expected-loss",
    "fresh-evidence",
    "idle",
    "pressing",
    "no-free-slot",
    "no-slot-in-time",
    "no-other-upstream",
    "queue-full",
    "deadline-out-of-reach",
    "crashes-upstreams",
    "repeat-budget",
    "no-upstream",
    "attempt-may-finish",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (strcmp (reasons[i], reason) == 0)
      return reasons[i];
  return "other";
}

GsPlacer *
gs_placer_new (const GsPlacerOptions *options)
{
  GsPlacer *placer = g_new0 (GsPlacer, 1);
  GsCrashTrackerOptions lost
      = { .limit = PLACER_LOST_LIMIT, .retention_us = PLACER_LOST_MEMORY_US };
  GsCrashTrackerOptions crashed
      = { .limit = PLACER_CRASH_LIMIT, .retention_us = PLACER_CRASH_MEMORY_US };

  placer->options = *options;
  placer->pool = g_strdup (options->pool);
  placer->slots = gs_slots_new (gs_mix64 (options->seed + 1));
  placer->repeats = gs_repeats_new (&options->budget);
  placer->lost = gs_crash_tracker_new (&lost);
  placer->crashed = gs_crash_tracker_new (&crashed);
  placer->waiting = g_ptr_array_new_with_free_func (g_free);
  placer->grants = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  placer->asked = g_hash_table_new (g_int64_hash, g_int64_equal);
  placer->random.state = options->seed;
  placer->next_grant = gs_mix64 (options->seed + 2);
  g_queue_init (&placer->replies);
  g_queue_init (&placer->changes);
  return placer;
}

void
gs_placer_free (GsPlacer *placer)
{
  if (placer == NULL)
    return;
  gs_slots_free (placer->slots);
  gs_repeats_free (placer->repeats);
  gs_crash_tracker_free (placer->lost);
  gs_crash_tracker_free (placer->crashed);
  g_ptr_array_unref (placer->waiting);
  g_hash_table_destroy (placer->asked);
  g_hash_table_destroy (placer->grants);
  g_queue_clear_full (&placer->replies, g_free);
  g_queue_clear_full (&placer->changes, g_free);
  g_free (placer->pool);
  g_free (placer);
}

void
gs_placer_set_slack (GsPlacer *placer, uint32_t slack)
{
  gs_repeats_set_slack (placer->repeats, slack);
}

void
gs_placer_begin_update (GsPlacer *placer)
{
  gs_slots_begin_update (placer->slots);
}

void
gs_placer_set_upstream (GsPlacer *placer,
                        const GsRegistration *registration,
                        GsRegisteredState state,
                        int64_t read_us,
                        int64_t now_us)
{
  gs_slots_set (placer->slots, registration, state, read_us, now_us);
}

static void
push_reply (GsPlacer *placer, const GsPlaceReply *reply)
{
  g_queue_push_tail (&placer->replies, g_memdup2 (reply, sizeof *reply));
}

static GsPlaceReply
reply_to (const GsPlacer *placer, const GsPlaceAsk *ask, GsPlaceVerdict verdict, const char *reason)
{
  return (GsPlaceReply){ .origin = ask->origin,
                         .token = ask->token,
                         .verdict = verdict,
                         .reason = reason,
                         .waiting = (uint16_t)MIN (placer->waiting->len, UINT16_MAX) };
}

/* When a slot should be free again for the requests that already wait. */
static int64_t
expected_wait_us (const GsPlacer *placer, const GsPlaceAsk *ask, int64_t now_us)
{
  uint32_t capacity = gs_slots_capacity (placer->slots, now_us);
  uint32_t ahead = 1;

  for (guint i = 0; i < placer->waiting->len; i++)
    {
      const Waiting *waiting = g_ptr_array_index (placer->waiting, i);
      ahead += waiting->ask.priority <= ask->priority ? 1 : 0;
    }
  return gs_durations_overall_us (&placer->durations) * ahead / MAX (capacity, 1);
}

/* Refused requests return spread over the time in which slots come free. */
static uint32_t
retry_after_ms (GsPlacer *placer, int64_t wait_us)
{
  double spread
      = 1 - PLACER_RETRY_SPREAD / 2 + PLACER_RETRY_SPREAD * gs_random_unit (&placer->random);
  double wait_ms = (double)wait_us / (double)GS_US_PER_MS * spread;

  return (uint32_t)CLAMP (wait_ms, PLACER_RETRY_MIN_MS, PLACER_RETRY_MAX_MS);
}

static void
refuse (GsPlacer *placer,
        const GsPlaceAsk *ask,
        const char *reason,
        uint32_t after_ms,
        int64_t now_us)
{
  GsPlaceReply reply = reply_to (placer, ask, GS_PLACE_REFUSED, reason);

  reply.retry_after_ms = after_ms;
  push_reply (placer, &reply);
  if (ask->running == 0)
    gs_slots_note_served (placer->slots, false, now_us);
}

static int64_t
attempt_timeout_us (const GsPlacer *placer, const GsPlaceAsk *ask, int64_t now_us)
{
  int64_t left_us = ask->deadline_us - now_us;
  int64_t slow_us = gs_durations_slow_us (&placer->durations, ask->flow);

  if (ask->repeat != GS_REPEAT_SAFE || ask->last)
    return left_us;
  if (slow_us == INT64_MAX)
    return (int64_t)((double)left_us * PLACER_ATTEMPT_SHARE);
  return MIN (left_us, MAX (slow_us, PLACER_ATTEMPT_MIN_US));
}

static uint64_t
ask_key (uint64_t origin, uint64_t token)
{
  return gs_mix64 (origin ^ gs_mix64 (token));
}

static void
add_grant (GsPlacer *placer, const GsPlaceAsk *ask, const GsPlaceReply *reply, int64_t now_us)
{
  Grant *grant = g_new0 (Grant, 1);

  if (!ask->again) /* an ask may come here and to another home, its grant counts at one */
    gs_repeats_note (placer->repeats, now_us);
  *grant = (Grant){ .id = reply->grant,
                    .ask = ask_key (ask->origin, ask->token),
                    .reply = *reply,
                    .flow = ask->flow,
                    .fingerprint = ask->fingerprint,
                    .started_us = now_us,
                    .deadline_us = ask->deadline_us };
  g_hash_table_insert (placer->grants, &grant->id, grant);
  g_hash_table_replace (placer->asked, &grant->ask, grant);
}

/* Forgets what is kept of the ask; the grant itself stays. */
static void
forget_asked (GsPlacer *placer, const Grant *grant)
{
  if (g_hash_table_lookup (placer->asked, &grant->ask) == grant)
    g_hash_table_remove (placer->asked, &grant->ask);
}

/* Whether a request cannot wait for a better upstream any longer. */
static bool
is_pressing (const GsPlacer *placer, const GsPlaceAsk *ask, int64_t now_us)
{
  double needed_us
      = PLACER_PRESSING_DURATIONS * (double)gs_durations_mean_us (&placer->durations, ask->flow);

  return now_us + (int64_t)needed_us > ask->target_us;
}

static bool
try_grant (GsPlacer *placer, const Waiting *waiting, int64_t now_us)
{
  const GsPlaceAsk *ask = &waiting->ask;
  GsSlotChoice choice = { .now_us = now_us,
                          .origin = ask->origin,
                          .domain = ask->domain,
                          .bytes = gs_durations_bytes (&placer->durations, ask->flow),
                          .repeatable = ask->repeat == GS_REPEAT_SAFE && !ask->last,
                          .pressing = is_pressing (placer, ask, now_us),
                          .crowded = placer->waiting->len > 1,
                          .no_look = ask->running != 0,
                          .tried = ask->tried,
                          .n_tried = ask->n_tried };
  GsSlotChosen chosen;
  GsPlaceReply reply;

  if (!gs_slots_choose (placer->slots, &choice, &chosen))
    return false;
  reply = reply_to (placer, ask, GS_PLACE_GRANTED, chosen.reason);
  reply.grant = ++placer->next_grant;
  reply.upstream = chosen.key;
  g_strlcpy (reply.upstream_id, chosen.id, sizeof reply.upstream_id);
  reply.ipv4 = chosen.ipv4;
  reply.port = chosen.port;
  reply.attempt_timeout_us = attempt_timeout_us (placer, ask, now_us);
  reply.failing_ppm = (uint32_t)(chosen.failing * 1e6);
  reply.evidence_age_ms
      = chosen.evidence_age_us < 0 ? UINT32_MAX : (uint32_t)(chosen.evidence_age_us / GS_US_PER_MS);
  reply.outstanding = (uint16_t)(chosen.outstanding + 1);
  reply.waited_us = now_us - waiting->arrived_us;
  gs_slots_take (placer->slots, chosen.key, now_us);
  add_grant (placer, ask, &reply, now_us);
  push_reply (placer, &reply);
  return true;
}

/* RETURN VALUE: why a waiting ask is hopeless, or NULL. */
static const char *
hopeless (const GsPlacer *placer, const GsPlaceAsk *ask, int64_t now_us)
{
  if (now_us + gs_durations_mean_us (&placer->durations, ask->flow) > ask->deadline_us)
    return "deadline-out-of-reach";
  if (gs_slots_usable (placer->slots, ask->tried, ask->n_tried) == 0)
    return ask->n_tried > 0 ? "no-other-upstream" : "no-upstream";
  return NULL;
}

static uint32_t
retry_for (GsPlacer *placer, const GsPlaceAsk *ask, int64_t now_us)
{
  if (gs_slots_usable (placer->slots, NULL, 0) == 0)
    return PLACER_RETRY_EMPTY_MS;
  return retry_after_ms (placer, expected_wait_us (placer, ask, now_us));
}

static void
serve_waiting (GsPlacer *placer, int64_t now_us)
{
  for (guint i = 0; i < placer->waiting->len;)
    {
      Waiting *waiting = g_ptr_array_index (placer->waiting, i);
      const char *reason = hopeless (placer, &waiting->ask, now_us);
      if (reason != NULL)
        refuse (placer, &waiting->ask, reason, retry_for (placer, &waiting->ask, now_us), now_us);
      else if (now_us - waiting->asked_us <= PLACER_WAITING_US
               && !try_grant (placer, waiting, now_us))
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (placer->waiting, i);
    }
}

void
gs_placer_end_update (GsPlacer *placer, int64_t now_us)
{
  gs_slots_end_update (placer->slots);
  serve_waiting (placer, now_us);
}

static Waiting *
find_waiting (const GsPlacer *placer, uint64_t origin, uint64_t token)
{
  for (guint i = 0; i < placer->waiting->len; i++)
    {
      Waiting *waiting = g_ptr_array_index (placer->waiting, i);
      if (waiting->ask.origin == origin && waiting->ask.token == token)
        return waiting;
    }
  return NULL;
}

static Grant *
find_grant (const GsPlacer *placer, uint64_t origin, uint64_t token)
{
  uint64_t key = ask_key (origin, token);

  return g_hash_table_lookup (placer->asked, &key);
}

/* Answers an ask that is known. RETURN VALUE: false when it is new. */
static bool
answer_again (GsPlacer *placer, const GsPlaceAsk *ask, int64_t now_us)
{
  Waiting *waiting = find_waiting (placer, ask->origin, ask->token);
  Grant *grant = waiting == NULL ? find_grant (placer, ask->origin, ask->token) : NULL;

  if (waiting != NULL)
    {
      GsPlaceReply reply = reply_to (placer, ask, GS_PLACE_WAITING, "no-free-slot");
      waiting->asked_us = now_us;
      push_reply (placer, &reply);
    }
  else if (grant != NULL)
    push_reply (placer, &grant->reply);
  return waiting != NULL || grant != NULL;
}

/* Whether the answer will be late even if the request starts now. */
static bool
is_late (const GsPlacer *placer, const GsPlaceAsk *ask, int64_t now_us)
{
  return now_us + gs_durations_mean_us (&placer->durations, ask->flow) > ask->target_us;
}

static void
insert_waiting (GsPlacer *placer, const Waiting *entry)
{
  guint place = placer->waiting->len;

  while (place > 0)
    {
      const Waiting *before = g_ptr_array_index (placer->waiting, place - 1);
      if (before->ask.priority < entry->ask.priority
          || (before->ask.priority == entry->ask.priority && before->late <= entry->late))
        break;
      place--;
    }
  g_ptr_array_insert (placer->waiting, (gint)place, g_memdup2 (entry, sizeof *entry));
}

/* Work that arrives over the work that the pool's sound upstreams can do. */
static double
load_of (const GsPlacer *placer, int64_t now_us)
{
  double passed_s = (double)(now_us - placer->arrivals_us) / (double)GS_US_PER_S;
  double per_s = placer->arrivals * exp (-passed_s / PLACER_ARRIVALS_S) / PLACER_ARRIVALS_S;
  double work_s = (double)gs_durations_overall_us (&placer->durations) / (double)GS_US_PER_S;

  return per_s * work_s / MAX (gs_slots_capacity (placer->slots, now_us), 1);
}

/* Whether a backlog will go away by itself: 1 at light load, 0 under lasting overload. */
static double
room_of (const GsPlacer *placer, int64_t now_us)
{
  double load = load_of (placer, now_us);

  return CLAMP ((PLACER_LOAD_FULL - load) / (PLACER_LOAD_FULL - PLACER_LOAD_LIGHT), 0, 1);
}

/*
 * Why an ask that waits should not: it would not be answered in time. NULL: it may wait. A backlog
 * that will go away is worth waiting out beyond the target, since a late answer is an answer. Under
 * lasting overload every request served late is one not served in time, and none is gained.
 */
static const char *
why_not_wait (const GsPlacer *placer, const GsPlaceAsk *ask, int64_t now_us)
{
  double room = room_of (placer, now_us);
  double usual_us = (double)gs_durations_mean_us (&placer->durations, ask->flow);
  double margin_us
      = usual_us * (PLACER_MARGIN_FULL - (PLACER_MARGIN_FULL - PLACER_MARGIN_LIGHT) * room);
  double late_us = (double)(ask->deadline_us - ask->target_us) * PLACER_LATE_SHARE * room;
  int64_t done_us = now_us + expected_wait_us (placer, ask, now_us) + (int64_t)margin_us;

  if (placer->waiting->len > GS_PLACE_WAITING_MAX)
    return "queue-full";
  return done_us > ask->target_us + (int64_t)late_us ? "no-slot-in-time" : NULL;
}

/* Decides about an ask that got no slot at once: it waits, or is refused. */
static void
wait_or_refuse (GsPlacer *placer, Waiting *waiting, int64_t now_us)
{
  const char *reason = why_not_wait (placer, &waiting->ask, now_us);
  GsPlaceReply reply;

  if (reason != NULL)
    {
      refuse (placer, &waiting->ask, reason, retry_for (placer, &waiting->ask, now_us), now_us);
      g_ptr_array_remove (placer->waiting, waiting);
      return;
    }
  reply = reply_to (placer, &waiting->ask, GS_PLACE_WAITING, "no-free-slot");
  push_reply (placer, &reply);
}

static void
report_turn (GsPlacer *placer, const GsSlotTurn *turn, GsOutcome outcome, bool by_age)
{
  GsBeliefChange change = { .failing = turn->failing,
                            .failing_ppm = (uint32_t)(turn->probability * 1e6),
                            .outcome = outcome,
                            .by_age = by_age };

  if (placer->changes.length >= PLACER_CHANGES_MAX)
    return;
  g_strlcpy (change.upstream_id, turn->id, sizeof change.upstream_id);
  g_queue_push_tail (&placer->changes, g_memdup2 (&change, sizeof change));
}

/* Holds the age of a running attempt against its upstream, once. */
static void
judge_age (GsPlacer *placer, Grant *grant, int64_t now_us)
{
  GsSlotTurn turn;

  if (grant->judged
      || now_us - grant->started_us <= gs_durations_slow_us (&placer->durations, grant->flow))
    return;
  grant->judged = true;
  if (gs_slots_observe (placer->slots, grant->reply.upstream, grant->reply.origin,
                        GS_OBSERVATION_SLOW, now_us, &turn))
    report_turn (placer, &turn, GS_OUTCOME_TIMEOUT, true);
}

/*
 * Whether a late attempt is better begun anew elsewhere. Most late ones are long requests, which
 * would take as long anywhere; so its upstream must be suspected, or the attempt be far too old.
 */
static bool
is_stuck (GsPlacer *placer, uint64_t running, int64_t now_us)
{
  Grant *grant = g_hash_table_lookup (placer->grants, &running);
  int64_t slow_us;

  if (grant == NULL)
    return true; /* of another placer: nothing is known of it here */
  judge_age (placer, grant, now_us);
  slow_us = gs_durations_slow_us (&placer->durations, grant->flow);
  return slow_us == INT64_MAX /* too little is known of such requests */
         || gs_slots_suspects (placer->slots, grant->reply.upstream, now_us)
         || (now_us - grant->started_us) / PLACER_STUCK_FACTOR > slow_us;
}

/* RETURN VALUE: why the request must not be placed at all, or NULL. */
static const char *
why_not_place (GsPlacer *placer, const GsPlaceAsk *ask, int64_t now_us)
{
  if (gs_crash_tracker_must_refuse (placer->crashed, ask->fingerprint, now_us)
      || gs_crash_tracker_must_refuse (placer->lost, ask->fingerprint, now_us))
    return "crashes-upstreams";
  if (ask->running != 0 && !is_stuck (placer, ask->running, now_us))
    return "attempt-may-finish";
  if (ask->again && !gs_repeats_spend (placer->repeats, now_us))
    {
      placer->budget_reached = true;
      return "repeat-budget";
    }
  return NULL;
}

static void
note_arrival (GsPlacer *placer, int64_t now_us)
{
  double passed_s = (double)(now_us - placer->arrivals_us) / (double)GS_US_PER_S;

  placer->arrivals = placer->arrivals * exp (-passed_s / PLACER_ARRIVALS_S) + 1;
  placer->arrivals_us = now_us;
}

void
gs_placer_ask (GsPlacer *placer, const GsPlaceAsk *ask, int64_t now_us)
{
  Waiting entry = { .ask = *ask, .arrived_us = now_us, .asked_us = now_us };
  const char *reason;
  Waiting *waiting;

  if (answer_again (placer, ask, now_us))
    return;
  entry.late = is_late (placer, ask, now_us);
  if (!ask->again)
    note_arrival (placer, now_us);
  reason = why_not_place (placer, ask, now_us);
  if (reason != NULL)
    {
      refuse (placer, ask, reason, 0, now_us);
      return;
    }
  insert_waiting (placer, &entry);
  serve_waiting (placer, now_us);
  waiting = find_waiting (placer, ask->origin, ask->token);
  if (waiting != NULL)
    wait_or_refuse (placer, waiting, now_us);
}

static void
note_loss (GsPlacer *placer, uint64_t upstream, uint64_t fingerprint, int64_t now_us)
{
  placer->losses[placer->next_loss++ % PLACER_LOSSES]
      = (Loss){ .upstream = upstream, .fingerprint = fingerprint, .at_us = now_us };
  gs_crash_tracker_add_suspect (placer->lost, fingerprint, upstream, now_us);
}

/* The upstream refuses connections: what it lost just before may have crashed it. */
static void
confirm_losses (GsPlacer *placer, uint64_t upstream, int64_t now_us)
{
  for (int i = 0; i < PLACER_LOSSES; i++)
    {
      Loss *loss = &placer->losses[i];
      if (loss->upstream != upstream || loss->at_us == 0
          || now_us - loss->at_us > PLACER_CRASH_SPAN_US)
        continue;
      gs_crash_tracker_add_suspect (placer->crashed, loss->fingerprint, upstream, now_us);
      loss->at_us = 0;
    }
}

/* What an attempt's end tells of its upstream. RETURN VALUE: false when it tells nothing. */
static bool
sign_of (GsPlacer *placer, const GsPlaceEnd *end, const Grant *grant, GsObservation *sign)
{
  switch (end->outcome)
    {
    case GS_OUTCOME_OK:
      *sign = end->answer_us > gs_durations_slow_us (&placer->durations, end->flow)
                  ? GS_OBSERVATION_SLOW
                  : GS_OBSERVATION_ANSWER;
      return *sign == GS_OBSERVATION_ANSWER || grant == NULL || !grant->judged;
    case GS_OUTCOME_ERROR:
      *sign = GS_OBSERVATION_ERROR;
      return true;
    case GS_OUTCOME_CLOSED:
    case GS_OUTCOME_CRASHED:
    case GS_OUTCOME_TRUNCATED:
      *sign = GS_OBSERVATION_LOST;
      return true;
    case GS_OUTCOME_UNREACHABLE:
      *sign = GS_OBSERVATION_UNREACHABLE;
      return true;
    case GS_OUTCOME_TIMEOUT:
    case GS_OUTCOME_SILENT:
      *sign = GS_OBSERVATION_SLOW;
      return grant == NULL || !grant->judged;
    default:
      return false;
    }
}

static void
note_consequences (GsPlacer *placer, const GsPlaceEnd *end, const Grant *grant, int64_t now_us)
{
  switch (end->outcome)
    {
    case GS_OUTCOME_OK:
    case GS_OUTCOME_ERROR:
      gs_durations_note (&placer->durations,
                         &(GsDurationSample){
                             .flow = end->flow, .answer_us = end->answer_us, .bytes = end->bytes },
                         now_us);
      if (grant != NULL)
        {
          gs_crash_tracker_clear_suspect (placer->lost, grant->fingerprint);
          gs_crash_tracker_clear_suspect (placer->crashed, grant->fingerprint);
        }
      break;
    case GS_OUTCOME_CLOSED:
    case GS_OUTCOME_CRASHED:
      if (grant != NULL)
        note_loss (placer, end->upstream, grant->fingerprint, now_us);
      break;
    case GS_OUTCOME_UNREACHABLE:
      confirm_losses (placer, end->upstream, now_us);
      break;
    case GS_OUTCOME_LEAVING:
    case GS_OUTCOME_MISDIRECTED:
      gs_slots_exclude (placer->slots, end->upstream);
      break;
    default:
      break;
    }
}

static void
observe_end (GsPlacer *placer, const GsPlaceEnd *end, const Grant *grant, int64_t now_us)
{
  GsSlotTurn turn;
  GsObservation sign;

  if (sign_of (placer, end, grant, &sign)
      && gs_slots_observe (placer->slots, end->upstream, end->origin, sign, now_us, &turn))
    report_turn (placer, &turn, end->outcome, false);
  note_consequences (placer, end, grant, now_us);
  if (end->outcome <= GS_OUTCOME_REFUSED)
    gs_slots_note_shed (placer->slots, end->upstream, end->outcome == GS_OUTCOME_REFUSED, now_us);
  if (end->has_load)
    gs_slots_note_load (placer->slots, end->upstream, end->running, end->waiting, now_us);
  if (end->outcome != GS_OUTCOME_CANCELLED)
    gs_slots_note_served (placer->slots, end->outcome == GS_OUTCOME_OK, now_us);
}

static void
forget_ask (GsPlacer *placer, uint64_t origin, uint64_t token)
{
  Waiting *waiting = find_waiting (placer, origin, token);

  if (waiting != NULL)
    g_ptr_array_remove (placer->waiting, waiting);
}

void
gs_placer_end (GsPlacer *placer, const GsPlaceEnd *end, int64_t now_us)
{
  Grant *grant;

  if (end->grant == 0)
    {
      grant = find_grant (placer, end->origin, end->token);
      forget_ask (placer, end->origin, end->token);
    }
  else
    grant = g_hash_table_lookup (placer->grants, &end->grant);
  if (grant != NULL)
    gs_slots_release (placer->slots, grant->reply.upstream);
  if (end->grant != 0)
    observe_end (placer, end, grant, now_us);
  if (grant != NULL)
    {
      forget_asked (placer, grant);
      g_hash_table_remove (placer->grants, &grant->id);
    }
  serve_waiting (placer, now_us);
}

void
gs_placer_tick (GsPlacer *placer, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placer->grants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Grant *grant = value;
      judge_age (placer, grant, now_us);
      if (now_us <= grant->deadline_us + PLACER_GRANT_GRACE_US)
        continue;
      gs_slots_release (placer->slots, grant->reply.upstream);
      forget_asked (placer, grant);
      g_hash_table_iter_remove (&iter);
    }
  serve_waiting (placer, now_us);
}

bool
gs_placer_next (GsPlacer *placer, GsPlaceReply *reply)
{
  g_autofree GsPlaceReply *next = g_queue_pop_head (&placer->replies);

  if (next == NULL)
    return false;
  *reply = *next;
  return true;
}

bool
gs_placer_next_change (GsPlacer *placer, GsBeliefChange *change)
{
  g_autofree GsBeliefChange *next = g_queue_pop_head (&placer->changes);

  if (next == NULL)
    return false;
  *change = *next;
  return true;
}

bool
gs_placer_report_repeats (GsPlacer *placer, int64_t now_us, GsRepeatsAccount *account)
{
  return gs_repeats_report (placer->repeats, now_us, account);
}

void
gs_placer_take_repeats (GsPlacer *placer,
                        uint64_t origin,
                        const GsRepeatsAccount *account,
                        int64_t now_us)
{
  gs_repeats_take (placer->repeats, origin, account, now_us);
}

bool
gs_placer_next_budget (GsPlacer *placer, int64_t now_us, GsRepeatsView *view)
{
  if (!placer->budget_reached || now_us - placer->budget_told_us < PLACER_BUDGET_TOLD_US)
    return false;
  placer->budget_reached = false;
  placer->budget_told_us = now_us;
  *view = gs_repeats_view (placer->repeats, now_us);
  return true;
}

uint32_t
gs_placer_waiting (const GsPlacer *placer)
{
  return placer->waiting->len;
}

uint32_t
gs_placer_outstanding (const GsPlacer *placer)
{
  return g_hash_table_size (placer->grants);
}

uint32_t
gs_placer_usable (const GsPlacer *placer)
{
  return gs_slots_usable (placer->slots, NULL, 0);
}

bool
gs_placer_view (const GsPlacer *placer, uint32_t index, int64_t now_us, GsPlacerView *view)
{
  GsSlotChosen chosen;
  GsRegisteredState state;

  if (!gs_slots_view (placer->slots, index, now_us, &chosen, &state))
    return false;
  *view = (GsPlacerView){ .id = chosen.id,
                          .state = state,
                          .outstanding = chosen.outstanding,
                          .failing_ppm = (uint32_t)(chosen.failing * 1e6),
                          .evidence_age_us = chosen.evidence_age_us };
  return true;
}
