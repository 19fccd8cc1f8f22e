/* Unit tests of config/fields, config/tables and config/settings. */
#include "../../src/gentian/config/fields.h"
#include "../../src/gentian/config/settings.h"
#include "../../src/gentian/config/tables.h"
#include "fixture.h"

static const char good[] = "pools:\n"
                           "  - {name: p, upstreams: [{id: a, address: 127.0.0.1, port: 1}]}\n"
                           "routes:\n"
                           "  - {name: r, prefix: /, pool: p}\n";

/* Parses TEXT. RETURN VALUE: the error's code, 0 when there is none. */
static int
code_of (const char *text, const char *expected_place)
{
  g_autoptr (GError) error = NULL;
  GsDocument *document = gs_tables_parse ("w", "t.yaml", text, strlen (text), &error);

  gs_document_free (document);
  if (error != NULL && expected_place != NULL)
    ck_assert_msg (strstr (error->message, expected_place) != NULL, "%s", error->message);
  return error != NULL ? error->code : 0;
}

START_TEST (good_tables_parse)
{
  GsDocument *document = gs_tables_parse ("w", "t.yaml", good, strlen (good), NULL);

  ck_assert_ptr_nonnull (document);
  ck_assert_uint_eq (document->pools[0].slots, 4);
  ck_assert_uint_eq (document->pools[0].upstreams[0].ipv4, 0x7f000001);
  ck_assert_int_eq (document->routes[0].repeat, GS_REPEAT_ONCE);
  gs_document_free (document);
}
END_TEST

START_TEST (errors_name_the_place)
{
  ck_assert_int_eq (code_of ("pools: [", NULL), GS_CONFIG_ERROR_SYNTAX);
  ck_assert_int_eq (code_of ("- a", NULL), GS_CONFIG_ERROR_SYNTAX);
  ck_assert_int_eq (code_of ("bad: 1", "t.yaml:1: field bad"), GS_CONFIG_ERROR_UNKNOWN);
  ck_assert_int_eq (code_of ("pools:\n - {name: p, slots: x}", "t.yaml:2: field slots: found x"),
                    GS_CONFIG_ERROR_TYPE);
  ck_assert_int_eq (code_of ("pools:\n - {name: p, slots: 0}", "allowed 1 to 1024"),
                    GS_CONFIG_ERROR_RANGE);
  ck_assert_int_eq (code_of ("pools:\n - {slots: 4}", "field name"), GS_CONFIG_ERROR_MISSING);
  ck_assert_int_eq (code_of ("pools:\n - {name: p}\n - {name: p}", "t.yaml:3"),
                    GS_CONFIG_ERROR_DUPLICATE);
  ck_assert_int_eq (code_of ("routes:\n - {name: r, prefix: /, pool: q}", "field pool: found q"),
                    GS_CONFIG_ERROR_REFERENCE);
  ck_assert_int_eq (code_of ("routes: 7", "a list"), GS_CONFIG_ERROR_TYPE);
  ck_assert_int_eq (code_of ("pools:\n - {name: p, name: p}", "duplicate"),
                    GS_CONFIG_ERROR_DUPLICATE);
  ck_assert_int_eq (code_of ("pools:\n - {name: 'a b'}", "letters"), GS_CONFIG_ERROR_RANGE);
}
END_TEST

START_TEST (wrong_rows_are_refused)
{
  ck_assert_int_eq (code_of ("pools: [{name: p}]\nroutes: [{name: r, prefix: x, pool: p}]", NULL),
                    GS_CONFIG_ERROR_RANGE);
  ck_assert_int_eq (code_of ("pools: [{name: p}]\n"
                             "routes: [{name: r, prefix: /, pool: p, timeout_ms: 20,"
                             " attempt_timeout_ms: 30}]",
                             NULL),
                    GS_CONFIG_ERROR_RANGE);
  ck_assert_int_eq (
      code_of ("pools: [{name: p, upstreams: [{id: a, address: here, port: 1}]}]", NULL),
      GS_CONFIG_ERROR_TYPE);
  ck_assert_int_eq (code_of ("pools: [{name: p}]\nroutes: [{name: a, prefix: /, pool: p},"
                             " {name: b, prefix: /, pool: p}]",
                             NULL),
                    GS_CONFIG_ERROR_DUPLICATE);
}
END_TEST

START_TEST (splits_and_ranks_parse)
{
  static const char text[]
      = "pools: [{name: p, registered: true}, {name: q, registered: true}]\n"
        "routes: [{name: r, prefix: /, pool: p, target_ms: 800, priority: 2, max_attempts: 2,\n"
        "  split: [{pool: p, weight: 90}, {pool: q, weight: 10}]}]\n";
  static const char *const broken[][2] = { { "{pool: q, weight: 10}", "{pool: z, weight: 10}" },
                                           { "{pool: q, weight: 10}", "{pool: q}" },
                                           { "max_attempts: 2", "max_attempts: 0" } };
  GsDocument *document = gs_tables_parse ("w", "t", text, strlen (text), NULL);

  ck_assert_ptr_nonnull (document);
  ck_assert (document->pools[1].registered);
  ck_assert_uint_eq (document->routes[0].n_parts, 2);
  ck_assert_uint_eq (document->routes[0].parts[0].weight, 90);
  ck_assert_uint_eq (document->routes[0].target_ms, 800);
  ck_assert_uint_eq (document->routes[0].priority, 2);
  gs_document_free (document);
  for (size_t i = 0; i < G_N_ELEMENTS (broken); i++)
    {
      const char *place = strstr (text, broken[i][0]);
      g_autofree char *changed = g_strdup_printf ("%.*s%s%s", (int)(place - text), text,
                                                  broken[i][1], place + strlen (broken[i][0]));
      ck_assert_ptr_null (gs_tables_parse ("w", "t", changed, strlen (changed), NULL));
    }
}
END_TEST

START_TEST (diff_names_rows)
{
  GsDocument *one = gs_tables_parse ("w", "t", good, strlen (good), NULL);
  g_autofree char *same = gs_tables_diff (one, one);
  g_autofree char *all = gs_tables_diff (NULL, one);

  ck_assert_str_eq (same, "");
  ck_assert (strstr (all, "+ route r: */ -> p") != NULL);
  gs_document_free (one);
}
END_TEST

static const char settings_text[]
    = "instance: i\nfailure_domain: d\naddress: 127.0.0.1\nentry_port: 1\nadmin_port: 2\n"
      "peer_port: 3\nplatform_url: http://127.0.0.1:4\n"
      "peer_public_key: '0123456789012345678901234567890123456789'\n"
      "peer_secret_key: '0123456789012345678901234567890123456789'\n"
      "fleet_key: '0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef'\n"
      "admin_key: '%s'\nseeds: ['%s']\n";

START_TEST (settings_are_checked)
{
  static const char key[] = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
  static const char bad[] = "SECRET6789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
  g_autofree char *text = g_strdup_printf (settings_text, key, "127.0.0.1:9");
  g_autofree char *bad_key = g_strdup_printf (settings_text, bad, "127.0.0.1:9");
  g_autofree char *bad_seed = g_strdup_printf (settings_text, key, "127.0.0.1");
  g_autoptr (GError) error = NULL;
  GsSettings *settings = gs_settings_parse ("s", text, strlen (text), NULL);

  ck_assert_ptr_nonnull (settings);
  ck_assert_uint_eq (settings->n_seeds, 1);
  ck_assert_uint_eq (settings->seeds[0].peer_port, 9);
  gs_settings_free (settings);
  ck_assert_ptr_null (gs_settings_parse ("s", bad_seed, strlen (bad_seed), NULL));
  ck_assert_ptr_null (gs_settings_parse ("s", bad_key, strlen (bad_key), &error));
  ck_assert_ptr_null (strstr (error->message, "SECRET"));
}
END_TEST

FIXTURE_MAIN ("config",
              &good_tables_parse,
              &errors_name_the_place,
              &wrong_rows_are_refused,
              &splits_and_ranks_parse,
              &diff_names_rows,
              &settings_are_checked)
