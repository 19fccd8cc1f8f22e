/**
 * NAME
 *   request_head - parses the head of a caller's request, builds the head of an attempt
 */
#ifndef GS_REQUEST_HEAD_H
#define GS_REQUEST_HEAD_H

#include "proxy_request.h"

/** RETURN VALUE: whether the headers of the request have valid names and state its body in one way.
 * If not, upstreams could read its end, and the next request, elsewhere. */
bool gs_request_head_is_framed (const GsProxyRequest *request);

/** Sets the host of REQUEST, without a port. */
void gs_request_head_parse_host (GsProxyRequest *request);

/** Parses host, permit, hop signature and timeout into REQUEST's event. RETURN VALUE: reason of a
 * refusal, or NULL. */
const char *gs_request_head_parse (GsProxyRequest *request);

/** RETURN VALUE: newly allocated headers ("Name: value") to send in ATTEMPT. */
GPtrArray *gs_request_head_build (GsProxyRequest *request, const GsAttemptEffect *attempt);

/** RETURN VALUE: value of the header NAME of the caller's request, or NULL. */
const char *gs_request_head_get (const GsProxyRequest *request, const char *name);

#endif
