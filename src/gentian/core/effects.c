#include "core_private.h"

#include <stdarg.h>

struct GsEffects
{
  GArray *effects; /* of GsEffect */
};

GsEffects *
gs_effects_new (void)
{
  GsEffects *effects = g_new0 (GsEffects, 1);

  effects->effects = g_array_new (FALSE, TRUE, sizeof (GsEffect));
  return effects;
}

uint32_t
gs_effects_count (const GsEffects *effects)
{
  return effects->effects->len;
}

const GsEffect *
gs_effects_get (const GsEffects *effects, uint32_t index)
{
  return &g_array_index (effects->effects, GsEffect, index);
}

void
gs_effects_clear (GsEffects *effects)
{
  for (guint i = 0; i < effects->effects->len; i++)
    {
      GsEffect *effect = &g_array_index (effects->effects, GsEffect, i);
      if (effect->kind == GS_EFFECT_MEMBER_MESSAGE)
        g_free (effect->member_message.updates);
      if (effect->kind == GS_EFFECT_REGISTRY_UPDATE)
        {
          g_free ((GsRegistryChange *)effect->registry_update.update.changes);
          g_free (effect->registry_update.recipients);
        }
      if (effect->kind == GS_EFFECT_QUOTA_REPORT)
        g_free (effect->quota_report.demands);
      if (effect->kind == GS_EFFECT_QUOTA_REPLY)
        g_free (effect->quota_reply.grants);
      if (effect->kind == GS_EFFECT_REPORT_BROADCAST)
        g_free (effect->report_broadcast.recipients);
    }
  g_array_set_size (effects->effects, 0);
}

void
gs_effects_free (GsEffects *effects)
{
  if (effects == NULL)
    return;
  gs_effects_clear (effects);
  g_array_unref (effects->effects);
  g_free (effects);
}

/* The returned pointer is valid until the next effect is added. */
GsEffect *
core_add_effect (GsCore *core, GsEffectKind kind)
{
  GArray *effects = core->effects->effects;
  GsEffect *effect;

  g_array_set_size (effects, effects->len + 1);
  effect = &g_array_index (effects, GsEffect, effects->len - 1);
  effect->kind = kind;
  effect->to = (GsPeerAddress){ 0 };
  return effect;
}

static GsLogLevel
log_event_level (GsLogEvent number)
{
  switch (number)
    {
#define LOG_EVENT_CASE(name, value, level, text)                                                   \
  case GS_LOG_EVENT_##name:                                                                        \
    return level;
      GS_LOG_EVENTS (LOG_EVENT_CASE)
#undef LOG_EVENT_CASE
    }
  return GS_LOG_LEVEL_DEBUG;
}

void
core_log_event (GsCore *core, GsLogEvent number, const char *format, ...)
{
  GsEffect *effect;
  va_list arguments;

  if (log_event_level (number) > core->options.log_level)
    return;
  effect = core_add_effect (core, GS_EFFECT_LOG_EVENT);
  effect->log_event.number = number;
  va_start (arguments, format);
  g_vsnprintf (effect->log_event.text, sizeof effect->log_event.text, format, arguments);
  va_end (arguments);
}
