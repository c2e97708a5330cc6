#include "admission_policy/service_time_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Seconds on fully busy cores after which the weight of a measurement has fallen to 1/e.
constexpr double measurement_decay_s = 1;
// Number of assumed runs at the best time that are added to the measured runs while no request states its
// expected work. Without them, runs that are stopped early because their requests are large would make the
// estimate grow without bound.
constexpr double prior_runs = 3;
// A run always counts as having at least this fraction of its work left, even if it takes longer than
// estimated.
constexpr double min_remaining_fraction = 0.3;
// Until this many runs per core have ended at full speed, the best time follows the current time per
// unit.
constexpr double learning_runs_per_core = 5;
// Factor by which the best time grows in each control window, so that an outdated best time is forgotten.
constexpr double best_time_growth = 1.001;

}  // namespace

service_time_estimator::service_time_estimator(unsigned cores, double speed)
    : cores_(cores),
      core_seconds_(to_seconds(assumed_run_time) / speed),
      best_time_per_unit_s_(to_seconds(assumed_run_time)) {}

double service_time_estimator::work_of(duration expected_work, double speed) {
  const bool stated = expected_work > duration::zero();
  if (stated && !work_is_stated_) {
    work_is_stated_ = true;
    units_done_ = to_seconds(assumed_run_time);
    core_seconds_ = units_done_ / speed;
    best_time_per_unit_s_ = 1;
  }
  if (!work_is_stated_) return 1;
  return to_seconds(stated ? expected_work : assumed_run_time);
}

void service_time_estimator::add_core_time(double seconds) {
  const double kept_fraction = std::exp(-seconds / (measurement_decay_s * cores_));
  core_seconds_ = core_seconds_ * kept_fraction + seconds;
  units_done_ *= kept_fraction;
}

void service_time_estimator::run_ended(double work, double speed) {
  units_done_ += work;
  if (speed >= 1) ++full_speed_runs_;
}

double service_time_estimator::time_per_unit(const request_table& requests, time_point now) const {
  const double ended_runs_only = core_seconds_ / units_done_;
  double done = units_done_;
  for (const auto& run : requests.running()) {
    const double work = run.entry->work;
    const double elapsed_fraction = to_seconds(now - run.time) / (work * ended_runs_only);
    done += work * elapsed_fraction / (1 + elapsed_fraction);
  }
  const double prior = work_is_stated_ ? 0 : prior_runs;
  return (core_seconds_ + prior * best_time_per_unit_s_) / (done + prior);
}

void service_time_estimator::update_best(double time_per_unit) {
  const bool learning = full_speed_runs_ < learning_runs_per_core * cores_;
  best_time_per_unit_s_ =
      learning ? time_per_unit : std::min(best_time_per_unit_s_ * best_time_growth, time_per_unit);
}

double remaining_seconds(const request& run, time_point on_core_until, double time_per_unit) {
  const double total_s = run.work * time_per_unit;
  return std::max(total_s - to_seconds(on_core_until - run.running_since), min_remaining_fraction * total_s);
}

}  // namespace admission_policy
