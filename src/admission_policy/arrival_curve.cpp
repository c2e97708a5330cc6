#include "admission_policy/arrival_curve.hpp"

#include <algorithm>

#include "admission_policy/latency_objective.hpp"
#include "admission_policy/time_conversion.hpp"

namespace admission_policy {

arrival_curves::arrival_curves(const settings& policy_settings, time_point now) {
  std::vector<tenant_settings> tenants = policy_settings.tenants;
  if (tenants.empty()) tenants.push_back({});
  const double shortest_objective_s = to_seconds(shortest_objective(policy_settings));
  for (const tenant_settings& tenant : tenants) {
    curve tenant_curve;
    tenant_curve.rate = std::max(0.0, tenant.quota) / std::max(1u, policy_settings.servers);
    tenant_curve.burst = std::max(1.0, tenant_curve.rate * shortest_objective_s);
    tenant_curve.tokens = tenant_curve.burst;
    tenant_curve.last_arrival = now;
    curves_.push_back(tenant_curve);
    total_quota_ += tenant_curve.rate;
  }
}

unsigned arrival_curves::tenant_of(unsigned tenant_number) const {
  return std::min<unsigned>(tenant_number, static_cast<unsigned>(curves_.size()) - 1);
}

request_tags arrival_curves::tag(unsigned tenant, duration objective, time_point now) {
  curve& tenant_curve = curves_[tenant];
  const double earned_tokens = tenant_curve.rate * to_seconds(now - tenant_curve.last_arrival);
  tenant_curve.tokens = std::min(tenant_curve.burst, tenant_curve.tokens + earned_tokens);
  tenant_curve.last_arrival = now;
  shift_tags(now);
  request_tags tags;
  time_point start = now;
  if (tenant_curve.rate > 0 && tenant_curve.tokens < 1) {
    start = std::max(tenant_curve.max_start, now);
    tenant_curve.max_start = start + from_seconds(1 / tenant_curve.rate);
    tags.exceeds_curve = true;
  }
  if (tenant_curve.rate > 0) tenant_curve.tokens -= 1;
  if (tenant_curve.queued == 0) tenant_curve.min_start = start;
  tags.start = start + total_shift_;
  tags.finish = tags.start + objective;
  return tags;
}

// If the start tags of every tenant with queued requests are in the future, all these tenants have exceeded
// their curves on spare capacity. Their tags shift back by the smallest gap, so that no tenant is penalized
// for having used spare capacity.
void arrival_curves::shift_tags(time_point now) {
  duration gap = duration::max();
  for (const curve& tenant_curve : curves_) {
    if (tenant_curve.queued > 0) gap = std::min(gap, tenant_curve.min_start - now);
  }
  if (gap == duration::max() || gap <= duration::zero()) return;
  for (curve& tenant_curve : curves_) {
    if (tenant_curve.queued == 0) continue;
    tenant_curve.min_start -= gap;
    tenant_curve.max_start -= gap;
  }
  total_shift_ += gap;
}

void arrival_curves::started(unsigned tenant, time_point start_tag) {
  curves_[tenant].min_start = start_tag - total_shift_;
}

void arrival_curves::refund(unsigned tenant, bool exceeds_curve) {
  curve& tenant_curve = curves_[tenant];
  if (tenant_curve.rate <= 0) return;
  tenant_curve.tokens = std::min(tenant_curve.burst, tenant_curve.tokens + 1);
  if (exceeds_curve) tenant_curve.max_start -= from_seconds(1 / tenant_curve.rate);
}

}  // namespace admission_policy
