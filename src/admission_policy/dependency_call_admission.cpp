#include "admission_policy/dependency_call_admission.hpp"

#include <algorithm>

#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Share of the fair share of calls that is used: other servers may be cold and call more.
constexpr double used_share = 0.8;
// Stands for the share where none is stated.
constexpr double unlimited_calls = 1e9;
// Share of the period's budget below which no call is placed: its time limit would be too short.
constexpr double least_budget_share = 0.25;
// Least cap, as a share of the fair share: far more is survived than is served.
constexpr double least_cap_share = 0.25;
// Growth of the cap by a call, as a share of the fair share: back from the least in some ten calls.
constexpr double cap_growth_share = 0.05;
// Factor of a cut: a dependency jams within two round trips.
constexpr double cap_cut_factor = 0.5;
// Calls between two cuts, at least.
constexpr unsigned calls_between_cuts = 2;
// Times the best mean round trip beyond which calls are jammed: more than a few calls vary.
constexpr double jammed_factor = 3;
// Calls over which round trips are averaged, or seconds where calls are few.
constexpr double calls_averaged = 8;
constexpr double averaging_s = 2;
// The most that one call weighs in the mean.
constexpr double most_call_weight = 0.5;
// Seconds of the cap that may be saved up: calls come in bunches.
constexpr double most_credit_s = 1;
// Seconds of the cap that may be owed: one stuck call must not close the way for long.
constexpr double most_debt_s = 2;
// Share of a gain on the best round trip that one call takes over: a few lucky calls do not make the best.
constexpr double best_gain_share = 0.06;
// Share by which the best round trip grows with a call: it is forgotten in minutes.
constexpr double best_growth_share = 0.005;
// Attempts of one call: more only multiply the load of the dependency.
constexpr unsigned most_attempts = 3;
// Failures up to which the delay before the next attempt doubles.
constexpr unsigned most_doublings = 8;

}  // namespace

dependency_call_admission::dependency_call_admission(const settings& given)
    : fair_calls_(given.fair_concurrent_calls),
      period_(given.calls_period),
      abandoned_duration_(given.abandoned_call_duration),
      tick_(given.tick),
      cap_(least_cap_share * given.fair_concurrent_calls),
      credit_(most_credit_s * cap_) {
  for (const class_settings& one : given.classes) calls_per_run_.push_back(one.calls_dependency ? 1 : 0);
}

double dependency_call_admission::occupied(unsigned in_flight) const {
  return static_cast<double>(in_flight + abandoned_until_.size());
}

double dependency_call_admission::share() const {
  return limited() ? fair_calls_ * used_share : unlimited_calls;
}

double dependency_call_admission::period_budget() const {
  return share() * std::max(to_seconds(period_), to_seconds(tick_));
}

void dependency_call_admission::account(unsigned in_flight, time_point since, time_point now) {
  const double used = occupied(in_flight) * to_seconds(now - since);
  const double saved = credit_ + cap_ * to_seconds(now - since) - used;
  credit_ = std::clamp(saved, -most_debt_s * cap_, most_credit_s * cap_);
  if (used > 0) {
    spans_.emplace_back(now, used);
    used_ += used;
  }
  while (!spans_.empty() && spans_.front().first <= now - period_) {
    used_ -= spans_.front().second;
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
  if (ended_since_cut_ >= calls_between_cuts && jammed()) {
    cap_ *= cap_cut_factor;
    ended_since_cut_ = 0;
  }
  if (!jammed() && others_wait) cap_ += cap_growth_share * fair_calls_;
  cap_ = std::clamp(cap_, least_cap_share * fair_calls_, used_share * fair_calls_);
}

// A call that timed out tells only that its round trip is longer than the time limit.
void dependency_call_admission::update_round_trip(const admission_policy::call_ended& ended, time_point now) {
  const double age = to_seconds(now - last_end_) / averaging_s;
  const double weight = ended_ == 0 ? 1 : std::clamp(age, 1 / calls_averaged, most_call_weight);
  const double excess = to_seconds(ended.elapsed) - round_trip_s_;
  round_trip_s_ += (ended.result == outcome::ok ? excess : std::max(0.0, excess)) * weight;
  last_end_ = now;
  ++ended_;
  if (ended_ <= calls_averaged) best_round_trip_s_ = round_trip_s_;
  const double gain = best_round_trip_s_ - round_trip_s_;
  best_round_trip_s_ -= gain > 0 ? gain * best_gain_share : -best_round_trip_s_ * best_growth_share;
}

// One call may always be out while the budget has room.
bool dependency_call_admission::may_place(unsigned in_flight) const {
  const double budget = period_budget();
  if (occupied(in_flight) + 1 > std::max(1.0, share())) return false;
  if (budget - used_ < least_budget_share * budget) return false;
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
  const bool only_without = now + call.remaining_run <= end && now + call.remaining_run + until_answer > end;
  const bool may_skip = call.its_class.weight_without_call > 0;
  const bool prefers_skip = may_skip && (only_without || (jammed() && wait > 0));
  if (call.run.call_failures < most_attempts && in_time && !prefers_skip) return call_decision::wait;
  return may_skip ? call_decision::skip : call_decision::fail;
}

duration dependency_call_admission::retry_delay(unsigned failures) const {
  return from_seconds(round_trip_s_ * (1u << std::min(failures, most_doublings)) / 2);
}

// What those in flight and those ahead will use, less what is saved up, at the pace of the cap.
double dependency_call_admission::wait_seconds(double calls_ahead, unsigned in_flight) const {
  if (!limited() || cap_ <= 0) return 0;
  return std::max(0.0, (in_flight + calls_ahead) * round_trip_s_ - credit_) / cap_;
}

bool dependency_call_admission::jammed() const {
  return round_trip_s_ > jammed_factor * best_round_trip_s_;
}

}  // namespace admission_policy
