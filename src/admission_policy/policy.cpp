// Construction, and the events in the order in which they happened.
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

// Answers go out so long before they are due: they still have to pass through the host.
constexpr duration answer_margin = 10ms;
// Ticks of the host's clock by which a due time and the end of a key's life are moved, to be on the safe
// side.
constexpr int safety_ticks = 2;

settings validated(settings given) {
  if (given.cores == 0) throw std::invalid_argument("cores: a server needs at least one");
  if (given.classes.empty()) throw std::invalid_argument("classes: at least one is needed");
  for (const class_settings& one : given.classes) {
    if (one.deadline <= 0ns) throw std::invalid_argument("classes: deadline of " + one.name + " is missing");
  }
  return given;
}

}  // namespace

policy::impl::impl(settings given, time_point now)
    : settings_(validated(std::move(given))),
      now_(now),
      accounted_(now),
      window_end_(now + control_window),
      slow_start_(settings_, now),
      curves_(settings_, now),
      limiter_(settings_, now),
      service_times_(settings_.cores, slow_start_.speed(now)),
      calls_(settings_),
      memory_(settings_),
      overload_(curves_.total_quota()),
      load_signal_(settings_),
      watchdog_(tightest_objective(settings_)),
      drain_(settings_.drain_grace) {
  act(set_health{true, true});
}

const std::vector<action>& policy::impl::handle(time_point now, std::span<const event> events) {
  if (handled_before_) actions_.clear();
  handled_before_ = true;
  now_ = std::max(now_, now);
  account(now_);
  for (const event& next : events) {
    std::visit([this](const auto& what) { on(what); }, next);
  }
  shed_for_memory();
  answer_due_requests();
  decide_waiting_calls();
  shed_hopeless_requests();
  place_calls();
  start_queued_requests();
  if (requests_.queue().empty()) limiter_.note_empty_queue(now_);
  set_next_timer();
  return actions_;
}

// Counts the time since the last events. A gap in which nothing was heard although a timer was due was a
// stall of this process, not slow work: it is left out.
void policy::impl::account(time_point now) {
  duration gap = now - accounted_;
  if (timer_at_ < now && now - timer_at_ > control_window) {
    gap = std::max(0ns, timer_at_ - accounted_);
    watchdog_.skip(now - accounted_ - gap);
  }
  overload_.advance(gap);
  const double running = static_cast<double>(requests_.running().size());
  const double runs_per_core = std::max(1.0, running / settings_.cores);
  for (const auto& run : requests_.running()) {
    const double run_seconds = run.entry->work * service_times_.best_time_per_unit() * runs_per_core;
    watchdog_.expect_run_ends(to_seconds(gap) / run_seconds);
  }
  service_times_.add_core_time(to_seconds(gap) * running);
  calls_.account(requests_.in_call(), accounted_, now);
  accounted_ = now;
  while (keys_.expire_one(now)) memory_.release_key();
}

void policy::impl::on(const arrival& attempt) {
  if (requests_.find(attempt.id) != nullptr) return;  // owed by the host: an id that is not in use
  const request made = request_for(attempt);
  const class_settings& its_class = class_of(made);
  const bool unlinked_duplicate =
      its_class.effect == request_effect::keyed &&
      unlinked_duplicates_.check(attempt, its_class, made.arrived, overload_.retries_marked(), now_);
  overload_.note_read(attempt.retry);
  idle_connections_.note_arrival(attempt.caller, now_);
  load_signal_.note_read_delay(attempt.read_delay);
  admit(enqueue(made), attempt, unlinked_duplicate);
}

request policy::impl::request_for(const arrival& attempt) {
  request made;
  made.id = attempt.id;
  const auto last_class = static_cast<unsigned>(settings_.classes.size()) - 1;
  made.request_class = std::min(attempt.request_class, last_class);
  made.tenant = curves_.tenant_of(attempt.tenant);
  const class_settings& its_class = class_of(made);
  made.arrived = now_ - attempt.read_delay;
  const time_point due = attempt.client_timeout > 0ns ? now_ + attempt.client_timeout
                                                      : std::max(now_, made.arrived + its_class.deadline);
  made.answer_by = std::min(due - answer_margin - safety_ticks * settings_.tick, drain_.answer_by());
  const time_point first_sent = made.arrived - retry_ages_.age_of(attempt);
  made.useful_until = std::min(made.answer_by, first_sent + objective_of(its_class));
  made.reserved_kb = std::max(0.0, attempt.reserved_kb);
  made.work = service_times_.work_of(attempt.expected_work, speed());
  return made;
}

request& policy::impl::enqueue(request added) {
  const request_tags tags = curves_.tag(added.tenant, objective_of(class_of(added)), now_);
  added.start_tag = tags.start;
  added.finish_tag = tags.finish;
  added.spaced = tags.spaced;
  curves_.enqueued(added.tenant);
  memory_.reserve(memory_.request_kb(added.reserved_kb, false));
  request& queued = requests_.enqueue(added);
  set_deadline(queued);
  return queued;
}

void policy::impl::admit(request& queued, const arrival& attempt, bool unlinked_duplicate) {
  const request_effect effect = class_of(queued).effect;
  if (attempt.duplicate_of != 0 && effect != request_effect::unsafe) {  // a duplicate never gets its own run
    act(share_result{queued.id});
    queued.ran =
        effect == request_effect::keyed;  // the request may have run: it is not rejected from here on
    move(queued, request_state::sharing_result);
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

// Retains the key of a request before it can run, so that no duplicate gets a run of its own. Where the keys
// would take too much memory the request is rejected; no key is dropped early.
void policy::impl::retain_key_of(request& queued) {
  const class_settings& its_class = class_of(queued);
  const bool keyed = its_class.effect == request_effect::keyed;
  if (!memory_.fits_another_key(keys_.size())) {
    if (keyed) reject_request(queued);
    return;
  }
  const duration life = keyed ? its_class.idempotency_window : settings_.result_freshness;
  const time_point until = queued.arrived + life + safety_ticks * settings_.tick;
  act(retain_key{queued.id, until - now_});
  keys_.retain(queued.id, until);
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
  if (ended.result == outcome::moot) curves_.refund(found->tenant, found->spaced);  // it had no service
  if (ended.result == outcome::cancelled && !found->answered) act(fail{found->id, retry_advice()});
  erase(*found);
}

void policy::impl::on(const client_cancelled& cancelled) {
  request* const found = requests_.find(cancelled.id);
  if (found == nullptr) return;
  found->answered = true;
  release(*found);
}

void policy::impl::on(const call_needed& needed) {
  request* const found = requests_.find(needed.id);
  if (found == nullptr) return;
  ++found->calls_made;
  found->call_failures = 0;
  found->left_core = now_;
  found->next_call_after = now_;
  move(*found, found->answered ? request_state::ending : request_state::awaiting_call);
}

void policy::impl::on(const call_ended& ended) {
  request* const found = requests_.find(ended.id);
  if (found == nullptr || found->state != request_state::in_call) return;
  calls_.call_ended(ended, !requests_.awaiting_call().empty(), now_);
  if (ended.result == outcome::ok) {
    found->running_since += now_ - found->left_core;
    move(*found, request_state::running);
  } else if (found->answered) {
    move(*found, request_state::ending);
  } else {
    move(*found, request_state::awaiting_call);
    retry_call(*found, ended.result);
  }
}

// A call that may have had an effect is repeated only where the class is safe.
void policy::impl::retry_call(request& failed, outcome result) {
  const bool never_ran = result == outcome::full || result == outcome::connect_failed;
  if (!never_ran && class_of(failed).effect != request_effect::safe) {
    fail_request(failed);
    return;
  }
  ++failed.call_failures;
  failed.next_call_after = now_ + calls_.retry_delay(failed.call_failures);
}

void policy::impl::on(const shutdown_notice& notice) {
  if (drain_.begin(notice.time_left, now_)) {
    watchdog_.shut_down();
    act(set_health{false, true});
    act(log_line{"drain: notice to leave"});
  }
  for (auto& [id, open] : requests_.all()) {
    open.answer_by = std::min(open.answer_by, std::max(now_, drain_.answer_by()));
    open.useful_until = std::min(open.useful_until, open.answer_by);
    if (!open.answered) set_deadline(open);
  }
}

void policy::impl::on(const timer_fired& timer) {
  if (timer_at_ <= now_) timer_at_ = duration::max();
  if (now_ >= window_end_) end_control_window(timer);
}

void policy::impl::on(const quota_update& update) {
  quota_ = update;
  rate_quotas_.update(update.rates, now_);
}

policy::policy(settings given, std::uint64_t, time_point now)
    : impl_(std::make_unique<impl>(std::move(given), now)) {}
policy::~policy() = default;
policy::policy(policy&&) noexcept = default;
policy& policy::operator=(policy&&) noexcept = default;

const std::vector<action>& policy::handle(time_point now, std::span<const event> events) {
  return impl_->handle(now, events);
}

}  // namespace admission_policy
