#include "upstream/plan.hpp"

#include <set>

namespace marblewharf::upstream {
namespace {

std::string in_milliseconds(duration d) {
  return std::to_string(d / std::chrono::milliseconds(1)) + "ms";
}

// Checks one part of a plan; its place is named in faults.
class part_check {
 public:
  part_check(const request_plan& plan, const std::vector<dependency_rules>& dependencies,
             std::size_t plan_index, std::size_t part_index)
      : plan_(plan), dependencies_(dependencies), plan_index_(plan_index), part_index_(part_index) {}

  void run() {
    const sub_request_plan& part = plan_.parts[part_index_];
    add_dependency(part.from);
    check_fallbacks(part.fallbacks);
    const duration available = plan_.latency_objective - plan_.reserve;
    if (needed_ > available)
      fail(plan_fault::too_slow, "needs " + in_milliseconds(needed_) +
                                     " one after the other, and the aim less the reserve is " +
                                     in_milliseconds(available));
  }

 private:
  [[noreturn]] void fail(plan_fault fault, const std::string& text) const {
    throw plan_error(fault, text, plan_index_, part_index_);
  }

  void add_dependency(std::size_t dependency) {
    if (dependency >= dependencies_.size()) fail(plan_fault::unknown_dependency, "names no dependency");
    if (!tried_.insert(dependency).second)
      fail(plan_fault::repeated_dependency,
           "falls back on " + dependencies_[dependency].name + ", which it has tried");
    needed_ += dependencies_[dependency].budget;
  }

  void check_fallbacks(const std::vector<fallback>& fallbacks) {
    bool fixed_before = false;
    for (const fallback& next : fallbacks) {
      if (fixed_before)
        fail(plan_fault::unreachable_fallback, "has a fall-back behind a fixed one, which never fails");
      if (next.what == fallback::kind::dependency) add_dependency(next.from);
      if (next.what == fallback::kind::stale && next.oldest.count() <= 0)
        fail(plan_fault::no_stale_age, "has a stale part of no age");
      fixed_before = next.what == fallback::kind::fixed;
    }
  }

  const request_plan& plan_;
  const std::vector<dependency_rules>& dependencies_;
  const std::size_t plan_index_;
  const std::size_t part_index_;
  std::set<std::size_t> tried_;  // dependencies
  duration needed_{};            // by all of them, one after the other
};

void check_plan(const request_plan& plan, const std::vector<dependency_rules>& dependencies,
                std::size_t plan_index) {
  if (plan.parts.empty()) throw plan_error(plan_fault::no_part, "has no part", plan_index, std::nullopt);
  std::set<std::string> names;
  for (std::size_t i = 0; i < plan.parts.size(); ++i) {
    const std::string& name = plan.parts[i].name;
    if (!names.insert(name).second)
      throw plan_error(plan_fault::duplicate_part, "names a part twice: " + name, plan_index, i);
    part_check(plan, dependencies, plan_index, i).run();
  }
}

}  // namespace

void check_plans(const std::vector<request_plan>& plans, const std::vector<dependency_rules>& dependencies) {
  for (std::size_t i = 0; i < plans.size(); ++i) check_plan(plans[i], dependencies, i);
}

}  // namespace marblewharf::upstream
