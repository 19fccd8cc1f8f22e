/**
 * NAME
 *   settings - the YAML settings of one daemon
 *
 * DESCRIPTION
 *   Read once at the start. docs/operators/SETTINGS.md is made from the specifications in
 * settings.c and held against them by a test. Keys stand here and nowhere else: not on the command
 * line, not in logs.
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
  uint32_t max_callers;
  uint32_t connections_per_upstream;
  uint32_t stop_limit_s;
  uint32_t kept_answers_bytes;
  char *store_url;          /**< empty: tables come from the log, upstreams stand in the tables */
  int first_start;          /**< the whole fleet starts for the first time */
  uint32_t directory_port;  /**< 0: the address question is answered on the entry port only */
  uint32_t readiness_port;  /**< 0: none */
  uint32_t entries_life_ms; /**< of answers to the address question */
  uint32_t stop_limit_ms;   /**< 0: stop_limit_s counts */
  uint32_t core_share_ppm;
  uint32_t repeat_share_ppm;
  uint32_t repeat_slack;
  uint32_t repeat_window_ms;
  GsPeerAddress seeds[GS_SETTINGS_SEEDS_MAX];
  uint32_t n_seeds;
} GsSettings;

/** Reads FILE. RETURN VALUE: the settings, or NULL with ERROR in GS_CONFIG_ERROR. */
GsSettings *gs_settings_load (const char *file, GError **error);

/** The same from LENGTH bytes of TEXT. */
GsSettings *gs_settings_parse (const char *file, const char *text, size_t length, GError **error);

void gs_settings_free (GsSettings *settings);

/** RETURN VALUE: whether tables and registrations come from the platform's store. */
static inline bool
gs_settings_uses_store (const GsSettings *settings)
{
  return *settings->store_url != '\0';
}

/** RETURN VALUE: newly allocated Markdown reference. */
char *gs_settings_reference (void);

#endif
