// What the operators' console shows of the cluster. The texts are fixed: operators' scripts read them.
//
// Free of I/O and state; any thread.
#pragma once

#include <cstdint>
#include <string>

#include "cluster/cluster_view.hpp"
#include "config/config.hpp"

namespace marblewharf::cluster {

// Since the start of the process.
struct cluster_counters {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t unsent = 0;
  std::uint64_t other_cluster = 0;
  std::uint64_t version = 0;
  std::uint64_t undecodable = 0;
  std::uint64_t zones_decided_out = 0;
  std::uint64_t zones_decided_in = 0;
};

const char* name_of(membership::member_status status);

// One line a member, "ADDRESS ZONE REGION STATE INCARNATION", this one first, with the state self, or waiting
// where it is not the member yet.
std::string render_members(const cluster_view& view, bool is_member);

// One line a zone, "ZONE REGION in|out EPOCH ALIVE/CONFIGURED", then one a region, "region REGION in|out
// IN/ZONES": a region is out when all its zones are.
std::string render_zones(const cluster_view& view, const fleet_config& settings);

// Lines of `fleet.NAME=VALUE`.
std::string render_statistics(const cluster_view& view, const cluster_counters& counters, bool is_member);

}  // namespace marblewharf::cluster
