#include "settings_watch.h"

#include <string.h>

#include "../log/log.h"

struct GsSettingsWatch
{
  GsSettingsWatchOptions options;
  ev_timer timer;
  char *text;           /* of the last read; NULL: none yet */
  GsSettings *settings; /* the last valid ones; NULL: those of the start */
};

static const GsSettings *
known_settings (const GsSettingsWatch *watch)
{
  return watch->settings != NULL ? watch->settings : watch->options.settings;
}

static void
log_result (const GsSettingsWatch *watch, const char *result, const char *restart)
{
  gs_log (GS_LOG_EVENT_SETTINGS_RELOADED, "settings=%s result=\"%s\" restart=%s",
          watch->options.file, result, *restart != '\0' ? restart : "-");
}

static bool
has_same_seeds (const GsSettings *a, const GsSettings *b)
{
  if (a->n_seeds != b->n_seeds)
    return false;
  for (uint32_t i = 0; i < a->n_seeds; i++)
    if (a->seeds[i].ipv4 != b->seeds[i].ipv4 || a->seeds[i].peer_port != b->seeds[i].peer_port)
      return false;
  return true;
}

/* Takes over SETTINGS, which the file has now. LOG_ALWAYS: log also that nothing has changed. */
static void
apply (GsSettingsWatch *watch, GsSettings *settings, bool log_always)
{
  g_autofree char *restart = gs_settings_restart_fields (watch->options.settings, settings);
  g_autofree char *restart_before
      = gs_settings_restart_fields (watch->options.settings, known_settings (watch));
  bool same_seeds = has_same_seeds (known_settings (watch), settings);

  if (!same_seeds)
    log_result (watch, "seeds-changed", restart);
  else if (log_always || strcmp (restart, restart_before) != 0)
    log_result (watch, *restart != '\0' ? "unchanged-until-restart" : "unchanged", restart);
  gs_settings_free (watch->settings);
  watch->settings = settings;
  if (!same_seeds)
    watch->options.seeds_changed (settings->seeds, settings->n_seeds, watch->options.data);
}

static void
check (GsSettingsWatch *watch, bool log_always)
{
  g_autoptr (GError) error = NULL;
  char *text = NULL;
  GsSettings *settings;

  g_file_get_contents (watch->options.file, &text, NULL, NULL);
  if (!log_always && g_strcmp0 (text, watch->text) == 0)
    {
      g_free (text);
      return;
    }
  g_free (watch->text);
  watch->text = text;
  settings = gs_settings_load (watch->options.file, &error);
  if (settings != NULL)
    apply (watch, settings, log_always);
  else
    log_result (watch, error->message, "");
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  check (timer->data, false);
}

GsSettingsWatch *
gs_settings_watch_new (const GsSettingsWatchOptions *options)
{
  GsSettingsWatch *watch = g_new0 (GsSettingsWatch, 1);

  watch->options = *options;
  ev_timer_init (&watch->timer, on_timer, GS_SETTINGS_WATCH_PERIOD_S, GS_SETTINGS_WATCH_PERIOD_S);
  watch->timer.data = watch;
  ev_timer_start (options->loop, &watch->timer);
  return watch;
}

void
gs_settings_watch_free (GsSettingsWatch *watch)
{
  if (watch == NULL)
    return;
  ev_timer_stop (watch->options.loop, &watch->timer);
  gs_settings_free (watch->settings);
  g_free (watch->text);
  g_free (watch);
}

void
gs_settings_watch_check (GsSettingsWatch *watch)
{
  check (watch, true);
}
