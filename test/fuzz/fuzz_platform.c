/* Fuzzes the decoders of the platform adapter: accepted input is consistent, refused input has an
 * error. */
#include "../../platform/decode.h"
#include "../../platform/pages.h"
#include "../../platform/redact.h"

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

/* Other daemons must read the same workspaces from the redacted text, and find no more keys in it.
 */
static void
check_redaction (const GsDocument *document, const char *text, size_t size)
{
  char *redacted = platform_redact_tables (text, size);
  char *again = redacted != NULL ? platform_redact_tables (redacted, strlen (redacted)) : NULL;
  GsDocument *copy = redacted != NULL
                         ? platform_decode_tables ("w", "f", redacted, strlen (redacted), NULL)
                         : NULL;

  if (copy == NULL || copy->n_workspaces != document->n_workspaces
      || copy->n_routes != document->n_routes
      || gs_document_requires_keys (copy) != gs_document_requires_keys (document))
    g_error ("the redacted text of accepted tables has other rows");
  if (strcmp (redacted, again) != 0)
    g_error ("the redacted text of tables holds keys");
  for (uint32_t i = 0; i < document->n_workspaces; i++)
    for (uint32_t key = 0; key < document->workspaces[i].n_keys; key++)
      if (gs_document_workspace_by_key (copy, &document->workspaces[i].keys[key])
          != &copy->workspaces[i])
        g_error ("a key belongs to another workspace after the redaction");
  gs_document_free (copy);
  g_free (redacted);
  g_free (again);
}

static void
check_records (const GsStorePage *page)
{
  for (guint i = 0; i < page->records->len; i++)
    {
      const GsStoreRecord *record = &g_array_index (page->records, GsStoreRecord, i);
      if (record->key == NULL || record->offset > INT64_MAX)
        g_error ("a record has no key, or an offset that no log reaches");
      if (record->value != NULL && g_bytes_get_size (record->value) == 0)
        g_error ("a removal has a value");
    }
}

static void
check_pages (const char *bytes, size_t size)
{
  GsStorePage page = gs_store_page_empty ();
  PlatformNewestPage newest;

  platform_decode_log_page (bytes, size, 1, &page);
  check_records (&page);
  gs_store_page_clear (&page);
  page = gs_store_page_empty ();
  if (platform_decode_newest_page (bytes, size, &newest, &page) && newest.end_offset > INT64_MAX)
    g_error ("an accepted page has an end offset that no log reaches");
  check_records (&page);
  platform_newest_page_clear (&newest);
  gs_store_page_clear (&page);
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
    {
      check_tables (document);
      check_redaction (document, (const char *)data, size);
    }
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
  check_pages ((const char *)data, size);
  g_free (text);
  return 0;
}
