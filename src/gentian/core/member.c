#include "member.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "../rejoin/rejoin.h"

enum
{
  MEMBER_UPDATE_TRANSMISSIONS = 10, /* messages that carry each update */
  MEMBER_DIGEST_MISMATCH_MAX = 6,   /* consecutive mismatches before a pull */
};

/** Probe periods without any message after which this daemon is isolated and suspects nobody; usual
 * are several messages per period. */
#define MEMBER_ISOLATION_PERIODS 0.8
#define MEMBER_ACK_TIMEOUT_US (300 * GS_US_PER_MS)
#define MEMBER_PULL_INTERVAL_US (5 * GS_US_PER_S)
#define MEMBER_UNREACHABLE_US (5 * GS_US_PER_S)
/** Age of a complete list's claim that a member is dead from which another such claim is believed,
 * while the member seems alive here. A member that lives has refuted the claim by then. */
#define MEMBER_CLAIM_US (1500 * GS_US_PER_MS)

typedef struct
{
  GsMemberInfo info;
  uint64_t hash;
  int64_t state_since_us; /* start of the current state */
  int64_t unreachable_until_us;
  int64_t claimed_dead_us; /* first claim by a complete list since its last change; 0: none */
  uint32_t transmissions_left;
} Member;

/* The current probe of one ring. */
typedef struct
{
  uint64_t target; /* hash of the member; 0: none */
  uint64_t sequence;
  int64_t sent_us;
  bool indirect_requested;
} RingProbe;

/* A ping sent on behalf of another daemon (SWIM's ping-req). */
typedef struct
{
  uint64_t sequence;
  uint64_t origin_sequence;
  GsPeerAddress origin;
} IndirectPing;

enum
{
  MEMBER_INDIRECT_PINGS_MAX = 64,
};

struct GsMembers
{
  GArray *members;     /* of Member; index 0 is this daemon */
  GHashTable *by_hash; /* hash -> index + 1 */
  GsMembersOptions options;
  GsRandom random;
  RingProbe rings[GS_MEMBER_RINGS];
  IndirectPing indirect_pings[MEMBER_INDIRECT_PINGS_MAX];
  uint32_t next_indirect_ping;
  uint64_t sequence;
  uint64_t epoch;
  uint64_t digest;
  uint64_t position;
  uint64_t newest_position;
  GsPeerAddress newest_address;
  int64_t next_period_us;
  int64_t last_received_us; /* time of the last message from any member */
  int64_t now_us;
  int64_t next_pull_us;
  uint32_t digest_mismatches;
  GsRejoin *rejoin;
  uint32_t next_lost; /* index of the member from which on the next dead one is asked */
  bool has_met;       /* another daemon was heard from */
};

static Member *
member_at (const GsMembers *members, uint32_t index)
{
  return &g_array_index (members->members, Member, index);
}

static Member *
find_by_hash (const GsMembers *members, uint64_t hash)
{
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (members->by_hash, &hash));

  return index == 0 ? NULL : member_at (members, index - 1);
}

static uint64_t
info_digest (const GsMemberInfo *info)
{
  if (info->state == GS_MEMBER_DEAD)
    return 0;
  return gs_mix64 (gs_hash_name (info->id) ^ gs_mix64 (info->incarnation)
                   ^ ((uint64_t)info->version << 16 | (uint64_t)info->state << 8
                      | (uint64_t)info->full << 1 | info->ready));
}

static bool
is_present (const Member *member)
{
  return member->info.state != GS_MEMBER_DEAD;
}

static void
store_info (GsMembers *members, Member *member, const GsMemberInfo *info)
{
  members->digest ^= info_digest (&member->info);
  member->claimed_dead_us = 0;
  /* One that is being added has no id yet. */
  if (info->state != GS_MEMBER_DEAD && !is_present (member) && member->info.id[0] != '\0')
    gs_rejoin_note_return (members->rejoin, members->now_us);
  if (member->info.state != info->state || member->info.ready != info->ready
      || member->info.incarnation != info->incarnation)
    {
      members->epoch++;
      member->state_since_us = members->now_us;
    }
  member->info = *info;
  member->transmissions_left = MEMBER_UPDATE_TRANSMISSIONS;
  members->digest ^= info_digest (info);
}

static Member *
add_member (GsMembers *members, const GsMemberInfo *info)
{
  Member member = { .hash = gs_hash_name (info->id), .state_since_us = members->now_us };
  Member *stored;

  member.info.state = GS_MEMBER_DEAD;
  g_array_append_val (members->members, member);
  g_hash_table_insert (members->by_hash, g_memdup2 (&member.hash, sizeof member.hash),
                       GUINT_TO_POINTER (members->members->len));
  stored = member_at (members, members->members->len - 1);
  store_info (members, stored, info);
  members->epoch++;
  return stored;
}

GsMembers *
gs_members_new (const GsMembersOptions *options)
{
  GsMembers *members = g_new0 (GsMembers, 1);

  members->members = g_array_new (FALSE, TRUE, sizeof (Member));
  members->by_hash = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  members->options = *options;
  members->random.state = options->seed;
  members->rejoin = gs_rejoin_new (gs_mix64 (options->seed + 1));
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
  gs_rejoin_free (members->rejoin);
  g_free (members);
}

/* Order of updates on one member: by incarnation, then version, then the more severe state. */
static bool
supersedes (const GsMemberInfo *info, const GsMemberInfo *known)
{
  if (info->incarnation != known->incarnation)
    return info->incarnation > known->incarnation;
  if (info->version != known->version)
    return info->version > known->version;
  return info->state > known->state;
}

/* Announces a version of this daemon's info above CLAIMED, which others hold. The incarnation is
 * raised too: when the clock was set back, this start has a lower one than the previous start. */
static void
refute (GsMembers *members, const GsMemberInfo *claimed)
{
  Member *self = member_at (members, 0);
  GsMemberInfo info = self->info;

  info.incarnation = MAX (info.incarnation, claimed->incarnation);
  info.version = claimed->version + 1;
  store_info (members, self, &info);
}

/* Whether a complete list's claim that MEMBER is dead is not to be believed yet. Its sender may
 * have been cut off from the member, which then refutes the claim when it hears of it. */
static bool
is_doubtful (GsMembers *members, Member *member, const GsMemberInfo *info)
{
  if (info->state != GS_MEMBER_DEAD || !is_present (member)
      || info->incarnation != member->info.incarnation)
    return false;
  if (member->claimed_dead_us == 0)
    member->claimed_dead_us = members->now_us;
  return members->now_us - member->claimed_dead_us < MEMBER_CLAIM_US;
}

/* LISTED: INFO is of a complete list. */
static void
apply_update (GsMembers *members, const GsMemberInfo *info, bool listed)
{
  uint64_t hash = gs_hash_name (info->id);
  Member *member = find_by_hash (members, hash);

  if (member == NULL)
    {
      if (info->state != GS_MEMBER_DEAD)
        add_member (members, info);
      return;
    }
  if (!supersedes (info, &member->info))
    return;
  if (member != member_at (members, 0) && listed && is_doubtful (members, member, info))
    return;
  if (member != member_at (members, 0))
    store_info (members, member, info);
  else if (info->incarnation > member->info.incarnation || info->state >= GS_MEMBER_SUSPECT)
    refute (members, info);
}

/* If the daemon at TO is suspect or dead here, includes that in the message, so that it refutes it
 * at once. */
static void
attach_suspicion (const GsMembers *members, GsMemberMessage *message, const GsPeerAddress *to)
{
  for (uint32_t i = 1; i < members->members->len; i++)
    {
      const GsMemberInfo *info = &member_at (members, i)->info;
      if (info->ipv4 != to->ipv4 || info->peer_port != to->peer_port
          || info->state < GS_MEMBER_SUSPECT)
        continue;
      message->updates[message->n_updates++] = *info;
      return;
    }
}

/* Adds updates that have transmissions left, from a random index on, so that none is starved. */
static void
attach_updates (GsMembers *members, GsMemberMessage *message, const GsPeerAddress *to)
{
  uint32_t count = members->members->len;
  uint32_t start = (uint32_t)(gs_random_next (&members->random) % count);

  message->updates = g_new (GsMemberInfo, GS_MEMBER_UPDATES_MAX);
  attach_suspicion (members, message, to);
  for (uint32_t i = 0; i < count && message->n_updates < GS_MEMBER_UPDATES_MAX; i++)
    {
      Member *member = member_at (members, (start + i) % count);
      if (member->transmissions_left == 0)
        continue;
      member->transmissions_left--;
      message->updates[message->n_updates++] = member->info;
    }
}

static void
send_message (GsMembers *members,
              const GsPeerAddress *to,
              GsMemberMessageKind kind,
              uint64_t sequence,
              const char *target)
{
  GsMemberMessage message = { .kind = kind,
                              .sequence = sequence,
                              .digest = members->digest,
                              .position = members->position,
                              .from = member_at (members, 0)->info };

  if (target != NULL)
    g_strlcpy (message.target, target, sizeof message.target);
  attach_updates (members, &message, to);
  members->options.message_handler (to, &message, members->options.data);
}

static void
send_all_members (GsMembers *members, const GsPeerAddress *to)
{
  uint32_t count = members->members->len;
  GsMemberMessage message = { .kind = GS_MEMBER_MESSAGE_MEMBERS,
                              .digest = members->digest,
                              .position = members->position,
                              .from = member_at (members, 0)->info,
                              .updates = g_new (GsMemberInfo, count),
                              .n_updates = count };

  for (uint32_t i = 0; i < count; i++)
    message.updates[i] = member_at (members, i)->info;
  members->options.message_handler (to, &message, members->options.data);
}

static GsPeerAddress
address_of (const GsMemberInfo *info)
{
  return (GsPeerAddress){ .ipv4 = info->ipv4, .peer_port = info->peer_port };
}

static uint64_t
ring_key (uint32_t ring, uint64_t hash)
{
  return gs_mix64 (hash ^ gs_mix64 (ring + 1));
}

/* The next member after this daemon on RING that is not dead. */
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
  RingProbe *probe = &members->rings[index];
  Member *target = successor (members, index);
  GsPeerAddress to;

  *probe = (RingProbe){ 0 };
  if (target == NULL)
    return;
  probe->target = target->hash;
  probe->sequence = ++members->sequence;
  probe->sent_us = members->now_us;
  to = address_of (&target->info);
  send_message (members, &to, GS_MEMBER_MESSAGE_PING, probe->sequence, NULL);
}

static void
request_indirect_pings (GsMembers *members, RingProbe *probe, const Member *target)
{
  uint32_t count = members->members->len;
  uint32_t start = (uint32_t)(gs_random_next (&members->random) % count);
  uint32_t requested = 0;

  probe->indirect_requested = true;
  for (uint32_t i = 0; i < count && requested < GS_MEMBER_INDIRECT_PROBES; i++)
    {
      uint32_t index = (start + i) % count;
      Member *helper = member_at (members, index);
      GsPeerAddress to = address_of (&helper->info);
      if (index == 0 || helper == target || helper->info.state > GS_MEMBER_LEAVING)
        continue;
      send_message (members, &to, GS_MEMBER_MESSAGE_PING_REQUEST, probe->sequence, target->info.id);
      requested++;
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
         && members->now_us - members->last_received_us
                > (int64_t)((double)period_us (members) * MEMBER_ISOLATION_PERIODS);
}

static void
suspect (GsMembers *members, Member *target)
{
  GsMemberInfo info = target->info;

  if (info.state >= GS_MEMBER_SUSPECT || gs_members_isolated (members))
    return;
  info.state = GS_MEMBER_SUSPECT;
  store_info (members, target, &info);
}

/* Suspects the target if its probe of the ending period was not answered. */
static void
finish_probe (GsMembers *members, uint32_t index)
{
  RingProbe *probe = &members->rings[index];
  Member *target = probe->target != 0 ? find_by_hash (members, probe->target) : NULL;
  bool missed = target != NULL && probe->sequence != 0;

  if (target == NULL)
    return;
  if (missed)
    {
      target->unreachable_until_us = members->now_us + MEMBER_UNREACHABLE_US;
      suspect (members, target);
    }
}

static void
expire_suspicions (GsMembers *members)
{
  for (uint32_t i = 1; i < members->members->len; i++)
    {
      Member *member = member_at (members, i);
      GsMemberInfo info = member->info;
      if (info.state != GS_MEMBER_SUSPECT
          || members->now_us - member->state_since_us < GS_MEMBER_SUSPICION_US)
        continue;
      info.state = GS_MEMBER_DEAD;
      store_info (members, member, &info);
    }
}

/* Removes expired tombstones. The last member moves to each freed index. */
static void
remove_dead_members (GsMembers *members)
{
  for (uint32_t i = 1; i < members->members->len; i++)
    {
      Member *member = member_at (members, i);
      uint64_t moved;
      if (is_present (member) || members->now_us - member->state_since_us < GS_MEMBER_TOMBSTONE_US)
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
  expire_suspicions (members);
  remove_dead_members (members);
  for (uint32_t i = 0; i < GS_MEMBER_RINGS; i++)
    start_probe (members, i);
  members->newest_position
      = members->newest_position > members->position ? members->newest_position : 0;
}

static bool
is_own_address (const GsMembers *members, const GsPeerAddress *address)
{
  const GsMemberInfo *self = &member_at (members, 0)->info;

  return address->ipv4 == self->ipv4 && address->peer_port == self->peer_port;
}

static bool
is_alone (const GsMembers *members)
{
  for (uint32_t i = 1; i < members->members->len; i++)
    if (is_present (member_at (members, i)))
      return false;
  return true;
}

/* Whether the daemon at ADDRESS is a member that other members probe. */
static bool
is_present_at (const GsMembers *members, const GsPeerAddress *address)
{
  const GsMemberInfo *info = gs_members_find_address (members, address);

  return info != NULL && info->state != GS_MEMBER_DEAD;
}

static void
ask_seeds (GsMembers *members)
{
  uint32_t n_seeds;
  const GsPeerAddress *seeds = gs_rejoin_seeds (members->rejoin, &n_seeds);
  bool all;

  if (!gs_rejoin_seeds_due (members->rejoin, is_alone (members), members->now_us, &all))
    return;
  for (uint32_t i = 0; i < n_seeds; i++)
    if (!is_own_address (members, &seeds[i]) && (all || !is_present_at (members, &seeds[i])))
      send_message (members, &seeds[i], GS_MEMBER_MESSAGE_PULL, 0, NULL);
}

/* Pings the next dead member. If it lives, it refutes that. */
static void
ask_lost_member (GsMembers *members)
{
  uint32_t count = members->members->len;

  if (!gs_rejoin_lost_due (members->rejoin, members->now_us))
    return;
  for (uint32_t i = 0; i < count; i++)
    {
      const Member *member = member_at (members, members->next_lost++ % count);
      GsPeerAddress to = address_of (&member->info);
      if (is_present (member) || is_own_address (members, &to))
        continue;
      send_message (members, &to, GS_MEMBER_MESSAGE_PING, ++members->sequence, NULL);
      return;
    }
}

void
gs_members_tick (GsMembers *members, int64_t now_us)
{
  members->now_us = now_us;
  ask_seeds (members);
  ask_lost_member (members);
  if (now_us >= members->next_period_us)
    begin_period (members);
  for (uint32_t i = 0; i < GS_MEMBER_RINGS; i++)
    {
      RingProbe *probe = &members->rings[i];
      Member *target = probe->sequence != 0 ? find_by_hash (members, probe->target) : NULL;
      if (target != NULL && !probe->indirect_requested
          && now_us - probe->sent_us >= MEMBER_ACK_TIMEOUT_US / 2)
        request_indirect_pings (members, probe, target);
    }
}

static void
send_indirect_ping (GsMembers *members, const GsMemberMessage *message)
{
  Member *target = find_by_hash (members, gs_hash_name (message->target));
  IndirectPing *indirect_ping
      = &members->indirect_pings[members->next_indirect_ping++ % MEMBER_INDIRECT_PINGS_MAX];
  GsPeerAddress to;

  if (target == NULL)
    return;
  *indirect_ping = (IndirectPing){ .sequence = ++members->sequence,
                                   .origin_sequence = message->sequence,
                                   .origin = address_of (&message->from) };
  to = address_of (&target->info);
  send_message (members, &to, GS_MEMBER_MESSAGE_PING, indirect_ping->sequence, NULL);
}

static void
receive_ack (GsMembers *members, const GsMemberMessage *message)
{
  for (uint32_t i = 0; i < GS_MEMBER_RINGS; i++)
    {
      RingProbe *probe = &members->rings[i];
      Member *target;
      if (probe->sequence == 0 || probe->sequence != message->sequence)
        continue;
      probe->sequence = 0;
      target = find_by_hash (members, probe->target);
      if (target == NULL)
        continue;
      target->unreachable_until_us = strcmp (message->from.id, target->info.id) == 0
                                         ? 0 /* direct answer, not through an indirect ping */
                                         : members->now_us + MEMBER_UNREACHABLE_US;
    }
  for (uint32_t i = 0; i < MEMBER_INDIRECT_PINGS_MAX; i++)
    {
      IndirectPing *indirect_ping = &members->indirect_pings[i];
      if (indirect_ping->sequence == 0 || indirect_ping->sequence != message->sequence)
        continue;
      indirect_ping->sequence = 0;
      send_message (members, &indirect_ping->origin, GS_MEMBER_MESSAGE_ACK,
                    indirect_ping->origin_sequence, NULL);
    }
}

static void
compare_digest (GsMembers *members, const GsMemberMessage *message)
{
  GsPeerAddress from = address_of (&message->from);

  if (message->digest == members->digest)
    {
      members->digest_mismatches = 0;
      return;
    }
  if (++members->digest_mismatches < MEMBER_DIGEST_MISMATCH_MAX
      || members->now_us < members->next_pull_us)
    return;
  members->digest_mismatches = 0;
  members->next_pull_us = members->now_us + MEMBER_PULL_INTERVAL_US;
  send_message (members, &from, GS_MEMBER_MESSAGE_PULL, 0, NULL);
}

void
gs_members_receive (GsMembers *members, const GsMemberMessage *message, int64_t now_us)
{
  GsPeerAddress from = address_of (&message->from);

  members->now_us = now_us;
  members->last_received_us = now_us;
  members->has_met = members->has_met || !is_own_address (members, &from);
  apply_update (members, &message->from, false);
  for (uint32_t i = 0; i < message->n_updates; i++)
    apply_update (members, &message->updates[i], message->kind == GS_MEMBER_MESSAGE_MEMBERS);
  if (message->kind != GS_MEMBER_MESSAGE_POSITION && message->position > members->position
      && message->position >= members->newest_position)
    {
      members->newest_position = message->position;
      members->newest_address = from;
    }
  switch (message->kind)
    {
    case GS_MEMBER_MESSAGE_PING:
      send_message (members, &from, GS_MEMBER_MESSAGE_ACK, message->sequence, NULL);
      compare_digest (members, message);
      break;
    case GS_MEMBER_MESSAGE_ACK:
      receive_ack (members, message);
      compare_digest (members, message);
      break;
    case GS_MEMBER_MESSAGE_PING_REQUEST:
      send_indirect_ping (members, message);
      break;
    case GS_MEMBER_MESSAGE_PULL:
      send_all_members (members, &from);
      break;
    case GS_MEMBER_MESSAGE_MEMBERS:
    case GS_MEMBER_MESSAGE_POSITION:
      break;
    }
}

void
gs_members_join (GsMembers *members, const GsPeerAddress *address)
{
  gs_rejoin_add_seed (members->rejoin, address);
  send_message (members, address, GS_MEMBER_MESSAGE_PULL, 0, NULL);
}

void
gs_members_set_seeds (GsMembers *members, const GsPeerAddress *seeds, uint32_t n_seeds)
{
  gs_rejoin_set_seeds (members->rejoin, seeds, n_seeds);
}

uint32_t
gs_members_n_seeds (const GsMembers *members)
{
  uint32_t n_seeds;

  gs_rejoin_seeds (members->rejoin, &n_seeds);
  return n_seeds;
}

bool
gs_members_expects_others (const GsMembers *members)
{
  uint32_t n_seeds;
  const GsPeerAddress *seeds = gs_rejoin_seeds (members->rejoin, &n_seeds);

  for (uint32_t i = 0; i < n_seeds && !members->has_met; i++)
    if (!is_own_address (members, &seeds[i]))
      return true;
  return false;
}

/* Announces INFO, which is this daemon's with changes, if there are any. */
static void
announce (GsMembers *members, GsMemberInfo *info)
{
  Member *self = member_at (members, 0);

  if (info->state == self->info.state && info->ready == self->info.ready
      && info->full == self->info.full)
    return;
  info->version++;
  store_info (members, self, info);
  members->next_period_us = 0; /* send at the next tick */
}

void
gs_members_set_ready (GsMembers *members, bool ready)
{
  GsMemberInfo info = member_at (members, 0)->info;

  info.ready = ready ? 1 : 0;
  announce (members, &info);
}

void
gs_members_set_full (GsMembers *members, bool full)
{
  GsMemberInfo info = member_at (members, 0)->info;

  info.full = full ? 1 : 0;
  announce (members, &info);
}

void
gs_members_leave (GsMembers *members)
{
  GsMemberInfo info = member_at (members, 0)->info;

  info.state = GS_MEMBER_LEAVING;
  announce (members, &info);
}

void
gs_members_set_position (GsMembers *members, uint64_t position)
{
  members->position = position;
}

void
gs_members_announce_position (GsMembers *members)
{
  const GsMemberInfo *self = &member_at (members, 0)->info;

  for (uint32_t i = 1; i < members->members->len; i++)
    {
      const GsMemberInfo *info = &member_at (members, i)->info;
      GsMemberMessage message = { .kind = GS_MEMBER_MESSAGE_POSITION,
                                  .digest = members->digest,
                                  .position = members->position,
                                  .from = *self };
      GsPeerAddress to = address_of (info);
      if (info->state != GS_MEMBER_DEAD && strcmp (info->failure_domain, self->failure_domain) == 0)
        members->options.message_handler (&to, &message, members->options.data);
    }
}

uint64_t
gs_members_newest_position (const GsMembers *members, GsPeerAddress *address)
{
  *address = members->newest_address;
  return members->newest_position;
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
  return &member_at (members, index)->info;
}

const GsMemberInfo *
gs_members_find (const GsMembers *members, const char *id)
{
  const Member *member = find_by_hash (members, gs_hash_name (id));

  return member == NULL ? NULL : &member->info;
}

bool
gs_members_reachable (const GsMembers *members, uint32_t index)
{
  return member_at (members, index)->unreachable_until_us <= members->now_us;
}

bool
gs_members_takes_callers (const GsMembers *members, uint32_t index)
{
  const GsMemberInfo *info = &member_at (members, index)->info;

  return info->state == GS_MEMBER_ALIVE && info->ready != 0 && info->full == 0
         && gs_members_reachable (members, index);
}

void
gs_members_record_path (GsMembers *members, const char *id, bool works, int64_t now_us)
{
  Member *member = find_by_hash (members, gs_hash_name (id));

  if (member != NULL)
    member->unreachable_until_us = works ? 0 : now_us + MEMBER_UNREACHABLE_US;
}

/* DOMAIN: hash of the failure domain to which homes are confined; 0: none. */
static bool
may_be_home (const Member *member, uint64_t domain)
{
  return member->info.state == GS_MEMBER_ALIVE && member->info.ready != 0
         && (domain == 0 || gs_hash_name (member->info.failure_domain) == domain);
}

static bool
is_domain_picked (const GsMembers *members,
                  const uint32_t *indexes,
                  uint32_t count,
                  const Member *member)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (member_at (members, indexes[i])->info.failure_domain, member->info.failure_domain)
        == 0)
      return true;
  return false;
}

static bool
is_picked (const uint32_t *indexes, uint32_t count, uint32_t index)
{
  for (uint32_t i = 0; i < count; i++)
    if (indexes[i] == index)
      return true;
  return false;
}

/* CPU share from which a member is a preferred home: half of the largest one. */
static uint32_t
preferred_min_millicores (const GsMembers *members, uint64_t domain)
{
  uint32_t max_millicores = 0;

  for (uint32_t i = 0; i < members->members->len; i++)
    if (may_be_home (member_at (members, i), domain))
      max_millicores = MAX (max_millicores, member_at (members, i)->info.millicores);
  return (max_millicores + 1) / 2;
}

/* Rendezvous weight for KEY; members below MIN_MILLICORES weigh less than all others. */
static uint64_t
rendezvous_weight (const Member *member, uint64_t key, uint32_t min_millicores)
{
  uint64_t weight = gs_mix64 (member->hash ^ key) >> 1;

  return member->info.millicores >= min_millicores ? weight | UINT64_C (1) << 63 : weight;
}

static int64_t
best_home (const GsMembers *members,
           uint64_t domain,
           uint64_t key,
           uint32_t min_millicores,
           const uint32_t *indexes,
           uint32_t picked,
           bool new_domain)
{
  int64_t best = -1;
  uint64_t best_weight = 0;

  for (uint32_t i = 0; i < members->members->len; i++)
    {
      const Member *member = member_at (members, i);
      uint64_t weight = rendezvous_weight (member, key, min_millicores);
      if (!may_be_home (member, domain) || (best >= 0 && weight <= best_weight)
          || is_picked (indexes, picked, i)
          || (new_domain && is_domain_picked (members, indexes, picked, member)))
        continue;
      best = i;
      best_weight = weight;
    }
  return best;
}

static uint32_t
pick_homes (const GsMembers *members,
            uint64_t domain,
            uint64_t key,
            uint32_t min_millicores,
            uint32_t count,
            uint32_t *indexes)
{
  uint32_t picked = 0;

  while (picked < count)
    {
      int64_t best = best_home (members, domain, key, min_millicores, indexes, picked, true);
      if (best < 0)
        best = best_home (members, domain, key, min_millicores, indexes, picked, false);
      if (best < 0)
        break;
      indexes[picked++] = (uint32_t)best;
    }
  return picked;
}

uint32_t
gs_members_homes (const GsMembers *members, uint64_t key, uint32_t count, uint32_t *indexes)
{
  return pick_homes (members, 0, key, preferred_min_millicores (members, 0), count, indexes);
}

uint32_t
gs_members_domain_homes (const GsMembers *members,
                         uint64_t domain,
                         uint64_t key,
                         uint32_t count,
                         uint32_t *indexes)
{
  return pick_homes (members, domain, key, preferred_min_millicores (members, domain), count,
                     indexes);
}

uint32_t
gs_members_homes_any_cpu (const GsMembers *members, uint64_t key, uint32_t count, uint32_t *indexes)
{
  return pick_homes (members, 0, key, 0, count, indexes);
}

static bool
is_in_own_domain (const GsMembers *members, const GsMemberInfo *info)
{
  return strcmp (info->failure_domain, member_at (members, 0)->info.failure_domain) == 0;
}

uint32_t
gs_members_domain_rank (const GsMembers *members, uint64_t key)
{
  const Member *self = member_at (members, 0);
  uint32_t min_millicores = preferred_min_millicores (members, 0);
  uint64_t own = rendezvous_weight (self, key, min_millicores);
  uint32_t rank = 0;

  for (uint32_t i = 1; i < members->members->len; i++)
    {
      const Member *member = member_at (members, i);
      if (member->info.state == GS_MEMBER_ALIVE && is_in_own_domain (members, &member->info)
          && rendezvous_weight (member, key, min_millicores) > own)
        rank++;
    }
  return rank;
}

uint32_t
gs_members_domain_size (const GsMembers *members)
{
  uint32_t size = 1;

  for (uint32_t i = 1; i < members->members->len; i++)
    {
      const GsMemberInfo *info = &member_at (members, i)->info;
      size += info->state == GS_MEMBER_ALIVE && is_in_own_domain (members, info) ? 1 : 0;
    }
  return size;
}

uint32_t
gs_members_domain_index (const GsMembers *members, uint32_t *n)
{
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);
  const char *own = member_at (members, 0)->info.failure_domain;
  uint32_t index = 0;

  for (uint32_t i = 0; i < members->members->len; i++)
    {
      const char *name = member_at (members, i)->info.failure_domain;
      if (g_hash_table_add (names, (gpointer)name) && strcmp (name, own) < 0)
        index++;
    }
  *n = g_hash_table_size (names);
  return index;
}

bool
gs_members_precedes (const GsMembers *members, const GsMemberInfo *member, uint64_t key)
{
  const Member *other = find_by_hash (members, gs_hash_name (member->id));
  uint32_t min_millicores = preferred_min_millicores (members, 0);

  return other != NULL && is_in_own_domain (members, member)
         && rendezvous_weight (other, key, min_millicores)
                > rendezvous_weight (member_at (members, 0), key, min_millicores);
}

const GsMemberInfo *
gs_members_find_hash (const GsMembers *members, uint64_t hash)
{
  const Member *member = find_by_hash (members, hash);

  return member != NULL ? &member->info : NULL;
}

const GsMemberInfo *
gs_members_find_address (const GsMembers *members, const GsPeerAddress *address)
{
  for (uint32_t i = 0; i < members->members->len; i++)
    {
      const GsMemberInfo *info = &member_at (members, i)->info;
      if (info->ipv4 == address->ipv4 && info->peer_port == address->peer_port)
        return info;
    }
  return NULL;
}

typedef struct
{
  uint64_t distance; /* from this daemon along the ring */
  uint32_t index;
} RingPosition;

static int
compare_positions (gconstpointer a, gconstpointer b)
{
  const RingPosition *first = a;
  const RingPosition *second = b;

  return first->distance < second->distance ? -1 : first->distance > second->distance;
}

uint32_t
gs_members_relays (const GsMembers *members, uint32_t *indexes)
{
  const Member *self = member_at (members, 0);
  g_autoptr (GArray) ring = g_array_new (FALSE, FALSE, sizeof (RingPosition));
  uint32_t step;

  for (uint32_t i = 1; i < members->members->len; i++)
    {
      const Member *member = member_at (members, i);
      RingPosition position = { .distance = member->hash - self->hash, .index = i };
      if ((member->info.state == GS_MEMBER_ALIVE || member->info.state == GS_MEMBER_LEAVING)
          && strcmp (member->info.failure_domain, self->info.failure_domain) == 0)
        g_array_append_val (ring, position);
    }
  if (ring->len == 0)
    return 0;
  g_array_sort (ring, compare_positions);
  indexes[0] = g_array_index (ring, RingPosition, 0).index;
  step = (uint32_t)ceil (sqrt (ring->len + 1));
  if (step <= 1 || step > ring->len)
    return 1;
  indexes[1] = g_array_index (ring, RingPosition, step - 1).index;
  return 2;
}
