#include "core/dispatcher.hpp"

#include <algorithm>
#include <utility>

#include "telemetry/exception_text.hpp"

namespace marblewharf {
namespace {

// Clients that wait for a result to be recorded are answered this long before the process is killed. The
// policy answers all requests by the same time.
constexpr duration shutdown_margin = std::chrono::milliseconds(700);

admission_policy::settings with_cold_start(admission_policy::settings settings, bool cold) {
  settings.cold_start = settings.cold_start || cold;
  return settings;
}

}  // namespace

dispatcher::dispatcher(const admission_policy::settings& settings, std::uint64_t seed, time_point now,
                       telemetry::counters& counters)
    : settings_(settings),
      seed_(seed),
      counters_(counters),
      admission_(with_cold_start(settings, true), seed, now),
      requests_(settings.classes.size(), counters),
      coalescer_(requests_, admission_, settings_, counters, now),
      now_(now) {}

void dispatcher::enable_idempotency(idempotency_store& store, duration finish_within,
                                    std::span<const std::chrono::nanoseconds> windows) {
  const std::size_t classes = std::min(windows.size(), settings_.classes.size());
  for (std::size_t index = 0; index < classes; ++index)
    if (windows[index].count() > 0) coalescer_.set_store(index, store, finish_within);
}

// Ignores the report while the node drains, and after the first arrival, because from then on the policy
// estimates the server's speed only from runs.
void dispatcher::on_server_up(bool cold, time_point since) {
  if (any_request_arrived_ || draining_) return;
  admission_ = admission(with_cold_start(settings_, cold), seed_, since);
  if (quota_) admission_.report(*quota_);
}

// ---- Requests ---------------------------------------------------------------------------------------------

request_id dispatcher::on_arrival(front& receiving_front, backend& target_backend, request details) {
  any_request_arrived_ = true;
  request_entry& entry = requests_.add(receiving_front, target_backend, std::move(details));
  ++counters_.received_requests;
  const request_id id = entry.id;
  entry.details.arrival_time = now_ - entry.details.read_delay;
  try {
    admit(entry);
  } catch (...) {
    abandon_arrival(entry, telemetry::describe_current_exception());
  }
  return id;
}

void dispatcher::admit(request_entry& arrival) {
  if (arrival_observer_) arrival_observer_(arrival.details);
  if (coalescer_.handles(arrival.details)) {
    coalescer_.on_arrival(arrival);
  } else {
    admission_.report(arrived{arrival.id, &arrival.details});
  }
}

// The policy ignores the cancellation of a request that was not reported to it.
void dispatcher::abandon_arrival(request_entry& arrival, const std::string& cause) {
  report_internal_error("arrival", cause);
  admission_.report(cancelled{arrival.id});
  coalescer_.abandon_arrival(arrival);
}

// The entry may be gone, if the exception came after its end.
void dispatcher::abandon_run(request_id id, const std::string& cause) {
  report_internal_error("event", cause);
  request_entry* entry = requests_.find(id);
  if (entry == nullptr) return;
  if (entry->role == request_role::primary) {
    coalescer_.abandon_primary(*entry);
    return;
  }
  coalescer_.abandon_claim(*entry);
  requests_.respond(*entry, {.status = response_status::failed});
  admission_.report(completed{id, run_end::lost, {}});
  requests_.remove(id);
}

void dispatcher::report_internal_error(const char* during, const std::string& cause) {
  ++counters_.internal_errors;
  telemetry::log("internal", "the handling of a request's %s failed, the request is answered as failed: %s",
                 during, cause.c_str());
}

void dispatcher::on_client_cancelled(request_id id) {
  request_entry* entry = requests_.find(id);
  if (entry == nullptr || entry->answered) return;
  ++counters_.cancelled;
  if (entry->role == request_role::primary || entry->role == request_role::duplicate) {
    coalescer_.on_client_cancelled(*entry);
    return;
  }
  admission_.report(cancelled{id});
  entry->answered = true;
  if (entry->stage == request_stage::queued) {
    requests_.remove(id);
  } else {
    on_closed_by_policy(id);
  }
}

void dispatcher::on_closed_by_policy(request_id id) {
  request_entry* entry = requests_.find(id);
  if (entry == nullptr) return;
  entry->closed_by_policy = true;
  end_waiting_run(*entry);
}

void dispatcher::end_waiting_run(request_entry& entry) {
  if (entry.closed_by_policy && std::exchange(entry.awaits_call, false))
    entry.target_backend.end_waiting_run(entry.id);
}

template <typename Handler>
void dispatcher::handle_event(request_entry* entry, Handler handler) {
  if (entry == nullptr) return;
  const request_id id = entry->id;
  try {
    handler(*entry);
  } catch (...) {
    abandon_run(id, telemetry::describe_current_exception());
  }
}

void dispatcher::on_run_ended(request_id id, run_end end, std::string_view result, duration elapsed) {
  handle_event(find_started(id), [&](request_entry& entry) { end_run(entry, end, result, elapsed); });
}

void dispatcher::end_run(request_entry& entry, run_end end, std::string_view result, duration elapsed) {
  if (entry.role == request_role::primary) {
    coalescer_.on_run_ended(entry, end, result, elapsed);
    return;
  }
  if (end == run_end::succeeded) {
    requests_.respond(entry, {.status = response_status::served, .result = result});
  } else if (end != run_end::aborted) {
    requests_.respond(
        entry, {.status = response_status::failed, .unknown_request = end == run_end::unknown_request});
  }
  admission_.report(completed{entry.id, end, elapsed});
  if (entry.answered) {
    requests_.remove(entry.id);
  } else {
    entry.stage = request_stage::aborted;
  }
}

void dispatcher::on_backend_rejected(request_id id, duration retry_after) {
  handle_event(find_started(id), [&](request_entry& entry) { reject_run(entry, retry_after); });
}

void dispatcher::reject_run(request_entry& entry, duration retry_after) {
  const answer final_answer{.status = response_status::rejected, .retry_after = retry_after};
  if (entry.role == request_role::primary) {
    coalescer_.on_backend_rejected(entry, final_answer);
    return;
  }
  requests_.respond(entry, final_answer);
  admission_.report(completed{entry.id, run_end::never_started, {}});
  requests_.remove(entry.id);
}

void dispatcher::on_server_unreachable(request_id id) {
  handle_event(find_started(id), [this](request_entry& entry) {
    if (entry.role == request_role::primary) coalescer_.on_server_unreachable(entry);
  });
}

void dispatcher::on_dependency_call_needed(request_id id) {
  request_entry* entry = find_started(id);
  if (entry == nullptr) return;
  admission_.report(call_needed{id});
  entry->awaits_call = true;
  end_waiting_run(*entry);
}

void dispatcher::on_dependency_call_ended(request_id id, duration elapsed) {
  if (find_started(id) != nullptr) admission_.report(call_completed{id, elapsed});
}

void dispatcher::on_inquiry_reply(request_id id, inquiry_outcome end, std::string_view result) {
  handle_event(requests_.find(id), [&](const request_entry&) { coalescer_.on_inquired(id, end, result); });
}

void dispatcher::on_intent_written(request_id primary, bool durable) {
  handle_event(requests_.find(primary),
               [&](const request_entry&) { coalescer_.on_intent_written(primary, durable); });
}

void dispatcher::on_result_recorded(request_id primary) {
  handle_event(requests_.find(primary),
               [&](const request_entry&) { coalescer_.on_result_recorded(primary); });
}

void dispatcher::on_result_fetched(request_id id, const fetched_result& fetched) {
  handle_event(requests_.find(id), [&](const request_entry&) { coalescer_.on_result_fetched(id, fetched); });
}

// ---- Events of the node -----------------------------------------------------------------------------------

void dispatcher::on_shutdown_notice(duration time_left) {
  draining_ = true;
  coalescer_.set_response_deadline(now_ + time_left - shutdown_margin);
  admission_.report(shutdown_notice{time_left});
}

void dispatcher::on_quota_update(const quota_update& update) {
  quota_ = update;
  admission_.report(update);
}

void dispatcher::step(time_point now, std::span<const double> gauges) {
  now_ = now;
  coalescer_.step(now);
  while (const std::optional<request_id> primary = coalescer_.take_due_inquiry())
    handle_event(requests_.find(*primary), [this](request_entry& entry) { coalescer_.inquire(entry); });
  admission_.tick(now, gauges);
  while (const std::optional<admission_decision> next = admission_.next_decision())
    std::visit([this](const auto& each) { carry_out(each); }, *next);
}

time_point dispatcher::due() const {
  if (admission_.has_pending_facts()) return time_point::min();
  return std::min(admission_.due(), coalescer_.due());
}

// ---- Decisions --------------------------------------------------------------------------------------------

// Returns null if there is no such request or the request was not passed to a backend. A request whose run
// the backend aborted counts as started.
request_entry* dispatcher::find_started(request_id id) {
  request_entry* entry = requests_.find(id);
  return entry != nullptr && entry->stage != request_stage::queued ? entry : nullptr;
}

template <typename Decision>
void dispatcher::carry_out(const Decision& decision) {
  if constexpr (requires { decision.id; }) {
    handle_event(requests_.find(decision.id), [&](const request_entry&) { apply(decision); });
  } else {
    apply(decision);
  }
}

void dispatcher::apply(const run& decision) {
  request_entry* entry = requests_.find(decision.id);
  if (entry == nullptr || entry->stage != request_stage::queued) return;
  if (entry->role == request_role::primary) {
    coalescer_.start_primary(*entry);
    return;
  }
  if (entry->answered) return;
  entry->stage = request_stage::started;
  ++counters_.started_runs;
  entry->target_backend.run(decision.id, entry->details);
}

void dispatcher::apply(const pause& decision) {
  request_entry* entry = requests_.find(decision.id);
  if (entry == nullptr) return;
  if (entry->role == request_role::primary) {
    coalescer_.pause_primary(*entry);
  } else if (entry->stage == request_stage::started) {
    entry->target_backend.pause(decision.id);
  }
}

void dispatcher::apply(const resume& decision) {
  request_entry* entry = requests_.find(decision.id);
  if (entry != nullptr && entry->stage == request_stage::started) entry->target_backend.resume(decision.id);
}

void dispatcher::apply(const place_call& decision) {
  request_entry* entry = requests_.find(decision.id);
  if (entry == nullptr || entry->stage != request_stage::started) return;
  entry->awaits_call = false;
  entry->target_backend.place_call(decision.id, decision.limit);
}

void dispatcher::apply(const skip_call& decision) {
  request_entry* entry = requests_.find(decision.id);
  if (entry == nullptr || entry->stage != request_stage::started) return;
  entry->awaits_call = false;
  entry->target_backend.skip_call(decision.id);
}

void dispatcher::apply(const reject& decision) {
  request_entry* entry = requests_.find(decision.id);
  if (entry == nullptr) return;
  if (entry->stage != request_stage::queued) {  // `rejected` would assert that the request never ran
    requests_.respond(*entry, {.status = response_status::failed});
    on_closed_by_policy(decision.id);
    return;
  }
  const answer final_answer{.status = response_status::rejected,
                            .retry_after = decision.retry_after,
                            .no_retry_elsewhere = decision.no_retry_elsewhere};
  if (entry->role == request_role::primary) {
    coalescer_.reject_primary(*entry, final_answer);
    return;
  }
  requests_.respond(*entry, final_answer);
  requests_.remove(decision.id);
}

void dispatcher::apply(const fail& decision) {
  request_entry* entry = requests_.find(decision.id);
  if (entry == nullptr) return;
  const bool aborted = entry->stage == request_stage::aborted;
  if (!entry->answered && !aborted) ++counters_.deadline_exceeded;
  // The result that a reader waits for was not read in time, so it cannot tell how the run ended.
  const answer final_answer{.status = response_status::failed,
                            .retry_after = decision.retry_after,
                            .deadline_exceeded = !aborted,
                            .outcome_unknown = entry->role == request_role::stored_result_reader};
  const bool still_running = entry->stage == request_stage::started;
  if (entry->role == request_role::primary) {
    coalescer_.fail_primary(*entry, final_answer);
  } else {
    requests_.respond(*entry, final_answer);
    if (entry->role == request_role::duplicate) coalescer_.remove_from_group(*entry);
    if (!still_running) requests_.remove(decision.id);
  }
  if (still_running) on_closed_by_policy(decision.id);
}

void dispatcher::apply(const share_result& decision) {
  request_entry* entry = requests_.find(decision.id);
  if (entry != nullptr) coalescer_.share_result(*entry);
}

void dispatcher::apply(const close_idle& decision) {
  for (front* idle_closing_front : fronts_) idle_closing_front->close_idle(decision.idle_timeout);
}

}  // namespace marblewharf
