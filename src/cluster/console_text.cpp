#include "cluster/console_text.hpp"

#include <algorithm>
#include <map>
#include <sstream>
#include <vector>

#include "cluster/member_addresses.hpp"

namespace marblewharf::cluster {

namespace {

const char* name_of(const failover::zone_decision& decision) {
  return decision.out ? "out" : "in";
}

std::size_t count_members(const cluster_view& view, membership::member_status status) {
  const auto& members = view.members().members();
  const auto matches = [status](const auto& entry) { return entry.second.status == status; };
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), matches));
}

std::size_t count_alive(const cluster_view& view, const fleet_zone& zone) {
  const auto is_alive = [&view](const endpoint& member) {
    const std::string address = address_of(member);
    return address == view.self().address || view.is_alive(address);
  };
  return static_cast<std::size_t>(std::count_if(zone.members.begin(), zone.members.end(), is_alive));
}

std::size_t count_in(const cluster_view& view, const std::vector<std::string>& zones) {
  const auto is_in = [&view](const std::string& zone) { return !view.zones().decision(zone).out; };
  return static_cast<std::size_t>(std::count_if(zones.begin(), zones.end(), is_in));
}

std::size_t count_out(const cluster_view& view) {
  const auto& zones = view.zones().zones();
  const auto is_out = [&view](const std::string& zone) { return view.zones().decision(zone).out; };
  return static_cast<std::size_t>(std::count_if(zones.begin(), zones.end(), is_out));
}

}  // namespace

const char* name_of(membership::member_status status) {
  switch (status) {
    case membership::member_status::alive: return "alive";
    case membership::member_status::suspect: return "suspect";
    case membership::member_status::dead: return "dead";
  }
  return "?";
}

std::string render_members(const cluster_view& view, bool is_member) {
  const membership::member_update& self = view.self();
  std::ostringstream out;
  out << self.address << ' ' << self.zone << ' ' << self.region << (is_member ? " self " : " waiting ")
      << self.incarnation << '\n';
  for (const auto& [address, member] : view.members().members()) {
    out << address << ' ' << member.zone << ' ' << member.region << ' ' << name_of(member.status) << ' '
        << member.incarnation << '\n';
  }
  return out.str();
}

std::string render_zones(const cluster_view& view, const fleet_config& settings) {
  std::ostringstream out;
  std::map<std::string, std::vector<std::string>> zones_by_region;
  for (const fleet_zone& zone : settings.zones) {
    const failover::zone_decision decision = view.zones().decision(zone.name);
    out << zone.name << ' ' << zone.region << ' ' << name_of(decision) << ' ' << decision.epoch << ' '
        << count_alive(view, zone) << '/' << zone.members.size() << '\n';
    zones_by_region[zone.region].push_back(zone.name);
  }
  for (const auto& [region, zones] : zones_by_region) {
    out << "region " << region << ' ' << (view.zones().is_region_out(zones) ? "out" : "in") << ' '
        << count_in(view, zones) << '/' << zones.size() << '\n';
  }
  return out.str();
}

std::string render_statistics(const cluster_view& view, const cluster_counters& counters, bool is_member) {
  using membership::member_status;
  std::ostringstream out;
  const auto line = [&out](const char* name, auto value) { out << "fleet." << name << '=' << value << '\n'; };
  line("joined", is_member ? 1 : 0);
  line("members_alive", count_members(view, member_status::alive));
  line("members_suspect", count_members(view, member_status::suspect));
  line("members_dead", count_members(view, member_status::dead));
  line("zones_out", count_out(view));
  line("declared_out", counters.zones_decided_out);
  line("declared_back", counters.zones_decided_in);
  line("local_health", view.members().local_health());
  line("sent", counters.sent);
  line("received", counters.received);
  line("unsent", counters.unsent);
  line("foreign", counters.other_cluster);
  line("version", counters.version);
  line("undecodable", counters.undecodable);
  line("votes_refused", view.zones().rejected_votes());
  return out.str();
}

}  // namespace marblewharf::cluster
