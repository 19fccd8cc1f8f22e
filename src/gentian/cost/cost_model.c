#include "cost_model.h"

#include <glib.h>
#include <math.h>

/** Rank of a request of mean size after its arrival, as a part of the bound. Larger ones go up to
 * the bound. */
#define COST_ORDER_MEAN_SHARE 0.25
#define COST_REPORT_US GS_US_PER_S

struct GsCostModel
{
  GsEstimator *estimator;
  GsWorkTail tail;
  GsSpeed speed; /* of all servers */
  GsCostReport report;
  int64_t reported_us;
};

GsCostModel *
gs_cost_model_new (void)
{
  GsCostModel *model = g_new0 (GsCostModel, 1);

  model->estimator = gs_estimator_new ();
  gs_work_tail_init (&model->tail);
  return model;
}

void
gs_cost_model_free (GsCostModel *model)
{
  if (model == NULL)
    return;
  gs_estimator_free (model->estimator);
  g_free (model);
}

bool
gs_placement_uses_cost (GsPlacement placement, uint32_t slots_max, uint64_t workspace)
{
  if (placement != GS_PLACEMENT_AUTO)
    return placement == GS_PLACEMENT_COST;
  return workspace != 0 || (slots_max > 0 && slots_max <= GS_PLACEMENT_AUTO_SLOTS);
}

double
gs_cost_model_unit_us (const GsCostModel *model)
{
  return gs_estimator_overall_us (model->estimator) * gs_work_tail_remainder (&model->tail, 0);
}

GsRequestCost
gs_cost_model_estimate (const GsCostModel *model, const GsCostKey *key)
{
  double typical_us = gs_estimator_typical_us (model->estimator, key);
  double unit_us = gs_cost_model_unit_us (model);

  return (GsRequestCost){ .typical_us = typical_us,
                          .mean_us = typical_us * gs_work_tail_remainder (&model->tail, 0),
                          .unit_us = unit_us,
                          .per_unit = unit_us > 0 ? 1 / unit_us : 0,
                          .body_bytes = key->body_bytes,
                          .tail = &model->tail };
}

int64_t
gs_cost_model_rare_age_us (const GsCostModel *model, double typical_us)
{
  return (int64_t)(model->tail.rare_age * typical_us);
}

static void
count_error (GsCostModel *model, double typical_us, int64_t answer_us)
{
  double mean_us = typical_us * gs_work_tail_remainder (&model->tail, 0);

  model->report.results++;
  model->report.estimated_us += (uint64_t)mean_us;
  model->report.measured_us += (uint64_t)MAX (answer_us, 0);
  model->report.error_us += (uint64_t)fabs (mean_us - (double)answer_us);
}

void
gs_cost_model_add (GsCostModel *model,
                   const GsCostKey *key,
                   double typical_us,
                   int64_t answer_us,
                   GsSpeed *server,
                   int64_t now_us)
{
  if (typical_us > 0)
    {
      double ratio = (double)MAX (answer_us, 1) / typical_us;
      count_error (model, typical_us, answer_us);
      if (server != NULL)
        {
          /* the work of a slow server's requests is as usual */
          gs_work_tail_add (&model->tail, ratio / gs_speed_slowness (server, now_us));
          gs_speed_add (&model->speed, server, log (ratio), now_us);
        }
    }
  gs_estimator_add (model->estimator, key, answer_us, now_us);
}

int64_t
gs_cost_order_us (int64_t arrived_us, const GsRequestCost *cost)
{
  double size = cost != NULL && cost->unit_us > 0 ? cost->mean_us / cost->unit_us : 1;
  double share = fmin (size * COST_ORDER_MEAN_SHARE, 1);

  return arrived_us + (int64_t)(share * (double)GS_COST_OVERTAKING_US);
}

bool
gs_cost_model_next_report (GsCostModel *model, int64_t now_us, GsCostReport *report)
{
  if (model->report.results == 0 || now_us - model->reported_us < COST_REPORT_US)
    return false;
  *report = model->report;
  report->typical_us = (uint64_t)gs_estimator_overall_us (model->estimator);
  report->tail_at_4 = gs_work_tail_remainder (&model->tail, 4);
  for (int i = 0; i < GS_PREDICTOR_COUNT; i++)
    report->predictors[i] = gs_estimator_view (model->estimator, (GsPredictor)i);
  model->report = (GsCostReport){ .results = 0 };
  model->reported_us = now_us;
  return true;
}
