// The requests that the policy was handed and that have not ended, their states and their deadlines.
//
// A request is in one state at a time, and `move` is the only function that changes it:
//
//   queued          -> running          it starts
//   queued          -> sharing_result   it is a duplicate and gets the result of another run
//   running         -> awaiting_call    it needs its dependency call
//   awaiting_call   -> in_call          the call is placed
//   awaiting_call   -> running          it goes on without the call
//   in_call         -> running          the call succeeded
//   in_call         -> awaiting_call    the call failed and may be tried again
//   running, awaiting_call, in_call -> ending   nobody waits any longer; it is off the cores and ends by
//   itself
//
// From every state a request leaves the table when it ends; it passes `sharing_result` then, which stands in
// no index.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "admission_policy/policy.hpp"

namespace admission_policy {

enum class request_state { queued, sharing_result, running, awaiting_call, in_call, ending };

// Whether a request in this state was started and has not ended: it takes the memory of a run.
inline bool was_started(request_state state) {
  return state != request_state::queued && state != request_state::sharing_result;
}

struct request {
  request_id id{};
  unsigned request_class{};
  unsigned tenant{};
  time_point arrived{};       // at the machine
  time_point answer_by{};     // the final answer goes out no later than this
  time_point useful_until{};  // an answer after this earns less or nothing
  time_point start_tag{};     // in shifted time, see arrival_curve.hpp
  time_point finish_tag{};    // in shifted time
  double reserved_kb{};
  double work{};  // in the units of service_time_estimator
  request_state state = request_state::queued;
  bool answered = false;         // no answer is owed any longer; it may still run
  bool ran = false;              // it was started, or what it duplicates may have been
  bool spaced = false;           // it was beyond the arrival curve of its tenant
  time_point running_since{};    // moved on by the time spent at calls
  time_point left_core{};        // when it last needed a call
  time_point next_call_after{};  // no attempt of its present call goes out before this
  unsigned calls_made = 0;
  unsigned call_failures = 0;  // of its present call
  time_point deadline{};       // set by request_table::set_deadline
};

class request_table {
 public:
  // An entry of an index: a request at a time. Ids break ties, in order of arrival. The request is in the
  // table as long as the entry is in its index.
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

  // Adds a queued request. Its id must not be in the table; the reference stays valid until it is removed.
  request& enqueue(const request& added);

  // Null where the id is not in the table.
  request* find(request_id id);
  std::map<request_id, request>& all() { return requests_; }

  void move(request& moved, request_state to);

  // Removes a request that is in `sharing_result`, and its deadline.
  void remove(request& removed);

  const index& queue() const { return queue_; }                  // by finish tag
  const index& running() const { return running_; }              // by start of the run
  const index& awaiting_call() const { return awaiting_call_; }  // by finish tag
  unsigned in_call() const { return in_call_; }
  std::size_t started() const;  // requests in a state of was_started()

  // When the request is to be looked at next; a later call replaces an earlier one.
  void set_deadline(request& of, time_point deadline);
  void clear_deadline(request& of);
  std::optional<time_point> next_deadline() const;
  // A request whose deadline is not after `now`, the earliest first; null where there is none.
  request* next_due(time_point now);

 private:
  void remove_from_index(request& leaving);
  void add_to_index(request& entering);

  std::map<request_id, request> requests_;
  index queue_;
  index running_;
  index awaiting_call_;
  index deadlines_;
  unsigned in_call_ = 0;
};

}  // namespace admission_policy
