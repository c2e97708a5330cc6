#include "admission_policy/unlinked_duplicate_detector.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

constexpr time_point first_arrived = 10s;
constexpr time_point first_read = 11s;
constexpr unsigned first_caller = 3;

// A keyed class with an objective of 1 s: no caller retries before 500 ms. The first attempt arrives at 10 s
// and is read at 11 s.
class UnlinkedDuplicateDetector : public ::testing::Test {
 protected:
  UnlinkedDuplicateDetector() {
    keyed_.name = "keyed";
    keyed_.latency_objective = 1s;
    keyed_.deadline = 4s;
    keyed_.effect = request_effect::keyed;
    keyed_.idempotency_window = 5s;
    check(first_caller, false, first_arrived, first_read);
  }

  bool check(unsigned caller, bool retry, time_point arrived, time_point read, bool retries_marked = false) {
    arrival attempt = make_arrival(1);
    attempt.caller = caller;
    attempt.retry = retry;
    attempt.read_delay = read - arrived;
    return detector_.check(attempt, keyed_, arrived, retries_marked, read);
  }

  class_settings keyed_;
  unlinked_duplicate_detector detector_;
};

TEST_F(UnlinkedDuplicateDetector, FindsARetryOfTheSameCallerSentBeforeTheFirstWasRead) {
  EXPECT_TRUE(check(first_caller, false, first_arrived + 500ms, first_read));
}

TEST_F(UnlinkedDuplicateDetector, IgnoresAttemptsSentTooEarlyOrAfterTheFirstWasRead) {
  EXPECT_FALSE(check(first_caller, false, first_arrived + 499ms, first_read));
  EXPECT_FALSE(check(first_caller, false, first_read + 1ms, first_read + 2ms));
}

TEST_F(UnlinkedDuplicateDetector, UsesTheRetryMarkIfRetriesAreMarked) {
  EXPECT_FALSE(check(first_caller, false, first_arrived + 600ms, first_read, true));
  EXPECT_TRUE(check(first_caller + 1, true, first_arrived + 600ms, first_read, true));
}

TEST_F(UnlinkedDuplicateDetector, IgnoresOtherCallers) {
  EXPECT_FALSE(check(first_caller + 1, false, first_arrived + 600ms, first_read));
}

TEST_F(UnlinkedDuplicateDetector, IgnoresAnAttemptThatAKeyLinks) {
  arrival attempt = make_arrival(2);
  attempt.caller = first_caller;
  attempt.duplicate_of = 1;
  EXPECT_FALSE(detector_.check(attempt, keyed_, first_arrived + 600ms, false, first_read));
}

TEST_F(UnlinkedDuplicateDetector, ForgetsDelayedAttemptsAfterTheIdempotencyWindow) {
  EXPECT_TRUE(check(first_caller, false, first_arrived + 600ms, first_read + 5s));
  EXPECT_FALSE(check(first_caller, false, first_arrived + 600ms, first_read + 5s + 1ms));
}

}  // namespace
}  // namespace admission_policy::testing
