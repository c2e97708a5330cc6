#include "config/sections/section.hpp"

#include <confuse.h>

#include <algorithm>
#include <charconv>
#include <initializer_list>
#include <utility>

#include "config/operator_file_error.hpp"
#include "config/units.hpp"

namespace marblewharf::sections {
namespace {

constexpr const char* out_of_bounds = "is outside the allowed range";

bool is_any_of(const std::string& value, std::initializer_list<const char*> words) {
  return std::find(words.begin(), words.end(), value) != words.end();
}

}  // namespace

section::section(cfg_t* parsed, const option_lines& lines, const std::string& path, std::string name)
    : parsed_(parsed), lines_(lines), path_(path), name_(std::move(name)) {}

bool section::has(const char* key) const {
  return cfg_size(parsed_, key) > 0;
}

std::string section::text(const char* key) const {
  const char* value = cfg_getstr(parsed_, key);
  return value != nullptr ? value : "";
}

std::string section::required_text(const char* key) const {
  std::string value = text(key);
  if (value.empty()) fail(key, "is missing");
  return value;
}

std::vector<std::string> section::texts(const char* key) const {
  std::vector<std::string> values;
  for (unsigned index = 0; index < cfg_size(parsed_, key); ++index)
    values.emplace_back(cfg_getnstr(parsed_, key, index));
  return values;
}

std::chrono::nanoseconds section::duration(const char* key, std::chrono::nanoseconds min,
                                           std::chrono::nanoseconds max) const {
  const auto value = parse_time(text(key));
  if (!value) fail(key, "is not a duration such as 90s or 24h", text(key));
  if (*value < min || *value > max) fail(key, out_of_bounds, text(key));
  return *value;
}

std::uint64_t section::bytes(const char* key, std::uint64_t min, std::uint64_t max) const {
  return checked_range(key, parse_bytes(text(key)), "is not a size such as 64MiB", min, max);
}

std::uint64_t section::count(const char* key, std::uint64_t min, std::uint64_t max) const {
  return checked_range(key, parse_count(text(key)), "is not a whole number", min, max);
}

unsigned section::small_count(const char* key, unsigned min, unsigned max) const {
  return static_cast<unsigned>(count(key, min, max));
}

double section::number(const char* key, double min, double max) const {
  const std::string value = text(key);
  double parsed = 0;
  const char* end = value.data() + value.size();
  const char* parsed_to = std::from_chars(value.data(), end, parsed, std::chars_format::fixed).ptr;
  if (parsed_to != end || value.empty()) fail(key, "is not a number", value);
  if (!(parsed >= min && parsed <= max)) fail(key, out_of_bounds, value);
  return parsed;
}

bool section::flag(const char* key) const {
  const std::string value = text(key);
  if (is_any_of(value, {"yes", "on", "true"})) return true;
  if (is_any_of(value, {"no", "off", "false"})) return false;
  fail(key, "is neither yes nor no", value);
}

endpoint section::address(const char* key, const std::string& value) const {
  const std::optional<endpoint> parsed = parse_endpoint(value);
  if (!parsed) fail(key, "is not an address host:port", value);
  return *parsed;
}

std::vector<endpoint> section::addresses(const char* key) const {
  std::vector<endpoint> parsed;
  for (const std::string& value : texts(key)) parsed.push_back(address(key, value));
  return parsed;
}

void section::fail(const char* key, const std::string& problem, const std::string& found) const {
  const cfg_opt_t* option = key != nullptr ? cfg_getopt(parsed_, key) : nullptr;
  const auto line = lines_.find(option);
  const bool line_known = line != lines_.end();
  throw operator_file_error({.file = path_,
                             .line = line_known ? line->second : parsed_->line,
                             .key = key != nullptr ? name_ + "." + key : name_,
                             .problem = problem,
                             .found = found,
                             .at_section_end = !line_known});
}

std::uint64_t section::checked_range(const char* key, std::optional<std::uint64_t> value, const char* problem,
                                     std::uint64_t min, std::uint64_t max) const {
  if (!value) fail(key, problem, text(key));
  if (*value < min || *value > max)
    fail(key, "is outside the range " + std::to_string(min) + " to " + std::to_string(max), text(key));
  return *value;
}

}  // namespace marblewharf::sections
