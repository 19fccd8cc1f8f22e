/**
 * NAME
 *   store_watcher - keeps tables and registrations in step with the platform's metadata store
 *
 * DESCRIPTION
 *   One daemon of each failure domain reads the store for all: registrations by short reads at a
 * period, the tables by reads that wait for a change. It spreads registrations to every daemon and
 * the tables to its own domain; daemons that are behind pull from a peer whose messages name a
 * later version. When no reader has told good news for a while, the next in rank reads too, and
 * while the store is away the others try now and then, so that its return is noticed soon and
 * without a herd.
 *
 *   Decisions are taken in the engine's loop; a call of the store blocks a thread that lives while
 * there are calls, with a connection of its own for each topic.
 */
#ifndef GS_STORE_WATCHER_H
#define GS_STORE_WATCHER_H

#include "../store/store.h"
#include "engine.h"

/** Construction options; ownership of the stores passes. */
typedef struct
{
  GsEngine *engine;
  GsStore *registrations;
  GsStore *tables;
} GsStoreWatcherOptions;

typedef struct GsStoreWatcher GsStoreWatcher;

/** RETURN VALUE: a watcher that works while the engine's loop runs. */
GsStoreWatcher *gs_store_watcher_new (const GsStoreWatcherOptions *options);
void gs_store_watcher_free (GsStoreWatcher *feed);

#endif
