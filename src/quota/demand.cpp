#include "quota/demand.hpp"

#include <cmath>

namespace marblewharf::quota {

namespace {

using seconds = std::chrono::duration<double>;

double decay(duration elapsed, duration time_constant) {
  return std::exp(-seconds(elapsed) / seconds(time_constant));
}

double with_headroom(double measured, const demand_options& options) {
  return options.headroom_factor * measured + options.headroom_units;
}

// The first measurement assumes that one time constant has passed, because earlier arrivals are unknown.
duration elapsed_since(const std::optional<time_point>& last_measured, time_point now,
                       const demand_options& options) {
  return last_measured ? now - *last_measured : options.time_constant;
}

}  // namespace

quota_usage rate_demand_estimator::measure(time_point now) {
  const duration elapsed = elapsed_since(last_measured_, now, options_);
  if (elapsed > duration{}) {
    const double decay_factor = decay(elapsed, options_.time_constant);
    const double measured = static_cast<double>(arrivals_) / seconds(elapsed).count();
    per_second_ = per_second_ * decay_factor + (1 - decay_factor) * measured;
    arrivals_ = 0;
    last_measured_ = now;
  }
  return {0, with_headroom(per_second_, options_)};
}

quota_usage in_flight_demand_estimator::measure(time_point now, std::size_t in_flight, std::size_t waiting,
                                                std::uint64_t rejected_total) {
  const duration elapsed = elapsed_since(last_measured_, now, options_);
  const double newly_rejected = static_cast<double>(rejected_total - rejected_total_);
  recent_rejections_ = recent_rejections_ * decay(elapsed, options_.time_constant) + newly_rejected;
  rejected_total_ = rejected_total;
  last_measured_ = now;
  const double wanted = static_cast<double>(in_flight + waiting) + recent_rejections_;
  return {static_cast<double>(in_flight), with_headroom(wanted, options_)};
}

}  // namespace marblewharf::quota
