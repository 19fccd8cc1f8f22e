/**
 * NAME
 *   admin - the administration API
 *
 * DESCRIPTION
 *   An ulfius server on the admin port. GET /metrics and GET /healthz need no authentication;
 * everything under /v1/admin requires `Authorization: Bearer NAME.SIGNATURE`, a credential for the
 * workspace NAME, or for all workspaces when NAME is "fleet". A workspace's credential allows to
 * read and edit its own rows only. Errors are JSON objects with a stable code and a message, listed
 * in docs/operators/ADMIN.md.
 */
#ifndef GS_ADMIN_H
#define GS_ADMIN_H

#include "../daemon/engine.h"

/** Stable error codes of the administration API; also the HTTP status, except ROUTE_TAKEN: 409. */
typedef enum
{
  GS_ADMIN_ERROR_UNAUTHORIZED = 401, /**< missing or invalid credential */
  GS_ADMIN_ERROR_FORBIDDEN = 403,    /**< credential for another workspace */
  GS_ADMIN_ERROR_NOT_FOUND = 404,    /**< no such workspace, pool or route */
  GS_ADMIN_ERROR_CONFLICT = 409,     /**< the workspace was edited since the base revision */
  GS_ADMIN_ERROR_ROUTE_TAKEN = 410,  /**< another workspace has a route of this host and prefix */
  GS_ADMIN_ERROR_MALFORMED = 422,    /**< the tables are invalid, or a parameter is missing */
  GS_ADMIN_ERROR_LOG_UNAVAILABLE = 503, /**< the log is unavailable; the edit was not accepted */
  GS_ADMIN_ERROR_INDETERMINATE
  = 504, /**< the log's answer was lost; submit again with the same identifier */
} GsAdminError;

typedef struct GsAdmin GsAdmin;

/** RETURN VALUE: a started server, or NULL with ERROR when it cannot listen on the port. */
GsAdmin *gs_admin_new (GsEngine *engine, GError **error);
void gs_admin_free (GsAdmin *admin);

/** RETURN VALUE: newly allocated credential for NAME, signed with ADMIN_KEY of 64 hex digits. */
char *gs_admin_credential (const char *admin_key, const char *name);

#endif
