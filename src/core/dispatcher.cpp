#include "core/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace marblewharf {
namespace {

admission_policy::settings started_cold(admission_policy::settings s, bool cold) {
  s.cold_start = s.cold_start || cold;
  return s;
}

}  // namespace

dispatcher::dispatcher(const admission_policy::settings& settings, std::uint64_t seed, time_point now,
                       telemetry::counters& counters)
    : settings_(settings),
      seed_(seed),
      counters_(counters),
      admission_(started_cold(settings, true), seed, now),
      now_(now) {
  counters_.served_by_class.assign(settings.classes.size(), 0);
  counters_.refused_by_class.assign(settings.classes.size(), 0);
  counters_.failed_by_class.assign(settings.classes.size(), 0);
}

void dispatcher::on_server_up(bool cold, time_point since) {
  if (read_any_ || draining_) return;  // the module learns the rest from runs
  admission_ = admission(started_cold(settings_, cold), seed_, since);
  if (quota_) admission_.report(*quota_);  // a module made anew knows of no bound
}

request_id dispatcher::on_arrival(front& from, backend& to, request what) {
  do {
    ++last_id_;
  } while (last_id_ == 0 || table_.contains(last_id_));
  read_any_ = true;
  ++counters_.taken_in;
  entry& e = table_[last_id_];
  e.what = std::move(what);
  e.what.arrived = now_ - e.what.read_delay;
  e.from = &from;
  e.to = &to;
  if (watch_) watch_(e.what);
  if (keys_ != nullptr && !e.what.key.empty()) {
    arrive_with_key(last_id_, e);
  } else {
    admission_.report(arrived{last_id_, &e.what});
  }
  return last_id_;
}

std::size_t dispatcher::unanswered() const {
  std::size_t owed = 0;
  for (const auto& [id, e] : table_) owed += e.answered ? 0 : 1;
  return owed;
}

dispatcher::load dispatcher::in_hand() const {
  load l;
  for (const auto& [id, e] : table_) {
    if (e.started)
      ++l.running;
    else if (!e.answered)
      ++l.waiting;
  }
  return l;
}

void dispatcher::on_client_cancelled(request_id id) {
  const auto at = table_.find(id);
  if (at == table_.end() || at->second.answered) return;
  ++counters_.gone;
  if (at->second.leads || at->second.follows != 0) {
    gone_with_key(at);
    return;
  }
  admission_.report(gone{id});
  at->second.answered = true;
  if (!at->second.started) table_.erase(at);
}

void dispatcher::on_end(request_id id, run_end how, std::string_view result, duration elapsed) {
  const auto at = table_.find(id);
  if (at == table_.end() || !at->second.started) return;
  if (at->second.leads) {
    end_of_leader(at, how, result, elapsed);
    return;
  }
  if (how == run_end::succeeded) {
    conclude(at, {.status = response_status::served, .result = result});
  } else if (how != run_end::aborted) {
    conclude(at, {.status = response_status::failed, .unknown_request = how == run_end::unknown_request});
  }
  admission_.report(ended{id, how, elapsed});
  if (at->second.answered) {
    table_.erase(at);
  } else {
    at->second.to = nullptr;  // broken off unasked: the module fails it, nothing more can run
  }
}

void dispatcher::on_backend_rejected(request_id id, duration come_back) {
  const auto at = table_.find(id);
  if (at == table_.end() || !at->second.started) return;
  const answer final{.status = response_status::rejected, .retry_after = come_back};
  if (at->second.leads) {
    turn_leader_away(at, final);
    return;
  }
  conclude(at, final);
  admission_.report(ended{id, run_end::never_started, {}});
  table_.erase(at);
}

void dispatcher::on_call_needed(request_id id) {
  const auto at = table_.find(id);
  if (at != table_.end() && at->second.started) admission_.report(needs_call{id});
}

void dispatcher::on_call_ended(request_id id, duration elapsed) {
  const auto at = table_.find(id);
  if (at != table_.end() && at->second.started) admission_.report(call_over{id, elapsed});
}

void dispatcher::on_drain(duration left) {
  draining_ = true;
  constexpr duration answer_early = std::chrono::milliseconds(700);  // as the module does
  answer_all_by_ = now_ + left - answer_early;
  admission_.report(drain{left});
}

void dispatcher::step(time_point now, std::span<const double> gauges) {
  now_ = now;
  if (keys_ != nullptr) step_keys();
  admission_.tick(now, gauges);
  while (const auto next = admission_.pick()) {
    std::visit([this](const auto& d) { apply(d); }, *next);
  }
}

time_point dispatcher::due() const {
  if (admission_.eager() || !prompt_.empty()) return time_point::min();
  time_point due = admission_.due();
  if (!recording_.empty()) due = std::min({due, recording_.begin()->first, answer_all_by_});
  if (!asks_.empty()) due = std::min(due, asks_.begin()->first);
  return due;
}

void dispatcher::apply(const run& d) {
  const auto at = table_.find(d.id);
  if (at != table_.end() && at->second.leads && !at->second.started) {
    at->second.started = true;
    at->second.leads->where = lead::stage::intending;
    keys_->intend(d.id, at->second.what);
    return;
  }
  if (at == table_.end() || at->second.answered || at->second.started) return;
  at->second.started = true;
  ++counters_.sent;
  at->second.to->run(d.id, at->second.what);
}

void dispatcher::apply(const pause& d) {
  const auto at = table_.find(d.id);
  if (at != table_.end() && at->second.leads) {
    pause_leader(at);
    return;
  }
  if (at != table_.end() && at->second.started && at->second.to != nullptr) at->second.to->pause(d.id);
}

void dispatcher::apply(const resume& d) {
  const auto at = table_.find(d.id);
  if (at != table_.end() && at->second.started && at->second.to != nullptr) at->second.to->resume(d.id);
}

void dispatcher::apply(const place& d) {
  const auto at = table_.find(d.id);
  if (at != table_.end() && at->second.started && at->second.to != nullptr)
    at->second.to->place_call(d.id, d.limit);
}

void dispatcher::apply(const skip& d) {
  const auto at = table_.find(d.id);
  if (at != table_.end() && at->second.started && at->second.to != nullptr) at->second.to->skip_call(d.id);
}

void dispatcher::apply(const refuse& d) {
  const auto at = table_.find(d.id);
  if (at == table_.end()) return;
  if (at->second.started) {  // guards against 'never ran' for what may have run
    conclude(at, {.status = response_status::failed});
    return;
  }
  const answer final{.status = response_status::rejected,
                     .retry_after = d.retry_after,
                     .no_retry_elsewhere = d.no_retry_elsewhere};
  if (at->second.leads) {
    at->second.leads->in_module = false;
    keys_->release(d.id);
    tell_all(at, final, run_end::never_started);
    close_leader(at, run_end::never_started);
    return;
  }
  conclude(at, final);
  table_.erase(at);
}

void dispatcher::apply(const fail& d) {
  const auto at = table_.find(d.id);
  if (at == table_.end()) return;
  const bool over = !at->second.started || at->second.to == nullptr;
  if (!at->second.answered && at->second.to != nullptr) ++counters_.given_up;
  const answer final{.status = response_status::failed,
                     .retry_after = d.retry_after,
                     .deadline_exceeded = at->second.to != nullptr};
  if (at->second.leads) {
    fail_leader(at, final);
    return;
  }
  conclude(at, final);
  if (at->second.follows != 0) leave_leader(at);
  if (over) table_.erase(at);
}

void dispatcher::apply(const close_idle& d) {
  for (front* f : fronts_) f->close_idle(d.after);
}

void dispatcher::conclude(table::iterator at, const answer& final) {
  if (std::exchange(at->second.answered, true)) return;
  switch (final.status) {
    case response_status::served: ++counters_.served; break;
    case response_status::rejected: ++counters_.refused; break;
    case response_status::failed: ++counters_.failed; break;
  }
  // The operators' figures by class, counted here and nowhere else, so that each answer counts once.
  const unsigned k = at->second.what.request_class;
  std::vector<std::uint64_t>& by_class = final.status == response_status::served ? counters_.served_by_class
                                         : final.status == response_status::rejected
                                             ? counters_.refused_by_class
                                             : counters_.failed_by_class;
  if (k < by_class.size()) ++by_class[k];
  at->second.from->respond(at->first, final);
}

}  // namespace marblewharf
