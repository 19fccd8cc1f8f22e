#include "kept.h"

/** Memory that an answer takes besides its body, in bytes. */
#define KEPT_OVERHEAD_BYTES 512

typedef struct
{
  char *right;
  GsKeptAnswer answer;
} Entry;

struct GsKept
{
  GMutex lock;
  GHashTable *entries; /* right -> Entry */
  GQueue order;        /* Entry, oldest first */
  uint64_t bytes;
  uint64_t max_bytes;
};

void
gs_kept_answer_clear (GsKeptAnswer *answer)
{
  g_clear_pointer (&answer->headers, g_ptr_array_unref);
  g_clear_pointer (&answer->body, g_bytes_unref);
}

static void
free_entry (gpointer data)
{
  Entry *entry = data;

  gs_kept_answer_clear (&entry->answer);
  g_free (entry->right);
  g_free (entry);
}

GsKept *
gs_kept_new (uint64_t max_bytes)
{
  GsKept *kept = g_new0 (GsKept, 1);

  g_mutex_init (&kept->lock);
  kept->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  g_queue_init (&kept->order);
  kept->max_bytes = max_bytes;
  return kept;
}

void
gs_kept_free (GsKept *kept)
{
  if (kept == NULL)
    return;
  g_queue_clear (&kept->order);
  g_hash_table_destroy (kept->entries);
  g_mutex_clear (&kept->lock);
  g_free (kept);
}

static uint64_t
cost (const Entry *entry)
{
  return g_bytes_get_size (entry->answer.body) + KEPT_OVERHEAD_BYTES;
}

static void
make_room (GsKept *kept)
{
  while (kept->bytes > kept->max_bytes)
    {
      Entry *oldest = g_queue_pop_head (&kept->order);
      kept->bytes -= cost (oldest);
      g_hash_table_remove (kept->entries, oldest->right);
    }
}

void
gs_kept_put (GsKept *kept, const char *right, const GsKeptAnswer *answer)
{
  Entry *entry;

  g_mutex_lock (&kept->lock);
  if (!g_hash_table_contains (kept->entries, right))
    {
      entry = g_new0 (Entry, 1);
      entry->right = g_strdup (right);
      entry->answer = *answer;
      g_ptr_array_ref (answer->headers);
      g_bytes_ref (answer->body);
      g_hash_table_insert (kept->entries, entry->right, entry);
      g_queue_push_tail (&kept->order, entry);
      kept->bytes += cost (entry);
      make_room (kept);
    }
  g_mutex_unlock (&kept->lock);
}

bool
gs_kept_get (GsKept *kept, const char *right, GsKeptAnswer *answer)
{
  Entry *entry;

  g_mutex_lock (&kept->lock);
  entry = g_hash_table_lookup (kept->entries, right);
  if (entry != NULL)
    {
      *answer = entry->answer;
      g_ptr_array_ref (answer->headers);
      g_bytes_ref (answer->body);
    }
  g_mutex_unlock (&kept->lock);
  return entry != NULL;
}
