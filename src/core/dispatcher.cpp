#include "core/dispatcher.hpp"

#include <utility>

namespace marblewharf {
namespace {

wrenrill::settings started_cold(wrenrill::settings s, bool cold) {
  s.cold = s.cold || cold;
  return s;
}

}  // namespace

dispatcher::dispatcher(const wrenrill::settings& settings, std::uint64_t seed, time_point now,
                       telemetry::counters& counters)
    : settings_(settings),
      seed_(seed),
      counters_(counters),
      admission_(started_cold(settings, true), seed, now) {}

void dispatcher::on_server_up(bool cold, time_point since) {
  if (read_any_ || draining_) return;  // the module learns the rest from runs
  admission_ = admission(started_cold(settings_, cold), seed_, since);
}

request_id dispatcher::on_arrival(front& from, backend& to, request what) {
  do {
    ++last_id_;
  } while (last_id_ == 0 || table_.contains(last_id_));
  read_any_ = true;
  ++counters_.taken_in;
  entry& e = table_[last_id_];
  e.what = std::move(what);
  e.from = &from;
  e.to = &to;
  admission_.report(arrived{last_id_, &e.what});
  return last_id_;
}

void dispatcher::on_gone(request_id id) {
  const auto at = table_.find(id);
  if (at == table_.end() || at->second.answered) return;
  ++counters_.gone;
  admission_.report(gone{id});
  at->second.answered = true;
  if (!at->second.started) table_.erase(at);
}

void dispatcher::on_end(request_id id, run_end how, std::string_view result, duration elapsed) {
  const auto at = table_.find(id);
  if (at == table_.end() || !at->second.started) return;
  if (how == run_end::fine) {
    conclude(at, {.how = verdict::served, .result = result});
  } else if (how != run_end::broken_off) {
    conclude(at, {.how = verdict::failed, .unknown = how == run_end::unknown});
  }
  admission_.report(ended{id, how, elapsed});
  if (at->second.answered) {
    table_.erase(at);
  } else {
    at->second.to = nullptr;  // broken off unasked: the module fails it, nothing more can run
  }
}

void dispatcher::on_drain(duration left) {
  draining_ = true;
  admission_.report(drain{left});
}

void dispatcher::step(time_point now, std::span<const double> gauges) {
  admission_.tick(now, gauges);
  while (const auto next = admission_.pick()) {
    std::visit([this](const auto& d) { apply(d); }, *next);
  }
}

void dispatcher::apply(const run& d) {
  const auto at = table_.find(d.id);
  if (at == table_.end() || at->second.answered || at->second.started) return;
  at->second.started = true;
  ++counters_.sent;
  at->second.to->run(d.id, at->second.what);
}

void dispatcher::apply(const pause& d) {
  const auto at = table_.find(d.id);
  if (at != table_.end() && at->second.started && at->second.to != nullptr) at->second.to->pause(d.id);
}

void dispatcher::apply(const resume& d) {
  const auto at = table_.find(d.id);
  if (at != table_.end() && at->second.started && at->second.to != nullptr) at->second.to->resume(d.id);
}

void dispatcher::apply(const refuse& d) {
  const auto at = table_.find(d.id);
  if (at == table_.end()) return;
  if (at->second.started) {  // guards against 'never ran' for what may have run
    conclude(at, {.how = verdict::failed});
    return;
  }
  conclude(at, {.how = verdict::refused, .retry_after = d.retry_after, .not_elsewhere = d.not_elsewhere});
  table_.erase(at);
}

void dispatcher::apply(const fail& d) {
  const auto at = table_.find(d.id);
  if (at == table_.end()) return;
  const bool over = !at->second.started || at->second.to == nullptr;
  if (!at->second.answered && at->second.to != nullptr) ++counters_.given_up;
  conclude(at, {.how = verdict::failed, .retry_after = d.retry_after, .overdue = at->second.to != nullptr});
  if (over) table_.erase(at);
}

void dispatcher::apply(const close_idle& d) {
  for (front* f : fronts_) f->close_idle(d.after);
}

void dispatcher::conclude(table::iterator at, const answer& final) {
  if (std::exchange(at->second.answered, true)) return;
  switch (final.how) {
    case verdict::served: ++counters_.served; break;
    case verdict::refused: ++counters_.refused; break;
    case verdict::failed: ++counters_.failed; break;
  }
  at->second.from->respond(at->first, final);
}

}  // namespace marblewharf
