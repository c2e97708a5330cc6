// An append-only log in a folder of segment files; each commit appends one frame. Calls block on disk I/O.
// Not thread-safe: one thread at a time.
//
// The order of operations keeps every prefix of them consistent on disk. A spare file is preallocated. Its
// header is written, which states how many bytes of the previous segment are valid; then the file is synced
// and renamed to its segment name, and the folder is synced. Only then are frames written to it. Segments are
// deleted as a whole, once all their records have expired: the file is renamed, the folder synced, and the
// file truncated to zero bytes. The empty file is deleted when a header is written whose creation time is
// past that expiry. The scheme is the write-ahead logging of embedded databases without a second copy of the
// data: the log is the store.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "store/file_system.hpp"
#include "store/position.hpp"
#include "store/segment.hpp"

namespace marblewharf::store {

struct log_options {
  std::string folder;
  std::uint64_t segment_bytes = std::uint64_t{8} << 20;
  std::uint64_t space_bytes = std::uint64_t{1} << 30;  // limit for all files together
  std::uint64_t salt = 0;                              // used for a new folder only
  // Called once the folder is locked. Returns the position from which records are replayed: earlier records
  // are known to the caller, and earlier segments are not read. Nothing: all records are replayed.
  std::function<std::optional<position>()> replay_from = {};
  std::uint32_t format = format::records;  // of new segments; a segment of a later format is refused
};

struct entry {
  record content;
  std::int64_t expiry = 0;  // ns, on the clock of the store's owner
};

// The expiry of records that are removed by drop() only.
constexpr std::int64_t no_expiry = std::numeric_limits<std::int64_t>::max();

struct recovered_counts {
  std::uint64_t segments = 0, records = 0, frames = 0, torn_bytes = 0;
  std::int64_t latest_time = 0;  // ns: the latest creation time in the segment headers
};

class log {
 public:
  using visitor = std::function<void(std::uint32_t type, std::string_view body, const position& location)>;
  // Returns the expiry of a record that is read at recovery.
  using expiry_function = std::function<std::int64_t(std::uint32_t type, std::string_view body)>;

  // Locks the folder for this process and reads all of it, oldest record first. Since the owner's clock may
  // have been set back, the owner continues from counts().latest_time at the earliest. Throws io_error or
  // damaged.
  log(file_system& fs, log_options options, const expiry_function& expiry_of, const visitor& visit);
  ~log();
  log(const log&) = delete;
  log& operator=(const log&) = delete;

  // Reads a folder that no process has locked, and changes nothing in it.
  static recovered_counts inspect(file_system& fs, const std::string& folder,
                                  const expiry_function& expiry_of, const visitor& visit,
                                  std::uint32_t newest_format = format::records);

  static std::string file_name(std::uint64_t segment);
  // The name of the empty file that marks a deleted segment while its successor exists.
  static std::string marker_name(std::uint64_t segment);
  // The segment number in a file name; nothing for a file that is not a segment.
  static std::optional<std::uint64_t> number_of(std::string_view name);

  const recovered_counts& counts() const { return counts_; }
  std::uint64_t salt() const { return options_.salt; }

  // Opens a new segment: after recovery, and again after a failed write. Throws io_error.
  void open(std::int64_t now);
  bool is_open() const { return active_ != nullptr; }

  // Writes one frame and syncs it. On io_error the segment is closed for good and the frame is in doubt; once
  // open() has succeeded, the frame is not part of the log.
  std::vector<position> append(std::span<const entry> batch, std::int64_t now);

  // The oldest sealed segment; 0 = none.
  std::uint64_t oldest_sealed() const { return sealed_.empty() ? 0 : sealed_.begin()->first; }
  // Deletes this segment with all its records, if it is the oldest sealed one; durable on return. Throws
  // io_error.
  void drop(std::uint64_t oldest);
  // The number of valid bytes in a segment; 0 = no such segment.
  std::uint64_t end_of(std::uint64_t segment) const;
  // The number of the next segment, including the open one; 0 = none.
  std::uint64_t next_after(std::uint64_t segment) const;
  // The position of the next record in the open segment; everything before it is durable.
  position end() const { return {number_, static_cast<std::uint32_t>(end_), 0}; }

  // Returns the body of a record. Throws io_error or damaged.
  std::string read(const position& location) const;

  // Deletes expired segments and preallocates the spare file. False: the space limit or the disk leaves no
  // space for a spare.
  bool reclaim(std::int64_t now);

  // Bytes of frames that can be written for certain, if no frame exceeds max_frame_bytes(): in the open
  // segment and the spare.
  std::uint64_t reserved_free_bytes() const;
  // The same with further segments, which may be created as long as the disk has space for them.
  std::uint64_t total_free_bytes() const;
  std::uint64_t max_frame_bytes() const { return options_.segment_bytes / 4; }
  std::uint64_t used_bytes() const;
  // When the next segment expires; 0 = there is none.
  std::int64_t next_expiry() const;

 private:
  struct sealed_segment {
    std::uint64_t end = 0;  // valid bytes
    std::int64_t expiry = 0;
  };

  std::string path_of(std::uint64_t number) const;
  void seal(std::int64_t now);
  void activate(std::int64_t now);
  void retire(std::uint64_t number, std::int64_t expiry);
  std::string marker_path_of(std::uint64_t number) const;
  bool preallocate_spare();

  file_system& fs_;
  log_options options_;
  std::shared_ptr<void> lock_;
  recovered_counts counts_;
  std::map<std::uint64_t, sealed_segment> sealed_;  // by number
  std::map<std::uint64_t, std::int64_t> retired_;   // empty marker files: expiry of the segment, by number
  std::unique_ptr<file> active_;
  std::unique_ptr<file> spare_;
  std::uint64_t number_ = 0;    // of the active segment; if there is none, of the last one
  std::uint64_t end_ = 0;       // valid bytes of the active segment
  std::int64_t expiry_ = 0;     // when all records of the active segment have expired
  std::uint64_t sequence_ = 0;  // sequence number of the last frame
};

}  // namespace marblewharf::store
