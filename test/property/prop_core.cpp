// Stateful property test of the reducer: random commands against the invariants of oracle.h. A
// failing sequence is shrunk.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "oracle.h"

namespace
{
// The model is only the number of steps; the oracle is part of the system under test.
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
  uint8_t command = *rc::gen::arbitrary<uint8_t> ();
  uint8_t argument = *rc::gen::arbitrary<uint8_t> ();

  void apply (Model &model) const override { model.steps++; }

  void run (const Model &, System &system) const override
  {
    oracle_command (system.oracle, command, argument);
    if (system.oracle->violation != nullptr)
      RC_FAIL (std::string (system.oracle->violation));
  }

  void show (std::ostream &os) const override
  {
    os << "command " << int (command) << " " << int (argument);
  }
};
}

int
main ()
{
  bool ok = rc::check ("no command violates an invariant of the reducer", [] {
    System system{ oracle_new () };
    for (int i = 0; i < ORACLE_TICKETS; i++)
      oracle_issue_ticket (system.oracle, i);
    rc::state::check (Model (), system, rc::state::gen::execOneOfWithArgs<Step> ());
    oracle_free (system.oracle);
  });
  return ok ? 0 : 1;
}
