// Placement of calls: which endpoint a sub-request calls and when, what it waits for, retries and hedged
// requests.
#include <utility>

#include "fan_out/state_machine.hpp"

namespace marblewharf::fan_out {

// Calls now, waits for what is in the way, or falls back where a call could not end in time.
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
  } else if (sub.avoided_endpoint) {  // there is no other one: the same again
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
  timers_.emplace(dependency.latest_start(sub.deadline), timer{timer_kind::place_again, 0, id, part});
}

// The oldest entries may be of sub-requests that do not wait here any more.
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

// All endpoints are ejected or have asked for time.
void state_machine::wait_for_endpoint(fan_out_id id, std::size_t part, time_point now) {
  const sub_request& sub = sub_request_of(id, part);
  const dependency_state& dependency = dependencies_[sub.dependency];
  const auto usable_at = dependency.endpoints().next_usable_at(now);
  if (usable_at && *usable_at <= dependency.latest_start(sub.deadline)) {
    timers_.emplace(*usable_at, timer{timer_kind::place_again, 0, id, part});
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

// A second call beside one that takes longer than nearly all do: whichever succeeds first counts.
void state_machine::send_hedge(call_id id, time_point now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const call slow = found->second;
  sub_request& sub = sub_request_of(slow.request, slow.part);
  if (sub.done || sub.calls.size() != 1) return;
  dependency_state& dependency = dependencies_[slow.dependency];
  const auto endpoint = dependency.take_hedge(slow.endpoint, sub.deadline, now, random_);
  if (!endpoint) return;
  ++dependency.counts().hedges;
  --sub.attempts;  // start() counts it, and it is no attempt of its own
  start(slow.request, slow.part, *endpoint, now);
}

void state_machine::retry_or_fall_back(fan_out_id id, std::size_t part, std::size_t failed_endpoint,
                                       time_point now) {
  sub_request& sub = sub_request_of(id, part);
  if (!sub.calls.empty()) return;  // the hedged request, or the one that it hedges, is still in flight
  dependency_state& dependency = dependencies_[sub.dependency];
  sub.avoided_endpoint = failed_endpoint;
  if (dependency.take_retry(sub.attempts, sub.deadline, now)) {
    ++dependency.counts().retries;
    place(id, part, now);
  } else {
    fall_back(id, part, now);
  }
}

void state_machine::end_call(std::map<call_id, call>::iterator ended, time_point now,
                             upstream::call_outcome outcome) {
  const auto [id, was] = *ended;
  dependencies_[was.dependency].on_call_ended(was.endpoint, now, now - was.begun_at, outcome);
  report_endpoint_changes(was.dependency);
  if (open_request* request = find(was.request)) std::erase(request->sub_requests[was.part].calls, id);
  calls_.erase(ended);
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

// The end of a request may have cancelled calls of any dependency.
void state_machine::start_all_queued(time_point now) {
  for (std::size_t dependency = 0; dependency < dependencies_.size(); ++dependency)
    start_queued(dependency, now);
}

// Capacity goes to the last that came, which has its time before it. In order of arrival it would go to those
// whose time is nearly over, and all would come late.
void state_machine::start_queued(std::size_t which, time_point now) {
  dependency_state& dependency = dependencies_[which];
  while (!dependency.queue().empty() && dependency.has_capacity()) {
    const queued_sub_request last = dependency.queue().back();
    dependency.queue().pop_back();
    open_request* request = find(last.request);
    if (request == nullptr) continue;
    sub_request& sub = request->sub_requests[last.part];
    if (!sub.queued || sub.dependency != which) continue;
    sub.queued = false;
    place(last.request, last.part, now);
  }
}

void state_machine::report_endpoint_changes(std::size_t which) {
  dependency_state& dependency = dependencies_[which];
  for (const upstream::endpoint_change& change : dependency.endpoints().take_changes()) {
    if (dependency.endpoints().state_of(change.endpoint) == upstream::endpoint_state::ejected)
      ++dependency.counts().ejections;
    actions_.emplace_back(endpoint_changed{which, change.endpoint, change.reason});
  }
}

}  // namespace marblewharf::fan_out
