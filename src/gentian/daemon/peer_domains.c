#include "peer_domains.h"

#include <glib.h>
#include <string.h>

#include "../log/traffic.h"
#include "../peer/wire.h"
#include "engine.h"

/** An address may be given to an instance of another failure domain; members appear. */
#define PEER_DOMAINS_LIFE_US (10 * G_USEC_PER_SEC)

struct GsPeerDomains
{
  GsEngine *engine;
  GHashTable *known; /* IPv4 address << 16 | port -> GsDomainRelation */
  int64_t forget_at_us;
};

GsPeerDomains *
gs_peer_domains_new (GsEngine *engine)
{
  GsPeerDomains *domains = g_new0 (GsPeerDomains, 1);

  domains->engine = engine;
  domains->known = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return domains;
}

void
gs_peer_domains_free (GsPeerDomains *domains)
{
  g_hash_table_destroy (domains->known);
  g_free (domains);
}

static GsDomainRelation
find_domain (GsPeerDomains *domains, const GsPeerAddress *address)
{
  const GsMembers *members = gs_core_members (gs_engine_lock (domains->engine));
  const GsMemberInfo *member = gs_members_find_address (members, address);
  const char *own = gs_members_get (members, 0)->failure_domain;
  GsDomainRelation domain = GS_DOMAIN_UNKNOWN;

  if (member != NULL)
    domain = strcmp (member->failure_domain, own) == 0 ? GS_DOMAIN_SAME : GS_DOMAIN_OTHER;
  gs_engine_unlock (domains->engine);
  return domain;
}

void
gs_peer_domains_count (GsPeerDomains *domains,
                       const GsPeerAddress *to,
                       const char *bytes,
                       size_t length)
{
  int64_t key = (int64_t)to->ipv4 << 16 | to->peer_port;
  int64_t now_us = g_get_monotonic_time ();
  gpointer known;
  GsDomainRelation domain;

  if (now_us >= domains->forget_at_us)
    {
      g_hash_table_remove_all (domains->known);
      domains->forget_at_us = now_us + PEER_DOMAINS_LIFE_US;
    }
  if (g_hash_table_lookup_extended (domains->known, &key, NULL, &known))
    domain = (GsDomainRelation)GPOINTER_TO_INT (known);
  else
    {
      domain = find_domain (domains, to);
      if (domain != GS_DOMAIN_UNKNOWN)
        g_hash_table_insert (domains->known, g_memdup2 (&key, sizeof key),
                             GINT_TO_POINTER (domain));
    }
  gs_traffic_add_message (gs_wire_peek_kind (bytes, length), domain, length);
}
