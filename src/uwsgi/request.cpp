#include "uwsgi/request.hpp"

#include <array>
#include <charconv>

#include "idempotency/fingerprint.hpp"

namespace marblewharf::uwsgi {
namespace {

constexpr unsigned bad_request = 400;
constexpr double cost_limit_ms = 1e7;

std::string_view mapped_value(const packet& received, const var_mapping& mapping) {
  const auto value = received.find(mapping.var);
  if (!value) throw bad_packet(bad_request, "missing var " + mapping.var);
  if (mapping.values.empty()) return *value;
  const auto mapped = mapping.values.find(*value);
  if (mapped == mapping.values.end())
    throw bad_packet(bad_request, "unknown value of the var " + mapping.var);
  return mapped->second;
}

unsigned require(const std::optional<unsigned>& index, const var_mapping& mapping) {
  if (!index) throw bad_packet(bad_request, "unknown value of the var " + mapping.var);
  return *index;
}

// A retry may arrive by another route and at another time, so the fingerprint covers only the vars that
// describe the request itself.
std::uint64_t content_fingerprint(const packet& received) {
  const auto var = [&](std::string_view name) { return received.find(name).value_or(std::string_view()); };
  const std::array<std::string_view, 5> content = {"uwsgi", var("REQUEST_METHOD"), var("PATH_INFO"),
                                                   var("QUERY_STRING"), received.body};
  return idempotency::fingerprint_of(content);
}

// A server passes the absence of a header as an empty var.
void read_key(const packet& received, const key_rule& rule, request& decoded) {
  const std::string_view key = received.find(rule.source).value_or(std::string_view());
  if (key.empty() && !rule.required) return;
  if (const char* fault = idempotency::key_error(key, rule.max_bytes))
    throw bad_packet(bad_request, std::string(fault) + " in " + rule.source);
  decoded.key = key;
  decoded.fingerprint = content_fingerprint(received);
}

}  // namespace

request to_request(const packet& received, const uwsgi_config& mapping, request_name_index& names,
                   const key_rules& keys) {
  request decoded;
  decoded.request_class =
      require(names.class_of(mapped_value(received, mapping.request_class)), mapping.request_class);
  if (!names.has_unnamed_tenant())
    decoded.tenant = require(names.tenant_of(mapped_value(received, mapping.tenant)), mapping.tenant);
  double cost_ms =
      decoded.request_class < mapping.default_cost.size() ? mapping.default_cost[decoded.request_class] : 0;
  if (const auto cost = received.find(mapping.cost.var); cost && !cost->empty()) {
    const char* end = cost->data() + cost->size();
    if (std::from_chars(cost->data(), end, cost_ms).ptr != end || !(cost_ms >= 0 && cost_ms < cost_limit_ms))
      throw bad_packet(bad_request, "the value of " + mapping.cost.var + " is not a valid cost");
  }
  decoded.expected_work =
      std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(cost_ms));
  decoded.reserved_kb = mapping.reserved_kb;
  decoded.payload = received.bytes;
  if (mapping.compute_fingerprint) decoded.fingerprint = content_fingerprint(received);
  if (const key_rule* rule = keys.find(decoded.request_class)) read_key(received, *rule, decoded);
  return decoded;
}

}  // namespace marblewharf::uwsgi
