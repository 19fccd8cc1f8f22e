/* Fuzzes the parsers of tables, settings and keys: an error names its place, accepted tables hold
 * together. */
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
    g_error ("no tables and no error");
  if (error != NULL && !g_str_has_prefix (error->message, "f:"))
    g_error ("an error without its place: %s", error->message);
  for (uint32_t i = 0; document != NULL && i < document->n_routes; i++)
    if (gs_document_pool (document, document->routes[i].pool) == NULL)
      g_error ("a route without its pool");
  if (gs_idempotency_key_parse ("w", text, &key) && strlen (text) > GS_IDEMPOTENCY_KEY_MAX)
    g_error ("a key of absurd length");
  gs_document_free (document);
  gs_settings_free (settings);
  g_clear_error (&error);
  g_free (text);
  return 0;
}
