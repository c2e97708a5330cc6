// The node's part in the quotas of its cluster: carries the coordinator's messages over the agent's socket,
// measures what the node uses and could use, and applies shares where they are enforced (docs/budgets.md).
//
// While another process still has the member's address (a hot restart), this one acts on what it is granted
// for itself and has no guaranteed share.
//
// Exists only where the operator's file names a quota; `run` on the platform never does. Owned by the
// reactor's thread.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cluster/agent.hpp"
#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "quota/demand.hpp"
#include "quota/quota_coordinator.hpp"

namespace marblewharf::cluster {

// Enforces a share of calls at an upstream, and reports how many there are.
struct upstream_call_limiter {
  std::function<void(std::size_t dependency, double calls)> limit;
  struct calls {
    std::size_t in_flight = 0, waiting = 0;
    std::uint64_t turned_away = 0;  // since the start, for want of a share
  };
  std::function<calls(std::size_t dependency)> use;
};

class quota_client {
 public:
  quota_client(agent& cluster_agent, const config& settings, dispatcher& requests,
               telemetry::counters& counters, upstream_call_limiter calls);
  quota_client(const quota_client&) = delete;
  quota_client& operator=(const quota_client&) = delete;

  // Sends requests, answers others' and applies shares. Returns when to call again.
  time_point step(time_point now);

  // One line a quota: "NAME UNIT LIMIT SHARE USE DEMAND LEASE_MS LEADER"; LEASE_MS is what is left of the
  // lease.
  std::string show_quotas() const;
  // Lines of `budget.NAME.FIGURE=VALUE` for show-stat.
  std::string show_statistics() const;

 private:
  bool on_datagram(std::string_view datagram);
  void count_arrival(const request& arrived);
  void measure_usage(time_point now);
  quota::quota_usage measure_calls(std::size_t index, std::size_t dependency, time_point now);
  void update_membership(quota::time_point lease_now);
  void apply_shares(quota::time_point lease_now);
  void log_audited_changes(quota::time_point lease_now);
  void send_messages();
  quota::time_point lease_clock() const;

  agent& agent_;
  const budgets_config& settings_;
  const std::string cluster_name_;
  dispatcher& requests_;
  telemetry::counters& counters_;
  upstream_call_limiter calls_;
  quota::quota_coordinator coordinator_;
  // By quota, in the order of the configuration; of the two estimators the one for the quota's unit is in
  // use.
  std::vector<quota::quota_usage> usage_;
  std::vector<quota::rate_demand_estimator> rate_demand_;
  std::vector<quota::in_flight_demand_estimator> in_flight_demand_;
  std::vector<double> applied_shares_;
  std::vector<std::uint64_t> share_changes_;
  time_point last_measured_{};
  struct {
    std::uint64_t other_cluster = 0, version = 0, undecodable = 0;
  } rejected_datagrams_;
};

}  // namespace marblewharf::cluster
