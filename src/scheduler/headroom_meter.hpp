// How much of their budgets background jobs may use, from what the machine has to do: all of it on a quiet
// one, nothing while requests wait to run.
//
// Free of I/O and clocks; owned by one thread.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace marblewharf::scheduler {

struct headroom_options {
  double quiet = 0.5;  // busy cores up to which there is all room, as a share
  double busy = 0.85;  // ... and from which on there is none
  std::chrono::nanoseconds calm = std::chrono::seconds(1);  // none so long after a request had to wait
};

class headroom_meter {
 public:
  explicit headroom_meter(headroom_options r) : rules_(r) {}

  // `cores_busy`: 0 to 1; none: it is not known. `waiting`: requests that the admission module holds.
  double evaluate(std::chrono::nanoseconds now, std::optional<double> cores_busy, std::size_t waiting);

 private:
  headroom_options rules_;
  std::optional<std::chrono::nanoseconds> waited_;
};

}  // namespace marblewharf::scheduler
