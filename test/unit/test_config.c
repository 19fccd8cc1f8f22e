/* Unit tests of config/fields, config/tables and config/settings. */
#include "../../src/gentian/config/fields.h"
#include "../../src/gentian/config/settings.h"
#include "../../src/gentian/cost/cost_model.h"
#include "../../src/gentian/config/tables.h"
#include "fixture.h"

#define DIGEST "8bdf0ba6f4d0b0ffb1e2c8d13eb9b1c0"

static const char valid_tables[]
    = "pools:\n"
      "  - {name: p, upstreams: [{id: a, address: 127.0.0.1, port: 1}]}\n"
      "routes:\n"
      "  - {name: r, prefix: /, pool: p}\n";

/* Parses TEXT and expects EXPECTED_TEXT, unless NULL, in the message of an error. RETURN VALUE: the
 * error's code; 0: no error. */
static int
parse_error (const char *text, const char *expected_text)
{
  g_autoptr (GError) error = NULL;
  GsDocument *document = gs_tables_parse ("w", "t.yaml", text, strlen (text), &error);

  gs_document_free (document);
  if (error != NULL && expected_text != NULL)
    ck_assert_msg (strstr (error->message, expected_text) != NULL, "%s", error->message);
  return error != NULL ? error->code : 0;
}

START_TEST (valid_tables_parse)
{
  GsDocument *document = gs_tables_parse ("w", "t.yaml", valid_tables, strlen (valid_tables), NULL);

  ck_assert_ptr_nonnull (document);
  ck_assert_uint_eq (document->pools[0].slots, 4);
  ck_assert_uint_eq (document->pools[0].upstreams[0].ipv4, 0x7f000001);
  ck_assert_int_eq (document->routes[0].repeat, GS_REPEAT_ONCE);
  gs_document_free (document);
}
END_TEST

START_TEST (errors_state_the_line_and_the_field)
{
  ck_assert_int_eq (parse_error ("pools: [", NULL), GS_CONFIG_ERROR_SYNTAX);
  ck_assert_int_eq (parse_error ("- a", NULL), GS_CONFIG_ERROR_SYNTAX);
  ck_assert_int_eq (parse_error ("bad: 1", "t.yaml:1: field bad"), GS_CONFIG_ERROR_UNKNOWN);
  ck_assert_int_eq (
      parse_error ("pools:\n - {name: p, slots: x}", "t.yaml:2: field slots: found x"),
      GS_CONFIG_ERROR_TYPE);
  ck_assert_int_eq (parse_error ("pools:\n - {name: p, slots: 0}", "allowed 1 to 1024"),
                    GS_CONFIG_ERROR_RANGE);
  ck_assert_int_eq (parse_error ("pools:\n - {slots: 4}", "field name"), GS_CONFIG_ERROR_MISSING);
  ck_assert_int_eq (parse_error ("pools:\n - {name: p}\n - {name: p}", "t.yaml:3"),
                    GS_CONFIG_ERROR_DUPLICATE);
  ck_assert_int_eq (
      parse_error ("routes:\n - {name: r, prefix: /, pool: q}", "field pool: found q"),
      GS_CONFIG_ERROR_REFERENCE);
  ck_assert_int_eq (parse_error ("routes: 7", "a list"), GS_CONFIG_ERROR_TYPE);
  ck_assert_int_eq (parse_error ("pools:\n - {name: p, name: p}", "duplicate"),
                    GS_CONFIG_ERROR_DUPLICATE);
  ck_assert_int_eq (parse_error ("pools:\n - {name: 'a b'}", "letters"), GS_CONFIG_ERROR_RANGE);
}
END_TEST

START_TEST (invalid_rows_are_refused)
{
  ck_assert_int_eq (
      parse_error ("pools: [{name: p}]\nroutes: [{name: r, prefix: x, pool: p}]", NULL),
      GS_CONFIG_ERROR_RANGE);
  ck_assert_int_eq (parse_error ("pools: [{name: p}]\n"
                                 "routes: [{name: r, prefix: /, pool: p, timeout_ms: 20,"
                                 " attempt_timeout_ms: 30}]",
                                 NULL),
                    GS_CONFIG_ERROR_RANGE);
  ck_assert_int_eq (
      parse_error ("pools: [{name: p, upstreams: [{id: a, address: here, port: 1}]}]", NULL),
      GS_CONFIG_ERROR_TYPE);
  ck_assert_int_eq (parse_error ("pools: [{name: p}]\nroutes: [{name: a, prefix: /, pool: p},"
                                 " {name: b, prefix: /, pool: p}]",
                                 NULL),
                    GS_CONFIG_ERROR_DUPLICATE);
}
END_TEST

START_TEST (splits_and_priorities_parse)
{
  static const char text[]
      = "pools: [{name: p, registered: true}, {name: q, registered: true}]\n"
        "routes: [{name: r, prefix: /, pool: p, target_ms: 800, priority: 2, max_attempts: 2,\n"
        "  split: [{pool: p, weight: 90}, {pool: q, weight: 10}]}]\n";
  static const char *const replacements[][2]
      = { { "{pool: q, weight: 10}", "{pool: z, weight: 10}" },
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
  for (size_t i = 0; i < G_N_ELEMENTS (replacements); i++)
    {
      const char *position = strstr (text, replacements[i][0]);
      g_autofree char *changed
          = g_strdup_printf ("%.*s%s%s", (int)(position - text), text, replacements[i][1],
                             position + strlen (replacements[i][0]));
      ck_assert_ptr_null (gs_tables_parse ("w", "t", changed, strlen (changed), NULL));
    }
}
END_TEST

/* Guards against ambiguous keys in force, and against messages that show a text which may be a key.
 */
START_TEST (workspaces_parse_or_are_refused_as_a_whole)
{
  static const char *const rows[][2] = {
    { "{name: a, key_digests: [" DIGEST "], rate_per_s: 5, burst: 6, priority: 7}, {name: b}",
      NULL },
    { "{name: a, key_digests: [" DIGEST "]}, {name: b, key_digests: [" DIGEST "]}", "GSC6" },
    { "{name: a}, {name: a}", "GSC6" },
    { "{name: a, key_digests: [SECRET]}", "GSC3" },
    { "{name: a, key_digests: ['']}", "GSC3" },
    { "{name: a b}", "GSC" },
    { "{name: a, priority: 256}", "GSC4" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *text = g_strdup_printf ("%s\nworkspaces: [%s]\n", valid_tables, rows[i][0]);
      g_autoptr (GError) error = NULL;
      GsDocument *document = gs_tables_parse ("w", "t", text, strlen (text), &error);
      ck_assert_msg ((document != NULL) == (rows[i][1] == NULL), "%s", rows[i][0]);
      if (document == NULL)
        ck_assert_msg (strstr (error->message, rows[i][1]) != NULL
                           && strstr (error->message, "SECRET") == NULL,
                       "%s", error->message);
      else
        {
          g_autofree char *diff = gs_tables_diff (NULL, document);
          ck_assert_uint_eq (document->workspaces[0].rate_per_s, 5);
          ck_assert_uint_eq (document->workspaces[0].burst, 6);
          ck_assert_uint_eq (document->workspaces[0].priority, 7);
          ck_assert (gs_document_workspace_by_key (document, document->workspaces[0].keys)
                     == &document->workspaces[0]);
          ck_assert (strstr (diff, "+ workspace a: ") != NULL);
        }
      gs_document_free (document);
    }
}
END_TEST

/* Guards against an empty list of workspaces that opens the gateway, or that a diff does not show.
 */
START_TEST (empty_list_of_workspaces_requires_keys)
{
  g_autofree char *text = g_strconcat (valid_tables, "\nworkspaces: []\n", NULL);
  GsDocument *open = gs_tables_parse ("w", "t", valid_tables, strlen (valid_tables), NULL);
  GsDocument *closed = gs_tables_parse ("w", "t", text, strlen (text), NULL);
  g_autofree char *diff = gs_tables_diff (open, closed);

  ck_assert (!gs_document_requires_keys (open));
  ck_assert (gs_document_requires_keys (closed));
  ck_assert_str_eq (diff, "+ workspaces: requests need a key\n");
  gs_document_free (open);
  gs_document_free (closed);
}
END_TEST

START_TEST (diff_lists_added_rows)
{
  GsDocument *document = gs_tables_parse ("w", "t", valid_tables, strlen (valid_tables), NULL);
  g_autofree char *no_diff = gs_tables_diff (document, document);
  g_autofree char *full_diff = gs_tables_diff (NULL, document);

  ck_assert_str_eq (no_diff, "");
  ck_assert (strstr (full_diff, "+ route r: */ -> p") != NULL);
  gs_document_free (document);
}
END_TEST

static const char settings_text[]
    = "instance: i\nfailure_domain: d\naddress: 127.0.0.1\nentry_port: 1\nadmin_port: 2\n"
      "peer_port: 3\nplatform_url: http://127.0.0.1:4\n"
      "peer_public_key: '0123456789012345678901234567890123456789'\n"
      "peer_secret_key: '0123456789012345678901234567890123456789'\n"
      "fleet_key: '0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef'\n"
      "admin_key: '%s'\nseeds: ['%s']\n";

START_TEST (invalid_settings_are_refused_without_showing_keys)
{
  static const char valid_key[]
      = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
  static const char invalid_key[]
      = "SECRET6789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
  g_autofree char *text = g_strdup_printf (settings_text, valid_key, "127.0.0.1:9");
  g_autofree char *text_with_invalid_key
      = g_strdup_printf (settings_text, invalid_key, "127.0.0.1:9");
  g_autofree char *text_with_invalid_seed = g_strdup_printf (settings_text, valid_key, "127.0.0.1");
  g_autoptr (GError) error = NULL;
  GsSettings *settings = gs_settings_parse ("s", text, strlen (text), NULL);

  ck_assert_ptr_nonnull (settings);
  ck_assert_uint_eq (settings->n_seeds, 1);
  ck_assert_int_eq (settings->placement, GS_PLACEMENT_AUTO);
  ck_assert_uint_eq (settings->seeds[0].peer_port, 9);
  gs_settings_free (settings);
  ck_assert_ptr_null (
      gs_settings_parse ("s", text_with_invalid_seed, strlen (text_with_invalid_seed), NULL));
  ck_assert_ptr_null (
      gs_settings_parse ("s", text_with_invalid_key, strlen (text_with_invalid_key), &error));
  ck_assert_ptr_null (strstr (error->message, "SECRET"));
}
END_TEST

FIXTURE_MAIN ("config",
              &valid_tables_parse,
              &errors_state_the_line_and_the_field,
              &invalid_rows_are_refused,
              &splits_and_priorities_parse,
              &workspaces_parse_or_are_refused_as_a_whole,
              &empty_list_of_workspaces_requires_keys,
              &diff_lists_added_rows,
              &invalid_settings_are_refused_without_showing_keys)
