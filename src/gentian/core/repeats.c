#include "repeats.h"

#include <glib.h>

enum
{
  REPEATS_PLACERS_MAX = 8192, /* accounts that are kept */
};

/** The debts of others are worked out again after this. */
#define REPEATS_DEBTS_US (100 * GS_US_PER_MS)

typedef struct
{
  GsRepeatsAccount account;
  int64_t slice; /* newest of the account */
} Told;

struct GsRepeats
{
  GsRepeatBudget budget;
  int64_t slice; /* number of the newest slice */
  GsRepeatsAccount own;
  GHashTable *told; /* origin -> Told */
  double debts;     /* repeats of others beyond their credit */
  int64_t debts_due_us;
};

GsRepeats *
gs_repeats_new (const GsRepeatBudget *budget)
{
  GsRepeats *repeats = g_new0 (GsRepeats, 1);

  repeats->budget = *budget;
  repeats->told = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return repeats;
}

void
gs_repeats_free (GsRepeats *repeats)
{
  if (repeats == NULL)
    return;
  g_hash_table_destroy (repeats->told);
  g_free (repeats);
}

void
gs_repeats_set_slack (GsRepeats *repeats, uint32_t slack)
{
  repeats->budget.slack = slack;
}

/* Moves the slices of ACCOUNT by STEPS to the older ones. */
static void
age (GsRepeatsAccount *account, int64_t steps)
{
  for (int64_t i = GS_REPEATS_KEPT - 1; i >= 0; i--)
    {
      account->requests[i] = i >= steps ? account->requests[i - steps] : 0;
      account->repeats[i] = i >= steps ? account->repeats[i - steps] : 0;
    }
}

static void
turn (GsRepeats *repeats, int64_t now_us)
{
  int64_t slice = now_us / (repeats->budget.window_us / GS_REPEATS_SLICES);

  if (slice <= repeats->slice)
    return;
  age (&repeats->own, slice - repeats->slice);
  repeats->slice = slice;
}

static uint32_t
sum_requests (const GsRepeatsAccount *account)
{
  uint32_t sum = 0;

  for (int i = 0; i < GS_REPEATS_SLICES; i++)
    sum += account->requests[i];
  return sum;
}

static uint32_t
sum_repeats (const GsRepeatsAccount *account)
{
  uint32_t sum = 0;

  for (int i = 0; i < GS_REPEATS_KEPT; i++)
    sum += account->repeats[i];
  return sum;
}

static double
credit_of (const GsRepeats *repeats, const GsRepeatsAccount *account)
{
  return GS_REPEATS_SHARE_MARGIN * repeats->budget.share_ppm / 1e6 * sum_requests (account);
}

static void
update_debts (GsRepeats *repeats, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (now_us < repeats->debts_due_us)
    return;
  repeats->debts_due_us = now_us + REPEATS_DEBTS_US;
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
gs_repeats_note (GsRepeats *repeats, int64_t now_us)
{
  turn (repeats, now_us);
  repeats->own.requests[0]++;
}

bool
gs_repeats_spend (GsRepeats *repeats, int64_t now_us)
{
  double allowed;

  turn (repeats, now_us);
  update_debts (repeats, now_us);
  allowed = GS_REPEATS_MARGIN * repeats->budget.slack + credit_of (repeats, &repeats->own)
            - repeats->debts;
  if (sum_repeats (&repeats->own) + 1 > allowed)
    return false;
  repeats->own.repeats[0]++;
  return true;
}

bool
gs_repeats_report (GsRepeats *repeats, int64_t now_us, GsRepeatsAccount *account)
{
  turn (repeats, now_us);
  *account = repeats->own;
  return sum_repeats (account) > 0;
}

void
gs_repeats_take (GsRepeats *repeats,
                 uint64_t origin,
                 const GsRepeatsAccount *account,
                 int64_t now_us)
{
  Told *told;

  if (g_hash_table_size (repeats->told) >= REPEATS_PLACERS_MAX
      && g_hash_table_lookup (repeats->told, &origin) == NULL)
    return;
  turn (repeats, now_us);
  told = g_new (Told, 1);
  *told = (Told){ .account = *account, .slice = repeats->slice };
  g_hash_table_replace (repeats->told, g_memdup2 (&origin, sizeof origin), told);
  repeats->debts_due_us = 0;
}

GsRepeatsView
gs_repeats_view (GsRepeats *repeats, int64_t now_us)
{
  turn (repeats, now_us);
  update_debts (repeats, now_us);
  return (GsRepeatsView){ .requests = sum_requests (&repeats->own),
                          .repeats = sum_repeats (&repeats->own),
                          .debts = (uint32_t)repeats->debts,
                          .placers = g_hash_table_size (repeats->told),
                          .slack = repeats->budget.slack };
}
