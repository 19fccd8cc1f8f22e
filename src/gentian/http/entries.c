#include "entries.h"

#include <jansson.h>
#include <string.h>

#include "../log/counter.h"
#include "exchange.h"

/* Ticket: INSTANCE.INCARNATION.NUMBER.SIGNATURE, all numbers in hex. */
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
gs_ticket_parse (GsEngine *engine, const char *ticket, GsRight *right)
{
  g_auto (GStrv) parts = g_strsplit (ticket, "/", 5);
  g_autofree char *text = NULL;

  if (strlen (ticket) >= GS_TICKET_TEXT_MAX || g_strv_length (parts) != 4
      || strlen (parts[0]) > GS_NAME_MAX)
    return false;
  text = g_strdup_printf ("%s/%s/%s", parts[0], parts[1], parts[2]);
  if (!gs_signed (gs_engine_settings (engine)->fleet_key, text, parts[3]))
    return false;
  right->kind = GS_RIGHT_TICKET;
  g_strlcpy (right->issuer, parts[0], sizeof right->issuer);
  right->incarnation = g_ascii_strtoull (parts[1], NULL, 16);
  right->number = g_ascii_strtoull (parts[2], NULL, 16);
  return true;
}

static json_t *
describe_member (const GsMemberFact *member)
{
  g_autofree char *address
      = g_strdup_printf ("%u.%u.%u.%u:%u", member->ipv4 >> 24, (member->ipv4 >> 16) & 255,
                         (member->ipv4 >> 8) & 255, member->ipv4 & 255, member->entry_port);

  return json_pack ("{s:s, s:s, s:s}", "address", address, "instance", member->id, "failure_domain",
                    member->failure_domain);
}

struct GsEntriesQuestion
{
  GsEntriesOptions options;
  GsEntriesEvent event;
  GsEntriesEffect entries;
  char *host;
  char *path;
  char *target;
  uint32_t next_home; /* of entries.members */
  GsExchange *exchange;
};

static void
free_question (GsEntriesQuestion *question)
{
  gs_exchange_free (question->exchange);
  g_free (question->host);
  g_free (question->path);
  g_free (question->target);
  g_free (question);
}

/* Hands the answer over and ends the question. */
static void
finish (GsEntriesQuestion *question, const char *body, size_t length)
{
  GsEntriesAnswer answer = { .body = body, .length = length };

  question->options.done (&answer, question->options.data);
  free_question (question);
}

static void
add_ticket (GsEngine *engine, uint64_t number, json_t *answer)
{
  const GsSettings *settings = gs_engine_settings (engine);
  g_autofree char *ticket = make_ticket (engine, number);
  GsMemberFact self = { .ipv4 = settings->address, .entry_port = (uint16_t)settings->entry_port };

  g_strlcpy (self.id, settings->instance, sizeof self.id);
  g_strlcpy (self.failure_domain, settings->failure_domain, sizeof self.failure_domain);
  json_object_set_new (answer, "ticket", json_string (ticket));
  json_object_set_new (answer, "ticket_entry", describe_member (&self));
}

static void
answer_here (GsEntriesQuestion *question)
{
  const GsEntriesEffect *entries = &question->entries;
  json_t *list = json_array ();
  json_t *answer;
  char *text;

  for (uint32_t i = 0; i < entries->n_members; i++)
    json_array_append_new (list, describe_member (&entries->members[i]));
  answer = json_pack ("{s:o, s:I}", "entries", list, "life_ms",
                      (json_int_t)(entries->life_us / GS_US_PER_MS));
  if (entries->ticket != 0)
    add_ticket (question->options.engine, entries->ticket, answer);
  text = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  finish (question, text, strlen (text));
  free (text);
}

static void ask_home (GsEntriesQuestion *question);

/* A home that does not answer is passed over; without one this daemon issues the ticket. */
static void
home_answered (void *data)
{
  GsEntriesQuestion *question = data;
  size_t length;
  const void *body = gs_exchange_body (question->exchange, &length);

  if (gs_exchange_state (question->exchange) == GS_EXCHANGE_WHOLE
      && gs_exchange_status (question->exchange) == 200)
    {
      finish (question, body, length);
      return;
    }
  g_clear_pointer (&question->exchange, gs_exchange_free);
  if (question->next_home < question->entries.n_members)
    {
      ask_home (question);
      return;
    }
  question->event.answer_here = true;
  gs_engine_ask_entries (question->options.engine, question->event, &question->entries);
  answer_here (question);
}

/* Puts the question to the next home, which can issue a ticket. */
static void
ask_home (GsEntriesQuestion *question)
{
  static const GsExchangeClass class = { .done = home_answered };
  g_autoptr (GPtrArray) headers = g_ptr_array_new ();
  const GsMemberFact *home = &question->entries.members[question->next_home++];
  GsExchangeOptions options = { .ipv4 = home->ipv4,
                                .port = home->entry_port,
                                .method = "GET",
                                .target = question->target,
                                .headers = headers,
                                .timeout_us = GS_US_PER_S,
                                .class = &class,
                                .data = question };

  question->exchange = gs_exchange_new (question->options.client, &options);
  gs_exchange_start (question->exchange);
}

GsEntriesQuestion *
gs_entries_ask (const GsEntriesOptions *options)
{
  GsEntriesQuestion *question = g_new0 (GsEntriesQuestion, 1);

  gs_counter_add (GS_COUNTER_ENTRIES, 1);
  question->options = *options;
  question->host = g_strdup (options->host);
  question->path = g_strdup (options->path != NULL ? options->path : "/");
  question->target = g_strconcat (options->target, "&asked=1", NULL);
  question->event = (GsEntriesEvent){ .host = question->host, .path = question->path };
  if (!gs_engine_ask_entries (options->engine, question->event, &question->entries))
    {
      finish (question, NULL, 0);
      return NULL;
    }
  if (question->entries.ask_home && !options->asked && question->entries.n_members > 0)
    {
      ask_home (question);
      return question;
    }
  if (question->entries.ask_home)
    {
      question->event.answer_here = true;
      gs_engine_ask_entries (options->engine, question->event, &question->entries);
    }
  answer_here (question);
  return NULL;
}

void
gs_entries_cancel (GsEntriesQuestion *question)
{
  if (question != NULL)
    free_question (question);
}
