#include "cluster/quota_client.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <sstream>

#include "cluster/member_addresses.hpp"
#include "quota/wire.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::cluster {

namespace {

constexpr duration measure_interval = std::chrono::milliseconds(50);
constexpr duration min_step_interval = std::chrono::milliseconds(1);

// Rounding errors can make a sum of fractions slightly smaller than the exact whole number.
constexpr double rounding_tolerance = 1e-6;

constexpr double never_applied = -1;

std::vector<quota::quota_definition> quotas_of(const budgets_config& settings) {
  std::vector<quota::quota_definition> quotas;
  for (const budget_config& budget : settings.budgets) {
    quota::quota_definition quota;
    quota.name = budget.name;
    quota.global_limit = budget.limit;
    quota.guaranteed_share = budget.guaranteed_share;
    quota.weight = budget.weight;
    quota.limits_in_flight = budget.unit != budget_unit::requests;
    quota.settling_time = budget.settle_time;
    quotas.push_back(std::move(quota));
  }
  return quotas;
}

quota::quota_coordinator_options options_of(const budgets_config& settings) {
  quota::quota_coordinator_options options;
  options.lease = {settings.lease_duration, settings.max_clock_drift};
  options.renew_interval = settings.renew_interval;
  options.joining_reserve = settings.join_reserve;
  return options;
}

const char* name_of(budget_unit unit) {
  switch (unit) {
    case budget_unit::runs: return "runs";
    case budget_unit::requests: return "requests";
    case budget_unit::calls: return "calls";
  }
  return "?";
}

bool counts_towards(const request& arrived, const budget_config& rate) {
  if (rate.unit != budget_unit::requests || rate.tenant != arrived.tenant) return false;
  return rate.request_class < 0 || rate.request_class == static_cast<int>(arrived.request_class);
}

// The enforceable part of a share: a rate is unchanged; a number of runs or calls is rounded down.
double enforceable(double share, budget_unit unit) {
  return unit == budget_unit::requests ? share : std::floor(share + rounding_tolerance);
}

}  // namespace

quota_client::quota_client(agent& cluster_agent, const config& settings, dispatcher& requests,
                           telemetry::counters& counters, upstream_call_limiter calls)
    : agent_(cluster_agent),
      settings_(*settings.budgets),
      cluster_name_(settings.fleet->name),
      requests_(requests),
      counters_(counters),
      calls_(std::move(calls)),
      coordinator_(options_of(settings_), quotas_of(settings_), configured_members(*settings.fleet),
                   address_of(settings.fleet->advertise), static_cast<std::uint64_t>(net::unix_ms()),
                   lease_clock()),
      usage_(settings_.budgets.size()),
      rate_demand_(settings_.budgets.size()),
      in_flight_demand_(settings_.budgets.size()),
      applied_shares_(settings_.budgets.size(), never_applied),
      share_changes_(settings_.budgets.size()) {
  agent_.set_datagram_filter([this](std::string_view datagram) { return on_datagram(datagram); });
  requests_.set_arrival_observer([this](const request& arrived) { count_arrival(arrived); });
  update_membership(lease_clock());
  apply_shares(lease_clock());  // so that the shares apply from the first request on
}

// Uses CLOCK_BOOTTIME, which also advances while the machine is suspended; otherwise a lease would outlive
// its length. Tests simulate a fast or slow clock by `clock_rate`.
quota::time_point quota_client::lease_clock() const {
  timespec since_boot{};
  ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
  const quota::time_point now =
      std::chrono::seconds(since_boot.tv_sec) + std::chrono::nanoseconds(since_boot.tv_nsec);
  if (settings_.clock_rate == 1) return now;
  const double scaled = static_cast<double>(now.count()) * settings_.clock_rate;
  return quota::time_point(static_cast<std::int64_t>(scaled));
}

// Returns whether the datagram is a quota message.
bool quota_client::on_datagram(std::string_view datagram) {
  const quota::decoded decoded = quota::decode(cluster_name_, datagram);
  switch (decoded.fault) {
    case quota::wire_fault::other_kind: return false;
    case quota::wire_fault::other_cluster: ++rejected_datagrams_.other_cluster; return true;
    case quota::wire_fault::version: ++rejected_datagrams_.version; return true;
    case quota::wire_fault::undecodable: ++rejected_datagrams_.undecodable; return true;
    case quota::wire_fault::none: break;
  }
  const quota::time_point lease_now = lease_clock();
  coordinator_.receive(lease_now, *decoded.content);
  apply_shares(lease_now);
  send_messages();
  return true;
}

void quota_client::count_arrival(const request& arrived) {
  for (std::size_t i = 0; i < settings_.budgets.size(); ++i)
    if (counts_towards(arrived, settings_.budgets[i])) rate_demand_[i].count_arrival();
}

quota::quota_usage quota_client::measure_calls(std::size_t index, std::size_t dependency, time_point now) {
  const upstream_call_limiter::calls calls = calls_.current_calls(dependency);
  return in_flight_demand_[index].measure(now, calls.in_flight, calls.waiting, calls.rejected);
}

void quota_client::measure_usage(time_point now) {
  if (now - last_measured_ < measure_interval) return;
  last_measured_ = now;
  const dispatcher::load load = requests_.current_load();
  for (std::size_t i = 0; i < settings_.budgets.size(); ++i) {
    const budget_config& quota = settings_.budgets[i];
    switch (quota.unit) {
      case budget_unit::runs:
        usage_[i] = in_flight_demand_[i].measure(now, load.running, load.waiting, counters_.rejected);
        break;
      case budget_unit::requests: usage_[i] = rate_demand_[i].measure(now); break;
      case budget_unit::calls: usage_[i] = measure_calls(i, *quota.dependency, now); break;
    }
  }
}

void quota_client::update_membership(quota::time_point lease_now) {
  if (coordinator_.is_member()) return;
  if (agent_.is_member()) {
    coordinator_.become_member(lease_now);
  } else {
    coordinator_.set_reply_address(agent_.reachable_address());
  }
}

time_point quota_client::step(time_point now) {
  measure_usage(now);
  const quota::time_point lease_now = lease_clock();
  update_membership(lease_now);
  const auto is_alive = [this](const std::string& member) { return agent_.is_alive(member); };
  const quota::time_point due = coordinator_.step(lease_now, usage_, is_alive);
  apply_shares(lease_now);
  send_messages();
  return now + std::clamp<duration>(due - lease_now, min_step_interval, measure_interval);
}

void quota_client::apply_shares(quota::time_point lease_now) {
  bool policy_changed = false;
  marblewharf::quota_update update;
  update.next_quota_in = settings_.renew_interval;
  for (std::size_t i = 0; i < settings_.budgets.size(); ++i) {
    const budget_config& quota = settings_.budgets[i];
    const double share = enforceable(coordinator_.share(i, lease_now), quota.unit);
    if (quota.unit == budget_unit::runs) update.max_concurrent_runs = share;
    if (quota.unit == budget_unit::requests)
      update.rates.push_back({quota.tenant, quota.request_class, share});
    if (share == applied_shares_[i]) continue;
    if (quota.unit == budget_unit::calls) {
      calls_.set_limit(*quota.dependency, share);
    } else {
      policy_changed = true;
    }
    applied_shares_[i] = share;
    ++share_changes_[i];
    telemetry::log("share", "%s: %.6g of %.6g %s", quota.name.c_str(), share, quota.limit,
                   name_of(quota.unit));
  }
  if (policy_changed) requests_.on_quota_update(update);
  log_audited_changes(lease_now);
}

// For the audit in tests, without the rate limit of log lines: each share with the start and end of its
// validity, in the unscaled clock of the machine.
void quota_client::log_audited_changes(quota::time_point lease_now) {
  const std::vector<quota::share_change> changes = coordinator_.take_changes();
  if (!settings_.audit) return;
  const double rate = settings_.clock_rate;
  for (const quota::share_change& change : changes) {
    const double from_ns = static_cast<double>(lease_now.count()) / rate;
    const double until_ns = static_cast<double>(change.lease_expiry.count()) / rate;
    telemetry::audit("share %zu %.9g from %.0f until %.0f", change.quota_index, change.share, from_ns,
                     until_ns);
  }
}

void quota_client::send_messages() {
  for (const quota::envelope& outgoing : coordinator_.take_outbox())
    agent_.send(outgoing.recipient, quota::encode(cluster_name_, outgoing.content));
}

std::string quota_client::show_quotas() const {
  const quota::time_point lease_now = lease_clock();
  const duration lease_left = coordinator_.lease_expiry() - lease_now;
  const auto lease_left_ms = std::max<std::int64_t>(0, lease_left / std::chrono::milliseconds(1));
  const std::string leader = coordinator_.leader(lease_now).value_or("none");
  std::ostringstream out;
  for (std::size_t i = 0; i < settings_.budgets.size(); ++i) {
    const budget_config& quota = settings_.budgets[i];
    const bool is_rate = quota.unit == budget_unit::requests;
    const double in_use = is_rate ? rate_demand_[i].per_second() : usage_[i].in_flight;
    out << quota.name << ' ' << name_of(quota.unit) << ' ' << quota.limit << ' '
        << coordinator_.share(i, lease_now) << ' ' << in_use << ' ' << usage_[i].demand << ' '
        << lease_left_ms << ' ' << leader << '\n';
  }
  return out.str();
}

std::string quota_client::show_statistics() const {
  const quota::time_point lease_now = lease_clock();
  std::ostringstream out;
  for (std::size_t i = 0; i < settings_.budgets.size(); ++i) {
    const std::string prefix = "budget." + settings_.budgets[i].name;
    out << prefix << ".share=" << coordinator_.share(i, lease_now) << '\n';
    out << prefix << ".moved=" << share_changes_[i] << '\n';
    if (const auto committed = coordinator_.committed(i, lease_now))
      out << prefix << ".committed=" << *committed << '\n';
  }
  out << "budgets.leads=" << (coordinator_.is_leader(lease_now) ? 1 : 0) << '\n';
  out << "budgets.term=" << coordinator_.term() << '\n';
  out << "budgets.mismatched=" << coordinator_.mismatched_requests() << '\n';
  out << "budgets.foreign=" << rejected_datagrams_.other_cluster << '\n';
  out << "budgets.version=" << rejected_datagrams_.version << '\n';
  out << "budgets.undecodable=" << rejected_datagrams_.undecodable << '\n';
  return out.str();
}

}  // namespace marblewharf::cluster
