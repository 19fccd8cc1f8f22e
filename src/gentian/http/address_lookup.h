/**
 * NAME
 *   address_lookup - address lookups of callers, and the text form of tickets
 *
 * DESCRIPTION
 *   `GET /v1/entries?host=H&path=P` returns the daemons that a caller should use, in order of
 * preference, and for how long the list is valid. For a never-repeat route the answer includes a
 * ticket that a home of the pool has issued. A daemon that is not a home forwards the lookup to the
 * homes in turn, and issues the ticket itself when none answers.
 */
#ifndef GS_ADDRESS_LOOKUP_H
#define GS_ADDRESS_LOOKUP_H

#include "../daemon/engine.h"
#include "client.h"

enum
{
  GS_TICKET_TEXT_MAX = 320, /**< bytes, including the terminating NUL */
};

/** Answer to a lookup: JSON, or a NULL body when this daemon has no tables yet. */
typedef struct
{
  const char *body;
  size_t length;
} GsAddressLookupAnswer;

/** Parameters of a lookup. The strings are copied. */
typedef struct
{
  GsEngine *engine;
  GsClient *client;
  const char *target; /**< path with query, for forwarding to a home */
  const char *host;   /**< NULL: any daemon will do */
  const char *path;   /**< NULL: "/" */
  bool forwarded;     /**< another daemon has forwarded it: answer it here */
  /** Called with the answer, possibly before gs_address_lookup_start returns. */
  void (*done) (const GsAddressLookupAnswer *answer, void *data);
  void *data;
} GsAddressLookupOptions;

typedef struct GsAddressLookup GsAddressLookup;

/** Starts a lookup. RETURN VALUE: the pending lookup, or NULL when it has been answered. */
GsAddressLookup *gs_address_lookup_start (const GsAddressLookupOptions *options);

/** Cancels LOOKUP, which may be NULL, without calling `done`. */
void gs_address_lookup_cancel (GsAddressLookup *lookup);

/** Parses TICKET and verifies its signature. RETURN VALUE: true with PERMIT filled in, or false. */
bool gs_ticket_parse (GsEngine *engine, const char *ticket, GsPermit *permit);

#endif
