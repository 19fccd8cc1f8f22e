/* Unit tests of core/config_log. */
#include "fixture.h"

typedef struct
{
  GsTable *table;
  GsConfigLog *fold;
} Log;

static Log
log_new (void)
{
  Log log = { .table = gs_table_new () };

  log.fold = gs_config_log_new (log.table);
  return log;
}

static void
log_free (Log *log)
{
  gs_config_log_free (log->fold);
  gs_table_free (log->table);
}

static GsEditResult
edit (Log *log, uint64_t offset, uint64_t submission, uint64_t base, const char *workspace)
{
  GsDocument *document = fixture_tables (1, GS_REPEAT_SAFE);
  GsEdit one
      = { .submission = submission, .base_revision = base, .workspace = workspace, .text = "t" };
  uint64_t revision;

  g_free (document->workspace);
  document->workspace = g_strdup (workspace);
  one.document = document;
  return gs_config_log_apply_edit (log->fold, offset, &one, &revision);
}

START_TEST (of_two_editors_one_wins)
{
  Log log = log_new ();

  gs_config_log_set_complete (log.fold, 0);
  ck_assert_int_eq (edit (&log, 0, 1, 0, "w"), GS_EDIT_ACCEPTED);
  ck_assert_int_eq (edit (&log, 1, 2, 1, "w"), GS_EDIT_ACCEPTED);
  ck_assert_int_eq (edit (&log, 2, 3, 1, "w"), GS_EDIT_CONFLICT);
  ck_assert_uint_eq (gs_config_log_revision (log.fold, "w", NULL), 2);
  log_free (&log);
}
END_TEST

START_TEST (a_submission_counts_once)
{
  Log log = log_new ();

  gs_config_log_set_complete (log.fold, 0);
  edit (&log, 0, 1, 0, "w");
  ck_assert_int_eq (edit (&log, 1, 1, 0, "w"), GS_EDIT_DUPLICATE);
  ck_assert_uint_eq (gs_config_log_revision (log.fold, "w", NULL), 1);
  ck_assert (gs_config_log_has_accepted (log.fold, "w", 1));
  ck_assert (!gs_config_log_has_accepted (log.fold, "w", 2));
  log_free (&log);
}
END_TEST

START_TEST (another_workspaces_route_is_refused)
{
  Log log = log_new ();

  gs_config_log_set_complete (log.fold, 0);
  edit (&log, 0, 1, 0, "w");
  ck_assert_int_eq (edit (&log, 1, 2, 0, "x"), GS_EDIT_CLASH);
  log_free (&log);
}
END_TEST

START_TEST (replays_and_incomplete_readers_judge_nothing)
{
  Log log = log_new ();

  ck_assert_int_eq (edit (&log, 5, 1, 0, "w"), GS_EDIT_IGNORED);
  gs_config_log_set_complete (log.fold, 6);
  ck_assert_int_eq (edit (&log, 5, 1, 0, "w"), GS_EDIT_IGNORED);
  ck_assert_int_eq (edit (&log, 7, 1, 0, "w"), GS_EDIT_IGNORED);
  ck_assert_int_eq (edit (&log, 6, 1, 0, "w"), GS_EDIT_ACCEPTED);
  log_free (&log);
}
END_TEST

static void
copy_entry (const GsSnapshotEntry *entry, void *data)
{
  gs_config_log_apply_snapshot_entry (data, entry, gs_document_new (entry->workspace, 0));
}

START_TEST (a_copy_carries_everything)
{
  Log log = log_new ();
  Log newcomer = log_new ();

  gs_config_log_set_complete (log.fold, 0);
  edit (&log, 0, 1, 0, "w");
  ck_assert (gs_config_log_accepts_snapshot (newcomer.fold, 0, 1));
  ck_assert (!gs_config_log_accepts_snapshot (newcomer.fold, 1, 2));
  gs_config_log_foreach_newer (log.fold, 0, copy_entry, newcomer.fold);
  gs_config_log_end_snapshot (newcomer.fold, gs_config_log_position (log.fold));
  ck_assert (gs_config_log_has_accepted (newcomer.fold, "w", 1));
  ck_assert_uint_eq (gs_config_log_revision (newcomer.fold, "w", NULL), 1);
  ck_assert_int_eq (edit (&newcomer, 0, 9, 0, "w"), GS_EDIT_IGNORED);
  log_free (&log);
  log_free (&newcomer);
}
END_TEST

START_TEST (a_stale_copy_reverts_nothing)
{
  Log log = log_new ();
  GsSnapshotEntry stale = { .workspace = "w", .text = "old", .revision = 1 };

  gs_config_log_set_complete (log.fold, 0);
  edit (&log, 0, 1, 0, "w");
  edit (&log, 1, 2, 1, "w");
  ck_assert (!gs_config_log_accepts_snapshot (log.fold, 0, 1));
  ck_assert (!gs_config_log_apply_snapshot_entry (log.fold, &stale, gs_document_new ("w", 0)));
  ck_assert_uint_eq (gs_config_log_revision (log.fold, "w", NULL), 2);
  log_free (&log);
}
END_TEST

FIXTURE_MAIN ("fold",
              &of_two_editors_one_wins,
              &a_submission_counts_once,
              &another_workspaces_route_is_refused,
              &replays_and_incomplete_readers_judge_nothing,
              &a_copy_carries_everything,
              &a_stale_copy_reverts_nothing)
