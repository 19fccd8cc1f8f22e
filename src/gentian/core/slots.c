#include "slots.h"

#include <glib.h>
#include <string.h>

/** Belief above which a request that may run once only avoids an upstream. */
#define SLOTS_LIMIT_ONCE 0.45
/** The same for a request that may be repeated elsewhere. */
#define SLOTS_LIMIT_REPEATABLE 0.6
/** Above this nothing is sent while anything else can serve. */
#define SLOTS_LIMIT_PRESSING 0.95
/** Belief from which an upstream counts as avoided in the log. */
#define SLOTS_TURN 0.5
/** A failing upstream fails about this share of its requests. */
#define SLOTS_FAILING_LOSS 0.75
/** What a failed attempt costs when it may be made again: time, and a repeat of the budget. */
#define SLOTS_REPEATABLE_LOSS 0.6
/** Cost of the last slot of an upstream against its first: nearly full ones get slower. */
#define SLOTS_FULL_COST 0.05
#define SLOTS_COLD_COST 0.15
#define SLOTS_DOUBTFUL_COST 0.3
/** Cost of sending a request to another failure domain. */
#define SLOTS_DOMAIN_COST 0.02
/** The same for its bytes: the users count a gigabyte between domains as 4,500 answers. At most as
 * much as a belief of two in five that a repeatable request fails. */
#define SLOTS_DOMAIN_COST_PER_MB 4.5
#define SLOTS_DOMAIN_COST_MAX 0.2
/** Breaks ties, so that equals share the work. */
#define SLOTS_NOISE 0.004
/** Time without work after which one request looks how an upstream fares: one that may be repeated
 * or any while many fail, one that may run once only, and any while requests wait for a slot. Each
 * look in a row that failed doubles it. */
#define SLOTS_REST_US (1300 * GS_US_PER_MS)
#define SLOTS_REST_ONCE_US (3 * GS_US_PER_S)
#define SLOTS_REST_CROWDED_US (500 * GS_US_PER_MS)
#define SLOTS_REST_MAX_US (5 * GS_US_PER_S)
/** The same for one that joined and had none yet. */
#define SLOTS_REST_NEW_US (800 * GS_US_PER_MS)
/** What a look at an upstream is worth that has just joined, or at a rested one while many requests
 * of the pool fail. */
#define SLOTS_COVER_GAIN 0.25
/** Share of failed requests from which every upstream must get work: most of the pool may be
 * avoided for no good reason. */
#define SLOTS_COVER_SHARE 0.09
/** Most upstreams that may be idle, as part of those that did not fail lately. In a small pool the
 * next whole number is a large step: there up to two may be, within a larger part. */
#define SLOTS_IDLE_SHARE 0.2
#define SLOTS_IDLE_SHARE_FEW 0.3
#define SLOTS_IDLE_FEW 2
/** An upstream without work for so long is idle; the rule counts from 2 s. */
#define SLOTS_IDLE_US (1000 * GS_US_PER_MS)
/** An upstream that failed within this time may be idle: it does not count as sound yet. */
#define SLOTS_FAILED_US (2 * GS_US_PER_S)
#define SLOTS_LOAD_US (300 * GS_US_PER_MS)
#define SLOTS_FULL_US (150 * GS_US_PER_MS)
#define SLOTS_PATH_US (3 * GS_US_PER_S)
/** An answer to another daemon within this time shows that the path of this one is at fault. */
#define SLOTS_PATH_PROOF_US GS_US_PER_S
/** Time over which the rate of faults is averaged. */
#define SLOTS_RATE_S 30.0
/** What is assumed before any fault was seen: half a fault in ten seconds of the pool. */
#define SLOTS_PRIOR_ONSETS 0.5
#define SLOTS_PRIOR_S 10.0
/** Cost of a refusal: the request has not run, and goes elsewhere after one more way. */
#define SLOTS_SHED_COST 0.15
/** Weight of one attempt in the moving share that an upstream refuses with slots free. */
#define SLOTS_SHED_WEIGHT 0.25
/** Time over which that share fades without attempts. */
#define SLOTS_SHED_S 3.0
/** Time over which the share of failed requests is averaged. */
#define SLOTS_SERVED_S 1.5

typedef struct
{
  uint64_t origin;
  int64_t until_us;
} BadPath;

typedef struct
{
  uint64_t key;
  GsRegistration registration;
  GsRegisteredState state;
  uint64_t domain;
  bool named; /* in the update under way */
  bool excluded;
  uint32_t outstanding;
  GsBelief belief;
  int64_t observed_us;
  int64_t answered_us;
  int64_t failed_us; /* last sign of a fault */
  int64_t used_us;   /* last request */
  int64_t warm_us;   /* cold until then */
  int64_t load_us;
  int64_t full_until_us;
  uint32_t foreign;      /* requests of others, by its own word */
  uint32_t failed_looks; /* in a row, since it counts as failing */
  double shed;           /* share of attempts refused though it had room */
  int64_t shed_us;
  BadPath paths[GS_SLOTS_PATHS];
} Upstream;

struct GsSlots
{
  GArray *upstreams; /* of Upstream */
  GsRandom random;
  GsFaultRates rates;
  double onsets; /* faults seen, fading */
  double watched_s;
  double recoveries; /* ends of faults seen, fading */
  double failing_s;  /* time that upstreams spent failing, fading */
  int64_t rates_us;
  double ends;     /* requests that ended, fading */
  double failures; /* those that were not served */
  int64_t served_us;
};

GsSlots *
gs_slots_new (uint64_t seed)
{
  GsSlots *slots = g_new0 (GsSlots, 1);

  slots->upstreams = g_array_new (FALSE, TRUE, sizeof (Upstream));
  slots->random.state = seed;
  slots->rates.recovery_per_s = 1 / GS_BELIEF_FAULT_DURATION_S;
  slots->rates.onset_per_s = SLOTS_PRIOR_ONSETS / SLOTS_PRIOR_S;
  return slots;
}

void
gs_slots_free (GsSlots *slots)
{
  if (slots == NULL)
    return;
  g_array_unref (slots->upstreams);
  g_free (slots);
}

uint64_t
gs_slots_key (const GsRegistration *registration)
{
  return gs_mix64 (gs_hash_name (registration->id) ^ gs_mix64 (registration->started_ms));
}

static Upstream *
at (const GsSlots *slots, uint32_t index)
{
  return &g_array_index (slots->upstreams, Upstream, index);
}

static Upstream *
find (const GsSlots *slots, uint64_t key)
{
  for (guint i = 0; i < slots->upstreams->len; i++)
    if (at (slots, i)->key == key)
      return at (slots, i);
  return NULL;
}

static uint32_t
failing_upstreams (const GsSlots *slots)
{
  uint32_t count = 0;

  for (guint i = 0; i < slots->upstreams->len; i++)
    count += at (slots, i)->belief.failing >= SLOTS_TURN ? 1 : 0;
  return count;
}

/* Fades what was counted and works out the rates at which faults begin and end: events over the
 * time in which they could happen, the estimate of greatest likelihood for exponential times. */
static void
update_rates (GsSlots *slots, int64_t now_us)
{
  double passed_s = (double)(now_us - slots->rates_us) / (double)GS_US_PER_S;
  double kept;

  if (slots->rates_us != 0 && passed_s > 0)
    {
      kept = exp (-passed_s / SLOTS_RATE_S);
      slots->onsets *= kept;
      slots->watched_s = slots->watched_s * kept + passed_s;
      slots->recoveries *= kept;
      slots->failing_s = slots->failing_s * kept + passed_s * failing_upstreams (slots);
    }
  slots->rates_us = MAX (now_us, slots->rates_us);
  slots->rates.onset_per_s
      = (slots->onsets + SLOTS_PRIOR_ONSETS)
        / ((slots->watched_s + SLOTS_PRIOR_S) * MAX (slots->upstreams->len, 1));
  slots->rates.recovery_per_s
      = (slots->recoveries + 1) / (slots->failing_s + GS_BELIEF_FAULT_DURATION_S);
}

void
gs_slots_begin_update (GsSlots *slots)
{
  for (guint i = 0; i < slots->upstreams->len; i++)
    at (slots, i)->named = false;
}

static Upstream *
add (GsSlots *slots, uint64_t key, int64_t now_us)
{
  Upstream upstream = { .key = key, .belief = gs_belief_new (&slots->rates, now_us) };

  upstream.used_us = now_us;
  g_array_append_val (slots->upstreams, upstream);
  return at (slots, slots->upstreams->len - 1);
}

void
gs_slots_set (GsSlots *slots,
              const GsRegistration *registration,
              GsRegisteredState state,
              int64_t read_us,
              int64_t now_us)
{
  uint64_t key = gs_slots_key (registration);
  Upstream *upstream = find (slots, key);

  if (upstream == NULL)
    {
      if (slots->upstreams->len >= GS_SLOTS_UPSTREAMS_MAX)
        return;
      upstream = add (slots, key, now_us);
    }
  upstream->named = true;
  upstream->registration = *registration;
  upstream->state = state;
  upstream->domain = gs_hash_name (registration->failure_domain);
  upstream->warm_us = read_us + (int64_t)registration->warmup_left_ms * GS_US_PER_MS;
}

void
gs_slots_end_update (GsSlots *slots)
{
  for (guint i = slots->upstreams->len; i > 0; i--)
    if (!at (slots, i - 1)->named)
      g_array_remove_index (slots->upstreams, i - 1);
}

static bool
is_usable (const Upstream *upstream)
{
  return !upstream->excluded
         && (upstream->state == GS_REGISTERED_SERVING || upstream->state == GS_REGISTERED_DOUBTFUL);
}

static bool
has_bad_path (const Upstream *upstream, uint64_t origin, int64_t now_us)
{
  for (int i = 0; i < GS_SLOTS_PATHS; i++)
    if (upstream->paths[i].origin == origin && upstream->paths[i].until_us > now_us)
      return true;
  return false;
}

static uint32_t
used_slots (const Upstream *upstream, int64_t now_us)
{
  uint32_t foreign = now_us - upstream->load_us < SLOTS_LOAD_US ? upstream->foreign : 0;

  return upstream->outstanding + foreign;
}

static bool
has_room (const Upstream *upstream, int64_t now_us)
{
  return upstream->full_until_us <= now_us
         && used_slots (upstream, now_us) < upstream->registration.slots;
}

static bool
is_among (uint64_t key, const uint64_t *keys, uint8_t n_keys)
{
  for (uint8_t i = 0; i < n_keys; i++)
    if (keys[i] == key)
      return true;
  return false;
}

static bool
is_excluded (const Upstream *upstream, const GsSlotChoice *choice)
{
  return !is_usable (upstream) || has_bad_path (upstream, choice->origin, choice->now_us)
         || is_among (upstream->key, choice->tried, choice->n_tried);
}

static double
failed_share (const GsSlots *slots)
{
  return slots->ends > 4 ? slots->failures / slots->ends : 0;
}

/* How long an upstream without work is left alone until one request looks how it fares. */
static int64_t
rest_us (const GsSlots *slots, const Upstream *upstream, const GsSlotChoice *choice)
{
  int64_t rest = SLOTS_REST_ONCE_US;

  if (upstream->observed_us == 0)
    return SLOTS_REST_NEW_US;
  if (choice->crowded)
    rest = SLOTS_REST_CROWDED_US;
  else if (choice->repeatable || failed_share (slots) > SLOTS_COVER_SHARE)
    rest = SLOTS_REST_US;
  return MIN (rest << MIN (upstream->failed_looks, 8), SLOTS_REST_MAX_US);
}

/* An upstream whose evidence is stale, and that shows no sign of a fault under way. */
static bool
wants_evidence (const GsSlots *slots, const Upstream *upstream, const GsSlotChoice *choice)
{
  return upstream->outstanding == 0
         && choice->now_us - upstream->used_us >= rest_us (slots, upstream, choice);
}

/* What a look at a rested upstream is worth besides the answer. */
static double
gain_of_look (const GsSlots *slots, const Upstream *upstream)
{
  bool covers = upstream->observed_us == 0 || failed_share (slots) > SLOTS_COVER_SHARE;

  return covers ? SLOTS_COVER_GAIN : 0;
}

static double
acceptable (const GsSlotChoice *choice)
{
  if (choice->pressing && !choice->no_look)
    return SLOTS_LIMIT_PRESSING;
  return choice->repeatable && !choice->no_look ? SLOTS_LIMIT_REPEATABLE : SLOTS_LIMIT_ONCE;
}

static double
shed_share (const Upstream *upstream, int64_t now_us)
{
  double passed_s = (double)(now_us - upstream->shed_us) / (double)GS_US_PER_S;

  return upstream->shed * exp (-passed_s / SLOTS_SHED_S);
}

static double
domain_cost (uint32_t bytes)
{
  return fmin (SLOTS_DOMAIN_COST + SLOTS_DOMAIN_COST_PER_MB * bytes / 1e6, SLOTS_DOMAIN_COST_MAX);
}

/* Expected loss of sending the request to UPSTREAM, in parts of what the request is worth. */
static double
cost_of (GsSlots *slots, const Upstream *upstream, const GsSlotChoice *choice, double failing)
{
  double loss = SLOTS_FAILING_LOSS * (choice->repeatable ? SLOTS_REPEATABLE_LOSS : 1);
  double used = used_slots (upstream, choice->now_us);
  double cost = failing * loss + SLOTS_FULL_COST * used / MAX (upstream->registration.slots, 1);

  cost += SLOTS_SHED_COST * shed_share (upstream, choice->now_us);
  if (upstream->warm_us > choice->now_us)
    cost += SLOTS_COLD_COST;
  if (upstream->state == GS_REGISTERED_DOUBTFUL)
    cost += SLOTS_DOUBTFUL_COST;
  if (upstream->domain != choice->domain)
    cost += domain_cost (choice->bytes);
  return cost + SLOTS_NOISE * gs_random_unit (&slots->random);
}

static void
fill_chosen (const Upstream *upstream, double failing, int64_t now_us, GsSlotChosen *chosen)
{
  *chosen = (GsSlotChosen){ .key = upstream->key,
                            .id = upstream->registration.id,
                            .ipv4 = upstream->registration.ipv4,
                            .port = upstream->registration.port,
                            .outstanding = (uint16_t)MIN (upstream->outstanding, UINT16_MAX),
                            .failing = failing,
                            .evidence_age_us
                            = upstream->observed_us != 0 ? now_us - upstream->observed_us : -1 };
}

static bool
is_idle (const Upstream *upstream, int64_t now_us)
{
  return upstream->outstanding == 0 && now_us - upstream->used_us >= SLOTS_IDLE_US;
}

static bool
may_be_idle (const Upstream *upstream, int64_t now_us)
{
  return upstream->failed_us != 0 && now_us - upstream->failed_us < SLOTS_FAILED_US;
}

/* Whether more upstreams are idle than may be. Beliefs about idle ones are old, and sound ones must
 * get work whatever else fails. */
static bool
are_too_many_idle (const GsSlots *slots, int64_t now_us)
{
  uint32_t settled = 0;
  uint32_t idle = 0;

  for (guint i = 0; i < slots->upstreams->len; i++)
    {
      const Upstream *upstream = at (slots, i);
      if (!is_usable (upstream) || may_be_idle (upstream, now_us))
        continue;
      settled++;
      idle += is_idle (upstream, now_us) ? 1 : 0;
    }
  return idle
         > fmax (SLOTS_IDLE_SHARE * settled, fmin (SLOTS_IDLE_SHARE_FEW * settled, SLOTS_IDLE_FEW));
}

/* RETURN VALUE: the idle upstream that is most likely sound, where too many are idle, or NULL. */
static const Upstream *
pick_idle (const GsSlots *slots, const GsSlotChoice *choice)
{
  const Upstream *best = NULL;
  double least = 1;

  if (choice->no_look || !are_too_many_idle (slots, choice->now_us))
    return NULL;
  for (guint i = 0; i < slots->upstreams->len; i++)
    {
      const Upstream *upstream = at (slots, i);
      double failing;
      if (!is_idle (upstream, choice->now_us) || may_be_idle (upstream, choice->now_us)
          || is_excluded (upstream, choice) || !has_room (upstream, choice->now_us))
        continue;
      failing = gs_belief_failing (&upstream->belief, &slots->rates, choice->now_us);
      if (failing >= least)
        continue;
      best = upstream;
      least = failing;
    }
  return best;
}

bool
gs_slots_choose (GsSlots *slots, const GsSlotChoice *choice, GsSlotChosen *chosen)
{
  double limit = acceptable (choice);
  double best = 0;
  bool found = false;
  const Upstream *idle;

  update_rates (slots, choice->now_us);
  idle = pick_idle (slots, choice);
  if (idle != NULL)
    {
      fill_chosen (idle, gs_belief_failing (&idle->belief, &slots->rates, choice->now_us),
                   choice->now_us, chosen);
      chosen->reason = "idle";
      return true;
    }
  for (guint i = 0; i < slots->upstreams->len; i++)
    {
      const Upstream *upstream = at (slots, i);
      double failing = gs_belief_failing (&upstream->belief, &slots->rates, choice->now_us);
      bool wanted;
      double cost;
      if (is_excluded (upstream, choice) || !has_room (upstream, choice->now_us))
        continue;
      wanted = !choice->no_look && wants_evidence (slots, upstream, choice);
      if (failing > limit && !wanted)
        continue;
      cost = cost_of (slots, upstream, choice, failing);
      if (wanted)
        cost -= gain_of_look (slots, upstream);
      if (found && cost >= best)
        continue;
      found = true;
      best = cost;
      fill_chosen (upstream, failing, choice->now_us, chosen);
      chosen->reason = wanted             ? "fresh-evidence"
                       : choice->pressing ? "pressing"
                                          : "least-expected-loss";
    }
  return found;
}

void
gs_slots_take (GsSlots *slots, uint64_t key, int64_t now_us)
{
  Upstream *upstream = find (slots, key);

  if (upstream == NULL)
    return;
  upstream->outstanding++;
  upstream->used_us = now_us;
}

void
gs_slots_release (GsSlots *slots, uint64_t key)
{
  Upstream *upstream = find (slots, key);

  if (upstream != NULL && upstream->outstanding > 0)
    upstream->outstanding--;
}

static void
block_path (Upstream *upstream, uint64_t origin, int64_t now_us)
{
  BadPath *place = &upstream->paths[0];

  for (int i = 0; i < GS_SLOTS_PATHS; i++)
    {
      if (upstream->paths[i].origin == origin)
        {
          place = &upstream->paths[i];
          break;
        }
      if (upstream->paths[i].until_us < place->until_us)
        place = &upstream->paths[i];
    }
  *place = (BadPath){ .origin = origin, .until_us = now_us + SLOTS_PATH_US };
}

static bool
counts_against (const Upstream *upstream, GsObservation sign, int64_t now_us)
{
  return sign != GS_OBSERVATION_UNREACHABLE || upstream->answered_us == 0
         || now_us - upstream->answered_us > SLOTS_PATH_PROOF_US;
}

bool
gs_slots_observe (GsSlots *slots,
                  uint64_t key,
                  uint64_t origin,
                  GsObservation sign,
                  int64_t now_us,
                  GsSlotTurn *turn)
{
  Upstream *upstream = find (slots, key);
  double before;

  if (upstream == NULL)
    return false;
  update_rates (slots, now_us);
  if (sign == GS_OBSERVATION_UNREACHABLE)
    block_path (upstream, origin, now_us);
  if (!counts_against (upstream, sign, now_us))
    return false;
  before = gs_belief_failing (&upstream->belief, &slots->rates, now_us);
  gs_belief_observe (&upstream->belief, &slots->rates, sign, now_us);
  upstream->observed_us = now_us;
  if (sign == GS_OBSERVATION_ANSWER)
    upstream->answered_us = now_us;
  else
    upstream->failed_us = now_us;
  if (upstream->belief.failing < SLOTS_TURN)
    upstream->failed_looks = 0;
  else if (sign != GS_OBSERVATION_ANSWER && before >= SLOTS_TURN)
    upstream->failed_looks++;
  if ((before < SLOTS_TURN) == (upstream->belief.failing < SLOTS_TURN))
    return false;
  *turn = (GsSlotTurn){ .id = upstream->registration.id,
                        .failing = upstream->belief.failing >= SLOTS_TURN,
                        .probability = upstream->belief.failing };
  slots->onsets += turn->failing ? 1 : 0;
  slots->recoveries += turn->failing ? 0 : 1;
  return true;
}

void
gs_slots_note_load (GsSlots *slots,
                    uint64_t key,
                    uint32_t running,
                    uint32_t waiting,
                    int64_t now_us)
{
  Upstream *upstream = find (slots, key);
  uint32_t busy = running + waiting;

  if (upstream == NULL)
    return;
  upstream->load_us = now_us;
  /* the upstream still counts the request whose answer told it */
  upstream->foreign = busy > upstream->outstanding + 1 ? busy - upstream->outstanding - 1 : 0;
}

void
gs_slots_note_shed (GsSlots *slots, uint64_t key, bool refused, int64_t now_us)
{
  Upstream *upstream = find (slots, key);
  double share;

  if (upstream == NULL)
    return;
  share = shed_share (upstream, now_us);
  if (refused && !has_room (upstream, now_us))
    upstream->full_until_us = now_us + SLOTS_FULL_US;
  else
    share += SLOTS_SHED_WEIGHT * ((refused ? 1 : 0) - share);
  upstream->shed = share;
  upstream->shed_us = now_us;
}

void
gs_slots_exclude (GsSlots *slots, uint64_t key)
{
  Upstream *upstream = find (slots, key);

  if (upstream != NULL)
    upstream->excluded = true;
}

void
gs_slots_note_served (GsSlots *slots, bool served, int64_t now_us)
{
  double passed_s = (double)(now_us - slots->served_us) / (double)GS_US_PER_S;
  double kept = passed_s > 0 ? exp (-passed_s / SLOTS_SERVED_S) : 1;

  slots->served_us = MAX (slots->served_us, now_us);
  slots->ends = slots->ends * kept + 1;
  slots->failures = slots->failures * kept + (served ? 0 : 1);
}

bool
gs_slots_suspects (const GsSlots *slots, uint64_t key, int64_t now_us)
{
  const Upstream *upstream = find (slots, key);

  return upstream == NULL
         || gs_belief_failing (&upstream->belief, &slots->rates, now_us) >= SLOTS_TURN;
}

uint32_t
gs_slots_capacity (const GsSlots *slots, int64_t now_us)
{
  uint32_t capacity = 0;

  for (guint i = 0; i < slots->upstreams->len; i++)
    {
      const Upstream *upstream = at (slots, i);
      if (is_usable (upstream)
          && gs_belief_failing (&upstream->belief, &slots->rates, now_us) < SLOTS_TURN)
        capacity += upstream->registration.slots;
    }
  return capacity;
}

uint32_t
gs_slots_usable (const GsSlots *slots, const uint64_t *tried, uint8_t n_tried)
{
  uint32_t usable = 0;

  for (guint i = 0; i < slots->upstreams->len; i++)
    usable += is_usable (at (slots, i)) && !is_among (at (slots, i)->key, tried, n_tried) ? 1 : 0;
  return usable;
}

bool
gs_slots_view (const GsSlots *slots,
               uint32_t index,
               int64_t now_us,
               GsSlotChosen *chosen,
               GsRegisteredState *state)
{
  const Upstream *upstream;

  if (index >= slots->upstreams->len)
    return false;
  upstream = at (slots, index);
  fill_chosen (upstream, gs_belief_failing (&upstream->belief, &slots->rates, now_us), now_us,
               chosen);
  *state = upstream->excluded ? GS_REGISTERED_LEAVING : upstream->state;
  return true;
}

const char *
gs_slots_id (const GsSlots *slots, uint64_t key)
{
  const Upstream *upstream = find (slots, key);

  return upstream != NULL ? upstream->registration.id : NULL;
}
