/**
 * NAME
 *   enforcer - admits the requests of limited workspaces at a daemon that grants slots
 *
 * SYNOPSIS
 *   verdict = gs_quota_enforcer_admit (enforcer, workspace, now_us, &retry_after_ms);
 *   gs_quota_enforcer_flush (enforcer, now_us);
 *   while (gs_quota_enforcer_next_report (enforcer, &to, &report))
 *     send (to, &report);
 *   gs_quota_enforcer_receive (enforcer, &reply, now_us);
 *
 * DESCRIPTION
 *   The enforcer reports to all account holders of a workspace what it admits and wants, and admits
 * as much as a majority of them allows: with three, the second highest bound. Any two majorities
 * share a holder, so one that is lost, paused or cut off changes nothing, and no holder has to be
 * chosen. A report binds the enforcer: until it has the reply it uses only the tokens it stated.
 *
 *   Reports are sent every 250 ms for all workspaces with requests since the last one, every 700 ms
 * for others, and when tokens run short after 50 ms. A request that finds no token waits for the
 * reply, at most GS_QUOTA_WAIT_US. Without a majority the enforcer admits its part, one of the
 * fleet's number, of what the account holders leave of the overshoot.
 *
 *   An admitted request is then either started or refunded. Pure: no I/O, no clock. Tested by
 * test/unit/test_quota.c and test/property/prop_quota.cpp.
 */
#ifndef GS_QUOTA_ENFORCER_H
#define GS_QUOTA_ENFORCER_H

#include "fleet.h"

/** How long a request without a token waits for a reply. */
#define GS_QUOTA_WAIT_US (100 * GS_US_PER_MS)

typedef enum
{
  GS_QUOTA_ADMITTED = 0,
  GS_QUOTA_REFUSED,
  GS_QUOTA_WAIT, /**< try again when a reply has arrived, at the latest after GS_QUOTA_WAIT_US */
} GsQuotaVerdict;

typedef struct GsQuotaEnforcer GsQuotaEnforcer;

/** IDENTITY: hash of the daemon and its incarnation. */
GsQuotaEnforcer *gs_quota_enforcer_new (const GsQuotaOptions *options,
                                        GsQuotaFleet *fleet,
                                        uint64_t identity,
                                        uint64_t seed);
void gs_quota_enforcer_free (GsQuotaEnforcer *enforcer);

/** Decides on a request of WORKSPACE. FIRST: it was not tried before. On GS_QUOTA_REFUSED fills
 * RETRY_AFTER_MS. */
GsQuotaVerdict gs_quota_enforcer_admit (GsQuotaEnforcer *enforcer,
                                        uint64_t workspace,
                                        bool first,
                                        int64_t now_us,
                                        uint32_t *retry_after_ms);

/** Refuses a request that has waited long enough. RETURN VALUE: retry_after_ms. */
uint32_t gs_quota_enforcer_refuse (GsQuotaEnforcer *enforcer, uint64_t workspace, int64_t now_us);

/** An admitted request got a slot, or never will. */
void gs_quota_enforcer_started (GsQuotaEnforcer *enforcer, uint64_t workspace);
void gs_quota_enforcer_refund (GsQuotaEnforcer *enforcer, uint64_t workspace);

/** A request that was started has not run. */
void gs_quota_enforcer_return_started (GsQuotaEnforcer *enforcer, uint64_t workspace);

/** Prepares the reports that are due. */
void gs_quota_enforcer_flush (GsQuotaEnforcer *enforcer, int64_t now_us);

/** RETURN VALUE: true, and a REPORT for the daemon with hash TO; the caller frees its demands. */
bool gs_quota_enforcer_next_report (GsQuotaEnforcer *enforcer, uint64_t *to, GsQuotaReport *report);

void
gs_quota_enforcer_receive (GsQuotaEnforcer *enforcer, const GsQuotaReply *reply, int64_t now_us);

GsQuotaCounts gs_quota_enforcer_counts (const GsQuotaEnforcer *enforcer);

/** RETURN VALUE: number of workspaces with requests lately. */
uint32_t gs_quota_enforcer_active (const GsQuotaEnforcer *enforcer);

/** RETURN VALUE: bytes kept for an active workspace. */
size_t gs_quota_enforcer_bytes (void);

#endif
