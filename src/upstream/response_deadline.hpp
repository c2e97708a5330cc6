// When a request's sub-responses, or the decision on its transaction, are wanted at the latest.
#pragma once

#include "admission_policy/policy.hpp"
#include "core/request.hpp"

namespace marblewharf::upstream {

// The class's latency objective, or its deadline where it has none, counts from the arrival. The reserve is
// left for the response to reach the client.
inline time_point response_deadline(const request& what,
                                    const admission_policy::class_settings& request_class, duration reserve) {
  const bool has_objective = request_class.latency_objective.count() > 0;
  const duration limit = has_objective ? request_class.latency_objective : request_class.deadline;
  return what.arrived + limit - reserve;
}

}  // namespace marblewharf::upstream
