#include "admission_policy/drain_state.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

TEST(DrainState, AllowsAnswersUntilShortlyBeforeTheStop) {
  drain_state drain(1s);
  EXPECT_FALSE(drain.active());
  EXPECT_TRUE(drain.begin(3s, 10s));
  EXPECT_TRUE(drain.active());
  EXPECT_EQ(drain.answer_by(), 12300ms);
}

TEST(DrainState, AppliesTheEarliestStopOfSeveralNotices) {
  drain_state drain(1s);
  drain.begin(3s, 10s);
  EXPECT_FALSE(drain.begin(5s, 11s));
  EXPECT_EQ(drain.answer_by(), 12300ms);
  drain.begin(1s, 11s);
  EXPECT_EQ(drain.answer_by(), 11300ms);
}

TEST(DrainState, AllowsRunsOfArrivalsWithinTheGracePeriodOfTheFirstNotice) {
  drain_state drain(1s);
  EXPECT_FALSE(drain.too_late_to_run(100s));
  drain.begin(9s, 10s);
  drain.begin(9s, 15s);
  EXPECT_FALSE(drain.too_late_to_run(11s));
  EXPECT_TRUE(drain.too_late_to_run(11s + 1ns));
}

}  // namespace
}  // namespace admission_policy::testing
