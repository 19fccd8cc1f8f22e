#include "update_recipients.h"

#include <glib.h>
#include <string.h>

static const char *
domain_of (const GsMembers *members, uint32_t index)
{
  return gs_members_get (members, index)->failure_domain;
}

/* Adds NAME to the N distinct NAMES, up to GS_UPDATE_DOMAINS_MAX. RETURN VALUE: their number. */
static uint32_t
add_distinct (const char *names[GS_UPDATE_DOMAINS_MAX], uint32_t n, const char *name)
{
  for (uint32_t i = 0; i < n; i++)
    if (strcmp (names[i], name) == 0)
      return n;
  if (n < GS_UPDATE_DOMAINS_MAX)
    names[n++] = name;
  return n;
}

/* RETURN VALUE: the domain whose name follows that of this daemon's domain, or the first one after
 * the last; NULL if there are so few domains that changes go to all. */
static const char *
next_domain (const GsMembers *members)
{
  const char *names[GS_UPDATE_DOMAINS_MAX];
  const char *own = domain_of (members, 0);
  const char *next = NULL;
  const char *first = own;
  uint32_t n = 0;

  for (uint32_t i = 0; i < gs_members_count (members); i++)
    {
      const char *domain = domain_of (members, i);
      n = add_distinct (names, n, domain);
      if (strcmp (domain, first) < 0)
        first = domain;
      if (strcmp (domain, own) > 0 && (next == NULL || strcmp (domain, next) < 0))
        next = domain;
    }
  if (n < GS_UPDATE_DOMAINS_MAX)
    return NULL;
  return next != NULL ? next : first;
}

GsPeerAddress *
gs_update_recipients (const GsMembers *members, bool has_changes, uint32_t *n)
{
  uint32_t count = gs_members_count (members);
  GsPeerAddress *recipients = g_new (GsPeerAddress, count);
  const char *own = domain_of (members, 0);
  const char *next = has_changes ? next_domain (members) : own;

  *n = 0;
  for (uint32_t i = 1; i < count; i++)
    {
      const GsMemberInfo *member = gs_members_get (members, i);
      if (member->state != GS_MEMBER_DEAD
          && (next == NULL || strcmp (member->failure_domain, own) == 0
              || strcmp (member->failure_domain, next) == 0))
        recipients[(*n)++]
            = (GsPeerAddress){ .ipv4 = member->ipv4, .peer_port = member->peer_port };
    }
  return recipients;
}
