// A store of tables with a thread of its own, so that nobody else has to wait for its disk: batches that are
// asked for while a commit is under way go to disk together with the next (group commit). Its queue is
// bounded; what does not fit is told.
//
// Background work is done in slices by whoever calls for them, beside the thread: the two take turns, so a
// commit waits for a slice at most.
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
  std::size_t queue = 4096;  // requests waiting, at most
  std::size_t group = 256;   // batches in one commit
  std::chrono::nanoseconds retry =
      std::chrono::milliseconds(500);  // after a failure, until the disk is tried again
};

class table_service {
 public:
  enum class kind { commit, get };
  struct done {
    std::uint64_t ticket = 0;
    kind what = kind::commit;
    verdict v;                         // of a commit
    std::optional<std::string> value;  // of a get; none: not there
    std::string fault;                 // not empty: in doubt, or not read
  };
  // As of what collect() gave so far, and of the slices before.
  struct condition {
    bool writable = false;
    std::string fault;  // why not
    sizes disk;
    cleaning rules;  // rules.of(disk, ...): whether something may be written
  };
  enum class work { clean, checkpoint, age };
  struct slice {
    bool more = false;
    std::uint64_t read = 0, written = 0;  // bytes: of the segment to be cleaned, of copies
    std::string fault;                    // not empty: tried again later
  };

  // `fs` and `folder`: as the tables have them. `now`: the owner's clock; `notify`: something can be
  // collected. Both from the thread, `now` also from who calls for slices, which may outlive the owner's own
  // end: so `fs` is shared.
  table_service(std::shared_ptr<file_system> fs, std::string folder, std::unique_ptr<tables> t,
                table_service_options o, std::function<std::int64_t()> now, std::function<void()> notify);
  ~table_service();
  // What was asked for is done first, and what waits in memory is written; from then on `notify` is not
  // called, and commit() and get() take nothing. For an owner that goes while a slice of somebody else's
  // still has this.
  void stop();
  table_service(const table_service&) = delete;
  table_service& operator=(const table_service&) = delete;

  // From any thread. False: the queue is full, nothing was taken. A batch that never may be written throws
  // std::invalid_argument here.
  bool commit(std::uint64_t ticket, batch b, durability how);
  bool get(std::uint64_t ticket, std::string table, std::string key);
  // Moves to `out` what has been done since the last call, in the order it was asked for. From one thread.
  condition collect(std::vector<done>& out);

  // One slice, from any one thread at a time.
  slice step(work what);
  tables::figures show() const;

 private:
  struct task {
    std::uint64_t ticket = 0;
    kind what = kind::commit;
    batch writes;
    durability how = durability::now;
    std::string table, key;
  };

  std::unique_lock<std::mutex> hold() const;
  void serve();
  void look_after(bool leaving);
  bool flush_wanted() const;
  void report(std::vector<done> out);
  std::vector<done> carry_out(std::vector<task>& all);

  std::uint64_t read_ahead();

  const std::shared_ptr<file_system> fs_;
  const std::string folder_;
  const table_service_options options_;
  const std::function<std::int64_t()> now_;
  const std::function<void()> notify_;

  // Held by whoever waits for the tables: a mutex alone is not fair, and slices on end would keep the commits
  // out.
  mutable std::mutex turn_;
  mutable std::mutex tables_guard_;
  std::unique_ptr<tables> tables_;  // under tables_guard_

  task_queue<task> queue_;
  std::mutex guard_;
  std::vector<done> done_;  // under guard_
  condition condition_;     // under guard_
  std::string fault_;       // the last one; under tables_guard_
  std::thread thread_;
};

}  // namespace marblewharf::store
