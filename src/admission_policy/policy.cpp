// Construction of the policy and handling of its events.
#include "admission_policy/policy.hpp"

#include <algorithm>
#include <stdexcept>

#include "admission_policy/control_window.hpp"
#include "admission_policy/latency_objective.hpp"
#include "admission_policy/policy_impl.hpp"
#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

using namespace std::chrono_literals;

// Answers are sent this long before they are due, because the host needs time to send them.
constexpr duration answer_margin = 10ms;
// Safety margin, in ticks of the host's clock, by which answers are sent earlier and keys are retained
// longer.
constexpr int safety_ticks = 2;

settings validated(settings policy_settings) {
  if (policy_settings.cores == 0) throw std::invalid_argument("cores: must be at least 1");
  if (policy_settings.classes.empty()) throw std::invalid_argument("classes: at least one class is required");
  for (const class_settings& its_class : policy_settings.classes) {
    if (its_class.deadline <= 0ns)
      throw std::invalid_argument("classes: deadline of class " + its_class.name + " must be above 0");
  }
  return policy_settings;
}

}  // namespace

policy::impl::impl(settings policy_settings, time_point now)
    : settings_(validated(std::move(policy_settings))),
      now_(now),
      accounted_until_(now),
      window_end_(now + control_window),
      slow_start_(settings_, now),
      curves_(settings_, now),
      limiter_(settings_, now),
      service_times_(settings_.cores, slow_start_.speed(now)),
      calls_(settings_),
      memory_(settings_),
      overload_(curves_.total_quota()),
      load_signal_(settings_),
      watchdog_(shortest_objective(settings_)),
      drain_(settings_.drain_grace) {
  emit(set_health{true, true});
}

const std::vector<action>& policy::impl::handle(time_point now, std::span<const event> events) {
  if (handled_before_) actions_.clear();
  handled_before_ = true;
  now_ = std::max(now_, now);
  account_elapsed_time(now_);
  for (const event& happened : events) {
    std::visit([this](const auto& content) { on(content); }, happened);
  }
  shed_for_memory();
  answer_due_requests();
  decide_waiting_calls();
  shed_requests_missing_objective();
  place_calls();
  start_queued_requests();
  if (requests_.queue().empty()) limiter_.note_empty_queue(now_);
  set_next_timer();
  return actions_;
}

// Accounts for the time since the last call. If no event arrived although a timer was due, this process was
// stalled; the stall is excluded, because it does not mean that runs are slow.
void policy::impl::account_elapsed_time(time_point now) {
  duration gap = now - accounted_until_;
  if (timer_due_ < now && now - timer_due_ > control_window) {
    gap = std::max(0ns, timer_due_ - accounted_until_);
    watchdog_.skip(now - accounted_until_ - gap);
  }
  overload_.advance(gap);
  const double running = static_cast<double>(requests_.running().size());
  const double runs_per_core = std::max(1.0, running / settings_.cores);
  for (const auto& run : requests_.running()) {
    const double run_seconds = run.entry->work * service_times_.best_time_per_unit() * runs_per_core;
    watchdog_.expect_run_ends(to_seconds(gap) / run_seconds);
  }
  service_times_.add_core_time(to_seconds(gap) * running);
  calls_.record_usage(requests_.in_call_count(), accounted_until_, now);
  accounted_until_ = now;
  while (keys_.expire_one(now)) memory_.release_key();
}

void policy::impl::on(const arrival& attempt) {
  if (requests_.find(attempt.id) != nullptr) return;  // the host must not reuse an open id
  const request new_request = make_request(attempt);
  const class_settings& its_class = class_of(new_request);
  const bool unlinked_duplicate =
      its_class.effect == request_effect::keyed &&
      unlinked_duplicates_.check(attempt, its_class, new_request.arrived, overload_.retries_marked(), now_);
  overload_.note_read(attempt.retry);
  idle_connections_.note_arrival(attempt.caller, now_);
  load_signal_.note_read_delay(attempt.read_delay);
  admit(enqueue(new_request), attempt, unlinked_duplicate);
}

request policy::impl::make_request(const arrival& attempt) {
  request new_request;
  new_request.id = attempt.id;
  const auto last_class = static_cast<unsigned>(settings_.classes.size()) - 1;
  new_request.request_class = std::min(attempt.request_class, last_class);
  new_request.tenant = curves_.tenant_of(attempt.tenant);
  const class_settings& its_class = class_of(new_request);
  new_request.arrived = now_ - attempt.read_delay;
  const time_point due = attempt.client_timeout > 0ns
                             ? now_ + attempt.client_timeout
                             : std::max(now_, new_request.arrived + its_class.deadline);
  new_request.answer_by = std::min(due - answer_margin - safety_ticks * settings_.tick, drain_.answer_by());
  const time_point first_sent = new_request.arrived - retry_ages_.age_of(attempt);
  new_request.useful_until = std::min(new_request.answer_by, first_sent + objective_of(its_class));
  new_request.reserved_kb = std::max(0.0, attempt.reserved_kb);
  new_request.work = service_times_.work_of(attempt.expected_work, speed());
  return new_request;
}

request& policy::impl::enqueue(request new_request) {
  const request_tags tags = curves_.tag(new_request.tenant, objective_of(class_of(new_request)), now_);
  new_request.start_tag = tags.start;
  new_request.finish_tag = tags.finish;
  new_request.exceeds_curve = tags.exceeds_curve;
  curves_.enqueued(new_request.tenant);
  memory_.reserve(memory_.request_kb(new_request.reserved_kb, false));
  request& queued = requests_.enqueue(new_request);
  set_deadline(queued);
  return queued;
}

void policy::impl::admit(request& queued, const arrival& attempt, bool unlinked_duplicate) {
  const request_effect effect = class_of(queued).effect;
  if (attempt.duplicate_of != 0 && effect != request_effect::unsafe) {  // a duplicate gets no run of its own
    emit(share_result{queued.id});
    // The original of a keyed duplicate may have run, so the duplicate must not be rejected any more.
    queued.ran = effect == request_effect::keyed;
    change_state(queued, request_state::sharing_result);
    return;
  }
  if (unlinked_duplicate || drain_.too_late_to_run(queued.arrived)) {
    reject_request(queued);
    return;
  }
  const rate_decision rate =
      rate_quotas_.take(queued.tenant, queued.request_class, quota_.next_quota_in, now_);
  if (!rate.admitted) {
    reject_request(queued, {.min_retry_after = rate.retry_after});
    return;
  }
  const bool shareable_read = settings_.result_freshness > 0ns && attempt.key != 0 && !attempt.write;
  if (effect == request_effect::keyed || shareable_read) retain_key_of(queued);
}

// Retains the key of a request before it can run, so that no duplicate runs in addition to it. A keyed
// request whose key does not fit in memory is rejected; keys are never dropped early.
void policy::impl::retain_key_of(request& queued) {
  const class_settings& its_class = class_of(queued);
  const bool keyed = its_class.effect == request_effect::keyed;
  if (!memory_.fits_another_key(keys_.size())) {
    if (keyed) reject_request(queued);
    return;
  }
  const duration retention = keyed ? its_class.idempotency_window : settings_.result_freshness;
  const time_point expiry = queued.arrived + retention + safety_ticks * settings_.tick;
  emit(retain_key{queued.id, expiry - now_});
  keys_.retain(queued.id, expiry);
  memory_.reserve_key();
}

void policy::impl::on(const completion& ended) {
  request* const found = requests_.find(ended.id);
  if (found == nullptr) return;
  if (found->state == request_state::running && ended.result == outcome::ok) {
    service_times_.run_ended(found->work, speed());
    calls_.note_run_end(found->request_class, found->calls_made);
    watchdog_.note_progress(now_);
  }
  if (ended.result == outcome::moot)
    curves_.refund(found->tenant, found->exceeds_curve);  // it got no service
  if (ended.result == outcome::cancelled && !found->answered) emit(fail{found->id, retry_after_advice()});
  remove_request(*found);
}

void policy::impl::on(const client_cancelled& cancelled) {
  request* const found = requests_.find(cancelled.id);
  if (found == nullptr) return;
  found->answered = true;
  discard_or_stop(*found);
}

void policy::impl::on(const call_needed& needed) {
  request* const found = requests_.find(needed.id);
  if (found == nullptr) return;
  ++found->calls_made;
  found->call_failures = 0;
  found->left_core = now_;
  found->next_call_after = now_;
  change_state(*found, found->answered ? request_state::ending : request_state::awaiting_call);
}

void policy::impl::on(const call_ended& ended) {
  request* const found = requests_.find(ended.id);
  if (found == nullptr || found->state != request_state::in_call) return;
  calls_.note_call_end(ended, !requests_.awaiting_call().empty(), now_);
  if (ended.result == outcome::ok) {
    found->running_since += now_ - found->left_core;
    change_state(*found, request_state::running);
  } else if (found->answered) {
    change_state(*found, request_state::ending);
  } else {
    change_state(*found, request_state::awaiting_call);
    retry_call(*found, ended.result);
  }
}

// A call that may have had an effect is retried only for safe classes.
void policy::impl::retry_call(request& run, outcome result) {
  const bool never_ran = result == outcome::full || result == outcome::connect_failed;
  if (!never_ran && class_of(run).effect != request_effect::safe) {
    fail_request(run);
    return;
  }
  ++run.call_failures;
  run.next_call_after = now_ + calls_.retry_delay(run.call_failures);
}

void policy::impl::on(const shutdown_notice& notice) {
  if (drain_.begin(notice.time_left, now_)) {
    watchdog_.shut_down();
    emit(set_health{false, true});
    emit(log_line{"drain: notice to leave"});
  }
  for (auto& [id, open] : requests_.all()) {
    open.answer_by = std::min(open.answer_by, std::max(now_, drain_.answer_by()));
    open.useful_until = std::min(open.useful_until, open.answer_by);
    if (!open.answered) set_deadline(open);
  }
}

void policy::impl::on(const timer_fired& timer) {
  if (timer_due_ <= now_) timer_due_ = duration::max();
  if (now_ >= window_end_) end_control_window(timer);
}

void policy::impl::on(const quota_update& update) {
  quota_ = update;
  rate_quotas_.update(update.rates, now_);
}

policy::policy(settings policy_settings, std::uint64_t, time_point now)
    : impl_(std::make_unique<impl>(std::move(policy_settings), now)) {}
policy::~policy() = default;
policy::policy(policy&&) noexcept = default;
policy& policy::operator=(policy&&) noexcept = default;

const std::vector<action>& policy::handle(time_point now, std::span<const event> events) {
  return impl_->handle(now, events);
}

}  // namespace admission_policy
