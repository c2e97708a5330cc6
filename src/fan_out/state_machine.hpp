// Decides on the calls of all fan-out requests: which sub-request calls which endpoint and when, retries,
// hedged requests, deadlines and fallbacks. Free of I/O; time and randomness are handed in. Events go in
// (begin, on_result, cancel, step), actions come out in their order (next_action). One thread at a time.
//
// Life of a sub-request:
//
// | state                | event                                           | next state                     |
// | -------------------- | ----------------------------------------------- | ------------------------------ |
// | (begin, or fallback) | a call can end in time, there is capacity       | calling                        |
// |                      | no capacity                                     | queued                         |
// |                      | all endpoints ejected, one is back in time      | waiting for an endpoint        |
// |                      | a call cannot end in time                       | falls back                     |
// | queued               | capacity                                        | calling                        |
// |                      | the latest start has passed                     | falls back                     |
// | waiting              | the endpoint may be back                        | as at the begin                |
// | calling              | success                                         | done                           |
// |                      | failure or timeout, another call in flight      | calling                        |
// |                      | failure or timeout, a retry is allowed          | as at the begin                |
// |                      | failure or timeout, else                        | falls back                     |
// | falls back           | the next fallback is a dependency               | as at the begin                |
// |                      | it is a stale or fixed response that is there   | done                           |
// |                      | none is left                                    | done, the response is missing  |
//
// A request ends when all sub-requests are done, or a required one is missing.
//
// Invariants: one `request_finished` for each request that was not cancelled, no later than its deadline; no
// call is waited for past its budget; retries and hedges stay within their budgets; calls in flight stay
// within each dependency's limit; a call still in flight when its sub-request is done is cancelled.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "fan_out/dependency_state.hpp"
#include "fan_out/messages.hpp"
#include "fan_out/response_cache.hpp"
#include "upstream/plan.hpp"

namespace marblewharf::fan_out {

class state_machine {
 public:
  // Throws upstream::plan_error for plans that check_plans() does not take. `cache_bytes`: of stale
  // responses.
  state_machine(std::vector<upstream::request_plan> plans,
                const std::vector<upstream::dependency_rules>& rules, std::size_t cache_bytes,
                std::uint64_t seed);

  // `which`: the plan. `subject`: what the request is about; stale responses are of the same subject. `by`:
  // the deadline, at which `request_finished` is wanted at the latest.
  void begin(fan_out_id id, std::size_t which, std::uint64_t subject, time_point by, time_point now);
  // `come_back`: the retry-after of a call that was rejected.
  void on_result(call_id id, call_result how, std::string bytes, duration come_back, time_point now);
  // The client is gone: no `request_finished` comes.
  void cancel(fan_out_id id, time_point now);
  // Runs the timers that are due.
  void step(time_point now);
  time_point due() const { return timers_.empty() ? time_point::max() : timers_.begin()->first; }

  // The next action; none: an event has to happen first.
  std::optional<action> next_action();

  // Whether calls may go to an endpoint, by the cluster's view.
  void set_reachable(std::size_t dependency, std::size_t endpoint, bool reachable) {
    dependencies_[dependency].endpoints().set_reachable(endpoint, reachable);
  }
  // This node's quota share of calls in flight, beside the limit that adapts. Below one, sub-requests fall
  // back at once.
  void set_share(std::size_t dependency, double most) { dependencies_[dependency].set_share(most); }

  const upstream::request_plan& plan_at(std::size_t i) const { return plans_[i]; }
  const dependency_counts& counts(std::size_t dependency) const { return dependencies_[dependency].counts(); }
  unsigned allowed(std::size_t dependency) const { return dependencies_[dependency].allowed(); }
  unsigned in_flight(std::size_t dependency) const { return dependencies_[dependency].in_flight(); }
  std::size_t waiting(std::size_t dependency) const { return dependencies_[dependency].queue().size(); }
  // Requests that have not ended.
  std::size_t open() const { return requests_.size(); }

 private:
  struct sub_request {
    bool done = false;
    std::size_t source = 0;  // 0: its own dependency; then its fallbacks, in their order
    // Of this source:
    std::size_t dependency = 0;
    unsigned attempts = 0;  // hedges aside
    time_point deadline{};
    bool queued = false;
    std::optional<std::size_t> avoided_endpoint;  // the one that failed last
    std::vector<call_id> calls;                   // in flight
    sub_response response;
  };
  struct open_request {
    std::size_t plan = 0;
    std::uint64_t subject = 0;
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
  enum class timer_kind { call_deadline, hedge, place_again, sub_request_deadline };
  struct timer {
    timer_kind kind{};
    call_id call = 0;        // call_deadline, hedge
    fan_out_id request = 0;  // place_again, sub_request_deadline
    std::size_t part = 0;
  };

  // Requests and sub-requests (state_machine.cpp).
  open_request* find(fan_out_id id);
  sub_request& sub_request_of(fan_out_id id, std::size_t part) { return find(id)->sub_requests[part]; }
  void try_source(fan_out_id id, std::size_t part, time_point now);
  void try_dependency(fan_out_id id, std::size_t part, std::size_t dependency, time_point now);
  void try_stale(fan_out_id id, std::size_t part, duration oldest, time_point now);
  void fall_back(fan_out_id id, std::size_t part, time_point now);
  void complete(fan_out_id id, std::size_t part, sub_response response, time_point now);
  void count_response(std::size_t dependency, const sub_response& response);
  void finish(fan_out_id id, std::optional<std::size_t> missing_required, time_point now);
  void on_response(const call& ended, std::string bytes, time_point now);
  void on_call_deadline(call_id id, time_point now);
  void on_sub_request_timer(const timer& due, time_point due_at, time_point now);

  // Placement of calls (call_placement.cpp).
  void place(fan_out_id id, std::size_t part, time_point now);
  void wait_for_capacity(fan_out_id id, std::size_t part, time_point now);
  void drop_stale_queue_entries(std::size_t dependency);
  void wait_for_endpoint(fan_out_id id, std::size_t part, time_point now);
  void start(fan_out_id id, std::size_t part, std::size_t endpoint, time_point now);
  void send_hedge(call_id id, time_point now);
  void retry_or_fall_back(fan_out_id id, std::size_t part, std::size_t failed_endpoint, time_point now);
  void end_call(std::map<call_id, call>::iterator ended, time_point now, upstream::call_outcome outcome);
  void cancel_calls(sub_request& sub, time_point now);
  void start_queued(std::size_t dependency, time_point now);
  void start_all_queued(time_point now);
  void report_endpoint_changes(std::size_t dependency);

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
