#include "server/price_node.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "server/memory_idempotency.hpp"
#include "server/random_seed.hpp"
#include "server/reload.hpp"
#include "server/signals.hpp"

namespace marblewharf::server {
namespace {

constexpr const char* cores_busy_gauge_name = "cpu_busy";

std::optional<std::size_t> find_cores_busy_gauge(const config& settings) {
  const auto& names = settings.settings.gauges;
  const auto found = std::find(names.begin(), names.end(), cores_busy_gauge_name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::size_t>(found - names.begin());
}

void log_listening(const char* what, const endpoint& address) {
  telemetry::log("start", "%s on %s:%u", what, address.host.c_str(), static_cast<unsigned>(address.port));
}

// When a part that may be missing wants its next step.
template <typename Part>
time_point step_if_present(Part& part, time_point now) {
  return part ? part->step(now) : time_point::max();
}

}  // namespace

price_node::price_node(const config& settings, net::traffic_observer* traffic_observer)
    : config_(settings),
      reactor_(settings.bounds),
      dispatcher_(settings.settings, settings.seed, net::steady_now(), counters_),
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
                     drain_state_),
      shutdown_(settings.bounds, {.requests = dispatcher_,
                                  .thrift_server = thrift_server_,
                                  .uwsgi_server = uwsgi_server_,
                                  .durable = durable_idempotency_.get()}) {
  // Before run() no connection is accepted, so the observer misses nothing.
  reactor_.listen_in(traffic_observer);
  thrift_server_.set_health_check([this] { return drain_state_.healthy(dispatcher_.healthy()); });
  start_cluster_agent();
  start_console();
  start_uwsgi();
  start_quota_client();
  start_background_jobs();
  hot_restart_file_.emplace(settings);
  const std::string listens = settings.name + " listens";
  log_listening(listens.c_str(), settings.listen);
  cores_busy_gauge_ = find_cores_busy_gauge(settings);
}

void price_node::start_cluster_agent() {
  if (config_.fleet) cluster_agent_.emplace(reactor_, *config_.fleet, random_seed());
}

void price_node::start_console() {
  if (!config_.console) return;
  console_.emplace(reactor_, config_.bounds, *config_.console, admin_handler_, counters_);
  log_listening("console", *config_.console);
}

void price_node::start_uwsgi() {
  if (!config_.uwsgi) return;
  uwsgi_server_.emplace(reactor_, config_, dispatcher_, make_uwsgi_backend(), counters_);
  log_listening("uwsgi", config_.uwsgi->listen);
}

// Each backend passes on what is not its own to the one before it.
backend& price_node::make_uwsgi_backend() {
  uwsgi_client_.emplace(reactor_, config_, dispatcher_);
  backend* outermost = &*uwsgi_client_;
  if (config_.dependencies)
    outermost = &fan_out_client_.emplace(reactor_, config_, dispatcher_, *uwsgi_client_);
  if (config_.writes)
    outermost = &transaction_coordinator_.emplace(reactor_, config_, dispatcher_, *fan_out_client_,
                                                  file_system_, random_seed(), wake_reactor());
  return *outermost;
}

// Calls at upstreams are limited by the coordinator where there is one: it knows of fan-out calls as well.
void price_node::start_quota_client() {
  if (!config_.budgets) return;
  cluster::upstream_call_limiter calls;
  calls.limit = [this](std::size_t upstream, double limit) {
    if (transaction_coordinator_) {
      transaction_coordinator_->set_share(upstream, limit);
    } else {
      fan_out_client_->set_share(upstream, limit);
    }
  };
  calls.use = [this](std::size_t upstream) {
    const fan_out::client::calls current = transaction_coordinator_
                                               ? transaction_coordinator_->calls_at(upstream)
                                               : fan_out_client_->calls_at(upstream);
    return cluster::upstream_call_limiter::calls{current.in_flight, current.waiting, current.turned_away};
  };
  quota_client_.emplace(*cluster_agent_, config_, dispatcher_, counters_, std::move(calls));
}

void price_node::start_background_jobs() {
  if (!background_jobs::configured(config_)) return;
  background_jobs_.emplace(config_, counters_, wake_reactor(), net::steady_now());
}

// For parts with threads of their own; these exist only where `wakeup_` does.
std::function<void()> price_node::wake_reactor() {
  return [this] { wakeup_->wake(); };
}

void price_node::run() {
  reactor_.serve([this] { return step(); });
  telemetry::log("stop", "%zu requests open", dispatcher_.open());
  telemetry::print(counters_);
}

// The order of the steps matters: what signals, disks and other nodes report is known before the dispatcher
// decides, and what it decides is written before the shutdown looks for connections that are owed nothing.
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
  if (shutdown_.begun() && shutdown_.step(now)) reactor_.stop();
  const time_point connections_due = step_connections(now);
  if (dispatcher_.due() < now || (memory_idempotency_ && memory_idempotency_->has_pending_replies()))
    return now;
  return std::min({connections_due, cluster_due, quota_due});
}

void price_node::handle_signals(time_point now) {
  if (consume_counters_request()) {
    telemetry::print(counters_);
    if (fan_out_client_) fan_out_client_->print();
  }
  if (consume_reload_request()) reload_addresses(config_, runtime_link_, registry_client_);
  if (admin_handler_.ready()) hot_restart_file_->write_once();
  if (shutdown_requested() && !shutdown_.begun())
    shutdown_.begin(now, hot_restart_file_->successor_took_over());
}

// The runtime's gauges leave out what runs on the uwsgi servers beside it, on the same cores.
std::vector<double> price_node::read_gauges(time_point now) const {
  std::vector<double> gauges = runtime_link_.gauges(now);
  if (cores_busy_gauge_ && *cores_busy_gauge_ < gauges.size() && uwsgi_client_) {
    double& cores_busy = gauges[*cores_busy_gauge_];
    const double uwsgi_share = static_cast<double>(uwsgi_client_->running()) / config_.settings.cores;
    cores_busy = std::min(1.0, cores_busy + uwsgi_share);
  }
  return gauges;
}

void price_node::step_idempotency(time_point now) {
  if (durable_idempotency_) durable_idempotency_->step(now);
  if (memory_idempotency_) memory_idempotency_->step(now);
}

time_point price_node::step_cluster(time_point now) {
  const time_point due = step_if_present(cluster_agent_, now);
  if (cluster_agent_ && cluster_agent_->changes() != routed_changes_) update_routes();
  return due;
}

void price_node::update_routes() {
  routed_changes_ = cluster_agent_->changes();
  const auto routable = [this](const std::string& place) { return cluster_agent_->routable(place); };
  if (fan_out_client_) fan_out_client_->routes_changed(routable);
  if (transaction_coordinator_) transaction_coordinator_->routes_changed(routable);
}

// The tables exist once the coordinator has opened its folder, which a predecessor may still hold at the
// start.
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

// Steps all that has sockets, in the order of this list; returns the earliest due time of these parts and of
// the dispatcher, the retries of the idempotency folder and the background jobs.
time_point price_node::step_connections(time_point now) {
  return std::min({dispatcher_.due(), runtime_link_.step(now),
                   registry_client_.step(now, drain_state_.healthy(dispatcher_.healthy())),
                   thrift_server_.step(now), step_if_present(uwsgi_server_, now),
                   step_if_present(fan_out_client_, now), step_if_present(transaction_coordinator_, now),
                   step_if_present(console_, now),
                   durable_idempotency_ ? durable_idempotency_->next_open_attempt() : time_point::max(),
                   background_jobs_ ? background_jobs_->due() : time_point::max()});
}

}  // namespace marblewharf::server
