#include "answer_cache.h"

/** Memory that a cached answer uses besides its body. */
#define ANSWER_CACHE_OVERHEAD_BYTES 512

typedef struct
{
  char *key;
  GsCachedAnswer answer;
} Entry;

struct GsAnswerCache
{
  GMutex lock;
  GHashTable *entries; /* key -> Entry */
  GQueue order;        /* Entry, oldest first */
  uint64_t bytes;
  uint64_t max_bytes;
};

void
gs_cached_answer_clear (GsCachedAnswer *answer)
{
  g_clear_pointer (&answer->headers, g_ptr_array_unref);
  g_clear_pointer (&answer->body, g_bytes_unref);
}

static void
free_entry (gpointer data)
{
  Entry *entry = data;

  gs_cached_answer_clear (&entry->answer);
  g_free (entry->key);
  g_free (entry);
}

GsAnswerCache *
gs_answer_cache_new (uint64_t max_bytes)
{
  GsAnswerCache *cache = g_new0 (GsAnswerCache, 1);

  g_mutex_init (&cache->lock);
  cache->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  g_queue_init (&cache->order);
  cache->max_bytes = max_bytes;
  return cache;
}

void
gs_answer_cache_free (GsAnswerCache *cache)
{
  if (cache == NULL)
    return;
  g_queue_clear (&cache->order);
  g_hash_table_destroy (cache->entries);
  g_mutex_clear (&cache->lock);
  g_free (cache);
}

static uint64_t
entry_bytes (const Entry *entry)
{
  return g_bytes_get_size (entry->answer.body) + ANSWER_CACHE_OVERHEAD_BYTES;
}

static void
evict_excess (GsAnswerCache *cache)
{
  while (cache->bytes > cache->max_bytes)
    {
      Entry *oldest = g_queue_pop_head (&cache->order);
      cache->bytes -= entry_bytes (oldest);
      g_hash_table_remove (cache->entries, oldest->key);
    }
}

void
gs_answer_cache_put (GsAnswerCache *cache, const char *key, const GsCachedAnswer *answer)
{
  Entry *entry;

  g_mutex_lock (&cache->lock);
  if (!g_hash_table_contains (cache->entries, key))
    {
      entry = g_new0 (Entry, 1);
      entry->key = g_strdup (key);
      entry->answer = *answer;
      g_ptr_array_ref (answer->headers);
      g_bytes_ref (answer->body);
      g_hash_table_insert (cache->entries, entry->key, entry);
      g_queue_push_tail (&cache->order, entry);
      cache->bytes += entry_bytes (entry);
      evict_excess (cache);
    }
  g_mutex_unlock (&cache->lock);
}

bool
gs_answer_cache_get (GsAnswerCache *cache, const char *key, GsCachedAnswer *answer)
{
  Entry *entry;

  g_mutex_lock (&cache->lock);
  entry = g_hash_table_lookup (cache->entries, key);
  if (entry != NULL)
    {
      *answer = entry->answer;
      g_ptr_array_ref (answer->headers);
      g_bytes_ref (answer->body);
    }
  g_mutex_unlock (&cache->lock);
  return entry != NULL;
}
