/**
 * NAME
 *   workspaces - the workspaces table of a YAML tables file
 *
 * DESCRIPTION
 *   Reads the rows of customers' workspaces: names, digests of keys, limits. A file holds no key.
 * Tested by test/unit/test_config.c.
 */
#ifndef GS_CONFIG_WORKSPACES_H
#define GS_CONFIG_WORKSPACES_H

#include "../core/table.h"
#include "fields.h"

/** Reads the sequence LIST, which may be NULL, into DOCUMENT and indexes its rows. RETURN VALUE:
 * FALSE with ERROR. */
gboolean
gs_workspaces_parse (GsYaml *yaml, yaml_node_t *list, GsDocument *document, GError **error);

/** RETURN VALUE: newly allocated text of ROW for a comparison of tables. It names the digests. */
char *gs_workspaces_describe (const GsWorkspaceRow *row);

/** RETURN VALUE: newly allocated Markdown reference of the table. */
char *gs_workspaces_reference (void);

#endif
