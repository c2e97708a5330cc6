// The quota client of a node: sends and receives the coordinator's messages over the agent's socket, measures
// the node's usage and demand, and applies its shares to the components that enforce them (docs/budgets.md).
//
// While another process has bound the member's address (hot restart), this process uses only the shares that
// are granted to it and has no guaranteed share.
//
// Created only if the operator's file defines a quota, which it does not for `run` on the platform. Not
// thread-safe: used on the reactor's thread only.
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

// Callbacks to the component that limits the calls to a dependency: `set_limit` sets the share of calls in
// flight, `current_calls` returns the current numbers.
struct upstream_call_limiter {
  std::function<void(std::size_t dependency, double calls)> set_limit;
  struct calls {
    std::size_t in_flight = 0, waiting = 0;
    std::uint64_t rejected = 0;  // calls rejected since the start because the share was exhausted
  };
  std::function<calls(std::size_t dependency)> current_calls;
};

class quota_client {
 public:
  quota_client(agent& cluster_agent, const config& settings, dispatcher& requests,
               telemetry::counters& counters, upstream_call_limiter calls);
  quota_client(const quota_client&) = delete;
  quota_client& operator=(const quota_client&) = delete;

  // Sends quota requests, answers those of other members and applies shares. Returns the time of the next
  // call.
  time_point step(time_point now);

  // One line per quota: "NAME UNIT LIMIT SHARE USE DEMAND LEASE_MS LEADER"; LEASE_MS is the remaining time of
  // the lease.
  std::string show_quotas() const;
  // One line `budget.NAME.FIGURE=VALUE` per statistic, for show-stat.
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
  // By quota, in the order of the configuration. Only the estimator that matches the quota's unit is used.
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
