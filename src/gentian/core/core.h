/**
 * NAME
 *   core - the reducer: every decision of a daemon
 *
 * SYNOPSIS
 *   GsCore *core = gs_core_new (&(GsCoreOptions){ .self = self, .seed = 7 });
 *   GsEffects *effects = gs_effects_new ();
 *   GsEvent event = { .kind = GS_EVENT_TICK, .now_us = now_us };
 *   gs_core_reduce (core, &event, effects);
 *   for (uint32_t i = 0; i < gs_effects_count (effects); i++)
 *     carry_out (gs_effects_get (effects, i));
 *   gs_effects_clear (effects);
 *
 * DESCRIPTION
 *   reduce (state, event) -> effects, deterministic: time comes with events, random numbers from a
 * seeded generator in the state, and nothing here does I/O, blocks, prints or reads a clock. The
 * same seed and events give the same effects. Effects are data for the caller to carry out. Not
 * thread-safe: one call at a time. No library type appears in this header.
 *
 *   Strings in an event need to live for the call only. Pointers in an effect live until
 * gs_effects_clear.
 */
#ifndef GS_CORE_H
#define GS_CORE_H

#include "claim.h"
#include "detector.h"
#include "fold.h"
#include "member.h"
#include "notice.h"
#include "placer.h"
#include "pool.h"

enum
{
  GS_ADDRESS_LOOKUP_MAX = 16, /**< daemons named in an answer to the address question */
  GS_ADDRESS_LOOKUP_LOCAL_MIN
  = 2,                     /**< daemons of a failure domain below which others are named too */
  GS_STANDBYS = 2,         /**< homes of a pool that take over when an active one is lost */
  GS_LOG_FIELDS_MAX = 320, /**< bytes of a notice's fields */
};

/** Time for which a caller may keep an answer to the address question, by default. */
#define GS_ADDRESS_LOOKUP_TTL_US (5 * GS_US_PER_S)

/** Period of ticks while this daemon serves pools with listed upstreams. */
#define GS_CORE_TICK_US (10 * GS_US_PER_MS)

/** Which right a request brings with it. */
typedef enum
{
  GS_PERMIT_NONE = 0,
  GS_PERMIT_TICKET,
  GS_PERMIT_KEY,
} GsPermitKind;

/** A right as received; a ticket's signature has been checked by the edge. */
typedef struct
{
  GsPermitKind kind;
  char issuer[GS_NAME_MAX + 1]; /**< ticket: daemon */
  uint64_t incarnation;         /**< ticket: its incarnation */
  uint64_t number;              /**< ticket */
  const char *key;              /**< key: text of the caller */
} GsPermit;

typedef enum
{
  GS_EVENT_TICK = 0,
  GS_EVENT_REQUEST,
  GS_EVENT_ANSWER_STARTED,
  GS_EVENT_ATTEMPT_LATE,
  GS_EVENT_ATTEMPT_END,
  GS_EVENT_CALLER_DISCONNECTED,
  GS_EVENT_ADDRESS_LOOKUP,
  GS_EVENT_EDIT,
  GS_EVENT_LOG_POSITION,
  GS_EVENT_TABLES_SNAPSHOT,
  GS_EVENT_CLAIM_RECORD,
  GS_EVENT_CLAIMS_READ,
  GS_EVENT_CLAIM_APPEND_FAILED,
  GS_EVENT_MEMBER_PROBE,
  GS_EVENT_JOIN,
  GS_EVENT_EVIDENCE,
  GS_EVENT_CRASH_UPDATE,
  GS_EVENT_UPSTREAM_REPORT,
  GS_EVENT_REGISTRY_UPDATE,
  GS_EVENT_SLOT_REQUEST,
  GS_EVENT_SLOT_REPLY,
  GS_EVENT_SLOT_RESULT,
  GS_EVENT_RETRY_ACCOUNT,
  GS_EVENT_STOP,
} GsEventKind;

/** Repeats that a placer of a pool allowed, told to the pool's homes. */
typedef struct
{
  uint64_t pool;   /**< gs_core_pool_key */
  uint64_t origin; /**< hash of the placer and its incarnation */
  GsRepeatsAccount account;
} GsRetryAccountUpdate;

/** A request that has come whole. */
typedef struct
{
  uint64_t request; /**< unique for the life of the daemon */
  const char *host;
  const char *path;
  uint64_t fingerprint; /**< of method, path and body */
  uint32_t timeout_ms;  /**< asked for by the caller; 0: the route's */
  const char *label;    /**< the caller's name for the request, for log lines; NULL: none */
  bool hop;             /**< forwarded by another daemon */
  GsPermit right;
} GsRequestEvent;

typedef struct
{
  uint64_t attempt;
  GsOutcome outcome;
  int64_t answer_us; /**< time to the first byte of the answer */
  uint32_t bytes;    /**< of the bodies of request and answer */
  bool committed;    /**< part of the answer has been passed on to the caller */
  bool has_load;     /**< the answer told the upstream's load */
  uint16_t running;  /**< requests that the upstream works on */
  uint16_t waiting;  /**< requests that wait at the upstream */
} GsAttemptEndEvent;

typedef struct
{
  uint64_t request;
  const char *host; /**< NULL: any daemons */
  const char *path;
  const char *failure_domain; /**< of the caller, whose daemons are named first; NULL: by homes */
  bool answer_here;           /**< no home answers: issue a ticket here */
} GsAddressLookupEvent;

typedef struct
{
  uint64_t from;     /**< 0 for a whole copy */
  uint64_t position; /**< reached by the copy */
  const GsCopyEntry *entries;
  GsDocument **documents; /**< parsed tables of `entries`; ownership passes */
  uint32_t n_entries;
  bool last; /**< the copy is whole with these entries */
} GsTablesSnapshotEvent;

typedef struct
{
  char from[GS_NAME_MAX + 1]; /**< daemon */
  uint64_t pool;              /**< gs_core_pool_key */
  char upstream[GS_NAME_MAX + 1];
  uint8_t level; /**< number of the alternative that accuses it */
  double score_nats;
} GsEvidence;

typedef struct
{
  uint64_t fingerprint;
  uint64_t crash; /**< unique number of the crash; 0 when the suspect is cleared */
} GsCrashUpdate;

/** What the platform's list, a peer or an upstream itself says of an upstream. */
typedef struct
{
  char upstream[GS_NAME_MAX + 1];
  bool leaving;
  bool tell_peers;
} GsUpstreamReport;

/** Registrations that were read from the store, or told by a daemon that read them. */
typedef struct
{
  uint64_t from; /**< the changes continue what was known up to here */
  uint64_t to;   /**< and reach up to here */
  bool all;      /**< the changes are all registrations that there are; `from` does not count */
  bool own;      /**< read here: tell the other daemons */
  GsStoreState store;
  const GsRegistryChange *changes;
  uint32_t n_changes;
} GsRegistryUpdate;

/** One event. */
typedef struct
{
  GsEventKind kind;
  int64_t now_us;
  union
  {
    GsRequestEvent request;
    uint64_t attempt_began; /**< attempt whose answer has begun to be passed on */
    uint64_t attempt_late;  /**< attempt without an answer for its `late_us` */
    GsAttemptEndEvent attempt_end;
    uint64_t caller_left; /**< request */
    GsAddressLookupEvent entries;
    struct
    {
      uint64_t offset;
      GsEdit edit;
    } edit;
    struct
    {
      uint64_t position;
      bool from_start; /**< the log was read from offset 0 */
    } position;
    GsTablesSnapshotEvent copy;
    struct
    {
      uint32_t partition;
      int64_t log_ms;
      GsClaimRecord record;
    } claim;
    struct
    {
      uint32_t partition;
      int64_t from_ms;
      int64_t log_now_ms;
      int64_t retention_ms;
      bool caught_up; /**< every record that the log held has been folded */
    } claim_covered;
    struct
    {
      uint64_t claim;
      bool certain; /**< true when the record certainly is not in the log */
    } append_failed;
    const GsProbe *probe;
    GsPeerAddress join;
    GsEvidence evidence;
    GsCrashUpdate crash;
    GsUpstreamReport sign;
    struct
    {
      GsRegistryUpdate news;
      GsPeerAddress from; /**< daemon that told it; zeros: read here */
    } registry;
    struct
    {
      GsPeerAddress from;
      uint64_t pool; /**< gs_core_pool_key */
      GsPlaceAsk ask;
    } place_ask;
    struct
    {
      GsPeerAddress from;
      GsPlaceReply reply;
    } place_reply;
    struct
    {
      uint64_t pool;
      GsPlaceEnd end;
      bool copy; /**< for a daemon that did not grant; its loss costs little */
    } place_end;
    GsRetryAccountUpdate repeats;
  };
} GsEvent;

typedef enum
{
  GS_EFFECT_ATTEMPT = 0,
  GS_EFFECT_ANSWER,
  GS_EFFECT_CACHED_ANSWER,
  GS_EFFECT_REJECT,
  GS_EFFECT_ADDRESS_LOOKUP_ANSWER,
  GS_EFFECT_APPEND_CLAIM,
  GS_EFFECT_MEMBER_PROBE,
  GS_EFFECT_EVIDENCE,
  GS_EFFECT_CRASH_UPDATE,
  GS_EFFECT_UPSTREAM_REPORT,
  GS_EFFECT_DROP_CONNECTIONS,
  GS_EFFECT_EDIT_RESULT,
  GS_EFFECT_REGISTRY_UPDATE,
  GS_EFFECT_PULL_REGISTRY,
  GS_EFFECT_SLOT_REQUEST,
  GS_EFFECT_SLOT_REPLY,
  GS_EFFECT_SLOT_RESULT,
  GS_EFFECT_RETRY_ACCOUNT,
  GS_EFFECT_LOG_EVENT,
} GsEffectKind;

/** Send the request to an upstream or, when `forward`, to another daemon. */
typedef struct
{
  uint64_t request;
  uint64_t attempt;
  char target[GS_NAME_MAX + 1];
  uint32_t ipv4;
  uint16_t port;
  bool forward;
  bool with_right;   /**< pass the right on with a forwarded request */
  bool cache_answer; /**< the answer belongs to a right that this daemon holds */
  int64_t timeout_us;
  int64_t deadline_us;
  int64_t
      late_us; /**< without an answer for so long another attempt is worth asking for; 0: never */
} GsAttemptEffect;

typedef struct
{
  uint64_t request;
  GsVerdict verdict;
  uint16_t status;         /**< HTTP status */
  const char *reason;      /**< static text */
  uint32_t retry_after_ms; /**< when the caller may come again; 0: not stated */
} GsRejectEffect;

/** Answer to the address question. */
typedef struct
{
  uint64_t request;
  GsMemberFact members[GS_ADDRESS_LOOKUP_MAX];
  uint32_t n_members;
  int64_t life_us;
  uint64_t ticket; /**< 0: none */
  bool ask_home;   /**< the question is better put to members[0], which can issue a ticket */
  bool unavailable;
  bool far; /**< daemons of other failure domains are named too */
  GsRepeat repeat;
} GsAddressLookupEffect;

/** One effect. */
typedef struct
{
  GsEffectKind kind;
  GsPeerAddress to; /**< of the effects that are messages */
  union
  {
    GsAttemptEffect attempt;
    uint64_t answer; /**< request; also of GS_EFFECT_CACHED_ANSWER */
    GsRejectEffect reject;
    GsAddressLookupEffect entries;
    GsClaimRecord claim;
    GsProbe probe;
    GsEvidence evidence;
    GsCrashUpdate crash;
    GsUpstreamReport sign;
    GsPeerAddress drop; /**< ipv4 and port of the upstream */
    struct
    {
      GsRegistryUpdate news;     /**< its changes are owned by the effect */
      GsPeerAddress *recipients; /**< owned by the effect */
      uint32_t n_recipients;
    } news;
    struct
    {
      uint64_t pool;
      GsPlaceAsk ask; /**< its times count from the moment of sending */
    } place_ask;
    GsPlaceReply place_reply;
    struct
    {
      uint64_t pool;
      GsPlaceEnd end;
      bool copy; /**< for a daemon that did not grant; its loss costs little */
    } place_end;
    GsRetryAccountUpdate repeats;
    struct
    {
      uint64_t submission;
      GsEditResult result;
      uint64_t revision;
    } edit_result;
    struct
    {
      GsNotice number;
      char text[GS_LOG_FIELDS_MAX];
    } notice;
  };
} GsEffect;

typedef struct GsEffects GsEffects;

GsEffects *gs_effects_new (void);
void gs_effects_free (GsEffects *effects);
uint32_t gs_effects_count (const GsEffects *effects);
const GsEffect *gs_effects_get (const GsEffects *effects, uint32_t index);

/** Forgets all effects and what they own. */
void gs_effects_clear (GsEffects *effects);

/** Construction options. */
typedef struct
{
  GsMemberFact self;
  uint64_t seed;
  const GsDetectorClass *detector; /**< NULL: the sequential test */
  double detector_threshold;       /**< nats; 0: by the pool's cost */
  GsLevel notice_level;            /**< graver or equal notices become effects; 0: none */
  bool keep_evidence;              /**< do not tell other homes of evidence (measurement only) */
  GsRepeatBudget repeats;          /**< of pools whose upstreams register themselves */
  int64_t entries_life_us;         /**< of answers to the address question; 0: the default */
} GsCoreOptions;

typedef struct GsCore GsCore;

GsCore *gs_core_new (const GsCoreOptions *options);
void gs_core_free (GsCore *core);

/** Takes EVENT in and adds the effects it calls for to EFFECTS. */
void gs_core_reduce (GsCore *core, const GsEvent *event, GsEffects *effects);

/** RETURN VALUE: requests received and not yet answered. */
uint32_t gs_core_in_flight (const GsCore *core);

/** RETURN VALUE: true when this daemon has the tables and is not stopping. */
bool gs_core_ready (const GsCore *core);

/** RETURN VALUE: state for the administration API; owned by the core. */
const GsTable *gs_core_table (const GsCore *core);
const GsFold *gs_core_config_log (const GsCore *core);
const GsMembers *gs_core_members (const GsCore *core);
const GsRegistry *gs_core_registry (const GsCore *core);

/** RETURN VALUE: time after which the next tick is due, in microseconds from the last event. */
int64_t gs_core_next_tick_us (const GsCore *core);

/** RETURN VALUE: time since registrations were last read or told, in microseconds. */
int64_t gs_core_registry_age_us (const GsCore *core, int64_t now_us);

/** RETURN VALUE: the life of answers to the address question, in microseconds. */
int64_t gs_core_address_lookup_ttl_us (const GsCore *core);

/** RETURN VALUE: the pool's run-time state at this daemon, or NULL where it has none. */
const GsPool *gs_core_pool (const GsCore *core, const char *workspace, const char *pool);

/** RETURN VALUE: the pool's placer at this daemon, or NULL where it has none. */
const GsPlacer *gs_core_scheduler (const GsCore *core, const char *workspace, const char *pool);

/** RETURN VALUE: what the tables of WORKSPACE let callers send; zeros where they say nothing. */
GsCallerLimits gs_core_caller_limits (const GsCore *core, const char *workspace);

/** RETURN VALUE: a key that names a pool in peer messages. */
uint64_t gs_core_pool_key (const char *workspace, const char *pool);

/** Writes the member indexes of a pool's homes to INDEXES (at least 18). RETURN VALUE: how many. */
uint32_t gs_core_homes (const GsCore *core, const GsPoolRow *pool, uint32_t *indexes);

/** Partitions of the claims streams, a bit each. */
typedef struct
{
  uint64_t owned;   /**< this daemon claims their keys at the moment */
  uint64_t awaited; /**< a request here waits for a record of them */
} GsPartitions;

/** RETURN VALUE: the partitions that this daemon has to follow. */
GsPartitions gs_core_partitions (GsCore *core);

#endif
