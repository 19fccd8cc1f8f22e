/* Quotas of workspaces in the reducer: which daemons keep an account, what the tables allow, and
 * the requests that wait for a reply of the account holders. */
#include "core_private.h"

#include <string.h>

#include "../quota/account.h"
#include "../quota/enforcer.h"
#include "../rejoin/rejoin.h"

enum
{
  QUOTA_STATUS_TOO_MANY_REQUESTS = 429,
  QUOTA_LOGGED_MAX = 4096, /* workspaces whose last log event is remembered */
};

/** Time after its start in which a daemon learns of the other members. */
#define QUOTA_SETTLED_US (2500 * GS_US_PER_MS)
/** Size taken for that of a fleet of which a daemon has met nobody: above any that is planned for,
 * so that it hands out next to nothing. */
#define QUOTA_UNKNOWN_FLEET 10000
/** Time after its start from which such a daemon takes itself for the only one left. Any other one
 * that it can reach has been found by then. */
#define QUOTA_ALONE_US (2 * GS_REJOIN_BOUND_US)
/** Tick periods while workspaces are active, and while requests wait. */
#define QUOTA_TICK_US (50 * GS_US_PER_MS)
#define QUOTA_WAITING_TICK_US (25 * GS_US_PER_MS)
#define QUOTA_LOG_PERIOD_US GS_US_PER_S

/* A request that waits for a reply. */
typedef struct
{
  PoolState *state;
  GsSlotRequest slot_request; /* unless `request` is set */
  uint64_t request;           /* served here, without a scheduler; 0: none */
  int64_t since_us;
} Held;

struct QuotaLink
{
  GsCore *core;
  GsQuotaFleet *fleet;
  GsQuotaAccounts *accounts;
  GsQuotaEnforcer *enforcer;
  GPtrArray *documents; /* names of those with limits */
  uint32_t n_workspaces;
  uint64_t tables_epoch;
  GQueue held;       /* of Held */
  const Held *again; /* passed on again at the moment */
  bool flush_due;
  bool replied_here;  /* this daemon, which keeps an account itself, has replied to itself */
  GHashTable *logged; /* workspace -> time of its last log event */
  int64_t degraded_logged_us;
  double logged_share; /* of the rates */
  GsQuotaCounts counted;
};

typedef struct
{
  GsAdmission parent;
  GsCore *core;
  PoolState *state;
} PoolAdmission;

/* Workspaces of one name in two documents have two accounts. */
static uint64_t
account_key (const char *document, uint64_t workspace)
{
  return workspace ^ gs_mix64 (gs_hash_name (document));
}

/* Whether the fleet may have any size. The daemons that this one has not met may admit all that
 * workspaces are allowed. */
static bool
is_fleet_unknown (const GsCore *core)
{
  return gs_members_expects_others (core->members)
         && core->now_us - core->started_us < QUOTA_ALONE_US;
}

static uint64_t
view_epoch (void *data)
{
  const QuotaLink *link = data;
  uint64_t epoch = gs_mix64 (gs_members_epoch (link->core->members)) + link->tables_epoch;

  return is_fleet_unknown (link->core) ? ~epoch : epoch;
}

static uint32_t
view_members (uint32_t *alive, void *data)
{
  const QuotaLink *link = data;
  uint32_t count = gs_members_count (link->core->members);
  uint32_t n_seeds = gs_members_n_seeds (link->core->members);

  *alive = 0;
  for (uint32_t i = 0; i < count; i++)
    *alive += gs_members_get (link->core->members, i)->state != GS_MEMBER_DEAD ? 1 : 0;
  if (is_fleet_unknown (link->core))
    return QUOTA_UNKNOWN_FLEET;
  /* A daemon that has just started knows few others yet. */
  return MAX (count, n_seeds);
}

static uint32_t
view_workspaces (void *data)
{
  return ((const QuotaLink *)data)->n_workspaces;
}

static GsQuotaLimit
view_limit (uint64_t key, void *data)
{
  const QuotaLink *link = data;

  for (guint i = 0; i < link->documents->len; i++)
    {
      const char *name = g_ptr_array_index (link->documents, i);
      const GsDocument *document = gs_table_document (link->core->table, name);
      const GsWorkspaceRow *row
          = document != NULL ? gs_document_workspace (document, account_key (name, key)) : NULL;
      if (row != NULL)
        return (GsQuotaLimit){ .rate_per_s = row->rate_per_s, .burst = row->burst };
    }
  return (GsQuotaLimit){ 0 };
}

static uint32_t
view_holders (uint32_t shard, uint64_t holders[GS_QUOTA_HOLDERS], void *data)
{
  const QuotaLink *link = data;
  uint32_t indexes[GS_QUOTA_HOLDERS];
  uint64_t key = gs_hash_bytes (&shard, sizeof shard, gs_hash_name ("quota accounts"));
  uint32_t count = gs_members_homes (link->core->members, key, GS_QUOTA_HOLDERS, indexes);

  for (uint32_t i = 0; i < count; i++)
    holders[i] = gs_hash_name (gs_members_get (link->core->members, indexes[i])->id);
  return count;
}

static QuotaLink *
new_link (GsCore *core)
{
  const GsCoreOptions *options = &core->options;
  QuotaLink *link = g_new0 (QuotaLink, 1);
  GsFleetView view = { .epoch = view_epoch,
                       .members = view_members,
                       .workspaces = view_workspaces,
                       .limit = view_limit,
                       .holders = view_holders,
                       .settled_us = options->first_start ? 0 : core->started_us + QUOTA_SETTLED_US,
                       .data = link };

  link->core = core;
  link->fleet = gs_quota_fleet_new (&view, options->first_start);
  link->accounts
      = gs_quota_accounts_new (&options->quota, link->fleet, gs_hash_name (options->self.id));
  link->enforcer = gs_quota_enforcer_new (&options->quota, link->fleet, core->origin,
                                          gs_mix64 (options->seed + 3));
  link->documents = g_ptr_array_new_with_free_func (g_free);
  link->logged = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_queue_init (&link->held);
  link->logged_share = 1;
  return link;
}

void
quota_free (GsCore *core)
{
  QuotaLink *link = core->quota;

  if (link == NULL)
    return;
  core->quota = NULL;
  gs_quota_enforcer_free (link->enforcer);
  gs_quota_accounts_free (link->accounts);
  gs_quota_fleet_free (link->fleet);
  g_ptr_array_unref (link->documents);
  g_queue_clear_full (&link->held, g_free);
  g_hash_table_destroy (link->logged);
  g_free (link);
}

typedef struct
{
  GPtrArray *names;
  uint32_t n_workspaces;
} LimitedDocuments;

static void
collect_document (const GsDocument *document, void *data)
{
  LimitedDocuments *limited = data;

  if (document->n_workspaces == 0)
    return;
  g_ptr_array_add (limited->names, g_strdup (document->workspace));
  limited->n_workspaces += document->n_workspaces;
}

void
quota_tables_changed (GsCore *core)
{
  LimitedDocuments limited = { 0 };

  if (core->options.quota.window_us == 0)
    return;
  limited.names = g_ptr_array_new_with_free_func (g_free);
  gs_table_foreach (core->table, collect_document, &limited);
  if (core->quota == NULL && limited.n_workspaces > 0)
    core->quota = new_link (core);
  if (core->quota == NULL)
    {
      g_ptr_array_unref (limited.names);
      return;
    }
  g_ptr_array_unref (core->quota->documents);
  core->quota->documents = limited.names;
  core->quota->n_workspaces = limited.n_workspaces;
  core->quota->tables_epoch++;
}

static const GsWorkspaceRow *
find_row (const GsCore *core, const PoolState *state, uint64_t workspace)
{
  const GsDocument *document = gs_table_document (core->table, state->workspace);

  return document != NULL ? gs_document_workspace (document, workspace) : NULL;
}

/* Logs the first refusal of a workspace in a second. */
static void
log_refusal (QuotaLink *link, const PoolState *state, uint64_t workspace, uint32_t after_ms)
{
  GsCore *core = link->core;
  uint64_t key = account_key (state->workspace, workspace);
  const int64_t *logged_us = g_hash_table_lookup (link->logged, &key);
  const GsWorkspaceRow *row = find_row (core, state, workspace);

  if (row == NULL || (logged_us != NULL && core->now_us - *logged_us < QUOTA_LOG_PERIOD_US))
    return;
  if (g_hash_table_size (link->logged) >= QUOTA_LOGGED_MAX)
    g_hash_table_remove_all (link->logged);
  g_hash_table_replace (link->logged, g_memdup2 (&key, sizeof key),
                        g_memdup2 (&core->now_us, sizeof core->now_us));
  core_log_event (core, GS_LOG_EVENT_QUOTA_REACHED,
                  "workspace=%s pool=%s rate_per_s=%u burst=%u retry_after_ms=%u", row->name,
                  state->name, row->rate_per_s, row->burst, after_ms);
}

static const Held *
find_held (const QuotaLink *link, uint64_t origin, uint64_t token)
{
  for (const GList *item = link->held.head; item != NULL; item = item->next)
    {
      const Held *held = item->data;
      if (held->request == 0 && held->slot_request.origin == origin
          && held->slot_request.token == token)
        return held;
    }
  return NULL;
}

/* Decides on a request; HELD is the one that waits already, or NULL. */
static GsAdmissionVerdict
decide (QuotaLink *link,
        const PoolState *state,
        uint64_t workspace,
        const Held *held,
        uint32_t *retry_after_ms)
{
  GsCore *core = link->core;
  const GsWorkspaceRow *row = find_row (core, state, workspace);
  uint64_t key = account_key (state->workspace, workspace);
  GsQuotaVerdict verdict;

  if (row == NULL || row->rate_per_s == 0)
    return GS_ADMISSION_UNLIMITED;
  verdict
      = gs_quota_enforcer_admit (link->enforcer, key, held == NULL, core->now_us, retry_after_ms);
  if (verdict == GS_QUOTA_WAIT)
    {
      link->flush_due = true;
      if (held == NULL || core->now_us - held->since_us < GS_QUOTA_WAIT_US)
        return GS_ADMISSION_HELD;
      *retry_after_ms = gs_quota_enforcer_refuse (link->enforcer, key, core->now_us);
    }
  if (verdict == GS_QUOTA_ADMITTED)
    return GS_ADMISSION_ADMITTED;
  log_refusal (link, state, workspace, *retry_after_ms);
  return GS_ADMISSION_REFUSED;
}

/* AGAIN: the same request, which has waited already, or NULL. */
static void
hold (QuotaLink *link, const Held *held, const Held *again)
{
  Held *copy = g_memdup2 (held, sizeof *held);

  if (again != NULL)
    copy->since_us = again->since_us;
  g_queue_push_tail (&link->held, copy);
}

static GsAdmissionVerdict
admit (GsAdmission *admission,
       const GsSlotRequest *request,
       int64_t now_us,
       uint32_t *retry_after_ms)
{
  PoolAdmission *self = (PoolAdmission *)admission;
  QuotaLink *link = self->core->quota;
  Held held = { .state = self->state, .slot_request = *request, .since_us = now_us };
  const Held *again;
  GsAdmissionVerdict verdict;

  if (link == NULL || link->n_workspaces == 0)
    return GS_ADMISSION_UNLIMITED;
  if (find_held (link, request->origin, request->token) != NULL)
    return GS_ADMISSION_HELD;
  again = link->again;
  if (again != NULL
      && (again->request != 0 || again->slot_request.origin != request->origin
          || again->slot_request.token != request->token))
    again = NULL;
  verdict = decide (link, self->state, request->workspace, again, retry_after_ms);
  if (verdict == GS_ADMISSION_HELD)
    hold (link, &held, again);
  return verdict;
}

static void
withdraw (GsAdmission *admission, uint64_t origin, uint64_t token)
{
  QuotaLink *link = ((PoolAdmission *)admission)->core->quota;
  Held *held = link != NULL ? (Held *)find_held (link, origin, token) : NULL;

  if (held == NULL)
    return;
  g_queue_remove (&link->held, held);
  g_free (held);
}

static void
started (GsAdmission *admission, uint64_t workspace)
{
  PoolAdmission *self = (PoolAdmission *)admission;

  gs_quota_enforcer_started (self->core->quota->enforcer,
                             account_key (self->state->workspace, workspace));
}

static void
refund (GsAdmission *admission, uint64_t workspace, bool was_started)
{
  PoolAdmission *self = (PoolAdmission *)admission;
  uint64_t key = account_key (self->state->workspace, workspace);

  if (was_started)
    gs_quota_enforcer_return_started (self->core->quota->enforcer, key);
  else
    gs_quota_enforcer_refund (self->core->quota->enforcer, key);
}

GsAdmission *
quota_new_admission (GsCore *core, PoolState *state)
{
  static const GsAdmissionClass klass
      = { .admit = admit, .withdraw = withdraw, .started = started, .refund = refund };
  PoolAdmission *admission = g_new0 (PoolAdmission, 1);

  *admission = (PoolAdmission){ .parent.klass = &klass, .core = core, .state = state };
  return &admission->parent;
}

bool
quota_admit_request (GsCore *core, Request *request)
{
  QuotaLink *link = core->quota;
  Held held = { .state = request->pool, .request = request->id, .since_us = core->now_us };
  const Held *again;
  GsAdmissionVerdict verdict;

  if (link == NULL || link->n_workspaces == 0 || request->workspace == 0 || request->quota_charged
      || request_verdict (request) != GS_VERDICT_NOT_RUN)
    return true;
  again = link->again != NULL && link->again->request == request->id ? link->again : NULL;
  verdict = decide (link, request->pool, request->workspace, again, &request->retry_after_ms);
  request->quota_charged = verdict == GS_ADMISSION_ADMITTED;
  if (verdict == GS_ADMISSION_HELD)
    {
      request->phase = REQUEST_QUEUED;
      hold (link, &held, again);
    }
  if (verdict == GS_ADMISSION_REFUSED)
    {
      request->reject_status = QUOTA_STATUS_TOO_MANY_REQUESTS;
      request_fail (core, request, QUOTA_STATUS_TOO_MANY_REQUESTS, "over-quota");
    }
  return verdict == GS_ADMISSION_UNLIMITED || verdict == GS_ADMISSION_ADMITTED;
}

void
quota_request_started (GsCore *core, Request *request)
{
  if (!request->quota_charged || request->quota_started)
    return;
  request->quota_started = true;
  gs_quota_enforcer_started (core->quota->enforcer,
                             account_key (request->pool->workspace, request->workspace));
}

void
quota_request_removed (GsCore *core, const Request *request)
{
  uint64_t key;

  if (!request->quota_charged || core->quota == NULL)
    return;
  key = account_key (request->pool->workspace, request->workspace);
  if (!request->quota_started)
    gs_quota_enforcer_refund (core->quota->enforcer, key);
  else if (request_verdict (request) == GS_VERDICT_NOT_RUN)
    gs_quota_enforcer_return_started (core->quota->enforcer, key);
}

/* Decides again on the requests that wait. Each is passed on as if it had just arrived. */
static void
serve_held (QuotaLink *link)
{
  GsCore *core = link->core;
  guint count = link->held.length;

  for (guint i = 0; i < count && link->held.length > 0; i++)
    {
      g_autofree Held *held = g_queue_pop_head (&link->held);
      Request *request = held->request != 0 ? request_find (core, held->request) : NULL;
      link->again = held;
      if (held->request == 0)
        scheduling_submit (core, held->state, &held->slot_request);
      else if (request != NULL && request->phase == REQUEST_QUEUED)
        {
          request->phase = REQUEST_NEW;
          request_dispatch (core, request);
        }
      link->again = NULL;
    }
}

/* This daemon keeps the account itself. */
static void
report_here (QuotaLink *link, const GsQuotaReport *report)
{
  GsQuotaReply reply;

  gs_quota_accounts_receive (link->accounts, report, link->core->now_us, &reply);
  gs_quota_enforcer_receive (link->enforcer, &reply, link->core->now_us);
  g_free (reply.grants);
  link->replied_here = true;
}

static void
send_reports (QuotaLink *link)
{
  GsCore *core = link->core;
  uint64_t self = gs_hash_name (core->options.self.id);
  GsQuotaReport report;
  uint64_t to;

  link->flush_due = false;
  gs_quota_enforcer_flush (link->enforcer, core->now_us);
  while (gs_quota_enforcer_next_report (link->enforcer, &to, &report))
    {
      const GsMemberInfo *holder = gs_members_find_hash (core->members, to);
      GsEffect *effect;
      if (to == self)
        report_here (link, &report);
      if (to == self || holder == NULL)
        {
          g_free (report.demands);
          continue;
        }
      effect = core_add_effect (core, GS_EFFECT_QUOTA_REPORT);
      effect->to = core_peer_address (holder);
      effect->quota_report = report;
    }
}

void
quota_receive_report (GsCore *core, const GsQuotaReport *report, const GsPeerAddress *from)
{
  GsEffect *effect;
  GsQuotaReply reply;

  if (core->quota == NULL)
    return; /* no limits in this daemon's tables yet */
  gs_quota_accounts_receive (core->quota->accounts, report, core->now_us, &reply);
  effect = core_add_effect (core, GS_EFFECT_QUOTA_REPLY);
  effect->to = *from;
  effect->quota_reply = reply;
}

void
quota_receive_reply (GsCore *core, const GsQuotaReply *reply)
{
  if (core->quota == NULL)
    return;
  gs_quota_enforcer_receive (core->quota->enforcer, reply, core->now_us);
  serve_held (core->quota);
}

void
quota_after_event (GsCore *core)
{
  QuotaLink *link = core->quota;

  if (link == NULL || !link->flush_due)
    return;
  link->replied_here = false;
  send_reports (link);
  if (link->replied_here) /* it may keep the account alone */
    serve_held (link);
  link->flush_due = false;
}

/* Passes on what was counted since the last time. */
static void
emit_counts (QuotaLink *link)
{
  GsCore *core = link->core;
  GsQuotaCounts counts = gs_quota_enforcer_counts (link->enforcer);
  GsQuotaCounts *before = &link->counted;

  if (memcmp (&counts, before, sizeof counts) == 0)
    return;
  if (counts.degraded != before->degraded
      && core->now_us - link->degraded_logged_us >= QUOTA_LOG_PERIOD_US)
    {
      link->degraded_logged_us = core->now_us;
      core_log_event (core, GS_LOG_EVENT_QUOTA_DEGRADED, "requests=%" G_GUINT64_FORMAT,
                      counts.degraded - before->degraded);
    }
  core_add_effect (core, GS_EFFECT_QUOTA_COUNTS)->quota_counts
      = (GsQuotaCounts){ .admitted = counts.admitted - before->admitted,
                         .refused = counts.refused - before->refused,
                         .waited = counts.waited - before->waited,
                         .reports = counts.reports - before->reports,
                         .degraded = counts.degraded - before->degraded };
  *before = counts;
}

double
quota_share (const GsCore *core)
{
  return core->quota != NULL ? gs_quota_fleet_share (core->quota->fleet, core->now_us) : 1;
}

static void
log_share (QuotaLink *link)
{
  GsCore *core = link->core;
  double share = quota_share (core);

  if (share == link->logged_share)
    return;
  link->logged_share = share;
  core_log_event (core, GS_LOG_EVENT_QUOTA_SHARE_CHANGED, "share=%.3f members=%u", share,
                  gs_quota_fleet_members (link->fleet, core->now_us));
}

void
quota_tick (GsCore *core)
{
  QuotaLink *link = core->quota;

  if (link == NULL)
    return;
  send_reports (link);
  serve_held (link);
  link->flush_due = false;
  gs_quota_accounts_tick (link->accounts, core->now_us);
  log_share (link);
  emit_counts (link);
}

int64_t
quota_next_tick_us (const GsCore *core, int64_t interval_us)
{
  const QuotaLink *link = core->quota;

  if (link != NULL && link->held.length > 0)
    return MIN (interval_us, QUOTA_WAITING_TICK_US);
  if (link != NULL && gs_quota_enforcer_active (link->enforcer) > 0)
    return MIN (interval_us, QUOTA_TICK_US);
  return interval_us;
}
