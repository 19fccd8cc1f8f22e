#include "settings.h"

#include <arpa/inet.h>
#include <string.h>

#include "../core/log_event.h"
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

/* In the order of GsPlacement. */
static const char *const placement_names[] = { "count", "auto", "cost", NULL };

#define AT(field) offsetof (SettingsFields, settings.field)

static const GsFieldSpec specs[] = {
  { "instance", GS_FIELD_NAME, AT (instance), 1, GS_NAME_MAX, NULL, "bytes",
    "name of this instance, unique in the fleet", NULL },
  { "failure_domain", GS_FIELD_NAME, AT (failure_domain), 1, GS_MEMBER_DOMAIN_MAX, NULL, "bytes",
    "failure domain of this instance", NULL },
  { "address", GS_FIELD_IPV4, AT (address), 0, 0, NULL, "-",
    "IPv4 address on which the daemon listens", NULL },
  { "entry_port", GS_FIELD_PORT, AT (entry_port), 1, 65535, NULL, "-", "port for callers", NULL },
  { "admin_port", GS_FIELD_PORT, AT (admin_port), 1, 65535, NULL, "-",
    "port of the administration API", NULL },
  { "peer_port", GS_FIELD_PORT, AT (peer_port), 1, 65535, NULL, "-", "port for other daemons",
    NULL },
  { "platform_url", GS_FIELD_TEXT, AT (platform_url), 0, 256, "", "bytes",
    "base URL of the platform's service", NULL },
  { "peer_public_key", GS_FIELD_TEXT, AT (peer_public_key), 0, 40, "", "bytes",
    "CURVE public key of the fleet, Z85", NULL },
  { "peer_secret_key", GS_FIELD_TEXT, AT (peer_secret_key), 0, 40, "", "bytes",
    "CURVE secret key of the fleet, Z85", NULL },
  { "fleet_key", GS_FIELD_TEXT, AT (fleet_key), 0, 64, "", "hex digits",
    "key that signs tickets and forwarded requests", NULL },
  { "admin_key", GS_FIELD_TEXT, AT (admin_key), 0, 64, "", "hex digits",
    "key from which the credentials of workspaces are derived", NULL },
  { "log_level", GS_FIELD_CHOICE, AT (log_level), 0, 0, "info", "-",
    "lowest severity that is logged", level_names },
  { "max_body_bytes", GS_FIELD_UINT, AT (max_body_bytes), 0, 1 << 30, "8388608", "bytes",
    "maximum size of a request body", NULL },
  { "max_bodies_bytes", GS_FIELD_UINT, AT (max_bodies_bytes), 1, UINT32_MAX, "134217728", "bytes",
    "maximum size of the bodies of all requests in flight", NULL },
  { "max_answers_bytes", GS_FIELD_UINT, AT (max_answers_bytes), 1, UINT32_MAX, "50331648", "bytes",
    "size of the answers held in memory from which on each is held up to 64 KB only, not 1 MB, "
    "before it is passed on as it comes",
    NULL },
  { "max_callers", GS_FIELD_UINT, AT (max_callers), 0, 65535, "0", "connections",
    "maximum number of connections from callers; 0, or more than the process's descriptors are "
    "enough for: as many as they are enough for",
    NULL },
  { "connections_per_upstream", GS_FIELD_UINT, AT (connections_per_upstream), 1, 300, "32",
    "connections", "maximum number of connections to one upstream", NULL },
  { "stop_limit_s", GS_FIELD_UINT, AT (stop_limit_s), 1, 86400, "600", "s",
    "time after which a planned stop ends even with requests in flight", NULL },
  { "kept_answers_bytes", GS_FIELD_UINT, AT (kept_answers_bytes), 0, 1 << 30, "8388608", "bytes",
    "memory for cached answers of never-repeat requests", NULL },
  { "store_url", GS_FIELD_TEXT, AT (store_url), 0, 256, "", "bytes",
    "base URL of the platform's metadata store, from which tables and upstreams are read", NULL },
  { "first_start", GS_FIELD_BOOL, AT (first_start), 0, 0, "false", "-",
    "the whole fleet is starting for the first time: wait for peers before reading the store",
    NULL },
  { "directory_port", GS_FIELD_PORT, AT (directory_port), 0, 65535, "0", "-",
    "port for address lookups; 0: none", NULL },
  { "readiness_port", GS_FIELD_PORT, AT (readiness_port), 0, 65535, "0", "-",
    "port for readiness checks; 0: none", NULL },
  { "entries_life", GS_FIELD_DURATION, AT (entries_life_ms), 100, 60000, "5s", "ms",
    "time for which callers may cache the answer to an address lookup", NULL },
  { "stop_limit", GS_FIELD_DURATION, AT (stop_limit_ms), 0, 86400000, "0s", "ms",
    "time after which the platform kills a daemon that is stopping; 0: stop_limit_s applies",
    NULL },
  { "repeat_share", GS_FIELD_SHARE, AT (repeat_share_ppm), 0, 1, "0.1", "-",
    "retries that the fleet may make for each request to a pool", NULL },
  { "repeat_slack", GS_FIELD_UINT, AT (repeat_slack), 0, 1000000, "20", "requests",
    "retries that the fleet may make in each window on top of the share", NULL },
  { "repeat_window", GS_FIELD_DURATION, AT (repeat_window_ms), 100, 600000, "10s", "ms",
    "window over which retries are limited", NULL },
  { "slice_upstreams", GS_FIELD_UINT, AT (slice_upstreams), 0, 65536, "256", "upstreams",
    "upstreams from which a pool is scheduled by failure domain, each by its own daemons; 0: never",
    NULL },
  { "quota_window", GS_FIELD_DURATION, AT (quota_window_ms), 100, 600000, "5s", "ms",
    "window over which the requests of a workspace are limited", NULL },
  { "quota_overshoot", GS_FIELD_SHARE, AT (quota_overshoot_ppm), 0, 1, "0.1", "-",
    "requests that a window may have above a workspace's limit, as a share of the limit", NULL },
  { "quota_slack", GS_FIELD_UINT, AT (quota_slack), 0, 1000000, "20", "requests",
    "requests that a window may have in addition to that", NULL },
  { "core_share", GS_FIELD_SHARE, AT (core_share_ppm), 0, 1, "1", "-",
    "fraction of a CPU core that this instance gives the daemon; daemons with at least half of the "
    "largest fraction are preferred as homes",
    NULL },
  { "placement", GS_FIELD_CHOICE, AT (placement), 0, 0, "auto", "-",
    "how requests are placed at upstreams that register themselves: by used slots (count), by "
    "expected end (cost), or by expected end where upstreams have 2 slots or fewer and for "
    "requests with a workspace (auto)",
    placement_names },
  { "upstream_held_bytes", GS_FIELD_UINT, AT (upstream_held_bytes), 0, UINT32_MAX, "16777216",
    "bytes",
    "maximum size of the bodies of all requests placed by expected end at one upstream at a time, "
    "but at least one request; 0: any",
    NULL },
  { "seeds", GS_FIELD_NODE, offsetof (SettingsFields, seeds), 0, 0, NULL, "rows",
    "peer addresses (ip:port) of other daemons to contact, taken over while the daemon runs",
    NULL },
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
  gs_yaml_set_error (yaml, node, error, GS_CONFIG_ERROR_TYPE, "seeds", text, "ip:port");
  return FALSE;
}

static gboolean
parse_seeds (GsYaml *yaml, yaml_node_t *list, GsSettings *settings, GError **error)
{
  int length = gs_yaml_length (yaml, list, "seeds", error);

  if (length > GS_SETTINGS_SEEDS_MAX)
    gs_yaml_set_error (yaml, list, error, GS_CONFIG_ERROR_RANGE, "seeds", "too many items",
                       "at most 16");
  if (length < 0 || length > GS_SETTINGS_SEEDS_MAX)
    return FALSE;
  for (int i = 0; i < length; i++)
    if (!parse_seed (yaml, gs_yaml_item (yaml, list, i), &settings->seeds[i], error))
      return FALSE;
  settings->n_seeds = (uint32_t)length;
  return TRUE;
}

static gboolean
is_hex_key (const char *text)
{
  return strspn (text, "0123456789abcdef") == strlen (text)
         && (strlen (text) == 2 * GS_SETTINGS_KEY_BYTES || *text == '\0');
}

static gboolean
is_curve_key (const char *text)
{
  return strlen (text) == GS_SETTINGS_CURVE_KEY_LENGTH || *text == '\0';
}

static gboolean
check_keys (GsYaml *yaml, yaml_node_t *root, const GsSettings *settings, GError **error)
{
  const char *bad_key = !is_hex_key (settings->fleet_key)   ? "fleet_key"
                        : !is_hex_key (settings->admin_key) ? "admin_key"
                                                            : NULL;
  const char *bad_curve_key = !is_curve_key (settings->peer_public_key)   ? "peer_public_key"
                              : !is_curve_key (settings->peer_secret_key) ? "peer_secret_key"
                                                                          : NULL;

  if (bad_key != NULL)
    gs_yaml_set_error (yaml, root, error, GS_CONFIG_ERROR_TYPE, bad_key,
                       "another value (not shown)", "64 hex digits (0-9, a-f)");
  else if (bad_curve_key != NULL)
    gs_yaml_set_error (yaml, root, error, GS_CONFIG_ERROR_RANGE, bad_curve_key,
                       "another value (not shown)", "40 characters of Z85");
  return bad_key == NULL && bad_curve_key == NULL;
}

/* Without the platform's metadata store, the daemon uses the platform's log and needs its URL and
 * the fleet's keys. */
static gboolean
check_log_settings (GsYaml *yaml, yaml_node_t *root, const GsSettings *settings, GError **error)
{
  const char *missing = NULL;

  if (gs_settings_uses_store (settings))
    return TRUE;
  if (*settings->platform_url == '\0')
    missing = "platform_url";
  else if (*settings->peer_public_key == '\0' || *settings->peer_secret_key == '\0')
    missing = "peer_public_key";
  else if (*settings->fleet_key == '\0')
    missing = "fleet_key";
  else if (*settings->admin_key == '\0')
    missing = "admin_key";
  if (missing == NULL)
    return TRUE;
  gs_yaml_set_error (yaml, root, error, GS_CONFIG_ERROR_MISSING, missing, "nothing",
                     "a value, or store_url");
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
       && check_log_settings (&yaml, root, &fields.settings, error)
       && parse_seeds (&yaml, fields.seeds, &fields.settings, error);
  gs_yaml_clear (&yaml);
  if (!ok)
    {
      gs_fields_clear (specs, G_N_ELEMENTS (specs), &fields);
      return NULL;
    }
  fields.settings.log_level += GS_LOG_LEVEL_ERROR;
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
                   file, problem != NULL ? problem->message : "a file that is too large",
                   SETTINGS_BYTES_MAX, GS_CONFIG_ERROR_FILE);
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
gs_settings_restart_fields (const GsSettings *a, const GsSettings *b)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();

  for (size_t i = 0; i < G_N_ELEMENTS (specs); i++)
    if (specs[i].kind != GS_FIELD_NODE
        && !gs_fields_equal (&specs[i], (const SettingsFields *)a, (const SettingsFields *)b))
      g_ptr_array_add (names, (gpointer)specs[i].name);
  g_ptr_array_add (names, NULL);
  return g_strjoinv (",", (char **)names->pdata);
}

char *
gs_settings_reference (void)
{
  return gs_fields_to_markdown (specs, G_N_ELEMENTS (specs));
}
