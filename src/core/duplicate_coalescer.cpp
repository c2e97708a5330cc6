#include "core/duplicate_coalescer.hpp"

#include <algorithm>
#include <utility>

namespace marblewharf {
namespace {

using namespace std::chrono_literals;
using outcome::key_disposition;

// A keyed request is answered this long before its deadline, because the answer takes time to reach the
// client and the dispatcher's last clock reading may be old.
constexpr duration response_margin = 50ms;
constexpr duration default_retry_after = 1s;

constexpr answer answer_outcome_unknown{.status = response_status::failed, .outcome_unknown = true};
constexpr answer answer_key_conflict{.status = response_status::failed, .key_conflict = true};
constexpr answer answer_run_failed{.status = response_status::failed};
constexpr answer answer_retry_soon{.status = response_status::rejected, .retry_after = default_retry_after};

answer answer_of(const fetched_result& fetched) {
  switch (fetched.outcome) {
    case fetch_outcome::succeeded: return {.status = response_status::served, .result = fetched.bytes};
    case fetch_outcome::outcome_unknown: return answer_outcome_unknown;
    case fetch_outcome::never_ran: return answer_retry_soon;
    case fetch_outcome::run_failed:
    case fetch_outcome::unreadable: break;
  }
  return answer_run_failed;
}

}  // namespace

duplicate_coalescer::duplicate_coalescer(request_table& requests, admission& policy,
                                         const admission_policy::settings& settings,
                                         telemetry::counters& counters, time_point now)
    : requests_(requests),
      admission_(policy),
      settings_(settings),
      counters_(counters),
      stores_(settings.classes.size()),
      now_(now) {}

void duplicate_coalescer::set_store(std::size_t request_class, idempotency_store& store,
                                    duration finish_within) {
  stores_.at(request_class) = {&store, finish_within};
}

request_entry* duplicate_coalescer::find_primary(request_id id, group_stage stage) {
  request_entry* entry = requests_.find(id);
  return entry != nullptr && entry->group && entry->group->stage == stage ? entry : nullptr;
}

// ---- Arrivals ---------------------------------------------------------------------------------------------

void duplicate_coalescer::on_arrival(request_entry& arrival) {
  const claim_result claim = store_of(arrival).claim(arrival.id, arrival.details);
  switch (claim.status) {
    case claim_status::primary: add_primary(arrival, group_stage::queued); break;
    case claim_status::inquiry_primary:
      arrival.details.server = claim.server;
      add_primary(arrival, group_stage::inquiring);
      break;
    case claim_status::coalesced: add_duplicate(arrival, claim.primary); break;
    case claim_status::completed:
      arrival.role = request_role::stored_result_reader;
      admission_.report(arrived{arrival.id, &arrival.details, arrival.id});
      break;
    case claim_status::outcome_unknown: respond_at_next_step(arrival, answer_outcome_unknown); break;
    case claim_status::key_conflict: respond_at_next_step(arrival, answer_key_conflict); break;
    case claim_status::no_capacity:
      respond_at_next_step(arrival, {.status = response_status::rejected, .retry_after = claim.retry_after});
      break;
  }
}

void duplicate_coalescer::add_primary(request_entry& arrival, group_stage stage) {
  const duration deadline = settings_.classes[arrival.details.request_class].deadline;
  arrival.role = request_role::primary;
  arrival.group = std::make_unique<coalesced_group>();
  arrival.group->stage = stage;
  arrival.group->respond_by = now_ - arrival.details.read_delay + deadline - response_margin;
  // An inquiry is reported to the policy as a duplicate of itself, so that it gets no run of its own.
  const request_id duplicate_of = stage == group_stage::inquiring ? arrival.id : 0;
  admission_.report(arrived{arrival.id, &arrival.details, duplicate_of});
}

void duplicate_coalescer::add_duplicate(request_entry& arrival, request_id primary_id) {
  arrival.role = request_role::duplicate;
  arrival.primary_id = primary_id;
  requests_.find(primary_id)->group->duplicates.push_back(arrival.id);
  admission_.report(arrived{arrival.id, &arrival.details, primary_id});
}

// Defers the answer: the front gets the id of the request only when on_arrival() returns.
void duplicate_coalescer::respond_at_next_step(const request_entry& arrival, const answer& final_answer) {
  immediate_answers_.push_back({arrival.id, final_answer});
}

void duplicate_coalescer::abandon_claim(const request_entry& entry) {
  if (entry.role == request_role::duplicate) remove_from_group(entry);
  if (handles(entry.details)) store_of(entry).abandon(entry.id);
}

void duplicate_coalescer::abandon_arrival(request_entry& arrival) {
  abandon_claim(arrival);
  arrival.role = request_role::independent;
  arrival.group.reset();
  respond_at_next_step(arrival, answer_run_failed);
}

void duplicate_coalescer::abandon_primary(request_entry& primary) {
  store_of(primary).abandon(primary.id);
  close_group(primary, answer_outcome_unknown, run_end::lost);
}

// ---- The primary's run ------------------------------------------------------------------------------------

void duplicate_coalescer::start_primary(request_entry& primary) {
  primary.stage = request_stage::started;
  write_intent(primary);
}

// The intent names the server before the run is sent to it: after a crash, only this server can tell what
// became of the run.
void duplicate_coalescer::write_intent(request_entry& primary) {
  coalesced_group& group = *primary.group;
  std::optional<std::string> server =
      primary.target_backend.choose_server(primary.details, group.unreachable_servers);
  if (!server) {
    on_run_ended(primary, run_end::never_started, {}, {});
    return;
  }
  primary.details.server = std::move(*server);
  group.stage = group_stage::writing_intent;
  store_of(primary).write_intent(primary.id, primary.details);
}

void duplicate_coalescer::on_server_unreachable(request_entry& primary) {
  if (primary.group->stage != group_stage::running) return;
  primary.group->unreachable_servers.push_back(primary.details.server);
  write_intent(primary);
}

void duplicate_coalescer::on_intent_written(request_id primary_id, bool durable) {
  request_entry* primary = find_primary(primary_id, group_stage::writing_intent);
  if (primary == nullptr) return;
  if (!durable) {
    close_group(*primary, answer_retry_soon, run_end::never_started);
    return;
  }
  const bool no_client_waits = primary->answered && primary->group->duplicates.empty();
  if (no_client_waits) {
    store_of(*primary).release_key(primary_id);
    remove_primary(*primary, run_end::never_started);
    return;
  }
  primary->group->stage = group_stage::running;
  if (primary->group->unreachable_servers.empty()) ++counters_.started_runs;
  primary->target_backend.run(primary_id, primary->details);
}

void duplicate_coalescer::on_run_ended(request_entry& primary, run_end end, std::string_view result,
                                       duration elapsed) {
  if (primary.group->stage != group_stage::running) return;
  if (std::exchange(primary.group->policy_awaits_end, false))
    admission_.report(completed{primary.id, end, elapsed});
  switch (outcome::disposition_of(end)) {
    case key_disposition::record_result: record_result(primary, end == run_end::succeeded, result); break;
    case key_disposition::keep_unknown:
      store_of(primary).mark_outcome_unknown(primary.id);
      close_group(primary, answer_outcome_unknown, end);
      break;
    case key_disposition::release:
      store_of(primary).release_key(primary.id);
      close_group(primary,
                  {.status = response_status::failed, .unknown_request = end == run_end::unknown_request},
                  run_end::never_started);
      break;
  }
}

// Withdraws the durable intent. If the process crashes before the withdrawal is durable, the outcome of the
// key is unknown.
void duplicate_coalescer::on_backend_rejected(request_entry& primary, const answer& final_answer) {
  if (primary.group->stage != group_stage::running) return;
  store_of(primary).release_key(primary.id);
  close_group(primary, final_answer, run_end::never_started);
}

void duplicate_coalescer::record_result(request_entry& primary, bool succeeded, std::string_view result) {
  coalesced_group& group = *primary.group;
  group.stage = group_stage::recording_result;
  group.succeeded = succeeded;
  group.result = result;
  if (succeeded) {
    recording_deadlines_.emplace(group.respond_by, primary.id);
  } else {
    // Only `served` requires a recorded result, so clients need not wait until the failure is recorded.
    respond_to_all(primary, answer_run_failed, run_end::failed);
  }
  if (!store_of(primary).record_result(primary.id, succeeded, result))
    close_group(primary, answer_outcome_unknown, run_end::failed);
}

void duplicate_coalescer::on_result_recorded(request_id primary_id) {
  request_entry* primary = find_primary(primary_id, group_stage::recording_result);
  if (primary == nullptr) return;
  const coalesced_group& group = *primary->group;
  answer final_answer = answer_run_failed;  // for duplicates that arrived after the run had failed
  if (group.succeeded) final_answer = {.status = response_status::served, .result = group.result};
  close_group(*primary, final_answer, run_end::succeeded);
}

// The policy decides to pause a run after it has failed the request. A keyed run still continues for
// `finish_within`, because pausing the run would make its outcome unknown.
void duplicate_coalescer::pause_primary(request_entry& primary) {
  const coalesced_group& group = *primary.group;
  const duration finish_within = stores_[primary.details.request_class].finish_within;
  if (group.stage != group_stage::running || now_ < group.respond_by + finish_within) return;
  const bool may_never_end = settings_.halt == admission_policy::halt_mode::pause;
  if (may_never_end) store_of(primary).mark_outcome_unknown(primary.id);
  primary.target_backend.pause(primary.id);
}

void duplicate_coalescer::reject_primary(request_entry& primary, const answer& final_answer) {
  primary.group->policy_awaits_end = false;
  store_of(primary).release_key(primary.id);
  close_group(primary, final_answer, run_end::never_started);
}

// If the primary is still queued, its key is freed and the whole group is answered. Otherwise only the
// primary is answered, and its run or inquiry continues for the duplicates.
void duplicate_coalescer::fail_primary(request_entry& primary, const answer& final_answer) {
  coalesced_group& group = *primary.group;
  const bool policy_closed_request =
      group.stage == group_stage::queued || group.stage == group_stage::inquiring;
  if (policy_closed_request) group.policy_awaits_end = false;
  if (group.stage == group_stage::queued) {
    store_of(primary).release_key(primary.id);
    close_group(primary, final_answer, run_end::never_started);
    return;
  }
  answer primary_answer = final_answer;
  primary_answer.outcome_unknown = group.stage != group_stage::writing_intent;
  requests_.respond(primary, primary_answer);
}

// ---- Duplicates and stored results ------------------------------------------------------------------------

void duplicate_coalescer::share_result(request_entry& entry) {
  if (entry.role == request_role::stored_result_reader) {
    store_of(entry).fetch_result(entry.id);
  } else if (entry.group && entry.group->stage == group_stage::inquiring) {
    inquire(entry);
  }  // otherwise `entry` is a duplicate, which is answered with its group
}

void duplicate_coalescer::on_result_fetched(request_id id, const fetched_result& fetched) {
  request_entry* entry = requests_.find(id);
  if (entry == nullptr || entry->role != request_role::stored_result_reader) return;
  requests_.respond(*entry, answer_of(fetched));
  admission_.report(completed{id, run_end::succeeded, {}});
  requests_.remove(id);
}

void duplicate_coalescer::on_client_cancelled(request_entry& entry) {
  if (entry.role == request_role::primary) {
    cancel_primary(entry);
    return;
  }
  admission_.report(cancelled{entry.id});
  remove_from_group(entry);
  requests_.remove(entry.id);
}

// Handles the cancellation by the primary's client. The primary is removed only if it is still queued and no
// duplicate needs its outcome.
void duplicate_coalescer::cancel_primary(request_entry& primary) {
  primary.answered = true;
  coalesced_group& group = *primary.group;
  if (group.stage != group_stage::queued || !group.duplicates.empty()) return;
  admission_.report(cancelled{primary.id});
  group.policy_awaits_end = false;
  store_of(primary).release_key(primary.id);
  remove_primary(primary, run_end::never_started);
}

void duplicate_coalescer::remove_from_group(const request_entry& duplicate) {
  request_entry* primary = requests_.find(duplicate.primary_id);
  if (primary == nullptr || !primary->group) return;
  std::erase(primary->group->duplicates, duplicate.id);
  if (primary->answered && primary->group->stage == group_stage::queued) cancel_primary(*primary);
}

// Answers the primary and its duplicates. `reported_end`: the end of the duplicates that is reported to the
// policy.
void duplicate_coalescer::respond_to_all(request_entry& primary, const answer& final_answer,
                                         run_end reported_end) {
  requests_.respond(primary, final_answer);
  for (const request_id id : std::exchange(primary.group->duplicates, {})) {
    request_entry* duplicate = requests_.find(id);
    if (duplicate == nullptr) continue;
    requests_.respond(*duplicate, final_answer);
    admission_.report(completed{id, reported_end, {}});
    requests_.remove(id);
  }
}

void duplicate_coalescer::close_group(request_entry& primary, const answer& final_answer,
                                      run_end reported_end) {
  respond_to_all(primary, final_answer, reported_end);
  remove_primary(primary, reported_end);
}

void duplicate_coalescer::remove_primary(request_entry& primary, run_end reported_end) {
  const request_id id = primary.id;
  recording_deadlines_.erase({primary.group->respond_by, id});
  if (primary.group->policy_awaits_end) admission_.report(completed{id, reported_end, {}});
  store_of(primary).close_primary(id);
  requests_.remove(id);
}

// ---- Inquiries --------------------------------------------------------------------------------------------

void duplicate_coalescer::inquire(request_entry& primary) {
  if (primary.target_backend.inquire(primary.id, primary.details)) return;
  // The backend does not support inquiries, and retries would not change that: use up all retries at once.
  while (store_of(primary).schedule_inquiry_retry(primary.id).count() > 0) {
  }
  close_group(primary, answer_outcome_unknown, run_end::failed);
}

void duplicate_coalescer::on_inquired(request_id primary_id, inquiry_outcome end, std::string_view result) {
  request_entry* primary = find_primary(primary_id, group_stage::inquiring);
  if (primary == nullptr) return;
  switch (outcome::disposition_of(end)) {
    case key_disposition::record_result: record_result(*primary, true, result); return;
    case key_disposition::release:
      store_of(*primary).release_key(primary_id);
      close_group(*primary, answer_retry_soon, run_end::never_started);
      return;
    case key_disposition::keep_unknown: break;
  }
  const duration delay = store_of(*primary).schedule_inquiry_retry(primary_id);
  if (delay.count() > 0) {
    inquiry_retries_.emplace(now_ + delay, primary_id);
  } else {
    close_group(*primary, answer_outcome_unknown, run_end::failed);
  }
}

// ---- Time -------------------------------------------------------------------------------------------------

void duplicate_coalescer::step(time_point now) {
  now_ = now;
  send_immediate_answers();
  answer_overdue_recordings();
}

time_point duplicate_coalescer::due() const {
  if (!immediate_answers_.empty()) return time_point::min();
  time_point due = time_point::max();
  if (!recording_deadlines_.empty()) due = std::min(recording_deadlines_.begin()->first, response_deadline_);
  if (!inquiry_retries_.empty()) due = std::min(due, inquiry_retries_.begin()->first);
  return due;
}

void duplicate_coalescer::send_immediate_answers() {
  for (const immediate_answer& pending : std::exchange(immediate_answers_, {})) {
    request_entry* entry = requests_.find(pending.id);
    if (entry == nullptr) continue;
    requests_.respond(*entry, pending.final_answer);
    requests_.remove(pending.id);
  }
}

// Answers the clients of overdue primaries with an unknown outcome. The recording of their results continues.
void duplicate_coalescer::answer_overdue_recordings() {
  while (!recording_deadlines_.empty()) {
    const timed_request next = *recording_deadlines_.begin();
    if (next.first > now_ && response_deadline_ > now_) return;
    recording_deadlines_.erase(recording_deadlines_.begin());
    request_entry* primary = requests_.find(next.second);
    if (primary == nullptr) continue;
    requests_.respond(
        *primary, {.status = response_status::failed, .deadline_exceeded = true, .outcome_unknown = true});
  }
}

std::optional<request_id> duplicate_coalescer::take_due_inquiry() {
  if (inquiry_retries_.empty() || inquiry_retries_.begin()->first > now_) return std::nullopt;
  return inquiry_retries_.extract(inquiry_retries_.begin()).value().second;
}

}  // namespace marblewharf
