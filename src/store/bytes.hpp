// Encodes and decodes numbers in the byte order of the store's files, and escapes bytes for printing.
#pragma once

#include <bit>
#include <cstdio>
#include <cstring>
#include <string>
#include <string_view>

namespace marblewharf::store {

static_assert(std::endian::native == std::endian::little,
              "the file format is little-endian; numbers are copied without conversion");

template <typename T>
void put(std::string& out, T value) {
  out.append(reinterpret_cast<const char*>(&value), sizeof value);
}
template <typename T>
T get(std::string_view bytes, std::size_t offset) {
  T value{};
  std::memcpy(&value, bytes.data() + offset, sizeof value);
  return value;
}

// Escapes blanks, backslashes and all bytes that are not printable ASCII: keys and values may contain any
// bytes, but are listed one per line. An empty text becomes "-".
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
