/**
 * NAME
 *   pool - upstream selection, ejection and recovery for one pool at one of its homes
 *
 * SYNOPSIS
 *   GsPool *pool = gs_pool_new (&(GsPoolOptions){ .row = row, .now_us = now_us });
 *   int upstream
 *       = gs_pool_select (pool, &(GsPoolSelectOptions){ .now_us = now_us, .random = &random });
 *   gs_pool_begin_attempt (pool, upstream);
 *   gs_pool_end_attempt (pool, upstream,
 *                        &(GsAttemptResult){ .now_us = now_us, .outcome = GS_OUTCOME_OK });
 *
 * DESCRIPTION
 *   Holds what one daemon knows about a pool's upstreams. An upstream is in rotation while it is
 * healthy or warming. Ejection is refused when it would leave fewer upstreams in rotation than the
 * floor. When leaving upstreams take the rotation below the floor, ejected upstreams are returned
 * to it, the one with the least evidence against it first. An ejected upstream recovers through a
 * trial: it receives one request at a time until the detector clears it. Pure: no I/O, no clock.
 * Tested by test/unit/test_pool.c and test/property/prop_core.cpp.
 */
#ifndef GS_POOL_H
#define GS_POOL_H

#include "detector.h"
#include "table.h"

/** The platform's list may still show a leaving upstream as live for this long. */
#define GS_PLATFORM_LIST_LAG_US (60 * GS_US_PER_S)

typedef enum
{
  GS_UPSTREAM_HEALTHY = 0,
  GS_UPSTREAM_WARMING, /**< in rotation with a growing share of its slots */
  GS_UPSTREAM_EJECTED,
  GS_UPSTREAM_TRIAL,   /**< ejected, but receives one request at a time as a test */
  GS_UPSTREAM_LEAVING, /**< receives no new requests */
} GsUpstreamState;

/** State of an upstream, for decision lines and the administration API. */
typedef struct
{
  const char *id;
  const char *reason; /**< static text */
  uint32_t ipv4;
  uint16_t port;
  GsUpstreamState state;
  uint32_t outstanding;
  double score_nats;
  int64_t latency_us;
} GsUpstreamView;

/** A change of an upstream's state, for the log. */
typedef struct
{
  uint16_t upstream;
  GsUpstreamState from;
  GsUpstreamState to;
  const char *reason; /**< static text */
  double score_nats;
} GsPoolChange;

enum
{
  GS_POOL_CHANGES_MAX = 64, /**< changes stored between two calls of gs_pool_take_changes */
  GS_POOL_UPSTREAMS_MAX = 512,
  GS_POOL_TRIED_MAX = 4, /**< upstreams that a selection can exclude as already tried */
  GS_POOL_PEERS_MAX = 16,
};

/** Construction options. */
typedef struct
{
  const GsPoolRow *row;                  /**< copied */
  const GsDetectorClass *detector_class; /**< NULL: the sequential test */
  double threshold;                      /**< nats; 0: from the pool's cost */
  int64_t now_us;
  bool cold_start; /**< true when this daemon has no history of the upstreams yet */
} GsPoolOptions;

/** Constraints on the selection of an upstream. */
typedef struct
{
  int64_t now_us;
  GsRandom *random;
  GsRepeat repeat;
  uint16_t tried[GS_POOL_TRIED_MAX];
  uint8_t n_tried;
} GsPoolSelectOptions;

/** How an attempt at an upstream ended. */
typedef struct
{
  int64_t now_us;
  int64_t answer_us; /**< time to the first byte of the answer */
  int64_t sent_us;
  GsOutcome outcome;
  bool overdue_counted; /**< true when the attempt was already reported as overdue */
  bool late_counted;    /**< true when the attempt was already reported as late */
  bool request_suspect; /**< true when the request is suspected instead of the upstream */
} GsAttemptResult;

typedef struct GsPool GsPool;

GsPool *gs_pool_new (const GsPoolOptions *options);
void gs_pool_free (GsPool *pool);

/** Applies an edited ROW; upstreams that remain in the pool keep their history. */
void gs_pool_update (GsPool *pool, const GsPoolRow *row, int64_t now_us);

/** RETURN VALUE: index of the upstream with the least expected wait and a free slot, or -1. */
int gs_pool_select (GsPool *pool, const GsPoolSelectOptions *options);

/** Excludes UPSTREAM from selection until UNTIL_US, as it asked. */
void gs_pool_set_quiet (GsPool *pool, uint16_t upstream, int64_t until_us);

/** RETURN VALUE: time until the first upstream in rotation is no longer quiet; 0 when one is not,
 * or none is in rotation. */
int64_t gs_pool_quiet_left_us (const GsPool *pool, int64_t now_us);

/** Counts an attempt that starts at UPSTREAM. */
void gs_pool_begin_attempt (GsPool *pool, uint16_t upstream);

/**
 * Records how an attempt at UPSTREAM ended; ejects the upstream when the evidence reaches the
 * threshold.
 */
void gs_pool_end_attempt (GsPool *pool, uint16_t upstream, const GsAttemptResult *result);

/**
 * Reports that an attempt, sent at SENT_US, has been running much longer than the pool's answers
 * take. It is counted as a failure of the upstream only if it was sent on a connection known to be
 * fresh.
 *
 * RETURN VALUE: true when the reused connections to the upstream must be closed first, so that
 * later attempts test the upstream on fresh ones.
 */
bool gs_pool_report_overdue (GsPool *pool, uint16_t upstream, int64_t sent_us, int64_t now_us);

/**
 * Counts the age of a running attempt as if it were its answer time. Only a few such ages count
 * between two answers of an upstream, so that connections that went silent at the same time cannot
 * eject it.
 */
void gs_pool_report_late (GsPool *pool, uint16_t upstream, int64_t age_us, int64_t now_us);

/** RETURN VALUE: age in microseconds at which a running attempt is late. */
int64_t gs_pool_late_age_us (const GsPool *pool);

/** RETURN VALUE: age in microseconds at which a running attempt is overdue. */
int64_t gs_pool_overdue_age_us (const GsPool *pool);

/** Marks the upstream with id ID as leaving. RETURN VALUE: true when it was not leaving before. */
bool gs_pool_mark_leaving (GsPool *pool, const char *id, int64_t now_us);

/**
 * Handles that the platform's list shows ID as live. The list lags, so a more recent report that
 * the upstream is leaving takes precedence; an upstream reported longer ago returns through a
 * trial.
 */
void gs_pool_mark_listed_live (GsPool *pool, const char *id, int64_t now_us);

/** RETURN VALUE: a key that identifies UPSTREAM even after an edit has changed its index. */
uint64_t gs_pool_upstream_key (const GsPool *pool, uint16_t upstream);

/** RETURN VALUE: index of the upstream with KEY, or -1 when an edit has removed it. */
int gs_pool_find_key (const GsPool *pool, uint64_t key);

/**
 * Stores the evidence, in nats, that the home PEER has against the upstream ID. It expires after
 * 200 ms.
 */
void gs_pool_add_peer_evidence (GsPool *pool,
                                uint16_t peer,
                                const char *id,
                                int alternative,
                                double score_nats,
                                int64_t now_us);

/** RETURN VALUE: number of the alternative hypothesis with the most evidence against UPSTREAM. */
int gs_pool_alternative (const GsPool *pool, uint16_t upstream);

/** Performs state changes that are due: start of a trial, end of warm-up, return to the floor. */
void gs_pool_tick (GsPool *pool, int64_t now_us);

/** Sets the number of homes that share the pool. */
void gs_pool_set_home_count (GsPool *pool, uint8_t n_homes);

/** RETURN VALUE: requests that this home may have in flight at the pool's upstreams. */
uint32_t gs_pool_concurrency_limit (const GsPool *pool);

/** RETURN VALUE: requests that this home has in flight at the pool's upstreams. */
uint32_t gs_pool_outstanding (const GsPool *pool);

/** RETURN VALUE: moving average of the answer times, in microseconds. */
int64_t gs_pool_latency_us (const GsPool *pool);

/** RETURN VALUE: number of upstreams in rotation. */
uint16_t gs_pool_in_rotation (const GsPool *pool);

/** RETURN VALUE: smallest number of upstreams in rotation that ejection may leave. */
uint16_t gs_pool_floor (const GsPool *pool);

uint16_t gs_pool_size (const GsPool *pool);
const char *gs_pool_name (const GsPool *pool);

/** Fills VIEW with the state of UPSTREAM. */
void gs_pool_view (const GsPool *pool, uint16_t upstream, GsUpstreamView *view);

/** RETURN VALUE: index of the upstream with id ID, or -1. */
int gs_pool_find (const GsPool *pool, const char *id);

/** Moves at most MAX pending changes to CHANGES and drops the rest. RETURN VALUE: how many. */
uint32_t gs_pool_take_changes (GsPool *pool, GsPoolChange *changes, uint32_t max);

/** RETURN VALUE: static text of STATE. */
const char *gs_upstream_state_name (GsUpstreamState state);

#endif
