// The node's implementation of the commands of the operators' console.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "admin/admin_handler.hpp"
#include "cluster/agent.hpp"
#include "cluster/quota_client.hpp"
#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "fan_out/client.hpp"
#include "lifecycle/operator_drain.hpp"
#include "runtime/link.hpp"
#include "server/background_jobs.hpp"
#include "telemetry/telemetry.hpp"
#include "thrift/front.hpp"
#include "transaction/coordinator.hpp"

namespace marblewharf::server {

// The components of a node that the console reports on. All outlive the handler. An optional component is
// empty if the settings do not enable it, and may be created after the handler.
struct admin_sources {
  const config& settings;
  const telemetry::counters& counters;
  const dispatcher& requests;
  const runtime::link& runtime_link;
  const thrift::server& thrift_server;
  const std::optional<cluster::agent>& cluster_agent;
  const std::optional<fan_out::client>& fan_out_client;
  const std::optional<transaction::coordinator>& transaction_coordinator;
  const std::optional<cluster::quota_client>& quota_client;
  const std::optional<background_jobs>& jobs;
};

// Called on the reactor's thread.
class node_admin_handler : public admin::admin_handler {
 public:
  // The commands drain and resume change `operator_drain`, which outlives the handler.
  node_admin_handler(const admin_sources& sources, lifecycle::operator_drain& operator_drain);

  // Overrides of admin::admin_handler.
  bool ready() override;
  std::string statistics() override;
  std::string drain() override;
  std::string resume() override;
  std::optional<std::string> members() override;
  std::optional<std::string> zones() override;
  std::optional<std::string> quotas() override;

 private:
  const admin_sources sources_;
  lifecycle::operator_drain& operator_drain_;
  std::vector<std::string> class_names_;
};

}  // namespace marblewharf::server
