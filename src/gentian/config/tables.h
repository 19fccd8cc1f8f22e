/**
 * NAME
 *   tables - the routes and pools tables of a workspace as YAML
 *
 * SYNOPSIS
 *   GsDocument *document = gs_tables_parse ("lahore", "tables.yaml", text, length, &error);
 *
 * DESCRIPTION
 *   Parses both tables and checks ranges, duplicate names, and routes to pools that do not exist.
 * The same checks run before a submission and when a record is read from the log. Tested by
 * test/unit/test_config.c.
 */
#ifndef GS_TABLES_H
#define GS_TABLES_H

#include <glib.h>

#include "../core/table.h"

enum
{
  GS_TABLES_BYTES_MAX = 512 * 1024, /**< YAML text of one workspace */
};

/** RETURN VALUE: the tables, or NULL with ERROR in GS_CONFIG_ERROR. */
GsDocument *gs_tables_parse (const char *workspace,
                             const char *file,
                             const char *text,
                             size_t length,
                             GError **error);

/** RETURN VALUE: newly allocated text with one line for each row that differs: "- " and a row of
 * OLD_TABLES, or "+ " and a row of NEW_TABLES. Either may be NULL. */
char *gs_tables_diff (const GsDocument *old_tables, const GsDocument *new_tables);

/** RETURN VALUE: newly allocated Markdown reference of both tables. */
char *gs_tables_reference (void);

#endif
