// Base64, as the runtime's messages encode bodies and results.
#pragma once

#include <cstdint>
#include <string>

namespace peers {

inline const std::string base64_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

inline std::string base64(const std::string& in) {
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    unsigned v = 0;
    for (std::size_t k = 0; k < 3; ++k)
      v = v << 8 | (i + k < in.size() ? static_cast<std::uint8_t>(in[i + k]) : 0u);
    for (std::size_t k = 0; k < 4; ++k)
      out += i + k > in.size() ? '=' : base64_digits[v >> (18 - 6 * k) & 63];
  }
  return out;
}

inline std::string unbase64(const std::string& in) {
  std::string out;
  unsigned v = 0, bits = 0;
  for (const char c : in) {
    const std::size_t digit = base64_digits.find(c);
    if (digit == std::string::npos) break;
    v = v << 6 | static_cast<unsigned>(digit);
    if ((bits += 6) < 8) continue;
    out += static_cast<char>(v >> (bits -= 8) & 0xff);
  }
  return out;
}

}  // namespace peers
