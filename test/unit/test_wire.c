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
  GsWireMessage message = { .kind = GS_WIRE_PLACE_ASK,
                            .pool = 7,
                            .reply_to = { .ipv4 = 3, .peer_port = 4 },
                            .ask = { .origin = 1,
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
  ck_assert_mem_eq (&back.ask, &message.ask, sizeof message.ask);
  gs_wire_clear (&back);
}
END_TEST

START_TEST (replies_come_through)
{
  GsWireMessage message = { .kind = GS_WIRE_PLACE_REPLY,
                            .reply = { .origin = 1,
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

  ck_assert_str_eq (back.reply.reason, "no-slot-in-time");
  back.reply.reason = message.reply.reason;
  ck_assert_mem_eq (&back.reply, &message.reply, sizeof message.reply);
  gs_wire_clear (&back);
}
END_TEST

START_TEST (ends_come_through)
{
  GsWireMessage message = { .kind = GS_WIRE_PLACE_END,
                            .pool = 1,
                            .end = { .origin = 2,
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

  ck_assert_mem_eq (&back.end, &message.end, sizeof message.end);
  gs_wire_clear (&back);
}
END_TEST

START_TEST (accounts_of_repeats_come_through)
{
  GsWireMessage message = { .kind = GS_WIRE_REPEATS, .repeats = { .pool = 1, .origin = 2 } };
  GsWireMessage back;

  for (uint32_t i = 0; i < GS_RETRY_BUDGET_SLICES_STORED; i++)
    {
      message.repeats.account.requests[i] = 1000 + i;
      message.repeats.account.retries[i] = i;
    }
  back = round_trip (&message);
  ck_assert_mem_eq (&back.repeats, &message.repeats, sizeof message.repeats);
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
      = { .kind = GS_WIRE_NEWS,
          .news = { .from = 1, .to = 9, .store = { .available_us = INT64_MAX }, .n_changes = 1 } };
  GsWireMessage back;

  message.news.changes = &change;
  back = round_trip (&message);
  ck_assert_uint_eq (back.news.to, 9);
  ck_assert_int_eq (back.news.store.available_us, INT64_MAX);
  ck_assert_mem_eq (back.news.changes, &change, sizeof change);
  gs_wire_clear (&back);
}
END_TEST

FIXTURE_MAIN ("wire",
              &asks_come_through,
              &replies_come_through,
              &ends_come_through,
              &accounts_of_repeats_come_through,
              &registrations_come_through)
