// Encoding of membership messages as msgpack datagrams: an array of the cluster name, the wire version and
// the fields of the message.
//
// Stateless and without I/O; may be called from any thread. A message is decoded completely or rejected.
// Datagrams of another cluster, datagrams of another version and undecodable datagrams are reported as
// different faults, so that they can be counted separately.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "membership/message.hpp"

namespace marblewharf::membership {

inline constexpr std::uint32_t wire_version = 2;
// Less than the usual path MTU, so that datagrams are not fragmented.
inline constexpr std::size_t max_datagram_bytes = 1400;

enum class wire_fault {
  none,
  other_cluster,  // sent by a cluster with a different name
  version,        // uses a different wire version
  undecodable,
};

struct decoded {
  std::optional<message> content;  // set if and only if fault is none
  wire_fault fault = wire_fault::none;
};

// If the datagram exceeds max_datagram_bytes, entries are removed from the end of the longer of the votes and
// gossip lists until it fits. Without votes and gossip, a message always fits if addresses, zones and regions
// are shorter than 256 bytes each.
std::string encode(const std::string& cluster_name, const message& content);
decoded decode(const std::string& cluster_name, std::string_view datagram);

}  // namespace marblewharf::membership
