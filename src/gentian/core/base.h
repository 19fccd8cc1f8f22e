/**
 * NAME
 *   base - basic types of the reducer
 *
 * DESCRIPTION
 *   Verdicts, attempt outcomes, time units, hashing and random numbers. All times are microseconds
 * (`_us`) on the monotonic clock of the daemon unless a name says otherwise. This header includes
 * no library.
 */
#ifndef GS_BASE_H
#define GS_BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GS_US_PER_MS INT64_C (1000)
#define GS_US_PER_S INT64_C (1000000)

/** Longest name of a workspace, route, pool, upstream or instance, in bytes without the final NUL.
 */
#define GS_NAME_MAX 63

/** Longest name of a customer's workspace, in bytes without the final NUL. It is the value of a
 * header and names nothing on the wire between daemons, so it may be longer than other names. */
#define GS_WORKSPACE_NAME_MAX 255

/** Longest time for which an upstream's `Retry-After` is honoured. */
#define GS_QUIET_MAX_MS UINT32_C (60000)

/** Whether a request may have run at a backend server. Every error response carries it. */
typedef enum
{
  GS_VERDICT_NOT_RUN = 0,
  GS_VERDICT_MAY_HAVE_RUN = 1,
  GS_VERDICT_RAN = 2,
} GsVerdict;

/** Whether another instance is of this daemon's failure domain. */
typedef enum
{
  GS_DOMAIN_UNKNOWN = 0,
  GS_DOMAIN_SAME,
  GS_DOMAIN_OTHER,
  GS_DOMAIN_COUNT,
} GsDomainRelation;

/** How one attempt at an upstream (or at another daemon) ended. */
typedef enum
{
  GS_OUTCOME_OK = 0,      /**< complete answer with a status below 500 */
  GS_OUTCOME_ERROR,       /**< complete answer with a status of 500 or above; the request ran */
  GS_OUTCOME_REFUSED,     /**< refused, not run: the upstream sheds load */
  GS_OUTCOME_LEAVING,     /**< refused, not run: the upstream is leaving */
  GS_OUTCOME_MISDIRECTED, /**< refused, not run: another backend server has the address */
  GS_OUTCOME_UNREACHABLE, /**< no byte of the request was sent */
  GS_OUTCOME_CLOSED,      /**< connection lost after request bytes, before any answer byte */
  GS_OUTCOME_CRASHED,     /**< as CLOSED, and the upstream no longer accepts connections */
  GS_OUTCOME_TRUNCATED,   /**< connection lost in the middle of the answer */
  GS_OUTCOME_TIMEOUT,     /**< no answer in time on a connection opened for this attempt */
  GS_OUTCOME_SILENT,      /**< no answer in time on a reused connection */
  GS_OUTCOME_UNCERTAIN,   /**< complete answer of a daemon that does not know whether it ran */
  GS_OUTCOME_CANCELLED,   /**< the caller disconnected, or the attempt was no longer needed */
  GS_OUTCOME_STOPPED,     /**< this daemon stops and can wait for the answer no longer */
  GS_OUTCOME_COUNT,
} GsOutcome;

/** A route's rule on running a request more than once. */
typedef enum
{
  GS_REPEAT_SAFE = 0,  /**< idempotent: may be retried after it may have run */
  GS_REPEAT_ONCE = 1,  /**< retried only when it has not run */
  GS_REPEAT_NEVER = 2, /**< runs at most once, even when the caller sends it again */
} GsRepeat;

/** Which ejection error is more expensive for the pool: a false ejection or a missed detection. */
typedef enum
{
  GS_COST_BALANCED = 0,
  GS_COST_FALSE_EJECTION = 1, /**< preset of the Lahore deployment */
  GS_COST_DETECTION = 2,      /**< preset of the Norte deployment */
} GsCost;

/** RETURN VALUE: static text of a verdict as sent in `Gentian-Verdict`. */
const char *gs_verdict_name (GsVerdict verdict);

/** RETURN VALUE: static text of an outcome as written in decision lines. */
const char *gs_outcome_name (GsOutcome outcome);

/** RETURN VALUE: the verdict that follows from the OUTCOME of a single attempt. */
GsVerdict gs_outcome_verdict (GsOutcome outcome);

/** RETURN VALUE: VALUE with its bits mixed (SplitMix64 finalizer, Steele et al. 2014). */
uint64_t gs_mix64 (uint64_t value);

/** RETURN VALUE: hash of LENGTH bytes (xxHash64), the same on every daemon. */
uint64_t gs_hash_bytes (const void *bytes, size_t length, uint64_t seed);

/** RETURN VALUE: hash of a NUL-terminated string. */
uint64_t gs_hash_name (const char *name);

/** Seeded pseudorandom generator of the reducer (SplitMix64). */
typedef struct
{
  uint64_t state;
} GsRandom;

/** RETURN VALUE: the next 64 random bits of RANDOM. */
uint64_t gs_random_next (GsRandom *random);

/** RETURN VALUE: a value in [0, 1). */
double gs_random_unit (GsRandom *random);

#endif
