/**
 * NAME
 *   placer - gives the slots of one pool to the requests of the whole fleet
 *
 * SYNOPSIS
 *   GsScheduler *placer = gs_scheduler_new (&options);
 *   gs_scheduler_set_upstream (placer, &registration, GS_REGISTERED_SERVING, now_us);
 *   gs_scheduler_request (placer, &ask, now_us);
 *   while (gs_scheduler_next_reply (placer, &reply))
 *     send (&reply);
 *   gs_scheduler_release (placer, &end, now_us);
 *
 * DESCRIPTION
 *   The home of a pool runs its placer. Every daemon asks it for a slot before it sends a request
 * to an upstream of the pool, and tells it how the attempt ended. So slots are counted exactly, the
 * few answers that a fault leaves behind meet in one place, and repeats draw on one budget. An ask
 * is named by its origin and token; asking again is harmless and repeats the reply.
 *
 *   A slot goes to the upstream with the least expected loss: the probability that it fails at the
 * moment (belief.h), what the request loses by that, and how full the upstream is. Requests that
 * may run twice are placed more boldly, which is how the beliefs stay fresh. Without an acceptable
 * slot a request waits, the more urgent first; where an answer in time is unlikely it is refused at
 * once, with the time after which a slot should be free.
 *
 *   The placer is not needed for safety: when two daemons both hold themselves to be the home,
 * slots collide until one gives way. Pure: no I/O, no clock. Tested by test/unit/test_placer.c,
 * test/property/prop_placer.cpp and test/unit/test_load.c.
 */
#ifndef GS_SCHEDULER_H
#define GS_SCHEDULER_H

#include "belief.h"
#include "registry.h"
#include "repeats.h"

enum
{
  GS_SLOT_TRIED_MAX = 4,        /**< upstreams that an ask may name as tried */
  GS_SLOT_REQUEST_ID_MAX = 32,  /**< bytes of a request's id in log lines */
  GS_SCHEDULER_QUEUE_MAX = 512, /**< asks that wait in one pool */
};

/** Asks for a slot. */
typedef struct
{
  uint64_t origin;                             /**< hash of the asking daemon and its incarnation */
  uint64_t token;                              /**< number of the ask at its origin */
  uint64_t domain;                             /**< hash of the origin's failure domain */
  uint64_t flow;                               /**< hash of the route: requests of like duration */
  uint64_t fingerprint;                        /**< of the request's content */
  char request_id[GS_SLOT_REQUEST_ID_MAX + 1]; /**< the request's id, for log lines */
  GsRepeat repeat;
  uint8_t priority;  /**< 0 is the most urgent */
  bool is_retry;     /**< the request has reached an upstream before */
  bool last_attempt; /**< the request may not be sent anywhere after this */
  uint64_t
      replaced_grant; /**< grant of the request's late attempt, which a new one ends; 0: none */
  uint8_t n_tried;
  uint64_t tried[GS_SLOT_TRIED_MAX]; /**< keys of upstreams that are not wanted */
  int64_t deadline_us;               /**< an answer later than this is worth nothing */
  int64_t target_us;                 /**< an answer until then is worth most */
} GsSlotRequest;

typedef enum
{
  GS_SLOT_GRANTED = 0,
  GS_SLOT_QUEUED, /**< no slot yet; the ask keeps its place while it is repeated */
  GS_SLOT_REFUSED,
} GsSlotVerdict;

/** Answer to an ask. */
typedef struct
{
  uint64_t origin;
  uint64_t token;
  GsSlotVerdict verdict;
  const char *reason;      /**< static text */
  uint32_t retry_after_ms; /**< refused: when a slot should be free; 0: unknown */
  uint64_t grant;          /**< granted: number of the slot's use */
  uint64_t upstream;       /**< granted: key */
  char upstream_id[GS_NAME_MAX + 1];
  uint32_t ipv4; /**< host byte order */
  uint16_t port;
  int64_t attempt_timeout_us; /**< granted: how long to wait for this attempt */
  uint32_t failing_ppm;       /**< belief that decided */
  uint32_t evidence_age_ms;   /**< age of the newest observation of the upstream */
  uint16_t outstanding;       /**< requests at the upstream, this one included */
  uint16_t queue_length;      /**< asks that wait in the pool */
  int64_t waited_us;
} GsSlotReply;

/** How a granted attempt ended, or that an ask is not wanted any more. */
typedef struct
{
  uint64_t origin;
  uint64_t token;
  uint64_t grant;    /**< 0: the ask was not granted as far as its origin knows */
  uint64_t upstream; /**< key */
  uint64_t flow;
  GsOutcome outcome;
  int64_t answer_us; /**< time to the whole answer */
  uint32_t bytes;    /**< of the bodies of request and answer */
  bool has_load;     /**< the answer told the upstream's load */
  uint16_t running;  /**< requests that the upstream works on */
  uint16_t waiting;  /**< requests that wait at the upstream */
} GsSlotResult;

/** Construction options. */
typedef struct
{
  const char *pool; /**< copied */
  uint64_t seed;
  GsRepeatBudget budget;
} GsSchedulerOptions;

/** A change of belief that is worth a log line. */
typedef struct
{
  char upstream_id[GS_NAME_MAX + 1];
  bool failing; /**< avoided from now on, or used again */
  uint32_t failing_ppm;
  GsOutcome outcome; /**< that decided */
  bool by_age;       /**< a running attempt decided by its age */
} GsBeliefChange;

/** State of one upstream, for log lines and the administration API. */
typedef struct
{
  const char *id;
  GsRegisteredState state;
  uint32_t outstanding;
  uint16_t slots;
  uint32_t failing_ppm;
  int64_t evidence_age_us;
} GsScheduledUpstream;

typedef struct GsScheduler GsScheduler;

GsScheduler *gs_scheduler_new (const GsSchedulerOptions *options);
void gs_scheduler_free (GsScheduler *placer);

/** Sets the repeats that this placer may allow beyond the share of its requests: what all placers
 * of the pool may allow together is one slack. */
void gs_scheduler_set_retry_slack (GsScheduler *placer, uint32_t slack);

/** Begins an update of the upstreams; those not set before gs_scheduler_end_update are dropped. */
void gs_scheduler_begin_update (GsScheduler *placer);
void gs_scheduler_set_upstream (GsScheduler *placer,
                                const GsRegistration *registration,
                                GsRegisteredState state,
                                int64_t read_us,
                                int64_t now_us);
void gs_scheduler_end_update (GsScheduler *placer, int64_t now_us);

/** Takes ASK in. Its reply, at once or later, comes from gs_scheduler_next_reply. */
void gs_scheduler_request (GsScheduler *placer, const GsSlotRequest *ask, int64_t now_us);

/** Takes END in, of a grant of this placer or of another one. */
void gs_scheduler_release (GsScheduler *placer, const GsSlotResult *end, int64_t now_us);

/** Judges running attempts by their age, places and refuses waiting asks. */
void gs_scheduler_tick (GsScheduler *placer, int64_t now_us);

/** RETURN VALUE: true and REPLY, or false when all replies were taken. */
bool gs_scheduler_next_reply (GsScheduler *placer, GsSlotReply *reply);

/** RETURN VALUE: true and CHANGE, or false when all changes were taken. */
bool gs_scheduler_next_belief_change (GsScheduler *placer, GsBeliefChange *change);

/** Fills ACCOUNT with the repeats that this placer allowed, for the pool's homes. RETURN VALUE:
 * false when there were none in the last window. */
bool gs_scheduler_report_retries (GsScheduler *placer, int64_t now_us, GsRepeatsAccount *account);

/** Takes the ACCOUNT of another placer of the pool, ORIGIN. */
void gs_scheduler_apply_retries (GsScheduler *placer,
                                 uint64_t origin,
                                 const GsRepeatsAccount *account,
                                 int64_t now_us);

/** RETURN VALUE: true and VIEW when repeats were refused for want of budget; once a second at most.
 */
bool gs_scheduler_next_budget_report (GsScheduler *placer, int64_t now_us, GsRepeatsView *view);

/** RETURN VALUE: asks that wait, and grants that have not ended. */
uint32_t gs_scheduler_queue_length (const GsScheduler *placer);
uint32_t gs_scheduler_outstanding (const GsScheduler *placer);

/** RETURN VALUE: upstreams that may get work. */
uint32_t gs_scheduler_usable_upstreams (const GsScheduler *placer);

/** Fills VIEW with the upstream at INDEX. RETURN VALUE: false beyond the last one. */
bool gs_scheduler_get_upstream (const GsScheduler *placer,
                                uint32_t index,
                                int64_t now_us,
                                GsScheduledUpstream *view);

/** RETURN VALUE: the static text that equals REASON, or "other". */
const char *gs_slot_reason (const char *reason);

#endif
