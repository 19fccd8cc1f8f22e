/* Unit tests of the messages between daemons: what is sent comes out the same. */
#include "fixture.h"

#include "../../src/gentian/peer/wire.h"

static GsWireMessage
round_trip (const GsWireMessage *message)
{
  g_autoptr (GBytes) bytes = gs_wire_encode (message);
  gsize length;
  const char *data = g_bytes_get_data (bytes, &length);
  GsWireMessage back;

  ck_assert_msg (gs_wire_decode (&back, data, length), "kind %d", message->kind);
  ck_assert_int_eq (back.kind, message->kind);
  for (gsize cut = 0; cut < length; cut++)
    {
      GsWireMessage broken;
      ck_assert (!gs_wire_decode (&broken, data, cut));
    }
  return back;
}

START_TEST (asks_come_through)
{
  GsWireMessage message = { .kind = GS_WIRE_SLOT_REQUEST,
                            .pool = 7,
                            .reply_to = { .ipv4 = 3, .peer_port = 4 },
                            .slot_request = { .origin = 1,
                                              .token = 2,
                                              .domain = 5,
                                              .flow = 6,
                                              .fingerprint = 8,
                                              .request_id = "abc",
                                              .repeat = GS_REPEAT_ONCE,
                                              .priority = 9,
                                              .is_retry = true,
                                              .n_tried = 2,
                                              .tried = { 10, 11 },
                                              .deadline_us = 12,
                                              .target_us = 13,
                                              .replaced_grant = 14 } };
  GsWireMessage back = round_trip (&message);

  ck_assert_uint_eq (back.pool, 7);
  ck_assert_uint_eq (back.reply_to.ipv4, 3);
  ck_assert_mem_eq (&back.slot_request, &message.slot_request, sizeof message.slot_request);
  gs_wire_clear (&back);
}
END_TEST

START_TEST (replies_come_through)
{
  GsWireMessage message = { .kind = GS_WIRE_SLOT_REPLY,
                            .slot_reply = { .origin = 1,
                                            .token = 2,
                                            .verdict = GS_SLOT_REFUSED,
                                            .reason = "no-slot-in-time",
                                            .retry_after_ms = 300,
                                            .grant = 4,
                                            .upstream = 5,
                                            .upstream_id = "u",
                                            .ipv4 = 6,
                                            .port = 7,
                                            .attempt_timeout_us = 8,
                                            .failing_ppm = 9,
                                            .evidence_age_ms = 10,
                                            .outstanding = 11,
                                            .queue_length = 12,
                                            .waited_us = 13 } };
  GsWireMessage back = round_trip (&message);

  ck_assert_str_eq (back.slot_reply.reason, "no-slot-in-time");
  back.slot_reply.reason = message.slot_reply.reason;
  ck_assert_mem_eq (&back.slot_reply, &message.slot_reply, sizeof message.slot_reply);
  gs_wire_clear (&back);
}
END_TEST

START_TEST (ends_come_through)
{
  GsWireMessage message = { .kind = GS_WIRE_SLOT_RESULT,
                            .pool = 1,
                            .slot_result = { .origin = 2,
                                             .token = 3,
                                             .grant = 4,
                                             .upstream = 5,
                                             .flow = 6,
                                             .outcome = GS_OUTCOME_CANCELLED,
                                             .answer_us = 7,
                                             .has_load = true,
                                             .bytes = 10,
                                             .running = 8,
                                             .waiting = 9 } };
  GsWireMessage back = round_trip (&message);

  ck_assert_mem_eq (&back.slot_result, &message.slot_result, sizeof message.slot_result);
  gs_wire_clear (&back);
}
END_TEST

START_TEST (accounts_of_repeats_come_through)
{
  GsWireMessage message
      = { .kind = GS_WIRE_RETRY_ACCOUNT, .retry_account = { .pool = 1, .origin = 2 } };
  GsWireMessage back;

  for (uint32_t i = 0; i < GS_RETRY_BUDGET_SLICES_STORED; i++)
    {
      message.retry_account.account.requests[i] = 1000 + i;
      message.retry_account.account.retries[i] = i;
    }
  back = round_trip (&message);
  ck_assert_mem_eq (&back.retry_account, &message.retry_account, sizeof message.retry_account);
  gs_wire_clear (&back);
}
END_TEST

START_TEST (registrations_come_through)
{
  static const GsRegistryChange change = { .offset = 5,
                                           .present = true,
                                           .registration = { .id = "a",
                                                             .pool = "p",
                                                             .failure_domain = "d",
                                                             .ipv4 = 1,
                                                             .port = 2,
                                                             .slots = 3,
                                                             .leaving = true,
                                                             .warmup_left_ms = 4,
                                                             .started_ms = 5,
                                                             .sequence = 6 } };
  GsWireMessage message
      = { .kind = GS_WIRE_REGISTRY_UPDATE,
          .registry_update
          = { .from = 1, .to = 9, .store = { .available_us = INT64_MAX }, .n_changes = 1 } };
  GsWireMessage back;

  message.registry_update.changes = &change;
  back = round_trip (&message);
  ck_assert_uint_eq (back.registry_update.to, 9);
  ck_assert_int_eq (back.registry_update.store.available_us, INT64_MAX);
  ck_assert_mem_eq (back.registry_update.changes, &change, sizeof change);
  gs_wire_clear (&back);
}
END_TEST

FIXTURE_MAIN ("wire",
              &asks_come_through,
              &replies_come_through,
              &ends_come_through,
              &accounts_of_repeats_come_through,
              &registrations_come_through)
