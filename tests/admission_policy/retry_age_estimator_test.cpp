#include "admission_policy/retry_age_estimator.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

arrival attempt(duration client_timeout, bool retry, unsigned caller = 0) {
  arrival created = make_arrival(1);
  created.client_timeout = client_timeout;
  created.retry = retry;
  created.caller = caller;
  return created;
}

TEST(RetryAgeEstimator, DerivesTheAgeOfARetryFromItsShorterTimeout) {
  retry_age_estimator ages;
  EXPECT_EQ(ages.age_of(attempt(2s, false)), 0ns);
  EXPECT_EQ(ages.age_of(attempt(1500ms, true)), 500ms);
}

TEST(RetryAgeEstimator, AddsTheReadDelayToTheTimeout) {
  retry_age_estimator ages;
  ages.age_of(attempt(2s, false));
  arrival late = attempt(1500ms, true);
  late.read_delay = 400ms;
  EXPECT_EQ(ages.age_of(late), 100ms);
}

TEST(RetryAgeEstimator, ReturnsZeroForUnmarkedAttemptsOtherCallersAndMissingTimeouts) {
  retry_age_estimator ages;
  ages.age_of(attempt(2s, false));
  EXPECT_EQ(ages.age_of(attempt(1s, false)), 0ns);
  EXPECT_EQ(ages.age_of(attempt(1s, true, 9)), 0ns);
  EXPECT_EQ(ages.age_of(attempt(0ns, true)), 0ns);
}

}  // namespace
}  // namespace admission_policy::testing
