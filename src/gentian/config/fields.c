#include "fields.h"

#include <arpa/inet.h>
#include <string.h>

G_DEFINE_QUARK (gs - config - error, gs_config_error)

enum
{
  FIELDS_SPECS_MAX = 64,
  FIELDS_FOUND_BYTES_MAX = 40, /* of an invalid value quoted in a message */
};

void
gs_yaml_set_error (GsYaml *yaml,
                   const yaml_node_t *node,
                   GError **error,
                   GsConfigError code,
                   const char *field,
                   const char *found,
                   const char *allowed)
{
  g_autofree char *quoted = g_strescape (found, NULL);

  g_set_error (error, GS_CONFIG_ERROR, code, "%s:%zu: field %s: found %.*s, allowed %s (GSC%d)",
               yaml->file, node != NULL ? node->start_mark.line + 1 : 1, field,
               FIELDS_FOUND_BYTES_MAX, quoted, allowed, code);
}

gboolean
gs_yaml_parse (GsYaml *yaml, const char *file, const char *text, size_t length, GError **error)
{
  yaml_parser_t parser;
  gboolean ok;

  yaml->file = g_strdup (file);
  if (!yaml_parser_initialize (&parser))
    g_error ("out of memory");
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, length);
  ok = yaml_parser_load (&parser, &yaml->document) != 0;
  if (!ok)
    {
      g_set_error (error, GS_CONFIG_ERROR, GS_CONFIG_ERROR_SYNTAX,
                   "%s:%zu: field -: found %s, allowed YAML (GSC%d)", file,
                   parser.problem_mark.line + 1,
                   parser.problem != NULL ? parser.problem : "an error", GS_CONFIG_ERROR_SYNTAX);
      g_clear_pointer (&yaml->file, g_free);
    }
  yaml_parser_delete (&parser);
  return ok;
}

void
gs_yaml_clear (GsYaml *yaml)
{
  yaml_document_delete (&yaml->document);
  g_clear_pointer (&yaml->file, g_free);
}

yaml_node_t *
gs_yaml_root (GsYaml *yaml, GError **error)
{
  yaml_node_t *root = yaml_document_get_root_node (&yaml->document);

  if (root != NULL && root->type == YAML_MAPPING_NODE)
    return root;
  gs_yaml_set_error (yaml, root, error, GS_CONFIG_ERROR_SYNTAX, "-", "not a mapping",
                     "a mapping of fields");
  return NULL;
}

int
gs_yaml_length (GsYaml *yaml, yaml_node_t *node, const char *field, GError **error)
{
  if (node == NULL)
    return 0;
  if (node->type == YAML_SEQUENCE_NODE)
    return (int)(node->data.sequence.items.top - node->data.sequence.items.start);
  gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_TYPE, field, "not a list", "a list");
  return -1;
}

yaml_node_t *
gs_yaml_item (GsYaml *yaml, yaml_node_t *node, int index)
{
  return yaml_document_get_node (&yaml->document, node->data.sequence.items.start[index]);
}

static void
set_range_error (GsYaml *yaml,
                 const yaml_node_t *node,
                 const GsFieldSpec *spec,
                 const char *found,
                 GError **error)
{
  g_autofree char *allowed = g_strdup_printf ("%" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT " %s",
                                              spec->min, spec->max, spec->unit);

  gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_RANGE, spec->name, found, allowed);
}

static gboolean
read_uint (GsYaml *yaml,
           const yaml_node_t *node,
           const GsFieldSpec *spec,
           const char *text,
           void *out,
           GError **error)
{
  char *end = NULL;
  guint64 value = g_ascii_strtoull (text, &end, 10);

  if (!g_ascii_isdigit (text[0]) || *end != '\0')
    {
      gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_TYPE, spec->name, text, "an integer");
      return FALSE;
    }
  if (value < spec->min || value > spec->max)
    {
      set_range_error (yaml, node, spec, text, error);
      return FALSE;
    }
  *(uint32_t *)out = (uint32_t)value;
  return TRUE;
}

static gboolean
read_port (GsYaml *yaml,
           const yaml_node_t *node,
           const GsFieldSpec *spec,
           const char *text,
           void *out,
           GError **error)
{
  const char *colon = strrchr (text, ':');

  return read_uint (yaml, node, spec, colon != NULL ? colon + 1 : text, out, error);
}

static gboolean
read_duration (GsYaml *yaml,
               const yaml_node_t *node,
               const GsFieldSpec *spec,
               const char *text,
               void *out,
               GError **error)
{
  char *unit = NULL;
  double value = g_ascii_strtod (text, &unit);

  if (unit == text || !(value >= 0) || (strcmp (unit, "ms") != 0 && strcmp (unit, "s") != 0))
    {
      gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_TYPE, spec->name, text,
                         "a number with the unit ms or s");
      return FALSE;
    }
  value *= strcmp (unit, "s") == 0 ? 1000 : 1;
  if (value < (double)spec->min || value > (double)spec->max)
    {
      set_range_error (yaml, node, spec, text, error);
      return FALSE;
    }
  *(uint32_t *)out = (uint32_t)(value + 0.5);
  return TRUE;
}

static gboolean
read_share (GsYaml *yaml,
            const yaml_node_t *node,
            const GsFieldSpec *spec,
            const char *text,
            void *out,
            GError **error)
{
  char *end = NULL;
  double value = g_ascii_strtod (text, &end);

  if (end == text || *end != '\0' || !(value >= 0 && value <= 1))
    {
      gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_RANGE, spec->name, text,
                         "a fraction between 0 and 1");
      return FALSE;
    }
  *(uint32_t *)out = (uint32_t)(value * 1e6 + 0.5);
  return TRUE;
}

static gboolean
is_name (const char *text)
{
  for (; *text != '\0'; text++)
    if (!g_ascii_isalnum (*text) && strchr ("-_.", *text) == NULL)
      return FALSE;
  return TRUE;
}

static gboolean
read_text (GsYaml *yaml,
           const yaml_node_t *node,
           const GsFieldSpec *spec,
           const char *text,
           void *out,
           GError **error)
{
  size_t length = strlen (text);

  if (length < spec->min || length > spec->max)
    {
      set_range_error (yaml, node, spec, text, error);
      return FALSE;
    }
  if (spec->kind == GS_FIELD_NAME && !is_name (text))
    {
      gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_RANGE, spec->name, text,
                         "letters, digits, \"-\", \"_\" and \".\"");
      return FALSE;
    }
  *(char **)out = g_strdup (text);
  return TRUE;
}

static gboolean
read_choice (GsYaml *yaml,
             const yaml_node_t *node,
             const GsFieldSpec *spec,
             const char *text,
             void *out,
             GError **error)
{
  static const char *const booleans[] = { "false", "true", NULL };
  const char *const *choices = spec->kind == GS_FIELD_BOOL ? booleans : spec->choices;
  g_autofree char *allowed = NULL;

  for (int i = 0; choices[i] != NULL; i++)
    if (strcmp (choices[i], text) == 0)
      {
        *(int *)out = i;
        return TRUE;
      }
  allowed = g_strjoinv (", ", (char **)choices);
  gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_RANGE, spec->name, text, allowed);
  return FALSE;
}

static gboolean
read_ipv4 (GsYaml *yaml,
           const yaml_node_t *node,
           const GsFieldSpec *spec,
           const char *text,
           void *out,
           GError **error)
{
  struct in_addr address;

  if (inet_pton (AF_INET, text, &address) != 1)
    {
      gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_TYPE, spec->name, text,
                         "an IPv4 address");
      return FALSE;
    }
  *(uint32_t *)out = ntohl (address.s_addr);
  return TRUE;
}

static gboolean
read_scalar (GsYaml *yaml,
             const yaml_node_t *node,
             const GsFieldSpec *spec,
             const char *text,
             void *out,
             GError **error)
{
  switch (spec->kind)
    {
    case GS_FIELD_UINT:
      return read_uint (yaml, node, spec, text, out, error);
    case GS_FIELD_CHOICE:
    case GS_FIELD_BOOL:
      return read_choice (yaml, node, spec, text, out, error);
    case GS_FIELD_IPV4:
      return read_ipv4 (yaml, node, spec, text, out, error);
    case GS_FIELD_PORT:
      return read_port (yaml, node, spec, text, out, error);
    case GS_FIELD_DURATION:
      return read_duration (yaml, node, spec, text, out, error);
    case GS_FIELD_SHARE:
      return read_share (yaml, node, spec, text, out, error);
    default:
      return read_text (yaml, node, spec, text, out, error);
    }
}

static gboolean
read_field (GsYaml *yaml, yaml_node_t *node, const GsFieldSpec *spec, char *out, GError **error)
{
  if (spec->kind == GS_FIELD_NODE)
    {
      *(yaml_node_t **)(void *)(out + spec->offset) = node;
      return TRUE;
    }
  if (node->type != YAML_SCALAR_NODE
      || strlen ((const char *)node->data.scalar.value) != node->data.scalar.length)
    {
      gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_TYPE, spec->name, "not a single value",
                         "a single value");
      return FALSE;
    }
  return read_scalar (yaml, node, spec, (const char *)node->data.scalar.value, out + spec->offset,
                      error);
}

static int
find_spec (const GsFieldSpec *specs, size_t n_specs, const yaml_node_t *key)
{
  if (key->type != YAML_SCALAR_NODE)
    return -1;
  for (size_t i = 0; i < n_specs; i++)
    if (strcmp (specs[i].name, (const char *)key->data.scalar.value) == 0)
      return (int)i;
  return -1;
}

static void
set_unknown_error (GsYaml *yaml,
                   const yaml_node_t *key,
                   const GsFieldSpec *specs,
                   size_t n_specs,
                   GError **error)
{
  g_autoptr (GString) allowed = g_string_new (NULL);
  const char *found
      = key->type == YAML_SCALAR_NODE ? (const char *)key->data.scalar.value : "(not a name)";

  for (size_t i = 0; i < n_specs; i++)
    g_string_append_printf (allowed, "%s%s", i > 0 ? ", " : "", specs[i].name);
  gs_yaml_set_error (yaml, key, error, GS_CONFIG_ERROR_UNKNOWN, found, "an unknown field",
                     allowed->str);
}

static gboolean
set_defaults (GsYaml *yaml,
              const yaml_node_t *node,
              const GsFieldSpec *specs,
              size_t n_specs,
              const gboolean *seen,
              char *out,
              GError **error)
{
  for (size_t i = 0; i < n_specs; i++)
    {
      if (seen[i] || specs[i].kind == GS_FIELD_NODE)
        continue;
      if (specs[i].default_text == NULL)
        {
          gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_MISSING, specs[i].name, "nothing",
                             specs[i].help);
          return FALSE;
        }
      if (!read_scalar (yaml, node, &specs[i], specs[i].default_text, out + specs[i].offset, error))
        return FALSE;
    }
  return TRUE;
}

gboolean
gs_fields_read (GsYaml *yaml,
                yaml_node_t *node,
                const GsFieldSpec *specs,
                size_t n_specs,
                void *out,
                GError **error)
{
  gboolean seen[FIELDS_SPECS_MAX] = { FALSE };

  g_return_val_if_fail (n_specs <= FIELDS_SPECS_MAX, FALSE);
  if (node->type != YAML_MAPPING_NODE)
    {
      gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_TYPE, "-", "not a mapping",
                         "a mapping");
      return FALSE;
    }
  for (yaml_node_pair_t *pair = node->data.mapping.pairs.start; pair < node->data.mapping.pairs.top;
       pair++)
    {
      yaml_node_t *key = yaml_document_get_node (&yaml->document, pair->key);
      yaml_node_t *value = yaml_document_get_node (&yaml->document, pair->value);
      int index = find_spec (specs, n_specs, key);
      if (index < 0)
        {
          set_unknown_error (yaml, key, specs, n_specs, error);
          return FALSE;
        }
      if (seen[index])
        {
          gs_yaml_set_error (yaml, key, error, GS_CONFIG_ERROR_DUPLICATE, specs[index].name,
                             "a duplicate field", "one occurrence");
          return FALSE;
        }
      seen[index] = TRUE;
      if (!read_field (yaml, value, &specs[index], out, error))
        return FALSE;
    }
  return set_defaults (yaml, node, specs, n_specs, seen, out, error);
}

bool
gs_fields_equal (const GsFieldSpec *spec, const void *a, const void *b)
{
  const char *first = (const char *)a + spec->offset;
  const char *second = (const char *)b + spec->offset;

  if (spec->kind == GS_FIELD_TEXT || spec->kind == GS_FIELD_NAME)
    return g_strcmp0 (*(char *const *)(const void *)first, *(char *const *)(const void *)second)
           == 0;
  return memcmp (first, second, sizeof (uint32_t)) == 0;
}

void
gs_fields_clear (const GsFieldSpec *specs, size_t n_specs, void *out)
{
  for (size_t i = 0; i < n_specs; i++)
    if (specs[i].kind == GS_FIELD_TEXT || specs[i].kind == GS_FIELD_NAME)
      g_clear_pointer ((char **)(void *)((char *)out + specs[i].offset), g_free);
}

static char *
describe_range (const GsFieldSpec *spec)
{
  switch (spec->kind)
    {
    case GS_FIELD_CHOICE:
      return g_strjoinv (", ", (char **)spec->choices);
    case GS_FIELD_BOOL:
      return g_strdup ("false, true");
    case GS_FIELD_IPV4:
      return g_strdup ("an IPv4 address");
    case GS_FIELD_NODE:
      return g_strdup ("a list");
    case GS_FIELD_SHARE:
      return g_strdup ("0 to 1");
    default:
      return g_strdup_printf ("%" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT, spec->min, spec->max);
    }
}

char *
gs_fields_to_markdown (const GsFieldSpec *specs, size_t n_specs)
{
  GString *text
      = g_string_new ("| field | unit | range | default | meaning |\n|---|---|---|---|---|\n");

  for (size_t i = 0; i < n_specs; i++)
    {
      g_autofree char *range = describe_range (&specs[i]);
      const char *default_text = specs[i].default_text;
      if (default_text == NULL)
        default_text = specs[i].kind == GS_FIELD_NODE ? "empty" : "required";
      g_string_append_printf (text, "| `%s` | %s | %s | %s | %s |\n", specs[i].name, specs[i].unit,
                              range, *default_text != '\0' ? default_text : "none", specs[i].help);
    }
  return g_string_free (text, FALSE);
}
