// The latest time for the sub-responses of a request, or for the decision on its transaction.
#pragma once

#include "admission_policy/policy.hpp"
#include "core/request.hpp"

namespace marblewharf::upstream {

// Returns arrival + latency objective - reserve; without a latency objective the deadline of the class is
// used instead. The reserve is the time to assemble the response and send it to the client.
inline time_point response_deadline(const request& client_request,
                                    const admission_policy::class_settings& request_class, duration reserve) {
  const bool has_objective = request_class.latency_objective.count() > 0;
  const duration limit = has_objective ? request_class.latency_objective : request_class.deadline;
  return client_request.arrival_time + limit - reserve;
}

}  // namespace marblewharf::upstream
