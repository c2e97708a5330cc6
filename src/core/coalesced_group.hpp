// The requests that have one idempotency key while its outcome is not known yet: a primary, and the
// duplicates that share its outcome.
#pragma once

#include <string>
#include <vector>

#include "core/request.hpp"

namespace marblewharf {

// Where the group stands. A group is closed when its primary is removed from the request table.
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
//   running           the run succeeded or failed                        recording_result
//   running           outcome unknown; proven never to have run;         (closed)
//                     the backend rejected it
//   inquiring         the backend has the result                         recording_result
//   inquiring         it never ran; no further inquiry                   (closed)
//   recording_result  the result is recorded, or the key allows none     (closed)
enum class group_stage { queued, writing_intent, running, recording_result, inquiring };

// Owned by the primary's entry.
struct coalesced_group {
  group_stage stage = group_stage::queued;
  bool policy_awaits_end = true;  // the policy has not heard of the primary's end yet
  bool succeeded = false;         // while recording_result: how the run ended
  std::string result;             // while recording_result
  time_point respond_by{};        // the primary is answered by then, whatever its stage
  std::vector<request_id> duplicates;
};

}  // namespace marblewharf
