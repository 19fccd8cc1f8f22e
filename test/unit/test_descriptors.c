/* Unit tests of config/descriptors. */
#include "../../src/gentian/config/descriptors.h"
#include "fixture.h"

/* Guards against a limit of callers that the process's descriptors are not enough for. */
START_TEST (connections_of_all_uses_fit_into_the_descriptors)
{
  for (uint64_t limit = 64; limit <= 262144; limit += limit / 7)
    {
      const uint32_t max_callers[] = { 0, 1, 1024, UINT32_MAX };
      for (size_t i = 0; i < G_N_ELEMENTS (max_callers); i++)
        {
          GsDescriptors divided = gs_descriptors_divide (limit, max_callers[i]);
          uint64_t sum = (uint64_t)divided.callers + divided.upstreams + 2 * divided.lookups;
          ck_assert_uint_gt (divided.callers, 0);
          ck_assert_uint_ge (divided.upstreams, divided.callers);
          ck_assert_uint_gt (divided.lookups, 0);
          ck_assert_uint_lt (sum, limit);
          ck_assert (max_callers[i] == 0 || divided.callers <= max_callers[i]);
        }
    }
}
END_TEST

/* Guards against a daemon that takes only a part of the callers that it has descriptors for. */
START_TEST (callers_get_what_the_descriptors_are_enough_for)
{
  ck_assert_uint_ge (gs_descriptors_divide (4100, 0).callers, 1300);
  ck_assert_uint_eq (gs_descriptors_divide (4100, 500).callers, 500);
  ck_assert_uint_eq (gs_descriptors_divide (UINT64_MAX, 0).callers,
                     gs_descriptors_divide (262144, 0).callers);
}
END_TEST

FIXTURE_MAIN ("descriptors",
              &connections_of_all_uses_fit_into_the_descriptors,
              &callers_get_what_the_descriptors_are_enough_for)
