#include "upstream/plan.hpp"

#include <set>

namespace marblewharf::upstream {
namespace {

std::string ms(duration d) {
  return std::to_string(d / std::chrono::milliseconds(1)) + "ms";
}

void check_part(const request_plan& p, std::size_t which, int at,
                const std::vector<dependency_rules>& dependencies) {
  const part_plan& part = p.parts[static_cast<std::size_t>(at)];
  std::set<std::size_t> chain;
  duration needed{};
  const auto add = [&](std::size_t from) {
    if (from >= dependencies.size()) throw bad_plan("names no dependency", which, at);
    if (!chain.insert(from).second)
      throw bad_plan("falls back on " + dependencies[from].name + ", which it has tried", which, at);
    needed += dependencies[from].budget;
  };
  add(part.from);
  bool ended = false;
  for (const fallback& s : part.stand_ins) {
    if (ended) throw bad_plan("has a fall-back behind a fixed one, which never fails", which, at);
    if (s.what == fallback::kind::dependency) add(s.from);
    if (s.what == fallback::kind::stale && s.oldest.count() <= 0)
      throw bad_plan("has a stale part of no age", which, at);
    ended = s.what == fallback::kind::fixed;
  }
  if (needed > p.latency_objective - p.reserve)
    throw bad_plan("needs " + ms(needed) + " one after the other, and the aim less the reserve is " +
                       ms(p.latency_objective - p.reserve),
                   which, at);
}

}  // namespace

void check_plans(const std::vector<request_plan>& plans, const std::vector<dependency_rules>& dependencies) {
  for (std::size_t i = 0; i < plans.size(); ++i) {
    const request_plan& p = plans[i];
    if (p.parts.empty()) throw bad_plan("has no part", i, -1);
    std::set<std::string> names;
    for (std::size_t k = 0; k < p.parts.size(); ++k) {
      const int at = static_cast<int>(k);
      if (!names.insert(p.parts[k].name).second)
        throw bad_plan("names a part twice: " + p.parts[k].name, i, at);
      check_part(p, i, at, dependencies);
    }
  }
}

}  // namespace marblewharf::upstream
