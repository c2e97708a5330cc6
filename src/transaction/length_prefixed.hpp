// Encoding of length-prefixed texts in the rows of the transaction log (32-bit length, little-endian).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "store/bytes.hpp"

namespace marblewharf::transaction {

inline void append_text(std::string& out, std::string_view text) {
  store::put(out, static_cast<std::uint32_t>(text.size()));
  out += text;
}

// Reads a text from the front of `in` and removes it there. False: `in` does not start with a complete text.
inline bool consume_text(std::string_view& in, std::string& out) {
  constexpr std::size_t prefix_size = sizeof(std::uint32_t);
  if (in.size() < prefix_size) return false;
  const std::size_t size = store::get<std::uint32_t>(in, 0);
  if (size > in.size() - prefix_size) return false;
  out = in.substr(prefix_size, size);
  in.remove_prefix(prefix_size + size);
  return true;
}

}  // namespace marblewharf::transaction
