// What this member knows of its cluster: its members and the decisions on zones, and whether calls may go to
// a place. Joins membership with the votes on zones that ride on its messages.
//
// Free of I/O: time, randomness and received messages are handed in, messages to send and changes are taken
// out. Not thread-safe: owned by the reactor's thread.
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
  // `incarnation`: above that of earlier processes of this member. `settings` outlives this.
  cluster_view(const fleet_config& settings, std::uint64_t incarnation, time_point now);
  // Forgets all that it knows, as a process that has just started.
  void restart(std::uint64_t incarnation, time_point now);

  void receive(time_point now, const membership::message& received);
  // Sends probes and handles timeouts. Returns when to call again.
  time_point step(time_point now, std::mt19937_64& random);
  // Observes all zones and renews this member's votes on them.
  void observe_zones(time_point now);

  // Messages to send, with votes added.
  std::vector<membership::envelope> take_outbox();
  std::vector<membership::member_update> take_member_changes() { return membership_.take_changes(); }
  // Zones whose decision moved since the last call.
  std::vector<zone_change> take_zone_changes();

  const membership::member_update& self() const { return membership_.self(); }
  const membership::swim& members() const { return membership_; }
  const failover::zone_view& zones() const { return zones_; }
  bool is_alive(const std::string& member) const { return membership_.is_alive(member); }
  // `place`: a zone's name or a member's address. Calls go neither to a zone that is decided out, unless it
  // is this member's own, nor to a member that is not alive.
  bool is_routable(const std::string& place) const;

 private:
  bool is_zone_routable(const std::string& zone) const;
  failover::zone_observation observe(const fleet_zone& zone, time_point now) const;
  failover::member_observation observe_member(const std::string& address, time_point now) const;

  const fleet_config& settings_;
  time_point started_;
  std::map<std::string, std::string> zone_of_;  // by configured member
  membership::swim membership_;
  failover::zone_view zones_;
  std::vector<membership::zone_vote> own_votes_;       // sent with every message: at most one a zone
  std::map<std::string, std::uint64_t> taken_epochs_;  // by zone: the epoch last returned as a change
};

}  // namespace marblewharf::cluster
