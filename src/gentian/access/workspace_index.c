#include "workspace_index.h"

#include <glib.h>
#include <string.h>

enum
{
  INDEX_SLOTS_MIN = 8,
};

/* A place of a key: the row's number plus one, 0 if the place is free, and which of its keys. */
typedef struct
{
  uint32_t row;
  uint32_t key;
} KeySlot;

struct GsWorkspaceIndex
{
  const GsWorkspaceRow *rows;
  KeySlot *keys;
  uint32_t *names; /* row's number plus one; 0: free */
  uint32_t keys_mask;
  uint32_t names_mask;
};

/* RETURN VALUE: number of slots for COUNT entries; at most half of them are in use. */
static uint32_t
slots_for (uint64_t count)
{
  uint32_t slots = INDEX_SLOTS_MIN;

  while (slots < 2 * count)
    slots *= 2;
  return slots;
}

/* A digest's bytes are evenly distributed, so its first ones serve as a hash. */
static uint32_t
key_hash (const GsKeyDigest *key)
{
  uint32_t hash;

  memcpy (&hash, key->bytes, sizeof hash);
  return hash;
}

/* RETURN VALUE: the slot that holds KEY, or the free one where it belongs. */
static KeySlot *
key_slot (const GsWorkspaceIndex *index, const GsKeyDigest *key)
{
  for (uint32_t i = key_hash (key) & index->keys_mask;; i = (i + 1) & index->keys_mask)
    {
      KeySlot *slot = &index->keys[i];
      if (slot->row == 0
          || memcmp (&index->rows[slot->row - 1].keys[slot->key], key, sizeof *key) == 0)
        return slot;
    }
}

/* RETURN VALUE: the slot that holds the row whose name has HASH, or the free one for it. */
static uint32_t *
name_slot (const GsWorkspaceIndex *index, uint64_t hash)
{
  uint32_t first = (uint32_t)gs_mix64 (hash) & index->names_mask;

  for (uint32_t i = first;; i = (i + 1) & index->names_mask)
    {
      uint32_t *slot = &index->names[i];
      if (*slot == 0 || index->rows[*slot - 1].hash == hash)
        return slot;
    }
}

/* RETURN VALUE: whether ROW could be added; if not, CONFLICT is set. */
static bool
add_row (GsWorkspaceIndex *index, uint32_t row, GsWorkspaceConflict *conflict)
{
  uint32_t *name = name_slot (index, index->rows[row].hash);

  if (*name != 0)
    {
      *conflict = (GsWorkspaceConflict){ .row = row, .other = *name - 1 };
      return false;
    }
  *name = row + 1;
  for (uint32_t i = 0; i < index->rows[row].n_keys; i++)
    {
      KeySlot *slot = key_slot (index, &index->rows[row].keys[i]);
      if (slot->row != 0 && slot->row != row + 1)
        {
          *conflict = (GsWorkspaceConflict){ .row = row, .other = slot->row - 1, .same_key = true };
          return false;
        }
      *slot = (KeySlot){ .row = row + 1, .key = i };
    }
  return true;
}

GsWorkspaceIndex *
gs_workspace_index_new (const GsWorkspaceRow *rows, uint32_t n_rows, GsWorkspaceConflict *conflict)
{
  GsWorkspaceIndex *index = g_new0 (GsWorkspaceIndex, 1);
  uint64_t n_keys = 0;
  uint32_t n_slots;

  for (uint32_t i = 0; i < n_rows; i++)
    n_keys += rows[i].n_keys;
  index->rows = rows;
  n_slots = slots_for (n_keys);
  index->keys = g_new0 (KeySlot, n_slots);
  index->keys_mask = n_slots - 1;
  n_slots = slots_for (n_rows);
  index->names = g_new0 (uint32_t, n_slots);
  index->names_mask = n_slots - 1;
  for (uint32_t i = 0; i < n_rows; i++)
    if (!add_row (index, i, conflict))
      {
        gs_workspace_index_free (index);
        return NULL;
      }
  return index;
}

void
gs_workspace_index_free (GsWorkspaceIndex *index)
{
  if (index == NULL)
    return;
  g_free (index->keys);
  g_free (index->names);
  g_free (index);
}

const GsWorkspaceRow *
gs_workspace_index_find_key (const GsWorkspaceIndex *index, const GsKeyDigest *key)
{
  const KeySlot *slot = index != NULL ? key_slot (index, key) : NULL;

  return slot != NULL && slot->row != 0 ? &index->rows[slot->row - 1] : NULL;
}

const GsWorkspaceRow *
gs_workspace_index_find_name (const GsWorkspaceIndex *index, uint64_t hash)
{
  const uint32_t *slot = index != NULL ? name_slot (index, hash) : NULL;

  return slot != NULL && *slot != 0 ? &index->rows[*slot - 1] : NULL;
}
