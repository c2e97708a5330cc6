// When background work runs: jobs with priorities, deadlines, an order among them, and budgets, cut into
// slices, and held back while the machine is busy with requests (docs/scheduler.md).
//
// Free of I/O, threads and clocks: moments, loads and the costs of slices are handed in, slices to run come
// out. Not thread-safe: owned by one thread.
//
// Promises: at most `workers` slices are out at once, and never two of one job. Over any span of time t the
// slices picked use no more of a budget than its rate times t, its burst, and what the slices that emptied it
// took over (a slice is whole). A job that waits comes first in the end, whatever others do. While `set_load`
// says that there is no room, only jobs past their deadline run, and those that such a one waits for, at
// `urgent` of the budgets.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marblewharf::scheduler {

using time_point = std::chrono::nanoseconds;
using duration = std::chrono::nanoseconds;
using job_id = std::uint64_t;

struct cost {
  duration cpu{};
  std::uint64_t read = 0, written = 0;  // bytes
};

// A second: a share of one core, and bytes. 0: no bound.
struct rates {
  double cpu = 0;
  double read = 0, written = 0;
};

struct job_rules {
  std::string name;
  int priority = 0;             // the lower, the sooner
  duration every{};             // due again so long after its end; 0: once
  duration deadline{};          // after it became due: from then on it is urgent; 0: never
  std::set<std::string> after;  // names of jobs that go first while they are due or under way
  rates budget;                 // its own, beside that of all together
};

struct options {
  unsigned workers = 1;
  rates budget;                                     // of all jobs together
  duration burst = std::chrono::milliseconds(200);  // of rates, that may be used at once
  double urgent = 0.1;                              // of the budgets, for urgent jobs while there is no room
  duration ageing = std::chrono::seconds(60);       // waiting so long is worth one step of priority
  duration first_pause = std::chrono::seconds(1);   // after a slice that failed; then doubled
  duration longest_pause = std::chrono::minutes(10);
  duration overrun = std::chrono::seconds(5);  // a slice that is out for longer: its job does not yield
};

enum class slice_end {
  more,    // to be gone on with
  done,    // the job is at its end, for this time
  failed,  // as done, but tried again after a pause
};

struct slice {
  job_id job = 0;
  std::string name;
  std::uint64_t round = 0;  // how often the job has begun
};

struct job_statistics {
  job_id id = 0;
  std::string name;
  std::uint64_t slices = 0, rounds = 0, failures = 0;  // rounds: how often it began
  cost used;
  bool due = false, out = false, overrun = false, urgent = false;
};

class scheduler {
 public:
  explicit scheduler(options o, time_point now);

  // First due at `from`. Throws std::invalid_argument where jobs would wait for each other in a circle, or
  // the name is taken.
  job_id add(job_rules rules, time_point from);
  // A slice that is out goes on to its end; nothing more of the job runs.
  void cancel(job_id id);

  // What requests leave: 1 all, 0 nothing. From the admission module's view of the machine.
  void set_load(double room, time_point now);

  // The next slice to run now; none: until due(), a slice's end or another load.
  std::optional<slice> pick(time_point now);
  void on_end(job_id id, slice_end how, const cost& used, time_point now);
  // When pick() may have something, with the load as it is.
  time_point due(time_point now) const;

  std::vector<job_statistics> figures(time_point now) const;
  std::size_t out() const { return out_; }
  // Not any more: it was cancelled, or ran its one time.
  bool knows(job_id id) const { return jobs_.contains(id); }

 private:
  // Fills at its rate up to a burst; may be overdrawn by the one slice that empties it.
  struct bucket {
    double rate = 0;  // a second; 0 = no bound
    double left = 0;
    void fill(double seconds, double share, double burst_s);
    bool open() const { return rate <= 0 || left > 0; }
    // Seconds until it is open, filled at this share of its rate; infinity where that is none.
    double wait(double share) const;
  };
  struct buckets {
    bucket cpu, read, written;
    explicit buckets(const rates& r = {}, double burst_s = 0);
    void fill(double seconds, double share, double burst_s);
    void take(const cost& c);
    bool open() const { return cpu.open() && read.open() && written.open(); }
    double wait(double share) const;
  };
  struct job {
    job_rules rules;
    buckets left;
    time_point due_at{};       // of this round
    time_point waits_since{};  // for a slice
    time_point out_since{};
    duration pause{};
    bool out = false, cancelled = false, begun = false;
    job_statistics figures;
  };

  void fill(time_point now);
  double share_of(const job& j, time_point now) const;
  bool is_due(const job& j, time_point now) const { return !j.out && !j.cancelled && now >= j.due_at; }
  template <typename F>
  void each_that_waits_for(const job& j, time_point now, F&& f) const;
  bool is_urgent(const job& j, time_point now) const;
  bool blocked(const job& j, time_point now) const;
  bool reaches(const std::string& from, const std::string& to) const;
  double rank(const job& j, time_point now) const;
  void erase(std::map<job_id, job>::iterator at);

  options options_;
  buckets all_;
  double room_ = 1;
  time_point filled_;
  std::map<job_id, job> jobs_;
  std::set<job_id> ordered_;  // of those that name others to go first
  job_id last_ = 0;
  std::size_t out_ = 0;
};

}  // namespace marblewharf::scheduler
