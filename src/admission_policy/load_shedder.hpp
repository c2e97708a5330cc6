// Finds the queued requests that cannot make their objective, so that they are rejected while their callers
// can still go elsewhere.
#pragma once

#include "admission_policy/dependency_call_admission.hpp"
#include "admission_policy/policy.hpp"
#include "admission_policy/request_table.hpp"

namespace admission_policy {

struct server_load {
  unsigned cores = 1;
  double slots = 1;               // runs at once
  double time_per_unit = 0;       // s of core time for a unit of work, now
  double best_time_per_unit = 0;  // s, at the best pace known
};

// One walk over the queue in the order in which it will run. Requests of tenants beyond their arrival curves
// come last and so are shed first.
class queue_forecast {
 public:
  // Starts with the requests that are on the cores and at calls now.
  queue_forecast(const server_load& load, const request_table& requests,
                 const dependency_call_admission& calls, time_point now);

  // Whether the next request of the queue is expected to miss its objective. If not, it counts as work ahead
  // of those behind it.
  bool misses_objective(const request& next, const class_settings& its_class);

 private:
  server_load load_;
  const dependency_call_admission& calls_;
  unsigned calls_in_flight_;
  time_point now_;
  double work_ahead_s_ = 0;
  double calls_ahead_;
  double unconditional_starts_;
};

// How many queued requests start at once whatever their estimate says: as many as cores are free, or one on
// an idle server that looks slow. Guards against rejecting everywhere what is merely large, and against an
// estimate that cannot recover because nothing runs any more.
double unconditional_starts(const server_load& load, std::size_t running);

// What a rejected caller is advised to wait: half the time that the queued work will take, within bounds.
duration advised_retry_after(double queued_work, double time_per_unit, double limit, duration most);

}  // namespace admission_policy
