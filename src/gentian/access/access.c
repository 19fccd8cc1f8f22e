#include "access.h"

static GsAccess
check_vouched (const GsDocument *document, const GsCredential *credential)
{
  if (credential->vouched_workspace != 0 && credential->has_key)
    return (GsAccess){ .workspace = gs_document_workspace_by_key (document, &credential->key) };
  if (credential->vouched_workspace != 0)
    return (GsAccess){ .workspace
                       = gs_document_workspace (document, credential->vouched_workspace) };
  /* The other daemon asked for no key: by its tables none is needed, so they differ from these. */
  return (GsAccess){ .verdict = credential->anonymous ? GS_ACCESS_GRANTED : GS_ACCESS_STALE };
}

GsAccess
gs_access_check (const GsDocument *document, const GsCredential *credential)
{
  const GsWorkspaceRow *row;

  if (document == NULL || !gs_document_requires_keys (document))
    return (GsAccess){ .verdict = GS_ACCESS_GRANTED };
  if (credential->vouched)
    return check_vouched (document, credential);
  row = credential->has_key ? gs_document_workspace_by_key (document, &credential->key) : NULL;
  if (row != NULL || credential->anonymous)
    return (GsAccess){ .workspace = row };
  if (!credential->has_key)
    return (GsAccess){ .verdict = GS_ACCESS_NO_KEY };
  return (GsAccess){ .verdict = GS_ACCESS_UNKNOWN_KEY };
}

const char *
gs_access_reason (GsAccessVerdict verdict)
{
  static const char *const reasons[] = { "granted", "no-key", "unknown-key", "tables-stale" };

  return reasons[verdict];
}
