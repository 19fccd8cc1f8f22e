/* Fuzzes sequences of commands, two bytes each, against the oracle of the property test. */
#include "../property/oracle.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  Oracle *oracle = oracle_new ();

  for (int i = 0; i < ORACLE_TICKETS; i++)
    oracle_issue_ticket (oracle, i);
  for (size_t i = 0; i + 1 < size; i += 2)
    oracle_command (oracle, data[i], data[i + 1]);
  if (oracle->violation != NULL)
    g_error ("%s", oracle->violation);
  oracle_free (oracle);
  return 0;
}
