// This member's view of its cluster: the members, the decisions on zones, and whether calls may be routed to
// a zone or member. Combines the membership protocol with the zone votes that its messages carry.
//
// Performs no I/O: the owner passes in the time, randomness and received messages, and takes the messages to
// send and the changes. Not thread-safe: used on the reactor's thread only.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "failover/zone_observation.hpp"
#include "failover/zone_view.hpp"
#include "membership/swim.hpp"

namespace marblewharf::cluster {

using time_point = std::chrono::nanoseconds;  // steady clock

struct zone_change {
  std::string zone;
  failover::zone_decision decision;
};

class cluster_view {
 public:
  // `incarnation`: higher than the incarnation of any earlier process of this member. `settings` must outlive
  // this object.
  cluster_view(const fleet_config& settings, std::uint64_t incarnation, time_point now);
  // Resets the view to the state of a process that has just started.
  void restart(std::uint64_t incarnation, time_point now);

  void receive(time_point now, const membership::message& received);
  // Sends probes and handles timeouts. Returns the time of the next call.
  time_point step(time_point now, std::mt19937_64& random);
  // Observes all zones and renews this member's votes on them.
  void observe_zones(time_point now);

  // Returns the messages to send, with zone votes added.
  std::vector<membership::envelope> take_outbox();
  std::vector<membership::member_update> take_member_changes() { return membership_.take_changes(); }
  // Returns the zones whose decision has changed since the previous call.
  std::vector<zone_change> take_zone_changes();

  const membership::member_update& self() const { return membership_.self(); }
  const membership::swim& members() const { return membership_; }
  const failover::zone_view& zones() const { return zones_; }
  bool is_alive(const std::string& member) const { return membership_.is_alive(member); }
  // Whether calls may be routed to `place`, the name of a zone or the address of a configured member. Calls
  // may be routed to a zone unless it is decided out, and always to this member's own zone. Calls may be
  // routed to another member if it is alive and calls may be routed to its zone, and always to this member.
  bool is_routable(const std::string& place) const;

 private:
  bool is_zone_routable(const std::string& zone) const;
  failover::zone_observation observe(const fleet_zone& zone, time_point now) const;
  failover::member_observation observe_member(const std::string& address, time_point now) const;

  const fleet_config& settings_;
  time_point started_;
  std::map<std::string, std::string> zones_by_member_;  // configured members only
  membership::swim membership_;
  failover::zone_view zones_;
  std::vector<membership::zone_vote> own_votes_;          // at most one per zone; added to every message
  std::map<std::string, std::uint64_t> reported_epochs_;  // by zone: the epoch last returned as a change
};

}  // namespace marblewharf::cluster
