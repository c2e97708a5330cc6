// Reads binary messages: consecutive bytes, and integers in either byte order.
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace marblewharf::bytes {

// Reads a message from front to back, never past its end. The message outlives the reader.
class byte_reader {
 public:
  explicit byte_reader(std::string_view message) : message_(message) {}

  // Returns the next `count` bytes, or nullopt without advancing if fewer are left.
  std::optional<std::string_view> take(std::size_t count) {
    if (count > left()) return std::nullopt;
    const std::string_view taken = message_.substr(position_, count);
    position_ += count;
    return taken;
  }

  // Number of bytes read so far, and number of bytes left.
  std::size_t position() const { return position_; }
  std::size_t left() const { return message_.size() - position_; }
  bool at_end() const { return left() == 0; }

 private:
  std::string_view message_;
  std::size_t position_ = 0;
};

// Decodes an integer with its least significant byte first. `encoded` has at least sizeof(Integer) bytes.
template <std::unsigned_integral Integer>
Integer from_little_endian(std::string_view encoded) {
  constexpr unsigned byte_bits = 8;
  std::uint64_t value = 0;
  for (std::size_t index = 0; index < sizeof(Integer); ++index)
    value |= std::uint64_t{static_cast<std::uint8_t>(encoded[index])} << (byte_bits * index);
  return static_cast<Integer>(value);
}

// Decodes an integer with its most significant byte first. `encoded` has at least sizeof(Integer) bytes.
template <std::unsigned_integral Integer>
Integer from_big_endian(std::string_view encoded) {
  constexpr unsigned byte_bits = 8;
  std::uint64_t value = 0;
  for (std::size_t index = 0; index < sizeof(Integer); ++index)
    value = value << byte_bits | static_cast<std::uint8_t>(encoded[index]);
  return static_cast<Integer>(value);
}

}  // namespace marblewharf::bytes
