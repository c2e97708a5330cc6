#include "middleware/gathering_plan.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace marblewharf::middleware::detail {
namespace {

void check_source(const source& described) {
  if (described.endpoints.empty()) throw std::invalid_argument("source has no endpoints: " + described.name);
  if (described.threads == 0) throw std::invalid_argument("source has threads = 0: " + described.name);
  if (!described.where.empty() && described.where.size() != described.endpoints.size())
    throw std::invalid_argument("where does not have as many entries as endpoints, source: " +
                                described.name);
}

upstream::dependency_rules rules_of_source(const source& described) {
  check_source(described);
  upstream::dependency_rules rules;
  rules.name = described.name;
  rules.endpoints = described.endpoints.size();
  rules.budget = described.budget;
  rules.tries = described.tries;
  rules.hedge_share = described.hedge_share;
  if (described.hedge_share <= 0) rules.hedge_quantile = 0;
  rules.most_in_flight = described.threads;
  static_assert(static_cast<int>(nearness::elsewhere) == static_cast<int>(failover::level::rest));
  for (const nearness level : described.where)
    rules.near.levels.push_back(static_cast<failover::level>(level));
  const near_rules& near = described.near;
  rules.near.rules = {near.overprovisioning, near.panic_threshold, near.most_each};
  return rules;
}

upstream::fallback fallback_of(const std::vector<source>& sources, const stand_in_for& described) {
  using kind = upstream::fallback::kind;
  if (!described.source.empty()) return {kind::dependency, find_source(sources, described.source), {}, {}};
  if (described.oldest.count() > 0) return {kind::stale, 0, described.oldest, {}};
  return {kind::fixed, 0, {}, described.fixed};
}

upstream::sub_request_plan plan_of_part(const std::vector<source>& sources, const part_of& described) {
  upstream::sub_request_plan plan{
      described.name, find_source(sources, described.source), described.required, {}, described.shared};
  for (const stand_in_for& fallback : described.stand_ins)
    plan.fallbacks.push_back(fallback_of(sources, fallback));
  return plan;
}

}  // namespace

std::size_t find_source(const std::vector<source>& sources, const std::string& name) {
  const auto found = std::find_if(sources.begin(), sources.end(),
                                  [&name](const source& candidate) { return candidate.name == name; });
  if (found == sources.end()) throw std::invalid_argument("unknown source: " + name);
  return static_cast<std::size_t>(found - sources.begin());
}

std::vector<upstream::dependency_rules> rules_of(const std::vector<source>& sources) {
  std::vector<upstream::dependency_rules> rules;
  rules.reserve(sources.size());
  for (const source& described : sources) rules.push_back(rules_of_source(described));
  return rules;
}

std::vector<upstream::request_plan> plans_of(const std::vector<source>& sources,
                                             const std::vector<part_of>& parts, duration latency_objective) {
  upstream::request_plan plan;
  plan.latency_objective = latency_objective;
  plan.reserve = {};
  for (const part_of& part : parts) plan.parts.push_back(plan_of_part(sources, part));
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
