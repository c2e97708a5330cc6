// When a front checks all of its connections for those that have been idle or half-read for too long.
#pragma once

#include "core/request.hpp"

namespace marblewharf::fronts {

class sweep_schedule {
 public:
  explicit sweep_schedule(duration period) : period_(period) {}

  bool due(time_point now) const { return now >= next_; }
  time_point next() const { return next_; }

  // Schedules the next sweep; to be called once due. Returns whether connections may be checked now: a sweep
  // that comes a period late was held up with the whole process, and what arrived meanwhile is to be read
  // first.
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
