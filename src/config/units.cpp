#include "config/units.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <span>
#include <utility>

namespace marblewharf {
namespace {

using unit = std::pair<std::string_view, double>;

std::optional<double> parse_scaled(std::string_view text, std::span<const unit> units, double max) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (error != std::errc{} || !std::isfinite(value) || value < 0) return std::nullopt;
  const std::string_view suffix(parsed_to, static_cast<std::size_t>(end - parsed_to));
  for (const auto& [name, factor] : units) {
    if (suffix == name && value * factor <= max) return value * factor;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::chrono::nanoseconds> parse_time(std::string_view text) {
  static constexpr std::array<unit, 6> units = {
      {{"us", 1e3}, {"ms", 1e6}, {"s", 1e9}, {"m", 60e9}, {"h", 3600e9}, {"d", 86400e9}}};
  constexpr double century = 3.2e18;
  const auto ns = parse_scaled(text, units, century);
  if (!ns) return std::nullopt;
  return std::chrono::nanoseconds(static_cast<std::int64_t>(std::llround(*ns)));
}

std::optional<std::uint64_t> parse_bytes(std::string_view text) {
  static constexpr std::array<unit, 5> units = {
      {{"", 1}, {"B", 1}, {"KiB", 1024.0}, {"MiB", 1048576.0}, {"GiB", 1073741824.0}}};
  constexpr double max = 1.152921504606846976e18;
  const auto bytes = parse_scaled(text, units, max);
  if (!bytes) return std::nullopt;
  return static_cast<std::uint64_t>(*bytes);
}

std::optional<std::uint64_t> parse_count(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc{} || parsed_to != end || value > (std::uint64_t{1} << 53))
    return std::nullopt;
  return value;
}

}  // namespace marblewharf
