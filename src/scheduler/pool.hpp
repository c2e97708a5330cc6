// Worker threads for the slices that the scheduler picks, at the lowest priority of the system, with a queue
// that never holds more slices than there are workers.
//
// The owner's thread calls everything here; slices run on threads of the pool. A slice that does not return
// keeps its worker: that is counted and reported (job_statistics::overrun), and the other workers go on. The
// destructor waits a short while for it and then detaches its thread, so a job's work must own what it uses.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "scheduler/scheduler.hpp"

namespace marblewharf::scheduler {

// What one slice did. The pool measures its processor time.
struct slice_result {
  slice_end how = slice_end::done;
  std::uint64_t read = 0, written = 0;  // bytes
  std::string note;                     // handed to the owner on its own thread; empty: nothing
};

// Runs one slice, on a worker's thread. `stopping`: the pool is being destroyed, return soon. An exception
// counts as failed, with its text as the note.
using work = std::function<slice_result(const std::atomic<bool>& stopping)>;

class pool {
 public:
  using note_handler = std::function<void(const std::string& job, const std::string& note)>;

  // `notify`: step() has something to do; called on a worker's thread. `note`: of a job's slice; called by
  // step().
  pool(options settings, std::function<void()> notify, note_handler note, time_point now);
  ~pool();
  pool(const pool&) = delete;
  pool& operator=(const pool&) = delete;

  job_id add(job_rules rules, work task, time_point first_due);
  void cancel(job_id id);
  // Takes in the slices that ended and starts those that may run. `headroom`: as in
  // scheduler::set_headroom(). Returns when to call again.
  time_point step(time_point now, double headroom);
  std::vector<job_statistics> figures(time_point now) const { return scheduler_.figures(now); }

 private:
  struct shared_state;
  struct pooled_job {
    std::string name;
    std::shared_ptr<work> task;
    bool overrun_reported = false;  // of the slice that runs
  };

  static void run_worker(const std::shared_ptr<shared_state>& state, std::size_t worker);
  void collect_ended_slices(time_point now);
  void start_slices(time_point now);
  void report_overruns(time_point now);

  scheduler scheduler_;
  std::map<job_id, pooled_job> jobs_;
  note_handler note_;
  std::shared_ptr<shared_state> state_;  // outlives the pool where a thread is detached
  std::vector<std::thread> threads_;
};

}  // namespace marblewharf::scheduler
