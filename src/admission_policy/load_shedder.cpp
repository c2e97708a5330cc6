#include "admission_policy/load_shedder.hpp"

#include <algorithm>

#include "admission_policy/control_window.hpp"
#include "admission_policy/service_time_estimator.hpp"
#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// This server appears slow when a unit of work takes more than this many times its best time.
constexpr double locally_slow_factor = 1.6;

running_counts count_running(const request_table& requests) {
  running_counts counts;
  counts.all = requests.running().size();
  counts.awaited =
      static_cast<std::size_t>(std::count_if(requests.running().begin(), requests.running().end(),
                                             [](const auto& run) { return !run.entry->answered; }));
  return counts;
}

}  // namespace

double unconditional_starts(const server_load& load, running_counts running) {
  const bool appears_slow = load.time_per_unit > locally_slow_factor * load.best_time_per_unit;
  if (appears_slow) return running.awaited == 0 ? 1 : 0;
  return std::max(0.0, load.cores - static_cast<double>(running.all));
}

queue_forecast::queue_forecast(const server_load& load, const request_table& requests,
                               const dependency_call_admission& calls, time_point now)
    : load_(load),
      calls_(calls),
      calls_in_flight_(requests.in_call_count()),
      now_(now),
      calls_ahead_(static_cast<double>(requests.awaiting_call().size())),
      unconditional_starts_(unconditional_starts(load, count_running(requests))) {
  for (const auto& run : requests.running()) {
    calls_ahead_ += calls.expected_calls(*run.entry);
    work_ahead_s_ += remaining_seconds(*run.entry, now, load.time_per_unit);
  }
  const double free_slots = std::max(0.0, load.slots - static_cast<double>(requests.running().size()));
  work_ahead_s_ -= load.time_per_unit * free_slots;
}

bool queue_forecast::misses_objective(const request& next, const class_settings& its_class) {
  const double own_s = next.work * load_.time_per_unit;
  const bool may_skip_call = its_class.weight_without_call > 0;
  const double own_calls = may_skip_call ? 0 : calls_.expected_calls(next);
  const double call_wait_s = own_calls > 0 ? calls_.wait_seconds(calls_ahead_, calls_in_flight_) : 0;
  const double calls_s = own_calls * calls_.round_trip_seconds();
  const double left_s = to_seconds(next.useful_until - now_);
  const bool calls_in_time = call_wait_s <= 0 || call_wait_s + calls_s <= left_s;
  const bool starts_at_once = unconditional_starts_ > 0 && left_s > 0 && calls_in_time;
  const double wait_s = std::max(std::max(0.0, work_ahead_s_) / load_.slots, call_wait_s);
  if (!starts_at_once && wait_s + own_s + calls_s > left_s) return true;
  if (starts_at_once) unconditional_starts_ -= 1;
  work_ahead_s_ += own_s;
  calls_ahead_ += own_calls;
  return false;
}

duration advised_retry_after(double queued_work, double time_per_unit, double limit,
                             duration max_retry_after) {
  const double wait_s = queued_work * time_per_unit / limit;
  return std::min(max_retry_after, std::max(control_window, from_seconds(wait_s / 2)));
}

}  // namespace admission_policy
