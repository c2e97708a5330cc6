#include "admission_policy/concurrency_limiter.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

constexpr double best_time_per_unit = 0.1;  // seconds per unit of work

settings with_cores(unsigned cores) {
  settings policy_settings = plain_settings();
  policy_settings.cores = cores;
  policy_settings.concurrency_ceiling_per_core = 5;
  return policy_settings;
}

TEST(ConcurrencyLimiter, StartsAtTheCoreCount) {
  EXPECT_EQ(concurrency_limiter(with_cores(4), 0ns).limit(), 4);
}

TEST(ConcurrencyLimiter, GrowsByTheIdleCoresWhileWorkWaits) {
  concurrency_limiter limiter(with_cores(4), 0ns);
  limiter.adjust({0.5, best_time_per_unit, best_time_per_unit}, 249ms);
  EXPECT_EQ(limiter.limit(), 4);
  limiter.adjust({0.5, best_time_per_unit, best_time_per_unit}, 250ms);
  EXPECT_EQ(limiter.limit(), 6);
  limiter.adjust({0.5, best_time_per_unit, best_time_per_unit},
                 350ms);  // the gauge does not yet reflect the growth
  EXPECT_EQ(limiter.limit(), 6);
}

TEST(ConcurrencyLimiter, DoesNotGrowWhileTheQueueIsEmptyOrCoresAreBusy) {
  concurrency_limiter limiter(with_cores(4), 0ns);
  limiter.note_empty_queue(200ms);
  limiter.adjust({0.5, best_time_per_unit, best_time_per_unit}, 300ms);
  limiter.adjust({0.9, best_time_per_unit, best_time_per_unit}, 1s);
  EXPECT_EQ(limiter.limit(), 4);
}

TEST(ConcurrencyLimiter, IsCutWhenRunsAreSlowOnBusyCoresButNotBelowTheCoreCount) {
  concurrency_limiter limiter(with_cores(4), 0ns);
  limiter.adjust({0, best_time_per_unit, best_time_per_unit}, 1s);
  ASSERT_EQ(limiter.limit(), 8);
  limiter.adjust({0.96, 0.15, best_time_per_unit}, 1100ms);
  EXPECT_EQ(limiter.limit(), 8);  // exactly at the threshold for slow runs
  limiter.adjust({0.96, 0.16, best_time_per_unit}, 1200ms);
  EXPECT_DOUBLE_EQ(limiter.limit(), 6.4);
  for (int i = 0; i < 10; ++i) limiter.adjust({1, 1, best_time_per_unit}, 2s);
  EXPECT_EQ(limiter.limit(), 4);
}

TEST(ConcurrencyLimiter, KeepsAMarginBelowTheConcurrencyCeiling) {
  EXPECT_EQ(concurrency_limiter(with_cores(4), 0ns).ceiling(1), 14);  // 70 % of 20
  EXPECT_EQ(concurrency_limiter(with_cores(1), 0ns).ceiling(1), 4);   // 70 % of 5, rounded up
  EXPECT_EQ(concurrency_limiter(with_cores(4), 0ns).ceiling(0), 4);   // cold server: one run per core
  settings no_ceiling = with_cores(4);
  no_ceiling.concurrency_ceiling_per_core = 0;
  EXPECT_EQ(concurrency_limiter(no_ceiling, 0ns).ceiling(1), 16);
}

}  // namespace
}  // namespace admission_policy::testing
