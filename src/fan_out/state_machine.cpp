// Requests and sub-requests: start, fallbacks, deadlines and end.
#include "fan_out/state_machine.hpp"

#include <utility>

namespace marblewharf::fan_out {

state_machine::state_machine(std::vector<upstream::request_plan> plans,
                             const std::vector<upstream::dependency_rules>& rules, std::size_t cache_bytes,
                             std::uint64_t seed)
    : plans_(std::move(plans)), cache_(cache_bytes), random_(seed) {
  check_plans(plans_, rules);
  for (const upstream::dependency_rules& dependency : rules) dependencies_.emplace_back(dependency);
}

std::optional<action> state_machine::next_action() {
  if (actions_.empty()) return std::nullopt;
  action next = std::move(actions_.front());
  actions_.pop_front();
  return next;
}

state_machine::open_request* state_machine::find(fan_out_id id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void state_machine::begin(fan_out_id id, std::size_t plan, const content_key& content, time_point deadline,
                          time_point now) {
  const std::size_t parts = plans_[plan].parts.size();
  requests_.insert_or_assign(id, open_request{plan, content, deadline, parts, {}});
  find(id)->sub_requests.resize(parts);
  // A required sub-request whose response is missing ends the request, so the loop stops.
  for (std::size_t i = 0; i < parts && find(id) != nullptr; ++i) try_source(id, i, now);
}

void state_machine::cancel(fan_out_id id, time_point now) {
  open_request* request = find(id);
  if (request == nullptr) return;
  for (sub_request& sub : request->sub_requests) cancel_calls(sub, now);
  requests_.erase(id);
  start_all_queued(now);
}

// ---- Sub-requests -----------------------------------------------------------------------------------------

// Tries the current source of the sub-request: its own dependency first, then its fallbacks. If there are no
// sources left, the sub-response is missing.
void state_machine::try_source(fan_out_id id, std::size_t part, time_point now) {
  const std::size_t source = sub_request_of(id, part).source;
  const upstream::sub_request_plan& plan = plans_[find(id)->plan].parts[part];
  if (source == 0) {
    try_dependency(id, part, plan.dependency, now);
    return;
  }
  if (source > plan.fallbacks.size()) {
    complete(id, part, {}, now);
    return;
  }
  const upstream::fallback& fallback = plan.fallbacks[source - 1];
  switch (fallback.type) {
    case upstream::fallback::kind::dependency: try_dependency(id, part, fallback.dependency, now); break;
    case upstream::fallback::kind::stale: try_stale(id, part, fallback.max_age, now); break;
    case upstream::fallback::kind::fixed:
      complete(id, part, {sub_response_state::fallback, {}, fallback.fixed_response}, now);
      break;
  }
}

void state_machine::try_dependency(fan_out_id id, std::size_t part, std::size_t dependency, time_point now) {
  sub_request& sub = sub_request_of(id, part);
  sub.dependency = dependency;
  sub.attempts = 0;
  sub.avoided_endpoint.reset();
  sub.deadline = dependencies_[dependency].begin_sub_request(find(id)->deadline, now);
  timers_.emplace(sub.deadline, timer{timer_kind::sub_request_deadline, 0, id, part});
  place(id, part, now);
}

content_key state_machine::cached_content(const open_request& request, std::size_t part) const {
  return plans_[request.plan].parts[part].shared ? request.content.for_all_tenants() : request.content;
}

void state_machine::try_stale(fan_out_id id, std::size_t part, duration max_age, time_point now) {
  const open_request& request = *find(id);
  const std::size_t dependency = plans_[request.plan].parts[part].dependency;
  if (const auto cached = cache_.get(dependency, cached_content(request, part), max_age, now)) {
    complete(id, part, {sub_response_state::stale, cached->age, *cached->bytes}, now);
  } else {
    fall_back(id, part, now);
  }
}

void state_machine::fall_back(fan_out_id id, std::size_t part, time_point now) {
  sub_request& sub = sub_request_of(id, part);
  sub.queued = false;
  ++sub.source;
  try_source(id, part, now);
}

void state_machine::complete(fan_out_id id, std::size_t part, sub_response response, time_point now) {
  open_request& request = *find(id);
  sub_request& sub = request.sub_requests[part];
  const upstream::sub_request_plan& plan = plans_[request.plan].parts[part];
  cancel_calls(sub, now);
  sub.done = true;
  sub.response = std::move(response);
  count_response(plan.dependency, sub.response);
  --request.open_sub_requests;
  if (sub.response.state == sub_response_state::missing && plan.required) {
    finish(id, part, now);
  } else if (request.open_sub_requests == 0) {
    finish(id, std::nullopt, now);
  }
}

void state_machine::count_response(std::size_t dependency, const sub_response& response) {
  dependency_counts& counts = dependencies_[dependency].counts();
  switch (response.state) {
    case sub_response_state::missing: ++counts.missing; break;
    case sub_response_state::fresh: ++counts.fresh; break;
    case sub_response_state::stale:
      ++counts.stale;
      counts.stale_age += response.age;
      break;
    case sub_response_state::fallback: ++counts.fallback; break;
  }
}

void state_machine::finish(fan_out_id id, std::optional<std::size_t> missing_required, time_point now) {
  request_finished end;
  end.id = id;
  end.missing_required = missing_required;
  end.complete = !missing_required;
  for (sub_request& sub : find(id)->sub_requests) {
    cancel_calls(sub, now);
    end.complete = end.complete && sub.response.state == sub_response_state::fresh;
    end.parts.push_back(std::move(sub.response));
  }
  requests_.erase(id);
  actions_.emplace_back(std::move(end));
}

// ---- Results and timers -----------------------------------------------------------------------------------

void state_machine::on_result(call_id id, call_result result, std::string bytes, duration retry_after,
                              time_point now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;  // already cancelled
  const call ended_call = found->second;
  dependency_state& dependency = dependencies_[ended_call.dependency];
  switch (result) {
    case call_result::rejected:
      ++dependency.counts().rejected;
      dependency.endpoints().on_rejected(ended_call.endpoint, now + retry_after);
      end_call(found, now, upstream::call_outcome::cancelled);
      retry_or_fall_back(ended_call.request, ended_call.part, ended_call.endpoint, now);
      break;
    case call_result::failed:
      ++dependency.counts().failed;
      end_call(found, now, upstream::call_outcome::failed);
      retry_or_fall_back(ended_call.request, ended_call.part, ended_call.endpoint, now);
      break;
    case call_result::succeeded:
      dependency.on_success(now, now - ended_call.begun_at);
      end_call(found, now, upstream::call_outcome::succeeded);
      on_response(ended_call, std::move(bytes), now);
      break;
  }
  start_all_queued(now);
}

void state_machine::on_response(const call& ended_call, std::string bytes, time_point now) {
  const open_request& request = *find(ended_call.request);
  const bool from_own_dependency = request.sub_requests[ended_call.part].source == 0;
  if (from_own_dependency)
    cache_.put(ended_call.dependency, cached_content(request, ended_call.part), bytes, now);
  complete(
      ended_call.request, ended_call.part,
      {from_own_dependency ? sub_response_state::fresh : sub_response_state::fallback, {}, std::move(bytes)},
      now);
}

void state_machine::step(time_point now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const auto [due_at, expired] = *timers_.begin();
    timers_.erase(timers_.begin());
    switch (expired.kind) {
      case timer_kind::hedge: send_hedge(expired.call, now); break;
      case timer_kind::call_deadline: on_call_deadline(expired.call, now); break;
      case timer_kind::retry_placement:
      case timer_kind::sub_request_deadline: on_sub_request_timer(expired, due_at, now); break;
    }
  }
  start_all_queued(now);
}

void state_machine::on_call_deadline(call_id id, time_point now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const call ended_call = found->second;
  const upstream::call_outcome outcome =
      dependencies_[ended_call.dependency].on_timeout(now, now - ended_call.begun_at);
  actions_.emplace_back(cancel_call{id});
  end_call(found, now, outcome);
  if (find(ended_call.request) != nullptr)
    retry_or_fall_back(ended_call.request, ended_call.part, ended_call.endpoint, now);
}

void state_machine::on_sub_request_timer(const timer& expired, time_point due_at, time_point now) {
  open_request* request = find(expired.request);
  if (request == nullptr) return;
  const sub_request& sub = request->sub_requests[expired.part];
  if (sub.done || !sub.calls.empty()) return;
  dependency_state& dependency = dependencies_[sub.dependency];
  if (expired.kind == timer_kind::sub_request_deadline) {
    if (due_at != sub.deadline) return;  // the timer belongs to a previous source
    if (sub.queued) ++dependency.counts().without_capacity;
    fall_back(expired.request, expired.part, now);
  } else if (sub.queued) {
    if (now < dependency.latest_start(sub.deadline)) return;
    ++dependency.counts().without_capacity;
    fall_back(expired.request, expired.part, now);
  } else {
    place(expired.request, expired.part, now);
  }
}

}  // namespace marblewharf::fan_out
