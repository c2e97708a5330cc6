// Quantities as an operator writes them: a number and its unit, nothing else.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace marblewharf {

// `250us`, `90s`, `1.5h`; units us, ms, s, m, h, d. None where it is no such text or beyond 100 years.
std::optional<std::chrono::nanoseconds> parse_time(std::string_view text);

// `512`, `40KiB`, `64MiB`, `2GiB`; without a unit: bytes. None where it is no such text or beyond 2^60.
std::optional<std::uint64_t> parse_bytes(std::string_view text);

// A whole number from 0 to 2^53.
std::optional<std::uint64_t> parse_count(std::string_view text);

}  // namespace marblewharf
