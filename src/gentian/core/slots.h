/**
 * NAME
 *   slots - the upstreams of one pool as its placer sees them: slots in use, beliefs, choice
 *
 * DESCRIPTION
 *   Keeps for each life of an upstream how many requests it has from this placer, what it last said
 * of its own load, the belief that it is failing (belief.h), and the daemons that could not reach
 * it lately. The choice weighs these; it never waits. Pure. Tested by test/unit/test_slots.c.
 */
#ifndef GS_SLOTS_H
#define GS_SLOTS_H

#include "belief.h"
#include "registry.h"

enum
{
  GS_SLOTS_UPSTREAMS_MAX = 1024,
  GS_SLOTS_PATHS = 8, /**< daemons remembered an upstream that could not reach it */
};

typedef struct GsSlots GsSlots;

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
} GsSlotChoice;

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
} GsSlotChosen;

/** A change of belief that crossed the line of avoidance. */
typedef struct
{
  const char *id;
  bool failing;
  double probability;
} GsSlotTurn;

GsSlots *gs_slots_new (uint64_t seed);
void gs_slots_free (GsSlots *slots);

/** RETURN VALUE: key of the life of an upstream that REGISTRATION tells of. */
uint64_t gs_slots_key (const GsRegistration *registration);

/** Begins an update; upstreams not set before gs_slots_end_update are dropped. */
void gs_slots_begin_update (GsSlots *slots);
void gs_slots_set (GsSlots *slots,
                   const GsRegistration *registration,
                   GsRegisteredState state,
                   int64_t read_us,
                   int64_t now_us);
void gs_slots_end_update (GsSlots *slots);

/** RETURN VALUE: true and CHOSEN when an upstream with a free slot is acceptable. */
bool gs_slots_choose (GsSlots *slots, const GsSlotChoice *choice, GsSlotChosen *chosen);

/** Notes that a request goes to the upstream with KEY, or that it ended. */
void gs_slots_take (GsSlots *slots, uint64_t key, int64_t now_us);
void gs_slots_release (GsSlots *slots, uint64_t key);

/** Takes SIGN of the upstream with KEY in, seen by ORIGIN. RETURN VALUE: true and TURN when it is
 * avoided from now on, or used again. */
bool gs_slots_observe (GsSlots *slots,
                       uint64_t key,
                       uint64_t origin,
                       GsObservation sign,
                       int64_t now_us,
                       GsSlotTurn *turn);

/** Notes the load that the upstream told of itself: requests RUNNING there and WAITING there. */
void gs_slots_note_load (GsSlots *slots,
                         uint64_t key,
                         uint32_t running,
                         uint32_t waiting,
                         int64_t now_us);

/** Notes whether the upstream refused an attempt. One that has no room is left alone for a moment;
 * one that refuses with slots free is used less. */
void gs_slots_note_shed (GsSlots *slots, uint64_t key, bool refused, int64_t now_us);

/** Excludes the upstream with KEY for the rest of its life: it said that it leaves, or that its
 * address is another's. */
void gs_slots_exclude (GsSlots *slots, uint64_t key);

/** Notes whether a request of the pool was served, for the share that fails. */
void gs_slots_note_served (GsSlots *slots, bool served, int64_t now_us);

/** RETURN VALUE: whether the upstream with KEY is more likely failing than not. */
bool gs_slots_suspects (const GsSlots *slots, uint64_t key, int64_t now_us);

/** RETURN VALUE: slots, free or not, of upstreams that the pool relies on. */
uint32_t gs_slots_capacity (const GsSlots *slots, int64_t now_us);

/** RETURN VALUE: upstreams that may get work at all, without the N_TRIED with keys in TRIED. */
uint32_t gs_slots_usable (const GsSlots *slots, const uint64_t *tried, uint8_t n_tried);

/** RETURN VALUE: true, and the upstream at INDEX in CHOSEN and STATE; false beyond the last. */
bool gs_slots_view (const GsSlots *slots,
                    uint32_t index,
                    int64_t now_us,
                    GsSlotChosen *chosen,
                    GsRegisteredState *state);

/** RETURN VALUE: id of the upstream with KEY, or NULL. */
const char *gs_slots_id (const GsSlots *slots, uint64_t key);

#endif
