/* Fuzzes the parsers of tables, settings and idempotency keys: an error of the tables names the
 * file, accepted tables are consistent, accepted keys have a bounded length. */
#include "../../src/gentian/config/settings.h"
#include "../../src/gentian/config/tables.h"
#include "../../src/gentian/core/claim.h"

#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GError *error = NULL;
  GsDocument *document = gs_tables_parse ("w", "f", (const char *)data, size, &error);
  GsSettings *settings = gs_settings_parse ("f", (const char *)data, size, NULL);
  char *text = g_strndup ((const char *)data, size);
  GsIdempotencyKey key;

  if ((document == NULL) != (error != NULL))
    g_error ("neither tables nor an error, or both");
  if (error != NULL && !g_str_has_prefix (error->message, "f:"))
    g_error ("an error does not begin with the file name: %s", error->message);
  for (uint32_t i = 0; document != NULL && i < document->n_routes; i++)
    if (gs_document_pool (document, document->routes[i].pool) == NULL)
      g_error ("an accepted route names a pool that does not exist");
  if (gs_idempotency_key_parse ("w", text, &key) && strlen (text) > GS_IDEMPOTENCY_KEY_MAX)
    g_error ("an accepted key exceeds the maximum length");
  gs_document_free (document);
  gs_settings_free (settings);
  g_clear_error (&error);
  g_free (text);
  return 0;
}
