/**
 * NAME
 *   store - interface to a platform's metadata store, implemented by the platform's adapter
 *
 * SYNOPSIS
 *   GsStorePage page;
 *   if (gs_store_read (store, GS_STORE_TOPIC_TABLES, from, wait_ms, &page) == GS_STORE_OK)
 *     ...
 *   gs_store_page_clear (&page);
 *
 * DESCRIPTION
 *   The store has one log per topic, which never deletes the newest record of a key. An adapter
 * fills the vtable and decodes the platform's records into the types of the core. A store is used
 * by one thread at a time. Tested by test/unit/test_store.c.
 *
 *   A store that returns from an older copy of itself assigns offsets again. It then states a
 * higher era in its answers; offsets of two eras must not be compared. See
 * docs/design/store-era.md.
 */
#ifndef GS_STORE_H
#define GS_STORE_H

#include <glib.h>

#include "../core/registry.h"
#include "../core/table.h"

typedef enum
{
  GS_STORE_TOPIC_TABLES = 0,    /**< routes, pools and limits, in one document */
  GS_STORE_TOPIC_REGISTRATIONS, /**< backend servers; the key is the id */
} GsStoreTopic;

typedef enum
{
  GS_STORE_OK = 0,
  GS_STORE_GAP, /**< the requested records were deleted; the newest of each key can be read */
  GS_STORE_RATE_LIMITED, /**< the store answers, but did not execute the call */
  GS_STORE_UNAVAILABLE,  /**< no answer, or an error */
} GsStoreResult;

/** One record. */
typedef struct
{
  uint64_t offset;
  char *key;
  GBytes *value; /**< NULL: the key was removed */
} GsStoreRecord;

/** Result of a read. */
typedef struct
{
  uint64_t next_offset; /**< to read from next: the end of the log, or the first record left out */
  GArray *records;      /**< of GsStoreRecord; NULL: none */
  uint64_t era;         /**< of the store, also where it refused; 0: not stated */
} GsStorePage;

typedef struct GsStore GsStore;

/** Functions of an adapter. */
typedef struct
{
  /** Reads the records from offset FROM on; waits up to WAIT_MS for one. PAGE has to be cleared,
   * whatever the result. */
  GsStoreResult (*read) (GsStore *store,
                         GsStoreTopic topic,
                         uint64_t from,
                         uint32_t wait_ms,
                         GsStorePage *page);
  /** Reads the newest record of each key. `next_offset` is the log's end before the first was
   * read. PAGE has to be cleared, whatever the result. GS_STORE_GAP: the era rose meanwhile. */
  GsStoreResult (*read_newest) (GsStore *store, GsStoreTopic topic, GsStorePage *page);
  void (*free) (GsStore *store);
  /** Key of the record that holds the tables. */
  const char *tables_key;
  /** Decodes the tables, as gs_tables_parse does, and sets their revision. */
  GsDocument *(*parse_tables) (const char *workspace,
                               const char *file,
                               const char *text,
                               size_t length,
                               GError **error);
  /** RETURN VALUE: newly allocated text of tables that parse_tables accepts, in which digests stand
   * in place of keys; NULL if it cannot be made. The function is NULL if tables hold no keys. */
  char *(*redact_tables) (const char *text, size_t length);
  /** Decodes a registration. RETURN VALUE: FALSE with ERROR when it describes no usable server. */
  gboolean (*parse_registration) (const char *id,
                                  const char *text,
                                  size_t length,
                                  GsRegistration *registration,
                                  GError **error);
} GsStoreClass;

struct GsStore
{
  const GsStoreClass *class;
};

static inline GsStoreResult
gs_store_read (GsStore *store,
               GsStoreTopic topic,
               uint64_t from,
               uint32_t wait_ms,
               GsStorePage *page)
{
  return store->class->read (store, topic, from, wait_ms, page);
}

static inline GsStoreResult
gs_store_read_newest (GsStore *store, GsStoreTopic topic, GsStorePage *page)
{
  return store->class->read_newest (store, topic, page);
}

static inline void
gs_store_free (GsStore *store)
{
  if (store != NULL)
    store->class->free (store);
}

/** RETURN VALUE: an empty page. */
GsStorePage gs_store_page_empty (void);

/** Adds a record to PAGE; takes ownership of KEY and VALUE. */
void gs_store_page_add (GsStorePage *page, uint64_t offset, char *key, GBytes *value);
void gs_store_page_clear (GsStorePage *page);

#define GS_STORE_ERROR (g_quark_from_static_string ("gs-store"))

/**
 * Decodes RECORD of the topic of registrations. One that describes no usable server is a removal,
 * and sets ERROR.
 *
 * RETURN VALUE: false with ERROR when its key cannot be an id, so that it concerns no server.
 */
bool gs_store_decode_change (const GsStore *store,
                             const GsStoreRecord *record,
                             GsRegistryChange *change,
                             GError **error);

/** Tables that were read from the store. */
typedef struct
{
  GsDocument *document; /**< NULL: none */
  char *text;           /**< of the document, without keys; NULL: none */
  GError *refused;      /**< why the newest record is not used; NULL: it is, or there is none */
  uint64_t refused_offset;
} GsStoreTables;

/** Decodes the newest record in PAGE that holds valid tables. The result has to be cleared. */
GsStoreTables
gs_store_decode_tables (const GsStore *store, const char *workspace, const GsStorePage *page);
void gs_store_tables_clear (GsStoreTables *tables);

#endif
