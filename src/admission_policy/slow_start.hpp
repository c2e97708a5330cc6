// Slow start: a server whose process has just started takes less, rising to full speed.
#pragma once

#include "admission_policy/policy.hpp"

namespace admission_policy {

class slow_start {
 public:
  slow_start(const settings& given, time_point started);

  // Fraction of full speed, at most 1, that the server has reached at least.
  double speed(time_point now) const;

 private:
  bool cold_start_;
  double initial_speed_;  // fraction of full speed
  duration warm_after_;
  time_point started_;
};

}  // namespace admission_policy
