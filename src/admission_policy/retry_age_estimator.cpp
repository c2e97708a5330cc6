#include "admission_policy/retry_age_estimator.hpp"

#include <algorithm>

namespace admission_policy {

duration retry_age_estimator::age_of(const arrival& attempt) {
  if (attempt.client_timeout <= duration::zero()) return {};
  duration& longest = longest_timeout_[{attempt.caller, attempt.request_class}];
  const duration timeout = attempt.client_timeout + attempt.read_delay;
  longest = std::max(longest, timeout);
  return attempt.retry ? longest - timeout : duration{};
}

}  // namespace admission_policy
