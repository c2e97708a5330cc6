#include "admission_policy/overload_detector.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

constexpr bool slow = true;
constexpr double all_traffic = 1;

void read_attempts(overload_detector& detector, int attempts, bool marked_retry = false) {
  for (int i = 0; i < attempts; ++i) detector.note_read(marked_retry);
}

TEST(OverloadDetector, UsesTheAcceptedFractionWithoutQuotas) {
  overload_detector detector(0);
  EXPECT_FALSE(detector.overloaded_everywhere(!slow, 0.5));
  EXPECT_TRUE(detector.overloaded_everywhere(!slow, 0.49));
  EXPECT_FALSE(detector.overloaded_everywhere(slow, 0.49));
}

TEST(OverloadDetector, ComparesTheReadRateWithTheQuota) {
  overload_detector detector(10);
  read_attempts(detector, 22);  // 11 per second over 2 s
  EXPECT_FALSE(detector.overloaded_everywhere(!slow, all_traffic));
  read_attempts(detector, 1);
  EXPECT_TRUE(detector.overloaded_everywhere(!slow, all_traffic));
  detector.advance(10s);
  EXPECT_FALSE(detector.overloaded_everywhere(!slow, all_traffic));
}

TEST(OverloadDetector, ReportsNoGlobalOverloadOnASlowServerWithoutAFlood) {
  overload_detector detector(10);
  read_attempts(detector, 39);
  EXPECT_FALSE(detector.overloaded_everywhere(slow, all_traffic));
  read_attempts(detector, 1);
  EXPECT_TRUE(detector.overloaded_everywhere(slow, all_traffic));
}

TEST(OverloadDetector, ReportsInProportionToTheExcessIfRetriesAreMarked) {
  overload_detector detector(10);
  read_attempts(detector, 32, true);  // 60 % above the quota: half of the excess at which every call reports
  int everywhere = 0;
  for (int i = 0; i < 100; ++i) everywhere += detector.overloaded_everywhere(!slow, all_traffic) ? 1 : 0;
  EXPECT_NEAR(everywhere, 50, 1);
}

TEST(OverloadDetector, CountsAServerAsSlowOnlyBeyondTheEffectOfItsOwnRuns) {
  EXPECT_FALSE(is_slow(0.25, 0.1, 2, 2));
  EXPECT_TRUE(is_slow(0.26, 0.1, 2, 2));
  EXPECT_FALSE(is_slow(0.26, 0.1, 4, 2));
}

}  // namespace
}  // namespace admission_policy::testing
