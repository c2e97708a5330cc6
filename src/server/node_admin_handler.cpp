#include "server/node_admin_handler.hpp"

#include "admin/statistics.hpp"
#include "net/reactor.hpp"

namespace marblewharf::server {

node_admin_handler::node_admin_handler(const admin_sources& sources,
                                       lifecycle::operator_drain& operator_drain)
    : sources_(sources), operator_drain_(operator_drain) {
  for (const auto& request_class : sources_.settings.policy_settings.classes)
    class_names_.push_back(request_class.name);
}

bool node_admin_handler::ready() {
  return sources_.runtime_link.connected() && !sources_.thrift_server.draining();
}

std::string node_admin_handler::statistics() {
  std::string lines =
      admin::render_statistics(sources_.counters, class_names_, sources_.requests.count_unanswered());
  if (sources_.cluster_agent) lines += sources_.cluster_agent->show_statistics();
  if (sources_.fan_out_client) lines += sources_.fan_out_client->statistics();
  if (sources_.transaction_coordinator) lines += sources_.transaction_coordinator->statistics();
  if (sources_.quota_client) lines += sources_.quota_client->show_statistics();
  if (sources_.jobs) lines += sources_.jobs->render_statistics(net::steady_now());
  return lines;
}

std::string node_admin_handler::drain() {
  if (operator_drain_.drain(net::steady_now()))
    telemetry::log("console", "drain: health checks answer bad until a resume command");
  return "draining";
}

std::string node_admin_handler::resume() {
  if (operator_drain_.resume(net::steady_now()))
    telemetry::log("console", "resume: the operator drain is over, health checks answer good again");
  return "serving";
}

std::optional<std::string> node_admin_handler::members() {
  if (!sources_.cluster_agent) return std::nullopt;
  return sources_.cluster_agent->show_members();
}

std::optional<std::string> node_admin_handler::zones() {
  if (!sources_.cluster_agent) return std::nullopt;
  return sources_.cluster_agent->show_zones();
}

std::optional<std::string> node_admin_handler::quotas() {
  if (!sources_.quota_client) return std::nullopt;
  return sources_.quota_client->show_quotas();
}

}  // namespace marblewharf::server
