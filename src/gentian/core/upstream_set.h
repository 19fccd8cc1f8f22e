/**
 * NAME
 *   slots - the upstreams of one pool as its placer sees them: slots in use, beliefs, choice
 *
 * DESCRIPTION
 *   Keeps for each life of an upstream how many requests it has from this placer, what it last said
 * of its own load, the belief that it is failing (belief.h), and the daemons that could not reach
 * it lately. The choice weighs these; it never waits. Pure. Tested by test/unit/test_slots.c.
 */
#ifndef GS_UPSTREAM_SET_H
#define GS_UPSTREAM_SET_H

#include "belief.h"
#include "registry.h"

enum
{
  GS_UPSTREAM_SET_MAX = 1024,
  GS_UPSTREAM_SET_BAD_PATHS_MAX = 8, /**< daemons remembered an upstream that could not reach it */
};

typedef struct GsUpstreamSet GsUpstreamSet;

/** What a choice has to respect. */
typedef struct
{
  int64_t now_us;
  uint64_t origin; /**< daemon that will send the request */
  uint64_t domain; /**< hash of its failure domain */
  uint32_t bytes;  /**< that the request and its answer usually move */
  bool repeatable; /**< a failed attempt may be made again elsewhere */
  bool pressing;   /**< waiting for a better upstream costs more than a bad one */
  bool crowded;    /**< other requests wait for slots of this pool */
  bool no_look;    /**< upstreams are not wanted that are suspected to fail */
  const uint64_t *tried;
  uint8_t n_tried;
} GsSelectionCriteria;

/** What decided a choice. */
typedef struct
{
  uint64_t key;
  const char *id;
  uint32_t ipv4;
  uint16_t port;
  uint16_t outstanding; /**< before the choice */
  double failing;
  int64_t evidence_age_us;
  const char *reason; /**< static text */
} GsUpstreamInfo;

/** A change of belief that crossed the line of avoidance. */
typedef struct
{
  const char *id;
  bool failing;
  double probability;
} GsBeliefTransition;

GsUpstreamSet *gs_upstream_set_new (uint64_t seed);
void gs_upstream_set_free (GsUpstreamSet *slots);

/** RETURN VALUE: key of the life of an upstream that REGISTRATION tells of. */
uint64_t gs_upstream_set_key (const GsRegistration *registration);

/** Begins an update; upstreams not set before gs_upstream_set_end_update are dropped. */
void gs_upstream_set_begin_update (GsUpstreamSet *slots);
void gs_upstream_set_put (GsUpstreamSet *slots,
                          const GsRegistration *registration,
                          GsRegisteredState state,
                          int64_t read_us,
                          int64_t now_us);
void gs_upstream_set_end_update (GsUpstreamSet *slots);

/** RETURN VALUE: true and CHOSEN when an upstream with a free slot is acceptable. */
bool gs_upstream_set_select (GsUpstreamSet *slots,
                             const GsSelectionCriteria *choice,
                             GsUpstreamInfo *chosen);

/** Notes that a request goes to the upstream with KEY, or that it ended. */
void gs_upstream_set_acquire (GsUpstreamSet *slots, uint64_t key, int64_t now_us);
void gs_upstream_set_release (GsUpstreamSet *slots, uint64_t key);

/** Takes SIGN of the upstream with KEY in, seen by ORIGIN. RETURN VALUE: true and TURN when it is
 * avoided from now on, or used again. */
bool gs_upstream_set_observe (GsUpstreamSet *slots,
                              uint64_t key,
                              uint64_t origin,
                              GsSign sign,
                              int64_t now_us,
                              GsBeliefTransition *turn);

/** Notes the load that the upstream told of itself: requests RUNNING there and WAITING there. */
void gs_upstream_set_record_load (GsUpstreamSet *slots,
                                  uint64_t key,
                                  uint32_t running,
                                  uint32_t waiting,
                                  int64_t now_us);

/** Notes whether the upstream refused an attempt. One that has no room is left alone for a moment;
 * one that refuses with slots free is used less. */
void gs_upstream_set_record_shed (GsUpstreamSet *slots, uint64_t key, bool refused, int64_t now_us);

/** Excludes the upstream with KEY for the rest of its life: it said that it leaves, or that its
 * address is another's. */
void gs_upstream_set_exclude (GsUpstreamSet *slots, uint64_t key);

/** Notes whether a request of the pool was served, for the share that fails. */
void gs_upstream_set_record_served (GsUpstreamSet *slots, bool served, int64_t now_us);

/** RETURN VALUE: whether the upstream with KEY is more likely failing than not. */
bool gs_upstream_set_is_suspect (const GsUpstreamSet *slots, uint64_t key, int64_t now_us);

/** RETURN VALUE: slots, free or not, of upstreams that the pool relies on. */
uint32_t gs_upstream_set_capacity (const GsUpstreamSet *slots, int64_t now_us);

/** RETURN VALUE: upstreams that may get work at all, without the N_TRIED with keys in TRIED. */
uint32_t
gs_upstream_set_count_usable (const GsUpstreamSet *slots, const uint64_t *tried, uint8_t n_tried);

/** RETURN VALUE: true, and the upstream at INDEX in CHOSEN and STATE; false beyond the last. */
bool gs_upstream_set_get (const GsUpstreamSet *slots,
                          uint32_t index,
                          int64_t now_us,
                          GsUpstreamInfo *chosen,
                          GsRegisteredState *state);

/** RETURN VALUE: id of the upstream with KEY, or NULL. */
const char *gs_upstream_set_id (const GsUpstreamSet *slots, uint64_t key);

#endif
