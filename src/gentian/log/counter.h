/**
 * NAME
 *   counter - counters of the daemon, exported as text
 *
 * DESCRIPTION
 *   Atomic 64-bit counters that only grow, rendered in the Prometheus text format. Thread-safe.
 * docs/operators/METRICS.md lists them; test/unit/test_docs.c compares that list with this one.
 */
#ifndef GS_COUNTER_H
#define GS_COUNTER_H

#include <stdint.h>

#define GS_COUNTERS(X)                                                                             \
  X (REQUESTS, "gentian_requests_total", "requests received from callers and other daemons")       \
  X (OVERLAPPING, "gentian_requests_overlapping_total",                                            \
     "requests processed while an earlier one of their connection had no answer")                  \
  X (CALLERS_ACCEPTED, "gentian_callers_accepted_total", "connections of callers accepted")        \
  X (ACCEPT_PAUSES, "gentian_accept_pauses_total",                                                 \
     "times that accepting callers stopped for lack of a resource")                                \
  X (ANSWERS, "gentian_answers_total", "complete answers of upstreams passed on")                  \
  X (REJECTED_NOT_RUN, "gentian_rejected_not_run_total", "requests rejected as not-run")           \
  X (REJECTED_MAY_HAVE_RUN, "gentian_rejected_may_have_run_total",                                 \
     "requests rejected as may-have-run")                                                          \
  X (ATTEMPTS, "gentian_attempts_total", "attempts sent to upstreams")                             \
  X (FORWARDS, "gentian_forwards_total", "requests forwarded to another daemon")                   \
  X (CONNECTS, "gentian_upstream_connects_total", "connections opened to upstreams and daemons")   \
  X (ENTRIES, "gentian_entries_total", "address lookups from callers")                             \
  X (ANSWERS_BROKEN, "gentian_answers_broken_total",                                               \
     "answers aborted because they were incomplete")                                               \
  X (ANSWERS_DISCARDED, "gentian_answers_discarded_total",                                         \
     "answers of upstreams not used: incomplete, malformed or of another request")                 \
  X (ANSWERS_SKIPPED, "gentian_answers_skipped_total",                                             \
     "answers that upstreams sent once more, dropped before the awaited one")                      \
  X (ANSWERS_BY_CLOSE, "gentian_answers_by_close_total",                                           \
     "answers of upstreams that ended with their connection")                                      \
  X (REQUESTS_CUT, "gentian_requests_cut_total", "requests in flight when the process ended")      \
  X (PEER_SENT, "gentian_peer_messages_sent_total", "messages sent to other daemons")              \
  X (PEER_SENT_BYTES, "gentian_peer_sent_bytes_total", "bytes of messages sent to other daemons")  \
  X (PEER_RECEIVED, "gentian_peer_messages_received_total",                                        \
     "messages received from other daemons")                                                       \
  X (PEER_RECEIVED_BYTES, "gentian_peer_received_bytes_total",                                     \
     "bytes of messages received from other daemons")                                              \
  X (PEER_REFUSED, "gentian_peer_messages_refused_total",                                          \
     "messages from other daemons that could not be parsed")                                       \
  X (LOG_READS, "gentian_log_reads_total", "reads of the platform's log")                          \
  X (LOG_READ_BYTES, "gentian_log_read_bytes_total", "bytes read from the platform's log")         \
  X (LOG_APPENDS, "gentian_log_appends_total", "records appended to the platform's log")           \
  X (LOG_FAILURES, "gentian_log_failures_total", "failed calls to the platform's log")             \
  X (STORE_ERAS, "gentian_store_eras_total", "rises of the store's era seen in its answers")       \
  X (LOG_LINES_DROPPED, "gentian_log_lines_dropped_total",                                         \
     "log lines dropped by the rate limit, or because the reader of the log fell behind")          \
  X (HELD_BACK, "gentian_held_back_total",                                                         \
     "requests kept from an upstream that leaves or wants no requests for a while")                \
  X (KEYS_REFUSED, "gentian_keys_refused_total",                                                   \
     "requests refused with 401: no key, or one that no workspace has")                            \
  X (KEYS_UNDECIDED, "gentian_keys_undecided_total",                                               \
     "requests with an unknown key refused with 503, as newer tables may have it")                 \
  X (KEYS_REVOKED, "gentian_keys_revoked_total",                                                   \
     "waiting requests ended because their key was removed from the tables")                       \
  X (SLOT_REDIRECTS, "gentian_slot_redirects_total",                                               \
     "slot requests that the home of a slice here redirected to another slice")                    \
  X (COST_RESULTS, "gentian_cost_results_total",                                                   \
     "requests placed by cost whose time was estimated and measured")                              \
  X (COST_ESTIMATED_US, "gentian_cost_estimated_us_total", "estimated times of these requests")    \
  X (COST_MEASURED_US, "gentian_cost_measured_us_total", "measured times of these requests")       \
  X (COST_ERROR_US, "gentian_cost_error_us_total",                                                 \
     "absolute differences of the estimated and measured times of these requests")                 \
  X (QUOTA_ADMITTED, "gentian_quota_admitted_total",                                               \
     "requests of workspaces with a limit that were admitted here")                                \
  X (QUOTA_REFUSED, "gentian_quota_refused_total", "requests refused here as over-quota")          \
  X (QUOTA_WAITED, "gentian_quota_waited_total",                                                   \
     "requests that waited for a reply of the account holders")                                    \
  X (QUOTA_REPORTS, "gentian_quota_reports_total", "reports to account holders")                   \
  X (QUOTA_DEGRADED, "gentian_quota_degraded_total",                                               \
     "requests decided on without a majority of the account holders")                              \
  X (TABLES_COPIES_REFUSED, "gentian_tables_copies_refused_total",                                 \
     "workspaces in copies of the tables from other daemons that could not be used")               \
  X (EDITS_ACCEPTED, "gentian_edits_accepted_total",                                               \
     "edits from the log that were accepted and are in force")

typedef enum
{
#define GS_COUNTER_ENUM(symbol, name, help) GS_COUNTER_##symbol,
  GS_COUNTERS (GS_COUNTER_ENUM)
#undef GS_COUNTER_ENUM
      GS_COUNTER_COUNT
} GsCounter;

void gs_counter_add (GsCounter counter, uint64_t amount);

uint64_t gs_counter_value (GsCounter counter);

/** RETURN VALUE: static name of the metric. */
const char *gs_counter_name (GsCounter counter);

/** RETURN VALUE: newly allocated text with all counters. */
char *gs_counter_render (void);

#endif
