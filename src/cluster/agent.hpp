// The cluster agent of a node: sends and receives membership messages over the cluster's socket, maintains
// the view of members and zones, and renders both for the console (docs/failover.md).
//
// Created only if the operator's file defines a fleet, which it does not for `run` on the platform. Not
// thread-safe: used on the reactor's thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>

#include "cluster/cluster_view.hpp"
#include "cluster/console_text.hpp"
#include "cluster/transport.hpp"
#include "config/config.hpp"
#include "net/reactor.hpp"

namespace marblewharf::cluster {

// While another process has bound the member's address (hot restart), this process is not the member: it does
// not participate in membership and votes, and calls may be routed to any endpoint, as without a cluster.
// After it has bound the address, it joins with a higher incarnation than the other process.
class agent : private datagram_handler {
 public:
  // Returns whether the filter has processed the datagram.
  using datagram_filter = std::function<bool(std::string_view)>;

  // Throws std::runtime_error with the address if the address cannot be bound for a reason other than that
  // another process has bound it.
  agent(net::reactor& reactor, const fleet_config& settings, std::uint64_t seed);
  agent(const agent&) = delete;
  agent& operator=(const agent&) = delete;

  // Sends probes and votes and handles timeouts. Returns the time of the next call.
  time_point step(time_point now);
  bool is_member() const { return is_member_; }
  // The address at which other members reach the socket of this process; needed while it is not the member.
  std::string reachable_address() const { return transport_.reachable_address(); }

  std::string show_members() const { return render_members(view_, is_member_); }
  std::string show_zones() const { return render_zones(view_, settings_); }
  std::string show_statistics() const;

  // Whether calls may be routed to `place`, the name of a zone or the address of a member.
  bool is_routable(const std::string& place) const;
  bool is_alive(const std::string& member) const { return view_.is_alive(member); }
  // Incremented at each change that may alter the results of routable().
  std::uint64_t change_count() const { return changes_; }

  // Sets a filter that is called with each datagram before the membership protocol.
  void set_datagram_filter(datagram_filter filter) { filter_ = std::move(filter); }
  // Sends a datagram without blocking; a datagram that cannot be sent immediately is dropped and counted.
  void send(const std::string& recipient, const std::string& bytes) { transport_.send(recipient, bytes); }

 private:
  void on_datagram(time_point now, std::string_view datagram) override;
  void on_batch_end() override;
  bool try_to_become_member(time_point now);
  void on_member_address_bound();
  void log_changes();
  void log_member_change(const membership::member_update& change) const;
  void log_zone_change(const zone_change& change);
  void send_messages();

  const fleet_config& settings_;
  std::mt19937_64 random_;
  cluster_view view_;
  transport transport_;
  bool is_member_ = false;
  datagram_filter filter_;
  cluster_counters counters_;  // `sent` and `unsent` are counted by the transport instead
  std::uint64_t changes_ = 0;
  time_point next_round_;  // next zone observations and votes, or next attempt to become the member
};

}  // namespace marblewharf::cluster
