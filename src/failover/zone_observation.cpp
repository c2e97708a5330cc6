#include "failover/zone_observation.hpp"

#include <algorithm>

namespace marblewharf::failover {

zone_observation observe_zone(std::span<const member_observation> members, const observation_rules& rules) {
  const auto is_alive = [](const member_observation& member) { return member.state == member_state::alive; };
  // The members of a zone that flaps faster than members are declared dead stay alive in the view, but the
  // zone is not healthy.
  const auto is_alive_but_missed = [&](const member_observation& member) {
    return is_alive(member) && member.since_missed < rules.contact_window;
  };
  if (std::any_of(members.begin(), members.end(), is_alive)) {
    const bool missed = std::any_of(members.begin(), members.end(), is_alive_but_missed);
    return missed ? zone_observation::uncertain : zone_observation::healthy;
  }
  const auto is_out_of_contact = [&rules](const member_observation& member) {
    // An answer that this member received itself is certain, whereas a state spread by gossip can be wrong.
    if (member.since_acknowledged < rules.contact_window) return false;
    return member.state != member_state::unknown || rules.since_start >= rules.start_grace;
  };
  if (members.empty() || !std::all_of(members.begin(), members.end(), is_out_of_contact))
    return zone_observation::uncertain;
  const auto is_suspect = [](const member_observation& member) {
    return member.state == member_state::suspect;
  };
  const bool any_suspect = std::any_of(members.begin(), members.end(), is_suspect);
  return any_suspect ? zone_observation::silent : zone_observation::down;
}

bool is_zone_routable(const zone_decision& decision, bool is_own_zone) {
  return is_own_zone || !decision.out;
}

}  // namespace marblewharf::failover
