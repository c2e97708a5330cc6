// Decides on the calls of runs to the shared dependency: which may be placed and for how long, which are
// retried, and which runs go on without their call or fail.
//
// Calls in flight stay below this server's quota of what the dependency survives, at any moment and in the
// mean over its period. Within that quota the mean follows a cap: it grows while calls come back in about the
// best time and others wait, and is cut when round trips grow. That guards against a dependency that slows
// long before it falls, and against servers that spend their quota at once and then wait for the period
// together. A call that the dependency may still work on after it was abandoned counts as in flight for a
// while.
#pragma once

#include <deque>
#include <set>
#include <vector>

#include "admission_policy/policy.hpp"
#include "admission_policy/request_table.hpp"

namespace admission_policy {

enum class call_decision { wait, skip, fail };

// What the decision on a waiting call depends on, beside the state of the calls.
struct waiting_call {
  const request& run;
  const class_settings& its_class;
  double calls_ahead = 0;    // placed before it
  bool only_one = false;     // no other call waits
  duration remaining_run{};  // time on the core after the call
};

class dependency_call_admission {
 public:
  explicit dependency_call_admission(const settings& given);

  // Counts the time from `since` to `now`, in which so many calls were in flight.
  void account(unsigned in_flight, time_point since, time_point now);

  // A run of this class ended well having made so many calls.
  void note_run_end(unsigned request_class, unsigned calls_made);
  // Calls that the run is still expected to make, going by its class.
  double expected_calls(const request& run) const;

  // A call came back, while others wait for their turn or not.
  void call_ended(const call_ended& ended, bool others_wait, time_point now);
  // The run of a call in flight ended, or the call was abandoned.
  void abandoned(time_point now);

  bool may_place(unsigned in_flight) const;
  // How long the call of this run may take, from now, when so many others are in flight: it is given up when
  // it would use up the quota alone, or when the run could not go on in time without it.
  duration time_limit(const waiting_call& call, unsigned in_flight, time_point now) const;

  // What is to become of a call that waits. What cannot come in time goes on without the call where that
  // keeps weight, otherwise it fails at once and makes room; while calls are slow, what can go without never
  // waits.
  call_decision decide(const waiting_call& call, unsigned in_flight, time_point now) const;

  // Delay before the next attempt of a call that failed so often: a dependency that fails is asked again
  // later and later.
  duration retry_delay(unsigned failures) const;

  // Seconds until a call may be placed that has so many before it.
  double wait_seconds(double calls_ahead, unsigned in_flight) const;
  // Mean seconds of the round trips of late; 0 = none seen.
  double round_trip_seconds() const { return round_trip_s_; }
  // Whether round trips are far longer than the best.
  bool congested() const;
  // Whether this server's quota of calls is stated.
  bool limited() const { return fair_calls_ > 0; }

 private:
  struct usage_span {
    time_point end{};
    double call_seconds = 0;  // calls in flight x seconds
  };

  double occupied(unsigned in_flight) const;
  double call_quota() const;
  double period_budget() const;
  void update_round_trip(const admission_policy::call_ended& ended, time_point now);

  double fair_calls_;  // this server's quota of calls in flight; 0 = not stated
  duration period_;
  duration abandoned_duration_;
  duration tick_;
  std::multiset<time_point> abandoned_until_;
  std::deque<usage_span> spans_;  // of the period
  double used_ = 0;               // calls in flight x seconds over the period
  double cap_;                    // mean of the calls in flight that is meant
  double credit_;                 // calls in flight x seconds that may be used at once
  double round_trip_s_ = 0;       // mean of late; 0 = none seen
  double best_round_trip_s_ = 0;
  unsigned ended_since_cut_ = 0;
  unsigned ended_ = 0;
  time_point last_end_{};
  std::vector<double> calls_per_run_;  // by class, of late
};

}  // namespace admission_policy
