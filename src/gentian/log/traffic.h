/**
 * NAME
 *   traffic - counters of what goes to the same and to other failure domains, exported as text
 *
 * DESCRIPTION
 *   Atomic counters of messages and bytes sent to other daemons, by kind of message, and of bytes
 * of proxied bodies, each by the receiver's failure domain: this daemon's own ("same"), another one
 * ("other"), or not known yet ("unknown"). Bytes are those of the messages themselves, without
 * headers of lower layers. Rendered in the Prometheus text format. Thread-safe.
 * docs/operators/METRICS.md lists them; test/unit/test_docs.c compares that list with this one.
 */
#ifndef GS_TRAFFIC_H
#define GS_TRAFFIC_H

#include <stdint.h>

#include "../core/base.h"

enum
{
  GS_TRAFFIC_KINDS = 16, /**< numbers of kinds of messages, from 0; see GsWireKind */
};

typedef enum
{
  GS_TRAFFIC_PEER_MESSAGES = 0,
  GS_TRAFFIC_PEER_BYTES,
  GS_TRAFFIC_BODY_BYTES,
  GS_TRAFFIC_METRICS,
} GsTrafficMetric;

/** Counts a message of KIND and LENGTH bytes that was sent to a daemon of DOMAIN. */
void gs_traffic_add_message (uint32_t kind, GsDomainRelation domain, uint64_t length);

/** Counts BYTES of the bodies of a request and its answer, exchanged with an upstream of DOMAIN. */
void gs_traffic_add_body (GsDomainRelation domain, uint64_t bytes);

/** RETURN VALUE: static name of the metric. */
const char *gs_traffic_name (GsTrafficMetric metric);

/** RETURN VALUE: newly allocated text with all counters; those of messages that were never sent are
 * left out. */
char *gs_traffic_render (void);

#endif
