// Parsers of quantities in the operator's file: a number directly followed by its unit.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace marblewharf {

// Parses `250us`, `90s`, `1.5h`; units: us, ms, s, m, h, d. No value for any other text and above 100 years.
std::optional<std::chrono::nanoseconds> parse_time(std::string_view text);

// Parses `512`, `40KiB`, `64MiB`, `2GiB`; no unit: bytes. No value for any other text and above 2^60.
std::optional<std::uint64_t> parse_bytes(std::string_view text);

// Parses a whole number from 0 to 2^53. No value for any other text.
std::optional<std::uint64_t> parse_count(std::string_view text);

}  // namespace marblewharf
