#include "cluster/agent.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>

#include <algorithm>
#include <cerrno>
#include <sstream>
#include <stdexcept>

#include "cluster/member_addresses.hpp"
#include "failover/routes.hpp"
#include "membership/wire.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::cluster {

namespace {

const char* name_of(membership::health h) {
  switch (h) {
    case membership::health::alive: return "alive";
    case membership::health::suspect: return "suspect";
    case membership::health::dead: return "dead";
  }
  return "?";
}

failover::member_is is_of(membership::health h) {
  switch (h) {
    case membership::health::alive: return failover::member_is::alive;
    case membership::health::suspect: return failover::member_is::suspect;
    case membership::health::dead: return failover::member_is::dead;
  }
  return failover::member_is::unheard;
}

membership::ballot ballot_of(const failover::vote& v) {
  return {v.voter, v.zone, v.epoch, v.out, v.round};
}

// A zone is no zone gone while this node itself had an answer from it within this many probe intervals,
// whatever others say of its members.
constexpr int contact_window = 5;

membership::options options_of(const fleet_config& f) {
  membership::options o;
  o.probe_interval = f.probe_interval;
  o.probe_timeout = f.probe_timeout;
  o.indirect_probes = f.indirect_probes;
  o.suspicion_min_rounds = f.suspicion_min_rounds;
  o.suspicion_max_factor = f.suspicion_max_factor;
  o.suspicion_confirmations = f.suspicion_confirmations;
  o.retransmit_mult = f.retransmits;
  o.gossip_per_message = f.gossip_per_message;
  o.refresh_per_message = f.refresh_per_message;
  o.health_max = f.health_most;
  o.reconnect_every = f.reconnect_every;
  return o;
}

membership::swim fresh_swim(const fleet_config& f) {
  return {options_of(f),
          membership::claim{address_of(f.advertise), f.zone, f.region_of(f.zone),
                            static_cast<std::uint64_t>(net::unix_ms()), membership::health::alive},
          seed_addresses(f), net::steady_now()};
}

failover::zone_view fresh_view(const fleet_config& f, std::uint64_t incarnation) {
  return {zones_by_member(f),
          address_of(f.advertise),
          {.hold_down = f.hold_down, .vote_lease = f.vote_lease},
          incarnation};
}

}  // namespace

agent::agent(net::reactor& r, const fleet_config& f, std::uint64_t seed)
    : reactor_(r),
      settings_(f),
      random_(seed),
      swim_(fresh_swim(f)),
      view_(fresh_view(f, swim_.self().incarnation)),
      zone_of_(zones_by_member(f)),
      started_(net::steady_now()),
      next_look_(started_ + f.probe_interval) {
  if (join(started_)) return;
  // Not yet the member: shares of budgets are asked for from a port of its own.
  Poco::Net::DatagramSocket own(Poco::Net::SocketAddress::IPv4);
  bind(own, 0);
  listen_on(own);
  telemetry::log("fleet", "%s is held by another process: this one joins once it lets go",
                 address_of(f.listen).c_str());
}

agent::~agent() {
  reactor_.removeEventHandler(
      socket_, Poco::NObserver<agent, Poco::Net::ReadableNotification>(*this, &agent::on_readable));
}

// False: another process holds the address. Never shared: of two sockets with SO_REUSEADDR on one UDP address
// the later gets all datagrams, and the earlier would hold everybody dead.
bool agent::bind(Poco::Net::DatagramSocket& s, std::uint16_t port) const {
  try {
    s.bind(Poco::Net::SocketAddress(settings_.listen.host, port), false, false);
    s.setBlocking(false);
    return true;
  } catch (const Poco::Exception& e) {
    if (e.code() == EADDRINUSE) return false;
    throw std::runtime_error("fleet: " + address_of(settings_.listen) + ": " + e.displayText());
  }
}

void agent::listen_on(const Poco::Net::DatagramSocket& s) {
  socket_ = s;
  reactor_.addEventHandler(
      socket_, Poco::NObserver<agent, Poco::Net::ReadableNotification>(*this, &agent::on_readable));
}

bool agent::join(time_point now) {
  Poco::Net::DatagramSocket members_own(Poco::Net::SocketAddress::IPv4);
  if (!bind(members_own, settings_.listen.port)) return false;
  if (now > started_) {  // it has waited on a port of its own
    reactor_.removeEventHandler(
        socket_, Poco::NObserver<agent, Poco::Net::ReadableNotification>(*this, &agent::on_readable));
    telemetry::log("fleet", "%s is this process's now", address_of(settings_.listen).c_str());
    // An incarnation above all that the process before it had, and a grace that begins now.
    swim_ = fresh_swim(settings_);
    view_ = fresh_view(settings_, swim_.self().incarnation);
    started_ = now;
    ++changes_;
  }
  listen_on(members_own);
  joined_ = true;
  telemetry::log("fleet", "%s in zone %s of fleet %s, incarnation %llu",
                 address_of(settings_.advertise).c_str(), settings_.zone.c_str(), settings_.name.c_str(),
                 static_cast<unsigned long long>(swim_.self().incarnation));
  return true;
}

std::string agent::own_address() const {
  const std::string& host =
      settings_.listen.host == "0.0.0.0" ? settings_.advertise.host : settings_.listen.host;
  return host + ":" + std::to_string(socket_.address().port());
}

void agent::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  char datagram[membership::datagram_most + 1];
  const time_point now = net::steady_now();
  // A bounded number a round: a flood of datagrams must not keep the clients' sockets waiting.
  for (int i = 0; i < 64; ++i) {
    int n = 0;
    try {
      if (socket_.available() <= 0) break;
      Poco::Net::SocketAddress from;
      n = socket_.receiveFrom(datagram, sizeof datagram, from);
    } catch (const Poco::Exception&) {
      break;
    }
    if (n <= 0) break;
    const std::string_view bytes(datagram, static_cast<std::size_t>(n));
    if (other_ && other_(bytes)) continue;
    if (!joined_) continue;
    const membership::decoded d = membership::decode(settings_.name, bytes);
    switch (d.fault) {
      case membership::wire_fault::foreign: ++figures_.foreign; continue;
      case membership::wire_fault::version: ++figures_.version; continue;
      case membership::wire_fault::undecodable: ++figures_.undecodable; continue;
      case membership::wire_fault::none: break;
    }
    ++figures_.received;
    swim_.receive(now, *d.m);
    for (const membership::ballot& b : d.m->ballots)
      view_.hear(now, {b.voter, b.zone, b.epoch, b.out, b.round});
  }
  log_changes();
  flush();
  reactor_.wake();
}

time_point agent::step(time_point now) {
  if (!joined_) {
    if (now < next_look_) return next_look_;
    next_look_ = now + settings_.probe_interval;
    if (!join(now)) return next_look_;
  }
  time_point due = swim_.step(now, random_);
  if (now >= next_look_) {
    next_look_ = now + settings_.probe_interval;
    // The ballots ride on whatever goes out next; each message gets them all (they are few: one a zone).
    ballots_.clear();
    for (const fleet_zone& z : settings_.zones)
      if (const auto v = view_.observe(now, z.name, sight_of(z, now))) ballots_.push_back(ballot_of(*v));
  }
  log_changes();
  flush();
  return std::min(due, next_look_);
}

failover::sight agent::sight_of(const fleet_zone& z, time_point now) const {
  std::vector<failover::member_sight> members;
  for (const endpoint& m : z.members) {
    const std::string address = address_of(m);
    const auto found = swim_.members().find(address);
    const auto contact = swim_.contact(address);
    const auto miss = swim_.miss(address);
    failover::member_sight seen;
    if (contact) seen.since_contact = now - *contact;
    if (miss) seen.since_miss = now - *miss;
    if (found != swim_.members().end()) seen.is = is_of(found->second.state);
    members.push_back(seen);
  }
  return failover::sight_of(members, {.since_start = now - started_,
                                      .start_grace = settings_.start_grace,
                                      .contact_window = contact_window * settings_.probe_interval});
}

bool agent::routable(const std::string& place) const {
  if (!joined_) return true;
  const auto zone = zone_of_.find(place);
  if (zone == zone_of_.end()) return failover::zone_routable(view_.of(place), place == settings_.zone);
  if (place == swim_.self().address) return true;
  const auto found = swim_.members().find(place);
  return found != swim_.members().end() && found->second.state == membership::health::alive &&
         failover::zone_routable(view_.of(zone->second), zone->second == settings_.zone);
}

void agent::flush() {
  for (membership::envelope& e : swim_.take_outbox()) {
    e.m.ballots = ballots_;
    for (const failover::vote& v : view_.take_news(settings_.votes_per_message))
      e.m.ballots.push_back(ballot_of(v));
    send(e.to, membership::encode(settings_.name, e.m));
  }
}

void agent::send(const std::string& to, const std::string& bytes) {
  const std::size_t colon = to.rfind(':');
  try {
    const Poco::Net::SocketAddress at(to.substr(0, colon),
                                      static_cast<Poco::UInt16>(std::stoi(to.substr(colon + 1))));
    if (socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()), at) > 0) {
      ++figures_.sent;
      return;
    }
  } catch (const std::exception&) {  // Poco's and stoi's: a full buffer, an address that is none
  }
  ++figures_.unsent;
}

bool agent::alive(const std::string& address) const {
  const auto found = swim_.members().find(address);
  return found != swim_.members().end() && found->second.state == membership::health::alive;
}

void agent::log_changes() {
  const std::vector<membership::claim> heard = swim_.take_changes();
  changes_ += heard.size();
  for (const membership::claim& c : heard)
    telemetry::log("fleet", "member %s of zone %s is %s, incarnation %llu", c.address.c_str(), c.zone.c_str(),
                   name_of(c.state), static_cast<unsigned long long>(c.incarnation));
  for (const std::string& zone : view_.zones()) {
    const failover::verdict v = view_.of(zone);
    if (logged_[zone].epoch == v.epoch) continue;
    logged_[zone] = v;
    ++changes_;
    ++(v.out ? figures_.declared_out : figures_.declared_back);
    // A word of its own: the lines on a lost zone's members use up theirs just when a verdict falls.
    telemetry::log("failover", "zone %s declared %s in common, epoch %llu", zone.c_str(),
                   v.out ? "out" : "back", static_cast<unsigned long long>(v.epoch));
  }
}

std::string agent::show_members() const {
  std::ostringstream out;
  const membership::claim& self = swim_.self();
  out << self.address << ' ' << self.zone << ' ' << self.region << (joined_ ? " self " : " waiting ")
      << self.incarnation << '\n';
  for (const auto& [address, c] : swim_.members())
    out << address << ' ' << c.zone << ' ' << c.region << ' ' << name_of(c.state) << ' ' << c.incarnation
        << '\n';
  return out.str();
}

std::string agent::show_zones() const {
  std::ostringstream out;
  std::map<std::string, std::vector<std::string>> by_region;
  for (const fleet_zone& z : settings_.zones) {
    std::size_t alive = 0;
    for (const endpoint& m : z.members) {
      const auto found = swim_.members().find(address_of(m));
      if (address_of(m) == swim_.self().address ||
          (found != swim_.members().end() && found->second.state == membership::health::alive))
        ++alive;
    }
    const failover::verdict v = view_.of(z.name);
    out << z.name << ' ' << z.region << ' ' << (v.out ? "out" : "in") << ' ' << v.epoch << ' ' << alive << '/'
        << z.members.size() << '\n';
    by_region[z.region].push_back(z.name);
  }
  for (const auto& [region, zones] : by_region) {
    const auto in =
        std::count_if(zones.begin(), zones.end(), [this](const std::string& z) { return !view_.of(z).out; });
    out << "region " << region << ' ' << (view_.region_out(zones) ? "out" : "in") << ' ' << in << '/'
        << zones.size() << '\n';
  }
  return out.str();
}

std::string agent::show_figures() const {
  std::ostringstream out;
  std::size_t alive = 0, suspect = 0, dead = 0;
  for (const auto& [address, c] : swim_.members()) {
    if (c.state == membership::health::alive) ++alive;
    if (c.state == membership::health::suspect) ++suspect;
    if (c.state == membership::health::dead) ++dead;
  }
  std::size_t out_zones = 0;
  for (const std::string& z : view_.zones()) out_zones += view_.of(z).out ? 1 : 0;
  out << "fleet.joined=" << (joined_ ? 1 : 0) << "\nfleet.members_alive=" << alive
      << "\nfleet.members_suspect=" << suspect << "\nfleet.members_dead=" << dead
      << "\nfleet.zones_out=" << out_zones << "\nfleet.declared_out=" << figures_.declared_out
      << "\nfleet.declared_back=" << figures_.declared_back << "\nfleet.local_health=" << swim_.local_health()
      << "\nfleet.sent=" << figures_.sent << "\nfleet.received=" << figures_.received
      << "\nfleet.unsent=" << figures_.unsent << "\nfleet.foreign=" << figures_.foreign
      << "\nfleet.version=" << figures_.version << "\nfleet.undecodable=" << figures_.undecodable
      << "\nfleet.votes_refused=" << view_.refused() << '\n';
  return out.str();
}

}  // namespace marblewharf::cluster
