#include "admission_policy/service_time_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Seconds of full cores over which evidence decays.
constexpr double evidence_s = 1;
// Runs at the best pace that are added while work is not stated. A long run may as well be a large one then:
// they keep runs begun late and stopped early from making an overloaded server look ever slower.
constexpr double prior_runs = 3;
// Least share of its work that a run which takes longer than estimated is taken to have left.
constexpr double least_remaining_share = 0.3;
// Runs a core at full speed from which on the best time is taken as known.
constexpr double learning_runs_per_core = 5;
// Factor a control window by which the best time is forgotten, more slowly than troubles last.
constexpr double best_time_growth = 1.001;

}  // namespace

service_time_estimator::service_time_estimator(unsigned cores, double speed)
    : cores_(cores),
      core_seconds_(to_seconds(assumed_run_time) / speed),
      best_s_(to_seconds(assumed_run_time)) {}

double service_time_estimator::work_of(duration expected_work, double speed) {
  const bool stated = expected_work > duration::zero();
  if (stated && !work_is_stated_) {
    work_is_stated_ = true;
    units_done_ = to_seconds(assumed_run_time);
    core_seconds_ = units_done_ / speed;
    best_s_ = 1;
  }
  if (!work_is_stated_) return 1;
  return to_seconds(stated ? expected_work : assumed_run_time);
}

void service_time_estimator::add_core_time(double seconds) {
  const double kept_share = std::exp(-seconds / (evidence_s * cores_));
  core_seconds_ = core_seconds_ * kept_share + seconds;
  units_done_ *= kept_share;
}

void service_time_estimator::run_ended(double work, double speed) {
  units_done_ += work;
  if (speed >= 1) ++full_speed_runs_;
}

double service_time_estimator::time_per_unit(const request_table& requests, time_point now) const {
  const double ended_only = core_seconds_ / units_done_;
  double done = units_done_;
  for (const auto& running : requests.running()) {
    const double work = running.entry->work;
    const double elapsed_share = to_seconds(now - running.time) / (work * ended_only);
    done += work * elapsed_share / (1 + elapsed_share);
  }
  const double prior = work_is_stated_ ? 0 : prior_runs;
  return (core_seconds_ + prior * best_s_) / (done + prior);
}

void service_time_estimator::update_best(double time_per_unit) {
  const bool learning = full_speed_runs_ < learning_runs_per_core * cores_;
  best_s_ = learning ? time_per_unit : std::min(best_s_ * best_time_growth, time_per_unit);
}

double remaining_seconds(const request& run, time_point until, double time_per_unit) {
  const double whole = run.work * time_per_unit;
  return std::max(whole - to_seconds(until - run.running_since), least_remaining_share * whole);
}

}  // namespace admission_policy
