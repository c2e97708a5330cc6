#include "runtime/base64.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace marblewharf::runtime {
namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr char padding_character = '=';
// A group of three bytes (8 bits each) is encoded as four digits (6 bits each).
constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_digits = 4;
constexpr unsigned byte_bits = 8;
constexpr unsigned digit_bits = 6;
constexpr std::uint32_t digit_mask = 0x3f;
constexpr std::uint32_t byte_mask = 0xff;
constexpr int invalid_digit = -1;

using digit_table = std::array<int, 256>;

digit_table make_digit_table() {
  digit_table table{};
  table.fill(invalid_digit);
  for (std::size_t digit = 0; digit < alphabet.size(); ++digit)
    table[static_cast<std::uint8_t>(alphabet[digit])] = static_cast<int>(digit);
  return table;
}

std::size_t count_padding(std::string_view text) {
  constexpr std::size_t max_padding = 2;
  std::size_t padding = 0;
  while (padding < max_padding && padding < text.size() &&
         text[text.size() - 1 - padding] == padding_character)
    ++padding;
  return padding;
}

}  // namespace

std::string to_base64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + group_bytes - 1) / group_bytes * group_digits);
  for (std::size_t start = 0; start < bytes.size(); start += group_bytes) {
    const std::size_t present = std::min(group_bytes, bytes.size() - start);
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < group_bytes; ++index) {
      const std::uint32_t byte = index < present ? static_cast<std::uint8_t>(bytes[start + index]) : 0u;
      group = group << byte_bits | byte;
    }
    for (std::size_t index = 0; index < group_digits; ++index) {
      const auto shift = digit_bits * (group_digits - 1 - index);
      text.push_back(index <= present ? alphabet[group >> shift & digit_mask] : padding_character);
    }
  }
  return text;
}

std::string from_base64(std::string_view text) {
  static const digit_table digits = make_digit_table();
  if (text.size() % group_digits != 0) throw bad_base64("base64 length is not a multiple of 4");
  const std::size_t padding = count_padding(text);
  std::string bytes;
  bytes.reserve(text.size() / group_digits * group_bytes);
  std::uint32_t group = 0;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const bool is_padding = index >= text.size() - padding;
    const int digit = is_padding ? 0 : digits[static_cast<std::uint8_t>(text[index])];
    if (digit == invalid_digit)
      throw bad_base64("invalid base64 digit at character " + std::to_string(index));
    group = group << digit_bits | static_cast<std::uint32_t>(digit);
    if (index % group_digits != group_digits - 1) continue;
    for (std::size_t byte = group_bytes; byte > 0; --byte)
      bytes.push_back(static_cast<char>(group >> (byte_bits * (byte - 1)) & byte_mask));
    group = 0;
  }
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace marblewharf::runtime
