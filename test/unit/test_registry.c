/* Unit tests of the registrations of backend servers. */
#include "fixture.h"

#include "../../src/gentian/core/registry.h"

#define SECOND GS_US_PER_S

static const GsStoreState settled = { .available_us = INT64_MAX };
static const GsStoreState away = { .unavailable = true };

static GsRegistryChange
beat (uint64_t offset, const char *id, uint64_t started_ms, uint64_t sequence)
{
  GsRegistryChange change = { .offset = offset,
                              .present = true,
                              .registration = { .pool = "p",
                                                .failure_domain = "d",
                                                .ipv4 = 1,
                                                .port = 80,
                                                .slots = 4,
                                                .started_ms = started_ms,
                                                .sequence = sequence } };

  g_strlcpy (change.registration.id, id, sizeof change.registration.id);
  return change;
}

static GsRegistryChange
removal (uint64_t offset, const char *id)
{
  GsRegistryChange change = { .offset = offset };

  g_strlcpy (change.registration.id, id, sizeof change.registration.id);
  return change;
}

static bool
take (GsRegistry *registry, GsRegistryChange change, GsStoreState store, int64_t now_us)
{
  return gs_registry_apply (registry, &change, &store, now_us);
}

START_TEST (a_heartbeat_changes_nothing)
{
  GsRegistry *registry = gs_registry_new ();

  ck_assert (take (registry, beat (0, "a", 10, 1), settled, SECOND));
  ck_assert (!take (registry, beat (1, "a", 10, 2), settled, 2 * SECOND));
  ck_assert_int_eq (gs_registry_state (registry, "a", 10), GS_REGISTRATION_SERVING);
  gs_registry_free (registry);
}
END_TEST

START_TEST (late_records_replace_nothing)
{
  GsRegistry *registry = gs_registry_new ();
  GsRegistryChange leaving = beat (5, "a", 10, 7);
  GsRegistryChange late = beat (6, "a", 10, 6);
  GsRegistryChange earlier_life = beat (9, "a", 9, 99);

  leaving.registration.leaving = true;
  take (registry, beat (4, "a", 10, 5), settled, SECOND);
  ck_assert (take (registry, leaving, settled, SECOND));
  ck_assert (!take (registry, late, settled, SECOND));
  ck_assert (!take (registry, earlier_life, settled, SECOND));
  ck_assert_int_eq (gs_registry_state (registry, "a", 10), GS_REGISTRATION_LEAVING);
  gs_registry_free (registry);
}
END_TEST

START_TEST (a_new_life_under_the_same_id)
{
  GsRegistry *registry = gs_registry_new ();

  take (registry, beat (0, "a", 10, 50), settled, SECOND);
  ck_assert (take (registry, beat (1, "a", 20, 1), settled, SECOND));
  ck_assert_int_eq (gs_registry_state (registry, "a", 10), GS_REGISTRATION_GONE);
  ck_assert_int_eq (gs_registry_state (registry, "a", 20), GS_REGISTRATION_SERVING);
  gs_registry_free (registry);
}
END_TEST

START_TEST (a_removal_counts_at_once)
{
  GsRegistry *registry = gs_registry_new ();

  take (registry, beat (0, "a", 10, 1), settled, SECOND);
  ck_assert (take (registry, removal (1, "a"), settled, 2 * SECOND));
  ck_assert_int_eq (gs_registry_state (registry, "a", 10), GS_REGISTRATION_GONE);
  ck_assert_uint_eq (gs_registry_size (registry), 0);
  gs_registry_free (registry);
}
END_TEST

START_TEST (a_lapse_while_the_store_is_away_is_held_back)
{
  GsRegistry *registry = gs_registry_new ();

  take (registry, beat (0, "a", 10, 1), settled, SECOND);
  take (registry, beat (1, "b", 10, 1), settled, SECOND);
  take (registry, removal (2, "a"), (GsStoreState){ .available_us = SECOND }, 10 * SECOND);
  take (registry, removal (3, "b"), away, 10 * SECOND);
  ck_assert_int_eq (gs_registry_state (registry, "a", 10), GS_REGISTRATION_DOUBTFUL);
  ck_assert_int_eq (gs_registry_state (registry, "b", 10), GS_REGISTRATION_DOUBTFUL);
  take (registry, beat (4, "b", 10, 9), settled, 11 * SECOND);
  ck_assert (gs_registry_tick (registry, 10 * SECOND + GS_REGISTRY_REMOVAL_DELAY_US));
  ck_assert_int_eq (gs_registry_state (registry, "a", 10), GS_REGISTRATION_GONE);
  ck_assert_int_eq (gs_registry_state (registry, "b", 10), GS_REGISTRATION_SERVING);
  gs_registry_free (registry);
}
END_TEST

START_TEST (a_server_that_leaves_is_not_held_back)
{
  GsRegistry *registry = gs_registry_new ();
  GsRegistryChange leaving = beat (1, "a", 10, 2);

  leaving.registration.leaving = true;
  take (registry, beat (0, "a", 10, 1), settled, SECOND);
  take (registry, leaving, away, SECOND);
  take (registry, removal (2, "a"), away, 2 * SECOND);
  ck_assert_int_eq (gs_registry_state (registry, "a", 10), GS_REGISTRATION_GONE);
  gs_registry_free (registry);
}
END_TEST

START_TEST (another_reader_ends_the_hold)
{
  GsRegistry *registry = gs_registry_new ();

  take (registry, beat (0, "a", 10, 1), settled, SECOND);
  take (registry, removal (1, "a"), away, 2 * SECOND);
  ck_assert (take (registry, removal (1, "a"), settled, 2 * SECOND + 1));
  ck_assert_int_eq (gs_registry_state (registry, "a", 10), GS_REGISTRATION_GONE);
  gs_registry_free (registry);
}
END_TEST

START_TEST (a_whole_list_removes_the_rest)
{
  GsRegistry *registry = gs_registry_new ();
  GsRegistryChange kept = beat (7, "b", 10, 3);

  take (registry, beat (0, "a", 10, 1), settled, SECOND);
  take (registry, beat (1, "b", 10, 1), settled, SECOND);
  take (registry, beat (9, "c", 10, 1), settled, SECOND); /* newer than the list */
  ck_assert (gs_registry_apply_snapshot (registry, &kept, 1, 8, &settled, 2 * SECOND));
  ck_assert_int_eq (gs_registry_state (registry, "a", 10), GS_REGISTRATION_GONE);
  ck_assert_int_eq (gs_registry_state (registry, "b", 10), GS_REGISTRATION_SERVING);
  ck_assert_int_eq (gs_registry_state (registry, "c", 10), GS_REGISTRATION_SERVING);
  ck_assert_uint_eq (gs_registry_position (registry), 8);
  gs_registry_free (registry);
}
END_TEST

START_TEST (a_dump_leaves_out_what_was_removed)
{
  GsRegistry *registry = gs_registry_new ();
  g_autofree GsRegistryChange *changes = NULL;
  uint32_t count;

  take (registry, beat (0, "a", 10, 1), settled, SECOND);
  take (registry, beat (1, "b", 10, 1), settled, SECOND);
  take (registry, removal (2, "a"), away, 2 * SECOND);
  changes = gs_registry_dump (registry, &count);
  ck_assert_uint_eq (count, 1);
  ck_assert_str_eq (changes[0].registration.id, "b");
  gs_registry_free (registry);
}
END_TEST

FIXTURE_MAIN ("registry",
              &a_heartbeat_changes_nothing,
              &late_records_replace_nothing,
              &a_new_life_under_the_same_id,
              &a_removal_counts_at_once,
              &a_lapse_while_the_store_is_away_is_held_back,
              &a_server_that_leaves_is_not_held_back,
              &another_reader_ends_the_hold,
              &a_whole_list_removes_the_rest,
              &a_dump_leaves_out_what_was_removed)
