// Derives a member's observation of a zone from its observations of the zone's members, and determines
// whether calls may be routed to a zone.
//
// Stateless and without I/O; may be called from any thread.
#pragma once

#include <span>

#include "failover/zone_view.hpp"

namespace marblewharf::failover {

enum class member_state {
  unknown,  // no update about the member was received since the start of this process
  alive,
  suspect,
  dead,
};

struct member_observation {
  member_state state = member_state::unknown;
  duration since_acknowledged = duration::max();  // since it last answered a probe of this member; max: never
  duration since_missed = duration::max();        // since a probe last went unanswered; max: never
};

struct observation_rules {
  duration since_start{};  // time since the start of this process
  // An unknown member counts as down only after this time since the start of this process, because the member
  // may start more slowly.
  duration start_grace{};
  // A member that answered within this window is not down, even if other members report it as down. A member
  // that left a probe unanswered within this window is not healthy.
  duration contact_window{};
};

// healthy: at least one member is alive, and no alive member left a probe unanswered within contact_window.
// down: every member is dead, or is unknown after start_grace, and none answered within contact_window.
// silent: as down, but at least one member is suspect.
// uncertain: all other cases, including an empty zone.
zone_observation observe_zone(std::span<const member_observation> members, const observation_rules& rules);

// Whether calls may be routed to a zone: to any zone that is not decided out, and always to this member's own
// zone, because a zone that is cut off keeps using its own members.
bool is_zone_routable(const zone_decision& decision, bool is_own_zone);

}  // namespace marblewharf::failover
