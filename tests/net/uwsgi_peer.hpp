// Encodes uwsgi requests as a gateway sends them.
#pragma once

#include <string>

#include "harness.hpp"

namespace uwsgi_peer {

// A 16-bit little-endian number.
inline std::string le16(std::size_t value) {
  return {static_cast<char>(value & 0xff), static_cast<char>(value >> 8)};
}
// A request packet: the header, the block of variables and the body.
inline std::string packet(const harness::fields& vars, const std::string& body) {
  std::string block;
  for (const auto& [name, value] : vars) block += le16(name.size()) + name + le16(value.size()) + value;
  return std::string(1, '\0') + le16(block.size()) + '\0' + block + body;
}

}  // namespace uwsgi_peer
