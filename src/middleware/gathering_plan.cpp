#include "middleware/gathering_plan.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace marblewharf::middleware::detail {
namespace {

void check_source(const source& checked) {
  if (checked.endpoints.empty()) throw std::invalid_argument("no endpoint: " + checked.name);
  if (checked.threads == 0) throw std::invalid_argument("no thread: " + checked.name);
  if (!checked.where.empty() && checked.where.size() != checked.endpoints.size())
    throw std::invalid_argument("where does not name as many as endpoints: " + checked.name);
}

upstream::dependency_rules rules_of_source(const source& translated) {
  check_source(translated);
  upstream::dependency_rules rules;
  rules.name = translated.name;
  rules.endpoints = translated.endpoints.size();
  rules.budget = translated.budget;
  rules.tries = translated.tries;
  rules.hedge_share = translated.hedge_share;
  if (translated.hedge_share <= 0) rules.hedge_quantile = 0;
  rules.most_in_flight = translated.threads;
  static_assert(static_cast<int>(nearness::elsewhere) == static_cast<int>(failover::level::rest));
  for (const nearness each : translated.where) rules.near.where.push_back(static_cast<failover::level>(each));
  const near_rules& near = translated.near;
  rules.near.rules = {near.overprovisioning, near.panic_threshold, near.most_each};
  return rules;
}

upstream::fallback fallback_of(const std::vector<source>& sources, const stand_in_for& translated) {
  using kind = upstream::fallback::kind;
  if (!translated.source.empty()) return {kind::dependency, find_source(sources, translated.source), {}, {}};
  if (translated.oldest.count() > 0) return {kind::stale, 0, translated.oldest, {}};
  return {kind::fixed, 0, {}, translated.fixed};
}

upstream::sub_request_plan plan_of_part(const std::vector<source>& sources, const part_of& translated) {
  upstream::sub_request_plan plan{
      translated.name, find_source(sources, translated.source), translated.required, {}};
  for (const stand_in_for& each : translated.stand_ins) plan.fallbacks.push_back(fallback_of(sources, each));
  return plan;
}

}  // namespace

std::size_t find_source(const std::vector<source>& sources, const std::string& name) {
  const auto found =
      std::find_if(sources.begin(), sources.end(), [&name](const source& each) { return each.name == name; });
  if (found == sources.end()) throw std::invalid_argument("no source: " + name);
  return static_cast<std::size_t>(found - sources.begin());
}

std::vector<upstream::dependency_rules> rules_of(const std::vector<source>& sources) {
  std::vector<upstream::dependency_rules> rules;
  rules.reserve(sources.size());
  for (const source& each : sources) rules.push_back(rules_of_source(each));
  return rules;
}

std::vector<upstream::request_plan> plans_of(const std::vector<source>& sources,
                                             const std::vector<part_of>& parts, duration latency_objective) {
  upstream::request_plan plan;
  plan.latency_objective = latency_objective;
  plan.reserve = {};
  for (const part_of& each : parts) plan.parts.push_back(plan_of_part(sources, each));
  try {
    upstream::check_plans({plan}, rules_of(sources));
  } catch (const upstream::plan_error& fault) {
    std::string part;
    if (fault.part) part = parts[*fault.part].name + " ";
    throw std::invalid_argument("part " + part + fault.what());
  }
  return {plan};
}

}  // namespace marblewharf::middleware::detail
