// A facade of the admission policy: the caller passes facts to report(), calls tick() as time passes, and
// then calls next_decision() until it returns none. The facade converts facts into events of the
// policy, and actions of the policy into decisions; the dispatcher does not use events and actions directly.
// Not synchronized: owned by the dispatcher's thread.
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
  // `server_started`: when the server behind this node started; a time in the past if the server was already
  // running. Throws std::invalid_argument, naming the setting, if the settings are invalid.
  admission(const admission_policy::settings& settings, std::uint64_t seed, time_point server_started);

  // Queues a fact. The next tick() passes all queued facts to the policy, in the order of the reports.
  void report(const arrived& fact);
  void report(const completed& fact);
  void report(const cancelled& fact);
  void report(const call_needed& fact);
  void report(const call_completed& fact);
  void report(const shutdown_notice& fact);
  void report(const quota_update& fact);

  // Runs the policy on all queued facts and on the timer if it is due. `gauges`: the values of the gauges
  // that the settings list, in their order; empty if the values are unknown.
  void tick(time_point now, std::span<const double> gauges);

  // Removes and returns the next decision, in the order of application; none if no decision is left.
  std::optional<admission_decision> next_decision();

  // When tick() has to be called next. While facts are pending, tick() has to be called at once.
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
  std::vector<bool> class_writes_;  // by request class: whether its effect is not request_effect::safe
  std::vector<admission_policy::event> pending_;
  std::deque<admission_decision> decisions_;
  std::unordered_map<request_id, bool> started_;  // by open request: whether a run decision was made
  time_point due_{};
  time_point now_{};  // time of the actions that are being applied
};

}  // namespace marblewharf
