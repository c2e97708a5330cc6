#include "failover/locality.hpp"

#include <algorithm>
#include <numeric>

namespace marblewharf::failover {

namespace {

using per_level = std::array<double, levels>;

double sum_of(const per_level& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

// Levels in their order, each taking what it covers of what is left. What no level covers goes to all of them
// in proportion to what they took (Envoy's normalisation).
per_level spill_over(const per_level& coverage) {
  per_level share{};
  double left = 1;
  for (std::size_t level_index = 0; level_index < levels; ++level_index) {
    share[level_index] = std::min(left, coverage[level_index]);
    left -= share[level_index];
  }
  const double taken = sum_of(share);
  if (taken > 0)
    for (double& each : share) each /= taken;
  return share;
}

}  // namespace

level level_of(const place& caller, const place& endpoint) {
  if (!caller.zone.empty() && endpoint.zone == caller.zone) return level::zone;
  if (!caller.region.empty() && endpoint.region == caller.region) return level::region;
  return level::rest;
}

level_shares shares_of(std::span<const endpoint_state> endpoints, const locality_options& options) {
  per_level total{};
  per_level able{};
  for (const endpoint_state& endpoint : endpoints) {
    const auto level_index = static_cast<std::size_t>(endpoint.where);
    total[level_index] += 1;
    if (endpoint.able) able[level_index] += 1;
  }
  const double all = sum_of(total);
  if (all == 0) return {};
  per_level coverage{};
  for (std::size_t i = 0; i < levels; ++i)
    if (total[i] > 0) coverage[i] = std::min(1.0, options.overprovisioning * able[i] / total[i]);
  // With most endpoints unable, the health checks are more likely wrong than the endpoints all down; sparing
  // the unable ones would overload the few left.
  const bool panic = sum_of(coverage) < 1 && sum_of(able) < options.panic_threshold * all;
  if (!panic) return {spill_over(coverage), false};
  level_shares shares;
  shares.panic = true;
  for (std::size_t i = 0; i < levels; ++i) shares.share[i] = total[i] / all;
  return shares;
}

std::optional<level> draw(const level_shares& shares, double uniform) {
  double cumulative = 0;
  std::optional<level> last;
  for (std::size_t i = 0; i < levels; ++i) {
    if (shares.share[i] <= 0) continue;
    last = static_cast<level>(i);
    cumulative += shares.share[i];
    if (uniform < cumulative) return last;
  }
  return last;  // by rounding the shares may add up to less than a number just under 1
}

}  // namespace marblewharf::failover
