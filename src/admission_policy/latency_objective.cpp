#include "admission_policy/latency_objective.hpp"

#include <algorithm>

namespace admission_policy {

duration objective_of(const class_settings& of) {
  return of.latency_objective > duration::zero() ? of.latency_objective : of.deadline;
}

duration tightest_objective(const settings& given) {
  duration tightest = duration::max();
  for (const class_settings& one : given.classes) tightest = std::min(tightest, objective_of(one));
  return tightest;
}

}  // namespace admission_policy
