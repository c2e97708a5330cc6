#include "admission_policy/load_signal.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

constexpr bool draining = true;
constexpr double limit = 4;
constexpr double run_seconds = 0.1;

load_signal signal_of(signal_kind kind) {
  settings policy_settings = plain_settings();  // the shortest objective is 1 s, and there are two callers
  policy_settings.signal = kind;
  return load_signal(policy_settings);
}

TEST(LoadSignal, AdvertisesOnlyChangedValues) {
  load_signal signal = signal_of(signal_kind::level);
  EXPECT_EQ(signal.evaluate(limit, run_seconds, !draining)->value, 0);
  EXPECT_FALSE(signal.evaluate(limit, run_seconds, !draining).has_value());
}

TEST(LoadSignal, FallsQuicklyAfterSheddingAndRecoversSlowly) {
  load_signal signal = signal_of(signal_kind::weight);
  signal.note_shed();
  EXPECT_DOUBLE_EQ(signal.evaluate(limit, run_seconds, !draining)->value, 0.85);
  EXPECT_DOUBLE_EQ(signal.evaluate(limit, run_seconds, !draining)->value, 0.88);
}

TEST(LoadSignal, FallsAfterLongReadDelays) {
  load_signal signal = signal_of(signal_kind::none);
  signal.note_read_delay(250ms);
  signal.evaluate(limit, run_seconds, !draining);
  EXPECT_EQ(signal.accepted_fraction(), 1);
  signal.note_read_delay(251ms);
  signal.evaluate(limit, run_seconds, !draining);
  EXPECT_DOUBLE_EQ(signal.accepted_fraction(), 0.85);
}

TEST(LoadSignal, NeverFallsBelowTheMinimumFraction) {
  load_signal signal = signal_of(signal_kind::weight);
  for (int i = 0; i < 50; ++i) {
    signal.note_shed();
    signal.evaluate(limit, run_seconds, !draining);
  }
  EXPECT_DOUBLE_EQ(signal.accepted_fraction(), 0.1);
}

TEST(LoadSignal, DividesTheUsefulRequestsAmongCallersAsCredit) {
  load_signal signal = signal_of(signal_kind::credit);
  EXPECT_DOUBLE_EQ(signal.evaluate(limit, run_seconds, !draining)->value, 4 * (4 + 0.35 * 4 / 0.1) / 2);
}

TEST(LoadSignal, AdvertisesNoCapacityWhileDraining) {
  EXPECT_EQ(signal_of(signal_kind::level).evaluate(limit, run_seconds, draining)->value, 1);
  EXPECT_EQ(signal_of(signal_kind::weight).evaluate(limit, run_seconds, draining)->value, 0);
}

TEST(LoadSignal, AdvertisesNothingIfCallersUseNoSignal) {
  load_signal signal = signal_of(signal_kind::none);
  signal.note_shed();
  EXPECT_FALSE(signal.evaluate(limit, run_seconds, !draining).has_value());
}

}  // namespace
}  // namespace admission_policy::testing
