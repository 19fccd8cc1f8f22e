/* Unit tests of store/record and peer/wire. */
#include "../../src/gentian/peer/wire.h"
#include "../../src/gentian/store/record.h"
#include "fixture.h"

static bool
decode (GsRecord *record, GBytes *bytes)
{
  gsize length;
  const char *data = g_bytes_get_data (bytes, &length);

  return gs_record_decode (record, data, length);
}

START_TEST (edits_round_trip)
{
  g_autoptr (GBytes) bytes = gs_record_encode_edit ("id", "w", 7, "pools: []\n");
  GsRecord record;

  ck_assert (decode (&record, bytes));
  ck_assert_int_eq (record.kind, GS_RECORD_EDIT);
  ck_assert_str_eq (record.text, "pools: []\n");
  ck_assert_uint_eq (record.base_revision, 7);
  gs_record_clear (&record);
}
END_TEST

START_TEST (claims_round_trip)
{
  GsClaimRecord claims[2]
      = { { GS_CLAIM_ACQUIRE, { 1, 2, 3 }, 4 }, { GS_CLAIM_DONE, { 5, 6, 7 }, 8 } };
  g_autoptr (GBytes) bytes = gs_record_encode_claims (claims, 2);
  GsRecord record;

  ck_assert (decode (&record, bytes));
  ck_assert_uint_eq (record.n_claims, 2);
  ck_assert_int_eq (record.claims[1].kind, GS_CLAIM_DONE);
  ck_assert_uint_eq (record.claims[1].claim_id, 8);
  gs_record_clear (&record);
}
END_TEST

START_TEST (truncated_records_are_refused)
{
  g_autoptr (GBytes) bytes = gs_record_encode_edit ("id", "w", 7, "pools: []\n");
  gsize length;
  const char *data = g_bytes_get_data (bytes, &length);
  GsRecord record;

  for (gsize i = 0; i < length; i++)
    ck_assert (!gs_record_decode (&record, data, i));
}
END_TEST

START_TEST (unknown_versions_are_refused)
{
  GsRecord record;
  GsWireMessage message;

  ck_assert (!gs_record_decode (&record, "\x92\x02\x01", 3));
  ck_assert (!gs_record_decode (&record, "\x92\x01\x09", 3));
  ck_assert (!gs_wire_decode (&message, "\x92\x02\x01", 3));
  ck_assert (!gs_wire_decode (&message, "garbage", 7));
}
END_TEST

static GsWireMessage
round_trip (const GsWireMessage *message)
{
  g_autoptr (GBytes) bytes = gs_wire_encode (message);
  GsWireMessage decoded;
  gsize length;
  const char *data = g_bytes_get_data (bytes, &length);

  ck_assert (gs_wire_decode (&decoded, data, length));
  for (gsize i = 0; i < length; i++)
    {
      GsWireMessage truncated;
      ck_assert (!gs_wire_decode (&truncated, data, i));
    }
  return decoded;
}

/* A few bytes that state a huge length must not make the decoder allocate gigabytes. */
START_TEST (excessive_lengths_and_nesting_are_refused)
{
  GsRecord record;
  GsWireMessage message;

  ck_assert (!gs_record_decode (&record, "\xdd\xff\xff\xff\xff", 5));
  ck_assert (!gs_record_decode (&record, "\xdf\x7f\xff\xff\xff", 5));
  ck_assert (!gs_wire_decode (&message, "\x92\x01\xdd\x0f\xff\xff\xff", 7));
  ck_assert (!gs_wire_decode (&message, "\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01", 11));
}
END_TEST

START_TEST (empty_strings_are_not_null)
{
  static const char report[]
      = { '\x96', GS_WIRE_VERSION, '\x04', '\xc4', '\x00', '\x01', '\x01', '\x07' };
  GsRecord record;
  GsWireMessage message;

  /* An edit with an empty submission id and workspace is refused; an upstream report with an empty
   * id is accepted. Neither may read an empty string through a null pointer. */
  ck_assert (!gs_record_decode (&record, "\x96\x01\x01\xc4\x00\xc4\x00\x00\xc4\x00", 10));
  ck_assert (gs_wire_decode (&message, report, sizeof report));
}
END_TEST

START_TEST (member_probes_round_trip)
{
  GsMemberInfo updates[2] = { fixture_member ("a", "d1"), fixture_member ("b", "d2") };
  GsWireMessage message = { .kind = GS_WIRE_MEMBER_MESSAGE,
                            .member_message = { .kind = GS_MEMBER_MESSAGE_PING_REQUEST,
                                                .sequence = 9,
                                                .position = 11,
                                                .target = "c",
                                                .from = fixture_member ("s", "d0"),
                                                .updates = updates,
                                                .n_updates = 2 } };
  GsWireMessage decoded = round_trip (&message);

  ck_assert_uint_eq (decoded.member_message.n_updates, 2);
  ck_assert_str_eq (decoded.member_message.updates[1].id, "b");
  ck_assert_str_eq (decoded.member_message.target, "c");
  ck_assert_uint_eq (decoded.member_message.position, 11);
  gs_wire_clear (&decoded);
}
END_TEST

START_TEST (other_peer_messages_round_trip)
{
  GsWireMessage evidence
      = { .kind = GS_WIRE_EVIDENCE,
          .evidence
          = { .from = "a", .pool = 3, .upstream = "u", .alternative = 2, .score_nats = 4.5 } };
  GsWireMessage crash = { .kind = GS_WIRE_CRASH_UPDATE, .crash_update = { 5, 6 } };
  GsWireMessage report = { .kind = GS_WIRE_UPSTREAM_REPORT,
                           .upstream_report = { .upstream = "u", .leaving = true } };
  GsWireMessage pull = { .kind = GS_WIRE_TABLES_PULL, .reply_to = { 1, 2 }, .from_position = 77 };
  GsWireMessage decoded = round_trip (&evidence);

  ck_assert (decoded.evidence.score_nats == 4.5 && decoded.evidence.alternative == 2);
  decoded = round_trip (&crash);
  ck_assert_uint_eq (decoded.crash_update.crash, 6);
  decoded = round_trip (&report);
  ck_assert (decoded.upstream_report.leaving);
  decoded = round_trip (&pull);
  ck_assert_uint_eq (decoded.from_position, 77);
}
END_TEST

START_TEST (tables_snapshots_round_trip)
{
  GsTable *table = gs_table_new ();
  GsConfigLog *log = gs_config_log_new (table);
  GsEdit edit = { .submission = 3, .workspace = "w", .text = "pools: []" };
  g_autoptr (GBytes) bytes = NULL;
  GsTablesSnapshot snapshot;
  gsize length;
  const char *data;
  uint64_t revision;

  edit.document = fixture_tables (1, GS_REPEAT_SAFE);
  gs_config_log_set_complete (log, 4);
  gs_config_log_apply_edit (log, 4, &edit, &revision);
  bytes = gs_tables_snapshot_encode (log, 0);
  data = g_bytes_get_data (bytes, &length);
  ck_assert (gs_tables_snapshot_decode (&snapshot, data, length));
  ck_assert_uint_eq (snapshot.position, 5);
  ck_assert_uint_eq (snapshot.n_entries, 1);
  ck_assert_uint_eq (snapshot.entries[0].revision, 5);
  ck_assert_uint_eq (snapshot.entries[0].submissions[0], 3);
  gs_tables_snapshot_clear (&snapshot);
  gs_config_log_free (log);
  gs_table_free (table);
}
END_TEST

FIXTURE_MAIN ("records",
              &edits_round_trip,
              &claims_round_trip,
              &truncated_records_are_refused,
              &unknown_versions_are_refused,
              &excessive_lengths_and_nesting_are_refused,
              &empty_strings_are_not_null,
              &member_probes_round_trip,
              &other_peer_messages_round_trip,
              &tables_snapshots_round_trip)
