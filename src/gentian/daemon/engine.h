/**
 * NAME
 *   engine - runs the reducer: turns input into events and executes the effects
 *
 * DESCRIPTION
 *   One lock protects the core. Any thread may post events. Effects that belong to a request are
 * passed to its handler on the thread of the event loop; all others are executed by the thread that
 * posts the event. A timer posts the ticks. All decisions are the reducer's.
 */
#ifndef GS_ENGINE_H
#define GS_ENGINE_H

#include <ev.h>
#include <glib.h>

#include "../config/descriptors.h"
#include "../config/settings.h"
#include "../core/core.h"

enum
{
  GS_SIGNATURE_BYTES = 16, /**< on tickets, hops and credentials */
  GS_SIGNATURE_HEX = 2 * GS_SIGNATURE_BYTES,
};

/** Workspace of the tables that are read from the platform's store. */
#define GS_ENGINE_STORE_WORKSPACE "platform"

typedef struct GsEngine GsEngine;

/** Handles an effect of one request, on the loop's thread. */
typedef void (*GsEffectHandler) (const GsEffect *effect, void *data);

/** Closes the idle connections to an upstream. Called on any thread, with the engine locked. */
typedef void (*GsDropConnectionsHandler) (uint32_t ipv4, uint16_t port, void *data);

/** Parses the tables of a workspace, as gs_tables_parse does. */
typedef GsDocument *(*GsTablesParser) (const char *workspace,
                                       const char *file,
                                       const char *text,
                                       size_t length,
                                       GError **error);

/** Construction options. */
typedef struct
{
  const GsSettings *settings;  /**< must outlive the engine */
  GsTablesParser parse_tables; /**< NULL: gs_tables_parse */
  struct ev_loop *loop;        /**< run by the thread that creates the engine */
} GsEngineOptions;

/** RETURN VALUE: an engine that operates while its loop runs, or NULL with ERROR. */
GsEngine *gs_engine_new (const GsEngineOptions *options, GError **error);

void gs_engine_free (GsEngine *engine);

/** Sets the time of EVENT, reduces it and executes its effects. */
void gs_engine_post (GsEngine *engine, GsEvent *event);

/** RETURN VALUE: the number of a new request, whose effects are passed to HANDLER with DATA. */
uint64_t gs_engine_open_request (GsEngine *engine, GsEffectHandler handler, void *data);

/** Discards all further effects of REQUEST. */
void gs_engine_close_request (GsEngine *engine, uint64_t request);

/** Reduces LOOKUP, whose request number this function sets, and stores the answer in RESULT. RETURN
 * VALUE: false when no daemon can be returned. */
bool gs_engine_look_up_addresses (GsEngine *engine,
                                  GsAddressLookupEvent lookup,
                                  GsAddressLookupEffect *result);

/** Sets HANDLER, which executes GS_EFFECT_DROP_CONNECTIONS; NULL: none. */
void gs_engine_set_drop_connections_handler (GsEngine *engine,
                                             GsDropConnectionsHandler handler,
                                             void *data);

/** Locks the core, whose state may be read until gs_engine_unlock. */
const GsCore *gs_engine_lock (GsEngine *engine);
void gs_engine_unlock (GsEngine *engine);

/** RETURN VALUE: the partitions of the claims streams that this daemon must read. */
GsClaimPartitions gs_engine_claim_partitions (GsEngine *engine);

/** Begins a planned stop, during which no request lasts beyond STOP_BY_US (monotonic time).
 * Requests that cannot be answered by then are rejected. Called again, moves that time up. */
void gs_engine_stop (GsEngine *engine, int64_t stop_by_us);

/** RETURN VALUE: true once gs_engine_stop was called. */
bool gs_engine_stopping (const GsEngine *engine);

const GsSettings *gs_engine_settings (const GsEngine *engine);

/** RETURN VALUE: how many connections of each use the daemon may have. */
const GsDescriptors *gs_engine_descriptors (const GsEngine *engine);

struct ev_loop *gs_engine_loop (const GsEngine *engine);
uint64_t gs_engine_incarnation (const GsEngine *engine);

/** Replaces the seeds, which are asked for the members. Tables and registrations are not pulled
 * from them: a whole fleet may get new seeds at once. */
void gs_engine_set_seeds (GsEngine *engine, const GsPeerAddress *seeds, uint32_t n_seeds);

/** Requests from the daemon at TO a snapshot of all tables with a revision above FROM. */
void gs_engine_pull_tables_snapshot (GsEngine *engine, const GsPeerAddress *to, uint64_t from);

/** RETURN VALUE: the limits for callers' requests in the tables in force; 0 where they set none. */
GsCallerLimits gs_engine_caller_limits (GsEngine *engine);

/** RETURN VALUE: whether the tables in force route HOST and PATH, and allow requests there to run
 * more than once. */
bool gs_engine_is_repeatable (GsEngine *engine, const char *host, const char *path);

/** Requests all registrations from the daemon at TO. */
void gs_engine_pull_registry (GsEngine *engine, const GsPeerAddress *to);

/** Sends a snapshot of all tables to the relays of this daemon (gs_members_relays), which forward
 * it to theirs. */
void gs_engine_push_tables_snapshot (GsEngine *engine);

/** Decodes a tables snapshot from LENGTH BYTES and posts it. RETURN VALUE: false when it is
 * malformed. */
bool gs_engine_apply_tables_snapshot (GsEngine *engine, const char *bytes, size_t length);

/** Removes the next CLAIM to append from the queue, waiting at most WAIT_US for one. RETURN VALUE:
 * false when there is none. */
bool gs_engine_next_claim (GsEngine *engine, int64_t wait_us, GsClaimRecord *claim);

/** Adds CLAIM to the queue of claims to append. */
void gs_engine_queue_claim (GsEngine *engine, const GsClaimRecord *claim);

/** Adds CHANGE to the number of edits that are being submitted through this daemon. While there is
 * one, it reads the log itself. */
void gs_engine_add_submissions (GsEngine *engine, int change);

/** RETURN VALUE: true while an edit is being submitted through this daemon. */
bool gs_engine_must_read_log (const GsEngine *engine);

/** Writes the hex signature of TEXT under KEY (64 hex digits) to OUT (GS_SIGNATURE_HEX + 1 bytes).
 */
void gs_sign (const char *key, const char *text, char *out);

/** RETURN VALUE: true when SIGNATURE is that of TEXT under KEY. Compares in constant time; an empty
 * KEY verifies nothing. */
bool gs_verify_signature (const char *key, const char *text, const char *signature);

#endif
