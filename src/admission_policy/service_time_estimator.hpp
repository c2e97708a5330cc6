// Estimates the core time that a unit of work takes. A unit is a second of expected work on a standard core
// once requests state theirs, until then one request.
#pragma once

#include <chrono>

#include "admission_policy/policy.hpp"
#include "admission_policy/request_table.hpp"

namespace admission_policy {

// Time of a run where neither its expected work nor earlier runs tell it.
inline constexpr duration assumed_run_time = std::chrono::milliseconds(300);

class service_time_estimator {
 public:
  // `speed` is the fraction of full speed that the server has, here and below.
  service_time_estimator(unsigned cores, double speed);

  // Units of work of a request that states this expected work (0 = none). The first one that does changes the
  // unit and drops what was known.
  double work_of(duration expected_work, double speed);

  // Runs had so much time on the cores; older evidence counts less.
  void add_core_time(double seconds);

  // A run of so many units ended well.
  void run_ended(double work, double speed);

  // Seconds of core time for a unit: time spent over work done. Runs in progress count as partly done, by the
  // time they have had, so that a server whose runs stop ending looks slow at once.
  double time_per_unit(const request_table& requests, time_point now) const;

  // Once in a control window, at full speed: follows the best time known.
  void update_best(double time_per_unit);
  // Seconds of core time for a unit at the best pace known.
  double best_time_per_unit() const { return best_s_; }

 private:
  unsigned cores_;
  double core_seconds_;    // decayed: time of runs on the cores ...
  double units_done_ = 1;  // ... and the work that they finished
  double best_s_;          // for a unit
  unsigned full_speed_runs_ = 0;
  bool work_is_stated_ = false;
};

// Seconds of core time that a run has left, having been on the core until then.
double remaining_seconds(const request& run, time_point until, double time_per_unit);

}  // namespace admission_policy
