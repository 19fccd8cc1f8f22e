#include "lost_requests.h"

#include <glib.h>

#include "crash.h"

enum
{
  LOST_LIMIT = 3,  /* upstreams at which a request lost its connection: it is refused */
  CRASH_LIMIT = 2, /* the same, of upstreams that were unreachable right after */
  LOST_CONNECTIONS_MAX = 64,
};

/** Connections lost at an upstream count as its crash when it is unreachable within this time. */
#define LOST_CRASH_WINDOW_US (2 * GS_US_PER_S)
/** How long lost connections and crashes count against the content of a request. A daemon may retry
 * it again after that. */
#define LOST_MEMORY_US (20 * GS_US_PER_S)
#define LOST_CRASH_MEMORY_US (120 * GS_US_PER_S)
/** How long a request that was refused for lost connections is under observation: it is not
 * retried, and refused again after one. */
#define LOST_OBSERVATION_US (300 * GS_US_PER_S)

/* A request whose connection was lost at an upstream, until the upstream is found unreachable. */
typedef struct
{
  uint64_t upstream;
  uint64_t fingerprint;
  int64_t at_us;
} LostConnection;

struct GsLostRequests
{
  bool shared;
  GsCrashTracker *lost;     /* requests whose connections were lost */
  GsCrashTracker *crashing; /* those after which the upstream was unreachable */
  GsCrashTracker *observed; /* those that were refused for lost ones */
  LostConnection connections[LOST_CONNECTIONS_MAX];
  uint32_t next_connection;
  GQueue losses; /* of GsLoss */
};

GsLostRequests *
gs_lost_requests_new (bool shared)
{
  GsLostRequests *requests = g_new0 (GsLostRequests, 1);
  GsCrashTrackerOptions lost = { .limit = LOST_LIMIT, .retention_us = LOST_MEMORY_US };
  GsCrashTrackerOptions crashed = { .limit = CRASH_LIMIT, .retention_us = LOST_CRASH_MEMORY_US };
  GsCrashTrackerOptions observed = { .limit = 1, .retention_us = LOST_OBSERVATION_US };

  requests->shared = shared;
  requests->lost = gs_crash_tracker_new (&lost);
  requests->crashing = gs_crash_tracker_new (&crashed);
  requests->observed = gs_crash_tracker_new (&observed);
  g_queue_init (&requests->losses);
  return requests;
}

void
gs_lost_requests_free (GsLostRequests *requests)
{
  gs_crash_tracker_free (requests->lost);
  gs_crash_tracker_free (requests->crashing);
  gs_crash_tracker_free (requests->observed);
  g_queue_clear_full (&requests->losses, g_free);
  g_free (requests);
}

static void
tell (GsLostRequests *requests, GsLossKind kind, uint64_t fingerprint, uint64_t upstream)
{
  GsLoss loss = { .kind = kind, .fingerprint = fingerprint, .upstream = upstream };

  if (requests->shared && requests->losses.length < GS_LOSSES_MAX)
    g_queue_push_tail (&requests->losses, g_memdup2 (&loss, sizeof loss));
}

static bool
is_observed (const GsLostRequests *requests, uint64_t fingerprint, int64_t now_us)
{
  return gs_crash_tracker_must_refuse (requests->observed, fingerprint, now_us);
}

static void
count_lost (GsLostRequests *requests, uint64_t upstream, uint64_t fingerprint, int64_t now_us)
{
  gs_crash_tracker_add_suspect (requests->lost, fingerprint, upstream, now_us);
  for (uint64_t i = 1; i < LOST_LIMIT && is_observed (requests, fingerprint, now_us); i++)
    gs_crash_tracker_add_suspect (requests->lost, fingerprint, upstream + i, now_us);
  if (gs_crash_tracker_must_refuse (requests->lost, fingerprint, now_us))
    gs_crash_tracker_add_suspect (requests->observed, fingerprint, now_us, now_us);
}

void
gs_lost_requests_add (GsLostRequests *requests,
                      uint64_t upstream,
                      uint64_t fingerprint,
                      int64_t now_us)
{
  requests->connections[requests->next_connection++ % LOST_CONNECTIONS_MAX]
      = (LostConnection){ .upstream = upstream, .fingerprint = fingerprint, .at_us = now_us };
  count_lost (requests, upstream, fingerprint, now_us);
  tell (requests, GS_LOSS_CONNECTION, fingerprint, upstream);
}

void
gs_lost_requests_confirm (GsLostRequests *requests, uint64_t upstream, int64_t now_us)
{
  for (int i = 0; i < LOST_CONNECTIONS_MAX; i++)
    {
      LostConnection *lost = &requests->connections[i];
      if (lost->upstream != upstream || lost->at_us == 0
          || now_us - lost->at_us > LOST_CRASH_WINDOW_US)
        continue;
      gs_crash_tracker_add_suspect (requests->crashing, lost->fingerprint, upstream, now_us);
      tell (requests, GS_LOSS_CRASH, lost->fingerprint, upstream);
      lost->at_us = 0;
    }
}

static bool
clear (GsLostRequests *requests, uint64_t fingerprint)
{
  bool lost = gs_crash_tracker_clear_suspect (requests->lost, fingerprint);
  bool crashing = gs_crash_tracker_clear_suspect (requests->crashing, fingerprint);
  bool observed = gs_crash_tracker_clear_suspect (requests->observed, fingerprint);

  return lost || crashing || observed;
}

void
gs_lost_requests_clear (GsLostRequests *requests, uint64_t fingerprint)
{
  if (clear (requests, fingerprint))
    tell (requests, GS_LOSS_ANSWERED, fingerprint, 0);
}

bool
gs_lost_requests_must_refuse (const GsLostRequests *requests,
                              uint64_t fingerprint,
                              bool is_retry,
                              int64_t now_us)
{
  return gs_crash_tracker_must_refuse (requests->crashing, fingerprint, now_us)
         || gs_crash_tracker_must_refuse (requests->lost, fingerprint, now_us)
         || (is_retry && is_observed (requests, fingerprint, now_us));
}

bool
gs_lost_requests_next (GsLostRequests *requests, GsLoss *loss)
{
  g_autofree GsLoss *next = g_queue_pop_head (&requests->losses);

  if (next == NULL)
    return false;
  *loss = *next;
  return true;
}

void
gs_lost_requests_apply (GsLostRequests *requests, const GsLoss *loss, int64_t now_us)
{
  switch (loss->kind)
    {
    case GS_LOSS_CONNECTION:
      count_lost (requests, loss->upstream, loss->fingerprint, now_us);
      break;
    case GS_LOSS_CRASH:
      gs_crash_tracker_add_suspect (requests->crashing, loss->fingerprint, loss->upstream, now_us);
      break;
    case GS_LOSS_ANSWERED:
      clear (requests, loss->fingerprint);
      break;
    }
}
