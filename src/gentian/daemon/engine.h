/**
 * NAME
 *   engine - runs the reducer: turns the world into events and effects into calls
 *
 * DESCRIPTION
 *   Holds the core behind one lock. Any thread posts events; effects that belong to a request are
 * handed to its sink by the event loop, all others are carried out at once. A timer posts the time.
 * The engine decides nothing.
 */
#ifndef GS_ENGINE_H
#define GS_ENGINE_H

#include <ev.h>
#include <glib.h>

#include "../config/settings.h"
#include "../core/core.h"

enum
{
  GS_SIGNATURE_BYTES = 16, /**< of tickets, hops and credentials */
  GS_SIGNATURE_HEX = 2 * GS_SIGNATURE_BYTES,
};

/** Workspace of the tables that come from the platform's store. */
#define GS_ENGINE_STORE_WORKSPACE "platform"

typedef struct GsEngine GsEngine;

/** Takes an effect of one request, on the loop's thread. */
typedef void (*GsEffectHandler) (const GsEffect *effect, void *data);

/** Closes what is kept open to an upstream, on any thread. */
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
  GsTablesParser parse_tables; /**< NULL: the product's YAML */
  struct ev_loop *loop;        /**< run by the thread that makes the engine */
} GsEngineOptions;

/** RETURN VALUE: an engine that works while its loop runs, or NULL with ERROR. */
GsEngine *gs_engine_new (const GsEngineOptions *options, GError **error);

void gs_engine_free (GsEngine *engine);

/** Reduces EVENT (its time is set here) and carries its effects out. */
void gs_engine_post (GsEngine *engine, GsEvent *event);

/** RETURN VALUE: a new request number, whose effects go to SINK with DATA. */
uint64_t gs_engine_open_request (GsEngine *engine, GsEffectHandler sink, void *data);

/** Drops later effects of REQUEST. */
void gs_engine_close_request (GsEngine *engine, uint64_t request);

/** Puts QUESTION to the reducer. RETURN VALUE: false when it cannot name a daemon. */
bool gs_engine_look_up_addresses (GsEngine *engine,
                                  GsAddressLookupEvent question,
                                  GsAddressLookupEffect *entries);

/** Sets what closes connections to an upstream that the reducer gives up. */
void gs_engine_set_drop_connections_handler (GsEngine *engine,
                                             GsDropConnectionsHandler drop,
                                             void *data);

/** Locks the core for reading its state. */
const GsCore *gs_engine_lock (GsEngine *engine);
void gs_engine_unlock (GsEngine *engine);

/** RETURN VALUE: the claims partitions that this daemon has to follow. */
GsPartitions gs_engine_partitions (GsEngine *engine);

/** Begins a planned stop. */
void gs_engine_stop (GsEngine *engine);

/** RETURN VALUE: true once gs_engine_stop was called. */
bool gs_engine_stopping (const GsEngine *engine);

const GsSettings *gs_engine_settings (const GsEngine *engine);
struct ev_loop *gs_engine_loop (const GsEngine *engine);
uint64_t gs_engine_incarnation (const GsEngine *engine);

/** Sends the daemon at TO a pull for all tables above FROM. */
void gs_engine_pull_tables_snapshot (GsEngine *engine, const GsPeerAddress *to, uint64_t from);

/** RETURN VALUE: what callers may send, by the tables in force; zeros where they say nothing. */
GsCallerLimits gs_engine_caller_limits (GsEngine *engine);

/** Asks the daemon at TO for all registrations. */
void gs_engine_pull_registry (GsEngine *engine, const GsPeerAddress *to);

/** Sends all tables to the relays of this daemon (gs_members_relays), which do the same. */
void gs_engine_push_tables_snapshot (GsEngine *engine);

/** Parses and posts a copy received as LENGTH bytes. RETURN VALUE: false when it is malformed. */
bool gs_engine_apply_tables_snapshot (GsEngine *engine, const char *bytes, size_t length);

/** RETURN VALUE: the next claim to append, waiting WAIT_US for it; false when there is none. */
bool gs_engine_next_claim (GsEngine *engine, int64_t wait_us, GsClaimRecord *claim);

/** Puts CLAIM back in the line of claims to append. */
void gs_engine_queue_claim (GsEngine *engine, const GsClaimRecord *claim);

/** Adds CHANGE to the number of submissions in progress here. While there is one, this daemon reads
 * the log itself. */
void gs_engine_add_submissions (GsEngine *engine, int change);

/** RETURN VALUE: true when this daemon has to read the log itself. */
bool gs_engine_must_read_log (const GsEngine *engine);

/** Writes the hex signature of TEXT under KEY (64 hex digits) to OUT (GS_SIGNATURE_HEX + 1 bytes).
 */
void gs_sign (const char *key, const char *text, char *out);

/** RETURN VALUE: true when SIGNATURE is that of TEXT under KEY; in constant time. */
bool gs_verify_signature (const char *key, const char *text, const char *signature);

#endif
