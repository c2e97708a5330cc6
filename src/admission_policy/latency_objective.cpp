#include "admission_policy/latency_objective.hpp"

#include <algorithm>

namespace admission_policy {

duration objective_of(const class_settings& its_class) {
  return its_class.latency_objective > duration::zero() ? its_class.latency_objective : its_class.deadline;
}

duration shortest_objective(const settings& policy_settings) {
  duration shortest = duration::max();
  for (const class_settings& its_class : policy_settings.classes)
    shortest = std::min(shortest, objective_of(its_class));
  return shortest;
}

}  // namespace admission_policy
