#include "uwsgi/request.hpp"

#include <array>
#include <charconv>

#include "idempotency/fingerprint.hpp"

namespace marblewharf::uwsgi {
namespace {

constexpr unsigned bad_request = 400;
constexpr double most_cost_ms = 1e7;

std::string_view meaning(const packet& p, const var_mapping& m) {
  const auto given = p.find(m.var);
  if (!given) throw bad_packet(bad_request, "no var " + m.var);
  if (m.values.empty()) return *given;
  const auto meant = m.values.find(*given);
  if (meant == m.values.end()) throw bad_packet(bad_request, "an unknown value of " + m.var);
  return meant->second;
}

unsigned known(const std::optional<unsigned>& index, const var_mapping& m) {
  if (!index) throw bad_packet(bad_request, "an unknown value of " + m.var);
  return *index;
}

// A retry may come by another way and at another time: of the vars only these say what is asked for.
std::uint64_t content_of(const packet& p) {
  const auto var = [&](std::string_view name) { return p.find(name).value_or(std::string_view()); };
  const std::array<std::string_view, 5> asked = {"uwsgi", var("REQUEST_METHOD"), var("PATH_INFO"),
                                                 var("QUERY_STRING"), p.body};
  return idempotency::fingerprint_of(asked);
}

void read_key(const packet& p, const keyed_config& keys, request& r) {
  if (keys.windows[r.request_class].count() == 0) return;
  const std::string_view key = p.find(keys.uwsgi_var).value_or(std::string_view());
  if (const char* fault = idempotency::fault_of_key(key, keys.longest_key))
    throw bad_packet(bad_request, std::string(fault) + " in " + keys.uwsgi_var);
  r.key = key;
  r.fingerprint = content_of(p);
}

}  // namespace

request to_request(const packet& p, const uwsgi_config& mapping, vocabulary& names,
                   const keyed_config* keys) {
  request r;
  r.request_class = known(names.class_of(meaning(p, mapping.request_class)), mapping.request_class);
  r.tenant = known(names.tenant_of(meaning(p, mapping.tenant)), mapping.tenant);
  double cost_ms = r.request_class < mapping.default_cost.size() ? mapping.default_cost[r.request_class] : 0;
  if (const auto given = p.find(mapping.cost.var); given && !given->empty()) {
    const char* end = given->data() + given->size();
    if (std::from_chars(given->data(), end, cost_ms).ptr != end || !(cost_ms >= 0 && cost_ms < most_cost_ms))
      throw bad_packet(bad_request, "a value of " + mapping.cost.var + " that is no cost");
  }
  r.expected_work = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(cost_ms));
  r.reserved_kb = mapping.reserved_kb;
  r.payload = p.whole;
  if (mapping.hash_content) r.fingerprint = content_of(p);
  if (keys != nullptr) read_key(p, *keys, r);
  return r;
}

}  // namespace marblewharf::uwsgi
