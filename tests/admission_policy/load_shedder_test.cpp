#include "admission_policy/load_shedder.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

constexpr server_load two_slots = {.cores = 2, .slots = 2, .time_per_unit = 0.1, .best_time_per_unit = 0.1};

request queued_request(time_point useful_until, double work = 1) {
  request created;
  created.useful_until = useful_until;
  created.work = work;
  return created;
}

// Two runs that started at time 0.
request_table busy_table() {
  request_table table;
  for (request_id id = 1; id <= 2; ++id) {
    request created;
    created.id = id;
    created.work = 1;
    table.change_state(table.enqueue(created), request_state::running);
  }
  return table;
}

class LoadShedder : public ::testing::Test {
 protected:
  class_settings class_ = plain_settings().classes[0];
  dependency_call_admission calls_{plain_settings()};
};

TEST_F(LoadShedder, ShedsARequestBehindMoreWorkThanItsObjectiveAllows) {
  const request_table table = busy_table();
  queue_forecast forecast(two_slots, table, calls_, 0ns);
  EXPECT_FALSE(forecast.misses_objective(queued_request(200ms), class_));  // waits 100 ms, runs 100 ms
  EXPECT_TRUE(forecast.misses_objective(queued_request(240ms), class_));   // waits another 50 ms
  EXPECT_FALSE(forecast.misses_objective(queued_request(250ms),
                                         class_));  // the shed request does not count as work ahead
}

TEST_F(LoadShedder, StartsALargeRequestWhileACoreIsFree) {
  const request_table empty;
  queue_forecast forecast(two_slots, empty, calls_, 0ns);
  EXPECT_FALSE(forecast.misses_objective(queued_request(1s, 100), class_));
  EXPECT_FALSE(forecast.misses_objective(queued_request(1s, 100), class_));
  EXPECT_TRUE(forecast.misses_objective(queued_request(1s, 100), class_));
}

TEST_F(LoadShedder, ShedsARequestPastItsObjectiveEvenIfACoreIsFree) {
  const request_table empty;
  queue_forecast forecast(two_slots, empty, calls_, 1s);
  EXPECT_TRUE(forecast.misses_objective(queued_request(1s), class_));
}

TEST_F(LoadShedder, StartsOneRequestUnconditionallyOnAnIdleServerThatAppearsSlow) {
  server_load load = two_slots;
  load.time_per_unit = 0.16;
  EXPECT_EQ(unconditional_starts(load, {0, 0}), 2);
  load.time_per_unit = 0.161;
  EXPECT_EQ(unconditional_starts(load, {0, 0}), 1);
  EXPECT_EQ(unconditional_starts(load, {1, 1}), 0);
  EXPECT_EQ(unconditional_starts(load, {1, 0}), 1);  // nobody waits for the run
}

TEST_F(LoadShedder, AdvisesHalfOfTheQueueTimeWithinBounds) {
  EXPECT_EQ(advised_retry_after(20, 0.1, 2, 5s), 500ms);
  EXPECT_EQ(advised_retry_after(0, 0.1, 2, 5s), 100ms);
  EXPECT_EQ(advised_retry_after(1000, 0.1, 2, 5s), 5s);
}

}  // namespace
}  // namespace admission_policy::testing
