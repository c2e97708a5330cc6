// Finds keyed attempts that may duplicate one which stood here unread when they were sent: no key can link
// the two then, and both might run. Guards against two effects after a stall, a full intake or slow reads; it
// also finds some attempts that are other requests.
#pragma once

#include <deque>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class unlinked_duplicate_detector {
 public:
  // Whether a keyed attempt, which reached the machine at `arrived` and is read now, may be such a duplicate.
  // Where retries carry marks (`retries_marked`) a duplicate is known by its own, otherwise by its caller.
  // Attempts that waited long to be read are remembered for the idempotency window of the class.
  bool check(const arrival& attempt, const class_settings& its_class, time_point arrived, bool retries_marked,
             time_point now);

 private:
  struct delayed_attempt {
    time_point read{};
    duration read_delay{};
    unsigned caller = 0;
  };

  std::deque<delayed_attempt> delayed_attempts_;  // by time of read
};

}  // namespace admission_policy
