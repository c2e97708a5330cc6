// What one member makes of what it knows: whether a zone looks gone from here, and whether calls may go to
// it.
//
// Free of I/O and of state; any thread.
#pragma once

#include <span>

#include "failover/zone_view.hpp"

namespace marblewharf::failover {

enum class member_is {
  unheard,
  alive,
  suspect,
  dead
};  // unheard: nobody spoke of it since this member's start

struct member_sight {
  member_is is = member_is::unheard;
  duration since_contact = duration::max();  // since it answered this member itself; max: never
  duration since_miss = duration::max();     // since it did not; max: never
};
struct sight_rules {
  duration since_start{};     // of this member
  duration start_grace{};     // until then one unheard is not one gone: it may only be slower to start
  duration contact_window{};  // whoever answered this member itself so lately is not gone, whatever is said
                              // of it; and whoever did not answer it so lately is not well
};

// Healthy where one member is alive and no live one failed to answer this member within the window; gone
// where every one is dead, or unheard past the grace, and none answered this member within the window;
// otherwise unsure. No members: unsure.
sight sight_of(std::span<const member_sight> members, const sight_rules& rules);

// Calls go to a zone unless it is declared out in common; to this member's own zone always, since whoever is
// cut off serves on from what is near.
bool zone_routable(const verdict& v, bool own);

}  // namespace marblewharf::failover
