#include "admission_policy/concurrency_limiter.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

constexpr double best = 0.1;  // s for a unit of work

settings with_cores(unsigned cores) {
  settings given = plain_settings();
  given.cores = cores;
  given.concurrency_ceiling_per_core = 5;
  return given;
}

TEST(ConcurrencyLimiter, StartsAtTheCoreCount) {
  EXPECT_EQ(concurrency_limiter(with_cores(4), 0ns).limit(), 4);
}

TEST(ConcurrencyLimiter, GrowsByTheIdleCoresWhileWorkWaits) {
  concurrency_limiter limiter(with_cores(4), 0ns);
  limiter.adjust({0.5, best, best}, 249ms);
  EXPECT_EQ(limiter.limit(), 4);
  limiter.adjust({0.5, best, best}, 250ms);
  EXPECT_EQ(limiter.limit(), 6);
  limiter.adjust({0.5, best, best}, 350ms);  // the gauge has not shown the growth yet
  EXPECT_EQ(limiter.limit(), 6);
}

TEST(ConcurrencyLimiter, DoesNotGrowWhereNoWorkWaitsOrCoresAreBusy) {
  concurrency_limiter limiter(with_cores(4), 0ns);
  limiter.note_empty_queue(200ms);
  limiter.adjust({0.5, best, best}, 300ms);
  limiter.adjust({0.9, best, best}, 1s);
  EXPECT_EQ(limiter.limit(), 4);
}

TEST(ConcurrencyLimiter, IsCutWhenRunsAreLateOnBusyCoresButNeverBelowTheCores) {
  concurrency_limiter limiter(with_cores(4), 0ns);
  limiter.adjust({0, best, best}, 1s);
  ASSERT_EQ(limiter.limit(), 8);
  limiter.adjust({0.96, 0.15, best}, 1100ms);
  EXPECT_EQ(limiter.limit(), 8);  // as late as runs may be
  limiter.adjust({0.96, 0.16, best}, 1200ms);
  EXPECT_DOUBLE_EQ(limiter.limit(), 6.4);
  for (int i = 0; i < 10; ++i) limiter.adjust({1, 1, best}, 2s);
  EXPECT_EQ(limiter.limit(), 4);
}

TEST(ConcurrencyLimiter, KeepsAMarginBelowTheRunsThatTheServerSurvives) {
  EXPECT_EQ(concurrency_limiter(with_cores(4), 0ns).ceiling(1), 14);  // 70 % of 20
  EXPECT_EQ(concurrency_limiter(with_cores(1), 0ns).ceiling(1), 4);   // 70 % of 5, in whole runs
  EXPECT_EQ(concurrency_limiter(with_cores(4), 0ns).ceiling(0), 4);   // cold: the cores
  settings unstated = with_cores(4);
  unstated.concurrency_ceiling_per_core = 0;
  EXPECT_EQ(concurrency_limiter(unstated, 0ns).ceiling(1), 16);
}

}  // namespace
}  // namespace admission_policy::testing
