// Finds queued requests that will miss their latency objective. They are rejected early, while their callers
// can still try another server.
#pragma once

#include "admission_policy/dependency_call_admission.hpp"
#include "admission_policy/policy.hpp"
#include "admission_policy/request_table.hpp"

namespace admission_policy {

struct server_load {
  unsigned cores = 1;
  double slots = 1;               // maximum number of concurrent runs
  double time_per_unit = 0;       // current core seconds per unit of work
  double best_time_per_unit = 0;  // lowest core seconds per unit of work
};

// Predicts, in one pass over the queue in run order, which requests miss their objective. Requests that
// exceed the arrival curve of their tenant are last in the queue and are therefore shed first.
class queue_forecast {
 public:
  // Starts with the work and the calls of the requests that have already started.
  queue_forecast(const server_load& load, const request_table& requests,
                 const dependency_call_admission& calls, time_point now);

  // Whether the next request of the queue is expected to miss its objective. A request that is not expected
  // to miss it counts as work ahead of the requests behind it.
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

// Numbers of runs on the cores.
struct running_counts {
  std::size_t all = 0;
  std::size_t awaited = 0;  // a caller still waits for their answer
};

// Number of queued requests that start at once regardless of their estimates: the number of free cores, or
// one on a server that appears slow and has no run that a caller waits for. Otherwise every server could
// reject a request only because it is large, and the estimate could not recover when no requests run. A run
// that was answered without its end may never end, so it does not keep the next request out.
double unconditional_starts(const server_load& load, running_counts running);

// The retry-after for a rejected request: half of the time that the queued work takes, at least one control
// window and at most `max_retry_after`.
duration advised_retry_after(double queued_work, double time_per_unit, double limit,
                             duration max_retry_after);

}  // namespace admission_policy
