// When background work runs: jobs with priorities, deadlines, an order among them and budgets, cut into
// slices, and held back while the machine is busy with requests (docs/scheduler.md).
//
// Free of I/O, threads and clocks: time, headroom and the cost of slices are handed in, slices to run are
// taken out. Not thread-safe: owned by one thread.
//
// At most `workers` slices run at once, and never two of one job. Over any span of time t the slices use no
// more of a budget than its rate times t, its burst, and what the slices that emptied it took beyond (a slice
// is never cut). No job starves: waiting raises its priority. Without headroom only urgent jobs run, past
// their deadline, and those that an urgent one waits for, at `urgent` of the budgets.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduler/token_bucket.hpp"

namespace marblewharf::scheduler {

using time_point = std::chrono::nanoseconds;
using job_id = std::uint64_t;

struct job_rules {
  std::string name;
  int priority = 0;             // the lowest runs first
  duration every{};             // due again so long after its end; 0: runs once
  duration deadline{};          // urgent so long after it became due; 0: never
  std::set<std::string> after;  // names of jobs that run first while they are due or running
  rates budget;                 // its own, beside that of all jobs together
};

struct options {
  unsigned workers = 1;
  rates budget;                                     // of all jobs together
  duration burst = std::chrono::milliseconds(200);  // of the rates, that may be used at once
  double urgent = 0.1;                              // share of the budgets that urgent jobs always have
  duration ageing = std::chrono::seconds(60);       // of waiting: raises the priority by one step
  duration first_pause = std::chrono::seconds(1);  // after a slice that failed; doubled with each further one
  duration longest_pause = std::chrono::minutes(10);
  duration overrun = std::chrono::seconds(5);  // a slice that runs for longer is reported
};

// How a slice ended.
enum class slice_end {
  more,    // the job has more to do
  done,    // the job is finished, for this round
  failed,  // as done, but tried again after a pause
};

// A slice to run.
struct slice {
  job_id job = 0;
  std::string name;
  std::uint64_t round = 0;  // how often the job has begun
};

struct job_statistics {
  job_id id = 0;
  std::string name;
  std::uint64_t slices = 0, rounds = 0, failures = 0;  // rounds: how often it has begun
  cost used;
  bool due = false, running = false, overrun = false, urgent = false;
};

class scheduler {
 public:
  explicit scheduler(options settings, time_point now);

  // First due at `first_due`. Throws std::invalid_argument where the name is taken, or jobs would wait for
  // each other in a cycle.
  job_id add(job_rules rules, time_point first_due);
  // A slice that runs goes on to its end; nothing more of the job runs.
  void cancel(job_id id);

  // `headroom`: how much of the budgets requests leave, 0 nothing to 1 all.
  void set_headroom(double headroom, time_point now);

  // The next slice to run now; none: until due(), the end of a slice or a change of headroom.
  std::optional<slice> pick(time_point now);
  // Of a slice that pick() gave out.
  void on_end(job_id id, slice_end how, const cost& used, time_point now);
  // When pick() may have a slice, with the present headroom.
  time_point due(time_point now) const;

  std::vector<job_statistics> figures(time_point now) const;
  std::size_t running() const { return running_; }
  // False once the job was cancelled, or ran its one round.
  bool contains(job_id id) const { return jobs_.contains(id); }

 private:
  // waiting -> running (a slice was picked) -> waiting (it ended); running -> cancelling (cancelled
  // meanwhile), and the job is erased once its slice ends. A waiting job that is cancelled or finished its
  // one round is erased at once.
  enum class job_state { waiting, running, cancelling };

  struct job {
    job_rules rules;
    job_state state = job_state::waiting;
    work_budget budget;
    time_point due_at{};         // of this round
    time_point waiting_since{};  // for a slice
    time_point slice_started{};
    duration failure_pause{};  // after the last slice, where it failed
    bool in_round = false;     // a slice of this round has run or is running
    job_statistics figures;
  };

  void refill(time_point now);
  double rate_share(const job& which, time_point now) const;
  static bool is_due(const job& which, time_point now) {
    return which.state == job_state::waiting && now >= which.due_at;
  }
  template <typename Visitor>
  void visit_due_dependents(const job& which, time_point now, Visitor&& visit) const;
  bool is_urgent(const job& which, time_point now) const;
  bool is_blocked(const job& which, time_point now) const;
  bool is_runnable(const job& which, time_point now) const;
  bool waits_for(const std::string& name, const std::string& other) const;
  double effective_priority(const job& which, time_point now) const;
  std::map<job_id, job>::iterator next_runnable(time_point now);
  void schedule_retry(job& failed, time_point now);
  time_point earliest_start(const job& which, time_point now) const;
  void erase(std::map<job_id, job>::iterator position);

  options options_;
  work_budget shared_budget_;  // of all jobs together
  double headroom_ = 1;
  time_point last_refill_;
  std::map<job_id, job> jobs_;
  std::set<job_id> dependent_jobs_;  // those with `after`
  job_id last_id_ = 0;
  std::size_t running_ = 0;
};

}  // namespace marblewharf::scheduler
