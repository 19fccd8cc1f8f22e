/* Unit tests of keys: digests, the index of workspaces, and the reducer's checks of requests at
 * arrival, while they wait and before further attempts. */
#include "fixture.h"

#include "../../src/gentian/access/access.h"
#include "../../src/gentian/access/key_digest.h"
#include "../../src/gentian/access/workspace_index.h"

static GsKeyDigest
digest (const char *key)
{
  return gs_key_digest (key, strlen (key));
}

/* Guards against digests that differ between daemons or from those of other BLAKE2b programs. */
START_TEST (digest_is_blake2b_of_16_bytes)
{
  GsKeyDigest found = digest ("8m82thhkmgjqnirth5mg");
  GsKeyDigest parsed;
  char hex[GS_KEY_DIGEST_HEX + 1];

  gs_key_digest_format (&found, hex);
  ck_assert_str_eq (hex, "70bd38d9dff902b67f1054e5c4bc159b");
  ck_assert (gs_key_digest_parse ("70BD38D9DFF902B67F1054E5C4BC159B", &parsed));
  ck_assert_mem_eq (&parsed, &found, sizeof found);
  ck_assert (!gs_key_digest_parse ("70bd38d9dff902b67f1054e5c4bc159", &parsed));
  ck_assert (!gs_key_digest_parse ("70bd38d9dff902b67f1054e5c4bc159g", &parsed));
  ck_assert (!gs_key_digest_parse (NULL, &parsed));
}
END_TEST

START_TEST (only_short_ascii_texts_are_keys)
{
  char bytes[GS_KEY_BYTES_MAX + 1];

  memset (bytes, 'a', sizeof bytes);
  ck_assert (!gs_key_is_valid (bytes, 0));
  ck_assert (gs_key_is_valid (bytes, 1));
  ck_assert (gs_key_is_valid (bytes, GS_KEY_BYTES_MAX));
  ck_assert (!gs_key_is_valid (bytes, GS_KEY_BYTES_MAX + 1));
  bytes[3] = (char)0x80;
  ck_assert (!gs_key_is_valid (bytes, 4));
}
END_TEST

/* Gives DOCUMENT the workspaces of TEXT: "name:priority:key,key name:priority:key ...". */
static void
add_workspaces (GsDocument *document, const char *text)
{
  g_auto (GStrv) rows = g_strsplit (text, " ", -1);

  document->workspaces = g_new0 (GsWorkspaceRow, g_strv_length (rows));
  for (; rows[document->n_workspaces] != NULL; document->n_workspaces++)
    {
      g_auto (GStrv) parts = g_strsplit (rows[document->n_workspaces], ":", 3);
      g_auto (GStrv) keys = g_strsplit (parts[2], ",", -1);
      GsWorkspaceRow *row = &document->workspaces[document->n_workspaces];
      row->name = g_strdup (parts[0]);
      row->hash = gs_hash_name (parts[0]);
      row->priority = (uint8_t)g_ascii_strtoull (parts[1], NULL, 10);
      row->n_keys = g_strv_length (keys);
      row->keys = g_new (GsKeyDigest, row->n_keys);
      for (uint32_t i = 0; i < row->n_keys; i++)
        row->keys[i] = digest (keys[i]);
    }
}

START_TEST (index_finds_keys_and_names_and_reports_conflicts)
{
  static const struct
  {
    const char *rows;
    uint32_t row, other;
    bool same_key;
  } conflicts[] = { { "a:0:k a:0:l", 1, 0, false }, { "a:0:k,l b:0:m c:0:n,l", 2, 0, true } };
  GsDocument *document = gs_document_new ("w", 1);
  GsWorkspaceConflict conflict;
  GsKeyDigest key = digest ("l");

  add_workspaces (document, "a:0:k,l,k b:3:m c:1:");
  ck_assert (gs_document_index_workspaces (document, &conflict));
  ck_assert_ptr_eq (gs_document_workspace_by_key (document, &key), &document->workspaces[0]);
  key = digest ("L");
  ck_assert_ptr_null (gs_document_workspace_by_key (document, &key));
  ck_assert_uint_eq (gs_document_workspace (document, gs_hash_name ("b"))->priority, 3);
  ck_assert_ptr_null (gs_document_workspace (document, gs_hash_name ("d")));
  gs_document_free (document);
  for (size_t i = 0; i < G_N_ELEMENTS (conflicts); i++)
    {
      document = gs_document_new ("w", 1);
      add_workspaces (document, conflicts[i].rows);
      ck_assert (!gs_document_index_workspaces (document, &conflict));
      ck_assert_uint_eq (conflict.row, conflicts[i].row);
      ck_assert_uint_eq (conflict.other, conflicts[i].other);
      ck_assert_int_eq (conflict.same_key, conflicts[i].same_key);
      gs_document_free (document);
    }
}
END_TEST

/* The lookup costs the same with 250,000 workspaces, of two keys each, as with few. */
START_TEST (lookup_takes_constant_time)
{
  enum
  {
    ROWS = 250000,
    LOOKUPS = 1000000
  };
  GsWorkspaceRow *rows = g_new0 (GsWorkspaceRow, ROWS);
  GsKeyDigest *keys = g_new (GsKeyDigest, 2 * ROWS);
  GsWorkspaceConflict conflict;
  GsWorkspaceIndex *index;
  int64_t start_us;
  uint32_t found = 0;

  for (uint32_t i = 0; i < 2 * ROWS; i++)
    keys[i] = gs_key_digest ((const char *)&i, sizeof i);
  for (uint32_t i = 0; i < ROWS; i++)
    rows[i] = (GsWorkspaceRow){ .hash = i + 1, .keys = &keys[2 * i], .n_keys = 2 };
  index = gs_workspace_index_new (rows, ROWS, &conflict);
  start_us = g_get_monotonic_time ();
  for (uint32_t i = 0; i < LOOKUPS; i++)
    found
        += gs_workspace_index_find_key (index, &keys[i % (2 * ROWS)]) == &rows[i % (2 * ROWS) / 2];
  ck_assert_uint_eq (found, LOOKUPS);
  /* A scan of the rows would take over 100 us a lookup; a loaded machine with sanitizers needs less
   * than 1 us. */
  ck_assert_int_lt ((g_get_monotonic_time () - start_us) / (LOOKUPS / 1000), 20 * 1000);
  gs_workspace_index_free (index);
  g_free (keys);
  g_free (rows);
}
END_TEST

/* A reducer with one registered upstream of one slot, and the tables' next revision. */
typedef struct
{
  Fixture base;
  uint64_t revision;
  GsRepeat repeat;
  bool anonymous;
} Access;

/** A workspaces table without rows, as opposed to none. */
#define NO_ROWS "-"

/* Puts tables with ROWS (see add_workspaces; empty: no workspaces table) in force. */
static void
put_tables (Access *access, const char *rows)
{
  GsSnapshotEntry entry = { .workspace = "w", .text = "-", .revision = ++access->revision };
  GsDocument *document = fixture_tables (0, access->repeat);
  GsEvent event = { .kind = GS_EVENT_TABLES_SNAPSHOT,
                    .tables_snapshot = { .position = access->revision,
                                         .entries = &entry,
                                         .documents = &document,
                                         .n_entries = 1,
                                         .last = true } };

  document->pools[0].registered = true;
  document->routes[0].max_attempts = 3;
  document->routes[0].anonymous = access->anonymous;
  document->workspaces_listed = *rows != '\0';
  if (*rows != '\0' && strcmp (rows, NO_ROWS) != 0)
    add_workspaces (document, rows);
  fixture_reduce (&access->base, &event);
}

/* Posts that upstreams u0 to uN-1 of one slot each are registered. */
static void
register_upstreams (Access *access, uint16_t count)
{
  GsRegistryChange changes[4] = { 0 };
  GsEvent event = { .kind = GS_EVENT_REGISTRY_UPDATE,
                    .registry_update.update = { .to = access->revision + 10,
                                                .complete = true,
                                                .read_here = true,
                                                .from_reader = true,
                                                .store = { .available_us = INT64_MAX },
                                                .changes = changes,
                                                .n_changes = count } };

  for (uint16_t i = 0; i < count; i++)
    {
      GsRegistration *row = &changes[i].registration;
      changes[i] = (GsRegistryChange){ .offset = 1, .present = true };
      g_snprintf (row->id, sizeof row->id, "u%u", i);
      g_strlcpy (row->pool, "p", sizeof row->pool);
      row->ipv4 = 9;
      row->port = (uint16_t)(i + 1);
      row->slots = 1;
    }
  fixture_reduce (&access->base, &event);
}

static Access
access_new (GsRepeat repeat, const char *rows, uint16_t upstreams)
{
  GsCoreOptions options
      = { .self = fixture_member ("self", "d0"),
          .seed = 5,
          .tables_from_store = true,
          .retry_budget = { .share_ppm = 1000000, .slack = 20, .window_us = 10 * GS_US_PER_S } };
  Access access = { .base = { .core = gs_core_new (&options),
                              .effects = gs_effects_new (),
                              .now_us = 1000 * GS_US_PER_S },
                    .repeat = repeat };

  put_tables (&access, rows);
  register_upstreams (&access, upstreams);
  return access;
}

/* Sends a request with KEY, or without one if it is NULL. RETURN VALUE: its attempt, or NULL. */
static const GsAttemptEffect *
ask (Access *access, uint64_t id, const char *key)
{
  GsEvent event = {
    .kind = GS_EVENT_REQUEST,
    .request
    = { .request = id, .host = "h", .path = "/x", .fingerprint = id, .has_key = key != NULL }
  };
  const GsEffect *effect;

  if (key != NULL)
    event.request.key = digest (key);
  fixture_reduce (&access->base, &event);
  effect = fixture_find (&access->base, GS_EFFECT_ATTEMPT);
  return effect != NULL ? &effect->attempt : NULL;
}

/* Asserts that the last event refused request ID with STATUS, VERDICT and REASON. */
static void
assert_refused (const Access *access,
                uint64_t id,
                uint16_t status,
                GsVerdict verdict,
                const char *reason)
{
  const GsEffect *effect = fixture_find (&access->base, GS_EFFECT_REJECT);

  ck_assert_ptr_nonnull (effect);
  ck_assert_uint_eq (effect->reject.request, id);
  ck_assert_uint_eq (effect->reject.status, status);
  ck_assert_int_eq (effect->reject.verdict, verdict);
  ck_assert_str_eq (effect->reject.reason, reason);
  ck_assert_ptr_nonnull (fixture_find (&access->base, GS_EFFECT_ACCESS_REFUSED));
}

START_TEST (key_selects_its_workspace)
{
  Access access = access_new (GS_REPEAT_SAFE, "a:2:k,l b:1:m", 4);

  ck_assert_str_eq (ask (&access, 1, "l")->workspace, "a");
  ck_assert_str_eq (ask (&access, 2, "m")->workspace, "b");
  ck_assert_ptr_null (ask (&access, 3, NULL));
  assert_refused (&access, 3, 401, GS_VERDICT_NOT_RUN, "no-key");
  ck_assert_ptr_null (ask (&access, 4, "K"));
  assert_refused (&access, 4, 401, GS_VERDICT_NOT_RUN, "unknown-key");
  access.anonymous = true;
  put_tables (&access, "a:2:k,l b:1:m");
  ck_assert_str_eq (ask (&access, 5, NULL)->workspace, "");
  ck_assert_str_eq (ask (&access, 6, "m")->workspace, "b");
  fixture_free (&access.base);
}
END_TEST

/* Guards the behavior of deployments without workspaces: keys change nothing, revocation neither.
 */
START_TEST (tables_without_workspaces_need_no_key)
{
  Access access = access_new (GS_REPEAT_SAFE, "", 2);

  ck_assert_str_eq (ask (&access, 1, NULL)->workspace, "");
  ck_assert_str_eq (ask (&access, 2, "k")->workspace, "");
  ck_assert_ptr_null (ask (&access, 3, "k")); /* waits */
  put_tables (&access, "");
  ck_assert_ptr_null (fixture_find (&access.base, GS_EFFECT_REJECT));
  fixture_free (&access.base);
}
END_TEST

/* Guards against a gateway that the removal of the last workspace opens to everybody. */
START_TEST (workspaces_without_rows_let_no_key_in)
{
  Access access = access_new (GS_REPEAT_SAFE, "a:0:k", 4);

  ck_assert_ptr_nonnull (ask (&access, 1, "k"));
  put_tables (&access, NO_ROWS);
  ck_assert_ptr_null (ask (&access, 2, "k"));
  assert_refused (&access, 2, 401, GS_VERDICT_NOT_RUN, "unknown-key");
  ck_assert_ptr_null (ask (&access, 3, "never"));
  assert_refused (&access, 3, 401, GS_VERDICT_NOT_RUN, "unknown-key");
  ck_assert_ptr_null (ask (&access, 4, NULL));
  assert_refused (&access, 4, 401, GS_VERDICT_NOT_RUN, "no-key");
  access.anonymous = true;
  put_tables (&access, NO_ROWS);
  ck_assert_str_eq (ask (&access, 5, NULL)->workspace, "");
  ck_assert_str_eq (ask (&access, 6, "k")->workspace, "");
  access.anonymous = false;
  put_tables (&access, "");
  ck_assert_ptr_nonnull (ask (&access, 7, NULL));
  fixture_free (&access.base);
}
END_TEST

/* Guards against requests that wait, or are sent once more, with the last key that was removed. */
START_TEST (removal_of_the_last_workspace_ends_its_requests)
{
  Access access = access_new (GS_REPEAT_SAFE, "a:0:k", 1);
  uint64_t attempt = ask (&access, 1, "k")->attempt;

  ck_assert_ptr_null (ask (&access, 2, "k"));
  put_tables (&access, NO_ROWS);
  assert_refused (&access, 2, 401, GS_VERDICT_NOT_RUN, "key-revoked");
  ck_assert_uint_eq (fixture_end_attempt (&access.base, attempt, GS_OUTCOME_REFUSED), 0);
  assert_refused (&access, 1, 401, GS_VERDICT_NOT_RUN, "key-revoked");
  fixture_free (&access.base);
}
END_TEST

/* Guards against requests that wait with a removed key while the tables have no rows at all. */
START_TEST (removal_of_everything_ends_requests_of_its_workspaces)
{
  Access access = access_new (GS_REPEAT_SAFE, "a:0:k", 1);
  GsSnapshotEntry entry = { .workspace = "w", .text = "-", .revision = ++access.revision };
  GsDocument *document = gs_document_new ("w", access.revision);
  GsEvent event = { .kind = GS_EVENT_TABLES_SNAPSHOT,
                    .tables_snapshot = { .position = access.revision,
                                         .entries = &entry,
                                         .documents = &document,
                                         .n_entries = 1,
                                         .last = true } };

  ck_assert_ptr_nonnull (ask (&access, 1, "k"));
  ck_assert_ptr_null (ask (&access, 2, "k"));
  document->workspaces_listed = true;
  fixture_reduce (&access.base, &event);
  assert_refused (&access, 2, 401, GS_VERDICT_NOT_RUN, "key-revoked");
  fixture_free (&access.base);
}
END_TEST

/* A daemon whose tables have no workspaces table forwards without a workspace. */
START_TEST (forwarded_request_without_workspace_is_undecided_without_rows)
{
  Access access = access_new (GS_REPEAT_SAFE, NO_ROWS, 2);
  GsEvent event = { .kind = GS_EVENT_REQUEST,
                    .request = { .request = 1, .host = "h", .path = "/x", .forwarded = true } };

  fixture_reduce (&access.base, &event);
  assert_refused (&access, 1, 503, GS_VERDICT_NOT_RUN, "tables-stale");
  fixture_free (&access.base);
}
END_TEST

/* A newer version may have the key: callers try another daemon after 503, but never after 401. */
START_TEST (unknown_key_is_not_decided_by_stale_tables)
{
  Access access = access_new (GS_REPEAT_SAFE, "a:0:k", 4);
  GsMemberMessage message
      = { .kind = GS_MEMBER_MESSAGE_ACK, .from = fixture_member ("peer", "d1"), .position = 9 };
  GsEvent event = { .kind = GS_EVENT_MEMBER_MESSAGE, .member_message = &message };

  access.base.now_us += 2400 * GS_US_PER_MS;
  ask (&access, 1, "x");
  assert_refused (&access, 1, 401, GS_VERDICT_NOT_RUN, "unknown-key");
  access.base.now_us += 200 * GS_US_PER_MS;
  ask (&access, 2, "x");
  assert_refused (&access, 2, 503, GS_VERDICT_NOT_RUN, "tables-stale");
  ck_assert_uint_gt (fixture_find (&access.base, GS_EFFECT_REJECT)->reject.retry_after_ms, 0);
  ck_assert_ptr_null (fixture_find (&access.base, GS_EFFECT_PULL_TABLES));
  ask (&access, 3, NULL);
  assert_refused (&access, 3, 401, GS_VERDICT_NOT_RUN, "no-key");
  ck_assert_ptr_nonnull (ask (&access, 4, "k"));
  register_upstreams (&access, 4); /* a reader is heard again */
  fixture_reduce (&access.base, &event);
  ask (&access, 5, "x");
  assert_refused (&access, 5, 503, GS_VERDICT_NOT_RUN, "tables-stale");
  fixture_free (&access.base);
}
END_TEST

START_TEST (slot_request_carries_the_workspace)
{
  Access access = access_new (GS_REPEAT_SAFE, "a:7:k", 1);
  GsMemberMessage message
      = { .kind = GS_MEMBER_MESSAGE_ACK, .from = fixture_member ("peer", "d1") };
  GsEvent event = { .kind = GS_EVENT_MEMBER_MESSAGE, .member_message = &message };
  const GsEffect *effect;

  message.from.millicores = 1000; /* strong, so it is the pool's home */
  fixture_reduce (&access.base, &event);
  ask (&access, 1, "k");
  effect = fixture_find (&access.base, GS_EFFECT_SLOT_REQUEST);
  ck_assert_ptr_nonnull (effect);
  ck_assert (effect->slot_request.request.workspace == gs_hash_name ("a"));
  ck_assert_uint_eq (effect->slot_request.request.workspace_priority, 7);
  fixture_free (&access.base);
}
END_TEST

/* Removed keys: the request that waits ends at once, the attempt that runs is answered. */
START_TEST (removed_key_ends_waiting_requests_only)
{
  Access access = access_new (GS_REPEAT_SAFE, "a:0:k b:0:m", 1);
  uint64_t attempt = ask (&access, 1, "k")->attempt;
  GsEvent end = { .kind = GS_EVENT_ATTEMPT_END,
                  .attempt_end = { .attempt = attempt, .outcome = GS_OUTCOME_OK } };

  ck_assert_ptr_null (ask (&access, 2, "k"));
  ck_assert_ptr_null (ask (&access, 3, "m"));
  put_tables (&access, "a:0:l b:0:m");
  assert_refused (&access, 2, 401, GS_VERDICT_NOT_RUN, "key-revoked");
  fixture_reduce (&access.base, &end);
  ck_assert_ptr_nonnull (fixture_find (&access.base, GS_EFFECT_ANSWER));
  ck_assert_uint_eq (fixture_find (&access.base, GS_EFFECT_ATTEMPT)->attempt.request, 3);
  fixture_free (&access.base);
}
END_TEST

/* Guards against attempts that are begun with a removed key: 401 if nothing ran, else 502. */
START_TEST (removed_key_gets_no_retry)
{
  static const struct
  {
    GsOutcome outcome;
    uint16_t status;
    GsVerdict verdict;
  } ends[] = { { GS_OUTCOME_REFUSED, 401, GS_VERDICT_NOT_RUN },
               { GS_OUTCOME_CLOSED, 502, GS_VERDICT_MAY_HAVE_RUN } };

  for (size_t i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      Access access = access_new (GS_REPEAT_SAFE, "a:0:k", 3);
      uint64_t attempt = ask (&access, 1, "k")->attempt;
      GsEvent late = { .kind = GS_EVENT_ATTEMPT_LATE, .attempt_late = attempt };
      put_tables (&access, "a:0:l");
      fixture_reduce (&access.base, &late);
      ck_assert_ptr_null (fixture_find (&access.base, GS_EFFECT_ATTEMPT));
      ck_assert_uint_eq (fixture_end_attempt (&access.base, attempt, ends[i].outcome), 0);
      assert_refused (&access, 1, ends[i].status, ends[i].verdict, "key-revoked");
      fixture_free (&access.base);
    }
}
END_TEST

/* A retry is made for the workspace that has the key then. */
START_TEST (key_that_moved_takes_its_requests_along)
{
  Access access = access_new (GS_REPEAT_SAFE, "a:0:k", 3);
  uint64_t attempt = ask (&access, 1, "k")->attempt;

  put_tables (&access, "a:0:l b:0:k");
  ck_assert_uint_ne (fixture_end_attempt (&access.base, attempt, GS_OUTCOME_REFUSED), 0);
  ck_assert_str_eq (fixture_find (&access.base, GS_EFFECT_ATTEMPT)->attempt.workspace, "b");
  fixture_free (&access.base);
}
END_TEST

/* The product's own mode: the daemon that forwarded a request names its workspace. */
START_TEST (forwarded_request_has_the_stated_workspace)
{
  Access access = access_new (GS_REPEAT_SAFE, "a:0:k b:5:m", 4);
  GsEvent event
      = { .kind = GS_EVENT_REQUEST,
          .request
          = { .request = 1, .host = "h", .path = "/x", .forwarded = true, .workspace = "b" } };

  fixture_reduce (&access.base, &event);
  ck_assert_str_eq (fixture_find (&access.base, GS_EFFECT_ATTEMPT)->attempt.workspace, "b");
  event.request.request = 2;
  event.request.workspace = "newer"; /* not in these tables, which are older */
  fixture_reduce (&access.base, &event);
  ck_assert_str_eq (fixture_find (&access.base, GS_EFFECT_ATTEMPT)->attempt.workspace, "newer");
  event.request.request = 3;
  event.request.workspace = NULL; /* the other daemon has tables without workspaces */
  fixture_reduce (&access.base, &event);
  assert_refused (&access, 3, 503, GS_VERDICT_NOT_RUN, "tables-stale");
  fixture_free (&access.base);
}
END_TEST

/* The daemon that runs a forwarded request ends it too when its key is removed, but not when its
 * tables never had the key. */
START_TEST (removed_key_ends_forwarded_requests_that_wait)
{
  Access access = access_new (GS_REPEAT_SAFE, "a:0:k b:5:m", 1);
  GsEvent event = { .kind = GS_EVENT_REQUEST,
                    .request = { .request = 2,
                                 .host = "h",
                                 .path = "/x",
                                 .forwarded = true,
                                 .workspace = "b",
                                 .has_key = true,
                                 .key = digest ("m") } };

  ck_assert_ptr_nonnull (ask (&access, 1, "k"));
  fixture_reduce (&access.base, &event);
  event.request.request = 3;
  event.request.workspace = "newer";
  event.request.key = digest ("n");
  fixture_reduce (&access.base, &event);
  put_tables (&access, "a:0:k b:5:o");
  assert_refused (&access, 2, 401, GS_VERDICT_NOT_RUN, "key-revoked");
  ck_assert_uint_eq (gs_core_in_flight (access.base.core), 2);
  fixture_free (&access.base);
}
END_TEST

FIXTURE_MAIN ("access",
              &digest_is_blake2b_of_16_bytes,
              &only_short_ascii_texts_are_keys,
              &index_finds_keys_and_names_and_reports_conflicts,
              &lookup_takes_constant_time,
              &key_selects_its_workspace,
              &tables_without_workspaces_need_no_key,
              &workspaces_without_rows_let_no_key_in,
              &removal_of_the_last_workspace_ends_its_requests,
              &removal_of_everything_ends_requests_of_its_workspaces,
              &forwarded_request_without_workspace_is_undecided_without_rows,
              &unknown_key_is_not_decided_by_stale_tables,
              &slot_request_carries_the_workspace,
              &removed_key_ends_waiting_requests_only,
              &removed_key_gets_no_retry,
              &key_that_moved_takes_its_requests_along,
              &forwarded_request_has_the_stated_workspace,
              &removed_key_ends_forwarded_requests_that_wait)
