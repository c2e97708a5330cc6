// Placement of calls: selection of the endpoint, queuing, retries and hedged requests.
#include <utility>

#include "fan_out/state_machine.hpp"

namespace marblewharf::fan_out {

// Starts a call, or waits for capacity or for an endpoint. Falls back if a call could not end in time.
void state_machine::place(fan_out_id id, std::size_t part, time_point now) {
  sub_request& sub = sub_request_of(id, part);
  dependency_state& dependency = dependencies_[sub.dependency];
  if (!dependency.can_end_in_time(sub.deadline, now)) {
    fall_back(id, part, now);
    return;
  }
  if (!dependency.has_capacity()) {
    wait_for_capacity(id, part, now);
    return;
  }
  const bool may_probe = sub.attempts == 0;
  const auto endpoint = dependency.endpoints().choose(now, random_(), may_probe, sub.avoided_endpoint);
  report_endpoint_changes(sub.dependency);
  sub.queued = false;
  if (endpoint) {
    start(id, part, *endpoint, now);
  } else if (sub.avoided_endpoint) {  // no other endpoint is usable: allow the one that failed
    sub.avoided_endpoint.reset();
    place(id, part, now);
  } else {
    wait_for_endpoint(id, part, now);
  }
}

void state_machine::wait_for_capacity(fan_out_id id, std::size_t part, time_point now) {
  sub_request& sub = sub_request_of(id, part);
  dependency_state& dependency = dependencies_[sub.dependency];
  if (!dependency.has_share()) {
    ++dependency.counts().without_capacity;
    fall_back(id, part, now);
    return;
  }
  if (sub.queued) return;
  drop_stale_queue_entries(sub.dependency);
  if (dependency.queue().size() >= dependency.rules().most_waiting) {
    ++dependency.counts().without_capacity;
    fall_back(id, part, now);
    return;
  }
  sub.queued = true;
  dependency.queue().push_back({id, part});
  timers_.emplace(dependency.latest_start(sub.deadline), timer{timer_kind::retry_placement, 0, id, part});
}

// Removes the oldest entries whose sub-requests no longer wait for this dependency.
void state_machine::drop_stale_queue_entries(std::size_t dependency) {
  std::deque<queued_sub_request>& queue = dependencies_[dependency].queue();
  while (!queue.empty()) {
    const open_request* request = find(queue.front().request);
    if (request != nullptr) {
      const sub_request& sub = request->sub_requests[queue.front().part];
      if (sub.queued && sub.dependency == dependency) return;
    }
    queue.pop_front();
  }
}

// Called when no endpoint is usable (ejected, within the retry-after of a rejection, unreachable, or at its
// limit of calls in flight).
void state_machine::wait_for_endpoint(fan_out_id id, std::size_t part, time_point now) {
  const sub_request& sub = sub_request_of(id, part);
  const dependency_state& dependency = dependencies_[sub.dependency];
  const auto usable_at = dependency.endpoints().next_usable_at(now);
  if (usable_at && *usable_at <= dependency.latest_start(sub.deadline)) {
    timers_.emplace(*usable_at, timer{timer_kind::retry_placement, 0, id, part});
  } else {
    fall_back(id, part, now);
  }
}

void state_machine::start(fan_out_id id, std::size_t part, std::size_t endpoint, time_point now) {
  sub_request& sub = sub_request_of(id, part);
  dependency_state& dependency = dependencies_[sub.dependency];
  const call_id number = ++last_call_;
  ++sub.attempts;
  sub.calls.push_back(number);
  calls_[number] = {id, part, sub.dependency, endpoint, now};
  dependency.on_call_started(endpoint);
  timers_.emplace(sub.deadline, timer{timer_kind::call_deadline, number, 0, 0});
  const bool is_hedge = sub.calls.size() > 1;
  if (const auto delay = dependency.hedge_delay(); delay && !is_hedge)
    timers_.emplace(now + *delay, timer{timer_kind::hedge, number, 0, 0});
  actions_.emplace_back(start_call{number, id, sub.dependency, endpoint, sub.deadline - now});
}

// Starts a hedged request if the call `id` is still in flight and not hedged yet. Of the two calls, the first
// to succeed provides the response.
void state_machine::send_hedge(call_id id, time_point now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const call slow_call = found->second;
  sub_request& sub = sub_request_of(slow_call.request, slow_call.part);
  if (sub.done || sub.calls.size() != 1) return;
  dependency_state& dependency = dependencies_[slow_call.dependency];
  const auto endpoint = dependency.try_acquire_hedge(slow_call.endpoint, sub.deadline, now, random_);
  if (!endpoint) return;
  ++dependency.counts().hedges;
  --sub.attempts;  // offsets the increment in start(): a hedged request is not an attempt
  start(slow_call.request, slow_call.part, *endpoint, now);
}

void state_machine::retry_or_fall_back(fan_out_id id, std::size_t part, std::size_t failed_endpoint,
                                       time_point now) {
  sub_request& sub = sub_request_of(id, part);
  if (!sub.calls.empty()) return;  // the hedged request or the original call is still in flight
  dependency_state& dependency = dependencies_[sub.dependency];
  sub.avoided_endpoint = failed_endpoint;
  if (dependency.try_acquire_retry(sub.attempts, sub.deadline, now)) {
    ++dependency.counts().retries;
    place(id, part, now);
  } else {
    fall_back(id, part, now);
  }
}

void state_machine::end_call(std::map<call_id, call>::iterator position, time_point now,
                             upstream::call_outcome outcome) {
  const auto [id, ended_call] = *position;
  dependencies_[ended_call.dependency].on_call_ended(ended_call.endpoint, now, now - ended_call.begun_at,
                                                     outcome);
  report_endpoint_changes(ended_call.dependency);
  if (open_request* request = find(ended_call.request))
    std::erase(request->sub_requests[ended_call.part].calls, id);
  calls_.erase(position);
}

void state_machine::cancel_calls(sub_request& sub, time_point now) {
  for (const call_id id : std::vector<call_id>(sub.calls)) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    actions_.emplace_back(cancel_call{id});
    end_call(found, now, upstream::call_outcome::cancelled);
  }
  sub.calls.clear();
}

// Starts queued sub-requests of all dependencies, because the end of a request may have cancelled calls of
// any of them.
void state_machine::start_all_queued(time_point now) {
  for (std::size_t dependency = 0; dependency < dependencies_.size(); ++dependency)
    start_queued(dependency, now);
}

// Starts queued sub-requests while there is capacity, the newest first (LIFO): the newest has the most time
// left. In order of arrival, capacity would go to sub-requests close to their deadlines, and all of them
// would end late.
void state_machine::start_queued(std::size_t dependency_index, time_point now) {
  dependency_state& dependency = dependencies_[dependency_index];
  while (!dependency.queue().empty() && dependency.has_capacity()) {
    const queued_sub_request newest = dependency.queue().back();
    dependency.queue().pop_back();
    open_request* request = find(newest.request);
    if (request == nullptr) continue;
    sub_request& sub = request->sub_requests[newest.part];
    if (!sub.queued || sub.dependency != dependency_index) continue;
    sub.queued = false;
    place(newest.request, newest.part, now);
  }
}

void state_machine::report_endpoint_changes(std::size_t dependency_index) {
  dependency_state& dependency = dependencies_[dependency_index];
  for (const upstream::endpoint_change& change : dependency.endpoints().take_changes()) {
    if (dependency.endpoints().state_of(change.endpoint) == upstream::endpoint_state::ejected)
      ++dependency.counts().ejections;
    actions_.emplace_back(endpoint_changed{dependency_index, change.endpoint, change.reason});
  }
}

}  // namespace marblewharf::fan_out
