#include "upstream/plan.hpp"

#include <set>

namespace marblewharf::upstream {
namespace {

std::string format_milliseconds(duration length) {
  return std::to_string(length / std::chrono::milliseconds(1)) + "ms";
}

// Validates one part of a plan. Errors carry the indices of the plan and the part.
class part_validator {
 public:
  part_validator(const request_plan& plan, const std::vector<dependency_rules>& dependencies,
                 std::size_t plan_index, std::size_t part_index)
      : plan_(plan), dependencies_(dependencies), plan_index_(plan_index), part_index_(part_index) {}

  void validate() {
    const sub_request_plan& part = plan_.parts[part_index_];
    add_dependency(part.dependency);
    check_fallbacks(part.fallbacks);
    const duration available = plan_.latency_objective - plan_.reserve;
    if (total_budget_ > available)
      fail(plan_fault::too_slow,
           "needs " + format_milliseconds(total_budget_) +
               " for its dependencies in sequence, but the latency objective less the reserve is " +
               format_milliseconds(available));
  }

 private:
  [[noreturn]] void fail(plan_fault fault, const std::string& text) const {
    throw plan_error(fault, text, plan_index_, part_index_);
  }

  void add_dependency(std::size_t dependency) {
    if (dependency >= dependencies_.size())
      fail(plan_fault::unknown_dependency, "refers to an unknown dependency");
    if (!used_dependencies_.insert(dependency).second)
      fail(plan_fault::repeated_dependency,
           "falls back on " + dependencies_[dependency].name + ", which the part already calls");
    total_budget_ += dependencies_[dependency].budget;
  }

  void check_fallbacks(const std::vector<fallback>& fallbacks) {
    bool after_fixed = false;
    for (const fallback& candidate : fallbacks) {
      if (after_fixed)
        fail(plan_fault::unreachable_fallback,
             "has an unreachable fallback after a fixed one, which never fails");
      if (candidate.type == fallback::kind::dependency) add_dependency(candidate.dependency);
      if (candidate.type == fallback::kind::stale && candidate.max_age.count() <= 0)
        fail(plan_fault::no_stale_age, "has a stale fallback whose maximum age is not above 0");
      after_fixed = candidate.type == fallback::kind::fixed;
    }
  }

  const request_plan& plan_;
  const std::vector<dependency_rules>& dependencies_;
  const std::size_t plan_index_;
  const std::size_t part_index_;
  std::set<std::size_t> used_dependencies_;
  duration total_budget_{};  // of all used dependencies, which are called in sequence
};

void check_plan(const request_plan& plan, const std::vector<dependency_rules>& dependencies,
                std::size_t plan_index) {
  if (plan.parts.empty()) throw plan_error(plan_fault::no_part, "has no parts", plan_index, std::nullopt);
  std::set<std::string> names;
  for (std::size_t i = 0; i < plan.parts.size(); ++i) {
    const std::string& name = plan.parts[i].name;
    if (!names.insert(name).second)
      throw plan_error(plan_fault::duplicate_part, "has more than one part named " + name, plan_index, i);
    part_validator(plan, dependencies, plan_index, i).validate();
  }
}

}  // namespace

void check_plans(const std::vector<request_plan>& plans, const std::vector<dependency_rules>& dependencies) {
  for (std::size_t i = 0; i < plans.size(); ++i) check_plan(plans[i], dependencies, i);
}

}  // namespace marblewharf::upstream
