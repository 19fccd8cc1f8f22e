/* Unit tests of core/reader over all failure domains, in virtual time: how long a version takes to
 * be in force at the last daemon in touch, after one fault or two in a row. */
#include <stdio.h>

#include "../../src/gentian/core/reader.h"
#include "fixture.h"

enum
{
  DOMAINS_MAX = 4,
  RANKS = 8,
  STEP_US = 10 * GS_US_PER_MS,
  CHECK_US = 150 * GS_US_PER_MS,
  READ_INTERVAL_US = 800 * GS_US_PER_MS,
  WAIT_MS = 1200,                       /* of a read of the tables */
  CALL_TIMEOUT_US = 900 * GS_US_PER_MS, /* beyond its wait, of a read that hangs */
  CALL_US = 20 * GS_US_PER_MS,          /* a call to the store and its handling */
  DATAGRAM_US = 10 * GS_US_PER_MS,      /* to another daemon, and its handling */
  RELAYED_US = 250 * GS_US_PER_MS,      /* from the first daemon of a domain to its last one */
  PROBE_US = 500 * GS_US_PER_MS,        /* within which neighbours of the membership are heard */
  PULL_US = 450 * GS_US_PER_MS,         /* the longest delay of a pull, and its answer */
  DEAD_US = 4000 * GS_US_PER_MS,        /* until both directions of a dead connection are renewed */
  FAULT_US = 3 * GS_US_PER_S,           /* when the first fault comes */
  END_US = 9 * GS_US_PER_S,
  STABLE_WINDOW_US = 3000 * GS_US_PER_MS, /* the users' */
  CONFIG_APPLY_US = 2000 * GS_US_PER_MS,  /* the users', on the sites with the strictest one */
};

typedef enum
{
  FAULT_NONE = 0,
  FAULT_READERS_LOST, /* the first daemon that is left in each domain */
  FAULT_TWO_LOST,     /* the first two that are left */
  FAULT_CONNECTIONS,  /* all open connections are dead, without a sign */
} Fault;

static const char *const fault_names[]
    = { "no fault", "readers lost", "readers and seconds lost", "connections dead" };

typedef struct
{
  GsReaderState state;
  bool lost;
  bool reading;
  bool cut_off; /* it was a reader when all open connections died, so its updates do not arrive */
  int64_t next_check_us;
  int64_t next_read_us; /* of registrations */
  int64_t call_us;      /* start of the running read of the tables; 0: none */
  int64_t call_end_us;
  bool hangs;
  bool changed;   /* the next wait is the first one after a change */
  int64_t got_us; /* when it got the version; 0: not yet */
  int64_t due_us; /* when another daemon's copy arrives; 0: none is on its way */
} Daemon;

typedef struct
{
  Daemon daemons[DOMAINS_MAX][RANKS];
  uint32_t n_domains;
  int64_t now_us;
  int64_t version_us; /* when it is acknowledged */
  int64_t dead_until_us;
  int64_t touch_us; /* from when all daemons that are left are in touch */
} Fleet;

static bool
connections_work (const Fleet *fleet)
{
  return fleet->now_us >= fleet->dead_until_us;
}

static void
get_version (Fleet *fleet, uint32_t domain, Daemon *daemon, bool read_here)
{
  if (daemon->got_us != 0)
    return;
  daemon->got_us = fleet->now_us;
  for (uint32_t i = 0; i < RANKS; i++)
    {
      Daemon *other = &fleet->daemons[domain][i];
      if (other->due_us == 0 && connections_work (fleet))
        other->due_us = fleet->now_us + RELAYED_US;
      if (other->state.behind_us == 0 && read_here)
        other->state.behind_us = fleet->now_us + DATAGRAM_US;
    }
}

/* Once any daemon has the version, the others hear of it from neighbours, and pull it. */
static void
hear_neighbours (Fleet *fleet, Daemon *daemon, int64_t first_us)
{
  if (first_us == 0 || daemon->got_us != 0 || fleet->now_us < first_us + PROBE_US)
    return;
  if (daemon->state.behind_us == 0)
    daemon->state.behind_us = fleet->now_us;
  if (daemon->due_us == 0 && connections_work (fleet))
    daemon->due_us = fleet->now_us + PULL_US;
}

static void
start_tables_call (Fleet *fleet, uint32_t domain, Daemon *daemon)
{
  uint32_t wait_ms = daemon->changed && daemon->state.rank == 0
                         ? gs_reader_first_wait_ms (domain, fleet->n_domains, WAIT_MS)
                         : WAIT_MS;

  daemon->call_us = fleet->now_us;
  daemon->call_end_us = fleet->now_us + wait_ms * GS_US_PER_MS;
  daemon->hangs = false;
  daemon->changed = false;
}

static void
run_tables (Fleet *fleet, uint32_t domain, Daemon *daemon)
{
  bool has_version = fleet->now_us >= fleet->version_us + CALL_US && daemon->got_us == 0;

  if (daemon->call_us == 0)
    {
      if (daemon->reading || gs_reader_must_read_tables (&daemon->state, fleet->now_us))
        start_tables_call (fleet, domain, daemon);
      return;
    }
  if (daemon->hangs ? fleet->now_us < daemon->call_end_us + CALL_TIMEOUT_US
                    : !has_version && fleet->now_us < daemon->call_end_us)
    return;
  daemon->call_us = 0;
  if (!daemon->hangs && has_version)
    get_version (fleet, domain, daemon, true);
}

static void
hear_reader (Fleet *fleet, uint32_t domain, uint32_t rank)
{
  for (uint32_t i = 0; i < RANKS; i++)
    {
      GsReaderState *state = &fleet->daemons[domain][i].state;
      if (i != rank && fleet->daemons[domain][rank].cut_off && !connections_work (fleet))
        continue;
      state->heard_us = state->available_us = fleet->now_us;
      if (rank < i)
        state->preceding_us = fleet->now_us;
    }
}

static void
run_registrations (Fleet *fleet, uint32_t domain, uint32_t rank)
{
  Daemon *daemon = &fleet->daemons[domain][rank];

  if (fleet->now_us >= daemon->next_check_us)
    {
      daemon->next_check_us = fleet->now_us + CHECK_US;
      daemon->reading = gs_reader_must_read (&daemon->state, fleet->now_us);
      if (!daemon->reading || rank == 0)
        daemon->state.taken_over_us = 0;
      else if (daemon->state.taken_over_us == 0)
        daemon->state.taken_over_us = fleet->now_us;
    }
  if (!daemon->reading || fleet->now_us < daemon->next_read_us)
    return;
  daemon->next_read_us = fleet->now_us + READ_INTERVAL_US;
  hear_reader (fleet, domain, rank);
}

static void
lose_first (Fleet *fleet, uint32_t count)
{
  for (uint32_t d = 0; d < fleet->n_domains; d++)
    for (uint32_t i = 0, left = count; i < RANKS && left > 0; i++)
      if (!fleet->daemons[d][i].lost)
        {
          fleet->daemons[d][i].lost = true;
          left--;
        }
}

static void
strike (Fleet *fleet, Fault fault)
{
  if (fault == FAULT_READERS_LOST || fault == FAULT_TWO_LOST)
    lose_first (fleet, fault == FAULT_READERS_LOST ? 1 : 2);
  if (fault != FAULT_CONNECTIONS)
    return;
  fleet->dead_until_us = fleet->now_us + DEAD_US;
  fleet->touch_us = fleet->now_us + STABLE_WINDOW_US;
  for (uint32_t d = 0; d < fleet->n_domains; d++)
    for (uint32_t i = 0; i < RANKS; i++)
      {
        Daemon *daemon = &fleet->daemons[d][i];
        daemon->hangs = daemon->call_us != 0;
        daemon->cut_off = daemon->reading;
      }
}

static int64_t
first_got_us (const Fleet *fleet)
{
  int64_t first_us = 0;

  for (uint32_t d = 0; d < fleet->n_domains; d++)
    for (uint32_t i = 0; i < RANKS; i++)
      {
        const Daemon *daemon = &fleet->daemons[d][i];
        if (!daemon->lost && daemon->got_us != 0 && (first_us == 0 || daemon->got_us < first_us))
          first_us = daemon->got_us;
      }
  return first_us;
}

static void
run_step (Fleet *fleet)
{
  int64_t first_us = first_got_us (fleet);

  for (uint32_t d = 0; d < fleet->n_domains; d++)
    for (uint32_t i = 0; i < RANKS; i++)
      {
        Daemon *daemon = &fleet->daemons[d][i];
        if (daemon->lost)
          continue;
        run_registrations (fleet, d, i);
        hear_neighbours (fleet, daemon, first_us);
        run_tables (fleet, d, daemon);
        if (daemon->due_us != 0 && fleet->now_us >= daemon->due_us)
          get_version (fleet, d, daemon, false);
        if (daemon->got_us != 0)
          daemon->state.behind_us = 0;
      }
}

/* Time from the acknowledgement, or for a daemon that is in touch only later than the bound after
 * it, from the bound before it was in touch, until the last daemon that is left has the version. */
static int64_t
delay_us (const Fleet *fleet)
{
  int64_t from_us = MAX (fleet->version_us, fleet->touch_us - CONFIG_APPLY_US);
  int64_t delay = 0;

  for (uint32_t d = 0; d < fleet->n_domains; d++)
    for (uint32_t i = 0; i < RANKS; i++)
      {
        const Daemon *daemon = &fleet->daemons[d][i];
        if (!daemon->lost)
          delay = MAX (delay, (daemon->got_us != 0 ? daemon->got_us : END_US) - from_us);
      }
  return delay;
}

/* When things happen, in microseconds. */
typedef struct
{
  int64_t fault_us;
  int64_t second_us;  /* after the first fault */
  int64_t version_us; /* the same */
  int64_t change_us;  /* the last change before ended all reads; before the first fault */
} Times;

/* A change ends the reads of the readers. */
static void
end_reads (Fleet *fleet)
{
  for (uint32_t d = 0; d < fleet->n_domains; d++)
    {
      fleet->daemons[d][0].call_us = 0;
      fleet->daemons[d][0].changed = true;
    }
}

/* RETURN VALUE: the delay of the version when FIRST and SECOND come at TIMES. */
static int64_t
run_fleet (uint32_t n_domains, Fault first, Fault second, const Times *times)
{
  g_autofree Fleet *fleet = g_new0 (Fleet, 1);

  fleet->n_domains = n_domains;
  fleet->version_us = times->fault_us + times->version_us;
  for (uint32_t d = 0; d < n_domains; d++)
    for (uint32_t i = 0; i < RANKS; i++)
      fleet->daemons[d][i].state = (GsReaderState){ .rank = i, .n_ranks = RANKS };
  for (fleet->now_us = STEP_US; fleet->now_us < END_US; fleet->now_us += STEP_US)
    {
      if (fleet->now_us == times->fault_us - times->change_us)
        end_reads (fleet);
      if (fleet->now_us == times->fault_us)
        strike (fleet, first);
      if (fleet->now_us == times->fault_us + times->second_us)
        strike (fleet, second);
      run_step (fleet);
    }
  return delay_us (fleet);
}

/* RETURN VALUE: the longest delay for all TIMES that differ in what they catch. */
static int64_t
longest_us (uint32_t n_domains, Fault first, Fault second)
{
  static const int64_t seconds_ms[] = { 200, 1000, 1400, 1800, 2200 };
  static const int64_t changes_ms[] = { 10, 400, 800 };
  size_t n_seconds = second == FAULT_NONE ? 1 : G_N_ELEMENTS (seconds_ms);
  int64_t longest = 0;

  for (int64_t phase_ms = 0; phase_ms < READ_INTERVAL_US / GS_US_PER_MS; phase_ms += 200)
    for (int64_t version_ms = 0; version_ms <= 2400; version_ms += 600)
      for (size_t i = 0; i < n_seconds; i++)
        for (size_t k = 0; k < G_N_ELEMENTS (changes_ms); k++)
          {
            Times times = { .fault_us = FAULT_US + phase_ms * GS_US_PER_MS,
                            .second_us = seconds_ms[i] * GS_US_PER_MS,
                            .version_us = version_ms * GS_US_PER_MS,
                            .change_us = changes_ms[k] * GS_US_PER_MS };
            longest = MAX (longest, run_fleet (n_domains, first, second, &times));
          }
  return longest;
}

static void
check_pair (Fault first, Fault second)
{
  for (uint32_t n_domains = DOMAINS_MAX - 1; n_domains <= DOMAINS_MAX; n_domains++)
    {
      int64_t longest = longest_us (n_domains, first, second);

      printf ("%u domains, %s, then %s: %" G_GINT64_FORMAT " ms\n", n_domains, fault_names[first],
              fault_names[second], longest / GS_US_PER_MS);
      ck_assert_msg (longest <= CONFIG_APPLY_US, "%s, then %s: %" G_GINT64_FORMAT " ms",
                     fault_names[first], fault_names[second], longest / GS_US_PER_MS);
    }
}

/* Guards against one fault that delays a version beyond its bound. */
START_TEST (version_is_in_force_in_time_after_one_fault)
{
  for (int fault = FAULT_NONE; fault <= FAULT_CONNECTIONS; fault++)
    check_pair ((Fault)fault, FAULT_NONE);
}
END_TEST

/* Guards against two faults in a row, each within its bound, that together exceed it. */
START_TEST (version_is_in_force_in_time_after_two_faults_in_a_row)
{
  for (int first = FAULT_READERS_LOST; first <= FAULT_CONNECTIONS; first++)
    for (int second = FAULT_READERS_LOST; second <= FAULT_CONNECTIONS; second++)
      check_pair ((Fault)first, (Fault)second);
}
END_TEST

FIXTURE_MAIN ("version_spread",
              &version_is_in_force_in_time_after_one_fault,
              &version_is_in_force_in_time_after_two_faults_in_a_row)
