#include "core/admission.hpp"

#include <algorithm>
#include <utility>

#include "telemetry/telemetry.hpp"

namespace marblewharf {
namespace {

std::vector<bool> class_writes_of(const admission_policy::settings& settings) {
  std::vector<bool> writes;
  for (const admission_policy::class_settings& request_class : settings.classes)
    writes.push_back(request_class.effect != admission_policy::request_effect::safe);
  return writes;
}

admission_policy::outcome to_outcome(run_end end) {
  switch (end) {
    case run_end::succeeded: return admission_policy::outcome::ok;
    case run_end::failed:
    case run_end::lost: return admission_policy::outcome::error;
    case run_end::aborted: return admission_policy::outcome::cancelled;
    case run_end::never_started:
    case run_end::unknown_request: return admission_policy::outcome::moot;
  }
  return admission_policy::outcome::error;
}

}  // namespace

admission::admission(const admission_policy::settings& settings, std::uint64_t seed,
                     time_point server_started)
    : policy_(settings, seed, server_started),
      class_writes_(class_writes_of(settings)),
      due_(time_point::max()) {
  apply_all(policy_.handle(server_started, {}), server_started);
}

// ---- Facts ------------------------------------------------------------------------------------------------

void admission::report(const arrived& fact) {
  const request& details = *fact.details;
  started_.emplace(fact.id, false);
  admission_policy::arrival event;
  event.id = fact.id;
  event.duplicate_of = fact.duplicate_of;
  event.key = details.resource_id;
  event.reserved_kb = details.reserved_kb;
  event.expected_work = details.expected_work;
  event.read_delay = details.read_delay;
  event.tenant = details.tenant;
  event.request_class = details.request_class;
  event.caller = details.caller;
  event.rank = details.rank;
  event.write = details.request_class < class_writes_.size() && class_writes_[details.request_class];
  pending_.emplace_back(event);
}

void admission::report(const completed& fact) {
  started_.erase(fact.id);
  pending_.emplace_back(admission_policy::completion{fact.id, to_outcome(fact.end), fact.elapsed});
}

void admission::report(const cancelled& fact) {
  forget_unless_started(fact.id);
  pending_.emplace_back(admission_policy::client_cancelled{fact.id});
}

void admission::report(const call_needed& fact) {
  pending_.emplace_back(admission_policy::call_needed{fact.id});
}

void admission::report(const call_completed& fact) {
  pending_.emplace_back(admission_policy::call_ended{fact.id, admission_policy::outcome::ok, fact.elapsed});
}

void admission::report(const shutdown_notice& fact) {
  pending_.emplace_back(admission_policy::shutdown_notice{fact.time_left});
}

void admission::report(const quota_update& fact) {
  pending_.emplace_back(fact);
}

void admission::tick(time_point now, std::span<const double> gauges) {
  // The policy has a single timer and sets a new one only after the previous one has fired. A timer event
  // must not be early: the policy would then not set the timer again. The timer fires even if no facts are
  // pending.
  if (now >= due_) {
    due_ = time_point::max();
    pending_.emplace_back(admission_policy::timer_fired{{gauges.begin(), gauges.end()}});
  }
  if (pending_.empty()) return;
  std::vector<admission_policy::event> events;
  events.swap(pending_);
  apply_all(policy_.handle(now, events), now);
}

// ---- Decisions --------------------------------------------------------------------------------------------

std::optional<admission_decision> admission::next_decision() {
  if (decisions_.empty()) return std::nullopt;
  admission_decision next = decisions_.front();
  decisions_.pop_front();
  return next;
}

void admission::apply_all(const std::vector<admission_policy::action>& actions, time_point now) {
  now_ = now;
  for (const admission_policy::action& action : actions)
    std::visit([this](const auto& each) { apply(each); }, action);
}

void admission::apply(const admission_policy::start& action) {
  const auto entry = started_.find(action.id);
  if (entry == started_.end()) return;
  const bool started_before = std::exchange(entry->second, true);
  if (started_before) {
    decisions_.emplace_back(resume{action.id});
  } else {
    decisions_.emplace_back(run{action.id});
  }
}

void admission::apply(const admission_policy::stop_run& action) {
  decisions_.emplace_back(pause{action.id});
}

void admission::apply(const admission_policy::reject& action) {
  decisions_.emplace_back(reject{action.id, action.retry_after, action.no_retry_elsewhere});
  started_.erase(action.id);
}

void admission::apply(const admission_policy::fail& action) {
  decisions_.emplace_back(fail{action.id, action.retry_after});
  forget_unless_started(action.id);
}

void admission::apply(const admission_policy::place_call& action) {
  decisions_.emplace_back(place_call{action.id, action.limit});
}

void admission::apply(const admission_policy::skip_call& action) {
  decisions_.emplace_back(skip_call{action.id});
}

void admission::apply(const admission_policy::retain_key& action) {
  decisions_.emplace_back(retain_key{action.id});
}

void admission::apply(const admission_policy::forget_key& action) {
  decisions_.emplace_back(forget_key{action.id});
}

void admission::apply(const admission_policy::share_result& action) {
  decisions_.emplace_back(share_result{action.id});
}

void admission::apply(const admission_policy::set_health& action) {
  decisions_.emplace_back(set_health{action.good});
}

// Ignores the load signal to callers: the protocols of the fronts have no field for it. Only callers in the
// simulator read the signal.
void admission::apply(const admission_policy::advertise&) {}

void admission::apply(const admission_policy::close_idle& action) {
  decisions_.emplace_back(close_idle{action.after});
}

void admission::apply(const admission_policy::set_timer& action) {
  due_ = std::min(due_, now_ + action.after);
}

void admission::apply(const admission_policy::log_line& action) {
  telemetry::log("module", "%s", action.text.c_str());
}

// Removes the entry of a request that was never started. Such a request gets no completion, which removes the
// entries of started requests.
void admission::forget_unless_started(request_id id) {
  const auto entry = started_.find(id);
  if (entry != started_.end() && !entry->second) started_.erase(entry);
}

}  // namespace marblewharf
