/**
 * NAME
 *   entry - the server for callers
 *
 * DESCRIPTION
 *   An HTTP server on the entry port, run by the engine's event loop, see caller_server.h.
 * Pipelined requests on routes that are safe to repeat are processed while earlier ones have no
 * answer. A GET of the lookup path
 * (`/v1/entries`) is an address lookup, see address_lookup.h; every other request is proxied to an
 * upstream that the reducer selects, see proxy_request.h. Every error with which the daemon itself
 * answers has a JSON body that names the reason, and the header Gentian-Verdict.
 *
 *   A caller that closes its side of the connection, or resets it, has left: its attempt is
 * cancelled, and none starts.
 *
 *   Headers from callers: Gentian-Ticket or Idempotency-Key (a permit), Gentian-Timeout-Ms. Between
 * daemons: Gentian-Hop (signed). To upstreams: Gentian-Attempt, Gentian-Deadline-Ms. A platform may
 * use other names, see header_names.h.
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
  const GsHeaderNames *header_names; /**< NULL: gs_header_names_default */
  GsClientOptions client;            /**< its loop and numbers of connections are overwritten */
} GsEntryOptions;

/** RETURN VALUE: a started server, or NULL with ERROR when it cannot listen on the port. */
GsEntry *gs_entry_new (const GsEntryOptions *options, GError **error);

/** Refuses new requests from now on, as not run, and those that have been received in part; other
 * requests in flight continue. */
void gs_entry_refuse (GsEntry *entry);

/** Stops listening and answers all requests that have no answer yet: those that have not run as not
 * run, the others as may-have-run. The loop sends the answers. Answers that are being streamed
 * continue. May be called again, for attempts that were about to start. */
void gs_entry_end_requests (GsEntry *entry);

/** Stops listening; requests in flight continue. */
void gs_entry_quiesce (GsEntry *entry);

/** RETURN VALUE: number of requests in flight, including those whose answers are being streamed. */
uint32_t gs_entry_in_flight (const GsEntry *entry);

/** RETURN VALUE: number of attempts that gs_entry_end_requests has ended. */
uint32_t gs_entry_n_ended (const GsEntry *entry);

/** Stops the server and aborts the requests in flight. */
void gs_entry_free (GsEntry *entry);

#endif
