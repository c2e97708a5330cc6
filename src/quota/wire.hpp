// Encoding of quota messages as datagrams, in msgpack. They share the socket with membership, whose messages
// begin with the same three elements (fleet, version, kind), so that each side recognises the other's.
//
// Free of I/O and state; any thread. A message is decoded whole or not at all.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "quota/message.hpp"

namespace marblewharf::quota {

inline constexpr std::uint32_t wire_version = 2;
// As many entries fit into a datagram that is not fragmented.
inline constexpr std::size_t max_quotas_per_message = 32;

enum class wire_fault {
  none,
  other_kind,     // no quota message: membership's, or not readable at all
  other_cluster,  // of a cluster with another name
  version,        // of another wire version
  undecodable,    // a quota message with a shape or values that none may have
};

struct decoded {
  std::optional<message> content;  // set exactly where fault is none
  wire_fault fault = wire_fault::none;
};

std::string encode(const std::string& cluster_name, const message& content);
decoded decode(const std::string& cluster_name, std::string_view datagram);

}  // namespace marblewharf::quota
