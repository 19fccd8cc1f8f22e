/* Unit tests of core/member: a few members joined by an in-memory network with cuts. */
#include "fixture.h"

enum
{
  NODES = 12
};

typedef struct
{
  GsMembers *members[NODES];
  GQueue wire; /* of Letter */
  bool dead[NODES];
  bool cut[NODES][NODES]; /* from, to */
  int64_t now_us;
  int sender;
  uint64_t sent[NODES];
} Net;

typedef struct
{
  int from;
  int to;
  GsMemberMessage probe;
} Letter;

typedef struct
{
  Net *net;
  int index;
} Node;

static Node nodes[NODES];

static void
take (const GsPeerAddress *to, const GsMemberMessage *probe, void *data)
{
  Node *node = data;
  Letter *letter = g_new0 (Letter, 1);

  node->net->sent[node->index]++;
  *letter = (Letter){ .from = node->index, .to = (int)to->ipv4 - 1, .probe = *probe };
  g_queue_push_tail (&node->net->wire, letter);
}

static GsMemberInfo
fact_of (int index)
{
  char id[16];
  char domain[16];
  GsMemberInfo fact;

  g_snprintf (id, sizeof id, "n%02d", index);
  g_snprintf (domain, sizeof domain, "d%d", index % 3);
  fact = fixture_member (id, domain);
  fact.ipv4 = (uint32_t)index + 1;
  fact.ready = 0;
  return fact;
}

static void
start (Net *net, int index)
{
  nodes[index] = (Node){ net, index };
  net->members[index] = gs_members_new (&(GsMembersOptions){ .self = fact_of (index),
                                                             .seed = (uint64_t)index,
                                                             .message_handler = take,
                                                             .data = &nodes[index] });
  gs_members_set_ready (net->members[index], true);
  if (index > 0)
    gs_members_join (net->members[index], &(GsPeerAddress){ .ipv4 = 1, .peer_port = 90 });
}

static void
deliver (Net *net)
{
  guint count = net->wire.length;

  while (count-- > 0)
    {
      Letter *letter = g_queue_pop_head (&net->wire);
      if (!net->dead[letter->to] && !net->dead[letter->from] && !net->cut[letter->from][letter->to])
        gs_members_receive (net->members[letter->to], &letter->probe, net->now_us);
      g_free (letter->probe.updates);
      g_free (letter);
    }
}

static void
run (Net *net, int64_t time_us)
{
  for (int64_t end_us = net->now_us + time_us; net->now_us < end_us;
       net->now_us += 10 * GS_US_PER_MS)
    {
      for (int i = 0; i < NODES; i++)
        if (!net->dead[i])
          gs_members_tick (net->members[i], net->now_us);
      deliver (net);
      deliver (net);
    }
}

static void
open_net (Net *net)
{
  memset (net, 0, sizeof *net);
  net->now_us = GS_US_PER_S;
  for (int i = 0; i < NODES; i++)
    start (net, i);
  run (net, 10 * GS_US_PER_S);
}

static void
close_net (Net *net)
{
  Letter *letter;

  while ((letter = g_queue_pop_head (&net->wire)) != NULL)
    {
      g_free (letter->probe.updates);
      g_free (letter);
    }
  for (int i = 0; i < NODES; i++)
    gs_members_free (net->members[i]);
}

static int
views_of (const Net *net, int target, GsMemberState state)
{
  int count = 0;

  for (int i = 0; i < NODES; i++)
    {
      const GsMemberInfo *fact = gs_members_find (net->members[i], fact_of (target).id);
      count += !net->dead[i] && i != target && fact != NULL && fact->state == state ? 1 : 0;
    }
  return count;
}

START_TEST (all_find_each_other)
{
  Net net;

  open_net (&net);
  for (int i = 0; i < NODES; i++)
    ck_assert_uint_eq (gs_members_count (net.members[i]), NODES);
  for (int i = 0; i < NODES; i++)
    ck_assert_int_eq (views_of (&net, i, GS_MEMBER_ALIVE), NODES - 1);
  close_net (&net);
}
END_TEST

/* Where all start at once, the seed may not listen yet when it is asked first. */
START_TEST (a_seed_that_starts_late_is_asked_again)
{
  Net net = { .now_us = GS_US_PER_S };

  for (int i = 0; i < NODES; i++)
    start (&net, i);
  net.dead[0] = true;
  run (&net, 100 * GS_US_PER_MS);
  net.dead[0] = false;
  run (&net, 1000 * GS_US_PER_MS);
  for (int i = 0; i < NODES; i++)
    {
      uint32_t indexes[NODES];
      ck_assert_uint_eq (gs_members_homes (net.members[i], 5, NODES, indexes), NODES);
    }
  close_net (&net);
}
END_TEST

START_TEST (a_dead_member_is_not_named_after_3_s)
{
  Net net;
  uint32_t homes[NODES];

  open_net (&net);
  net.dead[5] = true;
  run (&net, 3 * GS_US_PER_S);
  for (int i = 0; i < NODES; i++)
    {
      uint32_t count = i == 5 ? 0 : gs_members_homes (net.members[i], 77, NODES, homes);
      for (uint32_t j = 0; j < count; j++)
        ck_assert_str_ne (gs_members_get (net.members[i], homes[j])->id, "n05");
    }
  run (&net, 6 * GS_US_PER_S);
  ck_assert_int_eq (views_of (&net, 5, GS_MEMBER_DEAD), NODES - 1);
  close_net (&net);
}
END_TEST

START_TEST (a_cut_between_two_removes_nobody)
{
  Net net;

  open_net (&net);
  for (int i = 0; i < NODES; i++)
    for (int j = 0; j < NODES; j++)
      net.cut[i][j] = i + 1 == j;
  run (&net, 30 * GS_US_PER_S);
  for (int i = 0; i < NODES; i++)
    ck_assert_int_eq (views_of (&net, i, GS_MEMBER_ALIVE), NODES - 1);
  close_net (&net);
}
END_TEST

START_TEST (one_that_hears_nothing_accuses_nobody)
{
  Net net;

  open_net (&net);
  for (int i = 0; i < NODES; i++)
    net.cut[i][3] = true;
  run (&net, 10 * GS_US_PER_S);
  ck_assert (gs_members_isolated (net.members[3]));
  for (int i = 0; i < NODES; i++)
    if (i != 3)
      {
        ck_assert_int_eq (views_of (&net, i, GS_MEMBER_ALIVE), NODES - 1);
        ck_assert_int_eq (gs_members_find (net.members[3], fact_of (i).id)->state, GS_MEMBER_ALIVE);
      }
  close_net (&net);
}
END_TEST

START_TEST (survivors_of_a_large_loss_find_the_dead)
{
  Net net;

  open_net (&net);
  for (int i = 4; i < NODES; i++)
    net.dead[i] = true;
  run (&net, 15 * GS_US_PER_S);
  for (int i = 4; i < NODES; i++)
    ck_assert_int_eq (views_of (&net, i, GS_MEMBER_DEAD), 4);
  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (views_of (&net, i, GS_MEMBER_ALIVE), 3);
  close_net (&net);
}
END_TEST

START_TEST (a_paused_member_comes_back)
{
  Net net;

  open_net (&net);
  net.dead[4] = true;
  run (&net, 8 * GS_US_PER_S);
  net.dead[4] = false;
  run (&net, 8 * GS_US_PER_S);
  ck_assert_int_eq (views_of (&net, 4, GS_MEMBER_ALIVE), NODES - 1);
  close_net (&net);
}
END_TEST

START_TEST (leaving_is_told_and_not_named)
{
  Net net;
  uint32_t homes[NODES];

  open_net (&net);
  gs_members_leave (net.members[2]);
  run (&net, 2 * GS_US_PER_S);
  ck_assert_int_eq (views_of (&net, 2, GS_MEMBER_LEAVING), NODES - 1);
  for (int i = 0; i < NODES; i++)
    ck_assert_uint_eq (gs_members_homes (net.members[i], 1, NODES, homes), NODES - 1);
  close_net (&net);
}
END_TEST

START_TEST (homes_agree_and_spread_over_domains)
{
  Net net;
  uint32_t first[3];
  uint32_t other[3];

  open_net (&net);
  for (uint64_t key = 1; key < 40; key++)
    {
      gs_members_homes (net.members[0], gs_mix64 (key), 3, first);
      gs_members_homes (net.members[7], gs_mix64 (key), 3, other);
      for (int i = 0; i < 3; i++)
        ck_assert_str_eq (gs_members_get (net.members[0], first[i])->id,
                          gs_members_get (net.members[7], other[i])->id);
      for (int i = 0; i < 2; i++)
        ck_assert_str_ne (gs_members_get (net.members[0], first[i])->failure_domain,
                          gs_members_get (net.members[0], first[i + 1])->failure_domain);
    }
  close_net (&net);
}
END_TEST

/* A home works for the whole fleet, so it stands on a strong instance while one lives. */
START_TEST (homes_and_readers_are_strong_ones_first)
{
  Net net = { .now_us = GS_US_PER_S };
  GsMemberMessage probe = { .kind = GS_MEMBER_MESSAGE_MEMBERS };
  uint32_t homes[3];

  nodes[0] = (Node){ &net, 0 };
  net.members[0] = gs_members_new (&(GsMembersOptions){
      .self = fact_of (0), .seed = 1, .message_handler = take, .data = &nodes[0] });
  for (int i = 1; i < NODES; i++)
    {
      probe.from = fact_of (i);
      probe.from.ready = 1;
      probe.from.millicores = i == 3 || i == 7 ? 500 : 100;
      gs_members_receive (net.members[0], &probe, net.now_us);
    }
  for (uint64_t key = 1; key < 40; key++)
    {
      ck_assert_uint_eq (gs_members_homes (net.members[0], gs_mix64 (key), 3, homes), 3);
      ck_assert_uint_eq (gs_members_get (net.members[0], homes[0])->millicores, 500);
      ck_assert_uint_eq (gs_members_get (net.members[0], homes[1])->millicores, 500);
      ck_assert_uint_ge (gs_members_domain_rank (net.members[0], gs_mix64 (key)), 1);
    }
  for (int i = 1; i < NODES; i++)
    net.members[i]
        = gs_members_new (&(GsMembersOptions){ .self = fact_of (i), .message_handler = take });
  close_net (&net);
}
END_TEST

/* Two members hold the third dead, and have told everybody as often as they tell a fact. */
START_TEST (one_that_is_held_dead_is_told_when_it_asks)
{
  Net net = { .now_us = GS_US_PER_S };
  GsMemberMessage probe = { .kind = GS_MEMBER_MESSAGE_ACK, .from = fact_of (1) };
  GsMemberInfo dead = fact_of (2);
  GsMemberMessage ping = { .kind = GS_MEMBER_MESSAGE_PING, .sequence = 9, .from = fact_of (2) };
  Letter *letter = NULL;
  bool told = false;

  nodes[0] = (Node){ &net, 0 };
  net.members[0] = gs_members_new (&(GsMembersOptions){
      .self = fact_of (0), .seed = 1, .message_handler = take, .data = &nodes[0] });
  dead.state = GS_MEMBER_DEAD;
  gs_members_receive (net.members[0],
                      &(GsMemberMessage){ .kind = GS_MEMBER_MESSAGE_ACK, .from = fact_of (2) },
                      net.now_us);
  probe.updates = &dead;
  probe.n_updates = 1;
  gs_members_receive (net.members[0], &probe, net.now_us);
  for (int i = 0; i < 400; i++, net.now_us += 100 * GS_US_PER_MS)
    gs_members_tick (net.members[0], net.now_us);
  gs_members_receive (net.members[0], &ping, net.now_us);
  letter = g_queue_peek_tail (&net.wire);
  ck_assert_int_eq (letter->to, 2);
  for (uint32_t i = 0; i < letter->probe.n_updates; i++)
    told = told
           || (strcmp (letter->probe.updates[i].id, dead.id) == 0
               && letter->probe.updates[i].state == GS_MEMBER_DEAD);
  ck_assert (told);
  for (int i = 1; i < NODES; i++)
    net.members[i]
        = gs_members_new (&(GsMembersOptions){ .self = fact_of (i), .message_handler = take });
  close_net (&net);
}
END_TEST

/* A daemon started again after its clock was set back, which makes its start look older. */
START_TEST (a_start_that_looks_older_is_refuted)
{
  Net net = { .now_us = GS_US_PER_S };
  GsMemberMessage probe = { .kind = GS_MEMBER_MESSAGE_ACK, .from = fact_of (1) };
  GsMemberInfo before = fact_of (0);
  const GsMemberInfo *self;

  nodes[0] = (Node){ &net, 0 };
  net.members[0] = gs_members_new (&(GsMembersOptions){
      .self = fact_of (0), .seed = 1, .message_handler = take, .data = &nodes[0] });
  before.incarnation += 5;
  before.version = 3;
  before.state = GS_MEMBER_DEAD;
  probe.updates = &before;
  probe.n_updates = 1;
  gs_members_receive (net.members[0], &probe, net.now_us);
  self = gs_members_get (net.members[0], 0);
  ck_assert_int_eq (self->state, GS_MEMBER_ALIVE);
  ck_assert_uint_ge (self->incarnation, before.incarnation);
  ck_assert_uint_gt (self->version, before.version);
  for (int i = 1; i < NODES; i++)
    net.members[i]
        = gs_members_new (&(GsMembersOptions){ .self = fact_of (i), .message_handler = take });
  close_net (&net);
}
END_TEST

/* The first that told of a position may be gone, or asked by all others too. */
START_TEST (the_daemon_to_pull_from_is_the_one_heard_last)
{
  Net net = { .now_us = GS_US_PER_S };
  GsPeerAddress address;

  nodes[0] = (Node){ &net, 0 };
  net.members[0] = gs_members_new (&(GsMembersOptions){
      .self = fact_of (0), .seed = 1, .message_handler = take, .data = &nodes[0] });
  for (int i = 1; i < NODES; i++)
    {
      GsMemberMessage probe = { .kind = GS_MEMBER_MESSAGE_ACK, .position = 7, .from = fact_of (i) };
      gs_members_receive (net.members[0], &probe, net.now_us);
      ck_assert_uint_eq (gs_members_newest_position (net.members[0], &address), 7);
      ck_assert_uint_eq (address.ipv4, (uint32_t)i + 1);
    }
  gs_members_set_position (net.members[0], 7);
  for (int i = 1; i < NODES; i++)
    net.members[i]
        = gs_members_new (&(GsMembersOptions){ .self = fact_of (i), .message_handler = take });
  close_net (&net);
}
END_TEST

START_TEST (messages_do_not_grow_with_the_fleet)
{
  Net net;
  uint64_t before;

  open_net (&net);
  before = net.sent[0];
  run (&net, 10 * GS_US_PER_S);
  /* 20 periods: 4 probes, and answers to about 4, each */
  ck_assert_uint_le (net.sent[0] - before, 20 * 4 * 4);
  close_net (&net);
}
END_TEST

START_TEST (a_large_fleet_is_probed_half_as_often)
{
  Net net = { .now_us = GS_US_PER_S };
  GsMemberMessage probe = { .kind = GS_MEMBER_MESSAGE_MEMBERS };

  nodes[0] = (Node){ &net, 0 };
  net.members[0] = gs_members_new (&(GsMembersOptions){
      .self = fact_of (0), .seed = 1, .message_handler = take, .data = &nodes[0] });
  for (int i = 1; i < 300; i++)
    {
      probe.from = fact_of (i);
      probe.from.ipv4 = 2;
      g_snprintf (probe.from.id, sizeof probe.from.id, "n%03d", i);
      gs_members_receive (net.members[0], &probe, net.now_us);
    }
  net.sent[0] = 0;
  for (int i = 0; i < 1000; i++, net.now_us += 10 * GS_US_PER_MS)
    gs_members_tick (net.members[0], net.now_us);
  /* 10 periods: 4 probes, each unanswered here and so asked of 2 others */
  ck_assert_uint_le (net.sent[0], 10 * 4 * (1 + GS_MEMBER_INDIRECT_PROBES));
  for (int i = 1; i < NODES; i++)
    net.members[i]
        = gs_members_new (&(GsMembersOptions){ .self = fact_of (i), .message_handler = take });
  close_net (&net);
}
END_TEST

enum
{
  DOMAIN_SIZE = 99,
};

static void
drop (const GsPeerAddress *to, const GsMemberMessage *probe, void *data)
{
  (void)to;
  (void)data;
  g_free (probe->updates);
}

/* A member of a domain of DOMAIN_SIZE that knows all others; every eighth of them is dead. */
static GsMembers *
member_of_domain (int self)
{
  GsMemberMessage probe = { .kind = GS_MEMBER_MESSAGE_MEMBERS, .n_updates = DOMAIN_SIZE };
  GsMemberInfo facts[DOMAIN_SIZE];
  GsMembers *members;

  for (int i = 0; i < DOMAIN_SIZE; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "m%02d", i);
      facts[i] = fixture_member (id, "d");
      facts[i].ipv4 = (uint32_t)i + 1;
      facts[i].state = i % 8 == 7 ? GS_MEMBER_DEAD : GS_MEMBER_ALIVE;
    }
  members = gs_members_new (
      &(GsMembersOptions){ .self = facts[self], .seed = (uint64_t)self, .message_handler = drop });
  probe.from = facts[(self + 1) % DOMAIN_SIZE];
  probe.from.state = GS_MEMBER_ALIVE;
  probe.updates = facts;
  gs_members_receive (members, &probe, GS_US_PER_S);
  return members;
}

/* Guards against a daemon that fills its link with a copy for each member of its domain, so that it
 * hears nothing for seconds (CONFIG on pgbcma-gate-grown): two copies each reach all, in few steps.
 */
START_TEST (what_each_passes_to_two_reaches_the_domain)
{
  int steps[DOMAIN_SIZE];
  GQueue reached = G_QUEUE_INIT;
  int most = 0;

  for (int i = 0; i < DOMAIN_SIZE; i++)
    steps[i] = -1;
  steps[0] = 0;
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
          if (steps[to] >= 0)
            continue;
          steps[to] = steps[from] + 1;
          most = MAX (most, steps[to]);
          g_queue_push_tail (&reached, GINT_TO_POINTER (to));
        }
      gs_members_free (members);
    }
  for (int i = 0; i < DOMAIN_SIZE; i++)
    ck_assert_msg (i % 8 == 7 || steps[i] >= 0, "member %d is not reached", i);
  ck_assert_int_le (most, 2 * 10); /* twice the root of the domain's size */
}
END_TEST

FIXTURE_MAIN ("member",
              &all_find_each_other,
              &a_seed_that_starts_late_is_asked_again,
              &a_dead_member_is_not_named_after_3_s,
              &a_cut_between_two_removes_nobody,
              &one_that_hears_nothing_accuses_nobody,
              &survivors_of_a_large_loss_find_the_dead,
              &a_paused_member_comes_back,
              &leaving_is_told_and_not_named,
              &homes_agree_and_spread_over_domains,
              &homes_and_readers_are_strong_ones_first,
              &one_that_is_held_dead_is_told_when_it_asks,
              &a_start_that_looks_older_is_refuted,
              &the_daemon_to_pull_from_is_the_one_heard_last,
              &messages_do_not_grow_with_the_fleet,
              &a_large_fleet_is_probed_half_as_often,
              &what_each_passes_to_two_reaches_the_domain)
