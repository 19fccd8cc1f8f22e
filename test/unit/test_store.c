/* Unit tests of store/store: records of the platform's store on their way to the registry and to
 * other daemons. */
#include "fixture.h"

#include "../../platform/store_client.h"
#include "../../src/gentian/peer/wire.h"

static const char valid_value[]
    = "{\"Service\":\"s\",\"Address\":\"10.1.2.3:8080\",\"Zone\":\"z\",\"Version\":\"v1\","
      "\"Slots\":4,\"State\":\"ready\",\"WarmupLeft\":\"250ms\",\"Seq\":4,\"born\":17}";

static const GsStoreState available = { .available_us = INT64_MAX };

/* Decodes the record of KEY. VALUE is NULL for a removal. RETURN VALUE: as that of
 * gs_store_decode_change. */
static bool
decode (const char *key, const char *value, GsRegistryChange *change)
{
  GsStore *store = platform_store_new ("http://127.0.0.1:9");
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = value != NULL ? g_bytes_new (value, strlen (value)) : NULL;
  GsStoreRecord record = { .offset = 5, .key = (char *)key, .value = bytes };
  bool names_server = gs_store_decode_change (store, &record, change, &error);

  ck_assert_msg (names_server || error != NULL, "%s", key);
  gs_store_free (store);
  return names_server;
}

/* RETURN VALUE: whether other daemons can decode an update with CHANGE. */
static bool
travels (const GsRegistryChange *change)
{
  GsWireMessage message
      = { .kind = GS_WIRE_REGISTRY_UPDATE,
          .registry_update
          = { .from = 1, .to = 9, .store = available, .complete = true, .n_changes = 1 } };
  g_autoptr (GBytes) bytes = NULL;
  GsWireMessage decoded;
  gsize length;
  const char *data;
  bool ok;

  message.registry_update.changes = change;
  bytes = gs_wire_encode (&message);
  data = g_bytes_get_data (bytes, &length);
  ok = gs_wire_decode (&decoded, data, length) && decoded.registry_update.n_changes == 1;
  gs_wire_clear (&decoded);
  return ok;
}

/* Other daemons refused each update that held such a record, and kept the list of before. A removal
 * of a longer key ended the server whose id is the first 63 bytes of it. */
START_TEST (record_whose_key_is_no_id_concerns_no_server)
{
  g_autofree char *longest_id = g_strnfill (GS_NAME_MAX, 'i');
  g_autofree char *longer = g_strnfill (GS_NAME_MAX + 1, 'i');
  g_autofree char *longest_key = g_strnfill (255, 'i');
  const char *const odd[] = { "",     longer,  longest_key, "a\nb", "a\r\nHost: b", "a b", "a\tb",
                              "\001", "a\177", "a\"b",      " ",    "a\033[2J" };
  const char *const ids[] = { "i-1", longest_id, "A.b_c:d/e", "i-\303\244" };
  GsRegistryChange change;

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      ck_assert_msg (!decode (odd[i], valid_value, &change), "%s", odd[i]);
      ck_assert_msg (!decode (odd[i], "{", &change), "%s", odd[i]);
      ck_assert_msg (!decode (odd[i], NULL, &change), "%s", odd[i]);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      ck_assert_msg (decode (ids[i], valid_value, &change) && change.present, "%s", ids[i]);
      ck_assert_str_eq (change.registration.id, ids[i]);
      ck_assert (travels (&change));
      ck_assert_msg (decode (ids[i], NULL, &change) && !change.present, "%s", ids[i]);
      ck_assert_str_eq (change.registration.id, ids[i]);
      ck_assert (travels (&change));
    }
}
END_TEST

START_TEST (odd_value_ends_its_own_registration_only)
{
  static const char *const odd[]
      = { "", "{", "null", "[]", "{}", "\377\376", "{\"Slots\":99999999999999999999}" };

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      GsRegistry *registry = gs_registry_new ();
      GsRegistryChange change;
      ck_assert (decode ("i-1", valid_value, &change));
      gs_registry_apply (registry, &change, &available, 1);
      ck_assert (decode ("i-2", valid_value, &change));
      gs_registry_apply (registry, &change, &available, 1);
      ck_assert (decode ("i-1", odd[i], &change));
      ck_assert (!change.present && travels (&change));
      ck_assert (gs_registry_apply (registry, &change, &available, 2));
      ck_assert_int_eq (gs_registry_state (registry, "i-1", 17), GS_REGISTRATION_GONE);
      ck_assert_int_eq (gs_registry_state (registry, "i-2", 17), GS_REGISTRATION_SERVING);
      gs_registry_free (registry);
    }
}
END_TEST

FIXTURE_MAIN ("store",
              &record_whose_key_is_no_id_concerns_no_server,
              &odd_value_ends_its_own_registration_only)
