/**
 * NAME
 *   settings - the YAML settings of one daemon
 *
 * DESCRIPTION
 *   Read at the start; daemon/settings_watch takes over later changes of the seeds.
 * docs/operators/SETTINGS.md is generated from the specifications in settings.c; a test compares
 * the two. Keys are given only in this file: not on the command line, and no message or log line
 * contains them.
 */
#ifndef GS_SETTINGS_H
#define GS_SETTINGS_H

#include <glib.h>

#include "../core/member.h"

enum
{
  GS_SETTINGS_SEEDS_MAX = 16,
  GS_SETTINGS_KEY_BYTES = 32,
  GS_SETTINGS_CURVE_KEY_LENGTH = 40, /**< characters of a CURVE key in Z85 */
};

typedef struct
{
  char *instance;
  char *failure_domain;
  uint32_t address;
  uint32_t entry_port;
  uint32_t admin_port;
  uint32_t peer_port;
  char *platform_url;
  char *peer_public_key;
  char *peer_secret_key;
  char *fleet_key;
  char *admin_key;
  int log_level;
  uint32_t max_body_bytes;
  uint32_t max_bodies_bytes;  /**< of all requests together */
  uint32_t max_answers_bytes; /**< of all answers that are held, together */
  uint32_t max_callers;
  uint32_t connections_per_upstream;
  uint32_t stop_limit_s;
  uint32_t kept_answers_bytes;
  char *store_url;          /**< empty: tables are read from the log and list the upstreams */
  int first_start;          /**< the whole fleet is starting for the first time */
  uint32_t directory_port;  /**< 0: address lookups are answered on the entry port only */
  uint32_t readiness_port;  /**< 0: none */
  uint32_t entries_life_ms; /**< of answers to address lookups */
  uint32_t stop_limit_ms;   /**< 0: stop_limit_s applies */
  uint32_t core_share_ppm;
  uint32_t repeat_share_ppm;
  uint32_t repeat_slack;
  uint32_t repeat_window_ms;
  uint32_t slice_upstreams; /**< from which a pool is scheduled by slice; 0: never */
  int placement;            /**< GsPlacement */
  uint32_t upstream_held_bytes;
  uint32_t quota_window_ms;
  uint32_t quota_overshoot_ppm;
  uint32_t quota_slack;
  GsPeerAddress seeds[GS_SETTINGS_SEEDS_MAX];
  uint32_t n_seeds;
} GsSettings;

/** Reads and parses FILE. RETURN VALUE: the settings, or NULL with ERROR in GS_CONFIG_ERROR. */
GsSettings *gs_settings_load (const char *file, GError **error);

/** The same from LENGTH bytes of TEXT; FILE is the name in messages. */
GsSettings *gs_settings_parse (const char *file, const char *text, size_t length, GError **error);

void gs_settings_free (GsSettings *settings);

/** RETURN VALUE: newly allocated names, with commas between them, of the fields other than the
 * seeds that differ between A and B; they take effect with a restart. */
char *gs_settings_restart_fields (const GsSettings *a, const GsSettings *b);

/** RETURN VALUE: whether tables and registrations are read from the platform's metadata store. */
static inline bool
gs_settings_uses_store (const GsSettings *settings)
{
  return *settings->store_url != '\0';
}

/** RETURN VALUE: newly allocated Markdown reference of all settings. */
char *gs_settings_reference (void);

#endif
