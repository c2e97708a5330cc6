// Membership messages as datagrams, in msgpack (msgpack-cxx): one array of fleet name, version and the
// message.
//
// Free of I/O; any thread. A datagram of another fleet or another version is told apart from one that cannot
// be read, so that each is counted on its own; none of them is ever half taken.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "membership/swim.hpp"

namespace marblewharf::membership {

inline constexpr std::uint32_t wire_version = 2;  // 1 had neither who suspects nor the rounds of ballots
// The most one datagram carries: under the usual path MTU, so no datagram is fragmented.
inline constexpr std::size_t datagram_most = 1400;

enum class wire_fault { none, foreign, version, undecodable };

struct decoded {
  std::optional<message> m;  // set exactly where fault is none
  wire_fault fault = wire_fault::none;
};

// Of ballots and gossip the longer is cut from its end until the datagram fits in datagram_most; the rest
// always fits where addresses, zones and regions are under 256 bytes each.
std::string encode(const std::string& fleet, const message& m);
decoded decode(const std::string& fleet, std::string_view datagram);

}  // namespace marblewharf::membership
