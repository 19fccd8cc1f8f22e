/**
 * NAME
 *   registry - the backend servers that register themselves, replayed from their records
 *
 * SYNOPSIS
 *   GsRegistry *registry = gs_registry_new ();
 *   gs_registry_apply (registry, &change, &store, now_us);
 *   gs_registry_foreach (registry, "ledger", visit, data);
 *
 * DESCRIPTION
 *   A registration is a record under the server's id; the newest record of an id is the valid one.
 * Records are ordered by their log offset, incarnations of one server by start time, and heartbeats
 * of one incarnation by sequence number, so a record that arrives late never replaces a newer one.
 * A record that describes no usable server ends the registration, as a removal does.
 *
 *   A registration expires when no heartbeats of its server arrive, which also happens while the
 * store is unavailable. A removal read during such an outage, or shortly after it, is therefore
 * delayed for GS_REGISTRY_REMOVAL_DELAY_US: the server stays usable, in the doubtful state, until
 * it registers again or the delay is over.
 *
 *   A store that returns from an older copy assigns offsets again, and its era rises. Offsets of
 * the earlier era say nothing then: incarnations and sequence numbers alone order the records of
 * both eras, and a registration that had been removed returns only with a later heartbeat.
 *
 *   An upstream may also announce in an answer that it leaves. That holds for its incarnation,
 * whatever its registrations say before or after, until a newer incarnation registers or the
 * registration has been removed for GS_REGISTRY_TOMBSTONE_US. It may be learned before the
 * registration is. Pure: no I/O, no clock. Tested by
 * test/unit/test_registry.c and test/property/prop_registry.cpp.
 */
#ifndef GS_REGISTRY_H
#define GS_REGISTRY_H

#include "member.h"

enum
{
  GS_REGISTRY_MAX = 65536, /**< registrations stored, including removed ones */
};

/** The platform guarantees that live servers register again within about 2 s after an outage of the
 * store; the rest allows for reading their records. */
#define GS_REGISTRY_REMOVAL_DELAY_US (2300 * GS_US_PER_MS)
/** How long a removed registration is stored, so that late records of it are recognized as
 * outdated. */
#define GS_REGISTRY_TOMBSTONE_US (60 * GS_US_PER_S)

/** What a backend server reports of itself. */
typedef struct
{
  char id[GS_NAME_MAX + 1];
  char pool[GS_NAME_MAX + 1];
  char failure_domain[GS_MEMBER_DOMAIN_MAX + 1];
  uint32_t ipv4; /**< host byte order */
  uint16_t port;
  uint16_t slots;          /**< requests that it processes concurrently */
  bool leaving;            /**< accepts no new requests */
  uint32_t warmup_left_ms; /**< remaining time for which it is slow after its start */
  uint64_t started_ms;     /**< start time of this incarnation, since 1970 */
  uint64_t sequence;       /**< increases with each heartbeat of one incarnation */
} GsRegistration;

/** One record: a registration, or the removal of one. */
typedef struct
{
  uint64_t offset;        /**< in the log */
  bool present;           /**< false: removed or unusable; then only the id is valid */
  bool announced_leaving; /**< an answer of this incarnation said that it leaves */
  GsRegistration registration;
} GsRegistryChange;

typedef enum
{
  GS_REGISTRATION_SERVING = 0,
  GS_REGISTRATION_DOUBTFUL, /**< removed around an outage of the store; may still serve */
  GS_REGISTRATION_LEAVING,
  GS_REGISTRATION_GONE,
} GsRegistrationState;

/** Availability of the store, as seen by the daemon that read a record. */
typedef struct
{
  bool unavailable;     /**< it does not answer at present */
  int64_t available_us; /**< time since its last outage ended; INT64_MAX: no outage seen */
} GsStoreState;

typedef struct GsRegistry GsRegistry;

GsRegistry *gs_registry_new (void);
void gs_registry_free (GsRegistry *registry);

/** Applies one record. RETURN VALUE: true if something that affects routing changed. */
bool gs_registry_apply (GsRegistry *registry,
                        const GsRegistryChange *change,
                        const GsStoreState *store,
                        int64_t now_us);

/**
 * Applies the COUNT changes as the complete set of registrations at position END: known ones that
 * are not among them have been removed. RETURN VALUE: true if something that affects routing
 * changed.
 */
bool gs_registry_apply_snapshot (GsRegistry *registry,
                                 const GsRegistryChange *changes,
                                 uint32_t count,
                                 uint64_t end,
                                 const GsStoreState *store,
                                 int64_t now_us);

/** Records that an answer of the incarnation of ID that started at STARTED_MS announced that it
 * leaves. RETURN VALUE: true if that is new and no newer incarnation is known. */
bool gs_registry_announce_leaving (GsRegistry *registry,
                                   const char *id,
                                   uint64_t started_ms,
                                   int64_t now_us);

/**
 * Begins ERA if it is later than the known one; the complete set of that era has to follow. The
 * registrations stay, and those that the set lacks are removed as by it.
 *
 * RETURN VALUE: true if it is later.
 */
bool gs_registry_begin_era (GsRegistry *registry, uint64_t era);

/** RETURN VALUE: the store's era to which the position belongs; 0: not stated. */
uint64_t gs_registry_era (const GsRegistry *registry);

/** Records that everything before POSITION has been read. */
void gs_registry_advance (GsRegistry *registry, uint64_t position);

/** Applies delayed removals that are due. RETURN VALUE: true if there was one. */
bool gs_registry_tick (GsRegistry *registry, int64_t now_us);

/** RETURN VALUE: the next offset to read; 0 before anything was read. */
uint64_t gs_registry_position (const GsRegistry *registry);

/** RETURN VALUE: a number that changes with every change that affects routing. */
uint64_t gs_registry_epoch (const GsRegistry *registry);

/** RETURN VALUE: the number of registrations that are not gone. */
uint32_t gs_registry_size (const GsRegistry *registry);

/** RETURN VALUE: the state of ID in the incarnation that started at STARTED_MS. */
GsRegistrationState
gs_registry_state (const GsRegistry *registry, const char *id, uint64_t started_ms);

/** RETURN VALUE: failure domain of ID by its newest registration, or NULL. */
const char *gs_registry_failure_domain (const GsRegistry *registry, const char *id);

/** RETURN VALUE: whether an answer of that incarnation of ID announced that it leaves. */
bool
gs_registry_has_announced_leaving (const GsRegistry *registry, const char *id, uint64_t started_ms);

/** RETURN VALUE: whether the incarnation of ID that started at STARTED_MS leaves, by its
 * registration or by its announcement; the latter counts although the registration is gone. */
bool gs_registry_is_leaving (const GsRegistry *registry, const char *id, uint64_t started_ms);

/** Receives one registration that is not gone, and the time at which its newest record was read. */
typedef void (*GsRegistryVisitor) (const GsRegistration *registration,
                                   GsRegistrationState state,
                                   int64_t read_us,
                                   void *data);

/** What the registrations of one pool that are not gone amount to. */
typedef struct
{
  uint32_t n_upstreams;
  uint32_t slots_max; /**< most slots of one of them; 0: there is none */
} GsPoolSize;

/** RETURN VALUE: the size of POOL. One pass over the registrations after a change serves all pools,
 * since there may be thousands of small ones. */
GsPoolSize gs_registry_pool_size (GsRegistry *registry, const char *pool);

/** Calls VISIT for each registration of POOL (NULL: of all pools) that is not gone. */
void gs_registry_foreach (const GsRegistry *registry,
                          const char *pool,
                          GsRegistryVisitor visit,
                          void *data);

/** RETURN VALUE: newly allocated records of all registrations that are not removed; COUNT gets
 * their number. */
GsRegistryChange *gs_registry_dump (const GsRegistry *registry, uint32_t *count);

/** RETURN VALUE: static text of STATE. */
const char *gs_registration_state_name (GsRegistrationState state);

#endif
