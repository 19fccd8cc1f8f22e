/* Registrations that a reader of the store has read: applies them, sends them on, and keeps what is
 * known of the readers. */
#include "core_private.h"

#include <string.h>

#include "update_recipients.h"

/** Shortest time between two pulls of the tables; a transfer takes less. */
#define REGISTRY_LINK_TABLES_PULL_US (250 * GS_US_PER_MS)

/* Sends what this daemon read from the registration stream. An update with changes starts at the
 * end of the last one sent, or of a complete set: who has missed what is before that pulls it. */
static void
send_registry_update (GsCore *core, const GsRegistryUpdate *update)
{
  bool has_changes = !update->complete && update->n_changes > 0;
  GsEffect *effect = core_add_effect (core, GS_EFFECT_REGISTRY_UPDATE);

  effect->registry_update.update = *update;
  if (has_changes)
    {
      effect->registry_update.update.from = MIN (update->from, core->registry_sent_to_all);
      core->registry_sent_to_all = update->to;
    }
  effect->registry_update.update.changes
      = g_memdup2 (update->changes, update->n_changes * sizeof *update->changes);
  effect->registry_update.recipients
      = gs_update_recipients (core->members, has_changes, &effect->registry_update.n_recipients);
}

static void
log_registration_changes (GsCore *core, const GsRegistryUpdate *update)
{
  for (uint32_t i = 0; i < update->n_changes; i++)
    {
      const GsRegistration *row = &update->changes[i].registration;
      GsRegistrationState state = gs_registry_state (core->registry, row->id, row->started_ms);
      core_log_event (core, GS_LOG_EVENT_REGISTRATION_CHANGED,
                      "upstream=%s pool=%s state=%s slots=%u warmup_ms=%u offset=%" G_GUINT64_FORMAT
                      " store=%s settled_ms=%" G_GINT64_FORMAT,
                      row->id, update->changes[i].present ? row->pool : "-",
                      gs_registration_state_name (state), row->slots, row->warmup_left_ms,
                      update->changes[i].offset, update->store.unavailable ? "away" : "answers",
                      MIN (update->store.available_us / GS_US_PER_MS, 999999));
    }
}

uint64_t
registry_link_readers_key (void)
{
  return gs_hash_name ("store readers");
}

/* Pulls the tables from the reader of this domain, at once, if they are newer: the daemon that
 * should have passed them on may be lost. */
static void
pull_newer_tables (GsCore *core, const GsRegistryUpdate *update, const GsPeerAddress *from)
{
  core_hear_tables_position (core, update->tables_position);
  if (update->tables_position <= gs_config_log_position (core->config_log)
      || core->now_us - core->tables_pulled_us < REGISTRY_LINK_TABLES_PULL_US)
    return;
  core->tables_pulled_us = core->now_us;
  core_add_effect (core, GS_EFFECT_PULL_TABLES)->to = *from;
}

/* Notes that a reader is at work. */
static void
note_reader (GsCore *core, const GsRegistryUpdate *update, const GsPeerAddress *from)
{
  const GsMemberInfo *member
      = core_is_local (from) ? NULL : gs_members_find_address (core->members, from);
  bool available = !update->store.unavailable;
  uint64_t era = gs_registry_era (core->registry);

  if (!update->from_reader)
    return;
  if (available
      && (update->era > era
          || ((update->era == era || update->era == 0)
              && update->to >= gs_registry_position (core->registry))))
    core->reader_available_us = core->now_us;
  if (core_is_local (from))
    core->reader_heard_us = core->now_us;
  if (member == NULL || strcmp (member->failure_domain, core->options.self.failure_domain) != 0)
    return;
  core->reader_heard_us = core->now_us;
  if (available && gs_members_precedes (core->members, member, registry_link_readers_key ()))
    core->reader_preceding_us = core->now_us;
  pull_newer_tables (core, update, from);
}

/* Whether the daemon at FROM reads the store for this one. */
static bool
is_own_reader (const GsCore *core, const GsRegistryUpdate *update, const GsPeerAddress *from)
{
  const GsMemberInfo *member = gs_members_find_address (core->members, from);

  return update->from_reader && member != NULL
         && strcmp (member->failure_domain, core->options.self.failure_domain) == 0;
}

/* Whether UPDATE can be applied to the known registrations. If records before it are missing, they
 * are pulled from the daemon that sent it. A later era of the store begins with a complete set,
 * which is pulled from the reader of this domain only: one from another domain would send a set to
 * every daemon of the fleet. */
static bool
continues_registry (GsCore *core, const GsRegistryUpdate *update, const GsPeerAddress *from)
{
  uint64_t era = gs_registry_era (core->registry);
  uint64_t position = gs_registry_position (core->registry);
  bool later_era = update->era > era;

  if (update->era != 0 && update->era < era)
    return false;
  if (update->complete || (!later_era && update->from <= position))
    return true;
  if (!core_is_local (from) && (!later_era || position == 0 || is_own_reader (core, update, from)))
    core_add_effect (core, GS_EFFECT_PULL_REGISTRY)->to = *from;
  return false;
}

/* Begins the era of UPDATE, a complete set, if it is later than the known one. */
static void
begin_era (GsCore *core, const GsRegistryUpdate *update)
{
  uint64_t before = gs_registry_era (core->registry);

  if (!gs_registry_begin_era (core->registry, update->era))
    return;
  core->era_began_us = core->now_us;
  core->registry_sent_to_all = 0;
  core->tables_heard_position = 0;
  core_log_event (core, GS_LOG_EVENT_STORE_ERA_TAKEN,
                  "era=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT " listed=%u known=%u",
                  update->era, before, update->n_changes, gs_registry_size (core->registry));
}

/* The availability of the store that UPDATE states. After a rise of its era the store counts as
 * having just returned, so that registrations missing in its copy are held. */
static GsStoreState
stated_store (const GsCore *core, const GsRegistryUpdate *update)
{
  GsStoreState store = update->store;

  if (core->era_began_us != 0)
    store.available_us = MIN (store.available_us, core->now_us - core->era_began_us);
  return store;
}

static bool
apply_registry_update (GsCore *core, const GsRegistryUpdate *update)
{
  GsStoreState store = stated_store (core, update);
  bool changed = false;

  if (update->complete)
    return gs_registry_apply_snapshot (core->registry, update->changes, update->n_changes,
                                       update->to, &store, core->now_us);
  for (uint32_t i = 0; i < update->n_changes; i++)
    changed
        = gs_registry_apply (core->registry, &update->changes[i], &store, core->now_us) || changed;
  return changed;
}

void
registry_link_receive (GsCore *core, const GsRegistryUpdate *update, const GsPeerAddress *from)
{
  bool changed;

  note_reader (core, update, from);
  if (!continues_registry (core, update, from))
    return;
  if (update->complete)
    begin_era (core, update);
  changed = apply_registry_update (core, update);
  gs_registry_advance (core->registry, update->to);
  if (changed)
    {
      log_registration_changes (core, update);
      scheduling_sync_upstreams (core);
    }
  if (update->read_here)
    send_registry_update (core, update);
  if (update->complete || (!update->read_here && update->n_changes > 0))
    core->registry_sent_to_all = MAX (core->registry_sent_to_all, update->to);
}
