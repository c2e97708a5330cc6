// The decisions of policy::impl after each batch of events, and once in a control window.
#include <algorithm>

#include "admission_policy/control_window.hpp"
#include "admission_policy/policy_impl.hpp"
#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

using namespace std::chrono_literals;

// Waiting calls are looked at again after this, which is shorter than most round trips.
constexpr duration waiting_call_interval = 20ms;
// The gauge of the fraction of the cores that is busy.
constexpr const char* cpu_busy_gauge = "cpu_busy";

}  // namespace

// The largest finish tags go first.
void policy::impl::shed_for_memory() {
  while (memory_.exceeded() && !requests_.queue().empty()) {
    load_signal_.note_shed();
    reject_request(*requests_.queue().rbegin()->entry);
  }
}

// Every request gets its answer before it is due, whatever it is at: guards against lost requests.
void policy::impl::answer_due_requests() {
  while (request* const due = requests_.next_due(now_)) {
    if (due->ran) {
      fail_request(*due);
    } else {
      reject_request(*due);
    }
  }
}

void policy::impl::decide_waiting_calls() {
  const request_table::index& waiting = requests_.awaiting_call();
  if (waiting.empty()) return;
  const double per_unit = time_per_unit();
  double calls_ahead = 0;
  for (auto next = waiting.begin(); next != waiting.end();) {
    request& run = *(next++)->entry;
    const duration remaining = from_seconds(remaining_seconds(run, run.left_core, per_unit));
    const waiting_call call{run, class_of(run), calls_ahead, waiting.size() == 1, remaining};
    switch (calls_.decide(call, requests_.in_call(), now_)) {
      case call_decision::wait: calls_ahead += 1; break;
      case call_decision::skip:
        act(skip_call{run.id});
        run.running_since += now_ - run.left_core;
        move(run, request_state::running);
        break;
      case call_decision::fail: fail_request(run); break;
    }
  }
}

// What cannot make its objective is rejected while its caller can still go elsewhere. Where the dependency is
// congested, no other server would do better.
void policy::impl::shed_hopeless_requests() {
  reject_without_run_quota();
  const request_table::index& queue = requests_.queue();
  if (queue.empty()) return;
  const double quota = quota_.max_concurrent_runs;
  server_load load;
  load.cores = settings_.cores;
  load.slots = std::min(limiter_.limit(), ceiling());
  if (quota >= 0) load.slots = std::min(load.slots, std::max(1.0, quota));
  load.time_per_unit = time_per_unit();
  load.best_time_per_unit = service_times_.best_time_per_unit();
  queue_forecast forecast(load, requests_, calls_, now_);
  for (auto next = queue.begin(); next != queue.end();) {
    request& queued = *(next++)->entry;
    const class_settings& its_class = class_of(queued);
    if (!forecast.misses_objective(queued, its_class)) continue;
    load_signal_.note_shed();
    const bool needs_call = its_class.weight_without_call <= 0 && calls_.expected_calls(queued) > 0;
    reject_request(queued, {.no_retry_elsewhere = needs_call && calls_.congested() && calls_.limited()});
  }
}

// Without a quota of runs nothing that is queued will start: it is rejected at once.
void policy::impl::reject_without_run_quota() {
  const bool none = quota_.max_concurrent_runs >= 0 && quota_.max_concurrent_runs < 1;
  if (!none) return;
  while (!requests_.queue().empty()) {
    request& first = *requests_.queue().begin()->entry;
    reject_request(first, {.min_retry_after = quota_.next_quota_in});
  }
}

void policy::impl::place_calls() {
  const request_table::index& waiting = requests_.awaiting_call();
  for (auto next = waiting.begin(); next != waiting.end();) {
    const unsigned in_flight = requests_.in_call();
    if (!calls_.may_place(in_flight)) return;
    request& run = *(next++)->entry;
    if (run.next_call_after > now_) continue;
    const duration remaining = from_seconds(remaining_seconds(run, run.left_core, time_per_unit()));
    const duration limit = calls_.time_limit({run, class_of(run), 0, false, remaining}, in_flight, now_);
    move(run, request_state::in_call);
    act(place_call{run.id, limit});
  }
}

// The smallest finish tag starts.
void policy::impl::start_queued_requests() {
  while (!requests_.queue().empty() && has_start_slot()) {
    request& next = *requests_.queue().begin()->entry;
    if (!memory_.fits_as_run(next.reserved_kb)) return;
    curves_.started(next.tenant, next.start_tag);
    next.ran = true;
    next.running_since = now_;
    if (requests_.running().empty()) watchdog_.note_progress(now_);
    move(next, request_state::running);
    act(start{next.id});
    set_deadline(next);
  }
}

// A quota of runs counts every one that was started until its end, also at a call, stopped or cancelled.
bool policy::impl::has_start_slot() const {
  const double most = ceiling();
  const auto running = static_cast<double>(requests_.running().size());
  if (running >= std::min(limiter_.limit(), most)) return false;
  const std::size_t at_calls = requests_.awaiting_call().size() + requests_.in_call();
  if (running + static_cast<double>(at_calls) >= most) return false;
  const double quota = quota_.max_concurrent_runs;
  return quota < 0 || quota - static_cast<double>(requests_.started()) >= 1;
}

// One timer, for what is due first.
void policy::impl::set_next_timer() {
  time_point next = window_end_;
  next = std::min(next, requests_.next_deadline().value_or(next));
  if (!requests_.awaiting_call().empty()) next = std::min(next, now_ + waiting_call_interval);
  next = std::max(next, now_ + settings_.tick);
  if (next >= timer_at_) return;
  timer_at_ = next;
  act(set_timer{next - now_});
}

void policy::impl::end_control_window(const timer_fired& timer) {
  if (speed() >= 1) service_times_.update_best(time_per_unit());
  const double per_unit = time_per_unit();
  limiter_.adjust({cpu_busy(timer), per_unit, service_times_.best_time_per_unit(), speed()}, now_);
  const double run_seconds = per_unit * to_seconds(assumed_run_time);
  const auto signal = load_signal_.evaluate(limiter_.limit(), run_seconds, drain_.active());
  if (signal) act(*signal);
  update_health();
  if (const auto advice = idle_connections_.evaluate(now_)) act(*advice);
  repeat_stops();
  window_end_ = now_ + control_window;
}

double policy::impl::cpu_busy(const timer_fired& timer) const {
  double busy = 1;
  for (std::size_t i = 0; i < std::min(timer.gauges.size(), settings_.gauges.size()); ++i) {
    if (settings_.gauges[i] == cpu_busy_gauge) busy = timer.gauges[i];
  }
  return busy;
}

void policy::impl::update_health() {
  const auto changed = watchdog_.evaluate(requests_.running().empty(), drain_.active(), now_);
  if (!changed) return;
  const bool good = *changed == health::good;
  act(set_health{good, true});
  act(log_line{good ? "health: runs end again" : "health: no run has ended for a whole aim"});
}

// A stop that fell on frozen cores had no effect.
void policy::impl::repeat_stops() {
  if (!can_stop_runs()) return;
  for (const auto& run : requests_.running()) {
    if (run.entry->answered) act(stop_run{run.id});
  }
}

}  // namespace admission_policy
