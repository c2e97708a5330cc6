// The latency objectives of request classes.
#pragma once

#include "admission_policy/policy.hpp"

namespace admission_policy {

// The latency objective of the class, or its deadline if it has no objective.
duration objective_of(const class_settings& its_class);

// The shortest objective of all classes.
duration shortest_objective(const settings& policy_settings);

}  // namespace admission_policy
