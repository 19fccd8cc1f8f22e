/**
 * NAME
 *   core_private - state shared by the parts of the reducer
 *
 * DESCRIPTION
 *   For the files of the reducer only. core.c dispatches events, request.c tracks a request from
 * arrival to answer, request_access.c checks its key, request_queue.c orders those that wait,
 * scheduling.c requests and grants slots, slice_link.c divides large pools, quota_link.c applies
 * the quotas of workspaces, registry_link.c applies what readers of the store send, notice.c keeps
 * what upstreams say in their answers, permit.c handles tickets and claims, effects.c builds
 * effects.
 */
#ifndef GS_CORE_PRIVATE_H
#define GS_CORE_PRIVATE_H

#include <glib.h>

#include "../access/access.h"
#include "../fairness/fair_queue.h"
#include "../fairness/service_shares.h"
#include "core.h"
#include "crash.h"
#include "retry_bucket.h"

enum
{
  CORE_QUEUE_MAX = 256, /* requests queued for one pool at one home */
  CORE_HOMES_MAX = 16 + GS_STANDBYS,
  CORE_ATTEMPTS_MAX = 3, /* attempts of one request made by one daemon */
  /* after this many schedulers without a reply, this daemon is the request's scheduler */
  CORE_SILENT_SCHEDULERS_MAX = 2,
  /* array size: one more is asked where a pool is scheduled by slice */
  CORE_SILENT_SCHEDULERS_STORED = 3,
};

typedef struct QuotaLink QuotaLink;

/* A pool at this daemon, or a slice of one. It has run-time state only if the daemon serves it, not
 * if it forwards. */
typedef struct PoolState
{
  uint64_t key;
  char *workspace;
  char *name;
  GsPool *pool;            /* NULL until the daemon serves the pool */
  GsAdmission *admission;  /* likewise, owned */
  GsScheduler *scheduler;  /* likewise, for a pool whose upstreams register themselves */
  uint64_t registry_epoch; /* epoch last passed to the scheduler */
  GsFairQueue *queue;
  GsServiceShares *shares; /* NULL until a request of the pool has a workspace */
  int64_t cost_logged_us;  /* last time that the errors of estimates were logged */
  GsRetryBucket budget;
  uint32_t homes[CORE_HOMES_MAX]; /* active homes first, then standbys */
  uint32_t n_homes;
  uint32_t n_active;
  uint64_t homes_epoch;
  uint64_t homes_revision;
  bool is_home;                   /* this daemon is an active home */
  int64_t first_home_since_us;    /* when this daemon became the first home; 0: it is not */
  struct PoolState *whole;        /* of a slice: the pool; NULL: this is no slice */
  uint64_t slice;                 /* of a slice: hash of its failure domain */
  uint32_t slices_version;        /* of a slice: division by which its upstreams were set */
  int64_t requested_us;           /* of a slice: last slot request; 0: none */
  int64_t stated_us;              /* of a slice: when its capacity was last stated */
  GsSlices slices;                /* of a pool: its division */
  uint64_t slices_registry_epoch; /* epochs for which the division was computed */
  uint64_t slices_members_epoch;
  GsSliceView slice_view; /* of a pool: what the homes of its slices state */
} PoolState;

typedef enum
{
  REQUEST_NEW = 0,
  REQUEST_WAITING_FOR_LOG, /* its partition has to be read, or its claim read back */
  REQUEST_QUEUED,
  REQUEST_AWAITING_SLOT, /* from the pool's scheduler */
  REQUEST_RUNNING,
  REQUEST_RELEASING, /* did not run; its claim's release is being appended to the log */
} RequestPhase;

typedef struct
{
  uint64_t id;
  uint64_t fingerprint;
  uint64_t flow;
  uint64_t work_class;
  uint32_t body_bytes;
  PoolState *pool;
  GsRepeat repeat;
  uint16_t weight;
  int64_t attempt_timeout_us;
  int64_t deadline_us;
  int64_t arrived_us;
  uint64_t tried[CORE_ATTEMPTS_MAX + 1]; /* upstream keys or hashes of daemon ids */
  uint8_t n_tried;
  uint8_t n_attempts;
  uint8_t n_unended;         /* attempts whose end has not been reported; late ones among them */
  GsVerdict worst_verdict;   /* most severe verdict of its ended attempts; see request_verdict */
  GsVerdict earlier_verdict; /* the same of all attempts but the one that ended last */
  bool forwarded;
  bool shortened; /* its deadline is the end of a planned stop, not the caller's */
  RequestPhase phase;
  GsPermit permit;
  GsIdempotencyKey key;
  uint64_t claim;
  bool ticket_used;
  const char *reject_reason;
  uint16_t reject_status; /* while its claim is released, in place of 503; 0: none */
  char label[GS_SLOT_REQUEST_ID_MAX + 1];
  int64_t target_us;
  bool scheduled; /* the pool's scheduler grants its slots */
  uint32_t retry_after_ms;
  uint8_t priority;
  bool is_counted;                /* in the pool's service shares */
  bool is_settled;                /* counted there as served or not served */
  bool preferred;                 /* its workspace, route or priority is below the minimum share */
  uint8_t max_executions;         /* the route's `max_attempts` */
  uint8_t n_executions;           /* attempts that may have run */
  bool reached_upstream;          /* an attempt reached an upstream, even if that refused it */
  bool holds_answer;              /* the last attempt's answer can still be sent to the caller */
  uint64_t attempt;               /* the newest one; the end of an older one may still arrive */
  uint64_t grant;                 /* of the slot in use */
  bool slot_request_pending;      /* possibly while a late attempt still runs */
  uint64_t slot_token;            /* of the slot request */
  uint64_t scheduler_hash;        /* of the id of the scheduler's daemon; 0: this daemon */
  int64_t slot_reply_due_us;      /* when the reply is overdue */
  int64_t slot_request_resend_us; /* time of resending if unanswered; 0: not again */
  bool slot_renewed;        /* its last grant was returned, as the upstream leaves or is quiet */
  int64_t quiet_until_us;   /* earliest return of an upstream that it was kept from */
  bool slot_request_queued; /* the scheduler replied that no slot is free yet */
  uint64_t silent_schedulers[CORE_SILENT_SCHEDULERS_STORED];
  uint8_t n_silent_schedulers;
  GsCredential credential;
  bool workspace_listed; /* the tables at the last check had its key, or workspace if forwarded */
  uint64_t workspace;    /* hash of its name; 0: none */
  uint8_t workspace_priority;
  char workspace_name[GS_WORKSPACE_NAME_MAX + 1];
  uint64_t slice;     /* that it asks first; 0: that of this daemon's failure domain */
  bool redirected;    /* the home of another slice sent it there */
  bool quota_charged; /* this daemon, which is a home, charged it */
  bool quota_started; /* and started an attempt after that */
} Request;

typedef struct
{
  uint64_t id;
  uint64_t request;
  PoolState *pool;
  uint64_t upstream;   /* key */
  uint64_t started_ms; /* incarnation of an upstream that registers itself */
  uint64_t fingerprint;
  int64_t started_us;
  bool forward;
  bool overdue_reported; /* reported to the pool as overdue */
  bool late_reported;    /* reported to the pool as late */
  bool answer_started;   /* its answer is being sent to the caller */
  bool with_permit;      /* forwarded with the request's permit to the permit's holder */
  bool is_retry;         /* an earlier attempt of the request reached an upstream */
  uint64_t grant;        /* from the scheduler; 0: this daemon chose the upstream itself */
  uint64_t token;
  GsPeerAddress scheduler; /* that granted the slot; zeros: this daemon */
  char target[GS_NAME_MAX + 1];
} Attempt;

/* A claim of this daemon whose record has not been read back. */
typedef struct
{
  uint64_t request;
  GsIdempotencyKey key;
} PendingClaim;

/* The last crash seen at an upstream. */
typedef struct
{
  uint64_t crash;
  int64_t at_us;
} UpstreamCrash;

struct GsCore
{
  GsCoreOptions options;
  GsRandom random;
  GsTable *table;
  GsConfigLog *config_log;
  GsMembers *members;
  GHashTable *pools;             /* key -> PoolState */
  GHashTable *slices_by_key;     /* key -> PoolState of a slice */
  GPtrArray *slices;             /* the same in order of creation; owned by the table */
  int64_t own_slices_due_us;     /* when slices that this daemon may serve are created next */
  GHashTable *requests;          /* id -> Request */
  GHashTable *attempts;          /* id -> Attempt */
  GHashTable *last_crashes;      /* upstream key -> UpstreamCrash */
  GHashTable *leaving_upstreams; /* id of an upstream reported as leaving -> time of the report */
  GHashTable *quiet_until;       /* key of an upstream that wants no requests -> int64_t time */
  GHashTable *pending_claims;    /* claim -> PendingClaim */
  GHashTable *peers_by_origin;   /* origin of slot requests -> GsPeerAddress */
  QuotaLink *quota;              /* NULL: no limits yet */
  GsRegistry *registry;
  int64_t reader_heard_us; /* see GsReaderState */
  int64_t reader_preceding_us;
  int64_t reader_available_us;
  int64_t tables_pulled_us;       /* when tables were last pulled because of a registry update */
  uint64_t tables_heard_position; /* the latest that another daemon stated to have */
  int64_t tables_heard_us; /* when later tables than those in force were first heard of; 0: never */
  /* store position up to which changes were sent to all daemons, by this one or another reader */
  uint64_t registry_sent_to_all;
  int64_t era_began_us; /* when the registry entered the store's era; 0: none */
  uint64_t origin;      /* identifies this daemon in slot requests */
  uint64_t next_slot_token;
  uint32_t n_slot_requests;
  int64_t retry_accounts_due_us; /* when the retry accounts are next sent to the homes */
  int64_t last_tick_us;          /* time of the last tick */
  int64_t tick_gap_us;           /* between the last two ticks; long if this daemon was stalled */
  GsCrashTracker *crashes;
  GsTickets *tickets;
  GsClaims *claims[GS_CLAIM_PARTITIONS]; /* each NULL until first used */
  uint64_t next_attempt;
  uint64_t next_claim;
  uint64_t next_crash;
  int64_t now_us;
  int64_t started_us; /* time of the first event */
  int64_t next_evidence_us;
  int64_t log_now_ms;
  uint64_t logged_epoch;
  uint64_t owned_partitions; /* bit set, valid for owned_epoch */
  uint64_t owned_epoch;
  bool was_ready;
  bool callers_full;
  bool stopping;
  int64_t stop_by_us; /* while stopping: latest deadline of a request */
  GsEffects *effects; /* of the event in progress */
};

/* effects.c */
GsEffect *core_add_effect (GsCore *core, GsEffectKind kind);
void core_log_event (GsCore *core, GsLogEvent number, const char *format, ...) G_GNUC_PRINTF (3, 4);

/* core.c */
PoolState *core_pool_state (GsCore *core, const GsPoolRow *row);
GsPool *core_serve_pool (GsCore *core, PoolState *state);
void core_refresh_homes (GsCore *core, PoolState *state);
void core_log_pool_changes (GsCore *core, PoolState *state);
GsPeerAddress core_peer_address (const GsMemberInfo *member);
/* Whether ADDRESS stands for this daemon itself. */
static inline bool
core_is_local (const GsPeerAddress *address)
{
  return address->ipv4 == 0;
}
void core_send_to_homes (GsCore *core, PoolState *state, const GsEffect *effect);
/* Notes that another daemon has the tables of POSITION. */
void core_hear_tables_position (GsCore *core, uint64_t position);

/* request_queue.c */

/* Counts a request of a workspace at its first arrival in the pool's service shares. */
void request_queue_count (GsCore *core, Request *request);
void request_queue_count_end (GsCore *core, Request *request, bool served);
/* RETURN VALUE: requests that would be served before REQUEST if it were queued. */
uint32_t request_queue_ahead (const GsCore *core, const Request *request);
/* Queues REQUEST. RETURN VALUE: the request that was evicted, possibly REQUEST, or NULL. */
Request *request_queue_push (GsCore *core, Request *request);
/* Removes the next request to serve. RETURN VALUE: false when the queue is empty. */
bool request_queue_pop (PoolState *state, GsFairEntry *entry);
void request_queue_remove (Request *request);

/* request.c */
void request_arrive (GsCore *core, const GsRequestEvent *event);
void request_dispatch (GsCore *core, Request *request);
void
request_forward_to (GsCore *core, Request *request, const GsMemberInfo *member, bool with_permit);
void request_answer_started (GsCore *core, uint64_t id);
void request_attempt_end (GsCore *core, const GsAttemptEndEvent *event);
void request_caller_disconnected (GsCore *core, uint64_t id);
void request_reject (GsCore *core,
                     Request *request,
                     GsVerdict verdict,
                     uint16_t status,
                     const char *reason);
void request_send_cached_answer (GsCore *core, Request *request);
void request_serve_queue (GsCore *core, PoolState *state);
void request_tick (GsCore *core);
void request_stop (GsCore *core);
Request *request_find (GsCore *core, uint64_t id);

GsVerdict request_verdict (const Request *request);
void request_remove (GsCore *core, Request *request);
void request_fail (GsCore *core, Request *request, uint16_t status, const char *reason);
void request_send_answer (GsCore *core, Request *request, GsOutcome outcome);
Attempt *
request_start_attempt (GsCore *core, Request *request, uint64_t target_key, const char *target);
GsAttemptEffect *
request_emit_attempt (GsCore *core, const Request *request, const Attempt *attempt);
bool request_was_tried (const Request *request, uint64_t key);
uint16_t request_failure_status (GsOutcome outcome);

/* request_access.c */
GsCredential request_credential (const GsRequestEvent *event, const GsRoute *route);
/* Checks an arriving request and counts a refusal. */
GsAccess request_check_access (GsCore *core, const GsRequestEvent *event, const GsRoute *route);
/* RETURN VALUE: HTTP status of a request refused by VERDICT that has not run. */
uint16_t request_access_status (GsAccessVerdict verdict);
void request_set_workspace (Request *request, const GsWorkspaceRow *row);
/* Checks REQUEST again by the tables in force, whose row of its workspace it gets. To be called
 * before anything is begun for it anew. */
GsAccessVerdict request_renew_access (GsCore *core, Request *request);
/* Ends REQUEST, which waits for no attempt, as its key is no longer valid. */
void request_end_access (GsCore *core, Request *request, GsAccessVerdict verdict);
void request_access_tables_changed (GsCore *core);

/* registry_link.c */
void
registry_link_receive (GsCore *core, const GsRegistryUpdate *update, const GsPeerAddress *from);
/* Key of the ranks of the store's readers. */
uint64_t registry_link_readers_key (void);

/* scheduling.c */
void scheduling_request_slot (GsCore *core, Request *request);
void scheduling_cancel_slot_request (GsCore *core, Request *request);
void scheduling_renew_slot_request (GsCore *core, Request *request);
void scheduling_attempt_late (GsCore *core, uint64_t attempt);
void scheduling_withdraw_replacement (GsCore *core, Request *request, const Attempt *late_attempt);
void scheduling_attempt_end (GsCore *core,
                             Request *request,
                             const Attempt *attempt,
                             const GsAttemptEndEvent *event);
void scheduling_receive_slot_request (GsCore *core,
                                      uint64_t pool,
                                      const GsSlotRequest *slot_request,
                                      const GsPeerAddress *from);
void
scheduling_receive_slot_reply (GsCore *core, const GsSlotReply *reply, const GsPeerAddress *from);
void scheduling_receive_slot_result (GsCore *core, uint64_t pool, const GsSlotResult *result);
void scheduling_receive_retry_account (GsCore *core,
                                       uint64_t pool,
                                       uint64_t origin,
                                       const GsRetryAccount *account);
void scheduling_tables_changed (GsCore *core);
void scheduling_sync_upstreams (GsCore *core);
void scheduling_tick (GsCore *core);
/* Passes a slot request to the pool's scheduler at this daemon. */
void scheduling_submit (GsCore *core, PoolState *state, const GsSlotRequest *slot_request);

/* quota_link.c */
void quota_free (GsCore *core);
void quota_tables_changed (GsCore *core);
GsAdmission *quota_new_admission (GsCore *core, PoolState *state);
/* Applies the quota to a request that this daemon serves itself. RETURN VALUE: false when the
 * request was refused or waits. */
bool quota_admit_request (GsCore *core, Request *request);
void quota_request_started (GsCore *core, Request *request);
void quota_request_removed (GsCore *core, const Request *request);
void quota_receive_report (GsCore *core, const GsQuotaReport *report, const GsPeerAddress *from);
void quota_receive_reply (GsCore *core, const GsQuotaReply *reply);
/* Sends reports that cannot wait for the next tick. */
void quota_after_event (GsCore *core);
void quota_tick (GsCore *core);
/* RETURN VALUE: the share of the rates that this daemon's side of the fleet may use; 1 without
 * limits. */
double quota_share (const GsCore *core);
/* RETURN VALUE: INTERVAL_US, or less if quotas need an earlier tick. */
int64_t quota_next_tick_us (const GsCore *core, int64_t interval_us);

/* Fills MEMBER with the first of the first N_HOMES homes that is reachable and did not time out for
 * REQUEST; NULL: this daemon. RETURN VALUE: false if there is none. */
bool scheduling_pick_home (GsCore *core,
                           const Request *request,
                           PoolState *state,
                           uint32_t n_homes,
                           const GsMemberInfo **member);
/* Returns the scheduler of a pool or slice at this daemon; creates it at the first call. */
GsScheduler *scheduling_get_scheduler (GsCore *core, PoolState *state);

/* slice_link.c */
/* RETURN VALUE: the pool of which STATE is a slice, or STATE. */
PoolState *slice_whole (PoolState *state);
/* RETURN VALUE: whether the pool of STATE is scheduled by slice. */
bool slice_is_used (GsCore *core, PoolState *state);
/* RETURN VALUE: whether the upstreams of STATE must be set again; true once for each division. */
bool slice_division_changed (GsCore *core, PoolState *state);
/* RETURN VALUE: whether an upstream of the pool belongs to STATE; always for the pool itself. */
bool slice_has_upstream (const PoolState *state, const GsRegistration *registration);
/* RETURN VALUE: part of the pool's retry slack that the first home of STATE has. */
double slice_slack_share (GsCore *core, PoolState *state);
/* RETURN VALUE: the slice with KEY, or NULL. */
PoolState *slice_find (GsCore *core, uint64_t key);
void slice_refresh_homes (GsCore *core, PoolState *state);
/* Sets the slice from which REQUEST gets its slot. RETURN VALUE: whom to ask; NULL: this daemon. */
const GsMemberInfo *slice_pick_scheduler (GsCore *core, Request *request);
/* Passes a slot request to the scheduler of STATE here, which may redirect it. */
void slice_request (GsCore *core, PoolState *state, const GsSlotRequest *slot_request);
/* Notes where REQUEST was redirected; a slot has to be requested anew. */
void slice_apply_redirect (GsCore *core, Request *request, const GsSlotReply *reply);
void slice_receive_summary (GsCore *core, const GsSliceSummary *summary);
void slice_tick (GsCore *core);

/* notice.c */
/* Handles a report that an upstream leaves. RETURN VALUE: false if the upstream is one of the
 * tables, whose pools keep its state. */
bool notice_leaving (GsCore *core, const GsUpstreamReport *report);
/* Records that the upstream of ATTEMPT wants no requests from here for QUIET_MS; 0: not stated. */
void notice_quiet (GsCore *core, const Attempt *attempt, uint32_t quiet_ms);
/* RETURN VALUE: time until the upstream with key UPSTREAM wants requests again. */
int64_t notice_quiet_left_us (const GsCore *core, uint64_t upstream);
/* RETURN VALUE: delay after which a refused caller may return to an upstream that is quiet for
 * QUIET_US more, spread at random; 0 if it is not quiet. */
uint32_t notice_retry_after_ms (GsCore *core, int64_t quiet_us);
void notice_tick (GsCore *core);

/* permit.c */
void permit_redeem (GsCore *core, Request *request);
void permit_holder_failed (GsCore *core, Request *request, GsOutcome outcome);
bool permit_release (GsCore *core, Request *request, const char *reason);
void permit_request_answered (GsCore *core, Request *request);
void
permit_apply_record (GsCore *core, uint32_t partition, const GsClaimRecord *record, int64_t log_ms);
void permit_set_coverage (GsCore *core,
                          uint32_t partition,
                          uint64_t era,
                          int64_t from_ms,
                          int64_t log_now_ms,
                          int64_t retention_ms);
void permit_partition_caught_up (GsCore *core, uint32_t partition);
void permit_append_failed (GsCore *core, uint64_t claim, bool certain);
void permit_deadline_passed (GsCore *core, Request *request);

#endif
