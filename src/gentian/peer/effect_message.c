#include "effect_message.h"

bool
gs_effect_to_message (const GsEffect *effect,
                      const GsPeerAddress *self,
                      int64_t now_us,
                      GsWireMessage *message)
{
  *message = (GsWireMessage){ .reply_to = *self };
  switch (effect->kind)
    {
    case GS_EFFECT_SLOT_REQUEST:
      message->kind = GS_WIRE_SLOT_REQUEST;
      message->pool = effect->slot_request.pool;
      message->slot_request = effect->slot_request.request;
      message->slot_request.deadline_us -= now_us;
      message->slot_request.target_us -= now_us;
      return true;
    case GS_EFFECT_SLOT_REPLY:
      message->kind = GS_WIRE_SLOT_REPLY;
      message->slot_reply = effect->slot_reply;
      return true;
    case GS_EFFECT_SLOT_RESULT:
      message->kind = GS_WIRE_SLOT_RESULT;
      message->pool = effect->slot_result.pool;
      message->slot_result = effect->slot_result.result;
      return true;
    case GS_EFFECT_RETRY_ACCOUNT:
      message->kind = GS_WIRE_RETRY_ACCOUNT;
      message->retry_account = effect->retry_account;
      return true;
    case GS_EFFECT_SLICE_SUMMARY:
      message->kind = GS_WIRE_SLICE_SUMMARY;
      message->slice_summary = effect->slice_summary;
      return true;
    case GS_EFFECT_QUOTA_REPORT:
      message->kind = GS_WIRE_QUOTA_REPORT;
      message->quota_report = effect->quota_report;
      return true;
    case GS_EFFECT_QUOTA_REPLY:
      message->kind = GS_WIRE_QUOTA_REPLY;
      message->quota_reply = effect->quota_reply;
      return true;
    default:
      return false;
    }
}

bool
gs_message_to_event (const GsWireMessage *message, int64_t now_us, GsEvent *event)
{
  switch (message->kind)
    {
    case GS_WIRE_MEMBER_MESSAGE:
      event->kind = GS_EVENT_MEMBER_MESSAGE;
      event->member_message = &message->member_message;
      return true;
    case GS_WIRE_EVIDENCE:
      event->kind = GS_EVENT_EVIDENCE;
      event->evidence = message->evidence;
      return true;
    case GS_WIRE_CRASH_UPDATE:
      event->kind = GS_EVENT_CRASH_UPDATE;
      event->crash_update = message->crash_update;
      return true;
    case GS_WIRE_UPSTREAM_REPORT:
      event->kind = GS_EVENT_UPSTREAM_REPORT;
      event->upstream_report = message->upstream_report;
      return true;
    case GS_WIRE_REGISTRY_UPDATE:
      event->kind = GS_EVENT_REGISTRY_UPDATE;
      event->registry_update.update = message->registry_update;
      event->registry_update.from = message->reply_to;
      return true;
    case GS_WIRE_SLOT_REQUEST:
      event->kind = GS_EVENT_SLOT_REQUEST;
      event->slot_request.from = message->reply_to;
      event->slot_request.pool = message->pool;
      event->slot_request.request = message->slot_request;
      event->slot_request.request.deadline_us += now_us;
      event->slot_request.request.target_us += now_us;
      return true;
    case GS_WIRE_SLOT_REPLY:
      event->kind = GS_EVENT_SLOT_REPLY;
      event->slot_reply.from = message->reply_to;
      event->slot_reply.reply = message->slot_reply;
      return true;
    case GS_WIRE_SLOT_RESULT:
      event->kind = GS_EVENT_SLOT_RESULT;
      event->slot_result.pool = message->pool;
      event->slot_result.result = message->slot_result;
      return true;
    case GS_WIRE_RETRY_ACCOUNT:
      event->kind = GS_EVENT_RETRY_ACCOUNT;
      event->retry_account = message->retry_account;
      return true;
    case GS_WIRE_SLICE_SUMMARY:
      event->kind = GS_EVENT_SLICE_SUMMARY;
      event->slice_summary = message->slice_summary;
      return true;
    case GS_WIRE_QUOTA_REPORT:
      event->kind = GS_EVENT_QUOTA_REPORT;
      event->quota_report.from = message->reply_to;
      event->quota_report.report = message->quota_report;
      return true;
    case GS_WIRE_QUOTA_REPLY:
      event->kind = GS_EVENT_QUOTA_REPLY;
      event->quota_reply = message->quota_reply;
      return true;
    default:
      return false;
    }
}
