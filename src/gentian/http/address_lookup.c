#include "address_lookup.h"

#include <jansson.h>
#include <string.h>

#include "../log/counter.h"
#include "exchange.h"
#include "header_names.h"

/* Formats a ticket: INSTANCE/INCARNATION/NUMBER/SIGNATURE, with the numbers in hexadecimal. */
static char *
make_ticket (GsEngine *engine, uint64_t number)
{
  const GsSettings *settings = gs_engine_settings (engine);
  char signature[GS_SIGNATURE_HEX + 1];
  g_autofree char *text
      = g_strdup_printf ("%s/%" G_GINT64_MODIFIER "x/%" G_GINT64_MODIFIER "x", settings->instance,
                         gs_engine_incarnation (engine), number);

  gs_sign (settings->fleet_key, text, signature);
  return g_strdup_printf ("%s/%s", text, signature);
}

bool
gs_ticket_parse (GsEngine *engine, const char *ticket, GsPermit *permit)
{
  g_auto (GStrv) parts = g_strsplit (ticket, "/", 5);
  g_autofree char *text = NULL;

  if (strlen (ticket) >= GS_TICKET_TEXT_MAX || g_strv_length (parts) != 4
      || strlen (parts[0]) > GS_NAME_MAX)
    return false;
  text = g_strdup_printf ("%s/%s/%s", parts[0], parts[1], parts[2]);
  if (!gs_verify_signature (gs_engine_settings (engine)->fleet_key, text, parts[3]))
    return false;
  permit->kind = GS_PERMIT_TICKET;
  g_strlcpy (permit->issuer, parts[0], sizeof permit->issuer);
  permit->incarnation = g_ascii_strtoull (parts[1], NULL, 16);
  permit->number = g_ascii_strtoull (parts[2], NULL, 16);
  return true;
}

static json_t *
member_json (const GsMemberInfo *member)
{
  g_autofree char *address
      = g_strdup_printf ("%u.%u.%u.%u:%u", member->ipv4 >> 24, (member->ipv4 >> 16) & 255,
                         (member->ipv4 >> 8) & 255, member->ipv4 & 255, member->entry_port);

  return json_pack ("{s:s, s:s, s:s}", "address", address, "instance", member->id, "failure_domain",
                    member->failure_domain);
}

struct GsAddressLookup
{
  GsAddressLookupOptions options;
  GsAddressLookupEvent event;
  GsAddressLookupEffect entries;
  char *host;
  char *path;
  char *target;
  uint32_t next_home; /* index in entries.members of the home to query next */
  GsExchange *exchange;
};

static void
free_lookup (GsAddressLookup *lookup)
{
  gs_exchange_free (lookup->exchange);
  g_free (lookup->host);
  g_free (lookup->path);
  g_free (lookup->target);
  g_free (lookup);
}

/* Delivers the answer and frees the lookup. */
static void
finish_lookup (GsAddressLookup *lookup, const char *body, size_t length)
{
  GsAddressLookupAnswer answer = { .body = body, .length = length };

  lookup->options.done (&answer, lookup->options.data);
  free_lookup (lookup);
}

static void
add_ticket (GsEngine *engine, uint64_t number, json_t *answer)
{
  const GsSettings *settings = gs_engine_settings (engine);
  g_autofree char *ticket = make_ticket (engine, number);
  GsMemberInfo self = { .ipv4 = settings->address, .entry_port = (uint16_t)settings->entry_port };

  g_strlcpy (self.id, settings->instance, sizeof self.id);
  g_strlcpy (self.failure_domain, settings->failure_domain, sizeof self.failure_domain);
  json_object_set_new (answer, "ticket", json_string (ticket));
  json_object_set_new (answer, "ticket_entry", member_json (&self));
}

static void
answer_locally (GsAddressLookup *lookup)
{
  const GsAddressLookupEffect *entries = &lookup->entries;
  json_t *list = json_array ();
  json_t *answer;
  char *text;

  for (uint32_t i = 0; i < entries->n_members; i++)
    json_array_append_new (list, member_json (&entries->members[i]));
  answer = json_pack ("{s:o, s:I}", "entries", list, "life_ms",
                      (json_int_t)(entries->ttl_us / GS_US_PER_MS));
  if (entries->ticket != 0)
    add_ticket (lookup->options.engine, entries->ticket, answer);
  text = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  finish_lookup (lookup, text, strlen (text));
  free (text);
}

static void query_home (GsAddressLookup *lookup);

/* Delivers the home's answer. Without one, queries the next home, or issues the ticket here when
 * there is none left. */
static void
on_home_answer (void *data)
{
  GsAddressLookup *lookup = data;
  size_t length;
  const void *body = gs_exchange_body (lookup->exchange, &length);

  if (gs_exchange_state (lookup->exchange) == GS_EXCHANGE_COMPLETE
      && gs_exchange_status (lookup->exchange) == 200)
    {
      finish_lookup (lookup, body, length);
      return;
    }
  g_clear_pointer (&lookup->exchange, gs_exchange_free);
  if (lookup->next_home < lookup->entries.n_members)
    {
      query_home (lookup);
      return;
    }
  lookup->event.answer_here = true;
  gs_engine_look_up_addresses (lookup->options.engine, lookup->event, &lookup->entries);
  answer_locally (lookup);
}

/* Forwards the lookup to the next home, which can issue a ticket. */
static void
query_home (GsAddressLookup *lookup)
{
  static const GsExchangeClass class = { .done = on_home_answer };
  static uint64_t n_queries;
  g_autoptr (GPtrArray) headers = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *echo = g_strdup_printf ("lookup-%" G_GUINT64_FORMAT, ++n_queries);
  const GsMemberInfo *home = &lookup->entries.members[lookup->next_home++];
  GsExchangeOptions options = { .ipv4 = home->ipv4,
                                .port = home->entry_port,
                                .method = "GET",
                                .target = lookup->target,
                                .headers = headers,
                                .timeout_us = GS_US_PER_S,
                                .echo_header = gs_header_names_default.attempt,
                                .echo = echo,
                                .class = &class,
                                .data = lookup };

  g_ptr_array_add (headers, g_strdup_printf ("%s: %s", options.echo_header, echo));
  lookup->exchange = gs_exchange_new (lookup->options.client, &options);
  gs_exchange_start (lookup->exchange);
}

GsAddressLookup *
gs_address_lookup_start (const GsAddressLookupOptions *options)
{
  GsAddressLookup *lookup = g_new0 (GsAddressLookup, 1);

  gs_counter_add (GS_COUNTER_ENTRIES, 1);
  lookup->options = *options;
  lookup->host = g_strdup (options->host);
  lookup->path = g_strdup (options->path != NULL ? options->path : "/");
  lookup->target = g_strconcat (options->target, "&asked=1", NULL);
  lookup->event = (GsAddressLookupEvent){ .host = lookup->host, .path = lookup->path };
  if (!gs_engine_look_up_addresses (options->engine, lookup->event, &lookup->entries))
    {
      finish_lookup (lookup, NULL, 0);
      return NULL;
    }
  if (lookup->entries.query_home && !options->forwarded && lookup->entries.n_members > 0)
    {
      query_home (lookup);
      return lookup;
    }
  if (lookup->entries.query_home)
    {
      lookup->event.answer_here = true;
      gs_engine_look_up_addresses (options->engine, lookup->event, &lookup->entries);
    }
  answer_locally (lookup);
  return NULL;
}

void
gs_address_lookup_cancel (GsAddressLookup *lookup)
{
  if (lookup != NULL)
    free_lookup (lookup);
}
