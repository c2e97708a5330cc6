#include "lifecycle/drain_state.hpp"

namespace marblewharf::lifecycle {

bool drain_state::drain(time_point now) {
  return change_to(state::draining, now);
}

bool drain_state::resume(time_point now) {
  return change_to(state::serving, now);
}

bool drain_state::change_to(state next, time_point now) {
  if (state_ == next) return false;
  state_ = next;
  since_ = now;
  return true;
}

}  // namespace marblewharf::lifecycle
