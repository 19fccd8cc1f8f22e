/**
 * NAME
 *   header_names - the names of the headers that callers, daemons and upstreams exchange
 *
 * DESCRIPTION
 *   The product's own names are gs_header_names_default. A platform with other names brings a table
 * of its own. NULL stands for a header that a header_names does not have.
 */
#ifndef GS_HEADER_NAMES_H
#define GS_HEADER_NAMES_H

#include <stdbool.h>

typedef struct
{
  const char *caller_timeout; /**< from callers: milliseconds that they wait */
  const char *deadline;       /**< to upstreams: milliseconds that are left */
  const char *attempt;        /**< to upstreams, echoed: number of the attempt */
  const char *request_id;     /**< from callers, passed on and echoed: names the request */
  const char
      *expected_instance; /**< to upstreams: the id of the one that is meant; others refuse */
  const char *not_run;    /**< in answers: the upstream states that it did not run the request */
  const char *response_stamp; /**< in answers: without it no success is the upstream's own */
  const char *server_load;    /**< in answers: requests running, waiting, and slots, by commas */
  bool verdicts; /**< refusals carry Gentian-Verdict, with Gentian-Leaving where it applies */
} GsHeaderNames;

extern const GsHeaderNames gs_header_names_default;

#endif
