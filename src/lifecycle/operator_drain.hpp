// State of the operator drain: a draining node fails its health checks, so that balancers stop sending
// requests to the node. Independent of a shutdown.
//
// Performs no I/O; the caller passes the current time. Not thread-safe: owned by the reactor's thread.
//
//   state     event   next state
//   serving   drain   draining
//   draining  resume  serving
//
// Any other event changes neither the state nor the time at which the state was entered.
#pragma once

#include <chrono>

namespace marblewharf::lifecycle {

class operator_drain {
 public:
  using time_point = std::chrono::nanoseconds;  // steady clock
  enum class state { serving, draining };

  // Both functions return whether the state changed.
  bool drain(time_point now);
  bool resume(time_point now);

  // The answer to health checks: true only in state `serving` and while the admission policy is healthy.
  bool healthy(bool policy_healthy) const { return state_ == state::serving && policy_healthy; }

  state current() const { return state_; }
  // When the current state was entered; 0 before the first change.
  time_point since() const { return since_; }

 private:
  bool change_to(state next, time_point now);

  state state_ = state::serving;
  time_point since_{};
};

}  // namespace marblewharf::lifecycle
