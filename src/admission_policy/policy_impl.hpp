// The policy behind policy.hpp: applies events in order to its units, then makes the decisions that are due.
//
// The ordinary path of a request: an arrival is tagged from its tenant's arrival curve and queued, the queue
// is shed of what cannot make its objective, and the smallest finish tag starts while the concurrency limit
// allows. policy.cpp applies the events, decisions.cpp makes the decisions after each batch, answers.cpp ends
// requests and keeps the books.
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

// What the caller of a rejected request is told beyond the usual.
struct rejection {
  bool no_retry_elsewhere = false;
  duration min_retry_after{};
};

class policy::impl {
 public:
  impl(settings given, time_point now);
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
  request request_for(const arrival& attempt);
  request& enqueue(request added);
  void admit(request& queued, const arrival& attempt, bool unlinked_duplicate);
  void retry_call(request& failed, outcome result);
  void account(time_point now);

  // Decisions after each batch of events.
  void shed_for_memory();
  void answer_due_requests();
  void decide_waiting_calls();
  void shed_hopeless_requests();
  void reject_without_run_quota();
  void place_calls();
  void start_queued_requests();
  void set_next_timer();

  // Decisions once in a control window.
  void end_control_window(const timer_fired& timer);
  void update_health();
  void repeat_stops();

  // Answers and books.
  void reject_request(request& rejected, rejection why = {});
  void fail_request(request& failed);
  void release(request& unwanted);
  void erase(request& ended);
  void move(request& moved, request_state to);
  void retain_key_of(request& queued);
  void set_deadline(request& of);
  template <typename Action>
  void act(Action decided) {
    actions_.emplace_back(std::move(decided));
  }

  const class_settings& class_of(const request& of) const { return settings_.classes[of.request_class]; }
  bool can_stop_runs() const { return settings_.halt != halt_mode::none; }
  double speed() const { return slow_start_.speed(now_); }
  double ceiling() const { return limiter_.ceiling(speed()); }
  double time_per_unit() const { return service_times_.time_per_unit(requests_, now_); }
  double cpu_busy(const timer_fired& timer) const;
  bool has_start_slot() const;
  bool slow_here() const;
  duration retry_advice() const;

  settings settings_;
  time_point now_;
  time_point accounted_;  // up to here time has been counted
  time_point window_end_;
  time_point timer_at_{duration::max()};  // max: none is set
  bool handled_before_ = false;           // the actions of the constructor went out
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
