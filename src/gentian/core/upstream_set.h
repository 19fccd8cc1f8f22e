/**
 * NAME
 *   upstream_set - upstreams of one pool at its scheduler: slots in use, beliefs, selection
 *
 * DESCRIPTION
 *   Keeps for each run of an upstream process the number of requests that this scheduler has
 * granted to it, the load that it last reported, the belief that it is failing (belief.h), and the
 * daemons that recently could not reach it. Selection weighs all of these and never waits. An
 * upstream that gets no ordinary work gets a single probe request from time to time. Pure. Tested
 * by test/unit/test_scheduler.c.
 */
#ifndef GS_UPSTREAM_SET_H
#define GS_UPSTREAM_SET_H

#include "../cost/cost_model.h"
#include "belief.h"
#include "../slices/slices.h"
#include "registry.h"

enum
{
  GS_UPSTREAM_SET_MAX = 1024,
  GS_UPSTREAM_SET_BAD_PATHS_MAX = 8, /**< daemons remembered per upstream that failed to reach it */
  GS_UPSTREAM_SET_QUIET_MAX = 65536, /**< quiet times remembered, of pairs of upstream and daemon */
};

typedef struct GsUpstreamSet GsUpstreamSet;

/** Constraints on the selection of an upstream for one request. */
typedef struct
{
  int64_t now_us;
  uint64_t origin;     /**< daemon that will send the request */
  uint64_t domain;     /**< hash of its failure domain */
  uint32_t bytes;      /**< mean size of the bodies of such requests and their answers */
  bool retryable;      /**< a failed attempt may be retried at another upstream */
  bool urgent;         /**< waiting for a better upstream costs more than using a bad one */
  bool others_waiting; /**< other requests wait for slots of this pool */
  bool no_probe;       /**< must not be sent to an upstream that is suspected to fail */
  const uint64_t *tried;
  uint8_t n_tried;
  const GsRequestCost *cost; /**< ranks by expected end; NULL: by the number of used slots */
  uint64_t held_bytes_max;   /**< request bytes at one upstream, with `cost`; 0: no bound */
} GsSelectionCriteria;

/** An upstream, and the figures that selection used. */
typedef struct
{
  uint64_t key;
  const char *id;
  uint64_t started_ms;
  uint32_t ipv4;
  uint16_t port;
  uint16_t outstanding;    /**< before the selection */
  double failing;          /**< probability */
  int64_t evidence_age_us; /**< -1: never observed */
  const char *reason;      /**< of the selection, static text; NULL: not selected */
  /** not selected: an upstream with a free slot was passed over for what holds for this request
   * only, such as those that it has tried; another request may get a slot */
  bool restricted;
} GsUpstreamInfo;

/** A belief that crossed the threshold from which an upstream counts as failing. */
typedef struct
{
  const char *id;
  bool failing;
  double probability;
} GsBeliefTransition;

GsUpstreamSet *gs_upstream_set_new (uint64_t seed);
void gs_upstream_set_free (GsUpstreamSet *set);

/** Sets the part of the pool's upstreams that this set holds; 1 at first. The users' floor counts
 * the whole pool. */
void gs_upstream_set_set_pool_share (GsUpstreamSet *set, double share);

/** RETURN VALUE: key of the run of an upstream process that REGISTRATION describes. */
uint64_t gs_upstream_set_key (const GsRegistration *registration);

/** Begins an update. Upstreams not put before gs_upstream_set_end_update are removed. */
void gs_upstream_set_begin_update (GsUpstreamSet *set);
void gs_upstream_set_put (GsUpstreamSet *set,
                          const GsRegistration *registration,
                          GsRegistrationState state,
                          int64_t read_us,
                          int64_t now_us);
void gs_upstream_set_end_update (GsUpstreamSet *set);

/** RETURN VALUE: true and SELECTED when an acceptable upstream has a free slot. */
bool gs_upstream_set_select (GsUpstreamSet *set,
                             const GsSelectionCriteria *criteria,
                             GsUpstreamInfo *selected);

/** RETURN VALUE: number of calls of gs_upstream_set_select so far, each of which looks at all
 * upstreams. */
uint64_t gs_upstream_set_selections (const GsUpstreamSet *set);

/** Takes a slot of the upstream with KEY, or gives it back. */
void gs_upstream_set_acquire (GsUpstreamSet *set, uint64_t key, int64_t now_us);
void gs_upstream_set_release (GsUpstreamSet *set, uint64_t key);

/** Adds granted WORK to the upstream with KEY, or removes the work of GRANT. */
void gs_upstream_set_add_work (GsUpstreamSet *set, uint64_t key, const GsGrantedWork *work);
void gs_upstream_set_remove_work (GsUpstreamSet *set, uint64_t key, uint64_t grant);

/** RETURN VALUE: the learned speed of the upstream with KEY, to be updated; NULL: unknown. Valid
 * until the next update of the upstreams. */
GsSpeed *gs_upstream_set_speed (GsUpstreamSet *set, uint64_t key);

/** RETURN VALUE: most slots of an upstream; 0: there is none. */
uint32_t gs_upstream_set_slots_max (const GsUpstreamSet *set);

/** Updates the belief in the upstream with KEY by OBSERVATION, made by ORIGIN. RETURN VALUE: true
 * and TRANSITION when the upstream is avoided from now on, or used again. */
bool gs_upstream_set_observe (GsUpstreamSet *set,
                              uint64_t key,
                              uint64_t origin,
                              GsObservation observation,
                              int64_t now_us,
                              GsBeliefTransition *transition);

/** Records the load that the upstream reported: requests RUNNING and WAITING there. */
void gs_upstream_set_record_load (GsUpstreamSet *set,
                                  uint64_t key,
                                  uint32_t running,
                                  uint32_t waiting,
                                  int64_t now_us);

/** Records whether the upstream refused an attempt. One whose slots are all in use gets no requests
 * for a moment; one that refuses although slots are free is used less. */
void gs_upstream_set_record_shed (GsUpstreamSet *set, uint64_t key, bool refused, int64_t now_us);

/** Excludes the upstream with KEY until its process restarts: it announced that it is shutting
 * down, or its address belongs to another instance. */
void gs_upstream_set_exclude (GsUpstreamSet *set, uint64_t key);

/** Records that the upstream with KEY wants no requests from ORIGIN until UNTIL_US. */
void gs_upstream_set_record_quiet (GsUpstreamSet *set,
                                   uint64_t key,
                                   uint64_t origin,
                                   int64_t now_us,
                                   int64_t until_us);

/** RETURN VALUE: time until the first of the upstreams that CRITERIA allow wants requests of the
 * origin again; 0 when one wants them now or none is allowed. Uses only the origin, the tried
 * upstreams and the time of CRITERIA. */
int64_t gs_upstream_set_quiet_us (const GsUpstreamSet *set, const GsSelectionCriteria *criteria);

/** RETURN VALUE: the same for an upstream drawn at random, each as likely as it has slots. */
int64_t gs_upstream_set_pick_return_us (GsUpstreamSet *set, const GsSelectionCriteria *criteria);

/** Records whether a request of the pool was served, for the share of failed requests. */
void gs_upstream_set_record_served (GsUpstreamSet *set, bool served, int64_t now_us);

/** RETURN VALUE: whether the upstream with KEY is more likely failing than not; true for an unknown
 * one. */
bool gs_upstream_set_is_suspect (const GsUpstreamSet *set, uint64_t key, int64_t now_us);

/** RETURN VALUE: slots, free or in use, of usable upstreams that are not believed to fail. */
uint32_t gs_upstream_set_capacity (const GsUpstreamSet *set, int64_t now_us);

/** RETURN VALUE: free slots, upstreams that may get work, and idle ones beyond the part that may be
 * idle; no waiting requests. */
GsSliceCapacity gs_upstream_set_measure (const GsUpstreamSet *set, int64_t now_us);

/** RETURN VALUE: upstreams that may get work at all, without the N_TRIED whose keys are in TRIED.
 */
uint32_t
gs_upstream_set_count_usable (const GsUpstreamSet *set, const uint64_t *tried, uint8_t n_tried);

/** RETURN VALUE: whether there is one. */
bool gs_upstream_set_has_usable (const GsUpstreamSet *set, const uint64_t *tried, uint8_t n_tried);

/** RETURN VALUE: true, and the upstream at INDEX in INFO and STATE; false beyond the last. */
bool gs_upstream_set_get (const GsUpstreamSet *set,
                          uint32_t index,
                          int64_t now_us,
                          GsUpstreamInfo *info,
                          GsRegistrationState *state);

/** RETURN VALUE: id of the upstream with KEY, or NULL. */
const char *gs_upstream_set_id (const GsUpstreamSet *set, uint64_t key);

#endif
