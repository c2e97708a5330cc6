// The table of open requests with their states and deadlines. A request is open from its arrival until it
// ends.
//
// A request is in exactly one state. Only `change_state` changes it:
//
//   queued          -> running          the request starts
//   queued          -> sharing_result   the request is a duplicate and gets the result of another run
//   running         -> awaiting_call    the run needs its dependency call
//   awaiting_call   -> in_call          the call is placed
//   awaiting_call   -> running          the run continues without the call
//   in_call         -> running          the call succeeded
//   in_call         -> awaiting_call    the call failed and may be retried
//   running, awaiting_call, in_call -> ending   the request has been answered, and its run has left the core
//                                               and ends without further decisions
//
// A request can leave the table from every state. Before its removal it is set to `sharing_result`, which has
// no index.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "admission_policy/policy.hpp"

namespace admission_policy {

enum class request_state { queued, sharing_result, running, awaiting_call, in_call, ending };

// Whether a request in this state has started and not ended. Such a request uses the memory of a run.
inline bool was_started(request_state state) {
  return state != request_state::queued && state != request_state::sharing_result;
}

struct request {
  request_id id{};
  unsigned request_class{};
  unsigned tenant{};
  time_point arrived{};       // at the machine
  time_point answer_by{};     // latest time of the final answer
  time_point useful_until{};  // an answer after this time has a reduced weight or none
  time_point start_tag{};     // in shifted time, see arrival_curve.hpp
  time_point finish_tag{};    // in shifted time
  double reserved_kb{};
  double work{};  // in the units of service_time_estimator
  request_state state = request_state::queued;
  bool answered = false;         // needs no further answer, but may still run
  bool ran = false;              // the request, or the original of this duplicate, may have run
  bool exceeds_curve = false;    // the request exceeded the arrival curve of its tenant
  time_point running_since{};    // start of the run, moved later by the time spent in calls
  time_point left_core{};        // when the run last left its core for a call
  time_point next_call_after{};  // earliest time of the next attempt of the current call
  unsigned calls_made = 0;
  unsigned call_failures = 0;  // failed attempts of the current call
  time_point deadline{};       // set by request_table::set_deadline
};

class request_table {
 public:
  // An index entry: a request ordered by a time. Equal times are ordered by id, which is the order of
  // arrival. The pointer is valid while the entry is in its index.
  struct timed_request {
    time_point time{};
    request_id id{};
    request* entry = nullptr;

    bool operator<(const timed_request& other) const {
      return time != other.time ? time < other.time : id < other.id;
    }
  };
  using index = std::set<timed_request>;

  request_table() = default;
  request_table(const request_table&) = delete;
  request_table& operator=(const request_table&) = delete;
  request_table(request_table&&) = default;
  request_table& operator=(request_table&&) = default;
  ~request_table() = default;

  // Adds a queued request whose id is not in the table. The returned reference is valid until the request is
  // removed.
  request& enqueue(const request& new_request);

  // Returns null if the id is not in the table.
  request* find(request_id id);
  std::map<request_id, request>& all() { return requests_; }

  void change_state(request& target, request_state new_state);

  // Removes a request in the state `sharing_result` and its deadline.
  void remove(request& target);

  const index& queue() const { return queue_; }                  // by finish tag
  const index& running() const { return running_; }              // by start of the run
  const index& awaiting_call() const { return awaiting_call_; }  // by finish tag
  unsigned in_call_count() const { return in_call_count_; }
  std::size_t started_count() const;  // requests for which was_started() is true

  // Sets the time at which the policy must act on the request. Replaces an earlier deadline.
  void set_deadline(request& target, time_point deadline);
  void clear_deadline(request& target);
  std::optional<time_point> next_deadline() const;
  // Returns the request with the earliest deadline if that deadline is not after `now`, otherwise null.
  request* next_due(time_point now);

 private:
  void remove_from_index(request& target);
  void add_to_index(request& target);

  std::map<request_id, request> requests_;
  index queue_;
  index running_;
  index awaiting_call_;
  index deadlines_;
  unsigned in_call_count_ = 0;
};

}  // namespace admission_policy
