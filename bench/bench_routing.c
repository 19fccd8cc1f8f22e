/*
 * bench_routing: simulates sets of home daemons and overload with the real reducer, in virtual
 * time. Prints a line of JSON for each case. Usage: bench_routing [SECONDS], the virtual time of a
 * case.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "fake_pool.h"

static FakeOptions
base_options (double seconds)
{
  return (FakeOptions){ .n_upstreams = 6,
                        .slots = 4,
                        .mean_service_us = 20000,
                        .background_failure_rate = 0.001,
                        .message_delay_us = 1500,
                        .duration_us = (int64_t)(seconds * GS_US_PER_S),
                        .fault_at_us = 3600 * GS_US_PER_S,
                        .cost = GS_COST_FALSE_EJECTION,
                        .floor_percent = 70,
                        .timeout_ms = 2000,
                        .attempt_timeout_ms = 1000 };
}

/* How often a request is sent to a full upstream when several daemons share a pool. */
static void
measure_homes (double seconds)
{
  static const uint32_t daemons[] = { 1, 2, 3, 6, 16 };
  static const double loads[] = { 0.6, 0.8 };

  for (size_t l = 0; l < G_N_ELEMENTS (loads); l++)
    for (size_t d = 0; d < G_N_ELEMENTS (daemons); d++)
      {
        FakeOptions options = base_options (seconds);
        FakeResult result;
        options.n_daemons = daemons[d];
        options.utilization = loads[l];
        options.seed = 1;
        fake_pool_run (&options, &result);
        printf (
            "{\"measure\":\"homes\",\"homes\":%u,\"utilization\":%.1f,\"met_full_percent\":%.1f,"
            "\"wait_p99_ms\":%.1f,\"total_p99_ms\":%.1f,\"refused_percent\":%.2f}\n",
            daemons[d], loads[l], 100.0 * (double)result.met_full / (double)result.attempts,
            result.wait_p99_us / 1000, result.total_p99_us / 1000,
            100.0 * (double)result.refused / (double)result.requests);
      }
}

/* Goodput and fairness when the offered load exceeds the capacity of the pool. One of five flows
 * sends half of the load. */
static void
measure_overload (double seconds)
{
  static const double loads[] = { 0.9, 2, 10 };

  for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      FakeOptions options = base_options (seconds);
      FakeResult result;
      double capacity;
      options.n_daemons = 1;
      options.utilization = loads[i];
      options.n_workspaces = 4;
      options.timeout_ms = 500;
      options.seed = 2;
      fake_pool_run (&options, &result);
      capacity = options.n_upstreams * options.slots / options.mean_service_us * 1e6 * seconds;
      printf (
          "{\"measure\":\"overload\",\"times_capacity\":%.1f,\"goodput_percent_of_capacity\":%.1f,"
          "\"total_p99_ms\":%.1f,\"refused_percent\":%.1f,\"share_of_the_flood_percent\":%.1f}\n",
          loads[i], 100 * (double)result.answered / capacity, result.total_p99_us / 1000,
          100.0 * (double)result.refused / (double)result.requests,
          100.0 * (double)result.answered_first_workspace / (double)MAX (result.answered, 1));
    }
}

int
main (int argc, char **argv)
{
  double seconds = argc > 1 ? atof (argv[1]) : 60;

  measure_homes (seconds);
  measure_overload (seconds);
  return 0;
}
