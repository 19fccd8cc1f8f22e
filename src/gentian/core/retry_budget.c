#include "retry_budget.h"

#include <glib.h>

enum
{
  RETRY_BUDGET_ACCOUNTS_MAX = 8192, /* accounts that are kept */
};

/** The debts of others are worked out again after this. */
#define RETRY_BUDGET_DEBT_REFRESH_US (100 * GS_US_PER_MS)

typedef struct
{
  GsRetryAccount account;
  int64_t slice; /* newest of the account */
} Told;

struct GsRetryBudget
{
  GsRetryBudgetOptions budget;
  int64_t slice; /* number of the newest slice */
  GsRetryAccount own;
  GHashTable *told; /* origin -> Told */
  double debts;     /* repeats of others beyond their credit */
  int64_t debts_due_us;
};

GsRetryBudget *
gs_retry_budget_new (const GsRetryBudgetOptions *budget)
{
  GsRetryBudget *repeats = g_new0 (GsRetryBudget, 1);

  repeats->budget = *budget;
  repeats->told = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return repeats;
}

void
gs_retry_budget_free (GsRetryBudget *repeats)
{
  if (repeats == NULL)
    return;
  g_hash_table_destroy (repeats->told);
  g_free (repeats);
}

void
gs_retry_budget_set_slack (GsRetryBudget *repeats, uint32_t slack)
{
  repeats->budget.slack = slack;
}

/* Moves the slices of ACCOUNT by STEPS to the older ones. */
static void
age (GsRetryAccount *account, int64_t steps)
{
  for (int64_t i = GS_RETRY_BUDGET_SLICES_STORED - 1; i >= 0; i--)
    {
      account->requests[i] = i >= steps ? account->requests[i - steps] : 0;
      account->repeats[i] = i >= steps ? account->repeats[i - steps] : 0;
    }
}

static void
turn (GsRetryBudget *repeats, int64_t now_us)
{
  int64_t slice = now_us / (repeats->budget.window_us / GS_RETRY_BUDGET_SLICES);

  if (slice <= repeats->slice)
    return;
  age (&repeats->own, slice - repeats->slice);
  repeats->slice = slice;
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
sum_repeats (const GsRetryAccount *account)
{
  uint32_t sum = 0;

  for (int i = 0; i < GS_RETRY_BUDGET_SLICES_STORED; i++)
    sum += account->repeats[i];
  return sum;
}

static double
credit_of (const GsRetryBudget *repeats, const GsRetryAccount *account)
{
  return GS_RETRY_BUDGET_SHARE_FRACTION * repeats->budget.share_ppm / 1e6 * sum_requests (account);
}

static void
update_debts (GsRetryBudget *repeats, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (now_us < repeats->debts_due_us)
    return;
  repeats->debts_due_us = now_us + RETRY_BUDGET_DEBT_REFRESH_US;
  repeats->debts = 0;
  g_hash_table_iter_init (&iter, repeats->told);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Told *told = value;
      double debt;
      age (&told->account, repeats->slice - told->slice);
      told->slice = repeats->slice;
      if (sum_repeats (&told->account) == 0)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      debt = sum_repeats (&told->account) - credit_of (repeats, &told->account);
      repeats->debts += MAX (debt, 0);
    }
}

void
gs_retry_budget_add_request (GsRetryBudget *repeats, int64_t now_us)
{
  turn (repeats, now_us);
  repeats->own.requests[0]++;
}

bool
gs_retry_budget_spend (GsRetryBudget *repeats, int64_t now_us)
{
  double allowed;

  turn (repeats, now_us);
  update_debts (repeats, now_us);
  allowed = GS_RETRY_BUDGET_SLACK_FRACTION * repeats->budget.slack
            + credit_of (repeats, &repeats->own) - repeats->debts;
  if (sum_repeats (&repeats->own) + 1 > allowed)
    return false;
  repeats->own.repeats[0]++;
  return true;
}

bool
gs_retry_budget_get_account (GsRetryBudget *repeats, int64_t now_us, GsRetryAccount *account)
{
  turn (repeats, now_us);
  *account = repeats->own;
  return sum_repeats (account) > 0;
}

void
gs_retry_budget_set_peer_account (GsRetryBudget *repeats,
                                  uint64_t origin,
                                  const GsRetryAccount *account,
                                  int64_t now_us)
{
  Told *told;

  if (g_hash_table_size (repeats->told) >= RETRY_BUDGET_ACCOUNTS_MAX
      && g_hash_table_lookup (repeats->told, &origin) == NULL)
    return;
  turn (repeats, now_us);
  told = g_new (Told, 1);
  *told = (Told){ .account = *account, .slice = repeats->slice };
  g_hash_table_replace (repeats->told, g_memdup2 (&origin, sizeof origin), told);
  repeats->debts_due_us = 0;
}

GsRetryBudgetView
gs_retry_budget_view (GsRetryBudget *repeats, int64_t now_us)
{
  turn (repeats, now_us);
  update_debts (repeats, now_us);
  return (GsRetryBudgetView){ .requests = sum_requests (&repeats->own),
                              .repeats = sum_repeats (&repeats->own),
                              .debts = (uint32_t)repeats->debts,
                              .placers = g_hash_table_size (repeats->told),
                              .slack = repeats->budget.slack };
}
