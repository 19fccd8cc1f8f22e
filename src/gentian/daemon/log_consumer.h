/**
 * NAME
 *   log_consumer - keeps a daemon's tables and claims in step with the platform's log
 *
 * DESCRIPTION
 *   Two threads. The first follows the stream of edits and the platform's instance list: a few
 * daemons of each failure domain read the log themselves, the others pull from a peer whose
 * messages name a higher position; a daemon that has no tables tries both. It appends a snapshot
 * before records expire. The second follows the claims streams for which this daemon claims keys at
 * the moment, and appends claims in batches within a rate.
 */
#ifndef GS_LOG_CONSUMER_H
#define GS_LOG_CONSUMER_H

#include "engine.h"

#define GS_CONFIG_STREAM "config"

typedef struct GsLogConsumer GsLogConsumer;

/** RETURN VALUE: a consumer whose threads run for ENGINE. */
GsLogConsumer *gs_log_consumer_new (GsEngine *engine);
void gs_log_consumer_free (GsLogConsumer *follower);

#endif
