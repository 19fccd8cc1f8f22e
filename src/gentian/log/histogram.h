/**
 * NAME
 *   histogram - latency histograms of the daemon, exported as text
 *
 * DESCRIPTION
 *   Atomic counts in fixed buckets whose bounds double from 0.5 ms to 16.384 s, with the sum of all
 * durations, rendered in the Prometheus text format in seconds. Thread-safe.
 * docs/operators/METRICS.md lists them; test/unit/test_docs.c compares that list with this one.
 * Tested by test/unit/test_histogram.c.
 */
#ifndef GS_HISTOGRAM_H
#define GS_HISTOGRAM_H

#include <stdint.h>

enum
{
  GS_HISTOGRAM_BUCKETS = 16, /**< with a finite upper bound; one more has none */
};

/** Upper bound of the first bucket, in microseconds: half the time of a hop between daemons. */
#define GS_HISTOGRAM_FIRST_BOUND_US INT64_C (500)

#define GS_HISTOGRAMS(X)                                                                           \
  X (REQUEST, "gentian_request_seconds",                                                           \
     "time from the receipt of a request until its answer is passed to the HTTP server")           \
  X (SLOT_WAIT, "gentian_slot_wait_seconds",                                                       \
     "time from the receipt of a request until its first attempt starts")                          \
  X (ATTEMPT, "gentian_attempt_seconds",                                                           \
     "time from the start of an attempt until the first byte of its answer")                       \
  X (STORE_CALL, "gentian_store_call_seconds",                                                     \
     "duration of a call to the platform's store that does not wait for a record")                 \
  X (LOOP_TURN, "gentian_loop_turn_seconds",                                                       \
     "time from the wake-up of the event loop until it waits again")

typedef enum
{
#define GS_HISTOGRAM_ENUM(symbol, name, help) GS_HISTOGRAM_##symbol,
  GS_HISTOGRAMS (GS_HISTOGRAM_ENUM)
#undef GS_HISTOGRAM_ENUM
      GS_HISTOGRAM_COUNT
} GsHistogram;

/** Records a duration; a negative one counts as 0. */
void gs_histogram_record (GsHistogram histogram, int64_t duration_us);

/** RETURN VALUE: static name of the metric, without a suffix such as "_bucket". */
const char *gs_histogram_name (GsHistogram histogram);

/** RETURN VALUE: newly allocated text with all histograms. */
char *gs_histogram_render (void);

#endif
