// A group of requests with the same idempotency key whose outcome is not known yet: the primary, and the
// duplicates that share its outcome.
#pragma once

#include <string>
#include <vector>

#include "core/request.hpp"

namespace marblewharf {

// Stages of a group. A group is closed when its primary is removed from the request table.
//
//   from              event                                              to
//   ----------------  -------------------------------------------------  ----------------
//   (none)            claim_status::primary                              queued
//   (none)            claim_status::inquiry_primary                      inquiring
//   queued            the policy runs the primary                        writing_intent
//   queued            the policy rejects or fails it; all clients        (closed)
//                     have cancelled
//   writing_intent    the intent is durable and a client waits           running
//   writing_intent    the intent could not be written; all clients       (closed)
//                     have cancelled
//   running           the run's server cannot be reached, another is     writing_intent
//                     left
//   running           the run succeeded or failed                        recording_result
//   running           the run is lost or aborted; proven not to have     (closed)
//                     run; rejected by the backend
//   inquiring         the backend has the result                         recording_result
//   inquiring         proven not to have run; no further inquiry         (closed)
//   recording_result  the result is recorded, or the state of the key    (closed)
//                     does not allow a result
enum class group_stage { queued, writing_intent, running, recording_result, inquiring };

// Owned by the request_entry of the primary.
struct coalesced_group {
  group_stage stage = group_stage::queued;
  bool policy_awaits_end = true;  // the end of the primary is still to be reported to the policy
  bool succeeded = false;         // set in stage recording_result: whether the run succeeded
  std::string result;             // set in stage recording_result
  time_point respond_by{};        // latest time of the primary's answer, in any stage
  std::vector<request_id> duplicates;
  std::vector<std::string> unreachable_servers;  // servers that got no byte of the request
};

}  // namespace marblewharf
