// Encoding of quota messages as msgpack datagrams. The membership protocol uses the same socket; the messages
// of both protocols start with the same three elements (cluster name, version, kind), so that each decoder
// recognises the messages of the other protocol.
//
// Stateless and without I/O; may be called from any thread. A message is decoded completely or rejected.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "quota/message.hpp"

namespace marblewharf::quota {

inline constexpr std::uint32_t wire_version = 2;
// The number of entries that fit into an unfragmented datagram.
inline constexpr std::size_t max_quotas_per_message = 32;

enum class wire_fault {
  none,
  other_kind,     // not a quota message: a membership message, or not decodable as msgpack
  other_cluster,  // sent by a cluster with a different name
  version,        // uses a different wire version
  undecodable,    // a quota message whose structure or values are invalid
};

struct decoded {
  std::optional<message> content;  // set if and only if fault is none
  wire_fault fault = wire_fault::none;
};

std::string encode(const std::string& cluster_name, const message& content);
decoded decode(const std::string& cluster_name, std::string_view datagram);

}  // namespace marblewharf::quota
