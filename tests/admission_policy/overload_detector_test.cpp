#include "admission_policy/overload_detector.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

constexpr bool slow = true;
constexpr double all_traffic = 1;

void read(overload_detector& detector, int attempts, bool marked_retry = false) {
  for (int i = 0; i < attempts; ++i) detector.note_read(marked_retry);
}

TEST(OverloadDetector, WithoutQuotasGoesByTheWantedShare) {
  overload_detector detector(0);
  EXPECT_FALSE(detector.overloaded_everywhere(!slow, 0.5));
  EXPECT_TRUE(detector.overloaded_everywhere(!slow, 0.49));
  EXPECT_FALSE(detector.overloaded_everywhere(slow, 0.49));
}

TEST(OverloadDetector, WithQuotasGoesByReadsBeyondThem) {
  overload_detector detector(10);
  read(detector, 22);  // 11 a second over 2 s
  EXPECT_FALSE(detector.overloaded_everywhere(!slow, all_traffic));
  read(detector, 1);
  EXPECT_TRUE(detector.overloaded_everywhere(!slow, all_traffic));
  detector.advance(10s);
  EXPECT_FALSE(detector.overloaded_everywhere(!slow, all_traffic));
}

TEST(OverloadDetector, TakesASlowServerAsTheCauseUnlessItIsFlooded) {
  overload_detector detector(10);
  read(detector, 39);
  EXPECT_FALSE(detector.overloaded_everywhere(slow, all_traffic));
  read(detector, 1);
  EXPECT_TRUE(detector.overloaded_everywhere(slow, all_traffic));
}

TEST(OverloadDetector, AsksInProportionToTheExcessWhereRetriesAreMarked) {
  overload_detector detector(10);
  read(detector, 32, true);  // 60 % beyond the quota: half of the certain excess
  int everywhere = 0;
  for (int i = 0; i < 100; ++i) everywhere += detector.overloaded_everywhere(!slow, all_traffic) ? 1 : 0;
  EXPECT_NEAR(everywhere, 50, 1);
}

TEST(OverloadDetector, CallsAServerSlowOnlyBeyondWhatItsOwnRunsExplain) {
  EXPECT_FALSE(is_slow(0.25, 0.1, 2, 2));
  EXPECT_TRUE(is_slow(0.26, 0.1, 2, 2));
  EXPECT_FALSE(is_slow(0.26, 0.1, 4, 2));
}

}  // namespace
}  // namespace admission_policy::testing
