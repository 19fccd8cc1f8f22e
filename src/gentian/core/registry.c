#include "registry.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  GsRegistration registration;
  uint64_t offset; /* of the newest record, in `era` */
  uint64_t era;
  int64_t read_us;
  bool removed;
  int64_t removal_due_us; /* when a delayed removal takes effect; 0: it is not delayed */
  bool announced_leaving; /* an answer of the incarnation below said so */
  uint64_t leaving_started_ms;
} RegistryEntry;

struct GsRegistry
{
  GHashTable *entries; /* id -> RegistryEntry */
  uint64_t position;   /* in `era` */
  uint64_t era;        /* of the store */
  uint64_t epoch;
  GHashTable *pool_sizes; /* name -> GsPoolSize, of sizes_epoch */
  uint64_t sizes_epoch;
};

const char *
gs_registration_state_name (GsRegistrationState state)
{
  static const char *const names[] = { "serving", "doubtful", "leaving", "gone" };
  return names[state];
}

GsRegistry *
gs_registry_new (void)
{
  GsRegistry *registry = g_new0 (GsRegistry, 1);

  registry->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  registry->pool_sizes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return registry;
}

void
gs_registry_free (GsRegistry *registry)
{
  if (registry == NULL)
    return;
  g_hash_table_destroy (registry->entries);
  g_hash_table_destroy (registry->pool_sizes);
  g_free (registry);
}

/* Whether the incarnation of ENTRY that started at STARTED_MS announced that it leaves. */
static bool
has_announced_leaving (const RegistryEntry *entry, uint64_t started_ms)
{
  return entry->announced_leaving && entry->leaving_started_ms == started_ms;
}

static bool
is_leaving (const RegistryEntry *entry)
{
  return entry->registration.leaving
         || has_announced_leaving (entry, entry->registration.started_ms);
}

static GsRegistrationState
state_of (const RegistryEntry *entry)
{
  if (entry == NULL || (entry->removed && entry->removal_due_us == 0))
    return GS_REGISTRATION_GONE;
  if (is_leaving (entry))
    return GS_REGISTRATION_LEAVING;
  return entry->removed ? GS_REGISTRATION_DOUBTFUL : GS_REGISTRATION_SERVING;
}

/* Whether the newest record of ENTRY is of an earlier era of the store than the position. */
static bool
is_of_earlier_era (const GsRegistry *registry, const RegistryEntry *entry)
{
  return entry->era != registry->era;
}

/* Sets the OFFSET of the newest record of ENTRY. */
static void
set_offset (const GsRegistry *registry, RegistryEntry *entry, uint64_t offset)
{
  entry->offset = is_of_earlier_era (registry, entry) ? offset : MAX (entry->offset, offset);
  entry->era = registry->era;
}

/* Whether HEARTBEAT is of an earlier incarnation than the known one, or an earlier one of the
 * same. The copy from which a store returned may hold the last heartbeat before a removal. */
static bool
is_outdated (const GsRegistry *registry,
             const RegistryEntry *entry,
             const GsRegistration *heartbeat)
{
  const GsRegistration *known = &entry->registration;

  if (heartbeat->started_ms != known->started_ms)
    return heartbeat->started_ms < known->started_ms;
  if (is_of_earlier_era (registry, entry) && entry->removed && entry->removal_due_us == 0)
    return heartbeat->sequence <= known->sequence;
  return heartbeat->sequence < known->sequence;
}

/* Whether the change from OLD to HEARTBEAT affects routing. */
static bool
affects_routing (const RegistryEntry *old, const GsRegistration *heartbeat)
{
  const GsRegistration *known = &old->registration;
  bool leaving = heartbeat->leaving || has_announced_leaving (old, heartbeat->started_ms);

  return state_of (old) != (leaving ? GS_REGISTRATION_LEAVING : GS_REGISTRATION_SERVING)
         || known->started_ms != heartbeat->started_ms || known->ipv4 != heartbeat->ipv4
         || known->port != heartbeat->port || known->slots != heartbeat->slots
         || strcmp (known->pool, heartbeat->pool) != 0
         || strcmp (known->failure_domain, heartbeat->failure_domain) != 0;
}

/* RETURN VALUE: a new entry without a registration, or NULL when there are too many. */
static RegistryEntry *
add_entry (GsRegistry *registry, const char *id, int64_t now_us)
{
  RegistryEntry *entry;

  if (g_hash_table_size (registry->entries) >= GS_REGISTRY_MAX)
    return NULL;
  entry = g_new0 (RegistryEntry, 1);
  entry->removed = true;
  entry->read_us = now_us;
  entry->era = registry->era;
  g_hash_table_insert (registry->entries, g_strdup (id), entry);
  return entry;
}

static bool
apply_heartbeat (GsRegistry *registry, const GsRegistryChange *change, int64_t now_us)
{
  const GsRegistration *heartbeat = &change->registration;
  RegistryEntry *entry = g_hash_table_lookup (registry->entries, heartbeat->id);
  bool changed;

  if (entry == NULL)
    entry = add_entry (registry, heartbeat->id, now_us);
  else if (is_outdated (registry, entry, heartbeat))
    return false;
  if (entry == NULL)
    return false;
  changed = affects_routing (entry, heartbeat);
  entry->registration = *heartbeat;
  set_offset (registry, entry, change->offset);
  entry->read_us = now_us;
  entry->removed = false;
  entry->removal_due_us = 0;
  if (entry->leaving_started_ms < heartbeat->started_ms)
    entry->announced_leaving = false;
  return changed;
}

/* RETURN VALUE: when a removal read at NOW_US takes effect; 0: at once. */
static int64_t
removal_due_time_us (const RegistryEntry *entry, const GsStoreState *store, int64_t now_us)
{
  if (is_leaving (entry))
    return 0;
  if (store->unavailable)
    return now_us + GS_REGISTRY_REMOVAL_DELAY_US;
  if (store->available_us >= GS_REGISTRY_REMOVAL_DELAY_US)
    return 0;
  return now_us + GS_REGISTRY_REMOVAL_DELAY_US - store->available_us;
}

/* Delays a removal anew that was delayed in an earlier era: the store has returned once more, and
 * its server may not have had the time to register again. */
static void
extend_removal_delay (RegistryEntry *entry, const GsStoreState *store, int64_t now_us)
{
  if (entry->removal_due_us != 0)
    entry->removal_due_us = MAX (entry->removal_due_us, removal_due_time_us (entry, store, now_us));
}

/* Ends the delay of a removal that was also read by a daemon for which the store had no recent
 * outage. */
static bool
end_removal_delay (RegistryEntry *entry, const GsStoreState *store)
{
  if (entry->removal_due_us == 0 || store->unavailable
      || store->available_us < GS_REGISTRY_REMOVAL_DELAY_US)
    return false;
  entry->removal_due_us = 0;
  return true;
}

static bool
remove_entry (const GsRegistry *registry,
              RegistryEntry *entry,
              const GsStoreState *store,
              int64_t now_us)
{
  if (entry->removed && is_of_earlier_era (registry, entry))
    extend_removal_delay (entry, store, now_us);
  if (entry->removed)
    return end_removal_delay (entry, store);
  entry->removed = true;
  entry->read_us = now_us;
  entry->removal_due_us = removal_due_time_us (entry, store, now_us);
  return true;
}

static bool
apply_record (GsRegistry *registry,
              const GsRegistryChange *change,
              const GsStoreState *store,
              int64_t now_us)
{
  RegistryEntry *entry = g_hash_table_lookup (registry->entries, change->registration.id);
  bool changed;

  if (entry != NULL && !is_of_earlier_era (registry, entry)
      && change->offset < entry->offset + (change->present ? 1 : 0))
    return false;
  if (change->present)
    return apply_heartbeat (registry, change, now_us);
  if (entry == NULL)
    return false;
  changed = remove_entry (registry, entry, store, now_us);
  set_offset (registry, entry, change->offset);
  return changed;
}

bool
gs_registry_apply (GsRegistry *registry,
                   const GsRegistryChange *change,
                   const GsStoreState *store,
                   int64_t now_us)
{
  const GsRegistration *registration = &change->registration;
  bool changed = apply_record (registry, change, store, now_us);

  registry->epoch += changed ? 1 : 0;
  if (change->present && change->announced_leaving)
    changed = gs_registry_announce_leaving (registry, registration->id, registration->started_ms,
                                            now_us)
              || changed;
  return changed;
}

bool
gs_registry_announce_leaving (GsRegistry *registry,
                              const char *id,
                              uint64_t started_ms,
                              int64_t now_us)
{
  RegistryEntry *entry = g_hash_table_lookup (registry->entries, id);

  if (entry == NULL)
    {
      entry = add_entry (registry, id, now_us);
      if (entry == NULL)
        return false;
      entry->registration.started_ms = started_ms; /* outdates earlier incarnations */
    }
  if (started_ms < entry->registration.started_ms
      || (entry->announced_leaving && started_ms <= entry->leaving_started_ms))
    return false;
  entry->announced_leaving = true;
  entry->leaving_started_ms = started_ms;
  registry->epoch++;
  return true;
}

bool
gs_registry_apply_snapshot (GsRegistry *registry,
                            const GsRegistryChange *changes,
                            uint32_t count,
                            uint64_t end,
                            const GsStoreState *store,
                            int64_t now_us)
{
  g_autoptr (GHashTable) listed_ids = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer id;
  gpointer value;
  bool changed = false;

  for (uint32_t i = 0; i < count; i++)
    {
      g_hash_table_add (listed_ids, (gpointer)changes[i].registration.id);
      changed = gs_registry_apply (registry, &changes[i], store, now_us) || changed;
    }
  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      RegistryEntry *entry = value;
      if ((is_of_earlier_era (registry, entry) || entry->offset < end)
          && !g_hash_table_contains (listed_ids, id))
        changed = remove_entry (registry, entry, store, now_us) || changed;
    }
  registry->epoch += changed ? 1 : 0;
  gs_registry_advance (registry, end);
  return changed;
}

bool
gs_registry_begin_era (GsRegistry *registry, uint64_t era)
{
  if (era <= registry->era)
    return false;
  registry->era = era;
  registry->position = 0;
  return true;
}

uint64_t
gs_registry_era (const GsRegistry *registry)
{
  return registry->era;
}

void
gs_registry_advance (GsRegistry *registry, uint64_t position)
{
  registry->position = MAX (registry->position, position);
}

bool
gs_registry_tick (GsRegistry *registry, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  bool changed = false;

  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      RegistryEntry *entry = value;
      if (!entry->removed)
        continue;
      if (entry->removal_due_us != 0 && now_us >= entry->removal_due_us)
        {
          entry->removal_due_us = 0;
          changed = true;
        }
      else if (entry->removal_due_us == 0 && now_us - entry->read_us > GS_REGISTRY_TOMBSTONE_US)
        g_hash_table_iter_remove (&iter);
    }
  registry->epoch += changed ? 1 : 0;
  return changed;
}

uint64_t
gs_registry_position (const GsRegistry *registry)
{
  return registry->position;
}

uint64_t
gs_registry_epoch (const GsRegistry *registry)
{
  return registry->epoch;
}

uint32_t
gs_registry_size (const GsRegistry *registry)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t size = 0;

  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    size += state_of (value) != GS_REGISTRATION_GONE ? 1 : 0;
  return size;
}

static void
count_in_pool (const GsRegistration *registration,
               GsRegistrationState state,
               int64_t read_us,
               void *sizes)
{
  GsPoolSize *size = g_hash_table_lookup (sizes, registration->pool);

  (void)state;
  (void)read_us;
  if (size == NULL)
    {
      size = g_new0 (GsPoolSize, 1);
      g_hash_table_insert (sizes, g_strdup (registration->pool), size);
    }
  size->n_upstreams++;
  size->slots_max = MAX (size->slots_max, registration->slots);
}

GsPoolSize
gs_registry_pool_size (GsRegistry *registry, const char *pool)
{
  const GsPoolSize *size;

  if (registry->sizes_epoch != registry->epoch)
    {
      registry->sizes_epoch = registry->epoch;
      g_hash_table_remove_all (registry->pool_sizes);
      gs_registry_foreach (registry, NULL, count_in_pool, registry->pool_sizes);
    }
  size = g_hash_table_lookup (registry->pool_sizes, pool);
  return size != NULL ? *size : (GsPoolSize){ 0 };
}

GsRegistrationState
gs_registry_state (const GsRegistry *registry, const char *id, uint64_t started_ms)
{
  const RegistryEntry *entry = g_hash_table_lookup (registry->entries, id);

  if (entry == NULL || entry->registration.started_ms != started_ms)
    return GS_REGISTRATION_GONE;
  return state_of (entry);
}

const char *
gs_registry_failure_domain (const GsRegistry *registry, const char *id)
{
  const RegistryEntry *entry = g_hash_table_lookup (registry->entries, id);

  return entry != NULL ? entry->registration.failure_domain : NULL;
}

bool
gs_registry_has_announced_leaving (const GsRegistry *registry, const char *id, uint64_t started_ms)
{
  const RegistryEntry *entry = g_hash_table_lookup (registry->entries, id);

  return entry != NULL && has_announced_leaving (entry, started_ms);
}

bool
gs_registry_is_leaving (const GsRegistry *registry, const char *id, uint64_t started_ms)
{
  return gs_registry_has_announced_leaving (registry, id, started_ms)
         || gs_registry_state (registry, id, started_ms) == GS_REGISTRATION_LEAVING;
}

void
gs_registry_foreach (const GsRegistry *registry,
                     const char *pool,
                     GsRegistryVisitor visit,
                     void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const RegistryEntry *entry = value;
      GsRegistrationState state = state_of (entry);
      if (state != GS_REGISTRATION_GONE
          && (pool == NULL || strcmp (entry->registration.pool, pool) == 0))
        visit (&entry->registration, state, entry->read_us, data);
    }
}

GsRegistryChange *
gs_registry_dump (const GsRegistry *registry, uint32_t *count)
{
  GsRegistryChange *changes = g_new0 (GsRegistryChange, g_hash_table_size (registry->entries));
  GHashTableIter iter;
  gpointer value;

  *count = 0;
  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const RegistryEntry *entry = value;
      if (entry->removed)
        continue;
      changes[(*count)++]
          = (GsRegistryChange){ .offset = is_of_earlier_era (registry, entry) ? 0 : entry->offset,
                                .present = true,
                                .announced_leaving
                                = has_announced_leaving (entry, entry->registration.started_ms),
                                .registration = entry->registration };
    }
  return changes;
}
