// How long calls take of late: quantiles from a histogram of logarithmic buckets that forgets by halving, and
// a mean of the last few. A bucket is a quarter wide, so that a quantile is off by that at most.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "core/request.hpp"

namespace marblewharf::upstream {

class latency_estimator {
 public:
  void add(duration took);
  // None before enough calls were seen. `q` from 0 to 1.
  std::optional<duration> quantile(double q) const;
  // Of the last few calls: follows at once when they become slow or quick again. 0 = none seen.
  duration recent() const { return recent_; }

 private:
  static constexpr std::size_t buckets = 64;
  static constexpr std::uint32_t forget_at = 1024;  // samples: then all counts are halved
  static constexpr std::uint32_t least = 20;        // samples: fewer tell nothing of a tail

  std::array<std::uint32_t, buckets> counts_{};
  std::uint32_t total_ = 0;
  duration recent_{};
};

}  // namespace marblewharf::upstream
