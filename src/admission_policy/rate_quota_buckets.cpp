#include "admission_policy/rate_quota_buckets.hpp"

#include <algorithm>

#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Burst of a bucket in seconds of its rate, because arrivals are not evenly spaced.
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
  tokens = std::min(burst_of(quota), tokens + quota.per_second * to_seconds(now - last_fill));
  last_fill = now;
}

void rate_quota_buckets::update(const std::vector<rate_quota>& quotas, time_point now) {
  std::vector<bucket> updated;
  for (const rate_quota& quota : quotas) {
    const auto existing = std::find_if(buckets_.begin(), buckets_.end(), [&](const bucket& candidate) {
      return candidate.quota.tenant == quota.tenant && candidate.quota.request_class == quota.request_class;
    });
    bucket next = existing == buckets_.end() ? bucket{quota, 1, now} : *existing;
    next.quota = quota;
    next.tokens = std::min(next.tokens, burst_of(quota));
    updated.push_back(next);
  }
  buckets_ = std::move(updated);
}

rate_decision rate_quota_buckets::take(unsigned tenant, unsigned request_class, duration next_quota_in,
                                       time_point now) {
  duration retry_after{};
  for (bucket& candidate : buckets_) {
    if (!candidate.covers(tenant, request_class)) continue;
    candidate.fill(now);
    if (candidate.tokens >= 1) continue;
    const bool refills = candidate.quota.per_second > 0;
    retry_after =
        std::max(retry_after,
                 refills ? from_seconds((1 - candidate.tokens) / candidate.quota.per_second) : next_quota_in);
  }
  if (retry_after > duration::zero()) return {false, retry_after};
  for (bucket& candidate : buckets_) {
    if (candidate.covers(tenant, request_class)) candidate.tokens -= 1;
  }
  return {};
}

}  // namespace admission_policy
