#include "service_shares.h"

#include <glib.h>
#include <math.h>

#include "../core/base.h"

enum
{
  SHARES_SETS = 1024, /* of accounts; a power of two */
  SHARES_WAYS = 4,    /* accounts that a set holds */
};

/** Time constant of the usual load. Ten times a burst of 7 s, which then raises the weight of a
 * workspace at 7.5 times its usual load by 0.7. */
#define SHARES_USUAL_DECAY_US (60.0 * GS_US_PER_S)
/** Time constant of the share of requests that are served. */
#define SHARES_SERVED_DECAY_US (10.0 * GS_US_PER_S)
/** Least weight as a part of the mean one. */
#define SHARES_WEIGHT_MIN 0.25
/** Bounds of a kind's credit. The lower one is the number of requests for which good service in the
 * past counts; the upper one bounds the preferred requests that arrive together. */
#define SHARES_CREDIT_MIN (-4.0)
#define SHARES_CREDIT_MAX 2.0

typedef enum
{
  KIND_WORKSPACE = 1,
  KIND_ROUTE,
  KIND_PRIORITY,
} KindType;

/* A sum that decays. */
typedef struct
{
  double sum;
  int64_t at_us;
} Decaying;

/* One workspace, route or priority. */
typedef struct
{
  uint64_t key; /* 0: unused */
  bool is_workspace;
  double credit;
  Decaying usual; /* work of a workspace in us */
} Account;

struct GsServiceShares
{
  Account accounts[SHARES_SETS][SHARES_WAYS];
  uint32_t n_workspaces;
  Decaying usual; /* of all workspaces */
  Decaying requests;
  Decaying served;
};

GsServiceShares *
gs_service_shares_new (void)
{
  return g_new0 (GsServiceShares, 1);
}

void
gs_service_shares_free (GsServiceShares *shares)
{
  g_free (shares);
}

static double
decayed (const Decaying *value, double decay_us, int64_t now_us)
{
  return value->sum > 0 ? value->sum * exp (-(double)(now_us - value->at_us) / decay_us) : 0;
}

static void
add (Decaying *value, double amount, double decay_us, int64_t now_us)
{
  value->sum = decayed (value, decay_us, now_us) + amount;
  value->at_us = now_us;
}

static uint64_t
account_key (KindType type, uint64_t id)
{
  return MAX (gs_mix64 (id ^ gs_mix64 ((uint64_t)type)), 1);
}

static Account *
find_account (GsServiceShares *shares, KindType type, uint64_t id)
{
  uint64_t key = account_key (type, id);
  Account *set = shares->accounts[key % SHARES_SETS];

  for (int i = 0; i < SHARES_WAYS; i++)
    if (set[i].key == key)
      return &set[i];
  return NULL;
}

/* RETURN VALUE: the account, which replaces the one of its set that was used least recently if it
 * is new. */
static Account *
use_account (GsServiceShares *shares, KindType type, uint64_t id, int64_t now_us)
{
  uint64_t key = account_key (type, id);
  Account *set = shares->accounts[key % SHARES_SETS];
  Account *oldest = &set[0];

  for (int i = 0; i < SHARES_WAYS; i++)
    {
      if (set[i].key == key)
        return &set[i];
      if (set[i].usual.at_us < oldest->usual.at_us)
        oldest = &set[i];
    }
  shares->n_workspaces += (type == KIND_WORKSPACE ? 1 : 0) - (oldest->is_workspace ? 1 : 0);
  *oldest = (Account){ .key = key,
                       .is_workspace = type == KIND_WORKSPACE,
                       .usual = { .at_us = now_us } };
  return oldest;
}

static double
served_share (const GsServiceShares *shares, int64_t now_us)
{
  double requests = decayed (&shares->requests, SHARES_SERVED_DECAY_US, now_us);
  double served = decayed (&shares->served, SHARES_SERVED_DECAY_US, now_us);

  return MIN ((served + 1) / (requests + 1), 1);
}

static void
add_credit (Account *account, double amount)
{
  account->credit = CLAMP (account->credit + amount, SHARES_CREDIT_MIN, SHARES_CREDIT_MAX);
}

bool
gs_service_shares_add_request (GsServiceShares *shares, const GsServiceKind *kind, int64_t now_us)
{
  Account *accounts[] = { use_account (shares, KIND_WORKSPACE, kind->workspace, now_us),
                          use_account (shares, KIND_ROUTE, kind->route, now_us),
                          use_account (shares, KIND_PRIORITY, kind->priority, now_us) };
  double earned = GS_SERVICE_SHARES_MINIMUM * served_share (shares, now_us);
  bool preferred = false;

  add (&shares->requests, 1, SHARES_SERVED_DECAY_US, now_us);
  add (&shares->usual, kind->work_us, SHARES_USUAL_DECAY_US, now_us);
  for (size_t i = 0; i < G_N_ELEMENTS (accounts); i++)
    {
      add (&accounts[i]->usual, kind->work_us, SHARES_USUAL_DECAY_US, now_us);
      add_credit (accounts[i], earned);
      preferred = preferred || (kind->workspace != 0 && accounts[i]->credit >= 1);
    }
  for (size_t i = 0; preferred && i < G_N_ELEMENTS (accounts); i++)
    add_credit (accounts[i], -1);
  return preferred;
}

/* Adds AMOUNT to the credit of the request's kinds that are not forgotten. */
static void
add_credits (GsServiceShares *shares, const GsServiceKind *kind, double amount)
{
  Account *accounts[] = { find_account (shares, KIND_WORKSPACE, kind->workspace),
                          find_account (shares, KIND_ROUTE, kind->route),
                          find_account (shares, KIND_PRIORITY, kind->priority) };

  for (size_t i = 0; i < G_N_ELEMENTS (accounts); i++)
    if (accounts[i] != NULL)
      add_credit (accounts[i], amount);
}

void
gs_service_shares_add_served (GsServiceShares *shares,
                              const GsServiceKind *kind,
                              bool preferred,
                              int64_t now_us)
{
  add (&shares->served, 1, SHARES_SERVED_DECAY_US, now_us);
  if (!preferred)
    add_credits (shares, kind, -1);
}

void
gs_service_shares_add_unserved (GsServiceShares *shares, const GsServiceKind *kind, bool preferred)
{
  if (preferred)
    add_credits (shares, kind, 1);
}

double
gs_service_shares_weight (GsServiceShares *shares, uint64_t workspace, int64_t now_us)
{
  const Account *account = find_account (shares, KIND_WORKSPACE, workspace);
  double mean_us
      = decayed (&shares->usual, SHARES_USUAL_DECAY_US, now_us) / MAX (shares->n_workspaces, 1);
  double usual_us = account != NULL ? decayed (&account->usual, SHARES_USUAL_DECAY_US, now_us) : 0;

  return mean_us > 0 ? MAX (usual_us / mean_us, SHARES_WEIGHT_MIN) : 1;
}
