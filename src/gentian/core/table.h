/**
 * NAME
 *   table - the routes and pools tables in force, and route lookup
 *
 * SYNOPSIS
 *   GsTable *table = gs_table_new ();
 *   gs_table_replace (table, document);
 *   const GsRoute *route = gs_table_match (table, "ledger.example", "/refunds/7");
 *
 * DESCRIPTION
 *   A document (GsDocument) holds the two tables of one workspace. The table holds the newest
 * document of every workspace and two indexes: from host to routes, longest prefix first, and from
 * pool name to pool. The cost of replacing a workspace's document depends only on the rows of that
 * workspace. Pure: no I/O, no clock. Tested by test/unit/test_table.c.
 */
#ifndef GS_TABLE_H
#define GS_TABLE_H

#include "base.h"

enum
{
  GS_KEY_DIGEST_BYTES = 16,
};

/** One backend server of a pool. */
typedef struct
{
  char *id;
  const char *failure_domain; /**< interned */
  uint32_t ipv4;              /**< host byte order */
  uint16_t port;
  bool leaving;
} GsUpstreamRow;

typedef struct GsDocument GsDocument;

/** One row of the pools table. */
typedef struct
{
  const GsDocument *document;
  char *name;
  GsUpstreamRow *upstreams;
  uint16_t n_upstreams;
  uint16_t slots;           /**< requests that an upstream processes concurrently, 1 to 1024 */
  uint16_t max_connections; /**< connections that an upstream accepts from the whole fleet */
  uint8_t floor_percent; /**< minimum share of upstreams that ejection leaves healthy or warming */
  uint8_t homes;         /**< number of active homes, 1 to 16 */
  bool registered;       /**< its upstreams register themselves; `upstreams` is empty */
  GsCost cost;
} GsPoolRow;

/** One pool of a route that splits its requests among several pools by weight. */
typedef struct
{
  char *pool;
  uint32_t weight; /**< relative to the other parts */
} GsRoutePart;

/** Digest of a caller's key. Tables, messages and logs never hold the key itself. */
typedef struct
{
  uint8_t bytes[GS_KEY_DIGEST_BYTES];
} GsKeyDigest;

/** One row of the workspaces table: a workspace whose callers identify themselves by keys. */
typedef struct
{
  char *name;
  uint64_t hash; /**< gs_hash_name of `name`; identifies the workspace in peer messages */
  GsKeyDigest *keys;
  uint32_t n_keys;
  uint32_t rate_per_s; /**< requests that the whole fleet admits; 0: no limit */
  uint32_t burst;      /**< requests that it admits on top of the rate */
  uint8_t priority;    /**< 0 is the highest; takes precedence over a route's */
} GsWorkspaceRow;

/** Finds rows of the workspaces table by key and by name (access/workspace_index.h). */
typedef struct GsWorkspaceIndex GsWorkspaceIndex;

/** Two rows of the workspaces table that have one name or one key. */
typedef struct
{
  uint32_t row;
  uint32_t other; /**< the earlier one */
  bool same_key;  /**< false: the same name */
} GsWorkspaceConflict;

/** One row of the routes table. */
typedef struct
{
  const GsDocument *document;
  char *name;
  char *host;   /**< exact host, or "*" */
  char *prefix; /**< path prefix, starts with "/" */
  char *pool;   /**< pool in the same workspace */
  GsRepeat repeat;
  uint32_t timeout_ms;         /**< of a request with all attempts */
  uint32_t attempt_timeout_ms; /**< of one attempt */
  uint16_t weight;             /**< share under overload */
  uint32_t target_ms;          /**< latency up to which an answer has its full value; 0: none */
  uint8_t priority;            /**< 0 is the highest */
  /** maximum attempts of one request to a registered pool, not counting those that did not run */
  uint8_t max_attempts;
  GsRoutePart *parts; /**< pools of a split; NULL: all requests go to `pool` */
  uint16_t n_parts;
  bool anonymous; /**< needs no key, although the document has workspaces */
} GsRoute;

/** Limits on the size and duration of callers' requests. */
typedef struct
{
  uint32_t max_header_bytes;
  uint32_t max_body_bytes;
  uint32_t header_timeout_ms; /**< for the head of a request */
  uint32_t idle_timeout_ms;   /**< between two requests on a connection */
} GsCallerLimits;

/** The two tables of one workspace at one revision. */
struct GsDocument
{
  char *workspace;
  uint64_t revision; /**< log offset + 1 of the accepted edit; 0: none accepted yet */
  GsRoute *routes;
  GsPoolRow *pools;
  uint32_t n_routes;
  uint32_t n_pools;
  GsWorkspaceRow *workspaces;
  uint32_t n_workspaces;
  /** the workspaces table is present, though it may have no rows; see gs_document_requires_keys */
  bool workspaces_listed;
  GsWorkspaceIndex *workspace_index; /**< of `workspaces`; owned */
  GsCallerLimits limits;             /**< 0: the limit of the daemon's settings */
};

typedef struct GsTable GsTable;

/** RETURN VALUE: an empty document of WORKSPACE, to be filled and freed by the caller. */
GsDocument *gs_document_new (const char *workspace, uint64_t revision);

/** Frees DOCUMENT and its rows. NULL is allowed. */
void gs_document_free (GsDocument *document);

/** RETURN VALUE: whether requests need keys: DOCUMENT has a workspaces table. One without rows has
 * no key that a request could use, and is not the same as a missing one. */
static inline bool
gs_document_requires_keys (const GsDocument *document)
{
  return document->workspaces_listed || document->n_workspaces > 0;
}

/** RETURN VALUE: the pool named NAME in DOCUMENT, or NULL. */
const GsPoolRow *gs_document_pool (const GsDocument *document, const char *name);

/**
 * Builds the index of the document's workspaces, which must not change any more. The decoders call
 * it, so that the work is done outside of the event loop; gs_table_replace does what they left.
 *
 * RETURN VALUE: false with CONFLICT if two rows have one name or one key.
 */
bool gs_document_index_workspaces (GsDocument *document, GsWorkspaceConflict *conflict);

/** RETURN VALUE: the row of the workspaces table whose name has HASH, or NULL. */
const GsWorkspaceRow *gs_document_workspace (const GsDocument *document, uint64_t hash);

/** RETURN VALUE: the row of the workspaces table that has KEY, or NULL. */
const GsWorkspaceRow *gs_document_workspace_by_key (const GsDocument *document,
                                                    const GsKeyDigest *key);

GsTable *gs_table_new (void);
void gs_table_free (GsTable *table);

/**
 * Finds the first route of DOCUMENT whose host and prefix are in another workspace's document.
 *
 * RETURN VALUE: that route of DOCUMENT, or NULL if there is none.
 */
const GsRoute *gs_table_find_clash (const GsTable *table, const GsDocument *document);

/**
 * Puts DOCUMENT in force and takes ownership of it. DOCUMENT is discarded if its revision is not
 * above the one in force.
 *
 * RETURN VALUE: true if DOCUMENT is now in force.
 */
bool gs_table_replace (GsTable *table, GsDocument *document);

/** RETURN VALUE: the route with the longest matching prefix, or NULL. Exact hosts take precedence
 * over "*". */
const GsRoute *gs_table_match (const GsTable *table, const char *host, const char *path);

/** RETURN VALUE: the pool, or NULL. */
const GsPoolRow *gs_table_pool (const GsTable *table, const char *workspace, const char *pool);

/** RETURN VALUE: the document of WORKSPACE, or NULL if it has neither rows nor limits nor a
 * workspaces table. */
const GsDocument *gs_table_document (const GsTable *table, const char *workspace);

/** RETURN VALUE: the number of workspaces that have a document. */
uint32_t gs_table_size (const GsTable *table);

/** Calls VISIT for each document, in no particular order. */
void gs_table_foreach (const GsTable *table,
                       void (*visit) (const GsDocument *document, void *data),
                       void *data);

#endif
