#include "failover/routes.hpp"

#include <algorithm>

namespace marblewharf::failover {

sight sight_of(std::span<const member_sight> members, const sight_rules& rules) {
  const auto alive = [](const member_sight& m) { return m.is == member_is::alive; };
  // Guards against a zone that comes and goes faster than members are declared dead: alive all the while, yet
  // not well.
  const auto missed = [&](const member_sight& m) { return alive(m) && m.since_miss < rules.contact_window; };
  if (std::any_of(members.begin(), members.end(), alive))
    return std::any_of(members.begin(), members.end(), missed) ? sight::unsure : sight::healthy;
  const auto away = [&rules](const member_sight& m) {
    // Guards against blame by hearsay: one wrong view spreads by gossip, an answer of its own does not lie.
    if (m.since_contact < rules.contact_window) return false;
    return m.is != member_is::unheard || rules.since_start >= rules.start_grace;
  };
  if (members.empty() || !std::all_of(members.begin(), members.end(), away)) return sight::unsure;
  const auto suspect = [](const member_sight& m) { return m.is == member_is::suspect; };
  return std::any_of(members.begin(), members.end(), suspect) ? sight::silent : sight::gone;
}

bool zone_routable(const verdict& v, bool own) {
  return own || !v.out;
}

}  // namespace marblewharf::failover
