// What a shutdown notice means for requests: when the process stops, and what is too late to run.
#pragma once

#include <algorithm>
#include <chrono>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class drain_state {
 public:
  explicit drain_state(duration grace) : grace_(grace) {}

  // Takes a notice that the process stops after `time_left`; of several the earliest stop counts. True for
  // the first notice.
  bool begin(duration time_left, time_point now) {
    const bool first = !active_;
    if (first) noticed_at_ = now;
    active_ = true;
    stops_at_ = std::min(stops_at_, now + time_left);
    return first;
  }

  bool active() const { return active_; }

  // The last moment for an answer.
  time_point answer_by() const { return stops_at_ - answer_before_stop; }

  // What reached the machine then is not run any more.
  bool too_late_to_run(time_point arrived) const { return active_ && arrived > noticed_at_ + grace_; }

 private:
  // Answers go out this long before the stop: the process may stall in its last moment.
  static constexpr duration answer_before_stop = std::chrono::milliseconds(700);

  duration grace_;
  bool active_ = false;
  time_point noticed_at_{};
  time_point stops_at_{duration::max()};
};

}  // namespace admission_policy
