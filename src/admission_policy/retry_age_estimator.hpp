// Estimates how long ago the first attempt of a marked retry was sent. A request whose objective has
// already passed since its first attempt, at other servers, is then not run.
#pragma once

#include <map>
#include <utility>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class retry_age_estimator {
 public:
  // Records the attempt's client timeout and returns the estimated age of its first attempt: the longest
  // timeout seen from this caller for this class, less the timeout of this attempt. Returns 0 for attempts
  // without a timeout and for attempts that are not marked as retries, because the timeouts of first attempts
  // differ too.
  duration age_of(const arrival& attempt);

 private:
  std::map<std::pair<unsigned, unsigned>, duration> longest_timeout_;  // by caller and class
};

}  // namespace admission_policy
