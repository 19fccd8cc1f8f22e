/**
 * NAME
 *   update_recipients - the daemons to which a reader of the store sends an update
 *
 * DESCRIPTION
 *   Each failure domain has a reader of its own. An update without changes, and a complete set, go
 * to the reader's own domain. Changes also go to other domains, so that a domain whose reader is
 * lost or cut off from the store learns of them: to all of them where there are few, and from
 * GS_UPDATE_DOMAINS_MAX domains on only to the domain that follows in the order of names, since
 * otherwise each daemon receives the same changes from the reader of every domain. Pure. Tested by
 * test/unit/test_update_recipients.c.
 */
#ifndef GS_UPDATE_RECIPIENTS_H
#define GS_UPDATE_RECIPIENTS_H

#include "member.h"

enum
{
  GS_UPDATE_DOMAINS_MAX = 4, /**< domains from which on changes go to two of them only */
};

/** RETURN VALUE: newly allocated addresses of the N recipients, other members that are not dead, of
 * an update that has changes or not. */
GsPeerAddress *gs_update_recipients (const GsMembers *members, bool has_changes, uint32_t *n);

#endif
