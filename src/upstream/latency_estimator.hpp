// Estimates the latency of recent calls: quantiles from a histogram with logarithmic buckets whose counts are
// halved periodically, and a moving mean of the last few calls. Each bucket end is 25 % above the previous
// one, so a quantile is at most 25 % too high. Not thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "core/request.hpp"

namespace marblewharf::upstream {

class latency_estimator {
 public:
  void add(duration latency);
  // `probability`: from 0 to 1. None until enough calls were added.
  std::optional<duration> quantile(double probability) const;
  // The moving mean of the last few calls, which follows a change quickly. 0: no call was added yet.
  duration recent_mean() const { return recent_mean_; }

 private:
  static constexpr std::size_t bucket_count = 64;
  static constexpr std::uint32_t max_samples = 1024;         // at this total all counts are halved
  static constexpr std::uint32_t min_quantile_samples = 20;  // required for a quantile

  std::array<std::uint32_t, bucket_count> counts_{};
  std::uint32_t total_ = 0;
  duration recent_mean_{};
};

}  // namespace marblewharf::upstream
