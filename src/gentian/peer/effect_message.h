/**
 * NAME
 *   effect_message - messages between the reducers of daemons, from effects and to events
 *
 * SYNOPSIS
 *   if (gs_effect_to_message (effect, &own_address, now_us, &message))
 *     send (gs_wire_encode (&message));
 *   gs_message_to_event (&message, now_us, &event);
 *
 * DESCRIPTION
 *   Deadlines and targets are durations in messages, since the clocks of two daemons differ. Pure:
 * no I/O, no clock. Used by the daemon, and by tests that connect several reducers.
 */
#ifndef GS_EFFECT_MESSAGE_H
#define GS_EFFECT_MESSAGE_H

#include "wire.h"

/** Fills MESSAGE with what EFFECT sends from the daemon at SELF. Arrays stay those of EFFECT.
 * RETURN VALUE: false if EFFECT is no message on slots, retry accounts, slices or quotas. */
bool gs_effect_to_message (const GsEffect *effect,
                           const GsPeerAddress *self,
                           int64_t now_us,
                           GsWireMessage *message);

/** Sets kind and contents of EVENT, by which MESSAGE arrives. EVENT refers to MESSAGE. RETURN
 * VALUE: false if MESSAGE is not for the reducer: a pull, or a snapshot of the tables. */
bool gs_message_to_event (const GsWireMessage *message, int64_t now_us, GsEvent *event);

#endif
