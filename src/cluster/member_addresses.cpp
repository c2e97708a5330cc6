#include "cluster/member_addresses.hpp"

namespace marblewharf::cluster {

std::string address_of(const endpoint& member) {
  return member.host + ":" + std::to_string(member.port);
}

std::set<std::string> configured_members(const fleet_config& settings) {
  std::set<std::string> members;
  for (const fleet_zone& zone : settings.zones)
    for (const endpoint& member : zone.members) members.insert(address_of(member));
  return members;
}

std::map<std::string, std::string> zones_by_member(const fleet_config& settings) {
  std::map<std::string, std::string> zones;
  for (const fleet_zone& zone : settings.zones)
    for (const endpoint& member : zone.members) zones[address_of(member)] = zone.name;
  return zones;
}

std::vector<std::string> seed_addresses(const fleet_config& settings) {
  std::vector<std::string> addresses;
  for (const endpoint& seed : settings.seeds) addresses.push_back(address_of(seed));
  return addresses;
}

}  // namespace marblewharf::cluster
