#include "thrift/request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

#include "idempotency/fingerprint.hpp"

namespace marblewharf::thrift {
namespace {

constexpr std::size_t hex_digits = 16;
constexpr double ram_limit_kb = 2000;
constexpr double cpu_limit_ms = 1e7;
// Largest accepted difference between the time in the field "door" and the local clock, in either direction;
// a larger one cannot be clock skew.
constexpr std::int64_t max_clock_difference_ms = 600000;

template <typename T, typename... Base>
std::optional<T> parse_number(const std::string& text, Base... base) {
  T value = 0;
  const char* end = text.data() + text.size();
  const auto [parse_end, error] = std::from_chars(text.data(), end, value, base...);
  if (error != std::errc{} || parse_end != end) return std::nullopt;
  return value;
}

const std::string& field(const field_map& fields, const char* name) {
  const auto found = fields.find(name);
  if (found == fields.end()) throw bad_field(name);
  return found->second;
}

std::uint64_t parse_hex(const std::string& text, const char* name) {
  const auto value = parse_number<std::uint64_t>(text, 16);
  if (!value || text.size() != hex_digits) throw bad_field(name);
  return *value;
}

double number(const field_map& fields, const char* name, double minimum, double limit) {
  const auto value = parse_number<double>(field(fields, name));
  if (!value || !std::isfinite(*value) || *value < minimum || *value >= limit) throw bad_field(name);
  return *value;
}

template <typename T>
T require(const std::optional<T>& value, const char* name) {
  if (!value) throw bad_field(name);
  return *value;
}

void read_key(const execute& message, const key_rule& rule, request& decoded) {
  if (!rule.required && !message.fields.contains(rule.source)) return;
  decoded.key = field(message.fields, rule.source.c_str());
  if (idempotency::key_error(decoded.key, rule.max_bytes) != nullptr) throw bad_field(rule.source);
  const std::array<std::string_view, 2> content = {"thrift", message.body};
  decoded.fingerprint = idempotency::fingerprint_of(content);
}

}  // namespace

request to_request(const execute& message, request_name_index& names, std::int64_t now_ms,
                   const key_rules& keys) {
  const field_map& fields = message.fields;
  request decoded;
  decoded.operation = field(fields, "txn");
  parse_hex(decoded.operation, "txn");
  const auto door = parse_number<std::int64_t>(field(fields, "door"));
  if (!door || *door < now_ms - max_clock_difference_ms || *door > now_ms + max_clock_difference_ms)
    throw bad_field("door");
  // A time in the future means that the caller's clock is ahead; the request counts as received just now.
  decoded.read_delay = std::chrono::milliseconds(std::max<std::int64_t>(now_ms - *door, 0));
  decoded.caller = require(parse_number<unsigned>(field(fields, "lb")), "lb");
  decoded.expected_work = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(number(fields, "cpu", 0, cpu_limit_ms)));
  decoded.reserved_kb = number(fields, "ram", 0, ram_limit_kb);
  if (decoded.reserved_kb <= 0) throw bad_field("ram");
  decoded.rank = number(fields, "standing", 0, 1);
  if (const auto item = fields.find("item"); item != fields.end())
    decoded.resource_id = parse_hex(item->second, "item");
  decoded.request_class = require(names.class_of(field(fields, "verb")), "verb");
  if (!names.has_unnamed_tenant()) decoded.tenant = require(names.tenant_of(field(fields, "team")), "team");
  decoded.payload = message.body;
  if (const key_rule* rule = keys.find(decoded.request_class)) read_key(message, *rule, decoded);
  return decoded;
}

}  // namespace marblewharf::thrift
