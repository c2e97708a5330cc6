#include "transcript.hpp"

#include <cstdio>
#include <string_view>

namespace admission_policy::testing {
namespace {

constexpr std::uint64_t fnv_prime = 0x100000001b3;
constexpr std::size_t max_first_lines = 20;

std::string as_text(std::uint32_t number) {
  return std::to_string(number);
}
std::string as_text(duration span) {
  return std::to_string(span.count());
}
std::string as_text(bool flag) {
  return flag ? "1" : "0";
}
std::string as_text(const std::string& text) {
  return text;
}
std::string as_text(double number) {
  char buffer[40];
  std::snprintf(buffer, sizeof buffer, "%a", number);  // hexadecimal: every bit of the value
  return buffer;
}

template <typename... Fields>
std::string joined(const Fields&... fields) {
  return ((" " + as_text(fields)) + ...);
}

template <std::size_t Index>
std::string one_field(const action& recorded) {
  const auto& [field] = std::get<Index>(recorded);
  return joined(field);
}
template <std::size_t Index>
std::string two_fields(const action& recorded) {
  const auto& [first, second] = std::get<Index>(recorded);
  return joined(first, second);
}
template <std::size_t Index>
std::string three_fields(const action& recorded) {
  const auto& [first, second, third] = std::get<Index>(recorded);
  return joined(first, second, third);
}

std::string fields_of(const action& recorded) {
  switch (recorded.index()) {
    case 0: return one_field<0>(recorded);
    case 1: return one_field<1>(recorded);
    case 2: return three_fields<2>(recorded);
    case 3: return two_fields<3>(recorded);
    case 4: return two_fields<4>(recorded);
    case 5: return one_field<5>(recorded);
    case 6: return two_fields<6>(recorded);
    case 7: return one_field<7>(recorded);
    case 8: return one_field<8>(recorded);
    case 9: return two_fields<9>(recorded);
    case 10: return one_field<10>(recorded);
    case 11: return one_field<11>(recorded);
    case 12: return one_field<12>(recorded);
    default: return one_field<13>(recorded);
  }
}

}  // namespace

void transcript::add(duration since_start, const action& recorded) {
  const std::string line =
      std::to_string(since_start.count()) + " " + std::to_string(recorded.index()) + fields_of(recorded);
  for (const char character : line + "\n") {
    digest_ ^= static_cast<unsigned char>(character);
    digest_ *= fnv_prime;
  }
  ++actions_;
  if (first_lines_.size() < max_first_lines) first_lines_.push_back(line);
}

}  // namespace admission_policy::testing
