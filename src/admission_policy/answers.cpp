// How policy::impl answers requests, ends them, and keeps the books on their states.
#include <algorithm>

#include "admission_policy/policy_impl.hpp"

namespace admission_policy {

bool policy::impl::slow_here() const {
  const auto running = static_cast<double>(requests_.running().size());
  if (speed() < 1) return true;
  return is_slow(time_per_unit(), service_times_.best_time_per_unit(), running, settings_.cores);
}

duration policy::impl::retry_advice() const {
  double queued_work = 0;
  for (const auto& queued : requests_.queue()) queued_work += queued.entry->work;
  return advised_retry_after(queued_work, time_per_unit(), limiter_.limit(), settings_.max_retry_after);
}

// Rejects a request that never ran, and frees its key. Where its objective has passed it is of no use
// elsewhere either.
void policy::impl::reject_request(request& rejected, rejection why) {
  reject answer{rejected.id, settings_.max_retry_after, false};
  if (!drain_.active()) {
    const duration advice = std::max(retry_advice(), why.min_retry_after);
    answer.retry_after = std::min(settings_.max_retry_after, advice);
    answer.no_retry_elsewhere =
        why.no_retry_elsewhere ||
        overload_.overloaded_everywhere(slow_here(), load_signal_.accepted_fraction()) ||
        rejected.useful_until <= now_;
  }
  act(answer);
  rejected.answered = true;
  curves_.refund(rejected.tenant, rejected.spaced);
  release(rejected);
}

// Fails a request that may have run, and stops its run.
void policy::impl::fail_request(request& failed) {
  act(fail{failed.id, drain_.active() ? settings_.max_retry_after : retry_advice()});
  failed.answered = true;
  release(failed);
}

// Nobody waits any longer: a queued request ends at once, a run is stopped where it can be and counts until
// its completion is reported.
void policy::impl::release(request& unwanted) {
  requests_.clear_deadline(unwanted);
  if (!was_started(unwanted.state)) {
    if (!unwanted.ran && keys_.forget(unwanted.id)) {
      act(forget_key{unwanted.id});
      memory_.release_key();
    }
    erase(unwanted);
    return;
  }
  if (unwanted.state == request_state::awaiting_call)
    move(unwanted, request_state::ending);  // off the cores: it ends by itself, and never calls
  if (can_stop_runs()) act(stop_run{unwanted.id});
}

void policy::impl::erase(request& ended) {
  if (ended.state == request_state::in_call) calls_.abandoned(now_);
  move(ended, request_state::sharing_result);
  memory_.release(memory_.request_kb(ended.reserved_kb, false));
  requests_.remove(ended);
}

// The only caller of request_table::move: the books on memory and tenants follow the state.
void policy::impl::move(request& moved, request_state to) {
  memory_.release(memory_.request_kb(moved.reserved_kb, was_started(moved.state)));
  if (moved.state == request_state::queued) curves_.dequeued(moved.tenant);
  requests_.move(moved, to);
  memory_.reserve(memory_.request_kb(moved.reserved_kb, was_started(to)));
}

// In the queue and at a call a request is looked at when its answer is due; on a core also at the end of its
// use, where a stop is possible.
void policy::impl::set_deadline(request& of) {
  const bool stops_at_objective = was_started(of.state) && class_of(of).late_weight <= 0 && can_stop_runs();
  requests_.set_deadline(of, stops_at_objective ? of.useful_until : of.answer_by);
}

}  // namespace admission_policy
