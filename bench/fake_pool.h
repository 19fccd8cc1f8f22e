/**
 * NAME
 *   fake_pool - discrete-event simulation of one pool under the real reducer
 *
 * DESCRIPTION
 *   Simulates a few reducers, a pool of upstreams with slots and a queue, Poisson arrivals, and
 * messages with a fixed delay, to measure the reducers' decisions. It uses no sockets and no clock;
 * the same options give the same result.
 */
#ifndef FAKE_POOL_H
#define FAKE_POOL_H

#include "../src/gentian/core/core.h"

typedef enum
{
  FAKE_NONE = 0,
  FAKE_FAIL_5,
  FAKE_FAIL_20,
  FAKE_FAIL_100,
  FAKE_SLOW_3,
  FAKE_SLOW_10,
  FAKE_FLAP,        /* fails all requests for 3 s of every 6 s */
  FAKE_STUCK_SLOT,  /* the request in one slot never ends */
  FAKE_ONE_ROUTE,   /* fails one request in four, always of the same route */
  FAKE_PATH_BROKEN, /* fails for the first daemon only; the upstream is healthy */
  FAKE_SILENT,      /* idle connections are dead until they are closed; the upstream is
                       healthy */
  FAKE_SHEDDING,    /* refuses half of the requests unread; the upstream is healthy */
  FAKE_COLD_START,  /* unreachable for 1 s, then slow by 3 for 3 s; healthy */
  FAKE_POOL_SLOW,   /* all upstreams are slow by 3; they are healthy */
  FAKE_POOL_FAILS,  /* all upstreams fail one request in five */
  FAKE_DOMAIN_SLOW, /* a third of the upstreams is slow by 3 */
  FAKE_FAULTS
} FakeFault;

typedef struct
{
  uint32_t n_daemons; /* that serve the pool */
  uint16_t n_upstreams;
  uint16_t slots;
  double utilization;             /* offered load as a share of all slots */
  double mean_service_us;         /* exponentially distributed */
  double background_failure_rate; /* of healthy upstreams */
  double burstiness; /* up to 1: Poisson arrivals; above: mean number of arrivals in a burst */
  int64_t message_delay_us; /* between daemons */
  int64_t duration_us;
  int64_t fault_at_us;
  FakeFault fault;
  uint64_t seed;
  const GsDetectorClass *detector;
  double threshold;
  GsCost cost;
  uint8_t floor_percent;
  bool no_membership; /* daemons do not know each other */
  uint32_t timeout_ms;
  uint32_t attempt_timeout_ms;
  uint32_t n_workspaces; /* flows; if there are several, the first sends half of all requests */
} FakeOptions;

typedef struct
{
  int64_t detection_us; /* from the fault until no daemon has the faulty upstream in rotation; -1:
                           not detected by the end of the run */
  uint64_t samples;     /* answers of the faulty upstream until it was detected */
  uint64_t attempts_at_faulty; /* after the fault began */
  uint32_t false_ejections;
  double healthy_ejected_s; /* time of healthy upstreams out of rotation, summed over upstreams and
                               averaged over daemons */
  uint64_t requests;
  uint64_t answered;
  uint64_t answered_late;
  uint64_t refused;
  uint64_t met_full; /* attempts that found all slots of their upstream busy */
  uint64_t attempts;
  uint16_t min_in_rotation;
  double wait_p99_us; /* time in the upstream's queue */
  double total_p99_us;
  uint64_t answered_first_workspace;
} FakeResult;

/** Simulates the pool that OPTIONS describe and fills in RESULT. */
void fake_pool_run (const FakeOptions *options, FakeResult *result);

/** RETURN VALUE: static name of FAULT. */
const char *fake_fault_name (FakeFault fault);

#endif
