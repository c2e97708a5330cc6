// The latency of recent calls: quantiles from a histogram of logarithmic buckets that forgets by halving, and
// the mean of the last few. A bucket is a quarter wide, so a quantile is off by that at most. One thread at a
// time.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "core/request.hpp"

namespace marblewharf::upstream {

class latency_estimator {
 public:
  void add(duration took);
  // `q`: from 0 to 1. None before enough calls were added.
  std::optional<duration> quantile(double q) const;
  // The mean of the last few calls: follows a change at once. 0: no call was added.
  duration recent() const { return recent_; }

 private:
  static constexpr std::size_t bucket_count = 64;
  static constexpr std::uint32_t most_samples = 1024;  // then all counts are halved
  static constexpr std::uint32_t least_samples = 20;   // for a quantile

  std::array<std::uint32_t, bucket_count> counts_{};
  std::uint32_t total_ = 0;
  duration recent_{};
};

}  // namespace marblewharf::upstream
