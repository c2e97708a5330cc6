// A store of tables with binary keys and values in a folder: atomic batches, snapshots, ordered scans, expiry
// per table, incremental cleaning (log compaction), checkpoints and backups. Design and format:
// docs/store.md.
//
// Calls block on disk I/O. Not thread-safe: owned by one thread at a time. Times are nanoseconds on the
// owner's clock (Unix time where rows expire). If the clock was set back, the store uses the latest time that
// it knows instead.
//
// Guarantees: a batch that commit() reported as durable survives any crash. Batches are atomic. After a crash
// the store has the state after one of its batches, in commit order, and never an earlier one than the last
// durable batch. If commit() throws io_error, the batch is in doubt: it is unknown whether the batch
// survives a crash. Once a later commit has succeeded, the failed batch is certain to have no effect. Two
// processes never open the same folder.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "store/checkpoint.hpp"
#include "store/cleaning.hpp"
#include "store/file_system.hpp"
#include "store/log.hpp"
#include "store/versions.hpp"

namespace marblewharf::store {

struct tables_options {
  std::string folder;
  cleaning_rules disk;
  // By table: the time from a put to its expiry. Rows of tables that are not listed never expire.
  std::map<std::string, std::chrono::nanoseconds> lifetimes = {};
  std::size_t max_keys = 1'000'000;
  std::size_t max_key_bytes = 4096;
  // Limit for the lazy batches buffered in memory; they never exceed a quarter of a segment.
  std::uint64_t max_buffered_bytes = std::uint64_t{256} << 10;
  // The time after which a lazy batch is due to be written.
  std::chrono::nanoseconds max_buffered_time = std::chrono::seconds(1);
  std::chrono::nanoseconds max_snapshot_age = std::chrono::minutes(1);  // older snapshots are closed
  std::size_t slice_keys = 256;                         // visited in a slice of a checkpoint or of expiry
  std::uint64_t slice_bytes = std::uint64_t{64} << 10;  // copied in a slice of cleaning
  std::uint64_t salt = 0;                               // used for a new folder only
  // Gets the records of an older program in the folder (format::records), in their order. The owner copies
  // the data that it still needs into tables and notes there that it has done so; cleaning then deletes the
  // old records. If this is not set, such records are treated as damage.
  std::function<void(std::uint32_t type, std::string_view body)> on_legacy_record = {};
};

// A batch of changes to keys of any tables. The last change to a key wins.
class batch {
 public:
  void put(const std::string& table, const std::string& key, std::string value) {
    changes_[{table, key}] = std::move(value);
  }
  void erase(const std::string& table, const std::string& key) { changes_[{table, key}] = std::nullopt; }
  bool empty() const { return changes_.empty(); }
  const std::map<std::pair<std::string, std::string>, std::optional<std::string>>& changes() const {
    return changes_;
  }

 private:
  std::map<std::pair<std::string, std::string>, std::optional<std::string>> changes_;
};

enum class durability {
  now,     // on disk when commit() returns
  lazily,  // written with the next durable batch, or when max_buffered_bytes or max_buffered_time is reached;
           // commit order is preserved
};

class tables {
 public:
  // Locks the folder and recovers the state from the checkpoint and the log. Throws held, io_error, damaged,
  // or std::invalid_argument for options that contradict each other.
  tables(file_system& fs, tables_options options, std::int64_t now);
  // Buffered batches are lost: call flush() first.
  ~tables();

  // Whether a batch would be accepted now, and if not, when to retry. Throws std::invalid_argument for a
  // batch that can never be accepted: a key or a table name is too long, or the batch exceeds a quarter of a
  // segment.
  verdict check_admission(const batch& changes) const;
  // Throws std::invalid_argument like check_admission(). From any thread: it reads only the options.
  void require_valid(const batch& changes) const { bytes_of(changes); }
  // Writes the batch if check_admission() accepts it. After io_error the batch is in doubt.
  verdict commit(const batch& changes, durability mode, std::int64_t now);
  // Commits several batches durably with one sync per frame (group commit), in their order. Each batch is
  // atomic by itself. Disk errors are returned in `fault` and not thrown. Throws std::invalid_argument like
  // check_admission(); then no batch was written.
  struct committed {
    verdict result;
    std::string fault;  // not empty: the batch is in doubt
  };
  std::vector<committed> commit_all(const std::vector<const batch*>& group, std::int64_t now);
  // Writes the buffered batches to disk. After io_error they are still buffered.
  void flush(std::int64_t now);
  // When flush() is due; nothing if no batch is buffered.
  std::optional<std::int64_t> flush_due() const;

  using snapshot = std::uint64_t;
  // The value of a key, now or in a snapshot. Throws io_error or damaged, and std::out_of_range if the
  // snapshot is closed.
  std::optional<std::string> get(const std::string& table, const std::string& key, std::int64_t now,
                                 std::optional<snapshot> as_of = std::nullopt) const;
  // Visits the rows with keys in [first, end) in order, until `visit` returns false. An empty `end` means no
  // bound. `visit` must not write to the store.
  void scan(const std::string& table, const std::string& first, const std::string& end, std::int64_t now,
            std::optional<snapshot> as_of,
            const std::function<bool(const std::string&, const std::string&)>& visit) const;
  // Visits the keys of a table in order, with their expiry (0 = never), without reading values.
  void visit_keys(const std::string& table, std::int64_t now,
                  const std::function<void(const std::string& key, std::int64_t expiry)>& visit) const;
  snapshot open_snapshot(std::int64_t now);
  void close_snapshot(snapshot id);

  // Each ..._step() performs one slice of background work and returns false when there is nothing to do now.
  // After io_error, a later call repeats the slice.
  bool clean_step(std::int64_t now);
  // The segment to be cleaned can be read concurrently, without delaying commits: segment_to_clean() names
  // it, read_segment() reads it on any thread, and accept_read_ahead() hands the data over before the next
  // clean_step().
  struct read_ahead {
    std::uint64_t number = 0;
    std::string bytes;
    std::vector<position> puts;
  };
  struct segment_range {
    std::uint64_t number = 0, end = 0;  // number 0 = no segment; `end`: valid bytes
  };
  segment_range segment_to_clean() const;
  static read_ahead read_segment(file_system& fs, const std::string& folder, const segment_range& segment);
  void accept_read_ahead(read_ahead segment, std::int64_t now);
  // Begins a checkpoint if none is in progress. False: it is complete, or nothing changed since the last one.
  bool checkpoint_step(std::int64_t now);
  // Removes expired keys from the index. False: the pass over all keys is complete, or the next one is not
  // due. Passes start a sixteenth of the shortest lifetime apart, so that each pass finds enough expired keys
  // to be worth its cost.
  bool expire_step(std::int64_t now);
  bool backup_step(std::int64_t now);  // after begin_backup(); false: the backup is complete
  // Begins a backup into an empty folder. Cleaning is suspended until the backup is complete or
  // end_backup() is called. Throws io_error.
  void begin_backup(const std::string& folder);
  void end_backup() { backup_.reset(); }

  struct figures {
    std::size_t keys = 0, snapshots = 0;
    disk_sizes disk;
    std::uint64_t buffered_bytes = 0;            // in memory only
    std::uint64_t written = 0, copied = 0;       // bytes of records written by commits and copied by cleaning
    std::uint64_t frames = 0;                    // written by commits and flushes, with one sync each
    std::uint64_t cleaned = 0, checkpoints = 0;  // segments, checkpoints completed
    std::uint64_t replayed = 0;                  // log records read at recovery
    std::string checkpoint_fault;  // why recovery ignored the checkpoint; empty: no checkpoint was ignored
    bool cleaning_needed = false, blocked_by_snapshot = false;
  };
  figures show() const;
  std::uint64_t salt() const { return log_->salt(); }
  std::int64_t latest_time() const { return latest_time_; }  // the latest time that the store knows
  // Whether a segment is open for writes. After a failure, retry_open() or the next write opens one.
  bool writable() const { return log_->is_open(); }
  void retry_open(std::int64_t now) { reopen(now); }  // throws io_error
  // The admission rules, for callers that ask before they build a batch.
  const cleaning& rules() const { return cleaning_; }

 private:
  // A row that is to be written.
  struct pending {
    std::string table, key;
    entry logged;
    sequence commit = 0;
    std::int64_t expiry = 0;  // 0 = never
    bool erased = false;
  };
  // The oldest segment while it is cleaned.
  struct cleaned_segment {
    read_ahead read;
    std::uint64_t copied = 0;  // bytes
    std::int64_t started = 0;  // time
    std::size_t next_put = 0;  // index into read.puts
  };
  struct backup {
    std::string folder;
    std::uint64_t last_copied = 0;  // number of the segment copied last
  };

  void recover(std::uint32_t type, std::string_view body, const position& location);
  std::uint64_t bytes_of(const batch& changes) const;
  verdict verdict_of(const batch& changes, std::uint64_t group_bytes, std::int64_t group_growth,
                     std::size_t group_keys) const;
  // The change in live bytes and the number of new keys.
  struct growth {
    std::int64_t bytes = 0;
    std::size_t keys = 0;
  };
  growth growth_of(const batch& changes) const;
  std::vector<pending> records_of(const batch& changes, sequence commit) const;
  std::int64_t monotonic(std::int64_t now) const;
  disk_sizes disk() const;
  void append(const std::vector<pending>& rows, std::int64_t now);
  void reopen(std::int64_t now);
  void close_old_snapshots(std::int64_t now);
  std::string read_value(const value_ref& value) const;
  const value_ref* unexpired(const value_ref* value, std::int64_t now) const;
  std::optional<sequence> sequence_of(std::optional<snapshot> id) const;
  std::uint64_t buffer_limit() const;

  file_system& fs_;
  tables_options options_;
  cleaning cleaning_;
  versions index_;
  std::unique_ptr<log> log_;
  std::optional<recovered_checkpoint> recovered_;  // the checkpoint that recovery found
  std::int64_t latest_time_ = 0;

  std::vector<pending> buffered_;
  std::uint64_t buffered_bytes_ = 0;
  std::int64_t buffered_since_ = 0;
  sequence last_commit_ = 0;

  struct snapshot_info {
    sequence commit = 0;  // the last commit that the snapshot sees
    std::int64_t opened = 0;
  };
  std::map<snapshot, snapshot_info> snapshots_;
  snapshot last_snapshot_ = 0;

  std::optional<cleaned_segment> cleaned_;
  bool blocked_by_snapshot_ = false;
  std::unique_ptr<checkpoint_writer> checkpoint_;
  // The log's end when the checkpoint in progress and the last complete one began.
  position checkpoint_from_, checkpointed_;
  std::pair<std::string, std::string> checkpoint_cursor_, expiry_cursor_;  // table and key
  std::int64_t next_expiry_pass_ = 0;                                      // time
  std::optional<backup> backup_;
  figures figures_;
};

// What inspect_tables() found in a folder.
struct store_content {
  recovered_counts log;
  std::uint64_t legacy_records = 0;         // records of the format that preceded tables
  std::map<std::string, std::size_t> keys;  // by table
  std::optional<recovered_checkpoint> checkpoint;
};
// Reads and verifies a folder that no process has locked, and changes nothing in it. Rows that have expired
// by `now` are skipped. Throws held, io_error or damaged.
store_content inspect_tables(
    file_system& fs, const std::string& folder, std::int64_t now,
    const std::function<void(const std::string& table, const std::string& key, const std::string& value,
                             std::int64_t expiry)>& visit = {});

// Verifies a backup, copies it into an empty folder, and verifies the copy. Throws io_error or damaged.
void restore_tables(file_system& fs, const std::string& backup, const std::string& folder, std::int64_t now);

}  // namespace marblewharf::store
