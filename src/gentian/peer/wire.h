/**
 * NAME
 *   wire - encoding of the messages between daemons in msgpack
 *
 * DESCRIPTION
 *   A message is a msgpack array [version, kind, ...]. Decoding is strict: it refuses a message of
 * another version, and values and lengths that are out of range. Fuzzed by
 * test/fuzz/fuzz_records.c.
 */
#ifndef GS_WIRE_H
#define GS_WIRE_H

#include <glib.h>

#include "../core/core.h"

enum
{
  GS_WIRE_VERSION = 5,
  GS_WIRE_MEMBER_UPDATES_MAX = 20000,             /**< members in one message */
  GS_WIRE_REGISTRY_CHANGES_MAX = GS_REGISTRY_MAX, /**< registrations in one message */
};

/** Kinds of messages; their numbers are sent. */
typedef enum
{
  GS_WIRE_MEMBER_MESSAGE = 1, /**< see core/member.h */
  GS_WIRE_EVIDENCE = 2,
  GS_WIRE_CRASH_UPDATE = 3,
  GS_WIRE_UPSTREAM_REPORT = 4,
  GS_WIRE_TABLES_PULL = 5, /**< requests the workspaces changed since a log position */
  GS_WIRE_TABLES_SNAPSHOT = 6,
  GS_WIRE_REGISTRY_UPDATE = 7,
  GS_WIRE_REGISTRY_PULL = 8, /**< requests all registrations */
  GS_WIRE_SLOT_REQUEST = 9,
  GS_WIRE_SLOT_REPLY = 10,
  GS_WIRE_SLOT_RESULT = 11,
  GS_WIRE_RETRY_ACCOUNT = 12,
  GS_WIRE_QUOTA_REPORT = 13,
  GS_WIRE_QUOTA_REPLY = 14,
  GS_WIRE_SLICE_SUMMARY = 15,
} GsWireKind;

/** One message. Only the members of its kind are encoded, and set by decoding. */
typedef struct
{
  GsWireKind kind;
  GsMemberMessage member_message; /**< decoding allocates its updates */
  GsEvidence evidence;
  GsCrashUpdate crash_update;
  GsUpstreamReport upstream_report;
  GsPeerAddress
      reply_to; /**< sender of a pull, registry update, slot request, slot reply or quota report */
  GsRegistryUpdate registry_update; /**< decoding allocates its changes */
  uint64_t pool;                    /**< of a slot request or slot result */
  GsSlotRequest slot_request;       /**< with deadline and target relative to the time of sending */
  GsSlotReply slot_reply;
  GsSlotResult slot_result;
  GsRetryAccountUpdate retry_account;
  GsSliceSummary slice_summary;
  GsQuotaReport quota_report; /**< decoding allocates its demands */
  GsQuotaReply quota_reply;   /**< decoding allocates its grants */
  uint64_t from_position;     /**< of a tables pull: log position that the sender already has */
  GBytes *tables_snapshot;    /**< encoded, see store/record.h */
} GsWireMessage;

/** RETURN VALUE: newly allocated bytes of MESSAGE. */
GBytes *gs_wire_encode (const GsWireMessage *message);

/** Decodes LENGTH bytes. RETURN VALUE: false when they are no valid message of this version; then
 * MESSAGE need not be cleared. */
bool gs_wire_decode (GsWireMessage *message, const char *bytes, size_t length);

/** RETURN VALUE: the kind of an encoded message, without decoding it; 0 when it has none. */
uint32_t gs_wire_peek_kind (const char *bytes, size_t length);

/** Frees what decoding allocated. */
void gs_wire_clear (GsWireMessage *message);

#endif
