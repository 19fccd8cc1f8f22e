#include "account.h"

#include <glib.h>
#include <math.h>
#include <string.h>

enum
{
  ACCOUNT_SLICES = 20,
  ACCOUNT_SLICES_STORED = ACCOUNT_SLICES + 1, /* the newest one is incomplete */
  ACCOUNT_RETRY_AFTER_MIN_MS = 50,
};

/** Parts of the allowed overshoot: lent to enforcers on top of the bucket, and left to enforcers
 * without a majority of account holders and to requests that run later than they were started. */
#define ACCOUNT_LENT_SHARE 0.6
#define ACCOUNT_RESERVED_SHARE 0.25
/** Part of what may be lent with which accounts start as a debt, where others may have kept them
 * just before. Without tokens to lend, workspaces with a low rate would be refused for seconds. */
#define ACCOUNT_DEBT_SHARE 0.5
/** How long the lease of an enforcer that is not heard any more is kept, in validities. What it
 * admits with the tokens of other holders is debited when it is heard again. */
#define ACCOUNT_LEASE_MEMORY 10
/** A bucket is not debited below the rate of so many seconds. */
#define ACCOUNT_DEBT_S 1.0
#define ACCOUNT_SWEEP_US (10 * GS_US_PER_S)

typedef struct
{
  uint64_t enforcer;
  uint32_t session;
  uint32_t started;
  uint32_t admitted;
  uint32_t bound;
  uint32_t wanted;
  bool expired; /* its tokens count as used */
  int64_t until_us;
} Lease;

typedef struct
{
  uint64_t workspace;
  GsQuotaLimit limit;
  double level;
  int64_t level_us;
  int64_t slice; /* number of the newest one */
  uint32_t runs[ACCOUNT_SLICES_STORED];
  GArray *leases; /* of Lease */
} Account;

struct GsQuotaAccounts
{
  GsQuotaOptions options;
  GsQuotaFleet *fleet;
  uint64_t self;
  GHashTable *accounts; /* workspace -> Account */
  int64_t swept_us;
};

static void
free_account (gpointer data)
{
  Account *account = data;

  g_array_unref (account->leases);
  g_free (account);
}

GsQuotaAccounts *
gs_quota_accounts_new (const GsQuotaOptions *options, GsQuotaFleet *fleet, uint64_t self)
{
  GsQuotaAccounts *accounts = g_new0 (GsQuotaAccounts, 1);

  accounts->options = *options;
  accounts->fleet = fleet;
  accounts->self = self;
  accounts->accounts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_account);
  return accounts;
}

void
gs_quota_accounts_free (GsQuotaAccounts *accounts)
{
  if (accounts == NULL)
    return;
  g_hash_table_destroy (accounts->accounts);
  g_free (accounts);
}

static double
seconds (int64_t time_us)
{
  return (double)time_us / (double)GS_US_PER_S;
}

/* Tokens that enforcers may hold beyond the bucket. */
static double
lent (const GsQuotaAccounts *accounts, const GsQuotaLimit *limit, double share)
{
  return ACCOUNT_LENT_SHARE * gs_quota_overshoot (&accounts->options, limit) * share;
}

/* Level of an account that was not used since its shard started. Whoever kept it before may have
 * lent as much as an account can, so it starts with that debt. */
static double
idle_level (GsQuotaAccounts *accounts, const Account *account, int64_t now_us)
{
  const GsQuotaShard *shard = gs_quota_fleet_shard (accounts->fleet, account->workspace, now_us);
  double share = gs_quota_fleet_share (accounts->fleet, now_us);

  if (shard->since_us == INT64_MIN)
    return account->limit.burst * share;
  return MIN (account->limit.rate_per_s * seconds (MAX (now_us - shard->since_us, 0)) * share
                  - ACCOUNT_DEBT_SHARE * lent (accounts, &account->limit, share),
              account->limit.burst * share);
}

static Account *
get_account (GsQuotaAccounts *accounts, uint64_t workspace, int64_t now_us)
{
  Account *account = g_hash_table_lookup (accounts->accounts, &workspace);

  if (account != NULL)
    return account;
  account = g_new0 (Account, 1);
  account->workspace = workspace;
  account->limit = gs_quota_fleet_limit (accounts->fleet, workspace);
  account->level = idle_level (accounts, account, now_us);
  account->level_us = now_us;
  account->leases = g_array_new (FALSE, TRUE, sizeof (Lease));
  g_hash_table_insert (accounts->accounts, &account->workspace, account);
  return account;
}

static int64_t
slice_us (const GsQuotaAccounts *accounts)
{
  return MAX (accounts->options.window_us / ACCOUNT_SLICES, 1);
}

/* Moves the ledger to the slice of NOW_US. */
static void
advance_slices (const GsQuotaAccounts *accounts, Account *account, int64_t now_us)
{
  int64_t slice = now_us / slice_us (accounts);

  if (slice - account->slice >= ACCOUNT_SLICES_STORED)
    {
      memset (account->runs, 0, sizeof account->runs);
      account->slice = slice;
    }
  while (account->slice < slice)
    account->runs[++account->slice % ACCOUNT_SLICES_STORED] = 0;
}

static uint32_t
runs_in_window (const Account *account)
{
  uint32_t runs = 0;

  for (int i = 0; i < ACCOUNT_SLICES_STORED; i++)
    runs += account->runs[i];
  return runs;
}

static void
add_runs (Account *account, uint32_t runs)
{
  account->runs[account->slice % ACCOUNT_SLICES_STORED] += runs;
}

/* Adds RUNS at the time AT_US, which may be past. */
static void
add_runs_at (const GsQuotaAccounts *accounts, Account *account, uint32_t runs, int64_t at_us)
{
  int64_t slice = at_us / slice_us (accounts);

  if (account->slice - slice < ACCOUNT_SLICES_STORED)
    account->runs[slice % ACCOUNT_SLICES_STORED] += runs;
}

/* All tokens of an enforcer that is not heard any more count as used, until it is heard again. */
static void
expire_leases (const GsQuotaAccounts *accounts, Account *account, int64_t now_us)
{
  for (guint i = 0; i < account->leases->len;)
    {
      Lease *lease = &g_array_index (account->leases, Lease, i);
      if (now_us > lease->until_us && !lease->expired)
        {
          add_runs_at (accounts, account,
                       (uint32_t)MAX (gs_quota_difference (lease->bound, lease->started), 0),
                       lease->until_us);
          account->level -= MAX (gs_quota_difference (lease->bound, lease->admitted), 0);
          lease->expired = true;
          lease->wanted = 0;
          lease->started = lease->admitted = lease->bound;
        }
      if (now_us - lease->until_us > ACCOUNT_LEASE_MEMORY * GS_QUOTA_VALIDITY_US)
        g_array_remove_index_fast (account->leases, i);
      else
        i++;
    }
}

/* Applies the limit in force and refills the bucket. */
static void
refresh_account (GsQuotaAccounts *accounts, Account *account, int64_t now_us)
{
  GsQuotaLimit limit = gs_quota_fleet_limit (accounts->fleet, account->workspace);
  const GsQuotaShard *shard = gs_quota_fleet_shard (accounts->fleet, account->workspace, now_us);
  double share = gs_quota_fleet_share (accounts->fleet, now_us);
  int64_t from_us = account->level_us;

  if (shard->since_us >= account->level_us) /* the shard's accounts start anew */
    {
      account->level = MIN (account->level, -ACCOUNT_DEBT_SHARE * lent (accounts, &limit, share));
      from_us = shard->since_us;
    }
  advance_slices (accounts, account, now_us);
  expire_leases (accounts, account, now_us);
  account->level += limit.rate_per_s * share * seconds (MAX (now_us - from_us, 0));
  if (limit.burst > account->limit.burst)
    account->level += (limit.burst - account->limit.burst) * share;
  account->level = MIN (account->level, limit.burst * share);
  account->limit = limit;
  account->level_us = MAX (MAX (account->level_us, now_us), shard->since_us);
}

static Lease *
get_lease (Account *account, uint64_t enforcer, const GsQuotaDemand *demand)
{
  Lease fresh = { .enforcer = enforcer,
                  .session = demand->session,
                  .started = demand->started,
                  .admitted = demand->admitted,
                  .bound = demand->admitted };

  for (guint i = 0; i < account->leases->len; i++)
    {
      Lease *lease = &g_array_index (account->leases, Lease, i);
      if (lease->enforcer != enforcer)
        continue;
      if (lease->session == demand->session)
        return lease;
      add_runs (account, (uint32_t)MAX (gs_quota_difference (lease->bound, lease->started), 0));
      *lease = fresh;
      /* a new session counts from 0, and this holder knows the enforcer */
      lease->started = lease->admitted = lease->bound = 0;
      return lease;
    }
  g_array_append_val (account->leases, fresh);
  return &g_array_index (account->leases, Lease, account->leases->len - 1);
}

/* Debits what the enforcer has admitted and takes back the tokens beyond its bound. */
static void
settle (const GsQuotaAccounts *accounts,
        Account *account,
        Lease *lease,
        const GsQuotaDemand *demand)
{
  int32_t started = gs_quota_difference (demand->started, lease->started);
  double floor_level
      = -ACCOUNT_DEBT_S * account->limit.rate_per_s - lent (accounts, &account->limit, 1);

  if (started > 0)
    {
      add_runs (account, (uint32_t)started);
      lease->started = demand->started;
    }
  account->level -= gs_quota_difference (demand->admitted, lease->admitted);
  account->level = CLAMP (account->level, floor_level, account->limit.burst);
  lease->admitted = demand->admitted;
  lease->bound = demand->admitted;
  if (gs_quota_difference (demand->bound, demand->admitted) > 0)
    lease->bound = demand->bound;
  lease->wanted = demand->wanted;
  if (lease->expired) /* what was assumed to have run may not have */
    lease->started = demand->started;
  lease->expired = false;
}

/* Tokens that enforcers other than SKIPPED want, and hold. */
static void
sum_leases (const Account *account, const Lease *skipped, double *wanted, double *held)
{
  *wanted = 0;
  *held = 0;
  for (guint i = 0; i < account->leases->len; i++)
    {
      const Lease *lease = &g_array_index (account->leases, Lease, i);
      if (lease == skipped || lease->expired)
        continue;
      *wanted += lease->wanted;
      *held += MAX (gs_quota_difference (lease->bound, lease->admitted), 0);
    }
}

/* Tokens that the window has left, whenever those that are held or waiting for a slot are used. */
static double
window_left (const GsQuotaAccounts *accounts, const Account *account)
{
  double left
      = gs_quota_nominal (&accounts->options, &account->limit)
        + gs_quota_overshoot (&accounts->options, &account->limit) * (1 - ACCOUNT_RESERVED_SHARE)
        - runs_in_window (account);

  for (guint i = 0; i < account->leases->len; i++)
    {
      const Lease *lease = &g_array_index (account->leases, Lease, i);
      left -= lease->expired ? 0 : MAX (gs_quota_difference (lease->bound, lease->started), 0);
    }
  return left;
}

/* Grants LEASE its part of the tokens that are left. */
static void
grant (GsQuotaAccounts *accounts, Account *account, Lease *lease, GsQuotaGrant *out, int64_t now_us)
{
  double share = gs_quota_fleet_share (accounts->fleet, now_us);
  int32_t extra = gs_quota_difference (lease->admitted + lease->wanted, lease->bound);
  double wanted_by_others;
  double held_by_others;
  double left;
  uint32_t granted = 0;

  sum_leases (account, lease, &wanted_by_others, &held_by_others);
  left = account->level + lent (accounts, &account->limit, share);
  left -= held_by_others + MAX (gs_quota_difference (lease->bound, lease->admitted), 0);
  left = MIN (left, window_left (accounts, account));
  if (extra > 0 && left >= 1)
    {
      double part = lease->wanted + wanted_by_others > left
                        ? MAX (left * lease->wanted / (lease->wanted + wanted_by_others), 1)
                        : extra;
      granted = (uint32_t)MIN (part, extra);
      lease->bound += granted;
    }
  *out = (GsQuotaGrant){ .workspace = account->workspace, .bound = lease->bound };
  /* While the bucket has tokens, other enforcers hold what is missing, and soon return it. */
  if (extra > 0 && granted < (uint32_t)extra && account->level < 1)
    {
      double wait_s = MAX (1 - left, 0) / MAX (account->limit.rate_per_s * share, 0.01);
      out->retry_after_ms = (uint32_t)CLAMP (wait_s * 1000, ACCOUNT_RETRY_AFTER_MIN_MS,
                                             seconds (accounts->options.window_us) * 1000);
    }
}

/* Whether this daemon itself knows that it keeps the account. One that has not noticed yet that
 * others are gone has not noticed the partition either. */
static bool
is_holder (GsQuotaAccounts *accounts, uint64_t workspace, int64_t now_us)
{
  const GsQuotaShard *shard = gs_quota_fleet_shard (accounts->fleet, workspace, now_us);

  for (uint32_t i = 0; i < shard->n_holders; i++)
    if (shard->holders[i] == accounts->self)
      return true;
  return false;
}

void
gs_quota_accounts_receive (GsQuotaAccounts *accounts,
                           const GsQuotaReport *report,
                           int64_t now_us,
                           GsQuotaReply *reply)
{
  *reply = (GsQuotaReply){ .holder = accounts->self,
                           .sequence = report->sequence,
                           .grants = g_new (GsQuotaGrant, report->n_demands) };
  for (uint32_t i = 0; i < report->n_demands; i++)
    {
      const GsQuotaDemand *demand = &report->demands[i];
      Account *account;
      Lease *lease;
      if (gs_quota_fleet_limit (accounts->fleet, demand->workspace).rate_per_s == 0
          || !is_holder (accounts, demand->workspace, now_us))
        continue;
      account = get_account (accounts, demand->workspace, now_us);
      refresh_account (accounts, account, now_us);
      lease = get_lease (account, report->enforcer, demand);
      settle (accounts, account, lease, demand);
      lease->until_us = now_us + GS_QUOTA_VALIDITY_US;
      grant (accounts, account, lease, &reply->grants[reply->n_grants++], now_us);
    }
}

void
gs_quota_accounts_tick (GsQuotaAccounts *accounts, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (now_us - accounts->swept_us < ACCOUNT_SWEEP_US)
    return;
  accounts->swept_us = now_us;
  g_hash_table_iter_init (&iter, accounts->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Account *account = value;
      refresh_account (accounts, account, now_us);
      if (account->limit.rate_per_s == 0
          || (account->leases->len == 0 && runs_in_window (account) == 0
              && account->level >= idle_level (accounts, account, now_us)))
        g_hash_table_iter_remove (&iter);
    }
}

size_t
gs_quota_account_bytes (void)
{
  return sizeof (Account) + sizeof (Lease);
}
