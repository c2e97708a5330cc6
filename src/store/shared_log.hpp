// An append-only log in a folder that several processes on one machine share, for records that expire. Every
// process reads what the others append; one at a time appends. A record survives the end of its writer, also
// by SIGKILL, but not a failure of the machine: nothing is synced to disk.
//
// The folder contains:
//
//   lock           locked (flock) while a process appends
//   HEX.member     one for each process, locked as long as the process lives
//   NUMBER.shared  the segments (store/shared_log_format.hpp)
//
// Records are appended to the segment with the highest number. A full segment is followed by a new one; a
// segment is removed once all its records have expired. The end of the log may be torn if a process was
// killed while it appended; whoever locks the log next removes the torn record. Files that are not segments
// of this log are ignored.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/file_system.hpp"
#include "store/shared_log_format.hpp"

namespace marblewharf::store {

// The folder of a shared log cannot be created, or does not belong to this user: a later attempt will fail,
// too.
struct folder_unusable : io_error {
  using io_error::io_error;
};

struct shared_log_options {
  std::string folder;               // created if it does not exist
  std::uint64_t max_bytes = 0;      // of all segments together
  std::uint64_t segment_bytes = 0;  // size from which a segment is followed by a new one
  // Records that expire later than this after they are read, because the clock was reset, expire then. ns
  std::int64_t max_lifetime = 0;
  log_member member = 0;   // random, unlike that of any other process
  std::uint64_t salt = 0;  // for a new log
};

// Not thread-safe. No function waits for another process. Times are ns on a clock that all processes share.
class shared_log {
 public:
  // The exclusive right to append, until it is destroyed.
  class append_lock {
   public:
    explicit append_lock(int descriptor) : descriptor_(descriptor) {}
    append_lock(append_lock&& other) noexcept : descriptor_(other.descriptor_) { other.descriptor_ = -1; }
    append_lock(const append_lock&) = delete;
    append_lock& operator=(const append_lock&) = delete;
    append_lock& operator=(append_lock&&) = delete;
    ~append_lock();

   private:
    int descriptor_;
  };

  // A record to append.
  struct draft {
    std::int64_t expiry = 0;
    std::string body;
  };

  // Joins the log. Throws folder_locked if another process is appending at this moment, folder_unusable, or
  // io_error if a resource is lacking, for example space.
  shared_log(shared_log_options options, std::int64_t now);
  ~shared_log();
  shared_log(const shared_log&) = delete;
  shared_log& operator=(const shared_log&) = delete;

  std::uint64_t salt() const { return salt_; }
  log_member member() const { return options_.member; }

  // Returns the records of other processes that were appended since the last call, in their order.
  std::vector<shared_record> read_new(std::int64_t now);
  // Returns nothing if another process is appending, or if the log cannot be used now. With the lock held,
  // read_new() returns all records that precede the next append().
  std::optional<append_lock> try_lock(std::int64_t now);
  // Appends all records, or none of them if there is no space or the write fails. Requires the lock and that
  // read_new() was called with it.
  bool append(const append_lock& lock, const std::vector<draft>& drafts);
  // Removes segments whose records have all expired. Requires the lock.
  void remove_expired(const append_lock& lock, std::int64_t now);
  // Whether remove_expired() would remove a segment.
  bool has_expired(std::int64_t now) const;

  // Returns the body of a record; nothing if it was removed or cannot be read.
  std::optional<std::string> read(const shared_position& body_at) const;
  // Whether the process that joined as `member` still lives. True if that cannot be determined.
  bool is_alive(log_member member) const;
  // How many bytes can be appended, including the overhead of records.
  std::uint64_t free_bytes() const;

 private:
  class descriptor;
  struct segment {
    std::uint64_t number = 0;
    std::uint64_t bytes = 0;  // read or written so far
    std::int64_t last_expiry = 0;
  };

  void prepare_folder() const;
  void open_lock();
  bool restore_lock();
  bool restore_member();
  void join_members();
  void load_segments(std::int64_t now);
  std::vector<std::uint64_t> segment_numbers() const;  // ascending
  std::string segment_path(std::uint64_t number) const;
  std::string member_path(log_member member) const;

  enum class open_result {
    opened,
    not_found,
    foreign,  // not a segment of this log
    failed,   // exists, but cannot be read now
  };
  open_result open_segment(std::uint64_t number, const std::optional<std::uint64_t>& required_salt);
  bool create_segment(std::uint64_t number);
  bool current_is_linked() const;
  void skip_removed_segments();
  // Both return false if not everything that others have appended could be read.
  bool read_current(std::int64_t now);
  bool read_to_end(std::int64_t now);
  bool remove_torn_end() const;

  shared_log_options options_;
  std::uint64_t salt_ = 0;
  std::unique_ptr<descriptor> lock_;
  std::unique_ptr<descriptor> member_;
  std::unique_ptr<descriptor> current_;  // the last segment in `segments_`
  std::vector<segment> segments_;        // ascending numbers
  std::vector<shared_record> unread_;    // for the next read_new()
};

}  // namespace marblewharf::store
