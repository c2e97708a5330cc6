// A small host in fake time that drives one policy in a closed loop: what the policy starts ends later, the
// calls it places come back, the timers it sets fire, and callers that are rejected retry.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "admission_policy/policy.hpp"
#include "transcript.hpp"

namespace admission_policy::testing {

// What the traffic and the machine of one run are like.
struct host_profile {
  unsigned steps = 1500;           // moments at which the policy is handed events
  unsigned arrival_gap_us = 8000;  // mean time between first attempts in calm phases
  unsigned overload_factor = 5;    // how much closer arrivals come in overload phases
  unsigned work_ms = 60;           // mean time of a run on a core of its own
  unsigned callers = 30;           // how many there are
  unsigned most_kb = 33;           // the largest memory that a request reserves
  unsigned burst = 1;              // first attempts that come at once
  unsigned cancels_one_in = 25;    // one in so many requests is cancelled by its client
  unsigned overload_slowdown = 1;  // in overload phases runs take this many times as long
  bool states_work = false;        // arrivals carry their expected work
  bool states_timeout = false;     // arrivals carry their client's timeout
  bool marks_retries = false;      // retries carry their mark
  bool slow_reads = false;         // some arrivals have waited long to be read:
  unsigned slow_reads_one_in = 12;
  unsigned slow_read_most_ms = 1500;
  bool updates_quota = false;    // quota updates come every few hundred milliseconds
  bool stalls = false;           // now and then nothing is handed over for a while
  bool slow_dependency = false;  // calls take longer the more of them are in flight:
  unsigned calls_at_full_speed = 1;
  duration shutdown_after{};  // 0 = no shutdown notice
};

// Drives a policy with `given` settings; the same seed gives the same events on every platform.
class simulated_host {
 public:
  simulated_host(const settings& given, const host_profile& profile, std::uint64_t seed);

  // Runs all steps and returns what the policy did.
  const transcript& run();
  std::uint64_t events() const { return events_; }

 private:
  enum class stage { queued, running, waiting_for_call, in_call, sharing, ended };
  struct live_request {
    arrival sent;
    stage where = stage::queued;
    unsigned calls_left = 0;
    bool answered = false;
    duration slice{};       // time on a core between two calls
    unsigned schedule = 0;  // entries of the agenda that carry another number are void
  };
  enum class entry_kind {
    first_attempt,
    retry,
    slice_end,
    call_result,
    run_end,
    cancellation,
    quota,
    shutdown
  };
  struct entry {
    entry_kind kind{};
    request_id id{};
    unsigned schedule = 0;
    outcome result = outcome::ok;
    duration elapsed{};
    arrival retried{};
  };

  unsigned below(unsigned bound) { return static_cast<unsigned>(random_() % bound); }
  void plan(duration in, entry what);
  void plan_for(live_request& request, duration in, entry_kind kind, outcome result = outcome::ok);
  void step();
  void collect(std::vector<event>& batch);
  void collect(const entry& what, std::vector<event>& batch);
  void collect_for(live_request& request, const entry& what, std::vector<event>& batch);
  void cancel(live_request& request, std::vector<event>& batch);
  void collect_timer(std::vector<event>& batch);
  void hand_over(const std::vector<event>& batch);

  arrival first_attempt();
  void mark_duplicate(arrival& attempt);
  void register_arrival(const arrival& attempt, std::vector<event>& batch);
  void end_slice(live_request& request, std::vector<event>& batch);
  void end_call(live_request& request, const entry& what, std::vector<event>& batch);
  quota_update drawn_quota();
  bool overloaded() const;
  unsigned running() const;
  void start_slice(live_request& request);

  void apply(const action& what);
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
  std::multimap<time_point, entry> agenda_;
  std::map<request_id, live_request> requests_;
  std::map<request_id, std::pair<arrival, time_point>> retained_;  // by id, with the end of the key's life
  std::optional<time_point> timer_at_;
  request_id last_id_ = 0;
  unsigned calls_in_flight_ = 0;
  std::uint64_t events_ = 0;
};

}  // namespace admission_policy::testing
