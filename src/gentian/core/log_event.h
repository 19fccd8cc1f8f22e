/**
 * NAME
 *   log_event - numbers, levels and names of the events that the log can contain
 *
 * DESCRIPTION
 *   A number keeps its meaning and is never reused. docs/operators/EVENTS.md is the operators' list
 * of the events; test/unit/test_docs.c compares it with this one. The first digit gives the
 * subject: 1 process, 2 requests, 3 upstreams, 4 members, 5 configuration, 6 never-repeat requests,
 * 7 bad input.
 */
#ifndef GS_LOG_EVENT_H
#define GS_LOG_EVENT_H

/** Severity, as in syslog. */
typedef enum
{
  GS_LOG_LEVEL_ERROR = 3,
  GS_LOG_LEVEL_WARNING = 4,
  GS_LOG_LEVEL_NOTICE = 5,
  GS_LOG_LEVEL_INFO = 6,
  GS_LOG_LEVEL_DEBUG = 7,
} GsLogLevel;

#define GS_LOG_EVENTS(X)                                                                           \
  X (STARTED, 1101, GS_LOG_LEVEL_NOTICE, "started")                                                \
  X (STOPPING, 1102, GS_LOG_LEVEL_NOTICE, "stopping")                                              \
  X (STOPPED, 1103, GS_LOG_LEVEL_NOTICE, "stopped")                                                \
  X (REQUESTS_CUT, 1104, GS_LOG_LEVEL_ERROR, "requests-cut")                                       \
  X (READY_CHANGED, 1105, GS_LOG_LEVEL_NOTICE, "ready-changed")                                    \
  X (START_FAILED, 1106, GS_LOG_LEVEL_ERROR, "start-failed")                                       \
  X (SETTINGS_RELOADED, 1107, GS_LOG_LEVEL_NOTICE, "settings-read-again")                          \
  X (LOG_LINES_DROPPED, 1108, GS_LOG_LEVEL_WARNING, "log-lines-dropped")                           \
  X (LOOP_HELD_UP, 1109, GS_LOG_LEVEL_WARNING, "loop-held-up")                                     \
  X (ACCEPTING_CHANGED, 1110, GS_LOG_LEVEL_WARNING, "accepting-changed")                           \
  X (ROUTED, 2101, GS_LOG_LEVEL_INFO, "routed")                                                    \
  X (FORWARDED, 2102, GS_LOG_LEVEL_INFO, "forwarded")                                              \
  X (QUEUED, 2103, GS_LOG_LEVEL_INFO, "queued")                                                    \
  X (REJECTED, 2104, GS_LOG_LEVEL_NOTICE, "rejected")                                              \
  X (RETRIED, 2105, GS_LOG_LEVEL_INFO, "retried")                                                  \
  X (ANSWERED, 2106, GS_LOG_LEVEL_INFO, "answered")                                                \
  X (ADDRESSES_RESOLVED, 2107, GS_LOG_LEVEL_INFO, "entries-named")                                 \
  X (SLOT_GRANTED, 2108, GS_LOG_LEVEL_INFO, "placed")                                              \
  X (SCHEDULER_UNRESPONSIVE, 2109, GS_LOG_LEVEL_NOTICE, "placer-silent")                           \
  X (LATE_ATTEMPT_KEPT, 2110, GS_LOG_LEVEL_INFO, "late-attempt-kept")                              \
  X (ANSWER_DISCARDED, 2111, GS_LOG_LEVEL_NOTICE, "answer-discarded")                              \
  X (QUOTA_REACHED, 2121, GS_LOG_LEVEL_NOTICE, "quota-reached")                                    \
  X (QUOTA_DEGRADED, 2122, GS_LOG_LEVEL_WARNING, "quota-without-majority")                         \
  X (QUOTA_SHARE_CHANGED, 2123, GS_LOG_LEVEL_NOTICE, "quota-share-changed")                        \
  X (ANSWER_ENDED_BY_CLOSE, 2112, GS_LOG_LEVEL_INFO, "answer-ended-by-close")                      \
  X (CALLER_RESET, 2113, GS_LOG_LEVEL_NOTICE, "caller-reset")                                      \
  X (BELIEF_CHANGED, 3105, GS_LOG_LEVEL_NOTICE, "upstream-belief-changed")                         \
  X (REGISTRATION_CHANGED, 3106, GS_LOG_LEVEL_NOTICE, "registration-changed")                      \
  X (RETRY_BUDGET_REACHED, 3108, GS_LOG_LEVEL_NOTICE, "repeat-budget-reached")                     \
  X (UPSTREAM_LEAVING_LEARNED, 3109, GS_LOG_LEVEL_NOTICE, "upstream-leaving-learned")              \
  X (UPSTREAM_QUIET, 3110, GS_LOG_LEVEL_NOTICE, "upstream-quiet")                                  \
  X (REQUEST_HELD_BACK, 3111, GS_LOG_LEVEL_INFO, "request-held-back")                              \
  X (POOL_SLICES_CHANGED, 3121, GS_LOG_LEVEL_NOTICE, "pool-slices-changed")                        \
  X (SLOT_REDIRECTED, 3122, GS_LOG_LEVEL_INFO, "slot-redirected")                                  \
  X (COST_ESTIMATED, 3131, GS_LOG_LEVEL_INFO, "cost-estimated")                                    \
  X (REGISTRATION_REFUSED, 3107, GS_LOG_LEVEL_WARNING, "registration-refused")                     \
  X (UPSTREAM_STATE_CHANGED, 3101, GS_LOG_LEVEL_NOTICE, "upstream-state-changed")                  \
  X (CRASH_SUSPECTED, 3102, GS_LOG_LEVEL_WARNING, "crash-suspected")                               \
  X (CRASH_SUSPECT_CLEARED, 3103, GS_LOG_LEVEL_NOTICE, "crash-suspect-cleared")                    \
  X (IDLE_CONNECTIONS_DROPPED, 3104, GS_LOG_LEVEL_NOTICE, "kept-connections-dropped")              \
  X (MEMBER_STATE_CHANGED, 4101, GS_LOG_LEVEL_NOTICE, "member-state-changed")                      \
  X (PEER_MESSAGE_REFUSED, 4102, GS_LOG_LEVEL_WARNING, "peer-message-refused")                     \
  X (EDIT_DECIDED, 5101, GS_LOG_LEVEL_NOTICE, "edit-judged")                                       \
  X (TABLES_SNAPSHOT_LOADED, 5102, GS_LOG_LEVEL_NOTICE, "copy-taken")                              \
  X (SNAPSHOT_APPENDED, 5103, GS_LOG_LEVEL_NOTICE, "snapshot-appended")                            \
  X (LOG_UNAVAILABLE, 5104, GS_LOG_LEVEL_WARNING, "log-away")                                      \
  X (LOG_AVAILABLE, 5105, GS_LOG_LEVEL_NOTICE, "log-back")                                         \
  X (LOG_RECORD_REFUSED, 5106, GS_LOG_LEVEL_ERROR, "log-record-refused")                           \
  X (STORE_UNAVAILABLE, 5107, GS_LOG_LEVEL_WARNING, "store-away")                                  \
  X (STORE_AVAILABLE, 5108, GS_LOG_LEVEL_NOTICE, "store-back")                                     \
  X (TABLES_REFUSED, 5109, GS_LOG_LEVEL_WARNING, "tables-refused")                                 \
  X (READER_CHANGED, 5110, GS_LOG_LEVEL_NOTICE, "reader-changed")                                  \
  X (TABLES_SNAPSHOT_REFUSED, 5111, GS_LOG_LEVEL_WARNING, "copy-refused")                          \
  X (STORE_ERA_NOTICED, 5121, GS_LOG_LEVEL_NOTICE, "store-era-noticed")                            \
  X (STORE_ERA_TAKEN, 5122, GS_LOG_LEVEL_NOTICE, "store-era-taken")                                \
  X (CLAIM_DECIDED, 6101, GS_LOG_LEVEL_INFO, "claim-judged")                                       \
  X (PERMIT_REFUSED, 6102, GS_LOG_LEVEL_NOTICE, "right-refused")                                   \
  X (CLAIMS_ERA_ENTERED, 6121, GS_LOG_LEVEL_NOTICE, "claims-era-entered")                          \
  X (REQUEST_REFUSED, 7101, GS_LOG_LEVEL_NOTICE, "request-refused-unread")

typedef enum
{
#define GS_LOG_EVENT_ENUM(name, number, level, text) GS_LOG_EVENT_##name = number,
  GS_LOG_EVENTS (GS_LOG_EVENT_ENUM)
#undef GS_LOG_EVENT_ENUM
} GsLogEvent;

#endif
