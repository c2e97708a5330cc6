// Whether the node asks to be taken off the balancers' lists: the operators' drain, apart from SIGTERM.
//
// Free of I/O; the caller hands in the time. Not thread-safe: owned by the reactor's thread.
#pragma once

#include <chrono>

namespace marblewharf::lifecycle {

class drain_state {
 public:
  using time_point = std::chrono::nanoseconds;  // steady clock
  enum class stage { serving, draining };

  // `drain` twice keeps the first time; `resume` without a drain changes nothing. Both return whether the
  // stage changed.
  bool drain(time_point now);
  bool resume(time_point now);

  // What health checks answer, given what the module says of itself: bad from the drain on, whatever else
  // holds.
  bool healthy(bool module_good) const { return stage_ == stage::serving && module_good; }

  stage where() const { return stage_; }
  // When the stage last changed; 0 before any change.
  time_point since() const { return since_; }

 private:
  stage stage_ = stage::serving;
  time_point since_{};
};

}  // namespace marblewharf::lifecycle
