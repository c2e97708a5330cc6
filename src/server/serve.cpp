#include "server/serve.hpp"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cinttypes>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <vector>

#include "admin/console_server.hpp"
#include "admin/statistics.hpp"
#include "cluster/agent.hpp"
#include "cluster/quota_client.hpp"
#include "core/dispatcher.hpp"
#include "fan_out/client.hpp"
#include "idempotency/deferred_service.hpp"
#include "idempotency/durable_service.hpp"
#include "idempotency/memory_service.hpp"
#include "lifecycle/drain_state.hpp"
#include "lifecycle/graceful_shutdown.hpp"
#include "lifecycle/hot_restart.hpp"
#include "net/event_loop_wakeup.hpp"
#include "net/reactor.hpp"
#include "registry/registry_client.hpp"
#include "runtime/link.hpp"
#include "server/background.hpp"
#include "server/signals.hpp"
#include "telemetry/telemetry.hpp"
#include "thrift/front.hpp"
#include "transaction/coordinator.hpp"
#include "uwsgi/client.hpp"
#include "uwsgi/front.hpp"

namespace marblewharf::server {
namespace {

// Where the runtime and the catalog are may change while the program runs; a file that cannot be used changes
// nothing.
void reload(const config& settings, runtime::link& runtime, registry::registry_client& registry_client) {
  try {
    const config fresh = load_config();
    const auto runtime_at = net::address_of(fresh.runtime, "runtime");
    const auto directory_at = net::address_of(fresh.directory, "directory");
    telemetry::log("reload", "runtime at %s, catalog at %s", runtime_at.toString().c_str(),
                   directory_at.toString().c_str());
    if (fresh.name != settings.name || fresh.listen != settings.listen)
      telemetry::log("reload", "name or listen differs: that takes a restart");
    runtime.move(runtime_at);
    registry_client.move(directory_at);
  } catch (const std::exception& e) {
    telemetry::log("reload", "the old configuration stays: %s", e.what());
  }
}

std::uint64_t random_number() {
  std::random_device random;
  return std::uint64_t{random()} << 32 | random();
}

idempotency::durable_service_options keeper_options_of(const config& settings) {
  const keyed_config& k = *settings.keyed;
  idempotency::durable_service_options o;
  o.folder = k.folder;
  o.windows = k.windows;
  for (const auto& c : settings.settings.classes) o.classes.push_back(c.name);
  for (const auto& t : settings.settings.tenants) o.tenants.push_back(t.name);
  o.longest_key = k.longest_key;
  o.largest_result = settings.bounds.result + settings.bounds.response_head;
  o.entries = k.entries;
  o.open = settings.bounds.keyed_open;
  o.reads = settings.bounds.keyed_reads;
  o.commit_records = settings.bounds.commit_records;
  o.segment = k.segment;
  o.space = k.space;
  o.retry_disk = k.retry_disk;
  // A write over several participants is asked for in our own folder.
  o.inquiry_tries = k.inquiry_var.empty() && !settings.writes ? 0 : k.inquiry_tries;
  o.inquiry_pause = k.inquiry_pause;
  o.salt = random_number();
  o.unix_now = std::chrono::system_clock::now().time_since_epoch();
  o.steady_now = net::steady_now();
  return o;
}

idempotency::memory_service_options memory_results_options_of(const config& settings) {
  const repeats_config& r = *settings.repeats;
  idempotency::memory_service_options o;
  o.windows = r.windows;
  o.longest_wait = r.longest_wait;
  o.memory = r.memory;
  o.largest_result = settings.bounds.result;
  o.open = settings.bounds.keyed_open;
  o.salt = random_number();
  return o;
}

// The mark of replacement in $TMPDIR, which a second process beside this one shares. The folder is memory on
// the platform, and there are two small files a run: the reactor's thread writes and reads them itself.
class handover_file {
 public:
  explicit handover_file(const config& settings)
      : path_(lifecycle::mark_path(folder(), settings.name, settings.listen.host, settings.listen.port)),
        self_{static_cast<std::uint64_t>(::getpid()), net::unix_ms()} {}

  // Once: this process takes clients. A rename, so that a reader never sees half a mark.
  void mark_ready() {
    if (std::exchange(marked_, true)) return;
    const std::string fresh = path_ + "." + std::to_string(self_.process);
    {
      std::ofstream out(fresh, std::ios::trunc);
      out << lifecycle::write_mark(self_);
      if (!out.flush()) {
        telemetry::log("handover", "no mark written to %s", fresh.c_str());
        return;
      }
    }
    if (std::rename(fresh.c_str(), path_.c_str()) != 0) {
      telemetry::log("handover", "no mark at %s", path_.c_str());
      std::remove(fresh.c_str());
    }
  }

  // At the notice to leave: has a process started after this one taken over the clients' address?
  bool taken_over() const {
    std::ifstream in(path_);
    std::ostringstream text;
    text << in.rdbuf();
    const std::optional<lifecycle::hot_restart_mark> mark = lifecycle::read_mark(text.str());
    return lifecycle::successor_took_over(self_, mark) && is_alive(mark->process);
  }

 private:
  static std::string folder() {
    const char* tmp = std::getenv("TMPDIR");
    return tmp != nullptr && *tmp != '\0' ? tmp : "/tmp";
  }

  // False only where the system knows of no such process: one that may not be asked about is one.
  static bool is_alive(std::uint64_t process) {
    return ::kill(static_cast<pid_t>(process), 0) == 0 || errno != ESRCH;
  }

  std::string path_;
  lifecycle::hot_restart_mark self_;
  bool marked_ = false;
};

// The console's calls, answered from the node's own parts.
class operators_desk : public admin::admin_handler {
 public:
  operators_desk(const config& settings, const dispatcher& table, const telemetry::counters& counters,
                 const runtime::link& runtime, const thrift::server& front, lifecycle::drain_state& drain,
                 const cluster::agent* in_fleet, const std::optional<fan_out::client>& gathers,
                 const std::optional<transaction::coordinator>& writes,
                 const std::optional<cluster::quota_client>& shared, const std::optional<background>& jobs)
      : desk_(table),
        counters_(counters),
        runtime_(runtime),
        front_(front),
        drain_(drain),
        fleet_(in_fleet),
        gathers_(gathers),
        writes_(writes),
        shared_(shared),
        jobs_(jobs) {
    for (const auto& c : settings.settings.classes) classes_.push_back(c.name);
  }

  bool ready() override { return runtime_.up() && !front_.leaving(); }
  std::string figures() override {
    return admin::render_statistics(counters_, classes_, desk_.unanswered()) +
           (fleet_ ? fleet_->show_figures() : "") + (gathers_ ? gathers_->figures() : "") +
           (writes_ ? writes_->figures() : "") + (shared_ ? shared_->show_figures() : "") +
           (jobs_ ? jobs_->figures(net::steady_now()) : "");
  }
  std::optional<std::string> members() override {
    return fleet_ ? std::optional<std::string>(fleet_->show_members()) : std::nullopt;
  }
  std::optional<std::string> zones() override {
    return fleet_ ? std::optional<std::string>(fleet_->show_zones()) : std::nullopt;
  }
  std::optional<std::string> budgets() override {
    return shared_ ? std::optional<std::string>(shared_->show_budgets()) : std::nullopt;
  }
  std::string drain() override {
    if (drain_.drain(net::steady_now())) telemetry::log("console", "drain: health checks answer bad");
    return "draining";
  }
  std::string resume() override {
    if (drain_.resume(net::steady_now())) telemetry::log("console", "resume: health checks answer good");
    return "serving";
  }

 private:
  const dispatcher& desk_;
  const telemetry::counters& counters_;
  const runtime::link& runtime_;
  const thrift::server& front_;
  lifecycle::drain_state& drain_;
  const cluster::agent* fleet_;  // none: in no fleet
  const std::optional<fan_out::client>& gathers_;
  const std::optional<transaction::coordinator>& writes_;
  const std::optional<cluster::quota_client>& shared_;
  const std::optional<background>& jobs_;
  std::vector<std::string> classes_;
};

}  // namespace

void serve(const config& settings, net::traffic_observer* traffic_observer) {
  if (told_to_leave()) {
    telemetry::log("stop", "notice to leave before the start");
    return;
  }
  const limits& bounds = settings.bounds;
  telemetry::counters counters;
  net::reactor reactor(bounds);
  reactor.listen_in(traffic_observer);
  dispatcher desk(settings.settings, settings.seed, net::steady_now(), counters);
  std::optional<net::event_loop_wakeup> waker;
  const auto disk = std::make_shared<store::posix_file_system>();
  std::unique_ptr<idempotency::durable_service> keeper;
  std::optional<idempotency::deferred_service> keys;
  time_point next_lock_try = time_point::max();
  // Reads the folder as after a restart: what the process before kept is known from now on.
  const auto open_keeper = [&] {
    keeper = std::make_unique<idempotency::durable_service>(*disk, keeper_options_of(settings), counters,
                                                            [&] { waker->wake(); });
    keeper->report_to(desk);
    keys->take(*keeper);
  };
  if (settings.keyed) {
    waker.emplace(reactor);
    keys.emplace(settings.keyed->retry_disk, counters);
    desk.use(*keys, settings.keyed->finish_within);
    try {
      open_keeper();
    } catch (const store::held& e) {  // a process before this one still has it: a replacement
      telemetry::log("handover", "%s: keyed requests are refused until it lets go", e.what());
      next_lock_try = net::steady_now() + settings.keyed->retry_disk;
    }
  }
  std::optional<idempotency::memory_service> repeats;
  if (settings.repeats) {
    repeats.emplace(memory_results_options_of(settings), counters);
    repeats->report_to(desk);
    // What was given up is stopped at once: nothing of it outlives the process, so nothing is saved by its
    // end.
    desk.use(*repeats, duration{});
  }
  runtime::link runtime(reactor, settings, desk, counters);
  registry::registry_client registry_client(settings);
  thrift::server front(reactor, settings, desk, runtime, counters);
  lifecycle::drain_state drained;
  front.answer_health_by([&] { return drained.healthy(desk.healthy()); });
  // Membership and failover: only where the operator's file names a fleet, never in `run` on the platform.
  std::optional<cluster::agent> fleet;
  if (settings.fleet) fleet.emplace(reactor, *settings.fleet, random_number());
  std::optional<uwsgi::client> servers;
  std::optional<fan_out::client> gatherer;
  std::optional<transaction::coordinator> writer;
  // Budgets of the fleet: only where the operator's file names one.
  std::optional<cluster::quota_client> shared;
  // Work behind the requests: only where the operator's file asks for some.
  std::optional<background> jobs;
  operators_desk operators(settings, desk, counters, runtime, front, drained, fleet ? &*fleet : nullptr,
                           gatherer, writer, shared, jobs);
  std::optional<admin::console_server> console;
  if (settings.console) {
    console.emplace(reactor, bounds, *settings.console, operators, counters);
    telemetry::log("start", "console on %s:%u", settings.console->host.c_str(),
                   static_cast<unsigned>(settings.console->port));
  }
  std::optional<uwsgi::server> second_front;
  if (settings.uwsgi) {
    servers.emplace(reactor, settings, desk);
    backend* behind = &*servers;
    if (settings.dependencies) behind = &gatherer.emplace(reactor, settings, desk, *servers);
    if (settings.writes)
      behind =
          &writer.emplace(reactor, settings, desk, *gatherer, disk, random_number(), [&] { waker->wake(); });
    second_front.emplace(reactor, settings, desk, *behind, counters);
    telemetry::log("start", "uwsgi on %s:%u", settings.uwsgi->listen.host.c_str(),
                   static_cast<unsigned>(settings.uwsgi->listen.port));
  }
  if (settings.budgets) {
    cluster::calls_user calls;
    calls.limit = [&](std::size_t d, double n) {
      writer ? writer->set_share(d, n) : gatherer->set_share(d, n);
    };
    calls.use = [&](std::size_t d) {
      const fan_out::client::calls now = writer ? writer->calls_at(d) : gatherer->calls_at(d);
      return cluster::calls_user::calls{now.in_flight, now.waiting, now.turned_away};
    };
    shared.emplace(*fleet, settings, desk, counters, std::move(calls));
  }
  if (background::wanted(settings))
    jobs.emplace(
        settings, counters, [&] { waker->wake(); }, net::steady_now());
  std::optional<lifecycle::graceful_shutdown> leaving;  // from the notice on
  handover_file handover(settings);
  std::uint64_t routed_by = ~std::uint64_t{0};  // the fleet's changes that the routes of calls follow already
  bool writes_looked_after = false;             // the folder's tables are, by background work
  telemetry::log("start", "%s listens on %s:%u", settings.name.c_str(), settings.listen.host.c_str(),
                 static_cast<unsigned>(settings.listen.port));

  std::optional<std::size_t> busy;  // where the gauges tell how busy the cores are
  const auto& names = settings.settings.gauges;
  if (const auto at = std::find(names.begin(), names.end(), "cpu_busy"); at != names.end())
    busy = static_cast<std::size_t>(at - names.begin());

  reactor.serve([&]() -> time_point {
    const time_point now = net::steady_now();
    if (take_counters_request()) {
      telemetry::print(counters);
      if (gatherer) gatherer->print();
    }
    if (take_reload_request()) reload(settings, runtime, registry_client);
    if (operators.ready()) handover.mark_ready();
    if (told_to_leave() && !leaving) {
      const bool handed_over = handover.taken_over();
      telemetry::log("drain", "notice to leave, %zu requests open%s", desk.open(),
                     handed_over ? "; a successor takes the clients" : "");
      leaving.emplace(now, handed_over, bounds);
      desk.on_drain(bounds.stop);
    }
    std::vector<double> gauges = runtime.gauges(now);
    // The runtime's gauges know nothing of what runs on uwsgi servers beside it, on the same cores.
    if (busy && *busy < gauges.size() && servers) {
      const double more = static_cast<double>(servers->running()) / settings.settings.cores;
      gauges[*busy] = std::min(1.0, gauges[*busy] + more);
    }
    if (!keeper && now >= next_lock_try) {
      next_lock_try = now + settings.keyed->retry_disk;
      try {
        open_keeper();
        next_lock_try = time_point::max();
        telemetry::log("handover", "%s taken over: %" PRIu64 " keys known", settings.keyed->folder.c_str(),
                       static_cast<std::uint64_t>(keeper->known().size()));
      } catch (const store::held&) {  // not yet
        keeper.reset();
      } catch (const std::exception& e) {  // the folder cannot be read: keyed requests stay refused
        keeper.reset();
        telemetry::log("handover", "%s cannot be taken over: %s", settings.keyed->folder.c_str(), e.what());
      }
    }
    if (keeper) keeper->step(now);
    if (repeats) repeats->step(now);
    const time_point fleet_due = fleet ? fleet->step(now) : time_point::max();
    if (fleet && fleet->changes() != routed_by) {
      routed_by = fleet->changes();
      const auto routable = [&fleet](const std::string& place) { return fleet->routable(place); };
      if (gatherer) gatherer->routes_changed(routable);
      if (writer) writer->routes_changed(routable);
    }
    if (jobs && writer && !writes_looked_after && writer->tables() != nullptr) {
      writes_looked_after = true;
      jobs->look_after("writes", writer->tables(), now);
    }
    const time_point shared_due = shared ? shared->step(now) : time_point::max();
    desk.step(now, gauges);
    if (jobs && !jobs->idle(now))
      jobs->step(now, busy && *busy < gauges.size() ? std::optional(gauges[*busy]) : std::nullopt,
                 desk.in_hand().waiting);
    if (leaving) {
      // With a successor beside it, every connection this one keeps or takes is one the successor does not.
      if (leaving->asks_callers_to_go(now)) {
        front.leave();
        if (second_front) second_front->leave();
      }
      lifecycle::graceful_shutdown::progress connections;
      if (leaving->ends_connections(now)) {
        const bool first_ended = front.end_connections();
        connections.ended = (!second_front || second_front->end_connections()) && first_ended;
      }
      // A keyed run may end yet though its caller has left, and would be in doubt for nothing.
      const bool kept = !keeper || keeper->known().open() == 0;
      connections.empty = kept && front.empty() && (!second_front || second_front->empty());
      if (leaving->is_over(now, connections)) reactor.stop();
    }
    const time_point due = std::min(
        {desk.due(), runtime.step(now), registry_client.step(now, drained.healthy(desk.healthy())),
         front.step(now), second_front ? second_front->step(now) : time_point::max(),
         gatherer ? gatherer->step(now) : time_point::max(), writer ? writer->step(now) : time_point::max(),
         console ? console->step(now) : time_point::max(), fleet_due, shared_due, next_lock_try,
         jobs ? jobs->due() : time_point::max()});
    return desk.due() < now || (repeats && repeats->has_news()) ? now : due;
  });
  telemetry::log("stop", "%zu requests open", desk.open());
  telemetry::print(counters);
}

}  // namespace marblewharf::server
