/* Fuzzes the decoders of log records, table snapshots and peer messages. An accepted peer message
 * must decode again after it is encoded. */
#include "../../src/gentian/peer/wire.h"
#include "../../src/gentian/store/record.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_wire (const char *bytes, size_t size)
{
  GsWireMessage message;
  GsWireMessage decoded_again;
  GBytes *encoded;
  gsize length;
  const char *data;

  if (!gs_wire_decode (&message, bytes, size))
    return;
  encoded = gs_wire_encode (&message);
  data = g_bytes_get_data (encoded, &length);
  if (!gs_wire_decode (&decoded_again, data, length))
    g_error ("an accepted message does not decode again after it is encoded");
  gs_wire_clear (&decoded_again);
  gs_wire_clear (&message);
  g_bytes_unref (encoded);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GsRecord record;
  GsTablesSnapshot snapshot;

  if (gs_record_decode (&record, (const char *)data, size))
    gs_record_clear (&record);
  if (gs_tables_snapshot_decode (&snapshot, (const char *)data, size))
    gs_tables_snapshot_clear (&snapshot);
  check_wire ((const char *)data, size);
  return 0;
}
