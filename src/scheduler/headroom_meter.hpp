// Computes the headroom, the fraction of their budgets that background jobs may use, from the load that
// requests cause: 1 on an idle machine, 0 while requests wait to run.
//
// Performs no I/O and reads no clock. Not thread-safe: owned by one thread.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace marblewharf::scheduler {

struct headroom_options {
  double full_below = 0.5;  // fraction of busy cores up to which the headroom is 1
  // Fraction of busy cores from which the headroom is 0. It falls linearly between the two fractions.
  double none_above = 0.85;
  // The headroom is 0 for this time after a request had to wait.
  std::chrono::nanoseconds wait_hold_off = std::chrono::seconds(1);
};

class headroom_meter {
 public:
  explicit headroom_meter(headroom_options options) : options_(options) {}

  // Returns the headroom, from 0 (none) to 1 (full). `cores_busy`: the busy fraction of the cores; nullopt if
  // unknown. `waiting`: the number of requests queued by admission control.
  double evaluate(std::chrono::nanoseconds now, std::optional<double> cores_busy, std::size_t waiting);

 private:
  headroom_options options_;
  std::optional<std::chrono::nanoseconds> last_waiting_;  // the last time at which a request was waiting
};

}  // namespace marblewharf::scheduler
