/* Unit tests of daemon/settings_watch: changes of the settings file, with and without a signal. */
#include "../../src/gentian/daemon/settings_watch.h"
#include "../../src/gentian/log/log.h"
#include "fixture.h"

#include <glib/gstdio.h>
#include <unistd.h>

typedef struct
{
  struct ev_loop *loop;
  char *file;
  GsSettings *settings;
  GsSettingsWatch *watch;
  uint32_t changes;
  GsPeerAddress first; /* of the seeds taken over last */
  uint32_t n_seeds;
} Watch;

static void
write_settings (const Watch *watch, const char *seeds, const char *other)
{
  g_autofree char *text
      = g_strdup_printf ("instance: i\nfailure_domain: d\naddress: 127.0.0.1\nentry_port: 1\n"
                         "admin_port: 2\npeer_port: 3\nstore_url: http://127.0.0.1:4\n"
                         "seeds: [%s]\n%s\n",
                         seeds, other);

  ck_assert (g_file_set_contents (watch->file, text, -1, NULL));
}

static void
on_seeds_changed (const GsPeerAddress *seeds, uint32_t n_seeds, void *data)
{
  Watch *watch = data;

  watch->changes++;
  watch->n_seeds = n_seeds;
  watch->first = n_seeds > 0 ? seeds[0] : (GsPeerAddress){ 0 };
}

static void
watch_start (Watch *watch)
{
  int file = g_file_open_tmp ("settings-XXXXXX", &watch->file, NULL);

  ck_assert_int_ge (file, 0);
  close (file);
  write_settings (watch, "\"127.0.0.1:7\"", "");
  watch->loop = ev_loop_new (EVFLAG_AUTO);
  watch->settings = gs_settings_load (watch->file, NULL);
  ck_assert_ptr_nonnull (watch->settings);
  watch->watch
      = gs_settings_watch_new (&(GsSettingsWatchOptions){ .loop = watch->loop,
                                                          .file = watch->file,
                                                          .settings = watch->settings,
                                                          .seeds_changed = on_seeds_changed,
                                                          .data = watch });
}

static void
watch_end (Watch *watch)
{
  gs_settings_watch_free (watch->watch);
  gs_settings_free (watch->settings);
  ev_loop_destroy (watch->loop);
  g_unlink (watch->file);
  g_free (watch->file);
}

/* Guards against seeds that a running daemon never uses, as nobody sent it a signal. */
START_TEST (changed_seeds_are_taken_over_without_a_signal)
{
  Watch watch = { 0 };

  watch_start (&watch);
  ev_run (watch.loop, EVRUN_ONCE); /* the file has not changed */
  ck_assert_uint_eq (watch.changes, 0);
  write_settings (&watch, "\"127.0.0.1:8\", \"127.0.0.1:9\"", "");
  ev_run (watch.loop, EVRUN_ONCE);
  ck_assert_uint_eq (watch.changes, 1);
  ck_assert_uint_eq (watch.n_seeds, 2);
  ck_assert_uint_eq (watch.first.peer_port, 8);
  ev_run (watch.loop, EVRUN_ONCE);
  ck_assert_uint_eq (watch.changes, 1);
  watch_end (&watch);
}
END_TEST

/* Guards against a daemon that a wrong or missing file leaves without seeds, or that takes over
 * what holds for the whole process. */
START_TEST (unusable_files_leave_the_settings_as_they_were)
{
  Watch watch = { 0 };

  watch_start (&watch);
  write_settings (&watch, "\"no address\"", "");
  gs_settings_watch_check (watch.watch);
  g_file_set_contents (watch.file, "", 0, NULL);
  gs_settings_watch_check (watch.watch);
  g_unlink (watch.file);
  gs_settings_watch_check (watch.watch);
  write_settings (&watch, "\"127.0.0.1:7\"", "quota_slack: 7");
  gs_settings_watch_check (watch.watch);
  ck_assert_uint_eq (watch.changes, 0);
  write_settings (&watch, "", "");
  gs_settings_watch_check (watch.watch);
  ck_assert_uint_eq (watch.changes, 1);
  ck_assert_uint_eq (watch.n_seeds, 0);
  watch_end (&watch);
}
END_TEST

/* Guards against a reload that does not say what a restart is still needed for. */
START_TEST (fields_that_need_a_restart_are_named)
{
  Watch watch = { 0 };
  g_autofree char *none = NULL;
  g_autofree char *some = NULL;
  GsSettings *changed;

  watch_start (&watch);
  none = gs_settings_restart_fields (watch.settings, watch.settings);
  ck_assert_str_eq (none, "");
  write_settings (&watch, "\"127.0.0.1:8\"", "quota_slack: 7\nfleet_key: \"\"\nlog_level: error");
  changed = gs_settings_load (watch.file, NULL);
  some = gs_settings_restart_fields (watch.settings, changed);
  ck_assert_str_eq (some, "log_level,quota_slack");
  gs_settings_free (changed);
  watch_end (&watch);
}
END_TEST

FIXTURE_MAIN ("settings_watch",
              &changed_seeds_are_taken_over_without_a_signal,
              &unusable_files_leave_the_settings_as_they_were,
              &fields_that_need_a_restart_are_named)
