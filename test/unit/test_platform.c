/* Unit tests of platform/decode: the platform's JSON documents, decoded to the daemon's types. */
#include "fixture.h"

#include <jansson.h>
#include <pthread.h>

#include "../../platform/decode.h"
#include "../../platform/redact.h"
#include "../../src/gentian/access/key_digest.h"
#include "../../src/gentian/config/tables.h"

static const char tables_text[]
    = "{\"Version\":\"r7\",\"Routes\":["
      "{\"Name\":\"a\",\"Host\":\"h\",\"PathPrefix\":\"/x/\",\"Kind\":\"unsafe\",\"Timeout\":"
      "\"3000ms\",\"TargetLatency\":\"1.5s\",\"Priority\":1,\"Service\":\"s\",\"MaxAttempts\":2},"
      "{\"Name\":\"b\",\"Host\":\"h\",\"PathPrefix\":\"/y/\",\"Kind\":\"download\",\"Timeout\":"
      "\"3s\",\"TargetLatency\":\"800ms\",\"Priority\":2,\"TrafficSplit\":[{\"Service\":\"s\","
      "\"Weight\":90},{\"Service\":\"t\",\"Weight\":10}],\"MaxAttempts\":3,\"New\":[1]}],"
      "\"Services\":[{\"Name\":\"s\",\"HealthPath\":\"/health\",\"MaxConns\":330},{\"Name\":\"t\","
      "\"MaxConns\":10}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
      "\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15s\"}}";

static const char heartbeat[]
    = "{\"Service\":\"s\",\"Address\":\"10.1.2.3:8080\",\"Zone\":\"z\",\"Version\":\"v1\","
      "\"Slots\":4,\"State\":\"ready\",\"WarmupLeft\":\"250ms\",\"Seq\":4,\"born\":17}";

static GsDocument *
parse_tables (const char *text, GError **error)
{
  return platform_decode_tables ("w", "test", text, strlen (text), error);
}

START_TEST (valid_tables_are_decoded)
{
  GsDocument *document = parse_tables (tables_text, NULL);

  ck_assert_ptr_nonnull (document);
  ck_assert_uint_eq (document->revision, 7);
  ck_assert_uint_eq (document->n_routes, 2);
  ck_assert_uint_eq (document->n_pools, 2);
  ck_assert (document->pools[0].registered);
  ck_assert_int_eq (document->routes[0].repeat, GS_REPEAT_ONCE);
  ck_assert_uint_eq (document->routes[0].timeout_ms, 3000);
  ck_assert_uint_eq (document->routes[0].target_ms, 1500);
  ck_assert_uint_eq (document->routes[0].max_attempts, 2);
  ck_assert_int_eq (document->routes[1].repeat, GS_REPEAT_SAFE);
  ck_assert_uint_eq (document->routes[1].n_parts, 2);
  ck_assert_uint_eq (document->routes[1].parts[1].weight, 10);
  ck_assert_uint_eq (document->limits.idle_timeout_ms, 15000);
  gs_document_free (document);
}
END_TEST

/* RETURN VALUE: a newly allocated copy of TEXT with the first OLD replaced by NEW. */
static char *
replace_first (const char *text, const char *old, const char *new)
{
  const char *position = strstr (text, old);

  ck_assert_ptr_nonnull (position);
  return g_strdup_printf ("%.*s%s%s", (int)(position - text), text, new, position + strlen (old));
}

/* They must be refused completely, not applied without the row that has the invalid value. */
START_TEST (tables_with_one_invalid_value_are_refused)
{
  static const char *const changes[][2]
      = { { "\"r7\"", "7" },
          { "\"r7\"", "\"r0\"" },
          { "\"r7\"", "\"r-1\"" },
          { "3000ms", "3000" },
          { "\"MaxAttempts\":2", "\"MaxAttempts\":0" },
          { "\"MaxAttempts\":2", "\"MaxAttempts\":-1" },
          { "\"Service\":\"s\",\"MaxAttempts\"", "\"Service\":\"q\",\"MaxAttempts\"" },
          { "{\"Service\":\"s\",\"Weight\":90}", "{\"Service\":\"s\",\"Weight\":-90}" },
          { "\"PathPrefix\":\"/x/\"", "\"PathPrefix\":\"x/\"" },
          { "\"Routes\":[", "\"Routes\":{\"a\":[" } };

  for (size_t i = 0; i < G_N_ELEMENTS (changes); i++)
    {
      g_autofree char *text = replace_first (tables_text, changes[i][0], changes[i][1]);
      g_autoptr (GError) error = NULL;
      ck_assert_msg (parse_tables (text, &error) == NULL, "%s", changes[i][1]);
      ck_assert_ptr_nonnull (error);
    }
}
END_TEST

/* Guards against a whole version that is kept out of force by one value above what a daemon needs:
 * the pages bound none of them. */
START_TEST (values_above_what_a_daemon_needs_are_accepted)
{
  static const struct
  {
    const char *old, *new;
    uint32_t weights[2]; /* in the proportion of the parts of the split; 0: unchanged */
  } rows[] = { { "\"Weight\":90", "\"Weight\":900000", { 900000, 10 } },
               { "\"Weight\":90", "\"Weight\":0.5", { 1, 20 } },
               { "\"Weight\":90", "\"Weight\":9e12", { 900000000, 0 } },
               { "\"MaxConns\":330", "\"MaxConns\":70000", { 0 } },
               { "\"MaxAttempts\":3", "\"MaxAttempts\":300", { 0 } },
               { "\"Priority\":2", "\"Priority\":1000", { 0 } },
               { "\"MaxBodyBytes\":67108864", "\"MaxBodyBytes\":5000000000", { 0 } } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *text = replace_first (tables_text, rows[i].old, rows[i].new);
      GsDocument *document = parse_tables (text, NULL);
      const GsRoutePart *parts;
      ck_assert_msg (document != NULL, "%s", rows[i].new);
      parts = document->routes[1].parts;
      ck_assert_uint_gt (parts[1].weight, 0);
      if (rows[i].weights[1] != 0)
        ck_assert_double_eq_tol ((double)parts[0].weight / parts[1].weight,
                                 (double)rows[i].weights[0] / rows[i].weights[1], 0.01);
      else if (rows[i].weights[0] != 0)
        ck_assert_uint_gt (parts[0].weight / parts[1].weight, 100000000);
      gs_document_free (document);
    }
}
END_TEST

/** The list of workspaces that is put into tables_text. */
#define TENANTS                                                                                    \
  "\"Tenants\":[{\"Name\":\"cuka620\",\"ApiKeys\":[\"8m82thhk\",\"jy5rcpih\"],"                    \
  "\"Priority\":1,\"RatePerS\":291,\"Burst\":290},{\"Name\":\"other\",\"ApiKeys\":[\"zz\"]}],"

/* RETURN VALUE: newly allocated tables_text with TENANTS, in which OLD is replaced by NEW. */
static char *
tables_with_tenants (const char *old, const char *new)
{
  g_autofree char *text = replace_first (tables_text, "\"Limits\"", TENANTS "\"Limits\"");

  return replace_first (text, old, new);
}

START_TEST (workspaces_are_decoded)
{
  g_autofree char *text
      = tables_with_tenants ("\"Kind\":\"unsafe\"", "\"Kind\":\"unsafe\",\"AllowAnonymous\":true");
  GsDocument *document = parse_tables (text, NULL);
  GsKeyDigest key = gs_key_digest ("jy5rcpih", 8);

  ck_assert_ptr_nonnull (document);
  ck_assert_uint_eq (document->n_workspaces, 2);
  ck_assert_ptr_eq (gs_document_workspace_by_key (document, &key), &document->workspaces[0]);
  ck_assert_str_eq (document->workspaces[0].name, "cuka620");
  ck_assert_uint_eq (document->workspaces[0].priority, 1);
  ck_assert_uint_eq (document->workspaces[0].rate_per_s, 291);
  ck_assert_uint_eq (document->workspaces[0].burst, 290);
  ck_assert_uint_eq (document->workspaces[1].rate_per_s, 0);
  ck_assert (document->routes[0].anonymous);
  ck_assert (!document->routes[1].anonymous);
  gs_document_free (document);
}
END_TEST

/* Guards against an empty list of workspaces that is taken for none, which opens the gateway. */
START_TEST (empty_list_of_workspaces_is_not_a_missing_one)
{
  static const struct
  {
    const char *field;
    bool requires_keys;
  } rows[] = { { "", false }, { "\"Tenants\":[],", true }, { "\"Tenants\":null,", true } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *field = g_strconcat (rows[i].field, "\"Limits\"", NULL);
      g_autofree char *text = replace_first (tables_text, "\"Limits\"", field);
      g_autofree char *sent = platform_redact_tables (text, strlen (text));
      GsDocument *document = parse_tables (sent, NULL);
      ck_assert_ptr_nonnull (document);
      ck_assert_int_eq (gs_document_requires_keys (document), rows[i].requires_keys);
      ck_assert_uint_eq (document->n_workspaces, 0);
      gs_document_free (document);
    }
}
END_TEST

/* Guards against tables in force with a key that nobody, or the wrong workspace, can use, and
 * against messages that show a key. */
START_TEST (ambiguous_or_malformed_workspaces_are_refused)
{
  static const char *const changes[][2]
      = { { "\"zz\"", "\"8m82thhk\"" },
          { "\"Name\":\"other\"", "\"Name\":\"cuka620\"" },
          { "\"zz\"", "\"\"" },
          { "\"zz\"", "7" },
          { "[\"zz\"]", "\"zz\"" },
          { "\"Name\":\"other\"", "\"Name\":\"\"" },
          { "\"Name\":\"other\"", "\"Name\":\"other\\r\\nX: y\"" },
          { "\"Name\":\"other\"", "\"Name\":\"other \"" },
          { "\"ApiKeys\":[\"zz\"]", "\"KeyDigests\":[\"8m82thhk\"]" },
          { "\"RatePerS\":291", "\"RatePerS\":-1" },
          { "\"Priority\":1,\"RatePerS\"", "\"Priority\":256,\"RatePerS\"" },
          { "[\"8m82thhk\",", "[\"8m82thhk\" " },
          { "\"Tenants\":[", "\"Tenants\":{\"a\":[" } };

  for (size_t i = 0; i < G_N_ELEMENTS (changes); i++)
    {
      g_autofree char *text = tables_with_tenants (changes[i][0], changes[i][1]);
      g_autoptr (GError) error = NULL;
      ck_assert_msg (parse_tables (text, &error) == NULL, "%s", changes[i][1]);
      ck_assert_msg (strstr (error->message, "8m82thhk") == NULL
                         && strstr (error->message, "jy5rcpih") == NULL,
                     "%s", error->message);
    }
}
END_TEST

/* Guards against keys in what daemons keep, show and send to each other. Tables without keys stay
 * as they are, byte by byte. */
START_TEST (kept_text_has_digests_in_place_of_keys)
{
  g_autofree char *text
      = tables_with_tenants ("\"New\":[1]", "\"New\":[{\"ApiKeys\":[\"nested\"]}]");
  g_autofree char *escaped = tables_with_tenants ("\"ApiKeys\"", "\"\\u0041piKeys\"");
  g_autofree char *redacted = platform_redact_tables (text, strlen (text));
  g_autofree char *unescaped = platform_redact_tables (escaped, strlen (escaped));
  g_autofree char *unchanged = platform_redact_tables (tables_text, strlen (tables_text));
  GsDocument *document = parse_tables (redacted, NULL);
  GsKeyDigest key = gs_key_digest ("8m82thhk", 8);

  ck_assert_ptr_nonnull (document);
  ck_assert_ptr_eq (gs_document_workspace_by_key (document, &key), &document->workspaces[0]);
  ck_assert_uint_eq (document->workspaces[0].burst, 290);
  ck_assert_uint_eq (document->limits.idle_timeout_ms, 15000);
  ck_assert_ptr_null (strstr (redacted, "8m82thhk"));
  ck_assert_ptr_null (strstr (redacted, "nested"));
  ck_assert_ptr_null (strstr (unescaped, "8m82thhk"));
  ck_assert_str_eq (unchanged, tables_text);
  ck_assert_ptr_null (platform_redact_tables ("[", 1));
  gs_document_free (document);
}
END_TEST

/** Tables with all fields that the decoder knows. */
static const char full_tables[]
    = "{\"Version\":\"r7\",\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\",\"PathPrefix\":\"/"
      "\",\"Kind\":\"safe\","
      "\"Timeout\":\"3000ms\",\"TargetLatency\":\"800ms\",\"Priority\":2,\"MaxAttempts\":2,"
      "\"AllowAnonymous\":true,\"Service\":\"s\"},{\"Name\":\"q\",\"Host\":\"h\",\"PathPrefix\":\"/"
      "q/\","
      "\"Kind\":\"safe\",\"Timeout\":\"1s\",\"TargetLatency\":\"1s\",\"Priority\":1,"
      "\"MaxAttempts\":1,"
      "\"Service\":\"s\",\"TrafficSplit\":[{\"Service\":\"s\",\"Weight\":3},{\"Service\":\"t\","
      "\"Weight\":1}]}],"
      "\"Services\":[{\"Name\":\"s\",\"MaxConns\":9},{\"Name\":\"t\",\"MaxConns\":9}],"
      "\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[\"k\"],\"RatePerS\":5,\"Burst\":6,\"Priority\":1}]"
      ","
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1000,\"HeaderTimeout\":\"3s\","
      "\"IdleTimeout\":\"15s\"}}";

/* RETURN VALUE: what is empty, or 0, among values of the type of VALUE. */
static json_t *
empty_value (const json_t *value)
{
  switch (json_typeof (value))
    {
    case JSON_ARRAY:
      return json_array ();
    case JSON_OBJECT:
      return json_object ();
    case JSON_STRING:
      return json_string ("");
    case JSON_INTEGER:
      return json_integer (0);
    default:
      return json_false ();
    }
}

/* Decodes full_tables with the field at PATH ("Routes.0.Kind") missing, null, and empty or 0. */
static void
decode_without (const char *path, GsDocument *documents[3])
{
  g_auto (GStrv) names = g_strsplit (path, ".", -1);
  guint last = g_strv_length (names) - 1;

  for (int i = 0; i < 3; i++)
    {
      json_t *root = json_loads (full_tables, 0, NULL);
      json_t *object = root;
      const json_t *value;
      char *text;
      for (guint k = 0; k < last; k++)
        object = json_is_array (object)
                     ? json_array_get (object, (size_t)g_ascii_strtoull (names[k], NULL, 10))
                     : json_object_get (object, names[k]);
      value = json_object_get (object, names[last]);
      ck_assert_msg (value != NULL, "full_tables have no %s", path);
      if (i == 0)
        json_object_del (object, names[last]);
      else
        json_object_set_new (object, names[last], i == 1 ? json_null () : empty_value (value));
      text = json_dumps (root, JSON_COMPACT);
      documents[i] = parse_tables (text, NULL);
      free (text);
      json_decref (root);
    }
}

static bool
has_same_effect (const GsDocument *a, const GsDocument *b)
{
  g_autofree char *diff = gs_tables_diff (a, b);

  return *diff == '\0' && memcmp (&a->limits, &b->limits, sizeof a->limits) == 0;
}

/* Guards against fields whose missing, null, empty and zero values are taken for each other: each
 * row of the operators' table states what they do. */
START_TEST (empty_values_do_what_the_operators_page_says)
{
  g_autofree char *page = NULL;
  g_auto (GStrv) lines = NULL;
  int rows = 0;

  ck_assert (g_file_get_contents ("docs/operators/EMPTY-VALUES.md", &page, NULL, NULL));
  lines = g_strsplit (page, "\n", -1);
  for (int i = 0; lines[i] != NULL; i++)
    {
      g_auto (GStrv) cells = g_strsplit (lines[i], " | ", -1);
      GsDocument *documents[3];
      g_autofree char *path = NULL;
      if (!g_str_has_prefix (lines[i], "| `") || g_strv_length (cells) != 4)
        continue;
      path = g_strndup (cells[0] + 3, strlen (cells[0]) - 4);
      decode_without (path, documents);
      rows++;
      for (int k = 0; k < 3; k++)
        {
          const char *cell = cells[k + 1];
          bool as_missing = documents[0] != NULL && documents[k] != NULL
                            && has_same_effect (documents[0], documents[k]);
          ck_assert_msg (g_str_has_prefix (cell, "refused") == (documents[k] == NULL), "%s: %s",
                         path, cell);
          ck_assert_msg (k == 0 || g_str_has_prefix (cell, "as missing") == as_missing, "%s: %s",
                         path, cell);
        }
      for (int k = 0; k < 3; k++)
        gs_document_free (documents[k]);
    }
  ck_assert_int_eq (rows, 27);
}
END_TEST

START_TEST (registrations_are_decoded)
{
  GsRegistration row;

  ck_assert (platform_decode_registration ("i-1", heartbeat, strlen (heartbeat), &row, NULL));
  ck_assert_str_eq (row.id, "i-1");
  ck_assert_str_eq (row.pool, "s");
  ck_assert_uint_eq (row.ipv4, 0x0a010203);
  ck_assert_uint_eq (row.port, 8080);
  ck_assert_uint_eq (row.warmup_left_ms, 250);
  ck_assert_uint_eq (row.started_ms, 17);
  ck_assert (!row.leaving);
}
END_TEST

static void
assert_refused (const char *text)
{
  g_autoptr (GError) error = NULL;
  GsRegistration row;

  ck_assert_msg (!platform_decode_registration ("i-1", text, strlen (text), &row, &error), "%s",
                 text);
  ck_assert_ptr_nonnull (error);
  ck_assert_str_eq (row.id, "i-1");
}

/* The id must be decoded even so, because an invalid registration ends the server's valid one. */
START_TEST (invalid_registrations_are_refused)
{
  static const char *const changes[][2]
      = { { "\"ready\"", "\"asleep\"" },    { "\"ready\"", "3" },
          { "10.1.2.3:8080", "10.1.2.3" },  { "10.1.2.3:8080", "host:80" },
          { "\"Slots\":4", "\"Slots\":0" }, { "\"Slots\":4", "\"Slots\":\"4\"" },
          { "\"Seq\":4", "\"Seq\":-4" },    { "\"born\":17", "\"born\":17.5" },
          { ",\"born\":17", "" },           { "\"Service\":\"s\"", "\"Service\":\"\"" },
          { "\"250ms\"", "250" },           { "{\"Service\"", "[\"Service\"" } };

  for (size_t i = 0; i < G_N_ELEMENTS (changes); i++)
    {
      g_autofree char *text = replace_first (heartbeat, changes[i][0], changes[i][1]);
      g_autoptr (GError) error = NULL;
      GsRegistration row;
      ck_assert_msg (!platform_decode_registration ("i-1", text, strlen (text), &row, &error), "%s",
                     changes[i][1]);
      ck_assert_ptr_nonnull (error);
      ck_assert_str_eq (row.id, "i-1");
    }
}
END_TEST

/* Callers would be sent to a server that nobody registered. The id is decoded even so, as above. */
START_TEST (registration_with_an_odd_value_is_refused)
{
  static const char *const fields[][2]
      = { { "\"Service\":", "\"s\"" },   { "\"Address\":", "\"10.1.2.3:8080\"" },
          { "\"Zone\":", "\"z\"" },      { "\"Slots\":", "4" },
          { "\"State\":", "\"ready\"" }, { "\"WarmupLeft\":", "\"250ms\"" },
          { "\"Seq\":", "4" },           { "\"born\":", "17" } };
  static const char *const values[] = { "null",
                                        "true",
                                        "[]",
                                        "{}",
                                        "\"\"",
                                        "-1",
                                        "1.5",
                                        "-1.5",
                                        "1e999",
                                        "-1e999",
                                        "1E400",
                                        "NaN",
                                        "Infinity",
                                        "9007199254740992",
                                        "9223372036854775807",
                                        "9223372036854775808",
                                        "-9223372036854775809",
                                        "18446744073709551616",
                                        "99999999999999999999999999",
                                        "\"a\\u0000b\"",
                                        "\"\\ud800\"",
                                        "\"\377\"",
                                        "\"a\\nb\"",
                                        "\"a\\u007fb\"",
                                        "\"a\nb\"",
                                        "0x10",
                                        "+1",
                                        "01",
                                        "1,\"State\":\"asleep\"",
                                        "" };
  static const char *const others[][2]
      = { { "8080", "0" },
          { "8080", "65536" },
          { "8080", "99999" },
          { "8080", "-1" },
          { "8080", "+80" },
          { "8080", " 80" },
          { "8080", "80 " },
          { "8080", "" },
          { "8080", "0x50" },
          { "8080", "80:80" },
          { "8080", "18446744073709551696" },
          { "8080", "80\\u0000" },
          { "10.1.2.3", "" },
          { "10.1.2.3", "::1" },
          { "10.1.2.3", "[::1]" },
          { "10.1.2.3", "10.1.2" },
          { "10.1.2.3", "10.1.2.3.4" },
          { "10.1.2.3", "10.1.2.256" },
          { "10.1.2.3", " 10.1.2.3" },
          { "10.1.2.3", "0.0.0.0" },
          { "10.1.2.3", "224.0.0.1" },
          { "10.1.2.3", "255.255.255.255" },
          { ":8080", "" },
          { "\"Slots\":4", "\"Slots\":0" },
          { "\"Slots\":4", "\"Slots\":\"4\"" },
          { "\"Slots\":4", "\"Slots\":4097" },
          { "\"Slots\":4", "\"Slots\":65540" },
          { "\"Slots\":4", "\"Slots\":2147483648" },
          { "\"Slots\":4", "\"Slots\":4.0" },
          { "250ms", "1e999ms" },
          { "250ms", "infs" },
          { "250ms", "nans" },
          { "250ms", "-250ms" },
          { "250ms", "+250ms" },
          { "250ms", " 250ms" },
          { "250ms", "250 ms" },
          { "250ms", "0x10ms" },
          { "250ms", "9999999999s" },
          { "\"Seq\":4", "\"Seq\":4,\"Seq\":5" },
          { "\"State\":\"ready\"", "\"State\":\"draining\",\"State\":\"ready\"" },
          { "\"born\":17}", "\"born\":17" },
          { "\"born\":17}", "\"born\":17}}" },
          { "\"born\":17}", "\"born\":17}{}" },
          { "\"born\":17", "\"born\":253402300800000" },
          { "{\"Service", "\377{\"Service" },
          { "{\"Service", "{\"\\u0000\":1,\"Service" } };

  for (size_t field = 0; field < G_N_ELEMENTS (fields); field++)
    for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
      {
        g_autofree char *old = g_strconcat (fields[field][0], fields[field][1], NULL);
        g_autofree char *new = g_strconcat (fields[field][0], values[i], NULL);
        g_autofree char *text = replace_first (heartbeat, old, new);
        assert_refused (text);
      }
  for (size_t i = 0; i < G_N_ELEMENTS (others); i++)
    {
      g_autofree char *text = replace_first (heartbeat, others[i][0], others[i][1]);
      assert_refused (text);
    }
}
END_TEST

enum
{
  NESTED_STACK_BYTES = 256 * 1024,
  LARGE_VALUE_BYTES = 1024 * 1024,
};

/* RETURN VALUE: a newly allocated text of DEPTH nested lists, or of as many nested objects. */
static char *
nested (const char *open, const char *close, int depth)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < depth; i++)
    g_string_append (text, open);
  g_string_append_c (text, '1');
  for (int i = 0; i < depth; i++)
    g_string_append (text, close);
  return g_string_free (text, FALSE);
}

/* Decodes a registration and tables in which VALUE stands instead of a known field, and in an
 * unknown one. */
static void
decode_with (const char *value, bool valid_when_unknown)
{
  g_autofree char *known = g_strconcat ("\"Slots\":", value, NULL);
  g_autofree char *unknown = g_strconcat ("{\"Unknown\":", value, ",\"Service\"", NULL);
  g_autofree char *with_known = replace_first (heartbeat, "\"Slots\":4", known);
  g_autofree char *with_unknown = replace_first (heartbeat, "{\"Service\"", unknown);
  g_autofree char *routes = g_strconcat ("\"Routes\":", value, ",\"New\":[", NULL);
  g_autofree char *tables = replace_first (tables_text, "\"Routes\":[", routes);
  g_autoptr (GError) error = NULL;
  GsRegistration row;

  assert_refused (with_known);
  assert_refused (value);
  ck_assert_int_eq (
      platform_decode_registration ("i-1", with_unknown, strlen (with_unknown), &row, &error),
      valid_when_unknown);
  ck_assert_ptr_null (parse_tables (tables, NULL));
  ck_assert_ptr_null (parse_tables (value, NULL));
}

static void *
decode_nested (void *data)
{
  static const int depths[] = { 1, 2, 31, 32, 100, 1000, 2040, 2047, 2048, 2049, 10000, 100000 };

  (void)data;
  for (size_t i = 0; i < G_N_ELEMENTS (depths); i++)
    {
      g_autofree char *lists = nested ("[", "]", depths[i]);
      g_autofree char *objects = nested ("{\"k\":", "}", depths[i]);
      g_autofree char *unclosed = nested ("[", "", depths[i]);
      decode_with (lists, depths[i] < 32);
      decode_with (objects, depths[i] < 32);
      decode_with (unclosed, false);
    }
  return NULL;
}

/* A decoder that recurses ends the daemon when its stack does not suffice. */
START_TEST (deeply_nested_documents_are_refused)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  ck_assert_int_eq (pthread_attr_setstacksize (&attributes, NESTED_STACK_BYTES), 0);
  ck_assert_int_eq (pthread_create (&thread, &attributes, decode_nested, NULL), 0);
  pthread_join (thread, NULL);
  pthread_attr_destroy (&attributes);
}
END_TEST

START_TEST (large_values_are_decoded_or_refused)
{
  g_autofree char *letters = g_strnfill (LARGE_VALUE_BYTES, 'a');
  g_autofree char *digits = g_strnfill (LARGE_VALUE_BYTES, '1');
  g_autofree char *text = g_strconcat ("\"", letters, "\"", NULL);

  decode_with (text, true);
  decode_with (digits, false);
}
END_TEST

START_TEST (durations_need_a_unit)
{
  uint32_t ms;

  ck_assert (platform_decode_duration ("2.5s", &ms));
  ck_assert_uint_eq (ms, 2500);
  ck_assert (platform_decode_duration ("0ms", &ms));
  ck_assert (!platform_decode_duration ("5", &ms));
  ck_assert (!platform_decode_duration ("-5ms", &ms));
  ck_assert (!platform_decode_duration ("5m", &ms));
  ck_assert (!platform_decode_duration (NULL, &ms));
}
END_TEST

FIXTURE_MAIN ("platform",
              &valid_tables_are_decoded,
              &tables_with_one_invalid_value_are_refused,
              &values_above_what_a_daemon_needs_are_accepted,
              &workspaces_are_decoded,
              &empty_values_do_what_the_operators_page_says,
              &empty_list_of_workspaces_is_not_a_missing_one,
              &ambiguous_or_malformed_workspaces_are_refused,
              &kept_text_has_digests_in_place_of_keys,
              &registrations_are_decoded,
              &invalid_registrations_are_refused,
              &registration_with_an_odd_value_is_refused,
              &deeply_nested_documents_are_refused,
              &large_values_are_decoded_or_refused,
              &durations_need_a_unit)
