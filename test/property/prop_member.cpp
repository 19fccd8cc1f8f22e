// Property test of membership in virtual time, with late and lost messages: fleets of up to 16
// daemons that start with seeds which may be down, are cut into groups, restart, pause and are
// lost. Checked, GS_REJOIN_BOUND_US after the last of these, if the seeds then name daemons that
// run or all daemons knew each other before:
//   - every running daemon takes every other one for alive, but for a lost ping;
//   - no daemon goes on to expect others that it has not met.
// Without any fault no daemon is taken for dead, and the seeds are left alone.
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "../../src/gentian/core/member.h"
#include "../../src/gentian/rejoin/rejoin.h"
}

#include <glib.h>

namespace
{
const int64_t MS = GS_US_PER_MS;
const int64_t STEP_US = 25 * MS;
const uint16_t PORT = 90;

struct World;

struct Daemon
{
  World *world;
  uint32_t index;
  GsMembers *members = nullptr;
  uint64_t starts = 0;
  bool lost = false;
  int64_t paused_until_us = 0;
  int group = 0; // daemons of other groups cannot be reached
  std::vector<uint32_t> seeds;
};

struct Message
{
  uint32_t from;
  uint32_t to;
  GsMemberMessage message;
};

struct World
{
  std::vector<Daemon> daemons;
  std::multimap<int64_t, Message> messages; // by time of arrival
  int64_t now_us = GS_US_PER_S;
  uint64_t sent = 0;
  bool lossy = true;
  GsRandom random;

  ~World ()
  {
    for (auto &entry : messages)
      g_free (entry.second.message.updates);
    for (Daemon &daemon : daemons)
      gs_members_free (daemon.members);
  }

  uint32_t below (uint32_t limit) { return (uint32_t)(gs_random_next (&random) % limit); }
};

void
send (const GsPeerAddress *to, const GsMemberMessage *message, void *data)
{
  auto *from = static_cast<Daemon *> (data);
  World *world = from->world;

  world->sent++;
  if (to->ipv4 == 0 || to->ipv4 > world->daemons.size ()
      || (world->lossy && world->below (100) == 0))
    {
      g_free (message->updates);
      return;
    }
  world->messages.insert (
      { world->now_us + MS + world->below (30) * MS, { from->index, to->ipv4 - 1, *message } });
}

std::string
name (uint32_t index)
{
  return "d" + std::to_string (index);
}

void
set_seeds (Daemon &daemon)
{
  std::vector<GsPeerAddress> seeds;

  for (uint32_t seed : daemon.seeds)
    seeds.push_back ({ seed + 1, PORT });
  gs_members_set_seeds (daemon.members, seeds.data (), (uint32_t)seeds.size ());
}

void
start (Daemon &daemon)
{
  GsMembersOptions options = {};

  gs_members_free (daemon.members);
  daemon.starts++;
  g_strlcpy (options.self.id, name (daemon.index).c_str (), sizeof options.self.id);
  g_strlcpy (options.self.failure_domain, name (daemon.index % 3).c_str (),
             sizeof options.self.failure_domain);
  options.self.ipv4 = daemon.index + 1;
  options.self.peer_port = PORT;
  options.self.incarnation = daemon.starts;
  options.seed = gs_mix64 (daemon.index * 1000 + daemon.starts);
  options.message_handler = send;
  options.data = &daemon;
  daemon.members = gs_members_new (&options);
  gs_members_set_ready (daemon.members, true);
  set_seeds (daemon);
}

bool
runs (const World &world, const Daemon &daemon)
{
  return !daemon.lost && world.now_us >= daemon.paused_until_us;
}

void
deliver (World &world)
{
  while (!world.messages.empty () && world.messages.begin ()->first <= world.now_us)
    {
      Message message = world.messages.begin ()->second;
      Daemon &to = world.daemons[message.to];
      world.messages.erase (world.messages.begin ());
      if (runs (world, to) && !world.daemons[message.from].lost
          && to.group == world.daemons[message.from].group)
        gs_members_receive (to.members, &message.message, world.now_us);
      g_free (message.message.updates);
    }
}

void
run_for (World &world, int64_t time_us)
{
  for (int64_t end_us = world.now_us + time_us; world.now_us < end_us; world.now_us += STEP_US)
    {
      deliver (world);
      for (Daemon &daemon : world.daemons)
        if (runs (world, daemon))
          gs_members_tick (daemon.members, world.now_us);
    }
}

void
begin (World &world, uint32_t count)
{
  world.daemons.resize (count);
  for (uint32_t i = 0; i < count; i++)
    {
      world.daemons[i].world = &world;
      world.daemons[i].index = i;
      for (uint32_t seed = 0; seed < 3 && seed < count; seed++)
        world.daemons[i].seeds.push_back (seed);
    }
  for (Daemon &daemon : world.daemons)
    start (daemon);
}

// RETURN VALUE: the pairs of running daemons of which the first does not take the second for alive.
std::string
strangers (const World &world)
{
  std::string pairs;

  for (const Daemon &daemon : world.daemons)
    for (const Daemon &other : world.daemons)
      {
        const GsMemberInfo *info = gs_members_find (daemon.members, name (other.index).c_str ());
        if (daemon.index != other.index && !daemon.lost && !other.lost
            && (info == nullptr || info->state != GS_MEMBER_ALIVE))
          pairs += name (daemon.index) + " " + name (other.index)
                   + (info == nullptr ? " unknown; "
                                      : " state " + std::to_string (info->state) + " incarnation "
                                            + std::to_string (info->incarnation) + " version "
                                            + std::to_string (info->version) + "; ");
      }
  return pairs;
}

// The seeds of daemons of which no seed runs name up to three that do.
void
correct_seeds (World &world)
{
  std::vector<uint32_t> running;

  for (const Daemon &daemon : world.daemons)
    if (!daemon.lost && running.size () < 3)
      running.push_back (daemon.index);
  for (Daemon &daemon : world.daemons)
    {
      bool has_seed = false;
      for (uint32_t seed : daemon.seeds)
        has_seed = has_seed || !world.daemons[seed].lost;
      if (has_seed)
        continue;
      daemon.seeds = running;
      if (!daemon.lost)
        set_seeds (daemon);
    }
}

// RESTARTS: also faults that make daemons forget each other.
void
draw_fault (World &world, bool restarts)
{
  Daemon &daemon = world.daemons[*rc::gen::inRange<uint32_t> (0, (uint32_t)world.daemons.size ())];

  switch (*rc::gen::inRange (0, restarts ? 6 : 3))
    {
    case 0:
    case 1:
      for (Daemon &one : world.daemons)
        one.group = *rc::gen::inRange (0, 3);
      break;
    case 2:
      daemon.paused_until_us = world.now_us + *rc::gen::inRange (100, 20000) * MS;
      break;
    case 3:
      start (daemon);
      break;
    case 4:
      daemon.lost = true;
      break;
    default:
      // Most lose power; those that return still have the seeds of before.
      for (Daemon &one : world.daemons)
        {
          one.lost = *rc::gen::inRange (0, 2) == 0;
          if (!one.lost)
            start (one);
        }
    }
}

void
end_faults (World &world)
{
  for (Daemon &daemon : world.daemons)
    {
      daemon.group = 0;
      daemon.paused_until_us = 0;
    }
}

// A lost ping makes a daemon suspect for a moment, so there is one moment by the bound at which
// none is, and none is when messages are no longer lost.
void
check_fleet (World &world)
{
  int64_t bound_us = world.now_us + GS_REJOIN_BOUND_US;

  while (world.now_us < bound_us && strangers (world) != "")
    run_for (world, 10 * STEP_US);
  RC_ASSERT (strangers (world) == "");
  world.lossy = false;
  run_for (world, 5 * GS_US_PER_S);
  RC_ASSERT (strangers (world) == "");
  int running = 0;
  for (const Daemon &daemon : world.daemons)
    running += daemon.lost ? 0 : 1;
  for (const Daemon &daemon : world.daemons)
    RC_ASSERT (daemon.lost || running < 2 || !gs_members_expects_others (daemon.members));
}
}

int
main ()
{
  bool ok = rc::check ("daemons that forgot each other meet by their seeds", [] {
    World world;
    world.random.state = *rc::gen::arbitrary<uint64_t> ();
    begin (world, *rc::gen::inRange<uint32_t> (2, 17));
    int faults = *rc::gen::inRange (1, 5);
    for (int i = 0; i < faults; i++)
      {
        run_for (world, *rc::gen::inRange (0, 12000) * MS);
        draw_fault (world, true);
      }
    run_for (world, *rc::gen::inRange (0, 30000) * MS);
    end_faults (world);
    correct_seeds (world);
    check_fleet (world);
  });
  ok = rc::check ("daemons that were cut off from each other meet again without seeds",
                  [] {
                    World world;
                    world.random.state = *rc::gen::arbitrary<uint64_t> ();
                    begin (world, *rc::gen::inRange<uint32_t> (2, 17));
                    run_for (world, 10 * GS_US_PER_S);
                    for (Daemon &daemon : world.daemons)
                      gs_members_set_seeds (daemon.members, nullptr, 0);
                    int faults = *rc::gen::inRange (1, 5);
                    for (int i = 0; i < faults; i++)
                      {
                        draw_fault (world, false);
                        run_for (world, *rc::gen::inRange (0, 40000) * MS);
                      }
                    end_faults (world);
                    check_fleet (world);
                  })
       && ok;
  ok = rc::check ("a fleet without faults only probes",
                  [] {
                    World world;
                    world.random.state = *rc::gen::arbitrary<uint64_t> ();
                    uint32_t count = *rc::gen::inRange<uint32_t> (2, 17);
                    begin (world, count);
                    run_for (world, 10 * GS_US_PER_S);
                    world.sent = 0;
                    run_for (world, 20 * GS_US_PER_S);
                    // 40 periods of four probes and their answers, and what lost messages cause
                    RC_ASSERT (world.sent <= count * 40u * 4u * 3u);
                    for (const Daemon &daemon : world.daemons)
                      for (uint32_t i = 0; i < gs_members_count (daemon.members); i++)
                        RC_ASSERT (gs_members_get (daemon.members, i)->state != GS_MEMBER_DEAD);
                  })
       && ok;
  return ok ? 0 : 1;
}
