// Stateful property test of the reducer against the oracle in oracle.h: random commands, shrunk on
// failure.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "oracle.h"

namespace
{
// The model is only the number of steps; the oracle itself rides on the system under test.
struct Model
{
  int steps = 0;
};

struct System
{
  Oracle *oracle;
};

struct Step : rc::state::Command<Model, System>
{
  uint8_t what = *rc::gen::arbitrary<uint8_t> ();
  uint8_t with = *rc::gen::arbitrary<uint8_t> ();

  void apply (Model &model) const override { model.steps++; }

  void run (const Model &, System &system) const override
  {
    oracle_command (system.oracle, what, with);
    if (system.oracle->broken != nullptr)
      RC_FAIL (std::string (system.oracle->broken));
  }

  void show (std::ostream &os) const override { os << "step " << int (what) << " " << int (with); }
};
}

int
main ()
{
  bool ok = rc::check ("the reducer keeps every promise of the oracle", [] {
    System system{ oracle_new () };
    for (int i = 0; i < ORACLE_TICKETS; i++)
      oracle_issue (system.oracle, i);
    rc::state::check (Model (), system, rc::state::gen::execOneOfWithArgs<Step> ());
    oracle_free (system.oracle);
  });
  return ok ? 0 : 1;
}
