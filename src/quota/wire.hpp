// Messages on budgets as datagrams, in msgpack (msgpack-cxx), on the socket of membership: the same first
// three elements (fleet, version, kind), so that each side tells the other's.
//
// Free of I/O; any thread. None is ever half taken.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "quota/message.hpp"

namespace marblewharf::quota {

inline constexpr std::uint32_t wire_version = 2;
// Budgets in one message: so many fit into a datagram that is not fragmented.
inline constexpr std::size_t budgets_most = 32;

enum class wire_fault { none, not_ours, foreign, version, undecodable };

struct decoded {
  std::optional<message> m;  // set exactly where fault is none
  wire_fault fault = wire_fault::none;
};

std::string encode(const std::string& fleet, const message& m);
// not_ours: a datagram of another kind, or of none: for membership to read.
decoded decode(const std::string& fleet, std::string_view datagram);

}  // namespace marblewharf::quota
