/* Unit tests of daemon/tables_decoder: order and ownership of snapshots decoded on its thread. */
#include "../../src/gentian/daemon/tables_decoder.h"
#include "fixture.h"

typedef struct
{
  struct ev_loop *loop;
  GThread *thread;
  GString *decoded; /* positions of the snapshots handed over, and which entries were valid */
} Log;

static Log *log_in_use;

/* An entry is valid unless its text ends in an exclamation mark. */
static GsDocument *
parse (const char *workspace, const char *file, const char *text, size_t length, GError **error)
{
  (void)file;
  ck_assert_ptr_ne (g_thread_self (), log_in_use->thread);
  g_usleep (1000);
  if (text[length - 1] != '!')
    return gs_document_new (workspace, 1);
  g_set_error (error, g_quark_from_static_string ("test"), 1, "%s: invalid", workspace);
  return NULL;
}

static void
on_decoded (const GsTablesSnapshot *snapshot,
            GsDocument **documents,
            const GError *refusal,
            void *data)
{
  Log *log = data;

  ck_assert_str_eq (refusal->message, "b: invalid");

  ck_assert_ptr_eq (g_thread_self (), log->thread);
  g_string_append_printf (log->decoded, "%" G_GUINT64_FORMAT ":", snapshot->position);
  for (uint32_t i = 0; i < snapshot->n_entries; i++)
    {
      g_string_append_c (log->decoded, documents[i] != NULL ? 'v' : '-');
      gs_document_free (documents[i]);
    }
  g_string_append_c (log->decoded, ' ');
}

/* RETURN VALUE: a snapshot of two entries, the second invalid, to POSITION. */
static GsTablesSnapshot
snapshot_to (uint64_t position, size_t length)
{
  GsTablesSnapshot snapshot
      = { .position = position, .n_entries = 2, .entries = g_new0 (GsSnapshotEntry, 2) };

  for (int i = 0; i < 2; i++)
    {
      snapshot.entries[i].workspace = g_strdup (i == 0 ? "a" : "b");
      snapshot.entries[i].text = g_strnfill (length, i == 0 ? ' ' : '!');
    }
  return snapshot;
}

static bool
start (GsTablesDecoder *decoder, uint64_t position)
{
  GsTablesSnapshot snapshot = snapshot_to (position, 8);

  return gs_tables_decoder_start (decoder, &snapshot);
}

/* Guards against tables that are decoded for each copy that peers send, or applied out of order,
 * and against copies that can never be decoded again once one was invalid. */
START_TEST (snapshots_are_decoded_once_and_in_order)
{
  Log log = { .loop = ev_loop_new (EVFLAG_AUTO),
              .thread = g_thread_self (),
              .decoded = g_string_new (NULL) };
  GsTablesDecoderOptions options
      = { .loop = log.loop, .parse_tables = parse, .decoded = on_decoded, .data = &log };
  GsTablesDecoder *decoder = gs_tables_decoder_new (&options);

  log_in_use = &log;
  ck_assert (start (decoder, 5));
  ck_assert (!start (decoder, 5));
  ck_assert (start (decoder, 7));
  ck_assert (!start (decoder, 6));
  while (log.decoded->len < strlen ("5:v- 7:v- "))
    ev_run (log.loop, EVRUN_ONCE);
  ck_assert_str_eq (log.decoded->str, "5:v- 7:v- ");
  ck_assert (start (decoder, 7));
  gs_tables_decoder_free (decoder); /* discards what was not handed over */
  ck_assert_str_eq (log.decoded->str, "5:v- 7:v- ");
  g_string_free (log.decoded, TRUE);
  ev_loop_destroy (log.loop);
}
END_TEST

START_TEST (only_large_snapshots_leave_the_loop)
{
  GsTablesSnapshot small = snapshot_to (1, 1000);
  GsTablesSnapshot large = snapshot_to (1, 40000);

  ck_assert (!gs_tables_decoder_is_large (&small));
  ck_assert (gs_tables_decoder_is_large (&large));
  gs_tables_snapshot_clear (&small);
  gs_tables_snapshot_clear (&large);
}
END_TEST

FIXTURE_MAIN ("tables_decoder",
              &snapshots_are_decoded_once_and_in_order,
              &only_large_snapshots_leave_the_loop)
