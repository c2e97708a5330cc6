// The dispatcher's part for requests with a key: who leads, who follows, and what has to be on disk before
// what.
#include <algorithm>
#include <utility>

#include "core/dispatcher.hpp"

namespace marblewharf {
namespace {

// Before a caller's deadline: the answer's way out, and what has passed since the clock was last read.
constexpr duration answer_early = std::chrono::milliseconds(50);
constexpr duration soon = std::chrono::seconds(1);  // the advice where nothing better is known

}  // namespace

void dispatcher::use(idempotency_store& keys, duration finish_within) {
  keys_ = &keys;
  finish_within_ = finish_within;
}

void dispatcher::arrive_with_key(request_id id, entry& e) {
  using standing = idempotency_store::standing;
  const idempotency_store::opinion o = keys_->arrive(id, e.what);
  switch (o.how) {
    case standing::first:
    case standing::asks:
      e.leads = std::make_unique<lead>();
      if (o.how == standing::asks) e.leads->where = lead::stage::asking;
      e.leads->answer_by =
          now_ - e.what.read_delay + settings_.classes[e.what.request_class].deadline - answer_early;
      admission_.report(arrived{id, &e.what, o.how == standing::asks ? id : 0});
      break;
    case standing::joins:
      e.follows = o.leader;
      table_.at(o.leader).leads->joined.push_back(id);
      admission_.report(arrived{id, &e.what, o.leader});
      break;
    case standing::answered:
      e.fetches = true;
      admission_.report(arrived{id, &e.what, id});
      break;
    // Nothing is let in: the front hears at the next step, once it knows the request by its number.
    case standing::in_doubt:
      prompt_.push_back({id, {.status = response_status::failed, .outcome_unknown = true}});
      break;
    case standing::conflict:
      prompt_.push_back({id, {.status = response_status::failed, .key_conflict = true}});
      break;
    case standing::no_room:
      prompt_.push_back({id, {.status = response_status::rejected, .retry_after = o.come_back}});
      break;
  }
}

// The module may turn it away instead, or keep the key and hold it.
void dispatcher::apply(const keep& d) {
  const auto at = table_.find(d.id);
  if (at != table_.end() && at->second.leads) at->second.leads->kept = true;
}

// Of what never ran. What was refused or has left has given its key free already.
void dispatcher::apply(const forget& d) {
  const auto at = table_.find(d.id);
  if (at != table_.end() && at->second.leads) at->second.leads->kept = false;
}

void dispatcher::apply(const share& d) {
  const auto at = table_.find(d.id);
  if (at == table_.end()) return;
  if (at->second.fetches) {
    keys_->fetch(d.id);
  } else if (at->second.leads && at->second.leads->where == lead::stage::asking) {
    ask(at);
  }  // else it waits for its leader
}

// ---- The leader's run -------------------------------------------------------------------------------------

void dispatcher::on_intended(request_id leader, bool durable) {
  const auto at = table_.find(leader);
  if (at == table_.end() || !at->second.leads || at->second.leads->where != lead::stage::intending) return;
  lead& l = *at->second.leads;
  if (!durable) {
    at->second.started = false;  // it never left this process
    tell_all(at, {.status = response_status::rejected, .retry_after = soon}, run_end::never_started);
    close_leader(at, run_end::never_started);
  } else if (at->second.answered && l.joined.empty()) {
    keys_->release(leader);
    close_leader(at, run_end::never_started);
  } else {
    l.where = lead::stage::handed;
    ++counters_.sent;
    at->second.to->run(leader, at->second.what);
  }
}

void dispatcher::end_of_leader(table::iterator at, run_end how, std::string_view result, duration elapsed) {
  if (at->second.leads->where != lead::stage::handed) return;
  if (std::exchange(at->second.leads->in_module, false)) admission_.report(ended{at->first, how, elapsed});
  switch (how) {
    case run_end::succeeded:
    case run_end::failed: record(at, how == run_end::succeeded, result); break;
    case run_end::lost:
    case run_end::aborted:
      keys_->doubt(at->first);
      tell_all(at, {.status = response_status::failed, .outcome_unknown = true}, how);
      close_leader(at, how);
      break;
    case run_end::never_started:
    case run_end::unknown_request:
      keys_->release(at->first);
      tell_all(at, {.status = response_status::failed, .unknown_request = how == run_end::unknown_request},
               run_end::never_started);
      close_leader(at, how);
      break;
  }
}

// Its intent is on disk, and is taken back: after a crash before that the key is in doubt, and the backend
// knows better.
void dispatcher::turn_leader_away(table::iterator at, const answer& final) {
  if (at->second.leads->where != lead::stage::handed) return;
  keys_->release(at->first);
  tell_all(at, final, run_end::never_started);
  close_leader(at, run_end::never_started);
}

void dispatcher::record(table::iterator at, bool served, std::string_view result) {
  lead& l = *at->second.leads;
  l.where = lead::stage::recording;
  l.served = served;
  l.result = result;
  if (served) {
    recording_.emplace(l.answer_by, at->first);
  } else {  // whoever hears of a failure relies on nothing
    tell_all(at, {.status = response_status::failed}, run_end::failed);
  }
  if (keys_->record(at->first, served, result)) return;
  tell_all(at, {.status = response_status::failed, .outcome_unknown = true}, run_end::failed);
  close_leader(at, run_end::failed);
}

void dispatcher::on_recorded(request_id leader) {
  const auto at = table_.find(leader);
  if (at == table_.end() || !at->second.leads || at->second.leads->where != lead::stage::recording) return;
  lead& l = *at->second.leads;
  answer final{.status = response_status::failed};  // to those that joined since the run failed
  if (l.served) final = {.status = response_status::served, .result = l.result};
  tell_all(at, final, run_end::succeeded);
  close_leader(at, run_end::succeeded);
}

void dispatcher::on_fetched(request_id id, bool found, bool served, std::string_view result) {
  const auto at = table_.find(id);
  if (at == table_.end() || !at->second.fetches) return;
  if (found && served) {
    conclude(at, {.status = response_status::served, .result = result});
  } else {
    conclude(at, {.status = response_status::failed});
  }
  admission_.report(ended{id, run_end::succeeded, {}});
  table_.erase(at);
}

// What the module stops is one that it gave up. An effect goes on: broken off, its outcome would be unknown.
void dispatcher::pause_leader(table::iterator at) {
  lead& l = *at->second.leads;
  if (l.where != lead::stage::handed || now_ < l.answer_by + finish_within_) return;
  const request_id id = at->first;
  if (settings_.halt == admission_policy::halt_mode::pause)
    keys_->doubt(id);  // it stands still, and may for ever
  at->second.to->pause(id);
}

void dispatcher::fail_leader(table::iterator at, const answer& final) {
  lead& l = *at->second.leads;
  if (l.where == lead::stage::asking) l.in_module = false;  // one that shares is over with it
  if (l.where == lead::stage::held) {
    l.in_module = false;
    keys_->release(at->first);
    tell_all(at, final, run_end::never_started);
    close_leader(at, run_end::never_started);
  } else {
    answer open = final;  // it goes on for those that follow, and may yet end
    open.outcome_unknown = l.where != lead::stage::intending;
    conclude(at, open);
  }
}

// ---- Those that follow ------------------------------------------------------------------------------------

void dispatcher::gone_with_key(table::iterator at) {
  if (at->second.follows != 0) {
    admission_.report(gone{at->first});
    leave_leader(at);
    table_.erase(at);
    return;
  }
  at->second.answered = true;
  lead& l = *at->second.leads;
  if (l.where != lead::stage::held || !l.joined.empty()) return;  // it goes on for others
  admission_.report(gone{at->first});
  l.in_module = false;
  keys_->release(at->first);
  close_leader(at, run_end::never_started);
}

// A follower was answered or has gone.
void dispatcher::leave_leader(table::iterator at) {
  const auto leader = table_.find(at->second.follows);
  if (leader == table_.end() || !leader->second.leads) return;
  std::erase(leader->second.leads->joined, at->first);
  // Nobody is left that a held leader would run for.
  if (leader->second.answered && leader->second.leads->where == lead::stage::held) gone_with_key(leader);
}

// Answers the leader and all that follow. `how`: what the module hears of those.
void dispatcher::tell_all(table::iterator at, const answer& final, run_end how) {
  conclude(at, final);
  for (const request_id id : std::exchange(at->second.leads->joined, {})) {
    const auto follower = table_.find(id);
    if (follower == table_.end()) continue;
    conclude(follower, final);
    admission_.report(ended{id, how, {}});
    table_.erase(follower);
  }
}

void dispatcher::close_leader(table::iterator at, run_end how) {
  recording_.erase({at->second.leads->answer_by, at->first});
  if (at->second.leads->in_module) admission_.report(ended{at->first, how, {}});
  keys_->close(at->first);
  table_.erase(at);
}

// ---- Inquiries --------------------------------------------------------------------------------------------

void dispatcher::ask(table::iterator at) {
  const request_id id = at->first;
  if (!at->second.to->inquire(id, at->second.what)) {
    while (keys_->asked_in_vain(id).count() > 0) {  // nobody can be asked
    }
    tell_all(at, {.status = response_status::failed, .outcome_unknown = true}, run_end::failed);
    close_leader(at, run_end::failed);
  }
}

void dispatcher::on_inquired(request_id id, inquiry_end how, std::string_view result) {
  const auto at = table_.find(id);
  if (at == table_.end() || !at->second.leads || at->second.leads->where != lead::stage::asking) return;
  if (how == inquiry_end::result) {
    record(at, true, result);
  } else if (how == inquiry_end::never_ran) {
    keys_->release(id);
    tell_all(at, {.status = response_status::rejected, .retry_after = soon}, run_end::never_started);
    close_leader(at, run_end::never_started);
  } else if (const duration pause = keys_->asked_in_vain(id); pause.count() > 0) {
    asks_.emplace(now_ + pause, id);
  } else {
    tell_all(at, {.status = response_status::failed, .outcome_unknown = true}, run_end::failed);
    close_leader(at, run_end::failed);
  }
}

// ---- As time goes by --------------------------------------------------------------------------------------

void dispatcher::step_keys() {
  for (const auto& [id, final] : std::exchange(prompt_, {})) {
    const auto at = table_.find(id);
    if (at == table_.end()) continue;
    conclude(at, final);
    table_.erase(at);
  }
  // The disk takes too long: the caller hears that the outcome is unknown to it, the record goes on.
  while (!recording_.empty() && (recording_.begin()->first <= now_ || answer_all_by_ <= now_)) {
    const auto at = table_.find(recording_.begin()->second);
    recording_.erase(recording_.begin());
    if (at != table_.end())
      conclude(at, {.status = response_status::failed, .deadline_exceeded = true, .outcome_unknown = true});
  }
  while (!asks_.empty() && asks_.begin()->first <= now_) {
    const auto at = table_.find(asks_.begin()->second);
    asks_.erase(asks_.begin());
    if (at != table_.end()) ask(at);
  }
}

}  // namespace marblewharf
