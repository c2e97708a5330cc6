// A price node: its components and the reactor that runs them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "admin/console_server.hpp"
#include "cluster/agent.hpp"
#include "cluster/quota_client.hpp"
#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "fan_out/client.hpp"
#include "lifecycle/operator_drain.hpp"
#include "net/event_loop_wakeup.hpp"
#include "net/reactor.hpp"
#include "net/traffic_observer.hpp"
#include "registry/registry_client.hpp"
#include "runtime/link.hpp"
#include "server/background_jobs.hpp"
#include "server/durable_idempotency.hpp"
#include "server/hot_restart_file.hpp"
#include "server/memory_idempotency.hpp"
#include "server/node_admin_handler.hpp"
#include "server/shutdown_sequence.hpp"
#include "store/file_system.hpp"
#include "telemetry/telemetry.hpp"
#include "thrift/front.hpp"
#include "transaction/coordinator.hpp"
#include "uwsgi/client.hpp"
#include "uwsgi/front.hpp"

namespace marblewharf::server {

// All components run on the thread that calls run(), except for disk operations and background jobs. An
// optional component is empty if the settings do not enable it; without an operator's file all of them are
// empty.
class price_node {
 public:
  // Opens folders and listening addresses. `settings` and `traffic_observer` (may be null) outlive the node.
  // Throws an exception derived from std::exception if the node cannot start.
  price_node(const config& settings, net::traffic_observer* traffic_observer);
  price_node(const price_node&) = delete;
  price_node& operator=(const price_node&) = delete;

  // Serves until a shutdown notice arrives and the graceful shutdown is complete, then logs the counters.
  void run();

 private:
  // These functions create the optional components. The constructor calls those whose names begin with
  // `start`, in this order; start_uwsgi() calls make_uwsgi_backend().
  void start_cluster_agent();
  void start_console();
  void start_uwsgi();
  backend& make_uwsgi_backend();
  void start_quota_client();
  void start_background_jobs();
  // Returns the callback by which the threads of a component wake the reactor.
  std::function<void()> wake_reactor();

  // Executes one round of the reactor; returns when the next round is due. The functions below are its steps.
  time_point step();
  void handle_signals(time_point now);
  std::vector<double> read_gauges(time_point now) const;
  void step_idempotency(time_point now);
  time_point step_cluster(time_point now);
  void update_routes();
  void maintain_transaction_tables(time_point now);
  void step_background_jobs(time_point now, const std::vector<double>& gauges);
  time_point step_connections(time_point now);

  // Each component is declared after the components that it uses, because members are destroyed in reverse
  // order.
  const config& config_;
  telemetry::counters counters_;
  net::reactor reactor_;
  dispatcher dispatcher_;
  std::unique_ptr<net::event_loop_wakeup> wakeup_;  // null if no component has threads of its own
  const std::shared_ptr<store::posix_file_system> file_system_;
  const std::unique_ptr<durable_idempotency> durable_idempotency_;
  const std::unique_ptr<memory_idempotency> memory_idempotency_;
  runtime::link runtime_link_;
  registry::registry_client registry_client_;
  thrift::server thrift_server_;
  lifecycle::operator_drain operator_drain_;
  std::optional<cluster::agent> cluster_agent_;
  std::optional<uwsgi::client> uwsgi_client_;
  std::optional<fan_out::client> fan_out_client_;
  std::optional<transaction::coordinator> transaction_coordinator_;
  std::optional<cluster::quota_client> quota_client_;
  std::optional<background_jobs> background_jobs_;
  node_admin_handler admin_handler_;
  std::optional<admin::console_server> console_;
  std::optional<uwsgi::server> uwsgi_server_;
  shutdown_sequence shutdown_;
  std::optional<hot_restart_file> hot_restart_file_;

  std::optional<std::size_t> cores_busy_gauge_;  // index of the gauge for the utilization of the cores
  std::uint64_t routed_view_version_ = no_view_version;  // version of the cluster view in the upstream routes
  bool tables_maintained_ = false;  // whether background jobs maintain the coordinator's tables

  static constexpr std::uint64_t no_view_version = ~std::uint64_t{0};  // no view has been applied yet
};

}  // namespace marblewharf::server
