// Estimators of how much of a quota this node could use, computed from counts that the owner passes in.
//
// Performs no I/O and reads no clock. Not thread-safe: owned by one thread. The estimates only influence how
// shares are divided among nodes; the bound on the sum of the shares does not depend on them.
#pragma once

#include <cstdint>
#include <optional>

#include "quota/quota_definition.hpp"

namespace marblewharf::quota {

struct demand_options {
  // Time constant of the exponential decay of past measurements.
  duration time_constant = std::chrono::seconds(1);
  double headroom_factor = 1.1;  // multiplies the measured demand, to allow for growth
  double headroom_units = 1;     // added to the demand, so that an idle node can start work
};

// Demand for a rate quota: an exponentially decaying average of the arrival rate.
class rate_demand_estimator {
 public:
  explicit rate_demand_estimator(demand_options options = {}) : options_(options) {}
  void count_arrival() { ++arrivals_; }
  quota_usage measure(time_point now);
  double per_second() const { return per_second_; }

 private:
  demand_options options_;
  double per_second_ = 0;
  std::uint64_t arrivals_ = 0;  // since the previous measurement
  std::optional<time_point> last_measured_;
};

// Demand for an in-flight quota: the units in flight and waiting, plus recent rejections with exponential
// decay. For runs, rejections of every cause count, so the demand may be overestimated; for calls, only
// rejections caused by an exhausted share count.
class in_flight_demand_estimator {
 public:
  explicit in_flight_demand_estimator(demand_options options = {}) : options_(options) {}
  // `rejected_total`: number of rejections since the start of the process; never decreases.
  quota_usage measure(time_point now, std::size_t in_flight, std::size_t waiting,
                      std::uint64_t rejected_total);

 private:
  demand_options options_;
  double recent_rejections_ = 0;  // with exponential decay
  std::uint64_t rejected_total_ = 0;
  std::optional<time_point> last_measured_;
};

}  // namespace marblewharf::quota
