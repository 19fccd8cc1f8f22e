/**
 * NAME
 *   retry_after - value of the HTTP header Retry-After
 *
 * SYNOPSIS
 *   uint32_t quiet_ms = gs_retry_after_parse_ms ("1.5", now_ms);
 *
 * DESCRIPTION
 *   Accepts seconds, which may have a fraction, and the three forms of an HTTP date (RFC 9110,
 * section 5.6.7). Pure. Tested by test/unit/test_retry_after.c.
 */
#ifndef GS_RETRY_AFTER_H
#define GS_RETRY_AFTER_H

#include <stdint.h>

/** RETURN VALUE: the delay that TEXT states at NOW_MS, in milliseconds since 1970, rounded up and
 * at most GS_QUIET_MAX_MS; 0 when TEXT is NULL or malformed, or the delay is not positive. */
uint32_t gs_retry_after_parse_ms (const char *text, int64_t now_ms);

#endif
