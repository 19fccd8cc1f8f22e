/**
 * NAME
 *   registry - the backend servers that register themselves, as a fold over their records
 *
 * SYNOPSIS
 *   GsRegistry *registry = gs_registry_new ();
 *   gs_registry_apply (registry, &change, &store, now_us);
 *   gs_registry_foreach (registry, "ledger", visit, data);
 *
 * DESCRIPTION
 *   A registration is a record under the server's id; the newest record of an id holds. Records are
 * ordered by their offset in the log, lives of one server by the time of its start, and heartbeats
 * of one life by their sequence number, so a record that arrives late never replaces a newer one. A
 * record that names no usable server takes the registration away, as a removal does.
 *
 *   A registration lapses when its server is not heard of, which also happens while the store is
 * away. A removal seen during such an absence, or shortly after it, is therefore held back for
 * GS_REGISTRY_REMOVAL_DELAY_US: the server stays usable, marked as doubtful, until it registers
 * again or the time is over. Pure: no I/O, no clock. Tested by test/unit/test_registry.c and
 * test/property/prop_registry.cpp.
 */
#ifndef GS_REGISTRY_H
#define GS_REGISTRY_H

#include "member.h"

enum
{
  GS_REGISTRY_MAX = 65536, /**< registrations kept, removed ones included */
};

/** After the store's return, live servers register again within about two seconds (the platform's
 * promise); a little more for the read. */
#define GS_REGISTRY_REMOVAL_DELAY_US (2300 * GS_US_PER_MS)
/** How long a removed registration is remembered, so that a late record of it is recognized. */
#define GS_REGISTRY_TOMBSTONE_US (60 * GS_US_PER_S)

/** What a backend server says of itself. */
typedef struct
{
  char id[GS_NAME_MAX + 1];
  char pool[GS_NAME_MAX + 1];
  char failure_domain[GS_MEMBER_DOMAIN_MAX + 1];
  uint32_t ipv4; /**< host byte order */
  uint16_t port;
  uint16_t slots;          /**< requests that it works on at once */
  bool leaving;            /**< takes no new work */
  uint32_t warmup_left_ms; /**< how much longer it stays slow after its start */
  uint64_t started_ms;     /**< when this life began, since 1970 */
  uint64_t sequence;       /**< grows with each heartbeat of one life */
} GsRegistration;

/** One record: a registration, or the removal of one. */
typedef struct
{
  uint64_t offset; /**< in the log */
  bool present;    /**< false: removed, or unusable; only the id holds then */
  GsRegistration registration;
} GsRegistryChange;

typedef enum
{
  GS_REGISTRATION_SERVING = 0,
  GS_REGISTRATION_DOUBTFUL, /**< lapsed while the store was away; may still serve */
  GS_REGISTRATION_LEAVING,
  GS_REGISTRATION_GONE,
} GsRegistrationState;

/** How the store fared, as the daemon that read a record saw it. */
typedef struct
{
  bool unavailable;     /**< it does not answer at the moment */
  int64_t available_us; /**< time since it last began to answer again; INT64_MAX: it always did */
} GsStoreState;

typedef struct GsRegistry GsRegistry;

GsRegistry *gs_registry_new (void);
void gs_registry_free (GsRegistry *registry);

/** Takes one record. RETURN VALUE: true when something that matters to routing changed. */
bool gs_registry_apply (GsRegistry *registry,
                        const GsRegistryChange *change,
                        const GsStoreState *store,
                        int64_t now_us);

/**
 * Takes all registrations as of position END; what is known and not among the COUNT changes has
 * been removed. RETURN VALUE: true when something that matters to routing changed.
 */
bool gs_registry_apply_snapshot (GsRegistry *registry,
                                 const GsRegistryChange *changes,
                                 uint32_t count,
                                 uint64_t end,
                                 const GsStoreState *store,
                                 int64_t now_us);

/** Notes that everything before POSITION has been read. */
void gs_registry_advance (GsRegistry *registry, uint64_t position);

/** Lets held removals take effect. RETURN VALUE: true when one did. */
bool gs_registry_tick (GsRegistry *registry, int64_t now_us);

/** RETURN VALUE: the next offset to read; 0 before anything was read. */
uint64_t gs_registry_position (const GsRegistry *registry);

/** RETURN VALUE: a number that changes with every change that matters to routing. */
uint64_t gs_registry_epoch (const GsRegistry *registry);

/** RETURN VALUE: registrations that are not gone. */
uint32_t gs_registry_size (const GsRegistry *registry);

/** RETURN VALUE: the state of ID in its life that began at STARTED_MS. */
GsRegistrationState
gs_registry_state (const GsRegistry *registry, const char *id, uint64_t started_ms);

/** Receives one registration that is not gone, with the time it was read. */
typedef void (*GsRegistryVisitor) (const GsRegistration *registration,
                                   GsRegistrationState state,
                                   int64_t read_us,
                                   void *data);

/** Calls VISIT for each registration of POOL (NULL: of all pools) that is not gone. */
void gs_registry_foreach (const GsRegistry *registry,
                          const char *pool,
                          GsRegistryVisitor visit,
                          void *data);

/** RETURN VALUE: newly allocated records of all that was not removed; COUNT gets their number. */
GsRegistryChange *gs_registry_dump (const GsRegistry *registry, uint32_t *count);

/** RETURN VALUE: static text of STATE. */
const char *gs_registration_state_name (GsRegistrationState state);

#endif
