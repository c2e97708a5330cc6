#include "middleware/gate.hpp"

#include <algorithm>
#include <random>

namespace marblewharf::middleware::detail {
namespace {

using namespace std::chrono_literals;

constexpr duration cpu_measuring_period = 250ms;
constexpr duration retry_after_lost_handler = 1s;
constexpr duration min_timer_wait = 1ms;
constexpr duration max_timer_wait = 100ms;
constexpr std::uint64_t min_segment_bytes = std::uint64_t{1} << 20;
constexpr std::uint64_t results_per_segment = 16;  // a segment holds this many results of maximum size
constexpr std::uint64_t min_segments = 4;          // the folder's space holds at least this many

time_point steady_now() {
  return std::chrono::steady_clock::now().time_since_epoch();
}

// Adapts the settings for the policy: running handlers cannot be paused or stopped, and classes with a window
// in `keys` are keyed.
admission_policy::settings policy_settings_of(admission_policy::settings settings,
                                              const std::optional<keyed_settings>& keys) {
  settings.halt = admission_policy::halt_mode::none;
  if (!keys) return settings;
  const std::size_t classes = std::min(keys->windows.size(), settings.classes.size());
  for (std::size_t i = 0; i < classes; ++i) {
    if (keys->windows[i].count() == 0) continue;
    settings.classes[i].effect = admission_policy::request_effect::keyed;
    settings.classes[i].idempotency_window = settings.classes[i].deadline;
  }
  return settings;
}

std::uint64_t random_salt() {
  std::random_device random;
  return std::uint64_t{random()} << 32 | random();
}

idempotency::durable_service_options store_options_of(const keyed_settings& keys,
                                                      const admission_policy::settings& settings) {
  idempotency::durable_service_options options;
  options.folder = keys.folder;
  options.windows = keys.windows;
  options.windows.resize(settings.classes.size());
  for (const auto& request_class : settings.classes) options.classes.push_back(request_class.name);
  for (const auto& tenant : settings.tenants) options.tenants.push_back(tenant.name);
  options.max_key_bytes = keys.longest_key;
  options.max_result_bytes = keys.largest_response;
  options.max_keys = keys.entries;
  options.space = keys.space;
  options.segment = std::clamp<std::uint64_t>(results_per_segment * keys.largest_response, min_segment_bytes,
                                              keys.space / min_segments);
  options.salt = random_salt();
  options.unix_now = std::chrono::system_clock::now().time_since_epoch();
  options.steady_now = steady_now();
  return options;
}

failure_cause cause_of(const answer& final) {
  if (final.key_conflict) return failure_cause::key_conflict;
  if (final.outcome_unknown) return failure_cause::outcome_unknown;
  return failure_cause::deadline_exceeded;
}

}  // namespace

gate_impl::gate_impl(const admission_policy::settings& settings, std::optional<keyed_settings> keys,
                     std::uint64_t seed, std::unique_ptr<store::file_system> files)
    : cores_(settings.cores),
      gauges_(settings.gauges),
      keys_(std::move(keys)),
      dispatcher_(policy_settings_of(settings, keys_), seed, steady_now(), counters_),
      files_(std::move(files)),
      measured_at_(steady_now()) {
  dispatcher_.add_front(*this);
  if (keys_) open_store(settings);
  dispatcher_.on_server_up(settings.cold_start, steady_now());
  timer_thread_ = std::thread([this] { drive_timers(); });
}

gate_impl::~gate_impl() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  timer_thread_.join();
}

void gate_impl::open_store(const admission_policy::settings& settings) {
  const auto notify = [this] {
    const std::lock_guard lock(mutex_);  // without the lock, the timer thread could miss the notification
    changed_.notify_all();
  };
  store_ = std::make_unique<idempotency::durable_service>(*files_, store_options_of(*keys_, settings),
                                                          counters_, notify);
  store_->set_observer(dispatcher_);
  dispatcher_.enable_idempotency(*store_, {}, keys_->windows);
}

const keyed_settings* gate_impl::keys_of(unsigned request_class) const {
  const bool keyed =
      keys_ && request_class < keys_->windows.size() && keys_->windows[request_class].count() > 0;
  return keyed ? &*keys_ : nullptr;
}

// ---- The server's threads ---------------------------------------------------------------------------------

attempt gate_impl::admit(const traits& request_traits, std::string key, std::uint64_t fingerprint) {
  request arrived;
  arrived.request_class = request_traits.request_class;
  arrived.tenant = request_traits.tenant;
  arrived.reserved_kb = request_traits.held_kb;
  arrived.expected_work = request_traits.work;
  arrived.key = std::move(key);
  arrived.fingerprint = fingerprint;
  std::unique_lock lock(mutex_);
  attempt admitted;
  admitted.id = dispatcher_.on_arrival(*this, *this, std::move(arrived));
  waiting_.emplace(admitted.id, &admitted);
  step_and_notify();
  wait_for_answer(lock, admitted);
  admitted.started_at = steady_now();
  return admitted;
}

bool gate_impl::finish(const attempt& running, bool succeeded) {
  const std::lock_guard lock(mutex_);
  const bool failed_before = take_failed_while_running(running.id);
  dispatcher_.on_run_ended(running.id, succeeded ? run_end::succeeded : run_end::failed, {},
                           steady_now() - running.started_at);
  step_and_notify();
  return !failed_before;
}

attempt gate_impl::finish_keyed(const attempt& running, const std::optional<std::string>& response) {
  std::unique_lock lock(mutex_);
  attempt finished;
  finished.id = running.id;
  const bool failed_before = take_failed_while_running(running.id);
  if (!failed_before) waiting_.emplace(finished.id, &finished);
  dispatcher_.on_run_ended(running.id, outcome::end_of_handler(response.has_value()),
                           response ? std::string_view(*response) : std::string_view(),
                           steady_now() - running.started_at);
  step_and_notify();
  if (failed_before) {
    finished.state = attempt_state::failed;
    finished.cause = failure_cause::deadline_exceeded;
    return finished;
  }
  wait_for_answer(lock, finished);
  return finished;
}

void gate_impl::wait_for_answer(std::unique_lock<std::mutex>& lock, const attempt& waiting) {
  changed_.wait(lock, [&waiting] { return waiting.state != attempt_state::waiting; });
  waiting_.erase(waiting.id);
}

void gate_impl::drain(duration time_left) {
  const std::lock_guard lock(mutex_);
  dispatcher_.on_shutdown_notice(time_left);
  step_and_notify();
}

bool gate_impl::healthy() {
  const std::lock_guard lock(mutex_);
  return dispatcher_.healthy();
}

tally gate_impl::counts() {
  const std::lock_guard lock(mutex_);
  return {counters_.received_requests, counters_.started_runs, counters_.served, counters_.rejected,
          counters_.failed};
}

// ---- The dispatcher's front and backend -------------------------------------------------------------------

void gate_impl::respond(request_id id, const answer& final) {
  const auto found = waiting_.find(id);
  const bool has_waiter = found != waiting_.end() && found->second->state == attempt_state::waiting;
  if (!has_waiter) {
    if (final.status == response_status::failed && final.deadline_exceeded) failed_while_running_.insert(id);
    return;
  }
  attempt& answered = *found->second;
  answered.retry_after = final.retry_after;
  answered.cause = cause_of(final);
  switch (final.status) {
    case response_status::served:
      answered.result = final.result;
      answered.state = attempt_state::answered;
      break;
    case response_status::rejected: answered.state = attempt_state::rejected; break;
    case response_status::failed: answered.state = attempt_state::failed; break;
  }
}

// Only the thread of the request can run its handler. If the request was answered before its run began, the
// run never starts, and requests with the same key are told to try again.
void gate_impl::run(request_id id, const request&) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end() || found->second->state != attempt_state::waiting) {
    dispatcher_.on_backend_rejected(id, retry_after_lost_handler);
    return;
  }
  found->second->state = attempt_state::running;
}

// ---- Time -------------------------------------------------------------------------------------------------

void gate_impl::step() {
  const time_point now = steady_now();
  measure_cpu(now);
  std::vector<double> values;
  for (const std::string& name : gauges_) values.push_back(name == "cpu_busy" ? cpu_busy_ : 0);
  if (store_) store_->step(now);
  dispatcher_.step(now, values);
}

// Also wakes the threads whose attempts may have changed, and the timer thread, because the next timer may
// now be due earlier.
void gate_impl::step_and_notify() {
  step();
  changed_.notify_all();
}

// Measures the CPU utilization of this process, relative to its cores. Other processes are not included.
void gate_impl::measure_cpu(time_point now) {
  if (now - measured_at_ < cpu_measuring_period) return;
  const std::clock_t used = std::clock();
  const double wall_seconds = std::chrono::duration<double>(now - measured_at_).count();
  const double cpu_seconds = static_cast<double>(used - cpu_used_) / CLOCKS_PER_SEC;
  cpu_busy_ = std::clamp(cpu_seconds / (wall_seconds * cores_), 0.0, 1.0);
  cpu_used_ = used;
  measured_at_ = now;
}

void gate_impl::drive_timers() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    step_and_notify();
    const duration until_due = dispatcher_.due() - steady_now();
    changed_.wait_for(lock, std::clamp<duration>(until_due, min_timer_wait, max_timer_wait));
  }
}

}  // namespace marblewharf::middleware::detail
