/* The keys of requests: the check at arrival, and again while a request waits and before each
 * further attempt, by the tables then in force. */
#include "core_private.h"

#include <string.h>

enum
{
  ACCESS_STATUS_UNAUTHORIZED = 401,
  ACCESS_STATUS_BAD_GATEWAY = 502,
  ACCESS_STATUS_UNAVAILABLE = 503,
  ACCESS_STALE_RETRY_AFTER_MS = 300, /* newer tables arrive within some 100 ms of the first sign */
};

/** Time after which newer tables must be assumed if no reader that the store answers is heard. It
 * is the bound within which a change of the tables takes effect. */
#define ACCESS_STORE_SILENCE_US (2500 * GS_US_PER_MS)

/* Whether newer tables are known or have to be assumed. Does not cause a read: the tables come at
 * the same pace whether or not callers send unknown keys. */
static bool
tables_may_be_stale (const GsCore *core)
{
  GsPeerAddress address;
  int64_t heard_us = core->reader_available_us;

  if (gs_members_newest_position (core->members, &address)
      > gs_config_log_position (core->config_log))
    return true;
  return core->options.tables_from_store
         && (heard_us == 0 || core->now_us - heard_us > ACCESS_STORE_SILENCE_US);
}

static GsAccess
check (const GsCore *core, const GsDocument *document, const GsCredential *credential)
{
  GsAccess access = gs_access_check (document, credential);

  if (access.verdict == GS_ACCESS_UNKNOWN_KEY && tables_may_be_stale (core))
    access.verdict = GS_ACCESS_STALE;
  return access;
}

static void
count_refusal (GsCore *core, GsAccessVerdict verdict, bool revoked)
{
  core_add_effect (core, GS_EFFECT_ACCESS_REFUSED)->access_refused
      = (GsAccessRefusedEffect){ .stale = verdict == GS_ACCESS_STALE, .revoked = revoked };
}

uint16_t
request_access_status (GsAccessVerdict verdict)
{
  return verdict == GS_ACCESS_STALE ? ACCESS_STATUS_UNAVAILABLE : ACCESS_STATUS_UNAUTHORIZED;
}

GsAccess
request_check_access (GsCore *core, const GsRequestEvent *event, const GsRoute *route)
{
  GsCredential credential = request_credential (event, route);
  GsAccess access = check (core, route->document, &credential);

  if (access.verdict != GS_ACCESS_GRANTED)
    count_refusal (core, access.verdict, false);
  return access;
}

GsCredential
request_credential (const GsRequestEvent *event, const GsRoute *route)
{
  return (GsCredential){ .anonymous = route->anonymous,
                         .has_key = event->has_key,
                         .key = event->key,
                         .vouched = event->forwarded,
                         .vouched_workspace
                         = event->workspace != NULL ? gs_hash_name (event->workspace) : 0 };
}

void
request_set_workspace (Request *request, const GsWorkspaceRow *row)
{
  request->workspace_listed = row != NULL;
  if (row == NULL && request->credential.vouched)
    return; /* another daemon named it */
  request->workspace = row != NULL ? row->hash : 0;
  request->workspace_priority = row != NULL ? row->priority : 0;
  g_strlcpy (request->workspace_name, row != NULL ? row->name : "", sizeof request->workspace_name);
}

GsAccessVerdict
request_renew_access (GsCore *core, Request *request)
{
  const GsDocument *document = gs_table_document (core->table, request->pool->workspace);
  bool was_listed = request->workspace_listed;
  GsAccess access;

  /* A request that was admitted without a key does not need one later. */
  if (!request->credential.has_key && request->credential.vouched_workspace == 0)
    return GS_ACCESS_GRANTED;
  access = check (core, document, &request->credential);
  if (access.verdict == GS_ACCESS_GRANTED && request->credential.vouched
      && !request->credential.anonymous && was_listed && access.workspace == NULL
      && document != NULL && gs_document_requires_keys (document))
    access.verdict = GS_ACCESS_UNKNOWN_KEY; /* the key has been removed */
  if (access.verdict == GS_ACCESS_GRANTED)
    request_set_workspace (request, access.workspace);
  return access.verdict;
}

void
request_end_access (GsCore *core, Request *request, GsAccessVerdict verdict)
{
  uint16_t status = request_verdict (request) == GS_VERDICT_NOT_RUN
                        ? request_access_status (verdict)
                        : ACCESS_STATUS_BAD_GATEWAY;

  count_refusal (core, verdict, true);
  request->retry_after_ms = verdict == GS_ACCESS_STALE ? ACCESS_STALE_RETRY_AFTER_MS : 0;
  request->reject_status = status;
  request_fail (core, request, status, "key-revoked");
}

/* Ends a request that waits. One that runs keeps its attempt, but is given no other. */
static void
end_or_keep (GsCore *core, Request *request, GsAccessVerdict verdict)
{
  scheduling_cancel_slot_request (core, request);
  if (request->phase == REQUEST_QUEUED)
    {
      request_queue_remove (request);
      request->phase = REQUEST_NEW;
    }
  if (request->phase != REQUEST_RUNNING)
    request_end_access (core, request, verdict);
}

/* Requests that wait for the log are checked when they are dispatched: their claim is in doubt
 * until then. */
static bool
awaits_slot (const Request *request)
{
  return request->phase == REQUEST_QUEUED || request->slot_request_pending;
}

void
request_access_tables_changed (GsCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_autoptr (GArray) waiting = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (awaits_slot (value))
      g_array_append_val (waiting, ((Request *)value)->id);
  for (guint i = 0; i < waiting->len; i++)
    {
      /* Ending one request may have granted its slot to another, or refused that. */
      Request *request = request_find (core, g_array_index (waiting, uint64_t, i));
      GsAccessVerdict verdict = request != NULL && awaits_slot (request)
                                    ? request_renew_access (core, request)
                                    : GS_ACCESS_GRANTED;
      if (verdict != GS_ACCESS_GRANTED)
        end_or_keep (core, request, verdict);
    }
}
