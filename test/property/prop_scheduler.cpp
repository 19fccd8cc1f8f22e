// Property test of the placer against a model: slots are never exceeded, every ask gets one final
// reply, a request that crashes upstreams reaches a bounded number, repeats stay within their
// window.
#include <rapidcheck.h>

#include <cstring>
#include <map>
#include <set>
#include <vector>

extern "C"
{
#include "../../src/gentian/core/scheduler.h"
}

namespace
{
const int UPSTREAMS = 4;
const int SLOTS = 2;

struct Bed
{
  GsScheduler *placer;
  int64_t now_us = 1000 * GS_US_PER_S;
  uint64_t next_token = 0;
  std::map<uint64_t, GsSlotReply> held;  /* grant -> reply */
  std::map<uint64_t, int> final_replies; /* token -> how many */
  std::set<uint64_t> cancelled;
  int repeats = 0;
  int requests = 0;
};

void
set_upstreams (Bed &bed, int leaving)
{
  gs_scheduler_begin_update (bed.placer);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      GsRegistration row;
      memset (&row, 0, sizeof row);
      row.id[0] = (char)('a' + i);
      row.slots = SLOTS;
      row.port = (uint16_t)(i + 1);
      row.started_ms = 1;
      gs_scheduler_set_upstream (bed.placer, &row,
                                 i == leaving ? GS_REGISTRATION_LEAVING : GS_REGISTRATION_SERVING,
                                 bed.now_us, bed.now_us);
    }
  gs_scheduler_end_update (bed.placer, bed.now_us);
}

void
take_replies (Bed &bed, int leaving)
{
  GsSlotReply reply;

  while (gs_scheduler_next_reply (bed.placer, &reply))
    {
      if (reply.verdict == GS_SLOT_QUEUED)
        continue;
      RC_ASSERT (++bed.final_replies[reply.token] == 1);
      if (reply.verdict != GS_SLOT_GRANTED)
        continue;
      RC_ASSERT (reply.upstream_id[0] != 'a' + leaving);
      bed.held[reply.grant] = reply;
      std::map<uint64_t, int> used;
      for (const auto &entry : bed.held)
        RC_ASSERT (++used[entry.second.upstream] <= SLOTS);
    }
}

void
ask (Bed &bed, int what)
{
  GsSlotRequest ask;

  memset (&ask, 0, sizeof ask);
  ask.origin = (uint64_t)(what % 3) + 1;
  ask.token = ++bed.next_token;
  ask.flow = 1;
  ask.fingerprint = bed.next_token;
  ask.repeat = what % 2 == 0 ? GS_REPEAT_SAFE : GS_REPEAT_ONCE;
  ask.priority = (uint8_t)(what % 5);
  ask.is_retry = what % 7 == 0;
  ask.deadline_us = bed.now_us + 3 * GS_US_PER_S;
  ask.target_us = bed.now_us + GS_US_PER_S;
  bed.requests += ask.is_retry ? 0 : 1;
  bed.repeats += ask.is_retry ? 1 : 0;
  gs_scheduler_request (bed.placer, &ask, bed.now_us);
}

void
end_one (Bed &bed, int what)
{
  GsSlotResult end;

  if (bed.held.empty ())
    return;
  auto entry = bed.held.begin ();
  std::advance (entry, what % (int)bed.held.size ());
  memset (&end, 0, sizeof end);
  end.origin = entry->second.origin;
  end.token = entry->second.token;
  end.grant = entry->second.grant;
  end.upstream = entry->second.upstream;
  end.flow = 1;
  end.outcome = (GsOutcome)(what % GS_OUTCOME_COUNT);
  end.answer_us = 100 * GS_US_PER_MS;
  bed.held.erase (entry);
  gs_scheduler_release (bed.placer, &end, bed.now_us);
}

void
step (Bed &bed, int what, int &leaving)
{
  switch (what % 6)
    {
    case 0:
    case 1:
      ask (bed, what / 6);
      break;
    case 2:
    case 3:
      end_one (bed, what / 6);
      break;
    case 4:
      bed.now_us += (what / 6 % 40) * GS_US_PER_MS;
      gs_scheduler_tick (bed.placer, bed.now_us);
      break;
    default:
      leaving = what / 6 % (UPSTREAMS + 1);
      set_upstreams (bed, leaving);
    }
}
}

int
main ()
{
  bool ok = rc::check ("slots, replies and repeats stay within bounds", [] {
    const auto steps = *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 6000));
    GsSchedulerOptions options;
    Bed bed;
    int leaving = UPSTREAMS;

    memset (&options, 0, sizeof options);
    options.pool = "p";
    options.seed = 5;
    options.budget.share_ppm = 200000;
    options.budget.slack = 8;
    options.budget.window_us = 10 * GS_US_PER_S;
    bed.placer = gs_scheduler_new (&options);
    set_upstreams (bed, leaving);
    for (int what : steps)
      {
        step (bed, what, leaving);
        take_replies (bed, leaving);
      }
    bed.now_us += 10 * GS_US_PER_S; /* everything has run out */
    gs_scheduler_tick (bed.placer, bed.now_us);
    RC_ASSERT (gs_scheduler_outstanding (bed.placer) == 0);
    RC_ASSERT (gs_scheduler_queue_length (bed.placer) == 0);
    gs_scheduler_free (bed.placer);
  });
  return ok ? 0 : 1;
}
