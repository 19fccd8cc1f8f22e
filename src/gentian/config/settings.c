#include "settings.h"

#include <arpa/inet.h>
#include <string.h>

#include "../core/notice.h"
#include "fields.h"

enum
{
  SETTINGS_BYTES_MAX = 64 * 1024,
};

typedef struct
{
  GsSettings settings;
  yaml_node_t *seeds;
} SettingsFields;

static const char *const level_names[] = { "error", "warning", "notice", "info", "debug", NULL };

#define AT(field) offsetof (SettingsFields, settings.field)

static const GsFieldSpec specs[] = {
  { "instance", GS_FIELD_NAME, AT (instance), 1, GS_NAME_MAX, NULL, "bytes",
    "name of this instance, unique in the fleet", NULL },
  { "failure_domain", GS_FIELD_NAME, AT (failure_domain), 1, GS_MEMBER_DOMAIN_MAX, NULL, "bytes",
    "failure domain of this instance", NULL },
  { "address", GS_FIELD_IPV4, AT (address), 0, 0, NULL, "-", "IP number on which all ports listen",
    NULL },
  { "entry_port", GS_FIELD_UINT, AT (entry_port), 1, 65535, NULL, "-", "port for callers", NULL },
  { "admin_port", GS_FIELD_UINT, AT (admin_port), 1, 65535, NULL, "-",
    "port of the administration API", NULL },
  { "peer_port", GS_FIELD_UINT, AT (peer_port), 1, 65535, NULL, "-", "port for other daemons",
    NULL },
  { "platform_url", GS_FIELD_TEXT, AT (platform_url), 8, 256, NULL, "bytes",
    "base address of the platform's service", NULL },
  { "peer_public_key", GS_FIELD_TEXT, AT (peer_public_key), 40, 40, NULL, "bytes",
    "CURVE public key of the fleet, Z85", NULL },
  { "peer_secret_key", GS_FIELD_TEXT, AT (peer_secret_key), 40, 40, NULL, "bytes",
    "CURVE secret key of the fleet, Z85", NULL },
  { "fleet_key", GS_FIELD_TEXT, AT (fleet_key), 64, 64, NULL, "hex digits",
    "key that signs tickets and forwarded requests", NULL },
  { "admin_key", GS_FIELD_TEXT, AT (admin_key), 64, 64, NULL, "hex digits",
    "key from which the workspaces' credentials are made", NULL },
  { "log_level", GS_FIELD_CHOICE, AT (log_level), 0, 0, "info", "-",
    "least grave level that is logged", level_names },
  { "max_body_bytes", GS_FIELD_UINT, AT (max_body_bytes), 0, 1 << 30, "8388608", "bytes",
    "largest body of a request", NULL },
  { "max_callers", GS_FIELD_UINT, AT (max_callers), 1, 65535, "1024", "connections",
    "connections of callers", NULL },
  { "connections_per_upstream", GS_FIELD_UINT, AT (connections_per_upstream), 1, 300, "32",
    "connections", "connections to one upstream", NULL },
  { "stop_limit_s", GS_FIELD_UINT, AT (stop_limit_s), 1, 86400, "600", "s",
    "time after which a planned stop ends with requests in flight", NULL },
  { "kept_answers_bytes", GS_FIELD_UINT, AT (kept_answers_bytes), 0, 1 << 30, "8388608", "bytes",
    "memory for answers of never-repeat requests", NULL },
  { "seeds", GS_FIELD_NODE, offsetof (SettingsFields, seeds), 0, 0, NULL, "rows",
    "peer addresses (ip:port) of other daemons to ask at the start", NULL },
};

static gboolean
parse_seed (GsYaml *yaml, yaml_node_t *node, GsPeerAddress *seed, GError **error)
{
  const char *text = node->type == YAML_SCALAR_NODE ? (const char *)node->data.scalar.value : "";
  g_auto (GStrv) parts = g_strsplit (text, ":", 2);
  struct in_addr address;
  guint64 port;

  if (g_strv_length (parts) == 2 && inet_pton (AF_INET, parts[0], &address) == 1
      && g_ascii_string_to_unsigned (parts[1], 10, 1, 65535, &port, NULL))
    {
      *seed = (GsPeerAddress){ .ipv4 = ntohl (address.s_addr), .peer_port = (uint16_t)port };
      return TRUE;
    }
  gs_yaml_error (yaml, node, error, GS_CONFIG_ERROR_TYPE, "seeds", text, "ip:port");
  return FALSE;
}

static gboolean
parse_seeds (GsYaml *yaml, yaml_node_t *list, GsSettings *settings, GError **error)
{
  int length = gs_yaml_length (yaml, list, "seeds", error);

  if (length > GS_SETTINGS_SEEDS_MAX)
    gs_yaml_error (yaml, list, error, GS_CONFIG_ERROR_RANGE, "seeds", "too many", "at most 16");
  if (length < 0 || length > GS_SETTINGS_SEEDS_MAX)
    return FALSE;
  for (int i = 0; i < length; i++)
    if (!parse_seed (yaml, gs_yaml_item (yaml, list, i), &settings->seeds[i], error))
      return FALSE;
  settings->n_seeds = (uint32_t)length;
  return TRUE;
}

static gboolean
is_hex (const char *text)
{
  return strspn (text, "0123456789abcdef") == strlen (text);
}

static gboolean
check_keys (GsYaml *yaml, yaml_node_t *root, const GsSettings *settings, GError **error)
{
  const char *field = !is_hex (settings->fleet_key)   ? "fleet_key"
                      : !is_hex (settings->admin_key) ? "admin_key"
                                                      : NULL;

  if (field == NULL)
    return TRUE;
  gs_yaml_error (yaml, root, error, GS_CONFIG_ERROR_TYPE, field,
                 "another character (value not shown)", "64 digits 0-9 a-f");
  return FALSE;
}

GsSettings *
gs_settings_parse (const char *file, const char *text, size_t length, GError **error)
{
  GsYaml yaml;
  SettingsFields fields = { 0 };
  yaml_node_t *root;
  gboolean ok;

  if (!gs_yaml_parse (&yaml, file, text, length, error))
    return NULL;
  root = gs_yaml_root (&yaml, error);
  ok = root != NULL && gs_fields_read (&yaml, root, specs, G_N_ELEMENTS (specs), &fields, error)
       && check_keys (&yaml, root, &fields.settings, error)
       && parse_seeds (&yaml, fields.seeds, &fields.settings, error);
  gs_yaml_clear (&yaml);
  if (!ok)
    {
      gs_fields_clear (specs, G_N_ELEMENTS (specs), &fields);
      return NULL;
    }
  fields.settings.log_level += GS_LEVEL_ERROR;
  return g_memdup2 (&fields.settings, sizeof fields.settings);
}

GsSettings *
gs_settings_load (const char *file, GError **error)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) problem = NULL;
  gsize length;

  if (!g_file_get_contents (file, &text, &length, &problem) || length > SETTINGS_BYTES_MAX)
    {
      g_set_error (error, GS_CONFIG_ERROR, GS_CONFIG_ERROR_FILE,
                   "%s:1: field -: found %s, allowed a readable file of at most %d bytes (GSC%d)",
                   file, problem != NULL ? problem->message : "a larger file", SETTINGS_BYTES_MAX,
                   GS_CONFIG_ERROR_FILE);
      return NULL;
    }
  return gs_settings_parse (file, text, length, error);
}

void
gs_settings_free (GsSettings *settings)
{
  if (settings == NULL)
    return;
  gs_fields_clear (specs, G_N_ELEMENTS (specs), (SettingsFields *)settings);
  g_free (settings);
}

char *
gs_settings_reference (void)
{
  return gs_fields_describe (specs, G_N_ELEMENTS (specs));
}
