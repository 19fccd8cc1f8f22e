/**
 * NAME
 *   placer - gives the slots of one pool to the requests of the whole fleet
 *
 * SYNOPSIS
 *   GsPlacer *placer = gs_placer_new (&options);
 *   gs_placer_set_upstream (placer, &registration, GS_REGISTRATION_SERVING, now_us);
 *   gs_placer_ask (placer, &ask, now_us);
 *   while (gs_placer_next (placer, &reply))
 *     send (&reply);
 *   gs_placer_end (placer, &end, now_us);
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
#ifndef GS_PLACER_H
#define GS_PLACER_H

#include "belief.h"
#include "registry.h"
#include "repeats.h"

enum
{
  GS_PLACE_TRIED_MAX = 4,     /**< upstreams that an ask may name as tried */
  GS_PLACE_LABEL_MAX = 32,    /**< bytes of a request's id in log lines */
  GS_PLACE_WAITING_MAX = 512, /**< asks that wait in one pool */
};

/** Asks for a slot. */
typedef struct
{
  uint64_t origin;                    /**< hash of the asking daemon and its incarnation */
  uint64_t token;                     /**< number of the ask at its origin */
  uint64_t domain;                    /**< hash of the origin's failure domain */
  uint64_t flow;                      /**< hash of the route: requests of like duration */
  uint64_t fingerprint;               /**< of the request's content */
  char label[GS_PLACE_LABEL_MAX + 1]; /**< the request's id, for log lines */
  GsRepeat repeat;
  uint8_t priority; /**< 0 is the most urgent */
  bool again;       /**< the request has reached an upstream before */
  bool last;        /**< the request may not be sent anywhere after this */
  uint64_t running; /**< grant of the request's late attempt, which a new one ends; 0: none */
  uint8_t n_tried;
  uint64_t tried[GS_PLACE_TRIED_MAX]; /**< keys of upstreams that are not wanted */
  int64_t deadline_us;                /**< an answer later than this is worth nothing */
  int64_t target_us;                  /**< an answer until then is worth most */
} GsPlaceAsk;

typedef enum
{
  GS_PLACE_GRANTED = 0,
  GS_PLACE_WAITING, /**< no slot yet; the ask keeps its place while it is repeated */
  GS_PLACE_REFUSED,
} GsPlaceVerdict;

/** Answer to an ask. */
typedef struct
{
  uint64_t origin;
  uint64_t token;
  GsPlaceVerdict verdict;
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
  uint16_t waiting;           /**< asks that wait in the pool */
  int64_t waited_us;
} GsPlaceReply;

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
} GsPlaceEnd;

/** Construction options. */
typedef struct
{
  const char *pool; /**< copied */
  uint64_t seed;
  GsRepeatBudget budget;
} GsPlacerOptions;

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
  GsRegistrationState state;
  uint32_t outstanding;
  uint16_t slots;
  uint32_t failing_ppm;
  int64_t evidence_age_us;
} GsPlacerView;

typedef struct GsPlacer GsPlacer;

GsPlacer *gs_placer_new (const GsPlacerOptions *options);
void gs_placer_free (GsPlacer *placer);

/** Sets the repeats that this placer may allow beyond the share of its requests: what all placers
 * of the pool may allow together is one slack. */
void gs_placer_set_slack (GsPlacer *placer, uint32_t slack);

/** Begins an update of the upstreams; those not set before gs_placer_end_update are dropped. */
void gs_placer_begin_update (GsPlacer *placer);
void gs_placer_set_upstream (GsPlacer *placer,
                             const GsRegistration *registration,
                             GsRegistrationState state,
                             int64_t read_us,
                             int64_t now_us);
void gs_placer_end_update (GsPlacer *placer, int64_t now_us);

/** Takes ASK in. Its reply, at once or later, comes from gs_placer_next. */
void gs_placer_ask (GsPlacer *placer, const GsPlaceAsk *ask, int64_t now_us);

/** Takes END in, of a grant of this placer or of another one. */
void gs_placer_end (GsPlacer *placer, const GsPlaceEnd *end, int64_t now_us);

/** Judges running attempts by their age, places and refuses waiting asks. */
void gs_placer_tick (GsPlacer *placer, int64_t now_us);

/** RETURN VALUE: true and REPLY, or false when all replies were taken. */
bool gs_placer_next (GsPlacer *placer, GsPlaceReply *reply);

/** RETURN VALUE: true and CHANGE, or false when all changes were taken. */
bool gs_placer_next_change (GsPlacer *placer, GsBeliefChange *change);

/** Fills ACCOUNT with the repeats that this placer allowed, for the pool's homes. RETURN VALUE:
 * false when there were none in the last window. */
bool gs_placer_report_repeats (GsPlacer *placer, int64_t now_us, GsRepeatsAccount *account);

/** Takes the ACCOUNT of another placer of the pool, ORIGIN. */
void gs_placer_take_repeats (GsPlacer *placer,
                             uint64_t origin,
                             const GsRepeatsAccount *account,
                             int64_t now_us);

/** RETURN VALUE: true and VIEW when repeats were refused for want of budget; once a second at most.
 */
bool gs_placer_next_budget (GsPlacer *placer, int64_t now_us, GsRepeatsView *view);

/** RETURN VALUE: asks that wait, and grants that have not ended. */
uint32_t gs_placer_waiting (const GsPlacer *placer);
uint32_t gs_placer_outstanding (const GsPlacer *placer);

/** RETURN VALUE: upstreams that may get work. */
uint32_t gs_placer_usable (const GsPlacer *placer);

/** Fills VIEW with the upstream at INDEX. RETURN VALUE: false beyond the last one. */
bool gs_placer_view (const GsPlacer *placer, uint32_t index, int64_t now_us, GsPlacerView *view);

/** RETURN VALUE: the static text that equals REASON, or "other". */
const char *gs_place_reason (const char *reason);

#endif
