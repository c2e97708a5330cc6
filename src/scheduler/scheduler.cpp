#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <utility>

namespace marblewharf::scheduler {

namespace {

constexpr time_point never = time_point::max();

double seconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

// ---- Budgets ----------------------------------------------------------------------------------------------

void scheduler::bucket::fill(double s, double share, double burst_s) {
  if (rate > 0) left = std::min(left + rate * share * s, rate * burst_s);
}

double scheduler::bucket::wait(double share) const {
  if (open()) return 0;
  return share > 0 ? -left / (rate * share) : std::numeric_limits<double>::infinity();
}

scheduler::buckets::buckets(const rates& r, double burst_s)
    : cpu{r.cpu, r.cpu * burst_s}, read{r.read, r.read * burst_s}, written{r.written, r.written * burst_s} {}

void scheduler::buckets::fill(double s, double share, double burst_s) {
  for (bucket* b : {&cpu, &read, &written}) b->fill(s, share, burst_s);
}

void scheduler::buckets::take(const cost& c) {
  cpu.left -= seconds(c.cpu);
  read.left -= static_cast<double>(c.read);
  written.left -= static_cast<double>(c.written);
}

double scheduler::buckets::wait(double share) const {
  return std::max({cpu.wait(share), read.wait(share), written.wait(share)});
}

// ---- Jobs -------------------------------------------------------------------------------------------------

scheduler::scheduler(options o, time_point now)
    : options_(o), all_(o.budget, seconds(o.burst)), filled_(now) {}

// Whether `from` waits for `to`, directly or through others.
bool scheduler::reaches(const std::string& from, const std::string& to) const {
  if (from == to) return true;
  for (const auto& [id, j] : jobs_) {
    if (j.rules.name != from || j.cancelled) continue;
    for (const std::string& next : j.rules.after)
      if (reaches(next, to)) return true;
  }
  return false;
}

job_id scheduler::add(job_rules rules, time_point from) {
  for (const auto& [id, j] : jobs_)
    if (j.rules.name == rules.name && !j.cancelled)
      throw std::invalid_argument("scheduler: two jobs named " + rules.name);
  // What is there has no circle; a new one closes one exactly where it waits for itself.
  for (const std::string& before : rules.after)
    if (reaches(before, rules.name))
      throw std::invalid_argument("scheduler: " + rules.name + " and " + before + " wait for each other");
  job j;
  j.left = buckets(rules.budget, seconds(options_.burst));
  j.due_at = j.waits_since = from;
  j.figures.name = rules.name;
  ++last_;
  if (!rules.after.empty()) ordered_.insert(last_);
  j.rules = std::move(rules);
  jobs_.emplace(last_, std::move(j));
  return last_;
}

void scheduler::cancel(job_id id) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end()) return;
  if (at->second.out) {
    at->second.cancelled = true;
  } else {
    erase(at);
  }
}

void scheduler::erase(std::map<job_id, job>::iterator at) {
  ordered_.erase(at->first);
  jobs_.erase(at);
}

void scheduler::set_load(double room, time_point now) {
  fill(now);  // up to here by the load before
  room_ = std::clamp(room, 0.0, 1.0);
}

void scheduler::fill(time_point now) {
  if (now <= filled_) return;
  const double s = seconds(now - filled_), burst = seconds(options_.burst);
  bool urgent = false;
  for (auto& [id, j] : jobs_) {
    const double share = share_of(j, now);
    urgent = urgent || (is_urgent(j, now) && !j.cancelled);
    j.left.fill(s, share, burst);
  }
  all_.fill(s, urgent ? std::max(room_, options_.urgent) : room_, burst);
  filled_ = now;
}

// Jobs that are due and wait for this one: it is as urgent, and as far ahead, as they are, or they would wait
// behind others.
template <typename F>
void scheduler::each_that_waits_for(const job& j, time_point now, F&& f) const {
  for (const job_id id : ordered_) {
    const job& other = jobs_.at(id);
    if (!other.cancelled && now >= other.due_at && other.rules.after.contains(j.rules.name)) f(other);
  }
}

bool scheduler::is_urgent(const job& j, time_point now) const {
  if (now < j.due_at) return false;
  bool urgent = j.rules.deadline.count() > 0 && now - j.due_at >= j.rules.deadline;
  each_that_waits_for(j, now, [&](const job& other) { urgent = urgent || is_urgent(other, now); });
  return urgent;
}

double scheduler::share_of(const job& j, time_point now) const {
  return is_urgent(j, now) ? std::max(room_, options_.urgent) : room_;
}

bool scheduler::blocked(const job& j, time_point now) const {
  if (j.rules.after.empty()) return false;
  for (const auto& [id, other] : jobs_)
    if (!other.cancelled && j.rules.after.contains(other.rules.name) && (other.out || now >= other.due_at))
      return true;
  return false;
}

// The lower, the sooner: what is urgent before all else, then by priority, of which waiting takes steps away.
double scheduler::rank(const job& j, time_point now) const {
  const double waited = seconds(now - j.waits_since) / std::max(1e-9, seconds(options_.ageing));
  constexpr double far_ahead = 1e6;
  double own = j.rules.priority - waited - (is_urgent(j, now) ? far_ahead : 0);
  each_that_waits_for(j, now, [&](const job& other) { own = std::min(own, rank(other, now)); });
  return own;
}

std::optional<slice> scheduler::pick(time_point now) {
  fill(now);
  if (out_ >= options_.workers || !all_.open()) return std::nullopt;
  job* best = nullptr;
  job_id which = 0;
  for (auto& [id, j] : jobs_) {
    if (!is_due(j, now) || share_of(j, now) <= 0 || !j.left.open() || blocked(j, now)) continue;
    if (best != nullptr && rank(*best, now) <= rank(j, now)) continue;
    best = &j;
    which = id;
  }
  if (best == nullptr) return std::nullopt;
  best->out = true;
  best->out_since = now;
  if (!std::exchange(best->begun, true)) ++best->figures.rounds;
  ++best->figures.slices;
  ++out_;
  return slice{which, best->rules.name, best->figures.rounds};
}

void scheduler::on_end(job_id id, slice_end how, const cost& used, time_point now) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || !at->second.out) return;
  fill(now);
  job& j = at->second;
  j.out = false;
  --out_;
  all_.take(used);
  j.left.take(used);
  j.figures.used.cpu += used.cpu;
  j.figures.used.read += used.read;
  j.figures.used.written += used.written;
  j.waits_since = now;
  if (j.cancelled) {
    erase(at);
    return;
  }
  switch (how) {
    case slice_end::more: return;
    case slice_end::failed:
      ++j.figures.failures;
      j.pause = j.pause.count() == 0 ? options_.first_pause : std::min(j.pause * 2, options_.longest_pause);
      // Its deadline counts from the new moment: one that fails always is not urgent for ever.
      j.due_at = now + j.pause;
      break;
    case slice_end::done:
      j.pause = {};
      if (j.rules.every.count() == 0) {
        erase(at);
        return;
      }
      // From its end, not its plan: rounds that were missed are not made up for.
      j.due_at = now + j.rules.every;
      break;
  }
  j.begun = false;
  j.waits_since = j.due_at;
}

time_point scheduler::due(time_point now) const {
  if (out_ >= options_.workers) return never;
  time_point next = never;
  for (const auto& [id, j] : jobs_) {
    if (j.out || j.cancelled) continue;
    const double share = share_of(j, std::max(now, j.due_at));
    time_point when = std::max(now, j.due_at);
    if (share <= 0) {  // it waits for its deadline, at the earliest
      if (j.rules.deadline.count() == 0) continue;
      when = std::max(when, j.due_at + j.rules.deadline);
    } else if (const double wait = std::max(all_.wait(share), j.left.wait(share)); wait > 0) {
      constexpr double longest_s = 3600;  // looked at again then
      when += duration(static_cast<std::int64_t>(std::min(wait, longest_s) * 1e9) + 1);
    }
    if (when > now || !blocked(j, now)) next = std::min(next, when);
  }
  return next;
}

std::vector<job_statistics> scheduler::figures(time_point now) const {
  std::vector<job_statistics> all;
  for (const auto& [id, j] : jobs_) {
    job_statistics f = j.figures;
    f.id = id;
    f.out = j.out;
    f.due = is_due(j, now);
    f.urgent = is_urgent(j, now);
    f.overrun = j.out && now - j.out_since > options_.overrun;
    all.push_back(std::move(f));
  }
  return all;
}

}  // namespace marblewharf::scheduler
