// Answers and removal of requests in policy::impl, and the accounting that follows their states.
#include <algorithm>

#include "admission_policy/policy_impl.hpp"

namespace admission_policy {

bool policy::impl::locally_slow() const {
  const auto running = static_cast<double>(requests_.running().size());
  if (speed() < 1) return true;
  return is_slow(time_per_unit(), service_times_.best_time_per_unit(), running, settings_.cores);
}

duration policy::impl::retry_after_advice() const {
  double queued_work = 0;
  for (const auto& queued : requests_.queue()) queued_work += queued.entry->work;
  return advised_retry_after(queued_work, time_per_unit(), limiter_.limit(), settings_.max_retry_after);
}

// Rejects a request that never ran and removes its key. Once its objective has passed, a caller
// is advised not to retry at other servers, because their answers would be late, too. While this server
// drains, this advice is not given.
void policy::impl::reject_request(request& rejected, rejection_advice advice) {
  reject answer{rejected.id, settings_.max_retry_after, false};
  if (!drain_.active()) {
    const duration retry_after = std::max(retry_after_advice(), advice.min_retry_after);
    answer.retry_after = std::min(settings_.max_retry_after, retry_after);
    answer.no_retry_elsewhere =
        advice.no_retry_elsewhere ||
        overload_.overloaded_everywhere(locally_slow(), load_signal_.accepted_fraction()) ||
        rejected.useful_until <= now_;
  }
  emit(answer);
  rejected.answered = true;
  curves_.refund(rejected.tenant, rejected.exceeds_curve);
  discard_or_stop(rejected);
}

// Fails a request that may have run and stops its run if possible.
void policy::impl::fail_request(request& failed) {
  emit(fail{failed.id, drain_.active() ? settings_.max_retry_after : retry_after_advice()});
  failed.answered = true;
  discard_or_stop(failed);
}

// Called once the answer is sent or no longer wanted. A request that has not started is removed at once. A
// run is stopped if possible and counts until its completion is reported.
void policy::impl::discard_or_stop(request& answered) {
  requests_.clear_deadline(answered);
  if (!was_started(answered.state)) {
    if (!answered.ran && keys_.forget(answered.id)) {
      emit(forget_key{answered.id});
      memory_.release_key();
    }
    remove_request(answered);
    return;
  }
  if (answered.state == request_state::awaiting_call)
    change_state(answered, request_state::ending);  // off the core: it ends without its call
  if (can_stop_runs()) emit(stop_run{answered.id});
}

void policy::impl::remove_request(request& ended) {
  if (ended.state == request_state::in_call) calls_.note_abandoned_call(now_);
  change_state(ended, request_state::sharing_result);
  memory_.release(memory_.request_kb(ended.reserved_kb, false));
  requests_.remove(ended);
}

// Changes the state and updates the accounting of memory and of the tenants' queued requests. The only caller
// of request_table::change_state.
void policy::impl::change_state(request& target, request_state new_state) {
  memory_.release(memory_.request_kb(target.reserved_kb, was_started(target.state)));
  if (target.state == request_state::queued) curves_.dequeued(target.tenant);
  requests_.change_state(target, new_state);
  memory_.reserve(memory_.request_kb(target.reserved_kb, was_started(new_state)));
}

// The deadline of a request is the time when its answer is due. A started request whose late answer has no
// weight is stopped at its objective if runs can be stopped.
void policy::impl::set_deadline(request& target) {
  const bool stops_at_objective =
      was_started(target.state) && class_of(target).late_weight <= 0 && can_stop_runs();
  requests_.set_deadline(target, stops_at_objective ? target.useful_until : target.answer_by);
}

}  // namespace admission_policy
