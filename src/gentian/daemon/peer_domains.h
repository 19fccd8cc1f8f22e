/**
 * NAME
 *   peer_domains - counts the messages sent to other daemons by their failure domain
 *
 * DESCRIPTION
 *   Remembers for some seconds whether the daemon at an address is of this daemon's failure domain,
 * so that not every message needs the lock of the engine and a search of the members. Used by the
 * event loop's thread only.
 */
#ifndef GS_PEER_DOMAINS_H
#define GS_PEER_DOMAINS_H

#include "../core/member.h"

struct GsEngine;

typedef struct GsPeerDomains GsPeerDomains;

GsPeerDomains *gs_peer_domains_new (struct GsEngine *engine);
void gs_peer_domains_free (GsPeerDomains *domains);

/** Counts a message of LENGTH bytes that was sent to the daemon at TO (log/traffic.h). The engine
 * must not be locked. */
void gs_peer_domains_count (GsPeerDomains *domains,
                            const GsPeerAddress *to,
                            const char *bytes,
                            size_t length);

#endif
