/**
 * NAME
 *   notice - the numbered events that the log can hold
 *
 * DESCRIPTION
 *   One number a meaning, for ever. docs/operators/EVENTS.md is the catalogue for operators; a test
 * holds it against this list. The hundreds group by matter: 1xx process, 2xx requests, 3xx
 * upstreams, 4xx members, 5xx configuration, 6xx never-repeat, 7xx bad input.
 */
#ifndef GS_NOTICE_H
#define GS_NOTICE_H

/** Severity, as in syslog. */
typedef enum
{
  GS_LEVEL_ERROR = 3,
  GS_LEVEL_WARNING = 4,
  GS_LEVEL_NOTICE = 5,
  GS_LEVEL_INFO = 6,
  GS_LEVEL_DEBUG = 7,
} GsLevel;

#define GS_NOTICES(X)                                                                              \
  X (STARTED, 1101, GS_LEVEL_NOTICE, "started")                                                    \
  X (STOPPING, 1102, GS_LEVEL_NOTICE, "stopping")                                                  \
  X (STOPPED, 1103, GS_LEVEL_NOTICE, "stopped")                                                    \
  X (CUT, 1104, GS_LEVEL_ERROR, "requests-cut")                                                    \
  X (READY, 1105, GS_LEVEL_NOTICE, "ready-changed")                                                \
  X (START_FAILED, 1106, GS_LEVEL_ERROR, "start-failed")                                           \
  X (RELOADED, 1107, GS_LEVEL_NOTICE, "settings-read-again")                                       \
  X (LINES_DROPPED, 1108, GS_LEVEL_WARNING, "log-lines-dropped")                                   \
  X (ROUTED, 2101, GS_LEVEL_INFO, "routed")                                                        \
  X (FORWARDED, 2102, GS_LEVEL_INFO, "forwarded")                                                  \
  X (QUEUED, 2103, GS_LEVEL_INFO, "queued")                                                        \
  X (REJECTED, 2104, GS_LEVEL_NOTICE, "rejected")                                                  \
  X (RETRIED, 2105, GS_LEVEL_INFO, "retried")                                                      \
  X (ANSWERED, 2106, GS_LEVEL_INFO, "answered")                                                    \
  X (NAMED, 2107, GS_LEVEL_INFO, "entries-named")                                                  \
  X (PLACED, 2108, GS_LEVEL_INFO, "placed")                                                        \
  X (PLACER_SILENT, 2109, GS_LEVEL_NOTICE, "placer-silent")                                        \
  X (LATE_KEPT, 2110, GS_LEVEL_INFO, "late-attempt-kept")                                          \
  X (BELIEF_CHANGED, 3105, GS_LEVEL_NOTICE, "upstream-belief-changed")                             \
  X (REGISTRATION_CHANGED, 3106, GS_LEVEL_NOTICE, "registration-changed")                          \
  X (BUDGET_REACHED, 3108, GS_LEVEL_NOTICE, "repeat-budget-reached")                               \
  X (REGISTRATION_REFUSED, 3107, GS_LEVEL_WARNING, "registration-refused")                         \
  X (UPSTREAM_CHANGED, 3101, GS_LEVEL_NOTICE, "upstream-state-changed")                            \
  X (CRASH_SUSPECTED, 3102, GS_LEVEL_WARNING, "crash-suspected")                                   \
  X (CRASH_CLEARED, 3103, GS_LEVEL_NOTICE, "crash-suspect-cleared")                                \
  X (CONNECTIONS_DROPPED, 3104, GS_LEVEL_NOTICE, "kept-connections-dropped")                       \
  X (MEMBER_CHANGED, 4101, GS_LEVEL_NOTICE, "member-state-changed")                                \
  X (PEER_REFUSED, 4102, GS_LEVEL_WARNING, "peer-message-refused")                                 \
  X (EDIT_JUDGED, 5101, GS_LEVEL_NOTICE, "edit-judged")                                            \
  X (COPY_TAKEN, 5102, GS_LEVEL_NOTICE, "copy-taken")                                              \
  X (SNAPSHOT_APPENDED, 5103, GS_LEVEL_NOTICE, "snapshot-appended")                                \
  X (LOG_AWAY, 5104, GS_LEVEL_WARNING, "log-away")                                                 \
  X (LOG_BACK, 5105, GS_LEVEL_NOTICE, "log-back")                                                  \
  X (LOG_REFUSED, 5106, GS_LEVEL_ERROR, "log-record-refused")                                      \
  X (STORE_AWAY, 5107, GS_LEVEL_WARNING, "store-away")                                             \
  X (STORE_BACK, 5108, GS_LEVEL_NOTICE, "store-back")                                              \
  X (TABLES_REFUSED, 5109, GS_LEVEL_WARNING, "tables-refused")                                     \
  X (CLAIM_JUDGED, 6101, GS_LEVEL_INFO, "claim-judged")                                            \
  X (RIGHT_REFUSED, 6102, GS_LEVEL_NOTICE, "right-refused")                                        \
  X (REQUEST_REFUSED, 7101, GS_LEVEL_NOTICE, "request-refused-unread")

typedef enum
{
#define GS_NOTICE_ENUM(name, number, level, text) GS_NOTICE_##name = number,
  GS_NOTICES (GS_NOTICE_ENUM)
#undef GS_NOTICE_ENUM
} GsNotice;

#endif
