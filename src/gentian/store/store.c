#include "store.h"

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
