// Worker threads that run the slices picked by the scheduler, at the lowest thread priority. The queue never
// contains more slices than there are workers.
//
// All functions are called on the owner's thread; slices run on the worker threads. A slice that does not
// return occupies its worker; this is reported (job_statistics::overrun), and the other workers continue. The
// destructor waits 300 ms for running slices and then detaches their threads, so the function of a job must
// own everything that it uses.
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

// The result of one slice. The pool measures the processor time of the slice.
struct slice_result {
  slice_end end = slice_end::done;
  std::uint64_t read = 0, written = 0;  // bytes
  std::string note;                     // passed to the note handler on the owner's thread; empty: no note
};

// Runs one slice on a worker thread. `stopping` is set when the pool is being destroyed; the function should
// then return soon. An exception counts as slice_end::failed, with its text as the note.
using slice_function = std::function<slice_result(const std::atomic<bool>& stopping)>;

class pool {
 public:
  using note_handler = std::function<void(const std::string& job, const std::string& note)>;

  // `notify` is called on a worker thread when a slice has ended and step() should be called. `handle_note`
  // is called by step() with the notes of slices and with reports of overruns.
  pool(options settings, std::function<void()> notify, note_handler handle_note, time_point now);
  ~pool();
  pool(const pool&) = delete;
  pool& operator=(const pool&) = delete;

  // `run_slice` runs one slice of the job per call. Throws like scheduler::add().
  job_id add(job_rules rules, slice_function run_slice, time_point first_due);
  // A running slice of the job completes; no further slice is started.
  void cancel(job_id id);
  // Processes the slices that have ended and starts those that may run. `headroom`: as in
  // scheduler::set_headroom(). Returns the time of the next call.
  time_point step(time_point now, double headroom);
  std::vector<job_statistics> statistics(time_point now) const { return scheduler_.statistics(now); }

 private:
  struct shared_state;
  struct pooled_job {
    std::string name;
    std::shared_ptr<slice_function> run_slice;
    bool overrun_reported = false;  // whether an overrun of the running slice was reported
  };

  static void run_worker(const std::shared_ptr<shared_state>& state, std::size_t worker);
  void collect_ended_slices(time_point now);
  void start_slices(time_point now);
  void report_overruns(time_point now);

  scheduler scheduler_;
  std::map<job_id, pooled_job> jobs_;
  note_handler handle_note_;
  // Shared with the threads. A detached thread keeps it alive after the pool is destroyed.
  std::shared_ptr<shared_state> state_;
  std::vector<std::thread> threads_;
};

}  // namespace marblewharf::scheduler
