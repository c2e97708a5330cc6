// A simulated host that drives one policy in a closed loop in simulated time: runs that the policy starts end
// later, calls that it places return, timers that it sets fire, and rejected callers retry.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "admission_policy/policy.hpp"
#include "transcript.hpp"

namespace admission_policy::testing {

// Traffic and machine of one simulation.
struct host_profile {
  unsigned steps = 1500;                   // number of event batches
  unsigned arrival_gap_us = 8000;          // mean time between first attempts in calm phases
  unsigned overload_factor = 5;            // factor of the arrival rate in overload phases
  unsigned work_ms = 60;                   // mean run time on an otherwise idle core
  unsigned callers = 30;                   // number of callers
  unsigned max_reserved_kb = 33;           // largest memory that a request reserves
  unsigned burst = 1;                      // first attempts that arrive at once
  unsigned cancels_one_in = 25;            // one in this many requests is cancelled by its client
  unsigned overload_slowdown = 1;          // factor of the run time in overload phases
  bool states_work = false;                // arrivals carry expected work
  bool states_timeout = false;             // arrivals carry a client timeout
  bool marks_retries = false;              // retries are marked
  bool slow_reads = false;                 // some arrivals have a long read delay:
  unsigned slow_reads_one_in = 12;         // one in this many arrivals
  unsigned max_slow_read_delay_ms = 1500;  // upper bound of the delay
  bool updates_quota = false;              // a quota update every few hundred milliseconds
  bool stalls = false;                     // occasionally the host passes no events for a while
  bool slow_dependency = false;            // calls slow down with the number of calls in flight
  unsigned calls_at_full_speed = 1;        // divisor of that slowdown
  duration shutdown_after{};               // 0 = no shutdown notice
};

// Drives a policy with these settings. Equal seeds give equal events on every platform.
class simulated_host {
 public:
  simulated_host(const settings& policy_settings, const host_profile& profile, std::uint64_t seed);

  // Runs all steps and returns the policy's actions.
  const transcript& run();
  std::uint64_t events() const { return events_; }

 private:
  enum class stage { queued, running, waiting_for_call, in_call, sharing, ended };
  struct live_request {
    arrival attempt;
    stage current_stage = stage::queued;
    unsigned calls_left = 0;
    bool answered = false;
    duration slice{};              // time on a core between two calls
    unsigned schedule_number = 0;  // scheduled events with another number are outdated
  };
  enum class scheduled_kind {
    first_attempt,
    retry,
    slice_end,
    call_result,
    run_end,
    cancellation,
    quota,
    shutdown
  };
  struct scheduled_event {
    scheduled_kind kind{};
    request_id id{};
    unsigned schedule_number = 0;
    outcome result = outcome::ok;
    duration elapsed{};
    arrival retried{};
  };

  unsigned below(unsigned bound) { return static_cast<unsigned>(random_() % bound); }
  void schedule_event(duration delay, scheduled_event scheduled);
  void schedule_for(live_request& request, duration delay, scheduled_kind kind, outcome result = outcome::ok);
  void step();
  void collect_due(std::vector<event>& batch);
  void collect(const scheduled_event& due, std::vector<event>& batch);
  void collect_for(live_request& request, const scheduled_event& due, std::vector<event>& batch);
  void cancel(live_request& request, std::vector<event>& batch);
  void collect_timer(std::vector<event>& batch);
  void pass_to_policy(const std::vector<event>& batch);

  arrival first_attempt();
  void mark_duplicate(arrival& attempt);
  void register_arrival(const arrival& attempt, std::vector<event>& batch);
  void end_slice(live_request& request, std::vector<event>& batch);
  void end_call(live_request& request, const scheduled_event& ended, std::vector<event>& batch);
  quota_update random_quota();
  bool overloaded() const;
  unsigned running() const;
  void start_slice(live_request& request);

  void apply(const action& decided);
  void apply_reject(live_request& request, duration retry_after, bool no_retry_elsewhere);
  void apply_stop(live_request& request);
  void apply_call(live_request& request, duration limit);
  live_request* find(request_id id);

  settings settings_;
  host_profile profile_;
  std::mt19937_64 random_;
  time_point now_;
  policy policy_;
  transcript transcript_;
  std::multimap<time_point, scheduled_event> schedule_;
  std::map<request_id, live_request> requests_;
  std::map<request_id, std::pair<arrival, time_point>> retained_;  // by id, with the expiry of the key
  std::optional<time_point> timer_due_;
  request_id last_id_ = 0;
  unsigned calls_in_flight_ = 0;
  std::uint64_t events_ = 0;
};

}  // namespace admission_policy::testing
