// A thread that writes and reads a log, so that no other thread blocks on disk I/O. Writes that are requested
// during a commit are written together by the next commit (group commit). The queue is bounded: a request
// that does not fit is refused at once.
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
  std::size_t queue = 4096;              // maximum number of queued requests
  std::size_t max_batch_records = 1024;  // maximum number of records in one commit; 1: one sync per record
  std::chrono::nanoseconds retry = std::chrono::milliseconds(500);      // delay after a failure
  std::chrono::nanoseconds reclaim_interval = std::chrono::seconds(1);  // between checks for expired segments
};

class committer {
 public:
  enum class kind { write, read };
  struct done {
    std::uint64_t ticket = 0;
    kind operation = kind::write;
    bool ok = false;    // false for a write: the record is not part of the log
    position location;  // after a write: the record's location
    std::string body;   // after a read: the record's body, or the error text if `ok` is false
  };
  // The state after the requests whose `done` was collected.
  struct disk_status {
    bool writable = false;
    std::uint64_t free_bytes = 0;  // log::reserved_free_bytes()
    std::uint64_t used_bytes = 0;  // bytes on disk
    std::int64_t next_expiry = 0;  // log::next_expiry()
    std::uint64_t commits = 0;
    std::string fault;  // the last error; empty while writable
  };

  // `now`: the clock of the log's owner. `notify`: called when collect() has something to return. Both are
  // called from the committer's thread. The log must be open.
  committer(std::unique_ptr<log> opened, committer_options options, std::function<std::int64_t()> now,
            std::function<void()> notify);
  // Completes all accepted requests first.
  ~committer();
  committer(const committer&) = delete;
  committer& operator=(const committer&) = delete;

  // From any thread. False: the queue is full.
  bool write(std::uint64_t ticket, entry content);
  bool read(std::uint64_t ticket, const position& location);

  // Moves the requests completed since the last call to `completed`.
  disk_status collect(std::vector<done>& completed);

 private:
  struct task {
    std::uint64_t ticket = 0;
    kind operation = kind::write;
    entry to_write;
    position to_read;
  };

  void serve();
  void commit(std::vector<task>& batch);
  void maintain(bool reclaim_due);
  void report(std::vector<done> completed);

  std::unique_ptr<log> log_;
  const committer_options options_;
  const std::function<std::int64_t()> now_;
  const std::function<void()> notify_;

  task_queue<task> queue_;
  std::mutex mutex_;
  std::vector<done> done_;   // under mutex_
  disk_status disk_status_;  // under mutex_
  std::string fault_;        // used by the thread only
  std::uint64_t commits_ = 0;
  std::thread thread_;
};

}  // namespace marblewharf::store
