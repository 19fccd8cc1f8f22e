/**
 * NAME
 *   store_watcher - keeps tables and registrations up to date from the platform's metadata store
 *
 * DESCRIPTION
 *   One daemon of each failure domain, its reader, reads the store for all others: registrations by
 * short reads at an interval, the tables by reads that wait for a change. It sends registrations to
 * every daemon and the tables to its own domain. A daemon that is behind pulls from a peer whose
 * messages state a later position. When a daemon hears from no reader of its domain for a while, or
 * does not get tables that others have, it reads too, see core/reader.h. While the store is
 * unavailable, the other daemons also try at random intervals, so that its return is detected soon
 * but they do not all call it at once.
 *
 *   Decisions are made on the engine's loop. Each call to the store blocks a thread of its own, and
 * each topic has its own connection.
 */
#ifndef GS_STORE_WATCHER_H
#define GS_STORE_WATCHER_H

#include "../store/store.h"
#include "engine.h"

/** Construction options; the watcher takes ownership of the stores. */
typedef struct
{
  GsEngine *engine;
  GsStore *registrations;
  GsStore *tables;
} GsStoreWatcherOptions;

typedef struct GsStoreWatcher GsStoreWatcher;

/** RETURN VALUE: a watcher that operates while the engine's loop runs. */
GsStoreWatcher *gs_store_watcher_new (const GsStoreWatcherOptions *options);
void gs_store_watcher_free (GsStoreWatcher *watcher);

#endif
