/**
 * NAME
 *   wire - messages between daemons in msgpack
 *
 * DESCRIPTION
 *   [version, kind, ...]. Encoding and decoding are strict and bounded. Fuzzed by
 * test/fuzz/fuzz_wire.c.
 */
#ifndef GS_WIRE_H
#define GS_WIRE_H

#include <glib.h>

#include "../core/core.h"

enum
{
  GS_WIRE_VERSION = 4,
  GS_WIRE_MEMBER_UPDATES_MAX = 20000,             /**< members in one message */
  GS_WIRE_REGISTRY_CHANGES_MAX = GS_REGISTRY_MAX, /**< registrations in one message */
};

typedef enum
{
  GS_WIRE_MEMBER_PROBE = 1,
  GS_WIRE_EVIDENCE = 2,
  GS_WIRE_CRASH_UPDATE = 3,
  GS_WIRE_UPSTREAM_REPORT = 4,
  GS_WIRE_TABLES_PULL = 5,     /**< asks for the tables above a position */
  GS_WIRE_TABLES_SNAPSHOT = 6, /**< a copy, see store/record.h */
  GS_WIRE_REGISTRY_UPDATE = 7, /**< registrations */
  GS_WIRE_REGISTRY_PULL = 8,   /**< asks for all registrations */
  GS_WIRE_SLOT_REQUEST = 9,
  GS_WIRE_SLOT_REPLY = 10,
  GS_WIRE_SLOT_RESULT = 11,
  GS_WIRE_RETRY_ACCOUNT = 12,
} GsWireKind;

/** One message. */
typedef struct
{
  GsWireKind kind;
  GsMemberMessage probe; /**< its facts are newly allocated by decoding */
  GsEvidence evidence;
  GsCrashUpdate crash_update;
  GsUpstreamReport upstream_report;
  GsPeerAddress reply_to;           /**< of a pull, news, or what concerns a slot: the sender */
  GsRegistryUpdate registry_update; /**< its changes are newly allocated by decoding */
  uint64_t pool;                    /**< of what concerns a slot */
  GsSlotRequest slot_request;       /**< its times count from the moment of sending */
  GsSlotReply slot_reply;
  GsSlotResult slot_result;
  GsRetryAccountUpdate retry_account;
  uint64_t from_position; /**< of a pull: position already held */
  GBytes *tables_snapshot;
} GsWireMessage;

/** RETURN VALUE: newly allocated bytes of MESSAGE. */
GBytes *gs_wire_encode (const GsWireMessage *message);

/** Decodes LENGTH bytes. RETURN VALUE: false when they are no message of this version. */
bool gs_wire_decode (GsWireMessage *message, const char *bytes, size_t length);
void gs_wire_clear (GsWireMessage *message);

#endif
