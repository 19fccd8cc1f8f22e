/* gentianscaled: the daemon. Reads its settings, starts the engine and the servers, stops
 * gracefully. */
#include <argp.h>
#include <curl/curl.h>
#include <ev.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <zmq.h>

#include "../../platform/platform.h"
#include "../gentian/daemon/store_watcher.h"
#include "../gentian/daemon/log_consumer.h"
#include "../gentian/daemon/settings_watch.h"
#include "../gentian/http/admin.h"
#include "../gentian/http/planned_stop.h"
#include "../gentian/log/counter.h"
#include "../gentian/log/log.h"
#include "../gentian/log/loop_watch.h"

enum
{
  EXIT_SETTINGS = 2,           /* the settings are invalid */
  EXIT_START = 3,              /* a port or a key is unusable */
  EXIT_CUT = 4,                /* requests in flight were aborted */
  UPSTREAM_CONNECT_MS = 300,   /* for ten round trips between failure domains and a busy daemon */
  UPSTREAM_IDLE_MS = 4000,     /* idle timeout of connections to upstreams that state none */
  MALLOC_ARENAS = 2,           /* shared by all threads */
  MALLOC_LARGE_BYTES = 131072, /* larger blocks are returned to the system when they are freed */
};

static const char *settings_file;

typedef struct
{
  const char *settings;
  int check_only;
} Arguments;

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->settings = argument;
      return 0;
    case 'c':
      arguments->check_only = 1;
      return 0;
    case ARGP_KEY_END:
      if (arguments->settings == NULL)
        arguments->settings = platform_settings_path ();
      if (arguments->settings == NULL)
        argp_error (state, "--settings is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[]
    = { { "settings", 's', "FILE", 0, "settings of this instance (YAML)", 0 },
        { "check", 'c', NULL, 0, "check the settings and exit", 0 },
        { 0 } };

static const struct argp arguments_parser
    = { options,
        parse_option,
        NULL,
        "gentianscaled - proxy daemon for backend servers that fail partially\v"
        "Exit codes: 0 stopped as planned, 1 wrong usage, 2 settings refused, 3 a port or key does "
        "not work, 4 requests were cut. Errors in settings carry a number GSC1 to GSC8: 1 syntax, "
        "2 unknown field, 3 wrong type, 4 out of range, 5 missing, 6 twice, 7 reference, 8 file. "
        "SIGTERM or SIGINT begins a planned stop; a second one ends it at once.",
        NULL,
        NULL,
        NULL };

/* Components of the daemon. With a metadata store `log_consumer` is NULL; without one `endpoints`
 * and `store_watcher` are. */
typedef struct
{
  struct ev_loop *loop;
  GsEngine *engine;
  GsEntry *entry;
  GsAdmin *admin;
  PlatformEndpoints *endpoints;
  GsStoreWatcher *store_watcher;
  GsLogConsumer *log_consumer;
} Services;

static GsEntryOptions
entry_options (GsEngine *engine, bool uses_store)
{
  GsEntryOptions entry = { .engine = engine };

  if (!uses_store)
    return entry;
  entry.header_names = &platform_header_names;
  entry.client = (GsClientOptions){ .connect_timeout_ms = UPSTREAM_CONNECT_MS,
                                    .idle_ms = UPSTREAM_IDLE_MS,
                                    .allow_unframed = true,
                                    .skip_crash_check = true };
  return entry;
}

static bool
start_services (Services *services, const GsSettings *settings, GError **error)
{
  GsEngineOptions engine
      = { .settings = settings,
          .loop = services->loop,
          .parse_tables = gs_settings_uses_store (settings) ? platform_decode_tables : NULL };
  GsEntryOptions entry;

  services->engine = gs_engine_new (&engine, error);
  if (services->engine == NULL)
    return false;
  entry = entry_options (services->engine, gs_settings_uses_store (settings));
  services->entry = gs_entry_new (&entry, error);
  if (services->entry == NULL)
    return false;
  services->admin = gs_admin_new (services->engine, error);
  if (services->admin == NULL)
    return false;
  if (!gs_settings_uses_store (settings))
    {
      services->log_consumer = gs_log_consumer_new (services->engine);
      return true;
    }
  services->endpoints = platform_endpoints_new (services->engine, error);
  if (services->endpoints == NULL)
    return false;
  services->store_watcher = gs_store_watcher_new (
      &(GsStoreWatcherOptions){ .engine = services->engine,
                                .registrations = platform_store_new (settings->store_url),
                                .tables = platform_store_new (settings->store_url) });
  return true;
}

static void
stop_services (Services *services)
{
  gs_store_watcher_free (services->store_watcher);
  if (services->log_consumer != NULL)
    gs_log_consumer_free (services->log_consumer);
  platform_endpoints_free (services->endpoints);
  gs_admin_free (services->admin);
  gs_entry_free (services->entry);
  gs_engine_free (services->engine);
}

static void
on_seeds_changed (const GsPeerAddress *seeds, uint32_t n_seeds, void *data)
{
  gs_engine_set_seeds (data, seeds, n_seeds);
}

static void
on_reload (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  gs_settings_watch_check (watcher->data);
}

/* The first signal begins a planned stop, a second one ends it. */
static void
on_stop_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  gs_planned_stop_begin (watcher->data);
}

/* Serves until a planned stop is over. RETURN VALUE: number of requests that it cut. */
static uint32_t
serve (Services *services)
{
  GsPlannedStop *stop = gs_planned_stop_new (services->engine, services->entry);
  GsSettingsWatch *settings_watch = gs_settings_watch_new (
      &(GsSettingsWatchOptions){ .loop = services->loop,
                                 .file = settings_file,
                                 .settings = gs_engine_settings (services->engine),
                                 .seeds_changed = on_seeds_changed,
                                 .data = services->engine });
  ev_signal reload, terminate, interrupt;
  uint32_t cut;

  ev_signal_init (&reload, on_reload, SIGHUP);
  ev_signal_init (&terminate, on_stop_signal, SIGTERM);
  ev_signal_init (&interrupt, on_stop_signal, SIGINT);
  reload.data = settings_watch;
  terminate.data = stop;
  interrupt.data = stop;
  ev_signal_start (services->loop, &reload);
  ev_signal_start (services->loop, &terminate);
  ev_signal_start (services->loop, &interrupt);
  cut = gs_planned_stop_run (stop);
  ev_signal_stop (services->loop, &terminate);
  ev_signal_stop (services->loop, &interrupt);
  ev_signal_stop (services->loop, &reload);
  gs_settings_watch_free (settings_watch);
  gs_planned_stop_free (stop);
  return cut;
}

static int
run (const GsSettings *settings, struct ev_loop *loop)
{
  g_autoptr (GError) error = NULL;
  Services services = { .loop = loop };
  GsLoopWatch *loop_watch = gs_loop_watch_new (loop);
  uint32_t cut;

  if (!start_services (&services, settings, &error))
    {
      gs_log (GS_LOG_EVENT_START_FAILED, "reason=\"%s\"", error->message);
      return EXIT_START;
    }
  gs_log (GS_LOG_EVENT_STARTED,
          "entry_port=%u admin_port=%u peer_port=%u failure_domain=%s max_callers=%u "
          "max_lookups=%u descriptors=%" G_GUINT64_FORMAT,
          settings->entry_port, settings->admin_port, settings->peer_port, settings->failure_domain,
          gs_engine_descriptors (services.engine)->callers,
          gs_engine_descriptors (services.engine)->lookups, gs_descriptors_limit ());
  cut = serve (&services);
  if (cut > 0)
    gs_log (GS_LOG_EVENT_REQUESTS_CUT, "requests=%u", cut);
  gs_counter_add (GS_COUNTER_REQUESTS_CUT, cut);
  gs_log (GS_LOG_EVENT_STOPPED, "cut=%u", cut);
  if (cut > 0 || gs_settings_uses_store (settings))
    return cut > 0 ? EXIT_CUT : EXIT_SUCCESS; /* exits without joining the threads */
  stop_services (&services);
  gs_loop_watch_free (loop_watch);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  Arguments arguments = { 0 };
  g_autoptr (GError) error = NULL;
  GsSettings *settings;
  struct ev_loop *loop;
  int status;

  /* Until the loop handles it, a reload must not end the process; the file is read again soon. */
  signal (SIGHUP, SIG_IGN);
  mallopt (M_ARENA_MAX, MALLOC_ARENAS);
  mallopt (M_MMAP_THRESHOLD, MALLOC_LARGE_BYTES);
  mallopt (M_TRIM_THRESHOLD, MALLOC_LARGE_BYTES);
  argp_err_exit_status = 1;
  argp_parse (&arguments_parser, argc, argv, 0, NULL, &arguments);
  settings_file = arguments.settings;
  settings = gs_settings_load (settings_file, &error);
  if (settings == NULL)
    {
      gs_log_init ("gentianscaled", "-", GS_LOG_LEVEL_INFO);
      gs_log (GS_LOG_EVENT_START_FAILED, "%s", error->message);
      return EXIT_SETTINGS;
    }
  gs_log_init ("gentianscaled", settings->instance, (GsLogLevel)settings->log_level);
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return EXIT_START;
  signal (SIGPIPE, SIG_IGN);
  loop = ev_loop_new (EVBACKEND_EPOLL | EVFLAG_NOENV);
  gs_log_attach_loop (loop);
  status = arguments.check_only ? EXIT_SUCCESS : run (settings, loop);
  gs_log_flush ();
  gs_settings_free (settings);
  return status;
}
