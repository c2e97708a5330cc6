// The time within which answers of a class are to come.
#pragma once

#include "admission_policy/policy.hpp"

namespace admission_policy {

// The latency objective of the class, or its deadline where it has none.
duration objective_of(const class_settings& of);

// The shortest objective of all classes.
duration tightest_objective(const settings& given);

}  // namespace admission_policy
