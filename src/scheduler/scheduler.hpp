// Scheduler of background jobs. Jobs have priorities, deadlines, dependencies and budgets, are divided into
// slices, and are throttled while the machine is busy with requests (docs/scheduler.md).
//
// Performs no I/O, starts no threads and reads no clock: the owner passes in the time, the headroom and the
// cost of slices, and takes the slices to run. Not thread-safe: owned by one thread.
//
// At most `workers` slices run at the same time, and never two of the same job. Over any time span t, the
// slices use at most the rate of a budget times t, plus its burst, plus the overdraft of the slices that
// emptied it (a running slice is never interrupted). Ageing prevents starvation: the priority of a job rises
// while it waits. Without headroom, the only jobs that run are urgent ones, which have passed their deadline,
// and those that an urgent job waits for; together they use at most the fraction `urgent_share` of the
// budgets.
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
  int priority = 0;                  // the lowest value runs first
  duration interval{};               // time from the end of a round until the next round is due; 0: runs once
  duration deadline{};               // time from being due until the job becomes urgent; 0: never urgent
  std::set<std::string> runs_after;  // names of jobs to wait for while they are due or running
  rates budget;                      // limits this job, in addition to the budget of all jobs together
};

struct options {
  unsigned workers = 1;
  rates budget;                                     // limits all jobs together
  duration burst = std::chrono::milliseconds(200);  // size of the token buckets, as time at the full rate
  double urgent_share = 0.1;                        // fraction of the budgets that urgent jobs always have
  duration ageing_step = std::chrono::seconds(60);  // waiting time that improves the priority by 1
  duration first_retry_delay = std::chrono::seconds(1);  // doubled after each further failure
  duration max_retry_delay = std::chrono::minutes(10);
  duration overrun_threshold = std::chrono::seconds(5);  // a slice that runs for longer is reported
};

// The state of a job at the end of a slice.
enum class slice_end {
  more,    // the round is not complete: the job needs further slices
  done,    // the round is complete
  failed,  // the round has failed and is retried after a delay
};

// A slice to run.
struct slice {
  job_id job = 0;
  std::string name;         // the job's name
  std::uint64_t round = 0;  // number of rounds that the job has started
};

struct job_statistics {
  job_id id = 0;
  std::string name;
  std::uint64_t slices = 0, rounds = 0, failures = 0;  // slices and rounds: number started
  cost used;
  bool due = false, running = false, overrun = false, urgent = false;
};

class scheduler {
 public:
  explicit scheduler(options settings, time_point now);

  // Adds a job that is first due at `first_due`. Throws std::invalid_argument if another job has the same
  // name or if jobs would wait for each other in a cycle.
  job_id add(job_rules rules, time_point first_due);
  // A running slice of the job completes; no further slice is started.
  void cancel(job_id id);

  // `headroom`: the fraction of the budgets that requests leave to background jobs, 0 to 1.
  void set_headroom(double headroom, time_point now);

  // Returns the next slice to run now, or nullopt if no slice may run before due(), the end of a running
  // slice or a change of the headroom.
  std::optional<slice> pick(time_point now);
  // Reports the end of a slice that pick() returned.
  void on_end(job_id id, slice_end end, const cost& used, time_point now);
  // The earliest time at which pick() may return a slice if the headroom does not change.
  time_point due(time_point now) const;

  std::vector<job_statistics> statistics(time_point now) const;
  std::size_t running() const { return running_; }
  // False after the job was erased: when it was cancelled and no slice of it runs, or when its only round is
  // complete.
  bool contains(job_id id) const { return jobs_.contains(id); }

 private:
  // waiting -> running (a slice was picked) -> waiting (the slice ended). running -> cancelling (the job was
  // cancelled); the job is erased when its slice ends. A waiting job is erased when it is cancelled, and a
  // job that runs once is erased when its round is complete.
  enum class job_state { waiting, running, cancelling };

  struct job {
    job_rules rules;
    job_state state = job_state::waiting;
    work_budget budget;
    time_point due_at{};         // of this round
    time_point waiting_since{};  // start of the wait for the next slice
    time_point slice_started{};
    duration retry_delay{};  // delay after the last round if it failed, else 0
    bool in_round = false;   // a slice of this round has run or is running
    job_statistics statistics;
  };

  void refill(time_point now);
  double rate_share(const job& candidate, time_point now) const;
  static bool is_due(const job& candidate, time_point now) {
    return candidate.state == job_state::waiting && now >= candidate.due_at;
  }
  template <typename Visitor>
  void visit_due_dependents(const job& candidate, time_point now, Visitor&& visit) const;
  bool is_urgent(const job& candidate, time_point now) const;
  bool is_blocked(const job& candidate, time_point now) const;
  bool is_runnable(const job& candidate, time_point now) const;
  bool waits_for(const std::string& name, const std::string& target) const;
  double effective_priority(const job& candidate, time_point now) const;
  std::map<job_id, job>::iterator next_runnable(time_point now);
  void schedule_retry(job& failed, time_point now);
  time_point earliest_start(const job& candidate, time_point now) const;
  void erase(std::map<job_id, job>::iterator position);

  options options_;
  work_budget shared_budget_;  // of all jobs together
  double headroom_ = 1;
  time_point last_refill_;
  std::map<job_id, job> jobs_;
  std::set<job_id> dependent_jobs_;  // jobs whose rules have a non-empty `runs_after`
  job_id last_id_ = 0;
  std::size_t running_ = 0;
};

}  // namespace marblewharf::scheduler
