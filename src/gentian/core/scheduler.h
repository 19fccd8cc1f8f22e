/**
 * NAME
 *   scheduler - assigns the slots of one pool's upstreams to requests of the whole fleet
 *
 * SYNOPSIS
 *   GsScheduler *scheduler = gs_scheduler_new (&options);
 *   gs_scheduler_set_upstream (scheduler, &registration, GS_REGISTRATION_SERVING, now_us, now_us);
 *   gs_scheduler_request (scheduler, &request, now_us);
 *   while (gs_scheduler_next_reply (scheduler, &reply))
 *     send (&reply);
 *   gs_scheduler_release (scheduler, &result, now_us);
 *
 * DESCRIPTION
 *   The scheduler runs at the home of a pool. Every daemon requests a slot from it before it sends
 * a request to an upstream of the pool, and reports the result of the attempt. Slots are therefore
 * counted exactly, all evidence about an upstream is collected in one place although a fault leaves
 * only a few answers, and retries draw on one budget. A slot request is identified by its origin
 * and token; resending it is idempotent and returns the same reply.
 *
 *   A slot is taken at the upstream with the least expected loss. The loss combines the probability
 * that the upstream is failing (belief.h), the cost of a failure to the request, and how full the
 * upstream is. Requests that are safe to retry are sent to less certain upstreams, which keeps the
 * beliefs up to date. A request for which no acceptable slot is free is queued by priority. If it
 * is unlikely to be answered in time it is refused at once, with the time after which a slot should
 * be free.
 *
 *   By the option `placement`, upstreams are ranked by expected end (cost_model.h) in place of the
 * number of used slots, and queued requests of a priority by arrival and size.
 *
 *   An upstream that asked an origin to stay away for a while gets none of that origin's requests
 * until then. A request whose upstreams all asked so is refused unless one of them returns before
 * the request's target; the time that it is told spreads such requests over the upstreams' returns.
 *
 *   Safety does not depend on the scheduler: when two daemons both consider themselves the home of
 * a pool, they assign the same slots until one of them stops. Pure: no I/O, no clock. Tested by
 * test/unit/test_scheduler.c, test/property/prop_scheduler.cpp and test/unit/test_load.c.
 */
#ifndef GS_SCHEDULER_H
#define GS_SCHEDULER_H

#include "../cost/cost_model.h"
#include "belief.h"
#include "../slices/slices.h"
#include "lost_requests.h"
#include "registry.h"
#include "retry_budget.h"

enum
{
  GS_SLOT_TRIED_MAX = 4,        /**< upstreams that a slot request may list as tried */
  GS_SLOT_REQUEST_ID_MAX = 32,  /**< bytes of a request's id in log lines */
  GS_SCHEDULER_QUEUE_MAX = 512, /**< queued slot requests of one pool */
};

/** Requests a slot. */
typedef struct
{
  uint64_t origin;      /**< hash of the requesting daemon and its incarnation */
  uint64_t token;       /**< number of the slot request at its origin */
  uint64_t domain;      /**< hash of the origin's failure domain */
  uint64_t flow;        /**< hash of the route: its requests take similar times */
  uint64_t fingerprint; /**< of the request's content */
  uint64_t workspace;   /**< hash of the name of the caller's workspace; 0: none */
  uint64_t work_class;  /**< hash of what predicts the request's work within its flow; 0: unknown */
  uint32_t body_bytes;  /**< of the request's body */
  char request_id[GS_SLOT_REQUEST_ID_MAX + 1]; /**< for log lines */
  GsRepeat repeat;
  uint8_t priority; /**< the route's; 0 is the most urgent */
  /** the workspace's; compared before `priority`; 0 is the most urgent */
  uint8_t workspace_priority;
  bool is_retry;      /**< the request has reached an upstream before */
  bool last_attempt;  /**< the request may not be sent anywhere after this */
  bool is_renewed;    /**< in place of a grant that was returned unused, and counted then */
  bool is_redirected; /**< the home of another slice sent it here */
  bool counted;       /**< may have run before, and counts against its workspace's quota already */
  bool charged;       /**< not sent: GsAdmission admitted it within a quota */
  uint64_t replaced_grant; /**< of the late attempt that a new one ends; 0: none */
  uint8_t n_tried;
  uint64_t tried[GS_SLOT_TRIED_MAX]; /**< keys of upstreams to avoid */
  int64_t deadline_us;               /**< an answer later than this is useless */
  int64_t target_us;                 /**< an answer until then has its full value */
} GsSlotRequest;

typedef enum
{
  GS_SLOT_GRANTED = 0,
  GS_SLOT_QUEUED, /**< no slot yet; keeps its place in the queue while it is resent */
  GS_SLOT_REFUSED,
  GS_SLOT_REDIRECTED, /**< to be requested from the home of another slice of the pool */
} GsSlotVerdict;

/** Reply to a slot request. */
typedef struct
{
  uint64_t origin;
  uint64_t token;
  GsSlotVerdict verdict;
  const char *reason;      /**< static text */
  uint32_t retry_after_ms; /**< refused: when a slot should be free; 0: unknown */
  uint64_t grant;          /**< granted: number of the grant */
  uint64_t upstream;       /**< granted: key */
  uint64_t started_ms;     /**< granted: incarnation of the upstream */
  char upstream_id[GS_NAME_MAX + 1];
  uint32_t ipv4; /**< host byte order */
  uint16_t port;
  int64_t attempt_timeout_us; /**< granted: how long to wait for this attempt */
  uint32_t failing_ppm;       /**< belief on which the decision was based */
  uint32_t evidence_age_ms;   /**< age of the newest observation of the upstream */
  uint16_t outstanding;       /**< requests at the upstream, this one included */
  uint16_t queue_length;      /**< queued slot requests of the pool */
  int64_t waited_us;
  uint64_t slice; /**< redirected: hash of the slice's failure domain */
} GsSlotReply;

/** Result of a granted attempt, or cancellation of a slot request. */
typedef struct
{
  uint64_t origin;
  uint64_t token;
  uint64_t grant;    /**< 0: the origin has received no grant */
  uint64_t upstream; /**< key */
  uint64_t flow;
  GsOutcome outcome;
  int64_t answer_us; /**< time to the complete answer */
  uint32_t bytes;    /**< of the bodies of request and answer */
  bool has_load;     /**< the answer reported the upstream's load */
  uint16_t running;  /**< requests in progress at the upstream */
  uint16_t waiting;  /**< requests queued at the upstream */
  bool leaving;      /**< the upstream announced that it leaves */
  uint32_t quiet_ms; /**< the upstream wants no requests from the origin for so long */
} GsSlotResult;

/** Construction options. */
typedef struct
{
  const char *pool; /**< copied */
  uint64_t seed;
  GsRetryBudgetOptions budget;
  bool is_slice; /**< keeps losses for the schedulers of the pool's other slices */
  GsPlacement placement;
  uint64_t held_bytes_max; /**< request bytes at one upstream, placed by cost; 0: no bound */
} GsSchedulerOptions;

/** A change of belief to be logged. */
typedef struct
{
  char upstream_id[GS_NAME_MAX + 1];
  bool failing; /**< true: avoided from now on; false: used again */
  uint32_t failing_ppm;
  GsOutcome outcome; /**< that caused the change */
  bool by_age;       /**< caused by the age of a running attempt */
} GsBeliefChange;

/** State of one upstream, for log lines and the administration API. */
typedef struct
{
  const char *id;
  GsRegistrationState state;
  uint32_t outstanding;
  uint16_t slots;
  uint32_t failing_ppm;
  int64_t evidence_age_us;
} GsScheduledUpstream;

typedef enum
{
  GS_ADMISSION_UNLIMITED = 0, /**< no quota applies */
  GS_ADMISSION_ADMITTED,      /**< charged: `started` or `refund` follows */
  GS_ADMISSION_REFUSED,       /**< over its quota */
  GS_ADMISSION_HELD, /**< undecided; the admission passes it to gs_scheduler_request again */
} GsAdmissionVerdict;

typedef struct GsAdmission GsAdmission;

/** Decides whether requests that were not seen before may queue for a slot. */
typedef struct
{
  GsAdmissionVerdict (*admit) (GsAdmission *self,
                               const GsSlotRequest *request,
                               int64_t now_us,
                               uint32_t *retry_after_ms);
  /** The origin withdraws a request, which may be held. */
  void (*withdraw) (GsAdmission *self, uint64_t origin, uint64_t token);
  /** A charged request of WORKSPACE got a slot. */
  void (*started) (GsAdmission *self, uint64_t workspace);
  /** A charged request of WORKSPACE has not run; STARTED: although it had got a slot. */
  void (*refund) (GsAdmission *self, uint64_t workspace, bool started);
} GsAdmissionClass;

struct GsAdmission
{
  const GsAdmissionClass *klass;
};

typedef struct GsScheduler GsScheduler;

/** Sets the admission, which is not owned. Without one all requests are admitted. */
void gs_scheduler_set_admission (GsScheduler *scheduler, GsAdmission *admission);

GsScheduler *gs_scheduler_new (const GsSchedulerOptions *options);
void gs_scheduler_free (GsScheduler *scheduler);

/** Sets the number of retries that this scheduler may allow beyond the share of its requests. All
 * schedulers of a pool together have one slack. */
void gs_scheduler_set_retry_slack (GsScheduler *scheduler, uint32_t slack);

/** Sets the part of the pool that this scheduler has, the same for all slices: of
 * GS_SCHEDULER_QUEUE_MAX, and of the upstreams for the floor. */
void gs_scheduler_set_pool_share (GsScheduler *scheduler, double share);

/** Begins an update of the upstreams. Those not set before gs_scheduler_end_update are removed. */
void gs_scheduler_begin_update (GsScheduler *scheduler);
void gs_scheduler_set_upstream (GsScheduler *scheduler,
                                const GsRegistration *registration,
                                GsRegistrationState state,
                                int64_t read_us,
                                int64_t now_us);
void gs_scheduler_end_update (GsScheduler *scheduler, int64_t now_us);

/** Handles REQUEST. gs_scheduler_next_reply returns its reply, at once or later. */
void gs_scheduler_request (GsScheduler *scheduler, const GsSlotRequest *request, int64_t now_us);

/** The same; but if SLICE is not 0 and no acceptable slot is free, REQUEST is redirected there. Its
 * place in the queue is then free. RETURN VALUE: whether it was redirected. */
bool gs_scheduler_request_or_redirect (GsScheduler *scheduler,
                                       const GsSlotRequest *request,
                                       uint64_t slice,
                                       int64_t now_us);

/** Redirects REQUEST to SLICE whatever slots are free here. */
void gs_scheduler_redirect (GsScheduler *scheduler, const GsSlotRequest *request, uint64_t slice);

/** RETURN VALUE: whether REQUEST is queued here, or has a grant that has not ended. */
bool gs_scheduler_knows (const GsScheduler *scheduler, const GsSlotRequest *request);

/** RETURN VALUE: what the scheduler of a slice states to those of the other slices. */
GsSliceCapacity gs_scheduler_measure (GsScheduler *scheduler, int64_t now_us);

/** RETURN VALUE: true and LOSS, or false when there is nothing to tell the other slices. */
bool gs_scheduler_next_loss (GsScheduler *scheduler, GsLoss *loss);

/** Applies what the scheduler of another slice told. */
void gs_scheduler_apply_loss (GsScheduler *scheduler, const GsLoss *loss, int64_t now_us);

/** Handles RESULT, which may belong to a grant of another scheduler. */
void gs_scheduler_release (GsScheduler *scheduler, const GsSlotResult *result, int64_t now_us);

/** Updates beliefs by the age of running attempts, releases expired grants, and grants or refuses
 * queued requests. */
void gs_scheduler_tick (GsScheduler *scheduler, int64_t now_us);

/** RETURN VALUE: true and REPLY, or false when there are no more replies. */
bool gs_scheduler_next_reply (GsScheduler *scheduler, GsSlotReply *reply);

/** RETURN VALUE: true and CHANGE, or false when there are no more changes. */
bool gs_scheduler_next_belief_change (GsScheduler *scheduler, GsBeliefChange *change);

/** Fills ACCOUNT with the retries that this scheduler allowed, for the pool's homes. RETURN VALUE:
 * false when there were none in the last window. */
bool gs_scheduler_report_retries (GsScheduler *scheduler, int64_t now_us, GsRetryAccount *account);

/** Applies the ACCOUNT of another scheduler of the pool, ORIGIN. */
void gs_scheduler_apply_retries (GsScheduler *scheduler,
                                 uint64_t origin,
                                 const GsRetryAccount *account,
                                 int64_t now_us);

/** RETURN VALUE: true and VIEW when retries were refused because the budget was used up; at most
 * once a second. */
bool
gs_scheduler_next_budget_report (GsScheduler *scheduler, int64_t now_us, GsRetryBudgetView *view);

/** RETURN VALUE: true and REPORT when requests that were placed by cost have ended; at most once a
 * second. */
bool gs_scheduler_next_cost_report (GsScheduler *scheduler, int64_t now_us, GsCostReport *report);

/** RETURN VALUE: queued slot requests, and grants that have not ended. */
uint32_t gs_scheduler_queue_length (const GsScheduler *scheduler);
uint32_t gs_scheduler_outstanding (const GsScheduler *scheduler);

/** RETURN VALUE: number of searches for a free slot so far, each of which looks at all upstreams.
 */
uint64_t gs_scheduler_selections (const GsScheduler *scheduler);

/** RETURN VALUE: upstreams that may get work. */
uint32_t gs_scheduler_usable_upstreams (const GsScheduler *scheduler);

/** Fills UPSTREAM with the upstream at INDEX. RETURN VALUE: false beyond the last one. */
bool gs_scheduler_get_upstream (const GsScheduler *scheduler,
                                uint32_t index,
                                int64_t now_us,
                                GsScheduledUpstream *upstream);

/** RETURN VALUE: the static text that equals REASON, or "other". */
const char *gs_slot_reason (const char *reason);

#endif
