/**
 * NAME
 *   belief - the probability that a backend server is currently failing
 *
 * SYNOPSIS
 *   GsBelief belief = gs_belief_new (&rates, now_us);
 *   gs_belief_observe (&belief, &rates, GS_OBSERVATION_LOST, now_us);
 *   double p = gs_belief_failing (&belief, &rates, now_us);
 *
 * DESCRIPTION
 *   A server is either healthy or failing, and changes between the two at random times: a hidden
 * Markov model with two states (Rabiner 1989), filtered forward. Between observations the
 * probability decays to the stationary one, the share of time that servers of this pool spend
 * failing; each observation updates it by Bayes' rule. A lost connection therefore weighs heavily
 * where faults are common, and its effect has mostly decayed after some seconds. Header only, pure.
 * Tested by test/unit/test_belief.c.
 */
#ifndef GS_BELIEF_H
#define GS_BELIEF_H

#include <math.h>

#include "base.h"

/** What an attempt shows about the server. */
typedef enum
{
  GS_OBSERVATION_ANSWER = 0, /**< complete answer in the usual time */
  GS_OBSERVATION_SLOW,       /**< complete answer, or still none, far beyond the usual time */
  GS_OBSERVATION_ERROR,      /**< complete answer that reports a server error */
  GS_OBSERVATION_LOST,       /**< the connection was lost, or the answer was incomplete */
  /** complete answer of an attempt whose age was observed as SLOW: the request was long, so that
   * observation is taken back */
  GS_OBSERVATION_LONG_ANSWER,
  GS_OBSERVATION_UNREACHABLE, /**< no connection; the network path may be the cause */
  GS_OBSERVATION_COUNT,
} GsObservation;

/** Transition rates of a pool's servers: from healthy to failing, and back. */
typedef struct
{
  double onset_per_s;
  double recovery_per_s;
} GsFaultRates;

/**
 * Mean duration of a fault, used until the end of one has been observed. Users report faults of a
 * few seconds.
 */
#define GS_BELIEF_FAULT_DURATION_S 4.0

typedef struct
{
  double failing; /**< probability as of `at_us` */
  int64_t at_us;
} GsBelief;

/** RETURN VALUE: share of time that a server spends failing under RATES. */
static inline double
gs_belief_stationary (const GsFaultRates *rates)
{
  return rates->onset_per_s / (rates->onset_per_s + rates->recovery_per_s);
}

/** RETURN VALUE: the belief about a server of which only the pool's RATES are known. */
static inline GsBelief
gs_belief_new (const GsFaultRates *rates, int64_t now_us)
{
  return (GsBelief){ .failing = gs_belief_stationary (rates), .at_us = now_us };
}

/** RETURN VALUE: the probability that the server is failing at NOW_US. */
static inline double
gs_belief_failing (const GsBelief *belief, const GsFaultRates *rates, int64_t now_us)
{
  double stationary = gs_belief_stationary (rates);
  double elapsed_s = (double)(now_us - belief->at_us) / (double)GS_US_PER_S;
  double decay
      = elapsed_s > 0 ? exp (-(rates->onset_per_s + rates->recovery_per_s) * elapsed_s) : 1;

  return stationary + (belief->failing - stationary) * decay;
}

/**
 * RETURN VALUE: likelihood of OBSERVATION from a failing server over that from a healthy one.
 * Healthy servers lose about one connection in 200 and answer about one request in 70 with an error
 * of their own; failing servers fail most requests but not all.
 */
static inline double
gs_belief_likelihood_ratio (GsObservation observation)
{
  static const double ratios[GS_OBSERVATION_COUNT]
      = { [GS_OBSERVATION_ANSWER] = 0.3 / 0.97,
          [GS_OBSERVATION_SLOW] = 0.25 / 0.02,
          [GS_OBSERVATION_ERROR] = 0.20 / 0.015,
          [GS_OBSERVATION_LOST] = 0.50 / 0.005,
          [GS_OBSERVATION_LONG_ANSWER] = 0.3 / 0.97 * 0.02 / 0.25,
          [GS_OBSERVATION_UNREACHABLE] = 0.20 / 0.01 };
  return ratios[observation];
}

/** Updates BELIEF with OBSERVATION. */
static inline void
gs_belief_observe (GsBelief *belief,
                   const GsFaultRates *rates,
                   GsObservation observation,
                   int64_t now_us)
{
  double failing = gs_belief_failing (belief, rates, now_us);
  double weight = failing * gs_belief_likelihood_ratio (observation);

  belief->failing = weight / (weight + 1 - failing);
  belief->at_us = now_us;
}

#endif
