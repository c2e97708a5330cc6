// The addresses ("host:port") that identify the members of a cluster, derived from the operator's file.
//
// Stateless and without I/O; may be called from any thread.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/config.hpp"

namespace marblewharf::cluster {

std::string address_of(const endpoint& member);

std::set<std::string> configured_members(const fleet_config& settings);

// The zone of each configured member, by the member's address.
std::map<std::string, std::string> zones_by_member(const fleet_config& settings);

std::vector<std::string> seed_addresses(const fleet_config& settings);

}  // namespace marblewharf::cluster
