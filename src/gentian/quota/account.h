/**
 * NAME
 *   account - the accounts of workspaces that this daemon keeps
 *
 * SYNOPSIS
 *   GsQuotaAccounts *accounts = gs_quota_accounts_new (&options, fleet, self);
 *   gs_quota_accounts_receive (accounts, &report, now_us, &reply);
 *
 * DESCRIPTION
 *   An account is a token bucket and a ledger of the window. The bucket (rate, burst) is debited
 * with what enforcers admit. The ledger counts what has run in the window, by slice, and in
 * addition all tokens that enforcers hold, since each of them may be used at any moment until it
 * expires. Tokens are granted only while both allow it, so the limit holds for every window and
 * whatever happens to enforcers and messages: tokens of an enforcer that is not heard any more
 * count as used when they expire.
 *
 *   Tokens that are held and not used would starve other enforcers of a workspace with a low rate.
 * So most of the allowed overshoot may be lent on top of the bucket. Pure: no I/O, no clock. Tested
 * by test/unit/test_quota.c and test/property/prop_quota.cpp.
 */
#ifndef GS_QUOTA_ACCOUNT_H
#define GS_QUOTA_ACCOUNT_H

#include "fleet.h"

typedef struct GsQuotaAccounts GsQuotaAccounts;

/** SELF: hash of this daemon's id. */
GsQuotaAccounts *
gs_quota_accounts_new (const GsQuotaOptions *options, GsQuotaFleet *fleet, uint64_t self);
void gs_quota_accounts_free (GsQuotaAccounts *accounts);

/** Handles REPORT and fills REPLY, whose grants the caller frees. There is no grant for workspaces
 * without a limit and for those whose account this daemon does not keep. */
void gs_quota_accounts_receive (GsQuotaAccounts *accounts,
                                const GsQuotaReport *report,
                                int64_t now_us,
                                GsQuotaReply *reply);

/** Removes accounts that are back in their initial state. */
void gs_quota_accounts_tick (GsQuotaAccounts *accounts, int64_t now_us);

/** RETURN VALUE: bytes of an account with one enforcer. */
size_t gs_quota_account_bytes (void);

#endif
