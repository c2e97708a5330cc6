#include "admission_policy/progress_watchdog.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

constexpr duration objective = 1s;
constexpr double many_run_ends = 25;

TEST(ProgressWatchdog, ReportsStuckWorkOnce) {
  progress_watchdog watchdog(objective);
  watchdog.note_progress(0ns);
  watchdog.expect_run_ends(many_run_ends);
  EXPECT_FALSE(watchdog.evaluate(false, false, 1s).has_value());  // the objective has not passed yet
  EXPECT_EQ(watchdog.evaluate(false, false, 1100ms), health::bad);
  EXPECT_FALSE(watchdog.evaluate(false, false, 1200ms).has_value());
}

TEST(ProgressWatchdog, ToleratesAFewMissingRunEnds) {
  progress_watchdog watchdog(objective);
  watchdog.note_progress(0ns);
  watchdog.expect_run_ends(19);
  EXPECT_FALSE(watchdog.evaluate(false, false, 10s).has_value());
}

TEST(ProgressWatchdog, ReportsGoodHealthAfterARunEndsOrTheCoresAreEmpty) {
  progress_watchdog watchdog(objective);
  watchdog.expect_run_ends(many_run_ends);
  ASSERT_EQ(watchdog.evaluate(false, false, 2s), health::bad);
  watchdog.note_progress(2s);
  EXPECT_EQ(watchdog.evaluate(false, false, 2s), health::good);
  watchdog.expect_run_ends(many_run_ends);
  ASSERT_EQ(watchdog.evaluate(false, false, 4s), health::bad);
  EXPECT_EQ(watchdog.evaluate(true, false, 4s), health::good);
}

TEST(ProgressWatchdog, ExcludesStallsOfTheProcess) {
  progress_watchdog watchdog(objective);
  watchdog.note_progress(0ns);
  watchdog.expect_run_ends(many_run_ends);
  watchdog.skip(5s);
  EXPECT_FALSE(watchdog.evaluate(false, false, 6s).has_value());
}

TEST(ProgressWatchdog, ReportsNothingAfterAShutdownNotice) {
  progress_watchdog watchdog(objective);
  watchdog.shut_down();
  EXPECT_FALSE(watchdog.evaluate(true, true, 1s).has_value());
}

}  // namespace
}  // namespace admission_policy::testing
