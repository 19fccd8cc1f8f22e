#include "engine.h"

#include <malloc.h>
#include <sodium.h>
#include <string.h>

#include "../config/tables.h"
#include "../log/counter.h"
#include "../log/log.h"
#include "../peer/transport.h"
#include "../peer/effect_message.h"
#include "../peer/wire.h"
#include "../store/record.h"
#include "peer_domains.h"
#include "tables_decoder.h"

enum
{
  /* Workspaces of a snapshot in one event; requests are served between two of its events. */
  ENGINE_SNAPSHOT_EVENT_ENTRIES = 256,
};

/** After a snapshot of more workspaces, free memory is returned to the system at once. */
#define ENGINE_TRIM_ENTRIES 1000

typedef struct
{
  GsEffectHandler handle;
  void *data;
} RequestHandler;

struct GsEngine
{
  const GsSettings *settings;
  GsDescriptors descriptors;
  struct ev_loop *loop;
  GThread *loop_thread;
  GMutex lock; /* protects the core, its effects, the handlers and the deliveries */
  GsCore *core;
  GsEffects *effects;
  GHashTable *handlers; /* request -> RequestHandler */
  GQueue deliveries;    /* of GsEffect, not yet passed to a handler */
  ev_async wakeup;      /* sent when there are deliveries, or when the next tick is due earlier */
  ev_timer tick;
  int64_t last_tick_us;
  int64_t next_tick_us;
  GsTransport *transport;
  GsPeerDomains *peer_domains;
  GsDropConnectionsHandler drop_connections;
  void *drop_connections_data;
  GAsyncQueue *claims; /* of GsClaimRecord, to append */
  GsTablesParser parse_tables;
  GsTablesDecoder *tables_decoder; /* of large tables of the platform's store; NULL: no store */
  uint64_t next_request;
  uint64_t incarnation;
  gint stopping;
  gint submissions; /* in progress */
};

void
gs_sign (const char *key, const char *text, char *out)
{
  uint8_t key_bytes[GS_SETTINGS_KEY_BYTES] = { 0 };
  uint8_t mac[GS_SIGNATURE_BYTES];
  size_t length = 0;

  sodium_hex2bin (key_bytes, sizeof key_bytes, key, strlen (key), NULL, &length, NULL);
  crypto_generichash (mac, sizeof mac, (const unsigned char *)text, strlen (text), key_bytes,
                      sizeof key_bytes);
  sodium_bin2hex (out, GS_SIGNATURE_HEX + 1, mac, sizeof mac);
}

bool
gs_verify_signature (const char *key, const char *text, const char *signature)
{
  char expected[GS_SIGNATURE_HEX + 1];

  if (*key == '\0' || strlen (signature) != GS_SIGNATURE_HEX)
    return false;
  gs_sign (key, text, expected);
  return sodium_memcmp (expected, signature, GS_SIGNATURE_HEX) == 0;
}

static uint64_t
request_of_effect (const GsEffect *effect)
{
  switch (effect->kind)
    {
    case GS_EFFECT_ATTEMPT:
      return effect->attempt.request;
    case GS_EFFECT_ANSWER:
    case GS_EFFECT_CACHED_ANSWER:
      return effect->answer.request;
    case GS_EFFECT_REJECT:
      return effect->reject.request;
    case GS_EFFECT_ADDRESS_LOOKUP_ANSWER:
      return effect->address_lookup.request;
    default:
      return 0;
    }
}

/* Whether MESSAGE may be lost, as it is sent again while it has no effect. A connection may be dead
 * without a sign, and would then swallow each repetition for seconds. */
static bool
is_repeated (const GsWireMessage *message)
{
  return message->kind == GS_WIRE_MEMBER_MESSAGE || message->kind == GS_WIRE_TABLES_PULL
         || message->kind == GS_WIRE_REGISTRY_PULL;
}

static void
send_message (GsEngine *engine, const GsPeerAddress *to, const GsWireMessage *message)
{
  GsTransportMode mode
      = is_repeated (message) ? GS_TRANSPORT_PREFER_DATAGRAM : GS_TRANSPORT_CONNECTION;

  gs_transport_send (engine->transport, to, mode, gs_wire_encode (message));
}

static GsPeerAddress
own_address (const GsEngine *engine)
{
  return (GsPeerAddress){ .ipv4 = engine->settings->address,
                          .peer_port = (uint16_t)engine->settings->peer_port };
}

static void
send_registry_update (GsEngine *engine, const GsEffect *effect)
{
  GsWireMessage message = { .kind = GS_WIRE_REGISTRY_UPDATE,
                            .registry_update = effect->registry_update.update,
                            .reply_to = own_address (engine) };
  g_autoptr (GBytes) bytes = gs_wire_encode (&message);

  for (uint32_t i = 0; i < effect->registry_update.n_recipients; i++)
    gs_transport_send (engine->transport, &effect->registry_update.recipients[i],
                       GS_TRANSPORT_CONNECTION, g_bytes_ref (bytes));
}

static void
broadcast_report (GsEngine *engine, const GsEffect *effect)
{
  GsWireMessage message
      = { .kind = GS_WIRE_UPSTREAM_REPORT, .upstream_report = effect->report_broadcast.report };
  g_autoptr (GBytes) bytes = gs_wire_encode (&message);

  for (uint32_t i = 0; i < effect->report_broadcast.n_recipients; i++)
    gs_transport_send (engine->transport, &effect->report_broadcast.recipients[i],
                       GS_TRANSPORT_CONNECTION, g_bytes_ref (bytes));
}

/* Sends a message of the schedulers. The result of an attempt frees the slot at the home that
 * granted it, and must not be lost. */
static void
send_scheduling_message (GsEngine *engine, const GsEffect *effect)
{
  GsPeerAddress self = own_address (engine);
  GsTransportMode mode = effect->kind == GS_EFFECT_SLOT_RESULT && !effect->slot_result.duplicate
                             ? GS_TRANSPORT_CONNECTION
                             : GS_TRANSPORT_PREFER_DATAGRAM;
  GsWireMessage message;

  if (!gs_effect_to_message (effect, &self, g_get_monotonic_time (), &message))
    return;
  if (effect->kind == GS_EFFECT_SLOT_REPLY && effect->slot_reply.verdict == GS_SLOT_REDIRECTED)
    gs_counter_add (GS_COUNTER_SLOT_REDIRECTS, 1);
  gs_transport_send (engine->transport, &effect->to, mode, gs_wire_encode (&message));
}

static void
count_access_refusal (const GsAccessRefusedEffect *refusal)
{
  if (refusal->revoked)
    gs_counter_add (GS_COUNTER_KEYS_REVOKED, 1);
  else if (refusal->stale)
    gs_counter_add (GS_COUNTER_KEYS_UNDECIDED, 1);
  else
    gs_counter_add (GS_COUNTER_KEYS_REFUSED, 1);
}

static void
count_quotas (const GsQuotaCounts *counts)
{
  gs_counter_add (GS_COUNTER_QUOTA_ADMITTED, counts->admitted);
  gs_counter_add (GS_COUNTER_QUOTA_REFUSED, counts->refused);
  gs_counter_add (GS_COUNTER_QUOTA_WAITED, counts->waited);
  gs_counter_add (GS_COUNTER_QUOTA_REPORTS, counts->reports);
  gs_counter_add (GS_COUNTER_QUOTA_DEGRADED, counts->degraded);
}

/* RETURN VALUE: whether EFFECT is only to be counted. */
static bool
count_effect (const GsEffect *effect)
{
  switch (effect->kind)
    {
    case GS_EFFECT_REQUEST_HELD_BACK:
      gs_counter_add (GS_COUNTER_HELD_BACK, 1);
      return true;
    case GS_EFFECT_ACCESS_REFUSED:
      count_access_refusal (&effect->access_refused);
      return true;
    case GS_EFFECT_QUOTA_COUNTS:
      count_quotas (&effect->quota_counts);
      return true;
    case GS_EFFECT_EDIT_RESULT:
      if (effect->edit_result.result == GS_EDIT_ACCEPTED)
        gs_counter_add (GS_COUNTER_EDITS_ACCEPTED, 1);
      return true;
    case GS_EFFECT_COST_REPORT:
      gs_counter_add (GS_COUNTER_COST_RESULTS, effect->cost_report.results);
      gs_counter_add (GS_COUNTER_COST_ESTIMATED_US, effect->cost_report.estimated_us);
      gs_counter_add (GS_COUNTER_COST_MEASURED_US, effect->cost_report.measured_us);
      gs_counter_add (GS_COUNTER_COST_ERROR_US, effect->cost_report.error_us);
      return true;
    default:
      return false;
    }
}

static void
execute (GsEngine *engine, const GsEffect *effect)
{
  GsWireMessage message = { 0 };

  if (count_effect (effect))
    return;
  switch (effect->kind)
    {
    case GS_EFFECT_MEMBER_MESSAGE:
      message.kind = GS_WIRE_MEMBER_MESSAGE;
      message.member_message = effect->member_message;
      send_message (engine, &effect->to, &message);
      break;
    case GS_EFFECT_EVIDENCE:
      message.kind = GS_WIRE_EVIDENCE;
      message.evidence = effect->evidence;
      send_message (engine, &effect->to, &message);
      break;
    case GS_EFFECT_CRASH_UPDATE:
      message.kind = GS_WIRE_CRASH_UPDATE;
      message.crash_update = effect->crash_update;
      send_message (engine, &effect->to, &message);
      break;
    case GS_EFFECT_UPSTREAM_REPORT:
      message.kind = GS_WIRE_UPSTREAM_REPORT;
      message.upstream_report = effect->upstream_report;
      send_message (engine, &effect->to, &message);
      break;
    case GS_EFFECT_REPORT_BROADCAST:
      broadcast_report (engine, effect);
      break;
    case GS_EFFECT_REGISTRY_UPDATE:
      send_registry_update (engine, effect);
      break;
    case GS_EFFECT_PULL_REGISTRY:
      gs_engine_pull_registry (engine, &effect->to);
      break;
    case GS_EFFECT_PULL_TABLES:
      gs_engine_pull_tables_snapshot (engine, &effect->to, 0);
      break;
    case GS_EFFECT_SLOT_REQUEST:
    case GS_EFFECT_SLOT_REPLY:
    case GS_EFFECT_SLOT_RESULT:
    case GS_EFFECT_RETRY_ACCOUNT:
    case GS_EFFECT_SLICE_SUMMARY:
    case GS_EFFECT_QUOTA_REPORT:
    case GS_EFFECT_QUOTA_REPLY:
      send_scheduling_message (engine, effect);
      break;
    case GS_EFFECT_APPEND_CLAIM:
      gs_engine_queue_claim (engine, &effect->claim);
      break;
    case GS_EFFECT_DROP_CONNECTIONS:
      if (engine->drop_connections != NULL)
        engine->drop_connections (effect->drop.ipv4, effect->drop.peer_port,
                                  engine->drop_connections_data);
      break;
    case GS_EFFECT_LOG_EVENT:
      gs_log_fields (effect->log_event.number, effect->log_event.text);
      break;
    default:
      g_queue_push_tail (&engine->deliveries, g_memdup2 (effect, sizeof *effect));
    }
}

static void
reduce (GsEngine *engine, GsEvent *event)
{
  event->now_us = g_get_monotonic_time ();
  gs_core_reduce (engine->core, event, engine->effects);
  for (uint32_t i = 0; i < gs_effects_count (engine->effects); i++)
    execute (engine, gs_effects_get (engine->effects, i));
  gs_effects_clear (engine->effects);
  if (event->kind == GS_EVENT_TICK)
    engine->last_tick_us = event->now_us;
}

/* Starts the timer for the next tick, whose interval begins at the last one. */
static void
arm_tick (GsEngine *engine)
{
  int64_t now_us = g_get_monotonic_time ();

  engine->next_tick_us = engine->last_tick_us + gs_core_next_tick_us (engine->core);
  ev_timer_stop (engine->loop, &engine->tick);
  ev_timer_set (&engine->tick, (double)MAX (engine->next_tick_us - now_us, 0) / G_USEC_PER_SEC, 0.);
  ev_timer_start (engine->loop, &engine->tick);
}

void
gs_engine_post (GsEngine *engine, GsEvent *event)
{
  bool on_loop = g_thread_self () == engine->loop_thread;
  bool rearm;
  bool wake;

  g_mutex_lock (&engine->lock);
  reduce (engine, event);
  rearm = event->kind == GS_EVENT_TICK
          || event->now_us + gs_core_next_tick_us (engine->core) < engine->next_tick_us;
  if (rearm && on_loop)
    arm_tick (engine);
  wake = !g_queue_is_empty (&engine->deliveries) || (rearm && !on_loop);
  g_mutex_unlock (&engine->lock);
  if (wake && on_loop)
    ev_feed_event (engine->loop, &engine->wakeup, EV_ASYNC);
  else if (wake)
    ev_async_send (engine->loop, &engine->wakeup);
}

static bool
next_delivery (GsEngine *engine, GsEffect **effect, RequestHandler *handler)
{
  const RequestHandler *found;
  uint64_t request;

  g_mutex_lock (&engine->lock);
  *effect = g_queue_pop_head (&engine->deliveries);
  request = *effect != NULL ? request_of_effect (*effect) : 0;
  found = g_hash_table_lookup (engine->handlers, &request);
  *handler = found != NULL ? *found : (RequestHandler){ 0 };
  g_mutex_unlock (&engine->lock);
  return *effect != NULL;
}

static void
on_wakeup (struct ev_loop *loop, ev_async *watcher, int events)
{
  GsEngine *engine = watcher->data;
  GsEffect *effect;
  RequestHandler handler;

  (void)loop;
  (void)events;
  while (next_delivery (engine, &effect, &handler))
    {
      if (handler.handle != NULL)
        handler.handle (effect, handler.data);
      g_free (effect);
    }
  g_mutex_lock (&engine->lock);
  if (engine->last_tick_us + gs_core_next_tick_us (engine->core) < engine->next_tick_us)
    arm_tick (engine);
  g_mutex_unlock (&engine->lock);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  GsEvent event = { .kind = GS_EVENT_TICK };

  (void)loop;
  (void)events;
  gs_engine_post (watcher->data, &event);
}

uint64_t
gs_engine_open_request (GsEngine *engine, GsEffectHandler handler, void *data)
{
  RequestHandler *entry = g_new (RequestHandler, 1);
  uint64_t request;

  *entry = (RequestHandler){ .handle = handler, .data = data };
  g_mutex_lock (&engine->lock);
  request = ++engine->next_request;
  g_hash_table_insert (engine->handlers, g_memdup2 (&request, sizeof request), entry);
  g_mutex_unlock (&engine->lock);
  return request;
}

void
gs_engine_close_request (GsEngine *engine, uint64_t request)
{
  g_mutex_lock (&engine->lock);
  g_hash_table_remove (engine->handlers, &request);
  g_mutex_unlock (&engine->lock);
}

bool
gs_engine_look_up_addresses (GsEngine *engine,
                             GsAddressLookupEvent lookup,
                             GsAddressLookupEffect *result)
{
  GsEvent event = { .kind = GS_EVENT_ADDRESS_LOOKUP, .address_lookup = lookup };
  GsEffect *last;
  bool answered = false;

  g_mutex_lock (&engine->lock);
  event.address_lookup.request = ++engine->next_request;
  reduce (engine, &event);
  last = g_queue_peek_tail (&engine->deliveries);
  if (last != NULL && last->kind == GS_EFFECT_ADDRESS_LOOKUP_ANSWER
      && last->address_lookup.request == event.address_lookup.request)
    {
      *result = last->address_lookup;
      answered = !last->address_lookup.unavailable;
      g_free (g_queue_pop_tail (&engine->deliveries));
    }
  g_mutex_unlock (&engine->lock);
  return answered;
}

void
gs_engine_set_drop_connections_handler (GsEngine *engine,
                                        GsDropConnectionsHandler handler,
                                        void *data)
{
  g_mutex_lock (&engine->lock);
  engine->drop_connections = handler;
  engine->drop_connections_data = data;
  g_mutex_unlock (&engine->lock);
}

const GsCore *
gs_engine_lock (GsEngine *engine)
{
  g_mutex_lock (&engine->lock);
  return engine->core;
}

GsClaimPartitions
gs_engine_claim_partitions (GsEngine *engine)
{
  GsClaimPartitions partitions;

  g_mutex_lock (&engine->lock);
  partitions = gs_core_claim_partitions (engine->core);
  g_mutex_unlock (&engine->lock);
  return partitions;
}

void
gs_engine_unlock (GsEngine *engine)
{
  g_mutex_unlock (&engine->lock);
}

void
gs_engine_pull_tables_snapshot (GsEngine *engine, const GsPeerAddress *to, uint64_t from)
{
  GsWireMessage message
      = { .kind = GS_WIRE_TABLES_PULL, .from_position = from, .reply_to = own_address (engine) };

  send_message (engine, to, &message);
}

bool
gs_engine_is_repeatable (GsEngine *engine, const char *host, const char *path)
{
  const GsRoute *route;
  bool repeatable;

  g_mutex_lock (&engine->lock);
  route = gs_table_match (gs_core_table (engine->core), host, path);
  repeatable = route != NULL && route->repeat == GS_REPEAT_SAFE;
  g_mutex_unlock (&engine->lock);
  return repeatable;
}

GsCallerLimits
gs_engine_caller_limits (GsEngine *engine)
{
  GsCallerLimits limits = { 0 };

  if (!gs_settings_uses_store (engine->settings))
    return limits;
  g_mutex_lock (&engine->lock);
  limits = gs_core_caller_limits (engine->core, GS_ENGINE_STORE_WORKSPACE);
  g_mutex_unlock (&engine->lock);
  return limits;
}

void
gs_engine_pull_registry (GsEngine *engine, const GsPeerAddress *to)
{
  GsWireMessage message = { .kind = GS_WIRE_REGISTRY_PULL, .reply_to = own_address (engine) };

  send_message (engine, to, &message);
}

void
gs_engine_push_tables_snapshot (GsEngine *engine)
{
  GsWireMessage message = { .kind = GS_WIRE_TABLES_SNAPSHOT };
  g_autoptr (GBytes) bytes = NULL;
  const GsCore *core = gs_engine_lock (engine);
  const GsMembers *members = gs_core_members (core);
  uint32_t relays[GS_MEMBER_RELAYS];
  uint32_t n_relays = gs_members_relays (members, relays);

  message.tables_snapshot = gs_tables_snapshot_encode (gs_core_config_log (core), 0);
  bytes = gs_wire_encode (&message);
  for (uint32_t i = 0; i < n_relays; i++)
    {
      const GsMemberInfo *member = gs_members_get (members, relays[i]);
      GsPeerAddress to = { .ipv4 = member->ipv4, .peer_port = member->peer_port };
      gs_transport_send (engine->transport, &to, GS_TRANSPORT_CONNECTION, g_bytes_ref (bytes));
    }
  gs_engine_unlock (engine);
  gs_wire_clear (&message);
}

static void
answer_registry_pull (GsEngine *engine, const GsPeerAddress *to)
{
  GsWireMessage message = { .kind = GS_WIRE_REGISTRY_UPDATE, .reply_to = own_address (engine) };
  const GsCore *core = gs_engine_lock (engine);
  const GsRegistry *registry = gs_core_registry (core);

  message.registry_update.to = gs_registry_position (registry);
  message.registry_update.era = gs_registry_era (registry);
  message.registry_update.complete = true;
  message.registry_update.store.available_us = INT64_MAX;
  message.registry_update.changes = gs_registry_dump (registry, &message.registry_update.n_changes);
  gs_engine_unlock (engine);
  if (message.registry_update.to > 0)
    send_message (engine, to, &message);
  gs_wire_clear (&message);
}

static void
answer_tables_pull (GsEngine *engine, const GsWireMessage *pull)
{
  GsWireMessage message = { .kind = GS_WIRE_TABLES_SNAPSHOT };
  const GsCore *core = gs_engine_lock (engine);
  const GsConfigLog *config_log = gs_core_config_log (core);

  if (gs_config_log_is_complete (config_log)
      && gs_config_log_position (config_log) > pull->from_position)
    message.tables_snapshot = gs_tables_snapshot_encode (config_log, pull->from_position);
  gs_engine_unlock (engine);
  if (message.tables_snapshot != NULL)
    send_message (engine, &pull->reply_to, &message);
  gs_wire_clear (&message);
}

/* Posts COUNT entries of SNAPSHOT from FIRST on; the event with the last entry completes it. Takes
 * ownership of their DOCUMENTS. REFUSAL: why the first entry without one was refused. */
static void
post_snapshot_entries (GsEngine *engine,
                       const GsTablesSnapshot *snapshot,
                       GsDocument **documents,
                       const GError *refusal,
                       uint32_t first,
                       uint32_t count)
{
  GsEvent event = { .kind = GS_EVENT_TABLES_SNAPSHOT,
                    .tables_snapshot = { .from = snapshot->from,
                                         .position = snapshot->position,
                                         .entries = snapshot->entries + first,
                                         .documents = documents,
                                         .refusal = refusal != NULL ? refusal->message : NULL,
                                         .n_entries = count,
                                         .last = first + count == snapshot->n_entries } };

  for (uint32_t i = 0; i < count; i++)
    gs_counter_add (GS_COUNTER_TABLES_COPIES_REFUSED, documents[i] == NULL ? 1 : 0);
  gs_engine_post (engine, &event);
}

static void
parse_and_post_entries (GsEngine *engine,
                        const GsTablesSnapshot *snapshot,
                        uint32_t first,
                        uint32_t count)
{
  GsDocument *documents[ENGINE_SNAPSHOT_EVENT_ENTRIES];
  g_autoptr (GError) refusal = NULL;

  for (uint32_t i = 0; i < count; i++)
    documents[i]
        = gs_tables_decode_entry (engine->parse_tables, &snapshot->entries[first + i], &refusal);
  post_snapshot_entries (engine, snapshot, documents, refusal, first, count);
}

/* Parses and posts SNAPSHOT, and takes ownership of its contents. */
static void
apply_snapshot (GsEngine *engine, GsTablesSnapshot *snapshot)
{
  uint32_t n_entries = snapshot->n_entries;

  for (uint32_t first = 0; first < n_entries || first == 0; first += ENGINE_SNAPSHOT_EVENT_ENTRIES)
    parse_and_post_entries (engine, snapshot, first,
                            MIN (n_entries - first, ENGINE_SNAPSHOT_EVENT_ENTRIES));
  gs_tables_snapshot_clear (snapshot);
  if (n_entries > ENGINE_TRIM_ENTRIES)
    malloc_trim (0); /* the memory of a large snapshot is returned to the system */
}

bool
gs_engine_apply_tables_snapshot (GsEngine *engine, const char *bytes, size_t length)
{
  GsTablesSnapshot snapshot;

  if (!gs_tables_snapshot_decode (&snapshot, bytes, length))
    return false;
  apply_snapshot (engine, &snapshot);
  return true;
}

static uint64_t
tables_position (GsEngine *engine)
{
  const GsCore *core = gs_engine_lock (engine);
  uint64_t position = gs_config_log_position (gs_core_config_log (core));

  gs_engine_unlock (engine);
  return position;
}

static void
on_tables_decoded (const GsTablesSnapshot *snapshot,
                   GsDocument **documents,
                   const GError *refusal,
                   void *data)
{
  GsEngine *engine = data;
  uint64_t position = tables_position (engine);

  post_snapshot_entries (engine, snapshot, documents, refusal, 0, snapshot->n_entries);
  if (tables_position (engine) > position)
    gs_engine_push_tables_snapshot (engine);
}

/* Applies a snapshot of the platform's tables that a peer has sent, and passes it on if it is
 * newer. RETURN VALUE: false when it is malformed. */
static bool
receive_store_tables (GsEngine *engine, const char *bytes, size_t length)
{
  uint64_t position = tables_position (engine);
  GsTablesSnapshot snapshot;

  if (!gs_tables_snapshot_decode (&snapshot, bytes, length))
    return false;
  if (gs_tables_decoder_is_large (&snapshot))
    {
      if (snapshot.position > position)
        gs_tables_decoder_start (engine->tables_decoder, &snapshot);
      gs_tables_snapshot_clear (&snapshot);
      return true;
    }
  apply_snapshot (engine, &snapshot);
  if (tables_position (engine) > position)
    gs_engine_push_tables_snapshot (engine);
  return true;
}

static void
handle_message (GsEngine *engine, GsWireMessage *message)
{
  GsEvent event = { 0 };
  gsize length;
  const char *bytes;

  switch (message->kind)
    {
    case GS_WIRE_TABLES_PULL:
      answer_tables_pull (engine, message);
      return;
    case GS_WIRE_TABLES_SNAPSHOT:
      bytes = g_bytes_get_data (message->tables_snapshot, &length);
      /* Without a metadata store the log consumers distribute the tables, and a snapshot is only
       * the answer to a pull. */
      if (engine->tables_decoder != NULL ? !receive_store_tables (engine, bytes, length)
                                         : !gs_engine_apply_tables_snapshot (engine, bytes, length))
        gs_log (GS_LOG_EVENT_PEER_MESSAGE_REFUSED, "kind=copy bytes=%zu", length);
      return;
    case GS_WIRE_REGISTRY_PULL:
      answer_registry_pull (engine, &message->reply_to);
      return;
    default:
      if (gs_message_to_event (message, g_get_monotonic_time (), &event))
        gs_engine_post (engine, &event);
    }
}

static void
on_peer_message (const char *bytes, size_t length, void *data)
{
  GsWireMessage message;

  if (!gs_wire_decode (&message, bytes, length))
    {
      gs_counter_add (GS_COUNTER_PEER_REFUSED, 1);
      gs_log (GS_LOG_EVENT_PEER_MESSAGE_REFUSED, "kind=unknown bytes=%zu", length);
      return;
    }
  handle_message (data, &message);
  gs_wire_clear (&message);
}

static void
on_peer_message_sent (const GsPeerAddress *to, const char *bytes, size_t length, void *data)
{
  gs_peer_domains_count (((GsEngine *)data)->peer_domains, to, bytes, length);
}

static void
create_core (GsEngine *engine)
{
  const GsSettings *settings = engine->settings;
  GsCoreOptions options
      = { .log_level = (GsLogLevel)settings->log_level,
          .seed = engine->incarnation,
          .slice_upstreams = settings->slice_upstreams,
          .address_lookup_ttl_us = settings->entries_life_ms * GS_US_PER_MS,
          .tables_from_store = gs_settings_uses_store (settings),
          .placement = (GsPlacement)settings->placement,
          .upstream_held_bytes = settings->upstream_held_bytes,
          .retry_budget = { .share_ppm = settings->repeat_share_ppm,
                            .slack = settings->repeat_slack,
                            .window_us = settings->repeat_window_ms * GS_US_PER_MS },
          .quota = { .window_us = settings->quota_window_ms * GS_US_PER_MS,
                     .overshoot_ppm = settings->quota_overshoot_ppm,
                     .slack = settings->quota_slack },
          .first_start = settings->first_start,
          .self = { .ipv4 = settings->address,
                    .entry_port = (uint16_t)settings->entry_port,
                    .peer_port = (uint16_t)settings->peer_port,
                    .incarnation = engine->incarnation,
                    .millicores = (uint16_t)(settings->core_share_ppm / 1000) } };

  g_strlcpy (options.self.id, settings->instance, sizeof options.self.id);
  g_strlcpy (options.self.failure_domain, settings->failure_domain,
             sizeof options.self.failure_domain);
  engine->core = gs_core_new (&options);
  engine->effects = gs_effects_new ();
}

void
gs_engine_set_seeds (GsEngine *engine, const GsPeerAddress *seeds, uint32_t n_seeds)
{
  GsEvent event = { .kind = GS_EVENT_SEEDS, .seeds = { .addresses = seeds, .n = n_seeds } };

  gs_engine_post (engine, &event);
}

static void
join_seeds (GsEngine *engine)
{
  const GsSettings *settings = engine->settings;

  gs_engine_set_seeds (engine, settings->seeds, settings->n_seeds);
  for (uint32_t i = 0; i < settings->n_seeds && gs_settings_uses_store (settings); i++)
    {
      gs_engine_pull_tables_snapshot (engine, &settings->seeds[i], 0);
      gs_engine_pull_registry (engine, &settings->seeds[i]);
    }
}

GsEngine *
gs_engine_new (const GsEngineOptions *options, GError **error)
{
  const GsSettings *settings = options->settings;
  GsEngine *engine = g_new0 (GsEngine, 1);
  GsTransportOptions transport_options = { .loop = options->loop,
                                           .ipv4 = settings->address,
                                           .port = (uint16_t)settings->peer_port,
                                           .public_key = settings->peer_public_key,
                                           .secret_key = settings->peer_secret_key,
                                           .message_handler = on_peer_message,
                                           .sent_handler = on_peer_message_sent,
                                           .data = engine };

  g_mutex_init (&engine->lock);
  engine->loop = options->loop;
  engine->loop_thread = g_thread_self ();
  engine->settings = settings;
  engine->descriptors = gs_descriptors_divide (gs_descriptors_limit (), settings->max_callers);
  engine->parse_tables = options->parse_tables != NULL ? options->parse_tables : gs_tables_parse;
  engine->incarnation = (uint64_t)g_get_real_time ();
  engine->handlers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_queue_init (&engine->deliveries);
  engine->claims = g_async_queue_new_full (g_free);
  create_core (engine);
  engine->peer_domains = gs_peer_domains_new (engine);
  ev_async_init (&engine->wakeup, on_wakeup);
  ev_timer_init (&engine->tick, on_tick, 0., 0.);
  engine->wakeup.data = engine;
  engine->tick.data = engine;
  ev_async_start (engine->loop, &engine->wakeup);
  if (gs_settings_uses_store (settings))
    engine->tables_decoder
        = gs_tables_decoder_new (&(GsTablesDecoderOptions){ .loop = engine->loop,
                                                            .parse_tables = engine->parse_tables,
                                                            .decoded = on_tables_decoded,
                                                            .data = engine });
  engine->transport = gs_transport_new (&transport_options, error);
  if (engine->transport == NULL)
    {
      gs_engine_free (engine);
      return NULL;
    }
  join_seeds (engine);
  arm_tick (engine);
  return engine;
}

void
gs_engine_free (GsEngine *engine)
{
  ev_timer_stop (engine->loop, &engine->tick);
  ev_async_stop (engine->loop, &engine->wakeup);
  gs_transport_free (engine->transport);
  gs_peer_domains_free (engine->peer_domains);
  gs_tables_decoder_free (engine->tables_decoder);
  gs_core_free (engine->core);
  gs_effects_free (engine->effects);
  g_hash_table_destroy (engine->handlers);
  g_queue_clear_full (&engine->deliveries, g_free);
  g_async_queue_unref (engine->claims);
  g_mutex_clear (&engine->lock);
  g_free (engine);
}

void
gs_engine_stop (GsEngine *engine, int64_t stop_by_us)
{
  GsEvent event = { .kind = GS_EVENT_STOP, .stop_by_us = stop_by_us };

  g_atomic_int_set (&engine->stopping, 1);
  gs_engine_post (engine, &event);
}

bool
gs_engine_stopping (const GsEngine *engine)
{
  return g_atomic_int_get (&engine->stopping) != 0;
}

const GsSettings *
gs_engine_settings (const GsEngine *engine)
{
  return engine->settings;
}

const GsDescriptors *
gs_engine_descriptors (const GsEngine *engine)
{
  return &engine->descriptors;
}

struct ev_loop *
gs_engine_loop (const GsEngine *engine)
{
  return engine->loop;
}

uint64_t
gs_engine_incarnation (const GsEngine *engine)
{
  return engine->incarnation;
}

bool
gs_engine_next_claim (GsEngine *engine, int64_t wait_us, GsClaimRecord *claim)
{
  g_autofree GsClaimRecord *next
      = g_async_queue_timeout_pop (engine->claims, (guint64)MAX (wait_us, 0));

  if (next == NULL)
    return false;
  *claim = *next;
  return true;
}

void
gs_engine_queue_claim (GsEngine *engine, const GsClaimRecord *claim)
{
  g_async_queue_push (engine->claims, g_memdup2 (claim, sizeof *claim));
}

void
gs_engine_add_submissions (GsEngine *engine, int change)
{
  g_atomic_int_add (&engine->submissions, change);
}

bool
gs_engine_must_read_log (const GsEngine *engine)
{
  return g_atomic_int_get (&engine->submissions) > 0;
}
