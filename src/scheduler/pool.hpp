// Worker threads for the slices that the scheduler picks. The owner's thread calls everything here; slices
// run on threads of the pool, at the lowest priority of the system, with a queue that never holds more than
// there are workers.
//
// A slice that does not return keeps its worker: that is counted and said (job_statistics::overrun), the
// other workers go on, and the pool's end waits `patience` for it and then leaves its thread behind. So a
// job's work owns what it uses.
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

// What one slice did. Processor time is measured by the pool.
struct slice_result {
  slice_end how = slice_end::done;
  std::uint64_t read = 0, written = 0;  // bytes
  std::string note;                     // for the owner, on its own thread; empty: nothing
};
// On a worker's thread. `leaving`: the pool is at its end, return soon. What it throws counts as failed, its
// text as note.
using work = std::function<slice_result(const std::atomic<bool>& leaving)>;

class pool {
 public:
  // `notify`: step() has something to do; from a worker's thread. `note`: of a job's slice, from step().
  pool(options o, std::function<void()> notify,
       std::function<void(const std::string& job, const std::string&)> note, time_point now);
  ~pool();
  pool(const pool&) = delete;
  pool& operator=(const pool&) = delete;

  job_id add(job_rules rules, work w, time_point from);
  void cancel(job_id id);
  // Takes in what ended and sends out what may run. Returns when to call again.
  time_point step(time_point now, double room);
  std::vector<job_statistics> figures(time_point now) const { return scheduler_.figures(now); }

 private:
  struct shared;
  static void serve(const std::shared_ptr<shared>& s, std::size_t which);

  scheduler scheduler_;
  struct entry {
    std::string name;
    std::shared_ptr<work> what;
    bool overrun_said = false;  // of the slice that is out
  };
  std::map<job_id, entry> jobs_;
  std::function<void(const std::string&, const std::string&)> note_;
  std::shared_ptr<shared> shared_;  // outlives the pool where a thread is left behind
  std::vector<std::thread> threads_;
};

}  // namespace marblewharf::scheduler
