#include "wire.h"

#include <string.h>

#include "../store/msgpack_io.h"

/* Most requests, and most retries, in one slice of a retry account. */
#define WIRE_SLICE_REQUESTS_MAX 100000000

static void
pack_member (msgpack_packer *packer, const GsMemberInfo *member)
{
  msgpack_pack_array (packer, member->full != 0 ? 11 : 10); /* `full` came later: 0 is left out */
  gs_msgpack_pack_string (packer, member->id);
  gs_msgpack_pack_string (packer, member->failure_domain);
  msgpack_pack_uint32 (packer, member->ipv4);
  msgpack_pack_uint16 (packer, member->entry_port);
  msgpack_pack_uint16 (packer, member->peer_port);
  msgpack_pack_uint64 (packer, member->incarnation);
  msgpack_pack_uint32 (packer, member->version);
  msgpack_pack_uint8 (packer, member->state);
  msgpack_pack_uint8 (packer, member->ready);
  msgpack_pack_uint16 (packer, member->millicores);
  if (member->full != 0)
    msgpack_pack_uint8 (packer, member->full);
}

static void
read_member (GsMsgpackReader *list, GsMemberInfo *member)
{
  GsMsgpackReader item = gs_msgpack_read_array (list);

  gs_msgpack_read_string (&item, member->id, sizeof member->id);
  gs_msgpack_read_string (&item, member->failure_domain, sizeof member->failure_domain);
  member->ipv4 = (uint32_t)gs_msgpack_read_uint (&item, UINT32_MAX);
  member->entry_port = (uint16_t)gs_msgpack_read_uint (&item, UINT16_MAX);
  member->peer_port = (uint16_t)gs_msgpack_read_uint (&item, UINT16_MAX);
  member->incarnation = gs_msgpack_read_uint (&item, UINT64_MAX);
  member->version = (uint32_t)gs_msgpack_read_uint (&item, UINT32_MAX);
  member->state = (uint8_t)gs_msgpack_read_uint (&item, GS_MEMBER_DEAD);
  member->ready = (uint8_t)gs_msgpack_read_uint (&item, 1);
  member->millicores = (uint16_t)gs_msgpack_read_uint (&item, UINT16_MAX);
  member->full = item.length > 10 ? (uint8_t)gs_msgpack_read_uint (&item, 1) : 0;
  list->failed = list->failed || item.failed || member->id[0] == '\0';
}

static void
pack_member_message (msgpack_packer *packer, const GsMemberMessage *message)
{
  msgpack_pack_uint8 (packer, (uint8_t)message->kind);
  msgpack_pack_uint64 (packer, message->sequence);
  msgpack_pack_uint64 (packer, message->digest);
  msgpack_pack_uint64 (packer, message->position);
  gs_msgpack_pack_string (packer, message->target);
  pack_member (packer, &message->from);
  msgpack_pack_array (packer, message->n_updates);
  for (uint32_t i = 0; i < message->n_updates; i++)
    pack_member (packer, &message->updates[i]);
}

static void
read_member_message (GsMsgpackReader *reader, GsMemberMessage *message)
{
  GsMsgpackReader list;

  message->kind = (GsMemberMessageKind)gs_msgpack_read_uint (reader, GS_MEMBER_MESSAGE_POSITION);
  message->sequence = gs_msgpack_read_uint (reader, UINT64_MAX);
  message->digest = gs_msgpack_read_uint (reader, UINT64_MAX);
  message->position = gs_msgpack_read_uint (reader, UINT64_MAX);
  gs_msgpack_read_string (reader, message->target, sizeof message->target);
  read_member (reader, &message->from);
  list = gs_msgpack_read_array (reader);
  if (reader->failed || list.failed || list.length > GS_WIRE_MEMBER_UPDATES_MAX)
    {
      reader->failed = true;
      return;
    }
  message->updates = g_new0 (GsMemberInfo, list.length);
  message->n_updates = list.length;
  for (uint32_t i = 0; i < list.length; i++)
    read_member (&list, &message->updates[i]);
  reader->failed = list.failed;
}

static void
pack_address (msgpack_packer *packer, const GsPeerAddress *address)
{
  msgpack_pack_uint32 (packer, address->ipv4);
  msgpack_pack_uint16 (packer, address->peer_port);
}

static void
read_address (GsMsgpackReader *reader, GsPeerAddress *address)
{
  address->ipv4 = (uint32_t)gs_msgpack_read_uint (reader, UINT32_MAX);
  address->peer_port = (uint16_t)gs_msgpack_read_uint (reader, UINT16_MAX);
}

static void
pack_change (msgpack_packer *packer, const GsRegistryChange *change)
{
  const GsRegistration *registration = &change->registration;

  msgpack_pack_array (packer, 13);
  msgpack_pack_uint64 (packer, change->offset);
  msgpack_pack_uint8 (packer, change->present ? 1 : 0);
  msgpack_pack_uint8 (packer, change->announced_leaving ? 1 : 0);
  gs_msgpack_pack_string (packer, registration->id);
  gs_msgpack_pack_string (packer, registration->pool);
  gs_msgpack_pack_string (packer, registration->failure_domain);
  msgpack_pack_uint32 (packer, registration->ipv4);
  msgpack_pack_uint16 (packer, registration->port);
  msgpack_pack_uint16 (packer, registration->slots);
  msgpack_pack_uint8 (packer, registration->leaving ? 1 : 0);
  msgpack_pack_uint32 (packer, registration->warmup_left_ms);
  msgpack_pack_uint64 (packer, registration->started_ms);
  msgpack_pack_uint64 (packer, registration->sequence);
}

static void
read_change (GsMsgpackReader *list, GsRegistryChange *change)
{
  GsMsgpackReader item = gs_msgpack_read_array (list);
  GsRegistration *registration = &change->registration;

  change->offset = gs_msgpack_read_uint (&item, UINT64_MAX);
  change->present = gs_msgpack_read_uint (&item, 1) == 1;
  change->announced_leaving = gs_msgpack_read_uint (&item, 1) == 1;
  gs_msgpack_read_string (&item, registration->id, sizeof registration->id);
  gs_msgpack_read_string (&item, registration->pool, sizeof registration->pool);
  gs_msgpack_read_string (&item, registration->failure_domain, sizeof registration->failure_domain);
  registration->ipv4 = (uint32_t)gs_msgpack_read_uint (&item, UINT32_MAX);
  registration->port = (uint16_t)gs_msgpack_read_uint (&item, UINT16_MAX);
  registration->slots = (uint16_t)gs_msgpack_read_uint (&item, UINT16_MAX);
  registration->leaving = gs_msgpack_read_uint (&item, 1) == 1;
  registration->warmup_left_ms = (uint32_t)gs_msgpack_read_uint (&item, UINT32_MAX);
  registration->started_ms = gs_msgpack_read_uint (&item, UINT64_MAX);
  registration->sequence = gs_msgpack_read_uint (&item, UINT64_MAX);
  list->failed = list->failed || item.failed;
  /* A registration that names no usable server is a removal, as one read from the store is. */
  change->present = change->present && registration->pool[0] != '\0' && registration->port != 0
                    && registration->slots != 0;
}

static void
pack_registry_update (msgpack_packer *packer, const GsWireMessage *message)
{
  const GsRegistryUpdate *update = &message->registry_update;

  pack_address (packer, &message->reply_to);
  msgpack_pack_uint64 (packer, update->from);
  msgpack_pack_uint64 (packer, update->to);
  msgpack_pack_uint8 (packer, update->complete ? 1 : 0);
  msgpack_pack_uint8 (packer, update->store.unavailable ? 1 : 0);
  msgpack_pack_uint64 (packer, (uint64_t)update->store.available_us);
  msgpack_pack_array (packer, update->n_changes);
  for (uint32_t i = 0; i < update->n_changes; i++)
    pack_change (packer, &update->changes[i]);
  msgpack_pack_uint64 (packer, update->from_reader ? update->tables_position + 1 : 0);
  if (update->era != 0) /* came later; without it the message is as before */
    msgpack_pack_uint64 (packer, update->era);
}

static bool
has_more (const GsMsgpackReader *reader)
{
  return !reader->failed && reader->next < reader->length;
}

static void
read_registry_update (GsMsgpackReader *reader, GsWireMessage *message)
{
  GsRegistryUpdate *update = &message->registry_update;
  GsRegistryChange *changes;
  GsMsgpackReader list;
  uint64_t tables_position;

  read_address (reader, &message->reply_to);
  update->from = gs_msgpack_read_uint (reader, UINT64_MAX);
  update->to = gs_msgpack_read_uint (reader, UINT64_MAX);
  update->complete = gs_msgpack_read_uint (reader, 1) == 1;
  update->store.unavailable = gs_msgpack_read_uint (reader, 1) == 1;
  update->store.available_us = (int64_t)gs_msgpack_read_uint (reader, INT64_MAX);
  list = gs_msgpack_read_array (reader);
  if (reader->failed || list.failed || list.length > GS_WIRE_REGISTRY_CHANGES_MAX)
    {
      reader->failed = true;
      return;
    }
  changes = g_new0 (GsRegistryChange, list.length);
  update->changes = changes;
  for (uint32_t i = 0; i < list.length; i++)
    {
      GsRegistryChange change = { 0 };
      read_change (&list, &change);
      if (change.registration.id[0] != '\0')
        changes[update->n_changes++] = change;
    }
  reader->failed = list.failed;
  if (!has_more (reader)) /* daemons of an earlier version do not state it */
    return;
  tables_position = gs_msgpack_read_uint (reader, UINT64_MAX);
  update->from_reader = tables_position > 0;
  update->tables_position = tables_position - (update->from_reader ? 1 : 0);
  if (has_more (reader))
    update->era = gs_msgpack_read_uint (reader, UINT64_MAX);
}

/* Whether the fields that came later are sent. Without them the message is as before. */
static bool
describes_caller (const GsSlotRequest *request)
{
  return request->workspace != 0 || request->work_class != 0 || request->body_bytes != 0;
}

static void
pack_slot_request (msgpack_packer *packer, const GsWireMessage *message)
{
  const GsSlotRequest *request = &message->slot_request;

  pack_address (packer, &message->reply_to);
  msgpack_pack_uint64 (packer, message->pool);
  msgpack_pack_uint64 (packer, request->origin);
  msgpack_pack_uint64 (packer, request->token);
  msgpack_pack_uint64 (packer, request->domain);
  msgpack_pack_uint64 (packer, request->flow);
  msgpack_pack_uint64 (packer, request->fingerprint);
  gs_msgpack_pack_string (packer, request->request_id);
  msgpack_pack_uint8 (packer, (uint8_t)request->repeat);
  msgpack_pack_uint8 (packer, request->priority);
  msgpack_pack_uint8 (packer,
                      (uint8_t)((request->is_retry ? 1 : 0) | (request->last_attempt ? 2 : 0)
                                | (request->is_renewed ? 4 : 0) | (request->is_redirected ? 8 : 0)
                                | (request->counted && request->workspace != 0 ? 16 : 0)));
  msgpack_pack_uint64 (packer, (uint64_t)MAX (request->deadline_us, 0));
  msgpack_pack_uint64 (packer, (uint64_t)MAX (request->target_us, 0));
  msgpack_pack_uint64 (packer, request->replaced_grant);
  msgpack_pack_array (packer, request->n_tried);
  for (uint8_t i = 0; i < request->n_tried; i++)
    msgpack_pack_uint64 (packer, request->tried[i]);
  if (!describes_caller (request))
    return;
  msgpack_pack_uint64 (packer, request->workspace);
  msgpack_pack_uint8 (packer, request->workspace_priority);
  msgpack_pack_uint64 (packer, request->work_class);
  msgpack_pack_uint32 (packer, request->body_bytes);
}

static void
read_slot_request (GsMsgpackReader *reader, GsWireMessage *message)
{
  GsSlotRequest *request = &message->slot_request;
  uint64_t flags;
  GsMsgpackReader list;

  read_address (reader, &message->reply_to);
  message->pool = gs_msgpack_read_uint (reader, UINT64_MAX);
  request->origin = gs_msgpack_read_uint (reader, UINT64_MAX);
  request->token = gs_msgpack_read_uint (reader, UINT64_MAX);
  request->domain = gs_msgpack_read_uint (reader, UINT64_MAX);
  request->flow = gs_msgpack_read_uint (reader, UINT64_MAX);
  request->fingerprint = gs_msgpack_read_uint (reader, UINT64_MAX);
  gs_msgpack_read_string (reader, request->request_id, sizeof request->request_id);
  request->repeat = (GsRepeat)gs_msgpack_read_uint (reader, GS_REPEAT_NEVER);
  request->priority = (uint8_t)gs_msgpack_read_uint (reader, UINT8_MAX);
  flags = gs_msgpack_read_uint (reader, 31);
  request->is_retry = (flags & 1) != 0;
  request->last_attempt = (flags & 2) != 0;
  request->is_renewed = (flags & 4) != 0;
  request->is_redirected = (flags & 8) != 0;
  request->counted = (flags & 16) != 0;
  request->deadline_us = (int64_t)gs_msgpack_read_uint (reader, INT32_MAX * GS_US_PER_MS);
  request->target_us = (int64_t)gs_msgpack_read_uint (reader, INT32_MAX * GS_US_PER_MS);
  request->replaced_grant = gs_msgpack_read_uint (reader, UINT64_MAX);
  list = gs_msgpack_read_array (reader);
  if (reader->failed || list.failed || list.length > GS_SLOT_TRIED_MAX)
    {
      reader->failed = true;
      return;
    }
  for (uint32_t i = 0; i < list.length; i++)
    request->tried[request->n_tried++] = gs_msgpack_read_uint (&list, UINT64_MAX);
  reader->failed = list.failed;
  if (!has_more (reader))
    return;
  request->workspace = gs_msgpack_read_uint (reader, UINT64_MAX);
  request->workspace_priority = (uint8_t)gs_msgpack_read_uint (reader, UINT8_MAX);
  request->work_class = gs_msgpack_read_uint (reader, UINT64_MAX);
  request->body_bytes = (uint32_t)gs_msgpack_read_uint (reader, UINT32_MAX);
}

static void
pack_slot_reply (msgpack_packer *packer, const GsWireMessage *message)
{
  const GsSlotReply *reply = &message->slot_reply;

  pack_address (packer, &message->reply_to);
  msgpack_pack_uint64 (packer, reply->origin);
  msgpack_pack_uint64 (packer, reply->token);
  msgpack_pack_uint8 (packer, (uint8_t)reply->verdict);
  gs_msgpack_pack_string (packer, reply->reason);
  msgpack_pack_uint32 (packer, reply->retry_after_ms);
  msgpack_pack_uint64 (packer, reply->grant);
  msgpack_pack_uint64 (packer, reply->upstream);
  msgpack_pack_uint64 (packer, reply->started_ms);
  gs_msgpack_pack_string (packer, reply->upstream_id);
  msgpack_pack_uint32 (packer, reply->ipv4);
  msgpack_pack_uint16 (packer, reply->port);
  msgpack_pack_uint64 (packer, (uint64_t)MAX (reply->attempt_timeout_us, 0));
  msgpack_pack_uint32 (packer, reply->failing_ppm);
  msgpack_pack_uint32 (packer, reply->evidence_age_ms);
  msgpack_pack_uint16 (packer, reply->outstanding);
  msgpack_pack_uint16 (packer, reply->queue_length);
  msgpack_pack_uint64 (packer, (uint64_t)MAX (reply->waited_us, 0));
  if (reply->verdict == GS_SLOT_REDIRECTED)
    msgpack_pack_uint64 (packer, reply->slice);
}

static void
read_slot_reply (GsMsgpackReader *reader, GsWireMessage *message)
{
  GsSlotReply *reply = &message->slot_reply;
  char reason[GS_NAME_MAX + 1];

  read_address (reader, &message->reply_to);
  reply->origin = gs_msgpack_read_uint (reader, UINT64_MAX);
  reply->token = gs_msgpack_read_uint (reader, UINT64_MAX);
  reply->verdict = (GsSlotVerdict)gs_msgpack_read_uint (reader, GS_SLOT_REDIRECTED);
  gs_msgpack_read_string (reader, reason, sizeof reason);
  reply->reason = gs_slot_reason (reason);
  reply->retry_after_ms = (uint32_t)gs_msgpack_read_uint (reader, UINT32_MAX);
  reply->grant = gs_msgpack_read_uint (reader, UINT64_MAX);
  reply->upstream = gs_msgpack_read_uint (reader, UINT64_MAX);
  reply->started_ms = gs_msgpack_read_uint (reader, UINT64_MAX);
  gs_msgpack_read_string (reader, reply->upstream_id, sizeof reply->upstream_id);
  reply->ipv4 = (uint32_t)gs_msgpack_read_uint (reader, UINT32_MAX);
  reply->port = (uint16_t)gs_msgpack_read_uint (reader, UINT16_MAX);
  reply->attempt_timeout_us = (int64_t)gs_msgpack_read_uint (reader, INT32_MAX * GS_US_PER_MS);
  reply->failing_ppm = (uint32_t)gs_msgpack_read_uint (reader, UINT32_MAX);
  reply->evidence_age_ms = (uint32_t)gs_msgpack_read_uint (reader, UINT32_MAX);
  reply->outstanding = (uint16_t)gs_msgpack_read_uint (reader, UINT16_MAX);
  reply->queue_length = (uint16_t)gs_msgpack_read_uint (reader, UINT16_MAX);
  reply->waited_us = (int64_t)gs_msgpack_read_uint (reader, INT32_MAX * GS_US_PER_MS);
  if (reply->verdict == GS_SLOT_REDIRECTED)
    reply->slice = gs_msgpack_read_uint (reader, UINT64_MAX);
}

static void
pack_slot_result (msgpack_packer *packer, const GsWireMessage *message)
{
  const GsSlotResult *result = &message->slot_result;

  msgpack_pack_uint64 (packer, message->pool);
  msgpack_pack_uint64 (packer, result->origin);
  msgpack_pack_uint64 (packer, result->token);
  msgpack_pack_uint64 (packer, result->grant);
  msgpack_pack_uint64 (packer, result->upstream);
  msgpack_pack_uint64 (packer, result->flow);
  msgpack_pack_uint8 (packer, (uint8_t)result->outcome);
  msgpack_pack_uint64 (packer, (uint64_t)MAX (result->answer_us, 0));
  msgpack_pack_uint8 (packer, result->has_load ? 1 : 0);
  msgpack_pack_uint16 (packer, result->running);
  msgpack_pack_uint16 (packer, result->waiting);
  msgpack_pack_uint32 (packer, result->bytes);
  msgpack_pack_uint8 (packer, result->leaving ? 1 : 0);
  msgpack_pack_uint32 (packer, result->quiet_ms);
}

static void
read_slot_result (GsMsgpackReader *reader, GsWireMessage *message)
{
  GsSlotResult *result = &message->slot_result;

  message->pool = gs_msgpack_read_uint (reader, UINT64_MAX);
  result->origin = gs_msgpack_read_uint (reader, UINT64_MAX);
  result->token = gs_msgpack_read_uint (reader, UINT64_MAX);
  result->grant = gs_msgpack_read_uint (reader, UINT64_MAX);
  result->upstream = gs_msgpack_read_uint (reader, UINT64_MAX);
  result->flow = gs_msgpack_read_uint (reader, UINT64_MAX);
  result->outcome = (GsOutcome)gs_msgpack_read_uint (reader, GS_OUTCOME_COUNT - 1);
  result->answer_us = (int64_t)gs_msgpack_read_uint (reader, INT32_MAX * GS_US_PER_MS);
  result->has_load = gs_msgpack_read_uint (reader, 1) == 1;
  result->running = (uint16_t)gs_msgpack_read_uint (reader, UINT16_MAX);
  result->waiting = (uint16_t)gs_msgpack_read_uint (reader, UINT16_MAX);
  result->bytes = (uint32_t)gs_msgpack_read_uint (reader, UINT32_MAX);
  result->leaving = gs_msgpack_read_uint (reader, 1) == 1;
  result->quiet_ms = (uint32_t)gs_msgpack_read_uint (reader, GS_QUIET_MAX_MS);
}

static void
pack_retry_account (msgpack_packer *packer, const GsRetryAccountUpdate *update)
{
  msgpack_pack_uint64 (packer, update->pool);
  msgpack_pack_uint64 (packer, update->origin);
  for (int i = 0; i < GS_RETRY_BUDGET_SLICES_STORED; i++)
    {
      msgpack_pack_uint32 (packer, update->account.requests[i]);
      msgpack_pack_uint32 (packer, update->account.retries[i]);
    }
}

static void
read_retry_account (GsMsgpackReader *reader, GsRetryAccountUpdate *update)
{
  update->pool = gs_msgpack_read_uint (reader, UINT64_MAX);
  update->origin = gs_msgpack_read_uint (reader, UINT64_MAX);
  for (int i = 0; i < GS_RETRY_BUDGET_SLICES_STORED; i++)
    {
      update->account.requests[i]
          = (uint32_t)gs_msgpack_read_uint (reader, WIRE_SLICE_REQUESTS_MAX);
      update->account.retries[i] = (uint32_t)gs_msgpack_read_uint (reader, WIRE_SLICE_REQUESTS_MAX);
    }
}

/* All fields of a loss, a demand or a grant are in one array, to save a byte for each. */
enum
{
  WIRE_LOSS_FIELDS = 3,
  WIRE_DEMAND_FIELDS = 6,
  WIRE_GRANT_FIELDS = 3,
};

static void
pack_slice_summary (msgpack_packer *packer, const GsSliceSummary *summary)
{
  msgpack_pack_uint64 (packer, summary->pool);
  msgpack_pack_uint64 (packer, summary->slice);
  msgpack_pack_uint8 (packer, summary->has_capacity ? 1 : 0);
  msgpack_pack_uint32 (packer, summary->capacity.free_slots);
  msgpack_pack_uint32 (packer, summary->capacity.waiting);
  msgpack_pack_uint32 (packer, summary->capacity.idle);
  msgpack_pack_uint32 (packer, summary->capacity.usable);
  msgpack_pack_array (packer, summary->n_losses * WIRE_LOSS_FIELDS);
  for (uint32_t i = 0; i < summary->n_losses; i++)
    {
      msgpack_pack_uint8 (packer, (uint8_t)summary->losses[i].kind);
      msgpack_pack_uint64 (packer, summary->losses[i].fingerprint);
      msgpack_pack_uint64 (packer, summary->losses[i].upstream);
    }
}

/* Reads the head of a list of at most MAX entries of FIELDS values each. RETURN VALUE: the number
 * of entries, 0 if the reader has failed. */
static uint32_t
read_entry_count (GsMsgpackReader *reader, GsMsgpackReader *list, uint32_t fields, uint32_t max)
{
  *list = gs_msgpack_read_array (reader);
  if (list->failed || list->length % fields != 0 || list->length / fields > max)
    reader->failed = true;
  return reader->failed ? 0 : (uint32_t)(list->length / fields);
}

static void
read_slice_summary (GsMsgpackReader *reader, GsSliceSummary *summary)
{
  GsMsgpackReader list;

  summary->pool = gs_msgpack_read_uint (reader, UINT64_MAX);
  summary->slice = gs_msgpack_read_uint (reader, UINT64_MAX);
  summary->has_capacity = gs_msgpack_read_uint (reader, 1) == 1;
  summary->capacity.free_slots = (uint32_t)gs_msgpack_read_uint (reader, UINT32_MAX);
  summary->capacity.waiting = (uint32_t)gs_msgpack_read_uint (reader, UINT32_MAX);
  summary->capacity.idle = (uint32_t)gs_msgpack_read_uint (reader, UINT32_MAX);
  summary->capacity.usable = (uint32_t)gs_msgpack_read_uint (reader, UINT32_MAX);
  summary->n_losses = read_entry_count (reader, &list, WIRE_LOSS_FIELDS, GS_LOSSES_MAX);
  for (uint32_t i = 0; i < summary->n_losses; i++)
    {
      summary->losses[i].kind = (GsLossKind)gs_msgpack_read_uint (&list, GS_LOSS_ANSWERED);
      summary->losses[i].fingerprint = gs_msgpack_read_uint (&list, UINT64_MAX);
      summary->losses[i].upstream = gs_msgpack_read_uint (&list, UINT64_MAX);
    }
  reader->failed = reader->failed || list.failed;
}

static void
pack_quota_report (msgpack_packer *packer, const GsWireMessage *message)
{
  const GsQuotaReport *report = &message->quota_report;

  pack_address (packer, &message->reply_to);
  msgpack_pack_uint64 (packer, report->enforcer);
  msgpack_pack_uint64 (packer, report->sequence);
  msgpack_pack_array (packer, report->n_demands * WIRE_DEMAND_FIELDS);
  for (uint32_t i = 0; i < report->n_demands; i++)
    {
      const GsQuotaDemand *demand = &report->demands[i];
      msgpack_pack_uint64 (packer, demand->workspace);
      msgpack_pack_uint32 (packer, demand->session);
      msgpack_pack_uint32 (packer, demand->started);
      msgpack_pack_uint32 (packer, demand->admitted);
      msgpack_pack_uint32 (packer, demand->bound);
      msgpack_pack_uint32 (packer, demand->wanted);
    }
}

static void
read_quota_report (GsMsgpackReader *reader, GsWireMessage *message)
{
  GsQuotaReport *report = &message->quota_report;
  GsMsgpackReader list;

  read_address (reader, &message->reply_to);
  report->enforcer = gs_msgpack_read_uint (reader, UINT64_MAX);
  report->sequence = gs_msgpack_read_uint (reader, UINT64_MAX);
  report->n_demands = read_entry_count (reader, &list, WIRE_DEMAND_FIELDS, GS_QUOTA_ENTRIES_MAX);
  report->demands = g_new0 (GsQuotaDemand, report->n_demands);
  for (uint32_t i = 0; i < report->n_demands; i++)
    {
      GsQuotaDemand *demand = &report->demands[i];
      demand->workspace = gs_msgpack_read_uint (&list, UINT64_MAX);
      demand->session = (uint32_t)gs_msgpack_read_uint (&list, UINT32_MAX);
      demand->started = (uint32_t)gs_msgpack_read_uint (&list, UINT32_MAX);
      demand->admitted = (uint32_t)gs_msgpack_read_uint (&list, UINT32_MAX);
      demand->bound = (uint32_t)gs_msgpack_read_uint (&list, UINT32_MAX);
      demand->wanted = (uint32_t)gs_msgpack_read_uint (&list, INT32_MAX / 2);
    }
  reader->failed = reader->failed || list.failed;
}

static void
pack_quota_reply (msgpack_packer *packer, const GsQuotaReply *reply)
{
  msgpack_pack_uint64 (packer, reply->holder);
  msgpack_pack_uint64 (packer, reply->sequence);
  msgpack_pack_array (packer, reply->n_grants * WIRE_GRANT_FIELDS);
  for (uint32_t i = 0; i < reply->n_grants; i++)
    {
      msgpack_pack_uint64 (packer, reply->grants[i].workspace);
      msgpack_pack_uint32 (packer, reply->grants[i].bound);
      msgpack_pack_uint32 (packer, reply->grants[i].retry_after_ms);
    }
}

static void
read_quota_reply (GsMsgpackReader *reader, GsQuotaReply *reply)
{
  GsMsgpackReader list;

  reply->holder = gs_msgpack_read_uint (reader, UINT64_MAX);
  reply->sequence = gs_msgpack_read_uint (reader, UINT64_MAX);
  reply->n_grants = read_entry_count (reader, &list, WIRE_GRANT_FIELDS, GS_QUOTA_ENTRIES_MAX);
  reply->grants = g_new0 (GsQuotaGrant, reply->n_grants);
  for (uint32_t i = 0; i < reply->n_grants; i++)
    {
      reply->grants[i].workspace = gs_msgpack_read_uint (&list, UINT64_MAX);
      reply->grants[i].bound = (uint32_t)gs_msgpack_read_uint (&list, UINT32_MAX);
      reply->grants[i].retry_after_ms = (uint32_t)gs_msgpack_read_uint (&list, UINT32_MAX);
    }
  reader->failed = reader->failed || list.failed;
}

static uint32_t
field_count (const GsWireMessage *message)
{
  switch (message->kind)
    {
    case GS_WIRE_MEMBER_MESSAGE:
      return 7;
    case GS_WIRE_EVIDENCE:
      return 5;
    case GS_WIRE_TABLES_PULL:
      return 3;
    case GS_WIRE_TABLES_SNAPSHOT:
      return 1;
    case GS_WIRE_REGISTRY_UPDATE:
      return message->registry_update.era != 0 ? 10 : 9;
    case GS_WIRE_SLOT_REQUEST:
      return describes_caller (&message->slot_request) ? 20 : 16;
    case GS_WIRE_UPSTREAM_REPORT:
      return 4;
    case GS_WIRE_SLOT_REPLY:
      return message->slot_reply.verdict == GS_SLOT_REDIRECTED ? 20 : 19;
    case GS_WIRE_SLOT_RESULT:
      return 14;
    case GS_WIRE_RETRY_ACCOUNT:
      return 2 + 2 * GS_RETRY_BUDGET_SLICES_STORED;
    case GS_WIRE_SLICE_SUMMARY:
      return 8;
    case GS_WIRE_QUOTA_REPORT:
      return 5;
    case GS_WIRE_QUOTA_REPLY:
      return 3;
    default:
      return 2;
    }
}

static void
pack_fields (msgpack_packer *packer, const GsWireMessage *message)
{
  gsize length;
  const char *bytes;

  switch (message->kind)
    {
    case GS_WIRE_MEMBER_MESSAGE:
      pack_member_message (packer, &message->member_message);
      break;
    case GS_WIRE_EVIDENCE:
      gs_msgpack_pack_string (packer, message->evidence.from);
      msgpack_pack_uint64 (packer, message->evidence.pool);
      gs_msgpack_pack_string (packer, message->evidence.upstream);
      msgpack_pack_uint8 (packer, message->evidence.alternative);
      msgpack_pack_double (packer, message->evidence.score_nats);
      break;
    case GS_WIRE_CRASH_UPDATE:
      msgpack_pack_uint64 (packer, message->crash_update.fingerprint);
      msgpack_pack_uint64 (packer, message->crash_update.crash);
      break;
    case GS_WIRE_UPSTREAM_REPORT:
      gs_msgpack_pack_string (packer, message->upstream_report.upstream);
      msgpack_pack_uint8 (packer, message->upstream_report.leaving ? 1 : 0);
      msgpack_pack_uint8 (packer, message->upstream_report.registered ? 1 : 0);
      msgpack_pack_uint64 (packer, message->upstream_report.started_ms);
      break;
    case GS_WIRE_TABLES_PULL:
      msgpack_pack_uint32 (packer, message->reply_to.ipv4);
      msgpack_pack_uint16 (packer, message->reply_to.peer_port);
      msgpack_pack_uint64 (packer, message->from_position);
      break;
    case GS_WIRE_TABLES_SNAPSHOT:
      bytes = g_bytes_get_data (message->tables_snapshot, &length);
      gs_msgpack_pack_bytes (packer, bytes, length);
      break;
    case GS_WIRE_REGISTRY_UPDATE:
      pack_registry_update (packer, message);
      break;
    case GS_WIRE_REGISTRY_PULL:
      pack_address (packer, &message->reply_to);
      break;
    case GS_WIRE_SLOT_REQUEST:
      pack_slot_request (packer, message);
      break;
    case GS_WIRE_SLOT_REPLY:
      pack_slot_reply (packer, message);
      break;
    case GS_WIRE_SLOT_RESULT:
      pack_slot_result (packer, message);
      break;
    case GS_WIRE_RETRY_ACCOUNT:
      pack_retry_account (packer, &message->retry_account);
      break;
    case GS_WIRE_SLICE_SUMMARY:
      pack_slice_summary (packer, &message->slice_summary);
      break;
    case GS_WIRE_QUOTA_REPORT:
      pack_quota_report (packer, message);
      break;
    case GS_WIRE_QUOTA_REPLY:
      pack_quota_reply (packer, &message->quota_reply);
      break;
    }
}

GBytes *
gs_wire_encode (const GsWireMessage *message)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  GBytes *bytes;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 2 + field_count (message));
  msgpack_pack_uint8 (&packer, GS_WIRE_VERSION);
  msgpack_pack_uint8 (&packer, (uint8_t)message->kind);
  pack_fields (&packer, message);
  bytes = g_bytes_new (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

static void
read_fields (GsMsgpackReader *reader, GsWireMessage *message)
{
  size_t length;
  const char *bytes;

  switch (message->kind)
    {
    case GS_WIRE_MEMBER_MESSAGE:
      read_member_message (reader, &message->member_message);
      break;
    case GS_WIRE_EVIDENCE:
      gs_msgpack_read_string (reader, message->evidence.from, sizeof message->evidence.from);
      message->evidence.pool = gs_msgpack_read_uint (reader, UINT64_MAX);
      gs_msgpack_read_string (reader, message->evidence.upstream,
                              sizeof message->evidence.upstream);
      message->evidence.alternative = (uint8_t)gs_msgpack_read_uint (reader, UINT8_MAX);
      message->evidence.score_nats = gs_msgpack_read_double (reader);
      break;
    case GS_WIRE_CRASH_UPDATE:
      message->crash_update.fingerprint = gs_msgpack_read_uint (reader, UINT64_MAX);
      message->crash_update.crash = gs_msgpack_read_uint (reader, UINT64_MAX);
      break;
    case GS_WIRE_UPSTREAM_REPORT:
      gs_msgpack_read_string (reader, message->upstream_report.upstream,
                              sizeof message->upstream_report.upstream);
      message->upstream_report.leaving = gs_msgpack_read_uint (reader, 1) == 1;
      message->upstream_report.registered = gs_msgpack_read_uint (reader, 1) == 1;
      message->upstream_report.started_ms = gs_msgpack_read_uint (reader, UINT64_MAX);
      break;
    case GS_WIRE_TABLES_PULL:
      message->reply_to.ipv4 = (uint32_t)gs_msgpack_read_uint (reader, UINT32_MAX);
      message->reply_to.peer_port = (uint16_t)gs_msgpack_read_uint (reader, UINT16_MAX);
      message->from_position = gs_msgpack_read_uint (reader, UINT64_MAX);
      break;
    case GS_WIRE_TABLES_SNAPSHOT:
      bytes = gs_msgpack_read_bytes (reader, &length);
      message->tables_snapshot = reader->failed ? NULL : g_bytes_new (bytes, length);
      break;
    case GS_WIRE_REGISTRY_UPDATE:
      read_registry_update (reader, message);
      break;
    case GS_WIRE_REGISTRY_PULL:
      read_address (reader, &message->reply_to);
      break;
    case GS_WIRE_SLOT_REQUEST:
      read_slot_request (reader, message);
      break;
    case GS_WIRE_SLOT_REPLY:
      read_slot_reply (reader, message);
      break;
    case GS_WIRE_SLOT_RESULT:
      read_slot_result (reader, message);
      break;
    case GS_WIRE_RETRY_ACCOUNT:
      read_retry_account (reader, &message->retry_account);
      break;
    case GS_WIRE_SLICE_SUMMARY:
      read_slice_summary (reader, &message->slice_summary);
      break;
    case GS_WIRE_QUOTA_REPORT:
      read_quota_report (reader, message);
      break;
    case GS_WIRE_QUOTA_REPLY:
      read_quota_reply (reader, &message->quota_reply);
      break;
    default:
      reader->failed = true;
    }
}

bool
gs_wire_decode (GsWireMessage *message, const char *bytes, size_t length)
{
  msgpack_unpacked unpacked;
  GsMsgpackReader reader;

  memset (message, 0, sizeof *message);
  reader = gs_msgpack_unpack (&unpacked, bytes, length);
  if (gs_msgpack_read_uint (&reader, UINT32_MAX) != GS_WIRE_VERSION)
    reader.failed = true;
  message->kind = (GsWireKind)gs_msgpack_read_uint (&reader, GS_WIRE_SLICE_SUMMARY);
  if (!reader.failed)
    read_fields (&reader, message);
  msgpack_unpacked_destroy (&unpacked);
  if (reader.failed)
    gs_wire_clear (message);
  return !reader.failed;
}

uint32_t
gs_wire_peek_kind (const char *bytes, size_t length)
{
  /* The head of the array has one byte for up to 15 elements, else three. */
  size_t head = length > 0 && (uint8_t)bytes[0] == 0xdc ? 3 : 1;

  /* Version and kind are below 128, and so one byte each. */
  return length > head + 1 ? (uint8_t)bytes[head + 1] : 0;
}

void
gs_wire_clear (GsWireMessage *message)
{
  g_clear_pointer (&message->member_message.updates, g_free);
  message->member_message.n_updates = 0;
  g_free ((GsRegistryChange *)message->registry_update.changes);
  message->registry_update.changes = NULL;
  message->registry_update.n_changes = 0;
  g_clear_pointer (&message->tables_snapshot, g_bytes_unref);
  g_clear_pointer (&message->quota_report.demands, g_free);
  message->quota_report.n_demands = 0;
  g_clear_pointer (&message->quota_reply.grants, g_free);
  message->quota_reply.n_grants = 0;
}
