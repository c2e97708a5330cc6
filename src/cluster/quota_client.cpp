#include "cluster/quota_client.hpp"

#include <time.h>

#include <algorithm>
#include <cmath>
#include <sstream>

#include "quota/wire.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::cluster {

namespace {

constexpr duration measure_every = std::chrono::milliseconds(50);

std::string text_of(const endpoint& e) {
  return e.host + ":" + std::to_string(e.port);
}

std::set<std::string> members_of(const fleet_config& f) {
  std::set<std::string> all;
  for (const fleet_zone& z : f.zones)
    for (const endpoint& m : z.members) all.insert(text_of(m));
  return all;
}

std::vector<quota::budget> budgets_of(const budgets_config& c) {
  std::vector<quota::budget> all;
  for (const budget_config& b : c.all)
    all.push_back({b.name, b.whole, b.safe, b.weight, b.unit != budget_unit::requests, b.settle});
  return all;
}

quota::quota_coordinator_options options_of(const budgets_config& c) {
  quota::quota_coordinator_options o;
  o.rules = {c.lease, c.drift};
  o.renew = c.renew;
  o.reserve = c.reserve;
  return o;
}

const char* name_of(budget_unit u) {
  switch (u) {
    case budget_unit::runs: return "runs";
    case budget_unit::requests: return "requests";
    case budget_unit::calls: return "calls";
  }
  return "?";
}

}  // namespace

quota_client::quota_client(agent& to, const config& settings, dispatcher& desk, telemetry::counters& counters,
                           calls_user calls)
    : link_(to),
      settings_(*settings.budgets),
      fleet_(settings.fleet->name),
      desk_(desk),
      counters_(counters),
      calls_(std::move(calls)),
      office_(options_of(settings_), budgets_of(settings_), members_of(*settings.fleet),
              text_of(settings.fleet->advertise), static_cast<std::uint64_t>(net::unix_ms()), clock()),
      uses_(settings_.all.size()),
      rates_(settings_.all.size()),
      flights_(settings_.all.size()),
      told_(settings_.all.size(), -1),
      moved_(settings_.all.size()) {
  link_.hear([this](std::string_view datagram) { return on_datagram(datagram); });
  desk_.watch_arrivals([this](const request& what) {
    for (std::size_t i = 0; i < settings_.all.size(); ++i) {
      const budget_config& b = settings_.all[i];
      if (b.unit == budget_unit::requests && b.tenant == what.tenant &&
          (b.request_class < 0 || b.request_class == static_cast<int>(what.request_class)))
        rates_[i].count();
    }
  });
  look_for_address(clock());
  apply(clock());  // what there is binds from the first request on
}

// The clock of leases: it goes on while the machine sleeps. `clock_rate` makes it run apart for tests.
quota::time_point quota_client::clock() const {
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  const auto ns = std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
  if (settings_.clock_rate == 1) return ns;
  return quota::time_point(static_cast<std::int64_t>(static_cast<double>(ns.count()) * settings_.clock_rate));
}

bool quota_client::on_datagram(std::string_view datagram) {
  const quota::decoded d = quota::decode(fleet_, datagram);
  switch (d.fault) {
    case quota::wire_fault::not_ours: return false;
    case quota::wire_fault::foreign: ++foreign_; return true;
    case quota::wire_fault::version: ++version_; return true;
    case quota::wire_fault::undecodable: ++undecodable_; return true;
    case quota::wire_fault::none: break;
  }
  const quota::time_point at = clock();
  office_.receive(at, *d.m);
  apply(at);
  flush();
  return true;
}

void quota_client::measure(time_point now) {
  if (now - measured_ < measure_every) return;
  measured_ = now;
  const dispatcher::load load = desk_.in_hand();
  for (std::size_t i = 0; i < settings_.all.size(); ++i) {
    const budget_config& b = settings_.all[i];
    switch (b.unit) {
      case budget_unit::runs:
        uses_[i] = flights_[i].measure(now, load.running, load.waiting, counters_.refused);
        break;
      case budget_unit::requests: uses_[i] = rates_[i].measure(now); break;
      case budget_unit::calls: {
        const calls_user::calls c = calls_.use(*b.dependency);
        uses_[i] = flights_[i].measure(now, c.in_flight, c.waiting, c.turned_away);
        break;
      }
    }
  }
}

void quota_client::look_for_address(quota::time_point at) {
  if (office_.joined()) return;
  if (link_.joined())
    office_.join(at);
  else
    office_.answer_to(link_.own_address());
}

time_point quota_client::step(time_point now) {
  measure(now);
  const quota::time_point at = clock();
  look_for_address(at);
  const quota::time_point due =
      office_.step(at, uses_, [this](const std::string& m) { return link_.alive(m); });
  apply(at);
  flush();
  return now + std::clamp<duration>(due - at, std::chrono::milliseconds(1), measure_every);
}

// Shares that changed go to whoever acts on them. A whole number of runs or calls: two halves make no one
// run.
void quota_client::apply(quota::time_point at) {
  bool module_changed = false;
  marblewharf::quota_update given;
  given.next_quota_in = settings_.renew;
  for (std::size_t i = 0; i < settings_.all.size(); ++i) {
    const budget_config& b = settings_.all[i];
    const double share = office_.share(i, at);
    const double acted = b.unit == budget_unit::requests ? share : std::floor(share + 1e-6);
    if (b.unit == budget_unit::runs) given.max_concurrent_runs = acted;
    if (b.unit == budget_unit::requests) given.rates.push_back({b.tenant, b.request_class, acted});
    if (acted == told_[i]) continue;
    module_changed = module_changed || b.unit != budget_unit::calls;
    if (b.unit == budget_unit::calls) calls_.limit(*b.dependency, acted);
    told_[i] = acted;
    ++moved_[i];
    telemetry::log("share", "%s: %.6g of %.6g %s", b.name.c_str(), acted, b.whole, name_of(b.unit));
  }
  if (module_changed) desk_.on_quota_update(given);
  const std::vector<quota::change> changes = office_.take_changes();
  if (!settings_.audit) return;
  // For the auditor of tests, without the bound on lines: what is in force from now until when, by the
  // machine's own clock.
  const double rate = settings_.clock_rate;
  for (const quota::change& c : changes)
    telemetry::audit("share %zu %.9g from %.0f until %.0f", c.budget, c.share,
                     static_cast<double>(at.count()) / rate, static_cast<double>(c.until.count()) / rate);
}

void quota_client::flush() {
  for (const quota::envelope& e : office_.take_outbox()) link_.send(e.to, quota::encode(fleet_, e.m));
}

std::string quota_client::show_budgets() const {
  const quota::time_point at = clock();
  const auto left = std::max<std::int64_t>(0, (office_.until() - at) / std::chrono::milliseconds(1));
  std::ostringstream out;
  for (std::size_t i = 0; i < settings_.all.size(); ++i) {
    const budget_config& b = settings_.all[i];
    out << b.name << ' ' << name_of(b.unit) << ' ' << b.whole << ' ' << office_.share(i, at) << ' '
        << (b.unit == budget_unit::requests ? rates_[i].per_second() : uses_[i].in_force) << ' '
        << uses_[i].demand << ' ' << left << ' ' << office_.leader(at).value_or("none") << '\n';
  }
  return out.str();
}

std::string quota_client::show_figures() const {
  const quota::time_point at = clock();
  std::ostringstream out;
  for (std::size_t i = 0; i < settings_.all.size(); ++i) {
    const std::string name = "budget." + settings_.all[i].name;
    out << name << ".share=" << office_.share(i, at) << '\n' << name << ".moved=" << moved_[i] << '\n';
    if (const auto committed = office_.committed(i, at)) out << name << ".committed=" << *committed << '\n';
  }
  out << "budgets.leads=" << (office_.leads(at) ? 1 : 0) << "\nbudgets.term=" << office_.term()
      << "\nbudgets.mismatched=" << office_.mismatched() << "\nbudgets.foreign=" << foreign_
      << "\nbudgets.version=" << version_ << "\nbudgets.undecodable=" << undecodable_ << '\n';
  return out.str();
}

}  // namespace marblewharf::cluster
