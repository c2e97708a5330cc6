// Finds keyed attempts that may duplicate an earlier attempt that this server had not yet read when the
// later one reached the machine. The earlier attempt's key was not yet retained, so no key links the two, and
// both could run. This guards against a second effect after a stall, a full accept queue or slow reads. It
// also reports some attempts that are not duplicates.
#pragma once

#include <deque>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class unlinked_duplicate_detector {
 public:
  // Whether a keyed attempt that reached the machine at `arrived` and is read now may be such a duplicate.
  // Where retries are marked (`retries_marked`), only a marked attempt can be one; otherwise only an attempt
  // of the same caller. Attempts with a long read delay are remembered for the idempotency window of the
  // class.
  bool check(const arrival& attempt, const class_settings& its_class, time_point arrived, bool retries_marked,
             time_point now);

 private:
  struct delayed_attempt {
    time_point read{};
    duration read_delay{};
    unsigned caller = 0;
  };

  std::deque<delayed_attempt> delayed_attempts_;  // by read time
};

}  // namespace admission_policy
