// Estimates how long ago the first attempt of a marked retry was sent, so that no work is done for retries
// whose objective passed elsewhere.
#pragma once

#include <map>
#include <utility>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class retry_age_estimator {
 public:
  // Learns from the attempt's client timeout and returns the age of its first attempt: what the timeout
  // missing_required of the longest one seen from this caller for this class. 0 for attempts that carry no
  // retry mark, as first attempts come with differing timeouts too, and for those without a timeout.
  duration age_of(const arrival& attempt);

 private:
  std::map<std::pair<unsigned, unsigned>, duration> longest_timeout_;  // by caller and class
};

}  // namespace admission_policy
