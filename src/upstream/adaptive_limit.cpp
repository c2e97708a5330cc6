#include "upstream/adaptive_limit.hpp"

#include <algorithm>
#include <cmath>

namespace marblewharf::upstream {
namespace {

constexpr double mean_calls = 8;             // over which the mean latency is taken
constexpr double slow_ratio = 2;             // mean over baseline: above it the dependency is slow
constexpr double cut_factor = 0.7;           // of the limit, for each mean latency
constexpr double baseline_rise = 1.0005;     // factor a call: slower than any stall lasts
constexpr double baseline_gain_share = 0.2;  // of a lower latency, a call: not the luck of one
constexpr double baseline_give_way = 1.05;   // factor a call, while the limit is at its floor
constexpr double floor_ratio = 2;            // limit over least: up to it the limit is at its floor
constexpr double used_share = 0.5;           // of the limit in flight: from it on the limit is used
constexpr double least_latency_s = 1e-6;

}  // namespace

adaptive_limit::adaptive_limit(double least, double most, double start)
    : least_(least), most_(most), limit_(std::clamp(start, least, most)) {}

duration adaptive_limit::healthy_latency() const {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(slow_ratio * baseline_s_));
}

bool adaptive_limit::is_slow() const {
  return baseline_s_ > 0 && mean_s_ > slow_ratio * baseline_s_;
}

void adaptive_limit::on_end(time_point now, duration took, unsigned in_flight, bool timed_out) {
  const double took_s = std::max(least_latency_s, std::chrono::duration<double>(took).count());
  update_mean(took_s, timed_out);
  if (!timed_out) update_baseline(took_s);
  if (is_slow() || timed_out) {
    cut(now);
  } else {
    grow(in_flight);
  }
}

void adaptive_limit::update_mean(double took_s, bool timed_out) {
  ++calls_;
  if (calls_ == 1) {
    mean_s_ = took_s;
    if (!timed_out) baseline_s_ = took_s;
  }
  mean_s_ += (took_s - mean_s_) / std::min<double>(calls_, mean_calls);
}

void adaptive_limit::update_baseline(double took_s) {
  if (baseline_s_ <= 0) baseline_s_ = took_s;
  if (took_s < baseline_s_) {
    baseline_s_ += (took_s - baseline_s_) * baseline_gain_share;
  } else if (!is_slow()) {
    // One lucky call is forgotten. Not while the dependency is slow: that would become the baseline.
    baseline_s_ *= baseline_rise;
  }
  // A dependency that stays slow with hardly any call in flight has become slow: more calls do it no harm.
  // Without this the limit would stay at its floor.
  const bool at_floor = limit_ <= floor_ratio * least_;
  if (is_slow() && at_floor) baseline_s_ *= baseline_give_way;
}

// Once for each mean latency: the calls in flight were begun under the earlier limit.
void adaptive_limit::cut(time_point now) {
  if (now < next_cut_) return;
  next_cut_ = now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(mean_s_));
  limit_ = std::max(least_, limit_ * cut_factor);
}

// By one for each round of calls. Not where the limit is not used: then a higher one shows nothing.
void adaptive_limit::grow(unsigned in_flight) {
  if (in_flight + 1 >= used_share * limit_) limit_ = std::min(most_, limit_ + 1 / limit_);
}

}  // namespace marblewharf::upstream
