#include "failover/locality.hpp"

#include <algorithm>
#include <numeric>

namespace marblewharf::failover {

namespace {

using per_level = std::array<double, level_count>;

double sum_of(const per_level& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

// Fills the levels in order, each with the remaining share up to its coverage. What no level covers is
// divided among the levels in proportion to their shares (Envoy's normalisation).
per_level fill_levels(const per_level& coverage) {
  per_level share{};
  double remaining = 1;
  for (std::size_t level_index = 0; level_index < level_count; ++level_index) {
    share[level_index] = std::min(remaining, coverage[level_index]);
    remaining -= share[level_index];
  }
  const double covered = sum_of(share);
  if (covered > 0)
    for (double& level_share : share) level_share /= covered;
  return share;
}

}  // namespace

level level_of(const place& caller, const place& endpoint) {
  if (!caller.zone.empty() && endpoint.zone == caller.zone) return level::zone;
  if (!caller.region.empty() && endpoint.region == caller.region) return level::region;
  return level::rest;
}

level_shares shares_of(std::span<const endpoint_availability> endpoints, const locality_options& options) {
  per_level total{};
  per_level able{};
  for (const endpoint_availability& endpoint : endpoints) {
    const auto level_index = static_cast<std::size_t>(endpoint.where);
    total[level_index] += 1;
    if (endpoint.available) able[level_index] += 1;
  }
  const double endpoint_count = sum_of(total);
  if (endpoint_count == 0) return {};
  per_level coverage{};
  for (std::size_t i = 0; i < level_count; ++i)
    if (total[i] > 0) coverage[i] = std::min(1.0, options.overprovisioning * able[i] / total[i]);
  // If most endpoints seem unavailable, wrong health checks are more likely than a failure of all these
  // endpoints, and avoiding them would overload the few available ones.
  const bool panic = sum_of(coverage) < 1 && sum_of(able) < options.panic_threshold * endpoint_count;
  if (!panic) return {fill_levels(coverage), false};
  level_shares shares;
  shares.panic = true;
  for (std::size_t i = 0; i < level_count; ++i) shares.share[i] = total[i] / endpoint_count;
  return shares;
}

std::optional<level> draw_level(const level_shares& shares, double uniform) {
  double cumulative = 0;
  std::optional<level> last;
  for (std::size_t i = 0; i < level_count; ++i) {
    if (shares.share[i] <= 0) continue;
    last = static_cast<level>(i);
    cumulative += shares.share[i];
    if (uniform < cumulative) return last;
  }
  return last;  // rounding can make the sum of the shares slightly smaller than `uniform`
}

}  // namespace marblewharf::failover
