#include "admission_policy/slow_start.hpp"

#include <algorithm>

#include "admission_policy/time_conversion.hpp"

namespace admission_policy {

slow_start::slow_start(const settings& policy_settings, time_point started)
    : cold_start_(policy_settings.cold_start),
      initial_speed_(policy_settings.cold_start_capacity),
      warm_after_(policy_settings.slow_start_duration),
      started_(started) {}

double slow_start::speed(time_point now) const {
  if (!cold_start_ || warm_after_ <= duration::zero()) return 1;
  const double elapsed_fraction = std::min(1.0, to_seconds(now - started_) / to_seconds(warm_after_));
  return std::min(1.0, initial_speed_ + (1 - initial_speed_) * elapsed_fraction);
}

}  // namespace admission_policy
