// The members of a cluster as the operator's file names them, as the text by which they are known
// ("host:port").
//
// Free of I/O and state; any thread.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/config.hpp"

namespace marblewharf::cluster {

std::string address_of(const endpoint& member);

std::set<std::string> configured_members(const fleet_config& settings);

// Each configured member's zone, by the member's address.
std::map<std::string, std::string> zones_by_member(const fleet_config& settings);

std::vector<std::string> seed_addresses(const fleet_config& settings);

}  // namespace marblewharf::cluster
