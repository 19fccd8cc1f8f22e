/* Unit tests of core/reader: the daemons of one failure domain in virtual time, some of which are
 * lost at the same moment. */
#include <stdio.h>

#include "../../src/gentian/core/reader.h"
#include "fixture.h"

enum
{
  ZONE_MAX = 99,
  ZONE_STEP_US = 4 * GS_US_PER_MS,
  ZONE_READ_INTERVAL_US = 800 * GS_US_PER_MS,
  ZONE_CHECK_INTERVAL_US = 150 * GS_US_PER_MS,
  ZONE_READ_US = 20 * GS_US_PER_MS,   /* a call to the store and its handling */
  ZONE_MESSAGE_US = 6 * GS_US_PER_MS, /* to another daemon, and its handling */
  ZONE_PULL_US = 3 * ZONE_MESSAGE_US, /* a message, a pull and its answer */
  ZONE_LOSS_US = 3 * GS_US_PER_S,
  ZONE_END_US = 9 * GS_US_PER_S,
  /* The users' ConfigApply on the sites with the strictest one. */
  ZONE_CONFIG_APPLY_US = 2 * GS_US_PER_S,
};

typedef struct
{
  GsReaderState state;
  bool lost;
  bool reading;
  int64_t next_us;   /* next check */
  int64_t done_us;   /* end of the running read; 0: none */
  int64_t config_us; /* when it got the configuration; 0: not yet */
} Daemon;

/* An update of a reader, on its way to all others. */
typedef struct
{
  uint32_t from;
  bool has_config;
  int64_t arrives_us;
} Update;

typedef struct
{
  Daemon daemons[ZONE_MAX];
  uint32_t n;
  GArray *updates; /* of Update, by arrival */
  int64_t config_us;
  uint32_t reads;  /* since the loss */
  uint32_t takers; /* daemons that have taken over since then */
  int64_t first_takeover_us;
} Zone;

static Zone *
zone_new (uint32_t n)
{
  Zone *zone = g_new0 (Zone, 1);

  zone->n = n;
  zone->updates = g_array_new (FALSE, FALSE, sizeof (Update));
  for (uint32_t i = 0; i < n; i++)
    zone->daemons[i].state = (GsReaderState){ .rank = i, .n_ranks = n };
  return zone;
}

static void
zone_free (Zone *zone)
{
  g_array_unref (zone->updates);
  g_free (zone);
}

static void
finish_read (Zone *zone, uint32_t index, int64_t now_us)
{
  Daemon *daemon = &zone->daemons[index];
  Update update = { .from = index, .arrives_us = now_us + ZONE_MESSAGE_US };

  daemon->done_us = 0;
  daemon->next_us = now_us + ZONE_READ_INTERVAL_US;
  daemon->state.heard_us = daemon->state.available_us = now_us;
  update.has_config = now_us - ZONE_READ_US >= zone->config_us;
  if (update.has_config && daemon->config_us == 0)
    daemon->config_us = now_us;
  g_array_append_val (zone->updates, update);
}

static void
check (Zone *zone, uint32_t index, int64_t now_us)
{
  Daemon *daemon = &zone->daemons[index];
  bool must = gs_reader_must_read (&daemon->state, now_us);

  if (!must)
    daemon->state.taken_over_us = 0;
  else if (daemon->state.rank != 0 && daemon->state.taken_over_us == 0)
    {
      daemon->state.taken_over_us = now_us;
      zone->takers++;
      if (zone->first_takeover_us == 0)
        zone->first_takeover_us = now_us;
    }
  daemon->reading = must;
  if (must)
    {
      daemon->done_us = now_us + ZONE_READ_US;
      zone->reads += now_us > ZONE_LOSS_US ? 1 : 0;
      return;
    }
  daemon->next_us = now_us
                    + CLAMP (gs_reader_takeover_us (&daemon->state) - now_us, GS_US_PER_MS,
                             ZONE_CHECK_INTERVAL_US);
}

static void
receive (Zone *zone, const Update *update, int64_t now_us)
{
  for (uint32_t i = 0; i < zone->n; i++)
    {
      Daemon *daemon = &zone->daemons[i];
      if (daemon->lost || i == update->from)
        continue;
      daemon->state.heard_us = daemon->state.available_us = now_us;
      if (update->from < i)
        daemon->state.preceding_us = now_us;
      if (update->has_config && daemon->config_us == 0)
        daemon->config_us = now_us - ZONE_MESSAGE_US + ZONE_PULL_US;
    }
}

/* Runs the zone: the daemons that LOST names are lost ZONE_LOSS_US + PHASE_US after the start, and
 * the configuration is acknowledged AFTER_US later. */
static void
run_zone (Zone *zone, const bool *lost, int64_t phase_us, int64_t after_us)
{
  zone->config_us = ZONE_LOSS_US + phase_us + after_us;
  for (int64_t now_us = ZONE_STEP_US; now_us < ZONE_END_US; now_us += ZONE_STEP_US)
    {
      if (now_us >= ZONE_LOSS_US + phase_us)
        for (uint32_t i = 0; i < zone->n; i++)
          zone->daemons[i].lost = lost[i];
      while (zone->updates->len > 0
             && g_array_index (zone->updates, Update, 0).arrives_us <= now_us)
        {
          Update update = g_array_index (zone->updates, Update, 0);
          g_array_remove_index (zone->updates, 0);
          receive (zone, &update, now_us);
        }
      for (uint32_t i = 0; i < zone->n; i++)
        {
          Daemon *daemon = &zone->daemons[i];
          if (daemon->lost)
            continue;
          if (daemon->done_us != 0 && daemon->done_us <= now_us)
            finish_read (zone, i, now_us);
          else if (daemon->done_us == 0 && daemon->next_us <= now_us)
            check (zone, i, now_us);
        }
    }
}

static uint32_t
count_readers (const Zone *zone)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < zone->n; i++)
    count += !zone->daemons[i].lost && zone->daemons[i].reading ? 1 : 0;
  return count;
}

typedef struct
{
  int64_t slowest_us;
  uint32_t most_takers;
  uint32_t most_reads;
} Extremes;

/* Runs a zone of N without the daemons in LOST and checks what holds for each such loss. */
static void
check_loss (uint32_t n, const bool *lost, int64_t phase_us, Extremes *extremes)
{
  static const int64_t after_us[] = { 0, 300 * GS_US_PER_MS };

  for (size_t k = 0; k < G_N_ELEMENTS (after_us); k++)
    {
      Zone *zone = zone_new (n);
      run_zone (zone, lost, phase_us, after_us[k]);
      for (uint32_t i = 0; i < n; i++)
        {
          int64_t delay_us = zone->daemons[i].config_us - zone->config_us;
          if (lost[i])
            continue;
          ck_assert_msg (zone->daemons[i].config_us != 0 && delay_us <= ZONE_CONFIG_APPLY_US,
                         "of %u, rank %u applies a configuration after %" G_GINT64_FORMAT " ms", n,
                         i, delay_us / GS_US_PER_MS);
          extremes->slowest_us = MAX (extremes->slowest_us, delay_us);
        }
      ck_assert_uint_eq (count_readers (zone), 1);
      extremes->most_takers = MAX (extremes->most_takers, zone->takers);
      extremes->most_reads = MAX (extremes->most_reads, zone->reads);
      zone_free (zone);
    }
}

static const uint32_t sizes[] = { 1, 12, 32, 99 };

/* Guards against a delay that grows with the zone: the first daemon that is left may have any rank.
 */
START_TEST (configuration_is_applied_in_time_whichever_first_ranks_are_lost)
{
  for (size_t s = 0; s < G_N_ELEMENTS (sizes); s++)
    {
      Extremes extremes = { 0 };
      for (uint32_t first = 0; first < sizes[s]; first++)
        for (int64_t phase_us = 0; phase_us < ZONE_READ_INTERVAL_US; phase_us += 160 * GS_US_PER_MS)
          {
            bool lost[ZONE_MAX] = { false };
            for (uint32_t i = 0; i < first; i++)
              lost[i] = true;
            check_loss (sizes[s], lost, phase_us, &extremes);
            for (uint32_t i = first + 1; i < sizes[s]; i++)
              lost[i] = true;
            check_loss (sizes[s], lost, phase_us, &extremes); /* FIRST alone is left */
          }
      printf (
          "%u daemons: slowest %" G_GINT64_FORMAT " ms, most that take over %u, reads in 6 s %u\n",
          sizes[s], extremes.slowest_us / GS_US_PER_MS, extremes.most_takers, extremes.most_reads);
    }
}
END_TEST

/* Guards against a subset of daemons, other than those above, that is left without a reader. */
START_TEST (configuration_is_applied_in_time_whatever_is_lost)
{
  GsRandom random = { .state = 36 };

  for (size_t s = 0; s < G_N_ELEMENTS (sizes); s++)
    {
      Extremes extremes = { 0 };
      for (int round = 0; round < 120; round++)
        {
          bool lost[ZONE_MAX] = { false };
          double share = gs_random_unit (&random);
          for (uint32_t i = 0; i < sizes[s]; i++)
            lost[i] = gs_random_unit (&random) < share;
          lost[gs_random_next (&random) % sizes[s]] = false;
          check_loss (sizes[s], lost,
                      (int64_t)(gs_random_unit (&random) * (double)ZONE_READ_INTERVAL_US),
                      &extremes);
        }
      printf ("%u daemons, any subset: slowest %" G_GINT64_FORMAT
              " ms, most that take over %u, reads in 6 s %u\n",
              sizes[s], extremes.slowest_us / GS_US_PER_MS, extremes.most_takers,
              extremes.most_reads);
    }
}
END_TEST

/* Guards against a price of reading that grows with the zone, while its reader works or when it
 * alone is lost. */
START_TEST (one_daemon_reads_at_a_time)
{
  for (size_t s = 0; s < G_N_ELEMENTS (sizes); s++)
    for (uint32_t n_lost = 0; n_lost <= MIN (1, sizes[s] - 1); n_lost++)
      {
        bool lost[ZONE_MAX] = { n_lost > 0 };
        Zone *zone = zone_new (sizes[s]);
        run_zone (zone, lost, 0, 0);
        ck_assert_uint_eq (zone->takers, n_lost);
        ck_assert_uint_eq (count_readers (zone), 1);
        zone_free (zone);
      }
}
END_TEST

/* Guards against two daemons that stop reading for each other. */
START_TEST (daemon_that_took_over_reads_until_one_before_it_does)
{
  GsReaderState state
      = { .rank = 3, .n_ranks = 9, .heard_us = GS_US_PER_S, .available_us = GS_US_PER_S };
  int64_t due_us = gs_reader_takeover_us (&state);

  ck_assert (!gs_reader_must_read (&state, due_us - 1));
  ck_assert (gs_reader_must_read (&state, due_us));
  state.taken_over_us = due_us;
  state.heard_us = due_us + GS_US_PER_S; /* a daemon behind it reads too */
  ck_assert (gs_reader_must_read (&state, due_us + GS_US_PER_S));
  state.preceding_us = due_us + GS_US_PER_S;
  ck_assert (!gs_reader_must_read (&state, due_us + GS_US_PER_S));
}
END_TEST

/* Guards against an outage of the store in which all daemons call it at once. */
START_TEST (readers_that_the_store_does_not_answer_are_relieved_one_after_another)
{
  for (uint32_t rank = 1; rank < ZONE_MAX; rank++)
    {
      GsReaderState state = { .rank = rank,
                              .n_ranks = ZONE_MAX,
                              .heard_us = 60 * GS_US_PER_S,
                              .available_us = 50 * GS_US_PER_S };
      GsReaderState next = state;

      next.rank++;
      if (gs_reader_takeover_us (&next) < state.heard_us)
        ck_assert_int_ge (gs_reader_takeover_us (&next) - gs_reader_takeover_us (&state),
                          100 * GS_US_PER_MS);
    }
}
END_TEST

/* Guards against a daemon that reads and sends all registrations although it knows recent ones, and
 * against one that reads the records of a long time instead. */
START_TEST (new_reader_continues_from_recent_registrations_only)
{
  GsReaderState state = { .rank = 1, .n_ranks = 2, .available_us = GS_US_PER_S };

  ck_assert (gs_reader_continues (&state, gs_reader_takeover_us (&state)));
  ck_assert (!gs_reader_continues (&state, GS_US_PER_S + GS_READER_CONTINUE_MAX_US + 1));
}
END_TEST

/* Guards against a daemon that waits without end for tables that others have, and against one that
 * calls the store for tables that are on their way. */
START_TEST (daemon_that_is_behind_reads_the_tables_itself)
{
  GsReaderState state = { .rank = 9, .n_ranks = 99, .heard_us = GS_US_PER_S };
  int64_t now_us = GS_US_PER_S + 1;

  state.available_us = state.heard_us;
  ck_assert (!gs_reader_must_read_tables (&state, now_us));
  state.behind_us = now_us;
  ck_assert (!gs_reader_must_read_tables (&state, now_us + GS_READER_BEHIND_MAX_US - 1));
  ck_assert (gs_reader_must_read_tables (&state, now_us + GS_READER_BEHIND_MAX_US));
  ck_assert (!gs_reader_must_read (&state, now_us + GS_READER_BEHIND_MAX_US));
}
END_TEST

/* Guards against reads of all domains that start together, and so hang for the same time. */
START_TEST (first_waits_of_the_readers_differ)
{
  for (uint32_t domain = 0; domain < 4; domain++)
    ck_assert_uint_eq (gs_reader_first_wait_ms (domain, 4, 1200), 300 * (domain + 1));
}
END_TEST

FIXTURE_MAIN ("reader",
              &configuration_is_applied_in_time_whichever_first_ranks_are_lost,
              &configuration_is_applied_in_time_whatever_is_lost,
              &one_daemon_reads_at_a_time,
              &daemon_that_took_over_reads_until_one_before_it_does,
              &readers_that_the_store_does_not_answer_are_relieved_one_after_another,
              &new_reader_continues_from_recent_registrations_only,
              &daemon_that_is_behind_reads_the_tables_itself,
              &first_waits_of_the_readers_differ)
