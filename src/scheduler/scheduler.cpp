#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace marblewharf::scheduler {

namespace {

constexpr time_point never = time_point::max();
// A budget that opens later than that is looked at again after it.
constexpr seconds longest_wait{3600};
// Puts urgent jobs before all others, whatever their priorities.
constexpr double urgent_advantage = 1e6;
// Guards the division by the ageing time.
constexpr seconds shortest_ageing{1e-9};

}  // namespace

scheduler::scheduler(options settings, time_point now)
    : options_(settings), shared_budget_(settings.budget, settings.burst), last_refill_(now) {}

// ---- Jobs -------------------------------------------------------------------------------------------------

// Whether the job `name` waits for `other`, directly or through further jobs, or is the same.
bool scheduler::waits_for(const std::string& name, const std::string& other) const {
  if (name == other) return true;
  for (const auto& [id, each] : jobs_) {
    if (each.rules.name != name || each.state == job_state::cancelling) continue;
    for (const std::string& before : each.rules.after)
      if (waits_for(before, other)) return true;
  }
  return false;
}

job_id scheduler::add(job_rules rules, time_point first_due) {
  for (const auto& [id, each] : jobs_)
    if (each.rules.name == rules.name && each.state != job_state::cancelling)
      throw std::invalid_argument("scheduler: two jobs named " + rules.name);
  // The jobs so far have no cycle; a new one closes one exactly where it waits for itself.
  for (const std::string& before : rules.after)
    if (waits_for(before, rules.name))
      throw std::invalid_argument("scheduler: " + rules.name + " and " + before + " wait for each other");
  job added;
  added.budget = work_budget(rules.budget, options_.burst);
  added.due_at = first_due;
  added.waiting_since = first_due;
  added.figures.name = rules.name;
  ++last_id_;
  if (!rules.after.empty()) dependent_jobs_.insert(last_id_);
  added.rules = std::move(rules);
  jobs_.emplace(last_id_, std::move(added));
  return last_id_;
}

void scheduler::cancel(job_id id) {
  const auto position = jobs_.find(id);
  if (position == jobs_.end()) return;
  if (position->second.state == job_state::waiting) {
    erase(position);
  } else {
    position->second.state = job_state::cancelling;
  }
}

void scheduler::erase(std::map<job_id, job>::iterator position) {
  dependent_jobs_.erase(position->first);
  jobs_.erase(position);
}

// ---- Budgets ----------------------------------------------------------------------------------------------

void scheduler::set_headroom(double headroom, time_point now) {
  refill(now);  // up to now at the headroom before
  headroom_ = std::clamp(headroom, 0.0, 1.0);
}

void scheduler::refill(time_point now) {
  if (now <= last_refill_) return;
  const seconds elapsed = now - last_refill_;
  bool any_urgent = false;
  for (auto& [id, each] : jobs_) {
    each.budget.refill(elapsed, rate_share(each, now), options_.burst);
    any_urgent = any_urgent || (each.state != job_state::cancelling && is_urgent(each, now));
  }
  const double shared_rate = any_urgent ? std::max(headroom_, options_.urgent) : headroom_;
  shared_budget_.refill(elapsed, shared_rate, options_.burst);
  last_refill_ = now;
}

double scheduler::rate_share(const job& which, time_point now) const {
  return is_urgent(which, now) ? std::max(headroom_, options_.urgent) : headroom_;
}

// ---- Order ------------------------------------------------------------------------------------------------

// Visits the due jobs that wait for this one. It inherits their urgency and priority, or they would wait
// behind others.
template <typename Visitor>
void scheduler::visit_due_dependents(const job& which, time_point now, Visitor&& visit) const {
  for (const job_id id : dependent_jobs_) {
    const job& dependent = jobs_.at(id);
    const bool dependent_is_due = dependent.state != job_state::cancelling && now >= dependent.due_at;
    if (dependent_is_due && dependent.rules.after.contains(which.rules.name)) visit(dependent);
  }
}

bool scheduler::is_urgent(const job& which, time_point now) const {
  if (now < which.due_at) return false;
  bool urgent = which.rules.deadline.count() > 0 && now - which.due_at >= which.rules.deadline;
  visit_due_dependents(which, now,
                       [&](const job& dependent) { urgent = urgent || is_urgent(dependent, now); });
  return urgent;
}

bool scheduler::is_blocked(const job& which, time_point now) const {
  if (which.rules.after.empty()) return false;
  const auto blocks = [&](const auto& entry) {
    const job& other = entry.second;
    if (other.state == job_state::cancelling || !which.rules.after.contains(other.rules.name)) return false;
    return other.state == job_state::running || now >= other.due_at;
  };
  return std::any_of(jobs_.begin(), jobs_.end(), blocks);
}

// The lowest runs first: urgent jobs before all others, then by priority, improved by the time of waiting.
double scheduler::effective_priority(const job& which, time_point now) const {
  const seconds waited = now - which.waiting_since;
  const double steps = waited / std::max<seconds>(shortest_ageing, options_.ageing);
  double priority = which.rules.priority - steps - (is_urgent(which, now) ? urgent_advantage : 0);
  visit_due_dependents(which, now, [&](const job& dependent) {
    priority = std::min(priority, effective_priority(dependent, now));
  });
  return priority;
}

bool scheduler::is_runnable(const job& which, time_point now) const {
  return is_due(which, now) && rate_share(which, now) > 0 && which.budget.is_open() &&
         !is_blocked(which, now);
}

std::map<job_id, scheduler::job>::iterator scheduler::next_runnable(time_point now) {
  auto next = jobs_.end();
  for (auto each = jobs_.begin(); each != jobs_.end(); ++each) {
    if (!is_runnable(each->second, now)) continue;
    const bool goes_first =
        next == jobs_.end() || effective_priority(each->second, now) < effective_priority(next->second, now);
    if (goes_first) next = each;
  }
  return next;
}

// ---- Slices -----------------------------------------------------------------------------------------------

std::optional<slice> scheduler::pick(time_point now) {
  refill(now);
  if (running_ >= options_.workers || !shared_budget_.is_open()) return std::nullopt;
  const auto next = next_runnable(now);
  if (next == jobs_.end()) return std::nullopt;
  job& picked = next->second;
  picked.state = job_state::running;
  picked.slice_started = now;
  if (!std::exchange(picked.in_round, true)) ++picked.figures.rounds;
  ++picked.figures.slices;
  ++running_;
  return slice{next->first, picked.rules.name, picked.figures.rounds};
}

void scheduler::on_end(job_id id, slice_end how, const cost& used, time_point now) {
  const auto position = jobs_.find(id);
  if (position == jobs_.end() || position->second.state == job_state::waiting) return;
  refill(now);
  job& ended = position->second;
  const bool was_cancelled = ended.state == job_state::cancelling;
  ended.state = job_state::waiting;
  --running_;
  shared_budget_.take(used);
  ended.budget.take(used);
  ended.figures.used.cpu += used.cpu;
  ended.figures.used.read += used.read;
  ended.figures.used.written += used.written;
  ended.waiting_since = now;
  const bool runs_once = ended.rules.every.count() == 0;
  if (was_cancelled || (how == slice_end::done && runs_once)) {
    erase(position);
    return;
  }
  if (how == slice_end::more) return;
  if (how == slice_end::failed) {
    schedule_retry(ended, now);
  } else {
    ended.failure_pause = {};
    ended.due_at = now + ended.rules.every;  // from its end: missed rounds are not made up for
  }
  ended.in_round = false;
  ended.waiting_since = ended.due_at;
}

// Its deadline counts from the retry: a job that always fails is not urgent all the time.
void scheduler::schedule_retry(job& failed, time_point now) {
  ++failed.figures.failures;
  const bool first_failure = failed.failure_pause.count() == 0;
  failed.failure_pause =
      first_failure ? options_.first_pause : std::min(failed.failure_pause * 2, options_.longest_pause);
  failed.due_at = now + failed.failure_pause;
}

time_point scheduler::earliest_start(const job& which, time_point now) const {
  const time_point due_at = std::max(now, which.due_at);
  const double share = rate_share(which, due_at);
  if (share <= 0) {  // it waits for its deadline
    const bool has_deadline = which.rules.deadline.count() > 0;
    return has_deadline ? std::max(due_at, which.due_at + which.rules.deadline) : never;
  }
  const seconds wait = std::max(shared_budget_.until_open(share), which.budget.until_open(share));
  if (wait <= seconds{0}) return due_at;
  const double wait_ns = std::min(wait, longest_wait).count() * 1e9;
  return due_at + duration(static_cast<std::int64_t>(wait_ns) + 1);
}

time_point scheduler::due(time_point now) const {
  if (running_ >= options_.workers) return never;
  time_point next = never;
  for (const auto& [id, each] : jobs_) {
    if (each.state != job_state::waiting) continue;
    const time_point start = earliest_start(each, now);
    if (start > now || !is_blocked(each, now)) next = std::min(next, start);
  }
  return next;
}

std::vector<job_statistics> scheduler::figures(time_point now) const {
  std::vector<job_statistics> all;
  for (const auto& [id, each] : jobs_) {
    job_statistics figures = each.figures;
    figures.id = id;
    figures.running = each.state != job_state::waiting;
    figures.due = is_due(each, now);
    figures.urgent = is_urgent(each, now);
    figures.overrun = figures.running && now - each.slice_started > options_.overrun;
    all.push_back(std::move(figures));
  }
  return all;
}

}  // namespace marblewharf::scheduler
