#include "estimator.h"

#include <glib.h>
#include <math.h>

/** Least weight of a new sample in its cell. */
#define ESTIMATOR_SAMPLES_MAX 32.0
/** Time constant at which the evidence of a cell decays. */
#define ESTIMATOR_DECAY_S 120.0
/** Weight of a new sample in the errors of a predictor. */
#define ESTIMATOR_ERROR_WEIGHT (1.0 / 300)
/** Samples before a predictor's error is trusted. */
#define ESTIMATOR_TRIAL_SAMPLES 40
/** Mean squared error with a predictor over that without it, below which it comes into use and
 * above which it goes out of use. A predictor without information scores slightly above 1. */
#define ESTIMATOR_USE_BELOW 0.96
#define ESTIMATOR_USE_UNTIL 0.99

typedef struct
{
  uint64_t key; /* 0: free */
  double samples;
  double mean; /* of the logarithm, or of its deviation from the estimate of the stages before */
  int64_t at_us;
} Cell;

/* How a predictor refines the stage before it. */
typedef struct
{
  const char *name;
  /* samples at which the cell weighs as much as the stage before it: the variance within a cell
   * over that between cells */
  double prior_samples;
  bool is_deviation; /* its cells hold deviations; otherwise levels */
  bool is_optional;  /* used only while it lowers the error */
} Stage;

static const Stage stages[GS_PREDICTOR_COUNT] = {
  [GS_PREDICTOR_POOL] = { "pool", 0, false, false },
  [GS_PREDICTOR_FLOW] = { "flow", 1, false, false },
  [GS_PREDICTOR_CLASS] = { "class", 2, false, true },
  [GS_PREDICTOR_SIZE] = { "size", 4, true, true },
  [GS_PREDICTOR_WORKSPACE] = { "workspace", 4, true, true },
};

typedef struct
{
  double squared_without;
  double squared_with;
  uint32_t samples;
  bool in_use;
} Trial;

struct GsEstimator
{
  Cell pool;
  Cell cells[GS_ESTIMATOR_CELLS];
  Trial trials[GS_PREDICTOR_COUNT];
};

GsEstimator *
gs_estimator_new (void)
{
  return g_new0 (GsEstimator, 1);
}

void
gs_estimator_free (GsEstimator *estimator)
{
  g_free (estimator);
}

/* The power of two above the body's size. */
static uint64_t
size_bucket (uint32_t bytes)
{
  return bytes != 0 ? 64 - (uint64_t)__builtin_clzll (bytes) : 0;
}

/* RETURN VALUE: key of the cell of PREDICTOR for KEY; 0 when KEY lacks its value. */
static uint64_t
cell_key (GsPredictor predictor, const GsCostKey *key)
{
  uint64_t value = predictor == GS_PREDICTOR_FLOW    ? 1
                   : predictor == GS_PREDICTOR_CLASS ? key->work_class
                   : predictor == GS_PREDICTOR_SIZE  ? size_bucket (key->body_bytes)
                                                     : key->workspace;

  if (value == 0 || predictor == GS_PREDICTOR_POOL)
    return 0;
  value = gs_mix64 (key->flow ^ gs_mix64 (value ^ ((uint64_t)predictor << 60)));
  return value != 0 ? value : 1;
}

static Cell *
first_way (const GsEstimator *estimator, uint64_t key)
{
  uint64_t set = key % (GS_ESTIMATOR_CELLS / GS_ESTIMATOR_WAYS);

  return (Cell *)&estimator->cells[set * GS_ESTIMATOR_WAYS];
}

static const Cell *
find (const GsEstimator *estimator, uint64_t key)
{
  const Cell *cells = first_way (estimator, key);

  for (int i = 0; i < GS_ESTIMATOR_WAYS; i++)
    if (cells[i].key == key)
      return &cells[i];
  return NULL;
}

static Cell *
find_or_replace (GsEstimator *estimator, uint64_t key)
{
  Cell *cells = first_way (estimator, key);
  Cell *oldest = cells;

  for (int i = 0; i < GS_ESTIMATOR_WAYS; i++)
    {
      if (cells[i].key == key)
        return &cells[i];
      if (cells[i].at_us < oldest->at_us)
        oldest = &cells[i];
    }
  *oldest = (Cell){ .key = key };
  return oldest;
}

/* RETURN VALUE: ESTIMATE of the stages before PREDICTOR, refined by it as far as its cell has
 * evidence. */
static double
refine (const GsEstimator *estimator, GsPredictor predictor, const GsCostKey *key, double estimate)
{
  const Stage *stage = &stages[predictor];
  uint64_t cell_of = cell_key (predictor, key);
  const Cell *cell = cell_of != 0 ? find (estimator, cell_of) : NULL;
  double weight;

  if (cell == NULL)
    return estimate;
  weight = cell->samples / (cell->samples + stage->prior_samples);
  return stage->is_deviation ? estimate + weight * cell->mean
                             : estimate + weight * (cell->mean - estimate);
}

static bool
is_in_use (const GsEstimator *estimator, GsPredictor predictor)
{
  return !stages[predictor].is_optional || estimator->trials[predictor].in_use;
}

double
gs_estimator_typical_us (const GsEstimator *estimator, const GsCostKey *key)
{
  double estimate = estimator->pool.mean;

  if (estimator->pool.samples <= 0)
    return 0;
  for (int i = GS_PREDICTOR_FLOW; i < GS_PREDICTOR_COUNT; i++)
    if (is_in_use (estimator, (GsPredictor)i))
      estimate = refine (estimator, (GsPredictor)i, key, estimate);
  return exp (estimate);
}

double
gs_estimator_overall_us (const GsEstimator *estimator)
{
  return estimator->pool.samples > 0 ? exp (estimator->pool.mean) : 0;
}

static void
add_to_cell (Cell *cell, double value, int64_t now_us)
{
  double elapsed_s = (double)(now_us - cell->at_us) / (double)GS_US_PER_S;

  cell->samples = fmin (cell->samples, ESTIMATOR_SAMPLES_MAX - 1);
  if (cell->at_us != 0 && elapsed_s > 0)
    cell->samples *= exp (-elapsed_s / ESTIMATOR_DECAY_S);
  cell->samples += 1;
  cell->mean += (value - cell->mean) / cell->samples;
  cell->at_us = now_us;
}

static void
measure (Trial *trial, double error_without, double error_with)
{
  double weight = fmax (1.0 / (trial->samples + 1), ESTIMATOR_ERROR_WEIGHT);
  double ratio;

  trial->squared_without += weight * (error_without * error_without - trial->squared_without);
  trial->squared_with += weight * (error_with * error_with - trial->squared_with);
  trial->samples += trial->samples < UINT32_MAX ? 1 : 0;
  if (trial->samples < ESTIMATOR_TRIAL_SAMPLES || trial->squared_without <= 0)
    return;
  ratio = trial->squared_with / trial->squared_without;
  trial->in_use = ratio < (trial->in_use ? ESTIMATOR_USE_UNTIL : ESTIMATOR_USE_BELOW);
}

void
gs_estimator_add (GsEstimator *estimator, const GsCostKey *key, int64_t answer_us, int64_t now_us)
{
  double value = log ((double)(answer_us > 1 ? answer_us : 1));
  double estimate = estimator->pool.samples > 0 ? estimator->pool.mean : value;

  measure (&estimator->trials[GS_PREDICTOR_POOL], value - estimate, value - estimate);
  for (int i = GS_PREDICTOR_FLOW; i < GS_PREDICTOR_COUNT; i++)
    {
      uint64_t cell_of = cell_key ((GsPredictor)i, key);
      double refined;
      if (cell_of == 0)
        continue;
      refined = refine (estimator, (GsPredictor)i, key, estimate);
      measure (&estimator->trials[i], value - estimate, value - refined);
      add_to_cell (find_or_replace (estimator, cell_of),
                   stages[i].is_deviation ? value - estimate : value, now_us);
      if (is_in_use (estimator, (GsPredictor)i))
        estimate = refined;
    }
  add_to_cell (&estimator->pool, value, now_us);
}

GsPredictorView
gs_estimator_view (const GsEstimator *estimator, GsPredictor predictor)
{
  const Trial *trial = &estimator->trials[predictor];

  return (GsPredictorView){ .error_without = sqrt (trial->squared_without),
                            .error_with = sqrt (trial->squared_with),
                            .samples = trial->samples,
                            .in_use = is_in_use (estimator, predictor) && trial->samples > 0 };
}

const char *
gs_predictor_name (GsPredictor predictor)
{
  return stages[predictor].name;
}
