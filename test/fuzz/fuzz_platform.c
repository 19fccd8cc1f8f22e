/* Fuzzes the decoders of the platform adapter: accepted input is consistent, refused input has an
 * error. */
#include "../../platform/decode.h"

#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_tables (const GsDocument *document)
{
  if (document->revision == 0)
    g_error ("accepted tables have no revision");
  for (uint32_t i = 0; i < document->n_routes; i++)
    {
      const GsRoute *route = &document->routes[i];
      if (gs_document_pool (document, route->pool) == NULL)
        g_error ("an accepted route names a pool that does not exist");
      if (route->max_attempts == 0 || route->prefix[0] != '/')
        g_error ("an accepted route has no attempts or a prefix without a leading slash");
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GError *error = NULL;
  GsRegistration row;
  GsDocument *document = platform_decode_tables ("w", "f", (const char *)data, size, &error);
  char *text = g_strndup ((const char *)data, size);
  uint32_t ms;

  if ((document == NULL) != (error != NULL))
    g_error ("neither tables nor an error, or both");
  if (document != NULL)
    check_tables (document);
  gs_document_free (document);
  g_clear_error (&error);
  if (platform_decode_registration ("id", (const char *)data, size, &row, &error))
    {
      if (row.port == 0 || row.slots == 0 || row.pool[0] == '\0')
        g_error ("an accepted registration has no port, slots or pool");
    }
  else if (error == NULL)
    g_error ("a refused registration has no error");
  g_clear_error (&error);
  platform_decode_duration (text, &ms);
  g_free (text);
  return 0;
}
