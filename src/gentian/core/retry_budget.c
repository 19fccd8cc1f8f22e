#include "retry_budget.h"

#include <glib.h>

enum
{
  RETRY_BUDGET_ACCOUNTS_MAX = 8192, /* other schedulers' accounts stored */
};

/** Age from which the debt is computed anew. */
#define RETRY_BUDGET_DEBT_REFRESH_US (100 * GS_US_PER_MS)

typedef struct
{
  GsRetryAccount account;
  int64_t slice; /* number of the account's newest slice */
} PeerAccount;

struct GsRetryBudget
{
  GsRetryBudgetOptions options;
  int64_t slice; /* number of the newest slice */
  GsRetryAccount own;
  GHashTable *peers; /* origin -> PeerAccount */
  double debt;       /* retries of other schedulers beyond their credit */
  int64_t debt_due_us;
};

GsRetryBudget *
gs_retry_budget_new (const GsRetryBudgetOptions *options)
{
  GsRetryBudget *budget = g_new0 (GsRetryBudget, 1);

  budget->options = *options;
  budget->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return budget;
}

void
gs_retry_budget_free (GsRetryBudget *budget)
{
  if (budget == NULL)
    return;
  g_hash_table_destroy (budget->peers);
  g_free (budget);
}

void
gs_retry_budget_set_slack (GsRetryBudget *budget, uint32_t slack)
{
  budget->options.slack = slack;
}

/* Ages the slices of ACCOUNT by STEPS; the oldest are dropped, the newest start at 0. */
static void
shift_slices (GsRetryAccount *account, int64_t steps)
{
  for (int64_t i = GS_RETRY_BUDGET_SLICES_STORED - 1; i >= 0; i--)
    {
      account->requests[i] = i >= steps ? account->requests[i - steps] : 0;
      account->retries[i] = i >= steps ? account->retries[i - steps] : 0;
    }
}

static void
advance (GsRetryBudget *budget, int64_t now_us)
{
  int64_t slice = now_us / (budget->options.window_us / GS_RETRY_BUDGET_SLICES);

  if (slice <= budget->slice)
    return;
  shift_slices (&budget->own, slice - budget->slice);
  budget->slice = slice;
}

static uint32_t
sum_requests (const GsRetryAccount *account)
{
  uint32_t sum = 0;

  for (int i = 0; i < GS_RETRY_BUDGET_SLICES; i++)
    sum += account->requests[i];
  return sum;
}

static uint32_t
sum_retries (const GsRetryAccount *account)
{
  uint32_t sum = 0;

  for (int i = 0; i < GS_RETRY_BUDGET_SLICES_STORED; i++)
    sum += account->retries[i];
  return sum;
}

static double
credit (const GsRetryBudget *budget, const GsRetryAccount *account)
{
  return GS_RETRY_BUDGET_SHARE_FRACTION * budget->options.share_ppm / 1e6 * sum_requests (account);
}

static void
update_debt (GsRetryBudget *budget, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (now_us < budget->debt_due_us)
    return;
  budget->debt_due_us = now_us + RETRY_BUDGET_DEBT_REFRESH_US;
  budget->debt = 0;
  g_hash_table_iter_init (&iter, budget->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PeerAccount *peer = value;
      double excess;
      shift_slices (&peer->account, budget->slice - peer->slice);
      peer->slice = budget->slice;
      if (sum_retries (&peer->account) == 0)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      excess = sum_retries (&peer->account) - credit (budget, &peer->account);
      budget->debt += MAX (excess, 0);
    }
}

void
gs_retry_budget_add_request (GsRetryBudget *budget, int64_t now_us)
{
  advance (budget, now_us);
  budget->own.requests[0]++;
}

bool
gs_retry_budget_spend (GsRetryBudget *budget, int64_t now_us)
{
  double allowed;

  advance (budget, now_us);
  update_debt (budget, now_us);
  allowed = GS_RETRY_BUDGET_SLACK_FRACTION * budget->options.slack + credit (budget, &budget->own)
            - budget->debt;
  if (sum_retries (&budget->own) + 1 > allowed)
    return false;
  budget->own.retries[0]++;
  return true;
}

bool
gs_retry_budget_get_account (GsRetryBudget *budget, int64_t now_us, GsRetryAccount *account)
{
  advance (budget, now_us);
  *account = budget->own;
  return sum_retries (account) > 0;
}

void
gs_retry_budget_set_peer_account (GsRetryBudget *budget,
                                  uint64_t origin,
                                  const GsRetryAccount *account,
                                  int64_t now_us)
{
  PeerAccount *peer;

  if (g_hash_table_size (budget->peers) >= RETRY_BUDGET_ACCOUNTS_MAX
      && g_hash_table_lookup (budget->peers, &origin) == NULL)
    return;
  advance (budget, now_us);
  peer = g_new (PeerAccount, 1);
  *peer = (PeerAccount){ .account = *account, .slice = budget->slice };
  g_hash_table_replace (budget->peers, g_memdup2 (&origin, sizeof origin), peer);
  budget->debt_due_us = 0;
}

GsRetryBudgetView
gs_retry_budget_view (GsRetryBudget *budget, int64_t now_us)
{
  advance (budget, now_us);
  update_debt (budget, now_us);
  return (GsRetryBudgetView){ .requests = sum_requests (&budget->own),
                              .retries = sum_retries (&budget->own),
                              .debts = (uint32_t)budget->debt,
                              .schedulers = g_hash_table_size (budget->peers),
                              .slack = budget->options.slack };
}
