// State machine of all fan-out requests: decides which sub-request calls which endpoint and when, and handles
// retries, hedged requests, deadlines and fallbacks. Free of I/O; time and random seed are passed in. Callers
// report events (begin, on_result, cancel, step) and then carry out the resulting actions in their order
// (next_action). Not thread-safe.
//
// States of a sub-request:
//
// | state                | event                                           | next state                     |
// | -------------------- | ----------------------------------------------- | ------------------------------ |
// | placing (initial)    | a call can end in time and there is capacity    | calling                        |
// |                      | no capacity, the queue has space                | queued                         |
// |                      | no capacity, no quota share or the queue is full| falling back                   |
// |                      | no endpoint is usable, but one will be in time  | waiting for an endpoint        |
// |                      | a call cannot end in time                       | falling back                   |
// | queued               | capacity is available                           | placing                        |
// |                      | the latest start has passed                     | falling back                   |
// | waiting              | the endpoint may be usable again                | placing                        |
// | calling              | success                                         | done                           |
// |                      | failure or timeout, another call is in flight   | calling                        |
// |                      | failure or timeout, a retry is allowed          | placing                        |
// |                      | failure or timeout, no retry is allowed         | falling back                   |
// | falling back         | the next fallback is a dependency               | placing                        |
// |                      | the next fallback is a response and available   | done                           |
// |                      | no fallback is left                             | done, the response is missing  |
//
// A request ends when all of its sub-requests are done, or when a required sub-response is missing.
//
// Invariants: each request that is not cancelled gets exactly one `request_finished`, not later than its
// deadline; no call lasts longer than its budget; retries and hedged requests stay within their budgets;
// calls in flight stay within the limit of each dependency; when a sub-request is done, its remaining calls
// are cancelled.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/content_key.hpp"
#include "fan_out/dependency_state.hpp"
#include "fan_out/messages.hpp"
#include "fan_out/response_cache.hpp"
#include "upstream/plan.hpp"

namespace marblewharf::fan_out {

class state_machine {
 public:
  // Throws upstream::plan_error if check_plans() rejects the plans. `cache_bytes`: capacity of the cache of
  // stale responses.
  state_machine(std::vector<upstream::request_plan> plans,
                const std::vector<upstream::dependency_rules>& rules, std::size_t cache_bytes,
                std::uint64_t seed);

  // Starts a request. `plan`: index of its plan. `content`: whose request it is and what it asks for; a stale
  // response is used only for the same content and, unless the part is shared, the same tenant. `deadline`:
  // the latest time for `request_finished`.
  void begin(fan_out_id id, std::size_t plan, const content_key& content, time_point deadline,
             time_point now);
  // Reports the end of a call. `bytes`: the response, after a success. `retry_after`: after a rejection.
  void on_result(call_id id, call_result result, std::string bytes, duration retry_after, time_point now);
  // Cancels a request because its client has disconnected; there is no `request_finished` for it.
  void cancel(fan_out_id id, time_point now);
  // Runs the timers that are due.
  void step(time_point now);
  // The time of the next timer; time_point::max() if there is none.
  time_point next_timer_at() const { return timers_.empty() ? time_point::max() : timers_.begin()->first; }

  // Returns the next action to carry out. None: there is nothing to do until the next event.
  std::optional<action> next_action();

  // Sets whether an endpoint is reachable, according to the cluster.
  void set_reachable(std::size_t dependency, std::size_t endpoint, bool reachable) {
    dependencies_[dependency].endpoints().set_reachable(endpoint, reachable);
  }
  // Sets this node's quota share of calls in flight, which applies in addition to the adaptive limit. With a
  // share below one call, sub-requests use their fallbacks at once.
  void set_share(std::size_t dependency, double share) { dependencies_[dependency].set_share(share); }

  const upstream::request_plan& plan_at(std::size_t index) const { return plans_[index]; }
  const dependency_counts& counts(std::size_t dependency) const { return dependencies_[dependency].counts(); }
  unsigned allowed(std::size_t dependency) const { return dependencies_[dependency].allowed(); }
  unsigned in_flight(std::size_t dependency) const { return dependencies_[dependency].in_flight(); }
  std::size_t waiting(std::size_t dependency) const { return dependencies_[dependency].queue().size(); }
  // The number of requests that have not ended.
  std::size_t open() const { return requests_.size(); }

 private:
  struct sub_request {
    bool done = false;
    std::size_t source = 0;  // 0: its own dependency; n: its nth fallback
    // The following fields refer to the current source.
    std::size_t dependency = 0;
    unsigned attempts = 0;  // number of attempts, not counting hedged requests
    time_point deadline{};
    bool queued = false;
    std::optional<std::size_t> avoided_endpoint;  // the endpoint of the last failed call
    std::vector<call_id> calls;                   // in flight
    sub_response response;
  };
  struct open_request {
    std::size_t plan = 0;
    content_key content;
    time_point deadline{};
    std::size_t open_sub_requests = 0;
    std::vector<sub_request> sub_requests;  // in the order of the plan
  };
  struct call {
    fan_out_id request = 0;
    std::size_t part = 0;
    std::size_t dependency = 0;
    std::size_t endpoint = 0;
    time_point begun_at{};
  };
  enum class timer_kind { call_deadline, hedge, retry_placement, sub_request_deadline };
  struct timer {
    timer_kind kind{};
    call_id call = 0;        // set for call_deadline and hedge
    fan_out_id request = 0;  // set for retry_placement and sub_request_deadline
    std::size_t part = 0;
  };

  // Requests and sub-requests (state_machine.cpp).
  open_request* find(fan_out_id id);
  sub_request& sub_request_of(fan_out_id id, std::size_t part) { return find(id)->sub_requests[part]; }
  void try_source(fan_out_id id, std::size_t part, time_point now);
  void try_dependency(fan_out_id id, std::size_t part, std::size_t dependency, time_point now);
  // The key under which the response of a part is cached.
  content_key cached_content(const open_request& request, std::size_t part) const;
  void try_stale(fan_out_id id, std::size_t part, duration max_age, time_point now);
  void fall_back(fan_out_id id, std::size_t part, time_point now);
  void complete(fan_out_id id, std::size_t part, sub_response response, time_point now);
  void count_response(std::size_t dependency, const sub_response& response);
  void finish(fan_out_id id, std::optional<std::size_t> missing_required, time_point now);
  void on_response(const call& ended_call, std::string bytes, time_point now);
  void on_call_deadline(call_id id, time_point now);
  void on_sub_request_timer(const timer& expired, time_point due_at, time_point now);

  // Placement of calls (call_placement.cpp).
  void place(fan_out_id id, std::size_t part, time_point now);
  void wait_for_capacity(fan_out_id id, std::size_t part, time_point now);
  void drop_stale_queue_entries(std::size_t dependency);
  void wait_for_endpoint(fan_out_id id, std::size_t part, time_point now);
  void start(fan_out_id id, std::size_t part, std::size_t endpoint, time_point now);
  void send_hedge(call_id id, time_point now);
  void retry_or_fall_back(fan_out_id id, std::size_t part, std::size_t failed_endpoint, time_point now);
  void end_call(std::map<call_id, call>::iterator position, time_point now, upstream::call_outcome outcome);
  void cancel_calls(sub_request& sub, time_point now);
  void start_queued(std::size_t dependency_index, time_point now);
  void start_all_queued(time_point now);
  void report_endpoint_changes(std::size_t dependency_index);

  std::vector<upstream::request_plan> plans_;
  std::vector<dependency_state> dependencies_;
  response_cache cache_;
  std::mt19937_64 random_;
  std::unordered_map<fan_out_id, open_request> requests_;
  std::map<call_id, call> calls_;
  std::multimap<time_point, timer> timers_;
  std::deque<action> actions_;
  call_id last_call_ = 0;
};

}  // namespace marblewharf::fan_out
