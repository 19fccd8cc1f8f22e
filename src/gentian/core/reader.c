#include "reader.h"

#include <glib.h>
#include <math.h>

/** Delay for each rank while readers are heard but the store does not answer them. */
#define READER_RANK_UNAVAILABLE_US (150 * GS_US_PER_MS)

/* Delay of this daemon's rank, 0 for rank 1. By the cube root, the first ranks are far enough apart
 * for one to read and be heard before the next is due, and the last ones come by the bound. */
static int64_t
rank_delay_us (const GsReaderState *state)
{
  uint32_t last = MAX (state->n_ranks, state->rank + 1) - 1;

  if (state->rank <= 1)
    return 0;
  return (int64_t)(cbrt ((double)(state->rank - 1) / (last - 1)) * (double)GS_READER_DELAY_MAX_US);
}

int64_t
gs_reader_takeover_us (const GsReaderState *state)
{
  int64_t silent_us = state->heard_us + GS_READER_SILENCE_US + rank_delay_us (state);
  int64_t unavailable_us
      = state->available_us + GS_READER_SILENCE_US + state->rank * READER_RANK_UNAVAILABLE_US;

  return MIN (silent_us, unavailable_us);
}

bool
gs_reader_must_read (const GsReaderState *state, int64_t now_us)
{
  if (state->rank == 0)
    return true;
  if (state->taken_over_us != 0)
    return state->preceding_us <= state->taken_over_us;
  return now_us >= gs_reader_takeover_us (state);
}

bool
gs_reader_is_behind (const GsReaderState *state, int64_t now_us)
{
  return state->behind_us != 0 && now_us - state->behind_us >= GS_READER_BEHIND_MAX_US;
}

bool
gs_reader_must_read_tables (const GsReaderState *state, int64_t now_us)
{
  return gs_reader_must_read (state, now_us) || gs_reader_is_behind (state, now_us);
}

uint32_t
gs_reader_first_wait_ms (uint32_t domain, uint32_t n_domains, uint32_t wait_ms)
{
  return domain < n_domains ? wait_ms * (domain + 1) / n_domains : wait_ms;
}

bool
gs_reader_continues (const GsReaderState *state, int64_t now_us)
{
  return now_us - state->available_us <= GS_READER_CONTINUE_MAX_US;
}
