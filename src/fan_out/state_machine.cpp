#include "fan_out/state_machine.hpp"

#include <algorithm>
#include <utility>

namespace marblewharf::fan_out {

state_machine::state_machine(std::vector<upstream::request_plan> plans,
                             std::vector<upstream::dependency_rules> rules, std::size_t cache_bytes,
                             std::uint64_t seed)
    : plans_(std::move(plans)), cache_(cache_bytes), random_(seed) {
  check_plans(plans_, rules);
  for (upstream::dependency_rules& r : rules) {
    // Starts in the middle: a dependency that is slow already is not met by all that it could take when well.
    const double start = (r.least_in_flight + r.most_in_flight) / 4;
    dependencies_.push_back({r,
                             upstream::endpoint_set(r.endpoints, r.health, r.near),
                             upstream::adaptive_limit(r.least_in_flight, r.most_in_flight, start),
                             {},
                             upstream::retry_budget(r.retry_share, r.retry_floor),
                             upstream::retry_budget(r.hedge_share, 0),
                             0,
                             {},
                             {}});
  }
}

std::optional<action> state_machine::pick() {
  if (actions_.empty()) return std::nullopt;
  action next = std::move(actions_.front());
  actions_.pop_front();
  return next;
}

state_machine::gathering* state_machine::find(gathering_id id) {
  const auto at = gatherings_.find(id);
  return at == gatherings_.end() ? nullptr : &at->second;
}

void state_machine::begin(gathering_id id, std::size_t which, std::uint64_t subject, time_point by,
                          time_point now) {
  const std::size_t parts = plans_[which].parts.size();
  gathering& g = gatherings_[id];
  g.plan = which;
  g.subject = subject;
  g.by = by;
  g.open = parts;
  g.parts.resize(parts);
  for (std::size_t i = 0; i < parts && find(id) != nullptr; ++i) begin_step(id, i, now);
}

void state_machine::cancel(gathering_id id, time_point now) {
  gathering* g = find(id);
  if (g == nullptr) return;
  for (part_run& p : g->parts) cancel_calls(p, now);
  gatherings_.erase(id);
  admit_all(now);
}

// ---- One part ---------------------------------------------------------------------------------------------

void state_machine::begin_step(gathering_id id, std::size_t part, time_point now) {
  gathering& g = *find(id);
  part_run& p = g.parts[part];
  const upstream::part_plan& wanted = plans_[g.plan].parts[part];
  if (p.step > wanted.stand_ins.size()) {
    settle(id, part, {}, now);
    return;
  }
  if (p.step > 0) {
    const upstream::fallback& s = wanted.stand_ins[p.step - 1];
    if (s.what == upstream::fallback::kind::fixed) {
      settle(id, part, {part_is::stand_in, {}, s.bytes}, now);
      return;
    }
    if (s.what == upstream::fallback::kind::stale) {
      if (const auto old = cache_.get(wanted.from, g.subject, s.oldest, now)) {
        settle(id, part, {part_is::stale, old->age, *old->bytes}, now);
      } else {
        next_step(id, part, now);
      }
      return;
    }
    p.from = s.from;
  } else {
    p.from = wanted.from;
  }
  source& d = dependencies_[p.from];
  p.tries = 0;
  p.not_there.reset();
  p.give_up = std::min(now + d.rules.budget, g.by);
  d.retries.on_first(now);
  d.hedges.on_first(now);
  timers_.emplace(p.give_up, due_timer{timer::part_over, 0, id, part});
  place(id, part, now);
}

void state_machine::next_step(gathering_id id, std::size_t part, time_point now) {
  part_run& p = find(id)->parts[part];
  p.waits = false;
  ++p.step;
  begin_step(id, part, now);
}

// Calls now, waits for what is in the way, or goes on to what stands in where a call could not end in time.
void state_machine::place(gathering_id id, std::size_t part, time_point now) {
  part_run& p = find(id)->parts[part];
  source& d = dependencies_[p.from];
  const time_point latest = p.give_up - expected(d);
  if (now > latest || now >= p.give_up) {
    next_step(id, part, now);
    return;
  }
  if (d.in_flight >= d.allowed()) {
    if (d.share < 1) {
      ++d.counts.no_room;
      next_step(id, part, now);
      return;
    }
    if (p.waits) return;
    // The oldest entries may be of parts that are long over.
    while (!d.waiting.empty()) {
      const auto& [old_id, old_part] = d.waiting.front();
      const gathering* old = find(old_id);
      if (old != nullptr && old->parts[old_part].waits && old->parts[old_part].from == p.from) break;
      d.waiting.pop_front();
    }
    if (d.waiting.size() >= d.rules.most_waiting) {
      ++d.counts.no_room;
      next_step(id, part, now);
      return;
    }
    p.waits = true;
    d.waiting.emplace_back(id, part);
    timers_.emplace(latest, due_timer{timer::try_again, 0, id, part});
    return;
  }
  const auto endpoint = d.where.choose(now, random_(), p.tries == 0, p.not_there);
  note_changes(p.from);
  if (endpoint) {
    p.waits = false;
    start(id, part, *endpoint, now);
    return;
  }
  p.waits = false;
  if (p.not_there) {  // no other one: the same again
    p.not_there.reset();
    place(id, part, now);
    return;
  }
  const auto next = d.where.next_use(now);
  if (next && *next <= latest) {
    timers_.emplace(*next, due_timer{timer::try_again, 0, id, part});
  } else {
    next_step(id, part, now);
  }
}

void state_machine::start(gathering_id id, std::size_t part, std::size_t endpoint, time_point now) {
  part_run& p = find(id)->parts[part];
  source& d = dependencies_[p.from];
  const call_id number = ++last_call_;
  ++p.tries;
  p.calls.push_back(number);
  calls_[number] = {id, part, p.from, endpoint, now};
  d.where.on_start(endpoint);
  ++d.in_flight;
  ++d.counts.calls;
  if (!d.rules.near.where.empty())
    ++d.counts.at_level[static_cast<std::size_t>(d.rules.near.where[endpoint])];
  timers_.emplace(p.give_up, due_timer{timer::call_over, number, 0, 0});
  if (p.calls.size() == 1 && d.rules.hedge_quantile > 0 && d.rules.endpoints > 1) {
    if (const auto slow = d.times.quantile(d.rules.hedge_quantile))
      timers_.emplace(now + *slow, due_timer{timer::hedge, number, 0, 0});
  }
  actions_.emplace_back(start_call{number, id, p.from, endpoint, p.give_up - now});
}

// A second copy of a call that takes longer than nearly all do: whichever comes first counts.
void state_machine::send_copy(call_id id, time_point now) {
  const call c = calls_.at(id);
  part_run& p = find(c.gathering)->parts[c.part];
  source& d = dependencies_[c.dependency];
  if (p.done || p.calls.size() != 1 || d.in_flight >= d.allowed() || now + expected(d) > p.give_up) return;
  const auto other = d.where.choose(now, random_(), false, c.endpoint);
  if (!other || !d.hedges.take(now)) return;
  ++d.counts.hedges;
  --p.tries;  // it is no further attempt
  start(c.gathering, c.part, *other, now);
}

void state_machine::after_failure(gathering_id id, std::size_t part, std::size_t endpoint, time_point now) {
  part_run& p = find(id)->parts[part];
  if (!p.calls.empty()) return;  // the other copy is still out
  source& d = dependencies_[p.from];
  p.not_there = endpoint;
  if (p.tries < d.rules.tries && now + expected(d) < p.give_up && d.retries.take(now)) {
    ++d.counts.retries;
    place(id, part, now);
  } else {
    next_step(id, part, now);
  }
}

void state_machine::settle(gathering_id id, std::size_t part, part_result result, time_point now) {
  gathering& g = *find(id);
  part_run& p = g.parts[part];
  const upstream::part_plan& wanted = plans_[g.plan].parts[part];
  cancel_calls(p, now);
  p.done = true;
  p.result = std::move(result);
  dependency_counts& counts = dependencies_[wanted.from].counts;
  switch (p.result.how) {
    case part_is::missing: ++counts.missing; break;
    case part_is::fresh: ++counts.fresh; break;
    case part_is::stale:
      ++counts.stale;
      counts.stale_age += p.result.age;
      break;
    case part_is::stand_in: ++counts.stand_in; break;
  }
  --g.open;
  if (p.result.how == part_is::missing && wanted.required) {
    finish(id, static_cast<int>(part), now);
  } else if (g.open == 0) {
    finish(id, -1, now);
  }
}

void state_machine::finish(gathering_id id, int lacks, time_point now) {
  gathering& g = *find(id);
  finished f;
  f.id = id;
  f.lacks = lacks;
  f.complete = lacks < 0;
  for (part_run& p : g.parts) {
    cancel_calls(p, now);
    f.complete = f.complete && p.result.how == part_is::fresh;
    f.parts.push_back(std::move(p.result));
  }
  gatherings_.erase(id);
  actions_.emplace_back(std::move(f));
}

// ---- Calls ------------------------------------------------------------------------------------------------

void state_machine::end_call(std::map<call_id, call>::iterator at, time_point now,
                             upstream::call_outcome outcome) {
  const call c = at->second;
  source& d = dependencies_[c.dependency];
  d.where.on_end(c.endpoint, now, now - c.begun, outcome);
  note_changes(c.dependency);
  --d.in_flight;
  d.counts.spent += now - c.begun;
  if (gathering* g = find(c.gathering)) std::erase(g->parts[c.part].calls, at->first);
  calls_.erase(at);
}

void state_machine::cancel_calls(part_run& p, time_point now) {
  for (const call_id id : std::vector<call_id>(p.calls)) {
    const auto at = calls_.find(id);
    if (at == calls_.end()) continue;
    actions_.emplace_back(cancel_call{id});
    end_call(at, now, upstream::call_outcome::cancelled);
  }
  p.calls.clear();
}

void state_machine::on_result(call_id id, call_end how, std::string bytes, duration come_back,
                              time_point now) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;  // cancelled meanwhile
  const call c = at->second;
  source& d = dependencies_[c.dependency];
  const duration took = now - c.begun;
  if (how == call_end::not_now) {
    ++d.counts.not_now;
    d.where.on_not_now(c.endpoint, now + come_back);
    end_call(at, now, upstream::call_outcome::cancelled);
    after_failure(c.gathering, c.part, c.endpoint, now);
  } else if (how == call_end::failed) {
    ++d.counts.failed;
    end_call(at, now, upstream::call_outcome::failed);
    after_failure(c.gathering, c.part, c.endpoint, now);
  } else {
    ++d.counts.good;
    d.times.add(took);
    d.limit.on_end(now, took, d.in_flight, false);
    end_call(at, now, upstream::call_outcome::succeeded);
    gathering& g = *find(c.gathering);
    const bool own = g.parts[c.part].step == 0;
    if (own) cache_.put(c.dependency, g.subject, bytes, now);
    settle(c.gathering, c.part, {own ? part_is::fresh : part_is::stand_in, {}, std::move(bytes)}, now);
  }
  admit_all(now);
}

// An end may have cancelled calls of any dependency.
void state_machine::admit_all(time_point now) {
  for (std::size_t d = 0; d < dependencies_.size(); ++d) admit_waiting(d, now);
}

// Room in flight goes to who came last: it has its time before it. First come first served would spend the
// room on those whose time is nearly over, and all would come late.
void state_machine::admit_waiting(std::size_t which, time_point now) {
  source& d = dependencies_[which];
  while (!d.waiting.empty() && d.in_flight < d.allowed()) {
    const auto [id, part] = d.waiting.back();
    d.waiting.pop_back();
    gathering* g = find(id);
    if (g == nullptr || !g->parts[part].waits || g->parts[part].from != which) continue;
    g->parts[part].waits = false;
    place(id, part, now);
  }
}

void state_machine::note_changes(std::size_t which) {
  source& d = dependencies_[which];
  for (const auto& [endpoint, why] : d.where.take_changes()) {
    if (d.where.state_of(endpoint) == upstream::endpoint_state::out) ++d.counts.held_out;
    actions_.emplace_back(notable{which, "endpoint " + std::to_string(endpoint) + " " + why});
  }
}

void state_machine::step(time_point now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const due_timer t = timers_.begin()->second;
    const time_point at = timers_.begin()->first;
    timers_.erase(timers_.begin());
    if (t.what == timer::hedge) {
      if (calls_.contains(t.call)) send_copy(t.call, now);
      continue;
    }
    if (t.what == timer::call_over) {
      const auto found = calls_.find(t.call);
      if (found == calls_.end()) continue;
      const call c = found->second;
      source& d = dependencies_[c.dependency];
      ++d.counts.late;
      // One that had little time left to begin with tells nothing of the dependency.
      const bool tells = now - c.begun > d.limit.healthy();
      if (tells) d.limit.on_end(now, now - c.begun, d.in_flight, true);
      actions_.emplace_back(cancel_call{t.call});
      end_call(found, now, tells ? upstream::call_outcome::failed : upstream::call_outcome::cancelled);
      if (find(c.gathering) != nullptr) after_failure(c.gathering, c.part, c.endpoint, now);
      continue;
    }
    gathering* g = find(t.gathering);
    if (g == nullptr || g->parts[t.part].done || !g->parts[t.part].calls.empty()) continue;
    part_run& p = g->parts[t.part];
    if (t.what == timer::part_over) {
      if (at != p.give_up) continue;  // of an earlier step
      if (p.waits) ++dependencies_[p.from].counts.no_room;
      next_step(t.gathering, t.part, now);
    } else if (p.waits) {  // until its latest start, in vain
      if (now < p.give_up - expected(dependencies_[p.from])) continue;
      ++dependencies_[p.from].counts.no_room;
      next_step(t.gathering, t.part, now);
    } else {
      place(t.gathering, t.part, now);
    }
  }
  admit_all(now);
}

}  // namespace marblewharf::fan_out
