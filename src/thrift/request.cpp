#include "thrift/request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

#include "idempotency/fingerprint.hpp"

namespace marblewharf::thrift {
namespace {

constexpr std::size_t hex_size = 16;
constexpr double most_ram_kb = 2000;
constexpr double most_cpu_ms = 1e7;
constexpr std::int64_t furthest_door_ms = 600000;  // a door further off, before or behind, is no clock's

template <typename T, typename... Base>
std::optional<T> parsed(const std::string& text, Base... base) {
  T value = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, value, base...);
  if (error != std::errc{} || stopped != end) return std::nullopt;
  return value;
}

const std::string& field(const field_map& fields, const char* name) {
  const auto found = fields.find(name);
  if (found == fields.end()) throw bad_field(name);
  return found->second;
}

std::uint64_t hex(const std::string& text, const char* name) {
  const auto value = parsed<std::uint64_t>(text, 16);
  if (!value || text.size() != hex_size) throw bad_field(name);
  return *value;
}

double number(const field_map& fields, const char* name, double least, double under) {
  const auto value = parsed<double>(field(fields, name));
  if (!value || !std::isfinite(*value) || *value < least || *value >= under) throw bad_field(name);
  return *value;
}

template <typename T>
T known(const std::optional<T>& value, const char* name) {
  if (!value) throw bad_field(name);
  return *value;
}

void read_key(const execute& what, const key_rules& keys, request& r) {
  if (!keys.required && !what.fields.contains(keys.field)) return;
  r.key = field(what.fields, keys.field.c_str());
  if (idempotency::fault_of_key(r.key, keys.longest) != nullptr) throw bad_field(keys.field);
  const std::array<std::string_view, 2> asked = {"thrift", what.body};
  r.fingerprint = idempotency::fingerprint_of(asked);
}

}  // namespace

key_rules key_rules_of(const config& settings) {
  if (const auto& kept = settings.keyed)
    return {.field = kept->thrift_field,
            .longest = kept->longest_key,
            .windows = kept->windows,
            .required = true};
  if (const auto& kept = settings.repeats)
    return {.field = kept->thrift_field, .longest = kept->longest_key, .windows = kept->windows};
  return {};
}

request to_request(const execute& what, vocabulary& names, std::int64_t now_ms, const key_rules& keys) {
  const field_map& f = what.fields;
  request r;
  r.label = field(f, "txn");
  hex(r.label, "txn");
  const auto door = parsed<std::int64_t>(field(f, "door"));
  if (!door || *door < now_ms - furthest_door_ms || *door > now_ms + furthest_door_ms)
    throw bad_field("door");
  // A door in the future is another clock that runs ahead: as if it had just come.
  r.read_delay = std::chrono::milliseconds(std::max<std::int64_t>(now_ms - *door, 0));
  r.caller = known(parsed<unsigned>(field(f, "lb")), "lb");
  r.expected_work = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(number(f, "cpu", 0, most_cpu_ms)));
  r.reserved_kb = number(f, "ram", 0, most_ram_kb);
  if (r.reserved_kb <= 0) throw bad_field("ram");
  r.rank = number(f, "standing", 0, 1);
  if (const auto item = f.find("item"); item != f.end()) r.subject = hex(item->second, "item");
  r.request_class = known(names.class_of(field(f, "verb")), "verb");
  r.tenant = known(names.tenant_of(field(f, "team")), "team");
  r.payload = what.body;
  if (!keys.field.empty() && keys.windows[r.request_class].count() > 0) read_key(what, keys, r);
  return r;
}

}  // namespace marblewharf::thrift
