// The implementation of the policy declared in policy.hpp. It passes events to its units in order and then
// makes the decisions that follow from them.
//
// The usual path of a request: its arrival gets tags from the arrival curve of its tenant and enters the
// queue. Queued requests that cannot meet their latency objective are shed. The request with the smallest
// finish tag starts while the concurrency limit allows another run.
//
// policy.cpp handles the events, request_scheduling.cpp makes the decisions after each batch of events and at
// the end of each control window, and request_completion.cpp answers requests and changes their states.
#pragma once

#include <span>
#include <utility>
#include <vector>

#include "admission_policy/arrival_curve.hpp"
#include "admission_policy/concurrency_limiter.hpp"
#include "admission_policy/dependency_call_admission.hpp"
#include "admission_policy/drain_state.hpp"
#include "admission_policy/idempotency_keys.hpp"
#include "admission_policy/idle_connection_advisor.hpp"
#include "admission_policy/load_shedder.hpp"
#include "admission_policy/load_signal.hpp"
#include "admission_policy/memory_guard.hpp"
#include "admission_policy/overload_detector.hpp"
#include "admission_policy/policy.hpp"
#include "admission_policy/progress_watchdog.hpp"
#include "admission_policy/rate_quota_buckets.hpp"
#include "admission_policy/request_table.hpp"
#include "admission_policy/retry_age_estimator.hpp"
#include "admission_policy/service_time_estimator.hpp"
#include "admission_policy/slow_start.hpp"
#include "admission_policy/unlinked_duplicate_detector.hpp"

namespace admission_policy {

// Advice for one rejection: can forbid retries elsewhere or lengthen the retry-after that is computed for
// every rejection.
struct rejection_advice {
  bool no_retry_elsewhere = false;
  duration min_retry_after{};
};

class policy::impl {
 public:
  impl(settings policy_settings, time_point now);
  const std::vector<action>& handle(time_point now, std::span<const event> events);

 private:
  // Events.
  void on(const arrival& attempt);
  void on(const completion& ended);
  void on(const client_cancelled& cancelled);
  void on(const call_needed& needed);
  void on(const call_ended& ended);
  void on(const shutdown_notice& notice);
  void on(const timer_fired& timer);
  void on(const quota_update& update);
  request make_request(const arrival& attempt);
  request& enqueue(request new_request);
  void admit(request& queued, const arrival& attempt, bool unlinked_duplicate);
  void retry_call(request& run, outcome result);
  void account_elapsed_time(time_point now);

  // Decisions after each batch of events.
  void shed_for_memory();
  void answer_due_requests();
  void decide_waiting_calls();
  void shed_requests_missing_objective();
  void reject_without_run_quota();
  void place_calls();
  void start_queued_requests();
  void set_next_timer();

  // Decisions at the end of each control window.
  void end_control_window(const timer_fired& timer);
  void update_health();
  void repeat_stops();

  // Answers and state changes.
  void reject_request(request& rejected, rejection_advice advice = {});
  void fail_request(request& failed);
  void discard_or_stop(request& answered);
  void remove_request(request& ended);
  void change_state(request& target, request_state new_state);
  void retain_key_of(request& queued);
  void set_deadline(request& target);
  template <typename Action>
  void emit(Action emitted) {
    actions_.emplace_back(std::move(emitted));
  }

  const class_settings& class_of(const request& target) const {
    return settings_.classes[target.request_class];
  }
  bool can_stop_runs() const { return settings_.halt != halt_mode::none; }
  double speed() const { return slow_start_.speed(now_); }
  double ceiling() const { return limiter_.ceiling(speed()); }
  double time_per_unit() const { return service_times_.time_per_unit(requests_, now_); }
  double cpu_busy(const timer_fired& timer) const;
  bool has_start_slot() const;
  bool locally_slow() const;
  duration retry_after_advice() const;

  settings settings_;
  time_point now_;
  time_point accounted_until_;  // account_elapsed_time() has accounted for the time before
  time_point window_end_;
  time_point timer_due_{duration::max()};  // max: no timer is set
  bool handled_before_ = false;            // handle() was called and returned the constructor's actions
  std::vector<action> actions_;

  request_table requests_;
  slow_start slow_start_;
  arrival_curves curves_;
  concurrency_limiter limiter_;
  service_time_estimator service_times_;
  dependency_call_admission calls_;
  memory_guard memory_;
  idempotency_keys keys_;
  unlinked_duplicate_detector unlinked_duplicates_;
  retry_age_estimator retry_ages_;
  quota_update quota_;
  rate_quota_buckets rate_quotas_;
  overload_detector overload_;
  load_signal load_signal_;
  idle_connection_advisor idle_connections_;
  progress_watchdog watchdog_;
  drain_state drain_;
};

}  // namespace admission_policy
