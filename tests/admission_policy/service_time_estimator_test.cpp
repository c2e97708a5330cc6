#include "admission_policy/service_time_estimator.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

constexpr double full_speed = 1;
constexpr unsigned cores = 2;

request_table table_with_one_run(double work, time_point running_since) {
  request_table table;
  request created;
  created.id = 1;
  created.work = work;
  created.running_since = running_since;
  table.change_state(table.enqueue(created), request_state::running);
  return table;
}

TEST(ServiceTimeEstimator, AssumesARunTimeBeforeAnyRunHasEnded) {
  const service_time_estimator times(cores, full_speed);
  EXPECT_DOUBLE_EQ(times.time_per_unit(request_table(), 0ns), 0.3);
  EXPECT_DOUBLE_EQ(times.best_time_per_unit(), 0.3);
}

TEST(ServiceTimeEstimator, CountsRequestsAsUnitsUntilOneStatesItsWork) {
  service_time_estimator times(cores, full_speed);
  EXPECT_DOUBLE_EQ(times.work_of(0ns, full_speed), 1);
  EXPECT_DOUBLE_EQ(times.work_of(50ms, full_speed), 0.05);
  EXPECT_DOUBLE_EQ(times.work_of(0ns, full_speed), 0.3);
  EXPECT_DOUBLE_EQ(times.best_time_per_unit(), 1);
}

TEST(ServiceTimeEstimator, RisesAtOnceWhenRunsStopEnding) {
  const service_time_estimator times(cores, full_speed);
  service_time_estimator stuck = times;
  stuck.add_core_time(2);
  EXPECT_GT(stuck.time_per_unit(request_table(), 2s), times.time_per_unit(request_table(), 2s));
  const request_table running = table_with_one_run(1, 0ns);
  EXPECT_LT(stuck.time_per_unit(running, 2s),
            stuck.time_per_unit(request_table(), 2s));  // the run counts as partly done
}

TEST(ServiceTimeEstimator, AdoptsTheCurrentTimeWhileLearningAndForgetsTheBestSlowly) {
  service_time_estimator times(cores, full_speed);
  times.update_best(0.5);
  EXPECT_DOUBLE_EQ(times.best_time_per_unit(), 0.5);
  for (int i = 0; i < 10; ++i) times.run_ended(1, full_speed);
  times.update_best(0.9);
  EXPECT_DOUBLE_EQ(times.best_time_per_unit(), 0.5 * 1.001);
  times.update_best(0.2);
  EXPECT_DOUBLE_EQ(times.best_time_per_unit(), 0.2);
}

TEST(ServiceTimeEstimator, AssumesRemainingWorkForARunLongerThanEstimated) {
  request run;
  run.work = 2;
  EXPECT_DOUBLE_EQ(remaining_seconds(run, 100ms, 0.5), 0.9);
  EXPECT_DOUBLE_EQ(remaining_seconds(run, 10s, 0.5), 0.3);
}

}  // namespace
}  // namespace admission_policy::testing
