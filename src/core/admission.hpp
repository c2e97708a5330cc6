// A facade of the admission policy in blocking style: report() facts, tick() as time passes, and take each
// next_decision() until there is none. The policy's own events and actions are translated here and do not
// occur beyond. Not synchronized: owned by the dispatcher's thread.
#pragma once

#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/admission_messages.hpp"

namespace marblewharf {

class admission {
 public:
  // `server_started`: when the server behind this node started; in the past for one that has been up for a
  // while. Throws std::invalid_argument, naming the setting, when the settings cannot be used.
  admission(const admission_policy::settings& settings, std::uint64_t seed, time_point server_started);

  // The policy sees facts at the next tick(), in the order in which they were reported.
  void report(const arrived& fact);
  void report(const completed& fact);
  void report(const cancelled& fact);
  void report(const call_needed& fact);
  void report(const call_completed& fact);
  void report(const shutdown_notice& fact);
  void report(const quota_update& fact);

  // Decides on all facts reported and all timers that are due. Gauges are in the order of the settings; none:
  // unknown.
  void tick(time_point now, std::span<const double> gauges);

  // Decisions in the order in which they are to be applied; none: all were taken.
  std::optional<admission_decision> next_decision();

  // The next tick() is wanted at this time, or at once while facts are pending.
  time_point due() const { return due_; }
  bool has_pending_facts() const { return !pending_.empty(); }

 private:
  void apply_all(const std::vector<admission_policy::action>& actions, time_point now);
  void apply(const admission_policy::start& action);
  void apply(const admission_policy::stop_run& action);
  void apply(const admission_policy::reject& action);
  void apply(const admission_policy::fail& action);
  void apply(const admission_policy::place_call& action);
  void apply(const admission_policy::skip_call& action);
  void apply(const admission_policy::retain_key& action);
  void apply(const admission_policy::forget_key& action);
  void apply(const admission_policy::share_result& action);
  void apply(const admission_policy::set_health& action);
  void apply(const admission_policy::advertise& action);
  void apply(const admission_policy::close_idle& action);
  void apply(const admission_policy::set_timer& action);
  void apply(const admission_policy::log_line& action);
  void forget_unless_started(request_id id);

  admission_policy::policy policy_;
  std::vector<bool> class_writes_;  // by request class: has an effect that may not be repeated freely
  std::vector<admission_policy::event> pending_;
  std::deque<admission_decision> decisions_;
  std::unordered_map<request_id, bool> started_;  // by open request: whether it was started once
  time_point due_{};
  time_point now_{};  // of the actions being applied
};

}  // namespace marblewharf
