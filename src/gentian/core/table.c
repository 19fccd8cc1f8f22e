#include "table.h"

#include <glib.h>
#include <string.h>

#include "../access/workspace_index.h"

struct GsTable
{
  GHashTable *documents; /* workspace -> GsDocument, owned */
  GHashTable *hosts;     /* host -> GPtrArray of GsRoute, longest prefix first */
  GHashTable *pools;     /* hash of workspace and pool -> GsPoolRow */
};

GsDocument *
gs_document_new (const char *workspace, uint64_t revision)
{
  GsDocument *document = g_new0 (GsDocument, 1);

  document->workspace = g_strdup (workspace);
  document->revision = revision;
  return document;
}

static void
free_pool_row (GsPoolRow *pool)
{
  for (uint16_t i = 0; i < pool->n_upstreams; i++)
    g_free (pool->upstreams[i].id);
  g_free (pool->upstreams);
  g_free (pool->name);
}

static void
free_route (GsRoute *route)
{
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_free (route->pool);
  for (uint16_t i = 0; i < route->n_parts; i++)
    g_free (route->parts[i].pool);
  g_free (route->parts);
}

static void
free_workspace_row (GsWorkspaceRow *row)
{
  g_free (row->name);
  g_free (row->keys);
}

void
gs_document_free (GsDocument *document)
{
  if (document == NULL)
    return;
  for (uint32_t i = 0; i < document->n_routes; i++)
    free_route (&document->routes[i]);
  for (uint32_t i = 0; i < document->n_pools; i++)
    free_pool_row (&document->pools[i]);
  for (uint32_t i = 0; i < document->n_workspaces; i++)
    free_workspace_row (&document->workspaces[i]);
  g_free (document->routes);
  g_free (document->pools);
  g_free (document->workspaces);
  gs_workspace_index_free (document->workspace_index);
  g_free (document->workspace);
  g_free (document);
}

const GsPoolRow *
gs_document_pool (const GsDocument *document, const char *name)
{
  for (uint32_t i = 0; i < document->n_pools; i++)
    if (strcmp (document->pools[i].name, name) == 0)
      return &document->pools[i];
  return NULL;
}

bool
gs_document_index_workspaces (GsDocument *document, GsWorkspaceConflict *conflict)
{
  if (document->n_workspaces == 0 || document->workspace_index != NULL)
    return true;
  document->workspace_index
      = gs_workspace_index_new (document->workspaces, document->n_workspaces, conflict);
  return document->workspace_index != NULL;
}

const GsWorkspaceRow *
gs_document_workspace (const GsDocument *document, uint64_t hash)
{
  return gs_workspace_index_find_name (document->workspace_index, hash);
}

const GsWorkspaceRow *
gs_document_workspace_by_key (const GsDocument *document, const GsKeyDigest *key)
{
  return gs_workspace_index_find_key (document->workspace_index, key);
}

static void
free_route_list (gpointer list)
{
  g_ptr_array_unref (list);
}

static void
free_document_value (gpointer document)
{
  gs_document_free (document);
}

/* Names of hosts are the same in upper and lower case (RFC 9110, 4.2.3). */
static guint
hash_host (gconstpointer key)
{
  guint hash = 5381;

  for (const char *byte = key; *byte != '\0'; byte++)
    hash = hash * 33 + (guint)g_ascii_tolower (*byte);
  return hash;
}

static gboolean
is_same_host (gconstpointer a, gconstpointer b)
{
  return g_ascii_strcasecmp (a, b) == 0;
}

GsTable *
gs_table_new (void)
{
  GsTable *table = g_new0 (GsTable, 1);

  table->documents = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_document_value);
  table->hosts = g_hash_table_new_full (hash_host, is_same_host, g_free, free_route_list);
  table->pools = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return table;
}

void
gs_table_free (GsTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->hosts);
  g_hash_table_destroy (table->pools);
  g_hash_table_destroy (table->documents);
  g_free (table);
}

static uint64_t
pool_key (const char *workspace, const char *pool)
{
  return gs_hash_bytes (pool, strlen (pool), gs_hash_name (workspace));
}

static const GsRoute *
find_exact (const GsTable *table, const char *host, const char *prefix)
{
  GPtrArray *routes = g_hash_table_lookup (table->hosts, host);

  for (guint i = 0; routes != NULL && i < routes->len; i++)
    {
      const GsRoute *route = g_ptr_array_index (routes, i);
      if (strcmp (route->prefix, prefix) == 0)
        return route;
    }
  return NULL;
}

const GsRoute *
gs_table_find_clash (const GsTable *table, const GsDocument *document)
{
  for (uint32_t i = 0; i < document->n_routes; i++)
    {
      const GsRoute *route = &document->routes[i];
      const GsRoute *other = find_exact (table, route->host, route->prefix);
      if (other != NULL && strcmp (other->document->workspace, document->workspace) != 0)
        return route;
    }
  return NULL;
}

static gint
compare_prefix_length (gconstpointer left, gconstpointer right)
{
  const GsRoute *a = *(const GsRoute *const *)left;
  const GsRoute *b = *(const GsRoute *const *)right;
  size_t a_length = strlen (a->prefix);
  size_t b_length = strlen (b->prefix);

  return a_length < b_length ? 1 : a_length > b_length ? -1 : strcmp (a->prefix, b->prefix);
}

static void
index_document (GsTable *table, GsDocument *document)
{
  for (uint32_t i = 0; i < document->n_routes; i++)
    {
      GsRoute *route = &document->routes[i];
      GPtrArray *routes = g_hash_table_lookup (table->hosts, route->host);
      if (routes == NULL)
        {
          routes = g_ptr_array_new ();
          g_hash_table_insert (table->hosts, g_strdup (route->host), routes);
        }
      route->document = document;
      g_ptr_array_add (routes, route);
      g_ptr_array_sort (routes, compare_prefix_length);
    }
  for (uint32_t i = 0; i < document->n_pools; i++)
    {
      uint64_t key = pool_key (document->workspace, document->pools[i].name);
      document->pools[i].document = document;
      g_hash_table_replace (table->pools, g_memdup2 (&key, sizeof key), &document->pools[i]);
    }
}

static void
unindex_document (GsTable *table, const GsDocument *document)
{
  for (uint32_t i = 0; i < document->n_routes; i++)
    {
      GPtrArray *routes = g_hash_table_lookup (table->hosts, document->routes[i].host);
      g_ptr_array_remove (routes, &document->routes[i]);
      if (routes->len == 0)
        g_hash_table_remove (table->hosts, document->routes[i].host);
    }
  for (uint32_t i = 0; i < document->n_pools; i++)
    {
      uint64_t key = pool_key (document->workspace, document->pools[i].name);
      g_hash_table_remove (table->pools, &key);
    }
}

/* Whether a missing DOCUMENT would have the same effect. */
static bool
is_without_effect (const GsDocument *document)
{
  static const GsCallerLimits no_limits;

  return document->n_routes + document->n_pools == 0 && !gs_document_requires_keys (document)
         && memcmp (&document->limits, &no_limits, sizeof no_limits) == 0;
}

bool
gs_table_replace (GsTable *table, GsDocument *document)
{
  GsDocument *old = g_hash_table_lookup (table->documents, document->workspace);
  GsWorkspaceConflict conflict;

  if (old != NULL && document->revision <= old->revision)
    {
      gs_document_free (document);
      return false;
    }
  if (old != NULL)
    {
      unindex_document (table, old);
      g_hash_table_remove (table->documents, old->workspace);
    }
  if (is_without_effect (document))
    {
      gs_document_free (document); /* the config log stores the revision */
      return true;
    }
  gs_document_index_workspaces (document, &conflict);
  g_hash_table_insert (table->documents, document->workspace, document);
  index_document (table, document);
  return true;
}

static const GsRoute *
match_host (const GsTable *table, const char *host, const char *path)
{
  GPtrArray *routes = g_hash_table_lookup (table->hosts, host);

  for (guint i = 0; routes != NULL && i < routes->len; i++)
    {
      const GsRoute *route = g_ptr_array_index (routes, i);
      if (g_str_has_prefix (path, route->prefix))
        return route;
    }
  return NULL;
}

const GsRoute *
gs_table_match (const GsTable *table, const char *host, const char *path)
{
  const GsRoute *route = match_host (table, host, path);

  return route != NULL ? route : match_host (table, "*", path);
}

const GsPoolRow *
gs_table_pool (const GsTable *table, const char *workspace, const char *pool)
{
  uint64_t key = pool_key (workspace, pool);

  return g_hash_table_lookup (table->pools, &key);
}

const GsDocument *
gs_table_document (const GsTable *table, const char *workspace)
{
  return g_hash_table_lookup (table->documents, workspace);
}

uint32_t
gs_table_size (const GsTable *table)
{
  return g_hash_table_size (table->documents);
}

void
gs_table_foreach (const GsTable *table,
                  void (*visit) (const GsDocument *document, void *data),
                  void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->documents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (value, data);
}
