#include "simulated_host.hpp"

#include <algorithm>

namespace admission_policy::testing {
namespace {

using namespace std::chrono_literals;

constexpr time_point origin = 1000s;
constexpr duration phase_length = 2s;  // calm and overload take turns

}  // namespace

simulated_host::simulated_host(const settings& given, const host_profile& profile, std::uint64_t seed)
    : settings_(given), profile_(profile), random_(seed), now_(origin), policy_(given, seed, origin) {
  plan(1ms, {.kind = entry_kind::first_attempt});
  if (profile_.updates_quota) plan(300ms, {.kind = entry_kind::quota});
  if (profile_.shutdown_after > 0ns) plan(profile_.shutdown_after, {.kind = entry_kind::shutdown});
}

const transcript& simulated_host::run() {
  hand_over({});
  for (unsigned i = 0; i < profile_.steps; ++i) step();
  return transcript_;
}

void simulated_host::plan(duration in, entry what) {
  agenda_.emplace(now_ + in, std::move(what));
}

void simulated_host::plan_for(live_request& request, duration in, entry_kind kind, outcome result) {
  entry next;
  next.kind = kind;
  next.id = request.sent.id;
  next.schedule = ++request.schedule;
  next.result = result;
  next.elapsed = in;
  plan(in, next);
}

void simulated_host::step() {
  time_point next = agenda_.begin()->first;
  if (timer_at_) next = std::min(next, *timer_at_);
  const duration tick = settings_.tick;
  next = (next + tick - 1ns) / tick * tick;  // the host's clock moves in whole ticks
  now_ = std::max(next, now_ + tick);
  if (profile_.stalls && below(150) == 0) now_ += 200ms + 1ms * below(1200);
  std::vector<event> batch;
  collect_timer(batch);
  collect(batch);
  hand_over(batch);
}

void simulated_host::collect(std::vector<event>& batch) {
  while (agenda_.begin()->first <= now_) {
    const entry due = agenda_.begin()->second;
    agenda_.erase(agenda_.begin());
    collect(due, batch);
  }
}

void simulated_host::collect_timer(std::vector<event>& batch) {
  if (!timer_at_ || *timer_at_ > now_) return;
  timer_at_.reset();
  const unsigned busy = std::min(100u, 100 * running() / settings_.cores);
  const unsigned measured = busy - std::min(busy, below(6));
  batch.emplace_back(timer_fired{{measured / 100.0, 0.5}});
}

void simulated_host::collect(const entry& what, std::vector<event>& batch) {
  switch (what.kind) {
    case entry_kind::first_attempt: {
      for (unsigned i = 0; i < profile_.burst; ++i) register_arrival(first_attempt(), batch);
      const unsigned gap =
          overloaded() ? profile_.arrival_gap_us / profile_.overload_factor : profile_.arrival_gap_us;
      plan(1us * (1 + below(2 * gap)), {.kind = entry_kind::first_attempt});
      return;
    }
    case entry_kind::retry: register_arrival(what.retried, batch); return;
    case entry_kind::quota:
      batch.emplace_back(drawn_quota());
      plan(100ms + 1ms * below(500), {.kind = entry_kind::quota});
      return;
    case entry_kind::shutdown:
      batch.emplace_back(shutdown_notice{3s});
      if (below(2) == 0) plan(300ms, {.kind = entry_kind::shutdown});
      return;
    default: break;
  }
  live_request* request = find(what.id);
  if (request != nullptr) collect_for(*request, what, batch);
}

void simulated_host::collect_for(live_request& request, const entry& what, std::vector<event>& batch) {
  if (what.kind == entry_kind::cancellation) {
    cancel(request, batch);
    return;
  }
  if (what.schedule != request.schedule) return;
  switch (what.kind) {
    case entry_kind::slice_end: end_slice(request, batch); return;
    case entry_kind::call_result: end_call(request, what, batch); return;
    case entry_kind::run_end:
      if (request.where == stage::in_call) --calls_in_flight_;
      batch.emplace_back(completion{what.id, what.result, what.elapsed});
      requests_.erase(what.id);
      return;
    default: return;
  }
}

void simulated_host::cancel(live_request& request, std::vector<event>& batch) {
  if (request.answered) return;
  const request_id id = request.sent.id;
  request.answered = true;
  batch.emplace_back(client_cancelled{id});
  if (request.where == stage::queued || request.where == stage::sharing) {
    requests_.erase(id);
  } else if (request.where == stage::waiting_for_call) {
    plan_for(request, 2ms, entry_kind::run_end, outcome::cancelled);
  }
}

void simulated_host::hand_over(const std::vector<event>& batch) {
  events_ += batch.size();
  const std::vector<action> actions = policy_.handle(now_, batch);
  for (const action& what : actions) {
    transcript_.add(now_ - origin, what);
    apply(what);
  }
}

arrival simulated_host::first_attempt() {
  arrival attempt;
  attempt.key = 1 + below(200);
  attempt.reserved_kb = 4 + below(profile_.most_kb - 3);
  attempt.request_class = below(static_cast<unsigned>(settings_.classes.size()));
  attempt.tenant = below(4);
  attempt.caller = below(profile_.callers);
  attempt.rank = below(100) / 100.0;
  attempt.write = below(3) == 0;
  attempt.read_delay = settings_.tick * below(4);
  if (profile_.slow_reads && below(profile_.slow_reads_one_in) == 0)
    attempt.read_delay = 1ms * below(profile_.slow_read_most_ms);
  if (profile_.states_work && below(10) != 0) attempt.expected_work = 1ms * (1 + below(2 * profile_.work_ms));
  if (profile_.states_timeout && below(3) != 0) attempt.client_timeout = 1ms * (50 + below(4000));
  if (below(5) == 0) mark_duplicate(attempt);
  return attempt;
}

// A duplicate of a request whose key is retained, as the host's key table would find it.
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
  request.sent = attempt;
  request.sent.id = ++last_id_;
  const class_settings& its_class = settings_.classes[request.sent.request_class];
  request.calls_left = its_class.calls_dependency ? below(3) : 0;
  const duration stated = attempt.expected_work;
  const duration work = stated > 0ns ? stated : 1ms * (1 + below(2 * profile_.work_ms));
  request.slice = work / (request.calls_left + 1);
  live_request& kept = requests_.emplace(request.sent.id, request).first->second;
  batch.emplace_back(kept.sent);
  if (below(profile_.cancels_one_in) == 0) {
    entry cancellation;
    cancellation.kind = entry_kind::cancellation;
    cancellation.id = kept.sent.id;
    plan(1ms * (1 + below(800)), cancellation);
  }
  if (below(200) == 0) batch.emplace_back(kept.sent);                                   // its id is in use
  if (below(200) == 0) batch.emplace_back(completion{last_id_ + 9, outcome::ok, 1ms});  // of no request
  if (below(200) == 0) batch.emplace_back(call_needed{last_id_ + 9});
  if (below(200) == 0) batch.emplace_back(call_ended{last_id_ + 9, outcome::ok, 1ms});
  if (below(200) == 0) batch.emplace_back(client_cancelled{last_id_ + 9});
}

void simulated_host::end_slice(live_request& request, std::vector<event>& batch) {
  const request_id id = request.sent.id;
  if (request.calls_left > 0) {
    --request.calls_left;
    request.where = stage::waiting_for_call;
    batch.emplace_back(call_needed{id});
    if (request.answered) plan_for(request, 3ms, entry_kind::run_end, outcome::cancelled);
    return;
  }
  constexpr outcome failures[] = {outcome::moot, outcome::error, outcome::error, outcome::cancelled};
  const unsigned chance = below(50);
  const outcome result = chance < std::size(failures) ? failures[chance] : outcome::ok;
  batch.emplace_back(completion{id, result, request.slice});
  requests_.erase(id);
}

void simulated_host::end_call(live_request& request, const entry& what, std::vector<event>& batch) {
  --calls_in_flight_;
  batch.emplace_back(call_ended{what.id, what.result, what.elapsed});
  if (what.result == outcome::ok) {
    start_slice(request);
    return;
  }
  request.where = stage::waiting_for_call;
  if (request.answered) plan_for(request, 3ms, entry_kind::run_end, outcome::cancelled);
}

quota_update simulated_host::drawn_quota() {
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
    return request.second.where == stage::running;
  }));
}

// Runs beyond the core count slow each other.
void simulated_host::start_slice(live_request& request) {
  request.where = stage::running;
  const unsigned sharing_cores = std::max(settings_.cores, running());
  const unsigned slowdown = overloaded() ? profile_.overload_slowdown : 1;
  plan_for(request, request.slice * sharing_cores * slowdown / settings_.cores, entry_kind::slice_end);
}

simulated_host::live_request* simulated_host::find(request_id id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void simulated_host::apply(const action& what) {
  if (const auto* timer = std::get_if<set_timer>(&what)) {
    const auto& [after] = *timer;
    const time_point fires = now_ + after + settings_.tick * (below(20) == 0 ? 1 + below(3) : 0);
    if (!timer_at_ || fires < *timer_at_) timer_at_ = fires;
  } else if (const auto* begun = std::get_if<start>(&what)) {
    if (live_request* request = find(begun->id)) start_slice(*request);
  } else if (const auto* stopped = std::get_if<stop_run>(&what)) {
    if (live_request* request = find(stopped->id)) apply_stop(*request);
  } else if (const auto* rejected = std::get_if<reject>(&what)) {
    const auto& [id, retry_after, no_retry_elsewhere] = *rejected;
    if (live_request* request = find(id)) apply_reject(*request, retry_after, no_retry_elsewhere);
  } else if (const auto* failed = std::get_if<fail>(&what)) {
    live_request* request = find(failed->id);
    if (request == nullptr) return;
    request->answered = true;
    if (request->where == stage::waiting_for_call)
      plan_for(*request, 1ms, entry_kind::run_end, outcome::cancelled);
    if (request->where == stage::sharing) requests_.erase(failed->id);
  } else if (const auto* call = std::get_if<place_call>(&what)) {
    if (live_request* request = find(call->id)) apply_call(*request, call->limit);
  } else if (const auto* skipped = std::get_if<skip_call>(&what)) {
    if (live_request* request = find(skipped->id)) start_slice(*request);
  } else if (const auto* retained = std::get_if<retain_key>(&what)) {
    const live_request* request = find(retained->id);
    if (request != nullptr) retained_[retained->id] = {request->sent, now_ + retained->ttl};
  } else if (const auto* forgotten = std::get_if<forget_key>(&what)) {
    retained_.erase(forgotten->id);
  } else if (const auto* shared = std::get_if<share_result>(&what)) {
    live_request* request = find(shared->id);
    if (request == nullptr) return;
    request->where = stage::sharing;
    const outcome result = below(4) == 0 ? outcome::error : outcome::ok;
    plan_for(*request, 1ms * (1 + below(300)), entry_kind::run_end, result);
  }
}

void simulated_host::apply_reject(live_request& request, duration retry_after, bool no_retry_elsewhere) {
  if (!no_retry_elsewhere && below(2) == 0) {
    entry again;
    again.kind = entry_kind::retry;
    again.retried = request.sent;
    again.retried.retry = profile_.marks_retries;
    again.retried.read_delay = {};
    again.retried.duplicate_of = 0;
    if (again.retried.client_timeout > 0ns) again.retried.client_timeout /= 2;
    plan(retry_after + 1ms * (1 + below(100)), again);
  }
  requests_.erase(request.sent.id);
}

void simulated_host::apply_stop(live_request& request) {
  if (below(10) == 0) return;  // the stop has no effect, the run goes on
  plan_for(request, settings_.tick * (1 + below(3)), entry_kind::run_end, outcome::cancelled);
}

void simulated_host::apply_call(live_request& request, duration limit) {
  request.where = stage::in_call;
  ++calls_in_flight_;
  duration takes = 1ms * (5 + below(40));
  if (profile_.slow_dependency && overloaded())
    takes = takes * (1 + calls_in_flight_) / profile_.calls_at_full_speed;
  if (limit > 0ns && takes > limit) {
    plan_for(request, limit, entry_kind::call_result, outcome::timeout);
    return;
  }
  constexpr outcome failures[] = {outcome::error, outcome::full, outcome::reset, outcome::connect_failed};
  const outcome result = below(10) == 0 ? failures[below(4)] : outcome::ok;
  plan_for(request, takes, entry_kind::call_result, result);
}

}  // namespace admission_policy::testing
