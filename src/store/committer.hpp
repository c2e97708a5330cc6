// The thread that a log's disk blocks, so that no other has to wait for one: writes that are asked for while
// a commit is under way go to disk together with the next (group commit). Its queue is bounded by whoever
// asks: it takes in what fits and says so where it does not.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "store/log.hpp"
#include "store/task_queue.hpp"

namespace marblewharf::store {

struct committer_options {
  std::size_t queue = 4096;  // requests waiting, at most
  std::size_t batch = 1024;  // records in one commit; 1 = a sync for each record
  std::chrono::nanoseconds retry = std::chrono::milliseconds(500);  // after a failure, until the next try
  std::chrono::nanoseconds tidy = std::chrono::seconds(1);          // between looks for what has aged
};

class committer {
 public:
  enum class kind { write, read };
  struct done {
    std::uint64_t ticket = 0;
    kind what = kind::write;
    bool ok = false;   // of a write: it is on disk. False: it counts nowhere
    position at;       // of what was written
    std::string body;  // of what was read
  };
  // As of the commits whose `done` was collected.
  struct condition {
    bool writable = false;
    std::uint64_t room = 0;        // log::room()
    std::uint64_t used = 0;        // bytes on disk
    std::int64_t next_ageing = 0;  // log::next_ageing()
    std::uint64_t commits = 0;
    std::string fault;  // the last one; empty while writable
  };

  // `now`: the time of the log's owner, safe to call from the thread. `notify`: something can be collected;
  // called from the thread. The log must be open.
  committer(std::unique_ptr<log> l, committer_options options, std::function<std::int64_t()> now,
            std::function<void()> notify);
  // What was asked for is written first.
  ~committer();
  committer(const committer&) = delete;
  committer& operator=(const committer&) = delete;

  // Safe to call from any thread. False: the queue is full.
  bool write(std::uint64_t ticket, entry what);
  bool read(std::uint64_t ticket, const position& at);

  // Moves to `out` what has been done since the last call.
  condition collect(std::vector<done>& out);

 private:
  struct task {
    std::uint64_t ticket = 0;
    kind what = kind::write;
    entry writes;
    position reads;
  };

  void serve();
  void commit(std::vector<task>& batch);
  void look_after(bool due);
  void report(std::vector<done> what);

  std::unique_ptr<log> log_;
  const committer_options options_;
  const std::function<std::int64_t()> now_;
  const std::function<void()> notify_;

  task_queue<task> queue_;
  std::mutex guard_;
  std::vector<done> done_;  // under guard_
  condition condition_;     // under guard_
  std::string fault_;       // the thread's own
  std::uint64_t commits_ = 0;
  std::thread thread_;
};

}  // namespace marblewharf::store
