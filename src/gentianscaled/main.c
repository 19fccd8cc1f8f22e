/* gentianscaled: the daemon. Reads its settings, starts the engine and the servers, stops
 * gracefully. */
#include <argp.h>
#include <curl/curl.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <zmq.h>

#include "../gentian/daemon/follower.h"
#include "../gentian/http/admin.h"
#include "../gentian/http/entry.h"
#include "../gentian/log/counter.h"
#include "../gentian/log/log.h"

enum
{
  EXIT_SETTINGS = 2,           /* the settings do not pass the check */
  EXIT_START = 3,              /* a port or a key does not work */
  EXIT_CUT = 4,                /* requests were cut */
  MALLOC_ARENAS = 2,           /* pools of memory that the threads share */
  MALLOC_LARGE_BYTES = 131072, /* larger pieces go back to the system when they are freed */
};

#define STOP_POLL_US (50 * G_TIME_SPAN_MILLISECOND)
/** Time for which answers to the address question may be on their way or just received. */
#define STOP_MARGIN_US (1 * G_USEC_PER_SEC)
/** Quiet time after which no request is expected on connections that callers kept. */
#define STOP_QUIET_US (1 * G_USEC_PER_SEC)

static volatile sig_atomic_t stop_signals;

static void
note_signal (int number)
{
  (void)number;
  stop_signals++;
}

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
        argp_error (state, "--settings is needed");
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
        "gentianscaled - proxy daemon for back ends that fail grey\v"
        "Exit codes: 0 stopped as planned, 1 wrong call, 2 settings refused, 3 a port or key does "
        "not work, 4 requests were cut. Errors in settings carry a number GSC1 to GSC8: 1 syntax, "
        "2 unknown field, 3 wrong type, 4 out of range, 5 missing, 6 twice, 7 reference, 8 file. "
        "SIGTERM or SIGINT begins a planned stop; a second one ends it at once.",
        NULL,
        NULL,
        NULL };

static void
set_signals (void)
{
  struct sigaction action = { .sa_handler = note_signal };

  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  signal (SIGPIPE, SIG_IGN);
}

/* Serves until callers' answers have run out and nothing is in flight. RETURN VALUE: requests cut.
 */
static uint32_t
drain (GsEngine *engine, GsEntry *entry)
{
  const GsSettings *settings = gs_engine_settings (engine);
  int64_t begin_us = g_get_monotonic_time ();
  int64_t limit_us = begin_us + (int64_t)settings->stop_limit_s * G_USEC_PER_SEC;
  int64_t busy_us = begin_us + GS_ENTRIES_LIFE_US + STOP_MARGIN_US;
  uint64_t seen = gs_counter_value (GS_COUNTER_REQUESTS);

  gs_engine_stop (engine);
  while (g_get_monotonic_time () < limit_us && stop_signals < 2)
    {
      int64_t now_us = g_get_monotonic_time ();
      uint64_t requests = gs_counter_value (GS_COUNTER_REQUESTS);
      if (requests != seen || gs_entry_in_flight (entry) > 0)
        busy_us = MAX (busy_us, now_us + STOP_QUIET_US);
      seen = requests;
      if (now_us >= busy_us)
        break;
      g_usleep (STOP_POLL_US);
    }
  gs_entry_quiesce (entry);
  return gs_entry_in_flight (entry);
}

static int
run (const GsSettings *settings)
{
  g_autoptr (GError) error = NULL;
  GsEngine *engine = gs_engine_new (settings, &error);
  GsEntry *entry = engine != NULL ? gs_entry_new (engine, &error) : NULL;
  GsAdmin *admin = entry != NULL ? gs_admin_new (engine, &error) : NULL;
  GsFollower *follower;
  uint32_t cut;

  if (admin == NULL)
    {
      gs_log (GS_NOTICE_START_FAILED, "reason=\"%s\"", error->message);
      return EXIT_START;
    }
  follower = gs_follower_new (engine);
  gs_log (GS_NOTICE_STARTED, "entry_port=%u admin_port=%u peer_port=%u failure_domain=%s",
          settings->entry_port, settings->admin_port, settings->peer_port,
          settings->failure_domain);
  while (stop_signals == 0)
    g_usleep (STOP_POLL_US);
  gs_log (GS_NOTICE_STOPPING, "in_flight=%u", gs_entry_in_flight (entry));
  cut = drain (engine, entry);
  if (cut > 0)
    gs_log (GS_NOTICE_CUT, "requests=%u", cut);
  gs_counter_add (GS_COUNTER_REQUESTS_CUT, cut);
  gs_log (GS_NOTICE_STOPPED, "cut=%u", cut);
  if (cut > 0)
    return EXIT_CUT;
  gs_follower_free (follower);
  gs_admin_free (admin);
  gs_entry_free (entry);
  gs_engine_free (engine);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  Arguments arguments = { 0 };
  g_autoptr (GError) error = NULL;
  GsSettings *settings;
  int status;

  mallopt (M_ARENA_MAX, MALLOC_ARENAS);
  mallopt (M_MMAP_THRESHOLD, MALLOC_LARGE_BYTES);
  mallopt (M_TRIM_THRESHOLD, MALLOC_LARGE_BYTES);
  argp_err_exit_status = 1;
  argp_parse (&arguments_parser, argc, argv, 0, NULL, &arguments);
  settings = gs_settings_load (arguments.settings, &error);
  if (settings == NULL)
    {
      gs_log_init ("gentianscaled", "-", GS_LEVEL_INFO);
      gs_log (GS_NOTICE_START_FAILED, "%s", error->message);
      return EXIT_SETTINGS;
    }
  gs_log_init ("gentianscaled", settings->instance, (GsLevel)settings->log_level);
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return EXIT_START;
  set_signals ();
  status = arguments.check_only ? EXIT_SUCCESS : run (settings);
  gs_settings_free (settings);
  return status;
}
