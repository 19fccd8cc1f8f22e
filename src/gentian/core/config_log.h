/**
 * NAME
 *   config_log - the tables of all workspaces, replayed from the platform's log
 *
 * DESCRIPTION
 *   An edit replaces both tables of one workspace and states the revision that it is based on. All
 * readers evaluate edits in log order by the same rules, so they accept the same edits. A revision
 * is the log offset of the accepted edit plus one, so revisions only grow. A submission that is in
 * the log twice is applied once. A snapshot, read from the log or sent by a peer, is applied only
 * where it is newer than the known state. Texts are opaque here, stored and sent as written. Pure.
 * Tested by test/unit/test_config_log.c and test/property/prop_config_log.cpp.
 */
#ifndef GS_CONFIG_LOG_H
#define GS_CONFIG_LOG_H

#include "table.h"

enum
{
  GS_CONFIG_LOG_SUBMISSIONS = 4, /**< newest accepted submissions stored per workspace */
};

/** One edit, as read from the log. */
typedef struct
{
  uint64_t submission;    /**< hash of the submission's id */
  uint64_t base_revision; /**< revision of the workspace that the edit is based on */
  const char *workspace;
  GsDocument *document; /**< parsed tables; NULL if they are malformed */
  const char *text;     /**< their YAML text */
} GsEdit;

typedef enum
{
  GS_EDIT_ACCEPTED = 0,
  GS_EDIT_CONFLICT,  /**< the workspace was edited after the base revision */
  GS_EDIT_CLASH,     /**< a route's host and prefix belong to another workspace */
  GS_EDIT_MALFORMED, /**< the tables do not parse */
  GS_EDIT_DUPLICATE, /**< the submission was accepted earlier */
  GS_EDIT_IGNORED,   /**< not the next record: already applied, or records before it are missing */
} GsEditResult;

/** One workspace of a snapshot. */
typedef struct
{
  const char *workspace;
  const char *text;
  uint64_t revision;
  uint64_t submissions[GS_CONFIG_LOG_SUBMISSIONS];
} GsSnapshotEntry;

typedef struct GsConfigLog GsConfigLog;

/** RETURN VALUE: an empty config log, which puts accepted documents into TABLE. */
GsConfigLog *gs_config_log_new (GsTable *table);
void gs_config_log_free (GsConfigLog *log);

/**
 * Evaluates EDIT at OFFSET and applies it if accepted. Takes ownership of its document.
 *
 * RETURN VALUE: the result; REVISION gets the workspace's revision now in force.
 */
GsEditResult
gs_config_log_apply_edit (GsConfigLog *log, uint64_t offset, GsEdit *edit, uint64_t *revision);

/** Records that the log has been read up to POSITION (the next offset) without further edits. */
void gs_config_log_advance (GsConfigLog *log, uint64_t position);

/** States that all edits before POSITION have been applied, as the log was read from offset 0. */
void gs_config_log_set_complete (GsConfigLog *log, uint64_t position);

/**
 * Decides whether a snapshot of all edits between FROM and POSITION can be applied.
 *
 * RETURN VALUE: true if the snapshot leaves no gap after the known state and reaches further.
 */
bool gs_config_log_accepts_snapshot (const GsConfigLog *log, uint64_t from, uint64_t position);

/** Applies one workspace of a snapshot and takes ownership of DOCUMENT. RETURN VALUE: true if it is
 * now in force. */
bool gs_config_log_apply_snapshot_entry (GsConfigLog *log,
                                         const GsSnapshotEntry *entry,
                                         GsDocument *document);

/** States that an entry of the snapshot to POSITION cannot be used, so that it will not be
 * complete. Its other entries may be applied. */
void gs_config_log_refuse_snapshot_entry (GsConfigLog *log, uint64_t position);

/**
 * Ends the application of a snapshot that reaches to POSITION.
 *
 * RETURN VALUE: false if an entry of it was refused. The log's position is then the same as before,
 * as it never exceeds what is known.
 */
bool gs_config_log_end_snapshot (GsConfigLog *log, uint64_t position);

/** Calls VISIT for each workspace whose revision is above FROM. */
void gs_config_log_foreach_newer (const GsConfigLog *log,
                                  uint64_t from,
                                  void (*visit) (const GsSnapshotEntry *entry, void *data),
                                  void *data);

/** RETURN VALUE: the next log offset to read. */
uint64_t gs_config_log_position (const GsConfigLog *log);

/** RETURN VALUE: true if all edits before the position are known. */
bool gs_config_log_is_complete (const GsConfigLog *log);

/** RETURN VALUE: the revision of WORKSPACE, or 0 if it has none. TEXT, if not NULL, gets the YAML
 * text, or NULL. */
uint64_t gs_config_log_revision (const GsConfigLog *log, const char *workspace, const char **text);

/** RETURN VALUE: true if SUBMISSION is among the newest accepted ones of WORKSPACE. */
bool
gs_config_log_has_accepted (const GsConfigLog *log, const char *workspace, uint64_t submission);

/** RETURN VALUE: static text of RESULT. */
const char *gs_edit_result_name (GsEditResult result);

#endif
