// The decisions of policy::impl after each batch of events and at the end of each control window.
#include <algorithm>

#include "admission_policy/control_window.hpp"
#include "admission_policy/policy_impl.hpp"
#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

using namespace std::chrono_literals;

// Interval between two decisions on waiting calls; shorter than most round trips.
constexpr duration waiting_call_interval = 20ms;
// Name of the gauge for the busy fraction of the cores.
constexpr const char* cpu_busy_gauge = "cpu_busy";

}  // namespace

// Rejects queued requests, the largest finish tag first, until memory is within its limit.
void policy::impl::shed_for_memory() {
  while (memory_.exceeded() && !requests_.queue().empty()) {
    load_signal_.note_shed();
    reject_request(*requests_.queue().rbegin()->entry);
  }
}

// Answers every request that is due, in whatever state it is, so that no request is lost.
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
    const duration remaining_run = from_seconds(remaining_seconds(run, run.left_core, per_unit));
    const waiting_call call{run, class_of(run), calls_ahead, waiting.size() == 1, remaining_run};
    switch (calls_.decide(call, requests_.in_call_count(), now_)) {
      case call_decision::wait: calls_ahead += 1; break;
      case call_decision::skip:
        emit(skip_call{run.id});
        run.running_since += now_ - run.left_core;
        change_state(run, request_state::running);
        break;
      case call_decision::fail: fail_request(run); break;
    }
  }
}

// Rejects requests that will miss their objective while their callers can still try another server. If a
// request needs a call and the dependency is congested, other servers would reject the request too.
void policy::impl::shed_requests_missing_objective() {
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

// Rejects all queued requests if this server has no quota of runs, because none of them can start.
void policy::impl::reject_without_run_quota() {
  const bool no_quota = quota_.max_concurrent_runs >= 0 && quota_.max_concurrent_runs < 1;
  if (!no_quota) return;
  while (!requests_.queue().empty()) {
    request& first = *requests_.queue().begin()->entry;
    reject_request(first, {.min_retry_after = quota_.next_quota_in});
  }
}

void policy::impl::place_calls() {
  const request_table::index& waiting = requests_.awaiting_call();
  for (auto next = waiting.begin(); next != waiting.end();) {
    const unsigned in_flight = requests_.in_call_count();
    if (!calls_.may_place(in_flight)) return;
    request& run = *(next++)->entry;
    if (run.next_call_after > now_) continue;
    const duration remaining_run = from_seconds(remaining_seconds(run, run.left_core, time_per_unit()));
    const duration limit = calls_.time_limit({run, class_of(run), 0, false, remaining_run}, in_flight, now_);
    change_state(run, request_state::in_call);
    emit(place_call{run.id, limit});
  }
}

// Starts requests, the smallest finish tag first, while start slots and memory are available.
void policy::impl::start_queued_requests() {
  while (!requests_.queue().empty() && has_start_slot()) {
    request& next = *requests_.queue().begin()->entry;
    if (!memory_.fits_as_run(next.reserved_kb)) return;
    curves_.started(next.tenant, next.start_tag);
    next.ran = true;
    next.running_since = now_;
    if (requests_.running().empty()) watchdog_.note_progress(now_);
    change_state(next, request_state::running);
    emit(start{next.id});
    set_deadline(next);
  }
}

// Whether another run may start. A run counts against the quota from its start to its end, also while it is
// at a call or after it was stopped or cancelled.
bool policy::impl::has_start_slot() const {
  const double max_runs = ceiling();
  const auto running = static_cast<double>(requests_.running().size());
  if (running >= std::min(limiter_.limit(), max_runs)) return false;
  const std::size_t at_calls = requests_.awaiting_call().size() + requests_.in_call_count();
  if (running + static_cast<double>(at_calls) >= max_runs) return false;
  const double quota = quota_.max_concurrent_runs;
  return quota < 0 || quota - static_cast<double>(requests_.started_count()) >= 1;
}

// Sets a timer for the earliest event that is due, unless an earlier timer is set.
void policy::impl::set_next_timer() {
  time_point next = window_end_;
  next = std::min(next, requests_.next_deadline().value_or(next));
  if (!requests_.awaiting_call().empty()) next = std::min(next, now_ + waiting_call_interval);
  next = std::max(next, now_ + settings_.tick);
  if (next >= timer_due_) return;
  timer_due_ = next;
  emit(set_timer{next - now_});
}

void policy::impl::end_control_window(const timer_fired& timer) {
  if (speed() >= 1) service_times_.update_best(time_per_unit());
  const double per_unit = time_per_unit();
  limiter_.adjust({cpu_busy(timer), per_unit, service_times_.best_time_per_unit(), speed()}, now_);
  const double run_seconds = per_unit * to_seconds(assumed_run_time);
  const auto signal = load_signal_.evaluate(limiter_.limit(), run_seconds, drain_.active());
  if (signal) emit(*signal);
  update_health();
  if (const auto advice = idle_connections_.evaluate(now_)) emit(*advice);
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
  emit(set_health{good, true});
  emit(log_line{good ? "health: runs end again" : "health: no run has ended for a whole aim"});
}

// Repeats stops, because a stop has no effect while the cores are frozen.
void policy::impl::repeat_stops() {
  if (!can_stop_runs()) return;
  for (const auto& run : requests_.running()) {
    if (run.entry->answered) emit(stop_run{run.id});
  }
}

}  // namespace admission_policy
