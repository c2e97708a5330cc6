#include "failover/locality.hpp"

#include <algorithm>

namespace marblewharf::failover {

level level_of(const place& caller, const place& endpoint) {
  if (!caller.zone.empty() && endpoint.zone == caller.zone) return level::zone;
  if (!caller.region.empty() && endpoint.region == caller.region) return level::region;
  return level::rest;
}

level_shares shares_of(std::span<const endpoint_state> endpoints, const locality_options& o) {
  std::array<double, levels> total{}, able{};
  for (const endpoint_state& e : endpoints) {
    const auto l = static_cast<std::size_t>(e.where);
    total[l] += 1;
    if (e.able) able[l] += 1;
  }
  level_shares out;
  double all = 0, all_able = 0, covered = 0;
  std::array<double, levels> health{};
  for (std::size_t l = 0; l < levels; ++l) {
    all += total[l];
    all_able += able[l];
    if (total[l] > 0) health[l] = std::min(1.0, o.overprovisioning * able[l] / total[l]);
    covered += health[l];
  }
  if (all == 0) return out;
  // Guards against a herd on the few left: with most endpoints unable, health checks are likelier wrong than
  // the endpoints all gone, so none is spared.
  if (covered < 1 && all_able < o.panic_threshold * all) {
    out.panic = true;
    for (std::size_t l = 0; l < levels; ++l) out.share[l] = total[l] / all;
    return out;
  }
  double left = 1, taken = 0;
  for (std::size_t l = 0; l < levels; ++l) {
    out.share[l] = std::min(left, health[l]);
    left -= out.share[l];
    taken += out.share[l];
  }
  // What no level covers goes to the levels in proportion to what they took (Envoy's normalisation).
  if (taken > 0)
    for (double& s : out.share) s /= taken;
  return out;
}

std::optional<level> draw(const level_shares& s, double uniform) {
  double upto = 0;
  std::optional<level> last;
  for (std::size_t l = 0; l < levels; ++l) {
    if (s.share[l] <= 0) continue;
    last = static_cast<level>(l);
    upto += s.share[l];
    if (uniform < upto) return last;
  }
  return last;  // rounding: a number just under 1 falls to the last level with a share
}

}  // namespace marblewharf::failover
