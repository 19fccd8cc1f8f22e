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
