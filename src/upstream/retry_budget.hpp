// A cap on extra calls (further attempts, second copies) as a share of first calls, with a floor for rare
// traffic. Over any window that ends at a call, extras are no more than share x firsts in it + floor x its
// length.
#pragma once

#include <array>
#include <cstdint>

#include "core/request.hpp"

namespace marblewharf::upstream {

class retry_budget {
 public:
  // `share`: extras for each first call; `floor`: extras a second that are allowed whatever comes.
  retry_budget(double share, double floor, duration window = std::chrono::seconds(10))
      : share_(share), floor_(floor), slice_(window / slices) {}

  void on_first(time_point now) {
    turn(now);
    ++firsts_[at_];
  }
  // Takes one extra where the cap allows it.
  bool take(time_point now);

 private:
  static constexpr std::size_t slices = 20;
  void turn(time_point now);

  double share_;
  double floor_;
  duration slice_;
  std::array<std::uint32_t, slices> firsts_{}, extras_{};
  std::size_t at_ = 0;
  time_point slice_end_{};
};

}  // namespace marblewharf::upstream
