#include "store.h"

#include <string.h>

static void
clear_record (gpointer data)
{
  GsStoreRecord *record = data;

  g_free (record->key);
  g_clear_pointer (&record->value, g_bytes_unref);
}

GsStorePage
gs_store_page_empty (void)
{
  GsStorePage page = { .records = g_array_new (FALSE, FALSE, sizeof (GsStoreRecord)) };

  g_array_set_clear_func (page.records, clear_record);
  return page;
}

void
gs_store_page_add (GsStorePage *page, uint64_t offset, char *key, GBytes *value)
{
  GsStoreRecord record = { .offset = offset, .key = key, .value = value };

  g_array_append_val (page->records, record);
}

void
gs_store_page_clear (GsStorePage *page)
{
  g_clear_pointer (&page->records, g_array_unref);
}

/* Ids are part of headers and of log lines. */
static bool
is_id (const char *key)
{
  size_t length = strlen (key);

  for (const char *next = key; *next != '\0'; next++)
    if (g_ascii_iscntrl (*next) || *next == ' ' || *next == '"')
      return false;
  return length > 0 && length <= GS_NAME_MAX;
}

bool
gs_store_decode_change (const GsStore *store,
                        const GsStoreRecord *record,
                        GsRegistryChange *change,
                        GError **error)
{
  gsize length = 0;
  const char *bytes = record->value != NULL ? g_bytes_get_data (record->value, &length) : NULL;

  *change = (GsRegistryChange){ .offset = record->offset };
  if (!is_id (record->key))
    {
      g_set_error (error, GS_STORE_ERROR, 1,
                   "key: allowed 1 to %d bytes, without control characters, spaces and quotes",
                   GS_NAME_MAX);
      return false;
    }
  if (record->value != NULL)
    change->present = store->class->parse_registration (record->key, bytes != NULL ? bytes : "",
                                                        length, &change->registration, error);
  g_strlcpy (change->registration.id, record->key, sizeof change->registration.id);
  return true;
}

/* Decodes RECORD into TABLES. RETURN VALUE: false when it holds no valid tables. */
static bool
decode_tables_record (const GsStore *store,
                      const char *workspace,
                      const GsStoreRecord *record,
                      GsStoreTables *tables)
{
  g_autoptr (GError) error = NULL;
  gsize length;
  const char *bytes = g_bytes_get_data (record->value, &length);

  tables->document = store->class->parse_tables (workspace, record->key, bytes != NULL ? bytes : "",
                                                 length, &error);
  if (tables->document != NULL)
    tables->text = store->class->redact_tables != NULL ? store->class->redact_tables (bytes, length)
                                                       : g_strndup (bytes, length);
  if (tables->text != NULL)
    return true;
  if (tables->document != NULL)
    {
      g_set_error_literal (&error, GS_STORE_ERROR, 1, "keys cannot be replaced by their digests");
      g_clear_pointer (&tables->document, gs_document_free);
    }
  if (tables->refused == NULL)
    {
      tables->refused = g_steal_pointer (&error);
      tables->refused_offset = record->offset;
    }
  return false;
}

GsStoreTables
gs_store_decode_tables (const GsStore *store, const char *workspace, const GsStorePage *page)
{
  GsStoreTables tables = { .document = NULL };

  for (guint i = page->records->len; i > 0; i--)
    {
      const GsStoreRecord *record = &g_array_index (page->records, GsStoreRecord, i - 1);
      if (record->value != NULL && strcmp (record->key, store->class->tables_key) == 0
          && decode_tables_record (store, workspace, record, &tables))
        break;
    }
  return tables;
}

void
gs_store_tables_clear (GsStoreTables *tables)
{
  g_clear_pointer (&tables->document, gs_document_free);
  g_clear_pointer (&tables->text, g_free);
  g_clear_error (&tables->refused);
}
