// A budget of extra calls (retries or hedged requests): a share of the first attempts, plus a floor for low
// traffic. In every window that ends at a call, the number of extra calls is at most share * first attempts
// in the window + floor * length of the window. Not thread-safe.
#pragma once

#include <array>
#include <cstdint>

#include "core/request.hpp"

namespace marblewharf::upstream {

class retry_budget {
 public:
  // `share`: extra calls per first attempt. `floor_per_s`: extra calls per second that are allowed regardless
  // of the number of first attempts.
  retry_budget(double share, double floor_per_s, duration window = std::chrono::seconds(10))
      : share_(share), floor_per_s_(floor_per_s), slice_length_(window / slice_count) {}

  void on_first_attempt(time_point now);
  // Charges one extra call to the budget; false if the budget is exhausted.
  bool try_acquire(time_point now);

 private:
  static constexpr std::size_t slice_count = 20;
  struct slice_counts {
    std::uint32_t first_attempts = 0;
    std::uint32_t extra_calls = 0;
  };

  void advance(time_point now);

  double share_;
  double floor_per_s_;
  duration slice_length_;
  std::array<slice_counts, slice_count> slices_{};  // ring buffer
  std::size_t current_slice_ = 0;                   // index
  time_point current_slice_end_{};
};

}  // namespace marblewharf::upstream
