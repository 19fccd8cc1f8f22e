/**
 * NAME
 *   tables_decoder - decodes large tables snapshots on a thread of its own
 *
 * SYNOPSIS
 *   GsTablesDecoder *decoder = gs_tables_decoder_new (&options);
 *   if (gs_tables_decoder_is_large (&snapshot))
 *     gs_tables_decoder_start (decoder, &snapshot);
 *
 * DESCRIPTION
 *   Decoding the tables of 10,000 workspaces takes some 30 ms of a whole core, and many times that
 * on a small instance. Requests must not wait for it. Snapshots are decoded one after the other, in
 * the order in which they were started, and handed over on the loop's thread. One that is not newer
 * than those already started is not accepted, as peers send the same one several times. Tested by
 * test/unit/test_tables_decoder.c.
 */
#ifndef GS_TABLES_DECODER_H
#define GS_TABLES_DECODER_H

#include <ev.h>

#include "../store/record.h"
#include "engine.h"

typedef struct GsTablesDecoder GsTablesDecoder;

typedef struct
{
  struct ev_loop *loop;
  GsTablesParser parse_tables; /**< called on the decoder's thread */
  /** Called on the loop's thread with one document for each entry, NULL where an entry is invalid,
   * and the error of the first such entry. Ownership of the documents passes. */
  void (*decoded) (const GsTablesSnapshot *snapshot,
                   GsDocument **documents,
                   const GError *refusal,
                   void *data);
  void *data;
} GsTablesDecoderOptions;

GsTablesDecoder *gs_tables_decoder_new (const GsTablesDecoderOptions *options);

/** Waits for the snapshot that is being decoded; none is handed over any more. NULL is allowed. */
void gs_tables_decoder_free (GsTablesDecoder *decoder);

/** RETURN VALUE: the tables of ENTRY, or NULL if it is invalid; REFUSAL is set unless it is set
 * already. */
GsDocument *
gs_tables_decode_entry (GsTablesParser parse, const GsSnapshotEntry *entry, GError **refusal);

/** RETURN VALUE: whether SNAPSHOT is large, and so to be decoded here. */
bool gs_tables_decoder_is_large (const GsTablesSnapshot *snapshot);

/** Starts to decode SNAPSHOT, and takes ownership of its contents. RETURN VALUE: false if one that
 * reaches as far is being decoded; SNAPSHOT is then discarded. */
bool gs_tables_decoder_start (GsTablesDecoder *decoder, GsTablesSnapshot *snapshot);

#endif
