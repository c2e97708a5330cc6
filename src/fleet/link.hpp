// The node's part in its fleet: membership datagrams over UDP on the reactor, the view of zones decided in
// common, and the console's lines on both (docs/failover.md).
//
// Exists only where the operator's file names a fleet; `run` on the platform never does. Owned by the reactor's
// thread; nothing blocks: the socket is non-blocking and a datagram that cannot be sent at once is dropped and
// counted (membership sends again by its nature).
#pragma once

#include <Poco/AutoPtr.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "failover/zone_view.hpp"
#include "membership/swim.hpp"
#include "net/reactor.hpp"

namespace marblewharf::fleet {

struct figures {
  std::uint64_t sent = 0, received = 0;
  std::uint64_t foreign = 0, version = 0, undecodable = 0, unsent = 0;
  std::uint64_t declared_out = 0, declared_back = 0;  // verdicts on zones that moved, since the start
};

class link {
 public:
  // Throws std::runtime_error naming the address that cannot be bound.
  link(net::reactor& r, const fleet_config& f, std::uint64_t seed);
  ~link();
  link(const link&) = delete;
  link& operator=(const link&) = delete;

  // Probes, timeouts, votes; returns when it wants to be called again.
  time_point step(time_point now);

  // One line a member, "ADDRESS ZONE REGION STATE INCARNATION", this node first.
  std::string show_members() const;
  // One line a zone, "ZONE REGION in|out EPOCH ALIVE/CONFIGURED".
  std::string show_zones() const;
  // Lines of `fleet.NAME=VALUE` for show-stat.
  std::string show_figures() const;
  // Whether the zone of an endpoint is declared out in common.
  bool zone_out(const std::string& zone) const { return view_.of(zone).out; }

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void flush();
  void log_changes();

  net::reactor& reactor_;
  const fleet_config& settings_;
  Poco::Net::DatagramSocket socket_;
  std::mt19937_64 random_;
  membership::swim swim_;
  failover::zone_view view_;
  std::map<std::string, std::string> zone_of_;  // configured member address -> zone
  std::map<std::string, std::string> region_of_;  // zone -> region
  std::map<std::string, failover::verdict> logged_;  // the verdicts last logged, to log each move once
  std::vector<membership::ballot> ballots_;           // this member's standing votes, on every datagram
  figures figures_;
  time_point next_look_{};
};

}  // namespace marblewharf::fleet
