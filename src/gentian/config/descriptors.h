/**
 * NAME
 *   descriptors - how the descriptors of the process are divided
 *
 * DESCRIPTION
 *   A request uses at most one connection to an upstream or another daemon. A caller has one in
 * flight, or more while there are fewer callers than the limit. So the same number limits callers
 * and upstreams, and idle connections to upstreams are closed for new ones. What remains serves
 * address lookups, peers, files and the connections on which a full server refuses requests.
 */
#ifndef GS_DESCRIPTORS_H
#define GS_DESCRIPTORS_H

#include <stdint.h>

/** Connections of each use. */
typedef struct
{
  uint32_t callers;
  uint32_t upstreams;
  uint32_t lookups; /**< to each server for address lookups or readiness checks */
} GsDescriptors;

/** Divides LIMIT descriptors. MAX_CALLERS limits the callers; 0: only the descriptors do. */
GsDescriptors gs_descriptors_divide (uint64_t limit, uint32_t max_callers);

/** RETURN VALUE: the process's limit of open descriptors. ERRORS: the smallest limit that a daemon
 * runs with, if it cannot be read. */
uint64_t gs_descriptors_limit (void);

#endif
