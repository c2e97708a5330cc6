// What one member concludes from its own knowledge: how a zone looks from here, and whether calls may go to
// it.
//
// Free of I/O and of state; any thread.
#pragma once

#include <span>

#include "failover/zone_view.hpp"

namespace marblewharf::failover {

enum class member_state {
  unknown,  // no update on it was received since this member's start
  alive,
  suspect,
  dead,
};

struct member_observation {
  member_state state = member_state::unknown;
  duration since_acknowledged = duration::max();  // since it last answered a probe of this member; max: never
  duration since_missed = duration::max();        // since it last left one unanswered; max: never
};

struct observation_rules {
  duration since_start{};  // of this member
  duration start_grace{};  // until then an unknown member does not count as down: it may be slower to start
  // A member that answered within this time is not down, whatever others report of it; one that left a probe
  // unanswered within it is not healthy.
  duration contact_window{};
};

// Healthy: a member is alive, and no live one left a probe unanswered within the window. Down: every member
// is dead, or unknown past the grace, and none answered within the window; silent where some of those are
// suspect. Otherwise, and without members, uncertain.
zone_observation observe_zone(std::span<const member_observation> members, const observation_rules& rules);

// Calls go to a zone unless it is decided out; to this member's own zone always, since whoever is cut off
// goes on with what is near.
bool zone_routable(const zone_decision& decision, bool is_own);

}  // namespace marblewharf::failover
