// The node's part in its cluster: carries membership messages over the cluster's socket, keeps the view of
// members and zones, and shows both on the console (docs/failover.md).
//
// Exists only where the operator's file names a fleet; `run` on the platform never does. Owned by the
// reactor's thread.
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

// While another process holds the member's address (a hot restart) this one is not the member: it takes no
// part in membership and votes, and calls may go anywhere as if there were no cluster. Once it holds the
// address it begins with an incarnation above the other's.
class agent : private datagram_handler {
 public:
  // Returns whether it has handled the datagram.
  using datagram_filter = std::function<bool(std::string_view)>;

  // Throws std::runtime_error naming the address that cannot be bound, unless another process holds it.
  agent(net::reactor& reactor, const fleet_config& settings, std::uint64_t seed);
  agent(const agent&) = delete;
  agent& operator=(const agent&) = delete;

  // Sends probes and votes, handles timeouts. Returns when to call again.
  time_point step(time_point now);
  bool is_member() const { return is_member_; }
  // Where others reach this process's own socket; of use before it is the member.
  std::string reachable_address() const { return transport_.reachable_address(); }

  std::string show_members() const { return render_members(view_, is_member_); }
  std::string show_zones() const { return render_zones(view_, settings_); }
  std::string show_statistics() const;

  // Whether calls may go to a place, a zone's name or a member's address.
  bool routable(const std::string& place) const;
  bool is_alive(const std::string& member) const { return view_.is_alive(member); }
  // Rises with each change after which routable() may answer differently.
  std::uint64_t changes() const { return changes_; }

  // Is offered each datagram before membership.
  void set_datagram_filter(datagram_filter filter) { filter_ = std::move(filter); }
  // Sends at once or not at all.
  void send(const std::string& to, const std::string& bytes) { transport_.send(to, bytes); }

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
  cluster_counters counters_;  // those of the transport are its own
  std::uint64_t changes_ = 0;
  time_point next_round_;  // of observations and votes, or of the next try to become the member
};

}  // namespace marblewharf::cluster
