#include "admission_policy/dependency_call_admission.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

settings with_fair_calls(double fair_concurrent_calls) {
  settings policy_settings = plain_settings();
  policy_settings.classes[0].calls_dependency = true;
  policy_settings.fair_concurrent_calls = fair_concurrent_calls;
  policy_settings.calls_period = 2s;
  policy_settings.abandoned_call_duration = 200ms;
  return policy_settings;
}

call_ended succeeded(duration elapsed) {
  return {1, outcome::ok, elapsed};
}

request run_with_deadline(time_point useful_until) {
  request created;
  created.useful_until = useful_until;
  created.answer_by = useful_until;
  return created;
}

TEST(DependencyCallAdmission, KeepsCallsBelowEightyPercentOfTheQuota) {
  const dependency_call_admission calls(with_fair_calls(5));
  EXPECT_TRUE(calls.may_place(3));
  EXPECT_FALSE(calls.may_place(4));
}

TEST(DependencyCallAdmission, PlacesOneCallUnderASmallQuotaUntilTheBudgetIsUsedUp) {
  dependency_call_admission calls(with_fair_calls(0.5));  // budget of 0.8 call seconds in 2 s
  EXPECT_TRUE(calls.may_place(0));
  EXPECT_FALSE(calls.may_place(1));
  calls.record_usage(1, 0ns, 700ms);
  EXPECT_FALSE(calls.may_place(0));
  calls.record_usage(0, 700ms, 2800ms);
  EXPECT_TRUE(calls.may_place(0));
}

TEST(DependencyCallAdmission, CountsAnAbandonedCallAsInFlightForAWhile) {
  dependency_call_admission calls(with_fair_calls(1));
  calls.note_abandoned_call(0ns);
  EXPECT_FALSE(calls.may_place(0));
  calls.record_usage(0, 0ns, 200ms);
  EXPECT_TRUE(calls.may_place(0));
}

TEST(DependencyCallAdmission, IsCongestedWhenRoundTripsFarExceedTheBest) {
  dependency_call_admission calls(with_fair_calls(10));
  for (int i = 0; i < 10; ++i) calls.note_call_end(succeeded(10ms), false, 10ms * i);
  EXPECT_FALSE(calls.congested());
  for (int i = 0; i < 10; ++i) calls.note_call_end(succeeded(100ms), false, 1s + 10ms * i);
  EXPECT_TRUE(calls.congested());
}

TEST(DependencyCallAdmission, CountsOveruseUpToTwoSecondsAtTheCap) {
  dependency_call_admission calls(with_fair_calls(4));  // a cap of 1 call
  calls.note_call_end(succeeded(100ms), false, 0ns);
  calls.record_usage(3, 0ns, 5s);  // overuse of 10 call seconds, of which 2 count as debt
  EXPECT_NEAR(calls.wait_seconds(0, 0), 2, 1e-9);
}

TEST(DependencyCallAdmission, FailsACallAfterThreeAttempts) {
  const dependency_call_admission calls(with_fair_calls(4));
  const class_settings plain = plain_settings().classes[0];
  request run = run_with_deadline(1s);
  run.call_failures = 2;
  EXPECT_EQ(calls.decide({run, plain, 0, false, 10ms}, 0, 0ns), call_decision::wait);
  run.call_failures = 3;
  EXPECT_EQ(calls.decide({run, plain, 0, false, 10ms}, 0, 0ns), call_decision::fail);
}

TEST(DependencyCallAdmission, SkipsALateCallIfTheClassKeepsWeightWithoutIt) {
  dependency_call_admission calls(with_fair_calls(4));
  calls.note_call_end(succeeded(500ms), false, 0ns);
  class_settings skippable = plain_settings().classes[0];
  const request run = run_with_deadline(400ms);
  EXPECT_EQ(calls.decide({run, skippable, 0, false, 10ms}, 0, 0ns), call_decision::fail);
  skippable.weight_without_call = 0.5;
  EXPECT_EQ(calls.decide({run, skippable, 0, false, 10ms}, 0, 0ns), call_decision::skip);
}

TEST(DependencyCallAdmission, LeavesTimeToContinueWithoutTheCall) {
  const dependency_call_admission calls(with_fair_calls(4));
  class_settings skippable = plain_settings().classes[0];
  const request run = run_with_deadline(400ms);
  EXPECT_EQ(calls.time_limit({run, skippable, 0, false, 150ms}, 0, 0ns), 400ms);
  skippable.weight_without_call = 0.5;
  EXPECT_EQ(calls.time_limit({run, skippable, 0, false, 150ms}, 0, 0ns), 250ms);
}

TEST(DependencyCallAdmission, DoublesTheDelayBetweenAttempts) {
  dependency_call_admission calls(with_fair_calls(4));
  calls.note_call_end(succeeded(100ms), false, 0ns);
  EXPECT_EQ(calls.retry_delay(1), 100ms);
  EXPECT_EQ(calls.retry_delay(3), 400ms);
  EXPECT_EQ(calls.retry_delay(20), calls.retry_delay(8));
}

TEST(DependencyCallAdmission, ExpectsAsManyCallsAsRunsOfTheClassMade) {
  dependency_call_admission calls(with_fair_calls(4));
  request run = run_with_deadline(1s);
  EXPECT_EQ(calls.expected_calls(run), 1);
  calls.note_run_end(0, 9);
  EXPECT_EQ(calls.expected_calls(run), 2);  // the estimate moves by one eighth of the way from 1 to 9
  run.calls_made = 3;
  EXPECT_EQ(calls.expected_calls(run), 0);
}

}  // namespace
}  // namespace admission_policy::testing
