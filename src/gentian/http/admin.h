/**
 * NAME
 *   admin - the administration API
 *
 * DESCRIPTION
 *   An ulfius server on the admin port. GET /metrics and GET /healthz are open; everything under
 * /v1/admin asks for `Authorization: Bearer NAME.SIGNATURE`, a credential of one workspace, or of
 * the fleet when NAME is "fleet". A workspace's holder sees and edits its own rows only. Errors are
 * JSON objects with a stable code, listed in docs/operators/ADMIN.md.
 */
#ifndef GS_ADMIN_H
#define GS_ADMIN_H

#include "../daemon/engine.h"

/** Stable codes of errors of the administration API. */
typedef enum
{
  GS_ADMIN_ERROR_UNAUTHORIZED = 401,    /**< no credential, or a wrong one */
  GS_ADMIN_ERROR_FORBIDDEN = 403,       /**< another workspace's rows */
  GS_ADMIN_ERROR_NOT_FOUND = 404,       /**< no such workspace, pool or route */
  GS_ADMIN_ERROR_CONFLICT = 409,        /**< the workspace was edited since the base */
  GS_ADMIN_ERROR_ROUTE_TAKEN = 410,     /**< a route belongs to another workspace */
  GS_ADMIN_ERROR_MALFORMED = 422,       /**< the tables do not pass the check */
  GS_ADMIN_ERROR_LOG_UNAVAILABLE = 503, /**< the log does not answer: not accepted */
  GS_ADMIN_ERROR_INDETERMINATE
  = 504, /**< the log lost the answer; submit again with the same identifier */
} GsAdminError;

typedef struct GsAdmin GsAdmin;

/** RETURN VALUE: a started server, or NULL with ERROR. */
GsAdmin *gs_admin_new (GsEngine *engine, GError **error);
void gs_admin_free (GsAdmin *admin);

/** RETURN VALUE: newly allocated credential of NAME, made from the admin key of 64 hex digits. */
char *gs_admin_credential (const char *admin_key, const char *name);

#endif
