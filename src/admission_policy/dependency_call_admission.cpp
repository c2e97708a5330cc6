#include "admission_policy/dependency_call_admission.hpp"

#include <algorithm>

#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Fraction of this server's quota of calls that is used; other servers may call more than theirs for a while.
constexpr double used_quota_fraction = 0.8;
// Stands for the quota where none is stated.
constexpr double unlimited_calls = 1e9;
// No call is placed while less than this fraction of the period's budget is left: its time limit would be
// short.
constexpr double min_budget_fraction = 0.25;
// Lower bound of the cap, as a fraction of the quota.
constexpr double min_cap_fraction = 0.25;
// Added to the cap, as a fraction of the quota, for each call that comes back in time while others wait.
constexpr double cap_growth_fraction = 0.05;
// Multiplies the cap at a cut.
constexpr double cap_cut_factor = 0.5;
// So many calls end between two cuts, at least.
constexpr unsigned calls_between_cuts = 2;
// The dependency is congested when the mean round trip is more than this many times the best.
constexpr double congestion_factor = 3;
// Round trips are averaged over so many calls, or so many seconds where calls are few.
constexpr double calls_averaged = 8;
constexpr double averaging_s = 2;
// Upper bound of the weight of one call in the mean.
constexpr double max_call_weight = 0.5;
// Unused call seconds are saved up to this many seconds of the cap, for calls that come in bunches.
constexpr double max_credit_s = 1;
// Overuse is made up for up to this many seconds of the cap, so that one stuck call does not block others for
// long.
constexpr double max_debt_s = 2;
// Fraction of a better mean that the best round trip takes over with each call, so that one fast call is not
// the best.
constexpr double best_gain_fraction = 0.06;
// Fraction by which the best round trip grows with each other call, so that it follows a slower dependency.
constexpr double best_growth_fraction = 0.005;
// Attempts of one call.
constexpr unsigned max_attempts = 3;
// The delay between attempts doubles up to so many failures.
constexpr unsigned max_doublings = 8;

}  // namespace

dependency_call_admission::dependency_call_admission(const settings& given)
    : fair_calls_(given.fair_concurrent_calls),
      period_(given.calls_period),
      abandoned_duration_(given.abandoned_call_duration),
      tick_(given.tick),
      cap_(min_cap_fraction * given.fair_concurrent_calls),
      credit_(max_credit_s * cap_) {
  for (const class_settings& one : given.classes) calls_per_run_.push_back(one.calls_dependency ? 1 : 0);
}

double dependency_call_admission::occupied(unsigned in_flight) const {
  return static_cast<double>(in_flight + abandoned_until_.size());
}

double dependency_call_admission::call_quota() const {
  return limited() ? fair_calls_ * used_quota_fraction : unlimited_calls;
}

double dependency_call_admission::period_budget() const {
  return call_quota() * std::max(to_seconds(period_), to_seconds(tick_));
}

void dependency_call_admission::account(unsigned in_flight, time_point since, time_point now) {
  const double used = occupied(in_flight) * to_seconds(now - since);
  const double saved = credit_ + cap_ * to_seconds(now - since) - used;
  credit_ = std::clamp(saved, -max_debt_s * cap_, max_credit_s * cap_);
  if (used > 0) {
    spans_.push_back({now, used});
    used_ += used;
  }
  while (!spans_.empty() && spans_.front().end <= now - period_) {
    used_ -= spans_.front().call_seconds;
    spans_.pop_front();
  }
  if (spans_.empty()) used_ = 0;  // drops what rounding has left
  while (!abandoned_until_.empty() && *abandoned_until_.begin() <= now)
    abandoned_until_.erase(abandoned_until_.begin());
}

void dependency_call_admission::note_run_end(unsigned request_class, unsigned calls_made) {
  double& calls = calls_per_run_[request_class];
  calls += (calls_made - calls) / calls_averaged;
}

double dependency_call_admission::expected_calls(const request& run) const {
  return std::max(0.0, calls_per_run_[run.request_class] - run.calls_made);
}

void dependency_call_admission::abandoned(time_point now) {
  abandoned_until_.insert(now + abandoned_duration_);
}

void dependency_call_admission::call_ended(const admission_policy::call_ended& ended, bool others_wait,
                                           time_point now) {
  if (ended.result == outcome::timeout || ended.result == outcome::reset) abandoned(now);
  if (ended.result != outcome::ok && ended.result != outcome::timeout) return;
  update_round_trip(ended, now);
  ++ended_since_cut_;
  if (ended_since_cut_ >= calls_between_cuts && congested()) {
    cap_ *= cap_cut_factor;
    ended_since_cut_ = 0;
  }
  if (!congested() && others_wait) cap_ += cap_growth_fraction * fair_calls_;
  cap_ = std::clamp(cap_, min_cap_fraction * fair_calls_, used_quota_fraction * fair_calls_);
}

// A call that timed out tells only that its round trip is longer than the time limit.
void dependency_call_admission::update_round_trip(const admission_policy::call_ended& ended, time_point now) {
  const double age = to_seconds(now - last_end_) / averaging_s;
  const double weight = ended_ == 0 ? 1 : std::clamp(age, 1 / calls_averaged, max_call_weight);
  const double excess = to_seconds(ended.elapsed) - round_trip_s_;
  round_trip_s_ += (ended.result == outcome::ok ? excess : std::max(0.0, excess)) * weight;
  last_end_ = now;
  ++ended_;
  if (ended_ <= calls_averaged) best_round_trip_s_ = round_trip_s_;
  const double gain = best_round_trip_s_ - round_trip_s_;
  best_round_trip_s_ -= gain > 0 ? gain * best_gain_fraction : -best_round_trip_s_ * best_growth_fraction;
}

// One call may always be out while the budget has room.
bool dependency_call_admission::may_place(unsigned in_flight) const {
  const double budget = period_budget();
  if (occupied(in_flight) + 1 > std::max(1.0, call_quota())) return false;
  if (budget - used_ < min_budget_fraction * budget) return false;
  return !limited() || credit_ >= static_cast<double>(in_flight) * round_trip_s_;
}

duration dependency_call_admission::time_limit(const waiting_call& call, unsigned in_flight,
                                               time_point now) const {
  const double left = period_budget() - used_;
  duration limit = std::min(call.run.answer_by - now, from_seconds(left / (occupied(in_flight) + 1)));
  const bool may_skip = call.its_class.weight_without_call > 0;
  if (may_skip && now + call.remaining_run < call.run.useful_until)
    limit = std::min(limit, call.run.useful_until - now - call.remaining_run);
  return std::max(limit, tick_);
}

call_decision dependency_call_admission::decide(const waiting_call& call, unsigned in_flight,
                                                time_point now) const {
  const bool may_be_late = call.only_one && call.its_class.late_weight > 0;
  const time_point end = may_be_late ? call.run.answer_by : call.run.useful_until;
  const double wait =
      std::max(wait_seconds(call.calls_ahead, in_flight), to_seconds(call.run.next_call_after - now));
  const duration until_answer = from_seconds(wait + round_trip_s_);
  const bool in_time = now + until_answer <= end;
  const bool only_without_call =
      now + call.remaining_run <= end && now + call.remaining_run + until_answer > end;
  const bool may_skip = call.its_class.weight_without_call > 0;
  const bool prefers_skip = may_skip && (only_without_call || (congested() && wait > 0));
  if (call.run.call_failures < max_attempts && in_time && !prefers_skip) return call_decision::wait;
  return may_skip ? call_decision::skip : call_decision::fail;
}

duration dependency_call_admission::retry_delay(unsigned failures) const {
  return from_seconds(round_trip_s_ * (1u << std::min(failures, max_doublings)) / 2);
}

// What those in flight and those ahead will use, less what is saved up, at the pace of the cap.
double dependency_call_admission::wait_seconds(double calls_ahead, unsigned in_flight) const {
  if (!limited() || cap_ <= 0) return 0;
  return std::max(0.0, (in_flight + calls_ahead) * round_trip_s_ - credit_) / cap_;
}

bool dependency_call_admission::congested() const {
  return round_trip_s_ > congestion_factor * best_round_trip_s_;
}

}  // namespace admission_policy
