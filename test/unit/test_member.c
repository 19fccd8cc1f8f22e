/* Unit tests of core/member: 12 members on an in-memory network whose links can be blocked. */
#include "fixture.h"

#include "../../src/gentian/rejoin/rejoin.h"

enum
{
  NODES = 12
};

typedef struct
{
  GsMembers *members[NODES];
  GQueue datagrams;           /* of Datagram, in transit */
  bool stopped[NODES];        /* killed or paused: neither sends nor receives */
  bool blocked[NODES][NODES]; /* from, to */
  int64_t now_us;
  int sender;
  uint64_t sent[NODES];
} Network;

typedef struct
{
  int from;
  int to;
  GsMemberMessage message;
} Datagram;

typedef struct
{
  Network *network;
  int index;
} Node;

static Node nodes[NODES];

/* The message_handler of all members: puts the message on the network. */
static void
enqueue_message (const GsPeerAddress *to, const GsMemberMessage *message, void *data)
{
  Node *node = data;
  Datagram *datagram = g_new0 (Datagram, 1);

  node->network->sent[node->index]++;
  *datagram = (Datagram){ .from = node->index, .to = (int)to->ipv4 - 1, .message = *message };
  g_queue_push_tail (&node->network->datagrams, datagram);
}

/* RETURN VALUE: the member at INDEX at its start; each third one is in the same failure domain. */
static GsMemberInfo
member_info (int index)
{
  char id[16];
  char domain[16];
  GsMemberInfo info;

  g_snprintf (id, sizeof id, "n%02d", index);
  g_snprintf (domain, sizeof domain, "d%d", index % 3);
  info = fixture_member (id, domain);
  info.ipv4 = (uint32_t)index + 1;
  info.ready = 0;
  return info;
}

/* Starts the member at INDEX, which joins through the member at 0, the seed. */
static void
start_member (Network *network, int index)
{
  nodes[index] = (Node){ network, index };
  network->members[index] = gs_members_new (&(GsMembersOptions){ .self = member_info (index),
                                                                 .seed = (uint64_t)index,
                                                                 .message_handler = enqueue_message,
                                                                 .data = &nodes[index] });
  gs_members_set_ready (network->members[index], true);
  if (index > 0)
    gs_members_join (network->members[index], &(GsPeerAddress){ .ipv4 = 1, .peer_port = 90 });
}

/* Delivers the datagrams in transit, except those over blocked links. */
static void
deliver (Network *network)
{
  guint count = network->datagrams.length;

  while (count-- > 0)
    {
      Datagram *datagram = g_queue_pop_head (&network->datagrams);
      if (!network->stopped[datagram->to] && !network->stopped[datagram->from]
          && !network->blocked[datagram->from][datagram->to])
        gs_members_receive (network->members[datagram->to], &datagram->message, network->now_us);
      g_free (datagram->message.updates);
      g_free (datagram);
    }
}

static void
run_for (Network *network, int64_t time_us)
{
  for (int64_t end_us = network->now_us + time_us; network->now_us < end_us;
       network->now_us += 10 * GS_US_PER_MS)
    {
      for (int i = 0; i < NODES; i++)
        if (!network->stopped[i])
          gs_members_tick (network->members[i], network->now_us);
      deliver (network);
      deliver (network);
    }
}

/* Starts all members and runs them until they know each other. */
static void
network_start (Network *network)
{
  memset (network, 0, sizeof *network);
  network->now_us = GS_US_PER_S;
  for (int i = 0; i < NODES; i++)
    start_member (network, i);
  run_for (network, 10 * GS_US_PER_S);
}

static void
network_free (Network *network)
{
  Datagram *datagram;

  while ((datagram = g_queue_pop_head (&network->datagrams)) != NULL)
    {
      g_free (datagram->message.updates);
      g_free (datagram);
    }
  for (int i = 0; i < NODES; i++)
    gs_members_free (network->members[i]);
}

/* RETURN VALUE: number of running members that consider TARGET to be in STATE. */
static int
count_views (const Network *network, int target, GsMemberState state)
{
  int count = 0;

  for (int i = 0; i < NODES; i++)
    {
      const GsMemberInfo *info = gs_members_find (network->members[i], member_info (target).id);
      count += !network->stopped[i] && i != target && info != NULL && info->state == state ? 1 : 0;
    }
  return count;
}

START_TEST (all_members_find_each_other)
{
  Network network;

  network_start (&network);
  for (int i = 0; i < NODES; i++)
    ck_assert_uint_eq (gs_members_count (network.members[i]), NODES);
  for (int i = 0; i < NODES; i++)
    ck_assert_int_eq (count_views (&network, i, GS_MEMBER_ALIVE), NODES - 1);
  network_free (&network);
}
END_TEST

/* Guards against members that stay alone when all start at once and the seed does not listen yet at
 * the first pull. */
START_TEST (join_is_repeated_until_the_seed_answers)
{
  Network network = { .now_us = GS_US_PER_S };

  for (int i = 0; i < NODES; i++)
    start_member (&network, i);
  network.stopped[0] = true;
  run_for (&network, 100 * GS_US_PER_MS);
  network.stopped[0] = false;
  run_for (&network, 1000 * GS_US_PER_MS);
  for (int i = 0; i < NODES; i++)
    {
      uint32_t indexes[NODES];
      ck_assert_uint_eq (gs_members_homes (network.members[i], 5, NODES, indexes), NODES);
    }
  network_free (&network);
}
END_TEST

/* RETURN VALUE: whether all running members consider all others that run to be alive. */
static bool
is_one_fleet (const Network *network)
{
  for (int i = 0; i < NODES; i++)
    for (int j = 0; j < NODES; j++)
      {
        const GsMemberInfo *info = gs_members_find (network->members[i], member_info (j).id);
        if (i != j && !network->stopped[i] && !network->stopped[j]
            && (info == NULL || info->state != GS_MEMBER_ALIVE))
          return false;
      }
  return true;
}

/* Guards against members that stay fleets of their own since their seed was down when they started.
 */
START_TEST (seed_that_returns_late_joins_the_fleet)
{
  Network network = { .now_us = GS_US_PER_S };

  for (int i = 0; i < NODES; i++)
    start_member (&network, i);
  network.stopped[0] = true;
  run_for (&network, 20 * GS_US_PER_S);
  ck_assert_uint_eq (gs_members_count (network.members[5]), 1);
  network.stopped[0] = false;
  run_for (&network, GS_REJOIN_BOUND_US);
  ck_assert (is_one_fleet (&network));
  network_free (&network);
}
END_TEST

/* Guards against two halves that each take the other one for dead for good after a cut. */
START_TEST (halves_meet_again_after_a_long_cut)
{
  Network network;

  network_start (&network);
  for (int i = 0; i < NODES; i++)
    for (int j = 0; j < NODES; j++)
      network.blocked[i][j] = i % 2 != j % 2;
  run_for (&network, 60 * GS_US_PER_S);
  ck_assert_int_eq (count_views (&network, 3, GS_MEMBER_DEAD), NODES / 2);
  memset (network.blocked, 0, sizeof network.blocked);
  run_for (&network, GS_REJOIN_BOUND_US);
  ck_assert (is_one_fleet (&network));
  network_free (&network);
}
END_TEST

/* Guards against members that are taken for dead, and are no homes, because others that could not
 * reach them say so once they can. */
START_TEST (end_of_a_cut_makes_no_member_look_dead)
{
  Network network;
  uint32_t homes[NODES];
  uint32_t fewest = NODES;

  network_start (&network);
  for (int i = 0; i < NODES; i++)
    for (int j = 0; j < NODES; j++)
      network.blocked[i][j] = i % 2 != j % 2;
  run_for (&network, 60 * GS_US_PER_S);
  memset (network.blocked, 0, sizeof network.blocked);
  for (int step = 0; step < 150; step++)
    {
      run_for (&network, 100 * GS_US_PER_MS);
      for (int i = 0; i < NODES; i++)
        fewest = MIN (fewest, gs_members_homes (network.members[i], 5, NODES, homes));
    }
  ck_assert_uint_ge (fewest, NODES / 2);
  network_free (&network);
}
END_TEST

/* Guards against a fleet that never learns of seeds that were set while it ran. */
START_TEST (changed_seeds_join_two_fleets)
{
  Network network = { .now_us = GS_US_PER_S };
  GsPeerAddress seeds[] = { { .ipv4 = 3, .peer_port = 90 }, { .ipv4 = 4, .peer_port = 90 } };

  for (int i = 0; i < NODES; i++)
    start_member (&network, i);
  network.stopped[0] = true;
  run_for (&network, 20 * GS_US_PER_S);
  for (int i = 1; i < NODES; i++)
    gs_members_set_seeds (network.members[i], seeds, G_N_ELEMENTS (seeds));
  run_for (&network, 3 * GS_US_PER_S);
  ck_assert (is_one_fleet (&network));
  network_free (&network);
}
END_TEST

/* Guards against a daemon that takes itself for a whole fleet before it has met any other. */
START_TEST (member_has_met_nobody_until_another_one_answers)
{
  Network network = { .now_us = GS_US_PER_S };
  GsPeerAddress own = { .ipv4 = 3, .peer_port = 90 };

  for (int i = 0; i < NODES; i++)
    start_member (&network, i);
  ck_assert (gs_members_expects_others (network.members[1]));
  ck_assert (!gs_members_expects_others (network.members[0])); /* it has no seeds */
  gs_members_set_seeds (network.members[2], &own, 1);
  ck_assert (!gs_members_expects_others (network.members[2]));
  network.stopped[0] = true;
  run_for (&network, 2 * GS_US_PER_S);
  ck_assert (gs_members_expects_others (network.members[1]));
  network.stopped[0] = false;
  run_for (&network, 2 * GS_US_PER_S);
  ck_assert (!gs_members_expects_others (network.members[1]));
  network_free (&network);
}
END_TEST

/* Guards against a dead daemon that stays home of a pool or in the answers to address lookups. */
START_TEST (dead_member_is_no_home_after_3_s)
{
  Network network;
  uint32_t homes[NODES];

  network_start (&network);
  network.stopped[5] = true;
  run_for (&network, 3 * GS_US_PER_S);
  for (int i = 0; i < NODES; i++)
    {
      uint32_t count = i == 5 ? 0 : gs_members_homes (network.members[i], 77, NODES, homes);
      for (uint32_t j = 0; j < count; j++)
        ck_assert_str_ne (gs_members_get (network.members[i], homes[j])->id, "n05");
    }
  run_for (&network, 6 * GS_US_PER_S);
  ck_assert_int_eq (count_views (&network, 5, GS_MEMBER_DEAD), NODES - 1);
  network_free (&network);
}
END_TEST

/* Guards against declaring a member dead because one other member cannot reach it. */
START_TEST (one_way_partitions_of_pairs_remove_no_member)
{
  Network network;

  network_start (&network);
  for (int i = 0; i < NODES; i++)
    for (int j = 0; j < NODES; j++)
      network.blocked[i][j] = i + 1 == j;
  run_for (&network, 30 * GS_US_PER_S);
  for (int i = 0; i < NODES; i++)
    ck_assert_int_eq (count_views (&network, i, GS_MEMBER_ALIVE), NODES - 1);
  network_free (&network);
}
END_TEST

/* Guards against suspecting all others when a member receives nothing over its own faulty link. */
START_TEST (isolated_member_suspects_nobody)
{
  Network network;

  network_start (&network);
  for (int i = 0; i < NODES; i++)
    network.blocked[i][3] = true;
  run_for (&network, 10 * GS_US_PER_S);
  ck_assert (gs_members_isolated (network.members[3]));
  for (int i = 0; i < NODES; i++)
    if (i != 3)
      {
        ck_assert_int_eq (count_views (&network, i, GS_MEMBER_ALIVE), NODES - 1);
        ck_assert_int_eq (gs_members_find (network.members[3], member_info (i).id)->state,
                          GS_MEMBER_ALIVE);
      }
  network_free (&network);
}
END_TEST

/* Guards against dead members that stay undetected because the members that probe them died too. */
START_TEST (survivors_of_a_large_loss_detect_all_dead_members)
{
  Network network;

  network_start (&network);
  for (int i = 4; i < NODES; i++)
    network.stopped[i] = true;
  run_for (&network, 15 * GS_US_PER_S);
  for (int i = 4; i < NODES; i++)
    ck_assert_int_eq (count_views (&network, i, GS_MEMBER_DEAD), 4);
  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (count_views (&network, i, GS_MEMBER_ALIVE), 3);
  network_free (&network);
}
END_TEST

/* Guards against a member that stays dead for the others after a pause. */
START_TEST (paused_member_becomes_alive_again)
{
  Network network;

  network_start (&network);
  network.stopped[4] = true;
  run_for (&network, 8 * GS_US_PER_S);
  network.stopped[4] = false;
  run_for (&network, 8 * GS_US_PER_S);
  ck_assert_int_eq (count_views (&network, 4, GS_MEMBER_ALIVE), NODES - 1);
  network_free (&network);
}
END_TEST

/* Guards against choosing a home that is about to stop. */
START_TEST (leaving_member_is_known_to_all_and_no_home)
{
  Network network;
  uint32_t homes[NODES];

  network_start (&network);
  gs_members_leave (network.members[2]);
  run_for (&network, 2 * GS_US_PER_S);
  ck_assert_int_eq (count_views (&network, 2, GS_MEMBER_LEAVING), NODES - 1);
  for (int i = 0; i < NODES; i++)
    ck_assert_uint_eq (gs_members_homes (network.members[i], 1, NODES, homes), NODES - 1);
  network_free (&network);
}
END_TEST

/* Guards against members that choose different homes for a pool, and against losing all its homes
 * with one failure domain. */
START_TEST (members_agree_on_homes_in_different_domains)
{
  Network network;
  uint32_t first[3];
  uint32_t other[3];

  network_start (&network);
  for (uint64_t key = 1; key < 40; key++)
    {
      gs_members_homes (network.members[0], gs_mix64 (key), 3, first);
      gs_members_homes (network.members[7], gs_mix64 (key), 3, other);
      for (int i = 0; i < 3; i++)
        ck_assert_str_eq (gs_members_get (network.members[0], first[i])->id,
                          gs_members_get (network.members[7], other[i])->id);
      for (int i = 0; i < 2; i++)
        ck_assert_str_ne (gs_members_get (network.members[0], first[i])->failure_domain,
                          gs_members_get (network.members[0], first[i + 1])->failure_domain);
    }
  network_free (&network);
}
END_TEST

/* Guards against homes on instances with little CPU while there are larger ones: a home works for
 * the complete fleet. */
START_TEST (members_with_more_cpu_are_homes_and_readers_first)
{
  Network network = { .now_us = GS_US_PER_S };
  GsMemberMessage message = { .kind = GS_MEMBER_MESSAGE_MEMBERS };
  uint32_t homes[3];

  nodes[0] = (Node){ &network, 0 };
  network.members[0] = gs_members_new (&(GsMembersOptions){
      .self = member_info (0), .seed = 1, .message_handler = enqueue_message, .data = &nodes[0] });
  for (int i = 1; i < NODES; i++)
    {
      message.from = member_info (i);
      message.from.ready = 1;
      message.from.millicores = i == 3 || i == 7 ? 500 : 100;
      gs_members_receive (network.members[0], &message, network.now_us);
    }
  for (uint64_t key = 1; key < 40; key++)
    {
      ck_assert_uint_eq (gs_members_homes (network.members[0], gs_mix64 (key), 3, homes), 3);
      ck_assert_uint_eq (gs_members_get (network.members[0], homes[0])->millicores, 500);
      ck_assert_uint_eq (gs_members_get (network.members[0], homes[1])->millicores, 500);
      ck_assert_uint_ge (gs_members_domain_rank (network.members[0], gs_mix64 (key)), 1);
    }
  for (int i = 1; i < NODES; i++)
    network.members[i] = gs_members_new (
        &(GsMembersOptions){ .self = member_info (i), .message_handler = enqueue_message });
  network_free (&network);
}
END_TEST

/* Guards against a live member that never learns that others consider it dead, because that update
 * is no longer sent: each update is sent a limited number of times only. */
START_TEST (member_believed_dead_learns_it_from_the_ack)
{
  Network network = { .now_us = GS_US_PER_S };
  GsMemberMessage message = { .kind = GS_MEMBER_MESSAGE_ACK, .from = member_info (1) };
  GsMemberInfo dead = member_info (2);
  GsMemberMessage ping = { .kind = GS_MEMBER_MESSAGE_PING, .sequence = 9, .from = member_info (2) };
  Datagram *datagram = NULL;
  bool included = false;

  nodes[0] = (Node){ &network, 0 };
  network.members[0] = gs_members_new (&(GsMembersOptions){
      .self = member_info (0), .seed = 1, .message_handler = enqueue_message, .data = &nodes[0] });
  dead.state = GS_MEMBER_DEAD;
  gs_members_receive (network.members[0],
                      &(GsMemberMessage){ .kind = GS_MEMBER_MESSAGE_ACK, .from = member_info (2) },
                      network.now_us);
  message.updates = &dead;
  message.n_updates = 1;
  gs_members_receive (network.members[0], &message, network.now_us);
  for (int i = 0; i < 400; i++, network.now_us += 100 * GS_US_PER_MS)
    gs_members_tick (network.members[0], network.now_us);
  gs_members_receive (network.members[0], &ping, network.now_us);
  datagram = g_queue_peek_tail (&network.datagrams);
  ck_assert_int_eq (datagram->to, 2);
  for (uint32_t i = 0; i < datagram->message.n_updates; i++)
    included = included
               || (strcmp (datagram->message.updates[i].id, dead.id) == 0
                   && datagram->message.updates[i].state == GS_MEMBER_DEAD);
  ck_assert (included);
  for (int i = 1; i < NODES; i++)
    network.members[i] = gs_members_new (
        &(GsMembersOptions){ .self = member_info (i), .message_handler = enqueue_message });
  network_free (&network);
}
END_TEST

/* Guards against a restarted daemon that stays dead for the others: its clock was set back, so its
 * incarnation is lower than that of its previous run. */
START_TEST (restart_with_an_older_incarnation_refutes_its_death)
{
  Network network = { .now_us = GS_US_PER_S };
  GsMemberMessage message = { .kind = GS_MEMBER_MESSAGE_ACK, .from = member_info (1) };
  GsMemberInfo before = member_info (0);
  const GsMemberInfo *self;

  nodes[0] = (Node){ &network, 0 };
  network.members[0] = gs_members_new (&(GsMembersOptions){
      .self = member_info (0), .seed = 1, .message_handler = enqueue_message, .data = &nodes[0] });
  before.incarnation += 5;
  before.version = 3;
  before.state = GS_MEMBER_DEAD;
  message.updates = &before;
  message.n_updates = 1;
  gs_members_receive (network.members[0], &message, network.now_us);
  self = gs_members_get (network.members[0], 0);
  ck_assert_int_eq (self->state, GS_MEMBER_ALIVE);
  ck_assert_uint_ge (self->incarnation, before.incarnation);
  ck_assert_uint_gt (self->version, before.version);
  for (int i = 1; i < NODES; i++)
    network.members[i] = gs_members_new (
        &(GsMembersOptions){ .self = member_info (i), .message_handler = enqueue_message });
  network_free (&network);
}
END_TEST

/* Guards against pulling the tables from the first daemon that reported a position, which may
 * have stopped since, or may serve all other pulls too. */
START_TEST (last_sender_of_the_position_is_pulled_from)
{
  Network network = { .now_us = GS_US_PER_S };
  GsPeerAddress address;

  nodes[0] = (Node){ &network, 0 };
  network.members[0] = gs_members_new (&(GsMembersOptions){
      .self = member_info (0), .seed = 1, .message_handler = enqueue_message, .data = &nodes[0] });
  for (int i = 1; i < NODES; i++)
    {
      GsMemberMessage message
          = { .kind = GS_MEMBER_MESSAGE_ACK, .position = 7, .from = member_info (i) };
      gs_members_receive (network.members[0], &message, network.now_us);
      ck_assert_uint_eq (gs_members_newest_position (network.members[0], &address), 7);
      ck_assert_uint_eq (address.ipv4, (uint32_t)i + 1);
    }
  gs_members_set_position (network.members[0], 7);
  for (int i = 1; i < NODES; i++)
    network.members[i] = gs_members_new (
        &(GsMembersOptions){ .self = member_info (i), .message_handler = enqueue_message });
  network_free (&network);
}
END_TEST

/* Guards against an announcement that all members of a domain answer with a pull from one daemon,
 * and against one that crosses failure domains. */
START_TEST (announced_position_is_stated_to_the_own_domain_and_not_pulled)
{
  Network network;
  GsPeerAddress address;

  network_start (&network);
  while (network.datagrams.length > 0)
    deliver (&network);
  gs_members_set_position (network.members[0], 7);
  network.sent[0] = 0;
  gs_members_announce_position (network.members[0]);
  ck_assert_uint_eq (network.sent[0], NODES / 3 - 1);
  while (network.datagrams.length > 0)
    {
      Datagram *datagram = g_queue_pop_head (&network.datagrams);
      ck_assert_uint_eq (datagram->message.position, 7);
      ck_assert_int_eq (datagram->to % 3, 0);
      gs_members_receive (network.members[datagram->to], &datagram->message, network.now_us);
      ck_assert_uint_eq (gs_members_newest_position (network.members[datagram->to], &address), 0);
      g_free (datagram);
    }
  network_free (&network);
}
END_TEST

/* Guards against members that disagree on the index of a failure domain. */
START_TEST (domains_have_the_same_index_at_all_members)
{
  Network network;
  uint32_t n;

  network_start (&network);
  for (int i = 0; i < NODES; i++)
    {
      ck_assert_uint_eq (gs_members_domain_index (network.members[i], &n), (uint32_t)i % 3);
      ck_assert_uint_eq (n, 3);
    }
  network_free (&network);
}
END_TEST

/* Guards against messages that grow with the number of members. */
START_TEST (messages_per_member_are_bounded)
{
  Network network;
  uint64_t before;

  network_start (&network);
  before = network.sent[0];
  run_for (&network, 10 * GS_US_PER_S);
  /* 20 periods with 4 probes and the answers to about 4 */
  ck_assert_uint_le (network.sent[0] - before, 20 * 4 * 4);
  network_free (&network);
}
END_TEST

START_TEST (large_fleet_is_probed_half_as_often)
{
  Network network = { .now_us = GS_US_PER_S };
  GsMemberMessage message = { .kind = GS_MEMBER_MESSAGE_MEMBERS };

  nodes[0] = (Node){ &network, 0 };
  network.members[0] = gs_members_new (&(GsMembersOptions){
      .self = member_info (0), .seed = 1, .message_handler = enqueue_message, .data = &nodes[0] });
  for (int i = 1; i < 300; i++)
    {
      message.from = member_info (i);
      message.from.ipv4 = 2;
      g_snprintf (message.from.id, sizeof message.from.id, "n%03d", i);
      gs_members_receive (network.members[0], &message, network.now_us);
    }
  network.sent[0] = 0;
  for (int i = 0; i < 1000; i++, network.now_us += 10 * GS_US_PER_MS)
    gs_members_tick (network.members[0], network.now_us);
  /* 10 periods with 4 probes; each is unanswered here, so 2 others are asked to ping */
  ck_assert_uint_le (network.sent[0], 10 * 4 * (1 + GS_MEMBER_INDIRECT_PROBES));
  for (int i = 1; i < NODES; i++)
    network.members[i] = gs_members_new (
        &(GsMembersOptions){ .self = member_info (i), .message_handler = enqueue_message });
  network_free (&network);
}
END_TEST

enum
{
  DOMAIN_SIZE = 99,
};

/* RETURN VALUE: the member at index SELF of a failure domain of DOMAIN_SIZE members. It knows all
 * others; every eighth member is dead. */
static GsMembers *
member_of_domain (int self)
{
  GsMemberInfo infos[DOMAIN_SIZE];
  GsMemberInfo from;

  for (int i = 0; i < DOMAIN_SIZE; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "m%02d", i);
      infos[i] = fixture_member (id, "d");
      infos[i].ipv4 = (uint32_t)i + 1;
      infos[i].state = i % 8 == 7 ? GS_MEMBER_DEAD : GS_MEMBER_ALIVE;
    }
  from = infos[(self + 1) % DOMAIN_SIZE];
  from.state = GS_MEMBER_ALIVE;
  return fixture_members_new (infos[self], (uint64_t)self, from, infos, DOMAIN_SIZE);
}

/* Guards against a daemon that saturates its link by sending an update to every member of its
 * failure domain itself, and therefore receives nothing for seconds (rule CONFIG broken on
 * pgbcma-gate-grown). Forwarded by each member to two others, it must reach all of them within a
 * few hops. */
START_TEST (updates_forwarded_to_two_relays_reach_the_domain)
{
  int hops[DOMAIN_SIZE];
  GQueue reached = G_QUEUE_INIT;
  int most_hops = 0;

  for (int i = 0; i < DOMAIN_SIZE; i++)
    hops[i] = -1;
  hops[0] = 0;
  g_queue_push_tail (&reached, GINT_TO_POINTER (0));
  while (!g_queue_is_empty (&reached))
    {
      int from = GPOINTER_TO_INT (g_queue_pop_head (&reached));
      GsMembers *members = member_of_domain (from);
      uint32_t relays[GS_MEMBER_RELAYS];
      uint32_t n_relays = gs_members_relays (members, relays);
      ck_assert_uint_le (n_relays, GS_MEMBER_RELAYS);
      for (uint32_t i = 0; i < n_relays; i++)
        {
          int to = (int)gs_members_get (members, relays[i])->ipv4 - 1;
          if (hops[to] >= 0)
            continue;
          hops[to] = hops[from] + 1;
          most_hops = MAX (most_hops, hops[to]);
          g_queue_push_tail (&reached, GINT_TO_POINTER (to));
        }
      gs_members_free (members);
    }
  for (int i = 0; i < DOMAIN_SIZE; i++)
    ck_assert_msg (i % 8 == 7 || hops[i] >= 0, "member %d is not reached", i);
  ck_assert_int_le (most_hops, 2 * 10); /* twice the square root of DOMAIN_SIZE */
}
END_TEST

FIXTURE_MAIN ("member",
              &all_members_find_each_other,
              &join_is_repeated_until_the_seed_answers,
              &seed_that_returns_late_joins_the_fleet,
              &halves_meet_again_after_a_long_cut,
              &end_of_a_cut_makes_no_member_look_dead,
              &changed_seeds_join_two_fleets,
              &member_has_met_nobody_until_another_one_answers,
              &dead_member_is_no_home_after_3_s,
              &one_way_partitions_of_pairs_remove_no_member,
              &isolated_member_suspects_nobody,
              &survivors_of_a_large_loss_detect_all_dead_members,
              &paused_member_becomes_alive_again,
              &leaving_member_is_known_to_all_and_no_home,
              &members_agree_on_homes_in_different_domains,
              &members_with_more_cpu_are_homes_and_readers_first,
              &member_believed_dead_learns_it_from_the_ack,
              &restart_with_an_older_incarnation_refutes_its_death,
              &last_sender_of_the_position_is_pulled_from,
              &announced_position_is_stated_to_the_own_domain_and_not_pulled,
              &domains_have_the_same_index_at_all_members,
              &messages_per_member_are_bounded,
              &large_fleet_is_probed_half_as_often,
              &updates_forwarded_to_two_relays_reach_the_domain)
