/**
 * NAME
 *   lab - the reducers of a whole fleet against modelled pools, in virtual time
 *
 * SYNOPSIS
 *   LabOptions options = { .n_daemons = 32, .seed = 7, .length_s = 30 };
 *   lab_add_pool (&options, &pool);
 *   lab_add_kind (&options, &kind);
 *   LabResult result = lab_run (&options);
 *
 * DESCRIPTION
 *   Every daemon is a real GsCore; messages between them take the time of a link, and callers,
 * backend servers and their faults are models. No network, no clock, one thread: the same options
 * give the same result. Used by the tests of load patterns and by bench/bench_load.c.
 *
 *   Callers ask any ready daemon of their failure domain, come again when told to, and repeat what
 * may be repeated, as the platform's callers do.
 */
#ifndef LAB_H
#define LAB_H

#include "../../src/gentian/core/core.h"

enum
{
  LAB_POOLS_MAX = 8,
  LAB_KINDS_MAX = 8,
  LAB_FAULTS_MAX = 32,
  LAB_DOMAINS = 3,
};

/** Backend servers of one pool. */
typedef struct
{
  const char *name;
  uint16_t n_upstreams;
  uint16_t slots;
  uint16_t queue;     /**< requests that wait at one before it refuses */
  double noise_share; /**< part of the phases in which one fails requests at once */
  double noise_s;     /**< length of a phase */
  double noise_fails; /**< part of the requests that fail in it */
} LabPool;

/** Requests of one kind. */
typedef struct
{
  const char *name;
  const char *pool;
  const char *other_pool; /**< the other part of a split; NULL: none */
  uint16_t other_weight;  /**< per cent of the requests that go there */
  GsRepeat repeat;
  uint8_t priority;
  double per_s;
  double work_ms; /**< mean */
  double spread;  /**< sigma of the logarithm */
  double error_share;
  uint32_t target_ms;
  uint32_t deadline_ms;
  double worth;
  double late_worth;
  uint8_t one_daemon; /**< 1: all callers use the first daemon of their domain */
} LabKind;

typedef enum
{
  LAB_FAULT_RESET = 0, /**< part `x` of the requests is lost at once */
  LAB_FAULT_ERRORS,    /**< part `x` is answered with an error */
  LAB_FAULT_HANG,      /**< part `x` is never answered */
  LAB_FAULT_SHED,      /**< part `x` is refused at once */
  LAB_FAULT_SLOW,      /**< work takes `x` times as long */
  LAB_FAULT_DOWN,      /**< accepts no connections */
  LAB_FAULT_PATH,      /**< unreachable for the daemons of domain 0 */
  LAB_FAULT_JOIN,      /**< registers only at `from_s`, cold */
  LAB_FAULT_LEAVE,     /**< says that it leaves at `from_s` */
  LAB_FAULT_KILL,      /**< `upstream` is a daemon: it vanishes, and its callers with it */
  LAB_FAULT_BURST,     /**< load times `x`; pool and upstream do not count */
  LAB_FAULT_START,     /**< `upstream` is a daemon: it starts only at `from_s` */
  LAB_FAULT_DEAF,      /**< part `x` of the pairs of daemons lose what they tell of slots */
} LabFaultKind;

typedef struct
{
  LabFaultKind kind;
  uint16_t pool;
  uint16_t first; /**< first upstream, or daemon */
  uint16_t count;
  double from_s;
  double to_s;
  double x;
} LabFault;

typedef struct
{
  uint32_t n_daemons;
  uint64_t seed;
  double length_s;
  double load; /**< factor on all rates; 0: 1 */
  LabPool pools[LAB_POOLS_MAX];
  uint32_t n_pools;
  LabKind kinds[LAB_KINDS_MAX];
  uint32_t n_kinds;
  LabFault faults[LAB_FAULTS_MAX];
  uint32_t n_faults;
} LabOptions;

/** What callers of one kind got. */
typedef struct
{
  uint32_t asked;
  uint32_t in_target;
  uint32_t late;
  uint32_t refused; /**< ended as not run */
  uint32_t failed;
  double credit;
  double owed;
  int64_t wait_us; /**< sum over served requests of the time beyond the work itself */
} LabKindResult;

typedef struct
{
  LabKindResult kinds[LAB_KINDS_MAX];
  LabKindResult all;
  uint32_t attempts;   /**< that reached an upstream */
  uint32_t repeats;    /**< of these, beyond the first of a caller's attempt */
  uint32_t collisions; /**< met a full upstream while another of the pool had a free slot */
  uint32_t lost;       /**< hit by a fault or noise */
  uint32_t at_faulty[LAB_FAULTS_MAX]; /**< attempts at the upstreams of a fault while it lasted */
  uint32_t to_pool[LAB_POOLS_MAX];    /**< attempts */
  uint32_t pool_asked[LAB_POOLS_MAX];
  uint32_t used[LAB_FAULTS_MAX]; /**< attempts at its upstreams at any time */
  uint32_t repeats_window_max;   /**< most repeats in ten seconds of one pool */
  int32_t repeats_over;          /**< most repeats beyond the budget in ten seconds of one pool;
                                    below 0: all are within it */
  uint32_t events;
  double cpu_us_per_request; /**< processor time of the reducers */
  uint32_t most_sends;       /**< of one caller's attempt */
  uint32_t ran_twice;        /**< requests that may run once and ran twice */
  double least_used; /**< least share of a pool's sound upstreams that got work in a span of 2 s */
  uint32_t idle_sound; /**< spans of 2 s in which under 0.7 of a pool's sound upstreams got
                            work, while a tenth to a half of its requests were not served */
} LabResult;

static inline void
lab_add_pool (LabOptions *options, const LabPool *pool)
{
  options->pools[options->n_pools++] = *pool;
}

static inline void
lab_add_kind (LabOptions *options, const LabKind *kind)
{
  options->kinds[options->n_kinds++] = *kind;
}

static inline void
lab_add_fault (LabOptions *options, const LabFault *fault)
{
  options->faults[options->n_faults++] = *fault;
}

/** Plays OPTIONS. RETURN VALUE: what came of it. */
LabResult lab_run (const LabOptions *options);

/** RETURN VALUE: share of the credit owed that was earned. */
static inline double
lab_worth (const LabKindResult *result)
{
  return result->owed > 0 ? result->credit / result->owed : 1;
}

/** RETURN VALUE: share of the requests that were served, also late. */
static inline double
lab_served (const LabKindResult *result)
{
  return result->asked > 0 ? (double)(result->in_target + result->late) / result->asked : 1;
}

#endif
