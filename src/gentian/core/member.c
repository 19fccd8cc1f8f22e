#include "member.h"

#include <glib.h>
#include <math.h>
#include <string.h>

enum
{
  MEMBER_FACT_SENDS = 10,         /* messages on which a new fact rides */
  MEMBER_DIGEST_MISMATCH_MAX = 6, /* messages in a row with another digest before a pull */
};

/** A daemon that heard nobody for this share of a period accuses nobody: several messages are
 * usual. */
#define MEMBER_SILENCE_SHARE 0.8
#define MEMBER_ACK_US (300 * GS_US_PER_MS)
#define MEMBER_PULL_GAP_US (5 * GS_US_PER_S)
#define MEMBER_BAD_PATH_US (5 * GS_US_PER_S)
/** Pauses after which a newcomer asks its seeds again: where a whole fleet starts at once they know
 * few members at first. */
#define MEMBER_REJOIN_US                                                                           \
  {                                                                                                \
    100 * GS_US_PER_MS, 100 * GS_US_PER_MS, 150 * GS_US_PER_MS, 150 * GS_US_PER_MS,                \
        250 * GS_US_PER_MS, 250 * GS_US_PER_MS, 500 * GS_US_PER_MS, GS_US_PER_S                    \
  }

typedef struct
{
  GsMemberInfo fact;
  uint64_t hash;
  int64_t since_us; /* of the state */
  int64_t bad_path_until_us;
  uint32_t sends_left;
} Member;

/* One probe on its way. */
typedef struct
{
  uint64_t target; /* hash of the member; 0: none */
  uint64_t sequence;
  int64_t sent_us;
  bool asked_others;
} Ring;

/* A ping made for another daemon. */
typedef struct
{
  uint64_t sequence;
  uint64_t origin_sequence;
  GsPeerAddress origin;
} Relay;

enum
{
  MEMBER_RELAYS_MAX = 64,
  MEMBER_SEEDS_MAX = 16,
};

struct GsMembers
{
  GArray *members;     /* of Member; index 0 is this daemon */
  GHashTable *by_hash; /* hash -> index + 1 */
  GsMembersOptions options;
  GsRandom random;
  Ring rings[GS_MEMBER_RINGS];
  Relay relays[MEMBER_RELAYS_MAX];
  uint32_t next_relay;
  uint64_t sequence;
  uint64_t epoch;
  uint64_t digest;
  uint64_t position;
  uint64_t best_position;
  GsPeerAddress best_address;
  int64_t next_period_us;
  int64_t heard_us; /* last message of anybody */
  int64_t now_us;
  int64_t next_pull_us;
  uint32_t digest_mismatches;
  GsPeerAddress seeds[MEMBER_SEEDS_MAX];
  uint32_t n_seeds;
  uint32_t rejoins;
  int64_t next_rejoin_us; /* 0: not planned yet */
};

static Member *
member_at (const GsMembers *members, uint32_t index)
{
  return &g_array_index (members->members, Member, index);
}

static Member *
find_hash (const GsMembers *members, uint64_t hash)
{
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (members->by_hash, &hash));

  return index == 0 ? NULL : member_at (members, index - 1);
}

static uint64_t
fact_digest (const GsMemberInfo *fact)
{
  if (fact->state == GS_MEMBER_DEAD)
    return 0;
  return gs_mix64 (gs_hash_name (fact->id) ^ gs_mix64 (fact->incarnation)
                   ^ ((uint64_t)fact->version << 16 | (uint64_t)fact->state << 8 | fact->ready));
}

static void
store_fact (GsMembers *members, Member *member, const GsMemberInfo *fact)
{
  members->digest ^= fact_digest (&member->fact);
  if (member->fact.state != fact->state || member->fact.ready != fact->ready
      || member->fact.incarnation != fact->incarnation)
    {
      members->epoch++;
      member->since_us = members->now_us;
    }
  member->fact = *fact;
  member->sends_left = MEMBER_FACT_SENDS;
  members->digest ^= fact_digest (fact);
}

static Member *
add_member (GsMembers *members, const GsMemberInfo *fact)
{
  Member member = { .hash = gs_hash_name (fact->id), .since_us = members->now_us };
  Member *place;

  member.fact.state = GS_MEMBER_DEAD;
  g_array_append_val (members->members, member);
  g_hash_table_insert (members->by_hash, g_memdup2 (&member.hash, sizeof member.hash),
                       GUINT_TO_POINTER (members->members->len));
  place = member_at (members, members->members->len - 1);
  store_fact (members, place, fact);
  members->epoch++;
  return place;
}

GsMembers *
gs_members_new (const GsMembersOptions *options)
{
  GsMembers *members = g_new0 (GsMembers, 1);

  members->members = g_array_new (FALSE, TRUE, sizeof (Member));
  members->by_hash = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  members->options = *options;
  members->random.state = options->seed;
  add_member (members, &options->self);
  return members;
}

void
gs_members_free (GsMembers *members)
{
  if (members == NULL)
    return;
  g_array_unref (members->members);
  g_hash_table_destroy (members->by_hash);
  g_free (members);
}

/* Later facts replace earlier ones: by incarnation, then version, then the graver state. */
static bool
is_newer (const GsMemberInfo *fact, const GsMemberInfo *known)
{
  if (fact->incarnation != known->incarnation)
    return fact->incarnation > known->incarnation;
  if (fact->version != known->version)
    return fact->version > known->version;
  return fact->state > known->state;
}

/* Outdoes what others hold of this daemon. A clock that was set back makes its start look older
 * than the one before. */
static void
refute (GsMembers *members, const GsMemberInfo *held)
{
  Member *self = member_at (members, 0);
  GsMemberInfo fact = self->fact;

  fact.incarnation = MAX (fact.incarnation, held->incarnation);
  fact.version = held->version + 1;
  store_fact (members, self, &fact);
}

static void
take_fact (GsMembers *members, const GsMemberInfo *fact)
{
  uint64_t hash = gs_hash_name (fact->id);
  Member *member = find_hash (members, hash);

  if (member == NULL)
    {
      if (fact->state != GS_MEMBER_DEAD)
        add_member (members, fact);
      return;
    }
  if (!is_newer (fact, &member->fact))
    return;
  if (member != member_at (members, 0))
    store_fact (members, member, fact);
  else if (fact->incarnation > member->fact.incarnation || fact->state >= GS_MEMBER_SUSPECT)
    refute (members, fact);
}

/* Tells the daemon at TO that it is held to be suspect or dead, so that it refutes this at once. */
static void
attach_accusation (const GsMembers *members, GsMemberMessage *probe, const GsPeerAddress *to)
{
  for (uint32_t i = 1; i < members->members->len; i++)
    {
      const GsMemberInfo *fact = &member_at (members, i)->fact;
      if (fact->ipv4 != to->ipv4 || fact->peer_port != to->peer_port
          || fact->state < GS_MEMBER_SUSPECT)
        continue;
      probe->facts[probe->n_facts++] = *fact;
      return;
    }
}

/* Facts that have rides left, newest need first by position. */
static void
attach_facts (GsMembers *members, GsMemberMessage *probe, const GsPeerAddress *to)
{
  uint32_t count = members->members->len;
  uint32_t start = (uint32_t)(gs_random_next (&members->random) % count);

  probe->facts = g_new (GsMemberInfo, GS_MEMBER_UPDATES_MAX);
  attach_accusation (members, probe, to);
  for (uint32_t i = 0; i < count && probe->n_facts < GS_MEMBER_UPDATES_MAX; i++)
    {
      Member *member = member_at (members, (start + i) % count);
      if (member->sends_left == 0)
        continue;
      member->sends_left--;
      probe->facts[probe->n_facts++] = member->fact;
    }
}

static void
send_probe (GsMembers *members,
            const GsPeerAddress *to,
            GsMemberMessageKind kind,
            uint64_t sequence,
            const char *target)
{
  GsMemberMessage probe = { .kind = kind,
                            .sequence = sequence,
                            .digest = members->digest,
                            .position = members->position,
                            .from = member_at (members, 0)->fact };

  if (target != NULL)
    g_strlcpy (probe.target, target, sizeof probe.target);
  attach_facts (members, &probe, to);
  members->options.sink (to, &probe, members->options.data);
}

static void
send_all_members (GsMembers *members, const GsPeerAddress *to)
{
  uint32_t count = members->members->len;
  GsMemberMessage probe = { .kind = GS_MEMBER_MESSAGE_MEMBERS,
                            .digest = members->digest,
                            .position = members->position,
                            .from = member_at (members, 0)->fact,
                            .facts = g_new (GsMemberInfo, count),
                            .n_facts = count };

  for (uint32_t i = 0; i < count; i++)
    probe.facts[i] = member_at (members, i)->fact;
  members->options.sink (to, &probe, members->options.data);
}

static GsPeerAddress
address_of (const GsMemberInfo *fact)
{
  return (GsPeerAddress){ .ipv4 = fact->ipv4, .peer_port = fact->peer_port };
}

static bool
is_present (const Member *member)
{
  return member->fact.state != GS_MEMBER_DEAD;
}

static uint64_t
ring_key (uint32_t ring, uint64_t hash)
{
  return gs_mix64 (hash ^ gs_mix64 (ring + 1));
}

/* Next present member after this daemon in the order of RING. */
static Member *
successor (const GsMembers *members, uint32_t ring)
{
  uint64_t own = ring_key (ring, member_at (members, 0)->hash);
  Member *best = NULL;
  uint64_t best_distance = 0;

  for (uint32_t i = 1; i < members->members->len; i++)
    {
      Member *member = member_at (members, i);
      uint64_t distance = ring_key (ring, member->hash) - own;
      if (!is_present (member) || (best != NULL && distance >= best_distance))
        continue;
      best = member;
      best_distance = distance;
    }
  return best;
}

static void
start_probe (GsMembers *members, uint32_t index)
{
  Ring *ring = &members->rings[index];
  Member *target = successor (members, index);
  GsPeerAddress to;

  *ring = (Ring){ 0 };
  if (target == NULL)
    return;
  ring->target = target->hash;
  ring->sequence = ++members->sequence;
  ring->sent_us = members->now_us;
  to = address_of (&target->fact);
  send_probe (members, &to, GS_MEMBER_MESSAGE_PING, ring->sequence, NULL);
}

static void
ask_others (GsMembers *members, Ring *ring, const Member *target)
{
  uint32_t count = members->members->len;
  uint32_t start = (uint32_t)(gs_random_next (&members->random) % count);
  uint32_t asked = 0;

  ring->asked_others = true;
  for (uint32_t i = 0; i < count && asked < GS_MEMBER_INDIRECT_PROBES; i++)
    {
      uint32_t index = (start + i) % count;
      Member *helper = member_at (members, index);
      GsPeerAddress to = address_of (&helper->fact);
      if (index == 0 || helper == target || helper->fact.state > GS_MEMBER_LEAVING)
        continue;
      send_probe (members, &to, GS_MEMBER_MESSAGE_PING_REQUEST, ring->sequence, target->fact.id);
      asked++;
    }
}

static int64_t
period_us (const GsMembers *members)
{
  return members->members->len < GS_MEMBER_LARGE_FLEET ? GS_MEMBER_PROBE_PERIOD_US
                                                       : 2 * GS_MEMBER_PROBE_PERIOD_US;
}

bool
gs_members_isolated (const GsMembers *members)
{
  bool alone = true;

  for (uint32_t i = 1; i < members->members->len && alone; i++)
    alone = !is_present (member_at (members, i));
  return !alone
         && members->now_us - members->heard_us
                > (int64_t)((double)period_us (members) * MEMBER_SILENCE_SHARE);
}

static void
suspect (GsMembers *members, Member *target)
{
  GsMemberInfo fact = target->fact;

  if (fact.state >= GS_MEMBER_SUSPECT || gs_members_isolated (members))
    return;
  fact.state = GS_MEMBER_SUSPECT;
  store_fact (members, target, &fact);
}

/* Judges the probe of the period that ends. */
static void
finish_probe (GsMembers *members, uint32_t index)
{
  Ring *ring = &members->rings[index];
  Member *target = ring->target != 0 ? find_hash (members, ring->target) : NULL;
  bool missed = target != NULL && ring->sequence != 0;

  if (target == NULL)
    return;
  if (missed)
    {
      target->bad_path_until_us = members->now_us + MEMBER_BAD_PATH_US;
      suspect (members, target);
    }
}

static void
tick_states (GsMembers *members)
{
  for (uint32_t i = 1; i < members->members->len; i++)
    {
      Member *member = member_at (members, i);
      GsMemberInfo fact = member->fact;
      if (fact.state != GS_MEMBER_SUSPECT
          || members->now_us - member->since_us < GS_MEMBER_SUSPICION_US)
        continue;
      fact.state = GS_MEMBER_DEAD;
      store_fact (members, member, &fact);
    }
}

/* Removes members that have been dead long; their index goes to the last one. */
static void
bury (GsMembers *members)
{
  for (uint32_t i = 1; i < members->members->len; i++)
    {
      Member *member = member_at (members, i);
      uint64_t moved;
      if (is_present (member) || members->now_us - member->since_us < GS_MEMBER_TOMBSTONE_US)
        continue;
      g_hash_table_remove (members->by_hash, &member->hash);
      g_array_remove_index_fast (members->members, i);
      members->epoch++;
      if (i == members->members->len)
        return;
      moved = member_at (members, i)->hash;
      g_hash_table_replace (members->by_hash, g_memdup2 (&moved, sizeof moved),
                            GUINT_TO_POINTER (i + 1));
      i--;
    }
}

static void
begin_period (GsMembers *members)
{
  members->next_period_us = members->now_us + period_us (members);
  for (uint32_t i = 0; i < GS_MEMBER_RINGS; i++)
    finish_probe (members, i);
  tick_states (members);
  bury (members);
  for (uint32_t i = 0; i < GS_MEMBER_RINGS; i++)
    start_probe (members, i);
  members->best_position = members->best_position > members->position ? members->best_position : 0;
}

/* Asks the seeds again at the start. */
static void
rejoin (GsMembers *members)
{
  static const int64_t pauses_us[] = MEMBER_REJOIN_US;
  bool due = members->next_rejoin_us != 0 && members->now_us >= members->next_rejoin_us;

  if (members->n_seeds == 0 || members->rejoins >= G_N_ELEMENTS (pauses_us)
      || (members->next_rejoin_us != 0 && !due))
    return;
  for (uint32_t i = 0; due && i < members->n_seeds; i++)
    send_probe (members, &members->seeds[i], GS_MEMBER_MESSAGE_PULL, 0, NULL);
  members->next_rejoin_us = members->now_us + pauses_us[members->rejoins];
  members->rejoins += due ? 1 : 0;
}

void
gs_members_tick (GsMembers *members, int64_t now_us)
{
  members->now_us = now_us;
  rejoin (members);
  if (now_us >= members->next_period_us)
    begin_period (members);
  for (uint32_t i = 0; i < GS_MEMBER_RINGS; i++)
    {
      Ring *ring = &members->rings[i];
      Member *target = ring->sequence != 0 ? find_hash (members, ring->target) : NULL;
      if (target != NULL && !ring->asked_others && now_us - ring->sent_us >= MEMBER_ACK_US / 2)
        ask_others (members, ring, target);
    }
}

static void
relay_ping (GsMembers *members, const GsMemberMessage *probe)
{
  Member *target = find_hash (members, gs_hash_name (probe->target));
  Relay *relay = &members->relays[members->next_relay++ % MEMBER_RELAYS_MAX];
  GsPeerAddress to;

  if (target == NULL)
    return;
  *relay = (Relay){ .sequence = ++members->sequence,
                    .origin_sequence = probe->sequence,
                    .origin = address_of (&probe->from) };
  to = address_of (&target->fact);
  send_probe (members, &to, GS_MEMBER_MESSAGE_PING, relay->sequence, NULL);
}

static void
take_ack (GsMembers *members, const GsMemberMessage *probe)
{
  for (uint32_t i = 0; i < GS_MEMBER_RINGS; i++)
    {
      Ring *ring = &members->rings[i];
      Member *target;
      if (ring->sequence == 0 || ring->sequence != probe->sequence)
        continue;
      ring->sequence = 0;
      target = find_hash (members, ring->target);
      if (target == NULL)
        continue;
      target->bad_path_until_us = strcmp (probe->from.id, target->fact.id) == 0
                                      ? 0 /* answered directly */
                                      : members->now_us + MEMBER_BAD_PATH_US;
    }
  for (uint32_t i = 0; i < MEMBER_RELAYS_MAX; i++)
    {
      Relay *relay = &members->relays[i];
      if (relay->sequence == 0 || relay->sequence != probe->sequence)
        continue;
      relay->sequence = 0;
      send_probe (members, &relay->origin, GS_MEMBER_MESSAGE_ACK, relay->origin_sequence, NULL);
    }
}

static void
compare_digest (GsMembers *members, const GsMemberMessage *probe)
{
  GsPeerAddress from = address_of (&probe->from);

  if (probe->digest == members->digest)
    {
      members->digest_mismatches = 0;
      return;
    }
  if (++members->digest_mismatches < MEMBER_DIGEST_MISMATCH_MAX
      || members->now_us < members->next_pull_us)
    return;
  members->digest_mismatches = 0;
  members->next_pull_us = members->now_us + MEMBER_PULL_GAP_US;
  send_probe (members, &from, GS_MEMBER_MESSAGE_PULL, 0, NULL);
}

void
gs_members_receive (GsMembers *members, const GsMemberMessage *probe, int64_t now_us)
{
  GsPeerAddress from = address_of (&probe->from);

  members->now_us = now_us;
  members->heard_us = now_us;
  take_fact (members, &probe->from);
  for (uint32_t i = 0; i < probe->n_facts; i++)
    take_fact (members, &probe->facts[i]);
  if (probe->position > members->position && probe->position >= members->best_position)
    {
      members->best_position = probe->position;
      members->best_address = from;
    }
  switch (probe->kind)
    {
    case GS_MEMBER_MESSAGE_PING:
      send_probe (members, &from, GS_MEMBER_MESSAGE_ACK, probe->sequence, NULL);
      compare_digest (members, probe);
      break;
    case GS_MEMBER_MESSAGE_ACK:
      take_ack (members, probe);
      compare_digest (members, probe);
      break;
    case GS_MEMBER_MESSAGE_PING_REQUEST:
      relay_ping (members, probe);
      break;
    case GS_MEMBER_MESSAGE_PULL:
      send_all_members (members, &from);
      break;
    case GS_MEMBER_MESSAGE_MEMBERS:
      break;
    }
}

void
gs_members_join (GsMembers *members, const GsPeerAddress *address)
{
  if (members->n_seeds < MEMBER_SEEDS_MAX)
    members->seeds[members->n_seeds++] = *address;
  send_probe (members, address, GS_MEMBER_MESSAGE_PULL, 0, NULL);
}

static void
announce (GsMembers *members, GsMemberState state, bool ready)
{
  Member *self = member_at (members, 0);
  GsMemberInfo fact = self->fact;

  if (fact.state == state && fact.ready == (ready ? 1 : 0))
    return;
  fact.state = (uint8_t)state;
  fact.ready = ready ? 1 : 0;
  fact.version++;
  store_fact (members, self, &fact);
  members->next_period_us = 0; /* spread it now */
}

void
gs_members_set_ready (GsMembers *members, bool ready)
{
  announce (members, (GsMemberState)member_at (members, 0)->fact.state, ready);
}

void
gs_members_leave (GsMembers *members)
{
  announce (members, GS_MEMBER_LEAVING, member_at (members, 0)->fact.ready != 0);
}

void
gs_members_set_position (GsMembers *members, uint64_t position)
{
  members->position = position;
}

uint64_t
gs_members_best_position (const GsMembers *members, GsPeerAddress *address)
{
  *address = members->best_address;
  return members->best_position;
}

uint64_t
gs_members_epoch (const GsMembers *members)
{
  return members->epoch;
}

uint32_t
gs_members_count (const GsMembers *members)
{
  return members->members->len;
}

const GsMemberInfo *
gs_members_get (const GsMembers *members, uint32_t index)
{
  return &member_at (members, index)->fact;
}

const GsMemberInfo *
gs_members_find (const GsMembers *members, const char *id)
{
  const Member *member = find_hash (members, gs_hash_name (id));

  return member == NULL ? NULL : &member->fact;
}

bool
gs_members_reachable (const GsMembers *members, uint32_t index)
{
  return member_at (members, index)->bad_path_until_us <= members->now_us;
}

void
gs_members_record_path (GsMembers *members, const char *id, bool works, int64_t now_us)
{
  Member *member = find_hash (members, gs_hash_name (id));

  if (member != NULL)
    member->bad_path_until_us = works ? 0 : now_us + MEMBER_BAD_PATH_US;
}

static bool
may_be_home (const Member *member)
{
  return member->fact.state == GS_MEMBER_ALIVE && member->fact.ready != 0;
}

static bool
domain_taken (const GsMembers *members,
              const uint32_t *indexes,
              uint32_t count,
              const Member *member)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (member_at (members, indexes[i])->fact.failure_domain, member->fact.failure_domain)
        == 0)
      return true;
  return false;
}

static bool
already_picked (const uint32_t *indexes, uint32_t count, uint32_t index)
{
  for (uint32_t i = 0; i < count; i++)
    if (indexes[i] == index)
      return true;
  return false;
}

/* Power from which a member counts as strong: half of the strongest one's. */
static uint32_t
strong_power (const GsMembers *members)
{
  uint32_t most = 0;

  for (uint32_t i = 0; i < members->members->len; i++)
    if (may_be_home (member_at (members, i)))
      most = MAX (most, member_at (members, i)->fact.power);
  return (most + 1) / 2;
}

/* Rendezvous weight for KEY; each strong member outweighs all others. */
static uint64_t
weight_of (const Member *member, uint64_t key, uint32_t strong)
{
  uint64_t weight = gs_mix64 (member->hash ^ key) >> 1;

  return member->fact.power >= strong ? weight | UINT64_C (1) << 63 : weight;
}

static int64_t
best_home (const GsMembers *members,
           uint64_t key,
           uint32_t strong,
           const uint32_t *indexes,
           uint32_t picked,
           bool new_domain)
{
  int64_t best = -1;
  uint64_t best_weight = 0;

  for (uint32_t i = 0; i < members->members->len; i++)
    {
      const Member *member = member_at (members, i);
      uint64_t weight = weight_of (member, key, strong);
      if (!may_be_home (member) || (best >= 0 && weight <= best_weight)
          || already_picked (indexes, picked, i)
          || (new_domain && domain_taken (members, indexes, picked, member)))
        continue;
      best = i;
      best_weight = weight;
    }
  return best;
}

static uint32_t
pick_homes (const GsMembers *members,
            uint64_t key,
            uint32_t strong,
            uint32_t count,
            uint32_t *indexes)
{
  uint32_t picked = 0;

  while (picked < count)
    {
      int64_t best = best_home (members, key, strong, indexes, picked, true);
      if (best < 0)
        best = best_home (members, key, strong, indexes, picked, false);
      if (best < 0)
        break;
      indexes[picked++] = (uint32_t)best;
    }
  return picked;
}

uint32_t
gs_members_homes (const GsMembers *members, uint64_t key, uint32_t count, uint32_t *indexes)
{
  return pick_homes (members, key, strong_power (members), count, indexes);
}

uint32_t
gs_members_homes_any_cpu (const GsMembers *members, uint64_t key, uint32_t count, uint32_t *indexes)
{
  return pick_homes (members, key, 0, count, indexes);
}

uint32_t
gs_members_domain_rank (const GsMembers *members, uint64_t key)
{
  const Member *self = member_at (members, 0);
  uint32_t strong = strong_power (members);
  uint64_t own = weight_of (self, key, strong);
  uint32_t rank = 0;

  for (uint32_t i = 1; i < members->members->len; i++)
    {
      const Member *member = member_at (members, i);
      if (member->fact.state == GS_MEMBER_ALIVE
          && strcmp (member->fact.failure_domain, self->fact.failure_domain) == 0
          && weight_of (member, key, strong) > own)
        rank++;
    }
  return rank;
}

typedef struct
{
  uint64_t distance; /* on the ring, from this daemon */
  uint32_t index;
} RingPlace;

static int
compare_places (gconstpointer a, gconstpointer b)
{
  const RingPlace *first = a;
  const RingPlace *second = b;

  return first->distance < second->distance ? -1 : first->distance > second->distance;
}

uint32_t
gs_members_relays (const GsMembers *members, uint32_t *indexes)
{
  const Member *self = member_at (members, 0);
  g_autoptr (GArray) ring = g_array_new (FALSE, FALSE, sizeof (RingPlace));
  uint32_t step;

  for (uint32_t i = 1; i < members->members->len; i++)
    {
      const Member *member = member_at (members, i);
      RingPlace place = { .distance = member->hash - self->hash, .index = i };
      if ((member->fact.state == GS_MEMBER_ALIVE || member->fact.state == GS_MEMBER_LEAVING)
          && strcmp (member->fact.failure_domain, self->fact.failure_domain) == 0)
        g_array_append_val (ring, place);
    }
  if (ring->len == 0)
    return 0;
  g_array_sort (ring, compare_places);
  indexes[0] = g_array_index (ring, RingPlace, 0).index;
  step = (uint32_t)ceil (sqrt (ring->len + 1));
  if (step <= 1 || step > ring->len)
    return 1;
  indexes[1] = g_array_index (ring, RingPlace, step - 1).index;
  return 2;
}
