// Property test of the registrations: whatever order and repetition records arrive in, what holds
// is what the newest record of each server says.
#include <rapidcheck.h>

#include <cstring>
#include <map>
#include <vector>

extern "C"
{
#include "../../src/gentian/core/registry.h"
}

namespace
{
GsRegistryChange
make_change (uint64_t offset, int server, bool present, bool leaving)
{
  GsRegistryChange change;

  memset (&change, 0, sizeof change);
  change.offset = offset;
  change.present = present;
  change.registration.id[0] = (char)('a' + server);
  change.registration.pool[0] = 'p';
  change.registration.slots = 4;
  change.registration.started_ms = 1;
  change.registration.sequence = offset;
  change.registration.leaving = leaving;
  return change;
}
}

int
main ()
{
  bool ok = rc::check ("the newest record of each server holds", [] {
    const auto kinds = *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 12));
    const auto order
        = *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 1 + (int)kinds.size ()));
    std::vector<GsRegistryChange> log;
    std::map<char, GsRegistryChange> newest;
    GsStoreState settled{ false, INT64_MAX };
    GsRegistry *registry = gs_registry_new ();

    for (size_t i = 0; i < kinds.size (); i++)
      {
        log.push_back (make_change (i, kinds[i] % 4, kinds[i] / 4 != 0, kinds[i] / 4 == 2));
        newest[log.back ().registration.id[0]] = log.back ();
      }
    for (int index : order) /* some records early, late or twice */
      if ((size_t)index < log.size ())
        gs_registry_apply (registry, &log[(size_t)index], &settled, 1000);
    for (const auto &change : log) /* in the end every one has come */
      gs_registry_apply (registry, &change, &settled, 2000);
    for (const auto &entry : newest)
      {
        char id[2] = { entry.first, 0 };
        GsRegistrationState state = gs_registry_state (registry, id, 1);
        if (!entry.second.present)
          RC_ASSERT (state == GS_REGISTRATION_GONE);
        else if (entry.second.registration.leaving)
          RC_ASSERT (state == GS_REGISTRATION_LEAVING);
        else
          RC_ASSERT (state == GS_REGISTRATION_SERVING);
      }
    gs_registry_free (registry);
  });
  return ok ? 0 : 1;
}
