/**
 * NAME
 *   fold - the configuration as a fold over the platform's log
 *
 * DESCRIPTION
 *   An edit replaces the two tables of one workspace and states the revision it was based on. Edits
 * are judged in log order by the same rules everywhere, so every reader accepts the same ones. A
 * revision is the log offset of the accepted edit plus one, so revisions only grow. A submission
 * that stands in the log twice takes effect once. A copy (snapshot, or peer's answer) is taken only
 * where it reaches further than what is known. Pure. Tested by test/unit/test_fold.c and
 * test/property/prop_fold.cpp.
 */
#ifndef GS_CONFIG_LOG_H
#define GS_CONFIG_LOG_H

#include "table.h"

enum
{
  GS_CONFIG_LOG_SUBMISSIONS = 4, /**< last submissions remembered a workspace */
};

/** One edit as read from the log. */
typedef struct
{
  uint64_t submission;    /**< hash of the submission's identifier */
  uint64_t base_revision; /**< revision of the workspace that it was based on */
  const char *workspace;
  GsDocument *document; /**< parsed tables; NULL when they are malformed */
  const char *text;     /**< their YAML text */
} GsEdit;

typedef enum
{
  GS_EDIT_ACCEPTED = 0,
  GS_EDIT_CONFLICT,  /**< the workspace was edited since the base */
  GS_EDIT_CLASH,     /**< a route's host and prefix belong to another workspace */
  GS_EDIT_MALFORMED, /**< the tables do not parse */
  GS_EDIT_DUPLICATE, /**< the submission was accepted before */
  GS_EDIT_IGNORED,   /**< not the next record: read already, or records before it are missing */
} GsEditResult;

/** One workspace in a copy. */
typedef struct
{
  const char *workspace;
  const char *text;
  uint64_t revision;
  uint64_t submissions[GS_CONFIG_LOG_SUBMISSIONS];
} GsSnapshotEntry;

typedef struct GsConfigLog GsConfigLog;

/** RETURN VALUE: an empty fold that puts accepted documents in force in TABLE. */
GsConfigLog *gs_config_log_new (GsTable *table);
void gs_config_log_free (GsConfigLog *fold);

/**
 * Judges EDIT at OFFSET and takes ownership of its document.
 *
 * RETURN VALUE: the result; REVISION gets the workspace's revision in force.
 */
GsEditResult
gs_config_log_apply_edit (GsConfigLog *fold, uint64_t offset, GsEdit *edit, uint64_t *revision);

/** Notes that the log has been read up to POSITION (the next offset) without further edits. */
void gs_config_log_advance (GsConfigLog *fold, uint64_t position);

/** States that the fold holds all that the log ever held up to POSITION (a log read from offset 0).
 */
void gs_config_log_set_complete (GsConfigLog *fold, uint64_t position);

/**
 * Decides whether a copy of everything between FROM and POSITION may be taken.
 *
 * RETURN VALUE: true when the copy continues what is known and reaches further.
 */
bool gs_config_log_accepts_snapshot (const GsConfigLog *fold, uint64_t from, uint64_t position);

/** Takes one workspace of a copy; DOCUMENT's ownership passes. RETURN VALUE: true when it is in
 * force. */
bool gs_config_log_apply_snapshot_entry (GsConfigLog *fold,
                                         const GsSnapshotEntry *entry,
                                         GsDocument *document);

/** Ends the taking of a copy that reaches to POSITION. */
void gs_config_log_end_snapshot (GsConfigLog *fold, uint64_t position);

/** Calls VISIT for each workspace with a revision above FROM. */
void gs_config_log_foreach_newer (const GsConfigLog *fold,
                                  uint64_t from,
                                  void (*visit) (const GsSnapshotEntry *entry, void *data),
                                  void *data);

/** RETURN VALUE: the next log offset to read. */
uint64_t gs_config_log_position (const GsConfigLog *fold);

/** RETURN VALUE: true when the tables are complete up to the position. */
bool gs_config_log_is_complete (const GsConfigLog *fold);

/** RETURN VALUE: the revision of WORKSPACE, 0 before any. TEXT, if not NULL, gets the YAML or NULL.
 */
uint64_t gs_config_log_revision (const GsConfigLog *fold, const char *workspace, const char **text);

/** RETURN VALUE: true when SUBMISSION is among the last accepted of WORKSPACE. */
bool
gs_config_log_has_accepted (const GsConfigLog *fold, const char *workspace, uint64_t submission);

/** RETURN VALUE: static text of RESULT. */
const char *gs_edit_result_name (GsEditResult result);

#endif
