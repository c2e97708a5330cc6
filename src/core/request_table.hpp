// The requests of one dispatcher, from their arrival until nothing more is owed or expected, and the one
// answer that each of them gets. Not synchronized: owned by the dispatcher's thread.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "core/backend.hpp"
#include "core/front.hpp"
#include "core/request.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf {

// Where a request stands between its front and its backend.
//
//   from     event                                               to
//   -------  --------------------------------------------------  ---------
//   (none)   arrival                                             queued
//   queued   the policy runs it                                  started
//   queued   rejected, failed, cancelled, or a result is shared  (removed)
//   started  its run ended, or its backend rejected it           (removed)
//   started  its backend aborted it before it was answered       aborted
//   aborted  the policy fails it                                 (removed)
//
// One that is answered or cancelled while `started` stays until its run ends. The primary of a coalesced
// group stays until its group is closed, see group_stage.
enum class request_stage { queued, started, aborted };

// A request's part in idempotency.
enum class request_role {
  independent,           // has no key, or was answered by the state of its key
  primary,               // runs, or inquires, for its key
  duplicate,             // shares the outcome of a primary
  stored_result_reader,  // gets a result that is stored
};

struct coalesced_group;

struct request_entry {
  request_entry(request_id entry_id, front& from, backend& to, request details);
  ~request_entry();
  request_entry(const request_entry&) = delete;
  request_entry& operator=(const request_entry&) = delete;

  const request_id id;
  request what;
  front& source;
  backend& target;
  request_stage stage = request_stage::queued;
  bool answered = false;  // or its client has cancelled: nothing is owed any longer
  request_role role = request_role::independent;
  std::unique_ptr<coalesced_group> group;  // of a primary
  request_id primary_id = 0;               // of a duplicate
};

class request_table {
 public:
  // Counts answers, in all and by class, in `counters`.
  request_table(std::size_t request_classes, telemetry::counters& counters);

  // Entries keep their address until they are removed.
  request_entry& add(front& from, backend& to, request&& details);
  request_entry* find(request_id id);  // null: no such request
  void remove(request_id id) { entries_.erase(id); }

  // Sends the final answer; without effect where the request was answered or cancelled before.
  void respond(request_entry& entry, const answer& final);

  std::size_t size() const { return entries_.size(); }
  // Each of these looks at every entry.
  std::size_t unanswered() const;
  std::size_t started() const;
  std::size_t queued_unanswered() const;

 private:
  request_id next_id();

  telemetry::counters& counters_;
  std::unordered_map<request_id, request_entry> entries_;
  request_id last_id_ = 0;
};

}  // namespace marblewharf
