// Property test of the registry: in whatever order and however often records arrive, the state of
// each server is that of its newest record.
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
  bool ok = rc::check ("the newest record of each server determines its state", [] {
    const auto codes = *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 12));
    const auto order
        = *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 1 + (int)codes.size ()));
    std::vector<GsRegistryChange> log;
    std::map<char, GsRegistryChange> newest;
    GsStoreState store{ false, INT64_MAX };
    GsRegistry *registry = gs_registry_new ();

    for (size_t i = 0; i < codes.size (); i++)
      {
        log.push_back (make_change (i, codes[i] % 4, codes[i] / 4 != 0, codes[i] / 4 == 2));
        newest[log.back ().registration.id[0]] = log.back ();
      }
    for (int index : order) /* some records early, late or twice */
      if ((size_t)index < log.size ())
        gs_registry_apply (registry, &log[(size_t)index], &store, 1000);
    for (const auto &change : log) /* in the end all records have arrived */
      gs_registry_apply (registry, &change, &store, 2000);
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
