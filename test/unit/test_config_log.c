/* Unit tests of core/config_log. */
#include "fixture.h"

typedef struct
{
  GsTable *table;
  GsConfigLog *log;
} LogFixture;

static LogFixture
log_fixture_new (void)
{
  LogFixture fixture = { .table = gs_table_new () };

  fixture.log = gs_config_log_new (fixture.table);
  return fixture;
}

static void
log_fixture_free (LogFixture *fixture)
{
  gs_config_log_free (fixture->log);
  gs_table_free (fixture->table);
}

static GsEditResult
apply_edit (LogFixture *fixture,
            uint64_t offset,
            uint64_t submission,
            uint64_t base,
            const char *workspace)
{
  GsDocument *document = fixture_tables (1, GS_REPEAT_SAFE);
  GsEdit edit
      = { .submission = submission, .base_revision = base, .workspace = workspace, .text = "t" };
  uint64_t revision;

  g_free (document->workspace);
  document->workspace = g_strdup (workspace);
  edit.document = document;
  return gs_config_log_apply_edit (fixture->log, offset, &edit, &revision);
}

/* If both of two concurrent edits were accepted, the later one would revert the earlier one. */
START_TEST (second_edit_of_the_same_revision_conflicts)
{
  LogFixture fixture = log_fixture_new ();

  gs_config_log_set_complete (fixture.log, 0);
  ck_assert_int_eq (apply_edit (&fixture, 0, 1, 0, "w"), GS_EDIT_ACCEPTED);
  ck_assert_int_eq (apply_edit (&fixture, 1, 2, 1, "w"), GS_EDIT_ACCEPTED);
  ck_assert_int_eq (apply_edit (&fixture, 2, 3, 1, "w"), GS_EDIT_CONFLICT);
  ck_assert_uint_eq (gs_config_log_revision (fixture.log, "w", NULL), 2);
  log_fixture_free (&fixture);
}
END_TEST

/* A submission can be in the log twice, when its append is repeated after a lost reply. */
START_TEST (submission_is_applied_once)
{
  LogFixture fixture = log_fixture_new ();

  gs_config_log_set_complete (fixture.log, 0);
  apply_edit (&fixture, 0, 1, 0, "w");
  ck_assert_int_eq (apply_edit (&fixture, 1, 1, 0, "w"), GS_EDIT_DUPLICATE);
  ck_assert_uint_eq (gs_config_log_revision (fixture.log, "w", NULL), 1);
  ck_assert (gs_config_log_has_accepted (fixture.log, "w", 1));
  ck_assert (!gs_config_log_has_accepted (fixture.log, "w", 2));
  log_fixture_free (&fixture);
}
END_TEST

START_TEST (route_of_another_workspace_is_refused)
{
  LogFixture fixture = log_fixture_new ();

  gs_config_log_set_complete (fixture.log, 0);
  apply_edit (&fixture, 0, 1, 0, "w");
  ck_assert_int_eq (apply_edit (&fixture, 1, 2, 0, "x"), GS_EDIT_CLASH);
  log_fixture_free (&fixture);
}
END_TEST

/* A reader that does not know all earlier edits could accept one that the other readers refuse. */
START_TEST (replayed_and_out_of_order_edits_are_ignored)
{
  LogFixture fixture = log_fixture_new ();

  ck_assert_int_eq (apply_edit (&fixture, 5, 1, 0, "w"), GS_EDIT_IGNORED);
  gs_config_log_set_complete (fixture.log, 6);
  ck_assert_int_eq (apply_edit (&fixture, 5, 1, 0, "w"), GS_EDIT_IGNORED);
  ck_assert_int_eq (apply_edit (&fixture, 7, 1, 0, "w"), GS_EDIT_IGNORED);
  ck_assert_int_eq (apply_edit (&fixture, 6, 1, 0, "w"), GS_EDIT_ACCEPTED);
  log_fixture_free (&fixture);
}
END_TEST

static void
apply_entry (const GsSnapshotEntry *entry, void *data)
{
  gs_config_log_apply_snapshot_entry (data, entry, gs_document_new (entry->workspace, 0));
}

START_TEST (snapshot_carries_the_complete_state)
{
  LogFixture source = log_fixture_new ();
  LogFixture replica = log_fixture_new ();

  gs_config_log_set_complete (source.log, 0);
  apply_edit (&source, 0, 1, 0, "w");
  ck_assert (gs_config_log_accepts_snapshot (replica.log, 0, 1));
  ck_assert (!gs_config_log_accepts_snapshot (replica.log, 1, 2));
  gs_config_log_foreach_newer (source.log, 0, apply_entry, replica.log);
  gs_config_log_end_snapshot (replica.log, gs_config_log_position (source.log));
  ck_assert (gs_config_log_has_accepted (replica.log, "w", 1));
  ck_assert_uint_eq (gs_config_log_revision (replica.log, "w", NULL), 1);
  ck_assert_int_eq (apply_edit (&replica, 0, 9, 0, "w"), GS_EDIT_IGNORED);
  log_fixture_free (&source);
  log_fixture_free (&replica);
}
END_TEST

/* A snapshot from a peer may be older than what was read from the log. */
START_TEST (stale_snapshot_reverts_nothing)
{
  LogFixture fixture = log_fixture_new ();
  GsSnapshotEntry stale = { .workspace = "w", .text = "old", .revision = 1 };

  gs_config_log_set_complete (fixture.log, 0);
  apply_edit (&fixture, 0, 1, 0, "w");
  apply_edit (&fixture, 1, 2, 1, "w");
  ck_assert (!gs_config_log_accepts_snapshot (fixture.log, 0, 1));
  ck_assert (!gs_config_log_apply_snapshot_entry (fixture.log, &stale, gs_document_new ("w", 0)));
  ck_assert_uint_eq (gs_config_log_revision (fixture.log, "w", NULL), 2);
  log_fixture_free (&fixture);
}
END_TEST

/* Guards against a daemon that never becomes ready as nobody has written any tables yet. */
START_TEST (empty_snapshot_to_position_0_is_complete)
{
  LogFixture fixture = log_fixture_new ();

  ck_assert (gs_config_log_accepts_snapshot (fixture.log, 0, 0));
  ck_assert (gs_config_log_end_snapshot (fixture.log, 0));
  ck_assert (gs_config_log_is_complete (fixture.log));
  log_fixture_free (&fixture);
}
END_TEST

static void
copy_text (const GsSnapshotEntry *entry, void *data)
{
  g_strlcpy (data, entry->text, 64);
}

/* Guards against tables without rows that other daemons get as a text their adapter refuses. */
START_TEST (text_of_tables_without_rows_is_sent_as_written)
{
  static const char text[] = "{\"Version\":\"r7\"}";
  LogFixture fixture = log_fixture_new ();
  GsSnapshotEntry entry = { .workspace = "w", .text = text, .revision = 7 };
  char sent[64] = "";
  const char *shown;

  gs_config_log_apply_snapshot_entry (fixture.log, &entry, gs_document_new ("w", 0));
  gs_config_log_end_snapshot (fixture.log, 7);
  gs_config_log_foreach_newer (fixture.log, 0, copy_text, sent);
  ck_assert_str_eq (sent, text);
  gs_config_log_revision (fixture.log, "w", &shown);
  ck_assert_str_eq (shown, text);
  log_fixture_free (&fixture);
}
END_TEST

FIXTURE_MAIN ("config_log",
              &second_edit_of_the_same_revision_conflicts,
              &submission_is_applied_once,
              &route_of_another_workspace_is_refused,
              &replayed_and_out_of_order_edits_are_ignored,
              &snapshot_carries_the_complete_state,
              &stale_snapshot_reverts_nothing,
              &empty_snapshot_to_position_0_is_complete,
              &text_of_tables_without_rows_is_sent_as_written)
