#include "workspaces.h"

#include "../access/key_digest.h"

typedef struct
{
  char *name;
  uint32_t rate_per_s;
  uint32_t burst;
  uint32_t priority;
  yaml_node_t *key_digests;
} WorkspaceFields;

#define AT(field) offsetof (WorkspaceFields, field)

static const GsFieldSpec workspace_specs[] = {
  { "name", GS_FIELD_NAME, AT (name), 1, GS_NAME_MAX, NULL, "bytes",
    "name of the workspace, sent to backend servers in `Gentian-Workspace`", NULL },
  { "key_digests", GS_FIELD_NODE, AT (key_digests), 0, 0, NULL, "digests",
    "digests of the workspace's keys, as `gentianctl digest` prints them", NULL },
  { "rate_per_s", GS_FIELD_UINT, AT (rate_per_s), 0, UINT32_MAX, "0", "1/s",
    "requests that the whole fleet admits; 0: no limit", NULL },
  { "burst", GS_FIELD_UINT, AT (burst), 0, UINT32_MAX, "0", "requests",
    "requests that the fleet admits on top of the rate", NULL },
  { "priority", GS_FIELD_UINT, AT (priority), 0, 255, "0", "-",
    "goes before the route's priority; 0 is the highest", NULL },
};

/* Messages do not contain the text: it may be a key that was put here in place of its digest. */
static gboolean
parse_digest (GsYaml *yaml, yaml_node_t *node, GsKeyDigest *digest, GError **error)
{
  const char *text = node->type == YAML_SCALAR_NODE ? (const char *)node->data.scalar.value : NULL;

  if (gs_key_digest_parse (text, digest))
    return TRUE;
  gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_TYPE, "key_digests", "another text",
                     "digests of 32 hexadecimal digits");
  return FALSE;
}

static gboolean
parse_digests (GsYaml *yaml, yaml_node_t *list, GsWorkspaceRow *row, GError **error)
{
  int length = gs_yaml_length (yaml, list, "key_digests", error);

  if (length < 0)
    return FALSE;
  row->keys = g_new0 (GsKeyDigest, (gsize)length);
  for (int i = 0; i < length; i++)
    {
      if (!parse_digest (yaml, gs_yaml_item (yaml, list, i), &row->keys[i], error))
        return FALSE;
      row->n_keys++;
    }
  return TRUE;
}

static gboolean
parse_row (GsYaml *yaml, yaml_node_t *node, GsWorkspaceRow *row, GError **error)
{
  WorkspaceFields fields = { 0 };

  if (!gs_fields_read (yaml, node, workspace_specs, G_N_ELEMENTS (workspace_specs), &fields, error))
    {
      gs_fields_clear (workspace_specs, G_N_ELEMENTS (workspace_specs), &fields);
      return FALSE;
    }
  *row = (GsWorkspaceRow){ .name = fields.name,
                           .hash = gs_hash_name (fields.name),
                           .rate_per_s = fields.rate_per_s,
                           .burst = fields.burst,
                           .priority = (uint8_t)fields.priority };
  return parse_digests (yaml, fields.key_digests, row, error);
}

gboolean
gs_workspaces_parse (GsYaml *yaml, yaml_node_t *list, GsDocument *document, GError **error)
{
  int length = gs_yaml_length (yaml, list, "workspaces", error);
  GsWorkspaceConflict conflict;

  if (length < 0)
    return FALSE;
  document->workspaces_listed = list != NULL;
  document->workspaces = g_new0 (GsWorkspaceRow, (gsize)length);
  for (int i = 0; i < length; i++)
    {
      document->n_workspaces++;
      if (!parse_row (yaml, gs_yaml_item (yaml, list, i), &document->workspaces[i], error))
        return FALSE;
    }
  if (gs_document_index_workspaces (document, &conflict))
    return TRUE;
  gs_yaml_set_error (yaml, gs_yaml_item (yaml, list, (int)conflict.row), error,
                     GS_CONFIG_ERROR_DUPLICATE, conflict.same_key ? "key_digests" : "name",
                     document->workspaces[conflict.row].name,
                     conflict.same_key ? "digests that no other workspace has" : "a unique value");
  return FALSE;
}

char *
gs_workspaces_describe (const GsWorkspaceRow *row)
{
  GString *text = g_string_new (NULL);
  char digest[GS_KEY_DIGEST_HEX + 1];

  g_string_printf (text, "workspace %s: rate_per_s=%u burst=%u priority=%u key_digests=", row->name,
                   row->rate_per_s, row->burst, row->priority);
  for (uint32_t i = 0; i < row->n_keys; i++)
    {
      gs_key_digest_format (&row->keys[i], digest);
      g_string_append_printf (text, "%s%s", i > 0 ? "," : "", digest);
    }
  return g_string_free (text, FALSE);
}

char *
gs_workspaces_reference (void)
{
  return gs_fields_to_markdown (workspace_specs, G_N_ELEMENTS (workspace_specs));
}
