// Estimates the core time per unit of work. Once a request states its expected work, a unit is one second of
// expected work on a standard core. Until then a unit is one request.
#pragma once

#include <chrono>

#include "admission_policy/policy.hpp"
#include "admission_policy/request_table.hpp"

namespace admission_policy {

// Assumed run time without expected work and without measurements of earlier runs.
inline constexpr duration assumed_run_time = std::chrono::milliseconds(300);

class service_time_estimator {
 public:
  // `speed`, here and below: the current fraction of the server's full speed.
  service_time_estimator(unsigned cores, double speed);

  // Units of work of a request with this expected work (0 = not stated). The first request that states its
  // expected work changes the unit and resets the estimates.
  double work_of(duration expected_work, double speed);

  // Adds core time used by runs. Older measurements lose weight.
  void add_core_time(double seconds);

  // Records that a run with this many units of work succeeded.
  void run_ended(double work, double speed);

  // Core seconds per unit: core time used divided by work done. Runs in progress count as partly done in
  // proportion to their elapsed time, so that the server appears slow at once when runs stop ending.
  double time_per_unit(const request_table& requests, time_point now) const;

  // Updates the best time per unit; called at the end of each control window at full speed.
  void update_best(double time_per_unit);
  // Lowest core seconds per unit.
  double best_time_per_unit() const { return best_time_per_unit_s_; }

 private:
  unsigned cores_;
  double core_seconds_;    // core time used by runs, exponentially decayed
  double units_done_ = 1;  // work done in core_seconds_, with the same decay
  double best_time_per_unit_s_;
  unsigned full_speed_runs_ = 0;
  bool work_is_stated_ = false;
};

// Core seconds that a run still needs if it was on the core until `on_core_until`.
double remaining_seconds(const request& run, time_point on_core_until, double time_per_unit);

}  // namespace admission_policy
