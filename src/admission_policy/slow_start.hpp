// Slow start: a process that has just started has a reduced speed, which rises to full speed.
#pragma once

#include "admission_policy/policy.hpp"

namespace admission_policy {

class slow_start {
 public:
  slow_start(const settings& policy_settings, time_point started);

  // Lower bound of the server's current speed, as a fraction of full speed; at most 1.
  double speed(time_point now) const;

 private:
  bool cold_start_;
  double initial_speed_;  // fraction of full speed
  duration warm_after_;
  time_point started_;
};

}  // namespace admission_policy
