/**
 * NAME
 *   record - the records that the system keeps in the platform's log
 *
 * DESCRIPTION
 *   Every record is a msgpack array [version, kind, ...]. A record of another version or kind, or
 * one that does not parse, is refused with an event and skipped, by every reader alike. A copy (all
 * workspaces above a revision) has the same form in a snapshot and between daemons. Fuzzed by
 *   test/fuzz/fuzz_records.c.
 */
#ifndef GS_RECORD_H
#define GS_RECORD_H

#include <glib.h>

#include "../core/claim.h"
#include "../core/config_log.h"

enum
{
  GS_RECORD_VERSION = 1,
  GS_RECORD_SUBMISSION_MAX = 64,    /**< bytes of a submission's identifier */
  GS_SNAPSHOT_CHUNK_BYTES = 262144, /**< bytes of a snapshot in one record */
  GS_RECORD_CLAIMS_MAX = 512,       /**< claims in one record */
};

typedef enum
{
  GS_RECORD_EDIT = 1,
  GS_RECORD_SNAPSHOT = 2,
  GS_RECORD_CLAIMS = 3,
} GsRecordKind;

/** One part of a snapshot. */
typedef struct
{
  uint64_t snapshot_hash; /**< hash of the whole snapshot */
  uint64_t position;      /**< log position that the copy reaches */
  uint32_t index;
  uint32_t count;
  const char *bytes;
  size_t length;
} GsSnapshotChunk;

/** A decoded record; strings live as long as the bytes it was decoded from. */
typedef struct
{
  GsRecordKind kind;
  char submission[GS_RECORD_SUBMISSION_MAX + 1];
  char workspace[GS_NAME_MAX + 1];
  uint64_t base_revision;
  char *text; /**< edit: tables, newly allocated */
  GsSnapshotChunk chunk;
  GsClaimRecord *claims; /**< newly allocated */
  uint32_t n_claims;
} GsRecord;

/** RETURN VALUE: newly allocated bytes of an edit. */
GBytes *gs_record_encode_edit (const char *submission,
                               const char *workspace,
                               uint64_t base,
                               const char *text);

GBytes *gs_record_encode_snapshot (const GsSnapshotChunk *chunk);
GBytes *gs_record_encode_claims (const GsClaimRecord *claims, uint32_t n_claims);

/** Decodes LENGTH bytes. RETURN VALUE: false when they are no record of this version. */
bool gs_record_decode (GsRecord *record, const char *bytes, size_t length);
void gs_record_clear (GsRecord *record);

/** A decoded copy. */
typedef struct
{
  uint64_t from;
  uint64_t position;
  GsSnapshotEntry *entries;
  uint32_t n_entries;
} GsTablesSnapshot;

/** RETURN VALUE: newly allocated bytes of all workspaces of FOLD above FROM. */
GBytes *gs_tables_snapshot_encode (const GsConfigLog *fold, uint64_t from);

/** Decodes LENGTH bytes. RETURN VALUE: false when they are no copy of this version. */
bool gs_tables_snapshot_decode (GsTablesSnapshot *copy, const char *bytes, size_t length);
void gs_tables_snapshot_clear (GsTablesSnapshot *copy);

#endif
