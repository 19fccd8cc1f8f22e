/**
 * NAME
 *   log_consumer - keeps a daemon's tables and claims up to date from the platform's log
 *
 * DESCRIPTION
 *   Two threads. The first reads the stream of edits and the platform's instance list: some daemons
 * of each failure domain read the log themselves, the others pull from a peer whose messages state
 * a higher position. A daemon that has no tables does both. The thread also appends a snapshot
 * before records expire. The second reads the claims streams whose keys this daemon currently
 * claims, and appends claims in batches and at a limited rate.
 */
#ifndef GS_LOG_CONSUMER_H
#define GS_LOG_CONSUMER_H

#include "engine.h"

/** Name of the stream of edits and snapshots. */
#define GS_CONFIG_STREAM "config"

typedef struct GsLogConsumer GsLogConsumer;

/** RETURN VALUE: a consumer, whose threads post to ENGINE until it is freed. */
GsLogConsumer *gs_log_consumer_new (GsEngine *engine);
void gs_log_consumer_free (GsLogConsumer *consumer);

#endif
