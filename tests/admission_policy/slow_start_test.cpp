#include "admission_policy/slow_start.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

TEST(SlowStart, RisesLinearlyFromTheInitialSpeedToFullSpeed) {
  settings policy_settings = plain_settings();
  policy_settings.cold_start = true;
  policy_settings.cold_start_capacity = 0.5;
  policy_settings.slow_start_duration = 10s;
  const slow_start start(policy_settings, 100s);
  EXPECT_DOUBLE_EQ(start.speed(100s), 0.5);
  EXPECT_DOUBLE_EQ(start.speed(105s), 0.75);
  EXPECT_DOUBLE_EQ(start.speed(110s), 1);
  EXPECT_DOUBLE_EQ(start.speed(200s), 1);
}

TEST(SlowStart, StartsAtFullSpeedOnAWarmServer) {
  settings policy_settings = plain_settings();
  policy_settings.cold_start_capacity = 0.5;
  policy_settings.slow_start_duration = 10s;
  EXPECT_EQ(slow_start(policy_settings, 0ns).speed(0ns), 1);
}

}  // namespace
}  // namespace admission_policy::testing
