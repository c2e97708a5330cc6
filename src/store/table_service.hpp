// A store of tables with a thread of its own, so that callers do not block on disk I/O. Batches that are
// requested during a commit are written together by the next commit (group commit). The queue is bounded; a
// request that does not fit is refused at once.
//
// Background work runs in slices on the thread of the caller of step(). The two threads take turns, so a
// commit waits for one slice at most.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "store/tables.hpp"
#include "store/task_queue.hpp"

namespace marblewharf::store {

struct table_service_options {
  std::size_t queue = 4096;                                         // maximum number of queued requests
  std::size_t group = 256;                                          // maximum number of batches in one commit
  std::chrono::nanoseconds retry = std::chrono::milliseconds(500);  // delay after a disk failure
};

class table_service {
 public:
  enum class kind { commit, get };
  struct done {
    std::uint64_t ticket = 0;
    kind operation = kind::commit;
    verdict result;                    // after a commit
    std::optional<std::string> value;  // after a get; nothing: no such key
    std::string fault;                 // not empty: the commit is in doubt, or the read failed
  };
  // The state after the requests that collect() returned and after all earlier slices.
  struct condition {
    bool writable = false;
    std::string fault;  // why the store is not writable
    disk_sizes disk;
    cleaning rules;  // rules.of(disk, ...) decides whether a batch is accepted
  };
  enum class work { clean, checkpoint, expire };
  struct slice {
    bool has_more = false;
    std::uint64_t read = 0, written = 0;  // bytes read from the segment being cleaned; bytes copied
    std::string fault;                    // not empty: the slice failed and is repeated later
  };

  // `fs` and `folder`: the same as those of the tables. `now`: the owner's clock. `notify`: called when
  // collect() has something to return. Both are called from the service's thread, and `now` also from the
  // callers of step(). `fs` is shared because a slice may still run when the owner has been destroyed.
  table_service(std::shared_ptr<file_system> fs, std::string folder, std::unique_ptr<tables> tables,
                table_service_options options, std::function<std::int64_t()> now,
                std::function<void()> notify);
  ~table_service();
  // Completes all accepted requests and flushes the buffered batches. Afterwards `notify` is not called, and
  // commit() and get() refuse all requests. For an owner that is destroyed while another thread's slice still
  // refers to this object.
  void stop();
  table_service(const table_service&) = delete;
  table_service& operator=(const table_service&) = delete;

  // From any thread. False: the queue is full, and the request was not accepted. commit() throws
  // std::invalid_argument for a batch that can never be accepted.
  bool commit(std::uint64_t ticket, batch changes, durability mode);
  bool get(std::uint64_t ticket, std::string table, std::string key);
  // Moves the requests completed since the last call to `completed`, in the order of the requests. From one
  // thread.
  condition collect(std::vector<done>& completed);

  // Runs one slice. From any thread, but one at a time.
  slice step(work work_kind);
  tables::figures show() const;

 private:
  struct task {
    std::uint64_t ticket = 0;
    kind operation = kind::commit;
    batch changes;
    durability mode = durability::now;
    std::string table, key;
  };

  std::unique_lock<std::mutex> lock_tables() const;
  void serve();
  void maintain(bool stopping);
  bool flush_is_due() const;
  void report(std::vector<done> completed);
  std::vector<done> execute(std::vector<task>& tasks);

  std::uint64_t read_ahead();

  const std::shared_ptr<file_system> fs_;
  const std::string folder_;
  const table_service_options options_;
  const std::function<std::int64_t()> now_;
  const std::function<void()> notify_;

  // Locked while a thread waits for tables_mutex_. A mutex alone is not fair, and continuous slices would
  // starve the commits.
  mutable std::mutex turn_mutex_;
  mutable std::mutex tables_mutex_;
  std::unique_ptr<tables> tables_;  // under tables_mutex_

  task_queue<task> queue_;
  std::mutex mutex_;
  std::vector<done> done_;  // under mutex_
  condition condition_;     // under mutex_
  std::string fault_;       // the last error; under tables_mutex_
  std::thread thread_;
};

}  // namespace marblewharf::store
