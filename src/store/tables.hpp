// A store of tables: binary keys and values in a folder, with batches that are whole or not there, snapshots,
// ordered scans, ageing by table, cleaning in slices, checkpoints and backups. Design and format:
// docs/store.md.
//
// Blocks on the disk; owned by one thread at a time. Moments are nanoseconds of the owner's clock (Unix time
// for what ages); one that was set back is held at the latest moment that the folder knows of.
//
// Promises: what commit() reported durable is there after any crash; a batch is there whole or not at all;
// after a crash the store is as it was after some batch, in the order of commits, no earlier than the last
// durable one. A commit that throws is in doubt until the next one succeeds: then nothing of it counts. Two
// processes never have one folder.
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
  std::map<std::string, std::chrono::nanoseconds> life = {};  // by table, after a put; none: for ever
  std::size_t most_keys = 1'000'000;
  std::size_t longest_key = 4096;  // bytes
  std::uint64_t lazy_bytes = std::uint64_t{256}
                             << 10;  // that wait in memory, at most; never over a quarter of a segment
  std::chrono::nanoseconds lazy_time = std::chrono::seconds(1);  // that a lazy batch waits, at most
  std::chrono::nanoseconds longest_snapshot = std::chrono::minutes(1);
  std::size_t slice = 256;                              // keys in a slice of a checkpoint or of ageing
  std::uint64_t slice_bytes = std::uint64_t{64} << 10;  // copied in a slice of cleaning
  std::uint64_t salt = 0;                               // for a new folder
  // Of records that are no tables', in their order: the folder was an older program's (format::records). What
  // of them is to stay their owner puts into tables, and marks that it has; cleaning takes them away. None:
  // they are damage.
  std::function<void(std::uint32_t type, std::string_view body)> older = {};
};

// Changes of several keys in any tables; of one key the last one counts.
class batch {
 public:
  void put(const std::string& table, const std::string& key, std::string value) {
    all_[{table, key}] = std::move(value);
  }
  void erase(const std::string& table, const std::string& key) { all_[{table, key}] = std::nullopt; }
  bool empty() const { return all_.empty(); }
  const std::map<std::pair<std::string, std::string>, std::optional<std::string>>& all() const {
    return all_;
  }

 private:
  std::map<std::pair<std::string, std::string>, std::optional<std::string>> all_;
};

enum class durability {
  now,     // on disk when commit() returns
  lazily,  // with the next that is, or within the settings' bounds; order is kept
};

class tables {
 public:
  // Takes the folder and reads what a checkpoint does not say already. Throws held, io_error, damaged, or
  // std::invalid_argument for options that cannot be kept.
  tables(file_system& fs, tables_options o, std::int64_t now);
  // What waits in memory goes with it: flush() first.
  ~tables();

  // Whether a batch may be written now; of one that may not, when to come back. Throws std::invalid_argument
  // for a batch that never may: a key or a name too long, more than a quarter of a segment.
  verdict may_write(const batch& b) const;
  // Throws std::invalid_argument for a batch that never may. From any thread: it looks at the options alone.
  void expect_possible(const batch& b) const { bytes_of(b); }
  // As may_write(); then writes. Throws io_error: in doubt.
  verdict commit(const batch& b, durability how, std::int64_t now);
  // Several durable ones with as few syncs as frames hold them (group commit), each whole or not there by
  // itself; as if each had been committed in turn. Throws nothing of the disk's: `fault` says it;
  // std::invalid_argument as may_write(), then none is written.
  struct committed {
    verdict v;
    std::string fault;  // not empty: in doubt
  };
  std::vector<committed> commit_all(const std::vector<const batch*>& all, std::int64_t now);
  // What waits in memory goes to disk. Throws io_error: it still waits.
  void flush(std::int64_t now);
  // When flush() is due; none: nothing waits.
  std::optional<std::int64_t> flush_due() const;

  using snapshot = std::uint64_t;
  // Throws io_error or damaged. `of`: as of a snapshot; one that ended throws std::out_of_range.
  std::optional<std::string> get(const std::string& table, const std::string& key, std::int64_t now,
                                 std::optional<snapshot> of = std::nullopt) const;
  // Keys from `from` to before `to` (empty: to the last), in order, until `each` returns false; it must not
  // write.
  void scan(const std::string& table, const std::string& from, const std::string& to, std::int64_t now,
            std::optional<snapshot> of,
            const std::function<bool(const std::string&, const std::string&)>& each) const;
  // Every key of a table with the moment at which it ages (0: never), in order; no value is read.
  void each_key(const std::string& table, std::int64_t now,
                const std::function<void(const std::string& key, std::int64_t expiry)>& each) const;
  snapshot open_snapshot(std::int64_t now);
  void close_snapshot(snapshot s);

  // One slice each of background work; false: nothing to do now. Throws io_error; the slice is done anew
  // later.
  bool clean_step(std::int64_t now);
  // Reading the segment that is to be cleaned may be done beside, without holding up commits: where
  // oldest_wanted() names one, read_segment() on any thread, and take() what it gave before the next
  // clean_step().
  struct read_ahead {
    std::uint64_t number = 0;
    std::string bytes;
    std::vector<position> puts;
  };
  struct wanted_segment {
    std::uint64_t number = 0, end = 0;  // 0: none
  };
  wanted_segment oldest_wanted() const;
  static read_ahead read_segment(file_system& fs, const std::string& folder, const wanted_segment& which);
  void take(read_ahead r, std::int64_t now);
  bool checkpoint_step(
      std::int64_t now);  // begins one where none is under way; false: it counts now, or nothing is new
  // Lets go of keys that have aged; false: once round, or too soon for another: a sixteenth of the shortest
  // life goes by between the begins of two rounds, so that a walk through all keys is paid for by enough of
  // them.
  bool age_step(std::int64_t now);
  bool backup_step(std::int64_t now);  // after begin_backup(); false: it is whole
  // Into a folder that holds nothing. Cleaning waits until it is whole or ended. Throws io_error.
  void begin_backup(const std::string& folder);
  void end_backup() { backup_.reset(); }

  struct figures {
    std::size_t keys = 0, snapshots = 0;
    sizes disk;
    std::uint64_t waiting = 0;              // bytes in memory only
    std::uint64_t written = 0, copied = 0;  // bytes of records since the start: by writers, by cleaning
    std::uint64_t frames = 0;               // written by commits and flushes, a sync each
    std::uint64_t cleaned = 0, checkpoints = 0;
    std::uint64_t read = 0;        // records read at the start
    std::string checkpoint_fault;  // why the one found at the start did not count
    bool cleaning_wanted = false, held_by_snapshot = false;
  };
  figures show() const;
  std::uint64_t salt() const { return log_->salt(); }
  std::int64_t latest() const { return latest_; }  // the latest moment that the folder knows of
  // A segment is open for writes. After a failure the next write opens one, or this. Throws io_error.
  bool writable() const { return log_->is_open(); }
  void mend(std::int64_t now) { reopen(now); }
  // The decision on what may be written, as it is now, for whoever asks before a batch is made.
  const cleaning& rules() const { return cleaning_; }

 private:
  struct pending {
    std::string table, key;
    entry what;
    sequence seq = 0;
    std::int64_t expiry = 0;  // 0: never
    bool erased = false;
  };
  // The oldest segment, while it is cleaned.
  struct cleaned_segment {
    read_ahead read;
    std::uint64_t copied = 0;
    std::int64_t since = 0;
    std::size_t at = 0;  // of puts, the next to look at
  };
  struct backup {
    std::string folder;
    std::uint64_t last = 0;  // segment copied
  };

  void recover(std::uint32_t type, std::string_view body, const position& at);
  std::uint64_t bytes_of(const batch& b) const;
  verdict verdict_of(const batch& b, std::uint64_t beside, std::int64_t growing,
                     std::size_t fresh_keys) const;
  struct growth {
    std::int64_t bytes = 0;
    std::size_t keys = 0;
  };
  growth growth_of(const batch& b) const;
  std::vector<pending> records_of(const batch& b, sequence seq) const;
  std::int64_t moment(std::int64_t now) const;
  sizes disk() const;
  void append(const std::vector<pending>& all, std::int64_t now);
  void reopen(std::int64_t now);
  void end_old_snapshots(std::int64_t now);
  std::string value_at(const place& p) const;
  const place* visible(const place* p, std::int64_t now) const;
  std::optional<sequence> sequence_of(std::optional<snapshot> of) const;
  std::uint64_t lazy_most() const;

  file_system& fs_;
  tables_options options_;
  cleaning cleaning_;
  versions index_;
  std::unique_ptr<log> log_;
  std::optional<checkpoint_found> found_;
  std::int64_t latest_ = 0;

  std::vector<pending> waiting_;
  std::uint64_t waiting_bytes_ = 0;
  std::int64_t waiting_since_ = 0;
  sequence last_ = 0;

  struct open_snapshot_one {
    sequence of = 0;
    std::int64_t since = 0;
  };
  std::map<snapshot, open_snapshot_one> snapshots_;
  snapshot last_snapshot_ = 0;

  std::optional<cleaned_segment> cleaned_;
  bool held_by_snapshot_ = false;
  std::unique_ptr<checkpoint_writer> checkpoint_;
  position checkpoint_from_,
      checkpointed_;  // the log's end at the begin of the one under way, and of the last whole one
  std::pair<std::string, std::string> checkpoint_at_, age_at_;
  std::int64_t next_round_ = 0;  // of ageing
  std::optional<backup> backup_;
  figures figures_;
};

// What a folder holds that no process has, as of `now`; nothing in it changes. Throws held, io_error or
// damaged.
struct inspected {
  recovered_counts log;
  std::uint64_t older = 0;                  // records of the format before tables
  std::map<std::string, std::size_t> keys;  // by table
  std::optional<checkpoint_found> checkpoint;
};
inspected inspect_tables(file_system& fs, const std::string& folder, std::int64_t now,
                         const std::function<void(const std::string& table, const std::string& key,
                                                  const std::string& value, std::int64_t expiry)>& each = {});

// Reads all of a backup, copies it into a folder that holds nothing, and reads that. Throws io_error or
// damaged.
void restore_tables(file_system& fs, const std::string& backup, const std::string& folder, std::int64_t now);

}  // namespace marblewharf::store
