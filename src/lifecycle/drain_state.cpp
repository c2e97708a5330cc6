#include "lifecycle/drain_state.hpp"

namespace marblewharf::lifecycle {

bool drain_state::drain(time_point now) {
  if (stage_ == stage::draining) return false;
  stage_ = stage::draining;
  since_ = now;
  return true;
}

bool drain_state::resume(time_point now) {
  if (stage_ == stage::serving) return false;
  stage_ = stage::serving;
  since_ = now;
  return true;
}

}  // namespace marblewharf::lifecycle
