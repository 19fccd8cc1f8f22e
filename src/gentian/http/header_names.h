/**
 * NAME
 *   header_names - the names of the headers that callers, daemons and upstreams exchange
 *
 * DESCRIPTION
 *   gs_header_names_default has the product's own names. A platform that uses other names defines
 * its own table. NULL: the header is not used, and one of that name in the product's own protocol
 * is passed on like any other, except those of `key` and `workspace`, which never come from a
 * caller to an upstream.
 */
#ifndef GS_HEADER_NAMES_H
#define GS_HEADER_NAMES_H

#include <stdbool.h>

typedef struct
{
  /** Path at which callers look up addresses; it cannot be routed. NULL: all paths are routed. */
  const char *lookup_path;
  /** From callers: a permit. */
  const char *ticket;
  const char *idempotency_key;
  /** From callers: the key of their workspace. Never passed on. */
  const char *key;
  /** To upstreams and between daemons: name of the caller's workspace. One that a caller sends is
   * removed. */
  const char *workspace;
  /** Between daemons: digest of the key of a forwarded request, by which the receiver notices that
   * the key was removed. */
  const char *key_digest;
  /** Between daemons: signature of a forwarded request, and an idempotency key that the receiver
   * must not claim. */
  const char *hop;
  const char *passed_key;
  /** From callers: time that they wait, in milliseconds. */
  const char *caller_timeout;
  /** To upstreams: time left until the deadline, in milliseconds. */
  const char *deadline;
  /** To upstreams, which echo it: number of the attempt. */
  const char *attempt;
  /** From callers, passed on to upstreams, which echo it: identifies the request. */
  const char *request_id;
  /** To upstreams: id of the upstream that is addressed; any other refuses with status 421. */
  const char *expected_instance;
  /** In answers: the upstream did not run the request. */
  const char *not_run;
  /** In answers: a success without it did not come from the upstream. */
  const char *response_stamp;
  /** In answers: requests running and waiting at the upstream, and its slots, comma-separated. */
  const char *server_load;
  /** In answers: the upstream leaves. `leaving_alias` is another name for it. */
  const char *leaving;
  const char *leaving_alias;
  /** In refusals with status 503: time for which the upstream wants no requests from the daemon, in
   * seconds or as a date. */
  const char *retry_after;
  /** Refusals of upstreams have Gentian-Verdict. */
  bool verdicts;
} GsHeaderNames;

extern const GsHeaderNames gs_header_names_default;

#endif
