/**
 * NAME
 *   access - whether a request may use a route, and for which workspace
 *
 * SYNOPSIS
 *   GsAccess access = gs_access_check (document, &credential);
 *   if (access.verdict != GS_ACCESS_GRANTED)
 *     refuse (gs_access_reason (access.verdict));
 *
 * DESCRIPTION
 *   A route of tables that list workspaces needs a known key unless it is anonymous. A list without
 * rows has no keys, so only anonymous routes are open then; no list, and no key is needed. The
 * check is made when a request arrives, and again with the tables then in force before anything is
 * begun for it. Pure: no I/O, no clock. Tested by test/unit/test_access.c and
 * test/property/prop_access.cpp.
 */
#ifndef GS_ACCESS_H
#define GS_ACCESS_H

#include "../core/table.h"

/** What a request identifies itself with. */
typedef struct
{
  bool anonymous; /**< its route needs no key */
  bool has_key;
  GsKeyDigest key;
  /** forwarded by a daemon that has checked the key */
  bool vouched;
  uint64_t vouched_workspace; /**< hash of the name that the daemon stated; 0: none */
} GsCredential;

typedef enum
{
  GS_ACCESS_GRANTED = 0,
  GS_ACCESS_NO_KEY,
  GS_ACCESS_UNKNOWN_KEY, /**< the tables in force do not have the key */
  GS_ACCESS_STALE,       /**< nor do they, but newer tables may */
} GsAccessVerdict;

typedef struct
{
  GsAccessVerdict verdict;
  const GsWorkspaceRow *workspace; /**< of the request; NULL: none, or not in these tables */
} GsAccess;

/** Checks CREDENTIAL against DOCUMENT, which may be NULL. */
GsAccess gs_access_check (const GsDocument *document, const GsCredential *credential);

/** RETURN VALUE: static text of a refusal. */
const char *gs_access_reason (GsAccessVerdict verdict);

#endif
