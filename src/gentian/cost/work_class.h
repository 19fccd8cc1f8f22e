/**
 * NAME
 *   work_class - the class of a request within its route, by which its work is predicted
 *
 * DESCRIPTION
 *   Method and first segment of the path beneath the route's prefix. A segment that looks like an
 * identifier (longer than 24 bytes, or half or more of it digits) counts as any other one, since
 * each value would be seen once. Pure. Tested by test/unit/test_cost.c.
 */
#ifndef GS_WORK_CLASS_H
#define GS_WORK_CLASS_H

#include "../core/base.h"

/** RETURN VALUE: hash of the class, never 0. METHOD may be NULL. PATH begins with PREFIX; it may
 * have a query, which does not count. */
uint64_t gs_work_class (const char *method, const char *path, const char *prefix);

#endif
