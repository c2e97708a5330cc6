// Whether the node asks to be taken off the balancers' lists: the operators' drain, apart from a shutdown.
//
// Free of I/O; the caller passes the time in. Not thread-safe: owned by the reactor's thread.
//
//   state     event   next state
//   serving   drain   draining
//   draining  resume  serving
//
// Any other event leaves the state, and the time it was entered, as they are.
#pragma once

#include <chrono>

namespace marblewharf::lifecycle {

class drain_state {
 public:
  using time_point = std::chrono::nanoseconds;  // steady clock
  enum class state { serving, draining };

  // Both return whether the state changed.
  bool drain(time_point now);
  bool resume(time_point now);

  // What health checks answer: good only while serving, and only as long as the admission policy is healthy.
  bool healthy(bool policy_healthy) const { return state_ == state::serving && policy_healthy; }

  state current() const { return state_; }
  // When the current state was entered; 0 before any change.
  time_point since() const { return since_; }

 private:
  bool change_to(state next, time_point now);

  state state_ = state::serving;
  time_point since_{};
};

}  // namespace marblewharf::lifecycle
