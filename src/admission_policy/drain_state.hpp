// The effect of shutdown notices: when the process stops and which requests arrive too late to run.
#pragma once

#include <algorithm>
#include <chrono>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class drain_state {
 public:
  explicit drain_state(duration grace) : grace_(grace) {}

  // Processes a notice that the process stops after `time_left`. The earliest stop of all notices applies.
  // Returns true for the first notice.
  bool begin(duration time_left, time_point now) {
    const bool first_notice = !active_;
    if (first_notice) first_notice_time_ = now;
    active_ = true;
    stop_time_ = std::min(stop_time_, now + time_left);
    return first_notice;
  }

  bool active() const { return active_; }

  // Latest time for an answer.
  time_point answer_by() const { return stop_time_ - answer_margin_before_stop; }

  // Whether a request that reached the machine at `arrived` must not run.
  bool too_late_to_run(time_point arrived) const { return active_ && arrived > first_notice_time_ + grace_; }

 private:
  // Answers are sent this long before the stop, because the process may stall shortly before it stops.
  static constexpr duration answer_margin_before_stop = std::chrono::milliseconds(700);

  duration grace_;
  bool active_ = false;
  time_point first_notice_time_{};
  time_point stop_time_{duration::max()};
};

}  // namespace admission_policy
