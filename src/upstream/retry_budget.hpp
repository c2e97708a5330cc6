// A budget of extra calls (retries, or hedged requests) as a share of first attempts, with a floor for rare
// traffic. Over any window that ends at a call, extra calls are no more than share * first attempts in it +
// floor * its length. One thread at a time.
#pragma once

#include <array>
#include <cstdint>

#include "core/request.hpp"

namespace marblewharf::upstream {

class retry_budget {
 public:
  // `share`: extra calls for each first attempt. `floor_per_s`: extra calls that are allowed anyway.
  retry_budget(double share, double floor_per_s, duration window = std::chrono::seconds(10))
      : share_(share), floor_per_s_(floor_per_s), slice_(window / slice_count) {}

  void on_first_attempt(time_point now);
  // Charges one extra call where the budget allows it.
  bool try_take(time_point now);

 private:
  static constexpr std::size_t slice_count = 20;
  struct slice_counts {
    std::uint32_t first_attempts = 0;
    std::uint32_t extra_calls = 0;
  };

  void advance(time_point now);

  double share_;
  double floor_per_s_;
  duration slice_;
  std::array<slice_counts, slice_count> slices_{};  // a ring
  std::size_t current_ = 0;                         // slice
  time_point current_end_{};
};

}  // namespace marblewharf::upstream
