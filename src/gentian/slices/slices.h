/**
 * NAME
 *   slices - division of a large pool by failure domain, and the capacity that its slices state
 *
 * SYNOPSIS
 *   GsSlices slices = { .threshold = 256 };
 *   gs_slices_update (&slices, domains, n_domains);
 *   if (slices.sliced)
 *     slice = gs_slices_find (&slices, own_domain, own_id_hash);
 *
 * DESCRIPTION
 *   A pool with many upstreams is divided into one slice for each failure domain that has upstreams
 * of the pool and ready daemons; each slice has its own scheduler. Upstreams and daemons of other
 * domains are spread over the slices by rendezvous hashing, so that every upstream belongs to one
 * slice and every daemon has a slice to ask first. Daemons with the same view of members and
 * registrations divide a pool alike.
 *
 *   A GsSliceView holds what the homes of the other slices last stated, and chooses the slice to
 * which a request is redirected. Each redirection is deducted from what was stated, so that the
 * requests of half a second do not all go to the same few slots.
 *
 *   A failure domain is identified by the hash of its name. Pure: no I/O, no clock. Tested by
 * test/unit/test_slices.c and test/property/prop_slices.cpp.
 */
#ifndef GS_SLICES_H
#define GS_SLICES_H

#include "../core/base.h"

enum
{
  GS_SLICES_MAX = 16, /**< slices of one pool; further failure domains are spread over them */
};

/** Age from which a stated capacity is not used any more; it is stated twice a second. */
#define GS_SLICES_CAPACITY_LIFE_US GS_US_PER_S

/** A failure domain, as this daemon sees it. */
typedef struct
{
  uint64_t domain;
  uint32_t n_upstreams; /**< of the pool */
  uint32_t n_members;   /**< ready daemons */
} GsSliceDomain;

/** Division of one pool. Zeros, but for the threshold, are the initial state. */
typedef struct
{
  uint32_t threshold;              /**< upstreams from which a pool is sliced; 0: never */
  bool sliced;                     /**< whether requests are scheduled by slice */
  uint32_t version;                /**< changes with `domains` */
  uint32_t n_upstreams;            /**< of all domains */
  uint32_t n_domains;              /**< slices; also counted while the pool is not sliced */
  uint64_t domains[GS_SLICES_MAX]; /**< of the slices, ascending */
} GsSlices;

/** Applies the current DOMAINS. The pool is sliced from `threshold` upstreams on if it has two
 * slices, and not sliced any more below three quarters of it. RETURN VALUE: whether `sliced`
 * changed. */
bool gs_slices_update (GsSlices *slices, const GsSliceDomain *domains, uint32_t n_domains);

/** Another daemon schedules the pool by slice. Follows it if the number of upstreams allows either,
 * so that daemons which started at different times agree. */
void gs_slices_follow (GsSlices *slices);

/** RETURN VALUE: domain of the slice to which an upstream or daemon of DOMAIN belongs; KEY is its
 * hash. Without slices, DOMAIN. */
uint64_t gs_slices_find (const GsSlices *slices, uint64_t domain, uint64_t key);

/** Fills ORDER, an array of GS_SLICES_MAX, with the slices in the order in which a daemon asks
 * them: FIRST, then the others by rendezvous weight for KEY. RETURN VALUE: their number. */
uint32_t gs_slices_order (const GsSlices *slices, uint64_t first, uint64_t key, uint64_t *order);

/** RETURN VALUE: the key that identifies the slice of DOMAIN of a pool in peer messages. */
uint64_t gs_slices_key (uint64_t pool_key, uint64_t domain);

/** What a slice's home states. */
typedef struct
{
  uint32_t free_slots; /**< of healthy upstreams */
  uint32_t waiting;    /**< queued slot requests */
  uint32_t idle;       /**< upstreams without work beyond the part that may be idle */
  uint32_t usable;     /**< upstreams that may get work */
} GsSliceCapacity;

typedef struct
{
  uint64_t slice;
  GsSliceCapacity left; /**< stated, less what was redirected there since */
  int64_t stated_us;
} GsStatedCapacity;

/** Capacities that the other slices of a pool state. Zeros are the initial state. */
typedef struct
{
  GsStatedCapacity stated[GS_SLICES_MAX];
  uint32_t n;
} GsSliceView;

/** Stores the CAPACITY of SLICE; it replaces the earlier one. */
void gs_slice_view_put (GsSliceView *view,
                        uint64_t slice,
                        const GsSliceCapacity *capacity,
                        int64_t now_us);

/** Why a request is redirected. */
typedef enum
{
  GS_SLICE_NO_FREE_SLOT = 0, /**< needs a slice with free slots */
  GS_SLICE_NO_UPSTREAM,      /**< any slice with usable upstreams is better */
  GS_SLICE_IDLE_ELSEWHERE,   /**< a slot is free, but another slice has too many idle upstreams */
} GsSliceNeed;

/** RETURN VALUE: the slice to redirect to for NEED: the one with most of what it needs; 0: none.
 * The slice OWN is never returned. */
uint64_t
gs_slice_view_pick (const GsSliceView *view, uint64_t own, GsSliceNeed need, int64_t now_us);

/** RETURN VALUE: the slice whose queue for each upstream is shortest and at most half as long as
 * HERE; 0: none. */
uint64_t gs_slice_view_pick_shorter (const GsSliceView *view,
                                     uint64_t own,
                                     const GsSliceCapacity *here,
                                     int64_t now_us);

/** RETURN VALUE: whether so little is free of CAPACITY that it should be stated more often. */
bool gs_slice_is_tight (const GsSliceCapacity *capacity);

/** RETURN VALUE: whether another slice stated that within the last second. */
bool gs_slice_view_is_tight (const GsSliceView *view, int64_t now_us);

/** Deducts a request that was redirected to SLICE. */
void gs_slice_view_take (GsSliceView *view, uint64_t slice);

#endif
