// Encoding of membership messages as datagrams, in msgpack: one array of cluster name, wire version and the
// message.
//
// Free of I/O and state; any thread. A message is decoded whole or not at all; a datagram of another cluster
// or another version is told apart from one that cannot be decoded, so that each is counted on its own.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "membership/message.hpp"

namespace marblewharf::membership {

inline constexpr std::uint32_t wire_version = 2;
// Below the usual path MTU, so that no datagram is fragmented.
inline constexpr std::size_t max_datagram_bytes = 1400;

enum class wire_fault {
  none,
  other_cluster,  // of a cluster with another name
  version,        // of another wire version
  undecodable,
};

struct decoded {
  std::optional<message> content;  // set exactly where fault is none
  wire_fault fault = wire_fault::none;
};

// Votes or gossip, whichever is longer, is cut from its end until the datagram fits into max_datagram_bytes;
// the rest always fits where addresses, zones and regions have less than 256 bytes each.
std::string encode(const std::string& cluster_name, const message& content);
decoded decode(const std::string& cluster_name, std::string_view datagram);

}  // namespace marblewharf::membership
