// Advises when to close idle connections: soon where callers seldom come back soon, so that a table of
// connections does not fill with those of many callers of little traffic each.
#pragma once

#include <map>
#include <optional>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class idle_connection_advisor {
 public:
  // Counts an arrival from this caller.
  void note_arrival(unsigned caller, time_point now);

  // The new advice if it has changed since the last one; at first connections are kept. Also forgets callers
  // not seen of late, so that the table stays small where callers come with ever new numbers.
  std::optional<close_idle> evaluate(time_point now);

 private:
  std::map<unsigned, time_point> last_seen_;  // by caller
  double returning_fraction_ = 1;             // of recent arrivals
  bool keeps_open_ = true;
};

}  // namespace admission_policy
