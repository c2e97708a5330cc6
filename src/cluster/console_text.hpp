// The replies about the cluster on the operators' console. Their format is fixed, because operators' scripts
// parse it.
//
// Stateless and without I/O; may be called from any thread.
#pragma once

#include <cstdint>
#include <string>

#include "cluster/cluster_view.hpp"
#include "config/config.hpp"

namespace marblewharf::cluster {

// Counts since the start of the process.
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

// One line per member, "ADDRESS ZONE REGION STATE INCARNATION". This member is the first, with the state
// `self`, or `waiting` while this process is not the member.
std::string render_members(const cluster_view& view, bool is_member);

// One line per zone, "ZONE REGION in|out EPOCH ALIVE/CONFIGURED", followed by one line per region, "region
// REGION in|out IN/ZONES". A region is out if all its zones are out.
std::string render_zones(const cluster_view& view, const fleet_config& settings);

// One line `fleet.NAME=VALUE` per statistic.
std::string render_statistics(const cluster_view& view, const cluster_counters& counters, bool is_member);

}  // namespace marblewharf::cluster
