// Admission control for the calls of runs to the shared dependency. Decides which calls are placed, their
// time limits and retries, and which runs skip their call or fail.
//
// This server has a quota of the concurrent calls that the dependency can sustain. Calls in flight stay
// within the quota at every moment, and their mean stays within it over the averaging period. Below the quota
// the mean follows an adaptive cap. The cap grows while round trips are near the best round trip and other
// calls wait, and it is cut when round trips grow. The cap protects a dependency that slows down long before
// it fails. It also keeps servers from using up their quotas at the same time and then waiting together for
// the end of the period. An abandoned call still counts as in flight for a while, because the dependency may
// still work on it.
#pragma once

#include <deque>
#include <set>
#include <vector>

#include "admission_policy/policy.hpp"
#include "admission_policy/request_table.hpp"

namespace admission_policy {

enum class call_decision { wait, skip, fail };

// The inputs of the decision on one waiting call.
struct waiting_call {
  const request& run;
  const class_settings& its_class;
  double calls_ahead = 0;          // calls that are placed before it
  bool only_waiting_call = false;  // no other call waits
  duration remaining_run{};        // core time that the run needs after the call
};

class dependency_call_admission {
 public:
  explicit dependency_call_admission(const settings& policy_settings);

  // Records that `in_flight` calls were in flight between `since` and `now`.
  void record_usage(unsigned in_flight, time_point since, time_point now);

  // Records that a run of this class succeeded and made `calls_made` calls.
  void note_run_end(unsigned request_class, unsigned calls_made);
  // Number of further calls expected from the run, from the mean of its class.
  double expected_calls(const request& run) const;

  // Records the end of a call and adjusts the cap. `other_calls_waiting`: whether other calls wait to be
  // placed.
  void note_call_end(const call_ended& ended, bool other_calls_waiting, time_point now);
  // Records that a call in flight was abandoned or its run ended.
  void note_abandoned_call(time_point now);

  bool may_place(unsigned in_flight) const;
  // The time limit, from now, for placing the call of this run while `in_flight` other calls are in flight.
  // The limit keeps one call from using up the quota, and leaves a run that may skip its call enough time to
  // continue without it.
  duration time_limit(const waiting_call& call, unsigned in_flight, time_point now) const;

  // Decides on a waiting call. A run whose call cannot return in time skips the call if its class keeps
  // weight without it; otherwise the run fails at once and frees its resources. While the dependency is
  // congested, a run that may skip its call does not wait for it.
  call_decision decide(const waiting_call& call, unsigned in_flight, time_point now) const;

  // Delay before the next attempt of a call after `failures` failed attempts. The delay grows exponentially,
  // to limit the load on a failing dependency.
  duration retry_delay(unsigned failures) const;

  // Expected seconds until a call is placed that has `calls_ahead` calls before it.
  double wait_seconds(double calls_ahead, unsigned in_flight) const;
  // Moving average of the round trip times in seconds; 0 = no call has returned.
  double round_trip_seconds() const { return round_trip_s_; }
  // Whether round trips take much longer than the best round trip.
  bool congested() const;
  // Whether a quota of calls is configured for this server.
  bool limited() const { return fair_calls_ > 0; }

 private:
  // Usage between two events. Call seconds are calls in flight multiplied by seconds.
  struct usage_span {
    time_point end{};
    double call_seconds = 0;
  };

  double effective_in_flight(unsigned in_flight) const;
  double call_quota() const;
  double period_budget() const;
  void update_round_trip(const call_ended& ended, time_point now);

  double fair_calls_;  // this server's quota of calls in flight; 0 = not configured
  duration period_;
  duration abandoned_duration_;
  duration tick_;
  std::multiset<time_point> abandoned_until_;
  std::deque<usage_span> usage_spans_;  // within the averaging period
  double used_call_seconds_ = 0;        // sum over usage_spans_
  double cap_;                          // target for the mean number of calls in flight
  double credit_call_seconds_;          // unused call seconds; negative after overuse
  double round_trip_s_ = 0;             // moving average; 0 = no call has returned
  double best_round_trip_s_ = 0;
  unsigned calls_since_cut_ = 0;
  unsigned calls_measured_ = 0;
  time_point last_call_end_{};
  std::vector<double> calls_per_run_;  // by class, moving average
};

}  // namespace admission_policy
