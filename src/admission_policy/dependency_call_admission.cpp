#include "admission_policy/dependency_call_admission.hpp"

#include <algorithm>

#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Fraction of this server's quota of calls that it uses, because other servers may exceed theirs for a while.
constexpr double used_quota_fraction = 0.8;
// Quota that is used if none is configured.
constexpr double unlimited_calls = 1e9;
// No call is placed while less than this fraction of the period's budget is left, because its time limit
// would be too short.
constexpr double min_budget_fraction = 0.25;
// Lower bound of the cap, as a fraction of the quota.
constexpr double min_cap_fraction = 0.25;
// Growth of the cap, as a fraction of the quota, for each call that returns while the dependency is not
// congested and other calls wait.
constexpr double cap_growth_fraction = 0.05;
// Factor by which a cut multiplies the cap.
constexpr double cap_cut_factor = 0.5;
// Minimum number of calls that end between two cuts.
constexpr unsigned calls_between_cuts = 2;
// The dependency is congested when the mean round trip exceeds the best round trip by this factor.
constexpr double congestion_factor = 3;
// Round trips are averaged over this many calls, or over this many seconds when calls are rare.
constexpr double calls_averaged = 8;
constexpr double averaging_s = 2;
// Maximum weight of one call in the mean.
constexpr double max_call_weight = 0.5;
// Unused call seconds are saved for bursts of calls, up to this many seconds at the cap.
constexpr double max_credit_s = 1;
// Overuse counts as debt up to this many seconds at the cap, so that one stuck call does not block others for
// long.
constexpr double max_debt_s = 2;
// If the mean round trip is below the best one, each call lowers the best by this fraction of the difference,
// so that one fast call does not determine it.
constexpr double best_gain_fraction = 0.06;
// Fraction by which the best round trip grows with every other call, so that it adapts to a dependency that
// has become slower.
constexpr double best_growth_fraction = 0.005;
// Maximum number of attempts of one call.
constexpr unsigned max_attempts = 3;
// The delay between attempts stops doubling after this many failures.
constexpr unsigned max_doublings = 8;

}  // namespace

dependency_call_admission::dependency_call_admission(const settings& policy_settings)
    : fair_calls_(policy_settings.fair_concurrent_calls),
      period_(policy_settings.calls_period),
      abandoned_duration_(policy_settings.abandoned_call_duration),
      tick_(policy_settings.tick),
      cap_(min_cap_fraction * policy_settings.fair_concurrent_calls),
      credit_call_seconds_(max_credit_s * cap_) {
  for (const class_settings& its_class : policy_settings.classes)
    calls_per_run_.push_back(its_class.calls_dependency ? 1 : 0);
}

double dependency_call_admission::effective_in_flight(unsigned in_flight) const {
  return static_cast<double>(in_flight + abandoned_until_.size());
}

double dependency_call_admission::call_quota() const {
  return limited() ? fair_calls_ * used_quota_fraction : unlimited_calls;
}

double dependency_call_admission::period_budget() const {
  return call_quota() * std::max(to_seconds(period_), to_seconds(tick_));
}

void dependency_call_admission::record_usage(unsigned in_flight, time_point since, time_point now) {
  const double used_in_span = effective_in_flight(in_flight) * to_seconds(now - since);
  const double saved = credit_call_seconds_ + cap_ * to_seconds(now - since) - used_in_span;
  credit_call_seconds_ = std::clamp(saved, -max_debt_s * cap_, max_credit_s * cap_);
  if (used_in_span > 0) {
    usage_spans_.push_back({now, used_in_span});
    used_call_seconds_ += used_in_span;
  }
  while (!usage_spans_.empty() && usage_spans_.front().end <= now - period_) {
    used_call_seconds_ -= usage_spans_.front().call_seconds;
    usage_spans_.pop_front();
  }
  if (usage_spans_.empty()) used_call_seconds_ = 0;  // removes accumulated rounding errors
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

void dependency_call_admission::note_abandoned_call(time_point now) {
  abandoned_until_.insert(now + abandoned_duration_);
}

void dependency_call_admission::note_call_end(const call_ended& ended, bool other_calls_waiting,
                                              time_point now) {
  if (ended.result == outcome::timeout || ended.result == outcome::reset) note_abandoned_call(now);
  if (ended.result != outcome::ok && ended.result != outcome::timeout) return;
  update_round_trip(ended, now);
  ++calls_since_cut_;
  if (calls_since_cut_ >= calls_between_cuts && congested()) {
    cap_ *= cap_cut_factor;
    calls_since_cut_ = 0;
  }
  if (!congested() && other_calls_waiting) cap_ += cap_growth_fraction * fair_calls_;
  cap_ = std::clamp(cap_, min_cap_fraction * fair_calls_, used_quota_fraction * fair_calls_);
}

// The time of a call that did not succeed can raise the mean but not lower it, because it is only a lower
// bound of the full round trip.
void dependency_call_admission::update_round_trip(const call_ended& ended, time_point now) {
  const double elapsed_fraction = to_seconds(now - last_call_end_) / averaging_s;
  const double weight =
      calls_measured_ == 0 ? 1 : std::clamp(elapsed_fraction, 1 / calls_averaged, max_call_weight);
  const double excess = to_seconds(ended.elapsed) - round_trip_s_;
  round_trip_s_ += (ended.result == outcome::ok ? excess : std::max(0.0, excess)) * weight;
  last_call_end_ = now;
  ++calls_measured_;
  if (calls_measured_ <= calls_averaged) best_round_trip_s_ = round_trip_s_;
  const double gain = best_round_trip_s_ - round_trip_s_;
  best_round_trip_s_ -= gain > 0 ? gain * best_gain_fraction : -best_round_trip_s_ * best_growth_fraction;
}

// Another call may be placed if the quota allows one more in flight, enough of the period's budget is left,
// and the credit covers the calls in flight. A quota below one call counts as one, so that one call at a time
// remains possible.
bool dependency_call_admission::may_place(unsigned in_flight) const {
  const double budget = period_budget();
  if (effective_in_flight(in_flight) + 1 > std::max(1.0, call_quota())) return false;
  if (budget - used_call_seconds_ < min_budget_fraction * budget) return false;
  return !limited() || credit_call_seconds_ >= static_cast<double>(in_flight) * round_trip_s_;
}

duration dependency_call_admission::time_limit(const waiting_call& call, unsigned in_flight,
                                               time_point now) const {
  const double budget_left_call_s = period_budget() - used_call_seconds_;
  duration limit = std::min(call.run.answer_by - now,
                            from_seconds(budget_left_call_s / (effective_in_flight(in_flight) + 1)));
  const bool may_skip = call.its_class.weight_without_call > 0;
  if (may_skip && now + call.remaining_run < call.run.useful_until)
    limit = std::min(limit, call.run.useful_until - now - call.remaining_run);
  return std::max(limit, tick_);
}

call_decision dependency_call_admission::decide(const waiting_call& call, unsigned in_flight,
                                                time_point now) const {
  const bool may_be_late = call.only_waiting_call && call.its_class.late_weight > 0;
  const time_point latest_end = may_be_late ? call.run.answer_by : call.run.useful_until;
  const double wait_s =
      std::max(wait_seconds(call.calls_ahead, in_flight), to_seconds(call.run.next_call_after - now));
  const duration until_result = from_seconds(wait_s + round_trip_s_);
  const bool in_time = now + until_result <= latest_end;
  const bool only_without_call =
      now + call.remaining_run <= latest_end && now + call.remaining_run + until_result > latest_end;
  const bool may_skip = call.its_class.weight_without_call > 0;
  const bool prefers_skip = may_skip && (only_without_call || (congested() && wait_s > 0));
  if (call.run.call_failures < max_attempts && in_time && !prefers_skip) return call_decision::wait;
  return may_skip ? call_decision::skip : call_decision::fail;
}

duration dependency_call_admission::retry_delay(unsigned failures) const {
  return from_seconds(round_trip_s_ * (1u << std::min(failures, max_doublings)) / 2);
}

// Returns the call seconds needed by the calls in flight and ahead, less the credit, divided by the cap.
double dependency_call_admission::wait_seconds(double calls_ahead, unsigned in_flight) const {
  if (!limited() || cap_ <= 0) return 0;
  return std::max(0.0, (in_flight + calls_ahead) * round_trip_s_ - credit_call_seconds_) / cap_;
}

bool dependency_call_admission::congested() const {
  return round_trip_s_ > congestion_factor * best_round_trip_s_;
}

}  // namespace admission_policy
