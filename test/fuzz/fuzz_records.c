/* Fuzzes the decoders of what comes from the log and from other daemons, and re-encodes what they
 * accept. */
#include "../../src/gentian/peer/wire.h"
#include "../../src/gentian/store/record.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_wire (const char *bytes, size_t size)
{
  GsWireMessage message;
  GsWireMessage again;
  GBytes *encoded;
  gsize length;
  const char *copy;

  if (!gs_wire_decode (&message, bytes, size))
    return;
  encoded = gs_wire_encode (&message);
  copy = g_bytes_get_data (encoded, &length);
  if (!gs_wire_decode (&again, copy, length))
    g_error ("a message that was decoded does not come back");
  gs_wire_clear (&again);
  gs_wire_clear (&message);
  g_bytes_unref (encoded);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GsRecord record;
  GsTablesSnapshot copy;

  if (gs_record_decode (&record, (const char *)data, size))
    gs_record_clear (&record);
  if (gs_tables_snapshot_decode (&copy, (const char *)data, size))
    gs_tables_snapshot_clear (&copy);
  check_wire ((const char *)data, size);
  return 0;
}
