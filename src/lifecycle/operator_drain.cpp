#include "lifecycle/operator_drain.hpp"

namespace marblewharf::lifecycle {

bool operator_drain::drain(time_point now) {
  return change_to(state::draining, now);
}

bool operator_drain::resume(time_point now) {
  return change_to(state::serving, now);
}

bool operator_drain::change_to(state next, time_point now) {
  if (state_ == next) return false;
  state_ = next;
  since_ = now;
  return true;
}

}  // namespace marblewharf::lifecycle
