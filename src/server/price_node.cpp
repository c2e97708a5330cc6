#include "server/price_node.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "server/random_seed.hpp"
#include "server/reload.hpp"
#include "server/signals.hpp"
#include "server/storage_log.hpp"

namespace marblewharf::server {
namespace {

constexpr const char* cores_busy_gauge_name = "cpu_busy";

std::optional<std::size_t> find_cores_busy_gauge(const config& settings) {
  const auto& names = settings.policy_settings.gauges;
  const auto found = std::find(names.begin(), names.end(), cores_busy_gauge_name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::size_t>(found - names.begin());
}

void log_listening(const char* description, const endpoint& address) {
  telemetry::log("start", "%s on %s:%u", description, address.host.c_str(),
                 static_cast<unsigned>(address.port));
}

// Steps an optional component; returns when its next step is due.
template <typename Component>
time_point step_if_present(Component& component, time_point now) {
  return component ? component->step(now) : time_point::max();
}

}  // namespace

price_node::price_node(const config& settings, net::traffic_observer* traffic_observer)
    : config_(settings),
      reactor_(settings.bounds, &counters_),
      dispatcher_(settings.policy_settings, settings.seed, net::steady_now(), counters_),
      wakeup_(settings.keyed ? std::make_unique<net::event_loop_wakeup>(reactor_) : nullptr),
      file_system_(std::make_shared<store::posix_file_system>()),
      durable_idempotency_(settings.keyed
                               ? std::make_unique<durable_idempotency>(settings, *file_system_, dispatcher_,
                                                                       counters_, wake_reactor())
                               : nullptr),
      memory_idempotency_(make_memory_idempotency(settings, dispatcher_, counters_)),
      runtime_link_(reactor_, settings, dispatcher_, counters_),
      registry_client_(settings),
      thrift_server_(reactor_, settings, dispatcher_, runtime_link_, counters_),
      admin_handler_({.settings = settings,
                      .counters = counters_,
                      .requests = dispatcher_,
                      .runtime_link = runtime_link_,
                      .thrift_server = thrift_server_,
                      .cluster_agent = cluster_agent_,
                      .fan_out_client = fan_out_client_,
                      .transaction_coordinator = transaction_coordinator_,
                      .quota_client = quota_client_,
                      .jobs = background_jobs_},
                     operator_drain_),
      shutdown_(settings.bounds, {.requests = dispatcher_,
                                  .thrift_server = thrift_server_,
                                  .uwsgi_server = uwsgi_server_,
                                  .durable = durable_idempotency_.get(),
                                  .memory = memory_idempotency_.get()}) {
  // The observer sees all traffic, because connections are accepted only in run().
  reactor_.set_traffic_observer(traffic_observer);
  thrift_server_.set_health_check([this] { return operator_drain_.healthy(dispatcher_.healthy()); });
  start_cluster_agent();
  start_console();
  start_uwsgi();
  start_quota_client();
  start_background_jobs();
  hot_restart_file_.emplace(settings);
  const std::string node_listens = settings.name + " listens";
  log_listening(node_listens.c_str(), settings.listen);
  log_result_storage(settings);
  cores_busy_gauge_ = find_cores_busy_gauge(settings);
}

void price_node::start_cluster_agent() {
  if (config_.fleet) cluster_agent_.emplace(reactor_, *config_.fleet, random_seed());
}

void price_node::start_console() {
  if (!config_.console) return;
  console_.emplace(reactor_, config_.bounds, *config_.console, admin_handler_, counters_);
  log_listening("console configured", *config_.console);
}

void price_node::start_uwsgi() {
  if (!config_.uwsgi) return;
  uwsgi_server_.emplace(reactor_, config_, dispatcher_, make_uwsgi_backend(), counters_);
  log_listening("uwsgi front configured", config_.uwsgi->listen);
}

// Chains the backends: each backend passes requests that it does not handle to the backend created before it.
backend& price_node::make_uwsgi_backend() {
  uwsgi_client_.emplace(reactor_, config_, dispatcher_, counters_);
  backend* outermost = &*uwsgi_client_;
  if (config_.dependencies)
    outermost = &fan_out_client_.emplace(reactor_, config_, dispatcher_, *uwsgi_client_);
  if (config_.transactions)
    outermost = &transaction_coordinator_.emplace(reactor_, config_, dispatcher_, *fan_out_client_,
                                                  file_system_, random_seed(), wake_reactor());
  return *outermost;
}

// Calls to upstreams are limited by the transaction coordinator if there is one, because the coordinator also
// counts the calls of the fan-out client; otherwise by the fan-out client.
void price_node::start_quota_client() {
  if (!config_.budgets) return;
  cluster::upstream_call_limiter calls;
  calls.set_limit = [this](std::size_t upstream, double limit) {
    if (transaction_coordinator_) {
      transaction_coordinator_->set_share(upstream, limit);
    } else {
      fan_out_client_->set_share(upstream, limit);
    }
  };
  calls.current_calls = [this](std::size_t upstream) {
    const fan_out::client::call_load current = transaction_coordinator_
                                                   ? transaction_coordinator_->calls_at(upstream)
                                                   : fan_out_client_->calls_at(upstream);
    return cluster::upstream_call_limiter::calls{current.in_flight, current.waiting, current.rejected};
  };
  quota_client_.emplace(*cluster_agent_, config_, dispatcher_, counters_, std::move(calls));
}

void price_node::start_background_jobs() {
  if (!background_jobs::configured(config_)) return;
  background_jobs_.emplace(config_, counters_, wake_reactor(), net::steady_now());
}

// Called only for components with threads of their own, which exist only if `wakeup_` is not null.
std::function<void()> price_node::wake_reactor() {
  return [this] { wakeup_->wake(); };
}

void price_node::run() {
  reactor_.serve([this] { return step(); });
  telemetry::log("stop", "price node stops with %zu open requests", dispatcher_.open_requests());
  telemetry::log_counters(counters_);
}

// The order of the steps matters. Reports of signals, disks and other nodes are processed before the
// dispatcher decides, and the dispatcher's answers are written before the shutdown looks for connections
// without a pending answer.
time_point price_node::step() {
  const time_point now = net::steady_now();
  handle_signals(now);
  const std::vector<double> gauges = read_gauges(now);
  step_idempotency(now);
  const time_point cluster_due = step_cluster(now);
  maintain_transaction_tables(now);
  const time_point quota_due = step_if_present(quota_client_, now);
  dispatcher_.step(now, gauges);
  step_background_jobs(now, gauges);
  if (shutdown_.started() && shutdown_.step(now)) reactor_.stop();
  const time_point connections_due = step_connections(now);
  const time_point keys_due = memory_idempotency_ ? memory_idempotency_->due() : time_point::max();
  if (dispatcher_.due() < now || keys_due < now) return now;
  return std::min({connections_due, cluster_due, quota_due, keys_due});
}

void price_node::handle_signals(time_point now) {
  if (consume_counters_request()) {
    telemetry::log_counters(counters_);
    if (fan_out_client_) fan_out_client_->log_counters();
  }
  if (consume_reload_request()) reload_addresses(config_, runtime_link_, registry_client_);
  if (admin_handler_.ready()) hot_restart_file_->write_once();
  if (shutdown_requested() && !shutdown_.started())
    shutdown_.start(now, hot_restart_file_->successor_took_over());
}

// Adds the runs of the uwsgi servers to the utilization of the cores: these servers use the same cores as the
// runtime, whose gauges do not include them.
std::vector<double> price_node::read_gauges(time_point now) const {
  std::vector<double> gauges = runtime_link_.gauges(now);
  if (cores_busy_gauge_ && *cores_busy_gauge_ < gauges.size() && uwsgi_client_) {
    double& cores_busy = gauges[*cores_busy_gauge_];
    const double uwsgi_utilization =
        static_cast<double>(uwsgi_client_->running()) / config_.policy_settings.cores;
    cores_busy = std::min(1.0, cores_busy + uwsgi_utilization);
  }
  return gauges;
}

void price_node::step_idempotency(time_point now) {
  if (durable_idempotency_) durable_idempotency_->step(now);
  if (memory_idempotency_) memory_idempotency_->step(now);
}

time_point price_node::step_cluster(time_point now) {
  const time_point due = step_if_present(cluster_agent_, now);
  if (cluster_agent_ && cluster_agent_->change_count() != routed_view_version_) update_routes();
  return due;
}

void price_node::update_routes() {
  routed_view_version_ = cluster_agent_->change_count();
  const auto routable = [this](const std::string& zone_or_member) {
    return cluster_agent_->is_routable(zone_or_member);
  };
  if (fan_out_client_) fan_out_client_->update_reachability(routable);
  if (transaction_coordinator_) transaction_coordinator_->update_reachability(routable);
}

// The tables exist once the coordinator has opened its folder, which a predecessor may still have locked when
// this process starts.
void price_node::maintain_transaction_tables(time_point now) {
  if (tables_maintained_ || !background_jobs_ || !transaction_coordinator_) return;
  const std::shared_ptr<store::table_service> tables = transaction_coordinator_->tables();
  if (tables == nullptr) return;
  tables_maintained_ = true;
  background_jobs_->maintain_tables("writes", tables, now);
}

void price_node::step_background_jobs(time_point now, const std::vector<double>& gauges) {
  if (!background_jobs_ || background_jobs_->idle(now)) return;
  std::optional<double> cores_busy;
  if (cores_busy_gauge_ && *cores_busy_gauge_ < gauges.size()) cores_busy = gauges[*cores_busy_gauge_];
  background_jobs_->step(now, cores_busy, dispatcher_.current_load().waiting);
}

// Steps all components with sockets, in the order of the list. Returns the earliest due time of these
// components, the dispatcher, the next attempt to open the idempotency folder, and the background jobs.
time_point price_node::step_connections(time_point now) {
  return std::min({dispatcher_.due(), runtime_link_.step(now),
                   registry_client_.step(now, operator_drain_.healthy(dispatcher_.healthy())),
                   thrift_server_.step(now), step_if_present(uwsgi_server_, now),
                   step_if_present(fan_out_client_, now), step_if_present(transaction_coordinator_, now),
                   step_if_present(console_, now),
                   durable_idempotency_ ? durable_idempotency_->next_open_attempt() : time_point::max(),
                   background_jobs_ ? background_jobs_->due() : time_point::max()});
}

}  // namespace marblewharf::server
