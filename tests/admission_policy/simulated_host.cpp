#include "simulated_host.hpp"

#include <algorithm>

namespace admission_policy::testing {
namespace {

using namespace std::chrono_literals;

constexpr time_point origin = 1000s;
constexpr duration phase_length = 2s;  // calm and overload phases alternate

}  // namespace

simulated_host::simulated_host(const settings& policy_settings, const host_profile& profile,
                               std::uint64_t seed)
    : settings_(policy_settings),
      profile_(profile),
      random_(seed),
      now_(origin),
      policy_(policy_settings, seed, origin) {
  schedule_event(1ms, {.kind = scheduled_kind::first_attempt});
  if (profile_.updates_quota) schedule_event(300ms, {.kind = scheduled_kind::quota});
  if (profile_.shutdown_after > 0ns)
    schedule_event(profile_.shutdown_after, {.kind = scheduled_kind::shutdown});
}

const transcript& simulated_host::run() {
  pass_to_policy({});
  for (unsigned i = 0; i < profile_.steps; ++i) step();
  return transcript_;
}

void simulated_host::schedule_event(duration delay, scheduled_event scheduled) {
  schedule_.emplace(now_ + delay, std::move(scheduled));
}

void simulated_host::schedule_for(live_request& request, duration delay, scheduled_kind kind,
                                  outcome result) {
  scheduled_event next;
  next.kind = kind;
  next.id = request.attempt.id;
  next.schedule_number = ++request.schedule_number;
  next.result = result;
  next.elapsed = delay;
  schedule_event(delay, next);
}

void simulated_host::step() {
  time_point next = schedule_.begin()->first;
  if (timer_due_) next = std::min(next, *timer_due_);
  const duration tick = settings_.tick;
  next = (next + tick - 1ns) / tick * tick;  // the host's clock moves in whole ticks
  now_ = std::max(next, now_ + tick);
  if (profile_.stalls && below(150) == 0) now_ += 200ms + 1ms * below(1200);
  std::vector<event> batch;
  collect_timer(batch);
  collect_due(batch);
  pass_to_policy(batch);
}

void simulated_host::collect_due(std::vector<event>& batch) {
  while (schedule_.begin()->first <= now_) {
    const scheduled_event due = schedule_.begin()->second;
    schedule_.erase(schedule_.begin());
    collect(due, batch);
  }
}

void simulated_host::collect_timer(std::vector<event>& batch) {
  if (!timer_due_ || *timer_due_ > now_) return;
  timer_due_.reset();
  const unsigned busy = std::min(100u, 100 * running() / settings_.cores);
  const unsigned measured = busy - std::min(busy, below(6));
  batch.emplace_back(timer_fired{{measured / 100.0, 0.5}});
}

void simulated_host::collect(const scheduled_event& due, std::vector<event>& batch) {
  switch (due.kind) {
    case scheduled_kind::first_attempt: {
      for (unsigned i = 0; i < profile_.burst; ++i) register_arrival(first_attempt(), batch);
      const unsigned gap =
          overloaded() ? profile_.arrival_gap_us / profile_.overload_factor : profile_.arrival_gap_us;
      schedule_event(1us * (1 + below(2 * gap)), {.kind = scheduled_kind::first_attempt});
      return;
    }
    case scheduled_kind::retry: register_arrival(due.retried, batch); return;
    case scheduled_kind::quota:
      batch.emplace_back(random_quota());
      schedule_event(100ms + 1ms * below(500), {.kind = scheduled_kind::quota});
      return;
    case scheduled_kind::shutdown:
      batch.emplace_back(shutdown_notice{3s});
      if (below(2) == 0) schedule_event(300ms, {.kind = scheduled_kind::shutdown});
      return;
    default: break;
  }
  live_request* request = find(due.id);
  if (request != nullptr) collect_for(*request, due, batch);
}

void simulated_host::collect_for(live_request& request, const scheduled_event& due,
                                 std::vector<event>& batch) {
  if (due.kind == scheduled_kind::cancellation) {
    cancel(request, batch);
    return;
  }
  if (due.schedule_number != request.schedule_number) return;
  switch (due.kind) {
    case scheduled_kind::slice_end: end_slice(request, batch); return;
    case scheduled_kind::call_result: end_call(request, due, batch); return;
    case scheduled_kind::run_end:
      if (request.current_stage == stage::in_call) --calls_in_flight_;
      batch.emplace_back(completion{due.id, due.result, due.elapsed});
      requests_.erase(due.id);
      return;
    default: return;
  }
}

void simulated_host::cancel(live_request& request, std::vector<event>& batch) {
  if (request.answered) return;
  const request_id id = request.attempt.id;
  request.answered = true;
  batch.emplace_back(client_cancelled{id});
  if (request.current_stage == stage::queued || request.current_stage == stage::sharing) {
    requests_.erase(id);
  } else if (request.current_stage == stage::waiting_for_call) {
    schedule_for(request, 2ms, scheduled_kind::run_end, outcome::cancelled);
  }
}

void simulated_host::pass_to_policy(const std::vector<event>& batch) {
  events_ += batch.size();
  const std::vector<action> actions = policy_.handle(now_, batch);
  for (const action& decided : actions) {
    transcript_.add(now_ - origin, decided);
    apply(decided);
  }
}

arrival simulated_host::first_attempt() {
  arrival attempt;
  attempt.key = 1 + below(200);
  attempt.reserved_kb = 4 + below(profile_.max_reserved_kb - 3);
  attempt.request_class = below(static_cast<unsigned>(settings_.classes.size()));
  attempt.tenant = below(4);
  attempt.caller = below(profile_.callers);
  attempt.rank = below(100) / 100.0;
  attempt.write = below(3) == 0;
  attempt.read_delay = settings_.tick * below(4);
  if (profile_.slow_reads && below(profile_.slow_reads_one_in) == 0)
    attempt.read_delay = 1ms * below(profile_.max_slow_read_delay_ms);
  if (profile_.states_work && below(10) != 0) attempt.expected_work = 1ms * (1 + below(2 * profile_.work_ms));
  if (profile_.states_timeout && below(3) != 0) attempt.client_timeout = 1ms * (50 + below(4000));
  if (below(5) == 0) mark_duplicate(attempt);
  return attempt;
}

// Makes the attempt a duplicate of a request whose key is retained, as a host's key table would report it.
void simulated_host::mark_duplicate(arrival& attempt) {
  std::erase_if(retained_, [this](const auto& kept) { return kept.second.second <= now_; });
  if (retained_.empty()) return;
  const auto& [id, kept] = *std::next(retained_.begin(), below(static_cast<unsigned>(retained_.size())));
  const arrival& first = kept.first;
  attempt.duplicate_of = id;
  attempt.key = first.key;
  attempt.request_class = first.request_class;
  attempt.tenant = first.tenant;
  attempt.caller = first.caller;
  attempt.write = first.write;
  attempt.retry = profile_.marks_retries;
  attempt.read_delay = {};
}

void simulated_host::register_arrival(const arrival& attempt, std::vector<event>& batch) {
  live_request request;
  request.attempt = attempt;
  request.attempt.id = ++last_id_;
  const class_settings& its_class = settings_.classes[request.attempt.request_class];
  request.calls_left = its_class.calls_dependency ? below(3) : 0;
  const duration stated = attempt.expected_work;
  const duration work = stated > 0ns ? stated : 1ms * (1 + below(2 * profile_.work_ms));
  request.slice = work / (request.calls_left + 1);
  live_request& kept = requests_.emplace(request.attempt.id, request).first->second;
  batch.emplace_back(kept.attempt);
  if (below(profile_.cancels_one_in) == 0) {
    scheduled_event cancellation;
    cancellation.kind = scheduled_kind::cancellation;
    cancellation.id = kept.attempt.id;
    schedule_event(1ms * (1 + below(800)), cancellation);
  }
  if (below(200) == 0) batch.emplace_back(kept.attempt);                                // an id in use
  if (below(200) == 0) batch.emplace_back(completion{last_id_ + 9, outcome::ok, 1ms});  // an unknown id
  if (below(200) == 0) batch.emplace_back(call_needed{last_id_ + 9});
  if (below(200) == 0) batch.emplace_back(call_ended{last_id_ + 9, outcome::ok, 1ms});
  if (below(200) == 0) batch.emplace_back(client_cancelled{last_id_ + 9});
}

void simulated_host::end_slice(live_request& request, std::vector<event>& batch) {
  const request_id id = request.attempt.id;
  if (request.calls_left > 0) {
    --request.calls_left;
    request.current_stage = stage::waiting_for_call;
    batch.emplace_back(call_needed{id});
    if (request.answered) schedule_for(request, 3ms, scheduled_kind::run_end, outcome::cancelled);
    return;
  }
  constexpr outcome failures[] = {outcome::moot, outcome::error, outcome::error, outcome::cancelled};
  const unsigned chance = below(50);
  const outcome result = chance < std::size(failures) ? failures[chance] : outcome::ok;
  batch.emplace_back(completion{id, result, request.slice});
  requests_.erase(id);
}

void simulated_host::end_call(live_request& request, const scheduled_event& ended,
                              std::vector<event>& batch) {
  --calls_in_flight_;
  batch.emplace_back(call_ended{ended.id, ended.result, ended.elapsed});
  if (ended.result == outcome::ok) {
    start_slice(request);
    return;
  }
  request.current_stage = stage::waiting_for_call;
  if (request.answered) schedule_for(request, 3ms, scheduled_kind::run_end, outcome::cancelled);
}

quota_update simulated_host::random_quota() {
  quota_update update;
  if (below(3) != 0) update.max_concurrent_runs = below(3 * settings_.cores);
  for (unsigned tenant = 0; tenant < 3; ++tenant) {
    if (below(2) == 0) continue;
    const int request_class = below(2) == 0 ? -1 : static_cast<int>(below(3));
    update.rates.push_back({tenant, request_class, 1.0 * below(60)});
  }
  update.next_quota_in = 100ms * (1 + below(5));
  return update;
}

bool simulated_host::overloaded() const {
  return (now_ - origin) / phase_length % 2 == 1;
}

unsigned simulated_host::running() const {
  return static_cast<unsigned>(std::count_if(requests_.begin(), requests_.end(), [](const auto& request) {
    return request.second.current_stage == stage::running;
  }));
}

// Runs beyond the core count slow each other down.
void simulated_host::start_slice(live_request& request) {
  request.current_stage = stage::running;
  const unsigned sharing_cores = std::max(settings_.cores, running());
  const unsigned slowdown = overloaded() ? profile_.overload_slowdown : 1;
  schedule_for(request, request.slice * sharing_cores * slowdown / settings_.cores,
               scheduled_kind::slice_end);
}

simulated_host::live_request* simulated_host::find(request_id id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void simulated_host::apply(const action& decided) {
  if (const auto* timer = std::get_if<set_timer>(&decided)) {
    const auto& [after] = *timer;
    const time_point fires = now_ + after + settings_.tick * (below(20) == 0 ? 1 + below(3) : 0);
    if (!timer_due_ || fires < *timer_due_) timer_due_ = fires;
  } else if (const auto* started = std::get_if<start>(&decided)) {
    if (live_request* request = find(started->id)) start_slice(*request);
  } else if (const auto* stopped = std::get_if<stop_run>(&decided)) {
    if (live_request* request = find(stopped->id)) apply_stop(*request);
  } else if (const auto* rejected = std::get_if<reject>(&decided)) {
    const auto& [id, retry_after, no_retry_elsewhere] = *rejected;
    if (live_request* request = find(id)) apply_reject(*request, retry_after, no_retry_elsewhere);
  } else if (const auto* failed = std::get_if<fail>(&decided)) {
    live_request* request = find(failed->id);
    if (request == nullptr) return;
    request->answered = true;
    if (request->current_stage == stage::waiting_for_call)
      schedule_for(*request, 1ms, scheduled_kind::run_end, outcome::cancelled);
    if (request->current_stage == stage::sharing) requests_.erase(failed->id);
  } else if (const auto* call = std::get_if<place_call>(&decided)) {
    if (live_request* request = find(call->id)) apply_call(*request, call->limit);
  } else if (const auto* skipped = std::get_if<skip_call>(&decided)) {
    if (live_request* request = find(skipped->id)) start_slice(*request);
  } else if (const auto* retained = std::get_if<retain_key>(&decided)) {
    const live_request* request = find(retained->id);
    if (request != nullptr) retained_[retained->id] = {request->attempt, now_ + retained->ttl};
  } else if (const auto* forgotten = std::get_if<forget_key>(&decided)) {
    retained_.erase(forgotten->id);
  } else if (const auto* shared = std::get_if<share_result>(&decided)) {
    live_request* request = find(shared->id);
    if (request == nullptr) return;
    request->current_stage = stage::sharing;
    const outcome result = below(4) == 0 ? outcome::error : outcome::ok;
    schedule_for(*request, 1ms * (1 + below(300)), scheduled_kind::run_end, result);
  }
}

void simulated_host::apply_reject(live_request& request, duration retry_after, bool no_retry_elsewhere) {
  if (!no_retry_elsewhere && below(2) == 0) {
    scheduled_event retry;
    retry.kind = scheduled_kind::retry;
    retry.retried = request.attempt;
    retry.retried.retry = profile_.marks_retries;
    retry.retried.read_delay = {};
    retry.retried.duplicate_of = 0;
    if (retry.retried.client_timeout > 0ns) retry.retried.client_timeout /= 2;
    schedule_event(retry_after + 1ms * (1 + below(100)), retry);
  }
  requests_.erase(request.attempt.id);
}

void simulated_host::apply_stop(live_request& request) {
  if (below(10) == 0) return;  // the stop has no effect, and the run continues
  schedule_for(request, settings_.tick * (1 + below(3)), scheduled_kind::run_end, outcome::cancelled);
}

void simulated_host::apply_call(live_request& request, duration limit) {
  request.current_stage = stage::in_call;
  ++calls_in_flight_;
  duration call_duration = 1ms * (5 + below(40));
  if (profile_.slow_dependency && overloaded())
    call_duration = call_duration * (1 + calls_in_flight_) / profile_.calls_at_full_speed;
  if (limit > 0ns && call_duration > limit) {
    schedule_for(request, limit, scheduled_kind::call_result, outcome::timeout);
    return;
  }
  constexpr outcome failures[] = {outcome::error, outcome::full, outcome::reset, outcome::connect_failed};
  const outcome result = below(10) == 0 ? failures[below(4)] : outcome::ok;
  schedule_for(request, call_duration, scheduled_kind::call_result, result);
}

}  // namespace admission_policy::testing
