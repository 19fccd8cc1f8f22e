/**
 * NAME
 *   message - what daemons send each other about quotas
 *
 * DESCRIPTION
 *   A report goes from an enforcer to an account holder, a reply the other way. All counts are
 * cumulative within a session and wrap around, so a lost message costs nothing but time.
 */
#ifndef GS_QUOTA_MESSAGE_H
#define GS_QUOTA_MESSAGE_H

#include "../core/base.h"

enum
{
  GS_QUOTA_HOLDERS = 3,        /**< daemons that keep the account of a workspace */
  GS_QUOTA_ENTRIES_MAX = 4096, /**< workspaces in one message */
};

/** Options of a deployment, the same at all daemons. */
typedef struct
{
  int64_t window_us;
  uint32_t overshoot_ppm; /**< requests above the limit that a window may have, as a share of it */
  uint32_t slack;         /**< and in addition to that */
} GsQuotaOptions;

/** Limit of one workspace. */
typedef struct
{
  uint32_t rate_per_s; /**< 0: no limit */
  uint32_t burst;
} GsQuotaLimit;

/** RETURN VALUE: requests that a window may have without any overshoot. */
static inline double
gs_quota_nominal (const GsQuotaOptions *options, const GsQuotaLimit *limit)
{
  return limit->rate_per_s * ((double)options->window_us / (double)GS_US_PER_S) + limit->burst;
}

/** RETURN VALUE: requests that it may have beyond that. */
static inline double
gs_quota_overshoot (const GsQuotaOptions *options, const GsQuotaLimit *limit)
{
  return gs_quota_nominal (options, limit) * options->overshoot_ppm / 1e6 + options->slack;
}

/** RETURN VALUE: COUNT - BEFORE of counts that wrap around. Negative if requests that were counted
 * and never ran were taken back. */
static inline int32_t
gs_quota_difference (uint32_t count, uint32_t before)
{
  return (int32_t)(count - before);
}

/** Counts of an enforcer since its start. */
typedef struct
{
  uint64_t admitted;
  uint64_t refused;
  uint64_t waited;
  uint64_t reports;
  uint64_t degraded; /**< admitted or refused without a majority of account holders */
} GsQuotaCounts;

/** What an enforcer states about one workspace. */
typedef struct
{
  uint64_t workspace; /**< hash of the name */
  uint32_t session;   /**< the counts begin at 0 with a new one */
  uint32_t started;   /**< requests that were given a slot */
  uint32_t admitted;  /**< these and those that wait for one */
  uint32_t bound;     /**< the enforcer admits no more until it has a reply to this report */
  uint32_t wanted;    /**< tokens wanted beyond `admitted` */
} GsQuotaDemand;

typedef struct
{
  uint64_t enforcer; /**< hash of the daemon and its incarnation */
  uint64_t sequence;
  GsQuotaDemand *demands; /**< owned by the holder of the report */
  uint32_t n_demands;
} GsQuotaReport;

/** What an account holder allows an enforcer for one workspace. */
typedef struct
{
  uint64_t workspace;
  uint32_t bound;          /**< value of `admitted` up to which it may admit */
  uint32_t retry_after_ms; /**< the account is empty: when it has a token; 0: it is not */
} GsQuotaGrant;

typedef struct
{
  uint64_t holder;      /**< hash of the daemon's id */
  uint64_t sequence;    /**< of the report */
  GsQuotaGrant *grants; /**< owned by the holder of the reply */
  uint32_t n_grants;
} GsQuotaReply;

/** Time from the sending of a report for which the tokens of its reply are valid. The account
 * holder counts it from the receipt, which is later. */
#define GS_QUOTA_VALIDITY_US GS_US_PER_S

#endif
