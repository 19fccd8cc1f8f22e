/**
 * NAME
 *   histogram - the daemon's own latency histograms, served as text
 *
 * DESCRIPTION
 *   Atomic counts in fixed buckets whose bounds double from 0.5 ms to 16.384 s, with the sum of all
 * times. The text form is that of the usual metrics collectors, in seconds. Thread-safe.
 * docs/operators/METRICS.md is the catalogue; a test holds it against this list. Tested by
 * test/unit/test_histogram.c.
 */
#ifndef GS_HISTOGRAM_H
#define GS_HISTOGRAM_H

#include <stdint.h>

enum
{
  GS_HISTOGRAM_BUCKETS = 16, /**< with an upper bound; one more has none */
};

/** Upper bound of the first bucket, in microseconds: half of what a hop between daemons takes. */
#define GS_HISTOGRAM_FIRST_BOUND_US INT64_C (500)

#define GS_HISTOGRAMS(X)                                                                           \
  X (REQUEST, "gentian_request_seconds",                                                           \
     "time of a request here, until its answer is handed over")                                    \
  X (SLOT_WAIT, "gentian_slot_wait_seconds", "time until a request's first attempt begins")        \
  X (ATTEMPT, "gentian_attempt_seconds", "time of an attempt until the answer's first byte")       \
  X (STORE_CALL, "gentian_store_call_seconds",                                                     \
     "time of a call of the store that waits for no record")

typedef enum
{
#define GS_HISTOGRAM_ENUM(symbol, name, help) GS_HISTOGRAM_##symbol,
  GS_HISTOGRAMS (GS_HISTOGRAM_ENUM)
#undef GS_HISTOGRAM_ENUM
      GS_HISTOGRAM_COUNT
} GsHistogram;

/** Counts a time of DURATION_US microseconds; a negative one counts as 0. */
void gs_histogram_record (GsHistogram histogram, int64_t duration_us);

/** RETURN VALUE: name of HISTOGRAM in the text form, without a suffix. */
const char *gs_histogram_name (GsHistogram histogram);

/** RETURN VALUE: newly allocated text of all histograms. */
char *gs_histogram_render (void);

#endif
