// How much of their budgets background jobs may use, from what the machine has to do for requests: all of it
// on a quiet one, nothing while requests wait to run.
//
// Free of I/O and clocks. Not thread-safe: owned by one thread.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace marblewharf::scheduler {

struct headroom_options {
  double quiet = 0.5;  // fraction of busy cores up to which there is all headroom
  double busy = 0.85;  // ... and from which on there is none; between them it falls in proportion
  std::chrono::nanoseconds calm = std::chrono::seconds(1);  // no headroom so long after a request had to wait
};

class headroom_meter {
 public:
  explicit headroom_meter(headroom_options options) : options_(options) {}

  // Returns the headroom, 0 none to 1 all. `cores_busy`: fraction of the cores, where it is known. `waiting`:
  // requests that are queued by admission.
  double evaluate(std::chrono::nanoseconds now, std::optional<double> cores_busy, std::size_t waiting);

 private:
  headroom_options options_;
  std::optional<std::chrono::nanoseconds> last_waiting_;  // when a request was last seen waiting
};

}  // namespace marblewharf::scheduler
