/**
 * NAME
 *   head - heads of requests: what a caller's says, and what is passed on
 */
#ifndef GS_REQUEST_HEAD_H
#define GS_REQUEST_HEAD_H

#include "proxy_request.h"

/** Reads host, right, hop and caller_timeout of the request. RETURN VALUE: reason of a refusal, or
 * NULL.
 */
const char *gs_request_head_parse (GsProxyRequest *request);

/** RETURN VALUE: headers ("Name: value") of the request for ATTEMPT. */
GPtrArray *gs_request_head_build (GsProxyRequest *request, const GsAttemptEffect *attempt);

/** RETURN VALUE: a header of the caller's request, or NULL. */
const char *gs_request_head_get (const GsProxyRequest *request, const char *name);

#endif
