/**
 * NAME
 *   reader - which daemon of a failure domain reads the platform's store for the others
 *
 * DESCRIPTION
 *   The daemons of a domain have ranks, and the one with rank 0 reads. Any number of them may be
 * lost at the same moment, and membership may take long to notice it. So a daemon that hears from
 * no reader reads too, after a delay that increases with its rank and has the same bound for any
 * number of daemons. It goes on until a daemon that precedes it reads again.
 *
 *   Tables pass from daemon to daemon, by connections that may be dead without a sign. So a daemon
 * that knows of later tables than its own, and does not get them for a while, reads them too.
 *
 *   While readers are heard but say that the store does not answer them, the others try as well,
 * much later, as the store may answer them. Pure: time comes with the state.
 */
#ifndef GS_READER_H
#define GS_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "base.h"

/** Longest time between two updates of a reader, with the delays of two reads and two messages. */
#define GS_READER_SILENCE_US (1200 * GS_US_PER_MS)
/** Longest delay of any rank after that. */
#define GS_READER_DELAY_MAX_US (400 * GS_US_PER_MS)

/** Time for which a daemon knows of later tables than its own before it reads them from the store.
 * Usually other daemons have sent them within a third of a second. */
#define GS_READER_BEHIND_MAX_US (500 * GS_US_PER_MS)

/** Greatest age of the known registrations from which a new reader reads on. Beyond it, a complete
 * set is shorter than the records since then. */
#define GS_READER_CONTINUE_MAX_US (3 * GS_US_PER_S)

/** What a daemon knows about the readers of its domain. Times are monotonic, 0 means never. */
typedef struct
{
  uint32_t rank;        /**< of this daemon; 0: the first */
  uint32_t n_ranks;     /**< daemons of the domain */
  int64_t heard_us;     /**< last update of any reader of the domain, this daemon included */
  int64_t preceding_us; /**< the same of one that precedes this daemon and that the store answers */
  int64_t available_us; /**< last update from a daemon that the store answers, of any domain */
  int64_t taken_over_us; /**< since when it reads although its rank is not 0; 0: it does not */
  int64_t behind_us; /**< since when it has known of later tables than its own; 0: it does not */
} GsReaderState;

/** RETURN VALUE: when this daemon must take over if it hears nothing more, in monotonic time. */
int64_t gs_reader_takeover_us (const GsReaderState *state);

/** RETURN VALUE: whether this daemon must read at NOW_US. */
bool gs_reader_must_read (const GsReaderState *state, int64_t now_us);

/** RETURN VALUE: whether this daemon has known of later tables for too long at NOW_US. */
bool gs_reader_is_behind (const GsReaderState *state, int64_t now_us);

/** RETURN VALUE: whether this daemon must read the tables at NOW_US, as it must all else or because
 * it is behind. */
bool gs_reader_must_read_tables (const GsReaderState *state, int64_t now_us);

/**
 * A change ends the waiting reads of all domains' readers at the same moment. If they then all
 * waited for WAIT_MS again, one fault could make all of them hang for the same time. So the first
 * wait is cut to a part that differs between the N_DOMAINS domains.
 *
 * RETURN VALUE: the first wait of the reader of the domain at index DOMAIN, in ms.
 */
uint32_t gs_reader_first_wait_ms (uint32_t domain, uint32_t n_domains, uint32_t wait_ms);

/** RETURN VALUE: whether a daemon that begins to read at NOW_US may do so from the position that it
 * has heard of, rather than read all registrations. */
bool gs_reader_continues (const GsReaderState *state, int64_t now_us);

#endif
