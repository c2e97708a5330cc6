// Numbers as they stand in the store's files, and bytes as they are shown to people.
#pragma once

#include <bit>
#include <cstdio>
#include <cstring>
#include <string>
#include <string_view>

namespace marblewharf::store {

static_assert(std::endian::native == std::endian::little,
              "the format is little-endian, and written as it stands");

template <typename T>
void put(std::string& out, T value) {
  out.append(reinterpret_cast<const char*>(&value), sizeof value);
}
template <typename T>
T get(std::string_view bytes, std::size_t at) {
  T value{};
  std::memcpy(&value, bytes.data() + at, sizeof value);
  return value;
}

// Keys and values may hold any bytes; a line that lists them may not.
inline std::string printable(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c > ' ' && c < 0x7f && c != '\\') {
      out += c;
      continue;
    }
    char hex[5];
    std::snprintf(hex, sizeof hex, "\\x%02x", static_cast<unsigned>(static_cast<unsigned char>(c)));
    out += hex;
  }
  return out.empty() ? "-" : out;
}

}  // namespace marblewharf::store
