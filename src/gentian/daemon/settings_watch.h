/**
 * NAME
 *   settings_watch - takes over changes of the settings file while the daemon runs
 *
 * SYNOPSIS
 *   GsSettingsWatch *watch = gs_settings_watch_new (&options);
 *   gs_settings_watch_check (watch); // after SIGHUP
 *
 * DESCRIPTION
 *   Whoever writes the file may do so without a signal, so it is read every
 * GS_SETTINGS_WATCH_PERIOD_S. Only the seeds are taken over; addresses and limits hold for the
 * whole process. Each change is logged as GS1107, with the names of the fields that need a restart.
 * With a file that cannot be used the settings of before stay in force, and the line names the
 * field. Tested by test/unit/test_settings_watch.c and test/functional/test_seeds.sh.
 */
#ifndef GS_SETTINGS_WATCH_H
#define GS_SETTINGS_WATCH_H

#include <ev.h>

#include "../config/settings.h"

#define GS_SETTINGS_WATCH_PERIOD_S 1.

typedef struct
{
  struct ev_loop *loop;
  const char *file;
  const GsSettings *settings; /**< of the start; must remain */
  /** Called on the loop's thread with seeds that differ from those of before. */
  void (*seeds_changed) (const GsPeerAddress *seeds, uint32_t n_seeds, void *data);
  void *data;
} GsSettingsWatchOptions;

typedef struct GsSettingsWatch GsSettingsWatch;

GsSettingsWatch *gs_settings_watch_new (const GsSettingsWatchOptions *options);
void gs_settings_watch_free (GsSettingsWatch *watch);

/** Reads the file now, and logs the result also if nothing has changed. */
void gs_settings_watch_check (GsSettingsWatch *watch);

#endif
