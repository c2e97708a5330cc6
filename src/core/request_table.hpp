// The open requests of a dispatcher: each entry exists from the arrival of a request until the request is
// answered and its run has ended. Sends each request exactly one answer. Not synchronized: owned by the
// dispatcher's thread.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "core/backend.hpp"
#include "core/front.hpp"
#include "core/request.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf {

// Stages of a request between its front and its backend.
//
//   from     event                                               to
//   -------  --------------------------------------------------  ---------
//   (none)   arrival                                             queued
//   queued   the policy runs the request                         started
//   queued   rejected, failed, cancelled, or a result is shared  (removed)
//   started  the run ended, or the backend rejected the request  (removed)
//   started  the backend aborted the run before the answer       aborted
//   aborted  the policy fails the request                        (removed)
//
// A request that is answered or cancelled while `started` stays until its run ends. The primary of a
// coalesced group stays until its group is closed, see group_stage.
enum class request_stage { queued, started, aborted };

// The role of a request in the coalescing of duplicates.
enum class request_role {
  independent,           // has no key, or is answered according to the state of its key without a run
  primary,               // runs, or asks the backend for the outcome, on behalf of its key
  duplicate,             // shares the outcome of a primary
  stored_result_reader,  // is answered with the stored result
};

struct coalesced_group;

struct request_entry {
  request_entry(request_id entry_id, front& entry_front, backend& entry_backend, request entry_details);
  ~request_entry();
  request_entry(const request_entry&) = delete;
  request_entry& operator=(const request_entry&) = delete;

  const request_id id;
  request details;
  front& receiving_front;
  backend& target_backend;
  request_stage stage = request_stage::queued;
  bool answered = false;          // the answer was sent, or the client cancelled: no further answer is sent
  bool closed_by_policy = false;  // the policy knows that no answer is wanted: it places no call for the run
  bool awaits_call = false;       // the run waits for its dependency call
  request_role role = request_role::independent;
  std::unique_ptr<coalesced_group> group;  // set for a primary
  request_id primary_id = 0;               // set for a duplicate
};

class request_table {
 public:
  // Counts answers in `counters`, in total and by request class. `counters` outlives this object.
  request_table(std::size_t request_classes, telemetry::counters& counters);

  // The address of an entry is stable until its removal.
  request_entry& add(front& receiving_front, backend& target_backend, request&& details);
  request_entry* find(request_id id);  // null if there is no such request
  void remove(request_id id) { entries_.erase(id); }

  // Sends the final answer. Does nothing if the request was already answered or cancelled.
  void respond(request_entry& entry, const answer& final_answer);

  std::size_t size() const { return entries_.size(); }
  // Each of these functions iterates over all entries.
  std::size_t count_unanswered() const;
  std::size_t count_started() const;
  std::size_t count_queued_unanswered() const;

 private:
  request_id next_id();

  telemetry::counters& counters_;
  std::unordered_map<request_id, request_entry> entries_;
  request_id last_id_ = 0;
};

}  // namespace marblewharf
