#include "tables.h"

#include <arpa/inet.h>
#include <string.h>

#include "fields.h"
#include "workspaces.h"

enum
{
  TABLES_PARTS_MAX = 64,      /* pools of a split */
  TABLES_UPSTREAMS_MAX = 512, /* of a pool */
};

typedef struct
{
  char *name;
  char *host;
  char *prefix;
  char *pool;
  int repeat;
  uint32_t timeout_ms;
  uint32_t attempt_timeout_ms;
  uint32_t weight;
  uint32_t target_ms;
  uint32_t priority;
  uint32_t max_attempts;
  int anonymous;
  yaml_node_t *split;
} RouteFields;

typedef struct
{
  char *pool;
  uint32_t weight;
} PartFields;

typedef struct
{
  char *name;
  uint32_t slots;
  uint32_t max_connections;
  uint32_t floor_percent;
  uint32_t homes;
  int cost;
  int registered;
  yaml_node_t *upstreams;
} PoolFields;

typedef struct
{
  char *id;
  char *failure_domain;
  uint32_t address;
  uint32_t port;
  int state;
} UpstreamFields;

typedef struct
{
  yaml_node_t *routes;
  yaml_node_t *pools;
  yaml_node_t *workspaces;
} TopFields;

static const char *const repeat_names[] = { "safe", "once", "never", NULL };
static const char *const cost_names[] = { "balanced", "false-ejection", "detection", NULL };
static const char *const state_names[] = { "serving", "leaving", NULL };

#define AT(type, field) offsetof (type, field)

static const GsFieldSpec route_specs[] = {
  { "name", GS_FIELD_NAME, AT (RouteFields, name), 1, GS_NAME_MAX, NULL, "bytes",
    "name of the route", NULL },
  { "host", GS_FIELD_TEXT, AT (RouteFields, host), 1, 253, "*", "bytes",
    "host of the request; `*` matches any host", NULL },
  { "prefix", GS_FIELD_TEXT, AT (RouteFields, prefix), 1, 512, NULL, "bytes",
    "path prefix, starts with /", NULL },
  { "pool", GS_FIELD_NAME, AT (RouteFields, pool), 1, GS_NAME_MAX, NULL, "bytes",
    "pool of the same workspace", NULL },
  { "repeat", GS_FIELD_CHOICE, AT (RouteFields, repeat), 0, 0, "once", "-",
    "safe: idempotent; once: retried only when not run; never: at most once, also across resends",
    repeat_names },
  { "timeout_ms", GS_FIELD_UINT, AT (RouteFields, timeout_ms), 10, 3600000, "10000", "ms",
    "time limit for the whole request", NULL },
  { "attempt_timeout_ms", GS_FIELD_UINT, AT (RouteFields, attempt_timeout_ms), 10, 3600000, "2000",
    "ms", "time limit for the first byte of the answer to one attempt", NULL },
  { "weight", GS_FIELD_UINT, AT (RouteFields, weight), 1, 1000, "1", "-",
    "relative share of the pool under overload, among requests without a workspace", NULL },
  { "target_ms", GS_FIELD_UINT, AT (RouteFields, target_ms), 0, 3600000, "0", "ms",
    "latency up to which an answer has its full value; 0: none", NULL },
  { "priority", GS_FIELD_UINT, AT (RouteFields, priority), 0, 255, "0", "-",
    "priority among the pool's requests, after that of the workspace; 0 is the highest", NULL },
  { "max_attempts", GS_FIELD_UINT, AT (RouteFields, max_attempts), 1, 16, "3", "attempts",
    "maximum attempts of one request to a registered pool, not counting those that did not run",
    NULL },
  { "anonymous", GS_FIELD_BOOL, AT (RouteFields, anonymous), 0, 0, "false", "-",
    "requests need no key although the file has workspaces", NULL },
  { "split", GS_FIELD_NODE, AT (RouteFields, split), 0, 0, NULL, "rows",
    "pools with weights among which the requests are divided, instead of `pool`", NULL },
};

static const GsFieldSpec part_specs[] = {
  { "pool", GS_FIELD_NAME, AT (PartFields, pool), 1, GS_NAME_MAX, NULL, "bytes",
    "pool of the same workspace", NULL },
  { "weight", GS_FIELD_UINT, AT (PartFields, weight), 0, 65535, NULL, "-",
    "share relative to the other parts", NULL },
};

static const GsFieldSpec pool_specs[] = {
  { "name", GS_FIELD_NAME, AT (PoolFields, name), 1, GS_NAME_MAX, NULL, "bytes", "name of the pool",
    NULL },
  { "slots", GS_FIELD_UINT, AT (PoolFields, slots), 1, 1024, "4", "requests",
    "requests that an upstream processes concurrently", NULL },
  { "max_connections", GS_FIELD_UINT, AT (PoolFields, max_connections), 1, 65535, "300",
    "connections", "connections that an upstream accepts from the whole fleet", NULL },
  { "floor_percent", GS_FIELD_UINT, AT (PoolFields, floor_percent), 0, 100, "70", "%",
    "minimum share of the pool's upstreams that ejection leaves healthy or warming", NULL },
  { "homes", GS_FIELD_UINT, AT (PoolFields, homes), 1, 16, "1", "daemons",
    "number of active homes of the pool; there are two standby homes in addition", NULL },
  { "cost", GS_FIELD_CHOICE, AT (PoolFields, cost), 0, 0, "balanced", "-",
    "what costs more: ejecting a healthy upstream (false-ejection) or ejecting a failed one late "
    "(detection)",
    cost_names },
  { "registered", GS_FIELD_BOOL, AT (PoolFields, registered), 0, 0, "false", "-",
    "backend servers register themselves; `upstreams` is empty", NULL },
  { "upstreams", GS_FIELD_NODE, AT (PoolFields, upstreams), 0, 0, NULL, "rows", "backend servers",
    NULL },
};

static const GsFieldSpec upstream_specs[] = {
  { "id", GS_FIELD_NAME, AT (UpstreamFields, id), 1, GS_NAME_MAX, NULL, "bytes",
    "name of the backend server", NULL },
  { "address", GS_FIELD_IPV4, AT (UpstreamFields, address), 0, 0, NULL, "-", "IPv4 address", NULL },
  { "port", GS_FIELD_UINT, AT (UpstreamFields, port), 1, 65535, NULL, "-", "TCP port", NULL },
  { "failure_domain", GS_FIELD_NAME, AT (UpstreamFields, failure_domain), 1, 31, "-", "bytes",
    "failure domain", NULL },
  { "state", GS_FIELD_CHOICE, AT (UpstreamFields, state), 0, 0, "serving", "-",
    "leaving: receives no new requests", state_names },
};

static const GsFieldSpec top_specs[] = {
  { "routes", GS_FIELD_NODE, AT (TopFields, routes), 0, 0, NULL, "rows", "the routes table", NULL },
  { "pools", GS_FIELD_NODE, AT (TopFields, pools), 0, 0, NULL, "rows", "the pools table", NULL },
  { "workspaces", GS_FIELD_NODE, AT (TopFields, workspaces), 0, 0, NULL, "rows",
    "the workspaces table", NULL },
};

static gboolean
check_route (GsYaml *yaml, yaml_node_t *node, const RouteFields *fields, GError **error)
{
  if (fields->prefix[0] != '/')
    gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_RANGE, "prefix", fields->prefix,
                       "a path that starts with /");
  else if (fields->attempt_timeout_ms > fields->timeout_ms)
    gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_RANGE, "attempt_timeout_ms",
                       "more than timeout_ms", "at most timeout_ms");
  else
    return TRUE;
  return FALSE;
}

static gboolean
parse_split (GsYaml *yaml, yaml_node_t *list, GsRoute *route, GError **error)
{
  int length = gs_yaml_length (yaml, list, "split", error);

  if (length > TABLES_PARTS_MAX)
    gs_yaml_set_error (yaml, list, error, GS_CONFIG_ERROR_RANGE, "split", "too many items",
                       "at most 64");
  if (length < 0 || length > TABLES_PARTS_MAX)
    return FALSE;
  if (length > 0)
    route->parts = g_new0 (GsRoutePart, (gsize)length);
  for (int i = 0; i < length; i++)
    {
      PartFields fields = { 0 };
      if (!gs_fields_read (yaml, gs_yaml_item (yaml, list, i), part_specs,
                           G_N_ELEMENTS (part_specs), &fields, error))
        {
          gs_fields_clear (part_specs, G_N_ELEMENTS (part_specs), &fields);
          return FALSE;
        }
      route->parts[route->n_parts++]
          = (GsRoutePart){ .pool = fields.pool, .weight = fields.weight };
    }
  return TRUE;
}

static gboolean
parse_route (GsYaml *yaml, yaml_node_t *node, GsRoute *route, GError **error)
{
  RouteFields fields = { 0 };

  if (!gs_fields_read (yaml, node, route_specs, G_N_ELEMENTS (route_specs), &fields, error)
      || !check_route (yaml, node, &fields, error))
    {
      gs_fields_clear (route_specs, G_N_ELEMENTS (route_specs), &fields);
      return FALSE;
    }
  *route = (GsRoute){ .name = fields.name,
                      .host = fields.host,
                      .prefix = fields.prefix,
                      .pool = fields.pool,
                      .repeat = (GsRepeat)fields.repeat,
                      .timeout_ms = fields.timeout_ms,
                      .attempt_timeout_ms = fields.attempt_timeout_ms,
                      .weight = (uint16_t)fields.weight,
                      .target_ms = fields.target_ms,
                      .priority = (uint8_t)fields.priority,
                      .max_attempts = (uint8_t)fields.max_attempts,
                      .anonymous = fields.anonymous != 0 };
  return parse_split (yaml, fields.split, route, error);
}

static gboolean
parse_upstream (GsYaml *yaml, yaml_node_t *node, GsUpstreamRow *row, GError **error)
{
  UpstreamFields fields = { 0 };

  if (!gs_fields_read (yaml, node, upstream_specs, G_N_ELEMENTS (upstream_specs), &fields, error))
    {
      gs_fields_clear (upstream_specs, G_N_ELEMENTS (upstream_specs), &fields);
      return FALSE;
    }
  *row = (GsUpstreamRow){ .id = fields.id,
                          .failure_domain = g_intern_string (fields.failure_domain),
                          .ipv4 = fields.address,
                          .port = (uint16_t)fields.port,
                          .leaving = fields.state == 1 };
  g_free (fields.failure_domain);
  return TRUE;
}

static gboolean
parse_upstreams (GsYaml *yaml, yaml_node_t *list, GsPoolRow *pool, GError **error)
{
  int length = gs_yaml_length (yaml, list, "upstreams", error);
  g_autoptr (GHashTable) ids = g_hash_table_new (g_str_hash, g_str_equal);

  if (length < 0)
    return FALSE;
  if (length > TABLES_UPSTREAMS_MAX)
    {
      gs_yaml_set_error (yaml, list, error, GS_CONFIG_ERROR_RANGE, "upstreams", "too many items",
                         "at most 512");
      return FALSE;
    }
  pool->upstreams = g_new0 (GsUpstreamRow, (gsize)length);
  for (int i = 0; i < length; i++)
    {
      yaml_node_t *node = gs_yaml_item (yaml, list, i);
      if (!parse_upstream (yaml, node, &pool->upstreams[i], error))
        return FALSE;
      pool->n_upstreams++;
      if (!g_hash_table_add (ids, pool->upstreams[i].id))
        {
          gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_DUPLICATE, "id",
                             pool->upstreams[i].id, "a name that is unique in the pool");
          return FALSE;
        }
    }
  return TRUE;
}

static gboolean
parse_pool (GsYaml *yaml,
            yaml_node_t *node,
            GsPoolRow *pool,
            yaml_node_t **upstreams,
            GError **error)
{
  PoolFields fields = { 0 };

  if (!gs_fields_read (yaml, node, pool_specs, G_N_ELEMENTS (pool_specs), &fields, error))
    {
      gs_fields_clear (pool_specs, G_N_ELEMENTS (pool_specs), &fields);
      return FALSE;
    }
  *pool = (GsPoolRow){ .name = fields.name,
                       .slots = (uint16_t)fields.slots,
                       .max_connections = (uint16_t)fields.max_connections,
                       .floor_percent = (uint8_t)fields.floor_percent,
                       .homes = (uint8_t)fields.homes,
                       .registered = fields.registered != 0,
                       .cost = (GsCost)fields.cost };
  *upstreams = fields.upstreams;
  return TRUE;
}

static gboolean
add_unique (GsYaml *yaml,
            yaml_node_t *node,
            GHashTable *names,
            const char *field,
            const char *name,
            GError **error)
{
  if (g_hash_table_add (names, g_strdup (name)))
    return TRUE;
  gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_DUPLICATE, field, name, "a unique value");
  return FALSE;
}

static gboolean
parse_pools (GsYaml *yaml, yaml_node_t *list, GsDocument *document, GError **error)
{
  int length = gs_yaml_length (yaml, list, "pools", error);
  g_autoptr (GHashTable) names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  if (length < 0)
    return FALSE;
  document->pools = g_new0 (GsPoolRow, (gsize)length);
  for (int i = 0; i < length; i++)
    {
      yaml_node_t *node = gs_yaml_item (yaml, list, i);
      GsPoolRow *pool = &document->pools[i];
      yaml_node_t *upstreams = NULL;
      if (!parse_pool (yaml, node, pool, &upstreams, error))
        return FALSE;
      document->n_pools++;
      if (!add_unique (yaml, node, names, "name", pool->name, error)
          || !parse_upstreams (yaml, upstreams, pool, error))
        return FALSE;
    }
  return TRUE;
}

static gboolean
check_pools (GsYaml *yaml,
             yaml_node_t *node,
             const GsDocument *document,
             const GsRoute *route,
             GError **error)
{
  const char *missing = gs_document_pool (document, route->pool) == NULL ? route->pool : NULL;

  for (uint16_t i = 0; i < route->n_parts && missing == NULL; i++)
    if (gs_document_pool (document, route->parts[i].pool) == NULL)
      missing = route->parts[i].pool;
  if (missing != NULL)
    gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_REFERENCE, "pool", missing,
                       "a pool defined in this file");
  return missing == NULL;
}

static gboolean
parse_routes (GsYaml *yaml, yaml_node_t *list, GsDocument *document, GError **error)
{
  int length = gs_yaml_length (yaml, list, "routes", error);
  g_autoptr (GHashTable) names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  if (length < 0)
    return FALSE;
  document->routes = g_new0 (GsRoute, (gsize)length);
  for (int i = 0; i < length; i++)
    {
      yaml_node_t *node = gs_yaml_item (yaml, list, i);
      GsRoute *route = &document->routes[i];
      g_autofree char *host_and_prefix = NULL;
      document->n_routes++;
      if (!parse_route (yaml, node, route, error))
        return FALSE;
      host_and_prefix = g_strdup_printf ("%s %s", route->host, route->prefix);
      if (!add_unique (yaml, node, names, "name", route->name, error)
          || !add_unique (yaml, node, names, "prefix", host_and_prefix, error))
        return FALSE;
      if (!check_pools (yaml, node, document, route, error))
        return FALSE;
    }
  return TRUE;
}

GsDocument *
gs_tables_parse (const char *workspace,
                 const char *file,
                 const char *text,
                 size_t length,
                 GError **error)
{
  GsYaml yaml;
  TopFields top = { 0 };
  GsDocument *document;
  yaml_node_t *root;

  if (length > GS_TABLES_BYTES_MAX)
    {
      g_set_error (error, GS_CONFIG_ERROR, GS_CONFIG_ERROR_FILE,
                   "%s:1: field -: found %zu bytes, allowed %d (GSC%d)", file, length,
                   GS_TABLES_BYTES_MAX, GS_CONFIG_ERROR_FILE);
      return NULL;
    }
  if (!gs_yaml_parse (&yaml, file, text, length, error))
    return NULL;
  document = gs_document_new (workspace, 0);
  root = gs_yaml_root (&yaml, error);
  if (root == NULL
      || !gs_fields_read (&yaml, root, top_specs, G_N_ELEMENTS (top_specs), &top, error)
      || !parse_pools (&yaml, top.pools, document, error)
      || !parse_routes (&yaml, top.routes, document, error)
      || !gs_workspaces_parse (&yaml, top.workspaces, document, error))
    g_clear_pointer (&document, gs_document_free);
  gs_yaml_clear (&yaml);
  return document;
}

static char *
describe_route (const GsRoute *route)
{
  return g_strdup_printf (
      "route %s: %s%s -> %s repeat=%s timeout_ms=%u attempt_timeout_ms=%u weight=%u target_ms=%u "
      "priority=%u max_attempts=%u parts=%u%s",
      route->name, route->host, route->prefix, route->pool, repeat_names[route->repeat],
      route->timeout_ms, route->attempt_timeout_ms, route->weight, route->target_ms,
      route->priority, route->max_attempts, route->n_parts, route->anonymous ? " anonymous" : "");
}

static char *
describe_pool (const GsPoolRow *pool)
{
  GString *text = g_string_new (NULL);

  g_string_printf (
      text, "pool %s: slots=%u max_connections=%u floor_percent=%u homes=%u cost=%s upstreams=",
      pool->name, pool->slots, pool->max_connections, pool->floor_percent, pool->homes,
      cost_names[pool->cost]);
  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    {
      const GsUpstreamRow *row = &pool->upstreams[i];
      g_string_append_printf (text, "%s%s@%u.%u.%u.%u:%u%s", i > 0 ? "," : "", row->id,
                              row->ipv4 >> 24, (row->ipv4 >> 16) & 255, (row->ipv4 >> 8) & 255,
                              row->ipv4 & 255, row->port, row->leaving ? "(leaving)" : "");
    }
  return g_string_free (text, FALSE);
}

static GPtrArray *
describe_rows (const GsDocument *document)
{
  GPtrArray *rows = g_ptr_array_new_with_free_func (g_free);

  for (uint32_t i = 0; document != NULL && i < document->n_routes; i++)
    g_ptr_array_add (rows, describe_route (&document->routes[i]));
  for (uint32_t i = 0; document != NULL && i < document->n_pools; i++)
    g_ptr_array_add (rows, describe_pool (&document->pools[i]));
  if (document != NULL && gs_document_requires_keys (document))
    g_ptr_array_add (rows, g_strdup ("workspaces: requests need a key"));
  for (uint32_t i = 0; document != NULL && i < document->n_workspaces; i++)
    g_ptr_array_add (rows, gs_workspaces_describe (&document->workspaces[i]));
  return rows;
}

static void
append_missing (GString *text, const GPtrArray *rows, const GPtrArray *others, char mark)
{
  for (guint i = 0; i < rows->len; i++)
    if (!g_ptr_array_find_with_equal_func ((GPtrArray *)others, g_ptr_array_index (rows, i),
                                           g_str_equal, NULL))
      g_string_append_printf (text, "%c %s\n", mark, (char *)g_ptr_array_index (rows, i));
}

char *
gs_tables_diff (const GsDocument *old_tables, const GsDocument *new_tables)
{
  g_autoptr (GPtrArray) old_rows = describe_rows (old_tables);
  g_autoptr (GPtrArray) new_rows = describe_rows (new_tables);
  GString *text = g_string_new (NULL);

  append_missing (text, old_rows, new_rows, '-');
  append_missing (text, new_rows, old_rows, '+');
  return g_string_free (text, FALSE);
}

char *
gs_tables_reference (void)
{
  g_autofree char *routes = gs_fields_to_markdown (route_specs, G_N_ELEMENTS (route_specs));
  g_autofree char *pools = gs_fields_to_markdown (pool_specs, G_N_ELEMENTS (pool_specs));
  g_autofree char *upstreams
      = gs_fields_to_markdown (upstream_specs, G_N_ELEMENTS (upstream_specs));
  g_autofree char *parts = gs_fields_to_markdown (part_specs, G_N_ELEMENTS (part_specs));
  g_autofree char *workspaces = gs_workspaces_reference ();

  return g_strdup_printf ("## routes\n\n%s\n## parts of a split\n\n%s\n## pools\n\n%s\n"
                          "## upstreams of a pool\n\n%s\n## workspaces\n\n%s",
                          routes, parts, pools, upstreams, workspaces);
}
