#include "admin.h"

#include <arpa/inet.h>
#include <string.h>
#include <ulfius.h>

#include "../config/tables.h"
#include "../daemon/log_consumer.h"
#include "../log/counter.h"
#include "../log/histogram.h"
#include "../log/traffic.h"
#include "../store/log_client.h"
#include "../store/record.h"

enum
{
  ADMIN_LOG_TIMEOUT_MS = 2000,
  ADMIN_APPENDS_MAX = 4,         /* appends of one submission's record before it is given up */
  ADMIN_CONNECTIONS_MAX = 64,    /* each has a thread; part of what config/descriptors reserves */
  ADMIN_CONNECTIONS_IP_MAX = 32, /* further ones of the same address are closed at once */
  ADMIN_STACK_BYTES = 256 * 1024,
  ADMIN_IDLE_S = 30, /* longer than the longest wait of a request */
};

/** Timeout for the result of a submission. */
#define ADMIN_RESULT_TIMEOUT_US (9 * GS_US_PER_S)
/** Longest wait of a GET of the tables with `after`. */
#define ADMIN_LONG_POLL_US (20 * GS_US_PER_S)
/** Interval at which a waiting request checks the tables. */
#define ADMIN_POLL_INTERVAL_US (20 * GS_US_PER_MS)
/** Name in credentials that are valid for all workspaces. */
#define ADMIN_FLEET_NAME "fleet"

struct GsAdmin
{
  GsEngine *engine;
  struct _u_instance server;
  bool started;
};

static void
answer_error (struct _u_response *response, GsAdminError code, const char *message)
{
  json_t *body = json_pack ("{s:i, s:s}", "code", (int)code, "message", message);

  ulfius_set_json_body_response (
      response, code == GS_ADMIN_ERROR_ROUTE_TAKEN ? 409 : (unsigned int)code, body);
  json_decref (body);
}

static void
answer_json (struct _u_response *response, json_t *body)
{
  ulfius_set_json_body_response (response, 200, body);
  json_decref (body);
}

char *
gs_admin_credential (const char *admin_key, const char *name)
{
  char signature[GS_SIGNATURE_HEX + 1];
  g_autofree char *text = g_strconcat ("workspace ", name, NULL);

  gs_sign (admin_key, text, signature);
  return g_strdup_printf ("%s.%s", name, signature);
}

/* Verifies the request's credential. RETURN VALUE: newly allocated name of the workspace, or
 * ADMIN_FLEET_NAME, that it was issued for; NULL when it is missing or invalid. */
static char *
authenticate (GsAdmin *admin, const struct _u_request *request)
{
  const char *header = u_map_get_case (request->map_header, "Authorization");
  const char *credential;
  const char *dot;
  g_autofree char *name = NULL;
  g_autofree char *text = NULL;

  if (header == NULL || !g_str_has_prefix (header, "Bearer "))
    return NULL;
  credential = header + strlen ("Bearer ");
  dot = strrchr (credential, '.');
  if (dot == NULL || dot - credential > GS_NAME_MAX)
    return NULL;
  name = g_strndup (credential, (gsize)(dot - credential));
  text = g_strconcat ("workspace ", name, NULL);
  if (!gs_verify_signature (gs_engine_settings (admin->engine)->admin_key, text, dot + 1))
    return NULL;
  return g_steal_pointer (&name);
}

/* RETURN VALUE: the workspace that REQUEST names and is authorized for, or NULL after answering
 * with an error. */
static const char *
allowed_workspace (GsAdmin *admin, const struct _u_request *request, struct _u_response *response)
{
  const char *workspace = u_map_get (request->map_url, "workspace");
  g_autofree char *name = authenticate (admin, request);

  if (name == NULL)
    {
      answer_error (response, GS_ADMIN_ERROR_UNAUTHORIZED, "missing or invalid credential");
      return NULL;
    }
  if (workspace == NULL || *workspace == '\0' || strlen (workspace) > GS_NAME_MAX)
    {
      answer_error (response, GS_ADMIN_ERROR_NOT_FOUND,
                    "parameter workspace is missing, empty or too long");
      return NULL;
    }
  if (strcmp (name, workspace) == 0 || strcmp (name, ADMIN_FLEET_NAME) == 0)
    return workspace;
  answer_error (response, GS_ADMIN_ERROR_FORBIDDEN,
                "the credential gives no access to the rows of this workspace");
  return NULL;
}

static json_t *
tables_json (GsAdmin *admin, const char *workspace, uint64_t *revision)
{
  const char *text;
  json_t *body;
  const GsCore *core = gs_engine_lock (admin->engine);

  *revision = gs_config_log_revision (gs_core_config_log (core), workspace, &text);
  body = json_pack ("{s:s, s:I, s:I, s:s}", "workspace", workspace, "revision",
                    (json_int_t)*revision, "position",
                    (json_int_t)gs_config_log_position (gs_core_config_log (core)), "tables",
                    text != NULL ? text : "");
  gs_engine_unlock (admin->engine);
  return body;
}

/* Returns the workspace's tables. With `after`, waits until the revision is above it, for
 * ADMIN_LONG_POLL_US at most. */
static int
get_tables (const struct _u_request *request, struct _u_response *response, void *data)
{
  GsAdmin *admin = data;
  const char *workspace = allowed_workspace (admin, request, response);
  const char *after = u_map_get (request->map_url, "after");
  int64_t until_us = g_get_monotonic_time () + ADMIN_LONG_POLL_US;
  uint64_t revision;
  json_t *body;

  if (workspace == NULL)
    return U_CALLBACK_COMPLETE;
  body = tables_json (admin, workspace, &revision);
  while (after != NULL && revision <= g_ascii_strtoull (after, NULL, 10)
         && g_get_monotonic_time () < until_us && !gs_engine_stopping (admin->engine))
    {
      g_usleep (ADMIN_POLL_INTERVAL_US);
      json_decref (body);
      body = tables_json (admin, workspace, &revision);
    }
  answer_json (response, body);
  return U_CALLBACK_COMPLETE;
}

typedef struct
{
  const char *workspace;
  const char *submission;
  uint64_t base;
  char *text;
  GBytes *record;
} Submission;

typedef enum
{
  SUBMISSION_PENDING,
  SUBMISSION_ACCEPTED,
  SUBMISSION_REFUSED,
} SubmissionResult;

/* Looks up whether the tables have accepted a submission. Its record's OFFSET in the log is valid
 * if KNOWN; a refusal is only detected then. */
static SubmissionResult
find_result (GsAdmin *admin,
             const Submission *submission,
             bool known,
             uint64_t offset,
             uint64_t *revision)
{
  const GsCore *core = gs_engine_lock (admin->engine);
  const GsConfigLog *config_log = gs_core_config_log (core);
  SubmissionResult result = SUBMISSION_PENDING;

  *revision = gs_config_log_revision (config_log, submission->workspace, NULL);
  if (gs_config_log_has_accepted (config_log, submission->workspace,
                                  gs_hash_name (submission->submission)))
    result = SUBMISSION_ACCEPTED;
  else if (known && gs_config_log_position (config_log) > offset)
    result = SUBMISSION_REFUSED;
  gs_engine_unlock (admin->engine);
  return result;
}

static void
answer_conflict (GsAdmin *admin,
                 const Submission *submission,
                 uint64_t revision,
                 struct _u_response *response)
{
  GsDocument *mine;
  g_autofree char *rows = NULL;
  const GsCore *core;
  json_t *body;

  if (revision == submission->base)
    {
      answer_error (response, GS_ADMIN_ERROR_ROUTE_TAKEN,
                    "the host and prefix of a route already belong to another workspace");
      return;
    }
  mine = gs_tables_parse (submission->workspace, "submission", submission->text,
                          strlen (submission->text), NULL);
  core = gs_engine_lock (admin->engine);
  rows = gs_tables_diff (gs_table_document (gs_core_table (core), submission->workspace), mine);
  gs_engine_unlock (admin->engine);
  gs_document_free (mine);
  body = json_pack ("{s:i, s:s, s:I, s:I, s:s}", "code", (int)GS_ADMIN_ERROR_CONFLICT, "message",
                    "the workspace was edited since the base revision", "base",
                    (json_int_t)submission->base, "revision", (json_int_t)revision, "rows", rows);
  ulfius_set_json_body_response (response, 409, body);
  json_decref (body);
}

static void
answer_accepted (uint64_t revision, struct _u_response *response)
{
  answer_json (response,
               json_pack ("{s:s, s:I}", "result", "accepted", "revision", (json_int_t)revision));
}

/* Waits until UNTIL_US for the submission's result and answers with it. RETURN VALUE: true when the
 * request has been answered. */
static bool
await_result (GsAdmin *admin,
              const Submission *submission,
              bool known,
              uint64_t offset,
              int64_t until_us,
              struct _u_response *response)
{
  uint64_t revision;

  do
    {
      switch (find_result (admin, submission, known, offset, &revision))
        {
        case SUBMISSION_ACCEPTED:
          answer_accepted (revision, response);
          return true;
        case SUBMISSION_REFUSED:
          answer_conflict (admin, submission, revision, response);
          return true;
        case SUBMISSION_PENDING:
          g_usleep (ADMIN_POLL_INTERVAL_US);
        }
    }
  while (g_get_monotonic_time () < until_us);
  return false;
}

/*
 * Appends the submission's record to the log until an answer returns its offset, then waits for the
 * result. When an answer was lost the record may be in the log twice; the submission's identifier
 * makes it apply once.
 */
static void
submit_edit (GsAdmin *admin, const Submission *submission, struct _u_response *response)
{
  GsLogClient *client
      = gs_log_client_new (gs_engine_settings (admin->engine)->platform_url, ADMIN_LOG_TIMEOUT_MS);
  int64_t until_us = g_get_monotonic_time () + ADMIN_RESULT_TIMEOUT_US;
  bool lost = false;
  bool answered = false;

  for (int i = 0; i < ADMIN_APPENDS_MAX && !answered && g_get_monotonic_time () < until_us; i++)
    {
      uint64_t offset = 0;
      GsAppendResult result = gs_log_append (client, GS_CONFIG_STREAM, submission->record, &offset);
      lost = lost || result == GS_APPEND_UNKNOWN;
      if (result == GS_APPEND_DONE)
        answered = await_result (admin, submission, true, offset, until_us, response);
      else if (result == GS_APPEND_UNKNOWN)
        answered = await_result (admin, submission, false, 0, g_get_monotonic_time () + GS_US_PER_S,
                                 response);
      else
        g_usleep (100 * (gulong)GS_US_PER_MS);
    }
  gs_log_client_free (client);
  if (answered)
    return;
  if (lost)
    answer_error (
        response, GS_ADMIN_ERROR_INDETERMINATE,
        "result unknown: the log's answer was lost; submit again with the same identifier");
  else
    answer_error (response, GS_ADMIN_ERROR_LOG_UNAVAILABLE,
                  "log unavailable; the edit was not accepted");
}

static int
post_tables (const struct _u_request *request, struct _u_response *response, void *data)
{
  GsAdmin *admin = data;
  Submission submission = { .workspace = allowed_workspace (admin, request, response),
                            .submission = u_map_get (request->map_url, "submission") };
  const char *base = u_map_get (request->map_url, "base");
  g_autoptr (GError) error = NULL;
  GsDocument *document;

  if (submission.workspace == NULL)
    return U_CALLBACK_COMPLETE;
  if (submission.submission == NULL || base == NULL
      || strlen (submission.submission) > GS_RECORD_SUBMISSION_MAX)
    {
      answer_error (response, GS_ADMIN_ERROR_MALFORMED,
                    "parameter base or submission is missing, or submission is too long");
      return U_CALLBACK_COMPLETE;
    }
  submission.base = g_ascii_strtoull (base, NULL, 10);
  submission.text = g_strndup (request->binary_body, request->binary_body_length);
  document = gs_tables_parse (submission.workspace, "submission", submission.text,
                              request->binary_body_length, &error);
  if (document == NULL)
    answer_error (response, GS_ADMIN_ERROR_MALFORMED, error->message);
  else
    {
      submission.record = gs_record_encode_edit (submission.submission, submission.workspace,
                                                 submission.base, submission.text);
      gs_engine_add_submissions (admin->engine, 1);
      submit_edit (admin, &submission, response);
      gs_engine_add_submissions (admin->engine, -1);
      g_bytes_unref (submission.record);
    }
  gs_document_free (document);
  g_free (submission.text);
  return U_CALLBACK_COMPLETE;
}

static json_t *
upstream_json (const GsPool *pool, uint16_t index)
{
  GsUpstreamView view;

  gs_pool_view (pool, index, &view);
  return json_pack ("{s:s, s:s, s:s, s:i, s:f, s:I}", "upstream", view.id, "state",
                    gs_upstream_state_name (view.state), "reason", view.reason, "outstanding",
                    (int)view.outstanding, "score_nats", view.score_nats, "latency_us",
                    (json_int_t)view.latency_us);
}

/* Describes a pool: its homes, and its upstreams' state as this daemon sees it. */
static json_t *
pool_json (const GsCore *core, const GsPoolRow *row)
{
  const GsPool *pool = gs_core_pool (core, row->document->workspace, row->name);
  uint32_t indexes[18];
  uint32_t n_homes = gs_core_homes (core, row, indexes);
  json_t *homes = json_array ();
  json_t *upstreams = json_array ();

  for (uint32_t i = 0; i < n_homes; i++)
    json_array_append_new (homes,
                           json_string (gs_members_get (gs_core_members (core), indexes[i])->id));
  for (uint16_t i = 0; pool != NULL && i < gs_pool_size (pool); i++)
    json_array_append_new (upstreams, upstream_json (pool, i));
  return json_pack ("{s:s, s:o, s:b, s:i, s:i, s:o}", "pool", row->name, "homes", homes,
                    "served_here", pool != NULL, "in_rotation",
                    pool != NULL ? (int)gs_pool_in_rotation (pool) : 0, "floor",
                    pool != NULL ? (int)gs_pool_floor (pool) : 0, "upstreams", upstreams);
}

static int
get_pools (const struct _u_request *request, struct _u_response *response, void *data)
{
  GsAdmin *admin = data;
  const char *workspace = allowed_workspace (admin, request, response);
  const GsDocument *document;
  const GsCore *core;
  json_t *body;

  if (workspace == NULL)
    return U_CALLBACK_COMPLETE;
  body = json_array ();
  core = gs_engine_lock (admin->engine);
  document = gs_table_document (gs_core_table (core), workspace);
  for (uint32_t i = 0; document != NULL && i < document->n_pools; i++)
    json_array_append_new (body, pool_json (core, &document->pools[i]));
  gs_engine_unlock (admin->engine);
  answer_json (response, body);
  return U_CALLBACK_COMPLETE;
}

/* Returns the route that matches a host and path, with the state of its pool. */
static int
get_explain (const struct _u_request *request, struct _u_response *response, void *data)
{
  GsAdmin *admin = data;
  const char *workspace = allowed_workspace (admin, request, response);
  const char *host = u_map_get (request->map_url, "host");
  const char *path = u_map_get (request->map_url, "path");
  const GsRoute *route;
  const GsCore *core;
  json_t *body = NULL;

  if (workspace == NULL)
    return U_CALLBACK_COMPLETE;
  core = gs_engine_lock (admin->engine);
  route
      = gs_table_match (gs_core_table (core), host != NULL ? host : "", path != NULL ? path : "/");
  if (route != NULL && strcmp (route->document->workspace, workspace) == 0)
    body = json_pack ("{s:s, s:s, s:s, s:i, s:o}", "route", route->name, "host", route->host,
                      "prefix", route->prefix, "timeout_ms", (int)route->timeout_ms, "pool",
                      pool_json (core, gs_document_pool (route->document, route->pool)));
  gs_engine_unlock (admin->engine);
  if (body == NULL)
    answer_error (response, GS_ADMIN_ERROR_NOT_FOUND,
                  "no route of this workspace matches host and path");
  else
    answer_json (response, body);
  return U_CALLBACK_COMPLETE;
}

static json_t *
member_json (const GsMembers *members, uint32_t index)
{
  static const char *const states[] = { "alive", "leaving", "suspect", "dead" };
  const GsMemberInfo *member = gs_members_get (members, index);

  return json_pack ("{s:s, s:s, s:s, s:b, s:b}", "instance", member->id, "failure_domain",
                    member->failure_domain, "state", states[member->state & 3], "ready",
                    member->ready, "reachable", gs_members_reachable (members, index));
}

static int
get_members (const struct _u_request *request, struct _u_response *response, void *data)
{
  GsAdmin *admin = data;
  g_autofree char *name = authenticate (admin, request);
  const GsMembers *members;
  json_t *body;

  if (name == NULL)
    {
      answer_error (response, GS_ADMIN_ERROR_UNAUTHORIZED, "missing or invalid credential");
      return U_CALLBACK_COMPLETE;
    }
  body = json_array ();
  members = gs_core_members (gs_engine_lock (admin->engine));
  for (uint32_t i = 0; i < gs_members_count (members); i++)
    json_array_append_new (body, member_json (members, i));
  gs_engine_unlock (admin->engine);
  answer_json (response, body);
  return U_CALLBACK_COMPLETE;
}

/* Returns this daemon's position in the log, the highest position of its peers if that is higher,
 * and how many partitions of the claims streams it owns and awaits records of. */
static int
get_streams (const struct _u_request *request, struct _u_response *response, void *data)
{
  GsAdmin *admin = data;
  g_autofree char *name = authenticate (admin, request);
  GsClaimPartitions partitions;
  GsPeerAddress address;
  const GsCore *core;
  json_t *body;

  if (name == NULL)
    {
      answer_error (response, GS_ADMIN_ERROR_UNAUTHORIZED, "missing or invalid credential");
      return U_CALLBACK_COMPLETE;
    }
  partitions = gs_engine_claim_partitions (admin->engine);
  core = gs_engine_lock (admin->engine);
  body = json_pack ("{s:{s:b, s:I, s:I}, s:{s:i, s:i}}", "config", "complete",
                    gs_config_log_is_complete (gs_core_config_log (core)), "position",
                    (json_int_t)gs_config_log_position (gs_core_config_log (core)), "furthest_peer",
                    (json_int_t)gs_members_newest_position (gs_core_members (core), &address),
                    "claims", "owned", __builtin_popcountll (partitions.owned), "awaited",
                    __builtin_popcountll (partitions.awaited));
  gs_engine_unlock (admin->engine);
  answer_json (response, body);
  return U_CALLBACK_COMPLETE;
}

static int
get_health (const struct _u_request *request, struct _u_response *response, void *data)
{
  GsAdmin *admin = data;
  const GsCore *core = gs_engine_lock (admin->engine);
  bool ready = gs_core_ready (core);
  json_t *body = json_pack ("{s:b, s:I, s:i, s:i}", "ready", ready, "position",
                            (json_int_t)gs_config_log_position (gs_core_config_log (core)),
                            "in_flight", (int)gs_core_in_flight (core), "members",
                            (int)gs_members_count (gs_core_members (core)));

  (void)request;
  gs_engine_unlock (admin->engine);
  ulfius_set_json_body_response (response, ready ? 200 : 503, body);
  json_decref (body);
  return U_CALLBACK_COMPLETE;
}

static int
get_metrics (const struct _u_request *request, struct _u_response *response, void *data)
{
  g_autofree char *counters = gs_counter_render ();
  g_autofree char *histograms = gs_histogram_render ();
  g_autofree char *traffic = gs_traffic_render ();
  g_autofree char *text = g_strconcat (counters, traffic, histograms, NULL);

  (void)request;
  (void)data;
  u_map_put (response->map_header, "Content-Type", "text/plain; version=0.0.4");
  ulfius_set_string_body_response (response, 200, text);
  return U_CALLBACK_COMPLETE;
}

static void
add_endpoints (GsAdmin *admin)
{
  struct _u_instance *server = &admin->server;

  ulfius_add_endpoint_by_val (server, "GET", "/metrics", NULL, 0, get_metrics, admin);
  ulfius_add_endpoint_by_val (server, "GET", "/healthz", NULL, 0, get_health, admin);
  ulfius_add_endpoint_by_val (server, "GET", "/v1/admin/tables", NULL, 0, get_tables, admin);
  ulfius_add_endpoint_by_val (server, "POST", "/v1/admin/tables", NULL, 0, post_tables, admin);
  ulfius_add_endpoint_by_val (server, "GET", "/v1/admin/pools", NULL, 0, get_pools, admin);
  ulfius_add_endpoint_by_val (server, "GET", "/v1/admin/explain", NULL, 0, get_explain, admin);
  ulfius_add_endpoint_by_val (server, "GET", "/v1/admin/members", NULL, 0, get_members, admin);
  ulfius_add_endpoint_by_val (server, "GET", "/v1/admin/streams", NULL, 0, get_streams, admin);
}

/* Listens with limits, which ulfius does not set by itself. */
static bool
start_server (struct _u_instance *server)
{
  struct MHD_OptionItem options[] = {
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL },
    { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL },
    { MHD_OPTION_SOCK_ADDR, 0, server->bind_address },
    { MHD_OPTION_CONNECTION_LIMIT, ADMIN_CONNECTIONS_MAX, NULL },
    { MHD_OPTION_PER_IP_CONNECTION_LIMIT, ADMIN_CONNECTIONS_IP_MAX, NULL },
    { MHD_OPTION_CONNECTION_TIMEOUT, ADMIN_IDLE_S, NULL },
    { MHD_OPTION_THREAD_STACK_SIZE, ADMIN_STACK_BYTES, NULL },
    { MHD_OPTION_END, 0, NULL },
  };

  return ulfius_start_framework_with_mhd_options (
             server, MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, options)
         == U_OK;
}

GsAdmin *
gs_admin_new (GsEngine *engine, GError **error)
{
  const GsSettings *settings = gs_engine_settings (engine);
  GsAdmin *admin = g_new0 (GsAdmin, 1);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)settings->admin_port),
                                 .sin_addr.s_addr = htonl (settings->address) };

  admin->engine = engine;
  ulfius_init_instance (&admin->server, settings->admin_port, &address, NULL);
  admin->server.max_post_body_size = GS_TABLES_BYTES_MAX + 1;
  admin->server.allowed_post_processor = U_POST_PROCESS_NONE;
  add_endpoints (admin);
  admin->started = start_server (&admin->server);
  if (admin->started)
    return admin;
  g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "cannot listen on admin port %u",
               settings->admin_port);
  gs_admin_free (admin);
  return NULL;
}

void
gs_admin_free (GsAdmin *admin)
{
  if (admin->started)
    ulfius_stop_framework (&admin->server);
  ulfius_clean_instance (&admin->server);
  g_free (admin);
}
