#include "cluster/agent.hpp"

#include <algorithm>

#include "cluster/member_addresses.hpp"
#include "membership/wire.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::cluster {

namespace {

// Returns the Unix time in ms, which is higher than the incarnations of earlier processes of this member.
std::uint64_t new_incarnation() {
  return static_cast<std::uint64_t>(net::unix_ms());
}

unsigned long long printable(std::uint64_t value) {
  return value;
}

}  // namespace

agent::agent(net::reactor& reactor, const fleet_config& settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      view_(settings, new_incarnation(), net::steady_now()),
      transport_(reactor, settings, *this),
      next_round_(net::steady_now() + settings.probe_interval) {
  if (transport_.bind_member_address()) {
    on_member_address_bound();
    return;
  }
  transport_.bind_own_port();
  telemetry::log("fleet", "%s is bound by another process; this process joins after the address is released",
                 address_of(settings_.listen).c_str());
}

void agent::on_member_address_bound() {
  is_member_ = true;
  const membership::member_update& self = view_.self();
  telemetry::log("fleet", "joined as %s in zone %s of fleet %s, incarnation %llu", self.address.c_str(),
                 self.zone.c_str(), settings_.name.c_str(), printable(self.incarnation));
}

bool agent::try_to_become_member(time_point now) {
  if (!transport_.bind_member_address()) return false;
  telemetry::log("fleet", "%s was released by the other process and is now bound by this process",
                 address_of(settings_.listen).c_str());
  view_.restart(new_incarnation(), now);
  ++changes_;
  on_member_address_bound();
  return true;
}

time_point agent::step(time_point now) {
  if (!is_member_) {
    if (now < next_round_) return next_round_;
    next_round_ = now + settings_.probe_interval;
    if (!try_to_become_member(now)) return next_round_;
  }
  const time_point due = view_.step(now, random_);
  if (now >= next_round_) {
    next_round_ = now + settings_.probe_interval;
    view_.observe_zones(now);
  }
  log_changes();
  send_messages();
  return std::min(due, next_round_);
}

void agent::on_datagram(time_point now, std::string_view datagram) {
  if (filter_ && filter_(datagram)) return;
  if (!is_member_) return;
  const membership::decoded decoded = membership::decode(settings_.name, datagram);
  switch (decoded.fault) {
    case membership::wire_fault::other_cluster: ++counters_.other_cluster; return;
    case membership::wire_fault::version: ++counters_.version; return;
    case membership::wire_fault::undecodable: ++counters_.undecodable; return;
    case membership::wire_fault::none: break;
  }
  ++counters_.received;
  view_.receive(now, *decoded.content);
}

void agent::on_batch_end() {
  log_changes();
  send_messages();
}

void agent::send_messages() {
  for (const membership::envelope& outgoing : view_.take_outbox())
    transport_.send(outgoing.recipient, membership::encode(settings_.name, outgoing.content));
}

bool agent::is_routable(const std::string& place) const {
  return !is_member_ || view_.is_routable(place);
}

void agent::log_changes() {
  for (const membership::member_update& change : view_.take_member_changes()) {
    ++changes_;
    log_member_change(change);
  }
  for (const zone_change& change : view_.take_zone_changes()) {
    ++changes_;
    log_zone_change(change);
  }
}

void agent::log_member_change(const membership::member_update& change) const {
  telemetry::log("fleet", "member %s of zone %s is %s, incarnation %llu", change.address.c_str(),
                 change.zone.c_str(), name_of(change.status), printable(change.incarnation));
}

// Uses a separate log event, because the lines about the members of a failed zone exhaust the rate limit of
// the event "fleet" at the time of the decision.
void agent::log_zone_change(const zone_change& change) {
  const bool out = change.decision.out;
  ++(out ? counters_.zones_decided_out : counters_.zones_decided_in);
  telemetry::log("failover", "zone %s decided %s by majority vote, epoch %llu", change.zone.c_str(),
                 out ? "out" : "in", printable(change.decision.epoch));
}

std::string agent::show_statistics() const {
  cluster_counters counters = counters_;
  counters.sent = transport_.sent();
  counters.unsent = transport_.unsent();
  return render_statistics(view_, counters, is_member_);
}

}  // namespace marblewharf::cluster
