// Reads binary messages: bytes in sequence, and integers of either byte order.
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace marblewharf::bytes {

// Takes bytes from the front of a message, which outlives the reader, and never past its end.
class byte_reader {
 public:
  explicit byte_reader(std::string_view message) : message_(message) {}

  // The next `count` bytes; none, and nothing is taken, where fewer are left.
  std::optional<std::string_view> take(std::size_t count) {
    if (count > left()) return std::nullopt;
    const std::string_view taken = message_.substr(position_, count);
    position_ += count;
    return taken;
  }

  // Bytes taken so far, and those that are left.
  std::size_t position() const { return position_; }
  std::size_t left() const { return message_.size() - position_; }
  bool at_end() const { return left() == 0; }

 private:
  std::string_view message_;
  std::size_t position_ = 0;
};

// An integer of sizeof(Integer) bytes, its lowest byte first; `encoded` has as many.
template <std::unsigned_integral Integer>
Integer from_little_endian(std::string_view encoded) {
  constexpr unsigned byte_bits = 8;
  std::uint64_t value = 0;
  for (std::size_t index = 0; index < sizeof(Integer); ++index)
    value |= std::uint64_t{static_cast<std::uint8_t>(encoded[index])} << (byte_bits * index);
  return static_cast<Integer>(value);
}

// The same with its highest byte first.
template <std::unsigned_integral Integer>
Integer from_big_endian(std::string_view encoded) {
  constexpr unsigned byte_bits = 8;
  std::uint64_t value = 0;
  for (std::size_t index = 0; index < sizeof(Integer); ++index)
    value = value << byte_bits | static_cast<std::uint8_t>(encoded[index]);
  return static_cast<Integer>(value);
}

}  // namespace marblewharf::bytes
