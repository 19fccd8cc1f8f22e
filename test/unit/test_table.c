/* Unit tests of core/table. */
#include "fixture.h"

START_TEST (longest_prefix_wins)
{
  GsTable *table = gs_table_new ();
  GsDocument *document = fixture_tables (2, GS_REPEAT_SAFE);

  document->routes = g_renew (GsRoute, document->routes, 2);
  document->n_routes = 2;
  document->routes[1] = (GsRoute){ .name = g_strdup ("long"),
                                   .host = g_strdup ("h"),
                                   .prefix = g_strdup ("/refunds"),
                                   .pool = g_strdup ("p") };
  ck_assert (gs_table_replace (table, document));
  ck_assert_str_eq (gs_table_match (table, "h", "/refunds/1")->name, "long");
  ck_assert_str_eq (gs_table_match (table, "h", "/other")->name, "r");
  ck_assert_ptr_null (gs_table_match (table, "other", "/refunds"));
  gs_table_free (table);
}
END_TEST

/* Guards against a 404 for a routed path because the caller, or the operator, writes the host in
 * capitals. */
START_TEST (host_matches_in_upper_and_lower_case)
{
  GsTable *table = gs_table_new ();
  GsDocument *document = fixture_tables (1, GS_REPEAT_SAFE);
  GsDocument *other = fixture_tables (1, GS_REPEAT_SAFE);

  g_free (document->routes[0].host);
  document->routes[0].host = g_strdup ("Depot.Example");
  gs_table_replace (table, document);
  ck_assert_ptr_nonnull (gs_table_match (table, "Depot.Example", "/a"));
  ck_assert_ptr_nonnull (gs_table_match (table, "depot.example", "/a"));
  ck_assert_ptr_nonnull (gs_table_match (table, "DEPOT.EXAMPLE", "/a"));
  g_free (other->workspace);
  other->workspace = g_strdup ("x");
  g_free (other->routes[0].host);
  other->routes[0].host = g_strdup ("depot.example");
  ck_assert_ptr_nonnull (gs_table_find_clash (table, other));
  gs_document_free (other);
  gs_table_replace (table, gs_document_new ("w", 5));
  ck_assert_ptr_null (gs_table_match (table, "depot.example", "/a"));
  gs_table_free (table);
}
END_TEST

START_TEST (wildcard_host_matches_any_host)
{
  GsTable *table = gs_table_new ();
  GsDocument *document = fixture_tables (1, GS_REPEAT_SAFE);

  g_free (document->routes[0].host);
  document->routes[0].host = g_strdup ("*");
  gs_table_replace (table, document);
  ck_assert_str_eq (gs_table_match (table, "anything", "/a")->name, "r");
  gs_table_free (table);
}
END_TEST

START_TEST (older_revision_is_refused)
{
  GsTable *table = gs_table_new ();
  GsDocument *newer = fixture_tables (3, GS_REPEAT_SAFE);
  GsDocument *older = fixture_tables (1, GS_REPEAT_SAFE);

  newer->revision = 9;
  older->revision = 8;
  ck_assert (gs_table_replace (table, newer));
  ck_assert (!gs_table_replace (table, older));
  ck_assert_int_eq (gs_table_pool (table, "w", "p")->n_upstreams, 3);
  gs_table_free (table);
}
END_TEST

START_TEST (route_of_another_workspace_clashes)
{
  GsTable *table = gs_table_new ();
  GsDocument *other = fixture_tables (1, GS_REPEAT_SAFE);

  gs_table_replace (table, fixture_tables (1, GS_REPEAT_SAFE));
  ck_assert_ptr_null (gs_table_find_clash (table, other));
  g_free (other->workspace);
  other->workspace = g_strdup ("x");
  ck_assert_ptr_nonnull (gs_table_find_clash (table, other));
  gs_document_free (other);
  gs_table_free (table);
}
END_TEST

START_TEST (replacement_drops_the_old_rows)
{
  GsTable *table = gs_table_new ();
  GsDocument *empty = gs_document_new ("w", 5);

  gs_table_replace (table, fixture_tables (1, GS_REPEAT_SAFE));
  gs_table_replace (table, empty);
  ck_assert_ptr_null (gs_table_match (table, "h", "/"));
  ck_assert_ptr_null (gs_table_pool (table, "w", "p"));
  gs_table_free (table);
}
END_TEST

FIXTURE_MAIN ("table",
              &longest_prefix_wins,
              &host_matches_in_upper_and_lower_case,
              &wildcard_host_matches_any_host,
              &older_revision_is_refused,
              &route_of_another_workspace_clashes,
              &replacement_drops_the_old_rows)
