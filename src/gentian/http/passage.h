/**
 * NAME
 *   passage - one request on its way through this daemon
 *
 * DESCRIPTION
 *   Carries out the effects that the reducer has for a request: makes its attempts one at a time,
 * judges what they bring, and leaves the answer for the connection to send. A large answer is
 * handed on piece by piece. While the request waits, its connection is suspended.
 */
#ifndef GS_PASSAGE_H
#define GS_PASSAGE_H

#include <microhttpd.h>

#include "../daemon/engine.h"
#include "dialect.h"
#include "entries.h"
#include "exchange.h"
#include "kept.h"

enum
{
  GS_PASSAGE_HOST_MAX = 256,
  GS_PASSAGE_RIGHT_MAX = GS_TICKET_TEXT_MAX + 16, /**< of the name that an answer is kept under */
};

typedef struct GsPassage GsPassage;

/** What all passages of an entry share. */
typedef struct
{
  GsEngine *engine;
  const GsDialect *dialect;
  GsClient *client;
  GsKept *kept;
  /** The passage has an answer, or more of it: its connection may be resumed. */
  void (*resume) (GsPassage *passage);
  /** It has to wait: nothing is called for its connection until it is resumed. */
  void (*suspend) (GsPassage *passage);
} GsPassageShared;

struct GsPassage
{
  const GsPassageShared *shared;
  struct MHD_Connection *connection;
  char *method;
  char *target;     /**< path with query, as sent */
  char *path;       /**< the target up to its query */
  GByteArray *body; /**< at most what the limits allow, and a byte */
  int64_t came_us;  /**< when it had been read */
  GsRequestEvent event;
  char host[GS_PASSAGE_HOST_MAX];
  char right[GS_PASSAGE_RIGHT_MAX]; /**< name under which the answer is kept; empty: not kept */
  uint64_t request;                 /**< number at the engine; 0: not opened */
  GQueue effects;                   /**< of GsEffect, to be carried out */
  GsEffect attempt;                 /**< the attempt that runs */
  GsExchange *exchange;             /**< of the last attempt */
  bool running;                     /**< the exchange is under way */
  bool late;                        /**< the reducer was told that the attempt is late */
  bool attempted;                   /**< a first attempt has begun */
  bool stream;                      /**< a large answer is handed on */
  bool stream_broken;
  char attempt_text[24];         /**< number of the attempt, for its echo */
  struct MHD_Response *response; /**< the answer, once there is one */
  unsigned int status;           /**< of the answer */
  bool reading;                  /**< the head has been taken */
  bool submitted;                /**< the whole request has been taken */
  bool suspended;                /**< the connection is */
  bool caller_left;
  GsEntriesQuestion *question; /**< the address question under way */
  GList link;                  /**< in the entry's list of suspended passages */
};

/** Opens PASSAGE at the engine, so that its effects reach it. */
void gs_passage_open (GsPassage *passage);

/** Hands the request to the reducer. */
void gs_passage_submit (GsPassage *passage);

/** The caller has closed its connection: ends the attempt, or the wait for one. */
void gs_passage_caller_left (GsPassage *passage);

/** Ends what is under way and frees what the passage owns. */
void gs_passage_clear (GsPassage *passage);

/** Refuses or fails the request with an answer of the daemon's own. */
void gs_passage_answer_error (GsPassage *passage,
                              unsigned int status,
                              GsVerdict verdict,
                              const char *reason,
                              uint32_t retry_after_ms);

/** Refuses a request that the reducer has not seen, with a log line. */
void gs_passage_refuse (GsPassage *passage,
                        unsigned int status,
                        const char *reason,
                        uint32_t retry_after_ms);

#endif
