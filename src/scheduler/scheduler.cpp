#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace marblewharf::scheduler {

namespace {

constexpr time_point never = time_point::max();
// A budget that opens later than this is checked again after this time.
constexpr seconds longest_wait{3600};
// Places urgent jobs before all other jobs, regardless of their priorities.
constexpr double urgent_advantage = 1e6;
// Prevents a division by zero.
constexpr seconds shortest_ageing_step{1e-9};

}  // namespace

scheduler::scheduler(options settings, time_point now)
    : options_(settings), shared_budget_(settings.budget, settings.burst), last_refill_(now) {}

// ---- Jobs -------------------------------------------------------------------------------------------------

// Whether the job `name` waits for the job `target`, directly or through other jobs, or is the same job.
bool scheduler::waits_for(const std::string& name, const std::string& target) const {
  if (name == target) return true;
  for (const auto& [id, scheduled] : jobs_) {
    if (scheduled.rules.name != name || scheduled.state == job_state::cancelling) continue;
    for (const std::string& predecessor : scheduled.rules.runs_after)
      if (waits_for(predecessor, target)) return true;
  }
  return false;
}

job_id scheduler::add(job_rules rules, time_point first_due) {
  for (const auto& [id, existing] : jobs_)
    if (existing.rules.name == rules.name && existing.state != job_state::cancelling)
      throw std::invalid_argument("scheduler: there is already a job named " + rules.name);
  // The existing jobs have no cycle, so a new job creates a cycle only if it waits for itself.
  for (const std::string& predecessor : rules.runs_after)
    if (waits_for(predecessor, rules.name))
      throw std::invalid_argument("scheduler: the jobs " + rules.name + " and " + predecessor +
                                  " wait for each other");
  job new_job;
  new_job.budget = work_budget(rules.budget, options_.burst);
  new_job.due_at = first_due;
  new_job.waiting_since = first_due;
  new_job.statistics.name = rules.name;
  ++last_id_;
  if (!rules.runs_after.empty()) dependent_jobs_.insert(last_id_);
  new_job.rules = std::move(rules);
  jobs_.emplace(last_id_, std::move(new_job));
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
  refill(now);  // until now the budgets are refilled with the previous headroom
  headroom_ = std::clamp(headroom, 0.0, 1.0);
}

void scheduler::refill(time_point now) {
  if (now <= last_refill_) return;
  const seconds elapsed = now - last_refill_;
  bool any_urgent = false;
  for (auto& [id, scheduled] : jobs_) {
    scheduled.budget.refill(elapsed, rate_share(scheduled, now), options_.burst);
    any_urgent = any_urgent || (scheduled.state != job_state::cancelling && is_urgent(scheduled, now));
  }
  const double shared_rate_share = any_urgent ? std::max(headroom_, options_.urgent_share) : headroom_;
  shared_budget_.refill(elapsed, shared_rate_share, options_.burst);
  last_refill_ = now;
}

double scheduler::rate_share(const job& candidate, time_point now) const {
  return is_urgent(candidate, now) ? std::max(headroom_, options_.urgent_share) : headroom_;
}

// ---- Order ------------------------------------------------------------------------------------------------

// Visits the due jobs that wait for this job. This job inherits their urgency and priority; otherwise they
// would have to wait for jobs of lower priority than their own (priority inversion).
template <typename Visitor>
void scheduler::visit_due_dependents(const job& candidate, time_point now, Visitor&& visit) const {
  for (const job_id id : dependent_jobs_) {
    const job& dependent = jobs_.at(id);
    const bool dependent_is_due = dependent.state != job_state::cancelling && now >= dependent.due_at;
    if (dependent_is_due && dependent.rules.runs_after.contains(candidate.rules.name)) visit(dependent);
  }
}

bool scheduler::is_urgent(const job& candidate, time_point now) const {
  if (now < candidate.due_at) return false;
  bool urgent = candidate.rules.deadline.count() > 0 && now - candidate.due_at >= candidate.rules.deadline;
  visit_due_dependents(candidate, now,
                       [&](const job& dependent) { urgent = urgent || is_urgent(dependent, now); });
  return urgent;
}

bool scheduler::is_blocked(const job& candidate, time_point now) const {
  if (candidate.rules.runs_after.empty()) return false;
  const auto blocks = [&](const auto& entry) {
    const job& predecessor = entry.second;
    if (predecessor.state == job_state::cancelling ||
        !candidate.rules.runs_after.contains(predecessor.rules.name))
      return false;
    return predecessor.state == job_state::running || now >= predecessor.due_at;
  };
  return std::any_of(jobs_.begin(), jobs_.end(), blocks);
}

// The job with the lowest value runs first: urgent jobs before all other jobs, then by priority, which
// improves with the waiting time.
double scheduler::effective_priority(const job& candidate, time_point now) const {
  const seconds waited = now - candidate.waiting_since;
  const double steps = waited / std::max<seconds>(shortest_ageing_step, options_.ageing_step);
  double priority = candidate.rules.priority - steps - (is_urgent(candidate, now) ? urgent_advantage : 0);
  visit_due_dependents(candidate, now, [&](const job& dependent) {
    priority = std::min(priority, effective_priority(dependent, now));
  });
  return priority;
}

bool scheduler::is_runnable(const job& candidate, time_point now) const {
  return is_due(candidate, now) && rate_share(candidate, now) > 0 && candidate.budget.is_open() &&
         !is_blocked(candidate, now);
}

std::map<job_id, scheduler::job>::iterator scheduler::next_runnable(time_point now) {
  auto next = jobs_.end();
  for (auto entry = jobs_.begin(); entry != jobs_.end(); ++entry) {
    if (!is_runnable(entry->second, now)) continue;
    const bool has_precedence =
        next == jobs_.end() || effective_priority(entry->second, now) < effective_priority(next->second, now);
    if (has_precedence) next = entry;
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
  if (!std::exchange(picked.in_round, true)) ++picked.statistics.rounds;
  ++picked.statistics.slices;
  ++running_;
  return slice{next->first, picked.rules.name, picked.statistics.rounds};
}

void scheduler::on_end(job_id id, slice_end end, const cost& used, time_point now) {
  const auto position = jobs_.find(id);
  if (position == jobs_.end() || position->second.state == job_state::waiting) return;
  refill(now);
  job& ended_job = position->second;
  const bool was_cancelled = ended_job.state == job_state::cancelling;
  ended_job.state = job_state::waiting;
  --running_;
  shared_budget_.take(used);
  ended_job.budget.take(used);
  ended_job.statistics.used.cpu += used.cpu;
  ended_job.statistics.used.read += used.read;
  ended_job.statistics.used.written += used.written;
  ended_job.waiting_since = now;
  const bool runs_once = ended_job.rules.interval.count() == 0;
  if (was_cancelled || (end == slice_end::done && runs_once)) {
    erase(position);
    return;
  }
  if (end == slice_end::more) return;
  if (end == slice_end::failed) {
    schedule_retry(ended_job, now);
  } else {
    ended_job.retry_delay = {};
    ended_job.due_at =
        now + ended_job.rules.interval;  // counted from the end, so that missed rounds are skipped
  }
  ended_job.in_round = false;
  ended_job.waiting_since = ended_job.due_at;
}

// The deadline of a retry counts from the time at which the retry is due, so that a job that always fails is
// not always urgent.
void scheduler::schedule_retry(job& failed, time_point now) {
  ++failed.statistics.failures;
  const bool first_failure = failed.retry_delay.count() == 0;
  failed.retry_delay =
      first_failure ? options_.first_retry_delay : std::min(failed.retry_delay * 2, options_.max_retry_delay);
  failed.due_at = now + failed.retry_delay;
}

time_point scheduler::earliest_start(const job& candidate, time_point now) const {
  const time_point due_at = std::max(now, candidate.due_at);
  const double share = rate_share(candidate, due_at);
  if (share <= 0) {  // without headroom the job can run only after its deadline, when it is urgent
    const bool has_deadline = candidate.rules.deadline.count() > 0;
    return has_deadline ? std::max(due_at, candidate.due_at + candidate.rules.deadline) : never;
  }
  const seconds wait = std::max(shared_budget_.until_open(share), candidate.budget.until_open(share));
  if (wait <= seconds{0}) return due_at;
  const double wait_ns = std::min(wait, longest_wait).count() * 1e9;
  return due_at + duration(static_cast<std::int64_t>(wait_ns) + 1);
}

time_point scheduler::due(time_point now) const {
  if (running_ >= options_.workers) return never;
  time_point next = never;
  for (const auto& [id, scheduled] : jobs_) {
    if (scheduled.state != job_state::waiting) continue;
    const time_point start = earliest_start(scheduled, now);
    if (start > now || !is_blocked(scheduled, now)) next = std::min(next, start);
  }
  return next;
}

std::vector<job_statistics> scheduler::statistics(time_point now) const {
  std::vector<job_statistics> statistics_by_job;
  for (const auto& [id, scheduled] : jobs_) {
    job_statistics current = scheduled.statistics;
    current.id = id;
    current.running = scheduled.state != job_state::waiting;
    current.due = is_due(scheduled, now);
    current.urgent = is_urgent(scheduled, now);
    current.overrun = current.running && now - scheduled.slice_started > options_.overrun_threshold;
    statistics_by_job.push_back(std::move(current));
  }
  return statistics_by_job;
}

}  // namespace marblewharf::scheduler
