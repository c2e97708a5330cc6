#include "uwsgi/request.hpp"

#include <charconv>

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

}  // namespace

request to_request(const packet& p, const uwsgi_config& mapping, vocabulary& names) {
  request r;
  r.request_class = known(names.class_of(meaning(p, mapping.request_class)), mapping.request_class);
  r.tenant = known(names.tenant_of(meaning(p, mapping.tenant)), mapping.tenant);
  double cost_ms = r.request_class < mapping.default_cost.size() ? mapping.default_cost[r.request_class] : 0;
  if (const auto given = p.find(mapping.cost.var); given && !given->empty()) {
    const char* end = given->data() + given->size();
    if (std::from_chars(given->data(), end, cost_ms).ptr != end || !(cost_ms >= 0 && cost_ms < most_cost_ms))
      throw bad_packet(bad_request, "a value of " + mapping.cost.var + " that is no cost");
  }
  r.work = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(cost_ms));
  r.held_kb = mapping.held_kb;
  r.payload = p.whole;
  return r;
}

}  // namespace marblewharf::uwsgi
