// The schedule by which a front checks all its connections for those that have been idle, or in the middle of
// a message, for too long.
#pragma once

#include "core/request.hpp"

namespace marblewharf::fronts {

class sweep_schedule {
 public:
  explicit sweep_schedule(duration period) : period_(period) {}

  bool due(time_point now) const { return now >= next_; }
  time_point next() const { return next_; }

  // Schedules the next sweep; called when a sweep is due. Returns whether connections may be checked now. If
  // the sweep is more than one period late, the whole process was stalled: bytes that arrived in the meantime
  // have to be read before connections are checked.
  bool begin(time_point now) {
    const bool stalled = next_.count() > 0 && now > next_ + period_;
    next_ = now + period_;
    return !stalled;
  }

 private:
  const duration period_;
  time_point next_{};
};

}  // namespace marblewharf::fronts
