#include "admission_policy/arrival_curve.hpp"

#include <algorithm>

#include "admission_policy/latency_objective.hpp"
#include "admission_policy/time_conversion.hpp"

namespace admission_policy {

arrival_curves::arrival_curves(const settings& given, time_point now) {
  std::vector<tenant_settings> tenants = given.tenants;
  if (tenants.empty()) tenants.push_back({});
  const double tightest_s = to_seconds(tightest_objective(given));
  for (const tenant_settings& tenant : tenants) {
    curve made;
    made.rate = std::max(0.0, tenant.quota) / std::max(1u, given.servers);
    made.burst = std::max(1.0, made.rate * tightest_s);
    made.tokens = made.burst;
    made.last_arrival = now;
    curves_.push_back(made);
    total_quota_ += made.rate;
  }
}

unsigned arrival_curves::tenant_of(unsigned given) const {
  return std::min<unsigned>(given, static_cast<unsigned>(curves_.size()) - 1);
}

request_tags arrival_curves::tag(unsigned tenant, duration objective, time_point now) {
  curve& its_curve = curves_[tenant];
  const double earned = its_curve.rate * to_seconds(now - its_curve.last_arrival);
  its_curve.tokens = std::min(its_curve.burst, its_curve.tokens + earned);
  its_curve.last_arrival = now;
  shift_tags(now);
  request_tags tags;
  time_point start = now;
  if (its_curve.rate > 0 && its_curve.tokens < 1) {
    start = std::max(its_curve.max_start, now);
    its_curve.max_start = start + from_seconds(1 / its_curve.rate);
    tags.spaced = true;
  }
  if (its_curve.rate > 0) its_curve.tokens -= 1;
  if (its_curve.queued == 0) its_curve.min_start = start;
  tags.start = start + shift_;
  tags.finish = tags.start + objective;
  return tags;
}

// When every waiting tenant is ahead of now, all were served beyond their curves: their tags shift back by
// the least gap, so that nobody is punished for having used spare capacity.
void arrival_curves::shift_tags(time_point now) {
  duration gap = duration::max();
  for (const curve& one : curves_) {
    if (one.queued > 0) gap = std::min(gap, one.min_start - now);
  }
  if (gap == duration::max() || gap <= duration::zero()) return;
  for (curve& one : curves_) {
    if (one.queued == 0) continue;
    one.min_start -= gap;
    one.max_start -= gap;
  }
  shift_ += gap;
}

void arrival_curves::started(unsigned tenant, time_point start_tag) {
  curves_[tenant].min_start = start_tag - shift_;
}

void arrival_curves::refund(unsigned tenant, bool spaced) {
  curve& its_curve = curves_[tenant];
  if (its_curve.rate <= 0) return;
  its_curve.tokens = std::min(its_curve.burst, its_curve.tokens + 1);
  if (spaced) its_curve.max_start -= from_seconds(1 / its_curve.rate);
}

}  // namespace admission_policy
