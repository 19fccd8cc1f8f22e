#include "config_log.h"

#include <glib.h>
#include <string.h>

/** YAML text of tables without rows; most workspaces have none, so it is not stored for each. */
#define FOLD_EMPTY_TEXT "{}\n"

/* One allocation each: a daemon holds one for every workspace of the fleet. */
typedef struct
{
  char *text; /* NULL: tables without rows */
  uint64_t revision;
  uint64_t submissions[GS_CONFIG_LOG_SUBMISSIONS]; /* newest first */
  char workspace[];
} Entry;

struct GsConfigLog
{
  GHashTable *entries; /* workspace -> Entry */
  GsTable *table;      /* not owned */
  uint64_t position;
  bool complete;
};

const char *
gs_edit_result_name (GsEditResult result)
{
  static const char *const names[]
      = { "accepted", "conflict", "clash", "malformed", "repeated", "ignored" };
  return names[result];
}

static void
free_entry (gpointer data)
{
  Entry *entry = data;

  g_free (entry->text);
  g_free (entry);
}

GsConfigLog *
gs_config_log_new (GsTable *table)
{
  GsConfigLog *fold = g_new0 (GsConfigLog, 1);

  fold->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  fold->table = table;
  return fold;
}

void
gs_config_log_free (GsConfigLog *fold)
{
  if (fold == NULL)
    return;
  g_hash_table_destroy (fold->entries);
  g_free (fold);
}

static Entry *
entry_of (GsConfigLog *fold, const char *workspace)
{
  Entry *entry = g_hash_table_lookup (fold->entries, workspace);

  if (entry != NULL)
    return entry;
  entry = g_malloc0 (sizeof *entry + strlen (workspace) + 1);
  strcpy (entry->workspace, workspace);
  g_hash_table_insert (fold->entries, entry->workspace, entry);
  return entry;
}

static void
set_text (Entry *entry, const GsDocument *document, const char *text)
{
  g_free (entry->text);
  entry->text = document->n_routes + document->n_pools > 0 ? g_strdup (text) : NULL;
}

static const char *
text_of (const Entry *entry)
{
  return entry->text != NULL ? entry->text : FOLD_EMPTY_TEXT;
}

static bool
was_accepted (const Entry *entry, uint64_t submission)
{
  for (int i = 0; i < GS_CONFIG_LOG_SUBMISSIONS; i++)
    if (entry->submissions[i] == submission)
      return true;
  return false;
}

static GsEditResult
judge (const GsConfigLog *fold, const GsEdit *edit, uint64_t offset)
{
  const Entry *entry = g_hash_table_lookup (fold->entries, edit->workspace);
  uint64_t current = entry != NULL ? entry->revision : 0;

  if (!fold->complete || offset != fold->position)
    return GS_EDIT_IGNORED; /* read before, or records between are missing */
  if (entry != NULL && was_accepted (entry, edit->submission))
    return GS_EDIT_DUPLICATE;
  if (edit->base_revision != current)
    return GS_EDIT_CONFLICT;
  if (edit->document == NULL)
    return GS_EDIT_MALFORMED;
  if (gs_table_find_clash (fold->table, edit->document) != NULL)
    return GS_EDIT_CLASH;
  return GS_EDIT_ACCEPTED;
}

static void
put_in_force (GsConfigLog *fold, const GsEdit *edit, uint64_t revision)
{
  Entry *entry = entry_of (fold, edit->workspace);

  memmove (&entry->submissions[1], &entry->submissions[0],
           (GS_CONFIG_LOG_SUBMISSIONS - 1) * sizeof entry->submissions[0]);
  entry->submissions[0] = edit->submission;
  entry->revision = revision;
  set_text (entry, edit->document, edit->text);
  edit->document->revision = revision;
  gs_table_replace (fold->table, edit->document);
}

GsEditResult
gs_config_log_apply_edit (GsConfigLog *fold, uint64_t offset, GsEdit *edit, uint64_t *revision)
{
  GsEditResult result = judge (fold, edit, offset);

  if (result == GS_EDIT_ACCEPTED)
    put_in_force (fold, edit, offset + 1);
  else
    gs_document_free (edit->document);
  edit->document = NULL;
  if (result != GS_EDIT_IGNORED)
    gs_config_log_advance (fold, offset + 1);
  *revision = gs_config_log_revision (fold, edit->workspace, NULL);
  return result;
}

void
gs_config_log_advance (GsConfigLog *fold, uint64_t position)
{
  if (fold->complete && position > fold->position)
    fold->position = position;
}

void
gs_config_log_set_complete (GsConfigLog *fold, uint64_t position)
{
  fold->complete = true;
  gs_config_log_advance (fold, position);
}

bool
gs_config_log_accepts_snapshot (const GsConfigLog *fold, uint64_t from, uint64_t position)
{
  if (!fold->complete)
    return from == 0;
  return from <= fold->position && position > fold->position;
}

bool
gs_config_log_apply_snapshot_entry (GsConfigLog *fold,
                                    const GsSnapshotEntry *copy,
                                    GsDocument *document)
{
  Entry *entry = g_hash_table_lookup (fold->entries, copy->workspace);

  if (document == NULL || (entry != NULL && copy->revision <= entry->revision))
    {
      gs_document_free (document);
      return false;
    }
  entry = entry_of (fold, copy->workspace);
  entry->revision = copy->revision;
  memcpy (entry->submissions, copy->submissions, sizeof entry->submissions);
  set_text (entry, document, copy->text);
  document->revision = copy->revision;
  return gs_table_replace (fold->table, document);
}

void
gs_config_log_end_snapshot (GsConfigLog *fold, uint64_t position)
{
  gs_config_log_set_complete (fold, position);
}

void
gs_config_log_foreach_newer (const GsConfigLog *fold,
                             uint64_t from,
                             void (*visit) (const GsSnapshotEntry *entry, void *data),
                             void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fold->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;
      GsSnapshotEntry copy
          = { .workspace = entry->workspace, .text = text_of (entry), .revision = entry->revision };
      if (entry->revision <= from)
        continue;
      memcpy (copy.submissions, entry->submissions, sizeof copy.submissions);
      visit (&copy, data);
    }
}

uint64_t
gs_config_log_position (const GsConfigLog *fold)
{
  return fold->position;
}

bool
gs_config_log_is_complete (const GsConfigLog *fold)
{
  return fold->complete;
}

uint64_t
gs_config_log_revision (const GsConfigLog *fold, const char *workspace, const char **text)
{
  const Entry *entry = g_hash_table_lookup (fold->entries, workspace);

  if (text != NULL)
    *text = entry != NULL ? text_of (entry) : NULL;
  return entry != NULL ? entry->revision : 0;
}

bool
gs_config_log_has_accepted (const GsConfigLog *fold, const char *workspace, uint64_t submission)
{
  const Entry *entry = g_hash_table_lookup (fold->entries, workspace);

  return entry != NULL && was_accepted (entry, submission);
}
