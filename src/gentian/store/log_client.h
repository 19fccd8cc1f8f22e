/**
 * NAME
 *   log_client - the platform's append-only log and instance list over HTTP
 *
 * DESCRIPTION
 *   The platform's protocol, as the stand-in test/standin/platform.c serves it:
 *     POST /v1/streams/NAME/records           body: one record; answer: {"offset": N}
 *     GET  /v1/streams/NAME/records?from=N&limit=M
 *          answer: msgpack [first, next, now_ms, retention_ms, [[offset, written_ms, bytes], ...]]
 *     GET  /v1/instances                      answer: [{"id": "...", "state": "live" or "leaving",
 * ...}] A client serves one thread. An append whose answer is lost has the result
 * GS_APPEND_UNKNOWN.
 */
#ifndef GS_LOG_CLIENT_H
#define GS_LOG_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  GS_APPEND_DONE = 0,
  GS_APPEND_NOT_DONE, /**< the record certainly is not in the log */
  GS_APPEND_UNKNOWN,  /**< the record may be in the log */
} GsAppendResult;

/** One record as read. */
typedef struct
{
  uint64_t offset;
  int64_t written_ms; /**< log's clock */
  GBytes *bytes;
} GsLogRecord;

/** One answer to a read. */
typedef struct
{
  uint64_t first; /**< first offset that the log still holds */
  uint64_t next;  /**< offset that the next append will get */
  int64_t now_ms; /**< log's clock */
  int64_t retention_ms;
  GPtrArray *records; /**< of GsLogRecord */
} GsLogPage;

/** One instance of the platform's list. */
typedef struct
{
  char *id;
  bool leaving;
  uint32_t ipv4;      /**< daemons: host byte order; 0 for backend servers */
  uint16_t peer_port; /**< daemons */
} GsListedInstance;

typedef struct GsLogClient GsLogClient;

/** RETURN VALUE: a client of the service at BASE_URL with TIMEOUT_MS for a call. */
GsLogClient *gs_log_client_new (const char *base_url, uint32_t timeout_ms);
void gs_log_client_free (GsLogClient *client);

/** Appends BYTES to STREAM. OFFSET, if not NULL, gets the record's offset when the result is done.
 */
GsAppendResult
gs_log_append (GsLogClient *client, const char *stream, GBytes *bytes, uint64_t *offset);

/**
 * Appends COPY, which reaches POSITION, to STREAM as a snapshot in as many RECORDS as it takes.
 *
 * RETURN VALUE: false when a record was not appended for certain; the rest is left out then.
 */
bool gs_log_append_snapshot (GsLogClient *client,
                             const char *stream,
                             GBytes *copy,
                             uint64_t position,
                             uint32_t *records);

/** Reads at most LIMIT records of STREAM from FROM on. RETURN VALUE: false when there is no answer.
 */
bool gs_log_read (GsLogClient *client,
                  const char *stream,
                  uint64_t from,
                  uint32_t limit,
                  GsLogPage *page);
void gs_log_page_clear (GsLogPage *page);

/** RETURN VALUE: array of GsListedInstance, or NULL when there is no answer. */
GPtrArray *gs_log_list_instances (GsLogClient *client);

#endif
