// What a gateway sends.
#pragma once

#include <string>

#include "harness.hpp"

namespace uwsgi_peer {

inline std::string le16(std::size_t v) {
  return {static_cast<char>(v & 0xff), static_cast<char>(v >> 8)};
}
inline std::string packet(const harness::fields& vars, const std::string& body) {
  std::string block;
  for (const auto& [k, v] : vars) block += le16(k.size()) + k + le16(v.size()) + v;
  return std::string(1, '\0') + le16(block.size()) + '\0' + block + body;
}

}  // namespace uwsgi_peer
