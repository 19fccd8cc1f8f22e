#include "config_log.h"

#include <glib.h>
#include <string.h>

/* A single allocation, as a daemon has one for every workspace of the fleet. */
typedef struct
{
  char *text; /* as written; equal texts are stored once, as most workspaces have no rows */
  uint64_t revision;
  uint64_t submissions[GS_CONFIG_LOG_SUBMISSIONS]; /* newest first */
  char workspace[];
} WorkspaceEntry;

struct GsConfigLog
{
  GHashTable *entries; /* workspace -> WorkspaceEntry */
  GsTable *table;      /* not owned */
  uint64_t position;
  uint64_t refused_position; /* of a snapshot with an unusable entry that has not ended */
  bool has_refused;          /* there is such a snapshot */
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
  WorkspaceEntry *entry = data;

  g_clear_pointer (&entry->text, g_ref_string_release);
  g_free (entry);
}

GsConfigLog *
gs_config_log_new (GsTable *table)
{
  GsConfigLog *log = g_new0 (GsConfigLog, 1);

  log->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  log->table = table;
  return log;
}

void
gs_config_log_free (GsConfigLog *log)
{
  if (log == NULL)
    return;
  g_hash_table_destroy (log->entries);
  g_free (log);
}

static WorkspaceEntry *
get_or_add_entry (GsConfigLog *log, const char *workspace)
{
  WorkspaceEntry *entry = g_hash_table_lookup (log->entries, workspace);

  if (entry != NULL)
    return entry;
  entry = g_malloc0 (sizeof *entry + strlen (workspace) + 1);
  strcpy (entry->workspace, workspace);
  g_hash_table_insert (log->entries, entry->workspace, entry);
  return entry;
}

/* Only the parser that TEXT was written for can tell which texts mean the same. */
static void
set_text (WorkspaceEntry *entry, const char *text)
{
  g_clear_pointer (&entry->text, g_ref_string_release);
  entry->text = g_ref_string_new_intern (text);
}

static bool
was_accepted (const WorkspaceEntry *entry, uint64_t submission)
{
  for (int i = 0; i < GS_CONFIG_LOG_SUBMISSIONS; i++)
    if (entry->submissions[i] == submission)
      return true;
  return false;
}

static GsEditResult
evaluate (const GsConfigLog *log, const GsEdit *edit, uint64_t offset)
{
  const WorkspaceEntry *entry = g_hash_table_lookup (log->entries, edit->workspace);
  uint64_t current = entry != NULL ? entry->revision : 0;

  if (!log->complete || offset != log->position)
    return GS_EDIT_IGNORED; /* already applied, or records before it are missing */
  if (entry != NULL && was_accepted (entry, edit->submission))
    return GS_EDIT_DUPLICATE;
  if (edit->base_revision != current)
    return GS_EDIT_CONFLICT;
  if (edit->document == NULL)
    return GS_EDIT_MALFORMED;
  if (gs_table_find_clash (log->table, edit->document) != NULL)
    return GS_EDIT_CLASH;
  return GS_EDIT_ACCEPTED;
}

static void
apply_accepted (GsConfigLog *log, const GsEdit *edit, uint64_t revision)
{
  WorkspaceEntry *entry = get_or_add_entry (log, edit->workspace);

  memmove (&entry->submissions[1], &entry->submissions[0],
           (GS_CONFIG_LOG_SUBMISSIONS - 1) * sizeof entry->submissions[0]);
  entry->submissions[0] = edit->submission;
  entry->revision = revision;
  set_text (entry, edit->text);
  edit->document->revision = revision;
  gs_table_replace (log->table, edit->document);
}

GsEditResult
gs_config_log_apply_edit (GsConfigLog *log, uint64_t offset, GsEdit *edit, uint64_t *revision)
{
  GsEditResult result = evaluate (log, edit, offset);

  if (result == GS_EDIT_ACCEPTED)
    apply_accepted (log, edit, offset + 1);
  else
    gs_document_free (edit->document);
  edit->document = NULL;
  if (result != GS_EDIT_IGNORED)
    gs_config_log_advance (log, offset + 1);
  *revision = gs_config_log_revision (log, edit->workspace, NULL);
  return result;
}

void
gs_config_log_advance (GsConfigLog *log, uint64_t position)
{
  if (log->complete && position > log->position)
    log->position = position;
}

void
gs_config_log_set_complete (GsConfigLog *log, uint64_t position)
{
  log->complete = true;
  gs_config_log_advance (log, position);
}

bool
gs_config_log_accepts_snapshot (const GsConfigLog *log, uint64_t from, uint64_t position)
{
  if (!log->complete)
    return from == 0;
  return from <= log->position && position > log->position;
}

bool
gs_config_log_apply_snapshot_entry (GsConfigLog *log,
                                    const GsSnapshotEntry *snapshot_entry,
                                    GsDocument *document)
{
  WorkspaceEntry *entry = g_hash_table_lookup (log->entries, snapshot_entry->workspace);

  if (document == NULL || (entry != NULL && snapshot_entry->revision <= entry->revision))
    {
      gs_document_free (document);
      return false;
    }
  entry = get_or_add_entry (log, snapshot_entry->workspace);
  entry->revision = snapshot_entry->revision;
  memcpy (entry->submissions, snapshot_entry->submissions, sizeof entry->submissions);
  set_text (entry, snapshot_entry->text);
  document->revision = snapshot_entry->revision;
  return gs_table_replace (log->table, document);
}

void
gs_config_log_refuse_snapshot_entry (GsConfigLog *log, uint64_t position)
{
  log->refused_position = position;
  log->has_refused = true;
}

bool
gs_config_log_end_snapshot (GsConfigLog *log, uint64_t position)
{
  if (log->has_refused && log->refused_position == position)
    {
      log->has_refused = false; /* a copy that is whole may follow */
      return false;
    }
  gs_config_log_set_complete (log, position);
  return true;
}

void
gs_config_log_foreach_newer (const GsConfigLog *log,
                             uint64_t from,
                             void (*visit) (const GsSnapshotEntry *entry, void *data),
                             void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, log->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const WorkspaceEntry *entry = value;
      GsSnapshotEntry snapshot_entry
          = { .workspace = entry->workspace, .text = entry->text, .revision = entry->revision };
      if (entry->revision <= from)
        continue;
      memcpy (snapshot_entry.submissions, entry->submissions, sizeof snapshot_entry.submissions);
      visit (&snapshot_entry, data);
    }
}

uint64_t
gs_config_log_position (const GsConfigLog *log)
{
  return log->position;
}

bool
gs_config_log_is_complete (const GsConfigLog *log)
{
  return log->complete;
}

uint64_t
gs_config_log_revision (const GsConfigLog *log, const char *workspace, const char **text)
{
  const WorkspaceEntry *entry = g_hash_table_lookup (log->entries, workspace);

  if (text != NULL)
    *text = entry != NULL ? entry->text : NULL;
  return entry != NULL ? entry->revision : 0;
}

bool
gs_config_log_has_accepted (const GsConfigLog *log, const char *workspace, uint64_t submission)
{
  const WorkspaceEntry *entry = g_hash_table_lookup (log->entries, workspace);

  return entry != NULL && was_accepted (entry, submission);
}
