/**
 * NAME
 *   store - what the product asks of a platform's metadata store
 *
 * SYNOPSIS
 *   GsStorePage page;
 *   if (gs_store_read (store, GS_STORE_TOPIC_TABLES, from, wait_ms, &page) == GS_STORE_OK)
 *     ...
 *   gs_store_page_clear (&page);
 *
 * DESCRIPTION
 *   A log a topic, whose newest record of each key is kept for good. An adapter fills the vtable
 * and decodes what the platform writes into the product's types. A store serves one thread at a
 * time.
 */
#ifndef GS_STORE_H
#define GS_STORE_H

#include <glib.h>

#include "../core/registry.h"
#include "../core/table.h"

typedef enum
{
  GS_STORE_TOPIC_TABLES = 0,    /**< routes, pools and limits, in one document */
  GS_STORE_TOPIC_REGISTRATIONS, /**< backend servers, each under its id */
} GsStoreTopic;

typedef enum
{
  GS_STORE_OK = 0,
  GS_STORE_GAP,          /**< the records asked for are gone; the newest of each key are there */
  GS_STORE_RATE_LIMITED, /**< a rate limit; it answers, but did nothing */
  GS_STORE_UNAVAILABLE,  /**< no answer, or an error */
} GsStoreResult;

/** One record; without a value its key was removed. */
typedef struct
{
  uint64_t offset;
  char *key;
  GBytes *value; /**< NULL: removed */
} GsStoreRecord;

/** Answer to a read. */
typedef struct
{
  uint64_t end;    /**< offset that the next record will get */
  GArray *records; /**< of GsStoreRecord; NULL: none */
} GsStorePage;

typedef struct GsStore GsStore;

/** What an adapter provides. */
typedef struct
{
  /** Reads records from FROM on, waiting WAIT_MS for one. */
  GsStoreResult (*read) (GsStore *store,
                         GsStoreTopic topic,
                         uint64_t from,
                         uint32_t wait_ms,
                         GsStorePage *page);
  /** Reads the newest record of each key; `end` is from before the first was read. */
  GsStoreResult (*read_newest) (GsStore *store, GsStoreTopic topic, GsStorePage *page);
  void (*free) (GsStore *store);
  /** RETURN VALUE: key of the record that holds the tables. */
  const char *tables_key;
  /** Decodes the tables, as gs_tables_parse does; sets their revision. */
  GsDocument *(*parse_tables) (const char *workspace,
                               const char *file,
                               const char *text,
                               size_t length,
                               GError **error);
  /** Decodes a registration. RETURN VALUE: FALSE with ERROR when it names no usable server. */
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

#endif
