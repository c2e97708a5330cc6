// Estimates of how much of a quota this node could use, from counts that the owner hands in.
//
// Free of I/O and clocks. Not thread-safe: owned by one thread. An estimate moves shares between nodes; it
// never affects the bound on their sum.
#pragma once

#include <cstdint>
#include <optional>

#include "quota/quota_definition.hpp"

namespace marblewharf::quota {

struct demand_options {
  duration time_constant = std::chrono::seconds(1);  // of the exponential decay of past measurements
  double headroom_factor = 1.1;                      // demand over what was measured, for growth
  double headroom_units = 1;                         // ... and in units, so that an idle node can begin
};

// Of a rate quota: from the arrivals of late.
class rate_demand_estimator {
 public:
  explicit rate_demand_estimator(demand_options options = {}) : options_(options) {}
  void count_arrival() { ++arrivals_; }
  quota_usage measure(time_point now);
  double per_second() const { return per_second_; }

 private:
  demand_options options_;
  double per_second_ = 0;
  std::uint64_t arrivals_ = 0;  // since the last measurement
  std::optional<time_point> last_measured_;
};

// Of an in-flight quota: from what is in flight, what waits, and what was lately rejected. Of runs,
// rejections count whatever their cause, so that demand may be overstated; of calls, those for want of a
// share.
class in_flight_demand_estimator {
 public:
  explicit in_flight_demand_estimator(demand_options options = {}) : options_(options) {}
  // `rejected_total`: since the start, never falling.
  quota_usage measure(time_point now, std::size_t in_flight, std::size_t waiting,
                      std::uint64_t rejected_total);

 private:
  demand_options options_;
  double rejected_lately_ = 0;
  std::uint64_t rejected_total_ = 0;
  std::optional<time_point> last_measured_;
};

}  // namespace marblewharf::quota
