/**
 * NAME
 *   record - encoding of the records in the platform's log, and of tables snapshots
 *
 * DESCRIPTION
 *   Every record is a msgpack array [version, kind, ...]. All readers refuse a record of another
 * version or kind, or one that does not parse, with a log event, and skip it. A tables snapshot
 * contains all workspaces changed since a log position; it is encoded in the same way in the log,
 * in chunks, and in messages between daemons. Fuzzed by test/fuzz/fuzz_records.c.
 */
#ifndef GS_RECORD_H
#define GS_RECORD_H

#include <glib.h>

#include "../core/claim.h"
#include "../core/config_log.h"

enum
{
  GS_RECORD_VERSION = 1,
  GS_RECORD_SUBMISSION_MAX = 64,    /**< bytes of a submission's id */
  GS_SNAPSHOT_CHUNK_BYTES = 262144, /**< bytes of a snapshot in one record */
  GS_RECORD_CLAIMS_MAX = 512,       /**< claims in one record */
};

typedef enum
{
  GS_RECORD_EDIT = 1,
  GS_RECORD_SNAPSHOT = 2,
  GS_RECORD_CLAIMS = 3,
} GsRecordKind;

/** One chunk of an encoded tables snapshot. */
typedef struct
{
  uint64_t snapshot_hash; /**< gs_hash_bytes of all chunks, by which a snapshot is recognized */
  uint64_t position;      /**< log position that the snapshot reaches */
  uint32_t index;         /**< of the chunk, from 0 */
  uint32_t count;         /**< of the snapshot's chunks */
  const char *bytes;
  size_t length;
} GsSnapshotChunk;

/** A decoded record; the members of its kind are set. It owns what it points to. */
typedef struct
{
  GsRecordKind kind;
  char submission[GS_RECORD_SUBMISSION_MAX + 1];
  char workspace[GS_NAME_MAX + 1];
  uint64_t base_revision; /**< edit: revision of the workspace that it is based on */
  char *text;             /**< edit: YAML text of the tables */
  GsSnapshotChunk chunk;
  GsClaimRecord *claims;
  uint32_t n_claims;
} GsRecord;

/** RETURN VALUE: newly allocated bytes of an edit record. */
GBytes *gs_record_encode_edit (const char *submission,
                               const char *workspace,
                               uint64_t base_revision,
                               const char *text);

GBytes *gs_record_encode_snapshot (const GsSnapshotChunk *chunk);

/** N_CLAIMS is at most GS_RECORD_CLAIMS_MAX. RETURN VALUE: newly allocated bytes of a claims
 * record. */
GBytes *gs_record_encode_claims (const GsClaimRecord *claims, uint32_t n_claims);

/** Decodes LENGTH bytes. RETURN VALUE: false when they are no valid record of this version; then
 * RECORD need not be cleared. */
bool gs_record_decode (GsRecord *record, const char *bytes, size_t length);
void gs_record_clear (GsRecord *record);

/** A decoded tables snapshot. */
typedef struct
{
  uint64_t from;     /**< log position that it continues from; 0: it is a complete one */
  uint64_t position; /**< log position that it reaches */
  GsSnapshotEntry *entries;
  uint32_t n_entries;
} GsTablesSnapshot;

/** RETURN VALUE: newly allocated bytes of a snapshot of all workspaces of LOG whose revision is
 * above FROM. */
GBytes *gs_tables_snapshot_encode (const GsConfigLog *log, uint64_t from);

/** Decodes LENGTH bytes. RETURN VALUE: false when they are no valid snapshot of this version; then
 * SNAPSHOT need not be cleared. */
bool gs_tables_snapshot_decode (GsTablesSnapshot *snapshot, const char *bytes, size_t length);
void gs_tables_snapshot_clear (GsTablesSnapshot *snapshot);

#endif
