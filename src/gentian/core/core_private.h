/**
 * NAME
 *   core_private - state that the parts of the reducer share
 *
 * DESCRIPTION
 *   For core.c, request.c, right.c and effects.c only. core.c takes events apart, request.c follows
 * a request from arrival to answer, right.c handles tickets and claims, effects.c builds effects.
 */
#ifndef GS_CORE_PRIVATE_H
#define GS_CORE_PRIVATE_H

#include <glib.h>

#include "budget.h"
#include "core.h"
#include "crash.h"
#include "queue.h"

enum
{
  CORE_HOMES_MAX = 16 + GS_STANDBYS,
  CORE_ATTEMPTS_MAX = 3,          /* attempts of one request at one daemon */
  CORE_SILENT_SCHEDULERS_MAX = 2, /* placers that one request waits for in vain */
};

/* A pool at this daemon: with run-time state where it serves, without where it only forwards. */
typedef struct
{
  uint64_t key;
  char *workspace;
  char *name;
  GsPool *pool;            /* NULL until the daemon serves the pool */
  GsPlacer *placer;        /* the same for a pool whose upstreams register themselves */
  uint64_t registry_epoch; /* that the placer has seen */
  GsQueue *queue;
  GsBudget budget;
  uint32_t homes[CORE_HOMES_MAX]; /* active homes first, then standbys */
  uint32_t n_homes;
  uint32_t n_active;
  uint64_t homes_epoch;
  uint64_t homes_revision;
  bool is_home;           /* this daemon is an active home */
  int64_t first_since_us; /* when it became the first home; 0: it is not */
} PoolState;

typedef enum
{
  REQUEST_NEW = 0,
  REQUEST_WAITING_FOR_LOG, /* for its partition to be read, or its claim to be read back */
  REQUEST_QUEUED,
  REQUEST_AWAITING_SLOT, /* for a slot, at the pool's placer */
  REQUEST_RUNNING,
  REQUEST_RELEASING, /* did not run; its release is on its way to the log */
} RequestPhase;

typedef struct
{
  uint64_t id;
  uint64_t fingerprint;
  uint64_t flow;
  PoolState *pool;
  GsRepeat repeat;
  uint16_t weight;
  int64_t attempt_timeout_us;
  int64_t deadline_us;
  int64_t arrived_us;
  uint64_t tried[CORE_ATTEMPTS_MAX + 1]; /* upstream keys, or hashes of daemons' ids */
  uint8_t n_tried;
  uint8_t n_attempts;
  GsVerdict worst; /* gravest verdict of its attempts */
  bool hop;
  RequestPhase phase;
  GsPermit right;
  GsKey key;
  uint64_t claim;
  bool ticket_used;
  const char *reject_reason;
  char label[GS_PLACE_LABEL_MAX + 1];
  int64_t target_us;
  bool placed; /* its pool's placer gives the slots */
  uint32_t retry_after_ms;
  uint8_t priority;
  uint8_t max_sends;
  uint8_t n_sends;       /* attempts that may have run */
  bool arrived_upstream; /* an attempt reached an upstream, which may have refused it */
  bool holds_answer;     /* the last attempt's answer can still be passed on */
  uint64_t attempt;      /* the newest one; an older one may still be ended by the edge */
  uint64_t grant;        /* its slot */
  bool asking;           /* an ask is under way, also while an attempt runs late */
  uint64_t ask;          /* its token */
  uint64_t asked;        /* hash of the daemon that was asked; 0: this one */
  int64_t ask_due_us;    /* when its reply is overdue */
  int64_t ask_resend_us; /* when it is sent again without a reply; 0: not any more */
  bool ask_waits;        /* it said that there is no slot yet */
  uint64_t silent[CORE_SILENT_SCHEDULERS_MAX];
  uint8_t n_silent;
} Request;

typedef struct
{
  uint64_t id;
  uint64_t request;
  PoolState *pool;
  uint64_t upstream; /* key */
  uint64_t fingerprint;
  int64_t started_us;
  bool forward;
  bool counted;    /* as overdue */
  bool late;       /* its age was counted */
  bool began;      /* its answer is being passed on */
  bool with_right; /* forwarded with the request's right, to its holder */
  bool again;      /* the request had reached an upstream before */
  uint64_t grant;  /* of the placer; 0: this daemon chose by itself */
  uint64_t token;
  GsPeerAddress placer; /* zeros: this daemon */
  char target[GS_NAME_MAX + 1];
} Attempt;

/* A claim of this daemon that has not been read back. */
typedef struct
{
  uint64_t request;
  GsKey key;
} PendingClaim;

/* Last crash seen at an upstream. */
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
  GsFold *fold;
  GsMembers *members;
  GHashTable *pools;       /* key -> PoolState */
  GHashTable *requests;    /* id -> Request */
  GHashTable *attempts;    /* id -> Attempt */
  GHashTable *crash_sites; /* upstream key -> UpstreamCrash */
  GHashTable *leaving;     /* ids of upstreams that were said to leave -> time */
  GHashTable *own_claims;  /* claim -> PendingClaim, while it has not been read back */
  GHashTable *origins;     /* origin of asks -> GsPeerAddress */
  GsRegistry *registry;
  int64_t news_us;   /* last news of the registry */
  uint64_t told_all; /* position of registrations up to which all daemons were told from here */
  uint64_t origin;   /* names this daemon in asks */
  uint64_t next_ask;
  uint32_t n_asking;
  int64_t repeats_due_us; /* when the homes are told the accounts of repeats again */
  int64_t ticked_us;      /* last tick */
  int64_t tick_gap_us;    /* between the last two ticks: long when this daemon was held up */
  GsCrashes *crashes;
  GsTickets *tickets;
  GsClaims *claims[GS_CLAIM_PARTITIONS]; /* NULL until needed */
  uint64_t next_attempt;
  uint64_t next_claim;
  uint64_t next_crash;
  int64_t now_us;
  int64_t next_evidence_us;
  int64_t log_now_ms;
  uint64_t seen_epoch;
  uint64_t owned; /* partitions, as of owned_epoch */
  uint64_t owned_epoch;
  bool was_ready;
  bool stopping;
  GsEffects *effects; /* of the event being reduced */
};

/* effects.c */
GsEffect *core_add_effect (GsCore *core, GsEffectKind kind);
void core_log_event (GsCore *core, GsNotice number, const char *format, ...) G_GNUC_PRINTF (3, 4);

/* core.c */
PoolState *core_pool_state (GsCore *core, const GsPoolRow *row);
GsPool *core_serve_pool (GsCore *core, PoolState *state);
void core_refresh_homes (GsCore *core, PoolState *state);
void core_log_pool_changes (GsCore *core, PoolState *state);
GsPeerAddress core_peer_address (const GsMemberFact *fact);
void core_send_to_homes (GsCore *core, PoolState *state, const GsEffect *effect);

/* request.c */
void request_arrive (GsCore *core, const GsRequestEvent *event);
void request_dispatch (GsCore *core, Request *request);
void
request_forward_to (GsCore *core, Request *request, const GsMemberFact *member, bool with_right);
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
Request *request_find (GsCore *core, uint64_t id);

void request_remove (GsCore *core, Request *request);
void request_fail (GsCore *core, Request *request, uint16_t status, const char *reason);
void request_send_answer (GsCore *core, Request *request, GsOutcome outcome);
Attempt *
request_start_attempt (GsCore *core, Request *request, uint64_t target_key, const char *target);
GsAttemptEffect *
request_emit_attempt (GsCore *core, const Request *request, const Attempt *attempt);
bool request_was_tried (const Request *request, uint64_t key);
uint16_t request_failure_status (GsOutcome outcome);

/* placing.c */
void scheduling_request_slot (GsCore *core, Request *request);
void scheduling_cancel_slot_request (GsCore *core, Request *request);
void scheduling_attempt_late (GsCore *core, uint64_t attempt);
void scheduling_attempt_end (GsCore *core,
                             Request *request,
                             const Attempt *attempt,
                             const GsAttemptEndEvent *event);
void scheduling_receive_slot_request (GsCore *core,
                                      uint64_t pool,
                                      const GsPlaceAsk *ask,
                                      const GsPeerAddress *from);
void
scheduling_receive_slot_reply (GsCore *core, const GsPlaceReply *reply, const GsPeerAddress *from);
void scheduling_receive_slot_result (GsCore *core, uint64_t pool, const GsPlaceEnd *end);
void scheduling_receive_retry_account (GsCore *core,
                                       uint64_t pool,
                                       uint64_t origin,
                                       const GsRepeatsAccount *account);
void scheduling_receive_registry_update (GsCore *core,
                                         const GsRegistryUpdate *news,
                                         const GsPeerAddress *from);
void scheduling_tables_changed (GsCore *core);
void scheduling_tick (GsCore *core);

/* right.c */
void permit_begin (GsCore *core, Request *request);
void permit_holder_failed (GsCore *core, Request *request, GsOutcome outcome);
bool permit_not_run (GsCore *core, Request *request, const char *reason);
void permit_answered (GsCore *core, Request *request);
void
permit_apply_record (GsCore *core, uint32_t partition, const GsClaimRecord *record, int64_t log_ms);
void permit_set_coverage (GsCore *core,
                          uint32_t partition,
                          int64_t from_ms,
                          int64_t log_now_ms,
                          int64_t retention_ms);
void permit_caught_up (GsCore *core, uint32_t partition);
void permit_append_failed (GsCore *core, uint64_t claim, bool certain);
void permit_deadline (GsCore *core, Request *request);

#endif
