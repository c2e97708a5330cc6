// The node's part in the fleet's budgets: carries the office's messages over the fleet's socket, tells it
// what the node uses and could use, and passes shares on to whoever acts on them (docs/budgets.md).
//
// While another process still has the member's address (a replacement), this one acts on what it is granted
// for itself, and has no safe share (docs/budgets.md).
//
// Exists only where the operator's file names a budget; `run` on the platform never does. Owned by the
// reactor's thread.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cluster/agent.hpp"
#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "quota/demand.hpp"
#include "quota/quota_coordinator.hpp"

namespace marblewharf::cluster {

// Whoever acts on a share of calls at a dependency.
struct calls_user {
  std::function<void(std::size_t dependency, double calls)> limit;
  struct calls {
    std::size_t in_flight = 0, waiting = 0;
    std::uint64_t turned_away = 0;  // since the start, for want of room
  };
  std::function<calls(std::size_t dependency)> use;
};

class quota_client {
 public:
  quota_client(agent& to, const config& settings, dispatcher& desk, telemetry::counters& counters,
               calls_user calls);
  quota_client(const quota_client&) = delete;
  quota_client& operator=(const quota_client&) = delete;

  // Asks, answers, renews; hands shares on. Returns when it wants to be called again.
  time_point step(time_point now);

  // One line a budget: "NAME UNIT WHOLE SHARE USE DEMAND LEASE_MS LEADER"; LEASE_MS is what is left of the
  // lease.
  std::string show_budgets() const;
  // Lines of `budget.NAME.FIGURE=VALUE` for show-stat.
  std::string show_figures() const;

 private:
  bool on_datagram(std::string_view datagram);
  quota::time_point clock() const;
  void measure(time_point now);
  void look_for_address(quota::time_point at);
  void apply(quota::time_point at);
  void flush();

  agent& link_;
  const budgets_config& settings_;
  const std::string fleet_;
  dispatcher& desk_;
  telemetry::counters& counters_;
  calls_user calls_;
  quota::quota_coordinator office_;
  std::vector<quota::use> uses_;
  std::vector<quota::rate_demand> rates_;      // by budget, of requests
  std::vector<quota::flight_demand> flights_;  // by budget, of runs and calls
  time_point measured_{};
  std::vector<double> told_;          // shares handed on
  std::vector<std::uint64_t> moved_;  // by budget: how often a share changed
  std::uint64_t foreign_ = 0, version_ = 0, undecodable_ = 0;
};

}  // namespace marblewharf::cluster
