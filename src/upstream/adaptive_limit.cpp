#include "upstream/adaptive_limit.hpp"

#include <algorithm>
#include <cmath>

namespace marblewharf::upstream {
namespace {

// Number of calls over which the moving mean of the latency is taken.
constexpr double mean_window_calls = 8;
// The dependency is slow when its mean latency exceeds this multiple of the baseline.
constexpr double slow_ratio = 2;
// A decrease multiplies the limit by this factor, at most once per mean latency.
constexpr double decrease_factor = 0.7;
// Growth of the baseline per call: so slow that a stall ends before it can shift the baseline.
constexpr double baseline_growth_per_call = 1.0005;
// Weight of a latency below the baseline: a single unusually fast call does not set the baseline.
constexpr double lower_latency_weight = 0.2;
// Growth of the baseline per call while the dependency is slow and the limit is at its floor.
constexpr double baseline_growth_at_floor = 1.05;
// Up to this multiple of the minimum the limit counts as being at its floor.
constexpr double floor_ratio = 2;
// The limit counts as utilized when at least this share of it is in flight.
constexpr double utilized_share = 0.5;
constexpr double min_latency_s = 1e-6;

}  // namespace

adaptive_limit::adaptive_limit(double min_limit, double max_limit, double initial_limit)
    : min_limit_(min_limit), max_limit_(max_limit), limit_(std::clamp(initial_limit, min_limit, max_limit)) {}

duration adaptive_limit::healthy_latency() const {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(slow_ratio * baseline_s_));
}

bool adaptive_limit::is_slow() const {
  return baseline_s_ > 0 && mean_s_ > slow_ratio * baseline_s_;
}

void adaptive_limit::on_end(time_point now, duration latency, unsigned in_flight, bool timed_out) {
  const double latency_s = std::max(min_latency_s, std::chrono::duration<double>(latency).count());
  update_mean(latency_s, timed_out);
  if (!timed_out) update_baseline(latency_s);
  if (is_slow() || timed_out) {
    decrease(now);
  } else {
    increase(in_flight);
  }
}

void adaptive_limit::update_mean(double latency_s, bool timed_out) {
  ++calls_;
  if (calls_ == 1) {
    mean_s_ = latency_s;
    if (!timed_out) baseline_s_ = latency_s;
  }
  mean_s_ += (latency_s - mean_s_) / std::min<double>(calls_, mean_window_calls);
}

void adaptive_limit::update_baseline(double latency_s) {
  if (baseline_s_ <= 0) baseline_s_ = latency_s;
  if (latency_s < baseline_s_) {
    baseline_s_ += (latency_s - baseline_s_) * lower_latency_weight;
  } else if (!is_slow()) {
    // Growth lets the baseline recover from a single unusually fast call. The baseline does not increase
    // while the dependency is slow: the slow latency would become the baseline.
    baseline_s_ *= baseline_growth_per_call;
  }
  // A dependency that is still slow with hardly any call in flight is not slow because of its load: its
  // normal latency has risen. The baseline follows the new latency; otherwise the limit would stay at its
  // floor.
  const bool at_floor = limit_ <= floor_ratio * min_limit_;
  if (is_slow() && at_floor) baseline_s_ *= baseline_growth_at_floor;
}

// Decreases the limit at most once per mean latency: calls that end sooner were started under the previous
// limit and say nothing about the new one.
void adaptive_limit::decrease(time_point now) {
  if (now < next_decrease_) return;
  next_decrease_ = now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(mean_s_));
  limit_ = std::max(min_limit_, limit_ * decrease_factor);
}

// Increases the limit by one per round of calls (as many calls as the limit allows). An unused limit does not
// increase: the latency then says nothing about a higher limit.
void adaptive_limit::increase(unsigned in_flight) {
  if (in_flight + 1 >= utilized_share * limit_) limit_ = std::min(max_limit_, limit_ + 1 / limit_);
}

}  // namespace marblewharf::upstream
