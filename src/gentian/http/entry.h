/**
 * NAME
 *   entry - the server for callers
 *
 * DESCRIPTION
 *   A server on the entry port, in the engine's loop. `GET /v1/entries` answers the address
 * question; every other request is carried to an upstream as the reducer decides, see
 * proxy_request.h. Every answer that the daemon makes itself carries Gentian-Verdict and a JSON
 * body that names the reason.
 *
 *   Headers from callers: Gentian-Ticket or Idempotency-Key (a right), Gentian-Timeout-Ms. Between
 * daemons: Gentian-Hop (signed). To upstreams: Gentian-Attempt, Gentian-Deadline-Ms.
 */
#ifndef GS_ENTRY_H
#define GS_ENTRY_H

#include "../daemon/engine.h"
#include "client.h"
#include "header_names.h"

typedef struct GsEntry GsEntry;

/** Construction options. */
typedef struct
{
  GsEngine *engine;
  const GsHeaderNames *header_names; /**< NULL: the product's own */
  GsClientOptions client;            /**< its loop and max_idle are set here */
} GsEntryOptions;

/** RETURN VALUE: a started server, or NULL with ERROR when the port cannot be had. */
GsEntry *gs_entry_new (const GsEntryOptions *options, GError **error);

/** Refuses new requests from now on, as not run; requests in flight go on. */
void gs_entry_refuse (GsEntry *entry);

/** Stops listening; requests in flight go on. */
void gs_entry_quiesce (GsEntry *entry);

/** RETURN VALUE: requests in flight, answers that still stream included. */
uint32_t gs_entry_in_flight (const GsEntry *entry);

/** Ends the server; requests in flight are cut. */
void gs_entry_free (GsEntry *entry);

#endif
