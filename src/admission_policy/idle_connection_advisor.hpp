// Advises the host when to close idle connections. Where callers rarely return, idle connections are closed
// early, so that the connection table does not fill up with connections of many low-traffic callers.
#pragma once

#include <map>
#include <optional>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class idle_connection_advisor {
 public:
  // Counts an arrival from this caller.
  void note_arrival(unsigned caller, time_point now);

  // Returns the advice if it differs from the previous one. Initially connections are kept open. Also removes
  // callers that have not been seen within the return window, to bound the table when caller numbers are
  // never reused.
  std::optional<close_idle> evaluate(time_point now);

 private:
  std::map<unsigned, time_point> last_seen_;  // by caller
  double returning_fraction_ = 1;             // of recent arrivals, moving average
  bool keeps_open_ = true;
};

}  // namespace admission_policy
