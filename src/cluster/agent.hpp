// The node's part in its fleet: membership datagrams over UDP on the reactor, the view of zones decided in
// common, and the console's lines on both (docs/failover.md).
//
// Exists only where the operator's file names a fleet; `run` on the platform never does. Owned by the
// reactor's thread; nothing blocks: the socket is non-blocking and a datagram that cannot be sent at once is
// dropped and counted (membership sends again by its nature).
#pragma once

#include <Poco/AutoPtr.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"
#include "failover/zone_view.hpp"
#include "membership/swim.hpp"
#include "net/reactor.hpp"

namespace marblewharf::cluster {

struct figures {
  std::uint64_t sent = 0, received = 0;
  std::uint64_t foreign = 0, version = 0, undecodable = 0, unsent = 0;
  std::uint64_t declared_out = 0, declared_back = 0;  // verdicts on zones that moved, since the start
};

// The member's address is bound alone, so of all processes given it on a machine one is the member: a second
// one (a replacement) waits on a port of its own until the first lets go, takes no part in membership and
// votes, and calls may go anywhere as if there were no fleet.
class agent {
 public:
  // Throws std::runtime_error naming the address that cannot be bound, but for one that another process
  // holds.
  agent(net::reactor& r, const fleet_config& f, std::uint64_t seed);
  ~agent();
  agent(const agent&) = delete;
  agent& operator=(const agent&) = delete;

  // Probes, timeouts, votes; returns when it wants to be called again.
  time_point step(time_point now);
  // Whether this process is the member.
  bool joined() const { return joined_; }
  // What this process's own socket is bound to, as the others can send to it; of use before it is the member.
  std::string own_address() const;

  // One line a member, "ADDRESS ZONE REGION STATE INCARNATION", this node first.
  std::string show_members() const;
  // One line a zone, "ZONE REGION in|out EPOCH ALIVE/CONFIGURED", then one a region, "region REGION in|out
  // IN/ZONES": a region is out when all its zones are.
  std::string show_zones() const;
  // Lines of `fleet.NAME=VALUE` for show-stat.
  std::string show_figures() const;
  // Whether calls may go to a place, a zone's name or a member's address: not to a zone declared out in
  // common unless it is this node's own, nor to a member that is suspected, dead or not heard of.
  bool routable(const std::string& place) const;
  // Whether a member lives, as this one sees it.
  bool alive(const std::string& address) const;
  // Reads datagrams before membership does; false: they are not its own.
  void hear(std::function<bool(std::string_view)> other) { other_ = std::move(other); }
  // Sends a datagram at once or not at all (counted in fleet.unsent).
  void send(const std::string& to, const std::string& bytes);
  // Rises with each change that routable() may tell differently after.
  std::uint64_t changes() const { return changes_; }

 private:
  bool bind(Poco::Net::DatagramSocket& s, std::uint16_t port) const;
  void listen_on(const Poco::Net::DatagramSocket& s);
  bool join(time_point now);
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void flush();
  void log_changes();
  failover::sight sight_of(const fleet_zone& z, time_point now) const;

  net::reactor& reactor_;
  const fleet_config& settings_;
  Poco::Net::DatagramSocket socket_;
  std::mt19937_64 random_;
  bool joined_ = false;
  membership::swim swim_;
  failover::zone_view view_;
  std::map<std::string, std::string> zone_of_;       // configured member address -> zone
  std::map<std::string, failover::verdict> logged_;  // the verdicts last logged, to log each move once
  std::vector<membership::ballot> ballots_;          // this member's standing votes, on every datagram
  std::function<bool(std::string_view)> other_;
  figures figures_;
  std::uint64_t changes_ = 0;
  time_point started_;
  time_point next_look_;
};

}  // namespace marblewharf::cluster
