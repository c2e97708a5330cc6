#include "admission_policy/rate_quota_buckets.hpp"

#include <algorithm>

#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// So many seconds of a rate may be used at once, as arrivals are not evenly spaced.
constexpr double burst_s = 0.1;

double burst_of(const rate_quota& quota) {
  return std::max(1.0, quota.per_second * burst_s);
}

}  // namespace

bool rate_quota_buckets::bucket::covers(unsigned tenant, unsigned request_class) const {
  if (quota.tenant != tenant) return false;
  return quota.request_class < 0 || quota.request_class == static_cast<int>(request_class);
}

void rate_quota_buckets::bucket::fill(time_point now) {
  tokens = std::min(burst_of(quota), tokens + quota.per_second * to_seconds(now - filled));
  filled = now;
}

void rate_quota_buckets::update(const std::vector<rate_quota>& quotas, time_point now) {
  std::vector<bucket> updated;
  for (const rate_quota& quota : quotas) {
    const auto known = std::find_if(buckets_.begin(), buckets_.end(), [&](const bucket& one) {
      return one.quota.tenant == quota.tenant && one.quota.request_class == quota.request_class;
    });
    bucket next = known == buckets_.end() ? bucket{quota, 1, now} : *known;
    next.quota = quota;
    next.tokens = std::min(next.tokens, burst_of(quota));
    updated.push_back(next);
  }
  buckets_ = std::move(updated);
}

rate_decision rate_quota_buckets::take(unsigned tenant, unsigned request_class, duration next_quota_in,
                                       time_point now) {
  duration wait{};
  for (bucket& one : buckets_) {
    if (!one.covers(tenant, request_class)) continue;
    one.fill(now);
    if (one.tokens >= 1) continue;
    const bool refills = one.quota.per_second > 0;
    wait = std::max(wait, refills ? from_seconds((1 - one.tokens) / one.quota.per_second) : next_quota_in);
  }
  if (wait > duration::zero()) return {false, wait};
  for (bucket& one : buckets_) {
    if (one.covers(tenant, request_class)) one.tokens -= 1;
  }
  return {};
}

}  // namespace admission_policy
