/**
 * NAME
 *   core - the reducer, which makes every decision of a daemon
 *
 * SYNOPSIS
 *   GsCore *core = gs_core_new (&(GsCoreOptions){ .self = self, .seed = 7 });
 *   GsEffects *effects = gs_effects_new ();
 *   GsEvent event = { .kind = GS_EVENT_TICK, .now_us = now_us };
 *   gs_core_reduce (core, &event, effects);
 *   for (uint32_t i = 0; i < gs_effects_count (effects); i++)
 *     execute (gs_effects_get (effects, i));
 *   gs_effects_clear (effects);
 *
 * DESCRIPTION
 *   The reducer is deterministic: it takes its state and an event and returns effects, which are
 * data for the caller to execute. Time comes with the events and random numbers come from a seeded
 * generator in the state. Nothing here does I/O, blocks, prints or reads a clock, so the same seed
 * and events always give the same effects. Not thread-safe: make one call at a time. No library
 * type appears in this header.
 *
 *   Strings in an event need to be valid during the call only. Pointers in an effect are valid
 * until gs_effects_clear.
 */
#ifndef GS_CORE_H
#define GS_CORE_H

#include "claim.h"
#include "config_log.h"
#include "detector.h"
#include "member.h"
#include "log_event.h"
#include "pool.h"
#include "reader.h"
#include "scheduler.h"
#include "../quota/message.h"

enum
{
  GS_ADDRESS_LOOKUP_MAX = 16, /**< daemons listed in an address lookup's answer */
  /** with fewer daemons in the caller's failure domain, others are listed too */
  GS_ADDRESS_LOOKUP_LOCAL_MIN = 2,
  GS_STANDBYS = 2,         /**< homes of a pool that take over when an active home fails */
  GS_LOG_FIELDS_MAX = 320, /**< bytes of a log event's fields */
  /** of a request that a stopping daemon refuses: another one can accept it at once */
  GS_STOPPING_RETRY_AFTER_MS = 20,
};

/** Default time for which a caller may cache an address lookup's answer. */
#define GS_ADDRESS_LOOKUP_TTL_US (5 * GS_US_PER_S)

/** Tick period while this daemon serves pools whose upstreams are listed in the tables. */
#define GS_CORE_TICK_US (10 * GS_US_PER_MS)

/** Kind of permit that a request carries. */
typedef enum
{
  GS_PERMIT_NONE = 0,
  GS_PERMIT_TICKET,
  GS_PERMIT_KEY,
} GsPermitKind;

/** A permit as received. The HTTP layer has already checked a ticket's signature. */
typedef struct
{
  GsPermitKind kind;
  char issuer[GS_NAME_MAX + 1]; /**< ticket: id of the daemon that issued it */
  uint64_t incarnation;         /**< ticket: incarnation of the issuer */
  uint64_t number;              /**< ticket: its number at the issuer */
  const char *key;              /**< key: the text that the caller sent */
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
  GS_EVENT_MEMBER_MESSAGE,
  GS_EVENT_JOIN,
  GS_EVENT_SEEDS,
  GS_EVENT_EVIDENCE,
  GS_EVENT_CRASH_UPDATE,
  GS_EVENT_UPSTREAM_REPORT,
  GS_EVENT_REGISTRY_UPDATE,
  GS_EVENT_SLOT_REQUEST,
  GS_EVENT_SLOT_REPLY,
  GS_EVENT_SLOT_RESULT,
  GS_EVENT_RETRY_ACCOUNT,
  GS_EVENT_SLICE_SUMMARY,
  GS_EVENT_STOP,
  GS_EVENT_CALLERS_FULL,
  GS_EVENT_QUOTA_REPORT,
  GS_EVENT_QUOTA_REPLY,
} GsEventKind;

/** Retries that one scheduler of a pool granted, sent to the pool's homes. */
typedef struct
{
  uint64_t pool;   /**< gs_core_pool_key */
  uint64_t origin; /**< hash of the scheduler's daemon and its incarnation */
  GsRetryAccount account;
} GsRetryAccountUpdate;

/** What the scheduler of a slice tells the homes of the pool's other slices. */
typedef struct
{
  uint64_t pool;  /**< gs_core_pool_key */
  uint64_t slice; /**< hash of its failure domain */
  bool has_capacity;
  GsSliceCapacity capacity;
  uint32_t n_losses;
  GsLoss losses[GS_LOSSES_MAX];
} GsSliceSummary;

/** A request that has been received completely. */
typedef struct
{
  uint64_t request; /**< unique for the life of the daemon */
  const char *host;
  const char *path;
  const char *method;   /**< NULL: unknown */
  uint32_t body_bytes;  /**< size of the body */
  uint64_t fingerprint; /**< of method, path and body */
  uint32_t timeout_ms;  /**< requested by the caller; 0: use the route's */
  const char *label;    /**< the caller's request id, for log lines; NULL: none */
  bool forwarded;       /**< forwarded by another daemon */
  GsPermit permit;
  bool has_key; /**< the caller sent a key that can be one */
  GsKeyDigest key;
  /** of a forwarded request: name of the workspace by the daemon that checked its key; NULL: none
   */
  const char *workspace;
} GsRequestEvent;

typedef struct
{
  uint64_t attempt;
  GsOutcome outcome;
  int64_t answer_us; /**< time to the first byte of the answer */
  uint32_t bytes;    /**< total size of the request and answer bodies */
  bool committed;    /**< part of the answer has been sent to the caller */
  bool has_load;     /**< the answer stated the upstream's load */
  uint16_t running;  /**< requests that the upstream is executing */
  uint16_t waiting;  /**< requests queued at the upstream */
  uint32_t quiet_ms; /**< the upstream refused and wants no requests from here for so long; 0: not
                          stated */
} GsAttemptEndEvent;

typedef struct
{
  uint64_t request;
  const char *host; /**< NULL: any daemon will do */
  const char *path;
  const char *failure_domain; /**< the caller's, listed first; NULL: list the homes */
  bool answer_here;           /**< no home responds, so issue the ticket here */
} GsAddressLookupEvent;

typedef struct
{
  uint64_t from;     /**< position that the snapshot continues from; 0: it is a complete one */
  uint64_t position; /**< log position that the snapshot reaches */
  const GsSnapshotEntry *entries;
  /** parsed tables of `entries`, NULL for those that cannot be used; ownership passes */
  GsDocument **documents;
  const char *refusal; /**< why the first of these cannot be used; NULL: not known */
  uint32_t n_entries;
  bool last;      /**< these entries complete the snapshot */
  bool read_here; /**< from the store, not from another daemon */
} GsTablesSnapshotEvent;

typedef struct
{
  char from[GS_NAME_MAX + 1]; /**< id of the daemon */
  uint64_t pool;              /**< gs_core_pool_key */
  char upstream[GS_NAME_MAX + 1];
  uint8_t alternative; /**< number of the detector's alternative hypothesis with that score */
  double score_nats;
} GsEvidence;

typedef struct
{
  uint64_t fingerprint;
  uint64_t crash; /**< unique number of the crash; 0: the fingerprint is no longer suspect */
} GsCrashUpdate;

/** What the platform's list, a peer or the upstream itself reports about an upstream. */
typedef struct
{
  char upstream[GS_NAME_MAX + 1];
  bool leaving;
  bool notify_peers;
  uint64_t attempt;    /**< whose answer said so; 0: not from an answer */
  bool registered;     /**< the upstream registers itself, and started_ms is valid */
  uint64_t started_ms; /**< its incarnation */
} GsUpstreamReport;

/** Registration changes, read from the store or received from a daemon that read them. */
typedef struct
{
  uint64_t from;    /**< store position after which the changes begin */
  uint64_t to;      /**< store position that they reach */
  uint64_t era;     /**< of the store, to which both positions belong; 0: not stated */
  bool complete;    /**< the changes list every registration; `from` is ignored */
  bool read_here;   /**< read by this daemon, which sends them to the others */
  bool from_reader; /**< sent by the daemon that read them; false: a copy of another one's */
  uint64_t tables_position; /**< of the tables in force at that daemon; 0: not stated */
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
    uint64_t answer_started; /**< attempt whose answer is now being sent to the caller */
    uint64_t attempt_late;   /**< attempt that has had no answer for its `late_us` */
    GsAttemptEndEvent attempt_end;
    uint64_t caller_disconnected; /**< request */
    GsAddressLookupEvent address_lookup;
    struct
    {
      uint64_t offset;
      GsEdit edit;
    } edit;
    struct
    {
      uint64_t log_position;
      bool from_start; /**< the log was read from offset 0 */
    } position;
    GsTablesSnapshotEvent tables_snapshot;
    struct
    {
      uint32_t partition;
      int64_t log_ms;
      GsClaimRecord record;
    } claim_record;
    struct
    {
      uint32_t partition;
      int64_t from_ms;
      int64_t log_now_ms;
      int64_t retention_ms;
      uint64_t era;   /**< of the log; 0: not stated */
      bool caught_up; /**< every record that the log held has been applied */
    } claims_read;
    struct
    {
      uint64_t claim;
      bool certain; /**< the record is certainly not in the log */
    } claim_append_failed;
    const GsMemberMessage *member_message;
    GsPeerAddress join;
    struct
    {
      const GsPeerAddress *addresses;
      uint32_t n;
    } seeds; /**< which replace those of before */
    GsEvidence evidence;
    GsCrashUpdate crash_update;
    GsUpstreamReport upstream_report;
    struct
    {
      GsRegistryUpdate update;
      GsPeerAddress from; /**< daemon that sent it; zeros: read here */
    } registry_update;
    struct
    {
      GsPeerAddress from;
      uint64_t pool; /**< gs_core_pool_key */
      GsSlotRequest request;
    } slot_request;
    struct
    {
      GsPeerAddress from;
      GsSlotReply reply;
    } slot_reply;
    struct
    {
      uint64_t pool;
      GsSlotResult result;
      bool duplicate; /**< for a home that did not grant the slot; its loss matters little */
    } slot_result;
    GsRetryAccountUpdate retry_account;
    GsSliceSummary slice_summary;
    struct
    {
      GsPeerAddress from;
      GsQuotaReport report; /**< its demands stay with the sender of the event */
    } quota_report;
    GsQuotaReply quota_reply; /**< likewise its grants */
    bool callers_full;        /**< whether this daemon has as many callers as it can take */
    int64_t stop_by_us;       /**< when every request must have its answer; earlier if sent again */
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
  GS_EFFECT_MEMBER_MESSAGE,
  GS_EFFECT_EVIDENCE,
  GS_EFFECT_CRASH_UPDATE,
  GS_EFFECT_UPSTREAM_REPORT,
  GS_EFFECT_REPORT_BROADCAST,
  GS_EFFECT_REQUEST_HELD_BACK,
  GS_EFFECT_ACCESS_REFUSED,
  GS_EFFECT_DROP_CONNECTIONS,
  GS_EFFECT_EDIT_RESULT,
  GS_EFFECT_REGISTRY_UPDATE,
  GS_EFFECT_PULL_REGISTRY,
  GS_EFFECT_PULL_TABLES,
  GS_EFFECT_SLOT_REQUEST,
  GS_EFFECT_SLOT_REPLY,
  GS_EFFECT_SLOT_RESULT,
  GS_EFFECT_RETRY_ACCOUNT,
  GS_EFFECT_SLICE_SUMMARY,
  GS_EFFECT_LOG_EVENT,
  GS_EFFECT_COST_REPORT, /**< estimates of placement by cost, for the counters */
  GS_EFFECT_QUOTA_REPORT,
  GS_EFFECT_QUOTA_REPLY,
  GS_EFFECT_QUOTA_COUNTS,
} GsEffectKind;

/** Send the request to an upstream or, if `forward` is set, to another daemon. */
typedef struct
{
  uint64_t request;
  uint64_t attempt;
  char target[GS_NAME_MAX + 1];
  uint32_t ipv4;
  uint16_t port;
  bool forward;
  GsDomainRelation upstream_domain;
  bool with_permit;  /**< send the permit along with a forwarded request */
  bool cache_answer; /**< cache the answer, since this daemon holds the request's permit */
  int64_t timeout_us;
  int64_t deadline_us;
  int64_t late_us; /**< time without an answer after which another attempt is requested; 0: never */
  char workspace[GS_WORKSPACE_NAME_MAX + 1]; /**< the caller's; empty: none */
  bool has_key; /**< of a forwarded request: the caller's key is passed on as its digest */
  GsKeyDigest key;
} GsAttemptEffect;

/** Pass on the answer of the last attempt. */
typedef struct
{
  uint64_t request;
  /** Most severe verdict of the other attempts. If one may have run, an answer that states not-run
   * must not be passed on as such. */
  GsVerdict earlier_verdict;
  uint64_t workspace; /**< of a cached answer: hash of the workspace's name; 0: none */
} GsAnswerEffect;

typedef struct
{
  uint64_t request;
  GsVerdict verdict;
  uint16_t status;         /**< HTTP status */
  const char *reason;      /**< static string */
  uint32_t retry_after_ms; /**< delay after which the caller may retry; 0: not stated */
} GsRejectEffect;

/** A request was refused, or ended, for lack of a valid key; to be counted. */
typedef struct
{
  bool stale;   /**< newer tables may have the key */
  bool revoked; /**< it was valid when the request arrived */
} GsAccessRefusedEffect;

/** Answer to an address lookup. */
typedef struct
{
  uint64_t request;
  GsMemberInfo members[GS_ADDRESS_LOOKUP_MAX];
  uint32_t n_members;
  int64_t ttl_us;
  uint64_t ticket; /**< 0: none */
  bool query_home; /**< forward the lookup to members[0], which can issue a ticket */
  bool unavailable;
  bool other_domains; /**< daemons of other failure domains are listed too */
  GsRepeat repeat;
} GsAddressLookupEffect;

/** One effect. */
typedef struct
{
  GsEffectKind kind;
  GsPeerAddress to; /**< destination, for effects that are peer messages */
  union
  {
    GsAttemptEffect attempt;
    GsAnswerEffect answer; /**< also of GS_EFFECT_CACHED_ANSWER */
    GsRejectEffect reject;
    GsAddressLookupEffect address_lookup;
    GsClaimRecord claim;
    GsMemberMessage member_message;
    GsEvidence evidence;
    GsCrashUpdate crash_update;
    GsUpstreamReport upstream_report;
    struct
    {
      GsUpstreamReport report;
      GsPeerAddress *recipients; /**< the effect owns them */
      uint32_t n_recipients;
    } report_broadcast;
    uint64_t held_back; /**< request that was kept from an upstream that leaves or is quiet */
    GsAccessRefusedEffect access_refused;
    GsPeerAddress drop; /**< ipv4 and port of the upstream */
    struct
    {
      GsRegistryUpdate update;   /**< the effect owns its changes */
      GsPeerAddress *recipients; /**< the effect owns them */
      uint32_t n_recipients;
    } registry_update;
    struct
    {
      uint64_t pool;
      GsSlotRequest request; /**< its times are relative to the moment of sending */
    } slot_request;
    GsSlotReply slot_reply;
    struct
    {
      uint64_t pool;
      GsSlotResult result;
      bool duplicate; /**< for a home that did not grant the slot; its loss matters little */
    } slot_result;
    GsRetryAccountUpdate retry_account;
    GsSliceSummary slice_summary;
    GsCostReport cost_report;
    GsQuotaReport quota_report; /**< the effect owns its demands */
    GsQuotaReply quota_reply;   /**< the effect owns its grants */
    GsQuotaCounts quota_counts; /**< since the last effect of this kind */
    struct
    {
      uint64_t submission;
      GsEditResult result;
      uint64_t revision;
    } edit_result;
    struct
    {
      GsLogEvent number;
      char text[GS_LOG_FIELDS_MAX];
    } log_event;
  };
} GsEffect;

typedef struct GsEffects GsEffects;

GsEffects *gs_effects_new (void);
void gs_effects_free (GsEffects *effects);
uint32_t gs_effects_count (const GsEffects *effects);
const GsEffect *gs_effects_get (const GsEffects *effects, uint32_t index);

/** Removes all effects and frees what they own. */
void gs_effects_clear (GsEffects *effects);

/** Construction options. */
typedef struct
{
  GsMemberInfo self;
  uint64_t seed;
  const GsDetectorClass *detector;   /**< NULL: the sequential test */
  double detector_threshold;         /**< nats; 0: derived from the pool's cost */
  GsLogLevel log_level;              /**< log events at least as severe become effects; 0: none */
  bool withhold_reports;             /**< send other homes no messages; for benchmarks only */
  GsRetryBudgetOptions retry_budget; /**< for pools whose upstreams register themselves */
  int64_t address_lookup_ttl_us;     /**< of address lookup answers; 0: the default */
  bool tables_from_store;            /**< a platform's store holds the tables; see GsReaderState */
  uint32_t slice_upstreams;          /**< from which a pool is scheduled by slice; 0: never */
  GsPlacement placement;             /**< for pools whose upstreams register themselves */
  uint64_t upstream_held_bytes;      /**< request bytes at one upstream by `placement`; 0: any */
  GsQuotaOptions quota;              /**< window_us 0: the limits of workspaces are ignored */
  bool first_start;                  /**< no daemon of the fleet has run before */
} GsCoreOptions;

typedef struct GsCore GsCore;

GsCore *gs_core_new (const GsCoreOptions *options);
void gs_core_free (GsCore *core);

/** Applies EVENT to the state and appends the resulting effects to EFFECTS. */
void gs_core_reduce (GsCore *core, const GsEvent *event, GsEffects *effects);

/** RETURN VALUE: number of requests received and not yet answered. */
uint32_t gs_core_in_flight (const GsCore *core);

/** RETURN VALUE: true when this daemon has the tables, can take more callers and is not stopping.
 */
bool gs_core_ready (const GsCore *core);

/** RETURN VALUE: whether another daemon takes callers. */
bool gs_core_has_ready_peer (const GsCore *core);

/** RETURN VALUE: state for the administration API; owned by the core. */
const GsTable *gs_core_table (const GsCore *core);
const GsConfigLog *gs_core_config_log (const GsCore *core);
const GsMembers *gs_core_members (const GsCore *core);
const GsRegistry *gs_core_registry (const GsCore *core);

/** RETURN VALUE: microseconds from the last event until the next tick is due. */
int64_t gs_core_next_tick_us (const GsCore *core);

/** RETURN VALUE: what this daemon knows about the readers of its domain, but for taken_over_us. */
GsReaderState gs_core_reader_state (const GsCore *core);

/** RETURN VALUE: position of the latest tables that another daemon stated to have; 0: none. */
uint64_t gs_core_tables_heard_position (const GsCore *core);

/** RETURN VALUE: time for which callers may cache address lookup answers, in microseconds. */
int64_t gs_core_address_lookup_ttl_us (const GsCore *core);

/** RETURN VALUE: the pool's run-time state at this daemon, or NULL if it has none. */
const GsPool *gs_core_pool (const GsCore *core, const char *workspace, const char *pool);

/** RETURN VALUE: the pool's scheduler at this daemon, or NULL if it has none. */
const GsScheduler *gs_core_scheduler (const GsCore *core, const char *workspace, const char *pool);

/** RETURN VALUE: the scheduler at this daemon of the pool's slice for FAILURE_DOMAIN, or NULL. */
const GsScheduler *gs_core_slice_scheduler (const GsCore *core,
                                            const char *workspace,
                                            const char *pool,
                                            const char *failure_domain);

/** RETURN VALUE: the tables' limits on callers of WORKSPACE; zeros where none is set. */
GsCallerLimits gs_core_caller_limits (const GsCore *core, const char *workspace);

/** RETURN VALUE: the key that identifies a pool in peer messages. */
uint64_t gs_core_pool_key (const char *workspace, const char *pool);

/** Writes the member indexes of a pool's homes to INDEXES, an array of at least 16 + GS_STANDBYS.
 * RETURN VALUE: their number. */
uint32_t gs_core_homes (const GsCore *core, const GsPoolRow *pool, uint32_t *indexes);

/** Partitions of the claims streams, as bit sets. */
typedef struct
{
  uint64_t owned;   /**< this daemon currently claims their keys */
  uint64_t awaited; /**< a request here waits for one of their records */
} GsClaimPartitions;

/** RETURN VALUE: the partitions of the claims streams that this daemon must read. */
GsClaimPartitions gs_core_claim_partitions (GsCore *core);

#endif
