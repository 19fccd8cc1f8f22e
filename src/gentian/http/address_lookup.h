/**
 * NAME
 *   entries - the address lookup, and tickets as text
 *
 * DESCRIPTION
 *   `GET /v1/entries?host=H&path=P` names the daemons that a caller should use, in order, and for
 * how long. For a never-repeat route the answer brings a ticket of a home; a daemon that is no home
 * passes the lookup on, and issues the ticket itself when no home answers.
 */
#ifndef GS_ADDRESS_LOOKUP_H
#define GS_ADDRESS_LOOKUP_H

#include "../daemon/engine.h"
#include "client.h"

enum
{
  GS_TICKET_TEXT_MAX = 320, /**< bytes of a ticket as text, with the final NUL */
};

/** Answer to the address lookup: JSON, or no body where there are no tables. */
typedef struct
{
  const char *body;
  size_t length;
} GsAddressLookupAnswer;

/** A lookup. */
typedef struct
{
  GsEngine *engine;
  GsClient *client;
  const char *target; /**< path with query, passed on to a home */
  const char *host;   /**< NULL: any daemons */
  const char *path;   /**< NULL: the root */
  bool asked;         /**< another daemon has passed it on */
  /** Takes the answer, perhaps before gs_address_lookup_start returns. */
  void (*done) (const GsAddressLookupAnswer *answer, void *data);
  void *data;
} GsAddressLookupOptions;

typedef struct GsAddressLookup GsAddressLookup;

/** Asks. RETURN VALUE: a lookup under way, or NULL when it has been answered. */
GsAddressLookup *gs_address_lookup_start (const GsAddressLookupOptions *options);

/** Gives QUESTION up, which may be NULL. */
void gs_address_lookup_cancel (GsAddressLookup *lookup);

/** Parses TICKET and checks its signature. RETURN VALUE: true and RIGHT, or false. */
bool gs_ticket_parse (GsEngine *engine, const char *ticket, GsRight *right);

#endif
