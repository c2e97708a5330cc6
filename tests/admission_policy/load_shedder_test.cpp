#include "admission_policy/load_shedder.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

constexpr server_load two_slots = {.cores = 2, .slots = 2, .time_per_unit = 0.1, .best_time_per_unit = 0.1};

request queued_until(time_point useful_until, double work = 1) {
  request made;
  made.useful_until = useful_until;
  made.work = work;
  return made;
}

// Two runs on the cores, begun at 0.
request_table busy_table() {
  request_table table;
  for (request_id id = 1; id <= 2; ++id) {
    request made;
    made.id = id;
    made.work = 1;
    table.change_state(table.enqueue(made), request_state::running);
  }
  return table;
}

class LoadShedder : public ::testing::Test {
 protected:
  class_settings class_ = plain_settings().classes[0];
  dependency_call_admission calls_{plain_settings()};
};

TEST_F(LoadShedder, ShedsWhatWaitsBehindMoreWorkThanItsObjectiveAllows) {
  const request_table table = busy_table();
  queue_forecast forecast(two_slots, table, calls_, 0ns);
  EXPECT_FALSE(forecast.misses_objective(queued_until(200ms), class_));  // 100 ms of wait, 100 ms of its own
  EXPECT_TRUE(forecast.misses_objective(queued_until(240ms), class_));   // 50 ms more are ahead
  EXPECT_FALSE(forecast.misses_objective(queued_until(250ms), class_));  // what was shed is not ahead
}

TEST_F(LoadShedder, StartsWhatIsLargeWhileACoreIsFree) {
  const request_table empty;
  queue_forecast forecast(two_slots, empty, calls_, 0ns);
  EXPECT_FALSE(forecast.misses_objective(queued_until(1s, 100), class_));
  EXPECT_FALSE(forecast.misses_objective(queued_until(1s, 100), class_));
  EXPECT_TRUE(forecast.misses_objective(queued_until(1s, 100), class_));
}

TEST_F(LoadShedder, ShedsWhatIsPastItsObjectiveEvenWhereACoreIsFree) {
  const request_table empty;
  queue_forecast forecast(two_slots, empty, calls_, 1s);
  EXPECT_TRUE(forecast.misses_objective(queued_until(1s), class_));
}

TEST_F(LoadShedder, StartsOneRequestUnconditionallyOnAnIdleServerThatLooksSlow) {
  server_load load = two_slots;
  load.time_per_unit = 0.16;
  EXPECT_EQ(unconditional_starts(load, 0), 2);
  load.time_per_unit = 0.161;
  EXPECT_EQ(unconditional_starts(load, 0), 1);
  EXPECT_EQ(unconditional_starts(load, 1), 0);
}

TEST_F(LoadShedder, AdvisesHalfOfTheWaitWithinBounds) {
  EXPECT_EQ(advised_retry_after(20, 0.1, 2, 5s), 500ms);
  EXPECT_EQ(advised_retry_after(0, 0.1, 2, 5s), 100ms);
  EXPECT_EQ(advised_retry_after(1000, 0.1, 2, 5s), 5s);
}

}  // namespace
}  // namespace admission_policy::testing
