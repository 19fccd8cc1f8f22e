/**
 * NAME
 *   workspace_index - from the digest of a key, or the hash of a name, to the row of a workspace
 *
 * SYNOPSIS
 *   GsWorkspaceIndex *index = gs_workspace_index_new (rows, n_rows, &conflict);
 *   const GsWorkspaceRow *row = gs_workspace_index_find_key (index, &digest);
 *
 * DESCRIPTION
 *   Two open-addressed hash tables over the rows of a document, built once when the document is
 * decoded. A lookup takes constant time. The index refers to the rows, which must outlive it. Pure:
 * no I/O, no clock. Tested by test/unit/test_access.c and test/property/prop_access.cpp.
 */
#ifndef GS_WORKSPACE_INDEX_H
#define GS_WORKSPACE_INDEX_H

#include "../core/table.h"

/**
 * Builds the index of N_ROWS rows, which must stay where they are.
 *
 * RETURN VALUE: the index, or NULL with CONFLICT set if two rows have one name, or one key.
 */
GsWorkspaceIndex *
gs_workspace_index_new (const GsWorkspaceRow *rows, uint32_t n_rows, GsWorkspaceConflict *conflict);

/** NULL is allowed. */
void gs_workspace_index_free (GsWorkspaceIndex *index);

/** RETURN VALUE: the row that has KEY, or NULL. INDEX may be NULL. */
const GsWorkspaceRow *gs_workspace_index_find_key (const GsWorkspaceIndex *index,
                                                   const GsKeyDigest *key);

/** RETURN VALUE: the row whose name has HASH, or NULL. INDEX may be NULL. */
const GsWorkspaceRow *gs_workspace_index_find_name (const GsWorkspaceIndex *index, uint64_t hash);

#endif
