/**
 * NAME
 *   log_client - HTTP client of the platform's append-only log and list of instances
 *
 * DESCRIPTION
 *   The platform's protocol, which test/standin/platform.c implements as a stand-in:
 *     POST /v1/streams/NAME/records           body: one record; answer: {"offset": N}
 *     GET  /v1/streams/NAME/records?from=N&limit=M
 *          answer: msgpack [first, next, now_ms, retention_ms, [[offset, written_ms, bytes], ...]],
 *          with the records from offset N on, or from the first on if that is later, without gaps
 *     GET  /v1/instances
 *          answer: [{"id": "...", "state": "live" or "leaving", ...}, ...]
 *
 *   The header Log-Era of an answer states how often the log has returned from an older copy of
 * itself, in which offsets are assigned again. A log without it has era 0.
 *
 *   A client is used by one thread. An append whose answer is lost has the result
 * GS_APPEND_UNKNOWN. Tested by test/unit/test_log_client.c.
 */
#ifndef GS_LOG_CLIENT_H
#define GS_LOG_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  GS_APPEND_DONE = 0,
  GS_APPEND_NOT_DONE, /**< not sent, or refused with 503: the record is certainly not in the log */
  GS_APPEND_UNKNOWN,  /**< the record may be in the log */
} GsAppendResult;

/** One record of the log. */
typedef struct
{
  uint64_t offset;
  int64_t written_ms; /**< by the log's clock */
  GBytes *bytes;
} GsLogRecord;

/** Result of a read. */
typedef struct
{
  uint64_t first_offset; /**< of the oldest record that the log still has */
  uint64_t end_offset;   /**< that the next appended record gets */
  int64_t now_ms;        /**< by the log's clock */
  int64_t retention_ms;
  uint64_t era;       /**< of the log; 0: not stated */
  GPtrArray *records; /**< of GsLogRecord */
} GsLogPage;

/** One instance of the platform's list: a daemon or a backend server. */
typedef struct
{
  char *id;
  bool leaving;
  uint32_t ipv4;      /**< of a daemon, in host byte order; 0 for a backend server */
  uint16_t peer_port; /**< of a daemon; 0 for a backend server */
} GsListedInstance;

typedef struct GsLogClient GsLogClient;

/** RETURN VALUE: a client of the service at BASE_URL; each call may take TIMEOUT_MS. */
GsLogClient *gs_log_client_new (const char *base_url, uint32_t timeout_ms);
void gs_log_client_free (GsLogClient *client);

/** Appends the record BYTES to STREAM. OFFSET, if not NULL, gets its offset when the result is
 * GS_APPEND_DONE. */
GsAppendResult
gs_log_append (GsLogClient *client, const char *stream, GBytes *bytes, uint64_t *offset);

/**
 * Appends the encoded tables SNAPSHOT, which reaches log position POSITION, to STREAM. RECORDS gets
 * the number of records that it is split into.
 *
 * RETURN VALUE: false when the append of a record is not confirmed; the rest is not appended then.
 */
bool gs_log_append_snapshot (GsLogClient *client,
                             const char *stream,
                             GBytes *snapshot,
                             uint64_t position,
                             uint32_t *records);

/** Reads at most LIMIT records of STREAM, from offset FROM on. RETURN VALUE: false when there is no
 * valid answer; then PAGE need not be cleared. */
bool gs_log_read (GsLogClient *client,
                  const char *stream,
                  uint64_t from,
                  uint32_t limit,
                  GsLogPage *page);
void gs_log_page_clear (GsLogPage *page);

/** RETURN VALUE: newly allocated array of GsListedInstance, or NULL when the call fails. */
GPtrArray *gs_log_list_instances (GsLogClient *client);

#endif
